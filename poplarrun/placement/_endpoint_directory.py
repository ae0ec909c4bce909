"""The directory of endpoints, folded from the platform's records in log order."""

import enum
from dataclasses import dataclass, field

# Time for which the last revision of a removed endpoint is remembered, in seconds, so
# that a late record of before its removal doesn't list it again.
TOMBSTONE_TTL_S = 60.0
# Time in seconds that a lapsed endpoint stays listed after an outage of the store. The
# platform guarantees that the records of live endpoints are back within about two seconds.
LAPSE_GRACE_S = 2.2


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

    @property
    def revision(self) -> tuple[int, int]:
        """Position of the record among those of the same instance id."""
        return self.started_ms, self.sequence


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
    record: EndpointRecord
    lapsed_at: float | None = None


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
    _tombstones: dict[str, tuple[tuple[int, int], float]] = field(default_factory=dict)

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

    def apply(self, record: EndpointRecord, now: float) -> DirectoryEvent:
        """Apply an endpoint's record, unless it is older than the latest one."""
        entry = self._entries.get(record.instance_id)
        if entry is None:
            tombstone = self._tombstones.get(record.instance_id)
            if tombstone is not None and record.revision <= tombstone[0]:
                return DirectoryEvent.NOTHING
            self._tombstones.pop(record.instance_id, None)
            self._entries[record.instance_id] = _Entry(record)
            return DirectoryEvent.ADDED
        entry.lapsed_at = None
        previous = entry.record
        if record.revision < previous.revision:
            return DirectoryEvent.NOTHING
        entry.record = record
        if record.started_ms != previous.started_ms:
            return DirectoryEvent.RESTARTED
        if record.is_leaving and not previous.is_leaving:
            return DirectoryEvent.LEAVING
        return DirectoryEvent.NOTHING if record == previous else DirectoryEvent.CHANGED

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
        self._tombstones[instance_id] = (entry.record.revision, now)
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
        for instance_id, (_, removed_at) in list(self._tombstones.items()):
            if now - removed_at > TOMBSTONE_TTL_S:
                del self._tombstones[instance_id]
        return expired
