"""Records of the lease stream and their fold, which gives the same holders on every host."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from poplarrun.log import Entry, Gap

LEASE_STREAM = "leases"
# Bound on the duration of a lease: once no record was read for this long, every lease has expired.
MAX_LEASE_DURATION_S = 60.0
NO_OFFSET = -1


class Acquire(msgspec.Struct, frozen=True, tag="acquire"):
    """Acquires a job that is free, or whose lease expired.

    Attributes
    ----------
    holder : str
        The host and its incarnation.
    over : int
        Offset of the job's last record that the writer has read; -1 for none. If a renewal came in
        between, this record is void.
    """

    id: str
    job: str
    holder: str
    duration_s: float
    over: int


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Renews a lease; void unless ``over`` is still the job's last record."""

    id: str
    job: str
    holder: str
    over: int


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Releases a job, so that the next holder need not wait for the lease to expire."""

    id: str
    job: str
    holder: str
    over: int


class JobState(msgspec.Struct, frozen=True):
    """The state of one job.

    Attributes
    ----------
    fence : int
        Fencing number: the offset at which the holder acquired the job.
    last : int
        Offset of the job's last accepted record.
    """

    holder: str
    fence: int
    last: int
    duration_s: float
    released: bool = False


class LeaseSnapshot(msgspec.Struct, frozen=True, tag="leases"):
    """State of all jobs; valid only directly after the record at ``read_to``."""

    id: str
    read_to: int
    jobs: dict[str, JobState]


LeaseRecord = Acquire | Renew | Release | LeaseSnapshot

_decoder: msgspec.json.Decoder[LeaseRecord] = msgspec.json.Decoder(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode_lease_record(data: bytes) -> LeaseRecord | None:
    """Decode a record; None if the bytes are invalid."""
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
    jobs : mapping of job to JobState
        State of each job.
    is_complete : bool
        False after records were missed: only a snapshot is accepted then.
    snapshot_at : int
        Offset of the last accepted snapshot.
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

    No clock is involved: a record names the last record that its writer has read, and is accepted
    only if that is still the job's last one. If a renewal and a takeover race, the first in the log
    wins on every host.
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
                return table, Void(
                    "the snapshot does not directly follow the records that it covers"
                )
            return LeaseTable(entry.offset, jobs, True, entry.offset), Applied(record)
    if not table.is_complete:
        return table, Void("earlier records are missing and no snapshot has been read since")
    state = table.jobs.get(record.job)
    if record.over != (NO_OFFSET if state is None else state.last):
        return table, Void("the job has a later record than the one that this record names")
    after = _apply(record, state, entry.offset)
    if after is None:
        return table, Void("another host holds the job")
    return replace(table, jobs={**table.jobs, record.job: after}), Applied(record)


def fold_lease_gap(table: LeaseTable, gap: Gap) -> LeaseTable:
    """Skip records that are gone; a snapshot is needed to know the holders again."""
    return replace(table, read_to=max(table.read_to, gap.horizon - 1), is_complete=False)


def _apply(
    record: Acquire | Renew | Release, state: JobState | None, offset: int
) -> JobState | None:
    match record:
        case Acquire():
            duration_s = min(record.duration_s, MAX_LEASE_DURATION_S)
            return JobState(record.holder, offset, offset, duration_s)
        case Renew() | Release() if state is None or state.holder != record.holder:
            return None
        case Renew() if state.released:
            return None
        case Renew():
            return JobState(state.holder, state.fence, offset, state.duration_s)
        case Release():
            return JobState(state.holder, state.fence, offset, state.duration_s, True)
