"""Hosts that order versions of engines in virtual time, for tests and benches."""

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

LEASES_S = 0.5
REPORTS_S = 0.5
ORDERS_S = 1.0
PLACES = 16
REGION = "r"


class WorldLog:
    """One host's way to the log."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.cut = False

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        return AppendRefused("cut") if self.cut else self.log.append(stream, data)

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read records of a stream."""
        return ReadFailed("cut") if self.cut else self.log.read(stream, from_offset, limit)


class WorldHost:
    """A host that does nothing but follow demand and orders.

    Attributes
    ----------
    open_work : list of OpenWork
        Its open requests.
    paused : bool
        While true, nothing of it runs.
    stuck : bool
        While true, orders that it handed over don't get through.
    """

    def __init__(self, world: "OrderWorld", name: str) -> None:
        self.name, self.zone = name, name[0]
        self.open_work: list[OpenRequest] = []
        self.paused = self.dead = self.stuck = False
        self._world = world
        self.peers = MemoryPeers(world.network, Peer(name, self.zone, REGION, 1))
        self.way = WorldLog(world.log)
        self.metrics = Metrics()
        source = random.Random(name)
        clock = world.loop.time
        self.leases = LeaseManager(self.way, self.peers, self.metrics, source, clock)
        self.table = EndpointTable(self.zone, source)
        self.table.apply_host_list(world.listed)
        self.context = RouterContext(
            self.table, self.metrics, VersionManager(self.peers.me, source)
        )
        self.tasks = OrderTasks(
            self.context, self, self.peers, self.leases, world.orders, world.store,
            self.metrics, self._in_thread, clock,
        )  # fmt: skip
        self.report()
        for step, period_s in (
            (self.leases.run_round, LEASES_S),
            (self._take_reports, REPORTS_S),
            (self.tasks.share_demand, ORDERS_S),
            (self.tasks.run_orders, ORDERS_S),
        ):
            world.loop.create_task(self._repeat(step, period_s))

    def list_open_requests(self) -> list[OpenRequest]:
        """Return the open requests."""
        return self.open_work

    def report(self) -> None:
        """Take in what the engines report."""
        now = self._world.loop.time()
        for name, engine in self._world.engines.items():
            if not engine.is_silent:
                loaded = frozenset(map(VersionId.parse, engine.report(now).loaded))
                self.table.apply_load(name, loaded, 0, PLACES, now)

    def counted(self, event: str) -> float:
        """Return how often an event was counted."""
        lines = self.metrics.render().decode().splitlines()
        found = [line for line in lines if f'"{event}"' in line and "_total" in line]
        return sum(float(line.split()[-1]) for line in found)

    async def _take_reports(self) -> None:
        self.report()

    async def _repeat(self, step: Callable[[], Awaitable[None]], period_s: float) -> None:
        while not self.dead:
            if not self.paused:
                await step()
            await asyncio.sleep(period_s)

    async def _in_thread(self, call: Callable[..., Any], *arguments: Any) -> Any:
        while self.stuck and call == self._world.orders.send:
            await asyncio.sleep(0.05)
        answer = call(*arguments)
        await asyncio.sleep(self._world.store_s if call == self._world.store.fetch else 0.01)
        return answer


class OrderWorld:
    """Zones of hosts and engines, one log, one weight store.

    Attributes
    ----------
    engines : dict of str to MemoryEngine
        By name, which is the address too; the first letter is the zone.
    store_s : float
        Time that the store takes, in seconds.
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
        self.store_s = 0.5
        live, kind = HostState.LIVE, HostKind.MODEL_ENGINE
        self.listed = tuple(ListedHost(name, kind, name[0], name, live) for name in engines)
        names = [f"{zone}{number}" for zone in zones for number in range(1, hosts + 1)]
        self.hosts = {name: WorldHost(self, name) for name in names}

    def offer(self, versions: list[str]) -> None:
        """Put a configuration in force everywhere that offers just these versions."""
        ids = [VersionId.parse(version) for version in versions]
        offered = {v: Version(v, VersionStage.OFFERED, Price(1.0, 1.0)) for v in ids}
        for host in self.hosts.values():
            host.context.configuration = Configuration(
                offset=1, document=Document(versions=offered)
            )

    def holders(self, zone: str) -> list[WorldHost]:
        """Return the hosts of a zone that may send its orders now."""
        hosts = [h for h in self.hosts.values() if h.zone == zone and not (h.dead or h.paused)]
        return [host for host in hosts if host.leases.find(f"orders/{zone}")]

    def kill(self, name: str) -> None:
        """End a host without a word."""
        self.hosts[name].dead = True
        self.network.down.add(name)

    def held(self, zone: str) -> set[str]:
        """Return the versions that engines of a zone have loaded."""
        engines = [e for name, e in self.engines.items() if name[0] == zone]
        return {version for engine in engines for version in engine.loaded}
