"""Policies to choose an engine: poplarrun's own, baselines, and an all-knowing queue."""

import random
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

from bench.load_engines import SimulatedEngine, SimulatedRequest, Simulation
from poplarrun.clients import CacheEvent, HostKind, HostState, ListedHost
from poplarrun.contracts import VersionId
from poplarrun.endpoints import EndpointTable, PromptProfile, assign_endpoints
from poplarrun.speeds import PoolSpeed

MAX_UNLOADED_LOAD = 0.7
VERSION = VersionId("larch", "1")
ZONES = ("a", "b", "c")


@dataclass
class Reports:
    """Periodic snapshots of the engines' loads, visible after a lag."""

    lag_s: float
    period_s: float

    def __post_init__(self) -> None:
        self.snapshots: list[tuple[float, list[int]]] = []

    def start(self, simulation: Simulation, until: float) -> None:
        """Schedule periodic snapshots until a time."""

        def take_snapshot() -> None:
            loads = [engine.load for engine in simulation.engines]
            self.snapshots.append((simulation.now, loads))
            if simulation.now + self.period_s < until:
                simulation.at(simulation.now + self.period_s, take_snapshot)

        simulation.at(0.0, take_snapshot)

    def find_newest(self, now: float) -> int:
        """Return the index of the newest visible snapshot, or -1 if there is none."""
        return min(len(self.snapshots) - 1, int((now - self.lag_s) / self.period_s + 1e-9))


class Policy(Protocol):
    """The policy by which one host chooses engines."""

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""

    def record_first_token(self, request: SimulatedRequest, now: float) -> None:
        """Record the first token of a request of this host."""

    def record_end(self, request: SimulatedRequest, now: float) -> None:
        """Record the end of a request of this host."""


class RandomChoice:
    """A random engine."""

    def __init__(
        self, host: int, engines: list[SimulatedEngine], reports: Reports, hosts: int = 1
    ) -> None:
        self.rng = random.Random(host)
        self.engines = engines
        self.reports = reports

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        return self.rng.randrange(len(self.engines))

    def record_first_token(self, request: SimulatedRequest, now: float) -> None:
        """Record the first token of a request of this host."""

    def record_end(self, request: SimulatedRequest, now: float) -> None:
        """Record the end of a request of this host."""

    def loads(self, now: float) -> list[int]:
        """Return the loads of the newest visible snapshot."""
        number = self.reports.find_newest(now)
        return self.reports.snapshots[number][1] if number >= 0 else [0] * len(self.engines)


class RoundRobin(RandomChoice):
    """Engines in turn, from a random start."""

    next_engine = -1

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        if self.next_engine < 0:
            self.next_engine = self.rng.randrange(len(self.engines))
        self.next_engine = (self.next_engine + 1) % len(self.engines)
        return self.next_engine


class LeastReported(RandomChoice):
    """An engine with the least load by the newest visible snapshot."""

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        loads = self.loads(now)
        least = min(loads)
        return self.rng.choice([i for i, load in enumerate(loads) if load == least])


class TwoChoices(RandomChoice):
    """The less loaded of two random engines by the newest visible snapshot, uncorrected."""

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        loads = self.loads(now)
        drawn = self.rng.sample(range(len(loads)), 2)
        return min(drawn, key=loads.__getitem__)


class PrefixAffinity(RandomChoice):
    """An engine by the hash of the first block of the prompt."""

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        key = request.blocks[0] if request.blocks else request.number
        return hash((key, 7)) % len(self.engines)


_assign = lru_cache(maxsize=64)(assign_endpoints)


