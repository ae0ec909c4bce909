"""Bytes that wait until the peer of a connection has read more, counted as long as they wait."""

import asyncio
from collections import deque
from collections.abc import Callable

# Bytes handed to the transport at a time, which may hold as many without their being counted.
PIECE_BYTES = 32 * 1024


def ignore_change(_: int) -> None:
    """Count nothing; for connections whose buffered bytes nobody bounds."""


class Backlog:
    """Passes bytes to a transport as fast as its peer reads, and keeps the rest in order.

    Parameters
    ----------
    count : callable
        Called with the bytes that are kept more than before, or fewer.

    Attributes
    ----------
    size : int
        Bytes of memory that the kept parts take; a part counts until its last byte is passed on.
    """

    def __init__(
        self, transport: asyncio.Transport, count: Callable[[int], None] = ignore_change
    ) -> None:
        self.size = 0
        self._transport = transport
        self._record_size = count
        self._parts: deque[bytes | bytearray] = deque()
        self._sent_of_first = 0
        self._is_paused = False
        # The transport pauses as soon as the kernel doesn't take all bytes.
        transport.set_write_buffer_limits(high=0)

    def write(self, data: bytes) -> None:
        """Send bytes after those that wait."""
        if not self._parts and not self._is_paused and len(data) <= PIECE_BYTES:
            self._transport.write(data)
            return
        self._append(data)
        self._pass_on()

    def pause(self) -> None:
        """Pass on nothing more, because the transport holds unsent bytes."""
        self._is_paused = True

    def resume(self) -> None:
        """Pass on more, because the transport has sent all that it held."""
        self._is_paused = False
        self._pass_on()

    def clear(self) -> None:
        """Drop all bytes that wait."""
        self._parts.clear()
        self._sent_of_first = 0
        self._change(-self.size)

    def _append(self, data: bytes) -> None:
        # Small events are joined: an object for each would take several times their size.
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) + len(data) <= PIECE_BYTES:
            last += data
        else:
            self._parts.append(bytearray(data) if len(data) < PIECE_BYTES else data)
        self._change(len(data))

    def _pass_on(self) -> None:
        while self._parts and not self._is_paused and not self._transport.is_closing():
            part, begin = self._parts[0], self._sent_of_first
            end = min(len(part), begin + PIECE_BYTES)
            self._sent_of_first = end
            if end == len(part):
                self._parts.popleft()
                self._sent_of_first = 0
                self._change(-len(part))
            self._transport.write(memoryview(part)[begin:end])

    def _change(self, more: int) -> None:
        self.size += more
        self._record_size(more)
