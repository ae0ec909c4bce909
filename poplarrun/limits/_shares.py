"""One host's share of a limit that all hosts keep together."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

# Length of a round: shares move once a round.
ROUND_S = 1.0
# Rounds after which every host that can be heard has heard of a change.
VIEW_ROUNDS = 4
# Rounds for which a taken part is told to the others before it is used: longer
# than it takes to notice that a zone is late.
MATURE_ROUNDS = 6
# What nobody wants lies ready in equal shares, so that a host with new demand
# starts at once; the rest stays free for whoever needs it first.
IDLE_PART = 0.9
# When all is wanted, hosts without demand keep no more than this together.
BUSY_IDLE_PART = 0.04
START_ROUNDS = VIEW_ROUNDS + MATURE_ROUNDS
# Demand swings around its mean; a share of exactly the mean would refuse some.
HEADROOM = 1.2
GIVEN_BACK_A_ROUND = 0.5
DEMAND_DECAY = 0.7


@dataclass(frozen=True, slots=True)
class Claimant:
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

    part: float
    want: float
    deficit: float
    hosts: int = 1


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

    own_zone: Sequence[Claimant] = ()
    other_zones: dict[str, Claimant] = field(default_factory=dict)
    silent: frozenset[str] = frozenset()
    is_current: bool = True
    live: int = 0


NOTHING = Claimant(0.0, 0.0, 0.0, 0)


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

    part: float = 0.0
    held: float = 0.0
    want: float = 0.0
    deficit: float = 0.0
    _recent: deque[float] = field(default_factory=lambda: deque([0.0], MATURE_ROUNDS))
    _demand: float = 0.0
    _rounds_short: int = 0
    _reserved: dict[str, float] = field(default_factory=dict)

    def claimant(self) -> Claimant:
        """Return what this host tells the others."""
        return Claimant(self.held, self.want, self.deficit)

    def step(self, demand: float, view: ShareView) -> None:
        """Close a round.

        Parameters
        ----------
        demand : float
            What this host's callers asked for in the round, refused or not, as
            a part of what the limit allows in a round.
        view : ShareView
            What was heard.
        """
        keep = DEMAND_DECAY if demand < self._demand else 0.0
        self._demand = keep * self._demand + (1.0 - keep) * demand
        heard = [c for zone, c in view.other_zones.items() if zone not in view.silent]
        others = [*view.own_zone, *heard]
        free = self._reserve(view, 1.0 - self.held - sum(c.part for c in others))
        self.want = self._demand * HEADROOM
        hosts = 1 + sum(c.hosts for c in others)
        target = self._find_target(others, hosts)
        if self.held > target:
            self.held -= GIVEN_BACK_A_ROUND * (self.held - target)
        self.deficit = max(0.0, target - self.held)
        if view.is_current and free >= 0.0:
            self._take(free, sum(c.deficit for c in others))
        elif not view.is_current:
            self._cancel_taken()
        else:
            # Only what was taken goes back here. With a sum a hair above 1 (as heard,
            # parts are rounded up) no host may be kept from giving up more than this:
            # all would hold what nobody wants, for ever.
            self.held = max(min(self.held, self.part), self.held + free)
        self._recent.append(self.held)
        self.part = min(self._recent)

    def begin(self, part: float) -> None:
        """Hold at least this part from now on, of which the others haven't heard yet."""
        self.shift(max(0.0, part - self.part))

    def shift(self, amount: float) -> None:
        """Take over a part that a host of the own zone gave up, or give one up (negative)."""
        self.part = max(0.0, self.part + amount)
        self.held = max(0.0, self.held + amount)
        moved = (max(0.0, recent + amount) for recent in self._recent)
        self._recent = deque(moved, MATURE_ROUNDS)

    def drop(self) -> None:
        """Give everything back, after this host was paused or cut off alone.

        The others may have given its part away meanwhile.
        """
        self.held = 0.0
        self._cancel_taken()
        self.part = 0.0

    def _cancel_taken(self) -> None:
        self.held = min(self.held, self.part)
        self._recent.clear()
        self._recent.append(self.held)
        self._rounds_short = 0

    def _reserve(self, view: ShareView, free: float) -> float:
        for zone in list(self._reserved):
            if zone not in view.silent:
                del self._reserved[zone]
        zones = len(view.other_zones) + 1
        new = [zone for zone in view.silent if zone not in self._reserved]
        held = sum(view.other_zones.get(zone, NOTHING).part for zone in new)
        left = max(0.0, free - sum(self._reserved.values()) - held)
        for zone in new:
            self._reserved[zone] = view.other_zones.get(zone, NOTHING).part + left / zones
        return free - sum(self._reserved.values())

    def _find_target(self, others: Sequence[Claimant], hosts: int) -> float:
        wanted = self.want + sum(c.want for c in others)
        met = min(1.0, (1.0 - BUSY_IDLE_PART) / wanted) if wanted > 0.0 else 1.0
        idle = max(BUSY_IDLE_PART, IDLE_PART * (1.0 - wanted))
        return self.want * met + idle / hosts

    def _take(self, free: float, others_deficit: float) -> None:
        if self.deficit <= 0.0:
            self._rounds_short = 0
            return
        self._rounds_short += 1
        if self._rounds_short <= VIEW_ROUNDS or free <= 0.0:
            return
        portion = self.deficit / (self.deficit + others_deficit)
        self.held += min(self.deficit, portion * free / VIEW_ROUNDS)
