"""A host's bills: kept by peers until the log has them, and those of dead peers finished."""

import asyncio
import enum
from collections.abc import Callable

import msgspec

from poplarrun.billing._batcher import MAX_BATCH_BILLS, BillBatcher
from poplarrun.billing._peer_bills import HostIncarnation, OrphanedBills, PeerBills, ShardsByBill
from poplarrun.billing._records import Bill, BillLine, decode_lines, encode_lines, shard_of
from poplarrun.hosts import Peers
from poplarrun.log import AsyncLog
from poplarrun.metrics import ignore_event
from poplarrun.rendezvous import RankingCache

REPLICATE_MESSAGE = "billing.keep"
REPLICA_COUNT = 2
# Peers are asked in turn until two have the bill; more would hold up the answer.
MAX_PEERS_ASKED = 4
REPLICATE_TIMEOUT_S = 0.3
# About 0.4 KB each. An hour without the log, at 18 requests a second a host and
# three copies of each bill. At the bound requests are refused before they run.
MAX_BILLS = 200_000


class BillDurability(enum.Enum):
    """What holds a bill when its answer goes out."""

    PEERS = "peers"
    LOG = "log"
    HOST_ALONE = "host_alone"


class _ReplicateRequest(msgspec.Struct, frozen=True, array_like=True):
    host: str
    incarnation: int
    lines: list[BillLine]
    logged_ids: list[str]
    foreign_shards: ShardsByBill = {}


class _ReplicateAnswer(msgspec.Struct, frozen=True, array_like=True):
    has_room: bool


_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(_ReplicateRequest)
_answer_decoder = msgspec.msgpack.Decoder(_ReplicateAnswer)


