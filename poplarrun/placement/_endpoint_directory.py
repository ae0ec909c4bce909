"""The endpoints that the platform lists, folded from records in log order."""

import enum
from dataclasses import dataclass, field

# The records of an endpoint that was removed are remembered for so long, in
# seconds: a late one of before must not bring it back to life.
TOMBSTONE_S = 60.0
# After an outage of the store the records that lapsed meanwhile come back within
# about two seconds, as the platform promises; one missing after that is gone.
LAPSE_GRACE_S = 2.2


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What an endpoint says of itself.

    Attributes
    ----------
    instance_id : str
        Id of this start of the endpoint; most starts have a new one.
    version : str
        Version of its software or weights.
    slots : int
        Requests that it runs at once.
    warm_up_s : float
        Seconds for which it is still slow after its start.
    started_ms : int
        When it started, by its own clock; 0 where it doesn't say.
    sequence : int
        Counts its records, from each start anew.
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
        """Order of the records of one id."""
        return self.started_ms, self.sequence


class DirectoryEvent(enum.Enum):
    """What a record changed."""

    NOTHING = "nothing"
    ADDED = "added"
    RESTARTED = "restarted"
    CHANGED = "changed"
    LEAVING = "leaving"
    REMOVED = "removed"


@dataclass(slots=True)
class _Known:
    listing: EndpointRecord
    lapsed_at: float | None = None


@dataclass
class EndpointDirectory:
    """Endpoints by lifetime id.

    Attributes
    ----------
    next_offset : int
        Next record to read.
    """

    next_offset: int = 0
    _known: dict[str, _Known] = field(default_factory=dict)
    _tombstones: dict[str, tuple[tuple[int, int], float]] = field(default_factory=dict)

    def records(self) -> list[EndpointRecord]:
        """Return the endpoints that are listed, leaving ones included."""
        return [known.listing for known in self._known.values()]

    def removed_ids(self) -> list[str]:
        """Return the endpoints that were removed lately."""
        return list(self._tombstones)

    def find(self, lifetime: str) -> EndpointRecord | None:
        """Return what an endpoint last said of itself."""
        known = self._known.get(lifetime)
        return None if known is None else known.listing

    def apply(self, listing: EndpointRecord, now: float) -> DirectoryEvent:
        """Take in an endpoint's record."""
        known = self._known.get(listing.instance_id)
        if known is None:
            tombstone = self._tombstones.get(listing.instance_id)
            if tombstone is not None and listing.revision <= tombstone[0]:
                return DirectoryEvent.NOTHING
            self._tombstones.pop(listing.instance_id, None)
            self._known[listing.instance_id] = _Known(listing)
            return DirectoryEvent.ADDED
        known.lapsed_at = None
        before = known.listing
        if listing.revision < before.revision:
            return DirectoryEvent.NOTHING
        known.listing = listing
        if listing.started_ms != before.started_ms:
            return DirectoryEvent.RESTARTED
        if listing.is_leaving and not before.is_leaving:
            return DirectoryEvent.LEAVING
        return DirectoryEvent.NOTHING if listing == before else DirectoryEvent.CHANGED

    def remove(self, lifetime: str, now: float, is_lapse: bool = False) -> DirectoryEvent:
        """Take in that a record was removed.

        Parameters
        ----------
        is_lapse : bool
            Whether the store was away, so that records of endpoints that live may
            have been removed too. Taken for gone at once, all endpoints would be
            out after an outage, and every request refused for seconds.
        """
        known = self._known.get(lifetime)
        if known is None:
            return DirectoryEvent.NOTHING
        if is_lapse and not known.listing.is_leaving:
            if known.lapsed_at is None:
                known.lapsed_at = now
            return DirectoryEvent.NOTHING
        del self._known[lifetime]
        self._tombstones[lifetime] = (known.listing.revision, now)
        return DirectoryEvent.REMOVED

    def expire(self, now: float, grace_s: float = LAPSE_GRACE_S) -> list[str]:
        """Remove what lapsed and did not come back in time; return the ids."""
        gone = [
            lifetime
            for lifetime, known in self._known.items()
            if known.lapsed_at is not None and now - known.lapsed_at >= grace_s
        ]
        for lifetime in gone:
            self.remove(lifetime, now)
        for lifetime, (_, removed_at) in list(self._tombstones.items()):
            if now - removed_at > TOMBSTONE_S:
                del self._tombstones[lifetime]
        return gone
