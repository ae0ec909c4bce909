"""An HTTP/1.1 client connection to an endpoint or a store, on the event loop."""

import asyncio
import re
from dataclasses import dataclass

import h11

from poplarrun.transport._backlog import PIECE_BYTES, Backlog
from poplarrun.transport._clock import seconds_since_boot
from poplarrun.transport._receiving import BoundedReceiver
from poplarrun.transport._sockets import (
    ENDPOINT_UNACKED_TIMEOUT_MS,
    count_unacknowledged,
    detect_dead_endpoint,
)
from poplarrun.transport._stalls import StallGuard

Headers = list[tuple[bytes, bytes]]

# Received bytes not yet read by the caller above which reading from the socket is paused.
MAX_UNREAD_BYTES = 256 * 1024
# Heads of interim responses before the one of the answer.
MAX_INTERIM_HEADS = 32
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
# How long an idle connection may be reused if the peer sends no Keep-Alive timeout: shorter
# than the usual idle timeouts of servers.
DEFAULT_REUSE_WINDOW_S = 2.0
# Subtracted from the peer's Keep-Alive timeout, which is rounded to whole seconds.
REUSE_MARGIN_S = 0.7


class ConnectFailed(Exception):
    """The connection could not be established, so no byte of a request was sent."""


class ConnectRefused(ConnectFailed):
    """The address was reached, and no process listens there."""


class ConnectionBroken(Exception):
    """The connection ended, or violated HTTP, before the response was complete."""


class RequestWithheld(ConnectionBroken):
    """The connection ended before any byte of the request reached the endpoint."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes
    ----------
    is_framed : bool
        Whether a length or chunks tell its end. Otherwise it ends with the connection.
    """

    status: int
    headers: Headers
    is_framed: bool = True


