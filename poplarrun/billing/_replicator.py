"""Replication of a host's bills to peers until they are logged, and takeover from dead peers."""

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
# Peers are asked in turn until two have the bill. Asking more than this would delay the answer to
# the client.
MAX_PEERS_ASKED = 4
REPLICATE_TIMEOUT_S = 0.3
# Bound on the bills in memory, about 0.4 KB each: an hour without the log, at 18 requests a second
# for each host and three copies of each bill. At the bound requests are refused before they run.
MAX_BILLS = 200_000


class BillDurability(enum.Enum):
    """Where a bill is stored when the answer to its request is sent."""

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
    """Keeps bills on several hosts until they are in the log.

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
    finished_for_peers : int
        Bills that were appended for dead hosts.
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
        self._batcher = BillBatcher(
            log, now, lambda: len(peers.live()), self._handle_appended, count
        )
        self._peer_bills = PeerBills()
        # Running requests of this host, and the bills to send to peers in the next round: new ones,
        # and those of which too few peers have copies.
        self._open_bills: dict[str, Bill] = {}
        self._unreplicated: dict[str, Bill] = {}
        # Shards of the bills that this host appends for dead hosts, until they are in the log.
        self._foreign_shards: ShardsByBill = {}
        # The peers that may have a copy of a bill, and the ids that each peer can discard.
        self._replicas_of: dict[str, list[str]] = {}
        self._logged_ids_for: dict[str, list[str]] = {}
        self._live_before: set[HostIncarnation] = set()
        self._ranking = RankingCache()
        peers.serve(REPLICATE_MESSAGE, self._serve_replicate)

    @property
    def append_count(self) -> int:
        """Appends made so far."""
        return self._batcher.append_count

    @property
    def size(self) -> int:
        """Bills in memory: this host's own and copies held for peers."""
        return len(self._open_bills) + self._batcher.unlogged_count + self._peer_bills.size

    @property
    def is_full(self) -> bool:
        """Whether no request may begin, because its bill could not be stored."""
        return self.size >= MAX_BILLS

    @property
    def unlogged_count(self) -> int:
        """Bills that are not in the log yet."""
        return self._batcher.unlogged_count

    def has_bill(self, bill_id: str) -> bool:
        """Tell whether a bill is in memory here, own or copied."""
        return self._find(bill_id) is not None or self._peer_bills.contains(bill_id)

    def open_bill(self, bill: Bill) -> None:
        """Record a request that begins; peers bill it as given if this host dies meanwhile.

        Peers get it only in the next round: most requests have finished by then, and need no
        message but that of their final bill.
        """
        stamped = msgspec.structs.replace(bill, at=self._wall(), is_final=False)
        self._open_bills[bill.id] = self._unreplicated[bill.id] = stamped

    def cancel_bill(self, bill_id: str) -> None:
        """Remove a request that ended without any cost.

        If this host is isolated before it can tell its peers, those that have a copy would bill the
        request in its place: a caller that was told "not run" would pay. A final bill of amount
        zero in the log overrides theirs.
        """
        self._unreplicated.pop(bill_id, None)
        bill = self._open_bills.pop(bill_id, None)
        if bill is None:
            return
        if bill_id in self._replicas_of:
            zero_bill = msgspec.structs.replace(bill, amount=0.0, is_final=True)
            self._batcher.add(self._shard, zero_bill)
            self._batcher.start_flush()

    async def replicate(self, bill: Bill) -> BillDurability:
        """Store a final bill, and return once it survives the death of this host.

        Two peers then have copies, in other zones where possible. If they can't be reached, the log
        has the bill; if neither can be reached, only this host does. The answer is not delayed any
        further: an isolated zone continues to serve, and sends the bills to peers once they are
        reachable.
        """
        bill = msgspec.structs.replace(bill, at=self._wall(), is_final=True)
        self._open_bills.pop(bill.id, None)
        self._unreplicated.pop(bill.id, None)
        self._batcher.add(self._shard, bill)
        self._batcher.start_flush()
        if await self._replicate([bill]) >= REPLICA_COUNT:
            durability = BillDurability.PEERS
        elif await self._batcher.try_append_now(bill):
            durability = BillDurability.LOG
        else:
            durability = BillDurability.HOST_ALONE
            self._unreplicated[bill.id] = bill
        self._count(f"bill_kept_by_{durability.value}")
        return durability

    async def drain(self) -> None:
        """Append the queued bills at once; those that the log doesn't accept are left to peers."""
        await self._batcher.drain()

    async def run_round(self) -> None:
        """Replicate what is new, and take over the bills of dead hosts."""
        live = {(peer.name, peer.incarnation) for peer in self._peers.live()}
        for orphans in self._peer_bills.remove_orphans(live, self._now()):
            self._adopt_orphans(orphans)
        self._rereplicate({name for name, _ in self._live_before - live})
        self._live_before = live
        self._batcher.start_flush()
        await self._replicate_new()
        await self._send_logged_ids({name for name, _ in live})

    def _adopt_orphans(self, orphans: OrphanedBills) -> None:
        """Append a dead host's bills in its place, as far as this host has copies.

        Two more peers get copies of them: while the log is unavailable, the hosts that have copies
        could die one after another. All copies of a bill must be appended to the same stream, or it
        would be billed twice. Its shard is therefore sent with it, whoever appends it in the end.
        """
        for bill in orphans.bills:
            if self._batcher.find(bill.id) is None:
                shard = orphans.foreign_shards.get(bill.id, shard_of(orphans.host))
                self._batcher.add(shard, bill)
                self._foreign_shards[bill.id] = shard
                self._unreplicated[bill.id] = bill
        self.finished_for_peers += len(orphans.bills)
        self._count("dead_host_finished")
        self._batcher.start_flush(is_urgent=True)

    def _rereplicate(self, names: set[str]) -> None:
        """Schedule new copies of the bills that a lost peer had.

        While the log is unavailable, the hosts that have copies of a bill could otherwise die one
        after another.
        """
        if not names:
            return
        for bill_id, replicas in self._replicas_of.items():
            bill = None if names.isdisjoint(replicas) else self._find(bill_id)
            if bill is not None:
                self._unreplicated[bill_id] = bill

    async def _replicate_new(self) -> None:
        """Send running requests, and bills of which too few peers have copies, to peers."""
        bills_to_send = list(self._unreplicated.values())[:MAX_BATCH_BILLS]
        if bills_to_send and await self._replicate(bills_to_send) >= REPLICA_COUNT:
            for bill in bills_to_send:
                if self._unreplicated.get(bill.id) is bill:
                    del self._unreplicated[bill.id]

    async def _send_logged_ids(self, live: set[str]) -> None:
        """Send live peers the ids that they can discard.

        A peer that is gone gets none. If it returns, it holds a few bills until this host's
        incarnation ends, and the fold drops what it appends.
        """
        logged_ids, self._logged_ids_for = self._logged_ids_for, {}
        sends = [self._send(peer, [], ids) for peer, ids in logged_ids.items() if peer in live]
        await asyncio.gather(*sends)

    def _handle_appended(self, bills: list[Bill]) -> None:
        for bill in bills:
            self._unreplicated.pop(bill.id, None)
            self._foreign_shards.pop(bill.id, None)
        self._record_logged([bill.id for bill in bills])

    def _record_logged(self, ids: list[str]) -> None:
        """Record for each peer which copies it can discard."""
        for bill_id in ids:
            for peer in dict.fromkeys(self._replicas_of.pop(bill_id, ())):
                self._logged_ids_for.setdefault(peer, []).append(bill_id)

    def _find(self, bill_id: str) -> Bill | None:
        """Return a bill that this host has to get into the log, or None."""
        return self._batcher.find(bill_id) or self._open_bills.get(bill_id)

    async def _replicate(self, bills: list[Bill]) -> int:
        """Send bills to peers until two have copies; return how many do."""
        copies = 0
        candidates = self._rank_peers()[:MAX_PEERS_ASKED]
        while candidates and copies < REPLICA_COUNT:
            recipients, candidates = (
                candidates[: REPLICA_COUNT - copies],
                candidates[REPLICA_COUNT - copies :],
            )
            # A peer that didn't answer may have copies too, and must be told when to discard them.
            for bill in bills:
                self._replicas_of.setdefault(bill.id, []).extend(recipients)
            copies += sum(
                await asyncio.gather(*(self._send(peer, bills, []) for peer in recipients))
            )
        self._record_logged([bill.id for bill in bills if self._find(bill.id) is None])
        return copies

    def _rank_peers(self) -> list[str]:
        """Return the peers, one of each other zone first and those of the own zone last.

        Ranks differ from host to host, which spreads the copies evenly over all hosts.
        """
        me = self._peers.me
        others = [peer for peer in self._peers.live() if peer.name != me.name]
        ranked = self._ranking.rank(f"billing/{me.name}", tuple(peer.name for peer in others))
        zones = {peer.name: peer.zone for peer in others}
        seen_zones: set[str] = set()
        first: list[str] = []
        rest: list[str] = []
        for name in ranked:
            is_new = zones[name] != me.zone and zones[name] not in seen_zones
            (first if is_new else rest).append(name)
            seen_zones.add(zones[name])
        rest.sort(key=lambda name: zones[name] == me.zone)
        return first + rest

    async def _send(self, peer: str, bills: list[Bill], logged_ids: list[str]) -> bool:
        me = self._peers.me
        foreign_shards = {
            b.id: self._foreign_shards[b.id] for b in bills if b.id in self._foreign_shards
        }
        request = _ReplicateRequest(
            me.name, me.incarnation, encode_lines(bills), logged_ids, foreign_shards
        )
        message = _encode(request)
        answer = await self._peers.ask(peer, REPLICATE_MESSAGE, message, REPLICATE_TIMEOUT_S)
        if isinstance(answer, bytes):
            return _answer_decoder.decode(answer).has_room
        if logged_ids:
            self._logged_ids_for.setdefault(peer, []).extend(logged_ids)
        return False

    async def _serve_replicate(self, _: str, payload: bytes) -> bytes:
        message = _request_decoder.decode(payload)
        origin = (message.host, message.incarnation)
        has_room = not message.lines or not self.is_full
        if has_room:
            self._peer_bills.add(origin, decode_lines(message.lines), message.foreign_shards)
        self._peer_bills.discard(origin, message.logged_ids)
        return _encode(_ReplicateAnswer(has_room))
