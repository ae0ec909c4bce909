"""Socket options of every connection."""

import contextlib
import socket

# A peer without power answers nothing, and a connection to it would hang for
# minutes. The kernel's probes find it within IDLE + COUNT * INTERVAL = 3 s, and
# bytes without acknowledgement end the connection after UNACKED.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
UNACKED_MS = 2000

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
)


def detect_dead_peers(opened: socket.socket) -> None:
    """Have the kernel end a connection whose peer has fallen silent."""
    for level, option, value in _OPTIONS:
        # A connection that the peer has reset already takes no options; its end is
        # told by the next read.
        with contextlib.suppress(OSError):
            opened.setsockopt(level, option, value)
