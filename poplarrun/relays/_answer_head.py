"""Reads the head of the answer in bytes that a helper passes on."""

from dataclasses import dataclass

import h11

# Bytes after which an answer without a complete head is not read any further.
MAX_HEAD_BYTES = 32 * 1024


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class AnswerHeadReader:
    """Finds the head of the one answer on a relayed connection."""

    def __init__(self) -> None:
        self._h11: h11.Connection | None = h11.Connection(h11.CLIENT)
        self._h11.send(h11.Request(method="GET", target="/", headers=[("Host", "endpoint")]))
        self._size = 0

    def feed(self, data: bytes) -> AnswerHead | None:
        """Add received bytes; return the head once it is complete, and None otherwise."""
        if self._h11 is None:
            return None
        self._size += len(data)
        try:
            head = self._read(self._h11, data)
        except h11.RemoteProtocolError:
            # The asking host finds out by itself what is wrong with the answer.
            self._h11 = None
            return None
        if head is not None or self._size > MAX_HEAD_BYTES:
            self._h11 = None
        return head

    @staticmethod
    def _read(connection: h11.Connection, data: bytes) -> AnswerHead | None:
        connection.receive_data(data)
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                return None
