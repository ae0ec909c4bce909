"""Connections on which an answer counts only if it is whole, and its server has the request.

An answer that neither a length nor chunks frame ends with its connection. If the connection ended
while the request was still being sent, that is not the end of the answer.
"""

import http.client
import socket
from typing import Any, BinaryIO

import urllib3

from poplarrun.transport import count_unacknowledged


class _HeadLines:
    """Passes on the lines of a head, and notes whether the connection ended among them."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.has_ended = False

    def readline(self, limit: int = -1) -> bytes:
        line = self.file.readline(limit)
        self.has_ended = not line
        return line

    def close(self) -> None:
        self.file.close()


class _UnframedBody:
    """Passes on a body that ends with its connection, if the server has got the request by then."""

    def __init__(self, file: BinaryIO, sock: socket.socket) -> None:
        self._file: Any = file
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def read(self, size: int = -1) -> bytes:
        return self._check(self._file.read(size), size)

    def read1(self, size: int = -1) -> bytes:
        return self._check(self._file.read1(size), size)

    def readinto(self, buffer: bytearray) -> int:
        count = int(self._file.readinto(buffer))
        if not count and len(buffer):
            self._check_request()
        return count

    def _check(self, data: bytes, size: int) -> bytes:
        if size < 0 or (size and not data):
            self._check_request()
        return data

    def _check_request(self) -> None:
        if count_unacknowledged(self._sock):
            raise ConnectionResetError("the connection ended before the request was taken")


class WholeResponse(http.client.HTTPResponse):
    """A response whose head ends with an empty line, and whose body ends after the request.

    The library takes the end of the connection for the end of the head. The answer would then have
    no length, and be complete without a body.
    """

    fp: Any

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self._sock = sock

    @property
    def is_framed(self) -> bool:
        """Whether a length or chunks tell the end of the body."""
        return bool(self.chunked) or self.length is not None

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.RemoteDisconnected
            When the connection ends before the head does.
        """
        lines = _HeadLines(self.fp)
        self.fp = lines
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = lines.file
        if lines.has_ended:
            raise http.client.RemoteDisconnected("the connection ended inside the answer's head")
        if self.fp is not None and not self.is_framed:
            self.fp = _UnframedBody(self.fp, self._sock)


class PlainConnection(urllib3.connection.HTTPConnection):
    """A connection without TLS.

    The library goes on to the answer when a request can't be sent, since a server may refuse it
    early. That is right for answers whose end is known.
    """

    response_class = WholeResponse
    _has_send_failed = False

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request."""
        self._has_send_failed = False
        super().request(*args, **options)

    def send(self, data: Any) -> None:
        """Send a part of a request."""
        try:
            super().send(data)
        except OSError:
            self._has_send_failed = True
            raise

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Read the head of the answer.

        Raises
        ------
        http.client.RemoteDisconnected
            When the request was not sent, and nothing tells the end of the answer.
        """
        response = super().getresponse()
        original: Any = response._original_response
        if self._has_send_failed and not original.is_framed:
            response.close()
            raise http.client.RemoteDisconnected("the connection ended inside the request")
        return response


class TlsConnection(PlainConnection, urllib3.connection.HTTPSConnection):
    """A connection over TLS."""


class PlainPool(urllib3.HTTPConnectionPool):
    """Connections without TLS to one address."""

    ConnectionCls = PlainConnection


class TlsPool(urllib3.HTTPSConnectionPool):
    """Connections over TLS to one address."""

    ConnectionCls = TlsConnection
