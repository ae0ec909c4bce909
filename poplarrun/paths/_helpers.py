"""Chooses the peer that relays a connection to an endpoint which this host doesn't reach."""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from poplarrun.paths._admission import DeclineReason

# How long a peer is not asked again after it declined, in seconds. One that has no path to an
# endpoint is asked for endpoints of other services.
AVOID_S = {
    DeclineReason.STOPPING: 10.0,
    DeclineReason.BUSY: 0.3,
    DeclineReason.UNKNOWN_PEER: 2.0,
    DeclineReason.UNKNOWN_ENDPOINT: 0.3,
    DeclineReason.NO_PATH: 2.0,
    DeclineReason.UNREACHABLE: 2.0,
    DeclineReason.HELD_OFF: 0.0,
    DeclineReason.LEAVING: 0.0,
}
# Reasons that say that a peer doesn't reach an endpoint.
PATH_REASONS = frozenset((DeclineReason.NO_PATH, DeclineReason.UNREACHABLE))
# How long it counts that a peer had a path to endpoints of a service, or none.
PATH_TTL_S = 10.0
# A host that knows fewer peers with a path now and then asks another one first, so that not all
# hosts use the same few.
MIN_KNOWN_PATHS = 4
EXPLORE_PROBABILITY = 0.25
# Load that counts as much as one second more to open a connection through a peer.
LOAD_PER_SECOND = 5.0
# Weight of a new measurement in the average time to open a connection through a zone's peers.
OPEN_TIME_WEIGHT = 0.3
# How long the load that a peer reported is used.
LOAD_TTL_S = 2.0
SAMPLES = 2
# Peers of which something is remembered before those that are gone are forgotten.
MAX_KNOWN = 1000


@dataclass(frozen=True, slots=True)
class Helper:
    """A peer that may relay a connection."""

    address: str
    zone: str


@dataclass(slots=True)
class _KnownHelper:
    """What a peer said when it was asked.

    Attributes
    ----------
    avoid_until : dict of str to float
        Until when it is not asked, by service; the empty name stands for all services.
    paths : dict of str to (bool, float)
        Whether it had a path to an endpoint of a service, and when.
    """

    load: float = 0.0
    load_at: float = -math.inf
    avoid_until: dict[str, float] = field(default_factory=dict)
    paths: dict[str, tuple[bool, float]] = field(default_factory=dict)

    def is_avoided(self, service: str, now: float) -> bool:
        """Return whether it is not to be asked now."""
        return now < max(self.avoid_until.get("", 0.0), self.avoid_until.get(service, 0.0))

    def has_path(self, service: str, now: float) -> bool | None:
        """Return whether it has a path to endpoints of a service; None if that is not known."""
        has_path, at = self.paths.get(service, (False, -math.inf))
        return has_path if now - at < PATH_TTL_S else None


class HelperChoice:
    """Chooses helpers by what they answered lately.

    Parameters
    ----------
    zone : str
        This host's availability zone.
    """

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._random = source
        self._known: dict[str, _KnownHelper] = {}
        self._open_s: dict[str, float] = {}

    def choose(
        self,
        peers: Mapping[str, Sequence[str]],
        service: str,
        tried: Collection[Helper],
        now: float,
    ) -> Helper | None:
        """Return the next peer to ask for a connection; None if there is none left.

        Peers that had a path lately come first, and those of the own zone, since traffic between
        zones is expensive.

        Parameters
        ----------
        peers : mapping of str to sequence of str
            Addresses of the hosts that are alive, by zone.
        tried : collection of Helper
            Peers that were asked for this connection.
        """
        self._forget_gone(peers)
        eligible = [
            Helper(host, zone)
            for zone, hosts in peers.items()
            for host in hosts
            if self._is_eligible(Helper(host, zone), service, tried, now)
        ]
        if not eligible:
            return None
        candidates = self._prefer_zone(eligible, peers, service, tried, now)
        candidates = self._prefer_known(candidates, service, bool(tried), now)
        sampled = self._random.sample(candidates, min(SAMPLES, len(candidates)))
        return min(sampled, key=lambda helper: self._cost(helper, now))

    def _is_eligible(
        self, helper: Helper, service: str, tried: Collection[Helper], now: float
    ) -> bool:
        known = self._known.get(helper.address)
        return helper not in tried and not (known is not None and known.is_avoided(service, now))

    def _prefer_zone(
        self,
        eligible: list[Helper],
        peers: Mapping[str, Sequence[str]],
        service: str,
        tried: Collection[Helper],
        now: float,
    ) -> list[Helper]:
        """Return the peers of the own zone, or of other zones if most of those have no path.

        The few hosts of a zone that still reach endpoints must not carry the load of all others.
        """
        if tried:
            return eligible
        paths = [self._has_path(host, service, now) for host in peers.get(self._zone, ())]
        own = [helper for helper in eligible if helper.zone == self._zone]
        if own and paths.count(True) >= paths.count(False):
            return own
        return [helper for helper in eligible if helper.zone != self._zone] or own

    def _prefer_known(
        self, candidates: list[Helper], service: str, is_retry: bool, now: float
    ) -> list[Helper]:
        """Return the peers that had a path lately, or all if there are none or few."""
        known = [each for each in candidates if self._has_path(each.address, service, now)]
        if not known:
            return candidates
        may_explore = not is_retry and len(known) < min(MIN_KNOWN_PATHS, len(candidates))
        if may_explore and self._random.random() < EXPLORE_PROBABILITY:
            return [each for each in candidates if each not in known]
        return known

    def _has_path(self, address: str, service: str, now: float) -> bool | None:
        known = self._known.get(address)
        return None if known is None else known.has_path(service, now)

    def _cost(self, helper: Helper, now: float) -> float:
        known = self._known.get(helper.address)
        is_fresh = known is not None and now - known.load_at < LOAD_TTL_S
        load = known.load if known is not None and is_fresh else 0.0
        return load + LOAD_PER_SECOND * self._open_s.get(helper.zone, 0.0)

    def record_opened(
        self, helper: Helper, service: str, load: float, open_s: float, now: float
    ) -> None:
        """Record that a peer has opened a connection to an endpoint.

        Parameters
        ----------
        load : float
            Fraction of the peer's room that is used.
        open_s : float
            How long it took, in seconds.
        """
        known = self._known.setdefault(helper.address, _KnownHelper())
        known.load, known.load_at = load, now
        known.paths[service] = (True, now)
        known.avoid_until.pop(service, None)
        before = self._open_s.get(helper.zone, open_s)
        self._open_s[helper.zone] = before + OPEN_TIME_WEIGHT * (open_s - before)

    def record_declined(
        self, helper: Helper, service: str, reason: DeclineReason, now: float
    ) -> None:
        """Record that a peer declined, or did not answer."""
        known = self._known.setdefault(helper.address, _KnownHelper())
        key = ""
        if reason in PATH_REASONS:
            key = service
            known.paths[service] = (False, now)
        known.avoid_until[key] = now + AVOID_S[reason]

    def _forget_gone(self, peers: Mapping[str, Sequence[str]]) -> None:
        """Forget peers that are not alive any more, once there are many."""
        if len(self._known) <= MAX_KNOWN:
            return
        alive = {host for hosts in peers.values() for host in hosts}
        for address in self._known.keys() - alive:
            del self._known[address]
