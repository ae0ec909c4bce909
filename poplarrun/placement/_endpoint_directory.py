"""The directory of endpoints, folded from the platform's records in log order."""

import enum
from dataclasses import dataclass, field

# Time for which the last record of a removed endpoint is remembered, in seconds, so
# that a late record of before its removal doesn't list it again.
TOMBSTONE_TTL_S = 60.0
# Time in seconds that a lapsed endpoint stays listed after an outage of the store. The
# platform guarantees that the records of live endpoints are back within about two seconds.
LAPSE_GRACE_S = 2.2
# Earlier starts of an endpoint that are remembered, so that their late records aren't taken for
# those of a new start.
MAX_EARLIER_STARTS = 8


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What an endpoint reports about itself.

    Attributes
    ----------
    instance_id : str
        Id of the endpoint's process; usually new after each start.
    version : str
        Version of its software or weights.
    slots : int
        Requests that it runs concurrently.
    warm_up_s : float
        Seconds for which it is still slow after its start.
    started_ms : int
        When it started, by its own clock; 0 if it doesn't report that.
    sequence : int
        Number of the record, counted from each start.
    """

    instance_id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    is_leaving: bool
    warm_up_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


class DirectoryEvent(enum.Enum):
    """The change that a record made to the directory."""

    NOTHING = "nothing"
    ADDED = "added"
    RESTARTED = "restarted"
    CHANGED = "changed"
    LEAVING = "leaving"
    REMOVED = "removed"


@dataclass(slots=True)
class _Entry:
    """The latest start of an endpoint, and those that it has followed.

    The order of starts is that of the log. Their times of start don't tell it, because an
    endpoint's clock may be stepped back between two of them.

    Attributes
    ----------
    lapsed_at : float, optional
        When its record was removed although the endpoint may be up.
    earlier_starts : dict of int to int
        The latest sequence of each earlier start, by its time.
    returning_start : int, optional
        The earlier start that wrote the last record; None if the latest start did.
    """

    record: EndpointRecord
    lapsed_at: float | None = None
    earlier_starts: dict[int, int] = field(default_factory=dict)
    returning_start: int | None = None

    def observe(self, record: EndpointRecord, is_in_order: bool) -> bool:
        """Note a record; return whether it is newer than the latest one.

        A write that was delayed may come after those of a later start. Only a start that is alive
        writes once more before the later one does.
        """
        if record.started_ms == self.record.started_ms:
            self.returning_start = None
            return record.sequence >= self.record.sequence
        sequence = self.earlier_starts.get(record.started_ms)
        if sequence is None:
            return is_in_order or record.started_ms > self.record.started_ms
        if not is_in_order or record.sequence <= sequence:
            return False
        self.earlier_starts[record.started_ms] = record.sequence
        is_returning = self.returning_start == record.started_ms
        self.returning_start = record.started_ms
        return is_returning

    def replace(self, record: EndpointRecord) -> EndpointRecord:
        """Replace the latest record; return the one before."""
        previous, self.record = self.record, record
        if record.started_ms != previous.started_ms:
            self.returning_start = None
            self.earlier_starts.pop(record.started_ms, None)
            self.earlier_starts[previous.started_ms] = previous.sequence
            if len(self.earlier_starts) > MAX_EARLIER_STARTS:
                del self.earlier_starts[next(iter(self.earlier_starts))]
        return previous


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """What is remembered of a removed endpoint."""

    entry: _Entry
    removed_at: float


@dataclass
class EndpointDirectory:
    """Endpoints by instance id.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to read from the log.
    """

    next_offset: int = 0
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _tombstones: dict[str, _Tombstone] = field(default_factory=dict)

    def records(self) -> list[EndpointRecord]:
        """Return the records of the listed endpoints, including those that are leaving."""
        return [entry.record for entry in self._entries.values()]

    def removed_ids(self) -> list[str]:
        """Return the instance ids of the endpoints that were removed recently."""
        return list(self._tombstones)

    def find(self, instance_id: str) -> EndpointRecord | None:
        """Return the latest record of an endpoint."""
        entry = self._entries.get(instance_id)
        return None if entry is None else entry.record

    def is_lapsed(self, instance_id: str) -> bool:
        """Return whether an endpoint is listed although its record was removed."""
        entry = self._entries.get(instance_id)
        return entry is not None and entry.lapsed_at is not None

    def apply(self, record: EndpointRecord, now: float, is_in_order: bool = True) -> DirectoryEvent:
        """Apply an endpoint's record, unless it is older than the latest one.

        Parameters
        ----------
        is_in_order : bool
            Whether it is read from the log, which may be read twice in part. The list of a peer has
            no such order: there only the time of a start tells that it is later.
        """
        entry = self._entries.get(record.instance_id)
        if entry is None:
            return self._add(record, is_in_order)
        entry.lapsed_at = None
        if not entry.observe(record, is_in_order):
            return DirectoryEvent.NOTHING
        previous = entry.replace(record)
        if record.started_ms != previous.started_ms:
            return DirectoryEvent.RESTARTED
        if record.is_leaving and not previous.is_leaving:
            return DirectoryEvent.LEAVING
        return DirectoryEvent.NOTHING if record == previous else DirectoryEvent.CHANGED

    def _add(self, record: EndpointRecord, is_in_order: bool) -> DirectoryEvent:
        """List an endpoint, unless the record is from before its removal."""
        tombstone = self._tombstones.get(record.instance_id)
        if tombstone is None:
            self._entries[record.instance_id] = _Entry(record)
            return DirectoryEvent.ADDED
        entry, last = tombstone.entry, tombstone.entry.record
        is_late = record.started_ms == last.started_ms and record.sequence <= last.sequence
        if is_late or not entry.observe(record, is_in_order):
            return DirectoryEvent.NOTHING
        del self._tombstones[record.instance_id]
        entry.replace(record)
        entry.lapsed_at = None
        self._entries[record.instance_id] = entry
        return DirectoryEvent.ADDED

    def remove(self, instance_id: str, now: float, is_lapse: bool = False) -> DirectoryEvent:
        """Apply the removal of an endpoint's record.

        Parameters
        ----------
        is_lapse : bool
            Whether the store was unavailable, so that records of live endpoints may have
            been removed too. If they were dropped at once, no endpoint would be left after
            an outage, and every request would be refused for seconds.
        """
        entry = self._entries.get(instance_id)
        if entry is None:
            return DirectoryEvent.NOTHING
        if is_lapse and not entry.record.is_leaving:
            if entry.lapsed_at is None:
                entry.lapsed_at = now
            return DirectoryEvent.NOTHING
        del self._entries[instance_id]
        self._tombstones[instance_id] = _Tombstone(entry, now)
        return DirectoryEvent.REMOVED

    def expire(self, now: float, grace_s: float = LAPSE_GRACE_S) -> list[str]:
        """Remove the lapsed endpoints that weren't listed again in time; return their ids."""
        expired = [
            instance_id
            for instance_id, entry in self._entries.items()
            if entry.lapsed_at is not None and now - entry.lapsed_at >= grace_s
        ]
        for instance_id in expired:
            self.remove(instance_id, now)
        for instance_id, tombstone in list(self._tombstones.items()):
            if now - tombstone.removed_at > TOMBSTONE_TTL_S:
                del self._tombstones[instance_id]
        return expired
