"""HTTP/1.1 on the event loop: client connections with a pool, and the server for callers."""

from poplarrun.transport._client import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectRefused,
    RequestWithheld,
    ResponseHead,
    open_connection,
)
from poplarrun.transport._clock import seconds_since_boot
from poplarrun.transport._pool import ConnectionPool
from poplarrun.transport._server import (
    CallerConnection,
    CallerServer,
    RequestHead,
    ServerBounds,
)
from poplarrun.transport._sockets import (
    ENDPOINT_UNACKED_TIMEOUT_MS,
    count_unacknowledged,
    detect_dead_endpoint,
)
from poplarrun.transport._stalls import SendState, StallGuard, decode_send_state

__all__ = [
    "ENDPOINT_UNACKED_TIMEOUT_MS",
    "CallerConnection",
    "CallerServer",
    "ClientConnection",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionBroken",
    "ConnectionPool",
    "RequestHead",
    "RequestWithheld",
    "ResponseHead",
    "SendState",
    "ServerBounds",
    "StallGuard",
    "count_unacknowledged",
    "decode_send_state",
    "detect_dead_endpoint",
    "open_connection",
    "seconds_since_boot",
]
