"""Socket options by which the kernel detects dead peers, set on every connection."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

# A peer that lost power sends nothing, and a connection to it would hang for minutes. The kernel's
# keep-alive probes detect it within IDLE + INTERVAL = 3 s: where TCP_USER_TIMEOUT is set, which is
# shorter, the first unanswered probe decides, whatever COUNT is. A peer that is only silent for a
# second or so answers that probe.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# How long data to an endpoint may be unacknowledged. Without it, a request to a zone that was
# just cut off would wait for the response timeout of 2.5 s, which is all the time that most
# requests have. A packet and its retransmissions after 0.2 and 0.6 s fall into a silent second;
# the next one after 1.4 s is answered.
ENDPOINT_UNACKED_TIMEOUT_MS = 1600
# The same for callers. It is longer, because a caller can't continue an order on another
# connection.
CALLER_UNACKED_TIMEOUT_MS = 2000

# Bytes that the kernel takes for a caller beyond those on their way. A caller that reads nothing
# would otherwise have some MB of answers there before the host notices.
MAX_UNSENT_IN_KERNEL_BYTES = 64 * 1024

_NUMBER = struct.Struct("i")
_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
)


def detect_dead_peers(sock: socket.socket, unacked_timeout_ms: int) -> None:
    """Let the kernel close a connection whose peer no longer responds.

    Parameters
    ----------
    unacked_timeout_ms : int
        How long sent data may be unacknowledged.
    """
    user_timeout = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
    for level, option, value in (*_OPTIONS, user_timeout):
        # Setting options fails on a connection that the peer has already reset; the next
        # read reports the reset.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def limit_unsent(sock: socket.socket) -> None:
    """Let the kernel take few bytes beyond those that the peer's window admits."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_IN_KERNEL_BYTES)


def count_unacknowledged(sock: socket.socket) -> int:
    """Return how many sent bytes the peer of a connection has not acknowledged.

    0 if the connection has ended, or the kernel doesn't tell.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_NUMBER.size))
    except (OSError, ValueError):
        return 0
    return int(_NUMBER.unpack(answer)[0])


def detect_dead_endpoint(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection on the way to an endpoint whose peer doesn't respond."""
    detect_dead_peers(transport.get_extra_info("socket"), ENDPOINT_UNACKED_TIMEOUT_MS)
