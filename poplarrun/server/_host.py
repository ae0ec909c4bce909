"""An entry host's loop side: the parts, their tasks, and the messages they answer."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, TypeVar

from poplarrun.admission import Queued
from poplarrun.billing import Bill, BillReplicator, BillSnapshots
from poplarrun.claims import ClaimManager
from poplarrun.clients import Engine, HostList, HttpOrders, Orders, Ratings, WeightStore
from poplarrun.config import Accepted, ConfigFollower, Configuration, Ignored, Refused, Verdict
from poplarrun.endpoints import EndpointTable
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.hosts import Peers
from poplarrun.leases import LeaseManager
from poplarrun.limits import ROUND_INTERVAL_S, AccountLimits
from poplarrun.log import Log, ThreadedLog
from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics
from poplarrun.router import (
    AttemptFailed,
    BeginChat,
    BeginOperation,
    CallFailed,
    EndChat,
    EndOperation,
    FindOperation,
    FirstToken,
    JudgeChat,
    Router,
    SendOperation,
)
from poplarrun.server._endpoint_tasks import EndpointTasks
from poplarrun.server._messages import (
    Explain,
    HostStatus,
    Leave,
    ListClasses,
    ReadMetrics,
    ReadReadiness,
    ReadStatus,
)
from poplarrun.server._order_tasks import OrderTasks
from poplarrun.server._peering import keys_of, make_peers, publish_offset, read_zones, sign_log
from poplarrun.server._queued_chats import QueuedChats
from poplarrun.server._readiness import Readiness
from poplarrun.server._status import read_endpoint
from poplarrun.server._tasks import Tasks
from poplarrun.server._version_tasks import VersionTasks
from poplarrun.settings import HostSettings
from poplarrun.versions import SessionRegistry, VersionManager

HOST_LIST_POLL_S = 0.5
LOAD_POLL_S = 0.25
LOAD_SHARE_S = 0.5
EVENTS_POLL_S = 0.5
# Of the threads that carry bytes, those that may be held by waiting requests:
# the rest must stay free for streams, and for refusals that cost no waiting.
QUEUED_SHARE_OF_THREADS = 0.25
TEND_CLAIMS_S = 60.0
TEND_LEASES_S = 0.5
TEND_BILLS_S = 1.0
TEND_BILL_SNAPSHOTS_S = 10.0
STEWARD_PERIOD_S = 0.25
EVIDENCE_PERIOD_S = 1.0
RATINGS_POLL_S = 0.25
ORDERS_PERIOD_S = 1.0
BLOCKING_THREADS = 32
HAND_OVER_BOUND_S = 5.0

T = TypeVar("T")


class EntryHost:
    """Everything of a host that lives on the loop.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    log, host_list, engine
        Adapters to the platform; their blocking calls run on a thread pool.
    clock : callable
        Seconds, monotonic.
    peers : Peers, optional
        The other hosts; made from the settings when left out.
    ratings : Ratings, optional
        The rating service.
    orders, weights : Orders and WeightStore, optional
        The way of orders to engines; over HTTP and without a store when left out.
    """

    def __init__(
        self,
        settings: HostSettings,
        log: Log,
        host_list: HostList,
        engine: Engine,
        clock: Callable[[], float] = time.monotonic,
        peers: Peers | None = None,
        ratings: Ratings | None = None,
        orders: Orders | None = None,
        weights: WeightStore | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.peers = peers or make_peers(settings, self.metrics, clock)
        log = sign_log(log, settings, self.metrics)
        self.on_leave: list[Callable[[], Awaitable[None]]] = [
            self.settle_outcomes,
            self.hand_leases_over,
            self.hand_limits_over,
        ]
        self._clock = clock
        self._endpoints = EndpointTable(settings.zone, random.Random(settings.name))
        self._limits = AccountLimits(self.peers)
        self._held = QueuedChats()
        self._pool = ThreadPoolExecutor(BLOCKING_THREADS, thread_name_prefix="platform")
        self._endpoint_tasks = EndpointTasks(
            self._endpoints, self.peers, host_list, engine, self.metrics, self._in_thread, clock
        )
        awaited_log = ThreadedLog(log, self._in_thread)
        count = self.metrics.count_event
        self.claims = ClaimManager(self.peers, awaited_log, clock, time.time, count)
        self.billing = BillReplicator(self.peers, awaited_log, clock, time.time, count)
        self._bill_snapshots = BillSnapshots(self.peers, awaited_log, clock, time.time, count)
        bias = settings.platform.ratings_bias
        versions = VersionManager(self.peers.me, random.Random(settings.name), bias)
        self.leases = LeaseManager(
            awaited_log,
            self.peers,
            self.metrics,
            random.Random(settings.name),
            clock,
        )
        queue_bound = max(1, int(settings.limits.threads * QUEUED_SHARE_OF_THREADS))
        self.router = Router(self._endpoints, self.metrics, versions, queue_bound)
        self.router.context.limits = self._limits
        self.router.operations.claims = self.claims
        self.router.operations.peers = self.peers
        self.router.sessions.sessions = SessionRegistry(self.peers)
        self._version_tasks = VersionTasks(
            versions,
            self.peers,
            log,
            ratings,
            self.metrics,
            self._in_thread,
            clock,
            keys_of(settings),
        )
        self._order_tasks = OrderTasks(
            self.router.context,
            self.router.chats,
            self.peers,
            self.leases,
            orders or HttpOrders(),
            weights,
            self.metrics,
            self._in_thread,
            clock,
        )
        self.config = ConfigFollower(
            log,
            self.peers,
            self.metrics,
            self._in_thread,
            self._note_config,
            random.Random(settings.name),
            clock,
            keys=keys_of(settings),
        )
        self._version_tasks.on_withdrawal = self.config.poll.wake
        self._log = component_logger("host")
        self._tasks = Tasks(self.metrics)
        self.readiness = Readiness(
            settings.limits.threads,
            self.router,
            self._endpoint_tasks,
            self._version_tasks,
            self.billing,
            self._limits,
            has_peers=bool(settings.seeds),
        )

    def start_tasks(self) -> None:
        """Start the parts' tasks; called on the loop."""
        self.peers.start()
        for step, period_s in (
            (self._endpoint_tasks.follow_host_list, HOST_LIST_POLL_S),
            (self._endpoint_tasks.poll_loads, LOAD_POLL_S),
            (self._endpoint_tasks.share_loads, LOAD_SHARE_S),
            (self._endpoint_tasks.poll_cache_events, EVENTS_POLL_S),
            (self._share_limits, ROUND_INTERVAL_S),
            (self.claims.write_due_snapshots, TEND_CLAIMS_S),
            (self.leases.run_round, TEND_LEASES_S),
            (self.billing.run_round, TEND_BILLS_S),
            (self._bill_snapshots.write_due_snapshots, TEND_BILL_SNAPSHOTS_S),
            (self._version_tasks.exchange_evidence, EVIDENCE_PERIOD_S),
            (self._version_tasks.run_steward, STEWARD_PERIOD_S),
            (self._version_tasks.rate_answers, RATINGS_POLL_S),
            (self._order_tasks.share_demand, ORDERS_PERIOD_S),
            (self._order_tasks.run_orders, ORDERS_PERIOD_S),
        ):
            self._tasks.repeat(step, partial(asyncio.sleep, period_s))
        self._tasks.repeat(self._follow_config, self.config.wait)
        self._tasks.repeat(self._version_tasks.follow_rollouts, self._version_tasks.wait)
        self._tasks.repeat(self._release_held, self._held.wait)

    def handle(self, message: object) -> Any:
        """Answer one message; the only entry for other threads.

        The bills that it made outlive this host before the answer goes out:
        a caller that has its whole answer is billed, whatever dies then.
        """
        answer = self._answer(message)
        self._hand_entries_on()
        self._borrow_limits()
        bills, self.router.context.bills = self.router.context.bills, []
        return self._keep_bills(bills, answer) if bills else answer

    def _borrow_limits(self) -> None:
        for account in self.router.context.limited_accounts:
            wanted = self._limits.compute_shortfall(account)
            if wanted is not None:
                self._tasks.spawn(self._limits.borrow(wanted))
        self.router.context.limited_accounts.clear()

    def _hand_entries_on(self) -> None:
        context = self.router.context
        for bill in context.opened_bills:
            self.billing.open_bill(bill)
        for bill_id in context.closed_bill_ids:
            self.billing.cancel_bill(bill_id)
        context.opened_bills, context.closed_bill_ids = [], []

    async def _keep_bills(self, bills: list[Bill], answer: Any) -> Any:
        await asyncio.gather(*(self.billing.replicate(bill) for bill in bills))
        return answer

    def _answer(self, message: object) -> Any:
        now = self._clock()
        match message:
            case BeginChat() | BeginOperation() if refusal := self.readiness.refuse():
                return refusal
            case BeginChat(session=None, session_token=None):
                return self._begin_chat(message, now)
            case BeginChat():
                return self._begin_in_session(message)
            case BeginOperation():
                return self.router.operations.begin(message)
            case SendOperation():
                return self.router.operations.send(message)
            case FindOperation():
                return self.router.operations.find(message)
            case AttemptFailed():
                return self.router.chats.retry(message, now)
            case CallFailed():
                return self.router.operations.retry(message)
            case FirstToken():
                return self.router.chats.record_first_token(message, now)
            case JudgeChat():
                return self.router.chats.judge(message, now)
            case EndChat():
                bill = self.router.chats.end(message, now)
                self._answer_held()
                return bill
            case EndOperation():
                return self.router.operations.end(message)
            case Refusal():
                return self.metrics.count_refusal(message.kind)
            case ListClasses():
                return self._list_classes(message)
            case Explain():
                return self.router.context.explanations.find(message.request_id)
            case ReadStatus():
                return self._read_status(now)
            case ReadMetrics():
                return self.metrics.render()
            case ReadReadiness():
                return self.readiness.list_missing()
            case Leave():
                return self._leave()
        raise TypeError(f"no handler for {type(message).__name__}")

    def _begin_chat(self, message: BeginChat, now: float) -> Any:
        answer = self.router.chats.begin(message, now)
        if not isinstance(answer, Queued):
            return answer
        started = self._held.add(message.request_id)
        # It may have taken the place of a less important one, which hears now.
        self._answer_held()
        return started

    async def _begin_in_session(self, message: BeginChat) -> Any:
        request = await self.router.sessions.pin(message)
        if isinstance(request, Refusal):
            return request
        # The host may have begun its stop meanwhile, and does not wait for a
        # request that has not begun.
        refusal = self.readiness.refuse()
        if refusal is not None:
            return refusal
        answer = self._begin_chat(request, self._clock())
        return await answer if asyncio.iscoroutine(answer) else answer

    def _answer_held(self) -> None:
        self._held.resolve(self.router.chats.release_queued(self._clock()))

    async def _release_held(self) -> None:
        if len(self._held):
            self._answer_held()
            self._hand_entries_on()

    async def hand_leases_over(self) -> None:
        """Hand the jobs of this host over."""
        await self.leases.release_all()

    async def hand_limits_over(self) -> None:
        """Give this host's parts of the account limits to another host of its zone."""
        await self._limits.hand_over()

    async def settle_outcomes(self) -> None:
        """Put the outcomes and bills that are left into the log; peers finish the rest."""
        await asyncio.gather(self.claims.drain(), self.billing.drain())

    async def _leave(self) -> None:
        """Hand over what this host keeps, each part within a bound, then leave the others."""
        for hand_over in self.on_leave:
            try:
                await asyncio.wait_for(hand_over(), HAND_OVER_BOUND_S)
            except TimeoutError:
                self.metrics.count_event("hand_over_timed_out")
                self._log.warning("Not handed over.", extra={"part": hand_over.__name__})
        await self.peers.leave()

    async def _in_thread(self, call: Callable[..., T], *arguments: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._pool, call, *arguments)

    async def _follow_config(self) -> None:
        await self.config.follow()
        publish_offset(self.peers, self.config.state.offset)

    def _note_config(self, state: Configuration, verdict: Verdict) -> None:
        """Put a new state of the configuration in force."""
        self.router.context.configuration = state
        self.router.context.versions.apply_configuration(state)
        match verdict:
            case Accepted(offset=offset):
                self._log.info("Configuration in force.", extra={"offset": offset})
            case Refused(reason=reason):
                self.metrics.count_event("config_record_unsigned")
                self._log.warning("Record refused.", extra={"reason": reason})
            case Ignored(reason=reason):
                self._log.info("Record ignored.", extra={"reason": reason})
            case _:
                self._log.info("Publication refused.", extra={"verdict": type(verdict).__name__})

    async def _share_limits(self) -> None:
        accounts = self.router.context.configuration.document.accounts.values()
        if self.router.context.configuration.offset >= 0:
            await self._limits.request_initial_shares(accounts)
        self._limits.close_round(accounts, self._clock(), time.time())

    def _list_classes(self, message: ListClasses) -> list[str] | Refusal:
        document = self.router.context.configuration.document
        account = document.account_for_key(message.api_key)
        if account is None:
            self.metrics.count_refusal(ErrorKind.UNAUTHENTICATED)
            return Refusal(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        return [name for name in document.classes if account.allows_class(name)]

    def _read_status(self, now: float) -> HostStatus:
        configuration: Configuration = self.router.context.configuration
        return HostStatus(
            host=self.settings.name,
            zone=self.settings.zone,
            region=self.settings.region,
            ready=self.readiness.is_ready,
            offset=configuration.offset,
            log_age_s=round(now - self.config.log_read_at, 3),
            open_requests=self.router.open_requests,
            endpoints=tuple(read_endpoint(e, now) for e in self._endpoints.list_endpoints()),
            withdrawn=tuple(sorted(configuration.withdrawn)),
            refusals=dict(self.metrics.refusal_counts),
            zones=read_zones(self.peers, self._endpoint_tasks.entry_hosts),
            peer_bytes_sent=self.peers.bytes_sent,
            peer_bytes_received=self.peers.bytes_received,
            rollouts=self._version_tasks.read_rollouts(),
            bills_held=self.billing.size,
            bills_waiting=self.billing.unlogged_count,
            outcomes_waiting=self.claims.unsettled_count,
            orders=self._order_tasks.read_status(),
        )
