"""Snapshots of the billing streams, written before retention drops the records they cover."""

import asyncio
from collections.abc import Callable

from poplarrun.billing._reader import ShardReader
from poplarrun.billing._records import SHARDS, stream_of
from poplarrun.hosts import Peers
from poplarrun.log import AsyncLog, Page, append_parts, split_snapshot
from poplarrun.metrics import ignore_event
from poplarrun.rendezvous import RankingCache

# A page is folded in one step of the event loop, with 60 bills in each record at the expected load
# in two years.
READ_PAGE_SIZE = 50
SNAPSHOT_INTERVAL_S = 6 * 3600.0
# A busy stream gets a snapshot sooner, but only once its new records have four times the size of
# the last one.
MIN_SNAPSHOT_RECORDS = 1000
MIN_SNAPSHOT_BYTES_RATIO = 4
# Delay before a failed snapshot is written again; retention may reach its records soon.
SNAPSHOT_RETRY_INTERVAL_S = 60.0


class BillSnapshots:
    """Writes the snapshots of the shards that this host owns.

    A shard's owner follows its stream. If two hosts both consider themselves the owner, both write
    snapshots, and either one is valid.

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
    """

    def __init__(
        self,
        peers: Peers,
        log: AsyncLog,
        now: Callable[[], float],
        wall: Callable[[], float],
        count: Callable[[str], None] = ignore_event,
    ) -> None:
        self._peers = peers
        self._log = log
        self._now = now
        self._wall = wall
        self._count = count
        self._readers: dict[int, ShardReader] = {}
        self._tried_at: dict[int, float] = {}
        self._ranking = RankingCache()

    async def write_due_snapshots(self) -> None:
        """Read the owned shards, and write the snapshots that are due."""
        names = tuple(peer.name for peer in self._peers.live())
        for shard in range(SHARDS):
            if self._ranking.rank(f"billing/{shard}", names)[0] == self._peers.me.name:
                await self._update_shard(shard)
            else:
                self._readers.pop(shard, None)

    async def _update_shard(self, shard: int) -> None:
        reader = self._readers.setdefault(shard, ShardReader())
        if await self._read(shard, reader) and self._is_due(shard, reader):
            self._tried_at[shard] = self._now()
            await self._write(shard, reader)

    async def _read(self, shard: int, reader: ShardReader) -> bool:
        """Fold up to the end of the stream; tell whether the log answered."""
        while True:
            page = await self._log.read(stream_of(shard), reader.position, READ_PAGE_SIZE)
            if not isinstance(page, Page):
                return False
            if reader.apply_page(page):
                return True
            await asyncio.sleep(0)

    def _is_due(self, shard: int, reader: ShardReader) -> bool:
        tried_at = self._tried_at.get(shard)
        if tried_at is not None and self._now() - tried_at < SNAPSHOT_RETRY_INTERVAL_S:
            return False
        last_offset = -1 if reader.snapshot is None else reader.snapshot.last_offset
        since = reader.totals.next_offset - 1 - last_offset
        if not since:
            return False
        if reader.snapshot is not None:
            if self._wall() - reader.snapshot.written_at >= SNAPSHOT_INTERVAL_S:
                return True
            # Retention drops records sooner than the interval assumes: half of the remaining ones
            # are older than the last snapshot.
            kept = reader.totals.next_offset - reader.horizon
            if reader.horizon > 0 and last_offset - reader.horizon < kept / 2:
                return True
        is_first = reader.snapshot is None and bool(reader.totals.next_offset)
        is_worth = reader.bytes_since_snapshot >= MIN_SNAPSHOT_BYTES_RATIO * reader.snapshot_bytes
        return is_first or (since >= MIN_SNAPSHOT_RECORDS and is_worth)

    async def _write(self, shard: int, reader: ShardReader) -> None:
        """Append a snapshot; an interrupted one is incomplete and has no effect."""
        snapshot = reader.totals.take_snapshot(self._wall())
        is_written = await append_parts(self._log, stream_of(shard), split_snapshot(snapshot))
        self._count("bill_snapshot_written" if is_written else "bill_snapshot_failed")
