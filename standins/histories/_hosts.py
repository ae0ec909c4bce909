"""Runs the product's handling of operations on a simulated host, with coroutines as workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from poplarrun.billing import BillDurability, BillReplicator
from poplarrun.claims import ClaimManager, compute_fingerprint
from poplarrun.clients import HostKind, HostState, ListedHost, ServiceResponse
from poplarrun.config import Configuration
from poplarrun.contracts import Document, hash_key, parse_document
from poplarrun.endpoints import EndpointTable
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.hosts import Peer
from poplarrun.metrics import Metrics
from poplarrun.router import (
    BeginOperation,
    CallFailed,
    EndOperation,
    OperationGrant,
    Replay,
    Router,
    SendOperation,
    SendResult,
)
from poplarrun.versions import VersionManager
from standins.histories._events import Answer, AnswerKind
from standins.histories._loop import Process, spawn
from standins.histories._world import (
    ReplicatedBill,
    SimCall,
    SimLog,
    SimPeers,
    SimService,
    World,
    now,
)

API_KEY = "shop-key"
SERVICE = "orders"
OPERATION = "place"
TIMEOUT_S = 4
WALL_CLOCK_OFFSET_S = 1_000_000.0
DOCUMENT = f"""
accounts:
  shop: {{keys: ["{hash_key(API_KEY)}"], services: ["*"]}}
services:
  {SERVICE}:
    operations: {{{OPERATION}: {{idempotent: false, timeout_s: {TIMEOUT_S}, price: 0.05}}}}
"""
ENDPOINTS = tuple(
    ListedHost(f"orders-{zone}", HostKind.PLAIN_SERVICE, zone, f"orders-{zone}", state, SERVICE)
    for zone, state in (("a", HostState.LIVE), ("b", HostState.LIVE), ("c", HostState.LIVE))
)

# Points of a worker's execution at which a schedule can kill or stop the host.
WORKER_POINTS = (
    "before claim",
    "after claim",
    "before sending",
    "after sending",
    "after answer",
    "billed",
)
OnReached = Callable[["SimHost", str], Awaitable[None]]


def wall_time() -> float:
    """Return the virtual wall-clock time in seconds since an arbitrary epoch."""
    return WALL_CLOCK_OFFSET_S + now()


class SimHost:
    """One host: its process, the product's components and its workers."""

    def __init__(
        self, world: World, hosts: dict[str, "SimHost"], name: str, incarnation: int
    ) -> None:
        self.name = name
        self._hosts = hosts
        self.zone = name[0]
        self.process = Process(name)
        me = Peer(name, self.zone, "local", incarnation)
        self.peers = SimPeers(world, me, self.process)
        self._world = world
        self._service = SimService(world)
        log = SimLog(world, name)
        endpoints = EndpointTable(self.zone, random.Random(f"{name}{incarnation}"))
        endpoints.apply_host_list(ENDPOINTS)
        # An unseeded source would make the router's retry delays differ from run to run.
        source = random.Random(f"router {name}{incarnation}")
        versions = VersionManager(me, random.Random(name))
        self._router = Router(endpoints, Metrics(), versions, random_source=source)
        self._router.context.configuration = Configuration(offset=0, document=_document())
        self._operations = self._router.operations
        self._operations.use_clocks(now, wall_time)
        self.claims = ClaimManager(self.peers, log, now, wall_time)
        self.billing = BillReplicator(self.peers, log, now, wall_time)
        self._operations.claims = self.claims
        self._operations.peers = self.peers
        spawn(self.process, self.run_billing)

    async def run(self, request_id: str, key: str, on_reached: OnReached) -> Answer:
        """Run one request as a worker does, and record its answer."""
        await on_reached(self, "before claim")
        fingerprint = compute_fingerprint(SERVICE, OPERATION, key.encode())
        request = BeginOperation(request_id, API_KEY, SERVICE, OPERATION, key, fingerprint)
        self._world.history.send_deadlines_s[request_id] = now() + TIMEOUT_S
        step = await self._operations.begin(request)
        if isinstance(step, OperationGrant):
            await on_reached(self, "after claim")
        while isinstance(step, OperationGrant):
            call = await self._service.connect(request_id, key)
            if call is None:
                step = await self._retry(request_id, "connect")
            else:
                step = await self._exchange(request_id, call, on_reached)
        answer = _create_answer(request_id, step)
        self._world.history.answers.append(answer)
        return answer

    async def _retry(self, request_id: str, reason: str) -> OperationGrant | Refusal:
        step = self._operations.retry(CallFailed(request_id, reason))
        if isinstance(step, OperationGrant):
            await asyncio.sleep(step.delay_s)
        return step

    async def run_billing(self) -> None:
        """Replicate bills periodically, as the host's task does."""
        while True:
            await self.billing.run_round()
            await asyncio.sleep(1.0)

    async def _replicate_bills(self) -> None:
        context = self._router.context
        bills, context.bills = context.bills, []
        for bill in bills:
            if await self.billing.replicate(bill) is BillDurability.HOST_ALONE:
                self._world.history.unreplicated_bills.add(bill.id)
            holders = tuple(h.process for h in self._hosts.values() if h.billing.has_bill(bill.id))
            self._world.replicated_bills.append(ReplicatedBill(bill.id, now(), holders))

    async def _exchange(
        self, request_id: str, call: SimCall, on_reached: OnReached
    ) -> OperationGrant | ServiceResponse | Refusal:
        await on_reached(self, "before sending")
        send_result = self._operations.send(SendOperation(request_id, call))
        if not isinstance(send_result, SendResult):
            return send_result
        await on_reached(self, "after sending")
        body = await call.answer(send_result.timeout_s)
        if body is None:
            return await self._retry(request_id, "broken")
        await on_reached(self, "after answer")
        answer = ServiceResponse(200, body.encode(), "text/plain")
        self._operations.end(EndOperation(request_id, answer))
        await self._replicate_bills()
        await on_reached(self, "billed")
        return answer


def _document() -> Document:
    match parse_document(DOCUMENT):
        case Document() as document:
            return document
        case problems:
            raise ValueError(problems)


def _create_answer(request_id: str, step: ServiceResponse | Replay | Refusal) -> Answer:
    match step:
        case ServiceResponse(body=body):
            return Answer(now(), request_id, AnswerKind.RAN, body.decode())
        case Replay(ran=ran):
            return Answer(now(), request_id, AnswerKind.REPLAYED, ran.body.decode())
        case Refusal(kind=ErrorKind.OPERATION_IN_PROGRESS):
            return Answer(now(), request_id, AnswerKind.IN_PROGRESS)
        case Refusal(kind=kind):
            not_run = response_for(kind).not_run is NotRun.YES
            answer_kind = AnswerKind.NOT_RUN if not_run else AnswerKind.UNKNOWN
            return Answer(now(), request_id, answer_kind, reason=kind.value)


async def yield_to_loop() -> None:
    """Yield to the loop, so that a halted process stops."""
    await asyncio.sleep(0)
