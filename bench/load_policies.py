"""Ways to choose an engine: poplarrun's own, its baselines, and an all-knowing queue."""

import random
from dataclasses import dataclass
from functools import lru_cache
from typing import Protocol

from bench.load_engines import FakeEngine, Simulation, Work
from poplarrun.clients import CacheEvent, HostKind, HostState, ListedHost
from poplarrun.contracts import VersionId
from poplarrun.endpoints import EndpointTable, PromptProfile, assign_endpoints
from poplarrun.speeds import PoolSpeed

QUIET_LOAD = 0.7
VERSION = VersionId("larch", "1")
ZONES = ("a", "b", "c")


@dataclass
class Reports:
    """Snapshots of the engines' loads, seen late."""

    lag_s: float
    period_s: float

    def __post_init__(self) -> None:
        self.snapshots: list[tuple[float, list[int]]] = []

    def start(self, simulation: Simulation, until: float) -> None:
        """Take snapshots until a time."""

        def take() -> None:
            loads = [engine.load for engine in simulation.engines]
            self.snapshots.append((simulation.now, loads))
            if simulation.now + self.period_s < until:
                simulation.at(simulation.now + self.period_s, take)

        simulation.at(0.0, take)

    def newest(self, now: float) -> int:
        """Return the number of the newest snapshot that is visible; -1 for none."""
        return min(len(self.snapshots) - 1, int((now - self.lag_s) / self.period_s + 1e-9))


class Policy(Protocol):
    """A host's way to choose an engine."""

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""

    def note_first(self, work: Work, now: float) -> None:
        """Hear that a first token came."""

    def note_end(self, work: Work, now: float) -> None:
        """Hear that a request of this host ended."""


class RandomChoice:
    """Any engine."""

    def __init__(
        self, host: int, engines: list[FakeEngine], reports: Reports, hosts: int = 1
    ) -> None:
        self.source = random.Random(host)
        self.engines = engines
        self.reports = reports

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        return self.source.randrange(len(self.engines))

    def note_first(self, work: Work, now: float) -> None:
        """Hear that a first token came."""

    def note_end(self, work: Work, now: float) -> None:
        """Hear that a request of this host ended."""

    def loads(self, now: float) -> list[int]:
        """Return the loads by the newest visible report."""
        number = self.reports.newest(now)
        return self.reports.snapshots[number][1] if number >= 0 else [0] * len(self.engines)


class RoundRobin(RandomChoice):
    """One after the other, from a random start."""

    next_engine = -1

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        if self.next_engine < 0:
            self.next_engine = self.source.randrange(len(self.engines))
        self.next_engine = (self.next_engine + 1) % len(self.engines)
        return self.next_engine


class LeastReported(RandomChoice):
    """The least load by the last report."""

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        loads = self.loads(now)
        least = min(loads)
        return self.source.choice([i for i, load in enumerate(loads) if load == least])


class TwoChoices(RandomChoice):
    """The less loaded of two by the last report, without correction."""

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        loads = self.loads(now)
        drawn = self.source.sample(range(len(loads)), 2)
        return min(drawn, key=loads.__getitem__)


class PrefixAffinity(RandomChoice):
    """By the hash of the prompt's beginning only."""

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        key = work.blocks[0] if work.blocks else work.number
        return hash((key, 7)) % len(self.engines)


_assign = lru_cache(maxsize=64)(assign_endpoints)


class Poplarrun(RandomChoice):
    """The product's own choice."""

    speed = PoolSpeed()
    event_loss = 0.0

    def __init__(
        self, host: int, engines: list[FakeEngine], reports: Reports, hosts: int = 1
    ) -> None:
        super().__init__(host, engines, reports, hosts)
        zone = ZONES[host % len(ZONES)]
        near = [str(i) for i, engine in enumerate(engines) if engine.zone == zone]
        peers = [f"host-{n}" for n in range(hosts) if ZONES[n % len(ZONES)] == zone]
        owners = _assign(tuple(near), tuple(peers))
        mine = frozenset(name for name, owner in owners.items() if owner == f"host-{host}")
        self.table = EndpointTable(ZONES[host % len(ZONES)], random.Random(host))
        self.table.apply_host_list(
            tuple(
                ListedHost(str(i), HostKind.MODEL_ENGINE, engine.zone, str(i), HostState.LIVE)
                for i, engine in enumerate(engines)
            )
        )
        self.table.set_owned_endpoints(mine)
        for i in range(len(engines)):
            self.table.apply_load(str(i), frozenset({VERSION}), 0, engines[i].capacity, -1.0)
        # Hosts share what they learn of speeds, in their zone's summaries.
        self.table.pool(VERSION).speed = self.speed
        self._applied = -1
        self._heard = [0] * len(engines)
        self._load: dict[int, float] = {}

    def choose(self, work: Work, now: float) -> int:
        """Return the engine's index."""
        self.sync(now)
        demand = PromptProfile(work.prompt_tokens, work.blocks)
        choice = self.table.choose_engine(VERSION, now, (), demand)
        assert choice is not None
        self.table.record_sent(choice.endpoint.name, now, VERSION, work.blocks)
        self._load[work.number] = choice.load
        return int(choice.endpoint.name)

    def note_first(self, work: Work, now: float) -> None:
        """Hear that a first token came."""
        if self._load.pop(work.number, 1.0) < QUIET_LOAD:
            uncached = work.prompt_tokens - work.cached_tokens
            self.table.pool(VERSION).speed.record_first_token(uncached, now - work.at)

    def note_end(self, work: Work, now: float) -> None:
        """Hear that a request of this host ended."""
        self.table.record_finished(str(work.engine), now)
        self.table.pool(VERSION).speed.record_request_time(work.end_at - work.first_at)

    def sync(self, now: float) -> None:
        """Apply the reports and cache events that are visible now."""
        number = self.reports.newest(now)
        if number <= self._applied:
            return
        self._applied = number
        true_at, loads = self.reports.snapshots[number]
        versions = frozenset({VERSION})
        for i, load in enumerate(loads):
            self.table.apply_load(str(i), versions, load, self.engines[i].capacity, true_at)
            self._hear_events(i, now)

    def _hear_events(self, index: int, now: float) -> None:
        events = self.engines[index].events
        new = events[self._heard[index] :]
        self._heard[index] = len(events)
        kept = [
            CacheEvent(number, "stored" if stored else "removed", str(VERSION), block)
            for number, stored, block in new
            if self.source.random() >= self.event_loss
        ]
        if kept:
            self.table.apply_cache_events(str(index), kept, now)


class AllKnowing:
    """One queue before all engines, which knows every place and every cache."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.queue: list[Work] = []

    def take(self, work: Work) -> None:
        """Place a request, or keep it until a place is free."""
        index = self._free_engine(work)
        if index < 0:
            self.queue.append(work)
        else:
            self.simulation.submit(work, index)

    def note_end(self, work: Work) -> None:
        """Fill the place that became free."""
        if self.queue:
            self.simulation.submit(self.queue.pop(0), work.engine)

    def _free_engine(self, work: Work) -> int:
        best, best_key = -1, (0, 0)
        for index, engine in enumerate(self.simulation.engines):
            if engine.running >= engine.capacity:
                continue
            cached = 0
            for block in work.blocks:
                if block not in engine.cache:
                    break
                cached += 1
            key = (-cached, engine.running)
            if best < 0 or key < best_key:
                best, best_key = index, key
        return best
