"""The load bench: endpoint choice, prefix cache, overload, outage and account limits.

The decision code runs as it is, with time and random source passed in, before
fake engines in an event-driven simulation. Times are simulated, not measured;
only the time of a decision is.
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
from bench.load_costs import cost_slopes
from bench.load_limits import LimitRun
from bench.load_phases import (
    OverloadItem,
    outage_figures,
    overload_figures,
    run_outage,
    run_overload,
)
from bench.load_prefix import run_prefix
from bench.load_services import KINDS, ServiceOutcome, run_service

PROCESSES = 4
HOSTS = (1, 6, 60, 390)
LOADS = (0.5, 0.8, 0.95)
LAGS_S = (0.1, 1.0, 5.0)
BASELINES = ("RandomChoice", "RoundRobin", "LeastReported", "TwoChoices")

SERVICE_LOADS = (0.7, 2.0)

Item = TypeVar("Item")
Result = TypeVar("Result")


def run_all(
    pool: ProcessPoolExecutor, function: Callable[[Item], Result], items: list[Item]
) -> dict[Item, Result]:
    """Run a function over items on some processes."""
    return dict(zip(items, pool.map(function, items), strict=True))


# --- choice ---


def choice_settings() -> list[Setting]:
    """Return the grid, the longest runs first."""
    cells = [
        Setting("Poplarrun", load, lag_s, hosts, 1)
        for hosts in reversed(HOSTS)
        for load in LOADS
        for lag_s in LAGS_S
    ]
    for sizes in ("large", "small"):
        for seed in SEEDS:
            for hosts in reversed(HOSTS):
                cells.append(Setting("Poplarrun", 0.8, 1.0, hosts, seed, sizes))
                cells += [Setting(p, 0.8, 1.0, hosts, seed, sizes) for p in BASELINES]
            cells += [Setting("AllKnowing", load, 1.0, 1, seed, sizes) for load in LOADS]
    return list(dict.fromkeys(cells))


def choice_figures(runs: dict[Setting, Quantiles]) -> list[Figure]:
    """Return the quantiles, and the two targets."""
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
        for hosts in HOSTS:
            figures += _choice_targets(runs, sizes, hosts)
    return figures


def _choice_targets(runs: dict[Setting, Quantiles], sizes: str, hosts: int) -> list[Figure]:
    def p99(policy: str, host_count: int) -> list[float]:
        settings = [Setting(policy, 0.8, 1.0, host_count, seed, sizes) for seed in SEEDS]
        return [runs[setting].first[2] for setting in settings]

    own, best = p99("Poplarrun", hosts), p99("AllKnowing", 1)
    least = p99("LeastReported", hosts)
    ratios = [a / b for a, b in zip(own, best, strict=True)]
    saved = [1.0 - a / b for a, b in zip(own, least, strict=True)]
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
            saved,
            "share",
            "at least 0.30",
            mean(saved) >= 0.30,
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
    """One run of the prefix trace."""

    policy: str
    seed: int


def run_prefix_item(item: PrefixItem) -> tuple[float, float]:
    """Run with a tenth of the events lost."""
    outcome = run_prefix(item.policy, item.seed, 0.1)
    return outcome.hit_share, outcome.p99_first_s


def prefix_figures(runs: dict[PrefixItem, tuple[float, float]]) -> list[Figure]:
    """Return hits against the all-knowing router, and what they cost in latency."""

    def column(policy: str, index: int) -> list[float]:
        return [found[index] for item, found in runs.items() if item.policy == policy]

    own, best = column("Poplarrun", 0), column("AllKnowing", 0)
    ratios = [a / b for a, b in zip(own, best, strict=True)]
    own_p99, two_p99 = column("Poplarrun", 1), column("TwoChoices", 1)
    figures = [
        make_figure(
            "prefix hits over all-knowing, 10 % of events lost",
            ratios,
            "ratio",
            "at least 0.90",
            mean(ratios) >= 0.9,
            round(mean(column("TwoChoices", 0)) / mean(best), 4),
        ),
        make_figure(
            "p99 to first token with prefix choice",
            own_p99,
            "s",
            "not above two choices without it",
            mean(own_p99) <= mean(two_p99),
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
    """One run of a plain service at a load."""

    kind: str
    load: float
    seed: int


def run_service_item(item: ServiceItem) -> ServiceOutcome:
    """Run one service before three hosts."""
    return run_service(item.kind, item.seed, item.load)


def service_figures(runs: dict[ServiceItem, ServiceOutcome]) -> list[Figure]:
    """Return goodput and latency by kind of limit."""
    figures = []
    for kind in KINDS:
        for load in SERVICE_LOADS:
            found = [o for item, o in runs.items() if (item.kind, item.load) == (kind, load)]
            cell = f"plain service, limit {kind}, load {load}"
            figures.append(
                make_figure(
                    f"calls in time over capacity, {cell}", [o.goodput for o in found], "ratio"
                )
            )
            figures.append(make_figure(f"p99, {cell}", [o.p99_s for o in found], "s"))
    return figures


# --- account limits ---


@dataclass(frozen=True)
class LimitItem:
    """One run of the shares of a limit."""

    case: str
    hosts: int
    zones: int


def run_limits(item: LimitItem) -> tuple[float, float]:
    """Return the highest sum of parts in use, and the part let through at the end."""
    hosts, zones = item.hosts, item.zones
    if item.case == "cut":
        run = LimitRun(hosts, zones, _rising, (0, 1), 60, 200)
        run.run(260)
        return max(run.totals), run.used[199]
    if item.case == "death":
        run = LimitRun(hosts, zones, _moves_at(60), dies_at={4: 60})
        run.run(120)
        return max(run.totals), run.used[-1]
    if item.case == "restarts":
        run = LimitRun(hosts, zones, _spread_and_one(hosts), away=_one_after_the_other(hosts))
        run.run(60 + max(120, hosts))
        return max(run.totals), run.used[-1]
    run = LimitRun(hosts, zones, _moves_at(40))
    run.run(100)
    return max(run.totals), run.used[-1]


def _rising(now: int, host: int) -> float:
    """Demand little everywhere, then twice the limit at one host in each of three zones."""
    if now < 50:
        return 0.001
    return 2.0 if host in (0, 1, 2) else 0.0


def _spread_and_one(hosts: int) -> Callable[[int, int], float]:
    """Demand half of the limit, a third of that at one host."""

    def demand(now: int, host: int) -> float:
        return 1.0 / 6.0 if host == 1 else 1.0 / (3.0 * hosts)

    return demand


def _one_after_the_other(hosts: int) -> dict[int, tuple[int, int]]:
    """Stop a host every 8 rounds, or as many as 390 hosts take in as many rounds."""
    pause = max(1, 48 // hosts)
    return {host: (50 + host * pause, 55 + host * pause) for host in range(hosts)}


def _moves_at(at: int) -> Callable[[int, int], float]:
    def demand(now: int, host: int) -> float:
        return 1.5 if host == (4 if now < at else 5) else 0.0

    return demand


def limit_figures(runs: dict[LimitItem, tuple[float, float]]) -> list[Figure]:
    """Return overshoot and utilisation."""
    figures = []
    for item, (total, used) in runs.items():
        over = max(0.0, total - 1.0)
        cell = f"{item.hosts} hosts, {item.case}"
        figures.append(
            Figure(
                f"overshoot of an account's limit, {cell}",
                round(over, 5),
                "share",
                target="under 0.05",
                holds=over < 0.05,
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
    """Run everything; return the exit code."""
    figures, slopes = cost_slopes()
    limits = [
        LimitItem(case, hosts, zones)
        for hosts, zones in ((390, 7), (6, 3))
        for case in ("move", "death", "cut", "restarts")
    ]
    policies = ("Poplarrun", "TwoChoices", "PrefixAffinity", "AllKnowing")
    prefixes = [PrefixItem(policy, seed) for policy in policies for seed in SEEDS[:2]]
    overloads = [OverloadItem(sizes, seed) for sizes in ("large", "small") for seed in SEEDS]
    services = [
        ServiceItem(k, load, seed) for k in KINDS for load in SERVICE_LOADS for seed in SEEDS
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        figures += choice_figures(run_all(pool, run_choice, choice_settings()))
        figures += prefix_figures(run_all(pool, run_prefix_item, prefixes))
        figures += overload_figures(run_all(pool, run_overload, overloads))
        figures += outage_figures(run_all(pool, run_outage, list(SEEDS)))
        figures += service_figures(run_all(pool, run_service_item, services))
        figures += limit_figures(run_all(pool, run_limits, limits))
    return report("load", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
