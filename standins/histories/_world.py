"""The hosts' surroundings: links, log and service, each with its faults."""

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
DETECTION_S = 1.0
LINK_DELAY_S = (0.001, 0.008)
LOG_DELAY_S = (0.005, 0.03)
LOG = "log"


def now() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


@dataclass
class LogFaults:
    """What the log does wrong now.

    Attributes
    ----------
    lost_answers : float
        Share of appends that take effect and get no answer.
    held : float
        Share of appends that take effect only after their caller gave up.
    slow_s : float
        Time that each call takes in addition, in seconds.
    """

    down: bool = False
    lost_answers: float = 0.0
    held: float = 0.0
    slow_s: float = 0.0


@dataclass
class ServiceFaults:
    """What the service does wrong now, as shares of its calls."""

    refused: float = 0.0
    dies_before: float = 0.0
    dies_after: float = 0.0
    slow_s: float = 0.0


@dataclass(frozen=True)
class Keep:
    """A final bill was kept: when, and in which processes' memories."""

    bill_id: str
    at: float
    holders: tuple[Process, ...]


@dataclass
class World:
    """All that the hosts share.

    Attributes
    ----------
    cuts : set of frozenset of str
        Pairs of names between which nothing passes; ``log`` is one of them.
    injected : Counter
        Faults that took effect, by name.
    keeps : list of Keep
        The bills whose requests were answered.
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
    keeps: list[Keep] = field(default_factory=list)

    def passes(self, one: str, other: str) -> bool:
        """Tell whether anything passes between two names."""
        return frozenset((one, other)) not in self.cuts

    def cut(self, some: list[str], others: list[str]) -> None:
        """Cut two groups off from each other."""
        for one in some:
            for other in others:
                pair = frozenset((one, other))
                self.cuts.add(pair)
                self.cut_since.setdefault(pair, now())

    def heal(self) -> None:
        """Let everything pass again."""
        self.cuts.clear()
        self.cut_since.clear()

    def draw(self, share: float, fault: str) -> bool:
        """Tell whether a fault strikes, and count it."""
        strikes = self.random.random() < share
        self.injected[fault] += strikes
        return strikes


class SimLog:
    """The log as one host reaches it; an append goes on when its host is gone."""

    def __init__(self, world: World, host: str) -> None:
        self._world = world
        self._host = host

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        answered: asyncio.Future[AppendOutcome] = asyncio.get_running_loop().create_future()
        spawn(None, self._carry, stream, data, answered)
        await asyncio.wait([answered], timeout=LOG_TIMEOUT_S)
        return answered.result() if answered.done() else AppendUnknown("timeout")

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        await asyncio.sleep(self._delay())
        if self._world.log_faults.down or not self._world.passes(self._host, LOG):
            self._world.injected["log read failed"] += 1
            return ReadFailed("no answer")
        return self._world.memory.read(stream, from_offset, limit)

    async def _carry(
        self, stream: str, data: bytes, answered: "asyncio.Future[AppendOutcome]"
    ) -> None:
        world = self._world
        await asyncio.sleep(self._delay())
        if world.log_faults.down or not world.passes(self._host, LOG):
            world.injected["log append refused"] += 1
            answered.set_result(AppendRefused("no connection"))
            return
        if world.draw(world.log_faults.held, "log append held"):
            await asyncio.sleep(LOG_TIMEOUT_S + 3 * world.random.random())
        outcome = world.memory.append(stream, data)
        lost = world.draw(world.log_faults.lost_answers, "log answer lost")
        await asyncio.sleep(self._delay())
        if not lost and world.passes(self._host, LOG) and not answered.done():
            answered.set_result(outcome)

    def _delay(self) -> float:
        return self._world.random.uniform(*LOG_DELAY_S) + self._world.log_faults.slow_s / 2


class SimPeers:
    """The ``Peers`` of one host: messages run in the process of their receiver."""

    def __init__(self, world: World, me: Peer, process: Process) -> None:
        self._world = world
        self._me = me
        self._handlers: dict[str, Handler] = {}
        self.process = process
        self.halted_since: float | None = None
        world.members[me.name] = self

    @property
    def me(self) -> Peer:
        """The own host."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that were heard of within the detection time."""
        return tuple(
            member.me for name, member in sorted(self._world.members.items()) if self._heard(member)
        )

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""
        answered: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        spawn(None, self._carry, peer, kind, payload, answered)
        await asyncio.wait([answered], timeout=timeout_s)
        if answered.done():
            return answered.result()
        return PeerSilent(peer, "timeout")

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer messages of a kind."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Keep no summaries: the outcomes use none."""

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return no summaries."""
        return CollectedSummaries({}, {})

    async def _carry(
        self, peer: str, kind: str, payload: bytes, answered: "asyncio.Future[bytes]"
    ) -> None:
        world = self._world
        await asyncio.sleep(world.random.uniform(*LINK_DELAY_S))
        receiver = world.members.get(peer)
        if receiver is None or receiver.process.dead or not world.passes(self._me.name, peer):
            world.injected["message lost"] += 1
            return
        handler = receiver._handlers[kind]
        answer = await spawn(receiver.process, _handle, handler, self._me.name, payload)
        await asyncio.sleep(world.random.uniform(*LINK_DELAY_S))
        if world.passes(self._me.name, peer) and not answered.done():
            answered.set_result(answer)

    def _heard(self, member: "SimPeers") -> bool:
        if member is self:
            return True
        pair = frozenset((self._me.name, member.me.name))
        silent_since = [s for s in (member.halted_since, self._world.cut_since.get(pair)) if s]
        return not silent_since or now() - min(silent_since) < DETECTION_S


async def _handle(handler: Handler, sender: str, payload: bytes) -> bytes:
    return await handler(sender, payload)


class SimCall:
    """A connected call of the service; bytes go out only by ``start_sending``."""

    def __init__(self, world: World, request_id: str, key: str) -> None:
        self._world = world
        self._request_id = request_id
        self._key = key
        self._sent_at = 0.0
        self._answered: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()

    def start_sending(self) -> bool:
        """Send the call; what it causes no longer depends on its host."""
        self._sent_at = now()
        spawn(None, self._run)
        return True

    def finish(self, timeout_s: float) -> Any:
        """Return nothing: the worker here awaits ``answer`` instead."""
        raise NotImplementedError

    def close(self) -> None:
        """Close nothing."""

    async def answer(self, timeout_s: float) -> str | None:
        """Wait for the answer; None when none came."""
        await asyncio.wait([self._answered], timeout=timeout_s)
        return self._answered.result() if self._answered.done() else None

    async def _run(self) -> None:
        world, faults = self._world, self._world.service_faults
        await asyncio.sleep(world.random.uniform(0.001, 0.05) + faults.slow_s)
        if world.draw(faults.dies_before, "service died before effect"):
            self._answered.set_result(None)
            return
        body = f"effect {len(world.history.effects)} of {self._key}"
        world.history.effects.append(
            Effect(now(), self._request_id, self._key, body, self._sent_at)
        )
        await asyncio.sleep(world.random.uniform(0.001, 0.02))
        died = world.draw(faults.dies_after, "service died after effect")
        self._answered.set_result(None if died else body)


class SimService:
    """The service as the workers reach it."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def prepare(self, request_id: str, key: str) -> SimCall | None:
        """Connect; None when that fails."""
        await asyncio.sleep(self._world.random.uniform(0.0005, 0.003))
        if self._world.draw(self._world.service_faults.refused, "service refused to connect"):
            return None
        return SimCall(self._world, request_id, key)
