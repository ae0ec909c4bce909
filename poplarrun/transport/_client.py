"""One HTTP/1.1 connection to an endpoint or a store, on the loop."""

import asyncio
import re
from dataclasses import dataclass

import h11

from poplarrun.transport._clock import seconds_since_boot
from poplarrun.transport._sockets import ENDPOINT_UNACKED_MS, detect_dead_peers

Headers = list[tuple[bytes, bytes]]

# Bytes that may wait unread before the peer is held back.
MOST_UNREAD_BYTES = 256 * 1024
KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")
# An idle connection is reused for so long where the peer names no time, in
# seconds: shorter than the idle timeouts usual for servers.
DEFAULT_REUSE_S = 2.0
# Taken off the time that a peer names, which it rounds to whole seconds.
REUSE_MARGIN_S = 0.7


class ConnectFailed(Exception):
    """No connection came about: no byte of a request left this host."""


class ConnectionBroken(Exception):
    """The connection ended or spoke nonsense before the answer was whole."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes
    ----------
    address : str
        ``ip:port`` of the peer.
    uses : int
        Requests that it has carried.
    idle_since : float
        When its last answer was whole, in seconds of ``seconds_since_boot``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.uses = 0
        self.idle_since = 0.0
        self._reuse_s = DEFAULT_REUSE_S
        self._machine = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._unread = 0
        self._is_whole = True
        self._must_close = False
        self._ended: str | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the open socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        detect_dead_peers(transport.get_extra_info("socket"), ENDPOINT_UNACKED_MS)

    def data_received(self, data: bytes) -> None:
        """Buffer what came; bytes that nobody asked for spoil the connection."""
        if self._is_whole:
            self._must_close = True
            return
        self._unread += len(data)
        self._receive(data)
        if self._unread > MOST_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Tell the reader that the peer closed in order."""
        if not self._is_whole:
            self._receive(b"")
        self._end("the peer closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reader that the connection is gone."""
        self._end("closed" if exc is None else f"reset: {exc}")

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may go out here."""
        is_open = self._ended is None and self._transport is not None
        is_fresh = seconds_since_boot() - self.idle_since < self._reuse_s
        return is_open and self._is_whole and not self._must_close and is_fresh

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bool:
        """Hand a request to the socket at once; False when the connection had ended."""
        if self._ended is not None or self._transport is None or self._transport.is_closing():
            return False
        if self.uses:
            self._machine = h11.Connection(h11.CLIENT)
        self.uses += 1
        self._is_whole = False
        self._unread = 0
        framed = [item for item in headers if item[0].lower() != b"content-length"]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=framed)
        data = self._machine.send(head) or b""
        if body:
            data += self._machine.send(h11.Data(data=body)) or b""
        data += self._machine.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        return True

    async def read_head(self) -> ResponseHead:
        """Wait for status and headers.

        Raises
        ------
        ConnectionBroken
            When the connection ends first, or what came is no HTTP.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._note_headers(event)
                return ResponseHead(event.status_code, list(event.headers.raw_items()))
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")

    async def read_data(self) -> bytes | None:
        """Wait for the next bytes of the body; None once it is whole.

        Raises
        ------
        ConnectionBroken
            When the connection ends first, or what came is no HTTP.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise ConnectionBroken(f"unexpected {type(event).__name__}")

    def abort(self) -> None:
        """Close at once; the peer stops its work."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, data: bytes) -> None:
        try:
            self._machine.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._end(f"bytes after the end: {error}")
        self._wake()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(f"no HTTP: {error}") from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._ended is not None:
                raise ConnectionBroken(self._ended)
            await self._wait()

    async def _wait(self) -> None:
        self._unread = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end(self, reason: str) -> None:
        if self._ended is None:
            self._ended = reason
        self._wake()

    def _note_headers(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"keep-alive":
                match = KEEP_ALIVE.search(value)
                if match is not None:
                    self._reuse_s = max(0.0, int(match.group(1)) - REUSE_MARGIN_S)

    def _finish(self) -> None:
        """Close an answer; what came behind it belongs to no request."""
        has_more = bool(self._machine.trailing_data[0])
        if has_more or self._machine.our_state is not h11.DONE:
            self._must_close = True
        if self._machine.their_state is not h11.DONE:
            self._must_close = True
        self._is_whole = True
        self.idle_since = seconds_since_boot()


async def open_connection(address: str, timeout_s: float) -> ClientConnection:
    """Connect.

    Raises
    ------
    ConnectFailed
        When the peer refuses, or nothing came about in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), host, int(port)
            )
    except TimeoutError as error:
        raise ConnectFailed("timeout") from error
    except (OSError, ValueError) as error:
        raise ConnectFailed(str(error)) from error
    return connection
