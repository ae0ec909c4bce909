"""Divides the request rate of an endpoint that is warming up among a few hosts.

Load: endpoints that start, or that return together after an outage or an evacuation, while every
host takes them for idle. Each one accepts few requests a second from all hosts together, too few to
give every host a share. A few hosts of the endpoint's zone, drawn by rendezvous hashing, get all of
it; the others send elsewhere until the endpoint is warm.
"""

import math
from dataclasses import dataclass

from poplarrun.rendezvous import RankingCache
from poplarrun.routing import WarmUpLimit

# Two groups of hosts that don't hear each other may draw different hosts, which then send twice
# the rate together.
MAX_DISJOINT_DRAWS = 2


@dataclass(frozen=True, slots=True)
class ZoneHosts:
    """The hosts of one availability zone.

    Attributes
    ----------
    known : tuple of str
        Addresses of all hosts that were heard of recently, sorted.
    alive : frozenset of str
        Those that are alive.
    """

    known: tuple[str, ...]
    alive: frozenset[str]

    @property
    def candidates(self) -> tuple[str, ...]:
        """The hosts to draw from: the alive ones if they are the majority, else all.

        Hosts that were cut off from the majority can't tell that from its death. They keep to the
        draw among all hosts, so they don't take shares that the majority uses as well.
        """
        if 2 * len(self.alive) <= len(self.known):
            return self.known
        return tuple(host for host in self.known if host in self.alive)


@dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """The operators' bound on what all hosts together send in any second.

    Attributes
    ----------
    rate_factor, allowance : float
        The bound is an endpoint's rate times the factor, and the allowance on top.
    """

    rate_factor: float = 1.5
    allowance: float = 5.0


def compute_fleet_rate(limit: WarmUpLimit, bounds: WarmUpBounds) -> int:
    """Return the requests that all hosts together may send in one second, at least 1."""
    tolerated = limit.rate_per_s * bounds.rate_factor + bounds.allowance
    return max(1, min(math.ceil(limit.rate_per_s), math.floor(tolerated / MAX_DISJOINT_DRAWS)))


class WarmUpShares:
    """One host's shares of the rates of endpoints that are warming up.

    Parameters
    ----------
    address : str
        The own address, as in ``ZoneHosts``.

    Attributes
    ----------
    bounds : WarmUpBounds
        The operators' bound, from the settings.
    """

    def __init__(self, address: str = "") -> None:
        self.bounds = WarmUpBounds()
        self._address = address
        self._hosts: dict[str, ZoneHosts] = {}
        self._rankings: dict[str, RankingCache] = {}

    def update_hosts(self, address: str, hosts: dict[str, ZoneHosts]) -> None:
        """Replace the hosts by zone, including this one."""
        self._address = address
        self._hosts = hosts

    def quota(self, instance_id: str, zone: str, limit: WarmUpLimit) -> int:
        """Return how many requests this host may send to an endpoint in one second.

        0 while the other hosts aren't known yet. An endpoint in a zone without hosts gets its
        requests from hosts of all zones.
        """
        in_zone = self._hosts.get(zone)
        candidates = self._all_candidates() if in_zone is None else in_zone.candidates
        if self._address not in candidates:
            return 0
        cache = self._rankings.setdefault(zone, RankingCache())
        rank = cache.rank(instance_id, candidates).index(self._address)
        rate = compute_fleet_rate(limit, self.bounds)
        drawn = min(rate, len(candidates))
        if rank >= drawn:
            return 0
        return rate // drawn + (1 if rank < rate % drawn else 0)

    def _all_candidates(self) -> tuple[str, ...]:
        known = sorted(host for hosts in self._hosts.values() for host in hosts.known)
        alive = frozenset(host for hosts in self._hosts.values() for host in hosts.alive)
        return ZoneHosts(tuple(known), alive).candidates
