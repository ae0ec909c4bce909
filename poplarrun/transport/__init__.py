"""HTTP/1.1 on the loop: connections to endpoints and stores, and from callers."""

from poplarrun.transport._client import (
    AnswerHead,
    Broken,
    ClientConnection,
    ConnectFailed,
    open_connection,
)
from poplarrun.transport._clock import boot_time
from poplarrun.transport._pool import ConnectionPool
from poplarrun.transport._server import (
    CallerConnection,
    CallerServer,
    RequestHead,
    ServerBounds,
)

__all__ = [
    "AnswerHead",
    "Broken",
    "CallerConnection",
    "CallerServer",
    "ClientConnection",
    "ConnectFailed",
    "ConnectionPool",
    "RequestHead",
    "ServerBounds",
    "boot_time",
    "open_connection",
]
