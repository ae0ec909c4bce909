"""Simulation in virtual time of gateway hosts that exchange the state of roll-outs.

Each host runs its own dispatch decisions and peering. The hosts are connected by the in-memory
transport; sessions, hosts and durations of requests are random.
"""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any, TypeVar, cast
from unittest.mock import patch

from poplarrun.dispatch import ConfigView, CopyOutcome, CopySend, Dispatcher, SendDecision
from poplarrun.gateway._document_follower import DocumentFollower
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.gateway._load_tester import LoadTester
from poplarrun.gateway._peering import Peering
from poplarrun.gateway._reading import SharedReader
from poplarrun.links import MemoryLinkNetwork, MemoryLinks
from poplarrun.peers import (
    DEFAULT_READ_TIMEOUTS,
    DOCUMENTS,
    ENDPOINTS,
    PeerTable,
    ReadTimeouts,
)
from poplarrun.placement import EndpointDirectory, EndpointRecord, Placement
from poplarrun.platform import StoreClient
from poplarrun.rollouts import Rollouts
from poplarrun.routing import (
    Catalogue,
    InFlightRequest,
    LatencyTargets,
    ModelSize,
    RepeatPolicy,
    Request,
    RolloutOrder,
    Route,
    Service,
    ServiceWeight,
)
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy
from standins.virtual_time import run_virtual

T = TypeVar("T")

SERVICE = "engines"
OLD, NEW = "v1", "v2"
SESSION_TIMEOUT_S = 6.5
ENDPOINTS_PER_VERSION = 4
ENDPOINT_SLOTS = 64
CLOCK_MODULES = (
    "_connector",
    "_load_tester",
    "_relay_desk",
    "_peering",
    "_state_exchange",
    "_reading",
    "_document_follower",
    "_listing_follower",
    "_sessions",
    "_endpoint_offers",
    "_forwarder",
    "_records",
)
FIRST_EVENT_DELAY_S = 0.15
LONGEST_REQUEST_S = 3.0
# From a host's SIGTERM until its last request has ended, and how long its process is gone then.
STOP_DURATION_S = LONGEST_REQUEST_S
DOWN_TIME_S = 1.0
VERDICT_INTERVAL_S = 0.25
LATENCY_TARGETS = LatencyTargets(timeout_s=12.0, target_s=2.0, event_gap_s=1.2)
ROUTE = Route(
    "draft",
    "shop",
    "/",
    RepeatPolicy.STREAM,
    LATENCY_TARGETS,
    1,
    (ServiceWeight(SERVICE, 1.0),),
    3,
    is_public=True,
    is_resumable=True,
    sizes=("small",),
)
ENGINES = Service(SERVICE, ENDPOINT_SLOTS, ENDPOINT_SLOTS, 600_000, (ModelSize("small", 1.0),))
CATALOGUE = Catalogue(1, {"shop": (ROUTE,)}, {SERVICE: ENGINES}, None)


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """One completed request.

    Attributes
    ----------
    sent_at, ended_at : float
        Virtual times, in seconds.
    """

    session: str
    host: str
    version: str
    sent_at: float
    ended_at: float


def raise_error(error: BaseException | None) -> None:
    """Raise an error that ended a task of a host."""
    if error is not None:
        raise error


