"""One host's side of the leases: campaigning, renewing, and knowing in time when one lapsed."""

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.hosts import Peer, Peers
from poplarrun.leases._records import (
    LEASE_STREAM,
    MAX_LEASE_DURATION_S,
    NO_OFFSET,
    Acquire,
    Applied,
    JobState,
    LeaseRecord,
    LeaseSnapshot,
    LeaseTable,
    Release,
    Renew,
    encode_lease_record,
    fold_lease_entry,
    fold_lease_gap,
)
from poplarrun.log import AsyncLog, Entry, Gap, Page, ReadFailed
from poplarrun.metrics import Metrics
from poplarrun.rendezvous import rank_hosts

DEFAULT_LEASE_DURATION_S = 10.0
# A lease is renewed when this share of it has passed.
RENEW_AFTER_FRACTION = 0.4
# Two hosts' clocks run at rates that differ by less than this.
MAX_CLOCK_DRIFT_FRACTION = 0.05
# Others wait so much longer than the lease, over and above the drift.
TAKEOVER_GRACE_S = 0.5
# So many hosts, of different zones first, are ready to take a job.
MAX_CANDIDATES = 3
RANK_DELAY_S = 1.0
READ_PAGE_SIZE = 500
SNAPSHOT_INTERVAL_RECORDS = 500
SNAPSHOT_RETRY_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A job that this host may do, until a moment of its own clock.

    Attributes
    ----------
    fence : int
        Fencing number: goes with every order, and rises with every holder.
    valid_until : float
        Seconds on the holder's clock.
    """

    job: str
    fence: int
    valid_until: float


@dataclass(slots=True)
class _LastRecord:
    """When this host first read a job's last record."""

    offset: int
    first_read_at: float