class BillReplicator:
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
    finished : int
        Bills that were finished for dead hosts.
    """

    def __init__(
        self,
        peers: Peers,
        log: AsyncLog,
        now: Callable[[], float],
        wall: Callable[[], float],
        count: Callable[[str], None] = ignore_event,
    ) -> None:
        self.finished_for_peers = 0
        self._peers = peers
        self._now = now
        self._wall = wall
        self._count = count
        self._shard = shard_of(peers.me.name)
        self._batches = BillBatcher(
            log, now, lambda: len(peers.live()), self._handle_appended, count
        )
        self._peer_bills = PeerBills()
        # Requests of this host that run, and what peers must be told with the
        # next ``tend``: new ones, and bills that too few peers hold.
        self._open_bills: dict[str, Bill] = {}
        self._unreplicated: dict[str, Bill] = {}
        # Shards of the bills that this host finishes for others, until the log has them.
        self._foreign_shards: ShardsByBill = {}
        # The peers that may hold a bill, and the bills that a peer can drop.
        self._replicas_of: dict[str, list[str]] = {}
        self._logged_ids_for: dict[str, list[str]] = {}
        self._live_before: set[HostIncarnation] = set()
        self._ranking = RankingCache()
        peers.serve(REPLICATE_MESSAGE, self._serve_replicate)

    @property
    def append_count(self) -> int:
        """Appends made so far."""
        return self._batches.append_count

    @property
    def size(self) -> int:
        """Bills in memory: own ones and those held for peers."""
        return len(self._open_bills) + self._batches.unlogged_count + self._peer_bills.size

    @property
    def is_full(self) -> bool:
        """Whether no request may begin, for its bill could not be kept."""
        return self.size >= MAX_BILLS

    @property
    def unlogged_count(self) -> int:
        """Bills that the log doesn't hold yet."""
        return self._batches.unlogged_count

    def has_bill(self, bill_id: str) -> bool:
        """Tell whether a bill is in memory here, the own one or a peer's."""
        return self._find(bill_id) is not None or self._peer_bills.contains(bill_id)

    def open_bill(self, bill: Bill) -> None:
        """Note a request that begins; peers bill it so if this host dies meanwhile.

        They are told with the next ``tend``: most requests are over by then,
        and cost no message beside that of their final bill.
        """
        stamped = msgspec.structs.replace(bill, at=self._wall(), is_final=False)
        self._open_bills[bill.id] = self._unreplicated[bill.id] = stamped

    def cancel_bill(self, bill_id: str) -> None:
        """Forget a request that ended without any cost.

        Peers that were told of it would bill it in this host's place, should it be
        cut off before it tells them to forget it too: its caller was told "not run"
        and would pay. A final bill of nothing in the log outweighs theirs.
        """
        self._unreplicated.pop(bill_id, None)
        bill = self._open_bills.pop(bill_id, None)
        if bill is None:
            return
        if bill_id in self._replicas_of:
            free = msgspec.structs.replace(bill, amount=0.0, is_final=True)
            self._batches.add(self._shard, free)
            self._batches.start_flush()

    async def replicate(self, bill: Bill) -> BillDurability:
        """Keep a final bill, and return once it outlives this host.

        Two peers, in other zones where there are any, hold it then; where they
        can't be reached, the log does; with neither in reach, only this host.
        The answer is not held back for longer: a zone that is cut off goes on
        serving, and tells the peers once they are back.
        """
        bill = msgspec.structs.replace(bill, at=self._wall(), is_final=True)
        self._open_bills.pop(bill.id, None)
        self._unreplicated.pop(bill.id, None)
        self._batches.add(self._shard, bill)
        self._batches.start_flush()
        if await self._replicate([bill]) >= REPLICA_COUNT:
            kept = BillDurability.PEERS
        elif await self._batches.wait_until_logged(bill):
            kept = BillDurability.LOG
        else:
            kept = BillDurability.HOST_ALONE
            self._unreplicated[bill.id] = bill
        self._count(f"bill_kept_by_{kept.value}")
        return kept

    async def drain(self) -> None:
        """Append what waits at once; what the log doesn't take, peers finish."""
        await self._batches.drain()

    async def run_round(self) -> None:
        """Tell peers what is new, and finish the bills of dead hosts."""
        live = {(peer.name, peer.incarnation) for peer in self._peers.live()}
        for orphans in self._peer_bills.remove_orphans(live, self._now()):
            self._adopt_orphans(orphans)
        self._rereplicate({name for name, _ in self._live_before - live})
        self._live_before = live
        self._batches.start_flush()
        await self._replicate_new()
        await self._send_logged_ids({name for name, _ in live})

    def _adopt_orphans(self, orphans: OrphanedBills) -> None:
        """Append a dead host's bills in its place, as far as they were told here.

        Two new peers are told of them too: while the log is out, the hosts that
        held them could die one after the other. All copies of a bill must come
        into one stream, or the stream's fold bills it twice: so its shard goes
        with it, whoever finishes it in the end.
        """
        for bill in orphans.bills:
            if self._batches.find(bill.id) is None:
                shard = orphans.foreign_shards.get(bill.id, shard_of(orphans.host))
                self._batches.add(shard, bill)
                self._foreign_shards[bill.id] = shard
                self._unreplicated[bill.id] = bill
        self.finished_for_peers += len(orphans.bills)
        self._count("dead_host_finished")
        self._batches.start_flush(is_urgent=True)

    def _rereplicate(self, names: set[str]) -> None:
        """Have bills copied anew that a peer held which is gone.

        While the log is out, the holders of a bill could else die one by one.
        """
        if not names:
            return
        for bill_id, keepers in self._replicas_of.items():
            bill = None if names.isdisjoint(keepers) else self._find(bill_id)
            if bill is not None:
                self._unreplicated[bill_id] = bill

    async def _replicate_new(self) -> None:
        """Tell peers of running requests, and of bills that too few of them hold."""
        told = list(self._unreplicated.values())[:MAX_BATCH_BILLS]
        if told and await self._replicate(told) >= REPLICA_COUNT:
            for bill in told:
                if self._unreplicated.get(bill.id) is bill:
                    del self._unreplicated[bill.id]

    async def _send_logged_ids(self, live: set[str]) -> None:
        """Tell live peers what they can drop.

        One that is gone is not told: should it be back, it holds a few bills
        until this host's incarnation ends, and the fold drops what it appends.
        """
        settled, self._logged_ids_for = self._logged_ids_for, {}
        told = [self._send(peer, [], ids) for peer, ids in settled.items() if peer in live]
        await asyncio.gather(*told)

    def _handle_appended(self, bills: list[Bill]) -> None:
        for bill in bills:
            self._unreplicated.pop(bill.id, None)
            self._foreign_shards.pop(bill.id, None)
        self._record_logged([bill.id for bill in bills])

    def _record_logged(self, ids: list[str]) -> None:
        """Note for each peer which bills it need not hold any longer."""
        for bill_id in ids:
            for peer in dict.fromkeys(self._replicas_of.pop(bill_id, ())):
                self._logged_ids_for.setdefault(peer, []).append(bill_id)

    def _find(self, bill_id: str) -> Bill | None:
        """Return a bill that this host must get into the log."""
        return self._batches.find(bill_id) or self._open_bills.get(bill_id)

    async def _replicate(self, bills: list[Bill]) -> int:
        """Give bills to peers until two have them; return how many do."""
        copies = 0
        candidates = self._rank_peers()[:MAX_PEERS_ASKED]
        while candidates and copies < REPLICA_COUNT:
            asked, candidates = (
                candidates[: REPLICA_COUNT - copies],
                candidates[REPLICA_COUNT - copies :],
            )
            # A silent peer may hold them too: it must hear when it can drop them.
            for bill in bills:
                self._replicas_of.setdefault(bill.id, []).extend(asked)
            copies += sum(await asyncio.gather(*(self._send(peer, bills, []) for peer in asked)))
        self._record_logged([bill.id for bill in bills if self._find(bill.id) is None])
        return copies

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

    async def _send(self, peer: str, bills: list[Bill], settled: list[str]) -> bool:
        me = self._peers.me
        foreign = {b.id: self._foreign_shards[b.id] for b in bills if b.id in self._foreign_shards}
        keep = _ReplicateRequest(me.name, me.incarnation, encode_lines(bills), settled, foreign)
        message = _encode(keep)
        answer = await self._peers.ask(peer, REPLICATE_MESSAGE, message, REPLICATE_TIMEOUT_S)
        if isinstance(answer, bytes):
            return _answer_decoder.decode(answer).has_room
        if settled:
            self._logged_ids_for.setdefault(peer, []).extend(settled)
        return False

    async def _serve_replicate(self, _: str, payload: bytes) -> bytes:
        message = _request_decoder.decode(payload)
        origin = (message.host, message.incarnation)
        has_room = not message.lines or not self.is_full
        if has_room:
            self._peer_bills.add(origin, decode_lines(message.lines), message.foreign_shards)
        self._peer_bills.discard(origin, message.logged_ids)
        return _encode(_ReplicateAnswer(has_room))
