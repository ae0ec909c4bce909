"""Load tests of new versions: one host has a request copied, and the others send copies too."""

import asyncio
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from poplarrun.dispatch import (
    CopyOutcome,
    CopySend,
    Dispatcher,
    LoadTestPlanner,
    copy_request,
    divide_copies,
)
from poplarrun.gateway._copied_requests import describe_request, recall_request
from poplarrun.gateway._peering import LoadTestMessage, Peering
from poplarrun.logging import events, write_event
from poplarrun.peers import (
    CopyAnnouncement,
    CopyGrant,
    CopyOffer,
    CopyOrder,
    CopyReport,
    CopyStop,
)
from poplarrun.placement import EndpointState
from poplarrun.rollouts import COPY_TIMEOUT_S, EVIDENCE_DELAY_S, Rollout, Rollouts
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot

# Interval at which the load tests are looked after, and the same while none can come, in seconds.
ROUND_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 0.25
# Interval at which an offer is renewed, and how long one counts, in seconds.
OFFER_INTERVAL_S = 0.3
OFFER_TTL_S = 1.0
# Time in which a host that may copy a request has begun to, in seconds; then another one may.
GRANT_TIMEOUT_S = 1.0
# Time in which the endpoint must begin to answer the first copy, in seconds.
FIRST_COPY_TIMEOUT_S = 0.9
# Time in which the endpoint must begin to answer the copies that load it, and in which the hosts
# report that, in seconds. The copies that test it follow as soon as all hosts have.
BASE_TIMEOUT_S = 0.2
REPORT_TIMEOUT_S = 0.04
# How often hosts are asked for copies that load the endpoint.
MAX_BASE_ROUNDS = 2
# For this long copies go on when their request has been answered, in seconds.
COPY_GRACE_S = 0.3
POLL_INTERVAL_S = 0.01
# Tests that have ended and are remembered, for orders that arrive late.
MAX_STOPPED = 100

SendCopy = Callable[[CopySend], Coroutine[Any, Any, CopyOutcome]]


@dataclass(slots=True)
class _Negotiation:
    """What this host knows and has told of the load test of one roll-out.

    Attributes
    ----------
    offers : dict of str to float
        Hosts that can have a request copied, and when they said so.
    granted_until : float
        Until when no further host may.
    told_ready, told_to, told_at
        The latest offer of this host, its receiver and its time.
    """

    offers: dict[str, float] = field(default_factory=dict)
    granted_until: float = float("-inf")
    told_ready: bool = False
    told_to: str = ""
    told_at: float = float("-inf")


@dataclass(slots=True)
class _CopiedRequest:
    """An open request of this host, and the load tests in which it is copied.

    Attributes
    ----------
    receivers : dict of str to set of str
        The hosts that were asked for copies, by test.
    """

    work: InFlightRequest
    receivers: dict[str, set[str]] = field(default_factory=dict)


