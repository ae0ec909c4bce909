"""Records of the lease stream and their fold: who holds each job, the same at every host."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from poplarrun.log import Entry, Gap

LEASE_STREAM = "leases"
# No lease lasts longer, so after this time of reading nothing every lease has lapsed.
MAX_LEASE_DURATION_S = 60.0
NO_OFFSET = -1


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Takes a job that is free, or whose lease lapsed.

    Attributes
    ----------
    holder : str
        The host and its incarnation.
    over : int
        Offset of the job's last record that the taker saw; -1 for none. A
        renewal that came between makes this record void.
    """

    id: str
    job: str
    holder: str
    duration_s: float
    over: int


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Prolongs a lease; void unless ``over`` is still the job's last record."""

    id: str
    job: str
    holder: str
    over: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Gives a job back, so that the next holder need not wait."""

    id: str
    job: str
    holder: str
    over: int


class JobState(msgspec.Struct, frozen=True):
    """The state of one job.

    Attributes
    ----------
    fence : int
        Offset at which the holder took the job: its fencing number.
    last : int
        Offset of the job's last accepted record.
    """

    holder: str
    fence: int
    last: int
    duration_s: float
    released: bool = False


class LeaseSnapshot(msgspec.Struct, frozen=True, tag="leases"):
    """All jobs' states; counts only where it directly follows ``read_to``."""

    id: str
    read_to: int
    jobs: dict[str, JobState]


LeaseRecord = Acquire | Renew | Release | LeaseSnapshot

_decoder: msgspec.json.Decoder[LeaseRecord] = msgspec.json.Decoder(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the bytes of a record."""
    return msgspec.json.encode(record)


def decode_lease_record(data: bytes) -> LeaseRecord | None:
    """Read the bytes of a record; None when they are none."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """The state of the fold.

    Attributes
    ----------
    read_to : int
        Offset of the last record that was folded.
    jobs : mapping of job to Held
        Each job's state.
    anchored : bool
        False after records were missed: only a snapshot counts then.
    snapshot_at : int
        Offset of the last snapshot that counted.
    """

    read_to: int = -1
    jobs: Mapping[str, JobState] = field(default_factory=dict)
    is_complete: bool = True
    snapshot_at: int = -1


@dataclass(frozen=True, slots=True)
class Applied:
    """The record changed the table."""

    record: LeaseRecord


@dataclass(frozen=True, slots=True)
class Void:
    """The record changed nothing."""

    reason: str


def fold_lease_entry(table: LeaseTable, entry: Entry) -> tuple[LeaseTable, Applied | Void]:
    """Apply one record of the stream.

    No clock enters: a record names the last record that its writer saw, and
    counts only if that is still the last one of the job. So of a renewal and
    a take-over that race, the first in the log wins, at every host alike.
    """
    if entry.offset <= table.read_to:
        return table, Void("already folded")
    table = replace(table, read_to=entry.offset)
    record = decode_lease_record(entry.data)
    match record:
        case None:
            return table, Void("not a lease record")
        case LeaseSnapshot(read_to=read_to, jobs=jobs):
            if read_to != entry.offset - 1:
                return table, Void("a snapshot that does not follow directly")
            return LeaseTable(entry.offset, jobs, True, entry.offset), Applied(record)
    if not table.is_complete:
        return table, Void("records before it are gone and no snapshot was read yet")
    held = table.jobs.get(record.job)
    if record.over != (NO_OFFSET if held is None else held.last):
        return table, Void("another record came before it")
    after = _apply(record, held, entry.offset)
    if after is None:
        return table, Void("another host holds the job")
    return replace(table, jobs={**table.jobs, record.job: after}), Applied(record)


def fold_lease_gap(table: LeaseTable, gap: Gap) -> LeaseTable:
    """Go on behind records that are gone; a snapshot tells who holds what."""
    return replace(table, read_to=max(table.read_to, gap.horizon - 1), is_complete=False)


def _apply(
    record: Acquire | Renew | Release, held: JobState | None, offset: int
) -> JobState | None:
    match record:
        case Acquire():
            duration_s = min(record.duration_s, MAX_LEASE_DURATION_S)
            return JobState(record.holder, offset, offset, duration_s)
        case Renew() | Release() if held is None or held.holder != record.holder:
            return None
        case Renew() if held.released:
            return None
        case Renew():
            return JobState(held.holder, held.fence, offset, held.duration_s)
        case Release():
            return JobState(held.holder, held.fence, offset, held.duration_s, True)
