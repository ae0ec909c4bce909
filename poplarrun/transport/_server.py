"""An HTTP/1.1 server for callers, on the event loop.

Unlike a thread that waits for an endpoint, a connection on the event loop notices that its
caller has disconnected, that a body is still arriving, or that the next request came early.
"""

import asyncio
import contextlib
import operator
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import h11

from poplarrun.transport._backlog import PIECE_BYTES, Backlog, ignore_change
from poplarrun.transport._receiving import BoundedReceiver
from poplarrun.transport._sockets import (
    CALLER_UNACKED_TIMEOUT_MS,
    detect_dead_peers,
    limit_unsent,
)
from poplarrun.transport._stalls import STALLED_TIMEOUT_MS, StallGuard

# Connections that may wait to be accepted. Callers that find the queue full retry to connect
# only after seconds.
BACKLOG = 512
# Unsent bytes from which on a stream waits for its caller to read.
MAX_UNSENT_BYTES = 64 * 1024
# Bodies up to this size are part of the memory that an open request is counted with.
SMALL_BODY_BYTES = 16 * 1024
# Time for the rest of an answer that was written, as long as a peer may keep its window closed.
# Otherwise a caller that reads a few bytes a second would keep its answer in memory for hours.
SENDING_TIMEOUT_S = STALLED_TIMEOUT_MS / 1000.0
# A caller that has taken none of an answer for so long may lose it to make room for others.
STALLED_CALLER_S = 0.5
# Closing a connection with unread bytes resets it, and the caller may lose the response.
# After a rejected request, bytes are therefore read and discarded for this long.
LINGER_TIMEOUT_S = 1.0
# Bytes that are read of a connection at a time. What belongs to the next requests is kept until
# they begin, by each connection.
READ_BYTES = 16 * 1024
# Allowance for the request line and framing, in addition to the headers.
HEAD_FRAMING_BYTES = 1024
# A new connection counts as one that brings a request for this long, in seconds.
FIRST_REQUEST_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Limits on the size and the duration of callers' requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's headers and body.
    header_timeout_s : float
        Time from a request's first byte to the end of its headers.
    idle_timeout_s : float
        Time until the next request begins, and time for a request's body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class _TimedBound:
    """What a timer measures by one of the bounds.

    Attributes
    ----------
    seconds_of : callable
        Returns the bound.
    started_at : float
        Since when, by the event loop's clock.
    """

    seconds_of: Callable[[ServerBounds], float]
    started_at: float


_HEADER_TIMEOUT = operator.attrgetter("header_timeout_s")
_IDLE_TIMEOUT = operator.attrgetter("idle_timeout_s")

Handler = Callable[["CallerConnection", RequestHead, bytes], Coroutine[Any, Any, None]]


