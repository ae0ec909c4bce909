"""A simulated endpoint of the platform: a streaming model engine or a plain service."""

import asyncio
import contextlib
import enum
import json
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.transport import CallerConnection, CallerServer, RequestHead
from standins.installation._unframed import send_cut_head, send_unframed, send_without_end

EVENT_INTERVAL_S = 0.01
PAUSE_S = 4.0
LATE_REJECTION_S = 1.0
# Interval between the events of a slow stream, as a multiple of the usual one.
SLOW_FACTOR = 40
FLOOD_EVENT_BYTES = 4096
EVENT_BEGIN = b"id: 1\nda"
# A socket that lingers for no time resets its connection when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """How an endpoint answers one request otherwise than usual.

    The unframed answers have neither a length nor chunks, and end with their connection.
    """

    NOT_RUN = "rejects the request as not executed"
    NOT_RUN_LATE = "rejects the request as not executed after a second"
    ERROR = "executes the request and answers with an error"
    RAN_408 = "executes the request and answers 408"
    RAN_429 = "executes the request and answers 429"
    RAN_503 = "executes the request and answers 503"
    LOST = "executes the request and closes the connection without an answer"
    CUT = "aborts the answer in the middle"
    OTHER_ID = "answers with another request's id"
    UNSIGNED = "answers without the instance signature"
    EXTRA = "sends a second answer"
    MUTE = "accepts the request and does not answer"
    SLOW = "streams with long intervals between events"
    FLOOD = "streams events of 4 KB without an interval"
    PAUSE = "pauses for 4 s in the middle of a stream"
    UNFRAMED = "is unframed and ends in order"
    UNFRAMED_AT_ONCE = "is unframed and comes in one packet"
    UNFRAMED_SLOW = "is unframed and has long intervals"
    UNFRAMED_INSIDE = "is unframed and ends inside its third event"
    UNFRAMED_SHORT = "is unframed and ends after its second event"
    UNFRAMED_EMPTY = "is unframed and ends after its head"
    UNFRAMED_RESET = "is unframed and is reset after its last byte"
    UNFRAMED_RESET_INSIDE = "is unframed and is reset in its middle"
    CUT_STATUS = "ends inside its status line"
    CUT_HEADER = "ends inside a header"
    CUT_HEAD = "ends before the last empty line of its head"
    CUT_HEAD_AFTER_INTERIM = "ends inside its head, after an interim one"
    ENDLESS = "begins and goes on without end"
    ENDLESS_SLOW = "begins and trickles without end"
    ENDLESS_AT_ONCE = "goes on without end"
    ENDLESS_SLOW_AT_ONCE = "trickles without end"
    ENDLESS_BLANK = "goes on with blank lines without end"
    ENDLESS_COMMENTS = "goes on with comments without end"
    ENDLESS_UNNUMBERED = "goes on with events without an id without end"
    ENDLESS_REPEATED = "goes on with its first event without end"
    ENDLESS_COMMENTS_SLOW = "trickles comments without end"
    ENDLESS_REPEATED_SLOW = "trickles its first event without end"


# Statuses that promise that a request has not run, of answers to requests that have.
RAN_STATUSES = {Fault.RAN_408: 408, Fault.RAN_429: 429, Fault.RAN_503: 503}
UNFRAMED_FAULTS = frozenset(fault for fault in Fault if fault.name.startswith("UNFRAMED"))
ENDLESS_FAULTS = frozenset(fault for fault in Fault if fault.name.startswith("ENDLESS"))
# The last byte of the head that is sent.
CUT_HEADS = {
    Fault.CUT_STATUS: 11,
    Fault.CUT_HEADER: -9,
    Fault.CUT_HEAD: -2,
    Fault.CUT_HEAD_AFTER_INTERIM: -2,
}
ENDLESS_PIECE = b"x" * 4096
# Complete events of which no end comes, and the interval between two writes of them in seconds.
ENDLESS_EVENTS = {
    Fault.ENDLESS_BLANK: b"\n" * 4096,
    Fault.ENDLESS_COMMENTS: b": c\n\n" * 800,
    Fault.ENDLESS_UNNUMBERED: b"data: x\n\n" * 450,
    Fault.ENDLESS_REPEATED: b"id: 1\ndata: small 1\n\n" * 260,
    Fault.ENDLESS_COMMENTS_SLOW: b": c\n\n",
    Fault.ENDLESS_REPEATED_SLOW: b"id: 1\ndata: small 1\n\n",
}
SLOW_FAULTS = frozenset(
    fault for fault in Fault if fault.name.startswith("ENDLESS") and "SLOW" in fault.name
)


@dataclass
class ReceivedRequest:
    """A request that the endpoint received, and whether it was executed or its caller left.

    Attributes
    ----------
    received_at : float
        Monotonic time, in seconds.
    peer_ip : str
        Address from which it came, which differs by host where links can be cut.
    """

    method: bytes
    target: bytes
    headers: dict[str, str]
    body: bytes
    received_at: float
    peer_ip: str = ""
    is_executed: bool = False
    is_disconnected: bool = False


@dataclass(frozen=True)
class HoldOffDemand:
    """A rejection with which the endpoint asked a host to stay away.

    Attributes
    ----------
    asked_at : float
        Monotonic time, in seconds.
    """

    peer_ip: str
    asked_at: float
    seconds: float


@dataclass
class Endpoint:
    """A simulated endpoint with an HTTP server.

    Attributes
    ----------
    confidence : dict of str to int
        Confidence that each model reports, 0 to 100.
    event_count : int
        Number of events in a complete stream.
    faults : deque of Fault
        Faults of the next requests, one per request.
    received_requests : list of ReceivedRequest
        All requests received so far.
    rate_limit : str
        The rate limit that its answers name; empty for none.
    hold_off : str
        It rejects all requests and asks for so many seconds without any; empty for none.
    hold_off_demands : list of HoldOffDemand
        The rejections with which it asked for that.
    announces_leaving : bool
        Whether its answers say that it is leaving.
    body : bytes
        Body of its plain answers; a text with its id if empty.
    unread_timeout_s : float, optional
        It cuts off a stream of 4 KB events that is not read for so long; None if it waits.
    first_event_delay_s : float
        Time between the arrival of a request and the begin of its answer.
    is_fatal : callable, optional
        Whether the process ends when it begins to answer a request.
    fatal_after_events : int
        Events of such an answer that it sends before; plain answers have none.
    resets_at_end : bool
        Whether the end of the process resets its connections, and else closes them.
    report_end : callable
        Called when the process has ended.
    has_ended : bool
        Whether the process has ended and has not been started again.
    """

    instance_id: str
    service: str
    address: str
    zone: str = "a"
    version: str = "v1"
    slots: int = 8
    is_engine: bool = False
    is_draining: bool = False
    started_at_ms: int = 1_000
    event_count: int = 5
    confidence: dict[str, int] = field(default_factory=dict)
    faults: deque[Fault] = field(default_factory=deque)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    rate_limit: str = ""
    hold_off: str = ""
    hold_off_demands: list[HoldOffDemand] = field(default_factory=list)
    announces_leaving: bool = False
    body: bytes = b""
    unread_timeout_s: float | None = None
    first_event_delay_s: float = 0.0
    is_fatal: Callable[[ReceivedRequest], bool] | None = None
    fatal_after_events: int = 0
    resets_at_end: bool = True
    report_end: Callable[["Endpoint"], None] = lambda _: None
    has_ended: bool = False
    sequence: int = 0
    handler_errors: list[BaseException | None] = field(default_factory=list)

    async def start(self) -> None:
        """Start the HTTP server, also again after the process has ended."""
        if self.has_ended:
            self._end_connections()
            self.has_ended = False
        self._server = CallerServer(self._serve, self.handler_errors.append)
        await self._server.listen(self.address)

    def end_process(self) -> None:
        """Refuse connections from now on, and end all that are open; no-op if it has ended."""
        if self.has_ended:
            return
        self.has_ended = True
        self._server.stop_accepting()
        self._end_connections()
        self.report_end(self)

    def _end_connections(self) -> None:
        for connection in list(self._server.connections):
            transport = connection._transport
            if transport is None or transport.is_closing():
                continue
            if not self.resets_at_end:
                transport.close()
                continue
            raw = transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abort()

    def encode_record(self) -> bytes:
        """Return the endpoint's next record for the store, encoded as JSON."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "phase": "draining" if self.is_draining else "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.started_at_ms,
            }
        ).encode()

    async def _serve(self, caller: CallerConnection, head: RequestHead, body: bytes) -> None:
        if self.has_ended:
            # The connection was still being accepted when the process ended.
            caller.abort_response()
            return
        headers = {name.decode().lower(): value.decode() for name, value in head.headers}
        peer_ip = _find_peer_ip(caller)
        request = ReceivedRequest(
            head.method, head.target, headers, body, time.monotonic(), peer_ip
        )
        self.received_requests.append(request)
        if headers.get("x-expect-instance") != self.instance_id:
            caller.respond(421, [(b"X-Instance-Id", self.instance_id.encode())], b"")
            return
        if self.hold_off:
            self._ask_for_hold_off(caller, headers, peer_ip)
            return
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.NOT_RUN_LATE:
            await asyncio.sleep(LATE_REJECTION_S)
        if fault in (Fault.NOT_RUN, Fault.NOT_RUN_LATE):
            caller.respond(503, [(b"X-Not-Executed", b"1")], b"")
            return
        request.is_executed = True
        try:
            await self._run(caller, request, fault)
        except asyncio.CancelledError:
            request.is_disconnected = True
            raise

    def _ask_for_hold_off(
        self, caller: CallerConnection, headers: dict[str, str], peer_ip: str
    ) -> None:
        with contextlib.suppress(ValueError):
            demand = HoldOffDemand(peer_ip, time.monotonic(), float(self.hold_off))
            self.hold_off_demands.append(demand)
        rejection = [
            (b"X-Not-Executed", b"1"),
            (b"X-Attempt-Id", headers["x-attempt-id"].encode()),
            (b"Retry-After", self.hold_off.encode()),
        ]
        caller.respond(503, rejection, b"")

    async def _run(
        self, caller: CallerConnection, request: ReceivedRequest, fault: Fault | None
    ) -> None:
        headers = request.headers
        answer_headers = self._create_headers(headers, fault)
        await asyncio.sleep(self.first_event_delay_s)
        if self.is_fatal is not None and self.is_fatal(request):
            await self._end_inside(caller, headers, answer_headers)
            return
        match fault:
            case Fault.LOST:
                caller.abort_response()
            case _ if fault in UNFRAMED_FAULTS:
                await self._answer_unframed(caller, headers, answer_headers, fault)
            case _ if fault in CUT_HEADS:
                has_interim = fault is Fault.CUT_HEAD_AFTER_INTERIM
                send_cut_head(caller, answer_headers, CUT_HEADS[fault], has_interim)
            case _ if fault in ENDLESS_FAULTS:
                await self._answer_without_end(caller, headers, answer_headers, fault)
            case Fault.MUTE:
                await asyncio.sleep(30.0)
            case Fault.ERROR:
                caller.respond(500, answer_headers, b"failed")
            case _ if fault in RAN_STATUSES:
                caller.respond(RAN_STATUSES[fault], answer_headers, b"ran, and failed")
            case _ if self.is_engine:
                await self._stream(caller, headers, answer_headers, fault)
            case Fault.CUT:
                caller.start_stream(200, answer_headers)
                await caller.send_chunk(b"half")
                caller.abort_response()
            case _:
                body = self.body or b"answer of " + self.instance_id.encode()
                caller.respond(200, answer_headers, body)
                if fault is Fault.EXTRA and caller._transport is not None:
                    caller._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    async def _end_inside(
        self,
        caller: CallerConnection,
        headers: dict[str, str],
        answer_headers: list[tuple[bytes, bytes]],
    ) -> None:
        """End the process inside an event of the answer."""
        caller.start_stream(200, answer_headers)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, first + self.fatal_after_events):
            await caller.send_chunk(_encode_event(headers.get("x-model", ""), number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        await caller.send_chunk(EVENT_BEGIN)
        self.end_process()

    async def _answer_unframed(
        self,
        caller: CallerConnection,
        headers: dict[str, str],
        answer_headers: list[tuple[bytes, bytes]],
        fault: Fault | None,
    ) -> None:
        pieces = [b"answer ", b"of ", self.instance_id.encode()]
        if self.is_engine:
            first = int(headers.get("last-event-id", "0")) + 1
            numbers = range(first, self.event_count + 1)
            pieces = [_encode_event(headers.get("x-model", ""), number) for number in numbers]
        interval_s, is_reset = EVENT_INTERVAL_S, False
        match fault:
            case Fault.UNFRAMED_AT_ONCE:
                pieces, interval_s = [b"".join(pieces)], 0.0
            case Fault.UNFRAMED_SLOW:
                interval_s *= SLOW_FACTOR
            case Fault.UNFRAMED_INSIDE:
                pieces[2:] = [piece[:7] for piece in pieces[2:3]]
            case Fault.UNFRAMED_SHORT:
                del pieces[2:]
            case Fault.UNFRAMED_EMPTY:
                pieces.clear()
            case Fault.UNFRAMED_RESET:
                is_reset = True
            case Fault.UNFRAMED_RESET_INSIDE:
                pieces[2:], is_reset = [piece[:7] for piece in pieces[2:3]], True
        await send_unframed(caller, answer_headers, pieces, interval_s, is_reset)

    async def _answer_without_end(
        self,
        caller: CallerConnection,
        headers: dict[str, str],
        answer_headers: list[tuple[bytes, bytes]],
        fault: Fault | None,
    ) -> None:
        beginning = b""
        if fault in (Fault.ENDLESS, Fault.ENDLESS_SLOW):
            first = int(headers.get("last-event-id", "0")) + 1
            event = _encode_event(headers.get("x-model", ""), first)
            beginning = event if self.is_engine else b"answer "
        interval_s = EVENT_INTERVAL_S if fault in SLOW_FAULTS else 0.0
        piece = b"x" if fault in SLOW_FAULTS else ENDLESS_PIECE
        if fault in ENDLESS_EVENTS:
            piece = ENDLESS_EVENTS[fault]
        await send_without_end(caller, answer_headers, beginning, piece, interval_s)

    def _create_headers(
        self, headers: dict[str, str], fault: Fault | None
    ) -> list[tuple[bytes, bytes]]:
        request_id = "another" if fault is Fault.OTHER_ID else headers["x-attempt-id"]
        created = [(b"X-Attempt-Id", request_id.encode())]
        if fault is not Fault.UNSIGNED:
            created.append((b"X-Instance-Signature", f"signed-{self.instance_id}".encode()))
        if self.announces_leaving:
            created.append((b"Server-Leaving", b"1"))
        if self.rate_limit:
            created.append((b"Server-Limit", self.rate_limit.encode()))
        confidence = self.confidence.get(headers.get("x-model", ""))
        if confidence is not None:
            created.append((b"X-Confidence", str(confidence).encode()))
        return created

    async def _stream(
        self,
        caller: CallerConnection,
        headers: dict[str, str],
        answer_headers: list[tuple[bytes, bytes]],
        fault: Fault | None,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        caller.start_stream(200, answer_headers)
        model = headers.get("x-model", "")
        for number in range(first, self.event_count + 1):
            event = _encode_event(model, number)
            if fault is Fault.FLOOD:
                data = b": " + b"x" * FLOOD_EVENT_BYTES + b"\n" + event
                try:
                    async with asyncio.timeout(self.unread_timeout_s):
                        await caller.send_chunk(data)
                except TimeoutError:
                    caller.abort_response()
                    return
                continue
            if fault is Fault.CUT and number == first + 2:
                await caller.send_chunk(event[:7])
                # The partial event must be sent before the connection is reset.
                await asyncio.sleep(EVENT_INTERVAL_S)
                caller.abort_response()
                return
            if fault is Fault.PAUSE and number == first + 2:
                await asyncio.sleep(PAUSE_S)
            await caller.send_chunk(event)
            await asyncio.sleep(EVENT_INTERVAL_S * (SLOW_FACTOR if fault is Fault.SLOW else 1))
        with contextlib.suppress(ConnectionError):
            caller.end_response()


def _encode_event(model: str, number: int) -> bytes:
    return f"id: {number}\ndata: {model} {number}\n\n".encode()


def _find_peer_ip(caller: CallerConnection) -> str:
    transport = caller._transport
    peer_name = None if transport is None else transport.get_extra_info("peername")
    return "" if peer_name is None else str(peer_name[0])
