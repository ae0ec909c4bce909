"""Simulation in virtual time of hosts that order engines to load versions."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.clients import (
    HostKind,
    HostState,
    ListedHost,
    MemoryEngine,
    MemoryOrders,
    MemoryWeightStore,
)
from poplarrun.config import Configuration
from poplarrun.contracts import Document, Price, Version, VersionId, VersionStage
from poplarrun.endpoints import EndpointTable
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.leases import LeaseManager
from poplarrun.log import AppendOutcome, AppendRefused, MemoryLog, ReadFailed, ReadOutcome
from poplarrun.metrics import Metrics
from poplarrun.orders import OpenRequest
from poplarrun.router import RouterContext
from poplarrun.server._order_tasks import OrderTasks
from poplarrun.versions import VersionManager

LEASE_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.5
ORDER_INTERVAL_S = 1.0
ENGINE_SLOTS = 16
REGION = "r"


class HostLog:
    """The log as one host reaches it; ``is_cut`` makes all its calls fail."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.is_cut = False

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        return AppendRefused("cut") if self.is_cut else self.log.append(stream, data)

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read records of a stream."""
        return ReadFailed("cut") if self.is_cut else self.log.read(stream, from_offset, limit)


class OrderHost:
    """A host that runs only its leases, its reports of demand and its orders.

    Attributes
    ----------
    open_requests : list of OpenRequest
        Requests that the host is serving; a test sets them.
    paused : bool
        Whether the periodic tasks are suspended.
    dead : bool
        Whether the periodic tasks have ended for good.
    orders_blocked : bool
        Whether orders wait in transit instead of reaching the engine.
    """

    def __init__(self, world: "OrderWorld", name: str) -> None:
        self.name, self.zone = name, name[0]
        self.open_requests: list[OpenRequest] = []
        self.paused = self.dead = self.orders_blocked = False
        self._world = world
        self.peers = MemoryPeers(world.network, Peer(name, self.zone, REGION, 1))
        self.log = HostLog(world.log)
        self.metrics = Metrics()
        rng = random.Random(name)
        clock = world.loop.time
        self.leases = LeaseManager(self.log, self.peers, self.metrics, rng, clock)
        self.table = EndpointTable(self.zone, rng)
        self.table.apply_host_list(world.host_list)
        self.context = RouterContext(self.table, self.metrics, VersionManager(self.peers.me, rng))
        self.tasks = OrderTasks(
            self.context, self, self.peers, self.leases, world.orders, world.store,
            self.metrics, self._call_with_delay, clock,
        )  # fmt: skip
        self.read_load_reports()
        for task, period_s in (
            (self.leases.run_round, LEASE_INTERVAL_S),
            (self._run_read_reports, REPORT_INTERVAL_S),
            (self.tasks.share_demand, ORDER_INTERVAL_S),
            (self.tasks.run_orders, ORDER_INTERVAL_S),
        ):
            world.loop.create_task(self._repeat(task, period_s))

    def list_open_requests(self) -> list[OpenRequest]:
        """Return the requests that the host is serving."""
        return self.open_requests

    def read_load_reports(self) -> None:
        """Read the load report of each engine that responds."""
        now = self._world.loop.time()
        for name, engine in self._world.engines.items():
            if not engine.is_silent:
                loaded = frozenset(map(VersionId.parse, engine.report(now).loaded))
                self.table.apply_load(name, loaded, 0, ENGINE_SLOTS, now)

    def sum_counters(self, event: str) -> float:
        """Return the sum of the host's counters of an event."""
        lines = self.metrics.render().decode().splitlines()
        event_lines = [line for line in lines if f'"{event}"' in line and "_total" in line]
        return sum(float(line.split()[-1]) for line in event_lines)

    async def _run_read_reports(self) -> None:
        self.read_load_reports()

    async def _repeat(self, task: Callable[[], Awaitable[None]], period_s: float) -> None:
        while not self.dead:
            if not self.paused:
                await task()
            await asyncio.sleep(period_s)

    async def _call_with_delay(self, call: Callable[..., Any], *arguments: Any) -> Any:
        while self.orders_blocked and call == self._world.orders.send:
            await asyncio.sleep(0.05)
        answer = call(*arguments)
        await asyncio.sleep(self._world.fetch_s if call == self._world.store.fetch else 0.01)
        return answer


class OrderWorld:
    """Hosts and engines in several zones, with one log and one weight store.

    Attributes
    ----------
    engines : dict of str to MemoryEngine
        Engines by name, which is also the address; its first letter is the zone.
    fetch_s : float
        Duration of a fetch from the weight store, in seconds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        zones: str,
        hosts: int,
        engines: dict[str, MemoryEngine],
        store: MemoryWeightStore | None = None,
    ) -> None:
        self.loop = loop
        self.engines = engines
        self.network = MemoryPeerNetwork()
        self.log = MemoryLog()
        self.orders = MemoryOrders(engines, loop.time)
        self.store = store or MemoryWeightStore()
        self.fetch_s = 0.5
        live, kind = HostState.LIVE, HostKind.MODEL_ENGINE
        self.host_list = tuple(ListedHost(name, kind, name[0], name, live) for name in engines)
        names = [f"{zone}{number}" for zone in zones for number in range(1, hosts + 1)]
        self.hosts = {name: OrderHost(self, name) for name in names}

    def offer(self, versions: list[str]) -> None:
        """Apply a configuration at every host that offers exactly these versions."""
        ids = [VersionId.parse(version) for version in versions]
        offered = {v: Version(v, VersionStage.OFFERED, Price(1.0, 1.0)) for v in ids}
        for host in self.hosts.values():
            host.context.configuration = Configuration(
                offset=1, document=Document(versions=offered)
            )

    def lease_holders(self, zone: str) -> list[OrderHost]:
        """Return the running hosts of a zone that hold its lease for orders."""
        hosts = [h for h in self.hosts.values() if h.zone == zone and not (h.dead or h.paused)]
        return [host for host in hosts if host.leases.find(f"orders/{zone}")]

    def kill(self, name: str) -> None:
        """Stop a host without a notice to its peers."""
        self.hosts[name].dead = True
        self.network.down.add(name)

    def loaded_versions(self, zone: str) -> set[str]:
        """Return the versions that are loaded on at least one engine of a zone."""
        engines = [e for name, e in self.engines.items() if name[0] == zone]
        return {version for engine in engines for version in engine.loaded}
