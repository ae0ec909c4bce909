"""HTTP to hosts, for the command line."""

from typing import Any

import cappa
import msgspec
import urllib3

TIMEOUT_S = 5.0
OK = 200


def get_json(address: str, path: str) -> Any:
    """Read a JSON answer of a host.

    Raises
    ------
    cappa.Exit
        With code 1, when the host is silent or refuses.
    """
    try:
        response = urllib3.request(
            "GET", f"http://{address}{path}", timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise cappa.Exit(f"{address}: no answer ({type(error).__name__})", code=1) from error
    if response.status != OK:
        raise cappa.Exit(f"{address}: {response.status} {response.data.decode()}", code=1)
    return msgspec.json.decode(response.data)
