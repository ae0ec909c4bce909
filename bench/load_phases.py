"""Figures of overload and outage."""

from dataclasses import dataclass
from statistics import mean

from bench.figures import Figure
from bench.load_common import make_figure
from bench.load_engines import LARGE, SMALL
from bench.load_overload import CLASSES, Ask, OverloadRun, Phase, share_of

NORMAL = 0.95


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
    return OverloadOutcome(
        shares[0],
        share_of(during(alone, 0), lambda ask: ask.is_good),
        rate,
        _normal_after(whole.asks, end),
        shares,
    )


def _normal_after(asks: list[Ask], since: float) -> float:
    """Return the seconds until 19 in 20 of each further second's requests are good.

    One late request in some hundred comes at any time, from a long prompt.
    """
    by_second: dict[int, list[Ask]] = {}
    for ask in asks:
        if ask.work.at >= since:
            by_second.setdefault(int(ask.work.at - since), []).append(ask)
    bad = [s for s, found in by_second.items() if share_of(found, lambda a: a.is_good) < NORMAL]
    return max(bad) + 1.0 if bad else 0.0


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
            make_figure(
                f"goodput of the most important class over alone, {cell}",
                top,
                "ratio",
                "at least 0.99",
                mean(top) >= 0.99,
            ),
            make_figure(
                f"throughput over capacity, {cell}",
                rate,
                "ratio",
                "at least 0.95",
                mean(rate) >= 0.95,
            ),
            make_figure(
                f"back to normal after the load's end, {cell}",
                normal,
                "s",
                "within 2 s",
                max(normal) <= 2.0,
            ),
        ]
        for index, plan in enumerate(CLASSES):
            shares = [o.good_by_class[index] for o in found]
            figures.append(
                make_figure(f"good first tokens of {plan.name}, {cell}", shares, "share")
            )
    return figures


@dataclass(frozen=True)
class OutageOutcome:
    """What became of an outage of all engines.

    Attributes
    ----------
    recovered_s : float
        Time from its end until 19 in 20 requests of each second are good.
    """

    sent: float
    before: float
    soon: float
    recovered_s: float


def run_outage(seed: int) -> OutageOutcome:
    """Run an outage of six seconds at 80 % load, callers coming back up to three times."""
    run = OverloadRun((Phase(90.0, 0.8),), seed, CLASSES, True)
    run.down_from, run.down_until = 20.0, 26.0
    run.run()
    sent = sum(20.0 <= at < 26.0 for at in run.attempts)
    offered = sum(20.0 <= at < 26.0 for at in run.offers)
    before = [ask for ask in run.asks if 5.0 <= ask.work.at < 19.0]
    soon = [ask for ask in run.asks if 36.0 <= ask.work.at < 56.0]
    return OutageOutcome(
        sent / offered,
        share_of(before, lambda ask: ask.is_good),
        share_of(soon, lambda ask: ask.is_good),
        _normal_after([ask for ask in run.asks if ask.work.at < 88.0], 26.0),
    )


def outage_figures(runs: dict[int, OutageOutcome]) -> list[Figure]:
    """Return the retry target, and whether the hosts recover by themselves."""
    sent = [found.sent for found in runs.values()]
    recovered = [found.recovered_s for found in runs.values()]
    soon = [found.soon for found in runs.values()]
    before = mean([found.before for found in runs.values()])
    # Callers come back with the work of six seconds; the fifth of the capacity
    # that is free needs 24 s for it.
    return [
        make_figure(
            "calls sent over offered in an outage", sent, "ratio", "at most 1.1", max(sent) <= 1.1
        ),
        make_figure(
            "recovery from an outage, callers coming back",
            recovered,
            "s",
            "recovers by itself (before the trace's end, 62 s later)",
            max(recovered) < 55.0,
        ),
        make_figure(
            "good first tokens 10 to 30 s after an outage",
            soon,
            "share",
            baseline=round(before, 4),
        ),
    ]
