"""The event-loop side of an entry host: its parts, periodic tasks and message handlers."""

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

HOST_LIST_POLL_INTERVAL_S = 0.5
LOAD_POLL_INTERVAL_S = 0.25
LOAD_SHARE_INTERVAL_S = 0.5
CACHE_EVENTS_POLL_INTERVAL_S = 0.5
# Fraction of the worker threads that queued requests may occupy. The rest must stay free for
# streams, and for requests that are refused at once.
MAX_QUEUED_THREAD_FRACTION = 0.25
CLAIM_SNAPSHOTS_INTERVAL_S = 60.0
LEASES_INTERVAL_S = 0.5
BILLS_INTERVAL_S = 1.0
BILL_SNAPSHOTS_INTERVAL_S = 10.0
ROLLOUT_CONTROLLER_INTERVAL_S = 0.25
EVIDENCE_INTERVAL_S = 1.0
RATINGS_INTERVAL_S = 0.25
ORDERS_INTERVAL_S = 1.0
BLOCKING_THREADS = 32
HAND_OVER_TIMEOUT_S = 5.0

T = TypeVar("T")


class EntryHost:
    """The parts of a host that run on the event loop.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    log, host_list, engine
        Adapters to the platform; their blocking calls run on a thread pool.
    clock : callable
        Monotonic clock, in seconds.
    peers : Peers, optional
        The other hosts; by default created from the settings.
    ratings : Ratings, optional
        The rating service.
    orders, weights : Orders and WeightStore, optional
        Adapters to send orders to engines, by default over HTTP, and to the weight store.
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
        self._queued_chats = QueuedChats()
        self._thread_pool = ThreadPoolExecutor(BLOCKING_THREADS, thread_name_prefix="platform")
        self._endpoint_tasks = EndpointTasks(
            self._endpoints, self.peers, host_list, engine, self.metrics, self._in_thread, clock
        )
        threaded_log = ThreadedLog(log, self._in_thread)
        count_event = self.metrics.count_event
        self.claims = ClaimManager(self.peers, threaded_log, clock, time.time, count_event)
        self.billing = BillReplicator(self.peers, threaded_log, clock, time.time, count_event)
        self._bill_snapshots = BillSnapshots(
            self.peers, threaded_log, clock, time.time, count_event
        )
        bias = settings.platform.ratings_bias
        versions = VersionManager(self.peers.me, random.Random(settings.name), bias)
        self.leases = LeaseManager(
            threaded_log,
            self.peers,
            self.metrics,
            random.Random(settings.name),
            clock,
        )
        queue_bound = max(1, int(settings.limits.threads * MAX_QUEUED_THREAD_FRACTION))
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
            self._apply_config,
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
        """Start the periodic tasks; called on the event loop."""
        self.peers.start()
        for step, interval_s in (
            (self._endpoint_tasks.update_host_list, HOST_LIST_POLL_INTERVAL_S),
            (self._endpoint_tasks.poll_loads, LOAD_POLL_INTERVAL_S),
            (self._endpoint_tasks.share_loads, LOAD_SHARE_INTERVAL_S),
            (self._endpoint_tasks.poll_cache_events, CACHE_EVENTS_POLL_INTERVAL_S),
            (self._share_limits, ROUND_INTERVAL_S),
            (self.claims.write_due_snapshots, CLAIM_SNAPSHOTS_INTERVAL_S),
            (self.leases.run_round, LEASES_INTERVAL_S),
            (self.billing.run_round, BILLS_INTERVAL_S),
            (self._bill_snapshots.write_due_snapshots, BILL_SNAPSHOTS_INTERVAL_S),
            (self._version_tasks.exchange_evidence, EVIDENCE_INTERVAL_S),
            (self._version_tasks.run_rollout_controller, ROLLOUT_CONTROLLER_INTERVAL_S),
            (self._version_tasks.rate_answers, RATINGS_INTERVAL_S),
            (self._order_tasks.share_demand, ORDERS_INTERVAL_S),
            (self._order_tasks.run_orders, ORDERS_INTERVAL_S),
        ):
            self._tasks.run_periodically(step, partial(asyncio.sleep, interval_s))
        self._tasks.run_periodically(self._follow_config, self.config.wait)
        self._tasks.run_periodically(self._version_tasks.follow_rollouts, self._version_tasks.wait)
        self._tasks.run_periodically(self._release_queued, self._queued_chats.wait)

    def handle(self, message: object) -> Any:
        """Answer one message; the only entry point for other threads.

        Bills that the message created are replicated before the answer is returned, so that a
        caller that got its whole answer is billed even if this host dies afterwards.
        """
        answer = self._handle_message(message)
        self._pass_bills_to_billing()
        self._borrow_limits()
        bills, self.router.context.bills = self.router.context.bills, []
        return self._answer_after_replication(bills, answer) if bills else answer

    def _borrow_limits(self) -> None:
        for account in self.router.context.limited_accounts:
            shortfall = self._limits.compute_shortfall(account)
            if shortfall is not None:
                self._tasks.spawn(self._limits.borrow(shortfall))
        self.router.context.limited_accounts.clear()

    def _pass_bills_to_billing(self) -> None:
        context = self.router.context
        for bill in context.opened_bills:
            self.billing.open_bill(bill)
        for bill_id in context.closed_bill_ids:
            self.billing.cancel_bill(bill_id)
        context.opened_bills, context.closed_bill_ids = [], []

    async def _answer_after_replication(self, bills: list[Bill], answer: Any) -> Any:
        await asyncio.gather(*(self.billing.replicate(bill) for bill in bills))
        return answer

    def _handle_message(self, message: object) -> Any:
        now = self._clock()
        match message:
            case BeginChat() | BeginOperation() if refusal := self.readiness.check_request():
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
                self._resolve_released()
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
        queued_result = self._queued_chats.add(message.request_id)
        # The request may have evicted a less important one, which is refused now.
        self._resolve_released()
        return queued_result

    async def _begin_in_session(self, message: BeginChat) -> Any:
        request = await self.router.sessions.pin(message)
        if isinstance(request, Refusal):
            return request
        # The host may have started its stop meanwhile, which doesn't wait for a request
        # that hasn't started.
        refusal = self.readiness.check_request()
        if refusal is not None:
            return refusal
        answer = self._begin_chat(request, self._clock())
        return await answer if asyncio.iscoroutine(answer) else answer

    def _resolve_released(self) -> None:
        self._queued_chats.resolve(self.router.chats.release_queued(self._clock()))

    async def _release_queued(self) -> None:
        if len(self._queued_chats):
            self._resolve_released()
            self._pass_bills_to_billing()

    async def hand_leases_over(self) -> None:
        """Release all leases of this host."""
        await self.leases.release_all()

    async def hand_limits_over(self) -> None:
        """Hand this host's shares of the account limits to another host of its zone."""
        await self._limits.hand_over()

    async def settle_outcomes(self) -> None:
        """Append the remaining outcomes and bills to the log; peers append what is left."""
        await asyncio.gather(self.claims.drain(), self.billing.drain())

    async def _leave(self) -> None:
        """Hand over the host's duties, each with a timeout, and then leave the other hosts."""
        for hand_over in self.on_leave:
            try:
                await asyncio.wait_for(hand_over(), HAND_OVER_TIMEOUT_S)
            except TimeoutError:
                self.metrics.count_event("hand_over_timed_out")
                self._log.warning(
                    "A hand-over to other hosts timed out.", extra={"part": hand_over.__name__}
                )
        await self.peers.leave()

    async def _in_thread(self, call: Callable[..., T], *arguments: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._thread_pool, call, *arguments)

    async def _follow_config(self) -> None:
        await self.config.follow()
        publish_offset(self.peers, self.config.state.offset)

    def _apply_config(self, state: Configuration, verdict: Verdict) -> None:
        """Apply a new state of the configuration, and log the verdict on its record."""
        self.router.context.configuration = state
        self.router.context.versions.apply_configuration(state)
        match verdict:
            case Accepted(offset=offset):
                self._log.info("Configuration in force.", extra={"offset": offset})
            case Refused(reason=reason):
                self.metrics.count_event("config_record_unsigned")
                self._log.warning("A configuration record was refused.", extra={"reason": reason})
            case Ignored(reason=reason):
                self._log.info("A configuration record was ignored.", extra={"reason": reason})
            case _:
                self._log.info(
                    "A configuration publication was refused.",
                    extra={"verdict": type(verdict).__name__},
                )

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
