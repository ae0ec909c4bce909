"""A host's view of one claim stream: group commit, folding and snapshots."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.claims._fold import RETENTION_S, ClaimFold
from poplarrun.claims._keys import stream_of
from poplarrun.claims._records import (
    Claim,
    LogRecord,
    Record,
    Snapshot,
    Stored,
    Unsettled,
    Verdict,
    decode_batch,
    encode_batch,
)
from poplarrun.log import (
    MAX_PART_BYTES,
    Appended,
    AppendRefused,
    AppendUnknown,
    AsyncLog,
    Entry,
    Page,
    SnapshotAssembler,
    StreamSnapshot,
    append_parts,
    split_snapshot,
)

# With 32 shards this bounds the claims of all hosts to 160 appends a second.
MIN_APPEND_INTERVAL_S = 0.2
MAX_BATCH_RECORDS = 500
READ_PAGE_SIZE = 500
MAX_READ_ATTEMPTS = 3
READ_RETRY_DELAY_S = 0.05
# Must be well below the retention time of the log.
SNAPSHOT_INTERVAL_S = 1800.0


@dataclass(eq=False)
class _PendingRecord:
    record: Record
    verdict: asyncio.Future[Verdict]


class Shard:
    """Appends records to one shard's stream and returns the verdict on each.

    One append runs at a time; records that arrive meanwhile are batched into the next one. After an
    idle period the first record is appended at once.

    Parameters
    ----------
    number : int
        The shard's number.
    log : AsyncLog
        The platform's log.
    now, wall : callable
        Seconds, monotonic and since the epoch.
    """

    def __init__(
        self,
        number: int,
        log: AsyncLog,
        now: Callable[[], float],
        wall: Callable[[], float],
        retention_s: float = RETENTION_S,
    ) -> None:
        self.fold = ClaimFold(retention_s)
        self.last_used_at = now()
        self.append_count = 0
        self._stream = stream_of(number)
        self._log = log
        self._now = now
        self._wall = wall
        self._last_snapshot_at = wall()
        self._pending_snapshot: Snapshot | None = None
        self._parts_task: asyncio.Task[bool] | None = None
        self._parts = SnapshotAssembler()
        self._next_append_at = 0.0
        self._pending: list[_PendingRecord] = []
        self._append_task: asyncio.Task[None] | None = None
        self._read_lock = asyncio.Lock()

    @property
    def is_idle(self) -> bool:
        """Whether no record is waiting and no append is running."""
        return self._append_task is None

    async def submit(self, record: Record, timeout_s: float) -> Verdict:
        """Append a record and wait for its verdict."""
        self.last_used_at = self._now()
        pending = _PendingRecord(record, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        self._ensure_append_task()
        await asyncio.wait([pending.verdict], timeout=timeout_s)
        if pending.verdict.done():
            return pending.verdict.result()
        if pending in self._pending:
            self._pending.remove(pending)
            return Unsettled(may_be_logged=False)
        return Unsettled(may_be_logged=True)

    async def refresh(self) -> bool:
        """Fold up to the current end of the stream; tell whether the log answered."""
        self.last_used_at = self._now()
        async with self._read_lock:
            return await self._read_to(None)

    def write_snapshot_if_due(self) -> None:
        """Write a snapshot if the last one is old enough.

        One that is too large for a record is written in parts and concurrently with claims, which
        would have to wait for all parts otherwise.
        """
        is_due = self._wall() - self._last_snapshot_at >= SNAPSHOT_INTERVAL_S
        is_writing = self._parts_task is not None and not self._parts_task.done()
        if not (is_due and self.fold.key_count and self.is_idle) or is_writing:
            return
        snapshot = self.fold.take_snapshot(self._wall())
        data = encode_batch([snapshot])
        if len(data) <= MAX_PART_BYTES:
            self._pending_snapshot = snapshot
            self._ensure_append_task()
            return
        parts = split_snapshot(StreamSnapshot(snapshot.last_offset, snapshot.written_at, data))
        self.append_count += len(parts)
        self._parts_task = asyncio.create_task(append_parts(self._log, self._stream, parts))

    def _ensure_append_task(self) -> None:
        if self._append_task is None:
            self._append_task = asyncio.create_task(self._append_pending())

    async def _append_pending(self) -> None:
        try:
            while self._pending or self._pending_snapshot:
                await asyncio.sleep(max(0.0, self._next_append_at - self._now()))
                batch = self._pending[:MAX_BATCH_RECORDS]
                del self._pending[:MAX_BATCH_RECORDS]
                if batch or self._pending_snapshot:
                    self._next_append_at = self._now() + MIN_APPEND_INTERVAL_S
                    await self._append(batch)
        finally:
            self._append_task = None

    async def _append(self, batch: list[_PendingRecord]) -> None:
        records: list[LogRecord] = [pending.record for pending in batch]
        if self._pending_snapshot is not None:
            records.append(self._pending_snapshot)
            self._pending_snapshot = None
        data = encode_batch(records)
        self.append_count += 1
        outcome = await self._log.append(self._stream, data)
        async with self._read_lock:
            match outcome:
                case Appended(offset=offset):
                    is_caught_up = await self._read_own_append(offset, data)
                    self._resolve(batch, is_caught_up, may_be_logged=True)
                case AppendUnknown():
                    is_caught_up = await self._read_to(None)
                    self._resolve(batch, is_caught_up, may_be_logged=True)
                case AppendRefused():
                    self._resolve(batch, False, may_be_logged=False)

    def _resolve(
        self, batch: list[_PendingRecord], is_caught_up: bool, may_be_logged: bool
    ) -> None:
        for pending in batch:
            if pending.verdict.done():
                continue
            if not is_caught_up or not self.fold.has_folded(pending.record):
                pending.verdict.set_result(Unsettled(may_be_logged))
            elif isinstance(pending.record, Claim):
                pending.verdict.set_result(self.fold.judge(pending.record))
            else:
                pending.verdict.set_result(Stored())

    async def _read_own_append(self, offset: int, data: bytes) -> bool:
        """Fold up to this host's own record, without a read if that is the next one."""
        if self.fold.next_offset == offset:
            self._fold(Entry(offset, data))
            return True
        return await self._read_to(offset)

    async def _read_to(self, up_to: int | None) -> bool:
        """Fold up to an offset, or to the end of the stream if it is None."""
        failures = 0
        while up_to is None or self.fold.next_offset <= up_to:
            match await self._log.read(self._stream, self.fold.next_offset, READ_PAGE_SIZE):
                case Page(entries=entries, horizon=horizon, end=end):
                    if horizon > self.fold.next_offset:
                        await self._restore_after_gap(horizon)
                        continue
                    for entry in entries:
                        self._fold(entry)
                    if self.fold.next_offset >= end:
                        return up_to is None or self.fold.next_offset > up_to
                    if not entries:
                        return False
                case _:
                    failures += 1
                    if failures >= MAX_READ_ATTEMPTS:
                        return False
                    await asyncio.sleep(READ_RETRY_DELAY_S)
        return True

    async def _restore_after_gap(self, horizon: int) -> None:
        """Restore the oldest snapshot that the remaining records continue.

        Without one, the keys before the horizon are lost. That is safe only if the log's retention
        is longer than that of the keys, as the operators' manual requires.
        """
        position = horizon
        self._parts = SnapshotAssembler()
        while True:
            page = await self._log.read(self._stream, position, READ_PAGE_SIZE)
            if not isinstance(page, Page) or not page.entries:
                break
            for entry in page.entries:
                snapshot = self._read_snapshot(entry)
                if snapshot is not None and snapshot.last_offset + 1 >= horizon:
                    self.fold.restore(snapshot)
                    return
            position = page.entries[-1].offset + 1
        self.fold.next_offset = horizon

    def _fold(self, entry: Entry) -> None:
        self.fold.fold(entry)
        snapshot = self._read_snapshot(entry)
        if snapshot is not None:
            self._last_snapshot_at = snapshot.written_at

    def _read_snapshot(self, entry: Entry) -> Snapshot | None:
        """Return the snapshot in an entry, or the one of which the entry is the last part."""
        whole = self._parts.add(entry)
        records = decode_batch(entry.data if whole is None else whole.data)
        snapshots = (record for record in records if isinstance(record, Snapshot))
        return next(snapshots, None)
