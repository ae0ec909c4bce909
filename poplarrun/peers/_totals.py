"""Totals of endpoint loads and version outcomes over a zone and over the fleet."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._activity_messages import (
    ActivityTotals,
    EndpointLoad,
    EndpointTally,
    UnlistedLoad,
    VersionTally,
)

# Received totals older than this are ignored: their sender may be dead, or may have lost contact
# with its zone.
TOTALS_TTL_S = 3.2
# Endpoints whose loads are listed one by one, the most loaded ones. Hosts must not send to these;
# the others are alike, and their sum is enough.
MAX_LISTED_LOADS = 120
# This host's own totals that are remembered until its aggregators have received later ones.
MAX_OWN_TOTALS = 32


@dataclass(frozen=True, slots=True)
class ReceivedTotals:
    """Totals that another host sent.

    Attributes
    ----------
    received_at : float
        When they arrived, by this host's clock.
    stamp : float
        The sender's clock when it sent them.
    """

    totals: ActivityTotals
    received_at: float
    stamp: float = 0.0


class TotalsAccumulator:
    """Adds totals, and subtracts totals that were added before."""

    def __init__(self) -> None:
        self.hosts = 0
        self._loads: dict[str, tuple[int, int]] = {}
        self._tallies: dict[tuple[str, str, str], VersionTally] = {}
        self._unlisted = UnlistedLoad()
        self._endpoints: dict[str, tuple[int, int]] = {}

    def add(self, totals: ActivityTotals, sign: int = 1) -> None:
        """Add totals.

        Parameters
        ----------
        sign : int
            -1 to subtract totals that were added before.
        """
        self.hosts += sign * totals.hosts
        for load in totals.loads:
            in_flight, pending_prefill_ms = self._loads.get(load.instance_id, (0, 0))
            self._loads[load.instance_id] = (
                max(0, in_flight + sign * load.in_flight),
                max(0, pending_prefill_ms + sign * load.pending_prefill_ms),
            )
        self._unlisted = UnlistedLoad(
            max(0, self._unlisted.in_flight + sign * totals.unlisted.in_flight),
            max(0, self._unlisted.pending_prefill_ms + sign * totals.unlisted.pending_prefill_ms),
        )
        for counts in totals.endpoints:
            answers, failures = self._endpoints.get(counts.instance_id, (0, 0))
            self._endpoints[counts.instance_id] = (
                max(0, answers + sign * counts.answers),
                max(0, failures + sign * counts.failures),
            )
        for tally in totals.tallies:
            key = (tally.service, tally.version, tally.kind)
            known = self._tallies.get(key)
            self._tallies[key] = tally if known is None else _add_tallies(known, tally, sign)

    @property
    def totals(self) -> ActivityTotals:
        """The current sum."""
        loads = [
            EndpointLoad(instance_id, in_flight, pending_prefill_ms)
            for instance_id, (in_flight, pending_prefill_ms) in self._loads.items()
            if in_flight or pending_prefill_ms
        ]
        loads.sort(key=lambda load: (load.pending_prefill_ms, load.in_flight), reverse=True)
        others = loads[MAX_LISTED_LOADS:]
        unlisted = UnlistedLoad(
            self._unlisted.in_flight + sum(load.in_flight for load in others),
            self._unlisted.pending_prefill_ms + sum(load.pending_prefill_ms for load in others),
        )
        tallies = list(self._tallies.values())
        endpoints = [EndpointTally(each, *counts) for each, counts in self._endpoints.items()]
        return ActivityTotals(self.hosts, loads[:MAX_LISTED_LOADS], tallies, unlisted, endpoints)


def _add_tallies(one: VersionTally, other: VersionTally, sign: int) -> VersionTally:
    # Endpoints that broke off are a set: subtracting them would lose those that others saw too.
    interrupting_endpoints = sorted({*one.interrupting_endpoints, *other.interrupting_endpoints})
    return VersionTally(
        one.service,
        one.version,
        one.kind,
        max(0, one.answers + sign * other.answers),
        max(0, one.failures + sign * other.failures),
        max(0, one.slow + sign * other.slow),
        max(0, one.paced_answers + sign * other.paced_answers),
        round(one.log_pace_sum + sign * other.log_pace_sum, 2),
        interrupting_endpoints,
    )


def sum_totals(parts: Iterable[ActivityTotals]) -> ActivityTotals:
    """Return the sum of totals."""
    accumulator = TotalsAccumulator()
    for part in parts:
        accumulator.add(part)
    return accumulator.totals


@dataclass
class TotalsTable:
    """The latest totals received from all other hosts.

    Hosts of this zone send their own totals if they take this host for an aggregator,
    aggregators of other zones send the totals of their zones, and aggregators of this zone send
    the totals of all hosts that they know. Of several totals over the same zone or fleet, the one
    that covers the most hosts is used, so that an aggregator that has just started, or hears few
    hosts, hides nothing.
    """

    _zone_hosts: dict[str, ReceivedTotals] = field(default_factory=dict)
    _other_zones: dict[str, dict[str, ReceivedTotals]] = field(default_factory=dict)
    _fleet_totals: dict[str, ReceivedTotals] = field(default_factory=dict)
    _own_totals: OrderedDict[float, ActivityTotals] = field(default_factory=OrderedDict)

    def record_own(self, totals: ActivityTotals, stamp: float) -> None:
        """Remember the own totals that this host sent with a stamp."""
        self._own_totals[stamp] = totals
        while len(self._own_totals) > MAX_OWN_TOTALS:
            self._own_totals.popitem(last=False)

    def apply_host_totals(self, host: str, received: ReceivedTotals) -> None:
        """Store the own totals of a host of this zone."""
        self._zone_hosts[host] = received

    def apply_zone_totals(self, zone: str, host: str, received: ReceivedTotals) -> None:
        """Store the totals of another zone as one of its hosts sent them."""
        self._other_zones.setdefault(zone, {})[host] = received

    def apply_fleet_totals(
        self, host: str, received: ReceivedTotals, included_stamp: float
    ) -> None:
        """Store the totals of all hosts, after subtracting this host's own part.

        Parameters
        ----------
        included_stamp : float
            Stamp of this host's own totals that are included; 0 for none.
        """
        totals = received.totals
        if included_stamp:
            own = self._own_totals.get(included_stamp)
            if own is None:
                return
            remainder = TotalsAccumulator()
            remainder.add(totals)
            remainder.add(own, -1)
            totals = remainder.totals
        self._fleet_totals[host] = ReceivedTotals(totals, received.received_at, received.stamp)

    def stamp_of(self, host: str) -> float:
        """Return the stamp of the totals of a host that are included in sums; 0 for none."""
        received = self._zone_hosts.get(host)
        return 0.0 if received is None else received.stamp

    def compute_zone_totals(self, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the totals of this host's zone, this host included."""
        _drop_expired(self._zone_hosts, now)
        return sum_totals([own, *(received.totals for received in self._zone_hosts.values())])

    def compute_other_zones_totals(self, now: float) -> ActivityTotals:
        """Return the totals of all other zones."""
        found = [
            _choose_widest(received_by_host, now) for received_by_host in self._other_zones.values()
        ]
        return sum_totals(received.totals for received in found if received is not None)

    def compute_fleet_totals(self, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the totals of all zones, this host included."""
        return sum_totals(
            [self.compute_zone_totals(own, now), self.compute_other_zones_totals(now)]
        )

    def estimate_others(self, now: float) -> ActivityTotals:
        """Return the best known totals of all hosts but this one."""
        _drop_expired(self._zone_hosts, now)
        zone = [received.totals for received in self._zone_hosts.values()]
        known = sum_totals([*zone, self.compute_other_zones_totals(now)])
        fleet = _choose_widest(self._fleet_totals, now)
        return known if fleet is None or fleet.totals.hosts <= known.hosts else fleet.totals


def _drop_expired(received: dict[str, ReceivedTotals], now: float) -> None:
    for host in [host for host, each in received.items() if now - each.received_at > TOTALS_TTL_S]:
        del received[host]


def _choose_widest(received: dict[str, ReceivedTotals], now: float) -> ReceivedTotals | None:
    """Return the totals that cover the most hosts, the newest of these; None if there are none."""
    _drop_expired(received, now)
    return max(
        received.values(), key=lambda each: (each.totals.hosts, each.received_at), default=None
    )
