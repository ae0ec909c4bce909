"""Server that answers a request before it has read the body, and then ends the connection."""

import contextlib
import enum
import re
import socket
import struct
import threading
import time
from collections.abc import Callable

# A socket that lingers for no time resets its connection when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PAUSE_S = 0.05
READ_TIMEOUT_S = 10.0
LENGTH = re.compile(rb"(?i)content-length: *(\d+)")


class End(enum.Enum):
    """What the server does once it has sent its answer."""

    RESET = "is reset after a while"
    RESET_AT_ONCE = "is reset at once"
    HALF_CLOSE = "closes its side, and is reset after a while"
    HALF_CLOSE_AT_ONCE = "closes its side, and is reset at once"
    IN_ORDER = "ends in order, with all of the request read"


class EarlyServer:
    """Server that sends an answer after the head of each request.

    Parameters
    ----------
    make_answer : callable
        Returns the answer to a request's head.

    Attributes
    ----------
    heads : list of bytes
        Heads of the requests that it has answered so.
    """

    def __init__(
        self, make_answer: Callable[[bytes], bytes], end: End, address: str = "127.0.0.1:0"
    ) -> None:
        self.heads: list[bytes] = []
        self._make_answer = make_answer
        self._end = end
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(READ_TIMEOUT_S)
        with connection, contextlib.suppress(OSError):
            received = b""
            while b"\r\n\r\n" not in received:
                # Byte by byte, so that none of the body is read.
                data = connection.recv(1)
                if not data:
                    return
                received += data
            self.heads.append(received)
            self._read_body(connection, received)
            connection.sendall(self._make_answer(received))
            self._end_connection(connection)

    def _read_body(self, connection: socket.socket, head: bytes) -> None:
        length = LENGTH.search(head)
        if self._end is not End.IN_ORDER or length is None:
            return
        left = int(length.group(1))
        while left > 0 and (data := connection.recv(min(left, 65_536))):
            left -= len(data)

    def _end_connection(self, connection: socket.socket) -> None:
        match self._end:
            case End.IN_ORDER:
                return
            case End.HALF_CLOSE | End.HALF_CLOSE_AT_ONCE:
                connection.shutdown(socket.SHUT_WR)
        if self._end in (End.RESET, End.HALF_CLOSE):
            time.sleep(PAUSE_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
