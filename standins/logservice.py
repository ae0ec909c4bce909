"""Stand-in for the platform's append-only log service, with a limited append rate."""

import base64
import itertools
import threading
import time

import msgspec

from poplarrun.log import Appended, AppendRefused, AppendUnknown, MemoryLog, Page
from standins._server import DropConnection, Request, Response, Route, StandIn, json_response

DEFAULT_APPENDS_PER_S = 400


class LogFaults(msgspec.Struct):
    """Faults that can be injected into the log service.

    Attributes
    ----------
    down : bool
        Answer 503 to all requests.
    append_delay_s, read_delay_s : float
        Delay of each response, in seconds.
    lose_answers : int
        Number of following appends that take effect but get no response.
    hold_s : float
        Delay before each append takes effect, in seconds.
    """

    down: bool = False
    append_delay_s: float = 0.0
    read_delay_s: float = 0.0
    lose_answers: int = 0
    hold_s: float = 0.0


class LogStandIn(StandIn):
    """An in-memory log that is served over HTTP.

    Parameters
    ----------
    appends_per_s : int
        Maximum append rate; faster appends are delayed.
    retention : int, optional
        Number of newest records that each stream keeps; None keeps all.
    ports : int
        ``port`` and ``control_port`` of the stand-in.
    """

    def __init__(
        self, appends_per_s: int = DEFAULT_APPENDS_PER_S, retention: int | None = None, **ports: int
    ) -> None:
        self.log = MemoryLog()
        self.appends = itertools.count()
        self._lock = threading.Lock()
        self._append_interval_s = 1.0 / appends_per_s
        self._next_append_at = 0.0
        self._retention = retention
        super().__init__(LogFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        path = "/v1/streams/{stream}/records"
        return [Route("POST", path, self._append), Route("GET", path, self._read)]

    def _append(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the log is down"}, 503)
        time.sleep(self.faults.hold_s)
        self._limit_append_rate()
        with self._lock:
            outcome = self.log.append(request.params["stream"], request.body)
            next(self.appends)
            loses_response = self.faults.lose_answers > 0
            self.faults.lose_answers -= loses_response
        self._truncate(request.params["stream"], outcome)
        time.sleep(self.faults.append_delay_s)
        if loses_response:
            raise DropConnection
        match outcome:
            case Appended(offset=offset):
                return json_response({"offset": offset}, 201)
            case AppendRefused(reason=reason) | AppendUnknown(reason=reason):
                return json_response({"error": reason}, 503)

    def _limit_append_rate(self) -> None:
        with self._lock:
            now = time.monotonic()
            append_at = max(now, self._next_append_at)
            self._next_append_at = append_at + self._append_interval_s
        time.sleep(max(0.0, append_at - now))

    def _truncate(self, stream: str, outcome: object) -> None:
        if self._retention is not None and isinstance(outcome, Appended):
            with self._lock:
                self.log.truncate(stream, outcome.offset + 1 - self._retention)

    def _read(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the log is down"}, 503)
        time.sleep(self.faults.read_delay_s)
        from_offset = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "500"))
        with self._lock:
            page = self.log.read(request.params["stream"], from_offset, limit)
        if not isinstance(page, Page):
            return json_response({"error": "unreadable"}, 503)
        entries = [
            {"offset": e.offset, "data": base64.b64encode(e.data).decode()} for e in page.entries
        ]
        return json_response({"entries": entries, "horizon": page.horizon, "end": page.end})