class ClientConnection(BoundedReceiver):
    """A connection that carries one request at a time.

    Parameters
    ----------
    is_single_use : bool
        Whether it is closed after its first response.

    Attributes
    ----------
    address : str
        ``ip:port`` of the peer.
    uses : int
        Requests sent over the connection so far.
    idle_since : float
        When its last response was complete, by ``seconds_since_boot``.
    """

    def __init__(self, address: str, is_single_use: bool = False) -> None:
        self.address = address
        self.uses = 0
        self.idle_since = 0.0
        self._reuse_window_s = DEFAULT_REUSE_WINDOW_S
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._stall_guard: StallGuard | None = None
        self._backlog: Backlog | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._request_bytes = 0
        self._taken_bytes: int | None = None
        self._is_response_complete = True
        self._must_close = is_single_use
        self._end_reason: str | None = None
        self._is_withheld = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        detect_dead_endpoint(transport)
        self._backlog = Backlog(transport)
        self._stall_guard = StallGuard(transport, ENDPOINT_UNACKED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; unsolicited ones end the connection, since nobody reads them."""
        if self._is_response_complete:
            self.abort()
            return
        self._unread_bytes += len(data)
        self._parse(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Wake the reader after the peer has closed its side of the connection.

        A peer that has not taken the whole request has not answered it either: the end of its side
        doesn't complete an answer that neither a length nor chunks frame.
        """
        if not self._is_response_complete:
            if self._has_untaken_bytes():
                self._record_end("the peer closed before it had taken the request")
            else:
                self._parse(b"")
        self._record_end("the peer closed")
        return False

    def record_taken(self, taken_bytes: int) -> None:
        """Record how many bytes of the request a helper has seen the endpoint take."""
        self._taken_bytes = taken_bytes

    def _has_untaken_bytes(self) -> bool:
        """Return whether a part of the request has not reached the endpoint."""
        if self._transport is None or self._backlog is None:
            return True
        if self._backlog.size or self._transport.get_write_buffer_size():
            return True
        if self._taken_bytes is not None:
            return self._taken_bytes < self._request_bytes
        return count_unacknowledged(self._transport.get_extra_info("socket")) > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the reader after the connection was closed or reset."""
        if self._stall_guard is not None:
            self._stall_guard.stop()
        if self._backlog is not None:
            self._backlog.clear()
        self._record_end("closed" if exc is None else f"reset: {exc}")

    def pause_writing(self) -> None:
        """Keep the rest of the request, because the endpoint reads slowly."""
        if self._backlog is not None:
            self._backlog.pause()

    def resume_writing(self) -> None:
        """Send more of the request."""
        if self._backlog is not None:
            self._backlog.resume()

    def pause_reading(self) -> None:
        """Leave further bytes in the socket's buffer until the next read waits for them."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        is_open = self._end_reason is None and self._transport is not None
        is_fresh = seconds_since_boot() - self.idle_since < self._reuse_window_s
        return is_open and self._is_response_complete and not self._must_close and is_fresh

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bool:
        """Send a whole request; False if the connection had ended before.

        What the endpoint has not read is kept without a copy of the body.
        """
        if self._end_reason is not None or self._transport is None or self._transport.is_closing():
            return False
        assert self._backlog is not None
        if self.uses:
            self._h11 = h11.Connection(h11.CLIENT)
        self.uses += 1
        self._is_response_complete = False
        self._unread_bytes = 0
        sent_headers = [item for item in headers if item[0].lower() != b"content-length"]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            sent_headers.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=sent_headers)
        data = self._h11.send(head) or b""
        sent_body = (self._h11.send(h11.Data(data=body)) or b"") if body else b""
        end = self._h11.send(h11.EndOfMessage()) or b""
        self._request_bytes = len(data) + len(sent_body) + len(end)
        if len(sent_body) <= PIECE_BYTES:
            self._backlog.write(data + sent_body + end)
        else:
            for part in (data, sent_body, end):
                self._backlog.write(part)
        if self._stall_guard is not None:
            self._stall_guard.record_write()
        return True

    async def read_head(self) -> ResponseHead:
        """Wait for status and headers.

        Raises
        ------
        ConnectionBroken
            When the connection ends first, or the response is not valid HTTP.
        """
        for _ in range(MAX_INTERIM_HEADS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._apply_keep_alive(event)
                is_framed = any(name in FRAMING_HEADERS for name, _ in event.headers)
                headers = list(event.headers.raw_items())
                return ResponseHead(event.status_code, headers, is_framed)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken(f"unexpected {type(event).__name__}")
        raise ConnectionBroken("too many interim responses")

    async def read_data(self, timeout_s: float | None = None) -> bytes | None:
        """Wait for the next bytes of the body; None at the end of the response.

        Parameters
        ----------
        timeout_s : float, optional
            How long to wait for bytes that have not arrived yet; None for as long as it takes.

        Raises
        ------
        ConnectionBroken
            When the connection ends first, or the response is not valid HTTP.
        TimeoutError
            When the timeout has passed.
        """
        event = self._poll_event()
        if event is None:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_data()
                event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._complete_response()
            return None
        raise ConnectionBroken(f"unexpected {type(event).__name__}")

    def withhold(self, reason: str) -> None:
        """End the connection; no byte of the request that was sent has reached the endpoint."""
        self._is_withheld = True
        self._record_end(reason)

    def abort(self) -> None:
        """Close the connection at once, by which the peer stops processing the request."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def _parse(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._record_end(f"bytes after the end: {error}")
        self._wake_reader()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self._poll_event()) is None:
            await self._wait_for_data()
        return event

    def _poll_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event of the bytes that have arrived; None if it takes more."""
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionBroken(f"no HTTP: {error}") from error
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        if self._is_withheld:
            raise RequestWithheld(str(self._end_reason))
        if self._end_reason is not None:
            raise ConnectionBroken(self._end_reason)
        return None

    async def _wait_for_data(self) -> None:
        self._unread_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _record_end(self, reason: str) -> None:
        if self._end_reason is None:
            self._end_reason = reason
        self._wake_reader()

    def _apply_keep_alive(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"keep-alive":
                match = KEEP_ALIVE_TIMEOUT.search(value)
                if match is not None:
                    self._reuse_window_s = max(0.0, int(match.group(1)) - REUSE_MARGIN_S)

    def _complete_response(self) -> None:
        """Complete a response; bytes after its end belong to no request."""
        has_more = bool(self._h11.trailing_data[0])
        if has_more or self._h11.our_state is not h11.DONE:
            self._must_close = True
        if self._h11.their_state is not h11.DONE:
            self._must_close = True
        if self._backlog is not None and self._backlog.size:
            # The endpoint answered without reading the whole request.
            self._must_close = True
        self._is_response_complete = True
        self.idle_since = seconds_since_boot()


async def open_connection(address: str, timeout_s: float) -> ClientConnection:
    """Connect to ``ip:port``.

    Raises
    ------
    ConnectFailed
        When the peer doesn't accept the connection in time.
    ConnectRefused
        When the peer refuses it.
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
    except ConnectionRefusedError as error:
        raise ConnectRefused(str(error)) from error
    # A port that doesn't fit into 16 bits is an overflow.
    except (OSError, ValueError, OverflowError) as error:
        raise ConnectFailed(str(error)) from error
    return connection
