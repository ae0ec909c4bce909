"""Compares cascades in which an imperfect judge scores answers as right or wrong."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.figures import Figure
from bench.version_costs import MAX_RATIO_TO_BEST, MIN_WINDOWS_MET_FRACTION
from bench.version_traces import ACCOUNT, ClassPlan, PolicyResult, Trace, summarize_policy
from poplarrun.contracts import VersionId
from standins.version_world import MAX_HARDNESS, Served, Traits, VersionWorld

SEEDS = (1, 2, 3, 4)
REQUEST_COUNT = 8000
WORKER_COUNT = 4
PLAN = ClassPlan("digest", 0.82, 0.0, 200.0)
FIXED_SCORE_THRESHOLD = 0.6
VERSIONS = {
    VersionId("cheap", "1"): (1.0, Traits(0.93, wrong=0.3)),
    VersionId("middle", "1"): (3.0, Traits(0.93, wrong=0.2)),
    VersionId("dear", "1"): (12.0, Traits(0.95, wrong=0.03)),
}


def make_cascade_trace() -> Trace:
    """Return a trace of three versions; only the most expensive one meets the target alone."""
    traits = {(PLAN.name, version): traits for version, (_, traits) in VERSIONS.items()}
    return Trace((PLAN,), {version: price for version, (price, _) in VERSIONS.items()}, traits)


def run_seed(seed: int, policy: str) -> PolicyResult:
    """Return the result of a policy."""
    trace = make_cascade_trace()
    if policy in ("fixed", "dear"):
        return summarize_policy(trace, run_fixed_cascade(trace, seed, policy))[PLAN.name]
    world = VersionWorld(trace.traits, seed=seed, judged=policy == "poplarrun")
    world.publish(trace.document())
    world.advance(3.0)
    world.run(REQUEST_COUNT, [PLAN.name], ACCOUNT)
    return summarize_policy(trace, world.served)[PLAN.name]


def run_fixed_cascade(trace: Trace, seed: int, policy: str) -> list[Served]:
    """Answer with the expensive version, always or only where the cheap one's score is low."""
    world = VersionWorld(trace.traits, host_count=1, zone_count=1, seed=seed)
    host = next(iter(world.hosts.values()))
    versions = trace.parse().versions
    cheap, _, expensive = (versions[version] for version in VERSIONS)
    for _ in range(REQUEST_COUNT):
        prompt_tokens = world.random.randint(50, 1500)
        hardness = world.random.uniform(-MAX_HARDNESS, MAX_HARDNESS)
        cheap_cost = 0.0
        chosen = cheap if policy == "fixed" else expensive
        served = world.answer(host, PLAN.name, chosen, policy, prompt_tokens, hardness)
        if policy == "fixed" and served.score < FIXED_SCORE_THRESHOLD:
            cheap_cost = served.cost
            served = world.answer(host, PLAN.name, expensive, policy, prompt_tokens, hardness)
        world.served.append(
            Served(served.at, host.name, PLAN.name, served.caller, served.version, policy,
                   served.quality, served.cost + cheap_cost, served.failed)
        )  # fmt: skip
    return world.served


def bench_cascades() -> list[Figure]:
    """Compare poplarrun with the best single version and with a cascade of a fixed threshold."""
    policies = ("poplarrun", "without judge", "fixed", "dear")
    jobs = [(seed, policy) for policy in policies for seed in SEEDS]
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        results = list(pool.map(run_seed, *zip(*jobs, strict=True)))
    by_policy = {
        policy: results[i * len(SEEDS) : (i + 1) * len(SEEDS)] for i, policy in enumerate(policies)
    }
    figures = []
    for policy in policies:
        cost_ratios = [
            a.cost / b.cost for a, b in zip(by_policy[policy], by_policy["dear"], strict=True)
        ]
        cost_ratio, met = statistics.fmean(cost_ratios), statistics.fmean(
            a.windows_met for a in by_policy[policy]
        )
        is_ours = policy == "poplarrun"
        figures += [
            Figure(f"cascade, {policy}: cost against the only good version", cost_ratio, "ratio",
                   (max(cost_ratios) - min(cost_ratios)) / 2, 1.0,
                   "at most half" if is_ours else "",
                   cost_ratio <= MAX_RATIO_TO_BEST if is_ours else None),
            Figure(f"cascade, {policy}: windows of 500 that met the target", met, "share",
                   target="at least 99%" if is_ours else "",
                   holds=met >= MIN_WINDOWS_MET_FRACTION if is_ours else None),
        ]  # fmt: skip
    return figures
