"""Simulated dependencies of chat hosts: peers with announcements, a blocking log, a host list."""

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
from standins.histories._chat_engines import LISTED_ENGINES
from standins.histories._chat_events import ChatHistory, SessionDisruption
from standins.histories._loop import Process, spawn
from standins.histories._world import (
    LINK_DELAY_RANGE_S,
    LOG,
    LOG_DELAY_RANGE_S,
    SimLog,
    SimPeers,
    World,
    now,
)

SESSION_MESSAGE = "session"


class TimedLog(MemoryLog):
    """A log that records when each record was appended."""

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
    """The log client for a host's threads, whose calls return immediately.

    The host's ``_in_thread`` adds the latency and appends through ``SimLog``, because
    the faults of an append take virtual time.
    """

    def __init__(self, world: World, host: str) -> None:
        self._world = world
        self._host = host
        self._async_log = SimLog(world, host)
        self._pending_record = ("", b"")

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Store the signed record, which ``run`` appends."""
        self._pending_record = (stream, data)
        return AppendUnknown("appends are awaited")

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        if self._world.log_faults.down or not self._world.is_connected(self._host, LOG):
            self._world.injected["log read failed"] += 1
            return ReadFailed("no answer")
        return self._world.memory.read(stream, from_offset, limit)

    async def run(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Run a blocking call of a host in virtual time."""
        if call.__name__ == "append":
            call(*arguments)
            return await self._async_log.append(*self._pending_record)
        await asyncio.sleep(self._world.random.uniform(*LOG_DELAY_RANGE_S))
        result = call(*arguments)
        await asyncio.sleep(self._world.random.uniform(*LOG_DELAY_RANGE_S))
        return result


class EngineList:
    """The platform's host list: all engines, including unreachable ones."""

    def read(self) -> tuple[ListedHost, ...]:
        """Read the whole list."""
        return LISTED_ENGINES


class ChatPeers(SimPeers):
    """Peers with announcements, which record session owners that a host could not reach."""

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
            self.record_undetected_owners(account, session)
            if isinstance(answer, PeerSilent):
                silent = SessionDisruption(now(), f"{account}/{session}", "silent")
                self._history.session_disruptions.append(silent)
        return answer

    def record_undetected_owners(self, account: str, session: str) -> None:
        """Record that this host does not see all owners of a session as live."""
        session_key = f"{account}/{session}"
        if choose_session_replicas(account, session, self.live()) != self.list_owners(
            account, session
        ):
            self._history.session_disruptions.append(
                SessionDisruption(now(), session_key, "out of sight")
            )

    def list_owners(self, account: str, session: str) -> list[str]:
        """Return the owners that a session has while every host is live."""
        return choose_session_replicas(
            account, session, [m.me for m in self._world.members.values()]
        )

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Send to every host without retries; hosts that miss it catch up from the log."""
        for name in sorted(self._world.members):
            spawn(None, self._carry_announcement, name, topic, number)

    def highest_announced(self, topic: str) -> int:
        """Return the highest number received for a topic; -1 if there is none."""
        return self._announced.get(topic, -1)

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback for the topic and number of each new announcement."""
        self._callbacks.append(callback)

    def zones(self) -> tuple[ZoneView, ...]:
        """Return no zone views, because only operators use them."""
        return ()

    def start(self) -> None:
        """Do nothing: simulated peers are connected from the start."""

    async def leave(self) -> None:
        """Do nothing: simulated hosts never leave."""

    async def _carry_announcement(self, peer: str, topic: str, number: int) -> None:
        await asyncio.sleep(self._world.random.uniform(*LINK_DELAY_RANGE_S))
        receiver = self._world.members.get(peer)
        is_running = receiver is not None and not receiver.process.dead
        if is_running and self._world.is_connected(self.me.name, peer):
            assert isinstance(receiver, ChatPeers)
            spawn(receiver.process, receiver._receive_announcement, topic, number)

    async def _receive_announcement(self, topic: str, number: int) -> None:
        if number <= self.highest_announced(topic):
            return
        self._announced[topic] = number
        for callback in self._callbacks:
            callback(topic, number)
