"""A host's bills: kept by peers until the log has them, and those of dead peers finished."""

import asyncio
import contextlib
import enum
from collections.abc import Callable, Iterable

import msgspec

from poplarrun.billing._records import (
    Bill,
    BillLine,
    encode_bills,
    read_lines,
    shard_of,
    stream_of,
    write_lines,
)
from poplarrun.hosts import Peers, Ranking
from poplarrun.log import Appended, AsyncLog
from poplarrun.metrics import ignore_event

KEEP_MESSAGE = "billing.keep"
COPIES = 2
# Peers are asked in turn until two have the bill; more would hold up the answer.
MAX_ASKED = 4
KEEP_TIMEOUT_S = 0.3
LOG_WAIT_S = 1.0
# All hosts together append so many batches a second.
BATCHES_PER_S = 60.0
MIN_BATCH_INTERVAL_S = 1.0
MAX_BATCH_BILLS = 2000
# A peer that has not been live for so long is taken for dead; if it isn't, the
# fold drops what both append.
DEAD_AFTER_S = 1.0
# About 0.4 KB each. An hour without the log, at 18 requests a second a host and
# three copies of each bill. At the bound requests are refused before they run.
MAX_BILLS = 200_000


class KeptBy(enum.Enum):
    """What holds a bill when its answer goes out."""

    PEERS = "peers"
    LOG = "log"
    HOST_ALONE = "host_alone"


class _Keep(msgspec.Struct, frozen=True, array_like=True):
    host: str
    incarnation: int
    lines: list[BillLine]
    settled: list[str]


class _Kept(msgspec.Struct, frozen=True, array_like=True):
    has_room: bool


_encode = msgspec.msgpack.Encoder().encode
_keep_decoder = msgspec.msgpack.Decoder(_Keep)
_kept_decoder = msgspec.msgpack.Decoder(_Kept)


