"""Leases of one host: it campaigns for jobs, renews its leases and detects their expiry in time."""

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
# A lease is renewed when this fraction of its duration has passed.
RENEW_AFTER_FRACTION = 0.4
# Bound on the difference between the rates of two hosts' clocks.
MAX_CLOCK_DRIFT_FRACTION = 0.05
# Time that other hosts wait after the expiry of a lease, in addition to the clock drift.
TAKEOVER_GRACE_S = 0.5
# Number of hosts that may acquire a job, from as many different zones as possible.
MAX_CANDIDATES = 3
RANK_DELAY_S = 1.0
READ_PAGE_SIZE = 500
SNAPSHOT_INTERVAL_RECORDS = 500
SNAPSHOT_RETRY_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A job that this host may do until a time on its own clock.

    Attributes
    ----------
    fence : int
        Fencing number: sent with every order, and increases with each new holder.
    valid_until : float
        Time of expiry on the holder's clock, in seconds.
    """

    job: str
    fence: int
    valid_until: float


@dataclass(slots=True)
class _LastRecord:
    """Offset of a job's last record, and when this host first read it."""

    offset: int
    first_read_at: float


class LeaseManager:
    """Manages the leases of one host.

    The holder counts a lease from just before it sent the record, the others from just after they
    read it, and for longer. As long as clocks run at about the same rate, a lease has therefore
    expired for its holder before another host takes the job over, however slow the log is.

    Parameters
    ----------
    log : AsyncLog
        The platform's log.
    peers : Peers
        The other hosts.
    rng : random.Random
        Random source.
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
        """Campaign for a job from now on; with a zone, only that zone's hosts are candidates."""
        self._campaigns[job] = min(duration_s, MAX_LEASE_DURATION_S)
        if zone is not None:
            self._zone_of[job] = zone

    def find(self, job: str) -> Lease | None:
        """Return the lease of a job if this host holds it at this moment.

        Call this in the same step of the event loop that sends the order. A holder that was paused
        gets None, because its clock went on, and so finds out before it acts. Against an order that
        is already in transit only the fencing number helps.
        """
        state = self.table.jobs.get(job)
        if state is None or state.released or state.holder != self._holder:
            return None
        valid_until = self._valid_until.get(job, 0.0)
        if self._clock() >= valid_until:
            return None
        return Lease(job, state.fence, valid_until)

    async def run_round(self) -> None:
        """Run one round: read the stream, renew leases, acquire free jobs, write due snapshots."""
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
        """Release all leases, as part of a planned stop."""
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
        state = self.table.jobs.get(job)
        record_id = uuid.uuid4().hex
        if state is not None and not state.released and state.holder == self._holder:
            remaining_s = self._valid_until.get(job, 0.0) - now
            if remaining_s > state.duration_s * (1 - RENEW_AFTER_FRACTION):
                return None
            return Renew(record_id, job, self._holder, state.last)
        if not self._may_acquire(job, state, now):
            return None
        last = NO_OFFSET if state is None else state.last
        return Acquire(record_id, job, self._holder, self._campaigns[job], last)

    def _may_acquire(self, job: str, state: JobState | None, now: float) -> bool:
        rank = self._rank(job)
        if rank is None:
            return False
        last_record = self._last_records.get(job)
        wait_s = rank * RANK_DELAY_S
        if state is not None and not state.released:
            wait_s += state.duration_s * (1 + MAX_CLOCK_DRIFT_FRACTION) + TAKEOVER_GRACE_S
        elif state is None and self.table.snapshot_at >= 0:
            # A snapshot without the job may come from a host that missed records: whoever held the
            # job then may still hold it.
            wait_s += MAX_LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT_FRACTION)
        since = self._first_read_at if last_record is None else last_record.first_read_at
        return since is not None and now - since >= wait_s

    async def _read_to_end(self) -> bool:
        """Read to the end of the stream; False if the log didn't answer."""
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
                for job, state in jobs.items():
                    self._record_last(job, state)
            case Applied(record=record):
                assert not isinstance(record, LeaseSnapshot)
                state = self.table.jobs[record.job]
                self._record_last(record.job, state)
                self._update_validity(record, state)
            case _:
                self._metrics.count_event("lease_record_void")

    def _record_last(self, job: str, state: JobState) -> None:
        last_record = self._last_records.get(job)
        if last_record is None or last_record.offset != state.last:
            self._last_records[job] = _LastRecord(state.last, self._clock())

    def _update_validity(self, record: Acquire | Renew | Release, state: JobState) -> None:
        sent_at = self._sent_at.pop(record.id, None)
        if state.holder != self._holder:
            self._valid_until.pop(record.job, None)
        elif sent_at is not None and not state.released:
            duration_s = state.duration_s * (1 - MAX_CLOCK_DRIFT_FRACTION)
            self._valid_until[record.job] = sent_at + duration_s

    async def _append(self, record: LeaseRecord) -> None:
        """Append a record; its effect is decided by the fold, whatever the append's answer is."""
        if len(self._sent_at) > len(self._campaigns) * SNAPSHOT_INTERVAL_RECORDS:
            self._sent_at.clear()
        self._sent_at[record.id] = self._clock()
        await self._log.append(LEASE_STREAM, encode_lease_record(record))

    async def _write_snapshot_if_due(self) -> None:
        """Write a snapshot before retention drops the records that it is based on."""
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
            # No host that knows the table wrote it for a maximum lease duration. So every lease has
            # expired, and the jobs start from an empty table.
            return now - self._incomplete_since > MAX_LEASE_DURATION_S * (
                1 + MAX_CLOCK_DRIFT_FRACTION
            )
        if not self.table.jobs:
            return False
        if self.table.read_to - self.table.snapshot_at >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        retained = self._end - self._horizon
        return self._horizon > 0 and self.table.snapshot_at - self._horizon < retained / 2


def _spread_zones(ranked: list[Peer]) -> list[Peer]:
    """Sort the first host of each zone first, so that candidates remain if a zone is isolated."""
    counts: dict[str, int] = {}
    keyed: list[tuple[int, Peer]] = []
    for peer in ranked:
        keyed.append((counts.get(peer.zone, 0), peer))
        counts[peer.zone] = counts.get(peer.zone, 0) + 1
    return [peer for _, peer in sorted(keyed, key=lambda pair: pair[0])]
