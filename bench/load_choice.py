"""Runs one trace under one way to choose, and returns its quantiles."""

import random
from dataclasses import dataclass

from bench import load_policies
from bench.load_engines import (
    SIZES,
    FakeEngine,
    Simulation,
    Work,
    make_trace,
)
from bench.load_overload import WHOLE_S, ClassPlan, OverloadRun, Phase
from bench.load_policies import ZONES, AllKnowing, Poplarrun, RandomChoice, Reports
from poplarrun.speeds import PoolSpeed

ENGINES = 48
FAST_REPORT_S = 0.1
SLOW_REPORT_S = 0.25


@dataclass(frozen=True)
class Setting:
    """One cell of the grid.

    Attributes
    ----------
    policy : str
        Name of a class of ``load_policies``, or ``AllKnowing``.
    load : float
        Arrivals as a share of what full batches finish.
    """

    policy: str
    load: float
    lag_s: float
    hosts: int
    seed: int
    sizes: str = "large"
    engines: int = ENGINES


@dataclass(frozen=True)
class Quantiles:
    """Times of one run, in seconds."""

    first: tuple[float, float, float]
    between: tuple[float, float, float]


def run_choice(setting: Setting) -> Quantiles:
    """Run one cell."""
    source = random.Random(setting.seed)
    sizes = SIZES[setting.sizes]
    if setting.policy == "Poplarrun":
        return run_dispatch(setting)
    rate = setting.load * setting.engines * sizes.capacity / sizes.mean_work_s
    trace = make_trace(source, rate, setting.hosts, sizes)
    engines = [FakeEngine(ZONES[i % len(ZONES)], sizes) for i in range(setting.engines)]
    simulation = Simulation(engines)
    if setting.policy == "AllKnowing":
        run_all_knowing(simulation, trace)
    else:
        policy = getattr(load_policies, setting.policy)
        serve(simulation, trace, policy, setting.hosts, setting.lag_s)
    return summarise([work for work in trace if work.at >= sizes.warm_up_s])


def run_dispatch(setting: Setting) -> Quantiles:
    """Run one cell through the product's whole dispatch, admission included."""
    sizes = SIZES[setting.sizes]
    run = OverloadRun(
        (Phase(sizes.seconds, setting.load),),
        setting.seed,
        (ClassPlan("work", 5, WHOLE_S, 1.0),),
        False,
        sizes,
        setting.engines,
        setting.hosts,
        setting.lag_s,
    )
    run.run()
    works = [ask.work for ask in run.asks]
    return summarise([work for work in works if work.at >= sizes.warm_up_s])


def run_all_knowing(simulation: Simulation, trace: list[Work]) -> None:
    """Serve a trace from one queue."""
    queue = AllKnowing(simulation)
    simulation.on_end = queue.note_end
    for work in trace:
        simulation.at(work.at, lambda work=work: queue.take(work))
    simulation.run()


def serve(
    simulation: Simulation, trace: list[Work], policy: type[RandomChoice], hosts: int, lag_s: float
) -> None:
    """Serve a trace from hosts that decide on their own."""
    period_s = FAST_REPORT_S if lag_s < SLOW_REPORT_S else SLOW_REPORT_S
    reports = Reports(lag_s, period_s)
    reports.start(simulation, trace[-1].at)
    Poplarrun.speed = PoolSpeed()
    deciders = [policy(number, simulation.engines, reports, hosts) for number in range(hosts)]
    simulation.on_first = lambda work: deciders[work.host].note_first(work, simulation.now)
    simulation.on_end = lambda work: deciders[work.host].note_end(work, simulation.now)

    def arrive(work: Work) -> None:
        simulation.submit(work, deciders[work.host].choose(work, simulation.now))

    for work in trace:
        simulation.at(work.at, lambda work=work: arrive(work))
    simulation.run()


def summarise(works: list[Work]) -> Quantiles:
    """Return the quantiles of a trace that was served."""
    first = sorted(work.first_at - work.at for work in works)
    between = sorted(work.token_s for work in works)
    return Quantiles(_three(first), _three(between))


def _three(values: list[float]) -> tuple[float, float, float]:
    return tuple(values[min(len(values) - 1, int(len(values) * q))] for q in (0.5, 0.95, 0.99))
