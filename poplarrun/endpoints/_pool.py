"""The endpoints that can do one kind of work, indexed for fast choice."""

import random
from collections.abc import Container
from dataclasses import dataclass, field

from poplarrun.endpoints._endpoint import Endpoint, OthersModel
from poplarrun.rendezvous import choose_owner, hash_name
from poplarrun.speeds import PoolSpeed

# Of a pool's endpoints at most this share is passed over for broken answers.
# A fault of the requests themselves would otherwise take out every endpoint.
MAX_EJECTED_SHARE = 0.5
# With fewer free places for each endpoint a pool counts as full; so long the sum
# over it holds.
FEW_FREE_PLACES = 1.2
SUMMED_PERIOD_S = 0.25
MEAN_DECAY = 0.95
KEPT_HOMES = 10_000


@dataclass
class Pool:
    """Endpoints of one version, or of one plain service.

    Attributes
    ----------
    members : list of Endpoint
        All that are listed and not leaving.
    near, far : list of Endpoint
        Those that may be drawn now, in the own zone and in the others.
    salts : list of (str, int)
        Names from which a prefix's home is taken, with their salts.
    refresh_at : float
        When the members have to be sorted anew.
    own : list of Endpoint
        Those of the near ones that are assigned to this host.
    own_names : frozenset of str
        All endpoints that are assigned to this host.
    others : OthersModel
        Load by other hosts.
    speed : PoolSpeed
        How long work takes here.
    """

    zone: str
    members: list[Endpoint] = field(default_factory=list)
    near: list[Endpoint] = field(default_factory=list)
    far: list[Endpoint] = field(default_factory=list)
    own: list[Endpoint] = field(default_factory=list)
    own_names: frozenset[str] = frozenset()
    others: OthersModel = field(default_factory=OthersModel)
    speed: PoolSpeed = field(default_factory=PoolSpeed)
    salts: list[tuple[str, int]] = field(default_factory=list)
    refresh_at: float = float("-inf")
    _own_load: float = 0.0
    _is_full: bool = False
    _summed_until: float = float("-inf")
    _homes: dict[int, str | None] = field(default_factory=dict)
    _usable: set[str] = field(default_factory=set)

    def may_draw(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may get new work now."""
        return endpoint.name in self._usable

    def mark_changed(self) -> None:
        """Have the members sorted anew before the next choice."""
        self.refresh_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Sort the members into those that may be drawn; runs on changes only."""
        paused = [e for e in self.members if e.paused_until > now]
        # A refusal is the endpoint's own word and no fault of the request, so all that
        # refuse may be out, as long as another one is in.
        is_any_left = len(paused) < len(self.members)
        bounded = [e for e in paused if not e.unreachable and not (e.refusals and is_any_left)]
        bounded.sort(key=lambda e: e.paused_until)
        bound = int(len(self.members) * MAX_EJECTED_SHARE)
        spared = {e.name for e in bounded[: max(0, len(bounded) - bound)]}
        out = {e.name for e in paused} - spared
        # None may be left: then nobody can be reached, and every call would be
        # one more failure. Callers hear so at once, until a pause ends or a
        # load report shows that an endpoint is back.
        usable = [e for e in self.members if e.name not in out]
        self.near = [e for e in usable if e.zone == self.zone]
        self.far = [e for e in usable if e.zone != self.zone]
        self.own = [e for e in self.near if e.name in self.own_names]
        self._homes.clear()
        self._usable = {e.name for e in usable}
        self.salts = [(e.name, hash_name(e.name)) for e in self.near or self.far]
        self.refresh_at = min((e.paused_until for e in paused), default=float("inf"))

    def avoid_refusing(self, tried: Container[str]) -> Container[str]:
        """Return what a retry avoids: what it tried, and what refused others last.

        Pauses end together, and a retry that met one after the other of them would
        be refused in the end, although the endpoints that never refused have room.
        """
        avoided = {e.name for e in self.members if e.refusals or e.name in tried}
        return avoided if len(avoided) < len(self.members) else tried

    def home(self, key: int) -> str | None:
        """Return the endpoint that a prefix usually goes to."""
        if key not in self._homes:
            if len(self._homes) >= KEPT_HOMES:
                self._homes.clear()
            self._homes[key] = choose_owner(key, self.salts)
        return self._homes[key]

    def draw_own(self, source: random.Random, count: int, avoid: Container[str]) -> list[Endpoint]:
        """Draw some of the endpoints that are assigned to this host."""
        return _draw(self.own, count, source, avoid)

    def draw_near(self, source: random.Random, count: int, avoid: Container[str]) -> list[Endpoint]:
        """Draw some endpoints of the own zone at random, without those to avoid."""
        return _draw(self.near, count, source, avoid)

    def draw_far(self, source: random.Random, count: int, avoid: Container[str]) -> list[Endpoint]:
        """Draw some endpoints of the other zones at random, without those to avoid."""
        return _draw(self.far, count, source, avoid)

    def note_own_load(self, load: float) -> None:
        """Take in the requests of this host at one endpoint, for each place of its batch."""
        self._own_load += (1.0 - MEAN_DECAY) * (load - self._own_load)

    def mean_load(self) -> float:
        """Return the mean load of the endpoints, as far as it is known."""
        return self._own_load + self.others.mean

    def is_full_of_others(self, now: float) -> bool:
        """Tell whether nearly no place is free by the reports, and other hosts fill most."""
        if now >= self._summed_until:
            drawn = self.near + self.far
            places = sum(endpoint.capacity for endpoint in drawn)
            requests = sum(endpoint.load() * endpoint.capacity for endpoint in drawn)
            own = sum(endpoint.in_flight for endpoint in drawn)
            # By a share of the places a large pool would count as full with hundreds
            # of them free, and hosts would wait for their own ones beside these.
            has_few = places - requests < len(drawn) * FEW_FREE_PLACES
            self._is_full = has_few and 2 * own < requests
            self._summed_until = now + SUMMED_PERIOD_S
        return self._is_full

    def own_share(self) -> float:
        """Return which share of the pool's load this host gives."""
        whole = self._own_load + self.others.mean
        return self._own_load / whole if whole > 0.0 else 1.0


def _draw(
    endpoints: list[Endpoint], count: int, source: random.Random, avoid: Container[str]
) -> list[Endpoint]:
    if avoid:
        endpoints = [e for e in endpoints if e.name not in avoid]
    size = len(endpoints)
    if size <= count:
        # From a random one on: the first of equals is chosen, and hosts that
        # all began at the same one would fill it alone.
        start = int(source.random() * size)
        return endpoints[start:] + endpoints[:start]
    drawn: list[Endpoint] = []
    while len(drawn) < count:
        endpoint = endpoints[int(source.random() * size)]
        if endpoint not in drawn:
            drawn.append(endpoint)
    return drawn
