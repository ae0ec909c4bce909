"""Streamed bodies: what has arrived, in one read of the socket."""

import socket
import struct
from typing import Any

import urllib3

# Some 150 chunks of one token. More at once would count as given out before a
# slow caller took them.
READ_BYTES = 8192
MICROSECONDS = 1_000_000
LINE_END = b"\r\n"
BODY_END = b"\r\n\r\n"
# A chunk's size in hexadecimal with its extensions is never longer.
MAX_SIZE_LINE_BYTES = 256


class StreamedBody:
    """The body of a streamed answer, all that has arrived at each read.

    The library's own ways give out one HTTP chunk at a time, so that a thread
    that was late for ten tokens takes them, and passes them on, in ten steps,
    each with system calls of its own that give the interpreter lock away.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        An answer whose body was not read yet.

    Attributes
    ----------
    is_drained : bool
        Whether the body was read to its end and nothing came after it.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.is_drained = False
        self._response = response
        self._chunked = _ChunkedBytes() if response.chunked else None
        self._original: Any = getattr(response, "_original_response", None)
        self._socket: socket.socket | None = None
        self._timeout_s: float | None = None

    def read(self) -> bytes:
        """Wait for bytes and return all that are there; empty at the body's end.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            When the connection broke, took too long, or carried no HTTP chunks.
        """
        if self._chunked is None:
            data = self._response.read1(READ_BYTES, decode_content=False)
            self.is_drained = not data
            return data
        while not self._chunked.is_ended:
            arrived = self._receive()
            if not arrived:
                raise urllib3.exceptions.ProtocolError("the connection closed within the body")
            if data := self._chunked.take(arrived):
                return data
        self.is_drained = self._chunked.is_clean_end
        return b""

    def _receive(self) -> bytes:
        """Wait for bytes: first those that came with the answer's head, then the socket's."""
        if self._socket is not None:
            return self._socket.recv(READ_BYTES)
        data: bytes = self._original.fp.read1(READ_BYTES)
        self._wait_in_system()
        return data

    def _wait_in_system(self) -> None:
        """Let the system keep the time of a plain socket's reads from now on.

        A socket with a timeout of Python's waits in one system call and reads
        in another, and each thread waits for the interpreter lock after both.
        """
        sock = getattr(getattr(self._response, "connection", None), "sock", None)
        if type(sock) is not socket.socket or not (timeout_s := sock.gettimeout()):
            return
        self._socket, self._timeout_s = sock, timeout_s
        seconds, fraction = divmod(timeout_s, 1.0)
        bound = struct.pack("@ll", int(seconds), int(fraction * MICROSECONDS))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, bound)
        sock.settimeout(None)

    def release(self) -> None:
        """Give the connection back, where it can serve again."""
        if self._socket is not None:
            self._socket.settimeout(self._timeout_s)
        if self.is_drained:
            if self._original is not None:
                self._original.close()
            self._response.release_conn()
        else:
            self._response.close()


class _ChunkedBytes:
    """Takes the HTTP chunks out of the bytes of a connection.

    A chunk counts as arrived when all of it is there.
    """

    def __init__(self) -> None:
        self.is_ended = False
        self._rest = b""

    @property
    def is_clean_end(self) -> bool:
        """Whether no byte came after the body's end."""
        return self.is_ended and not self._rest

    def take(self, arrived: bytes) -> bytes:
        """Return the contents of the chunks that are whole now."""
        data = self._rest + arrived if self._rest else arrived
        contents = []
        at = 0
        while (line_end := data.find(LINE_END, at)) >= 0:
            size = _read_size(data[at:line_end])
            begin = line_end + len(LINE_END)
            if size == 0:
                end = data.find(BODY_END, line_end)
                if end >= 0:
                    self.is_ended = True
                    at = end + len(BODY_END)
                break
            end = begin + size
            if len(data) < end + len(LINE_END):
                break
            if not data.startswith(LINE_END, end):
                raise urllib3.exceptions.ProtocolError("a chunk is longer than its size")
            contents.append(data[begin:end])
            at = end + len(LINE_END)
        if line_end < 0 and len(data) - at > MAX_SIZE_LINE_BYTES:
            raise urllib3.exceptions.ProtocolError("no chunk's size where one must stand")
        self._rest = data[at:]
        return contents[0] if len(contents) == 1 else b"".join(contents)


def _read_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits.isalnum():
        raise urllib3.exceptions.ProtocolError("a chunk without a size")
    try:
        return int(digits, 16)
    except ValueError:
        raise urllib3.exceptions.ProtocolError("a chunk without a size") from None
