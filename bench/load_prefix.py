"""Prefix cache: prompts that share long contexts, events late and lost."""

import random
from dataclasses import dataclass

from bench import load_policies
from bench.load_choice import run_all_knowing, serve
from bench.load_engines import BLOCK_TOKENS, LARGE, FakeEngine, Simulation, Work, draw_lengths
from bench.load_policies import ZONES, Poplarrun

ENGINES = 24
HOSTS = 6
LOAD = 0.75
LAG_S = 1.0
CONTEXTS = 150
CACHE_BLOCKS = 2500
MEAN_CACHED_SHARE = 0.6


@dataclass(frozen=True)
class PrefixOutcome:
    """Share of prompt tokens found cached, and the 99th percentile to the first token."""

    hit_share: float
    p99_first_s: float


def make_prefix_trace(source: random.Random, rate_per_s: float) -> list[Work]:
    """Draw requests that each begin with one of some contexts, the first ones often."""
    contexts = [
        tuple(source.getrandbits(56) for _ in range(source.randrange(60, 190)))
        for _ in range(CONTEXTS)
    ]
    weights = [1.0 / (rank + 3) for rank in range(CONTEXTS)]
    trace: list[Work] = []
    at = 0.0
    while at < LARGE.seconds:
        at += source.expovariate(rate_per_s)
        context = source.choices(contexts, weights)[0]
        _, answer = draw_lengths(source, LARGE)
        own = source.randrange(4, 24)
        blocks = context + tuple(source.getrandbits(56) for _ in range(own))
        tokens = len(blocks) * BLOCK_TOKENS + source.randrange(BLOCK_TOKENS)
        trace.append(Work(len(trace), at, source.randrange(HOSTS), tokens, answer, blocks))
    return trace


def run_prefix(policy: str, seed: int, event_loss: float) -> PrefixOutcome:
    """Run one trace under one way to choose."""
    source = random.Random(seed)
    rate = LOAD * ENGINES * LARGE.capacity / (LARGE.mean_work_s + 0.2)
    trace = make_prefix_trace(source, rate)
    engines = [FakeEngine(ZONES[i % 3], LARGE, CACHE_BLOCKS) for i in range(ENGINES)]
    simulation = Simulation(engines)
    Poplarrun.event_loss = event_loss
    if policy == "AllKnowing":
        run_all_knowing(simulation, trace)
    else:
        serve(simulation, trace, getattr(load_policies, policy), HOSTS, LAG_S)
    counted = [work for work in trace if work.at >= LARGE.warm_up_s]
    hit = sum(work.cached_tokens for work in counted) / sum(w.prompt_tokens for w in counted)
    first = sorted(work.first_at - work.at for work in counted)
    return PrefixOutcome(hit, first[int(0.99 * len(first))])
