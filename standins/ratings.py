"""Stand-in for the rating service, whose ratings of answers are delayed and noisy."""

import random
import time
from dataclasses import dataclass

import msgspec

from standins._server import Request, Response, Route, StandIn, json_response
from standins.engine import judge_text


class RatingsFaults(msgspec.Struct):
    """Faults that can be injected into the rating service.

    Attributes
    ----------
    down : bool
        Answer 503 to all requests.
    delay_s : float
        Time from the submission of an answer until its rating is ready, in seconds.
    lost : float
        Probability that an answer never gets a rating.
    noise : float
        Standard deviation of the error of a rating.
    bias : float
        Mean error of a rating.
    """

    down: bool = False
    delay_s: float = 0.2
    lost: float = 0.0
    noise: float = 0.05
    bias: float = 0.0


@dataclass(frozen=True)
class _Rating:
    ready_at: float
    quality: float


class RatingsStandIn(StandIn):
    """Rates submitted answers; a rating is removed when it is collected."""

    def __init__(self, seed: int = 1, **ports: int) -> None:
        self._random = random.Random(seed)
        self._uncollected_ratings: dict[str, _Rating] = {}
        super().__init__(RatingsFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        return [
            Route("POST", "/v1/answers", self._submit_answer),
            Route("POST", "/v1/ratings", self._collect_ratings),
        ]

    def _submit_answer(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        body = msgspec.json.decode(request.body)
        if self._random.random() >= self.faults.lost:
            error = self._random.gauss(0.0, self.faults.noise) + self.faults.bias
            quality = min(1.0, max(0.0, judge_text(body["answer"]) + error))
            ready_at = time.monotonic() + self.faults.delay_s
            self._uncollected_ratings[body["request_id"]] = _Rating(ready_at, quality)
        return json_response({"taken": True})

    def _collect_ratings(self, request: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "down"}, 503)
        ready = []
        for request_id in msgspec.json.decode(request.body)["request_ids"]:
            rating = self._uncollected_ratings.get(request_id)
            if rating is not None and rating.ready_at <= time.monotonic():
                ready.append({"request_id": request_id, "quality": rating.quality})
                del self._uncollected_ratings[request_id]
        return json_response(ready)
