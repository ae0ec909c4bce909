"""Hosts of the gateway that tell each other of roll-outs, in virtual time.

Each host has its own decisions and its own conversation with the others. The links between
them are those of the test transport; answers and callers are drawn.
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

from poplarrun.dispatch import ConfigView, Dispatcher, SendDecision
from poplarrun.gateway._followers import DocumentFollower, ListingFollower
from poplarrun.gateway._peering import Peering
from poplarrun.gateway._reading import SharedReader
from poplarrun.links import MemoryLinkNetwork, MemoryLinks
from poplarrun.peers import DOCUMENTS, ENDPOINTS, PeerTable
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
from poplarrun.sizes import SizePolicy
from standins.virtual_time import run_virtual

T = TypeVar("T")

SERVICE = "engines"
OLD, NEW = "v1", "v2"
SESSION_S = 6.5
ENDPOINTS_OF_EACH = 4
PLACES = 64
CLOCK_USERS = ("_peering", "_reading", "_followers", "_sessions")
# Time to the first event of an answer, in seconds.
FIRST_S = 0.15
# Pause between two looks of a host at a roll-out, in seconds.
JUDGE_PERIOD_S = 0.25
PACE = LatencyTargets(timeout_s=12.0, target_s=2.0, event_gap_s=1.2)
ROUTE = Route(
    "draft",
    "shop",
    "/",
    RepeatPolicy.STREAM,
    PACE,
    1,
    (ServiceWeight(SERVICE, 1.0),),
    3,
    is_public=True,
    is_resumable=True,
    sizes=("small",),
)
ENGINES = Service(SERVICE, PLACES, PLACES, 600_000, (ModelSize("small", 1.0),))
CATALOGUE = Catalogue(1, {"shop": (ROUTE,)}, {SERVICE: ENGINES}, None)


@dataclass(frozen=True, slots=True)
class Run:
    """One request that ran.

    Attributes
    ----------
    sent_at, ended_at : float
        In seconds of the virtual clock.
    """

    session: str
    host: str
    version: str
    sent_at: float
    ended_at: float


class RolloutHost:
    """The decisions of one host, and its conversation with the others."""

    def __init__(self, network: MemoryLinkNetwork, address: str, zone: str, seed: int) -> None:
        self.address = address
        self.zone = zone
        self.knowledge = ConfigView(None)
        self.placement = Placement(zone, random.Random(seed))
        self.rollouts = Rollouts(SESSION_S)
        self.dispatch = Dispatcher(
            self.knowledge, self.placement, self.rollouts, SizePolicy(), 0.8, 100.0, 10.0
        )
        self.knowledge.apply_catalogue(CATALOGUE)
        self.placement.update_endpoints(list(_list_endpoints(OLD)))
        peer_table = PeerTable(address, zone)
        # Nobody reads the store here: orders are handed to the hosts that would read them.
        store = cast(StoreClient, None)
        directory = EndpointDirectory()
        documents = DocumentFollower(
            store, self.knowledge, self.rollouts, lambda: None, SharedReader(DOCUMENTS, peer_table)
        )
        listings = ListingFollower(
            store, directory, self.placement, SharedReader(ENDPOINTS, peer_table)
        )
        self.peering = Peering(
            peer_table,
            MemoryLinks(network, address, zone),
            store,
            self.knowledge,
            documents,
            listings,
            directory,
            self.placement,
            self.rollouts,
        )

    def list_new_version(self) -> None:
        """List endpoints of the new version beside the old ones."""
        self.placement.update_endpoints([*_list_endpoints(OLD), *_list_endpoints(NEW)])

    async def judge(self, begin_after_s: float) -> None:
        """Judge the roll-out for ever, as each host does; nothing is recorded."""
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(begin_after_s)
        while True:
            for rollout in self.rollouts.active():
                self.rollouts.compute_verdict(rollout, clock())
            await asyncio.sleep(JUDGE_PERIOD_S)

    async def serve(self, session: str, number: int, took_s: float) -> Run:
        """Answer one request; return what ran."""
        clock = asyncio.get_running_loop().time
        work = self.dispatch.admit(_make_request(session, number), clock())
        assert isinstance(work, InFlightRequest), work
        await self.peering.sessions.resolve(work)
        step = self.dispatch.choose_endpoint(work, clock())
        assert isinstance(step, SendDecision), step
        sent_at = clock()
        attempt = self.dispatch.record_sent(work, step, sent_at)
        await asyncio.sleep(FIRST_S)
        self.dispatch.record_first_event(work, attempt, clock())
        await asyncio.sleep(took_s - FIRST_S)
        self.dispatch.record_completed(work, attempt, clock())
        version = step.estimate.endpoint.record.version
        return Run(session, self.address, version, sent_at, clock())


class RolloutFleet:
    """Hosts in three zones, and callers whose requests reach any of them.

    Attributes
    ----------
    hosts : list of RolloutHost
        All of them.
    runs : list of Run
        What ran so far.
    """

    def __init__(self, seed: int, hosts: int, zones: str = "abc") -> None:
        self.random = random.Random(seed)
        self._network = MemoryLinkNetwork(self.random)
        self.hosts = [
            RolloutHost(self._network, f"{zone}{place}", zone, self.random.getrandbits(32))
            for place in range(hosts // len(zones))
            for zone in zones
        ]
        self.runs: list[Run] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._requests = 0

    def start(self) -> None:
        """Start the conversation of all hosts."""
        for host in self.hosts:
            self._start(host.peering.run(self._seeds))
            self._start(host.judge(self.random.uniform(0.0, JUDGE_PERIOD_S)))

    @property
    def _seeds(self) -> tuple[str, ...]:
        return tuple(host.address for host in self.hosts[:3])

    def order(self, duration_s: float) -> RolloutOrder:
        """Hand an order to the host of each zone that reads the store."""
        now = asyncio.get_running_loop().time()
        order = RolloutOrder(SERVICE, NEW, duration_s, 7)
        for host in self.hosts[:3]:
            host.rollouts.apply_order(order, now)
        return order

    async def start_anew(self, order: RolloutOrder) -> RolloutHost:
        """Start a host that reads an order from the store; return it once callers may come."""
        clock = asyncio.get_running_loop().time
        host = RolloutHost(self._network, "a99", "a", self.random.getrandbits(32))
        host.rollouts.apply_order(order, clock())
        self._start(host.peering.run(self._seeds))
        await asyncio.sleep(0)
        while not host.peering.is_informed(clock()):
            await asyncio.sleep(0.01)
        return host

    def list_new_version(self) -> None:
        """Let all hosts know of endpoints of the new version."""
        for host in self.hosts:
            host.list_new_version()

    async def call(self, per_s: float, until: float) -> None:
        """Begin sessions at a rate; each asks some times, each time at any host."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(per_s))
            self._start(self._ask(until))

    async def _ask(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        session = f"session-{self.random.getrandbits(48):x}"
        for _ in range(self.random.randint(1, 6)):
            self._requests += 1
            host = self.random.choice(self.hosts)
            took_s = self.random.uniform(0.2, 3.0)
            self.runs.append(await host.serve(session, self._requests, took_s))
            await asyncio.sleep(self.random.uniform(0.05, 5.0))
            if loop.time() > until:
                return

    def _start(self, work: Any) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def changes(self, since: float, until: float) -> list[tuple[Run, Run]]:
        """Return the runs on another version than the one before in their session."""
        changed = []
        for before, run in self._followers():
            if since <= run.sent_at < until and run.version != before.version:
                changed.append((before, run))
        return changed

    def _followers(self) -> Iterator[tuple[Run, Run]]:
        sessions: dict[str, list[Run]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.sent_at):
            sessions[run.session].append(run)
        for runs in sessions.values():
            for before, run in itertools.pairwise(runs):
                if run.sent_at - before.ended_at < SESSION_S:
                    yield before, run

    def share(self, since: float, until: float) -> float:
        """Return the share of the runs sent in a time that the new version got."""
        runs = [run for run in self.runs if since <= run.sent_at < until]
        return sum(run.version == NEW for run in runs) / len(runs)


@contextmanager
def virtual_clock() -> Iterator[None]:
    """Have the gateway's parts go by the running loop's clock."""
    with ExitStack() as stack:
        for module in CLOCK_USERS:
            stack.enter_context(patch(f"poplarrun.gateway.{module}.seconds_since_boot", _loop_time))
        yield


def run_by_virtual_clock(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, by which the gateway's parts go as well."""
    with virtual_clock():
        return run_virtual(coroutine)


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _list_endpoints(version: str) -> Iterator[EndpointRecord]:
    for number in range(ENDPOINTS_OF_EACH):
        zone = "abc"[number % 3]
        name = f"{version}-{number}"
        yield EndpointRecord(name, SERVICE, f"{name}:1", zone, version, PLACES, False)


def _make_request(session: str, number: int) -> Request:
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
