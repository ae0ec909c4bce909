"""Stand-in for the rate-limited weight store."""

import threading
import time

import msgspec

from standins._server import Request, Response, Route, StandIn, json_response

DEFAULT_FETCHES_PER_MINUTE = 30


class WeightsFaults(msgspec.Struct):
    """What the weight store can be told to do wrong."""

    down: bool = False
    delay_s: float = 0.0


class WeightsStandIn(StandIn):
    """Hands out weights, a bounded number a minute; more get 429."""

    def __init__(self, fetches_per_minute: int = DEFAULT_FETCHES_PER_MINUTE, **ports: int) -> None:
        self._limit = fetches_per_minute
        self._fetches: list[float] = []
        self._lock = threading.Lock()
        super().__init__(WeightsFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        return [Route("GET", "/v1/weights/{version}", self._fetch)]

    def _fetch(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        with self._lock:
            now = time.monotonic()
            self._fetches = [at for at in self._fetches if at > now - 60.0]
            if len(self._fetches) >= self._limit:
                return json_response({"error": "rate limited"}, 429)
            self._fetches.append(now)
        time.sleep(self.faults.delay_s)
        self.record(
            "fetch", version=request.params["version"], engine=request.query.get("engine", "")
        )
        return json_response({"version": request.params["version"], "bytes": 0})
