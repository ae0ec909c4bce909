"""Finds the endpoints that other hosts reach and this host doesn't.

Load: a host whose links to some or all endpoints are cut, while peers, callers and the store reach
it. What it can't reach looks the same as an endpoint that is down. The two are told apart by a peer
that connects to the same endpoint.
"""

import math
from dataclasses import dataclass, field

# Lost paths to endpoints of a group, with no connection in between, from which on all paths to the
# group count as lost.
MIN_LOST_ENDPOINTS = 2
# An endpoint of the group that was connected to this lately shows that not all paths are lost.
CONNECTED_WINDOW_S = 1.0
# Interval between two attempts to reach a group again, in seconds.
PROBE_INTERVAL_S = 1.0
# A lost path that was not used for this long is forgotten.
LOST_TTL_S = 60.0
# For this long after an endpoint was not reached, this host doesn't relay to it.
FAILED_TTL_S = 0.5
MAX_GROUPS = 1000
MAX_FAILED = 4000


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Endpoints that a host mostly loses together: those of a service in an availability zone."""

    service: str
    zone: str


@dataclass(slots=True)
class _GroupPaths:
    """Paths to the endpoints of a group.

    Attributes
    ----------
    lost_at : dict of str to float
        When the path to each endpoint was found lost, by instance id.
    connected_at : float
        When this host last connected to an endpoint of the group by its own links.
    probed_at : float
        When it last tried to, although the path counted as lost.
    """

    lost_at: dict[str, float] = field(default_factory=dict)
    connected_at: float = -math.inf
    probed_at: float = -math.inf

    def are_all_lost(self, now: float) -> bool:
        """Return whether paths that were not tried count as lost as well."""
        if len(self.lost_at) < MIN_LOST_ENDPOINTS:
            return False
        return (
            self.connected_at < min(self.lost_at.values())
            and now - self.connected_at > CONNECTED_WINDOW_S
        )

    def drop_old(self, now: float) -> None:
        """Forget lost paths that were not used for long."""
        for instance_id, lost_at in list(self.lost_at.items()):
            if now - max(lost_at, self.probed_at) > LOST_TTL_S:
                del self.lost_at[instance_id]


class PathTable:
    """The paths from this host to endpoints, from the outcomes of connections.

    A path is lost if it was found lost, if all paths to its group are, or if all of the host are.
    """

    def __init__(self) -> None:
        self._groups: dict[EndpointGroup, _GroupPaths] = {}
        self._all = _GroupPaths()
        self._failed_at: dict[str, float] = {}

    def record_connected(self, instance_id: str, group: EndpointGroup, now: float) -> bool:
        """Record a new connection over this host's own links; True if the path was lost before."""
        paths = self._find(group)
        paths.connected_at = self._all.connected_at = now
        self._failed_at.pop(instance_id, None)
        was_lost = instance_id in paths.lost_at
        if was_lost:
            self._regain()
        return was_lost

    def record_probed(self, instance_id: str, group: EndpointGroup, now: float) -> bool:
        """Record that a probe of a lost path has connected; True if any path was lost before."""
        paths = self._find(group)
        had_lost = bool(paths.lost_at)
        self._regain()
        self.record_connected(instance_id, group, now)
        return had_lost

    def _regain(self) -> None:
        """Try all paths again: most cuts end for all endpoints at once."""
        for paths in (self._all, *self._groups.values()):
            paths.lost_at.clear()

    def record_relayed(self, instance_id: str, group: EndpointGroup, now: float) -> bool:
        """Record that a peer connected where this host's own links did not; True if that is new."""
        paths = self._find(group)
        self._failed_at.pop(instance_id, None)
        is_new = instance_id not in paths.lost_at
        for each in (paths, self._all):
            each.drop_old(now)
            each.lost_at.setdefault(instance_id, now)
        return is_new

    def record_failed(self, instance_id: str, now: float) -> None:
        """Record that no connection to an endpoint was established."""
        if len(self._failed_at) >= MAX_FAILED:
            self._failed_at.clear()
        self._failed_at[instance_id] = now

    @property
    def has_lost(self) -> bool:
        """Whether any path may be lost."""
        return bool(self._all.lost_at) or any(each.lost_at for each in self._groups.values())

    def is_lost(self, instance_id: str, group: EndpointGroup, now: float) -> bool:
        """Return whether connections to an endpoint are to go through a peer at once."""
        if self._all.are_all_lost(now):
            return True
        paths = self._groups.get(group)
        return paths is not None and (instance_id in paths.lost_at or paths.are_all_lost(now))

    def can_relay_to(self, instance_id: str, group: EndpointGroup, now: float) -> bool:
        """Return whether this host may reach an endpoint for a peer, by what it knows."""
        if now - self._failed_at.get(instance_id, -math.inf) < FAILED_TTL_S:
            return False
        return not self.is_lost(instance_id, group, now)

    def take_probe(self, group: EndpointGroup, now: float) -> bool:
        """Return whether to try a lost path of a group now, and record that it is tried."""
        paths = self._find(group)
        if now - paths.probed_at < PROBE_INTERVAL_S:
            return False
        paths.probed_at = now
        return True

    def _find(self, group: EndpointGroup) -> _GroupPaths:
        if group not in self._groups and len(self._groups) >= MAX_GROUPS:
            self._groups.clear()
        return self._groups.setdefault(group, _GroupPaths())
