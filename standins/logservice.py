"""Stand-in for the platform's append-only log service."""

import base64
import itertools
import threading
import time

import msgspec

from poplarrun.log import Appended, AppendRefused, AppendUnknown, MemoryLog, Page
from standins._server import DropConnection, Request, Response, Route, StandIn, json_response

DEFAULT_APPENDS_PER_S = 400


class LogFaults(msgspec.Struct):
    """What the log can be told to do wrong.

    Attributes
    ----------
    down : bool
        Answer 503 to everything.
    append_delay_s, read_delay_s : float
        Time before each answer, in seconds.
    lose_answers : int
        That many next appends take effect and get no answer.
    hold_s : float
        Time for which appends wait before they take effect, in seconds.
    """

    down: bool = False
    append_delay_s: float = 0.0
    read_delay_s: float = 0.0
    lose_answers: int = 0
    hold_s: float = 0.0


class LogStandIn(StandIn):
    """The log over HTTP, with a bound on appends a second."""

    def __init__(
        self, appends_per_s: int = DEFAULT_APPENDS_PER_S, retention: int | None = None, **ports: int
    ) -> None:
        self.log = MemoryLog()
        self.appends = itertools.count()
        self._lock = threading.Lock()
        self._interval = 1.0 / appends_per_s
        self._next_slot = 0.0
        self._retention = retention
        super().__init__(LogFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        path = "/v1/streams/{stream}/records"
        return [Route("POST", path, self._append), Route("GET", path, self._read)]

    def _append(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the log is down"}, 503)
        time.sleep(self.faults.hold_s)
        self._wait_for_slot()
        with self._lock:
            outcome = self.log.append(request.params["stream"], request.body)
            next(self.appends)
            lost = self.faults.lose_answers > 0
            self.faults.lose_answers -= lost
        self._truncate(request.params["stream"], outcome)
        time.sleep(self.faults.append_delay_s)
        if lost:
            raise DropConnection
        match outcome:
            case Appended(offset=offset):
                return json_response({"offset": offset}, 201)
            case AppendRefused(reason=reason) | AppendUnknown(reason=reason):
                return json_response({"error": reason}, 503)

    def _wait_for_slot(self) -> None:
        with self._lock:
            now = time.monotonic()
            slot = max(now, self._next_slot)
            self._next_slot = slot + self._interval
        time.sleep(max(0.0, slot - now))

    def _truncate(self, stream: str, outcome: object) -> None:
        if self._retention is not None and isinstance(outcome, Appended):
            with self._lock:
                self.log.truncate(stream, outcome.offset + 1 - self._retention)

    def _read(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the log is down"}, 503)
        time.sleep(self.faults.read_delay_s)
        first = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "500"))
        with self._lock:
            page = self.log.read(request.params["stream"], first, limit)
        if not isinstance(page, Page):
            return json_response({"error": "unreadable"}, 503)
        entries = [
            {"offset": e.offset, "data": base64.b64encode(e.data).decode()} for e in page.entries
        ]
        return json_response({"entries": entries, "horizon": page.horizon, "end": page.end})