class BillKeeper:
    """Keeps bills until the log has them.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    log : AsyncLog
        The platform's log.
    now, wall : callable
        Seconds, monotonic and since the epoch.
    count : callable
        Counts an event by its name.

    Attributes
    ----------
    appends, finished : int
        Appends made, and bills finished for dead hosts.
    """

    def __init__(
        self,
        peers: Peers,
        log: AsyncLog,
        now: Callable[[], float],
        wall: Callable[[], float],
        count: Callable[[str], None] = ignore_event,
    ) -> None:
        self.appends = 0
        self.finished = 0
        self._peers = peers
        self._log = log
        self._now = now
        self._wall = wall
        self._count = count
        self._shard = shard_of(peers.me.name)
        # Requests of this host that run; those that no peer knows of yet.
        self._open: dict[str, Bill] = {}
        self._untold: dict[str, Bill] = {}
        # Bills that wait for the log, by shard; those that only this host has.
        self._queues: dict[int, dict[str, Bill]] = {self._shard: {}}
        self._alone: dict[str, Bill] = {}
        self._appended: dict[str, asyncio.Future[bool]] = {}
        self._keepers_of: dict[str, list[str]] = {}
        self._settled_for: dict[str, list[str]] = {}
        # What other hosts told, by host and incarnation.
        self._held: dict[tuple[str, int], dict[str, Bill]] = {}
        self._silent_since: dict[tuple[str, int], float] = {}
        self._live_before: set[tuple[str, int]] = set()
        self._flushing: asyncio.Task[None] | None = None
        self._is_urgent = asyncio.Event()
        self._log_failed_until = 0.0
        self._ranking = Ranking()
        peers.serve(KEEP_MESSAGE, self._serve_keep)

    @property
    def size(self) -> int:
        """Bills in memory: own ones and those held for peers."""
        own = len(self._open) + sum(len(queue) for queue in self._queues.values())
        return own + sum(len(held) for held in self._held.values())

    @property
    def is_full(self) -> bool:
        """Whether no request may begin, for its bill could not be kept."""
        return self.size >= MAX_BILLS

    @property
    def waiting(self) -> int:
        """Bills that the log doesn't hold yet."""
        return sum(len(queue) for queue in self._queues.values())

    def open(self, bill: Bill) -> None:
        """Note a request that begins; peers bill it so if this host dies meanwhile.

        They are told with the next ``tend``: most requests are over by then,
        and cost no message beside that of their final bill.
        """
        stamped = msgspec.structs.replace(bill, at=self._wall(), is_final=False)
        self._open[bill.id] = self._untold[bill.id] = stamped

    def drop(self, bill_id: str) -> None:
        """Forget a request that ended without any cost."""
        self._untold.pop(bill_id, None)
        if self._open.pop(bill_id, None) is not None:
            self._settle([bill_id])

    async def keep(self, bill: Bill) -> KeptBy:
        """Keep a final bill, and return once it outlives this host.

        Two peers, in other zones where there are any, hold it then; where they
        can't be reached, the log does; with neither in reach, only this host.
        The answer is not held back for longer: a zone that is cut off goes on
        serving, and tells the peers once they are back.
        """
        bill = msgspec.structs.replace(bill, at=self._wall(), is_final=True)
        self._open.pop(bill.id, None)
        self._untold.pop(bill.id, None)
        self._queues[self._shard][bill.id] = bill
        self._start_flush()
        if await self._copy([bill]) >= COPIES:
            kept = KeptBy.PEERS
        elif await self._wait_for_log(bill):
            kept = KeptBy.LOG
        else:
            kept = KeptBy.HOST_ALONE
            self._alone[bill.id] = bill
        self._count(f"bill_kept_by_{kept.value}")
        return kept

    async def drain(self) -> None:
        """Append what waits, once; what the log doesn't take, peers finish."""
        self._is_urgent.set()
        if self._flushing is not None:
            await asyncio.wait([self._flushing])

    async def tend(self) -> None:
        """Tell peers what is new, and finish the bills of dead hosts."""
        live = {(peer.name, peer.incarnation) for peer in self._peers.live()}
        for holder in list(self._held):
            if holder in live:
                self._silent_since.pop(holder, None)
            elif self._now() - self._silent_since.setdefault(holder, self._now()) >= DEAD_AFTER_S:
                self._finish(holder)
        self._note_gone(self._live_before - live)
        self._live_before = live
        if self.waiting:
            self._start_flush()
        await self._tell_new()
        settled, self._settled_for = self._settled_for, {}
        await asyncio.gather(*(self._tell(peer, [], ids) for peer, ids in settled.items()))

    def _note_gone(self, gone: set[tuple[str, int]]) -> None:
        """Have bills copied anew that a peer held which is gone.

        While the log is out, the holders of a bill could else die one by one.
        """
        if not gone:
            return
        names = {name for name, _ in gone}
        pending = [self._open, *self._queues.values()]
        for bill_id, keepers in self._keepers_of.items():
            if names.isdisjoint(keepers):
                continue
            for bills in pending:
                if bill_id in bills:
                    self._alone[bill_id] = bills[bill_id]

    async def _tell_new(self) -> None:
        """Tell peers of running requests, and of bills that only this host has."""
        told = [*self._untold.values(), *self._alone.values()][:MAX_BATCH_BILLS]
        if told and await self._copy(told) >= COPIES:
            for bill in told:
                for waiting in (self._untold, self._alone):
                    if waiting.get(bill.id) is bill:
                        del waiting[bill.id]

    def _forget_alone(self, bills: list[Bill]) -> None:
        for bill in bills:
            self._alone.pop(bill.id, None)

    async def _wait_for_log(self, bill: Bill) -> bool:
        """Append at once, and tell whether the log has the bill."""
        if bill.id not in self._queues[self._shard]:
            return True
        if self._now() < self._log_failed_until:
            return False
        appended = self._appended.setdefault(bill.id, asyncio.get_running_loop().create_future())
        self._is_urgent.set()
        self._start_flush()
        await asyncio.wait([appended], timeout=LOG_WAIT_S)
        self._appended.pop(bill.id, None)
        return appended.done() and appended.result()

    def _finish(self, holder: tuple[str, int]) -> None:
        """Append a dead host's bills in its place, as far as they were told here.

        Two new peers are told of them too: while the log is out, the hosts that
        held them could die one after the other.
        """
        bills = self._held.pop(holder)
        self._silent_since.pop(holder, None)
        queue = self._queues.setdefault(shard_of(holder[0]), {})
        for bill in bills.values():
            if bill.id not in queue:
                queue[bill.id] = self._alone[bill.id] = bill
        self.finished += len(bills)
        self._count("dead_host_finished")
        self._is_urgent.set()

    async def _copy(self, bills: list[Bill]) -> int:
        """Give bills to peers until two have them; return how many do."""
        copies = 0
        candidates = self._rank_peers()[:MAX_ASKED]
        while candidates and copies < COPIES:
            asked, candidates = candidates[: COPIES - copies], candidates[COPIES - copies :]
            # A silent peer may hold them too: it must hear when it can drop them.
            for bill in bills:
                self._keepers_of.setdefault(bill.id, []).extend(asked)
            copies += sum(await asyncio.gather(*(self._tell(peer, bills, []) for peer in asked)))
        self._settle([bill.id for bill in bills if not self._is_pending(bill.id)])
        return copies

    def _is_pending(self, bill_id: str) -> bool:
        return bill_id in self._open or any(bill_id in queue for queue in self._queues.values())

    def holds(self, bill_id: str) -> bool:
        """Tell whether a bill is in memory here, the own one or a peer's."""
        return self._is_pending(bill_id) or any(bill_id in held for held in self._held.values())

    def _rank_peers(self) -> list[str]:
        """Order the peers, those of other zones first, spread evenly over the fleet."""
        me = self._peers.me
        others = [peer for peer in self._peers.live() if peer.name != me.name]
        ranked = self._ranking.rank(f"billing/{me.name}", tuple(peer.name for peer in others))
        zones = {peer.name: peer.zone for peer in others}
        seen: set[str] = set()
        first: list[str] = []
        rest: list[str] = []
        for name in ranked:
            is_new = zones[name] != me.zone and zones[name] not in seen
            (first if is_new else rest).append(name)
            seen.add(zones[name])
        rest.sort(key=lambda name: zones[name] == me.zone)
        return first + rest

    async def _tell(self, peer: str, bills: list[Bill], settled: list[str]) -> bool:
        me = self._peers.me
        message = _encode(_Keep(me.name, me.incarnation, write_lines(bills), settled))
        answer = await self._peers.ask(peer, KEEP_MESSAGE, message, KEEP_TIMEOUT_S)
        if isinstance(answer, bytes):
            return _kept_decoder.decode(answer).has_room
        if settled:
            self._settled_for.setdefault(peer, []).extend(settled)
        return False

    async def _serve_keep(self, _: str, payload: bytes) -> bytes:
        message = _keep_decoder.decode(payload)
        holder = (message.host, message.incarnation)
        held = self._held.setdefault(holder, {})
        for bill_id in message.settled:
            held.pop(bill_id, None)
        has_room = not message.lines or not self.is_full
        if has_room:
            for bill in read_lines(message.lines):
                if bill.is_final or bill.id not in held:
                    held[bill.id] = bill
        if not held:
            del self._held[holder]
        return _encode(_Kept(has_room))

    def _settle(self, ids: Iterable[str]) -> None:
        """Note for each peer which bills it need not hold any longer."""
        for bill_id in ids:
            for peer in dict.fromkeys(self._keepers_of.pop(bill_id, ())):
                self._settled_for.setdefault(peer, []).append(bill_id)

    def _start_flush(self) -> None:
        if self._flushing is None:
            self._flushing = asyncio.create_task(self._flush())

    async def _flush(self) -> None:
        """Append what waits, one batch at a time, until nothing does or the log fails."""
        try:
            while self.waiting:
                await self._pause()
                for shard in list(self._queues):
                    if self._queues[shard] and not await self._append(shard):
                        return
        finally:
            self._flushing = None

    async def _pause(self) -> None:
        """Let a batch fill, unless a caller waits for the log."""
        interval_s = max(MIN_BATCH_INTERVAL_S, len(self._peers.live()) / BATCHES_PER_S)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._is_urgent.wait(), interval_s)
        self._is_urgent.clear()

    async def _append(self, shard: int) -> bool:
        """Append one batch; an unknown outcome is repeated, for the fold drops repeats."""
        queue = self._queues[shard]
        bills = list(queue.values())[:MAX_BATCH_BILLS]
        self.appends += 1
        outcome = await self._log.append(stream_of(shard), encode_bills(bills))
        is_appended = isinstance(outcome, Appended)
        if not is_appended:
            self._count("bill_append_failed")
            self._log_failed_until = self._now() + LOG_WAIT_S
        for bill in bills:
            if is_appended and queue.get(bill.id) is bill:
                del queue[bill.id]
            self._note_appended(bill.id, is_appended)
        if is_appended:
            self._forget_alone(bills)
            self._settle([bill.id for bill in bills])
        return is_appended

    def _note_appended(self, bill_id: str, is_appended: bool) -> None:
        waiting = self._appended.pop(bill_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(is_appended)
