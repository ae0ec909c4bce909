"""The load bench: endpoint choice, prefix cache, overload, outage and account limits.

The decision code runs as it is, with time and random source passed in, before
fake engines in an event-driven simulation. Times are simulated, not measured;
only the time of a decision is.
"""

import itertools
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import mean
from typing import TypeVar

from bench.figures import Figure, Slope, report
from bench.load_choice import Quantiles, Setting, run_choice
from bench.load_engines import LARGE, SMALL
from bench.load_limits import LimitRun
from bench.load_overload import CLASSES, Ask, OverloadRun, Phase, share_of
from bench.load_policies import VERSION
from bench.load_prefix import run_prefix
from poplarrun.endpoints import Demand, EndpointTable, PrefixIndex
from poplarrun.platform import HostKind, HostState, ListedHost

COMMAND = "python -m bench.load"
PROCESSES = 4
SEEDS = (1, 2, 3)
HOSTS = (1, 6, 60, 390)
LOADS = (0.5, 0.8, 0.95)
LAGS_S = (0.1, 1.0, 5.0)
BASELINES = ("RandomChoice", "RoundRobin", "LeastReported", "TwoChoices")

Item = TypeVar("Item")
Result = TypeVar("Result")


def spread(values: Iterable[float]) -> float:
    """Return half the range."""
    found = list(values)
    return (max(found) - min(found)) / 2.0


def figure(
    name: str,
    values: list[float],
    unit: str,
    target: str = "",
    holds: bool | None = None,
    baseline: float | None = None,
) -> Figure:
    """Make a figure of the values of several seeds."""
    value = round(mean(values), 5)
    near = round(spread(values), 5)
    return Figure(name, value, unit, near, baseline, target, holds)


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
        figure(
            f"p99 to first token over all-knowing queue, {cell}",
            ratios,
            "ratio",
            "at most 1.25 at 80 % load and 1 s late reports",
            mean(ratios) <= 1.25,
            1.0,
        ),
        figure(
            f"p99 to first token below least reported load, {cell}",
            saved,
            "share",
            "at least 0.30",
            mean(saved) >= 0.30,
        ),
    ]
    for policy in BASELINES:
        figures.append(
            figure(f"baseline {policy} p99 to first token, {cell}", p99(policy, hosts), "s")
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
        figure(
            "prefix hits over all-knowing, 10 % of events lost",
            ratios,
            "ratio",
            "at least 0.90",
            mean(ratios) >= 0.9,
            round(mean(column("TwoChoices", 0)) / mean(best), 4),
        ),
        figure(
            "p99 to first token with prefix choice",
            own_p99,
            "s",
            "not above two choices without it",
            mean(own_p99) <= mean(two_p99),
            round(mean(two_p99), 4),
        ),
    ]
    for policy in ("PrefixAffinity", "AllKnowing"):
        figures.append(figure(f"baseline {policy} prefix hits", column(policy, 0), "share"))
        figures.append(figure(f"baseline {policy} p99 to first token", column(policy, 1), "s"))
    return figures


# --- overload and outage ---


@dataclass(frozen=True)
class OverloadItem:
    """One overload run: twice the capacity for a while."""

    sizes: str
    seed: int


@dataclass(frozen=True)
class OverloadOutcome:
    """What became of an overload."""

    top_share: float
    top_alone: float
    throughput: float
    normal_after_s: float
    good_by_class: tuple[float, ...]


