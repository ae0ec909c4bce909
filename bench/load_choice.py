"""Runs a trace with one policy of choosing engines, and returns the latency quantiles."""

import random
from dataclasses import dataclass

from bench import load_policies
from bench.load_engines import (
    SIZES,
    SimulatedEngine,
    SimulatedRequest,
    Simulation,
    make_trace,
)
from bench.load_overload import REQUEST_TIMEOUT_S, ClassPlan, OverloadRun, Phase
from bench.load_policies import ZONES, AllKnowing, Poplarrun, RandomChoice, Reports
from poplarrun.speeds import PoolSpeed

ENGINES = 48
SHORT_REPORT_INTERVAL_S = 0.1
LONG_REPORT_INTERVAL_S = 0.25


@dataclass(frozen=True)
class Setting:
    """Parameters of one run.

    Attributes
    ----------
    policy : str
        Name of a class of ``load_policies``.
    load : float
        Arrival rate over the capacity of full batches.
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
    """Median, 95th and 99th percentile of one run, in seconds."""

    first: tuple[float, float, float]
    between: tuple[float, float, float]


def run_choice(setting: Setting) -> Quantiles:
    """Run one setting."""
    rng = random.Random(setting.seed)
    sizes = SIZES[setting.sizes]
    if setting.policy == "Poplarrun":
        return run_with_dispatch(setting)
    rate = setting.load * setting.engines * sizes.capacity / sizes.mean_work_s
    trace = make_trace(rng, rate, setting.hosts, sizes)
    engines = [SimulatedEngine(ZONES[i % len(ZONES)], sizes) for i in range(setting.engines)]
    simulation = Simulation(engines)
    if setting.policy == "AllKnowing":
        run_all_knowing(simulation, trace)
    else:
        policy = getattr(load_policies, setting.policy)
        run_with_hosts(simulation, trace, policy, setting.hosts, setting.lag_s)
    return compute_quantiles(
        [request for request in trace if request.arrived_at >= sizes.warm_up_s]
    )


def run_with_dispatch(setting: Setting) -> Quantiles:
    """Run one setting through poplarrun's whole dispatch, including admission."""
    sizes = SIZES[setting.sizes]
    run = OverloadRun(
        (Phase(sizes.seconds, setting.load),),
        setting.seed,
        (ClassPlan("work", 5, REQUEST_TIMEOUT_S, 1.0),),
        False,
        sizes,
        setting.engines,
        setting.hosts,
        setting.lag_s,
    )
    run.run()
    requests = [caller_request.request for caller_request in run.caller_requests]
    return compute_quantiles(
        [request for request in requests if request.arrived_at >= sizes.warm_up_s]
    )


def run_all_knowing(simulation: Simulation, trace: list[SimulatedRequest]) -> None:
    """Run a trace with a central, all-knowing queue."""
    queue = AllKnowing(simulation)
    simulation.on_end = queue.record_end
    for request in trace:
        simulation.at(request.arrived_at, lambda request=request: queue.submit(request))
    simulation.run()


def run_with_hosts(
    simulation: Simulation,
    trace: list[SimulatedRequest],
    policy: type[RandomChoice],
    hosts: int,
    lag_s: float,
) -> None:
    """Run a trace with hosts that choose engines independently."""
    interval_s = (
        SHORT_REPORT_INTERVAL_S if lag_s < LONG_REPORT_INTERVAL_S else LONG_REPORT_INTERVAL_S
    )
    reports = Reports(lag_s, interval_s)
    reports.start(simulation, trace[-1].arrived_at)
    Poplarrun.speed = PoolSpeed()
    policies = [policy(number, simulation.engines, reports, hosts) for number in range(hosts)]
    simulation.on_first = lambda request: policies[request.host].record_first_token(
        request, simulation.now
    )
    simulation.on_end = lambda request: policies[request.host].record_end(request, simulation.now)

    def arrive(request: SimulatedRequest) -> None:
        simulation.submit(request, policies[request.host].choose(request, simulation.now))

    for request in trace:
        simulation.at(request.arrived_at, lambda request=request: arrive(request))
    simulation.run()


def compute_quantiles(requests: list[SimulatedRequest]) -> Quantiles:
    """Return the quantiles of completed requests."""
    first = sorted(request.first_at - request.arrived_at for request in requests)
    between = sorted(request.token_s for request in requests)
    return Quantiles(_compute_quantiles(first), _compute_quantiles(between))


def _compute_quantiles(values: list[float]) -> tuple[float, float, float]:
    return tuple(values[min(len(values) - 1, int(len(values) * q))] for q in (0.5, 0.95, 0.99))
