"""The simulated environment of hosts: network links, log and service, each with faults."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from poplarrun.hosts import CollectedSummaries, Handler, Peer, PeerSilent, SummaryTopic
from poplarrun.log import (
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    MemoryLog,
    ReadFailed,
    ReadOutcome,
)
from standins.histories._events import Effect, History
from standins.histories._loop import Process, spawn

LOG_TIMEOUT_S = 3.0
DETECTION_TIMEOUT_S = 1.0
LINK_DELAY_RANGE_S = (0.001, 0.008)
LOG_DELAY_RANGE_S = (0.005, 0.03)
LOG = "log"


def now() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


@dataclass
class LogFaults:
    """Faults that the log injects now.

    Attributes
    ----------
    answer_loss_probability : float
        Probability that an append takes effect but its answer is lost.
    late_append_probability : float
        Probability that an append takes effect only after its caller timed out.
    added_delay_s : float
        Additional latency of an append in seconds; a read is delayed by half of it.
    """

    down: bool = False
    answer_loss_probability: float = 0.0
    late_append_probability: float = 0.0
    added_delay_s: float = 0.0


@dataclass
class ServiceFaults:
    """Faults that the service injects now; probabilities apply to each call."""

    refusal_probability: float = 0.0
    failure_before_probability: float = 0.0
    failure_after_probability: float = 0.0
    added_delay_s: float = 0.0


@dataclass(frozen=True)
class ReplicatedBill:
    """A final bill, the time of its replication and the processes that held it then."""

    bill_id: str
    at_s: float
    holders: tuple[Process, ...]


@dataclass
class World:
    """The environment that all hosts of a run share.

    Attributes
    ----------
    cuts : set of frozenset of str
        Disconnected pairs of names; a name is a host or ``log``.
    injected : Counter
        Counts of the faults that took effect, by name.
    replicated_bills : list of ReplicatedBill
        The bills of answered requests.
    """

    random: random.Random
    history: History = field(default_factory=History)
    memory: MemoryLog = field(default_factory=MemoryLog)
    log_faults: LogFaults = field(default_factory=LogFaults)
    service_faults: ServiceFaults = field(default_factory=ServiceFaults)
    cuts: set[frozenset[str]] = field(default_factory=set)
    cut_since: dict[frozenset[str], float] = field(default_factory=dict)
    injected: Counter[str] = field(default_factory=Counter)
    members: dict[str, "SimPeers"] = field(default_factory=dict)
    replicated_bills: list[ReplicatedBill] = field(default_factory=list)

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether two names are connected."""
        return frozenset((one, other)) not in self.cuts

    def cut(self, some: list[str], others: list[str]) -> None:
        """Disconnect every member of one group from every member of the other."""
        for one in some:
            for other in others:
                pair = frozenset((one, other))
                self.cuts.add(pair)
                self.cut_since.setdefault(pair, now())

    def restore_links(self) -> None:
        """Restore all links."""
        self.cuts.clear()
        self.cut_since.clear()

    def should_inject(self, probability: float, fault: str) -> bool:
        """Draw whether to inject a fault, and count it if so."""
        is_injected = self.random.random() < probability
        self.injected[fault] += is_injected
        return is_injected


class SimLog:
    """One host's log client; an append continues after its host has died."""

    def __init__(self, world: World, host: str) -> None:
        self._world = world
        self._host = host

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        answered: asyncio.Future[AppendOutcome] = asyncio.get_running_loop().create_future()
        spawn(None, self._deliver, stream, data, answered)
        await asyncio.wait([answered], timeout=LOG_TIMEOUT_S)
        return answered.result() if answered.done() else AppendUnknown("timeout")

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        await asyncio.sleep(self._delay())
        if self._world.log_faults.down or not self._world.is_connected(self._host, LOG):
            self._world.injected["log read failed"] += 1
            return ReadFailed("no answer")
        return self._world.memory.read(stream, from_offset, limit)

    async def _deliver(
        self, stream: str, data: bytes, answered: "asyncio.Future[AppendOutcome]"
    ) -> None:
        world = self._world
        await asyncio.sleep(self._delay())
        if world.log_faults.down or not world.is_connected(self._host, LOG):
            world.injected["log append refused"] += 1
            answered.set_result(AppendRefused("no connection"))
            return
        if world.should_inject(world.log_faults.late_append_probability, "log append held"):
            await asyncio.sleep(LOG_TIMEOUT_S + 3 * world.random.random())
        outcome = world.memory.append(stream, data)
        lost = world.should_inject(world.log_faults.answer_loss_probability, "log answer lost")
        await asyncio.sleep(self._delay())
        if not lost and world.is_connected(self._host, LOG) and not answered.done():
            answered.set_result(outcome)

    def _delay(self) -> float:
        return (
            self._world.random.uniform(*LOG_DELAY_RANGE_S)
            + self._world.log_faults.added_delay_s / 2
        )


