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
OWN_DRAWN = 8
SPILL_LOAD = 0.3
SOON_S = 0.1
# Candidates of the own zone when other hosts give most of the load: with late
# reports more of them would send every host to the same few endpoints.
FEW_DRAWN = 2
# Candidates when this host itself gives most of the load, which it knows exactly.
MANY_DRAWN = 4
FAR_DRAWN = 1
OWN_SHARE_KNOWN = 0.5
OWN_SHARE_ALONE = 0.9
# A link also costs money: another zone must win by this much more than the delay.
LINK_MARGIN_S = 0.005
DEFAULT_LINK_S = 0.01
# A fresh endpoint's cache is cold: its batch counts as smaller for this time.
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.25
# Share of a request's whole time that a full batch adds to its first token.
BATCH_COST_SHARE = 0.1
# How far a home that is not known to hold a prefix is trusted to hold it.
HOME_CERTAINTY = 0.5

MAX_HOLDERS_DRAWN = 2


@dataclass(frozen=True, slots=True)
class Demand:
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


NO_DEMAND = Demand()


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
class Chooser:
    """Weighs the candidates of a pool against each other.

    Attributes
    ----------
    link_s : dict of str to float
        Time of a short call to an endpoint of each zone, in seconds.
    """

    source: random.Random
    prefixes: PrefixIndex
    zone: str
    link_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self,
        pool: Pool,
        version: VersionId | None,
        demand: Demand,
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
        candidates = pool.draw_own(self.source, OWN_DRAWN, avoid)
        match, home = NO_MATCH, None
        if version is not None and demand.blocks and find_endpoint is not None:
            match = self.prefixes.find(version, demand.blocks, now)
            home = pool.home(match.key) if match.known_depth else None
            self._add_known(candidates, pool, match, home, avoid, find_endpoint)
        best = self._cheapest(candidates, None, pool, demand, match, home, now)
        # Among many own places one becomes free soon, and this host knows when:
        # another host's endpoint must be clearly emptier to be worth the guess.
        # Where hardly anybody else sends, there is nothing to guess.
        places = sum(endpoint.capacity for endpoint in pool.own)
        is_soon = places > 0 and pool.speed.whole_s / places < SOON_S
        guesses = pool.own_share() < OWN_SHARE_ALONE
        most_load = SPILL_LOAD if may_wait and is_soon and guesses else math.inf
        if best is None or best.load_after > 1.0:
            drawn = MANY_DRAWN if pool.own_share() > OWN_SHARE_KNOWN else FEW_DRAWN
            near = pool.draw_near(self.source, drawn, avoid)
            best = self._cheapest(near, best, pool, demand, match, home, now, most_load)
        if best is None or best.wait_s > 0.0:
            far = pool.draw_far(self.source, FAR_DRAWN if best else FEW_DRAWN, avoid)
            best = self._cheapest(far, best, pool, demand, match, home, now, most_load)
        if best is None and avoid:
            return self.choose(pool, version, demand, now, (), find_endpoint, may_wait)
        return best

    def _cheapest(
        self,
        candidates: list[Endpoint],
        best: Choice | None,
        pool: Pool,
        demand: Demand,
        match: PrefixMatch,
        home: str | None,
        now: float,
        most_load: float = math.inf,
    ) -> Choice | None:
        for endpoint in candidates:
            choice = self.expect(endpoint, pool, demand, match, home, now)
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
        holders = sorted(match.cached, key=match.cached.__getitem__, reverse=True)
        names = holders[:MAX_HOLDERS_DRAWN] + ([home] if home else [])
        for name in names:
            endpoint = find_endpoint(name)
            if endpoint is None or name in avoid or endpoint in candidates:
                continue
            if pool.may_draw(endpoint):
                candidates.append(endpoint)

    def expect(
        self,
        endpoint: Endpoint,
        pool: Pool,
        demand: Demand,
        match: PrefixMatch,
        home: str | None,
        now: float,
    ) -> Choice:
        """Return what is expected of one endpoint."""
        speed = pool.speed
        cached = match.cached.get(endpoint.name, 0.0)
        if endpoint.name == home:
            cached = max(cached, HOME_CERTAINTY * match.known_depth)
        uncached = max(0.0, demand.prompt_tokens - cached * BLOCK_TOKENS)
        capacity = endpoint.capacity * self._warmth(endpoint, now)
        requests = endpoint.expected_requests(now, pool.others)
        pool.note_own_load(endpoint.in_flight / endpoint.capacity)
        wait_s = max(0.0, requests + 1.0 - capacity) / capacity * speed.whole_s
        batch_s = requests / capacity * BATCH_COST_SHARE * speed.whole_s
        prefill_s = uncached * speed.prefill_s_per_token
        # A doubted endpoint counts as one with a full batch: better than a queue.
        doubt_s = BATCH_COST_SHARE * speed.whole_s if now < endpoint.doubted_until else 0.0
        first_token_s = wait_s + batch_s + doubt_s + prefill_s + self._link(endpoint.zone)
        load = requests / capacity
        return Choice(endpoint, wait_s, first_token_s, prefill_s, int(uncached), load)

    def _warmth(self, endpoint: Endpoint, now: float) -> float:
        age_s = now - endpoint.known_since
        if age_s >= SLOW_START_S:
            return 1.0
        return SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * max(0.0, age_s) / SLOW_START_S

    def _link(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        near_s = self.link_s.get(self.zone, 0.0)
        far_s = self.link_s.get(zone, near_s + DEFAULT_LINK_S)
        return max(0.0, far_s - near_s) + LINK_MARGIN_S
