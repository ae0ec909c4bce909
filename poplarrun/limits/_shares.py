"""One host's share of a limit that all hosts keep together."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

# Length of a round: shares move once a round.
ROUND_INTERVAL_S = 1.0
# Rounds after which every host that can be heard has heard of a change.
PROPAGATION_ROUNDS = 4
# Rounds for which a taken part is told to the others before it is used: longer
# than it takes to notice that a zone is late.
ACTIVATION_ROUNDS = 6
# What nobody wants lies ready in equal shares, so that a host with new demand
# starts at once; the rest stays free for whoever needs it first.
IDLE_RESERVE_FRACTION = 0.9
# When all is wanted, hosts without demand keep no more than this together.
MIN_IDLE_RESERVE_FRACTION = 0.04
RAMP_UP_ROUNDS = PROPAGATION_ROUNDS + ACTIVATION_ROUNDS
# Demand swings around its mean; a share of exactly the mean would refuse some.
HEADROOM_FACTOR = 1.2
RELEASED_FRACTION_PER_ROUND = 0.5
DEMAND_DECAY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class ShareReport:
    """What one host, or a zone in sum, says of its share of a limit.

    Attributes
    ----------
    part : float
        Part of the limit that it holds, 0 to 1.
    want : float
        Part of the limit that its demand needs, with headroom; may exceed 1.
    deficit : float
        Part that it lacks and means to take.
    hosts : int
        Hosts that this sums up.
    """

    held: float
    wanted: float
    deficit: float
    host_count: int = 1


@dataclass(frozen=True, slots=True)
class ShareView:
    """What a host has heard of the others.

    Attributes
    ----------
    own_zone : sequence of Claimant
        The other live hosts of the own zone.
    other_zones : dict of str to Claimant
        Each other zone's sum, as last heard.
    silent : frozenset of str
        Zones that can't be heard now.
    is_current : bool
        False while a zone is late, and not yet known to be silent.
    live : int
        Hosts that are taken to be live, this one included.
    """

    own_zone: Sequence[ShareReport] = ()
    other_zones: dict[str, ShareReport] = field(default_factory=dict)
    silent_zones: frozenset[str] = frozenset()
    is_current: bool = True
    live_hosts: int = 0


EMPTY_REPORT = ShareReport(0.0, 0.0, 0.0, 0)


@dataclass
class Share:
    """The part of one limit of one client account that a host may use.

    A host gives back at once, and takes only from what nobody holds. It takes
    no sooner than ``VIEW_ROUNDS`` after it told of its need, and in each round
    only its portion of a ``VIEW_ROUNDS``-th of what is free: whatever all hosts
    take in the time in which they don't hear of each other is then no more than
    what was free. What it took it uses ``MATURE_ROUNDS`` later, and gives back
    when a zone is late: a cut then leaves no host using a part of which the
    other side never heard. The part of a zone that fell silent stays its own,
    with its portion of what was free, because it may be serving out of it.

    Attributes
    ----------
    part : float
        Part of the limit that this host may use.
    held : float
        Part that it tells the others it holds; at least ``part``.
    want : float
        Part that its demand needs.
    deficit : float
        Part that it lacks.
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
        """Return what this host tells the others."""
        return ShareReport(self.held, self.wanted, self.deficit)

    def update(self, demand: float, view: ShareView) -> None:
        """Close a round.

        Parameters
        ----------
        demand : float
            What this host's callers asked for in the round, refused or not, as
            a part of what the limit allows in a round.
        view : ShareView
            What was heard.
        """
        keep = DEMAND_DECAY_FACTOR if demand < self._demand else 0.0
        self._demand = keep * self._demand + (1.0 - keep) * demand
        heard = [c for zone, c in view.other_zones.items() if zone not in view.silent_zones]
        others = [*view.own_zone, *heard]
        free = self._deduct_reserved(view, 1.0 - self.held - sum(c.held for c in others))
        self.wanted = self._demand * HEADROOM_FACTOR
        hosts = 1 + sum(c.host_count for c in others)
        target = self._compute_target(others, hosts)
        if self.held > target:
            self.held -= RELEASED_FRACTION_PER_ROUND * (self.held - target)
        self.deficit = max(0.0, target - self.held)
        if view.is_current and free >= 0.0:
            self._acquire(free, sum(c.deficit for c in others))
        elif not view.is_current:
            self._cancel_pending()
        else:
            # Only what was taken goes back here. With a sum a hair above 1 (as heard,
            # parts are rounded up) no host may be kept from giving up more than this:
            # all would hold what nobody wants, for ever.
            self.held = max(min(self.held, self.usable), self.held + free)
        self._recent_held.append(self.held)
        self.usable = min(self._recent_held)

    def raise_to(self, part: float) -> None:
        """Hold at least this part from now on, of which the others haven't heard yet."""
        self.transfer(max(0.0, part - self.usable))

    def transfer(self, amount: float) -> None:
        """Take over a part that a host of the own zone gave up, or give one up (negative)."""
        self.usable = max(0.0, self.usable + amount)
        self.held = max(0.0, self.held + amount)
        moved = (max(0.0, recent + amount) for recent in self._recent_held)
        self._recent_held = deque(moved, ACTIVATION_ROUNDS)

    def release_all(self) -> None:
        """Give everything back, after this host was paused or cut off alone.

        The others may have given its part away meanwhile.
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
        wanted = self.wanted + sum(c.wanted for c in others)
        met = min(1.0, (1.0 - MIN_IDLE_RESERVE_FRACTION) / wanted) if wanted > 0.0 else 1.0
        idle = max(MIN_IDLE_RESERVE_FRACTION, IDLE_RESERVE_FRACTION * (1.0 - wanted))
        return self.wanted * met + idle / hosts

    def _acquire(self, free: float, others_deficit: float) -> None:
        if self.deficit <= 0.0:
            self._rounds_short = 0
            return
        self._rounds_short += 1
        if self._rounds_short <= PROPAGATION_ROUNDS or free <= 0.0:
            return
        portion = self.deficit / (self.deficit + others_deficit)
        self.held += min(self.deficit, portion * free / PROPAGATION_ROUNDS)
