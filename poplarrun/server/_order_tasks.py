"""The tasks of the orders part: demand, drains, and the orders of the own zone."""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

import msgspec

from poplarrun.clients import (
    EngineModels,
    HostKind,
    OrderAccepted,
    OrderFenced,
    Orders,
    OrdersUnsupported,
    WeightStore,
)
from poplarrun.contracts import VersionId
from poplarrun.endpoints import Endpoint
from poplarrun.hosts import Peers
from poplarrun.leases import Lease, LeaseManager
from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics
from poplarrun.orders import (
    DEMAND_TOPIC,
    MIN_RESIDENCE_TIME_S,
    ORDERS_TOPIC,
    DemandSummary,
    DrainRevision,
    FetchWeights,
    OpenRequest,
    OrderController,
    OrdersSummary,
    SendOrder,
    VersionDemand,
    VersionNeed,
    decode_demand,
    decode_orders,
    encode_demand,
    hash_version,
    sum_demand,
)
from poplarrun.router import RouterContext
from poplarrun.server._messages import OrdersStatus

# Engines that tell of no room are asked again after so long.
NO_ORDERS_S = 30.0
# Hosts that send no orders look for engines that take them, so many a round.
PROBED_AT_ONCE = 4
LOOKED_AT_ONCE = 64
# Plans take no more of the loop's core than this; a very large zone is planned less often.
CORE_SHARE = 0.01

InThread = Callable[..., Awaitable[Any]]


class OpenRequests(Protocol):
    """Who knows the host's open requests."""

    def list_open_work(self) -> list[OpenRequest]:
        """Return what the open requests ask of the engines."""


