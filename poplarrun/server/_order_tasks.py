"""Periodic tasks that share the demand for versions and send load orders to engines."""

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

# Time in seconds after which an engine that takes no orders is asked again.
NO_ORDERS_RETRY_INTERVAL_S = 30.0
# Engines per round that a host asks whether they take orders, before it wants the lease, and
# engines per round that the lease holder polls.
MAX_PROBED_ENGINES = 4
MAX_POLLED_ENGINES = 64
# Maximum fraction of the event loop's core for planning; a very large zone is planned less
# often.
MAX_CORE_FRACTION = 0.01

InThread = Callable[..., Awaitable[Any]]


class OpenRequests(Protocol):
    """Provides the host's open requests."""

    def list_open_requests(self) -> list[OpenRequest]:
        """Return the open requests."""


class OrderTasks:
    """Runs the order controller and its communication; its steps run on the event loop.

    Parameters
    ----------
    context : RouterContext
        Configuration, endpoints, demand and versions of the host.
    chats : OpenRequests
        Provides the open requests, which are the demand.
    orders : Orders
        The adapter to the engines.
    store : WeightStore, optional
        The weight store; if None, engines may load weights without permission.
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
        self._is_candidate = False
        self._is_publishing = False
        self._next_plan_at = -math.inf
        self._no_orders_until: dict[str, float] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._zone_summaries: dict[str, OrdersSummary] = {}
        self.controller = OrderController(random.Random(peers.me.name))
        self._log = component_logger("orders")

    def read_status(self) -> tuple[OrdersStatus, ...]:
        """Return the orders in progress in each zone, for the host status."""
        return tuple(
            OrdersStatus(
                zone,
                summary.revision.fence,
                summary.draining,
                summary.load_times_s,
                tuple(summary.unplaced),
            )
            for zone, summary in sorted(self._zone_summaries.items())
        )

    async def share_demand(self) -> None:
        """Measure the demand, apply the drains of all zones, and publish the demand."""
        now = self._clock()
        self._apply_orders()
        if not self._is_candidate and not self._zone_summaries:
            # No host sends orders, so that nobody needs the demand.
            return
        open_requests = self._chats.list_open_requests()
        self._context.demand.close_round(open_requests, now)
        summary = self._context.demand.summarize(now)
        summary.applied_revisions = {
            zone: zone_summary.revision
            for zone, zone_summary in self._zone_summaries.items()
            if zone_summary.draining
        }
        draining = {
            (engine, version)
            for published in self._zone_summaries.values()
            for engine, versions in published.draining.items()
            for version in versions
        }
        for request in open_requests:
            if (request.engine, str(request.version)) in draining:
                counts = summary.open_requests.setdefault(request.engine, {})
                counts[str(request.version)] = counts.get(str(request.version), 0) + 1
        self._peers.publish(DEMAND_TOPIC, encode_demand(summary))

    async def run_orders(self) -> None:
        """Plan and send orders, if this host holds the zone's lease."""
        if not self._is_candidate:
            await self._probe_engines()
        lease = self._leases.find(self._job)
        if lease is None or not self._context.configuration.document.versions:
            self.controller.reset()
            if self._is_publishing:
                self._publish_orders(OrdersSummary())
                self._is_publishing = False
            return
        await self._poll_engines()
        # Polling took time, and the lease may have expired meanwhile.
        lease = self._leases.find(self._job)
        is_due = self._clock() >= self._next_plan_at
        if lease and is_due and self.controller.has_polled(e.name for e in self._engines()):
            await self._plan_and_send(lease)

    def _engines(self) -> list[Endpoint]:
        """Return the engines of the own zone that may accept orders."""
        now = self._clock()
        return [
            e
            for e in self._context.endpoints.list_endpoints()
            if e.kind is HostKind.MODEL_ENGINE
            and e.zone == self._zone
            and not e.is_leaving
            and self._no_orders_until.get(e.name, 0.0) <= now
        ]

    async def _probe_engines(self) -> None:
        """Look for an engine that takes orders; the lease is only wanted if there is one."""
        await self._read_models_of(self._engines()[:MAX_PROBED_ENGINES])
        if self.controller.engines:
            self._is_candidate = True
            self._leases.campaign_for(self._job, zone=self._zone)

    async def _poll_engines(self) -> None:
        """Read the models of the engines that are due."""
        engines = {e.name: e for e in self._engines()}
        for name in set(self.controller.engines) - engines.keys():
            self.controller.forget(name)
        reported = {name: e.versions for name, e in engines.items()}
        due = self.controller.list_engines_to_poll(reported, self._clock())
        await self._read_models_of([engines[name] for name in due[:MAX_POLLED_ENGINES]])

    async def _read_models_of(self, engines: list[Endpoint]) -> None:
        await asyncio.gather(*(self._read_models(engine) for engine in engines))

    async def _read_models(self, engine: Endpoint) -> None:
        match await self._in_thread(self._orders.read_models, engine.address):
            case EngineModels() as models:
                self.controller.apply_models(engine.name, models, self._clock())
            case OrdersUnsupported():
                self._no_orders_until[engine.name] = self._clock() + NO_ORDERS_RETRY_INTERVAL_S
                self.controller.forget(engine.name)
            case _:
                self._metrics.count_event("engine_models_unread")
                self.controller.record_no_answer(engine.name, self._clock())

    async def _plan_and_send(self, lease: Lease) -> None:
        """Plan, publish the drains, and send the orders that are due."""
        engines = {e.name: e for e in self._engines()}
        gathered = self._demand_by_host()
        own_demand = sum_demand(list(gathered.values()))
        all_demand = [*gathered.values(), *self._demand_of_other_zones()]
        slots_by_engine = {name: e.capacity for name, e in engines.items()}
        now = self._clock()
        needs = self._list_needs(own_demand)
        actions = self.controller.decide(
            lease.fence, needs, slots_by_engine, all_demand, self._zone, now
        )
        self._next_plan_at = now + (self._clock() - now) / MAX_CORE_FRACTION
        self._publish_orders(self.controller.summarize())
        self._is_publishing = True
        send_tasks: list[Coroutine[Any, Any, None]] = []
        for action in actions:
            match action:
                case FetchWeights():
                    self._start_background(self._fetch_weights(action))
                case SendOrder(engine=name):
                    send_tasks.append(self._send(engines[name], action))
        await asyncio.gather(*send_tasks)

    async def _send(self, engine: Endpoint, action: SendOrder) -> None:
        # The lease is checked in the same step that sends the order. Otherwise a holder that
        # was suspended after its decision would send an order of an expired lease.
        lease = self._leases.find(self._job)
        if lease is None or lease.fence != action.order.fence:
            self._metrics.count_event("order_kept_back")
            return
        match await self._in_thread(self._orders.send, engine.address, action.order):
            case OrderAccepted():
                self._metrics.count_event("order_sent")
                self.controller.record_accepted_order(engine.name, action.order)
                self._log.info(
                    "Order sent.",
                    extra={"engine": engine.name, **msgspec.to_builtins(action.order)},
                )
            case OrderFenced():
                self._metrics.count_event("order_refused_fence")
                self._log.warning(
                    "An engine refused an order of an outdated lease.",
                    extra={"engine": engine.name},
                )
                await self._leases.run_round()
            case _:
                self._metrics.count_event("order_failed")

    async def _fetch_weights(self, action: FetchWeights) -> None:
        version = str(action.version)
        refusal = ""
        if self._store is not None:
            refusal = await self._in_thread(self._store.fetch, version, action.engine)
        self._metrics.count_event(f"weights_{refusal}" if refusal else "weights_handed_out")
        self.controller.record_weights_answer(action.engine, action.version, refusal, self._clock())

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _publish_orders(self, summary: OrdersSummary) -> None:
        self._peers.publish(ORDERS_TOPIC, msgspec.msgpack.encode(summary))

    def _apply_orders(self) -> None:
        """Apply the drains and the expected loads that all zones published."""
        gathered = self._peers.collect_summaries(ORDERS_TOPIC)
        own_summaries = [decode_orders(payload) for payload in gathered.own_zone.values()]
        summaries = {zone: decode_orders(payload) for zone, payload in gathered.other_zones.items()}
        summaries[self._zone] = max(
            own_summaries, key=lambda s: s.revision, default=OrdersSummary()
        )
        self._zone_summaries = {
            zone: s for zone, s in summaries.items() if s.revision != DrainRevision()
        }
        retired: dict[str, frozenset[VersionId]] = {}
        for summary in self._zone_summaries.values():
            for engine, versions in summary.draining.items():
                retired[engine] = frozenset(VersionId.parse(version) for version in versions)
        self._context.endpoints.set_retired_versions(retired)
        own_zone = self._zone_summaries.get(self._zone, OrdersSummary())
        # Capacity is freed after MIN_RESIDENCE_TIME_S at the earliest.
        waits = {**dict.fromkeys(own_zone.unplaced, MIN_RESIDENCE_TIME_S), **own_zone.load_times_s}
        self._context.expected_load_s = {
            VersionId.parse(v): seconds for v, seconds in waits.items()
        }

    def _demand_by_host(self) -> dict[str, DemandSummary]:
        """Return the demand of each live host of the own zone; a missing one applied no drains."""
        payloads = self._peers.collect_summaries(DEMAND_TOPIC).own_zone
        hosts = [peer.name for peer in self._peers.live() if peer.zone == self._zone]
        return {name: decode_demand(payloads.get(name, b"")) for name in hosts}

    def _demand_of_other_zones(self) -> list[DemandSummary]:
        """Return the demand of the other zones, except silent ones, which reach no engine here."""
        silent = {view.zone for view in self._peers.zones() if view.silent}
        payloads = self._peers.collect_summaries(DEMAND_TOPIC).other_zones
        return [decode_demand(p) for zone, p in payloads.items() if zone not in silent]

    def _list_needs(self, demand: DemandSummary) -> list[VersionNeed]:
        """Return the needs of the zone: every version that isn't withdrawn, with its demand."""
        configuration = self._context.configuration
        on_trial = {
            key.version
            for key, state in self._context.versions.rollouts.states.items()
            if not state.serves and not state.rejected
        }
        needs = []
        for version in configuration.document.versions:
            if not configuration.is_withdrawn(version):
                version_demand = demand.versions.get(hash_version(version), VersionDemand())
                is_on_trial = version in on_trial
                needs.append(
                    VersionNeed(
                        version,
                        version_demand.concurrent_requests,
                        version_demand.importance,
                        version_demand.has_sessions,
                        is_on_trial,
                    )
                )
        return needs
