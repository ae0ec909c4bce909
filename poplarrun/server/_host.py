"""An entry host's loop side: the parts, their tasks, and the messages they answer."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from poplarrun.claims import ClaimKeeper
from poplarrun.config import CONFIG_STREAM, Accepted, Configuration, Ignored, fold_entry
from poplarrun.endpoints import Endpoint, EndpointTable
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.hosts import Peers
from poplarrun.log import Gap, Log, ReadFailed, StreamReader, ThreadedLog
from poplarrun.logs import part_logger
from poplarrun.metrics import Metrics
from poplarrun.platform import (
    Engine,
    EngineFailed,
    HostKind,
    HostList,
    ListUnavailable,
    LoadReport,
    Ratings,
)
from poplarrun.router import (
    AttemptFailed,
    BeginChat,
    BeginOperation,
    CallFailed,
    ChatGrant,
    EndChat,
    EndOperation,
    FindOperation,
    FirstToken,
    Router,
    SendOperation,
)
from poplarrun.server._messages import (
    EndpointStatus,
    Explain,
    HostStatus,
    Leave,
    ListClasses,
    ReadMetrics,
    ReadReadiness,
    ReadStatus,
)
from poplarrun.server._peering import make_peers, publish_offset, read_zones
from poplarrun.server._version_tasks import VersionTasks
from poplarrun.settings import HostSettings
from poplarrun.versions import SessionKeeper, Versions

CONFIG_POLL_S = 0.25
HOST_LIST_POLL_S = 0.5
LOAD_POLL_S = 0.25
TEND_CLAIMS_S = 60.0
ROLLOUTS_POLL_S = 0.25
EVIDENCE_PERIOD_S = 1.0
RATINGS_POLL_S = 0.25
BLOCKING_THREADS = 32

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
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.peers = peers or make_peers(settings, self.metrics, clock)
        self.stopping = False
        self._clock = clock
        self._host_list = host_list
        self._engine = engine
        self._reader = StreamReader(log, CONFIG_STREAM)
        self._endpoints = EndpointTable(settings.zone, random.Random(settings.name))
        self._pool = ThreadPoolExecutor(BLOCKING_THREADS, thread_name_prefix="platform")
        self.claims = ClaimKeeper(self.peers, ThreadedLog(log, self._in_thread), clock, time.time)
        versions = Versions(self.peers.me, random.Random(settings.name))
        self.router = Router(self._endpoints, self.metrics, versions)
        self.router.operations.keeper = self.claims
        self.router.operations.peers = self.peers
        self.router.sessions.keeper = SessionKeeper(self.peers)
        self._version_tasks = VersionTasks(
            versions, self.peers, log, ratings, self.metrics, self._in_thread, clock
        )
        self._list_seen = False
        self._log_answered_at = clock()
        self._log = part_logger("host")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers may come: a configuration is in force and endpoints are known."""
        has_configuration = self.router.context.configuration.offset >= 0
        return has_configuration and self._list_seen and not self.stopping

    def start_tasks(self) -> None:
        """Start the parts' tasks; called on the loop."""
        self.peers.start()
        for step, period_s in (
            (self._follow_config, CONFIG_POLL_S),
            (self._follow_host_list, HOST_LIST_POLL_S),
            (self._poll_loads, LOAD_POLL_S),
            (self.claims.tend, TEND_CLAIMS_S),
            (self._version_tasks.follow_rollouts, ROLLOUTS_POLL_S),
            (self._version_tasks.exchange_evidence, EVIDENCE_PERIOD_S),
            (self._version_tasks.run_steward, ROLLOUTS_POLL_S),
            (self._version_tasks.rate_answers, RATINGS_POLL_S),
        ):
            self._tasks.append(asyncio.get_running_loop().create_task(self._repeat(step, period_s)))

    def handle(self, message: object) -> Any:
        """Answer one message; the only entry for other threads."""
        now = self._clock()
        match message:
            case BeginChat() | BeginOperation() if not self.is_ready:
                return self._refuse_unready()
            case BeginChat(session=None, session_token=None):
                return self.router.chats.begin(message, now)
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
                return self.router.chats.note_first_token(message, now)
            case EndChat():
                return self.router.chats.end(message, now)
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
                return self.is_ready
            case Leave():
                return self.peers.leave()
        raise TypeError(f"no handler for {type(message).__name__}")

    async def _repeat(self, step: Callable[[], Coroutine[Any, Any, None]], period_s: float) -> None:
        """Run a task's step for ever; one failure must not end the task.

        A task that died silently would leave this host routing on what it
        knew at that moment, with nothing to show for it but old figures.
        """
        while True:
            try:
                await step()
            except Exception:
                self.metrics.count_event("task_failed")
                self._log.log(logging.ERROR, "A task failed.", exc_info=True)
            await asyncio.sleep(period_s)

    async def _in_thread(self, call: Callable[..., T], *arguments: Any) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._pool, call, *arguments)

    async def _follow_config(self) -> None:
        match await self._in_thread(self._reader.read_new):
            case ReadFailed(reason=reason):
                self.metrics.count_event("log_read_failed")
                self._log.warning("The log did not answer.", extra={"reason": reason})
            case Gap() as gap:
                self.metrics.count_event("log_gap")
                self._reader.next_offset = gap.horizon
            case entries:
                self._log_answered_at = self._clock()
                for entry in entries:
                    self._fold(entry)
                publish_offset(self.peers, self.router.context.configuration.offset)

    def _fold(self, entry: Any) -> None:
        state, verdict = fold_entry(self.router.context.configuration, entry)
        self.router.context.configuration = state
        self.router.context.versions.apply_configuration(state)
        match verdict:
            case Accepted(offset=offset):
                self._log.info("Configuration in force.", extra={"offset": offset})
            case Ignored(reason=reason):
                self._log.info("Record ignored.", extra={"reason": reason})
            case _:
                self._log.info("Publication refused.", extra={"verdict": type(verdict).__name__})

    async def _follow_host_list(self) -> None:
        match await self._in_thread(self._host_list.read):
            case ListUnavailable():
                self.metrics.count_event("host_list_failed")
            case listed:
                self._endpoints.apply_list(listed, self._clock())
                self._list_seen = True

    async def _poll_loads(self) -> None:
        engines = [e for e in self._endpoints.all() if e.kind is HostKind.MODEL_ENGINE]
        await asyncio.gather(*(self._poll_load(engine) for engine in engines))

    async def _poll_load(self, endpoint: Endpoint) -> None:
        match await self._in_thread(self._engine.report_load, endpoint.address):
            case LoadReport() as report:
                self._endpoints.apply_report(endpoint.name, report, self._clock())
            case EngineFailed():
                self.metrics.count_event("load_report_failed")
                self._endpoints.note_failure(endpoint.name, self._clock())

    async def _begin_in_session(self, message: BeginChat) -> ChatGrant | Refusal:
        request = await self.router.sessions.pin(message)
        if isinstance(request, Refusal):
            return request
        return self.router.chats.begin(request, self._clock())

    def _refuse_unready(self) -> Refusal:
        kind = ErrorKind.STOPPING if self.stopping else ErrorKind.NOT_READY
        self.metrics.count_refusal(kind)
        return Refusal(kind, "this host takes no requests now; try another")

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
            ready=self.is_ready,
            offset=configuration.offset,
            log_age_s=round(now - self._log_answered_at, 3),
            open_requests=self.router.open_requests,
            endpoints=tuple(_endpoint_status(e, now) for e in self._endpoints.all()),
            withdrawn=tuple(sorted(configuration.withdrawn)),
            refusals=dict(self.metrics.refusal_counts),
            zones=read_zones(self.peers),
        )


def _endpoint_status(endpoint: Endpoint, now: float) -> EndpointStatus:
    if endpoint.leaving:
        state = "leaving"
    elif endpoint.paused_until > now:
        state = "cut off"
    else:
        state = "live"
    versions = tuple(sorted(str(version) for version in endpoint.versions))
    load = round(endpoint.load(), 3)
    return EndpointStatus(endpoint.name, endpoint.zone, endpoint.kind.value, state, load, versions)
