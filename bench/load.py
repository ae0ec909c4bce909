"""Benchmarks load balancing: endpoint choice, prefix cache, overload, outage, account limits.

The unmodified decision code runs against simulated engines in a discrete-event
simulation. All times are simulated, except that of a decision, which is measured.
"""

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import mean
from typing import TypeVar

from bench.figures import Figure, report
from bench.load_choice import Quantiles, Setting, run_choice
from bench.load_common import SEEDS, make_figure
from bench.load_costs import measure_costs
from bench.load_limits import LimitRun
from bench.load_phases import (
    OverloadItem,
    make_outage_figures,
    make_overload_figures,
    run_outage,
    run_overload,
)
from bench.load_prefix import run_prefix
from bench.load_services import LIMITS_BY_KIND, ServiceOutcome, run_service

PROCESS_COUNT = 4
HOST_COUNTS = (1, 6, 60, 390)
LOADS = (0.5, 0.8, 0.95)
REPORT_LAGS_S = (0.1, 1.0, 5.0)
BASELINES = ("RandomChoice", "RoundRobin", "LeastReported", "TwoChoices")

SERVICE_LOADS = (0.7, 2.0)

Item = TypeVar("Item")
Result = TypeVar("Result")


def run_all(
    pool: ProcessPoolExecutor, function: Callable[[Item], Result], items: list[Item]
) -> dict[Item, Result]:
    """Run a function for all items in a process pool; return the results by item."""
    return dict(zip(items, pool.map(function, items), strict=True))


# --- choice ---


def list_choice_settings() -> list[Setting]:
    """Return the settings of all runs, the longest runs first."""
    cells = [
        Setting("Poplarrun", load, lag_s, hosts, 1)
        for hosts in reversed(HOST_COUNTS)
        for load in LOADS
        for lag_s in REPORT_LAGS_S
    ]
    for sizes in ("large", "small"):
        for seed in SEEDS:
            for hosts in reversed(HOST_COUNTS):
                cells.append(Setting("Poplarrun", 0.8, 1.0, hosts, seed, sizes))
                cells += [Setting(p, 0.8, 1.0, hosts, seed, sizes) for p in BASELINES]
            cells += [Setting("AllKnowing", load, 1.0, 1, seed, sizes) for load in LOADS]
    return list(dict.fromkeys(cells))


def make_choice_figures(runs: dict[Setting, Quantiles]) -> list[Figure]:
    """Return the latency quantiles, and the comparisons that have targets."""
    figures = []
    for setting, run in runs.items():
        if setting.seed != SEEDS[0] or setting.policy != "Poplarrun":
            continue
        cell = (
            f"{setting.sizes} batches, load {setting.load}, lag {setting.lag_s} s, "
            f"{setting.hosts} hosts"
        )
        for quantile, first, between in zip(
            ("p50", "p95", "p99"), run.first, run.between, strict=True
        ):
            figures.append(Figure(f"first token {quantile}, {cell}", round(first, 4), "s"))
            figures.append(Figure(f"between tokens {quantile}, {cell}", round(between, 5), "s"))
    for sizes in ("large", "small"):
        for hosts in HOST_COUNTS:
            figures += _make_choice_target_figures(runs, sizes, hosts)
    return figures


def _make_choice_target_figures(
    runs: dict[Setting, Quantiles], sizes: str, hosts: int
) -> list[Figure]:
    def p99(policy: str, host_count: int) -> list[float]:
        settings = [Setting(policy, 0.8, 1.0, host_count, seed, sizes) for seed in SEEDS]
        return [runs[setting].first[2] for setting in settings]

    ours, all_knowing = p99("Poplarrun", hosts), p99("AllKnowing", 1)
    least_reported = p99("LeastReported", hosts)
    ratios = [a / b for a, b in zip(ours, all_knowing, strict=True)]
    reductions = [1.0 - a / b for a, b in zip(ours, least_reported, strict=True)]
    cell = f"{sizes} batches, {hosts} hosts"
    figures = [
        make_figure(
            f"p99 to first token over all-knowing queue, {cell}",
            ratios,
            "ratio",
            "at most 1.25 at 80 % load and 1 s late reports",
            mean(ratios) <= 1.25,
            1.0,
        ),
        make_figure(
            f"p99 to first token below least reported load, {cell}",
            reductions,
            "share",
            "at least 0.30",
            mean(reductions) >= 0.30,
        ),
    ]
    for policy in BASELINES:
        figures.append(
            make_figure(f"baseline {policy} p99 to first token, {cell}", p99(policy, hosts), "s")
        )
    return figures