def run_overload(item: OverloadItem) -> OverloadOutcome:
    """Run three classes, and the most important one alone."""
    sizes, engines, scale = (LARGE, 12, 1.0) if item.sizes == "large" else (SMALL, 24, 0.4)
    begin, end, until = 50 * scale, 110 * scale, 140 * scale
    phases = (Phase(begin, 0.6), Phase(end, 2.0), Phase(until, 0.6))
    whole = OverloadRun(phases, item.seed, CLASSES, False, sizes, engines)
    whole.run()
    alone = OverloadRun(phases, item.seed, CLASSES[:1], False, sizes, engines)
    alone.run()
    settled = begin + 2.0

    def during(run: OverloadRun, index: int) -> list[Ask]:
        plan = CLASSES[index]
        return [a for a in run.asks if a.plan is plan and settled <= a.work.at < end]

    shares = tuple(share_of(during(whole, i), lambda ask: ask.is_good) for i in range(3))
    filled = begin + (end - begin) / 3.0
    done = [a for a in whole.asks if a.answered and filled <= a.work.end_at < end]
    rate = len(done) / (end - filled) / whole.capacity_per_s
    late = [a.work.at - end for a in whole.asks if a.work.at >= end and not a.is_good]
    return OverloadOutcome(
        shares[0],
        share_of(during(alone, 0), lambda ask: ask.is_good),
        rate,
        max(_without_stragglers(late), default=0.0),
        shares,
    )


def _without_stragglers(late: list[float]) -> list[float]:
    """Drop single late requests, which a long prompt makes at any time."""
    found = sorted(late)
    return [at for at, after in itertools.pairwise(found) if after - at < 0.5]


def overload_figures(runs: dict[OverloadItem, OverloadOutcome]) -> list[Figure]:
    """Return the goodput targets and the time back to normal."""
    figures = []
    for sizes in ("large", "small"):
        found = [outcome for item, outcome in runs.items() if item.sizes == sizes]
        top = [o.top_share / o.top_alone for o in found]
        rate = [o.throughput for o in found]
        normal = [o.normal_after_s for o in found]
        cell = f"{sizes} batches, load 2.0"
        figures += [
            figure(
                f"goodput of the most important class over alone, {cell}",
                top,
                "ratio",
                "at least 0.99",
                mean(top) >= 0.99,
            ),
            figure(
                f"throughput over capacity, {cell}",
                rate,
                "ratio",
                "at least 0.95",
                mean(rate) >= 0.95,
            ),
            figure(
                f"back to normal after the load's end, {cell}",
                normal,
                "s",
                "within 2 s",
                max(normal) <= 2.0,
            ),
        ]
        for index, plan in enumerate(CLASSES):
            shares = [o.good_by_class[index] for o in found]
            figures.append(figure(f"good first tokens of {plan.name}, {cell}", shares, "share"))
    return figures


def run_outage(seed: int) -> tuple[float, float, float]:
    """Run an outage of all engines; return sent over offered, and good shares after it."""
    run = OverloadRun((Phase(60.0, 0.8),), seed, CLASSES, True)
    run.down_from, run.down_until = 20.0, 26.0
    run.run()
    sent = sum(20.0 <= at < 26.0 for at in run.attempts)
    offered = sum(20.0 <= at < 26.0 for at in run.offers)
    after = [ask for ask in run.asks if 36.0 <= ask.work.at < 58.0]
    before = [ask for ask in run.asks if 5.0 <= ask.work.at < 19.0]
    return (
        sent / offered,
        share_of(after, lambda ask: ask.is_good),
        share_of(before, lambda ask: ask.is_good),
    )


def outage_figures(runs: dict[int, tuple[float, float, float]]) -> list[Figure]:
    """Return the retry target, and whether the hosts recover with returning callers."""
    sent = [found[0] for found in runs.values()]
    after = [found[1] for found in runs.values()]
    before = mean([found[2] for found in runs.values()])
    return [
        figure(
            "calls sent over offered in an outage",
            sent,
            "ratio",
            "at most 1.1",
            max(sent) <= 1.1,
        ),
        figure(
            "good first tokens 10 s after an outage, callers coming back",
            after,
            "share",
            "as before the outage, within 0.01",
            mean(after) >= before - 0.01,
            round(before, 4),
        ),
    ]


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
    run = LimitRun(hosts, zones, _moves_at(40))
    run.run(100)
    return max(run.totals), run.used[-1]


def _rising(now: int, host: int) -> float:
    """Demand little everywhere, then twice the limit at one host in each of three zones."""
    if now < 50:
        return 0.001
    return 2.0 if host in (0, 1, 2) else 0.0


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