class RolloutHost:
    """One gateway host: its dispatch decisions and its peering."""

    def __init__(
        self,
        network: MemoryLinkNetwork,
        address: str,
        zone: str,
        seed: int,
        store: StoreClient | None = None,
        timeouts: ReadTimeouts = DEFAULT_READ_TIMEOUTS,
    ) -> None:
        self.address = address
        self.zone = zone
        self.links = MemoryLinks(network, address, zone)
        self.config_view = ConfigView(None)
        self.placement = Placement(zone, random.Random(seed))
        self.rollouts = Rollouts(SESSION_TIMEOUT_S, find_slots=self.placement.find_slots)
        self.dispatch = Dispatcher(
            self.config_view,
            self.placement,
            self.rollouts,
            SizePolicy(),
            0.8,
            Budget(100, 100, 10.0),
        )
        self.config_view.apply_catalogue(CATALOGUE)
        self.placement.update_endpoints(list(_list_endpoints(OLD)))
        peer_table = PeerTable(address, zone)
        # Without a store, the fleet applies orders at the hosts that would read them.
        store = cast(StoreClient, store)
        directory = EndpointDirectory()
        documents = DocumentFollower(
            store,
            self.config_view,
            self.rollouts,
            lambda: None,
            SharedReader(DOCUMENTS, peer_table),
            self.placement,
        )
        self.listings = ListingFollower(
            store, directory, self.placement, SharedReader(ENDPOINTS, peer_table, timeouts)
        )
        self.peering = Peering(
            peer_table,
            self.links,
            store,
            self.config_view,
            documents,
            self.listings,
            directory,
            self.placement,
            self.rollouts,
            self.dispatch.reachability,
            self.dispatch.crash_guard.watch,
        )
        self.load_tester = LoadTester(
            self.dispatch, self.rollouts, self.peering, self.answer_copy, raise_error
        )

    async def answer_copy(self, copy: CopySend) -> CopyOutcome:
        """Answer a copy like a request that ends well."""
        clock = asyncio.get_running_loop().time
        copy.endpoint.in_flight += 1
        copy.record_sent()
        try:
            await asyncio.sleep(FIRST_EVENT_DELAY_S)
            copy.has_begun = True
            await asyncio.sleep(max(0.0, copy.ends_at - clock()))
        finally:
            copy.endpoint.in_flight -= 1
            if copy.has_begun:
                record = copy.endpoint.record
                self.dispatch.evidence.record_copy(record.service, record.version, copy.load, False)
        return CopyOutcome.BEGUN

    def list_new_version(self) -> None:
        """Add endpoints of the new version to those of the old one."""
        self.placement.update_endpoints([*_list_endpoints(OLD), *_list_endpoints(NEW)])

    def list_only_new_version(self) -> None:
        """Remove the endpoints of the old version."""
        self.placement.update_endpoints(list(_list_endpoints(NEW)))

    async def run_verdicts(self, initial_delay_s: float) -> None:
        """Compute verdicts of active roll-outs periodically, without recording them."""
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(initial_delay_s)
        while True:
            for rollout in self.rollouts.active():
                self.rollouts.compute_verdict(rollout, clock())
            await asyncio.sleep(VERDICT_INTERVAL_S)

    async def serve(self, session: str, number: int, duration_s: float) -> CompletedRequest:
        """Dispatch and complete one request."""
        clock = asyncio.get_running_loop().time
        work = self.dispatch.admit(make_request(session, number), clock())
        assert isinstance(work, InFlightRequest), work
        await self.peering.sessions.resolve(work)
        step = self.dispatch.choose_endpoint(work, clock())
        assert isinstance(step, SendDecision), step
        sent_at = clock()
        with self.load_tester.follow(work):
            attempt = self.dispatch.record_sent(work, step, sent_at)
            await asyncio.sleep(FIRST_EVENT_DELAY_S)
            self.dispatch.record_first_event(work, attempt, clock())
            await asyncio.sleep(duration_s - FIRST_EVENT_DELAY_S)
            self.dispatch.record_completed(work, attempt, clock())
        version = step.estimate.endpoint.record.version
        return CompletedRequest(session, self.address, version, sent_at, clock())


