"""Compares concurrency limits for a service under overload: AIMD, gradient, fixed and none."""

import random
from dataclasses import dataclass

from bench.load_engines import Simulation
from poplarrun.admission import GradientLimit, ServiceLimit

WORKER_COUNT = 10
MEAN_SERVICE_TIME_S = 0.05
DURATION_S = 40.0
INITIAL_LOAD = 0.5
INITIAL_LOAD_UNTIL_S = 5.0
WARM_UP_S = 10.0
MAX_GOOD_DURATION_S = 0.25
HOST_COUNT = 3


@dataclass(frozen=True)
class ServiceOutcome:
    """Results of one run.

    Attributes
    ----------
    goodput : float
        Calls answered in time over the capacity.
    p99_s : float
        99th percentile of the duration of answered calls.
    """

    goodput: float
    p99_s: float


class FixedLimit:
    """A constant limit; a very large one acts as no limit."""

    def __init__(self, limit: float) -> None:
        self.limit = limit

    def record_end(self, took_s: float, in_flight: int, now: float) -> None:
        """Ignore the duration of a call."""


class _AimdLimit:
    def __init__(self) -> None:
        self.inner = ServiceLimit()

    @property
    def limit(self) -> float:
        return self.inner.aimd.limit

    def record_end(self, took_s: float, in_flight: int, now: float) -> None:
        self.inner.in_flight = in_flight
        self.inner.record_end(took_s, now)


LIMITS_BY_KIND = {
    "AIMD": _AimdLimit,
    "gradient": GradientLimit,
    "fixed at the capacity": lambda: FixedLimit(WORKER_COUNT / HOST_COUNT),
    "none": lambda: FixedLimit(1e9),
}


def run_service(kind: str, seed: int, load: float) -> ServiceOutcome:
    """Simulate one service that is called by several hosts, each with its own limit."""
    rng = random.Random(seed)
    simulation = Simulation([])
    limits = [LIMITS_BY_KIND[kind]() for _ in range(HOST_COUNT)]
    in_flight = [0] * HOST_COUNT
    queue: list[tuple[float, int]] = []
    busy_workers = 0
    durations_s: list[float] = []

    def start(at: float, host: int) -> None:
        nonlocal busy_workers
        busy_workers += 1
        service_time_s = rng.gammavariate(4.0, MEAN_SERVICE_TIME_S / 4.0)
        simulation.at(simulation.now + service_time_s, lambda: end(at, host))

    def end(at: float, host: int) -> None:
        nonlocal busy_workers
        busy_workers -= 1
        took_s = simulation.now - at
        limits[host].record_end(took_s, in_flight[host], simulation.now)
        in_flight[host] -= 1
        if simulation.now >= WARM_UP_S:
            durations_s.append(took_s)
        if queue:
            start(*queue.pop(0))

    def arrive() -> None:
        host = rng.randrange(HOST_COUNT)
        if in_flight[host] < limits[host].limit:
            in_flight[host] += 1
            if busy_workers < WORKER_COUNT:
                start(simulation.now, host)
            else:
                queue.append((simulation.now, host))
        if simulation.now < DURATION_S:
            current_load = load if simulation.now >= INITIAL_LOAD_UNTIL_S else INITIAL_LOAD
            rate = current_load * WORKER_COUNT / MEAN_SERVICE_TIME_S
            simulation.at(simulation.now + rng.expovariate(rate), arrive)

    simulation.at(0.0, arrive)
    simulation.run(DURATION_S)
    good_count = sum(took_s <= MAX_GOOD_DURATION_S for took_s in durations_s)
    capacity = WORKER_COUNT / MEAN_SERVICE_TIME_S * (DURATION_S - WARM_UP_S)
    return ServiceOutcome(good_count / capacity, sorted(durations_s)[int(0.99 * len(durations_s))])
