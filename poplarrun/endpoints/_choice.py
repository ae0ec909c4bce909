"""Endpoint selection: samples a few candidates and picks the lowest expected latency."""

import math
import random
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from poplarrun.clients import WORDS_PER_BLOCK as BLOCK_TOKENS
from poplarrun.contracts import VersionId
from poplarrun.endpoints._endpoint import Endpoint
from poplarrun.endpoints._pool import Pool
from poplarrun.endpoints._prefix import NO_MATCH, PrefixIndex, PrefixMatch

# Sample size among the endpoints assigned to this host. Most of their requests come from this host,
# so it knows their load better than any delayed report.
OWNED_SAMPLE_SIZE = 8
MAX_SPILL_LOAD = 0.3
SLOT_FREE_TIME_S = 0.1
# Sample size in the host's own zone when most of the load comes from other hosts. Reports are
# delayed, so a larger sample would send every host to the same few endpoints.
SMALL_SAMPLE_SIZE = 2
# Sample size when most of the load comes from this host, whose share is known exactly.
LARGE_SAMPLE_SIZE = 4
OTHER_ZONES_SAMPLE_SIZE = 1
DOMINANT_LOAD_FRACTION = 0.5
EXCLUSIVE_LOAD_FRACTION = 0.9
# Cross-zone traffic costs money as well: another zone must win by this much beyond the link delay.
CROSS_ZONE_PENALTY_S = 0.005
DEFAULT_LINK_LATENCY_S = 0.01
# A new endpoint starts with a cold cache, so its batch counts as smaller for this long.
SLOW_START_WINDOW_S = 10.0
SLOW_START_FRACTION = 0.25
# Fraction of a request's total time that a full batch adds to its time to the first token.
BATCH_COST_FRACTION = 0.1
# Assumed probability that the preferred endpoint of a prefix has it cached, where the index doesn't
# say so.
PREFERRED_CACHED_PROBABILITY = 0.5

MAX_CACHE_HOLDERS_SAMPLED = 2


@dataclass(frozen=True, slots=True)
class PromptProfile:
    """Properties of a request's prompt that decide how long an endpoint needs for it.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt.
    blocks : tuple of int
        Hashes of the prompt's prefixes, one for each block of ``BLOCK_TOKENS`` tokens.
    """

    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()