# --- prefix cache ---


@dataclass(frozen=True)
class PrefixItem:
    """Parameters of one run of the prefix trace."""

    policy: str
    seed: int


def run_prefix_item(item: PrefixItem) -> tuple[float, float]:
    """Run with a tenth of the cache events lost; return the hit ratio and the p99 latency."""
    outcome = run_prefix(item.policy, item.seed, 0.1)
    return outcome.hit_share, outcome.p99_first_s


def make_prefix_figures(runs: dict[PrefixItem, tuple[float, float]]) -> list[Figure]:
    """Return the hits relative to the all-knowing queue, and the latency."""

    def column(policy: str, index: int) -> list[float]:
        return [outcome[index] for item, outcome in runs.items() if item.policy == policy]

    ours, all_knowing = column("Poplarrun", 0), column("AllKnowing", 0)
    ratios = [a / b for a, b in zip(ours, all_knowing, strict=True)]
    our_p99, two_p99 = column("Poplarrun", 1), column("TwoChoices", 1)
    figures = [
        make_figure(
            "prefix hits over all-knowing, 10 % of events lost",
            ratios,
            "ratio",
            "at least 0.90",
            mean(ratios) >= 0.9,
            round(mean(column("TwoChoices", 0)) / mean(all_knowing), 4),
        ),
        make_figure(
            "p99 to first token with prefix choice",
            our_p99,
            "s",
            "not above two choices without it",
            mean(our_p99) <= mean(two_p99),
            round(mean(two_p99), 4),
        ),
    ]
    for policy in ("PrefixAffinity", "AllKnowing"):
        figures.append(make_figure(f"baseline {policy} prefix hits", column(policy, 0), "share"))
        figures.append(make_figure(f"baseline {policy} p99 to first token", column(policy, 1), "s"))
    return figures


# --- plain services ---


@dataclass(frozen=True)
class ServiceItem:
    """Parameters of one run of a plain service."""

    kind: str
    load: float
    seed: int


def run_service_item(item: ServiceItem) -> ServiceOutcome:
    """Run one service that three hosts call."""
    return run_service(item.kind, item.seed, item.load)


def make_service_figures(runs: dict[ServiceItem, ServiceOutcome]) -> list[Figure]:
    """Return goodput and latency by kind of limit."""
    figures = []
    for kind in LIMITS_BY_KIND:
        for load in SERVICE_LOADS:
            outcomes = [o for item, o in runs.items() if (item.kind, item.load) == (kind, load)]
            cell = f"plain service, limit {kind}, load {load}"
            figures.append(
                make_figure(
                    f"calls in time over capacity, {cell}", [o.goodput for o in outcomes], "ratio"
                )
            )
            figures.append(make_figure(f"p99, {cell}", [o.p99_s for o in outcomes], "s"))
    return figures


# --- account limits ---


@dataclass(frozen=True)
class LimitItem:
    """Parameters of one run of an account limit."""

    case: str
    hosts: int
    zones: int