class SimPeers:
    """The ``Peers`` of one host; handlers run in the receiver's process."""

    def __init__(self, world: World, me: Peer, process: Process) -> None:
        self._world = world
        self._me = me
        self._handlers: dict[str, Handler] = {}
        self.process = process
        self.halted_since: float | None = None
        world.members[me.name] = self

    @property
    def me(self) -> Peer:
        """The local host."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that have been reachable within the detection timeout."""
        return tuple(
            member.me
            for name, member in sorted(self._world.members.items())
            if self._is_live(member)
        )

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""
        answered: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        spawn(None, self._deliver, peer, kind, payload, answered)
        await asyncio.wait([answered], timeout=timeout_s)
        if answered.done():
            return answered.result()
        return PeerSilent(peer, "timeout")

    def serve(self, kind: str, handler: Handler) -> None:
        """Register the handler for messages of a kind."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Discard the summary, because the simulation uses none."""

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return no summaries."""
        return CollectedSummaries({}, {})

    async def _deliver(
        self, peer: str, kind: str, payload: bytes, answered: "asyncio.Future[bytes]"
    ) -> None:
        world = self._world
        await asyncio.sleep(world.random.uniform(*LINK_DELAY_RANGE_S))
        receiver = world.members.get(peer)
        if receiver is None or receiver.process.dead or not world.is_connected(self._me.name, peer):
            world.injected["message lost"] += 1
            return
        handler = receiver._handlers[kind]
        answer = await spawn(receiver.process, _handle, handler, self._me.name, payload)
        await asyncio.sleep(world.random.uniform(*LINK_DELAY_RANGE_S))
        if world.is_connected(self._me.name, peer) and not answered.done():
            answered.set_result(answer)

    def _is_live(self, member: "SimPeers") -> bool:
        if member is self:
            return True
        pair = frozenset((self._me.name, member.me.name))
        silent_since = [s for s in (member.halted_since, self._world.cut_since.get(pair)) if s]
        return not silent_since or now() - min(silent_since) < DETECTION_TIMEOUT_S


async def _handle(handler: Handler, sender: str, payload: bytes) -> bytes:
    return await handler(sender, payload)


class SimCall:
    """A connected call to the service, which sends nothing before ``start_sending``."""

    def __init__(self, world: World, request_id: str, key: str) -> None:
        self._world = world
        self._request_id = request_id
        self._key = key
        self._sent_at = 0.0
        self._answered: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()

    def start_sending(self) -> bool:
        """Send the call, whose effect no longer depends on its host."""
        self._sent_at = now()
        spawn(None, self._run)
        return True

    def finish(self, timeout_s: float) -> Any:
        """Raise: simulated workers await ``answer`` instead."""
        raise NotImplementedError

    def close(self) -> None:
        """Do nothing, because there is no connection."""

    async def answer(self, timeout_s: float) -> str | None:
        """Wait for the answer; return None if none arrives."""
        await asyncio.wait([self._answered], timeout=timeout_s)
        return self._answered.result() if self._answered.done() else None

    async def _run(self) -> None:
        world, faults = self._world, self._world.service_faults
        await asyncio.sleep(world.random.uniform(0.001, 0.05) + faults.added_delay_s)
        if world.should_inject(faults.failure_before_probability, "service died before effect"):
            self._answered.set_result(None)
            return
        body = f"effect {len(world.history.effects)} of {self._key}"
        world.history.effects.append(
            Effect(now(), self._request_id, self._key, body, self._sent_at)
        )
        await asyncio.sleep(world.random.uniform(0.001, 0.02))
        died = world.should_inject(faults.failure_after_probability, "service died after effect")
        self._answered.set_result(None if died else body)


class SimService:
    """The service client of the workers."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def connect(self, request_id: str, key: str) -> SimCall | None:
        """Open a call; return None if connecting fails."""
        await asyncio.sleep(self._world.random.uniform(0.0005, 0.003))
        if self._world.should_inject(
            self._world.service_faults.refusal_probability, "service refused to connect"
        ):
            return None
        return SimCall(self._world, request_id, key)
