"""HTTP server connections that write streamed answers directly to the socket."""

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import Any

from cheroot import makefile, server

from poplarrun.transport import count_unacknowledged

# Bytes of earlier answers that a caller may leave unread when its next request begins.
MAX_UNREAD_BYTES = 16 * 1024
# What the kernel takes for a caller: more than such answers and one more of usual size, so that a
# thread seldom waits for a caller.
SEND_BUFFER_BYTES = 128 * 1024


class SocketWriter:
    """Writes directly to a socket.

    The writer of cheroot copies each piece through a buffer in Python and flushes it at once.
    For a stream with one event per token, the copies are a large part of the cost of a token.

    Parameters
    ----------
    sock : socket.socket
        The socket of the caller's connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.bytes_written = 0
        self.closed = False
        self._socket = sock
        self._buffer = b""
        self._is_buffering = False

    @contextlib.contextmanager
    def buffering(self) -> Iterator[None]:
        """Buffer what is written in this context, to be sent with the next write."""
        self._is_buffering = True
        try:
            yield
        finally:
            self._is_buffering = False

    def flush_buffered(self) -> None:
        """Send the buffered data."""
        if self._buffer:
            self.write(b"")

    def write(self, data: bytes) -> int:
        """Send all data; the socket's timeout limits each wait for a slow caller."""
        if self._is_buffering:
            self._buffer += data
            return len(data)
        if self._buffer:
            data, self._buffer = self._buffer + data, b""
        sent = self._send_now(data)
        if sent < len(data):
            remaining = memoryview(data)[sent:]
            while remaining:
                remaining = remaining[self._socket.send(remaining) :]
        self.bytes_written += len(data)
        return len(data)

    def _send_now(self, data: bytes) -> int:
        """Send what the socket accepts without blocking; return the number of bytes.

        ``socket.send`` with a timeout polls first, which costs a second system call and a second
        wait for the interpreter lock for each event.
        """
        try:
            return os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0

    def flush(self) -> None:
        """Do nothing, since ``write`` sends at once."""

    def close(self) -> None:
        """Mark the writer as closed; the connection closes the socket itself."""
        self.closed = True


class Request(server.HTTPRequest):
    """A request whose response headers are sent with the first bytes of the body.

    A send of their own would wake the caller for nothing, and the thread would wait for the
    interpreter lock once more before the first token.
    """

    def send_headers(self) -> None:
        """Buffer the headers, to be sent with the data that follows."""
        writer = self.conn.wfile
        if not isinstance(writer, SocketWriter):
            super().send_headers()
            return
        with writer.buffering():
            super().send_headers()

    def respond(self) -> None:
        """Answer the request; send the headers now if no body followed them."""
        super().respond()
        if isinstance(self.conn.wfile, SocketWriter):
            self.conn.wfile.flush_buffered()


class Connection(server.HTTPConnection):
    """A connection that writes directly to its socket, unless it uses TLS."""

    RequestHandlerClass = Request

    def communicate(self) -> bool:
        """Serve one request; return whether the connection is kept open.

        A thread that answers a caller which reads nothing would wait for it, and serve no other.
        """
        if count_unacknowledged(self.socket) > MAX_UNREAD_BYTES:
            return False
        is_kept: bool = super().communicate()  # type: ignore[no-untyped-call]
        return is_kept

    def __init__(
        self, http_server: Any, sock: socket.socket, make_file: Any = makefile.MakeFile
    ) -> None:
        is_plain = make_file is makefile.MakeFile
        super().__init__(http_server, sock, _make_file if is_plain else make_file)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def _make_file(sock: socket.socket, mode: str, buffer_bytes: int) -> Any:
    return makefile.StreamReader(sock, mode, buffer_bytes) if "r" in mode else SocketWriter(sock)
