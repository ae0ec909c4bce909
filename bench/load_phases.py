"""Measures goodput under overload and recovery from an outage of all engines."""

from dataclasses import dataclass
from statistics import mean

from bench.figures import Figure
from bench.load_common import make_figure
from bench.load_engines import LARGE, SMALL
from bench.load_overload import CLASSES, CallerRequest, OverloadRun, Phase, compute_fraction

MIN_NORMAL_FRACTION = 0.95


@dataclass(frozen=True)
class OverloadItem:
    """Parameters of one overload run, with a period of twice the capacity."""

    sizes: str
    seed: int


@dataclass(frozen=True)
class OverloadOutcome:
    """Results of an overload run.

    Attributes
    ----------
    top_share, top_alone : float
        Fraction of the most important class's requests with a first token in time, with the
        other classes and without them.
    throughput : float
        Completed requests over the capacity.
    normal_after_s : float
        Time from the end of the overload until requests are good again.
    good_by_class : tuple of float
        Fraction of requests with a first token in time, by class.
    """

    top_share: float
    top_alone: float
    throughput: float
    normal_after_s: float
    good_by_class: tuple[float, ...]


def run_overload(item: OverloadItem) -> OverloadOutcome:
    """Run the overload with all three classes, and with the most important class alone."""
    sizes, engines, scale = (LARGE, 12, 1.0) if item.sizes == "large" else (SMALL, 24, 0.4)
    overload_start, overload_end, ends_at = 50 * scale, 110 * scale, 140 * scale
    phases = (Phase(overload_start, 0.6), Phase(overload_end, 2.0), Phase(ends_at, 0.6))
    all_classes = OverloadRun(phases, item.seed, CLASSES, False, sizes, engines)
    all_classes.run()
    top_class = OverloadRun(phases, item.seed, CLASSES[:1], False, sizes, engines)
    top_class.run()
    counted_from = overload_start + 2.0

    def select_requests(run: OverloadRun, index: int) -> list[CallerRequest]:
        plan = CLASSES[index]
        return [
            a
            for a in run.caller_requests
            if a.plan is plan and counted_from <= a.request.arrived_at < overload_end
        ]

    shares = tuple(
        compute_fraction(
            select_requests(all_classes, i), lambda caller_request: caller_request.is_good
        )
        for i in range(3)
    )
    queues_filled_at = overload_start + (overload_end - overload_start) / 3.0
    completed = [
        a
        for a in all_classes.caller_requests
        if a.answered and queues_filled_at <= a.request.end_at < overload_end
    ]
    throughput = len(completed) / (overload_end - queues_filled_at) / all_classes.capacity_per_s
    return OverloadOutcome(
        shares[0],
        compute_fraction(
            select_requests(top_class, 0), lambda caller_request: caller_request.is_good
        ),
        throughput,
        _measure_recovery_s(all_classes.caller_requests, overload_end),
        shares,
    )


def _measure_recovery_s(caller_requests: list[CallerRequest], load_end: float) -> float:
    """Return the seconds until 19 in 20 requests of every later second are good.

    Not all, because at any load one request in some hundred is late due to a long prompt.
    """
    by_second: dict[int, list[CallerRequest]] = {}
    for caller_request in caller_requests:
        if caller_request.request.arrived_at >= load_end:
            by_second.setdefault(int(caller_request.request.arrived_at - load_end), []).append(
                caller_request
            )
    bad = [
        s
        for s, second_requests in by_second.items()
        if compute_fraction(second_requests, lambda a: a.is_good) < MIN_NORMAL_FRACTION
    ]
    return max(bad) + 1.0 if bad else 0.0


def make_overload_figures(runs: dict[OverloadItem, OverloadOutcome]) -> list[Figure]:
    """Return the figures of goodput, throughput and recovery time."""
    figures = []
    for sizes in ("large", "small"):
        outcomes = [outcome for item, outcome in runs.items() if item.sizes == sizes]
        goodput_ratios = [o.top_share / o.top_alone for o in outcomes]
        throughput = [o.throughput for o in outcomes]
        recovery_times_s = [o.normal_after_s for o in outcomes]
        cell = f"{sizes} batches, load 2.0"
        figures += [
            make_figure(
                f"goodput of the most important class over alone, {cell}",
                goodput_ratios,
                "ratio",
                "at least 0.99",
                mean(goodput_ratios) >= 0.99,
            ),
            make_figure(
                f"throughput over capacity, {cell}",
                throughput,
                "ratio",
                "at least 0.95",
                mean(throughput) >= 0.95,
            ),
            make_figure(
                f"back to normal after the load's end, {cell}",
                recovery_times_s,
                "s",
                "within 2 s",
                max(recovery_times_s) <= 2.0,
            ),
        ]
        for index, plan in enumerate(CLASSES):
            shares = [o.good_by_class[index] for o in outcomes]
            figures.append(
                make_figure(f"good first tokens of {plan.name}, {cell}", shares, "share")
            )
    return figures


@dataclass(frozen=True)
class OutageOutcome:
    """Results of an outage of all engines.

    Attributes
    ----------
    sent_ratio : float
        Calls sent to engines over requests offered by callers, during the outage.
    good_before, good_soon : float
        Fraction of good requests before the outage, and 10 to 30 s after its end.
    recovered_s : float
        Time from its end until 19 in 20 requests of each second are good.
    """

    sent_ratio: float
    good_before: float
    good_soon: float
    recovered_s: float


def run_outage(seed: int) -> OutageOutcome:
    """Run an outage of six seconds at 80 % load; callers retry up to three times."""
    run = OverloadRun((Phase(90.0, 0.8),), seed, CLASSES, True)
    run.down_from, run.down_until = 20.0, 26.0
    run.run()
    sent = sum(20.0 <= at < 26.0 for at in run.attempts)
    offered = sum(20.0 <= at < 26.0 for at in run.offers)
    before = [
        caller_request
        for caller_request in run.caller_requests
        if 5.0 <= caller_request.request.arrived_at < 19.0
    ]
    soon = [
        caller_request
        for caller_request in run.caller_requests
        if 36.0 <= caller_request.request.arrived_at < 56.0
    ]
    return OutageOutcome(
        sent / offered,
        compute_fraction(before, lambda caller_request: caller_request.is_good),
        compute_fraction(soon, lambda caller_request: caller_request.is_good),
        _measure_recovery_s(
            [
                caller_request
                for caller_request in run.caller_requests
                if caller_request.request.arrived_at < 88.0
            ],
            26.0,
        ),
    )


def make_outage_figures(runs: dict[int, OutageOutcome]) -> list[Figure]:
    """Return the figures of retries during the outage and of the recovery after it."""
    sent = [outcome.sent_ratio for outcome in runs.values()]
    recovered = [outcome.recovered_s for outcome in runs.values()]
    soon = [outcome.good_soon for outcome in runs.values()]
    before = mean([outcome.good_before for outcome in runs.values()])
    # Callers retry the work of six seconds; the free fifth of the capacity needs 24 s for it.
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
