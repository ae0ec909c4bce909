"""Cost at the quality target, against baselines and an oracle."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.figures import Figure
from bench.version_traces import (
    ANELLIDORO,
    THISTLEDOWN,
    Account,
    ClassPlan,
    account_of,
    make_trace,
    run_fixed,
    run_poplarrun,
)
from standins.version_world import RatingTraits

SEEDS = (1, 2, 3, 4)
REQUESTS = 12_000
# Ratings that come late are learnt from late: these runs are longer, and also
# measured after so many requests of a class, which are 20 minutes.
LATE_REQUESTS = 36_000
LATE_LEARNING = 8000
SETTLED = "settled"
WORKERS = 4
BASELINES = ("best", "cheapest", "random", "cascade", "oracle")
WITHIN = 1.1
HALF = 0.5
TARGET = "within 10% after the first 2,000 requests"
WINDOWS_MET = 0.99
RATINGS = {
    "prompt": RatingTraits(),
    "late by 5 minutes, a tenth lost, 5% too low": RatingTraits(300.0, 0.1, -0.05),
    "late by 5 minutes, a tenth lost, 5% too high": RatingTraits(300.0, 0.1, 0.05),
    "late by 5 minutes, a tenth lost, 5% too low, which is told": RatingTraits(
        300.0, 0.1, -0.05, configured_bias=-0.05
    ),
    "late by 5 minutes, a tenth lost, 5% too high, which is told": RatingTraits(
        300.0, 0.1, 0.05, configured_bias=0.05
    ),
    "down for an hour": RatingTraits(outage=(300.0, 3900.0)),
}
PLANS = {"thistledown": THISTLEDOWN, "anellidoro": ANELLIDORO}


def run_seed(label: str, seed: int, ratings: str) -> tuple[dict[str, dict[str, Account]], float]:
    """Return what each policy reached in each class, and the share of rated answers."""
    trace = make_trace(seed, PLANS[label])
    is_late = ratings.startswith("late")
    count = LATE_REQUESTS if is_late else REQUESTS
    world = run_poplarrun(trace, seed, count, RATINGS[ratings])
    accounts = {"poplarrun": account_of(trace, world.served[:REQUESTS])}
    if is_late:
        accounts[SETTLED] = account_of(trace, world.served, LATE_LEARNING)
    for policy in BASELINES:
        accounts[policy] = account_of(trace, run_fixed(trace, seed, REQUESTS, policy))
    return accounts, world.rated_count / len(world.served)


def bench_costs() -> list[Figure]:
    """Run all seeds of both firms, and one firm under each trouble of the ratings."""
    jobs = [(label, seed, "prompt") for label in PLANS for seed in SEEDS]
    jobs += [("thistledown", seed, ratings) for ratings in list(RATINGS)[1:] for seed in SEEDS[:2]]
    with ProcessPoolExecutor(WORKERS) as pool:
        results = dict(zip(jobs, pool.map(run_seed, *zip(*jobs, strict=True)), strict=True))
    figures = []
    for ratings in RATINGS:
        for label, plans in PLANS.items():
            runs = [r for (name, _, kind), r in results.items() if (name, kind) == (label, ratings)]
            if runs:
                heading = label if ratings == "prompt" else f"{label}, ratings {ratings}"
                figures += _sum_up(heading, plans, runs, with_baselines=ratings == "prompt")
    return figures


def _sum_up(
    heading: str,
    plans: tuple[ClassPlan, ...],
    runs: list[tuple[dict[str, dict[str, Account]], float]],
    with_baselines: bool,
) -> list[Figure]:
    figures = []
    for plan in plans:
        by_policy = {
            policy: [accounts[policy][plan.name] for accounts, _ in runs]
            for policy in ("poplarrun", *BASELINES)
        }
        figures += _compare(f"{heading}, {plan.name}", by_policy)
        if SETTLED in runs[0][0]:
            by_policy["poplarrun"] = [accounts[SETTLED][plan.name] for accounts, _ in runs]
            name = f"{heading}, {plan.name}, after {LATE_LEARNING:,} requests"
            figures += _compare(name, by_policy, f"within 10% after {LATE_LEARNING:,} requests")
        if with_baselines:
            figures += _show_baselines(f"{heading}, {plan.name}", by_policy)
    shares = [share for _, share in runs]
    figures.append(Figure(f"{heading}: answers rated", *_mean(shares, "share")))
    return figures


def _compare(name: str, by_policy: dict[str, list[Account]], target: str = TARGET) -> list[Figure]:
    mine = by_policy["poplarrun"]
    to_oracle = _ratios(mine, by_policy["oracle"])
    to_best = _ratios(mine, by_policy["best"])
    allows_half = statistics.fmean(_ratios(by_policy["oracle"], by_policy["best"])) <= HALF
    met = [account.windows_met for account in mine]
    oracle_met = statistics.fmean(account.windows_met for account in by_policy["oracle"])
    cost, share = statistics.fmean(to_oracle), statistics.fmean(to_best)
    return [
        Figure(
            f"{name}: cost against the oracle",
            *_mean(to_oracle, "ratio"),
            baseline=1.0,
            target=target,
            holds=cost <= WITHIN,
        ),
        Figure(
            f"{name}: cost against always best",
            *_mean(to_best, "ratio"),
            baseline=1.0,
            target="at most half" if allows_half else "at most half; this trace allows no half",
            holds=share <= HALF if allows_half else None,
        ),
        Figure(
            f"{name}: windows of 500 that met the target",
            *_mean(met, "share"),
            baseline=oracle_met,
            target="at least 99%; the baseline is the oracle",
            holds=statistics.fmean(met) >= WINDOWS_MET,
        ),
    ]


def _show_baselines(name: str, by_policy: dict[str, list[Account]]) -> list[Figure]:
    figures = []
    for policy in BASELINES[:-1]:
        accounts = by_policy[policy]
        ratios = _ratios(accounts, by_policy["oracle"])
        met = [account.windows_met for account in accounts]
        figures.append(
            Figure(f"{name}: {policy}, cost against the oracle", *_mean(ratios, "ratio"))
        )
        figures.append(Figure(f"{name}: {policy}, windows met", *_mean(met, "share")))
    return figures


def _ratios(some: list[Account], others: list[Account]) -> list[float]:
    return [a.cost / b.cost for a, b in zip(some, others, strict=True)]


def _mean(values: list[float], unit: str) -> tuple[float, str, float]:
    return statistics.fmean(values), unit, (max(values) - min(values)) / 2