class Poplarrun(RandomChoice):
    """Poplarrun's own choice."""

    speed = PoolSpeed()
    event_loss = 0.0

    def __init__(
        self, host: int, engines: list[SimulatedEngine], reports: Reports, hosts: int = 1
    ) -> None:
        super().__init__(host, engines, reports, hosts)
        zone = ZONES[host % len(ZONES)]
        zone_engines = [str(i) for i, engine in enumerate(engines) if engine.zone == zone]
        peers = [f"host-{n}" for n in range(hosts) if ZONES[n % len(ZONES)] == zone]
        owners = _assign(tuple(zone_engines), tuple(peers))
        owned = frozenset(name for name, owner in owners.items() if owner == f"host-{host}")
        self.table = EndpointTable(ZONES[host % len(ZONES)], random.Random(host))
        self.table.apply_host_list(
            tuple(
                ListedHost(str(i), HostKind.MODEL_ENGINE, engine.zone, str(i), HostState.LIVE)
                for i, engine in enumerate(engines)
            )
        )
        self.table.set_owned_endpoints(owned)
        for i in range(len(engines)):
            self.table.apply_load(str(i), frozenset({VERSION}), 0, engines[i].capacity, -1.0)
        # Hosts share learned speeds through the summaries of their zone.
        self.table.pool(VERSION).speed = self.speed
        self._applied = -1
        self._event_counts = [0] * len(engines)
        self._load_at_choice: dict[int, float] = {}

    def choose(self, request: SimulatedRequest, now: float) -> int:
        """Return the engine's index."""
        self.sync(now)
        profile = PromptProfile(request.prompt_tokens, request.blocks)
        choice = self.table.choose_engine(VERSION, now, (), profile)
        assert choice is not None
        self.table.record_sent(choice.endpoint.name, now, VERSION, request.blocks)
        self._load_at_choice[request.number] = choice.load
        return int(choice.endpoint.name)

    def record_first_token(self, request: SimulatedRequest, now: float) -> None:
        """Record the first token of a request of this host."""
        if self._load_at_choice.pop(request.number, 1.0) < MAX_UNLOADED_LOAD:
            uncached = request.prompt_tokens - request.cached_tokens
            self.table.pool(VERSION).speed.record_first_token(uncached, now - request.arrived_at)

    def record_end(self, request: SimulatedRequest, now: float) -> None:
        """Record the end of a request of this host."""
        self.table.record_finished(str(request.engine), now)
        self.table.pool(VERSION).speed.record_request_time(request.end_at - request.first_at)

    def sync(self, now: float) -> None:
        """Apply the reports and cache events that are visible now."""
        number = self.reports.find_newest(now)
        if number <= self._applied:
            return
        self._applied = number
        measured_at, loads = self.reports.snapshots[number]
        versions = frozenset({VERSION})
        for i, load in enumerate(loads):
            self.table.apply_load(str(i), versions, load, self.engines[i].capacity, measured_at)
            self._apply_cache_events(i, now)

    def _apply_cache_events(self, index: int, now: float) -> None:
        events = self.engines[index].events
        new = events[self._event_counts[index] :]
        self._event_counts[index] = len(events)
        received = [
            CacheEvent(number, "stored" if stored else "removed", str(VERSION), block)
            for number, stored, block in new
            if self.rng.random() >= self.event_loss
        ]
        if received:
            self.table.apply_cache_events(str(index), received, now)


class AllKnowing:
    """A central queue in front of all engines that knows all free slots and all caches."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.queue: list[SimulatedRequest] = []

    def submit(self, request: SimulatedRequest) -> None:
        """Submit a request to a free engine, or queue it."""
        index = self._free_engine(request)
        if index < 0:
            self.queue.append(request)
        else:
            self.simulation.submit(request, index)

    def record_end(self, request: SimulatedRequest) -> None:
        """Submit the oldest queued request to the slot that became free."""
        if self.queue:
            self.simulation.submit(self.queue.pop(0), request.engine)

    def _free_engine(self, request: SimulatedRequest) -> int:
        best, best_key = -1, (0, 0)
        for index, engine in enumerate(self.simulation.engines):
            if engine.running >= engine.capacity:
                continue
            cached = 0
            for block in request.blocks:
                if block not in engine.cache:
                    break
                cached += 1
            key = (-cached, engine.running)
            if best < 0 or key < best_key:
                best, best_key = index, key
        return best
