"""One host's shares of the budgets that all hosts spend together."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.shares._budgets import Budget
from poplarrun.shares._groups import HostGroup
from poplarrun.shares._loans import ShareLoans

# A host that starts knows all others once it has learned of no further one for this long, longer
# than news takes from one host to the next.
STABLE_TIMEOUT_S = 1.5
# Soon after that the others know of it as well.
KNOWN_DELAY_S = 2.5
# A host that was silent for this long is forgotten, and its share is free.
FORGET_TIMEOUT_S = 120.0
# What is known of the other hosts may be used for this long. A host that resumes after a suspension
# knows older things, and must not use what others may have taken over.
VIEW_TTL_S = 1.0


@dataclass(frozen=True, slots=True)
class HostSighting:
    """What this host knows of another one.

    Attributes
    ----------
    zone : str
        Availability zone; empty while it is not known.
    is_alive : bool
        Whether it counts as alive.
    alive_at : float
        As of when it was last known to be alive; -inf if never.
    """

    address: str
    zone: str
    is_alive: bool
    alive_at: float


@dataclass(slots=True)
class _KnownHost:
    """Another host that may be there."""

    first_seen_at: float
    zone: str = ""
    alive_at: float = -math.inf

    def apply(self, sighting: HostSighting) -> None:
        """Apply what is known of it now."""
        self.zone = sighting.zone or self.zone
        self.alive_at = max(self.alive_at, sighting.alive_at)

    def is_forgotten(self, now: float) -> bool:
        """Return whether it has been silent for so long that its share is free."""
        return now - max(self.first_seen_at, self.alive_at) > FORGET_TIMEOUT_S


class BudgetShares:
    """One host's shares of budgets, computed from the hosts that it knows.

    Each known host has a reserved share of a budget, which it may always use, also when it is cut
    off. A host that starts has none until it knows the others, and a share of what the bound leaves
    beyond the budget until what the others used before they knew of it has left the window.

    The rate of an endpoint belongs to the hosts of its zone, which reach it also when the zone is
    cut off. The majority of these hosts, of which there is one at most, divides the whole rate
    among its members, as far as the bound leaves room for the reserved shares of the others. The
    majority of all hosts may use what the bound leaves beyond the rate, where the zone's own hosts
    are not heard.

    A host that knows of no other has all budgets for itself; one that knows of others and has heard
    none of them has no share.

    Parameters
    ----------
    address, zone : str
        Of this host.

    Attributes
    ----------
    loans : ShareLoans
        What this host lends to others, or borrows. The shares below don't include it.
    """

    def __init__(self, address: str = "", zone: str = "") -> None:
        self.loans = ShareLoans()
        self._address = address
        self._zone = zone
        self._settled_at = -math.inf
        self._known_since = -math.inf
        self._seen_at = -math.inf
        self._hosts: dict[str, _KnownHost] = {}
        self._zones_by_host: dict[str, str] = {}
        self._alive: frozenset[str] = frozenset()
        self._fleet = HostGroup((), frozenset())
        self._zone_groups: dict[str, HostGroup] = {}
        self._groups_outside: dict[str, HostGroup] = {}

    def start(self, address: str, zone: str, now: float) -> None:
        """Use no share until this host knows the others."""
        self._address, self._zone = address, zone
        self._settled_at = math.inf
        self._known_since = now

    def update_hosts(self, sightings: Iterable[HostSighting], now: float) -> None:
        """Apply what is known of all other hosts."""
        if now - self._seen_at > FORGET_TIMEOUT_S and self._seen_at > -math.inf:
            # The others have forgotten this host.
            self.start(self._address, self._zone, now)
        self._seen_at = now
        seen = {
            sighting.address: sighting
            for sighting in sightings
            if sighting.address != self._address
        }
        self._remember_hosts(seen, now)
        zones = {
            address: host.zone
            for address, host in self._hosts.items()
            if not host.is_forgotten(now)
        }
        zones[self._address] = self._zone
        alive = frozenset(address for address, each in seen.items() if each.is_alive)
        alive |= {self._address}
        if not zones.items() <= self._zones_by_host.items():
            # By the time at which a new host uses its share, nobody uses a part of it.
            self.loans.drop_borrowed()
        if zones != self._zones_by_host or alive != self._alive:
            self._zones_by_host, self._alive = zones, alive
            self._group_hosts()

    def _remember_hosts(self, seen: dict[str, HostSighting], now: float) -> None:
        """Remember the hosts that are seen, and forget those that were silent for long."""
        if not seen.keys() <= self._hosts.keys():
            self._known_since = now
        for address, sighting in seen.items():
            self._hosts.setdefault(address, _KnownHost(now)).apply(sighting)
        for address, host in list(self._hosts.items()):
            if address not in seen and host.is_forgotten(now):
                del self._hosts[address]
        has_heard = any(host.alive_at > -math.inf for host in self._hosts.values())
        if has_heard and now - self._known_since >= STABLE_TIMEOUT_S:
            self._settled_at = min(self._settled_at, now)

    def _group_hosts(self) -> None:
        self._groups_outside.clear()
        self._fleet = HostGroup(self._zones_by_host, self._alive)
        addresses: dict[str, list[str]] = {}
        for address, zone in self._zones_by_host.items():
            addresses.setdefault(zone, []).append(address)
        self._zone_groups = {
            zone: HostGroup(members, self._alive) for zone, members in addresses.items()
        }

    def fleet_share(self, key: str, budget: Budget, now: float) -> int:
        """Return this host's share of a budget of all hosts.

        Parameters
        ----------
        key : str
            Names the budget. It decides which hosts get what can't be divided equally.
        """
        if self._is_alone:
            return budget.total
        if now < self._settled_at:
            return 0
        total = budget.total if self._is_known(budget, now) else budget.bound - budget.total
        return self._fleet.reserved_share(self._address, key, total)

    def zone_share(self, key: str, zone: str, budget: Budget, now: float) -> int:
        """Return this host's share of the rate of an endpoint in a zone.

        Parameters
        ----------
        key : str
            Names the endpoint.
        """
        if self._is_alone:
            return budget.total
        if not self._is_known(budget, now):
            return 0
        is_in_majority = self._is_fresh(now) and self._fleet.has_majority
        group = self._zone_groups.get(zone)
        if zone == self._zone and group is not None:
            return self._share_in_own_zone(group, key, budget, is_in_majority, now)
        if not is_in_majority or (group is not None and group.alive):
            return 0
        return self._hosts_outside(zone).reserved_share(self._address, key, budget.spare)

    def fleet_reserve(self, key: str, budget: Budget, now: float) -> int:
        """Return what this host can lend of a budget of all hosts."""
        if self._is_alone or not self._is_known(budget, now):
            return 0
        return self._fleet.reserved_share(self._address, key, budget.total)

    def zone_reserve(self, key: str, zone: str, budget: Budget, now: float) -> int:
        """Return what this host can lend of the rate of an endpoint in a zone."""
        group = self._zone_groups.get(zone)
        if self._is_alone or zone != self._zone or group is None:
            return 0
        if not self._is_known(budget, now):
            return 0
        return group.reserved_share(self._address, key, budget.total)

    def fleet_lenders(self, key: str, budget: Budget) -> tuple[str, ...]:
        """Return the hosts that may lend this one a part of a budget of all hosts."""
        return self._fleet.holders(self._address, key, budget.total)

    def zone_lenders(self, key: str, zone: str, budget: Budget) -> tuple[str, ...]:
        """Return the hosts that may lend this one a part of the rate of an endpoint in a zone."""
        group = self._zone_groups.get(zone)
        return () if group is None else group.holders(self._address, key, budget.total)

    def is_known(self, budget: Budget, now: float) -> bool:
        """Return whether what this host used before its start has left the budget's window."""
        return self._is_known(budget, now)

    def _hosts_outside(self, zone: str) -> HostGroup:
        group = self._groups_outside.get(zone)
        if group is None:
            others = [host for host, of in self._zones_by_host.items() if of != zone]
            group = self._groups_outside[zone] = HostGroup(others, self._alive)
        return group

    def _share_in_own_zone(
        self, group: HostGroup, key: str, budget: Budget, is_in_majority: bool, now: float
    ) -> int:
        if self._is_fresh(now) and group.has_majority:
            # Outside the majority of all hosts, this zone may be taken for dead by that majority.
            bound = budget.bound if is_in_majority else budget.bound - budget.spare
            return group.majority_share(self._address, key, budget.total, bound)
        share = group.reserved_share(self._address, key, budget.total)
        if is_in_majority:
            unused = min(budget.spare, group.silent_total(key, budget.total))
            share += group.living_share(self._address, key, unused)
        return share

    @property
    def _is_alone(self) -> bool:
        return len(self._zones_by_host) <= 1

    def _is_known(self, budget: Budget, now: float) -> bool:
        """Return whether all others know of this host, and have divided the budget with it."""
        return now >= self._settled_at + KNOWN_DELAY_S + budget.window_s

    def _is_fresh(self, now: float) -> bool:
        return now - self._seen_at <= VIEW_TTL_S
