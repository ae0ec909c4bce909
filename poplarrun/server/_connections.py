"""Connections of the HTTP server that write a streamed answer without a buffer between."""

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from cheroot import makefile, server


class SocketWriter:
    """Writes straight to a socket.

    The server's own writer copies each piece through a buffer written in
    Python and flushes it at once; for an answer of one event a token that
    copying is a good part of a token's cost.

    Parameters
    ----------
    sock : socket.socket
        The caller's connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.bytes_written = 0
        self.closed = False
        self._socket = sock
        self._held = b""
        self._holds = False

    @contextmanager
    def buffering(self) -> Iterator[None]:
        """Hold back what is written meanwhile, to go out with what is written next."""
        self._holds = True
        try:
            yield
        finally:
            self._holds = False

    def flush_buffered(self) -> None:
        """Send what is still held back."""
        if self._held:
            self.write(b"")

    def write(self, data: bytes) -> int:
        """Send everything; the socket's timeout bounds each wait for a slow caller."""
        if self._holds:
            self._held += data
            return len(data)
        if self._held:
            data, self._held = self._held + data, b""
        sent = self._send_now(data)
        if sent < len(data):
            left = memoryview(data)[sent:]
            while left:
                left = left[self._socket.send(left) :]
        self.bytes_written += len(data)
        return len(data)

    def _send_now(self, data: bytes) -> int:
        """Send what the system takes at once; return how many bytes.

        The socket's own ``send`` first asks whether it may: a second system
        call, and a second wait for the interpreter lock, for each event.
        """
        try:
            return os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0

    def flush(self) -> None:
        """Do nothing: nothing is held back."""

    def close(self) -> None:
        """Take no more data; the connection closes the socket itself."""
        self.closed = True


class Request(server.HTTPRequest):
    """A request whose answer's head goes out with the first bytes of its body.

    In a send of its own it would wake the caller for nothing, and the thread
    would wait for the interpreter lock once more before the first token.
    """

    def send_headers(self) -> None:
        """Write the head, to be sent with what follows it."""
        writer = self.conn.wfile
        if not isinstance(writer, SocketWriter):
            super().send_headers()
            return
        with writer.buffering():
            super().send_headers()

    def respond(self) -> None:
        """Answer the request; a head that nothing followed goes out here."""
        super().respond()
        if isinstance(self.conn.wfile, SocketWriter):
            self.conn.wfile.flush_buffered()


class Connection(server.HTTPConnection):
    """A connection whose answers go straight to the socket, unless TLS is between."""

    RequestHandlerClass = Request

    def __init__(
        self, http_server: Any, sock: socket.socket, make_file: Any = makefile.MakeFile
    ) -> None:
        direct = make_file is makefile.MakeFile
        super().__init__(http_server, sock, _make_file if direct else make_file)


def _make_file(sock: socket.socket, mode: str, buffer_bytes: int) -> Any:
    return makefile.StreamReader(sock, mode, buffer_bytes) if "r" in mode else SocketWriter(sock)
