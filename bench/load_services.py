"""Concurrency limits of a plain service: AIMD, gradient, fixed and none at twice the capacity."""

import random
from dataclasses import dataclass

from bench.load_engines import Simulation
from poplarrun.admission import GradientLimit, ServiceLimit

WORKERS = 10
MEAN_S = 0.05
SECONDS = 40.0
QUIET_LOAD = 0.5
QUIET_UNTIL_S = 5.0
WARM_UP_S = 10.0
GOOD_S = 0.25
HOSTS = 3


@dataclass(frozen=True)
class ServiceOutcome:
    """Calls answered in time over the capacity, and the 99th percentile of those answered."""

    goodput: float
    p99_s: float


class Fixed:
    """A limit that never moves; large enough it is none."""

    def __init__(self, limit: float) -> None:
        self.limit = limit

    def record_end(self, took_s: float, in_flight: int, now: float) -> None:
        """Ignore a call's time."""


class _Aimd:
    def __init__(self) -> None:
        self.inner = ServiceLimit()

    @property
    def limit(self) -> float:
        return self.inner.aimd.limit

    def record_end(self, took_s: float, in_flight: int, now: float) -> None:
        self.inner.in_flight = in_flight
        self.inner.record_end(took_s, now)


KINDS = {
    "AIMD": _Aimd,
    "gradient": GradientLimit,
    "fixed at the capacity": lambda: Fixed(WORKERS / HOSTS),
    "none": lambda: Fixed(1e9),
}


def run_service(kind: str, seed: int, load: float) -> ServiceOutcome:
    """Run one service before some hosts, each with a limit of its own."""
    source = random.Random(seed)
    simulation = Simulation([])
    limits = [KINDS[kind]() for _ in range(HOSTS)]
    in_flight = [0] * HOSTS
    queue: list[tuple[float, int]] = []
    busy = 0
    taken: list[float] = []

    def start(at: float, host: int) -> None:
        nonlocal busy
        busy += 1
        work_s = source.gammavariate(4.0, MEAN_S / 4.0)
        simulation.at(simulation.now + work_s, lambda: end(at, host))

    def end(at: float, host: int) -> None:
        nonlocal busy
        busy -= 1
        took_s = simulation.now - at
        limits[host].record_end(took_s, in_flight[host], simulation.now)
        in_flight[host] -= 1
        if simulation.now >= WARM_UP_S:
            taken.append(took_s)
        if queue:
            start(*queue.pop(0))

    def arrive() -> None:
        host = source.randrange(HOSTS)
        if in_flight[host] < limits[host].limit:
            in_flight[host] += 1
            if busy < WORKERS:
                start(simulation.now, host)
            else:
                queue.append((simulation.now, host))
        if simulation.now < SECONDS:
            present = load if simulation.now >= QUIET_UNTIL_S else QUIET_LOAD
            rate = present * WORKERS / MEAN_S
            simulation.at(simulation.now + source.expovariate(rate), arrive)

    simulation.at(0.0, arrive)
    simulation.run(SECONDS)
    good = sum(took_s <= GOOD_S for took_s in taken)
    capacity = WORKERS / MEAN_S * (SECONDS - WARM_UP_S)
    return ServiceOutcome(good / capacity, sorted(taken)[int(0.99 * len(taken))])
