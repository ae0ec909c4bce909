"""Endpoints that say in their answers that they are about to stop.

Their records say so later, or never. A start of an endpoint that is leaving doesn't come back: only
a new start may get requests again.
"""

from collections.abc import Container
from dataclasses import dataclass, field

# Time for which an endpoint that is not listed any more is remembered, in seconds: a late record of
# it may list it again.
UNLISTED_TTL_S = 60.0
MAX_REMEMBERED = 2000


@dataclass(frozen=True, slots=True)
class LeavingEndpoint:
    """A start of an endpoint that is leaving.

    Attributes
    ----------
    learned_at : float
        When this host learned it.
    """

    instance_id: str
    started_ms: int
    learned_at: float


@dataclass
class LeavingEndpoints:
    """The endpoints that are known to leave, by instance id.

    Attributes
    ----------
    is_any : bool
        Whether any endpoint is known to leave.
    """

    is_any: bool = False
    _endpoints: dict[str, LeavingEndpoint] = field(default_factory=dict)
    _ended_starts: dict[str, int] = field(default_factory=dict)

    def record(self, instance_id: str, started_ms: int, now: float) -> bool:
        """Record that a start of an endpoint is leaving; True if that is new."""
        known = self._endpoints.get(instance_id)
        if known is not None and known.started_ms >= started_ms:
            return False
        if self._ended_starts.get(instance_id) == started_ms:
            return False
        if len(self._endpoints) >= MAX_REMEMBERED:
            del self._endpoints[next(iter(self._endpoints))]
        self._endpoints[instance_id] = LeavingEndpoint(instance_id, started_ms, now)
        self.is_any = True
        return True

    def record_end(self, instance_id: str, started_ms: int) -> None:
        """Record that the list has another start of an endpoint in place of one.

        Its time may be earlier, if the endpoint's clock was stepped back in between.
        """
        self._ended_starts[instance_id] = started_ms
        known = self._endpoints.get(instance_id)
        if known is not None and known.started_ms == started_ms:
            del self._endpoints[instance_id]
            self.is_any = bool(self._endpoints)

    def includes(self, instance_id: str, started_ms: int) -> bool:
        """Return whether this start of an endpoint, or a later one, is leaving."""
        known = self._endpoints.get(instance_id)
        return known is not None and known.started_ms >= started_ms

    def known(self) -> list[LeavingEndpoint]:
        """Return all endpoints that are known to leave."""
        return list(self._endpoints.values())

    def forget_unlisted(self, listed: Container[str], now: float) -> None:
        """Forget endpoints that have not been listed for long."""
        self._endpoints = {
            instance_id: each
            for instance_id, each in self._endpoints.items()
            if instance_id in listed or now - each.learned_at <= UNLISTED_TTL_S
        }
        self._ended_starts = {
            instance_id: started_ms
            for instance_id, started_ms in self._ended_starts.items()
            if instance_id in listed
        }
        self.is_any = bool(self._endpoints)
