"""Sums of what hosts run and saw, over a zone and over the fleet."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._messages import ActivityTotals, EndpointLoad, VersionTally

# A share that is older counts no more, in seconds: its host may be dead, or its holder have
# lost its zone.
SHARE_KEPT_S = 3.2
# Own shares that are remembered until the hosts that add them up have taken the next one.
OWN_KEPT = 32


@dataclass(frozen=True, slots=True)
class ReceivedTotals:
    """A share that another host told.

    Attributes
    ----------
    at : float
        When it came.
    stamp : float
        The sender's clock as it sent it.
    """

    share: ActivityTotals
    at: float
    stamp: float = 0.0


class TotalsAccumulator:
    """Adds shares up, or takes one of them out again."""

    def __init__(self) -> None:
        self.hosts = 0
        self._loads: dict[str, tuple[int, int]] = {}
        self._tallies: dict[tuple[str, str, str], VersionTally] = {}

    def add(self, share: ActivityTotals, sign: int = 1) -> None:
        """Add a share.

        Parameters
        ----------
        sign : int
            -1 to take out a share that was added before.
        """
        self.hosts += sign * share.hosts
        for load in share.loads:
            in_flight, pending_ms = self._loads.get(load.lifetime, (0, 0))
            self._loads[load.lifetime] = (
                max(0, in_flight + sign * load.in_flight),
                max(0, pending_ms + sign * load.pending_ms),
            )
        for news in share.tallies:
            key = (news.service, news.version, news.kind)
            known = self._tallies.get(key)
            self._tallies[key] = news if known is None else _add(known, news, sign)

    @property
    def share(self) -> ActivityTotals:
        """The sum."""
        loads = [
            EndpointLoad(lifetime, in_flight, pending_ms)
            for lifetime, (in_flight, pending_ms) in self._loads.items()
            if in_flight or pending_ms
        ]
        return ActivityTotals(self.hosts, loads, list(self._tallies.values()))


def _add(one: VersionTally, other: VersionTally, sign: int) -> VersionTally:
    # Endpoints that broke off are a set: taking them out would lose those that others saw.
    broken = sorted({*one.broken, *other.broken})
    return VersionTally(
        one.service,
        one.version,
        one.kind,
        max(0, one.ended + sign * other.ended),
        max(0, one.failures + sign * other.failures),
        max(0, one.slow + sign * other.slow),
        max(0, one.paced + sign * other.paced),
        round(one.log_pace + sign * other.log_pace, 2),
        broken,
    )


def add_up(shares: Iterable[ActivityTotals]) -> ActivityTotals:
    """Return the sum of shares."""
    total = TotalsAccumulator()
    for share in shares:
        total.add(share)
    return total.share


@dataclass
class TotalsTable:
    """What a host knows of the shares of all others.

    Its own zone's hosts tell theirs if they take it for a relay, relays of other zones tell
    their zones' sums, and relays of its own zone tell the sum of all that they know. Of sums
    over the same hosts the one that covers most of them counts, so that a relay that has just
    begun, or hears few, hides nothing.
    """

    _near: dict[str, ReceivedTotals] = field(default_factory=dict)
    _zones: dict[str, dict[str, ReceivedTotals]] = field(default_factory=dict)
    _fleet: dict[str, ReceivedTotals] = field(default_factory=dict)
    _own: OrderedDict[float, ActivityTotals] = field(default_factory=OrderedDict)

    def note_own(self, share: ActivityTotals, stamp: float) -> None:
        """Remember what this host told of itself."""
        self._own[stamp] = share
        while len(self._own) > OWN_KEPT:
            self._own.popitem(last=False)

    def take_near(self, host: str, told: ReceivedTotals) -> None:
        """Take in the own share of a host of the own zone."""
        self._near[host] = told

    def take_zone(self, zone: str, host: str, told: ReceivedTotals) -> None:
        """Take in the sum of another zone, as one of its hosts tells it."""
        self._zones.setdefault(zone, {})[host] = told

    def take_fleet(self, host: str, told: ReceivedTotals, counted: float) -> None:
        """Take in the sum of all hosts, without what this one has told itself.

        Parameters
        ----------
        counted : float
            Stamp of the own share that is in the sum; 0 for none.
        """
        share = told.share
        if counted:
            own = self._own.get(counted)
            if own is None:
                return
            rest = TotalsAccumulator()
            rest.add(share)
            rest.add(own, -1)
            share = rest.share
        self._fleet[host] = ReceivedTotals(share, told.at, told.stamp)

    def stamp_of(self, host: str) -> float:
        """Return the stamp of the share of a host that counts in the sums told; 0 for none."""
        told = self._near.get(host)
        return 0.0 if told is None else told.stamp

    def zone_sum(self, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the sum of the own zone, this host included."""
        _drop_old(self._near, now)
        return add_up([own, *(told.share for told in self._near.values())])

    def far_sum(self, now: float) -> ActivityTotals:
        """Return the sum of all other zones."""
        found = [_best(tellers, now) for tellers in self._zones.values()]
        return add_up(told.share for told in found if told is not None)

    def fleet_sum(self, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the sum of all zones, this host included."""
        return add_up([self.zone_sum(own, now), self.far_sum(now)])

    def others(self, now: float) -> ActivityTotals:
        """Return the best known sum of all hosts but this one."""
        _drop_old(self._near, now)
        near = [told.share for told in self._near.values()]
        known = add_up([*near, self.far_sum(now)])
        told = _best(self._fleet, now)
        return known if told is None or told.share.hosts <= known.hosts else told.share


def _drop_old(told: dict[str, ReceivedTotals], now: float) -> None:
    for host in [host for host, each in told.items() if now - each.at > SHARE_KEPT_S]:
        del told[host]


def _best(told: dict[str, ReceivedTotals], now: float) -> ReceivedTotals | None:
    """Return the share that covers most hosts, the newest of these; None for none."""
    _drop_old(told, now)
    return max(told.values(), key=lambda each: (each.share.hosts, each.at), default=None)
