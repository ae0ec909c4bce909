"""The endpoints that serve one version or plain service, indexed for fast selection."""

import random
from collections.abc import Container
from dataclasses import dataclass, field

from poplarrun.endpoints._endpoint import BackgroundLoadModel, Endpoint
from poplarrun.rendezvous import choose_owner, hash_name
from poplarrun.speeds import PoolSpeed

# At most this fraction of the reachable endpoints of a pool is ejected for broken answers. If the
# requests themselves cause the failures, every endpoint would be ejected otherwise.
MAX_EJECTED_FRACTION = 0.5
# A pool with fewer free slots for each endpoint counts as full. The sum over the pool is cached for
# the time below.
MIN_FREE_SLOTS_PER_ENDPOINT = 1.2
SATURATION_CACHE_TTL_S = 0.25
MEAN_DECAY_FACTOR = 0.95
MAX_PREFERRED_CACHED = 10_000


@dataclass
class Pool:
    """Endpoints that serve one version, or one plain service.

    Attributes
    ----------
    members : list of Endpoint
        All endpoints that are listed and not leaving.
    same_zone, other_zones : list of Endpoint
        Endpoints that may be selected now, in the host's own zone and elsewhere.
    owned : list of Endpoint
        Endpoints of ``same_zone`` that are assigned to this host.
    owned_names : frozenset of str
        All endpoints that are assigned to this host.
    background_load : BackgroundLoadModel
        Load from other hosts.
    speed : PoolSpeed
        Measured request and prefill times.
    hash_salts : list of (str, int)
        Names and hash salts from which a prefix's preferred endpoint is chosen.
    refresh_at : float
        When the members must be sorted again.
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
        """Tell whether an endpoint may get new requests now."""
        return endpoint.name in self._eligible

    def invalidate(self) -> None:
        """Sort the members again before the next selection."""
        self.refresh_at = float("-inf")

    def refresh(self, now: float) -> None:
        """Sort the members into those that may be selected; runs on changes only."""
        paused = [e for e in self.members if e.paused_until > now]
        # A refusal is reported by the endpoint itself and is not caused by the request, so any
        # number of refusing endpoints may be ejected as long as one other endpoint remains.
        is_any_left = len(paused) < len(self.members)
        ejectable = [
            e
            for e in paused
            if not e.is_unreachable and not (e.consecutive_refusals and is_any_left)
        ]
        ejectable.sort(key=lambda e: e.paused_until)
        reachable_count = sum(not e.is_unreachable for e in self.members)
        max_ejected = int(reachable_count * MAX_EJECTED_FRACTION)
        not_ejected = {e.name for e in ejectable[: max(0, len(ejectable) - max_ejected)]}
        ejected = {e.name for e in paused} - not_ejected
        # The result may be empty. Then no endpoint can be reached and every call would fail, so
        # callers get an error at once, until a pause ends or a load report shows that an endpoint
        # is back.
        eligible = [e for e in self.members if e.name not in ejected]
        self.same_zone = [e for e in eligible if e.zone == self.zone]
        self.other_zones = [e for e in eligible if e.zone != self.zone]
        self.owned = [e for e in self.same_zone if e.name in self.owned_names]
        self._preferred.clear()
        self._eligible = {e.name for e in eligible}
        self.hash_salts = [(e.name, hash_name(e.name)) for e in self.same_zone or self.other_zones]
        self.refresh_at = min((e.paused_until for e in paused), default=float("inf"))

    def add_refusing(self, attempted: Container[str]) -> Container[str]:
        """Return the endpoints that a retry avoids: attempted ones and those that are refusing.

        Pauses end together. A retry that was sent to several refusing endpoints in turn would fail
        in the end, although endpoints that never refused have free slots.
        """
        excluded = {e.name for e in self.members if e.consecutive_refusals or e.name in attempted}
        return excluded if len(excluded) < len(self.members) else attempted

    def preferred_endpoint(self, key: int) -> str | None:
        """Return the endpoint that rendezvous hashing assigns to a prompt prefix."""
        if key not in self._preferred:
            if len(self._preferred) >= MAX_PREFERRED_CACHED:
                self._preferred.clear()
            self._preferred[key] = choose_owner(key, self.hash_salts)
        return self._preferred[key]

    def sample_owned(self, rng: random.Random, count: int, avoid: Container[str]) -> list[Endpoint]:
        """Return a random sample of the endpoints assigned to this host."""
        return _sample(self.owned, count, rng, avoid)

    def sample_same_zone(
        self, rng: random.Random, count: int, avoid: Container[str]
    ) -> list[Endpoint]:
        """Return a random sample of the own zone's endpoints, without those to avoid."""
        return _sample(self.same_zone, count, rng, avoid)

    def sample_other_zones(
        self, rng: random.Random, count: int, avoid: Container[str]
    ) -> list[Endpoint]:
        """Return a random sample of the other zones' endpoints, without those to avoid."""
        return _sample(self.other_zones, count, rng, avoid)

    def observe_own_load(self, load: float) -> None:
        """Update the mean of this host's requests for each slot of an endpoint's batch."""
        self._own_load += (1.0 - MEAN_DECAY_FACTOR) * (load - self._own_load)

    def mean_load(self) -> float:
        """Return the mean load of the endpoints, as far as it is known."""
        return self._own_load + self.background_load.mean

    def is_saturated_by_others(self, now: float) -> bool:
        """Tell whether hardly any slot is free and most of the load comes from other hosts."""
        if now >= self._saturation_valid_until:
            candidates = self.same_zone + self.other_zones
            slots = sum(endpoint.capacity for endpoint in candidates)
            requests = sum(endpoint.compute_load() * endpoint.capacity for endpoint in candidates)
            own = sum(endpoint.in_flight for endpoint in candidates)
            # The bound is per endpoint, not a fraction of all slots: with a fraction, a large pool
            # would count as full with hundreds of free slots, and hosts would wait for their own
            # endpoints instead of using these.
            has_few_free = slots - requests < len(candidates) * MIN_FREE_SLOTS_PER_ENDPOINT
            self._is_saturated = has_few_free and 2 * own < requests
            self._saturation_valid_until = now + SATURATION_CACHE_TTL_S
        return self._is_saturated

    def own_load_fraction(self) -> float:
        """Return the fraction of the pool's load that comes from this host."""
        total = self._own_load + self.background_load.mean
        return self._own_load / total if total > 0.0 else 1.0


def _sample(
    endpoints: list[Endpoint], count: int, rng: random.Random, avoid: Container[str]
) -> list[Endpoint]:
    if avoid:
        endpoints = [e for e in endpoints if e.name not in avoid]
    size = len(endpoints)
    if size <= count:
        # Start at a random position. The first of several equal candidates is chosen, so hosts that
        # started at the same one would all fill it.
        start = int(rng.random() * size)
        return endpoints[start:] + endpoints[:start]
    candidates: list[Endpoint] = []
    while len(candidates) < count:
        endpoint = endpoints[int(rng.random() * size)]
        if endpoint not in candidates:
            candidates.append(endpoint)
    return candidates
