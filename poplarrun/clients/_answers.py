"""Whole answers of calls, bounded in size and time."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3

from poplarrun.clients._http import get_pool_manager
from poplarrun.clients._streams import StreamedBody

# Largest answer of a call, which is kept until it is complete.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Errors of JSON that can't be decoded. Deeply nested JSON exceeds the decoder's recursion limit.
UNREADABLE_JSON = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer."""

    status: int
    data: bytes


def fetch(method: str, url: str, timeout_s: float, **options: Any) -> WholeAnswer:
    """Call an address, and wait for its whole answer.

    Parameters
    ----------
    timeout_s : float
        How long the head, and then the body, may take, in seconds.
    options
        Further arguments of ``urllib3.PoolManager.request``.

    Raises
    ------
    urllib3.exceptions.HTTPError
        When no connection is established, or no valid answer came in time and size.
    """
    response = get_pool_manager().request(
        method, url, timeout=timeout_s, preload_content=False, **options
    )
    return WholeAnswer(response.status, read_whole(response, timeout_s))


def read_whole(
    response: urllib3.BaseHTTPResponse, timeout_s: float, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Read a whole body, and return the connection to its pool, or close it.

    Raises
    ------
    urllib3.exceptions.HTTPError
        When the connection ended first, or the body is too long or late, or not valid HTTP.
    """
    until = time.monotonic() + timeout_s
    body = StreamedBody(response)
    parts: list[bytes] = []
    size = 0
    try:
        while data := body.read(until):
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise urllib3.exceptions.ProtocolError("the answer is too long")
            if time.monotonic() > until:
                raise urllib3.exceptions.ProtocolError("the answer is too late")
    except OSError as error:
        raise urllib3.exceptions.ProtocolError(str(error)) from error
    finally:
        body.release()
    return b"".join(parts)
