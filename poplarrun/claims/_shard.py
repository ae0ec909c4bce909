"""One claim stream as a host works on it: group commit, and reading back."""

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
# Must be well under the time for which the log keeps records.
SNAPSHOT_INTERVAL_S = 1800.0


@dataclass(eq=False)
class _PendingRecord:
    record: Record
    verdict: asyncio.Future[Verdict]


class Shard:
    """Appends records of one shard and tells what became of each.

    One append is under way at a time; what arrives meanwhile goes with the
    next one. The first record after a quiet time goes at once.

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
        """Whether nothing waits and nothing is under way."""
        return self._append_task is None

    async def submit(self, record: Record, timeout_s: float) -> Verdict:
        """Append a record and wait for its verdict."""
        self.last_used_at = self._now()
        waiting = _PendingRecord(record, asyncio.get_running_loop().create_future())
        self._pending.append(waiting)
        self._ensure_append_task()
        await asyncio.wait([waiting.verdict], timeout=timeout_s)
        if waiting.verdict.done():
            return waiting.verdict.result()
        if waiting in self._pending:
            self._pending.remove(waiting)
            return Unsettled(may_be_logged=False)
        return Unsettled(may_be_logged=True)

    async def refresh(self) -> bool:
        """Fold all that the log holds now; tell whether it answered."""
        self.last_used_at = self._now()
        async with self._read_lock:
            return await self._read_to(None)

    def write_snapshot_if_due(self) -> None:
        """Write a snapshot when the last one has become old.

        One that is too large for a record goes in parts, beside the claims,
        which would else wait for all of them.
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
        parts = split_snapshot(StreamSnapshot(snapshot.through, snapshot.at, data))
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
        records: list[LogRecord] = [waiting.record for waiting in batch]
        if self._pending_snapshot is not None:
            records.append(self._pending_snapshot)
            self._pending_snapshot = None
        data = encode_batch(records)
        self.append_count += 1
        outcome = await self._log.append(self._stream, data)
        async with self._read_lock:
            match outcome:
                case Appended(offset=offset):
                    caught_up = await self._read_own_append(offset, data)
                    self._resolve(batch, caught_up, may_stand=True)
                case AppendUnknown():
                    caught_up = await self._read_to(None)
                    self._resolve(batch, caught_up, may_stand=True)
                case AppendRefused():
                    self._resolve(batch, False, may_stand=False)

    def _resolve(self, batch: list[_PendingRecord], caught_up: bool, may_stand: bool) -> None:
        for waiting in batch:
            if waiting.verdict.done():
                continue
            if not caught_up or not self.fold.has_folded(waiting.record):
                waiting.verdict.set_result(Unsettled(may_stand))
            elif isinstance(waiting.record, Claim):
                waiting.verdict.set_result(self.fold.judge(waiting.record))
            else:
                waiting.verdict.set_result(Stored())

    async def _read_own_append(self, offset: int, data: bytes) -> bool:
        """Fold up to the own record; nothing is read when it is the next one."""
        if self.fold.next_offset == offset:
            self._fold(Entry(offset, data))
            return True
        return await self._read_to(offset)

    async def _read_to(self, up_to: int | None) -> bool:
        """Fold up to an offset, or up to the stream's end."""
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
        """Begin at the oldest snapshot that the kept records continue.

        Without one the keys before the horizon are gone: the log's retention
        must then be longer than that of the keys, as the operators' page asks.
        """
        position = horizon
        self._parts = SnapshotAssembler()
        while True:
            page = await self._log.read(self._stream, position, READ_PAGE_SIZE)
            if not isinstance(page, Page) or not page.entries:
                break
            for entry in page.entries:
                snapshot = self._read_snapshot(entry)
                if snapshot is not None and snapshot.through + 1 >= horizon:
                    self.fold.restore(snapshot)
                    return
            position = page.entries[-1].offset + 1
        self.fold.next_offset = horizon

    def _fold(self, entry: Entry) -> None:
        self.fold.fold(entry)
        snapshot = self._read_snapshot(entry)
        if snapshot is not None:
            self._last_snapshot_at = snapshot.at

    def _read_snapshot(self, entry: Entry) -> Snapshot | None:
        """Return the snapshot that an entry carries, or makes whole as its last part."""
        whole = self._parts.add(entry)
        records = decode_batch(entry.data if whole is None else whole.data)
        found = (record for record in records if isinstance(record, Snapshot))
        return next(found, None)
