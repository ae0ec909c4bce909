"""Stand-in for the platform's lagging host list."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec

from standins._server import Request, Response, Route, StandIn, json_response


class HostListFaults(msgspec.Struct):
    """What the host list can be told to do wrong.

    Attributes
    ----------
    down : bool
        Answer 503.
    lag_s : float
        Age of what is shown, in seconds.
    """

    down: bool = False
    lag_s: float = 0.0


@dataclass(frozen=True)
class _Version:
    at: float
    hosts: list[dict[str, Any]]


class HostListStandIn(StandIn):
    """The list of live and leaving hosts; ``PUT /hosts`` on the data port replaces it."""

    def __init__(self, hosts: list[dict[str, Any]] | None = None, **ports: int) -> None:
        self._history = [_Version(0.0, hosts or [])]
        super().__init__(HostListFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        return [Route("GET", "/v1/hosts", self._get), Route("PUT", "/v1/hosts", self._put)]

    @property
    def hosts(self) -> list[dict[str, Any]]:
        """The newest list."""
        return self._history[-1].hosts

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the list; readers see it after the lag."""
        self._history.append(_Version(time.monotonic(), hosts))

    def set_state(self, name: str, state: str) -> None:
        """Set one host's state."""
        self.replace([{**h, "state": state} if h["name"] == name else h for h in self.hosts])

    def remove(self, name: str) -> None:
        """Take one host off the list."""
        self.replace([h for h in self.hosts if h["name"] != name])

    def _get(self, _: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the host list is down"}, 503)
        seen_at = time.monotonic() - self.faults.lag_s
        shown = [v for v in self._history if v.at <= seen_at] or self._history[:1]
        return json_response({"hosts": shown[-1].hosts})

    def _put(self, request: Request) -> Response:
        self.replace(msgspec.json.decode(request.body)["hosts"])
        return json_response({"hosts": self.hosts})
