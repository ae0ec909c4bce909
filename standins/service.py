"""Stand-in for a plain service that counts its effects."""

import threading
import time

import msgspec

from standins._server import DropConnection, Request, Response, Route, StandIn, json_response


class ServiceFaults(msgspec.Struct):
    """What a plain service can be told to do wrong.

    Attributes
    ----------
    delay_s : float
        Time before the effect, in seconds.
    answer_delay_s : float
        Time between effect and answer, in seconds.
    die_before_effect, die_after_effect : int
        That many next calls break before or after their effect.
    refuse : int
        Status to answer instead of running; 0 runs.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    die_before_effect: int = 0
    die_after_effect: int = 0
    refuse: int = 0


class ServiceStandIn(StandIn):
    """Runs any operation; each effect is an event with the request's id and body."""

    def __init__(self, name: str, **ports: int) -> None:
        self.name = name
        self._lock = threading.Lock()
        super().__init__(ServiceFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        return [Route("POST", "/v1/operations/{operation}", self._run)]

    @property
    def effects(self) -> list[dict[str, object]]:
        """The effects so far."""
        return [event for event in self.events if event["kind"] == "effect"]

    def _run(self, request: Request) -> Response:
        if self.faults.refuse:
            return json_response({"error": "refused"}, self.faults.refuse)
        time.sleep(self.faults.delay_s)
        if self._take("die_before_effect"):
            raise DropConnection
        self.record(
            "effect",
            service=self.name,
            operation=request.params["operation"],
            request_id=request.headers.get("x_request_id", ""),
            body=request.body.decode(errors="replace"),
        )
        if self._take("die_after_effect"):
            raise DropConnection
        time.sleep(self.faults.answer_delay_s)
        number = len(self.effects)
        return json_response({"done": request.params["operation"], "effect": number})

    def _take(self, fault: str) -> bool:
        with self._lock:
            left = int(getattr(self.faults, fault))
            if left > 0:
                setattr(self.faults, fault, left - 1)
            return left > 0
