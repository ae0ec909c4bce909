"""Bounds the bytes that a connection receives at once."""

import asyncio
import threading

# An event loop reads up to 256 KB at once otherwise, for each stream whose caller reads slowly.
RECEIVE_BYTES = 64 * 1024


class _Scratch(threading.local):
    """The memory that a thread's connections receive into, one after the other."""

    def __init__(self) -> None:
        self.buffer = bytearray(RECEIVE_BYTES)


_SCRATCH = _Scratch()


class BoundedReceiver(asyncio.BufferedProtocol):
    """A protocol that gets a bounded number of bytes with each call of ``data_received``.

    Attributes
    ----------
    max_received_bytes : int
        The bound, ``RECEIVE_BYTES`` at most.
    """

    max_received_bytes = RECEIVE_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory to receive into."""
        return memoryview(_SCRATCH.buffer)[: self.max_received_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was received."""
        self.data_received(bytes(memoryview(_SCRATCH.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError
