"""A gateway host: its components, their tasks, and the planned stop."""

import asyncio
import math
import random
import signal
import traceback
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from poplarrun.crashes import EndpointStart
from poplarrun.dispatch import ConfigView, Dispatcher
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.gateway._answer_room import AnswerRoom
from poplarrun.gateway._capacity import compute_capacity
from poplarrun.gateway._connector import EndpointConnector
from poplarrun.gateway._copy_sender import CopySender
from poplarrun.gateway._crash_probe import CrashProbe
from poplarrun.gateway._document_follower import DocumentFollower
from poplarrun.gateway._explanations import WHERE_PATH, answer_where
from poplarrun.gateway._forwarder import RequestForwarder, respond_refusal
from poplarrun.gateway._listing_check import ListingCheck
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.gateway._load_tester import LoadTester
from poplarrun.gateway._peering import Peering
from poplarrun.gateway._reading import SharedReader
from poplarrun.gateway._records import RequestRecorder
from poplarrun.gateway._relay_desk import RelayDesk
from poplarrun.gateway._rollout_controller import RolloutController
from poplarrun.links import NngLinks
from poplarrun.logging import NonBlockingHandler, events, write_event
from poplarrun.metrics import Metrics
from poplarrun.peers import DOCUMENTS, ENDPOINTS, PeerTable, ReadTimeouts
from poplarrun.placement import EndpointDirectory, Placement
from poplarrun.platform import (
    BadRequest,
    InvalidSettings,
    NodeSettings,
    StoreClient,
    decode_request,
    load_node_settings,
)
from poplarrun.relays import RelayServer
from poplarrun.rollouts import Rollouts
from poplarrun.routing import InFlightRequest, Request
from poplarrun.shares import Budget, RateBounds
from poplarrun.sizes import SizePolicy
from poplarrun.transport import (
    CallerConnection,
    CallerServer,
    ConnectionPool,
    RequestHead,
    ServerBounds,
    seconds_since_boot,
)

# Fraction of the operators' bound on retries that is used.
RETRY_FRACTION = 0.9
# For this long a stopping host accepts new connections: the load balancer checks readiness once a
# second, and removes a host after two failed checks.
BALANCER_GRACE_S = 2.6
# Margin before the platform kills a stopping host.
STOP_MARGIN_S = 0.7
# Time in which errors in place of incomplete answers are sent before a stopping host ends.
STOP_ANSWERS_S = 0.2
# Time in which the sessions that a stopping host hands over at its end are sent.
HANDOVER_SENDING_S = 0.1
HOUSEKEEPING_INTERVAL_S = 1.0
# Size of one body at the addresses of readiness checks and of metrics, which get planned requests
# too, and of all bodies at each.
MAX_OBSERVER_BODY_BYTES = 1024 * 1024
OBSERVER_BODY_ROOM_BYTES = 2 * 1024 * 1024
STOP_POLL_INTERVAL_S = 0.05


def _warm_up_bounds(settings: NodeSettings) -> RateBounds:
    return RateBounds(
        rate_factor=settings.warm_up_rate_factor, allowance=settings.warm_up_allowance
    )


def _retry_allowance(settings: NodeSettings) -> Budget:
    total = int(RETRY_FRACTION * settings.retry_allowance)
    return Budget(total, int(settings.retry_allowance), settings.retry_window_s)


class GatewayHost:
    """A host that forwards callers' requests and follows the store.

    Parameters
    ----------
    path : Path
        The settings file, which is reloaded on a signal and when it changes.
    """

    def __init__(self, path: Path, settings: NodeSettings, handler: NonBlockingHandler) -> None:
        self._path = path
        self._handler = handler
        self.settings = settings
        self.metrics = Metrics()
        self.metrics.attach_line_counts(handler.line_counts)
        self._store = StoreClient(settings.store_address, self._record_call)
        self._config_view = ConfigView(settings.revocation_limit_s)
        self._directory = EndpointDirectory()
        self._placement = Placement(settings.zone, random.Random())
        self._placement.warm_up_bounds = _warm_up_bounds(settings)
        self._rollouts = Rollouts(
            settings.session_timeout_s,
            settings.max_exposure_fraction,
            settings.exposure_allowance,
            self._placement.find_slots,
        )
        self._dispatcher = Dispatcher(
            self._config_view,
            self._placement,
            self._rollouts,
            SizePolicy(),
            RETRY_FRACTION * settings.retry_ratio,
            _retry_allowance(settings),
        )
        self._pool = ConnectionPool()
        self._recorder = RequestRecorder(self.metrics)
        self._callers = CallerServer(self._serve, self._report_crash)
        self._capacity = compute_capacity(settings.memory_mb, settings.max_sockets)
        # Two servers, so that scrapes take no connection of readiness checks.
        self._readiness_server = self._make_observer_server()
        self._metrics_server = self._make_observer_server()
        self._answer_room = AnswerRoom(self._capacity.answer_bytes)
        self._answer_room.free_unsent = self._callers.free_unsent
        self._callers.count_unsent = self._answer_room.change_unsent
        self._callers.may_keep_unsent = self._answer_room.may_keep_unsent
        self._callers.on_slow_ended = lambda: self.metrics.count_event("slow_caller_ended")
        self._callers.on_body_rejected = lambda: self.metrics.count_event("body_without_room")
        self._callers.max_connections = self._capacity.max_caller_connections
        self._callers.max_body_bytes = self._capacity.body_bytes
        self._callers.may_accept = self._may_accept
        self.metrics.attach_buffered_bytes(self._measure_buffers)
        peer_table = PeerTable(settings.peer_address, settings.zone)
        relay_port = int(settings.relay_address.rpartition(":")[2])
        self._connector = EndpointConnector(
            self._pool, self._placement, peer_table, relay_port, self.metrics
        )
        self._dispatcher.crash_guard.watch.is_leaving = self._is_leaving
        self._crash_probe = CrashProbe(
            self._dispatcher.crash_guard, self._pool, self._placement, self.metrics
        )
        self._relay_desk = RelayDesk(
            self._placement,
            peer_table,
            self.metrics,
            lambda: self._open_count,
            lambda: self._relays.open_relays,
        )
        self._relay_desk.max_requests = self._capacity.max_open_requests
        self._relay_desk.on_closed = self._crash_probe.start
        self._relays = RelayServer(
            self._relay_desk,
            self._report_crash,
        )
        timeouts = ReadTimeouts.for_bound(settings.change_propagation_s)
        self._documents = DocumentFollower(
            self._store,
            self._config_view,
            self._rollouts,
            self._apply_limits,
            SharedReader(DOCUMENTS, peer_table, timeouts),
            self._placement,
        )
        self._listings = ListingFollower(
            self._store,
            self._directory,
            self._placement,
            SharedReader(ENDPOINTS, peer_table, timeouts),
        )
        self._listing_check = ListingCheck(self._listings, self.metrics)
        self._recorder.describe_listing = self._listings.describe
        self._peering = Peering(
            peer_table,
            NngLinks(settings.peer_address),
            self._store,
            self._config_view,
            self._documents,
            self._listings,
            self._directory,
            self._placement,
            self._rollouts,
            self._dispatcher.reachability,
            self._dispatcher.crash_guard.watch,
        )
        self.metrics.attach_peer_bytes(self._peering.sender.bytes_by_kind)
        self._dispatcher.on_prompt_sent = self._peering.publish_load
        self._peering.offers.may_answer = lambda: self.is_ready
        self._rollout_controller = RolloutController(
            self._store,
            self._rollouts,
            self._peering.job_rank,
            self._dispatcher.evidence.record_open,
        )
        self._load_tester = LoadTester(
            self._dispatcher,
            self._rollouts,
            self._peering,
            CopySender(
                self._dispatcher,
                self._connector,
                self._recorder,
                self.metrics,
                self._crash_probe,
            ).send,
            self._report_crash,
        )
        self._open_count = 0
        self._forwarders: set[RequestForwarder] = set()
        self._answers_until = math.inf
        self._refuses_new = False
        self._was_ready = False
        self._stop_requested = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def _make_observer_server(self) -> CallerServer:
        server = CallerServer(self._serve_observer, self._report_crash)
        server.bounds = ServerBounds(body_bytes=MAX_OBSERVER_BODY_BYTES)
        server.max_body_bytes = OBSERVER_BODY_ROOM_BYTES
        server.max_connections = self._capacity.max_observer_connections
        server.prefers_new = True
        return server

    @property
    def is_ready(self) -> bool:
        """Whether callers may come: the host has the state that it needs, and is not stopping."""
        is_known = self._config_view.catalogue is not None and self._listings.is_usable
        is_informed = self._peering.is_informed(seconds_since_boot())
        return is_known and is_informed and not self._stop_requested.is_set()

    async def run(self) -> None:
        """Serve until the platform asks the host to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._start_task(self._documents.run())
        self._start_task(self._listings.run())
        self._start_task(self._rollout_controller.run())
        self._start_task(self._load_tester.run())
        self._start_task(self._peering.run(self.settings.seeds))
        self._start_task(self._peering.keep_registered())
        self._start_task(self._run_housekeeping())
        await self._callers.listen(self.settings.caller_address)
        await self._readiness_server.listen(self.settings.readiness_address)
        if not self.settings.relay_address.endswith(":0"):
            await self._relays.listen(self.settings.relay_address)
        await self._listen_for_metrics()
        settings = self.settings
        write_event(
            events.HostStarted(settings.zone, settings.caller_address, settings.peer_address)
        )
        await self._stop_requested.wait()
        await self._stop()

    async def _listen_for_metrics(self) -> None:
        try:
            await self._metrics_server.listen(self.settings.metrics_address)
        except OSError as error:
            # Serving callers without metrics is better than not serving them.
            write_event(events.MetricsUnavailable(self.settings.metrics_address, str(error)))

    async def _stop(self) -> None:
        """Wait until the load balancer stops sending callers, then finish open requests."""
        stop_started_at = seconds_since_boot()
        write_event(events.HostStopping(self._open_total))
        self._callers.is_stopping = True
        self._relay_desk.is_stopping = True
        self._start_task(self._peering.deregister())
        self._peering.handover.stop(stop_started_at)
        stop_at = stop_started_at + self.settings.stop_grace_s - STOP_MARGIN_S
        self._answers_until = stop_at - STOP_ANSWERS_S
        for forwarder in self._forwarders:
            forwarder.end_by(self._answers_until)
        await asyncio.sleep(BALANCER_GRACE_S)
        self._refuses_new = True
        self._callers.close_idle()
        while self._is_busy and seconds_since_boot() < stop_at:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            self._callers.close_idle()
        self._callers.stop_accepting()
        self._peering.handover.hand_over(seconds_since_boot())
        await asyncio.sleep(HANDOVER_SENDING_S)
        write_event(events.HostStopped(self._open_total))

    @property
    def _open_total(self) -> int:
        """Requests of the own callers, and connections relayed for peers, that are open."""
        return self._open_count + self._relays.open_relays

    @property
    def _is_busy(self) -> bool:
        """Whether requests are open, or bytes of answers wait to be sent."""
        return self._open_total > 0 or self._callers.has_unsent

    async def _serve(self, caller: CallerConnection, head: RequestHead, body: bytes) -> None:
        """Answer one request of a caller."""
        request = decode_request(head.method, head.target, head.headers, body)
        if isinstance(request, BadRequest):
            respond_refusal(caller, Refusal(ErrorKind.INVALID_REQUEST, request.message))
            return
        now = seconds_since_boot()
        self._update_config_state(now)
        work = self._admit(request, now)
        if isinstance(work, Refusal):
            self._recorder.record_early_refusal(request, work)
            respond_refusal(caller, work)
            return
        self._recorder.record_admitted(work, now)
        forwarder = RequestForwarder(
            self._dispatcher,
            self._pool,
            self._connector,
            caller,
            work,
            self._recorder,
            self._peering.sessions,
            self._peering.offers,
            self._crash_probe,
            self._listing_check,
            self._answer_room,
        )
        forwarder.end_by(self._answers_until)
        self._open_count += 1
        self._forwarders.add(forwarder)
        try:
            with self._load_tester.follow(work):
                await forwarder.run()
        finally:
            self._forwarders.discard(forwarder)
            self._open_count -= 1

    def _admit(self, request: Request, now: float) -> InFlightRequest | Refusal:
        return self._refuse_any() or self._dispatcher.admit(request, now)

    def _refuse_any(self) -> Refusal | None:
        """Return why this host takes no request at all now."""
        if self._open_total >= self._capacity.max_open_requests:
            return Refusal(ErrorKind.QUEUE_FULL, "host is full")
        if self._refuses_new:
            # A stream that begins now would be aborted when the host is killed; after a refusal
            # its caller still finds another host in time.
            return Refusal(ErrorKind.STOPPING, "host stops")
        return None

    def _may_accept(self, awaited_requests: int) -> bool:
        """Return whether a new connection may stay; a full host leaves its request unread."""
        if self._capacity.has_room(self._open_total, awaited_requests):
            return True
        self.metrics.count_event("connection_unread")
        return False

    def _is_leaving(self, start: EndpointStart) -> bool:
        """Return whether a start of an endpoint said that it leaves, or its record was removed."""
        endpoint = self._placement.find(start.instance_id)
        if endpoint is None:
            return True
        record = endpoint.record
        if record.started_ms != start.started_ms:
            return False
        return record.is_leaving or self._placement.leaving.includes(
            start.instance_id, start.started_ms
        )

    def _update_config_state(self, now: float) -> None:
        catalogue = self._config_view.catalogue
        self._recorder.config_version = -1 if catalogue is None else catalogue.version
        self._recorder.config_age_s = min(1e6, self._config_view.age_s(now))

    def _measure_buffers(self) -> dict[str, int]:
        """Return the bytes that are kept for callers and endpoints."""
        unsent, largest = self._callers.unsent_bytes
        return {
            "unsent": unsent,
            "unsent_largest_caller": largest,
            "incomplete_answers": self._answer_room.kept,
            "request_bodies": self._callers.kept_body_bytes,
        }

    def _record_call(self, name: str, outcome: str, seconds: float) -> None:
        self.metrics.record_latency("store", name, seconds)
        if outcome != "200":
            self.metrics.count_event(f"store_{outcome}")

    async def _serve_observer(
        self, caller: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer a readiness check, a scrape of the metrics, or where a request would go."""
        if head.target == WHERE_PATH.encode():
            now = seconds_since_boot()
            status, text = answer_where(self._dispatcher, body, self._refuse_any(), now)
            caller.respond(status, [(b"Content-Type", b"application/json")], text)
            return
        if head.target.startswith(b"/metrics"):
            caller.respond(200, [(b"Content-Type", b"text/plain")], self.metrics.render())
            return
        status = 200 if self.is_ready else 503
        caller.respond(status, [], b"ready" if self.is_ready else b"not ready")

    def _apply_limits(self) -> None:
        catalogue = self._config_view.catalogue
        if catalogue is None:
            return
        limits = catalogue.limits
        self._callers.bounds = ServerBounds(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    async def _run_housekeeping(self) -> None:
        changed_at = self._modified_at()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.close_stale()
            self._log_readiness_change()
            dropped_counts = self._handler.collect_dropped_counts()
            if dropped_counts:
                write_event(events.LinesLeftOut(dropped_counts))
            modified_at = self._modified_at()
            if modified_at != changed_at:
                changed_at = modified_at
                self._reload()

    def _log_readiness_change(self) -> None:
        if self.is_ready == self._was_ready:
            return
        self._was_ready = self.is_ready
        missing = []
        if self._config_view.catalogue is None:
            missing.append("configuration")
        if not self._listings.is_usable:
            missing.append("endpoints")
        if not self._peering.is_informed(seconds_since_boot()):
            missing.append("peers")
        if self._stop_requested.is_set():
            missing.append("stopping")
        write_event(events.HostReady(self.is_ready, ", ".join(missing)))

    def _modified_at(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            return 0.0

    def _reload(self) -> None:
        """Reload the settings; an invalid file changes nothing."""
        loaded = load_node_settings(self._path)
        if isinstance(loaded, InvalidSettings):
            write_event(events.SettingsBad(list(loaded.problems)))
            return
        write_event(events.SettingsRead(loaded != self.settings))
        self.settings = loaded
        self._config_view.revocation_limit_s = loaded.revocation_limit_s
        self._rollouts.session_timeout_s = loaded.session_timeout_s
        self._rollouts.exposure_limit = loaded.max_exposure_fraction
        self._rollouts.exposure_allowance = loaded.exposure_allowance
        self._placement.warm_up_bounds = _warm_up_bounds(loaded)
        self._dispatcher.retry_budgets.set_limits(
            RETRY_FRACTION * loaded.retry_ratio, _retry_allowance(loaded)
        )
        self._capacity = compute_capacity(loaded.memory_mb, loaded.max_sockets)
        self._answer_room.resize(self._capacity.answer_bytes)
        self._callers.max_connections = self._capacity.max_caller_connections
        self._callers.max_body_bytes = self._capacity.body_bytes
        for server in (self._readiness_server, self._metrics_server):
            server.max_connections = self._capacity.max_observer_connections
        self._relay_desk.max_requests = self._capacity.max_open_requests
        self._store.address = loaded.store_address

    def _report_crash(self, error: BaseException | None) -> None:
        write_event(events.RequestCrashed("".join(traceback.format_exception(error))))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        """Exit when a task fails; the platform then restarts the host."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._report_crash(task.exception())
            raise SystemExit(1)
