"""Stand-in for a plain service that records the effect of each operation."""

import threading
import time

import msgspec

from standins._server import DropConnection, Request, Response, Route, StandIn, json_response


class ServiceFaults(msgspec.Struct):
    """Faults that can be injected into a plain service.

    Attributes
    ----------
    delay_s : float
        Delay before the effect, in seconds.
    answer_delay_s : float
        Delay between effect and response, in seconds.
    die_before_effect, die_after_effect : int
        Number of following calls whose connection breaks before or after the effect.
    refuse : int
        HTTP status that refuses each call; 0 runs the calls.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    die_before_effect: int = 0
    die_after_effect: int = 0
    refuse: int = 0


class ServiceStandIn(StandIn):
    """A service that runs any operation and records its effect as an event."""

    def __init__(self, name: str, **ports: int) -> None:
        self.name = name
        self._lock = threading.Lock()
        super().__init__(ServiceFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        return [Route("POST", "/v1/operations/{operation}", self._run_operation)]

    @property
    def effects(self) -> list[dict[str, object]]:
        """The recorded effects, each with the request's id and body."""
        return [event for event in self.events if event["kind"] == "effect"]

    def _run_operation(self, request: Request) -> Response:
        if self.faults.refuse:
            return json_response({"error": "refused"}, self.faults.refuse)
        time.sleep(self.faults.delay_s)
        if self._consume_fault("die_before_effect"):
            raise DropConnection
        self.record(
            "effect",
            service=self.name,
            operation=request.params["operation"],
            request_id=request.headers.get("x_request_id", ""),
            body=request.body.decode(errors="replace"),
        )
        if self._consume_fault("die_after_effect"):
            raise DropConnection
        time.sleep(self.faults.answer_delay_s)
        effect_count = len(self.effects)
        return json_response({"done": request.params["operation"], "effect": effect_count})

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining = int(getattr(self.faults, fault))
            if remaining > 0:
                setattr(self.faults, fault, remaining - 1)
            return remaining > 0
