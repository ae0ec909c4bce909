"""HTTP/1.1 towards callers, on the loop.

A connection sees what a thread that waits for an endpoint can't: that its caller
has left, that a body is still arriving, and that the next request came early.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import h11

from poplarrun.transport._sockets import CALLER_UNACKED_MS, detect_dead_peers

# New connections that may wait to be accepted: a burst of callers that finds the
# queue full would come back only after seconds.
BACKLOG = 512
# Bytes that may wait unsent before a caller that reads slowly holds its answer up.
MOST_UNSENT_BYTES = 64 * 1024
# A connection with unread bytes is reset when it is closed, and the caller may lose
# the answer: what still arrives is read and dropped for so long, in seconds.
LINGER_S = 1.0
# Room that the framing of a head takes besides its headers.
HEAD_FRAMING_BYTES = 1024


@dataclass(slots=True)
class ServerBounds:
    """What callers may send and how long they may take; changed in place."""

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


Handler = Callable[["CallerConnection", RequestHead, bytes], Coroutine[Any, Any, None]]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; answers its requests one after the other.

    Attributes
    ----------
    is_shielded : bool
        Whether the request under way goes on although its caller leaves.
    """

    def __init__(self, server: "CallerServer") -> None:
        self.is_shielded = False
        self._server = server
        self._machine = h11.Connection(h11.SERVER, server.bounds.header_bytes + HEAD_FRAMING_BYTES)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_closing = False
        self._is_discarding = False
        self._has_part = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MOST_UNSENT_BYTES)
        detect_dead_peers(transport.get_extra_info("socket"), CALLER_UNACKED_MS)
        self._set_timer(self._server.bounds.idle_timeout_s)
        self._server.take(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and start the request once it is whole."""
        if self._is_discarding:
            return
        if not self._has_part and self._task is None:
            self._has_part = True
            self._set_timer(self._server.bounds.header_timeout_s)
        try:
            self._machine.receive_data(data)
        except h11.RemoteProtocolError:
            self._transport_abort()
            return
        if self._task is None:
            self._read_request()
        elif self._machine.trailing_data[0] and self._transport is not None:
            # The next request waits in the socket until this one is answered.
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close as well: nobody waits for an answer any more."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._can_write.set()
        self._cancel_timer()
        self._server.connections.pop(self, None)
        if self._task is not None and not self.is_shielded:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold the answer up: the caller reads slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let the answer go on."""
        self._can_write.set()

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has come since the last answer."""
        return self._task is None and not self._has_part

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a whole answer, in one write."""
        sized = [*headers, (b"Content-Length", str(len(body)).encode())]
        head = self._head_bytes(status, sized)
        if head is None:
            return
        data = head + (self._machine.send(h11.Data(data=body)) or b"")
        data += self._machine.send(h11.EndOfMessage()) or b""
        self._write_bytes(data)
        self._close_if_last()

    def start_stream(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose length nobody knows yet."""
        head = self._head_bytes(status, [*headers, (b"Transfer-Encoding", b"chunked")])
        if head is not None:
            self._write_bytes(head)

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a stream, once the caller has read enough of what came before."""
        await self._can_write.wait()
        self._write(h11.Data(data=data))

    def end_response(self) -> None:
        """End an answer in full."""
        self._write(h11.EndOfMessage())
        self._close_if_last()

    def abort_response(self) -> None:
        """End an answer so that the caller sees that it is not whole."""
        self._transport_abort()

    def close(self) -> None:
        """Close once everything is sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    def _head_bytes(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes | None:
        if self._transport is None or self._transport.is_closing():
            return None
        if self._server.is_stopping or self._is_closing:
            self._is_closing = True
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=b"")
        return self._machine.send(head) or b""

    def _close_if_last(self) -> None:
        if self._is_closing or self._machine.our_state is h11.MUST_CLOSE:
            self.close()

    def _write(self, event: h11.Event) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._write_bytes(self._machine.send(event) or b"")

    def _write_bytes(self, data: bytes) -> None:
        if data and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _read_request(self) -> None:
        """Pull events until the request is whole, more bytes are needed, or it is refused."""
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint, str(error))
                return
            match event:
                case h11.Request():
                    headers = list(event.headers.raw_items())
                    self._head = RequestHead(event.method, event.target, headers)
                    if not self._check_head(event):
                        return
                case h11.Data():
                    self._body.append(bytes(event.data))
                    self._body_bytes += len(event.data)
                    if self._body_bytes > self._server.bounds.body_bytes:
                        self._refuse(413, "body: is too large")
                        return
                case h11.EndOfMessage():
                    self._begin()
                    return
                case h11.ConnectionClosed():
                    self.close()
                    return
                case _:
                    return

    def _check_head(self, head: h11.Request) -> bool:
        self._cancel_timer()
        # A body may be slow, but not endless: it has the idle timeout to arrive.
        self._set_timer(self._server.bounds.idle_timeout_s)
        names = [name for name, _ in head.headers]
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > self._server.bounds.header_bytes:
            self._refuse(431, "headers: are too large")
            return False
        if b"transfer-encoding" in names and b"content-length" in names:
            # Two framings of one body: hosts that believe different ones would see
            # another request inside it.
            self._refuse(400, "body: has two framings")
            return False
        length = dict(head.headers).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._server.bounds.body_bytes:
            self._refuse(413, "body: is too large")
            return False
        if self._machine.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[], reason=b""))
        return True

    def _begin(self) -> None:
        assert self._head is not None
        self._cancel_timer()
        head, body = self._head, b"".join(self._body)
        self._head, self._body, self._body_bytes = None, [], 0
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._server.handler(self, head, body))
        self._task.add_done_callback(self._go_on)

    def _go_on(self, task: asyncio.Task[None]) -> None:
        """Get ready for the next request once the answer is out."""
        self._task = None
        self._has_part = False
        self.is_shielded = False
        if not task.cancelled() and task.exception() is not None:
            self._server.report_crash(task.exception())
            self._transport_abort()
            return
        if self._transport is None or self._transport.is_closing():
            return
        if self._machine.our_state is not h11.DONE or self._machine.their_state is not h11.DONE:
            self._transport_abort()
            return
        self._machine.start_next_cycle()
        self._transport.resume_reading()
        self._set_timer(self._server.bounds.idle_timeout_s)
        if self._machine.trailing_data[0]:
            self._has_part = True
            self._read_request()

    def _refuse(self, status: int, text: str) -> None:
        """Answer a request that can't be read on, and drop the rest of it."""
        self._cancel_timer()
        self._is_discarding = True
        self._is_closing = True
        body = text.encode("latin-1", "replace")
        headers = [(b"Content-Length", str(len(body)).encode()), (b"Connection", b"close")]
        with contextlib.suppress(h11.LocalProtocolError):
            self._write(h11.Response(status_code=status, headers=headers, reason=b""))
            self._write(h11.Data(data=body))
            self._write(h11.EndOfMessage())
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.close)

    def _set_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._time_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        if self._has_part:
            self._refuse(408, "request: did not arrive in time")
        else:
            self.close()

    def _transport_abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class CallerServer:
    """Accepts callers' connections.

    Parameters
    ----------
    handler : callable
        Answers one request.
    report_crash : callable
        Told of an error that a handler did not expect.

    Attributes
    ----------
    bounds : ServerBounds
        In force for all connections from the next request on.
    is_stopping : bool
        Whether answers tell callers to close their connections.
    most_connections : int, optional
        Connections that are kept at once; None for no bound.
    connections : dict of CallerConnection to None
        In the order in which they were accepted.
    """

    def __init__(self, handler: Handler, report_crash: Callable[[BaseException | None], None]):
        self.handler = handler
        self.report_crash = report_crash
        self.bounds = ServerBounds()
        self.is_stopping = False
        self.max_connections: int | None = None
        self.connections: dict[CallerConnection, None] = {}
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str) -> None:
        """Accept connections at ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    def take(self, connection: CallerConnection) -> None:
        """Keep a new connection, in place of an idle one where there are too many.

        Callers that connect and stay idle would take all sockets of the host, which
        then could neither accept a caller nor connect to an endpoint.
        """
        is_full = self.max_connections is not None
        if is_full and len(self.connections) >= (self.max_connections or 0):
            idle = (kept for kept in self.connections if kept.is_idle)
            next(idle, connection).close()
        self.connections[connection] = None

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def stop_accepting(self) -> None:
        """Take no new connections."""
        for server in self._servers:
            server.close()
