"""Cascades where answers are right or wrong, and a judge's score tells which, with errors."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.figures import Figure
from bench.version_costs import HALF, WINDOWS_MET
from bench.version_traces import ACCOUNT, Account, ClassPlan, Trace, account_of
from poplarrun.contracts import VersionId
from standins.version_world import MAX_HARDNESS, Served, Traits, VersionWorld

SEEDS = (1, 2, 3, 4)
REQUESTS = 8000
WORKERS = 4
PLAN = ClassPlan("digest", 0.82, 0.0, 200.0)
FIXED_SCORE = 0.6
VERSIONS = {
    VersionId("cheap", "1"): (1.0, Traits(0.93, wrong=0.3)),
    VersionId("middle", "1"): (3.0, Traits(0.93, wrong=0.2)),
    VersionId("dear", "1"): (12.0, Traits(0.95, wrong=0.03)),
}


def make_cascade_trace() -> Trace:
    """Return three versions of which only the dearest meets the target alone."""
    traits = {(PLAN.name, version): traits for version, (_, traits) in VERSIONS.items()}
    return Trace((PLAN,), {version: price for version, (price, _) in VERSIONS.items()}, traits)


def run_seed(seed: int, policy: str) -> Account:
    """Return what a policy reached."""
    trace = make_cascade_trace()
    if policy in ("fixed", "dear"):
        return account_of(trace, run_fixed_cascade(trace, seed, policy))[PLAN.name]
    world = VersionWorld(trace.traits, seed=seed, judged=policy == "poplarrun")
    world.publish(trace.document())
    world.advance(3.0)
    world.run(REQUESTS, [PLAN.name], ACCOUNT)
    return account_of(trace, world.served)[PLAN.name]


def run_fixed_cascade(trace: Trace, seed: int, policy: str) -> list[Served]:
    """Let the dear version answer, alone or where the cheap one's score is low."""
    world = VersionWorld(trace.traits, host_count=1, zone_count=1, seed=seed)
    host = next(iter(world.hosts.values()))
    versions = trace.parse().versions
    cheap, _, dear = (versions[version] for version in VERSIONS)
    for _ in range(REQUESTS):
        prompt_tokens = world.random.randint(50, 1500)
        hardness = world.random.uniform(-MAX_HARDNESS, MAX_HARDNESS)
        spent = 0.0
        chosen = cheap if policy == "fixed" else dear
        served = world.answer(host, PLAN.name, chosen, policy, prompt_tokens, hardness)
        if policy == "fixed" and served.score < FIXED_SCORE:
            spent = served.cost
            served = world.answer(host, PLAN.name, dear, policy, prompt_tokens, hardness)
        world.served.append(
            Served(served.at, host.name, PLAN.name, served.caller, served.version, policy,
                   served.quality, served.cost + spent, served.failed)
        )  # fmt: skip
    return world.served


def bench_cascades() -> list[Figure]:
    """Compare with the single best, and with a cascade of a fixed threshold."""
    policies = ("poplarrun", "without judge", "fixed", "dear")
    jobs = [(seed, policy) for policy in policies for seed in SEEDS]
    with ProcessPoolExecutor(WORKERS) as pool:
        accounts = list(pool.map(run_seed, *zip(*jobs, strict=True)))
    found = {
        policy: accounts[i * len(SEEDS) : (i + 1) * len(SEEDS)] for i, policy in enumerate(policies)
    }
    figures = []
    for policy in policies:
        shares = [a.cost / b.cost for a, b in zip(found[policy], found["dear"], strict=True)]
        share, met = statistics.fmean(shares), statistics.fmean(
            a.windows_met for a in found[policy]
        )
        is_ours = policy == "poplarrun"
        figures += [
            Figure(f"cascade, {policy}: cost against the only good version", share, "ratio",
                   (max(shares) - min(shares)) / 2, 1.0, "at most half" if is_ours else "",
                   share <= HALF if is_ours else None),
            Figure(f"cascade, {policy}: windows of 500 that met the target", met, "share",
                   target="at least 99%" if is_ours else "",
                   holds=met >= WINDOWS_MET if is_ours else None),
        ]  # fmt: skip
    return figures