EMPTY_PROMPT = PromptProfile()


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint and its estimates for the request.

    Attributes
    ----------
    wait_s : float
        Expected queueing time, in seconds.
    first_token_s : float
        Expected time to the first token, queue and link included.
    prefill_s : float
        Expected time to process the prompt.
    uncached_tokens : int
        Prompt tokens that the endpoint is expected not to have cached.
    load : float
        Expected requests for each slot of its batch.
    """

    endpoint: Endpoint
    wait_s: float
    first_token_s: float
    prefill_s: float
    uncached_tokens: int
    load: float

    @property
    def load_after(self) -> float:
        """Expected load with this request, which counts half because the load is uncertain."""
        return self.load + 0.5 / self.endpoint.capacity


@dataclass
class EndpointSelector:
    """Selects an endpoint of a pool by comparing sampled candidates.

    Attributes
    ----------
    link_latency_s : dict of str to float
        Measured time of a short call to an endpoint of each zone, in seconds.
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
        """Return the candidate with the lowest expected time to the first token.

        A request with ``may_wait`` prefers a full endpoint assigned to this host over another
        host's endpoint, which that host may be filling at the same moment.
        """
        if now >= pool.refresh_at:
            pool.refresh(now)
        candidates = pool.sample_owned(self.rng, OWNED_SAMPLE_SIZE, avoid)
        match, preferred = NO_MATCH, None
        if version is not None and prompt.blocks and find_endpoint is not None:
            match = self.prefixes.match(version, prompt.blocks, now)
            preferred = pool.preferred_endpoint(match.key) if match.known_depth else None
            self._add_cache_holders(candidates, pool, match, preferred, avoid, find_endpoint)
        best = self._select_fastest(candidates, None, pool, prompt, match, preferred, now)
        # With many slots of its own, one becomes free soon and this host knows when, so another
        # host's endpoint must be clearly less loaded to be worth the uncertainty. Where hardly any
        # other host sends requests, there is no such uncertainty.
        slots = sum(endpoint.capacity for endpoint in pool.owned)
        frees_soon = slots > 0 and pool.speed.mean_request_s / slots < SLOT_FREE_TIME_S
        has_background_load = pool.own_load_fraction() < EXCLUSIVE_LOAD_FRACTION
        max_load = MAX_SPILL_LOAD if may_wait and frees_soon and has_background_load else math.inf
        if best is None or best.load_after > 1.0:
            sample_size = (
                LARGE_SAMPLE_SIZE
                if pool.own_load_fraction() > DOMINANT_LOAD_FRACTION
                else SMALL_SAMPLE_SIZE
            )
            near = pool.sample_same_zone(self.rng, sample_size, avoid)
            best = self._select_fastest(near, best, pool, prompt, match, preferred, now, max_load)
        if best is None or best.wait_s > 0.0:
            far = pool.sample_other_zones(
                self.rng, OTHER_ZONES_SAMPLE_SIZE if best else SMALL_SAMPLE_SIZE, avoid
            )
            best = self._select_fastest(far, best, pool, prompt, match, preferred, now, max_load)
        if best is None and avoid:
            return self.choose(pool, version, prompt, now, (), find_endpoint, may_wait)
        return best

    def _select_fastest(
        self,
        candidates: list[Endpoint],
        best: Choice | None,
        pool: Pool,
        prompt: PromptProfile,
        match: PrefixMatch,
        preferred: str | None,
        now: float,
        max_load: float = math.inf,
    ) -> Choice | None:
        for endpoint in candidates:
            choice = self.evaluate(endpoint, pool, prompt, match, preferred, now)
            is_better = best is None or choice.first_token_s < best.first_token_s
            if is_better and choice.load_after <= max_load:
                best = choice
        return best

    def _add_cache_holders(
        self,
        candidates: list[Endpoint],
        pool: Pool,
        match: PrefixMatch,
        preferred: str | None,
        avoid: Container[str],
        find_endpoint: Callable[[str], Endpoint | None],
    ) -> None:
        """Add the endpoints that probably have the beginning of the prompt cached."""
        holders = sorted(match.cached_blocks, key=match.cached_blocks.__getitem__, reverse=True)
        names = holders[:MAX_CACHE_HOLDERS_SAMPLED] + ([preferred] if preferred else [])
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
        preferred: str | None,
        now: float,
    ) -> Choice:
        """Return the estimates for one endpoint."""
        speed = pool.speed
        cached = match.cached_blocks.get(endpoint.name, 0.0)
        if endpoint.name == preferred:
            cached = max(cached, PREFERRED_CACHED_PROBABILITY * match.known_depth)
        uncached = max(0.0, prompt.prompt_tokens - cached * BLOCK_TOKENS)
        capacity = endpoint.capacity * self._compute_warmup(endpoint, now)
        requests = endpoint.estimate_requests(now, pool.background_load)
        pool.observe_own_load(endpoint.in_flight / endpoint.capacity)
        wait_s = max(0.0, requests + 1.0 - capacity) / capacity * speed.mean_request_s
        batch_s = requests / capacity * BATCH_COST_FRACTION * speed.mean_request_s
        prefill_s = uncached * speed.prefill_s_per_token
        # A deprioritized endpoint counts as one with a full batch: still better than queueing.
        penalty_s = (
            BATCH_COST_FRACTION * speed.mean_request_s
            if now < endpoint.deprioritized_until
            else 0.0
        )
        first_token_s = (
            wait_s + batch_s + penalty_s + prefill_s + self._compute_link_cost(endpoint.zone)
        )
        load = requests / capacity
        return Choice(endpoint, wait_s, first_token_s, prefill_s, int(uncached), load)

    def _compute_warmup(self, endpoint: Endpoint, now: float) -> float:
        age_s = now - endpoint.listed_since
        if age_s >= SLOW_START_WINDOW_S:
            return 1.0
        return (
            SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * max(0.0, age_s) / SLOW_START_WINDOW_S
        )

    def _compute_link_cost(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        own_zone_s = self.link_latency_s.get(self.zone, 0.0)
        other_zone_s = self.link_latency_s.get(zone, own_zone_s + DEFAULT_LINK_LATENCY_S)
        return max(0.0, other_zone_s - own_zone_s) + CROSS_ZONE_PENALTY_S
