"""Stand-in for the platform's host list, which readers see with a configurable lag."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec

from standins._server import Request, Response, Route, StandIn, json_response


class HostListFaults(msgspec.Struct):
    """Faults that can be injected into the host list.

    Attributes
    ----------
    down : bool
        Answer 503 to reads.
    lag_s : float
        Age of the list that readers get, in seconds.
    """

    down: bool = False
    lag_s: float = 0.0


@dataclass(frozen=True)
class _Snapshot:
    published_at: float
    hosts: list[dict[str, Any]]


class HostListStandIn(StandIn):
    """The list of live and leaving hosts; ``PUT /v1/hosts`` on the data port replaces it."""

    def __init__(self, hosts: list[dict[str, Any]] | None = None, **ports: int) -> None:
        self._snapshots = [_Snapshot(0.0, hosts or [])]
        super().__init__(HostListFaults(), **ports)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        return [Route("GET", "/v1/hosts", self._get), Route("PUT", "/v1/hosts", self._put)]

    @property
    def hosts(self) -> list[dict[str, Any]]:
        """The latest list, without the lag."""
        return self._snapshots[-1].hosts

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the list; readers see it after the lag."""
        self._snapshots.append(_Snapshot(time.monotonic(), hosts))

    def set_state(self, name: str, state: str) -> None:
        """Set one host's state."""
        self.replace([{**h, "state": state} if h["name"] == name else h for h in self.hosts])

    def remove(self, name: str) -> None:
        """Remove one host from the list."""
        self.replace([h for h in self.hosts if h["name"] != name])

    def _get(self, _: Request) -> Response:
        if self.faults.down:
            return json_response({"error": "the host list is down"}, 503)
        visible_until = time.monotonic() - self.faults.lag_s
        visible = [
            v for v in self._snapshots if v.published_at <= visible_until
        ] or self._snapshots[:1]
        return json_response({"hosts": visible[-1].hosts})

    def _put(self, request: Request) -> Response:
        self.replace(msgspec.json.decode(request.body)["hosts"])
        return json_response({"hosts": self.hosts})
