"""Stand-in for the weight store, which limits the rate of fetches."""

import threading
import time

import msgspec

from standins._server import Request, Response, Route, StandIn, json_response

DEFAULT_FETCHES_PER_MINUTE = 30


class WeightsFaults(msgspec.Struct):
    """Faults that can be injected into the weight store.

    Attributes
    ----------
    down : bool
        Answer 503 to all requests.
    delay_s : float
        Duration of a fetch, in seconds.
    """

    down: bool = False
    delay_s: float = 0.0


class WeightsStandIn(StandIn):
    """Serves a limited number of fetches in any 60 seconds; further ones get status 429."""

    def __init__(self, fetches_per_minute: int = DEFAULT_FETCHES_PER_MINUTE, **ports: int) -> None:
        self._max_fetches_per_minute = fetches_per_minute
        self._fetch_times: list[float] = []
        self._lock = threading.Lock()
        super().__init__(WeightsFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        return [Route("GET", "/v1/weights/{version}", self._fetch)]

    def _fetch(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        with self._lock:
            now = time.monotonic()
            self._fetch_times = [at for at in self._fetch_times if at > now - 60.0]
            if len(self._fetch_times) >= self._max_fetches_per_minute:
                return json_response({"error": "rate limited"}, 429)
            self._fetch_times.append(now)
        time.sleep(self.faults.delay_s)
        self.record(
            "fetch", version=request.params["version"], engine=request.query.get("engine", "")
        )
        return json_response({"version": request.params["version"], "bytes": 0})
