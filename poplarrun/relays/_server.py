"""The helping side of relayed connections."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from poplarrun.paths import Decline, DeclineReason
from poplarrun.relays._answer_head import AnswerHead, AnswerHeadReader
from poplarrun.relays._messages import (
    MAX_MESSAGE_BYTES,
    FrameReader,
    MalformedFrame,
    OpenRelay,
    RelayDeclined,
    RelayEnded,
    RelayOpened,
    decode_message,
    encode_frame,
    encode_message,
)
from poplarrun.transport import (
    ENDPOINT_UNACKED_TIMEOUT_MS,
    StallGuard,
    count_unacknowledged,
    detect_dead_endpoint,
)

# Time within which a peer must say what it wants.
OPEN_TIMEOUT_S = 1.0
# Connections of peers that may wait for that at the same time.
MAX_OPENING = 200
# Unsent bytes of one direction above which reading from the other side is paused.
MAX_UNSENT_BYTES = 64 * 1024
MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RelayTarget:
    """Where to connect for a peer.

    Attributes
    ----------
    load : float
        Fraction of this host's room that is used, for the reply.
    """

    address: str
    load: float


@dataclass(frozen=True, slots=True)
class RelayEnd:
    """A relayed connection that has ended.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Bytes to the endpoint and from it.
    is_by_endpoint : bool
        Whether the endpoint ended it, and not the peer.
    """

    request: OpenRelay
    seconds: float
    sent_bytes: int
    received_bytes: int
    is_by_endpoint: bool


class RelayDecisions(Protocol):
    """What a helper decides about relayed connections, and learns from them."""

    def admit(self, request: OpenRelay, peer_ip: str) -> RelayTarget | Decline:
        """Return where to connect for a peer, or why not."""

    def check(self, request: OpenRelay) -> Decline | None:
        """Return why the endpoint may get nothing any more; None if it may."""

    def record_failed(self, request: OpenRelay) -> None:
        """Record that no connection was established."""

    def record_answer(self, request: OpenRelay, head: AnswerHead) -> None:
        """Record the head of the endpoint's answer."""

    def record_end(self, end: RelayEnd) -> None:
        """Record that a relayed connection has ended."""