class LeaseManager:
    """The leases of one host.

    The holder counts a lease from the moment before it sent the record; the
    others count from the moment after they read it, and longer. So, as long as
    clocks run at about one rate, a lease has lapsed for its holder before
    anyone takes it over, however slow the log is.

    Parameters
    ----------
    log : AsyncLog
        The platform's log.
    peers : Peers
        The other hosts.
    clock : callable
        Seconds; must go on while the process is paused.
    """

    def __init__(
        self,
        log: AsyncLog,
        peers: Peers,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.table = LeaseTable()
        self._log = log
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._campaigns: dict[str, float] = {}
        self._zone_of: dict[str, str] = {}
        self._sent_at: dict[str, float] = {}
        self._valid_until: dict[str, float] = {}
        self._last_records: dict[str, _LastRecord] = {}
        self._first_read_at: float | None = None
        self._horizon = 0
        self._end = 0
        self._incomplete_since: float | None = None
        self._snapshot_tried_at = clock() - SNAPSHOT_RETRY_INTERVAL_S
        self._is_stopping = False

    def campaign_for(
        self, job: str, duration_s: float = DEFAULT_LEASE_DURATION_S, zone: str | None = None
    ) -> None:
        """Stand for a job from now on; with a zone, only that zone's hosts are candidates."""
        self._campaigns[job] = min(duration_s, MAX_LEASE_DURATION_S)
        if zone is not None:
            self._zone_of[job] = zone

    def find(self, job: str) -> Lease | None:
        """Return the lease of a job if this host holds it at this moment.

        Ask in the same step of the loop that sends the order. A holder that
        was paused gets None here, because its clock went on, and so finds out
        before it acts. An order already on its way is up to the fencing number.
        """
        held = self.table.jobs.get(job)
        if held is None or held.released or held.holder != self._holder:
            return None
        valid_until = self._valid_until.get(job, 0.0)
        if self._clock() >= valid_until:
            return None
        return Lease(job, held.fence, valid_until)

    async def run_round(self) -> None:
        """Do one round: read, renew, take what is free, keep the stream short."""
        if self._is_stopping or not self._reads_stream():
            return
        if not await self._read_to_end():
            self._metrics.count_event("leases_unread")
            return
        now = self._clock()
        for job in self._campaigns:
            record = self._next_record(job, now)
            if record is not None:
                await self._append(record)
        await self._write_snapshot_if_due()
        await self._read_to_end()

    async def release_all(self) -> None:
        """Hand every job over, as part of a planned stop."""
        self._is_stopping = True
        for job in list(self._campaigns):
            lease = self.find(job)
            # From here on this host must not act, even if the record is lost.
            self._valid_until.pop(job, None)
            if lease is not None:
                last = self.table.jobs[job].last
                await self._append(Release(uuid.uuid4().hex, job, self._holder, last))

    @property
    def _holder(self) -> str:
        me = self._peers.me
        return f"{me.name}/{me.incarnation}"

    def _reads_stream(self) -> bool:
        """Tell whether this host reads the stream: only holders and candidates do."""
        return any(self.find(job) or self._rank(job) is not None for job in self._campaigns)

    def _rank(self, job: str) -> int | None:
        zone = self._zone_of.get(job)
        live = {peer.name: peer for peer in self._peers.live() if zone in (None, peer.zone)}
        ranked = [live[name] for name in rank_hosts(f"lease/{job}", live)]
        candidates = [peer.name for peer in _spread_zones(ranked)[:MAX_CANDIDATES]]
        me = self._peers.me.name
        return candidates.index(me) if me in candidates else None

    def _next_record(self, job: str, now: float) -> LeaseRecord | None:
        if not self.table.is_complete:
            return None
        held = self.table.jobs.get(job)
        record_id = uuid.uuid4().hex
        if held is not None and not held.released and held.holder == self._holder:
            left_s = self._valid_until.get(job, 0.0) - now
            if left_s > held.duration_s * (1 - RENEW_AFTER_FRACTION):
                return None
            return Renew(record_id, job, self._holder, held.last)
        if not self._may_acquire(job, held, now):
            return None
        last = NO_OFFSET if held is None else held.last
        return Acquire(record_id, job, self._holder, self._campaigns[job], last)

    def _may_acquire(self, job: str, held: JobState | None, now: float) -> bool:
        rank = self._rank(job)
        if rank is None:
            return False
        seen = self._last_records.get(job)
        waits_s = rank * RANK_DELAY_S
        if held is not None and not held.released:
            waits_s += held.duration_s * (1 + MAX_CLOCK_DRIFT_FRACTION) + TAKEOVER_GRACE_S
        elif held is None and self.table.snapshot_at >= 0:
            # A snapshot without the job may stem from a host that missed
            # records: whoever held the job then may still do so.
            waits_s += MAX_LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT_FRACTION)
        since = self._first_read_at if seen is None else seen.first_read_at
        return since is not None and now - since >= waits_s

    async def _read_to_end(self) -> bool:
        """Read to the end of the stream; False when the log did not answer."""
        while True:
            match await self._log.read(LEASE_STREAM, self.table.read_to + 1, READ_PAGE_SIZE):
                case ReadFailed():
                    return False
                case Page(entries=entries, horizon=horizon, end=end):
                    self._horizon, self._end = horizon, end
                    if self._first_read_at is None:
                        self._first_read_at = self._clock()
                    if horizon > self.table.read_to + 1:
                        self._handle_gap(Gap(self.table.read_to + 1, horizon))
                    for entry in entries:
                        self._fold(entry)
                    if len(entries) < READ_PAGE_SIZE:
                        return True

    def _handle_gap(self, gap: Gap) -> None:
        self._metrics.count_event("leases_gap")
        self.table = fold_lease_gap(self.table, gap)
        self._incomplete_since = self._clock()

    def _fold(self, entry: Entry) -> None:
        self.table, outcome = fold_lease_entry(self.table, entry)
        match outcome:
            case Applied(record=LeaseSnapshot(jobs=jobs)):
                self._incomplete_since = None
                for job, held in jobs.items():
                    self._record_last(job, held)
            case Applied(record=record):
                assert not isinstance(record, LeaseSnapshot)
                held = self.table.jobs[record.job]
                self._record_last(record.job, held)
                self._update_validity(record, held)
            case _:
                self._metrics.count_event("lease_record_void")

    def _record_last(self, job: str, held: JobState) -> None:
        seen = self._last_records.get(job)
        if seen is None or seen.offset != held.last:
            self._last_records[job] = _LastRecord(held.last, self._clock())

    def _update_validity(self, record: Acquire | Renew | Release, held: JobState) -> None:
        sent_at = self._sent_at.pop(record.id, None)
        if held.holder != self._holder:
            self._valid_until.pop(record.job, None)
        elif sent_at is not None and not held.released:
            duration_s = held.duration_s * (1 - MAX_CLOCK_DRIFT_FRACTION)
            self._valid_until[record.job] = sent_at + duration_s

    async def _append(self, record: LeaseRecord) -> None:
        """Append a record; its effect is what the fold says, whatever the answer was."""
        if len(self._sent_at) > len(self._campaigns) * SNAPSHOT_INTERVAL_RECORDS:
            self._sent_at.clear()
        self._sent_at[record.id] = self._clock()
        await self._log.append(LEASE_STREAM, encode_lease_record(record))

    async def _write_snapshot_if_due(self) -> None:
        """Write the table into the stream before retention drops what it follows from."""
        now = self._clock()
        if now - self._snapshot_tried_at < SNAPSHOT_RETRY_INTERVAL_S or not self._is_snapshot_due(
            now
        ):
            return
        self._snapshot_tried_at = now
        jobs = dict(self.table.jobs) if self.table.is_complete else {}
        await self._append(LeaseSnapshot(uuid.uuid4().hex, self.table.read_to, jobs))

    def _is_snapshot_due(self, now: float) -> bool:
        if self._incomplete_since is not None:
            # Nobody who knows the table wrote it for a whole longest lease:
            # every lease has lapsed, and the jobs start anew from nothing.
            return now - self._incomplete_since > MAX_LEASE_DURATION_S * (
                1 + MAX_CLOCK_DRIFT_FRACTION
            )
        if not self.table.jobs:
            return False
        if self.table.read_to - self.table.snapshot_at >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        kept = self._end - self._horizon
        return self._horizon > 0 and self.table.snapshot_at - self._horizon < kept / 2


def _spread_zones(ranked: list[Peer]) -> list[Peer]:
    """Put the first host of each zone before the second ones, so that one cut spares some."""
    seen: dict[str, int] = {}
    keyed: list[tuple[int, Peer]] = []
    for peer in ranked:
        keyed.append((seen.get(peer.zone, 0), peer))
        seen[peer.zone] = seen.get(peer.zone, 0) + 1
    return [peer for _, peer in sorted(keyed, key=lambda pair: pair[0])]