# --- the cost of a decision ---


def make_table(endpoints: int) -> EndpointTable:
    """Return a table in which every endpoint holds one version, over seven zones."""
    table = EndpointTable("a", random.Random(1))
    table.apply_list(
        tuple(
            ListedHost(f"e{n}", HostKind.MODEL_ENGINE, "abcdefg"[n % 7], str(n), HostState.LIVE)
            for n in range(endpoints)
        )
    )
    source = random.Random(2)
    for at in (0.0, 1.0):
        for n in range(endpoints):
            table.apply_load(f"e{n}", frozenset({VERSION}), source.randrange(60, 90), 96, at)
    return table


def time_decisions(endpoints: int) -> float:
    """Return the median time of a choice with 32 blocks, in microseconds."""
    table = make_table(endpoints)
    prompts = [tuple(random.Random(n // 4).getrandbits(56) for _ in range(32)) for n in range(400)]
    taken = []
    for n in range(3000):
        now = 2.0 + n * 0.001
        demand = Demand(512, prompts[n % len(prompts)])
        began = time.perf_counter()
        choice = table.choose_engine(VERSION, now, (), demand)
        assert choice is not None
        table.note_sent(choice.endpoint.name, now, VERSION, demand.blocks)
        taken.append((time.perf_counter() - began) * 1e6)
        table.note_ended(choice.endpoint.name, now)
    return sorted(taken)[len(taken) // 2]


def measure_table_bytes(endpoints: int) -> float:
    """Return the memory of a table."""
    tracemalloc.start()
    table = make_table(endpoints)
    table.choose_engine(VERSION, 2.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_index_bytes(blocks: int) -> float:
    """Return the memory of an index of so many blocks, held by three endpoints each."""
    source = random.Random(3)
    tracemalloc.start()
    index = PrefixIndex()
    while len(index) < blocks:
        prompt = tuple(source.getrandbits(56) for _ in range(8))
        for name in ("e1", "e2", "e3"):
            index.note_sent(name, VERSION, prompt, 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def cost_slopes() -> tuple[list[Figure], list[Slope]]:
    """Measure the time and memory of decisions against sizes."""
    sizes = (48, 200, 830)
    times = [(float(n), round(time_decisions(n), 1)) for n in sizes]
    tables = [(float(n), measure_table_bytes(n)) for n in sizes]
    blocks = [(float(n), measure_index_bytes(n)) for n in (1000, 5000, 20_000)]
    median = times[-1][1]
    target = "under 100 us median at 830 endpoints"
    figures = [Figure("decision time", median, "us", target=target, holds=median < 100.0)]
    slopes = [
        Slope("decision time", "endpoints", "us", tuple(times), COMMAND),
        Slope("endpoint table", "endpoints", "bytes", tuple(tables), COMMAND),
        Slope("prefix index", "cached blocks", "bytes", tuple(blocks), COMMAND),
    ]
    return figures, slopes


def main() -> int:
    """Run everything; return the exit code."""
    figures, slopes = cost_slopes()
    limits = [
        LimitItem(case, hosts, zones)
        for hosts, zones in ((390, 7), (6, 3))
        for case in ("move", "death", "cut")
    ]
    policies = ("Poplarrun", "TwoChoices", "PrefixAffinity", "AllKnowing")
    prefixes = [PrefixItem(policy, seed) for policy in policies for seed in SEEDS[:2]]
    overloads = [OverloadItem(sizes, seed) for sizes in ("large", "small") for seed in SEEDS]
    with ProcessPoolExecutor(PROCESSES) as pool:
        figures += choice_figures(run_all(pool, run_choice, choice_settings()))
        figures += prefix_figures(run_all(pool, run_prefix_item, prefixes))
        figures += overload_figures(run_all(pool, run_overload, overloads))
        figures += outage_figures(run_all(pool, run_outage, list(SEEDS)))
        figures += limit_figures(run_all(pool, run_limits, limits))
    return report("load", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