class CallerConnection(BoundedReceiver):
    """One connection of a caller; its requests are processed one after the other.

    Attributes
    ----------
    is_shielded : bool
        Whether the current request continues if its caller disconnects.
    """

    max_received_bytes = READ_BYTES

    def __init__(self, server: "CallerServer") -> None:
        self.is_shielded = False
        self._server = server
        # The library takes its limit once, but the bounds change while a connection is open.
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._begun_bounds = server.bounds
        self._transport: asyncio.Transport | None = None
        self._stall_guard: StallGuard | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_bound: _TimedBound | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._kept_body_bytes = 0
        self._backlog: Backlog | None = None
        self._has_taken = asyncio.Event()
        self._taken_at = 0.0
        self._is_next_delayed = False
        self._closes_when_sent = False
        self._is_closing = False
        self._is_discarding = False
        self._has_partial_request = False
        self._wants_head_only = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the accepted connection and start its idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._backlog = Backlog(transport, self._server.count_unsent)
        sock = transport.get_extra_info("socket")
        detect_dead_peers(sock, CALLER_UNACKED_TIMEOUT_MS)
        limit_unsent(sock)
        self._stall_guard = StallGuard(transport, CALLER_UNACKED_TIMEOUT_MS)
        self._start_timer(_IDLE_TIMEOUT)
        self._server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and start the request once it is complete."""
        if self._is_discarding:
            return
        if not self._has_partial_request and self._task is None:
            self._begin_request()
            self._start_timer(_HEADER_TIMEOUT)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self._abort_transport()
            return
        if self._task is None:
            self._read_request()
        if self._task is not None and self._h11.trailing_data[0] and self._transport is not None:
            # The next requests stay in the socket's buffer until this one is answered.
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its side waits for no answer.

        One that is complete is still sent to its end.
        """
        if self._task is None and self._backlog is not None and self._backlog.size:
            self.close()
            return True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection, and cancel its request unless it is shielded."""
        if self._backlog is not None:
            self._backlog.clear()
        self._has_taken.set()
        self._cancel_timer()
        if self._stall_guard is not None:
            self._stall_guard.stop()
        self._server.connections.pop(self, None)
        self._server.closing.pop(self, None)
        self._server.forget_awaited(self)
        if self._task is None:
            self._keep_body(0)
        elif not self.is_shielded:
            self._task.cancel()

    def unshield(self) -> None:
        """Let the current request end with its connection again, now if that has ended."""
        self.is_shielded = False
        is_gone = self._transport is not None and self._transport.is_closing()
        if is_gone and self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Keep the rest of the answer, because the caller reads slowly."""
        if self._backlog is not None:
            self._backlog.pause()
            self._taken_at = asyncio.get_running_loop().time()

    def resume_writing(self) -> None:
        """Send more of the answer."""
        assert self._backlog is not None and self._transport is not None
        self._taken_at = asyncio.get_running_loop().time()
        self._backlog.resume()
        self._has_taken.set()
        if self._backlog.size:
            return
        if self._closes_when_sent:
            self._transport.close()
        elif self._is_next_delayed:
            self._is_next_delayed = False
            self._begin_next()

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has been received since the last response."""
        return self._task is None and not self._has_partial_request

    @property
    def is_answering(self) -> bool:
        """Whether a request of the caller is being answered."""
        return self._task is not None

    @property
    def is_discarding(self) -> bool:
        """Whether what the caller sends is read only so that it gets its last answer."""
        return self._is_discarding

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has not gone on reading an answer that is complete."""
        is_taking = asyncio.get_running_loop().time() - self._taken_at < STALLED_CALLER_S
        return self._task is None and self.has_unsent and not is_taking

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of an answer wait until the caller has read more."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are kept for the caller until it has read more."""
        if self._transport is None or self._backlog is None:
            return 0
        return self._backlog.size + self._transport.get_write_buffer_size()

    @property
    def has_room(self) -> bool:
        """Whether more of a stream may be kept for the caller."""
        if self._transport is None or self._backlog is None or self._transport.is_closing():
            return True
        return self._server.may_keep_unsent(self._backlog.size)

    @property
    def freeable_bytes(self) -> int:
        """Bytes of a whole answer that its caller has not gone on reading."""
        return self._backlog.size if self._backlog is not None and self.is_stalled else 0

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a complete response; to HEAD only its head."""
        all_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        head = self._encode_head(status, all_headers)
        if head is None:
            return
        sent_body = b""
        if not self._wants_head_only:
            sent_body = self._h11.send(h11.Data(data=body)) or b""
        end = self._h11.send(h11.EndOfMessage()) or b""
        if len(sent_body) <= PIECE_BYTES:
            self._write_bytes(head + sent_body + end)
        else:
            # A large body is not copied.
            for part in (head, sent_body, end):
                self._write_bytes(part)
        self._close_if_last()

    def start_stream(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length."""
        head = self._encode_head(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        if head is not None:
            self._write_bytes(head)

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed response, once the caller has read enough of it."""
        while not self.has_room:
            await self._wait_until_taken()
        self._write(h11.Data(data=data))

    async def wait_until_sent(self) -> None:
        """Wait until nothing more is kept for the caller."""
        while self._backlog is not None and self._backlog.size:
            await self._wait_until_taken()

    async def _wait_until_taken(self) -> None:
        self._has_taken.clear()
        await self._has_taken.wait()

    def end_response(self) -> None:
        """Complete a streamed response."""
        self._write(h11.EndOfMessage())
        self._close_if_last()

    def abort_response(self) -> None:
        """Abort the connection, so that the caller sees that the response is incomplete."""
        self._abort_transport()

    def close(self) -> None:
        """Close the connection after all data is sent."""
        is_open = self._transport is not None and not self._transport.is_closing()
        if self._transport is not None and is_open and not self._closes_when_sent:
            if self.has_unsent:
                self._closes_when_sent = self._is_discarding = True
                self._set_timer(SENDING_TIMEOUT_S)
            if self._backlog is None or not self._backlog.size:
                self._transport.close()
            # Its end is reported only later; until then it must not be closed for another one.
            self._server.connections.pop(self, None)
            self._server.closing[self] = None

    def _encode_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes | None:
        if self._transport is None or self._transport.is_closing():
            return None
        if self._server.is_stopping or self._is_closing:
            self._is_closing = True
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=b"")
        return self._h11.send(head) or b""

    def _close_if_last(self) -> None:
        if self._is_closing or self._h11.our_state is h11.MUST_CLOSE:
            self.close()

    def _write(self, event: h11.Event) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._write_bytes(self._h11.send(event) or b"")

    def _write_bytes(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            assert self._backlog is not None
            self._backlog.write(data)
            if self._stall_guard is not None:
                self._stall_guard.record_write()

    def _read_request(self) -> None:
        """Process events until the request is complete or rejected, or more bytes are needed."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_request(error.error_status_hint, str(error))
                return
            match event:
                case h11.Request():
                    headers = list(event.headers.raw_items())
                    self._head = RequestHead(event.method, event.target, headers)
                    if not self._check_head(event):
                        return
                case h11.Data():
                    self._body_bytes += len(event.data)
                    if not self._server.has_body_room(self._body_bytes, self._kept_body_bytes):
                        self._reject_body()
                        return
                    self._keep_body(self._body_bytes)
                    self._body.append(bytes(event.data))
                    if self._body_bytes > self._max_body_bytes:
                        self._reject_request(413, "body: is too large")
                        return
                case h11.EndOfMessage():
                    self._start_request()
                    return
                case h11.ConnectionClosed():
                    self.close()
                    return
                case _:
                    self._check_incomplete()
                    return

    def _begin_request(self) -> None:
        """Note that the first bytes of a request have arrived, and by which bounds it was sent."""
        self._has_partial_request = True
        self._begun_bounds = self._server.bounds

    @property
    def _max_header_bytes(self) -> int:
        """Size that the headers may have: a request under way is not held to lowered bounds."""
        return max(self._begun_bounds.header_bytes, self._server.bounds.header_bytes)

    @property
    def _max_body_bytes(self) -> int:
        return max(self._begun_bounds.body_bytes, self._server.bounds.body_bytes)

    def _check_incomplete(self) -> None:
        """Reject a request of which the received part is too large without being complete."""
        unparsed, _ = self._h11.trailing_data
        if len(unparsed) > self._max_header_bytes + HEAD_FRAMING_BYTES:
            self._reject_request(431, "headers: are too large")

    def _check_head(self, head: h11.Request) -> bool:
        self._cancel_timer()
        # The body may arrive slowly, but must be complete within the idle timeout.
        self._start_timer(_IDLE_TIMEOUT)
        names = [name for name, _ in head.headers]
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > self._max_header_bytes:
            self._reject_request(431, "headers: are too large")
            return False
        if b"transfer-encoding" in names and b"content-length" in names:
            # Request smuggling: servers that follow different ones of the two framings would
            # see different requests.
            self._reject_request(400, "body: has two framings")
            return False
        length = dict(head.headers).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._reject_request(413, "body: is too large")
            return False
        if length.isdigit() and not self._server.has_body_room(int(length), 0):
            self._reject_body()
            return False
        if self._h11.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[], reason=b""))
        return True

    def _start_request(self) -> None:
        assert self._head is not None
        self._server.forget_awaited(self)
        self._cancel_timer()
        head, body = self._head, b"".join(self._body)
        self._head, self._body, self._body_bytes = None, [], 0
        self._wants_head_only = head.method == b"HEAD"
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._server.handler(self, head, body))
        self._task.add_done_callback(self._finish_request)

    def _finish_request(self, task: asyncio.Task[None]) -> None:
        """Prepare for the next request after a response was written."""
        self._task = None
        self._keep_body(0)
        self._has_partial_request = False
        self.is_shielded = False
        if not task.cancelled() and task.exception() is not None:
            self._server.report_crash(task.exception())
            self._abort_transport()
            return
        if self._transport is None or self._transport.is_closing() or self._closes_when_sent:
            return
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._abort_transport()
            return
        if self.has_unsent:
            # A caller that sends requests and reads no answers gets one answer kept at a time.
            self._is_next_delayed = True
            self._transport.pause_reading()
            self._set_timer(SENDING_TIMEOUT_S)
            return
        self._begin_next()

    def _begin_next(self) -> None:
        assert self._transport is not None
        self._h11.start_next_cycle()
        self._start_timer(_IDLE_TIMEOUT)
        if self._h11.trailing_data[0]:
            self._begin_request()
            self._read_request()
        if self._task is None:
            self._transport.resume_reading()

    def _reject_body(self) -> None:
        """Reject a request whose body does not fit into the host's memory beside the others."""
        self._server.on_body_rejected()
        self._reject_request(503, "queue_full: host is full", [(b"Retry-After", b"1")])

    def _keep_body(self, size: int) -> None:
        self._server.kept_body_bytes += size - self._kept_body_bytes
        self._kept_body_bytes = size

    def _reject_request(
        self, status: int, text: str, more_headers: list[tuple[bytes, bytes]] | None = None
    ) -> None:
        """Reject a request that can't be processed, and discard the rest of it."""
        self._body = []
        self._keep_body(0)
        self._cancel_timer()
        self._is_discarding = True
        self._is_closing = True
        body = text.encode("latin-1", "replace")
        headers = [(b"Content-Length", str(len(body)).encode()), (b"Connection", b"close")]
        headers += more_headers or []
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(h11.Response(status_code=status, headers=headers, reason=b""))
            self._write(h11.Data(data=body))
            self._write(h11.EndOfMessage())
        self._timer = asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self.close)

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._handle_timeout)

    def _start_timer(self, seconds_of: Callable[[ServerBounds], float]) -> None:
        """Set the timer by one of the bounds, which may be raised until it runs out."""
        self._set_timer(seconds_of(self._server.bounds))
        self._timed_bound = _TimedBound(seconds_of, asyncio.get_running_loop().time())

    def _cancel_timer(self) -> None:
        self._timed_bound = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _extend_timer(self) -> bool:
        """Set the timer for the rest of a bound that was raised meanwhile; False if none was."""
        if self._timed_bound is None:
            return False
        bound, loop = self._timed_bound, asyncio.get_running_loop()
        remaining_s = bound.started_at + bound.seconds_of(self._server.bounds) - loop.time()
        if remaining_s <= 0.0:
            return False
        self._timer = loop.call_later(remaining_s, self._handle_timeout)
        return True

    def _handle_timeout(self) -> None:
        if self._extend_timer():
            return
        if self._closes_when_sent or self._is_next_delayed:
            self._server.on_slow_ended()
            self._abort_transport()
        elif self._has_partial_request:
            self._reject_request(408, "request: did not arrive in time")
        else:
            self.close()

    def _abort_transport(self) -> None:
        if self._backlog is not None:
            self._backlog.clear()
        if self._transport is not None:
            self._transport.abort()


