"""An endpoint of the platform: a model engine that streams, or a plain service."""

import asyncio
import contextlib
import enum
import json
from collections import deque
from dataclasses import dataclass, field

from poplarrun.transport import CallerConnection, CallerServer, RequestHead

EVENT_S = 0.01
FLOOD_BYTES = 4096


class Fault(enum.Enum):
    """What an endpoint does with one request, if not its work."""

    NOT_RUN = "says that it did not run it"
    ERROR = "runs it and fails"
    LOST = "runs it and loses the answer"
    CUT = "breaks off in the middle"
    OTHER_ID = "answers another request"
    UNSIGNED = "answers without its signature"
    EXTRA = "answers twice"
    MUTE = "runs it and says nothing"
    SLOW = "streams slowly"
    FLOOD = "streams without a pause, events of 4 KB"


@dataclass
class Seen:
    """A request as it reached the endpoint."""

    method: bytes
    target: bytes
    headers: dict[str, str]
    body: bytes
    is_run: bool = False
    is_left: bool = False


@dataclass
class Runner:
    """One endpoint.

    Attributes
    ----------
    confidence : dict of str to int
        Confidence of each model, 0 to 100.
    events : int
        Events of a whole stream.
    faults : deque of Fault
        What happens to the next requests, one each.
    seen : list of Seen
        Requests so far.
    """

    lifetime: str
    service: str
    address: str
    zone: str = "a"
    version: str = "v1"
    places: int = 8
    is_engine: bool = False
    is_leaving: bool = False
    started_ms: int = 1_000
    events: int = 5
    confidence: dict[str, int] = field(default_factory=dict)
    faults: deque[Fault] = field(default_factory=deque)
    seen: list[Seen] = field(default_factory=list)
    sequence: int = 0
    crashes: list[BaseException | None] = field(default_factory=list)

    async def start(self) -> None:
        """Listen."""
        self._server = CallerServer(self._serve, self.crashes.append)
        await self._server.listen(self.address)

    def record(self) -> bytes:
        """Return its record in the store."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.places,
                "phase": "draining" if self.is_leaving else "ready",
                "coldLeftMs": 0,
                "sequence": self.sequence,
                "born": self.started_ms,
            }
        ).encode()

    async def _serve(self, caller: CallerConnection, head: RequestHead, body: bytes) -> None:
        headers = {name.decode().lower(): value.decode() for name, value in head.headers}
        seen = Seen(head.method, head.target, headers, body)
        self.seen.append(seen)
        if headers.get("x-expect-instance") != self.lifetime:
            caller.respond(421, [(b"X-Instance-Id", self.lifetime.encode())], b"")
            return
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.NOT_RUN:
            caller.respond(503, [(b"X-Not-Executed", b"1")], b"")
            return
        seen.is_run = True
        try:
            await self._run(caller, headers, fault)
        except asyncio.CancelledError:
            seen.is_left = True
            raise

    async def _run(
        self, caller: CallerConnection, headers: dict[str, str], fault: Fault | None
    ) -> None:
        answer_headers = self._headers(headers, fault)
        match fault:
            case Fault.LOST:
                caller.abort_response()
            case Fault.MUTE:
                await asyncio.sleep(30.0)
            case Fault.ERROR:
                caller.respond(500, answer_headers, b"failed")
            case _ if self.is_engine:
                await self._stream(caller, headers, answer_headers, fault)
            case Fault.CUT:
                caller.start_stream(200, answer_headers)
                await caller.send_chunk(b"half")
                caller.abort_response()
            case _:
                caller.respond(200, answer_headers, b"answer of " + self.lifetime.encode())
                if fault is Fault.EXTRA and caller._transport is not None:
                    caller._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    def _headers(self, headers: dict[str, str], fault: Fault | None) -> list[tuple[bytes, bytes]]:
        request_id = "another" if fault is Fault.OTHER_ID else headers["x-attempt-id"]
        found = [(b"X-Attempt-Id", request_id.encode())]
        if fault is not Fault.UNSIGNED:
            found.append((b"X-Instance-Signature", f"signed-{self.lifetime}".encode()))
        confidence = self.confidence.get(headers.get("x-model", ""))
        if confidence is not None:
            found.append((b"X-Confidence", str(confidence).encode()))
        return found

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
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {model} {number}\n\n".encode()
            if fault is Fault.FLOOD:
                await caller.send_chunk(b": " + b"x" * FLOOD_BYTES + b"\n" + event)
                continue
            if fault is Fault.CUT and number == first + 2:
                await caller.send_chunk(event[:7])
                # The half event must be on its way before the connection is reset.
                await asyncio.sleep(EVENT_S)
                caller.abort_response()
                return
            await caller.send_chunk(event)
            await asyncio.sleep(EVENT_S * (40 if fault is Fault.SLOW else 1))
        with contextlib.suppress(ConnectionError):
            caller.end_response()