class OrderTasks:
    """What the orders part does besides deciding; its steps run on the loop.

    Parameters
    ----------
    context : RouterContext
        Configuration, endpoints, demand and versions of the host.
    chats : OpenRequests
        Whose open requests are the demand.
    orders : Orders
        The way to the engines.
    store : WeightStore, optional
        Without it weights need no leave.
    """

    def __init__(
        self,
        context: RouterContext,
        chats: OpenRequests,
        peers: Peers,
        leases: LeaseManager,
        orders: Orders,
        store: WeightStore | None,
        metrics: Metrics,
        in_thread: InThread,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._context = context
        self._chats = chats
        self._peers = peers
        self._leases = leases
        self._orders = orders
        self._store = store
        self._metrics = metrics
        self._in_thread = in_thread
        self._clock = clock
        self._zone = peers.me.zone
        self._job = f"orders/{self._zone}"
        self._stands = False
        self._tells = False
        self._next_plan_at = -math.inf
        self._no_orders_until: dict[str, float] = {}
        self._beside: set[asyncio.Task[None]] = set()
        self._heard: dict[str, OrdersSummary] = {}
        self.holder = OrderController(random.Random(peers.me.name))
        self._log = component_logger("orders")

    def read_status(self) -> tuple[OrdersStatus, ...]:
        """Tell which versions come and go in each zone, for operators."""
        return tuple(
            OrdersStatus(
                zone,
                summary.revision.fence,
                summary.draining,
                summary.load_times_s,
                tuple(summary.unplaced),
            )
            for zone, summary in sorted(self._heard.items())
        )

    async def share_demand(self) -> None:
        """Count the demand, follow the drains, and tell both."""
        now = self._clock()
        self._follow_orders()
        if not self._stands and not self._heard:
            # Nobody orders anything: then nobody needs the bytes.
            return
        open_work = self._chats.list_open_work()
        self._context.demand.close_round(open_work, now)
        summary = self._context.demand.summarize(now)
        summary.applied_revisions = {
            zone: h.revision for zone, h in self._heard.items() if h.draining
        }
        draining = {
            (engine, version)
            for heard in self._heard.values()
            for engine, versions in heard.draining.items()
            for version in versions
        }
        for work in open_work:
            if (work.engine, str(work.version)) in draining:
                counts = summary.open_requests.setdefault(work.engine, {})
                counts[str(work.version)] = counts.get(str(work.version), 0) + 1
        self._peers.publish(DEMAND_TOPIC, encode_demand(summary))

    async def run_orders(self) -> None:
        """Do one round of orders, if this host holds the zone's lease."""
        if not self._stands:
            await self._probe()
        lease = self._leases.find(self._job)
        if lease is None or not self._context.configuration.document.versions:
            self.holder.reset()
            if self._tells:
                self._publish_orders(OrdersSummary())
                self._tells = False
            return
        await self._look()
        # The look took time: the lease may have lapsed meanwhile.
        lease = self._leases.find(self._job)
        is_due = self._clock() >= self._next_plan_at
        if lease and is_due and self.holder.has_polled(e.name for e in self._engines()):
            await self._act(lease)

    def _engines(self) -> list[Endpoint]:
        """Return the engines of the own zone that may take orders."""
        now = self._clock()
        return [
            e
            for e in self._context.endpoints.list_endpoints()
            if e.kind is HostKind.MODEL_ENGINE
            and e.zone == self._zone
            and not e.is_leaving
            and self._no_orders_until.get(e.name, 0.0) <= now
        ]

    async def _probe(self) -> None:
        """Look for an engine that takes orders; without one nobody stands for the job."""
        await self._look_at(self._engines()[:PROBED_AT_ONCE])
        if self.holder.engines:
            self._stands = True
            self._leases.campaign_for(self._job, zone=self._zone)

    async def _look(self) -> None:
        """Read the engines that are due."""
        engines = {e.name: e for e in self._engines()}
        for name in set(self.holder.engines) - engines.keys():
            self.holder.forget(name)
        reported = {name: e.versions for name, e in engines.items()}
        due = self.holder.list_engines_to_poll(reported, self._clock())
        await self._look_at([engines[name] for name in due[:LOOKED_AT_ONCE]])

    async def _look_at(self, engines: list[Endpoint]) -> None:
        await asyncio.gather(*(self._read_models(engine) for engine in engines))

    async def _read_models(self, engine: Endpoint) -> None:
        match await self._in_thread(self._orders.read_models, engine.address):
            case EngineModels() as models:
                self.holder.apply_models(engine.name, models, self._clock())
            case OrdersUnsupported():
                self._no_orders_until[engine.name] = self._clock() + NO_ORDERS_S
                self.holder.forget(engine.name)
            case _:
                self._metrics.count_event("engine_models_unread")
                self.holder.record_no_answer(engine.name, self._clock())

    async def _act(self, lease: Lease) -> None:
        """Plan, tell the drains, and hand out what is due."""
        engines = {e.name: e for e in self._engines()}
        gathered = self._demand()
        own = sum_demand(list(gathered.values()))
        everywhere = [*gathered.values(), *self._other_zones()]
        places = {name: e.capacity for name, e in engines.items()}
        now = self._clock()
        needs = self._needs(own)
        actions = self.holder.decide(lease.fence, needs, places, everywhere, self._zone, now)
        self._next_plan_at = now + (self._clock() - now) / CORE_SHARE
        self._publish_orders(self.holder.summarize())
        self._tells = True
        sends: list[Coroutine[Any, Any, None]] = []
        for action in actions:
            match action:
                case FetchWeights():
                    self._spawn(self._fetch(action))
                case SendOrder(engine=name):
                    sends.append(self._send(engines[name], action))
        await asyncio.gather(*sends)

    async def _send(self, engine: Endpoint, action: SendOrder) -> None:
        # In the same step that hands the order over: a holder that was paused
        # since it decided would else send an order of a lease that lapsed.
        lease = self._leases.find(self._job)
        if lease is None or lease.fence != action.order.fence:
            self._metrics.count_event("order_kept_back")
            return
        match await self._in_thread(self._orders.send, engine.address, action.order):
            case OrderAccepted():
                self._metrics.count_event("order_sent")
                self.holder.record_accepted_order(engine.name, action.order)
                self._log.info(
                    "Order sent.",
                    extra={"engine": engine.name, **msgspec.to_builtins(action.order)},
                )
            case OrderFenced():
                self._metrics.count_event("order_refused_fence")
                self._log.warning("Order refused.", extra={"engine": engine.name})
                await self._leases.run_round()
            case _:
                self._metrics.count_event("order_failed")

    async def _fetch(self, action: FetchWeights) -> None:
        version = str(action.version)
        refusal = ""
        if self._store is not None:
            refusal = await self._in_thread(self._store.fetch, version, action.engine)
        self._metrics.count_event(f"weights_{refusal}" if refusal else "weights_handed_out")
        self.holder.record_weights_answer(action.engine, action.version, refusal, self._clock())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)

    def _publish_orders(self, summary: OrdersSummary) -> None:
        self._peers.publish(ORDERS_TOPIC, msgspec.msgpack.encode(summary))

    def _follow_orders(self) -> None:
        """Take over the drains and what comes, of every zone."""
        gathered = self._peers.collect_summaries(ORDERS_TOPIC)
        own = [decode_orders(payload) for payload in gathered.own_zone.values()]
        heard = {zone: decode_orders(payload) for zone, payload in gathered.other_zones.items()}
        heard[self._zone] = max(own, key=lambda s: s.revision, default=OrdersSummary())
        self._heard = {zone: s for zone, s in heard.items() if s.revision != DrainRevision()}
        retired: dict[str, frozenset[VersionId]] = {}
        for summary in self._heard.values():
            for engine, versions in summary.draining.items():
                retired[engine] = frozenset(VersionId.parse(version) for version in versions)
        self._context.endpoints.set_retired_versions(retired)
        own_zone = self._heard.get(self._zone, OrdersSummary())
        # Room is given up after MIN_RESIDENCE_TIME_S at the earliest.
        waits = {**dict.fromkeys(own_zone.unplaced, MIN_RESIDENCE_TIME_S), **own_zone.load_times_s}
        self._context.expected_load_s = {
            VersionId.parse(v): seconds for v, seconds in waits.items()
        }

    def _demand(self) -> dict[str, DemandSummary]:
        """Return what each live host of the own zone tells; nothing counts as nothing applied."""
        payloads = self._peers.collect_summaries(DEMAND_TOPIC).own_zone
        hosts = [peer.name for peer in self._peers.live() if peer.zone == self._zone]
        return {name: decode_demand(payloads.get(name, b"")) for name in hosts}

    def _other_zones(self) -> list[DemandSummary]:
        """Return what the zones tell that are heard; a silent one reaches no engine here."""
        silent = {view.zone for view in self._peers.zones() if view.silent}
        payloads = self._peers.collect_summaries(DEMAND_TOPIC).other_zones
        return [decode_demand(p) for zone, p in payloads.items() if zone not in silent]

    def _needs(self, demand: DemandSummary) -> list[VersionNeed]:
        """Return what the zone needs: every version that is offered, and how much."""
        configuration = self._context.configuration
        on_trial = {
            key.version
            for key, state in self._context.versions.rollouts.states.items()
            if not state.serves and not state.rejected
        }
        needs = []
        for version in configuration.document.versions:
            if not configuration.is_withdrawn(version):
                seen = demand.versions.get(hash_version(version), VersionDemand())
                trial = version in on_trial
                needs.append(
                    VersionNeed(
                        version, seen.concurrent_requests, seen.importance, seen.has_sessions, trial
                    )
                )
        return needs