def run_limits(item: LimitItem) -> tuple[float, float]:
    """Return the highest total of the usable fractions, and the fraction used at the end."""
    hosts, zones = item.hosts, item.zones
    if item.case == "cut":
        run = LimitRun(hosts, zones, _rising_demand, (0, 1), 60, 200)
        run.run(260)
        return max(run.totals), run.used[199]
    if item.case == "death":
        run = LimitRun(hosts, zones, _make_moving_demand(60), dies_at={4: 60})
        run.run(120)
        return max(run.totals), run.used[-1]
    if item.case == "restarts":
        run = LimitRun(hosts, zones, _make_uneven_demand(hosts), away=_make_rolling_restart(hosts))
        run.run(60 + max(120, hosts))
        return max(run.totals), run.used[-1]
    run = LimitRun(hosts, zones, _make_moving_demand(40))
    run.run(100)
    return max(run.totals), run.used[-1]


def _rising_demand(now: int, host: int) -> float:
    """Return a low demand for every host, and later twice the limit for one host in three zones."""
    if now < 50:
        return 0.001
    return 2.0 if host in (0, 1, 2) else 0.0


def _make_uneven_demand(hosts: int) -> Callable[[int, int], float]:
    """Return a total demand of about half the limit, a third of it at one host."""

    def demand(now: int, host: int) -> float:
        return 1.0 / 6.0 if host == 1 else 1.0 / (3.0 * hosts)

    return demand


def _make_rolling_restart(hosts: int) -> dict[int, tuple[int, int]]:
    """Return a rolling restart: one host every 8 rounds of 6 hosts, every round of 390."""
    rounds_between_stops = max(1, 48 // hosts)
    return {
        host: (50 + host * rounds_between_stops, 55 + host * rounds_between_stops)
        for host in range(hosts)
    }


def _make_moving_demand(move_round: int) -> Callable[[int, int], float]:
    """Return a demand of 1.5 times the limit at one host, which moves to another host."""

    def demand(now: int, host: int) -> float:
        return 1.5 if host == (4 if now < move_round else 5) else 0.0

    return demand


def make_limit_figures(runs: dict[LimitItem, tuple[float, float]]) -> list[Figure]:
    """Return the overshoot and the utilization of each run."""
    figures = []
    for item, (total, used) in runs.items():
        overshoot = max(0.0, total - 1.0)
        cell = f"{item.hosts} hosts, {item.case}"
        figures.append(
            Figure(
                f"overshoot of an account's limit, {cell}",
                round(overshoot, 5),
                "share",
                target="under 0.05",
                holds=overshoot < 0.05,
            )
        )
        is_one_host = item.case in ("move", "death")
        figures.append(
            Figure(
                f"limit in use at the end, {cell}",
                round(used, 4),
                "share",
                target="at least 0.95 with the demand at one host" if is_one_host else "",
                holds=used >= 0.95 if is_one_host else None,
            )
        )
    return figures


def main() -> int:
    """Run the benchmark; return the exit code."""
    figures, slopes = measure_costs()
    limits = [
        LimitItem(case, hosts, zones)
        for hosts, zones in ((390, 7), (6, 3))
        for case in ("move", "death", "cut", "restarts")
    ]
    policies = ("Poplarrun", "TwoChoices", "PrefixAffinity", "AllKnowing")
    prefixes = [PrefixItem(policy, seed) for policy in policies for seed in SEEDS[:2]]
    overloads = [OverloadItem(sizes, seed) for sizes in ("large", "small") for seed in SEEDS]
    services = [
        ServiceItem(k, load, seed)
        for k in LIMITS_BY_KIND
        for load in SERVICE_LOADS
        for seed in SEEDS
    ]
    with ProcessPoolExecutor(PROCESS_COUNT) as pool:
        figures += make_choice_figures(run_all(pool, run_choice, list_choice_settings()))
        figures += make_prefix_figures(run_all(pool, run_prefix_item, prefixes))
        figures += make_overload_figures(run_all(pool, run_overload, overloads))
        figures += make_outage_figures(run_all(pool, run_outage, list(SEEDS)))
        figures += make_service_figures(run_all(pool, run_service_item, services))
        figures += make_limit_figures(run_all(pool, run_limits, limits))
    return report("load", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
