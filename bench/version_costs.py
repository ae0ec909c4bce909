"""Compares the cost at the quality target with baselines and an oracle."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.figures import Figure
from bench.version_traces import (
    ANELLIDORO,
    THISTLEDOWN,
    ClassPlan,
    PolicyResult,
    make_trace,
    run_baseline,
    run_poplarrun,
    summarize_policy,
)
from standins.version_world import RatingTraits

SEEDS = (1, 2, 3, 4)
REQUEST_COUNT = 12_000
# Late ratings delay learning, so these runs are longer and are also measured without the
# first 8000 requests of each class, which take 20 minutes.
LATE_REQUEST_COUNT = 36_000
LATE_LEARNING_REQUESTS = 8000
SETTLED = "settled"
WORKER_COUNT = 4
BASELINES = ("best", "cheapest", "random", "cascade", "oracle")
MAX_COST_RATIO = 1.1
MAX_RATIO_TO_BEST = 0.5
TARGET = "within 10% after the first 2,000 requests"
MIN_WINDOWS_MET_FRACTION = 0.99
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


def run_seed(
    label: str, seed: int, ratings: str
) -> tuple[dict[str, dict[str, PolicyResult]], float]:
    """Return the result of each policy in each class, and the fraction of rated answers."""
    trace = make_trace(seed, PLANS[label])
    is_late = ratings.startswith("late")
    count = LATE_REQUEST_COUNT if is_late else REQUEST_COUNT
    world = run_poplarrun(trace, seed, count, RATINGS[ratings])
    results = {"poplarrun": summarize_policy(trace, world.served[:REQUEST_COUNT])}
    if is_late:
        results[SETTLED] = summarize_policy(trace, world.served, LATE_LEARNING_REQUESTS)
    for policy in BASELINES:
        results[policy] = summarize_policy(trace, run_baseline(trace, seed, REQUEST_COUNT, policy))
    return results, world.rated_count / len(world.served)


def bench_costs() -> list[Figure]:
    """Run all seeds of both firms, and one firm with each impairment of the ratings."""
    jobs = [(label, seed, "prompt") for label in PLANS for seed in SEEDS]
    jobs += [("thistledown", seed, ratings) for ratings in list(RATINGS)[1:] for seed in SEEDS[:2]]
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        results = dict(zip(jobs, pool.map(run_seed, *zip(*jobs, strict=True)), strict=True))
    figures = []
    for ratings in RATINGS:
        for label, plans in PLANS.items():
            runs = [r for (name, _, kind), r in results.items() if (name, kind) == (label, ratings)]
            if runs:
                heading = label if ratings == "prompt" else f"{label}, ratings {ratings}"
                figures += _make_class_figures(
                    heading, plans, runs, with_baselines=ratings == "prompt"
                )
    return figures


def _make_class_figures(
    heading: str,
    plans: tuple[ClassPlan, ...],
    runs: list[tuple[dict[str, dict[str, PolicyResult]], float]],
    with_baselines: bool,
) -> list[Figure]:
    figures = []
    for plan in plans:
        by_policy = {
            policy: [results[policy][plan.name] for results, _ in runs]
            for policy in ("poplarrun", *BASELINES)
        }
        figures += _make_comparison_figures(f"{heading}, {plan.name}", by_policy)
        if SETTLED in runs[0][0]:
            by_policy["poplarrun"] = [results[SETTLED][plan.name] for results, _ in runs]
            name = f"{heading}, {plan.name}, after {LATE_LEARNING_REQUESTS:,} requests"
            figures += _make_comparison_figures(
                name, by_policy, f"within 10% after {LATE_LEARNING_REQUESTS:,} requests"
            )
        if with_baselines:
            figures += _make_baseline_figures(f"{heading}, {plan.name}", by_policy)
    rated_fractions = [share for _, share in runs]
    figures.append(Figure(f"{heading}: answers rated", *_mean_and_spread(rated_fractions, "share")))
    return figures


def _make_comparison_figures(
    name: str, by_policy: dict[str, list[PolicyResult]], target: str = TARGET
) -> list[Figure]:
    ours = by_policy["poplarrun"]
    to_oracle = _cost_ratios(ours, by_policy["oracle"])
    to_best = _cost_ratios(ours, by_policy["best"])
    allows_half = (
        statistics.fmean(_cost_ratios(by_policy["oracle"], by_policy["best"])) <= MAX_RATIO_TO_BEST
    )
    windows_met_fractions = [result.windows_met for result in ours]
    oracle_met = statistics.fmean(result.windows_met for result in by_policy["oracle"])
    cost, share = statistics.fmean(to_oracle), statistics.fmean(to_best)
    return [
        Figure(
            f"{name}: cost against the oracle",
            *_mean_and_spread(to_oracle, "ratio"),
            baseline=1.0,
            target=target,
            holds=cost <= MAX_COST_RATIO,
        ),
        Figure(
            f"{name}: cost against always best",
            *_mean_and_spread(to_best, "ratio"),
            baseline=1.0,
            target="at most half" if allows_half else "at most half; this trace allows no half",
            holds=share <= MAX_RATIO_TO_BEST if allows_half else None,
        ),
        Figure(
            f"{name}: windows of 500 that met the target",
            *_mean_and_spread(windows_met_fractions, "share"),
            baseline=oracle_met,
            target="at least 99%; the baseline is the oracle",
            holds=statistics.fmean(windows_met_fractions) >= MIN_WINDOWS_MET_FRACTION,
        ),
    ]


def _make_baseline_figures(name: str, by_policy: dict[str, list[PolicyResult]]) -> list[Figure]:
    figures = []
    for policy in BASELINES[:-1]:
        results = by_policy[policy]
        ratios = _cost_ratios(results, by_policy["oracle"])
        windows_met_fractions = [result.windows_met for result in results]
        figures.append(
            Figure(f"{name}: {policy}, cost against the oracle", *_mean_and_spread(ratios, "ratio"))
        )
        figures.append(
            Figure(
                f"{name}: {policy}, windows met", *_mean_and_spread(windows_met_fractions, "share")
            )
        )
    return figures


def _cost_ratios(numerators: list[PolicyResult], denominators: list[PolicyResult]) -> list[float]:
    return [a.cost / b.cost for a, b in zip(numerators, denominators, strict=True)]


def _mean_and_spread(values: list[float], unit: str) -> tuple[float, str, float]:
    return statistics.fmean(values), unit, (max(values) - min(values)) / 2
