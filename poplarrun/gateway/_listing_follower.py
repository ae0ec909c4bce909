"""Follower of the list of endpoints."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from poplarrun.gateway._listing_changes import ListingChanges
from poplarrun.gateway._reading import SharedReader, publish_nothing
from poplarrun.gateway._store_health import READ_PAUSE_S, RETRY_DELAY_S, StoreHealth
from poplarrun.logging import events, write_event
from poplarrun.placement import (
    LAPSE_GRACE_S,
    DirectoryEvent,
    EndpointDirectory,
    EndpointRecord,
    Placement,
)
from poplarrun.platform import (
    ENDPOINT_TOPIC,
    Entry,
    LatestRecords,
    NoAnswer,
    OffsetExpired,
    Records,
    Refused,
    StoreClient,
    decode_endpoint_record,
)
from poplarrun.transport import seconds_since_boot

# Records removed within this time after an outage may be those of live endpoints.
LAPSE_WINDOW_S = 0.8
# Least time in seconds from a refresh that brought nothing to the next one.
REFRESH_RETRY_S = 1.0
# What proved the list current, if this host read the store itself.
OWN_READ = "store"


@dataclass(frozen=True, slots=True)
class ListingState:
    """What is known of the list of endpoints when one of them is chosen.

    Attributes
    ----------
    age_s : float
        How long ago the list was surely current.
    proven_by : str
        ``store`` for a read of this host, else the address of the peer that proved it.
    is_lapsed : bool
        Whether the endpoint is listed only because its record may have expired in an outage.
    """

    age_s: float
    proven_by: str
    is_lapsed: bool


UNKNOWN_LISTING = ListingState(float("inf"), "", False)


def _publish_no_changes(entries: tuple[Entry, ...], is_lapse: bool) -> None:
    """Do nothing; used until the follower is connected to peers."""


class ListingFollower:
    """Follows the list of endpoints."""

    def __init__(
        self,
        store: StoreClient,
        directory: EndpointDirectory,
        placement: Placement,
        reader: SharedReader,
    ) -> None:
        self.has_read_store = False
        self.is_usable = False
        self.confirmed_at = float("-inf")
        self._proven_by = ""
        self.reader = reader
        self.publish_proof: Callable[[], None] = publish_nothing
        self.publish_changes: Callable[[tuple[Entry, ...], bool], None] = _publish_no_changes
        self._store = store
        self._directory = directory
        self._placement = placement
        self._changes = ListingChanges(reader)
        self._health = StoreHealth(seconds_since_boot(), reader.timeouts.outage_timeout_s)
        self._refresh_lock = asyncio.Lock()
        self._next_refresh_at = float("-inf")

    async def run(self) -> None:
        """Follow the topic forever."""
        while True:
            await self.reader.wait_until_due(lambda: self.confirmed_at)
            has_succeeded = await self._read_once()
            now = seconds_since_boot()
            self._expire(now)
            self._changes.flush(now)
            if has_succeeded:
                self.publish_proof()
            await asyncio.sleep(READ_PAUSE_S if has_succeeded else RETRY_DELAY_S)

    async def refresh(self, since: float) -> bool:
        """Read what is new in the list unless it is known as of a time; return whether it is then.

        Requests that need the list at the same time share a read. After one that brought nothing,
        the store isn't asked for a while.
        """
        async with self._refresh_lock:
            now = seconds_since_boot()
            is_needed = self.has_read_store and self.confirmed_at < since
            if is_needed and now >= self._next_refresh_at:
                self._next_refresh_at = now + REFRESH_RETRY_S
                answer = await self._store.read(ENDPOINT_TOPIC, self._directory.next_offset)
                if isinstance(answer, Records):
                    self._next_refresh_at = now
                    self._apply_answer(answer)
        return self.confirmed_at >= since

    async def _read_once(self) -> bool:
        answer = await self._read()
        if isinstance(answer, OffsetExpired):
            write_event(events.HistoryDropped("endpoints"))
            self.has_read_store = False
            answer = await self._store.read_latest(ENDPOINT_TOPIC)
        if isinstance(answer, LatestRecords | Records):
            self.reader.has_failed = False
            self._apply_answer(answer)
            return True
        self.reader.has_failed = True
        if self._health.record_failure(seconds_since_boot()):
            write_event(events.StoreLost("endpoints", repr(answer)))
        return False

    def _apply_answer(self, answer: LatestRecords | Records) -> None:
        now = seconds_since_boot()
        match answer:
            case LatestRecords(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                self._apply_latest(entries, now)
                self._directory.next_offset = end
                self.has_read_store = True
                self.is_usable = True
                self._record_answer(now)
            case Records(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                self._record_answer(now)
                self._apply_records(entries, now)
        if self._directory.next_offset >= end:
            self._confirm(confirmed_at, OWN_READ)
        else:
            # An answer holds a limited number of bytes.
            self.reader.read_now()
        self._placement.update_endpoints(self._directory.records(), now)

    def _confirm(self, confirmed_at: float, proven_by: str) -> None:
        if confirmed_at > self.confirmed_at:
            self.confirmed_at, self._proven_by = confirmed_at, proven_by

    def needs_peer_listing(self, peer_age_s: float, now: float) -> bool:
        """Return whether to ask a peer for its whole list, which was current ``peer_age_s`` ago.

        The list of a host that reaches the store is read there, in part.
        """
        if self.has_read_store and not self.reader.has_failed:
            return False
        max_age_s = self.reader.timeouts.proof_timeout_s
        return now - self.confirmed_at > max_age_s > peer_age_s

    def describe(self, instance_id: str, now: float) -> ListingState:
        """Return what is known of the list, and of an endpoint's place in it."""
        return ListingState(
            now - self.confirmed_at, self._proven_by, self._directory.is_lapsed(instance_id)
        )

    def _apply_records(self, entries: tuple[Entry, ...], now: float) -> None:
        is_lapse = self._may_have_expired(now)
        # Some of them may have arrived from a peer while the read was in progress.
        for entry in self._select_new(entries):
            self._apply_entry(entry, now, is_lapse)
        if entries:
            self._directory.next_offset = max(self._directory.next_offset, entries[-1].offset + 1)
            if self.reader.sends_to_zone:
                self.publish_changes(entries, is_lapse)

    def _select_new(self, entries: tuple[Entry, ...]) -> list[Entry]:
        """Return the records that were not applied yet.

        A removal that is applied twice takes away an endpoint that was listed again after it.
        """
        return [entry for entry in entries if entry.offset >= self._directory.next_offset]

    def record_proof(self, end: int, confirmed_at: float, peer: str) -> None:
        """Record that a peer, given by its address, had read all records at a time."""
        if not self.has_read_store:
            return
        if end > self._directory.next_offset:
            self.reader.read_now()
        elif end == self._directory.next_offset:
            now = seconds_since_boot()
            self._confirm(confirmed_at, peer)
            self._health.record_proof(confirmed_at, now)
            # A host whose peers prove its list makes no reads of its own.
            self._expire(now)
            self._changes.flush(now)

    def available_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage."""
        return self._health.available_s(now)

    def record_available(self, since: float, until: float) -> None:
        """Record that the store answered a peer during a period.

        If this host's outage turns out to have been none, the endpoints that it kept because
        their records might have expired have really left.
        """
        if self._health.record_available(since, until):
            self._remove_lapsed(seconds_since_boot(), 0.0)

    def apply_changes(self, entries: tuple[Entry, ...], is_lapse: bool) -> None:
        """Apply records that a peer has read; if some are missing, read them from the store."""
        if not self.has_read_store or not entries:
            return
        if entries[0].offset > self._directory.next_offset:
            self.reader.read_now()
            return
        new_entries = self._select_new(entries)
        if not new_entries:
            return
        now = seconds_since_boot()
        if is_lapse:
            self._health.record_reported_outage(now)
        for entry in new_entries:
            self._apply_entry(entry, now, is_lapse)
        self._directory.next_offset = new_entries[-1].offset + 1
        self.reader.record_caught_up()
        self._placement.update_endpoints(self._directory.records(), now)

    def apply_peer_listing(
        self, records: Iterable[EndpointRecord], removed: Iterable[str], now: float
    ) -> None:
        """Apply all endpoints that a peer lists, and those that it removed.

        The read offset stays, so that this host reads the peer's records again.
        """
        for record in records:
            self._apply_record(record, now, is_in_order=False)
        for instance_id in removed:
            self._remove(instance_id, now, False)
        self.is_usable = True
        self._placement.update_endpoints(self._directory.records(), now)

    async def _read(self) -> LatestRecords | Records | OffsetExpired | Refused | NoAnswer:
        if not self.has_read_store:
            return await self._store.read_latest(ENDPOINT_TOPIC)
        offset, long_poll_s = self._directory.next_offset, self.reader.long_poll_s
        return await self._store.read(ENDPOINT_TOPIC, offset, long_poll_s)

    def _record_answer(self, now: float) -> None:
        if self._health.record_answer(now):
            write_event(events.StoreBack("endpoints", self._directory.next_offset))

    def _apply_latest(self, entries: tuple[Entry, ...], now: float) -> None:
        listed_ids = {entry.key for entry in entries}
        is_lapse = self._may_have_expired(now)
        for entry in entries:
            self._apply_entry(entry, now, is_lapse)
        for record in self._directory.records():
            if record.instance_id not in listed_ids:
                self._remove(record.instance_id, now, is_lapse)

    def _may_have_expired(self, now: float) -> bool:
        """Return whether records removed now may have expired in an outage of the store."""
        return self._health.is_outage or now - self._health.outage_ended_at < LAPSE_WINDOW_S

    def _apply_entry(self, entry: Entry, now: float, is_lapse: bool) -> None:
        if entry.value is None:
            self._remove(entry.key, now, is_lapse)
            return
        record = decode_endpoint_record(entry.key, entry.value)
        if record is None:
            write_event(events.RecordIgnored(entry.key))
            return
        self._apply_record(record, now)

    def _apply_record(self, record: EndpointRecord, now: float, is_in_order: bool = True) -> None:
        event = self._directory.apply(record, now, is_in_order)
        if event not in (DirectoryEvent.NOTHING, DirectoryEvent.CHANGED):
            change = events.EndpointChanged(
                record.instance_id, event.value, record.service, record.address, record.version
            )
            self._changes.record(change, now)

    def _remove(self, instance_id: str, now: float, is_lapse: bool) -> None:
        event = self._directory.remove(instance_id, now, is_lapse)
        if event is DirectoryEvent.REMOVED:
            write_event(events.EndpointsGone([instance_id], "removed"))

    def _expire(self, now: float) -> None:
        if not self._health.is_outage:
            self._remove_lapsed(now, LAPSE_GRACE_S)

    def _remove_lapsed(self, now: float, grace_s: float) -> None:
        gone = self._directory.expire(now, grace_s)
        if gone:
            write_event(events.EndpointsGone(gone, "lapsed"))
            self._placement.update_endpoints(self._directory.records(), now)