class RelayServer:
    """Relays connections of peers to endpoints.

    Parameters
    ----------
    report_crash : callable
        Called with an unexpected error, which ends the one connection.

    Attributes
    ----------
    open_relays : int
        Connections that are relayed or being established, until all bytes for the peer are sent.
    """

    def __init__(
        self,
        decisions: RelayDecisions,
        report_crash: Callable[[BaseException | None], None],
    ) -> None:
        self.decisions = decisions
        self._report_crash = report_crash
        self.open_relays = 0
        self.opening: set[_PeerSide] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: str) -> None:
        """Accept connections of peers at ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _PeerSide(self), host, int(port))

    def start(self, side: "_PeerSide", request: OpenRelay) -> None:
        """Connect to the endpoint that a peer asked for."""
        self.open_relays += 1
        task = asyncio.get_running_loop().create_task(self._connect(side, request))
        side.task = task
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._handle_done(done, side))

    def _handle_done(self, task: asyncio.Task[None], side: "_PeerSide") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._report_crash(task.exception())
            side.abort()

    async def _connect(self, side: "_PeerSide", request: OpenRelay) -> None:
        is_open = False
        try:
            target = self.decisions.admit(request, side.peer_ip)
            if isinstance(target, Decline):
                side.decline(target)
                return
            is_open = await self._open_endpoint(side, request, target)
        finally:
            if not is_open:
                self.open_relays -= 1

    async def _open_endpoint(
        self, side: "_PeerSide", request: OpenRelay, target: RelayTarget
    ) -> bool:
        host, _, port = target.address.rpartition(":")
        endpoint = _EndpointSide(self, side, request)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(request.timeout_ms / 1000.0):
                await loop.create_connection(lambda: endpoint, host, int(port))
        except (TimeoutError, OSError, ValueError, OverflowError):
            endpoint.abort()
        if side.is_closed or endpoint.is_closed:
            endpoint.abort()
            self.decisions.record_failed(request)
            side.decline(Decline(DeclineReason.NO_PATH))
            return False
        side.open(endpoint, request, RelayOpened(target.load))
        return True


class _Side(asyncio.Protocol):
    """One of the two connections of a relay; what one can't take, the other doesn't read."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.is_closed = False
        self._stall_guard: StallGuard | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        detect_dead_endpoint(transport)
        self._stall_guard = StallGuard(transport, ENDPOINT_UNACKED_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._stall_guard is not None:
            self._stall_guard.stop()

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self._stall_guard is not None:
                self._stall_guard.record_write()

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait until the other host has read more."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Close the connection once all bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()


class _PeerSide(_Side):
    """The connection of the asking host."""

    def __init__(self, server: RelayServer) -> None:
        super().__init__()
        self._server = server
        self._frames = FrameReader(MAX_MESSAGE_BYTES)
        self._is_opening = False
        self._request: OpenRelay | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_flushing = False
        self.peer_ip = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.peer_ip = (transport.get_extra_info("peername") or ("",))[0]
        if len(self._server.opening) >= MAX_OPENING:
            self.abort()
            return
        self._server.opening.add(self)
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(OPEN_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self._pass_on(self.other, data)
            return
        try:
            self._read_request(data)
        except MalformedFrame:
            self.abort()

    def _pass_on(self, endpoint: _Side, data: bytes) -> None:
        """Pass on bytes of the request, if the endpoint may still get it when they begin."""
        request, self._request = self._request, None
        decline = None if request is None else self._server.decisions.check(request)
        if decline is None:
            endpoint.write(data)
            return
        self.other = None
        endpoint.abort()
        self.decline(decline)

    def _read_request(self, data: bytes) -> None:
        """Read the peer's request, which must come alone: its bytes wait for the reply."""
        self._frames.feed(data)
        frame = None if self._is_opening else self._frames.next_frame()
        if self._is_opening or (frame is not None and self._frames.has_rest):
            raise MalformedFrame("bytes before the reply")
        if frame is None:
            return
        if not frame.is_message:
            raise MalformedFrame("no message")
        request = decode_message(frame.content)
        if not isinstance(request, OpenRelay):
            raise MalformedFrame("no request")
        self._is_opening = True
        self._end_opening()
        self._server.start(self, request)

    def _end_opening(self) -> None:
        self._server.opening.discard(self)
        if self._timeout is not None:
            self._timeout.cancel()

    def open(self, endpoint: "_EndpointSide", request: OpenRelay, reply: RelayOpened) -> None:
        """Pass bytes in both directions from now on."""
        self.write(encode_message(reply))
        self._request = request
        endpoint.is_relaying = True
        self.other = endpoint

    def decline(self, decline: Decline) -> None:
        """Say why there is no connection."""
        retry_after_ms = int(decline.retry_after_s * MILLISECONDS_PER_S)
        self.write(encode_message(RelayDeclined(retry_after_ms, decline.reason.value)))
        self.close()

    def eof_received(self) -> bool:
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._end_opening()
        self._leave()
        if self.is_flushing:
            self.is_flushing = False
            self._server.open_relays -= 1

    def _leave(self) -> None:
        """End the work at the endpoint: nobody waits for it any more."""
        self.is_closed = True
        if self.other is not None:
            self.other.abort()
        elif self.task is not None:
            self.task.cancel()


class _EndpointSide(_Side):
    """The connection to the endpoint."""

    def __init__(self, server: RelayServer, peer: _PeerSide, request: OpenRelay) -> None:
        super().__init__()
        self.other = peer
        self._peer = peer
        self._server = server
        self._request = request
        self._started_at = time.monotonic()
        self._sent_bytes = 0
        self._received_bytes = 0
        self._head = AnswerHeadReader()
        self.is_relaying = False
        self._has_ended = False

    def write(self, data: bytes) -> None:
        self._sent_bytes += len(data)
        super().write(data)

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        head = self._head.feed(data)
        if head is not None:
            self._server.decisions.record_answer(self._request, head)
        if self.other is not None:
            self.other.write(encode_frame(data))

    def eof_received(self) -> bool:
        self.is_closed = True
        self._has_ended = True
        if self.is_relaying and self.other is not None:
            if self._request.wants_taken:
                self.other.write(encode_message(RelayEnded(self._count_taken())))
            self.other.write(encode_frame(b""))
            self.other.close()
        return False

    def _count_taken(self) -> int:
        """Return how many bytes of the asking host have reached the endpoint."""
        if self.transport is None:
            return 0
        untaken = self.transport.get_write_buffer_size()
        untaken += count_unacknowledged(self.transport.get_extra_info("socket"))
        return max(0, self._sent_bytes - untaken)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.is_closed = True
        if not self.is_relaying:
            return
        self.is_relaying = False
        if self._peer.has_unsent:
            self._peer.is_flushing = True
        else:
            self._server.open_relays -= 1
        seconds = time.monotonic() - self._started_at
        is_by_endpoint = self._has_ended or exc is not None
        end = RelayEnd(
            self._request, seconds, self._sent_bytes, self._received_bytes, is_by_endpoint
        )
        self._server.decisions.record_end(end)
        if exc is not None and self.other is not None:
            # Without an empty frame, an answer without a length does not look complete.
            self.other.close()
