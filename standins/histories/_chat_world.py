"""The surroundings of hosts that serve chats: peers that announce, and a log with times."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from poplarrun.clients import ListedHost
from poplarrun.hosts import Peer, PeerSilent, ZoneView
from poplarrun.log import (
    Appended,
    AppendOutcome,
    AppendUnknown,
    MemoryLog,
    ReadFailed,
    ReadOutcome,
)
from poplarrun.versions import choose_session_replicas
from standins.histories._chat_engines import LISTED
from standins.histories._chat_events import ChatHistory, Disturbed
from standins.histories._loop import Process, spawn
from standins.histories._world import LINK_DELAY_S, LOG, LOG_DELAY_S, SimLog, SimPeers, World, now

SESSION_MESSAGE = "session"


class TimedLog(MemoryLog):
    """A log that knows when each record was taken."""

    def __init__(self) -> None:
        super().__init__()
        self.times: dict[tuple[str, int], float] = {}

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        outcome = super().append(stream, data)
        if isinstance(outcome, Appended):
            self.times[stream, outcome.offset] = now()
        return outcome


class BlockingLog:
    """The log as a host's threads call it: a call is over at once.

    The host's ``_in_thread`` adds the time that it takes, and makes appends
    by ``SimLog``, whose faults need time.
    """

    def __init__(self, world: World, host: str) -> None:
        self._world = world
        self._host = host
        self._awaited = SimLog(world, host)
        self._record = ("", b"")

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Note the record, as signed on its way here; ``run`` appends it."""
        self._record = (stream, data)
        return AppendUnknown("appends are awaited")

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        if self._world.log_faults.down or not self._world.passes(self._host, LOG):
            self._world.injected["log read failed"] += 1
            return ReadFailed("no answer")
        return self._world.memory.read(stream, from_offset, limit)

    async def run(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Run a blocking call of a host in virtual time."""
        if call.__name__ == "append":
            call(*arguments)
            return await self._awaited.append(*self._record)
        await asyncio.sleep(self._world.random.uniform(*LOG_DELAY_S))
        result = call(*arguments)
        await asyncio.sleep(self._world.random.uniform(*LOG_DELAY_S))
        return result


class EngineList:
    """The platform's host list: all engines, also those that are dead just now."""

    def read(self) -> tuple[ListedHost, ...]:
        """Read the whole list."""
        return LISTED


class ChatPeers(SimPeers):
    """Peers with announcements, which write down what sessions' homes did not hear."""

    def __init__(self, world: World, history: ChatHistory, me: Peer, process: Process) -> None:
        super().__init__(world, me, process)
        self.bytes_sent = 0
        self.bytes_received = 0
        self._history = history
        self._announced: dict[str, int] = {}
        self._callbacks: list[Callable[[str, int], None]] = []

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""
        answer = await super().ask(peer, kind, payload, timeout_s)
        if kind == SESSION_MESSAGE:
            account, session = msgspec.msgpack.decode(payload)[:2]
            self.note_homes(account, session)
            if isinstance(answer, PeerSilent):
                silent = Disturbed(now(), f"{account}/{session}", "silent")
                self._history.disturbed.append(silent)
        return answer

    def note_homes(self, account: str, session: str) -> None:
        """Write down that this host doesn't hear all homes of a session."""
        place = f"{account}/{session}"
        if choose_session_replicas(account, session, self.live()) != self.list_homes(
            account, session
        ):
            self._history.disturbed.append(Disturbed(now(), place, "out of sight"))

    def list_homes(self, account: str, session: str) -> list[str]:
        """Return the homes that a session has while every host is heard."""
        return choose_session_replicas(
            account, session, [m.me for m in self._world.members.values()]
        )

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Tell every host at once; what is lost on the way the log tells later."""
        for name in sorted(self._world.members):
            spawn(None, self._carry_announcement, name, topic, number)

    def highest_announced(self, topic: str) -> int:
        """Return the highest number announced of a topic; -1 when none was heard."""
        return self._announced.get(topic, -1)

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Call back with topic and number of each new announcement."""
        self._callbacks.append(callback)

    def zones(self) -> tuple[ZoneView, ...]:
        """Return no views: they are for operators."""
        return ()

    def start(self) -> None:
        """Begin to talk; nothing is needed here."""

    async def leave(self) -> None:
        """Leave; nobody does so here."""

    async def _carry_announcement(self, peer: str, topic: str, number: int) -> None:
        await asyncio.sleep(self._world.random.uniform(*LINK_DELAY_S))
        receiver = self._world.members.get(peer)
        is_there = receiver is not None and not receiver.process.dead
        if is_there and self._world.passes(self.me.name, peer):
            assert isinstance(receiver, ChatPeers)
            spawn(receiver.process, receiver._hear, topic, number)

    async def _hear(self, topic: str, number: int) -> None:
        if number <= self.highest_announced(topic):
            return
        self._announced[topic] = number
        for callback in self._callbacks:
            callback(topic, number)
