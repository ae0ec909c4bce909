"""Keeps connections open whose peer is alive and takes no bytes for a time.

The kernel's time limit for unacknowledged data also runs while the peer has closed its window,
although a peer that answers the probes of a closed window is alive. A caller that doesn't read for
a while, or an endpoint that reads a long body late, would lose its connection.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from dataclasses import dataclass

# Shorter than the shortest time limit of data, after which the kernel closes the connection.
CHECK_INTERVAL_S = 0.4
# How long a peer may keep its window closed.
STALLED_TIMEOUT_MS = 15_000
# Unanswered probes from which a peer with a closed window counts as dead. One may be on its way.
MAX_UNANSWERED_PROBES = 2
# Offsets in the kernel's ``tcp_info``.
_PROBES_OFFSET = 3
_UNACKED_OFFSET = 24
_TCP_INFO_BYTES = 104
_NUMBER = struct.Struct("I")
# Established, or closed by the peer for its own direction only.
_OPEN_STATES = frozenset((1, 8))


@dataclass(frozen=True, slots=True)
class SendState:
    """What the kernel knows of the bytes of one connection that are not acknowledged.

    Attributes
    ----------
    queued_bytes : int
        Bytes that the peer has not acknowledged, sent or not.
    packets_in_flight : int
        Packets that were sent and not acknowledged.
    unanswered_probes : int
        Probes of a closed window, sent since the peer last answered.
    """

    queued_bytes: int
    packets_in_flight: int
    unanswered_probes: int

    @property
    def is_stalled(self) -> bool:
        """Whether a living peer takes no bytes: none is on its way, and some wait."""
        is_waiting = self.queued_bytes > 0 and self.packets_in_flight == 0
        return is_waiting and self.unanswered_probes < MAX_UNANSWERED_PROBES


def decode_send_state(info: bytes, queued_bytes: int) -> SendState | None:
    """Return the send state in the kernel's ``tcp_info``; None if that tells of no open one."""
    if len(info) < _UNACKED_OFFSET + _NUMBER.size or info[0] not in _OPEN_STATES:
        return None
    return SendState(
        queued_bytes, _NUMBER.unpack_from(info, _UNACKED_OFFSET)[0], info[_PROBES_OFFSET]
    )


def read_send_state(sock: socket.socket) -> SendState | None:
    """Return the send state of a connection; None if the kernel doesn't tell it.

    Raises
    ------
    OSError
        When the connection has ended.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_NUMBER.size))
    return decode_send_state(info, _NUMBER.unpack(queued)[0])


class StallGuard:
    """Extends the time limit of one connection's data while its peer takes no bytes.

    Parameters
    ----------
    unacked_timeout_ms : int
        The time limit while the peer takes bytes.
    """

    def __init__(self, transport: asyncio.Transport, unacked_timeout_ms: int) -> None:
        self._transport = transport
        self._unacked_timeout_ms = unacked_timeout_ms
        self._is_extended = False
        self._timer: asyncio.TimerHandle | None = None

    def record_write(self) -> None:
        """Check the connection from now on, until its peer has taken all bytes."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Check the connection no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            state = read_send_state(sock)
            if state is None:
                return
            if state.is_stalled != self._is_extended:
                self._is_extended = state.is_stalled
                timeout_ms = STALLED_TIMEOUT_MS if state.is_stalled else self._unacked_timeout_ms
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            if state.queued_bytes or self._transport.get_write_buffer_size():
                self.record_write()
