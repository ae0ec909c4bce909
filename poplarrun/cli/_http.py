"""HTTP requests of the command line to hosts."""

from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3

from poplarrun.cli._arguments import TLS_SCHEME

TIMEOUT_S = 5.0
OK = 200


@dataclass(frozen=True, slots=True)
class HostUnavailable:
    """A host that gave no usable response."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"{self.address}: {self.reason}"


def make_url(address: str, path: str) -> str:
    """Return the URL of a path at a host, whose address may be prefixed with ``https://``."""
    return f"{address}{path}" if address.startswith(TLS_SCHEME) else f"http://{address}{path}"


def get_json(address: str, path: str) -> Any | HostUnavailable:
    """Request a path of a host and return the decoded JSON of the response."""
    try:
        response = urllib3.request("GET", make_url(address, path), timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        return HostUnavailable(address, f"no answer ({type(error).__name__})")
    if response.status != OK:
        return HostUnavailable(address, f"answered {response.status}")
    try:
        return msgspec.json.decode(response.data)
    except msgspec.DecodeError:
        return HostUnavailable(address, "the answer is not JSON; is this a poplarrun host?")
