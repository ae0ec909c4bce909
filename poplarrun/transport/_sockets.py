"""Socket options of every connection."""

import contextlib
import socket

# A peer without power answers nothing, and a connection to it would hang for
# minutes. The kernel's probes find it within IDLE + COUNT * INTERVAL = 3 s, and
# bytes without acknowledgement end the connection after a time of its own.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# That time for endpoints, in milliseconds. A request to a zone that was just cut off
# would wait for the patience of 2.5 s, which is all the time that most may take. A link
# that loses 5 packets in 100 loses a packet and its repeats after 0.2 and 0.4 s once in
# 8,000.
ENDPOINT_UNACKED_MS = 800
# The same for callers, who can't go on with an order on another connection.
CALLER_UNACKED_MS = 2000

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
)


def detect_dead_peers(opened: socket.socket, unacked_ms: int) -> None:
    """Have the kernel end a connection whose peer has fallen silent.

    Parameters
    ----------
    unacked_ms : int
        How long bytes may wait for their acknowledgement.
    """
    unacked = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
    for level, option, value in (*_OPTIONS, unacked):
        # A connection that the peer has reset already takes no options; its end is
        # told by the next read.
        with contextlib.suppress(OSError):
            opened.setsockopt(level, option, value)
