"""The choice of an endpoint: a few candidates are drawn, the cheapest in time wins."""

import math
import random
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from poplarrun.clients import WORDS_PER_BLOCK as BLOCK_TOKENS
from poplarrun.contracts import VersionId
from poplarrun.endpoints._endpoint import Endpoint
from poplarrun.endpoints._pool import Pool
from poplarrun.endpoints._prefix import NO_MATCH, PrefixIndex, PrefixMatch

# Candidates among the endpoints assigned to this host: it sends most of what
# they get, so that it knows their load better than any late report.
OWNED_SAMPLE_SIZE = 8
MAX_SPILL_LOAD = 0.3
SLOT_FREE_TIME_S = 0.1
# Candidates of the own zone when other hosts give most of the load: with late
# reports more of them would send every host to the same few endpoints.
SMALL_SAMPLE_SIZE = 2
# Candidates when this host itself gives most of the load, which it knows exactly.
LARGE_SAMPLE_SIZE = 4
OTHER_ZONES_SAMPLE_SIZE = 1
DOMINANT_LOAD_FRACTION = 0.5
EXCLUSIVE_LOAD_FRACTION = 0.9
# A link also costs money: another zone must win by this much more than the delay.
CROSS_ZONE_PENALTY_S = 0.005
DEFAULT_LINK_LATENCY_S = 0.01
# A fresh endpoint's cache is cold: its batch counts as smaller for this time.
SLOW_START_WINDOW_S = 10.0
SLOW_START_FRACTION = 0.25
# Share of a request's whole time that a full batch adds to its first token.
BATCH_COST_FRACTION = 0.1
# How far a home that is not known to hold a prefix is trusted to hold it.
PREFERRED_CACHED_PROBABILITY = 0.5

MAX_CACHE_HOLDERS_SAMPLED = 2


@dataclass(frozen=True, slots=True)
class PromptProfile:
    """What a request asks of an endpoint.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt.
    blocks : tuple of int
        Hashes of its beginnings, one for each block of ``BLOCK_TOKENS`` tokens.
    """

    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()


