"""Reads streamed response bodies, all received chunks per system call."""

import math
import socket
import struct
import time
from typing import Any

import urllib3

# About 150 chunks of one token. With larger reads, too many tokens would count as delivered
# before a slow caller has read them.
MAX_READ_BYTES = 8192
MICROSECONDS_PER_SECOND = 1_000_000
LINE_END = b"\r\n"
BODY_END = b"\r\n\r\n"
# Upper bound of a chunk's size line: the hexadecimal size with its extensions.
MAX_SIZE_LINE_BYTES = 256
MAX_CHUNK_BYTES = 8 * 1024 * 1024
MAX_TRAILER_BYTES = 16 * 1024


class StreamedBody:
    """The body of a streamed response; each read returns all data received so far.

    The library's own methods return one HTTP chunk at a time. A thread that falls ten tokens
    behind would read and forward them in ten steps, each with system calls that release the
    interpreter lock.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        A response whose body has not been read yet.

    Attributes
    ----------
    is_drained : bool
        Whether the body was read to its end and no byte follows it.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self.is_drained = False
        self._response = response
        self._decoder = _ChunkDecoder() if response.chunked else None
        self._http_response: Any = getattr(response, "_original_response", None)
        self._socket: socket.socket | None = None
        self._timeout_s: float | None = None

    def read(self, until: float = math.inf) -> bytes:
        """Wait for data and return all that was received; empty at the end of the body.

        Parameters
        ----------
        until : float
            Monotonic time after which bytes that complete no data are not waited for any more.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            When the connection ended, the read timed out, or the chunks are not valid HTTP.
        """
        if self._decoder is None:
            data = self._response.read1(MAX_READ_BYTES, decode_content=False)
            self.is_drained = not data
            return data
        while not self._decoder.is_ended:
            received = self._receive()
            if not received:
                raise urllib3.exceptions.ProtocolError(
                    "the connection was closed before the end of the body"
                )
            if data := self._decoder.decode(received):
                return data
            if time.monotonic() > until:
                raise urllib3.exceptions.ProtocolError("no data came in time")
        self.is_drained = self._decoder.ended_cleanly
        return b""

    def _receive(self) -> bytes:
        """Wait for bytes: first those received with the response's head, then the socket's."""
        if self._socket is not None:
            return self._socket.recv(MAX_READ_BYTES)
        data: bytes = self._http_response.fp.read1(MAX_READ_BYTES)
        self._use_kernel_timeout()
        return data

    def _use_kernel_timeout(self) -> None:
        """Let the kernel enforce the timeout of further reads from a plain socket.

        With a timeout of Python's, a read takes two system calls, one to wait and one to
        read, and the thread has to reacquire the interpreter lock after each.
        """
        sock = getattr(getattr(self._response, "connection", None), "sock", None)
        if type(sock) is not socket.socket or not (timeout_s := sock.gettimeout()):
            return
        self._socket, self._timeout_s = sock, timeout_s
        seconds, fraction = divmod(timeout_s, 1.0)
        timeval = struct.pack("@ll", int(seconds), int(fraction * MICROSECONDS_PER_SECOND))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval)
        sock.settimeout(None)

    def release(self) -> None:
        """Return the connection to its pool if it can be reused, or else close it."""
        if self._socket is not None:
            self._socket.settimeout(self._timeout_s)
        if self.is_drained:
            if self._http_response is not None:
                self._http_response.close()
            self._response.release_conn()
        else:
            self._response.close()


class _ChunkDecoder:
    """Decodes the chunked transfer encoding, from the bytes of a connection.

    The content of a chunk is returned once the whole chunk was received.
    """

    def __init__(self) -> None:
        self.is_ended = False
        self._remainder = b""

    @property
    def ended_cleanly(self) -> bool:
        """Whether the body has ended and no byte follows it."""
        return self.is_ended and not self._remainder

    def decode(self, received: bytes) -> bytes:
        """Add received bytes and return the contents of the chunks that they complete."""
        data = self._remainder + received if self._remainder else received
        contents = []
        position = 0
        while (line_end := data.find(LINE_END, position)) >= 0:
            size = _parse_chunk_size(data[position:line_end])
            start = line_end + len(LINE_END)
            if size == 0:
                end = data.find(BODY_END, line_end)
                if end >= 0:
                    self.is_ended = True
                    position = end + len(BODY_END)
                elif len(data) - start > MAX_TRAILER_BYTES:
                    raise urllib3.exceptions.ProtocolError("the trailer is too long")
                break
            if size > MAX_CHUNK_BYTES:
                raise urllib3.exceptions.ProtocolError("a chunk is too long")
            end = start + size
            if len(data) < end + len(LINE_END):
                break
            if not data.startswith(LINE_END, end):
                raise urllib3.exceptions.ProtocolError(
                    "the data of a chunk is longer than its declared size"
                )
            contents.append(data[start:end])
            position = end + len(LINE_END)
        if line_end < 0 and len(data) - position > MAX_SIZE_LINE_BYTES:
            raise urllib3.exceptions.ProtocolError(
                "the size line of a chunk is missing or too long"
            )
        self._remainder = data[position:]
        return contents[0] if len(contents) == 1 else b"".join(contents)


def _parse_chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits.isalnum():
        raise urllib3.exceptions.ProtocolError("a chunk has no valid size")
    try:
        return int(digits, 16)
    except ValueError:
        raise urllib3.exceptions.ProtocolError("a chunk has no valid size") from None
