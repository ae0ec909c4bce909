"""One host's share of a limit that is enforced over all hosts."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

# Interval of the rounds in which shares change.
ROUND_INTERVAL_S = 1.0
# Rounds after which a change is known to every host that can be reached.
PROPAGATION_ROUNDS = 4
# Rounds for which an acquired fraction is announced before it is used: longer than it takes to
# notice that a zone is late.
ACTIVATION_ROUNDS = 6
# This fraction of the unwanted limit is held in equal shares, so that a host with new demand can
# use it at once; the rest stays free for the host that needs it first.
IDLE_RESERVE_FRACTION = 0.9
# If demand takes up the whole limit, hosts without demand together keep at most this fraction.
MIN_IDLE_RESERVE_FRACTION = 0.04
RAMP_UP_ROUNDS = PROPAGATION_ROUNDS + ACTIVATION_ROUNDS
# Demand fluctuates: a share equal to the mean demand would refuse some requests.
HEADROOM_FACTOR = 1.2
RELEASED_FRACTION_PER_ROUND = 0.5
DEMAND_DECAY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class ShareReport:
    """State of a share, as reported by one host or summed over a zone.

    Attributes
    ----------
    held : float
        Held fraction of the limit, 0 to 1.
    wanted : float
        Fraction of the limit that the demand needs, with headroom; may exceed 1.
    deficit : float
        Fraction that is missing and will be acquired.
    host_count : int
        Hosts included in this report.
    """

    held: float
    wanted: float
    deficit: float
    host_count: int = 1


@dataclass(frozen=True, slots=True)
class ShareView:
    """What a host knows of the other hosts' shares.

    Attributes
    ----------
    own_zone : sequence of ShareReport
        The other live hosts of the own zone.
    other_zones : dict of str to ShareReport
        Last known sum of each other zone.
    silent_zones : frozenset of str
        Zones that can't be reached now.
    is_current : bool
        False while a zone is late and not yet known to be silent.
    live_hosts : int
        Hosts that are considered live, this one included.
    """

    own_zone: Sequence[ShareReport] = ()
    other_zones: dict[str, ShareReport] = field(default_factory=dict)
    silent_zones: frozenset[str] = frozenset()
    is_current: bool = True
    live_hosts: int = 0


EMPTY_REPORT = ShareReport(0.0, 0.0, 0.0, 0)


@dataclass
class Share:
    """The fraction of one limit of one client account that a host may use.

    A host releases at once and acquires only what no host holds. It acquires not before
    ``PROPAGATION_ROUNDS`` after it reported its deficit, and in each round at most its portion of
    the free fraction divided by ``PROPAGATION_ROUNDS``: what all hosts acquire before they hear of
    each other is then at most what was free. What it acquired it uses ``ACTIVATION_ROUNDS`` later,
    and releases if a zone becomes late: when the network splits, no host then uses a fraction of
    which the other side never heard. The share of a silent zone stays reserved, with its portion of
    what was free, because that zone may still be using it.

    Attributes
    ----------
    usable : float
        Fraction of the limit that this host may use.
    held : float
        Fraction that it reports as held; at least ``usable``.
    wanted : float
        Fraction that its demand needs.
    deficit : float
        Fraction that it is missing.
    """

    usable: float = 0.0
    held: float = 0.0
    wanted: float = 0.0
    deficit: float = 0.0
    _recent_held: deque[float] = field(default_factory=lambda: deque([0.0], ACTIVATION_ROUNDS))
    _demand: float = 0.0
    _rounds_short: int = 0
    _reserved: dict[str, float] = field(default_factory=dict)

    def report(self) -> ShareReport:
        """Return the report of this share for the other hosts."""
        return ShareReport(self.held, self.wanted, self.deficit)

    def update(self, demand: float, view: ShareView) -> None:
        """Update the share at the end of a round.

        Parameters
        ----------
        demand : float
            Demand at this host in the round, admitted or not, as a fraction of what the limit
            allows in a round.
        view : ShareView
            The other hosts' shares.
        """
        decay = DEMAND_DECAY_FACTOR if demand < self._demand else 0.0
        self._demand = decay * self._demand + (1.0 - decay) * demand
        reachable = [
            other for zone, other in view.other_zones.items() if zone not in view.silent_zones
        ]
        others = [*view.own_zone, *reachable]
        free = self._deduct_reserved(view, 1.0 - self.held - sum(other.held for other in others))
        self.wanted = self._demand * HEADROOM_FACTOR
        hosts = 1 + sum(other.host_count for other in others)
        target = self._compute_target(others, hosts)
        if self.held > target:
            self.held -= RELEASED_FRACTION_PER_ROUND * (self.held - target)
        self.deficit = max(0.0, target - self.held)
        if view.is_current and free >= 0.0:
            self._acquire(free, sum(other.deficit for other in others))
        elif not view.is_current:
            self._cancel_pending()
        else:
            # Only acquired fractions that are not in use yet are released here. Reported fractions
            # are rounded up, so their sum may be slightly above 1. That must not stop hosts from
            # releasing more than this: they would hold unwanted fractions for ever.
            self.held = max(min(self.held, self.usable), self.held + free)
        self._recent_held.append(self.held)
        self.usable = min(self._recent_held)

    def raise_to(self, fraction: float) -> None:
        """Raise the share to at least this fraction, which the others don't know of yet."""
        self.transfer(max(0.0, fraction - self.usable))

    def transfer(self, amount: float) -> None:
        """Add a fraction transferred from a host of the own zone; a negative one is removed."""
        self.usable = max(0.0, self.usable + amount)
        self.held = max(0.0, self.held + amount)
        transferred = (max(0.0, recent + amount) for recent in self._recent_held)
        self._recent_held = deque(transferred, ACTIVATION_ROUNDS)

    def release_all(self) -> None:
        """Release the whole share, which another host of the zone takes over.

        Fractions that were acquired and are not in use yet are released too.
        """
        self.held = 0.0
        self._cancel_pending()
        self.usable = 0.0

    def _cancel_pending(self) -> None:
        self.held = min(self.held, self.usable)
        self._recent_held.clear()
        self._recent_held.append(self.held)
        self._rounds_short = 0

    def _deduct_reserved(self, view: ShareView, free: float) -> float:
        for zone in list(self._reserved):
            if zone not in view.silent_zones:
                del self._reserved[zone]
        zones = len(view.other_zones) + 1
        new = [zone for zone in view.silent_zones if zone not in self._reserved]
        held = sum(view.other_zones.get(zone, EMPTY_REPORT).held for zone in new)
        left = max(0.0, free - sum(self._reserved.values()) - held)
        for zone in new:
            self._reserved[zone] = view.other_zones.get(zone, EMPTY_REPORT).held + left / zones
        return free - sum(self._reserved.values())

    def _compute_target(self, others: Sequence[ShareReport], hosts: int) -> float:
        wanted = self.wanted + sum(other.wanted for other in others)
        met_fraction = min(1.0, (1.0 - MIN_IDLE_RESERVE_FRACTION) / wanted) if wanted > 0.0 else 1.0
        idle = max(MIN_IDLE_RESERVE_FRACTION, IDLE_RESERVE_FRACTION * (1.0 - wanted))
        return self.wanted * met_fraction + idle / hosts

    def _acquire(self, free: float, others_deficit: float) -> None:
        if self.deficit <= 0.0:
            self._rounds_short = 0
            return
        self._rounds_short += 1
        if self._rounds_short <= PROPAGATION_ROUNDS or free <= 0.0:
            return
        portion = self.deficit / (self.deficit + others_deficit)
        self.held += min(self.deficit, portion * free / PROPAGATION_ROUNDS)