class RolloutFleet:
    """Hosts in several zones, and sessions whose requests each go to a random host.

    Attributes
    ----------
    hosts : list of RolloutHost
        The hosts, except one that ``start_host_with_order`` added.
    completed_requests : list of CompletedRequest
        The requests completed so far, by time of completion.
    """

    def __init__(self, seed: int, hosts: int, zones: str = "abc") -> None:
        self.random = random.Random(seed)
        self._network = MemoryLinkNetwork(self.random)
        self.hosts = [
            RolloutHost(self._network, f"{zone}{number}", zone, self.random.getrandbits(32))
            for number in range(hosts // len(zones))
            for zone in zones
        ]
        self.completed_requests: list[CompletedRequest] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._host_tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._ready = {host.address for host in self.hosts}
        self._order: RolloutOrder | None = None
        self._request_count = 0

    def start(self) -> None:
        """Start peering and verdicts at all hosts."""
        for host in self.hosts:
            self._start_host(host)

    def _start_host(self, host: RolloutHost) -> None:
        self._host_tasks[host.address] = [
            self._start(host.peering.run(self._seeds)),
            self._start(host.run_verdicts(self.random.uniform(0.0, VERDICT_INTERVAL_S))),
            self._start(host.load_tester.run()),
        ]

    async def restart_host(self, number: int, is_killed: bool = False) -> None:
        """Stop or kill a host, and start it again; return once it is ready.

        Parameters
        ----------
        is_killed : bool
            Whether its process ends at once and tells nobody.
        """
        clock = asyncio.get_running_loop().time
        stopped = self.hosts[number]
        self._ready.discard(stopped.address)
        if not is_killed:
            stopped.peering.handover.stop(clock())
            await asyncio.sleep(STOP_DURATION_S)
            stopped.peering.handover.hand_over(clock())
            # The last messages arrive.
            await asyncio.sleep(0.0)
        for task in self._host_tasks[stopped.address]:
            task.cancel()
        stopped.links.stop()
        await asyncio.sleep(DOWN_TIME_S)
        host = RolloutHost(
            self._network, stopped.address, stopped.zone, self.random.getrandbits(32)
        )
        self.hosts[number] = host
        # What it reads from the store: who is registered, the order, and the list of endpoints.
        for address in self._ready:
            host.peering.peer_table.add_address(address, clock())
        if self._order is not None:
            host.rollouts.apply_order(self._order, clock())
            host.list_new_version()
        self._start_host(host)
        await asyncio.sleep(0)
        while not host.peering.is_informed(clock()):
            await asyncio.sleep(0.01)
        self._ready.add(host.address)

    @property
    def _seeds(self) -> tuple[str, ...]:
        return tuple(host.address for host in self.hosts[:3])

    def apply_order(self, duration_s: float) -> RolloutOrder:
        """Apply a new order at the host of each zone that reads the store."""
        now = asyncio.get_running_loop().time()
        order = self._order = RolloutOrder(SERVICE, NEW, duration_s, 7)
        for host in self.hosts[:3]:
            host.rollouts.apply_order(order, now)
        return order

    async def start_host_with_order(self, order: RolloutOrder) -> RolloutHost:
        """Start a host that has read an order from the store; return it once it is ready."""
        clock = asyncio.get_running_loop().time
        host = RolloutHost(self._network, "a99", "a", self.random.getrandbits(32))
        host.rollouts.apply_order(order, clock())
        self._start(host.peering.run(self._seeds))
        await asyncio.sleep(0)
        while not host.peering.is_informed(clock()):
            await asyncio.sleep(0.01)
        return host

    def list_new_version(self) -> None:
        """Add endpoints of the new version at all hosts."""
        for host in self.hosts:
            host.list_new_version()

    async def run_sessions(self, sessions_per_s: float, until: float) -> None:
        """Start sessions until a virtual time; each sends some requests, each to a random host."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(sessions_per_s))
            self._start(self._run_session(until))

    async def _run_session(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        session = f"session-{self.random.getrandbits(48):x}"
        for _ in range(self.random.randint(1, 6)):
            self._request_count += 1
            host = self.random.choice([each for each in self.hosts if each.address in self._ready])
            duration_s = self.random.uniform(0.2, LONGEST_REQUEST_S)
            self.completed_requests.append(
                await host.serve(session, self._request_count, duration_s)
            )
            await asyncio.sleep(self.random.uniform(0.05, 5.0))
            if loop.time() > until:
                return

    def _start(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    def version_changes(
        self, since: float, until: float
    ) -> list[tuple[CompletedRequest, CompletedRequest]]:
        """Return pairs of consecutive requests of a session that ran on different versions."""
        change_pairs = []
        for previous, request in self._consecutive_requests():
            if since <= request.sent_at < until and request.version != previous.version:
                change_pairs.append((previous, request))
        return change_pairs

    def _consecutive_requests(self) -> Iterator[tuple[CompletedRequest, CompletedRequest]]:
        sessions: dict[str, list[CompletedRequest]] = defaultdict(list)
        for request in sorted(self.completed_requests, key=lambda request: request.sent_at):
            sessions[request.session].append(request)
        for completed_requests in sessions.values():
            for previous, request in itertools.pairwise(completed_requests):
                if request.sent_at - previous.ended_at < SESSION_TIMEOUT_S:
                    yield previous, request

    def new_version_fraction(self, since: float, until: float) -> float:
        """Return the fraction of the requests sent in an interval that ran on the new version."""
        sent = [request for request in self.completed_requests if since <= request.sent_at < until]
        return sum(request.version == NEW for request in sent) / len(sent)


@contextmanager
def virtual_clock() -> Iterator[None]:
    """Make the modules of the gateway use the clock of the running event loop."""
    with ExitStack() as stack:
        for module in CLOCK_MODULES:
            stack.enter_context(patch(f"poplarrun.gateway.{module}.seconds_since_boot", _loop_time))
        yield


def run_by_virtual_clock(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, which the modules of the gateway use as well."""
    with virtual_clock():
        return run_virtual(coroutine)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _list_endpoints(version: str) -> Iterator[EndpointRecord]:
    for number in range(ENDPOINTS_PER_VERSION):
        zone = "abc"[number % 3]
        name = f"{version}-{number}"
        yield EndpointRecord(name, SERVICE, f"{name}:1", zone, version, ENDPOINT_SLOTS, False)


def make_request(session: str, number: int) -> Request:
    """Return a request of a session."""
    return Request(
        f"request-{number}",
        b"POST",
        b"/draft",
        "shop",
        (),
        b"",
        12.0,
        prompt_tokens=10,
        max_tokens=100,
        model="*",
        session_id=session,
    )
