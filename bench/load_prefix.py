"""Simulates a prefix cache: prompts with shared contexts, delayed and lost cache events."""

import random
from dataclasses import dataclass

from bench import load_policies
from bench.load_choice import run_all_knowing, run_with_hosts
from bench.load_engines import (
    BLOCK_TOKENS,
    LARGE,
    SimulatedEngine,
    SimulatedRequest,
    Simulation,
    draw_token_counts,
)
from bench.load_policies import ZONES, Poplarrun

ENGINES = 24
HOSTS = 6
LOAD = 0.75
REPORT_LAG_S = 1.0
CONTEXTS = 150
CACHE_BLOCKS = 2500
MEAN_CACHED_SHARE = 0.6


@dataclass(frozen=True)
class PrefixOutcome:
    """Fraction of prompt tokens found in the cache, and 99th percentile time to the first token."""

    hit_share: float
    p99_first_s: float


def make_prefix_trace(rng: random.Random, rate_per_s: float) -> list[SimulatedRequest]:
    """Draw requests whose prompts start with a shared context; early contexts are more frequent."""
    contexts = [
        tuple(rng.getrandbits(56) for _ in range(rng.randrange(60, 190))) for _ in range(CONTEXTS)
    ]
    weights = [1.0 / (rank + 3) for rank in range(CONTEXTS)]
    trace: list[SimulatedRequest] = []
    at = 0.0
    while at < LARGE.seconds:
        at += rng.expovariate(rate_per_s)
        context = rng.choices(contexts, weights)[0]
        _, answer = draw_token_counts(rng, LARGE)
        own = rng.randrange(4, 24)
        blocks = context + tuple(rng.getrandbits(56) for _ in range(own))
        tokens = len(blocks) * BLOCK_TOKENS + rng.randrange(BLOCK_TOKENS)
        trace.append(SimulatedRequest(len(trace), at, rng.randrange(HOSTS), tokens, answer, blocks))
    return trace


def run_prefix(policy: str, seed: int, event_loss: float) -> PrefixOutcome:
    """Run one trace with one policy."""
    rng = random.Random(seed)
    rate = LOAD * ENGINES * LARGE.capacity / (LARGE.mean_work_s + 0.2)
    trace = make_prefix_trace(rng, rate)
    engines = [SimulatedEngine(ZONES[i % 3], LARGE, CACHE_BLOCKS) for i in range(ENGINES)]
    simulation = Simulation(engines)
    Poplarrun.event_loss = event_loss
    if policy == "AllKnowing":
        run_all_knowing(simulation, trace)
    else:
        run_with_hosts(simulation, trace, getattr(load_policies, policy), HOSTS, REPORT_LAG_S)
    counted = [request for request in trace if request.arrived_at >= LARGE.warm_up_s]
    hit_fraction = sum(request.cached_tokens for request in counted) / sum(
        w.prompt_tokens for w in counted
    )
    first = sorted(request.first_at - request.arrived_at for request in counted)
    return PrefixOutcome(hit_fraction, first[int(0.99 * len(first))])
