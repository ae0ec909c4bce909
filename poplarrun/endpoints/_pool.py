"""The endpoints that can do one kind of work, indexed for fast choice."""

import random
from collections.abc import Container
from dataclasses import dataclass, field

from poplarrun.endpoints._endpoint import BackgroundLoadModel, Endpoint
from poplarrun.rendezvous import choose_owner, hash_name
from poplarrun.speeds import PoolSpeed

# Of a pool's endpoints at most this share is passed over for broken answers.
# A fault of the requests themselves would otherwise take out every endpoint.
MAX_EJECTED_FRACTION = 0.5
# With fewer free places for each endpoint a pool counts as full; so long the sum
# over it holds.
MIN_FREE_SLOTS_PER_ENDPOINT = 1.2
SATURATION_CACHE_TTL_S = 0.25
MEAN_DECAY_FACTOR = 0.95
MAX_PREFERRED_CACHED = 10_000


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
    same_zone: list[Endpoint] = field(default_factory=list)
    other_zones: list[Endpoint] = field(default_factory=list)
    owned: list[Endpoint] = field(default_factory=list)
    owned_names: frozenset[str] = frozenset()
    background_load: BackgroundLoadModel = field(default_factory=BackgroundLoadModel)
    speed: PoolSpeed = field(default_factory=PoolSpeed)
    hash_salts: list[tuple[str, int]] = field(default_factory=list)
    refresh_at: float = float("-inf")
    _own_load: float = 0.0
    _is_saturated: bool = False
    _saturation_valid_until: float = float("-inf")
    _preferred: dict[int, str | None] = field(default_factory=dict)
    _eligible: set[str] = field(default_factory=set)

    def is_eligible(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may get new work now."""
        return endpoint.name in self._eligible

    def invalidate(self) -> None:
        """Have the members sorted anew before the next choice."""
        self.refresh_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Sort the members into those that may be drawn; runs on changes only."""
        paused = [e for e in self.members if e.paused_until > now]
        # A refusal is the endpoint's own word and no fault of the request, so all that
        # refuse may be out, as long as another one is in.
        is_any_left = len(paused) < len(self.members)
        bounded = [
            e
            for e in paused
            if not e.is_unreachable and not (e.consecutive_refusals and is_any_left)
        ]
        bounded.sort(key=lambda e: e.paused_until)
        bound = int(len(self.members) * MAX_EJECTED_FRACTION)
        spared = {e.name for e in bounded[: max(0, len(bounded) - bound)]}
        out = {e.name for e in paused} - spared
        # None may be left: then nobody can be reached, and every call would be
        # one more failure. Callers hear so at once, until a pause ends or a
        # load report shows that an endpoint is back.
        usable = [e for e in self.members if e.name not in out]
        self.same_zone = [e for e in usable if e.zone == self.zone]
        self.other_zones = [e for e in usable if e.zone != self.zone]
        self.owned = [e for e in self.same_zone if e.name in self.owned_names]
        self._preferred.clear()
        self._eligible = {e.name for e in usable}
        self.hash_salts = [(e.name, hash_name(e.name)) for e in self.same_zone or self.other_zones]
        self.refresh_at = min((e.paused_until for e in paused), default=float("inf"))

    def add_refusing(self, tried: Container[str]) -> Container[str]:
        """Return what a retry avoids: what it tried, and what refused others last.

        Pauses end together, and a retry that met one after the other of them would
        be refused in the end, although the endpoints that never refused have room.
        """
        avoided = {e.name for e in self.members if e.consecutive_refusals or e.name in tried}
        return avoided if len(avoided) < len(self.members) else tried

    def preferred_endpoint(self, key: int) -> str | None:
        """Return the endpoint that a prefix usually goes to."""
        if key not in self._preferred:
            if len(self._preferred) >= MAX_PREFERRED_CACHED:
                self._preferred.clear()
            self._preferred[key] = choose_owner(key, self.hash_salts)
        return self._preferred[key]

    def sample_owned(self, rng: random.Random, count: int, avoid: Container[str]) -> list[Endpoint]:
        """Draw some of the endpoints that are assigned to this host."""
        return _sample(self.owned, count, rng, avoid)

    def sample_same_zone(
        self, rng: random.Random, count: int, avoid: Container[str]
    ) -> list[Endpoint]:
        """Draw some endpoints of the own zone at random, without those to avoid."""
        return _sample(self.same_zone, count, rng, avoid)

    def sample_other_zones(
        self, rng: random.Random, count: int, avoid: Container[str]
    ) -> list[Endpoint]:
        """Draw some endpoints of the other zones at random, without those to avoid."""
        return _sample(self.other_zones, count, rng, avoid)

    def observe_own_load(self, load: float) -> None:
        """Take in the requests of this host at one endpoint, for each place of its batch."""
        self._own_load += (1.0 - MEAN_DECAY_FACTOR) * (load - self._own_load)

    def mean_load(self) -> float:
        """Return the mean load of the endpoints, as far as it is known."""
        return self._own_load + self.background_load.mean

    def is_saturated_by_others(self, now: float) -> bool:
        """Tell whether nearly no place is free by the reports, and other hosts fill most."""
        if now >= self._saturation_valid_until:
            drawn = self.same_zone + self.other_zones
            places = sum(endpoint.capacity for endpoint in drawn)
            requests = sum(endpoint.compute_load() * endpoint.capacity for endpoint in drawn)
            own = sum(endpoint.in_flight for endpoint in drawn)
            # By a share of the places a large pool would count as full with hundreds
            # of them free, and hosts would wait for their own ones beside these.
            has_few = places - requests < len(drawn) * MIN_FREE_SLOTS_PER_ENDPOINT
            self._is_saturated = has_few and 2 * own < requests
            self._saturation_valid_until = now + SATURATION_CACHE_TTL_S
        return self._is_saturated

    def own_load_fraction(self) -> float:
        """Return which share of the pool's load this host gives."""
        whole = self._own_load + self.background_load.mean
        return self._own_load / whole if whole > 0.0 else 1.0


def _sample(
    endpoints: list[Endpoint], count: int, rng: random.Random, avoid: Container[str]
) -> list[Endpoint]:
    if avoid:
        endpoints = [e for e in endpoints if e.name not in avoid]
    size = len(endpoints)
    if size <= count:
        # From a random one on: the first of equals is chosen, and hosts that
        # all began at the same one would fill it alone.
        start = int(rng.random() * size)
        return endpoints[start:] + endpoints[:start]
    drawn: list[Endpoint] = []
    while len(drawn) < count:
        endpoint = endpoints[int(rng.random() * size)]
        if endpoint not in drawn:
            drawn.append(endpoint)
    return drawn