def accept_all(_: int) -> bool:
    """Accept any number of connections."""
    return True


def keep_little(unsent_bytes: int) -> bool:
    """Keep the same number of bytes of a stream for each caller, however many there are."""
    return unsent_bytes < MAX_UNSENT_BYTES


def ignore_end() -> None:
    """Count nothing; for servers without metrics."""


class CallerServer:
    """Accepts callers' connections.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers one request.
    report_crash : callable
        Called with the unexpected exception that ended a handler.

    Attributes
    ----------
    bounds : ServerBounds
        Apply to all connections from their next request on; what they raise applies at once.
    is_stopping : bool
        Whether responses ask callers to close their connections.
    max_connections : int, optional
        Maximum number of open connections; None for no limit.
    prefers_new : bool
        Whether a new connection beyond the maximum takes the place of one whose request has not
        arrived yet, rather than being closed.
    may_accept : callable
        Returns whether a new connection may stay, given how many others have just been accepted and
        have sent no request yet. Otherwise it is closed unread, and its caller can go elsewhere.
    count_unsent : callable
        Called with the bytes that are kept for callers more than before, or fewer.
    may_keep_unsent : callable
        Returns whether more of a stream may be kept for a caller for which so many bytes are.
    on_slow_ended, on_body_rejected : callable
        Called when a connection is ended whose caller does not take its answer, and when a body
        does not fit beside the others.
    max_body_bytes : int, optional
        Bytes that the bodies of all requests may take; None for no limit.
    kept_body_bytes : int
        Bytes that they take, from their arrival to the end of their requests.
    connections : dict of CallerConnection to None
        Open connections in the order in which they were accepted.
    closing : dict of CallerConnection to None
        Connections that end once all their bytes are sent.
    """

    def __init__(self, handler: Handler, report_crash: Callable[[BaseException | None], None]):
        self.handler = handler
        self.report_crash = report_crash
        self.bounds = ServerBounds()
        self.is_stopping = False
        self.max_connections: int | None = None
        self.prefers_new = False
        self.may_accept: Callable[[int], bool] = accept_all
        self.count_unsent: Callable[[int], None] = ignore_change
        self.may_keep_unsent: Callable[[int], bool] = keep_little
        self.on_slow_ended: Callable[[], None] = ignore_end
        self.on_body_rejected: Callable[[], None] = ignore_end
        self.max_body_bytes: int | None = None
        self.kept_body_bytes = 0
        self.connections: dict[CallerConnection, None] = {}
        self.closing: dict[CallerConnection, None] = {}
        self._servers: list[asyncio.Server] = []
        self._accepted_at: dict[CallerConnection, float] = {}

    async def listen(self, address: str) -> None:
        """Accept connections at ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    def add_connection(self, connection: CallerConnection) -> None:
        """Register a new connection; above the maximum, end another one or else this one.

        Otherwise, callers that connect and stay idle could use up all sockets of the host,
        which could then neither accept callers nor connect to endpoints.
        """
        now = asyncio.get_running_loop().time()
        if not self.may_accept(self._count_awaited(now)):
            connection.close()
            return
        self._accepted_at[connection] = now
        open_count = len(self.connections) + sum(each.has_unsent for each in self.closing)
        if self.max_connections is not None and open_count >= self.max_connections:
            ended = self._find_replaceable()
            if ended is None:
                connection.close()
                return
            if ended.has_unsent:
                # Closed in order, it would take its socket until its caller has read all.
                self.on_slow_ended()
                ended.abort_response()
            else:
                ended.close()
        self.connections[connection] = None

    def _find_replaceable(self) -> CallerConnection | None:
        """Return the connection that a new one replaces; None if each is in use.

        The oldest one that is idle, or whose caller does not read its answer, or was rejected.
        """
        for candidate in self.connections:
            if candidate.is_idle and not candidate.has_unsent:
                return candidate
        for candidate in (*self.closing, *self.connections):
            if candidate.is_stalled or candidate.is_discarding:
                return candidate
        if not self.prefers_new:
            return None
        return next((each for each in self.connections if not each.is_answering), None)

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of an answer wait until its caller has read more."""
        return any(connection.has_unsent for connection in (*self.connections, *self.closing))

    @property
    def unsent_bytes(self) -> tuple[int, int]:
        """Bytes kept for all callers until they read more, and for the one with the most."""
        sizes = [connection.unsent_bytes for connection in (*self.connections, *self.closing)]
        return sum(sizes), max(sizes, default=0)

    def has_body_room(self, size: int, kept: int) -> bool:
        """Return whether a body may take so many bytes, of which some are kept already."""
        if self.max_body_bytes is None or size <= SMALL_BODY_BYTES:
            return True
        return self.kept_body_bytes - kept + size <= self.max_body_bytes

    def free_unsent(self, needed: int) -> None:
        """Abort the largest whole answers whose callers have stopped reading, for so many bytes."""
        stalled = [
            (connection.freeable_bytes, connection)
            for connection in (*self.connections, *self.closing)
        ]
        for size, connection in sorted(stalled, key=operator.itemgetter(0), reverse=True):
            if needed <= 0 or size == 0:
                return
            needed -= size
            self.on_slow_ended()
            connection.abort_response()

    def _count_awaited(self, now: float) -> int:
        """Return how many connections were accepted lately and have sent no request yet."""
        for connection, accepted_at in list(self._accepted_at.items()):
            if now - accepted_at < FIRST_REQUEST_TIMEOUT_S:
                break
            del self._accepted_at[connection]
        return len(self._accepted_at)

    def forget_awaited(self, connection: CallerConnection) -> None:
        """Note that a connection has sent its first request, or has ended."""
        self._accepted_at.pop(connection, None)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop_accepting(self) -> None:
        """Stop accepting new connections."""
        for server in self._servers:
            server.close()