class LoadTester:
    """Carries out load tests together with the other hosts.

    The host that owns the roll-out lets one host after the other have a request copied. Copies end
    soon after their request: nothing runs for a caller that has left.

    Parameters
    ----------
    send_copy : callable
        Coroutine function that sends one copy, counts its answer as evidence and returns how it
        ended.
    report_crash : callable
        Called with the unexpected exception that ended a test.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        rollouts: Rollouts,
        peering: Peering,
        send_copy: SendCopy,
        report_crash: Callable[[BaseException | None], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._planner = LoadTestPlanner(dispatcher)
        self._rollouts = rollouts
        self._peering = peering
        self._send_copy = send_copy
        self._report_crash = report_crash
        self._numbers = itertools.count(1)
        self._open: dict[int, _CopiedRequest] = {}
        self._copies: dict[str, list[asyncio.Task[CopyOutcome]]] = {}
        self._reports: dict[str, list[int]] = {}
        self._stopped: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self._negotiations: dict[tuple[str, int], _Negotiation] = {}
        peering.handle_load_test = self._handle

    @contextmanager
    def follow(self, work: InFlightRequest) -> Iterator[None]:
        """Let a request be copied while it is open."""
        number = next(self._numbers)
        request = self._open[number] = _CopiedRequest(work)
        grace_s = 0.0
        try:
            yield
            grace_s = COPY_GRACE_S
        finally:
            del self._open[number]
            for test_id, receivers in request.receivers.items():
                self._reports.pop(test_id, None)
                loop = asyncio.get_running_loop()
                loop.call_later(grace_s, self._stop_all, test_id, receivers)

    async def run(self) -> None:
        """Take part in the load tests forever."""
        while True:
            active = self._rollouts.active()
            for rollout in active:
                self.advance(rollout, seconds_since_boot())
            if not active:
                self._negotiations.clear()
            await asyncio.sleep(ROUND_INTERVAL_S if active else IDLE_INTERVAL_S)

    def advance(self, rollout: Rollout, now: float) -> None:
        """Tell the owner of the roll-out what has changed here, and grant as the owner."""
        if not rollout.is_load_test_due(now):
            return
        order = rollout.order
        owner = self._peering.job_owner(order.service)
        negotiation = self._find_negotiation(rollout)
        self._offer(rollout, negotiation, owner, now)
        if owner != self._address or now < negotiation.granted_until:
            return
        hosts = [host for host, at in negotiation.offers.items() if now - at < OFFER_TTL_S]
        if hosts:
            negotiation.granted_until = now + GRANT_TIMEOUT_S
            host = max(hosts, key=lambda each: negotiation.offers[each])
            self._peering.send_load_test(host, CopyGrant(order.service, order.offset))

    @property
    def _address(self) -> str:
        return self._peering.peer_table.address

    def _find_negotiation(self, rollout: Rollout) -> _Negotiation:
        key = (rollout.order.service, rollout.order.offset)
        return self._negotiations.setdefault(key, _Negotiation())

    def _find_candidate(self, rollout: Rollout, now: float) -> _CopiedRequest | None:
        requests = [each.work for each in self._open.values()]
        work = self._planner.find_candidate(rollout, requests, now)
        return next((each for each in self._open.values() if each.work is work), None)

    def _offer(self, rollout: Rollout, negotiation: _Negotiation, owner: str, now: float) -> None:
        is_ready = self._find_candidate(rollout, now) is not None
        is_new = (is_ready, owner) != (negotiation.told_ready, negotiation.told_to)
        is_due = is_ready and now - negotiation.told_at >= OFFER_INTERVAL_S
        if not is_due and (not is_new or (not is_ready and not negotiation.told_ready)):
            return
        negotiation.told_ready, negotiation.told_to, negotiation.told_at = is_ready, owner, now
        order = rollout.order
        message = CopyOffer(self._address, order.service, order.offset, is_ready)
        self._peering.send_load_test(owner, message)

    def _handle(self, message: LoadTestMessage, now: float) -> None:
        match message:
            case CopyStop(test_id):
                self._stop(test_id)
            case CopyReport(test_id, running):
                if test_id in self._reports:
                    self._reports[test_id].append(max(0, running))
            case _:
                rollout = self._rollouts.find(message.service)
                if rollout is not None and rollout.order.offset == message.offset:
                    self._handle_of_rollout(rollout, message, now)

    def _handle_of_rollout(
        self,
        rollout: Rollout,
        message: CopyOffer | CopyAnnouncement | CopyGrant | CopyOrder,
        now: float,
    ) -> None:
        negotiation = self._find_negotiation(rollout)
        match message:
            case CopyOffer(address=host, is_ready=True):
                negotiation.offers[host] = now
            case CopyOffer(address=host):
                negotiation.offers.pop(host, None)
            case CopyAnnouncement(copies=copies):
                rollout.announced_copies += max(0, copies)
                negotiation.granted_until = now + COPY_TIMEOUT_S + EVIDENCE_DELAY_S
            case CopyGrant():
                request = self._find_candidate(rollout, now)
                if request is not None:
                    self._start(self._prepare(rollout, request))
            case CopyOrder():
                catalogue = self._dispatcher.config_view.catalogue
                copied = recall_request(message.request, message.service, catalogue, now)
                if copied is not None and rollout.is_in_progress:
                    self._start(self._load(rollout, message, copied))

    async def _prepare(self, rollout: Rollout, request: _CopiedRequest) -> None:
        """Send a first copy, by which the endpoint reads the prompt, and then have the load sent.

        Copies that had to wait for the prompt to be read would run one after the other.
        """
        now = seconds_since_boot()
        endpoint = self._planner.find_endpoint(rollout, now)
        if endpoint is None or not self._planner.spend(rollout, 1, now):
            return
        test_id = f"{self._address}/{next(self._numbers)}"
        request.receivers[test_id] = set()
        copy = copy_request(request.work)
        first = CopySend(copy, endpoint, 0.0, now + COPY_TIMEOUT_S, request.work)
        self._send(test_id, first)
        while not first.has_begun:
            await asyncio.sleep(POLL_INTERVAL_S)
            is_late = seconds_since_boot() - now > FIRST_COPY_TIMEOUT_S
            if is_late or request not in self._open.values():
                return
        await self._have_loaded(rollout, request, test_id, endpoint)

    async def _have_loaded(
        self, rollout: Rollout, request: _CopiedRequest, test_id: str, endpoint: EndpointState
    ) -> None:
        """Let the hosts send the copies that load the endpoint, and then those that test it."""
        now = seconds_since_boot()
        plan = self._planner.plan_copies(rollout, endpoint, now)
        if plan is None or not rollout.is_load_test_due(now):
            return
        each = self._planner.count_affordable(rollout, now)
        peers = [peer.address for peer in self._peering.peer_table.alive_peers(now)]
        hosts = [*peers, self._address]
        order = rollout.order
        for host in hosts:
            copies = plan.base + plan.tests
            announcement = CopyAnnouncement(order.service, order.offset, copies)
            self._peering.send_load_test(host, announcement)
        running = 0
        # Some hosts have fewer retries left than others: further ones make up for them.
        for _ in range(MAX_BASE_ROUNDS):
            parts = divide_copies(plan.base - running, max(1, each // 2), hosts)
            self._reports[test_id] = []
            self._order(rollout, request, test_id, endpoint, parts, 0.0)
            if not await self._wait_for_reports(test_id, len(parts)):
                return
            running += sum(self._reports.pop(test_id))
            # Hosts that have sent none have more retries left.
            hosts = [*hosts[len(parts) :], *hosts[: len(parts)]]
            if running >= plan.base:
                break
        load = running / endpoint.record.slots
        self._order(rollout, request, test_id, endpoint, divide_copies(plan.tests, 1, hosts), load)

    async def _wait_for_reports(self, test_id: str, hosts: int) -> bool:
        """Wait for the reports of some hosts; return whether the request is still open."""
        ends_at = seconds_since_boot() + BASE_TIMEOUT_S + REPORT_TIMEOUT_S
        while len(self._reports.get(test_id, ())) < hosts and seconds_since_boot() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)
            if test_id not in self._reports:
                return False
        return test_id in self._reports

    def _order(
        self,
        rollout: Rollout,
        request: _CopiedRequest,
        test_id: str,
        endpoint: EndpointState,
        parts: dict[str, int],
        load: float,
    ) -> None:
        copied = describe_request(request.work, seconds_since_boot())
        order = rollout.order
        for host, copies in parts.items():
            request.receivers[test_id].add(host)
            message = CopyOrder(
                self._address,
                test_id,
                order.service,
                order.offset,
                endpoint.record.instance_id,
                copies,
                load,
                copied,
            )
            self._peering.send_load_test(host, message)

    async def _load(self, rollout: Rollout, order: CopyOrder, work: InFlightRequest) -> None:
        """Send the copies that were ordered, and report how many of the first ones run."""
        now = seconds_since_boot()
        endpoint = self._dispatcher.placement.find(order.instance_id)
        count = self._planner.spend(rollout, max(0, order.copies), now)
        if endpoint is None or not count or order.test_id in self._stopped:
            return
        sends = [
            CopySend(copy_request(work), endpoint, order.load, now + COPY_TIMEOUT_S)
            for _ in range(count)
        ]
        copies = [self._send(order.test_id, send) for send in sends]
        target = rollout.order.target
        write_event(events.CopiesSent(order.service, target, order.instance_id, count, order.load))
        if order.load == 0.0:
            running = await _wait_until_begun(sends, copies)
            self._peering.send_load_test(order.address, CopyReport(order.test_id, running))
        await asyncio.wait(copies)
        outcomes = Counter(
            CopyOutcome.UNANSWERED if copy.cancelled() else copy.result() for copy in copies
        )
        write_event(
            events.CopiesEnded(
                order.service,
                target,
                outcomes[CopyOutcome.BEGUN],
                outcomes[CopyOutcome.FAILED],
                outcomes[CopyOutcome.UNANSWERED],
            )
        )

    def _send(self, test_id: str, send: CopySend) -> asyncio.Task[CopyOutcome]:
        copy = asyncio.get_running_loop().create_task(self._send_copy(send))
        self._copies.setdefault(test_id, []).append(copy)
        copy.add_done_callback(lambda each: self._forget(test_id, each))
        return copy

    def _forget(self, test_id: str, copy: asyncio.Task[CopyOutcome]) -> None:
        copies = self._copies.get(test_id, [])
        if copy in copies:
            copies.remove(copy)
        if not copies:
            self._copies.pop(test_id, None)
        if not copy.cancelled() and copy.exception() is not None:
            self._report_crash(copy.exception())

    def _stop_all(self, test_id: str, receivers: set[str]) -> None:
        self._stop(test_id)
        for host in receivers - {self._address}:
            self._peering.send_load_test(host, CopyStop(test_id))

    def _stop(self, test_id: str) -> None:
        self._stopped[test_id] = None
        if len(self._stopped) > MAX_STOPPED:
            self._stopped.popitem(last=False)
        for copy in list(self._copies.get(test_id, ())):
            copy.cancel()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._report_crash(task.exception())


async def _wait_until_begun(sends: list[CopySend], copies: list[asyncio.Task[CopyOutcome]]) -> int:
    """Wait until the endpoint answers all copies; return how many run."""
    ends_at = seconds_since_boot() + BASE_TIMEOUT_S
    is_whole = not sends[0].work.request.prompt_parts
    while seconds_since_boot() < ends_at:
        # A whole answer begins as it ends. Its copies run while they are not answered.
        if is_whole or all(
            send.has_begun or copy.done() for send, copy in zip(sends, copies, strict=True)
        ):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    await asyncio.sleep(POLL_INTERVAL_S)
    return sum(
        (send.has_begun or is_whole) and not copy.done()
        for send, copy in zip(sends, copies, strict=True)
    )