EMPTY_PROMPT = PromptProfile()


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint and what is expected of it.

    Attributes
    ----------
    wait_s : float
        Expected time in its queue, in seconds.
    first_token_s : float
        Expected time to the first token, queue and link included.
    prefill_s : float
        Expected time to compute the prompt.
    uncached_tokens : int
        Prompt tokens that it will have to compute.
    load : float
        Expected requests for each place of its batch.
    """

    endpoint: Endpoint
    wait_s: float
    first_token_s: float
    prefill_s: float
    uncached_tokens: int
    load: float

    @property
    def load_after(self) -> float:
        """Expected load with this request, half of which counts: the rest is doubt."""
        return self.load + 0.5 / self.endpoint.capacity


@dataclass
class EndpointSelector:
    """Weighs the candidates of a pool against each other.

    Attributes
    ----------
    link_s : dict of str to float
        Time of a short call to an endpoint of each zone, in seconds.
    """

    rng: random.Random
    prefixes: PrefixIndex
    zone: str
    link_latency_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self,
        pool: Pool,
        version: VersionId | None,
        prompt: PromptProfile,
        now: float,
        avoid: Container[str] = (),
        find_endpoint: Callable[[str], Endpoint | None] | None = None,
        may_wait: bool = False,
    ) -> Choice | None:
        """Return the candidate with the least expected time to the first token.

        A request that ``may_wait`` rather gets a full endpoint of the own ones than
        one that another host may be filling at the moment.
        """
        if now >= pool.refresh_at:
            pool.refresh(now)
        candidates = pool.sample_owned(self.rng, OWNED_SAMPLE_SIZE, avoid)
        match, home = NO_MATCH, None
        if version is not None and prompt.blocks and find_endpoint is not None:
            match = self.prefixes.match(version, prompt.blocks, now)
            home = pool.preferred_endpoint(match.key) if match.known_depth else None
            self._add_known(candidates, pool, match, home, avoid, find_endpoint)
        best = self._cheapest(candidates, None, pool, prompt, match, home, now)
        # Among many own places one becomes free soon, and this host knows when:
        # another host's endpoint must be clearly emptier to be worth the guess.
        # Where hardly anybody else sends, there is nothing to guess.
        places = sum(endpoint.capacity for endpoint in pool.owned)
        is_soon = places > 0 and pool.speed.mean_request_s / places < SLOT_FREE_TIME_S
        guesses = pool.own_load_fraction() < EXCLUSIVE_LOAD_FRACTION
        most_load = MAX_SPILL_LOAD if may_wait and is_soon and guesses else math.inf
        if best is None or best.load_after > 1.0:
            drawn = (
                LARGE_SAMPLE_SIZE
                if pool.own_load_fraction() > DOMINANT_LOAD_FRACTION
                else SMALL_SAMPLE_SIZE
            )
            near = pool.sample_same_zone(self.rng, drawn, avoid)
            best = self._cheapest(near, best, pool, prompt, match, home, now, most_load)
        if best is None or best.wait_s > 0.0:
            far = pool.sample_other_zones(
                self.rng, OTHER_ZONES_SAMPLE_SIZE if best else SMALL_SAMPLE_SIZE, avoid
            )
            best = self._cheapest(far, best, pool, prompt, match, home, now, most_load)
        if best is None and avoid:
            return self.choose(pool, version, prompt, now, (), find_endpoint, may_wait)
        return best

    def _cheapest(
        self,
        candidates: list[Endpoint],
        best: Choice | None,
        pool: Pool,
        prompt: PromptProfile,
        match: PrefixMatch,
        home: str | None,
        now: float,
        most_load: float = math.inf,
    ) -> Choice | None:
        for endpoint in candidates:
            choice = self.evaluate(endpoint, pool, prompt, match, home, now)
            is_better = best is None or choice.first_token_s < best.first_token_s
            if is_better and choice.load_after <= most_load:
                best = choice
        return best

    def _add_known(
        self,
        candidates: list[Endpoint],
        pool: Pool,
        match: PrefixMatch,
        home: str | None,
        avoid: Container[str],
        find_endpoint: Callable[[str], Endpoint | None],
    ) -> None:
        """Add those that are likely to hold the prompt's beginning."""
        holders = sorted(match.cached_blocks, key=match.cached_blocks.__getitem__, reverse=True)
        names = holders[:MAX_CACHE_HOLDERS_SAMPLED] + ([home] if home else [])
        for name in names:
            endpoint = find_endpoint(name)
            if endpoint is None or name in avoid or endpoint in candidates:
                continue
            if pool.is_eligible(endpoint):
                candidates.append(endpoint)

    def evaluate(
        self,
        endpoint: Endpoint,
        pool: Pool,
        prompt: PromptProfile,
        match: PrefixMatch,
        home: str | None,
        now: float,
    ) -> Choice:
        """Return what is expected of one endpoint."""
        speed = pool.speed
        cached = match.cached_blocks.get(endpoint.name, 0.0)
        if endpoint.name == home:
            cached = max(cached, PREFERRED_CACHED_PROBABILITY * match.known_depth)
        uncached = max(0.0, prompt.prompt_tokens - cached * BLOCK_TOKENS)
        capacity = endpoint.capacity * self._warmth(endpoint, now)
        requests = endpoint.estimate_requests(now, pool.background_load)
        pool.observe_own_load(endpoint.in_flight / endpoint.capacity)
        wait_s = max(0.0, requests + 1.0 - capacity) / capacity * speed.mean_request_s
        batch_s = requests / capacity * BATCH_COST_FRACTION * speed.mean_request_s
        prefill_s = uncached * speed.prefill_s_per_token
        # A doubted endpoint counts as one with a full batch: better than a queue.
        doubt_s = (
            BATCH_COST_FRACTION * speed.mean_request_s
            if now < endpoint.deprioritized_until
            else 0.0
        )
        first_token_s = wait_s + batch_s + doubt_s + prefill_s + self._link(endpoint.zone)
        load = requests / capacity
        return Choice(endpoint, wait_s, first_token_s, prefill_s, int(uncached), load)

    def _warmth(self, endpoint: Endpoint, now: float) -> float:
        age_s = now - endpoint.listed_since
        if age_s >= SLOW_START_WINDOW_S:
            return 1.0
        return (
            SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * max(0.0, age_s) / SLOW_START_WINDOW_S
        )

    def _link(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        near_s = self.link_latency_s.get(self.zone, 0.0)
        far_s = self.link_latency_s.get(zone, near_s + DEFAULT_LINK_LATENCY_S)
        return max(0.0, far_s - near_s) + CROSS_ZONE_PENALTY_S
