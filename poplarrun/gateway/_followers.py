"""Followers of the store: operators' documents, list of endpoints, and phases of roll-outs."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.dispatch import ConfigView
from poplarrun.evacuations import Evacuations, ZoneOrder
from poplarrun.gateway._reading import SharedReader
from poplarrun.logging import events, write_event
from poplarrun.peers import DEFAULT_READ_TIMEOUTS
from poplarrun.placement import LAPSE_GRACE_S, DirectoryEvent, EndpointDirectory, Placement
from poplarrun.platform import (
    CONFIG_KEY,
    ENDPOINT_TOPIC,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    ROLLOUT_PREFIX,
    STATUS_TOPIC,
    Entry,
    LatestRecords,
    MalformedDocument,
    NoAnswer,
    OffsetExpired,
    Records,
    Refused,
    StoreClient,
    decode_catalogue,
    decode_endpoint_record,
    decode_evacuation,
    decode_order,
    decode_status,
)
from poplarrun.rollouts import Rollouts
from poplarrun.routing import NO_WARM_UP_LIMIT, WarmUpLimit
from poplarrun.transport import seconds_since_boot

# Pause after a read of the list of endpoints, since many may change one after the other.
READ_PAUSE_S = 0.1
# Records removed within this time after an outage may be those of live endpoints.
LAPSE_WINDOW_S = 0.8
# Pause after a failed call, long enough not to overload a busy store.
RETRY_DELAY_S = 0.25


@dataclass
class StoreHealth:
    """Detects outages of the store as seen by this host.

    Attributes
    ----------
    answered_at : float
        When the store last answered.
    outage_timeout_s : float
        Time without an answer, or a peer's proof, after which there is an outage, in which
        records of live endpoints may expire.
    outage_began_at, outage_ended_at : float
        Times of the last answer before the latest outage and of the first one after it.
    available_since : float
        Since when the store has answered without an outage.
    is_outage : bool
        Whether there is an outage now.
    """

    answered_at: float = 0.0
    outage_timeout_s: float = DEFAULT_READ_TIMEOUTS.outage_timeout_s
    outage_began_at: float = math.inf
    outage_ended_at: float = -math.inf
    available_since: float = math.inf
    is_outage: bool = False

    def record_answer(self, now: float) -> bool:
        """Record an answer; return True if it ends an outage."""
        was_outage = self.is_outage or now - self.answered_at > self.outage_timeout_s + READ_PAUSE_S
        if was_outage:
            self.outage_began_at = self.answered_at
            self.outage_ended_at = now
        if was_outage or self.available_since == math.inf:
            self.available_since = now
        self.answered_at = now
        self.is_outage = False
        return was_outage

    def record_proof(self, confirmed_at: float) -> None:
        """Record that a peer had read all records of the store at a time."""
        self.answered_at = max(self.answered_at, confirmed_at)

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return True if an outage begins."""
        begins = not self.is_outage and now - self.answered_at > self.outage_timeout_s
        self.is_outage = self.is_outage or begins
        return begins

    def available_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage."""
        if self.is_outage or now - self.answered_at > self.outage_timeout_s:
            return 0.0
        return max(0.0, now - self.available_since)

    def record_available(self, since: float, until: float) -> bool:
        """Record that the store answered a peer during a period.

        Return True if it thereby turns out that only this host was cut off from the store, and
        that there was no outage.
        """
        if self.is_outage or since > self.outage_began_at or until < self.outage_ended_at:
            return False
        had_outage = self.outage_ended_at > -math.inf
        self.outage_ended_at = -math.inf
        return had_outage


def _publish_nothing() -> None:
    """Do nothing; used until the follower is connected to peers."""


def _publish_no_changes(entries: tuple[Entry, ...], is_lapse: bool) -> None:
    """Do nothing; used until the follower is connected to peers."""


@dataclass(frozen=True, slots=True)
class DocumentUpdate:
    """Operators' documents that a host has read.

    Attributes
    ----------
    start_offset, end_offset : int
        Offset of the first record, and the one after the last record.
    is_complete : bool
        Whether the entries are the newest ones of all keys, and not what was appended from the
        start offset on.
    """

    entries: tuple[Entry, ...]
    start_offset: int
    end_offset: int
    is_complete: bool


def _publish_no_update(update: DocumentUpdate) -> None:
    """Do nothing; used until the follower is connected to peers."""


class DocumentFollower:
    """Follows the operators' configuration and orders of roll-outs."""

    def __init__(
        self,
        store: StoreClient,
        config_view: ConfigView,
        rollouts: Rollouts,
        on_change: Callable[[], None],
        reader: SharedReader,
        placement: Placement,
        warm_up_bounds: WarmUpLimit = NO_WARM_UP_LIMIT,
    ) -> None:
        self.offset: int | None = None
        self.evacuations = Evacuations()
        self.warm_up_bounds = warm_up_bounds
        self._placement = placement
        self.raw_config = b""
        self.reader = reader
        self.publish_proof: Callable[[], None] = _publish_nothing
        self.publish_update: Callable[[DocumentUpdate], None] = _publish_no_update
        self._has_expired = False
        self._store = store
        self._config_view = config_view
        self._rollouts = rollouts
        self._on_change = on_change
        self._health = StoreHealth(seconds_since_boot(), reader.timeouts.outage_timeout_s)

    async def run(self) -> None:
        """Follow the topic forever."""
        while True:
            await self.reader.wait_until_due(lambda: self._config_view.confirmed_at)
            if await self._read_once():
                self.publish_proof()
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_once(self) -> bool:
        answer = await self._read()
        now = seconds_since_boot()
        match answer:
            case LatestRecords(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                update = DocumentUpdate(entries, 0, end, True)
                self._apply_update(update, now)
                if self._has_expired:
                    self._has_expired = False
                    self.publish_update(update)
            case Records(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                if entries:
                    read_to = entries[-1].offset + 1
                    update = DocumentUpdate(entries, entries[0].offset, read_to, False)
                    self._apply_update(update, now)
                    self.publish_update(update)
                if self.offset is not None and self.offset < end:
                    return True
            case OffsetExpired():
                write_event(events.HistoryDropped("documents"))
                self.offset = None
                self._has_expired = True
                return True
            case Refused() | NoAnswer():
                self.reader.has_failed = True
                if self._health.record_failure(now):
                    write_event(events.StoreLost("documents", repr(answer)))
                return False
        self.reader.has_failed = False
        if self._health.record_answer(now):
            write_event(events.StoreBack("documents", self.offset or 0))
        if self._config_view.catalogue is not None:
            self._config_view.confirm(confirmed_at)
        return True

    async def _read(self) -> LatestRecords | Records | OffsetExpired | Refused | NoAnswer:
        if self.offset is None:
            return await self._store.read_latest(OPERATOR_TOPIC)
        return await self._store.read(OPERATOR_TOPIC, self.offset, self.reader.long_poll_s)

    def _apply_update(self, update: DocumentUpdate, now: float) -> None:
        self._apply_entries(update.entries, now)
        if update.is_complete:
            self._lift_unlisted_evacuations(update.entries, update.end_offset, now)
        # A peer may have sent later records while the read was in progress.
        self.offset = max(self.offset or 0, update.end_offset)

    def apply_peer_update(self, update: DocumentUpdate) -> None:
        """Apply documents that a peer has read; if some are missing, read them from the store."""
        if self.offset is None or update.end_offset <= self.offset:
            return
        if not update.is_complete and update.start_offset > self.offset:
            self.reader.read_now()
            return
        self._apply_update(update, seconds_since_boot())
        self.reader.record_caught_up()

    def record_proof(self, confirmed_at: float) -> None:
        """Record that a peer proved this host's configuration to be current."""
        self._config_view.confirm(confirmed_at)
        self._health.record_proof(confirmed_at)

    def _apply_entries(self, entries: tuple[Entry, ...], now: float) -> None:
        for entry in entries:
            self._apply_entry(entry, now)

    def _apply_entry(self, entry: Entry, now: float) -> None:
        try:
            if entry.key.startswith(EVACUATION_PREFIX):
                order = decode_evacuation(entry.key, entry.value, entry.offset)
                self.apply_evacuation(order, "store", now)
            elif entry.value is None:
                return
            elif entry.key == CONFIG_KEY:
                self.apply_config(entry.value)
            elif entry.key.startswith(ROLLOUT_PREFIX):
                rollout = decode_order(entry.value, entry.offset)
                if self._rollouts.apply_order(rollout, now):
                    write_event(
                        events.RolloutOrdered(
                            rollout.service, rollout.target, rollout.duration_s, "store", 0.0
                        )
                    )
        except MalformedDocument as error:
            write_event(events.DocumentIgnored(entry.key, str(error)))

    def _lift_unlisted_evacuations(
        self, entries: tuple[Entry, ...], end_offset: int, now: float
    ) -> None:
        listed = {
            entry.key.removeprefix(EVACUATION_PREFIX)
            for entry in entries
            if entry.key.startswith(EVACUATION_PREFIX)
        }
        for order in self.evacuations.apply_listing(listed, end_offset, now):
            self._use_evacuation(order, "store", now)

    def apply_evacuation(self, order: ZoneOrder, source: str, now: float) -> None:
        """Apply an order to evacuate a zone, or that lifts it.

        Parameters
        ----------
        source : str
            Where it was read: the store, or the address of a peer.
        """
        if self.evacuations.apply(order, now):
            self._use_evacuation(order, source, now)

    def _use_evacuation(self, order: ZoneOrder, source: str, now: float) -> None:
        self._placement.update_evacuated(self.evacuations.zones, now)
        write_event(events.ZoneEvacuated(order.zone, order.is_evacuated, order.offset, source))

    def apply_config(self, value: bytes, source: str = "store") -> None:
        """Apply a configuration document.

        Raises
        ------
        MalformedDocument
            If it can't be decoded.
        """
        catalogue = decode_catalogue(value, self.warm_up_bounds)
        if self._config_view.apply_catalogue(catalogue):
            self.raw_config = value
            write_event(events.ConfigInForce(catalogue.version, source))
            self._on_change()


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
        self.reader = reader
        self.publish_proof: Callable[[], None] = _publish_nothing
        self.publish_changes: Callable[[tuple[Entry, ...], bool], None] = _publish_no_changes
        self._store = store
        self._directory = directory
        self._placement = placement
        self._health = StoreHealth(seconds_since_boot(), reader.timeouts.outage_timeout_s)

    async def run(self) -> None:
        """Follow the topic forever."""
        while True:
            await self.reader.wait_until_due(lambda: self.confirmed_at)
            has_succeeded = await self._read_once()
            self._expire(seconds_since_boot())
            if has_succeeded:
                self.publish_proof()
            await asyncio.sleep(READ_PAUSE_S if has_succeeded else RETRY_DELAY_S)

    async def _read_once(self) -> bool:
        answer = await self._read()
        now = seconds_since_boot()
        match answer:
            case LatestRecords(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                self._apply_latest(entries, now)
                self._directory.next_offset = end
                self.has_read_store = True
                self.is_usable = True
            case Records(entries=entries, confirmed_at=confirmed_at):
                self._record_answer(now)
                self._apply_records(entries, now)
            case OffsetExpired():
                write_event(events.HistoryDropped("endpoints"))
                self.has_read_store = False
                return await self._read_once()
            case Refused() | NoAnswer():
                self.reader.has_failed = True
                if self._health.record_failure(now):
                    write_event(events.StoreLost("endpoints", repr(answer)))
                return False
        self.reader.has_failed = False
        self._record_answer(now)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._placement.update_endpoints(self._directory.records(), now)
        return True

    def _apply_records(self, entries: tuple[Entry, ...], now: float) -> None:
        is_lapse = self._may_have_expired(now)
        for entry in entries:
            self._apply_entry(entry, now, is_lapse)
        if entries:
            # Some of them may have arrived from a peer while the read was in progress.
            self._directory.next_offset = max(self._directory.next_offset, entries[-1].offset + 1)
            self.publish_changes(entries, is_lapse)

    def record_proof(self, end: int, confirmed_at: float) -> None:
        """Record that a peer had read all records of the store at a time."""
        if not self.has_read_store:
            return
        if end > self._directory.next_offset:
            self.reader.read_unless_sent()
        elif end == self._directory.next_offset:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            self._health.record_proof(confirmed_at)

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
        new_entries = [entry for entry in entries if entry.offset >= self._directory.next_offset]
        if not new_entries:
            return
        now = seconds_since_boot()
        for entry in new_entries:
            self._apply_entry(entry, now, is_lapse)
        self._directory.next_offset = new_entries[-1].offset + 1
        self.reader.record_caught_up()
        self._placement.update_endpoints(self._directory.records(), now)

    def apply_peer_listing(self) -> None:
        """Use the endpoints that a peer sent.

        The read offset stays, so that this host reads the peer's records again.
        """
        self.is_usable = True
        self._placement.update_endpoints(self._directory.records(), seconds_since_boot())

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
        event = self._directory.apply(record, now)
        if event not in (DirectoryEvent.NOTHING, DirectoryEvent.CHANGED):
            write_event(
                events.EndpointChanged(
                    record.instance_id,
                    event.value,
                    record.service,
                    record.address,
                    record.version,
                )
            )

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


class StatusFollower:
    """Reads the recorded phases of roll-outs while any is in progress."""

    def __init__(self, store: StoreClient, rollouts: Rollouts) -> None:
        self.offset = 0
        self._store = store
        self._rollouts = rollouts

    async def read(self) -> bool:
        """Read all records; return False if the store does not answer."""
        answer = await self._store.read_latest(STATUS_TOPIC)
        if not isinstance(answer, LatestRecords):
            return False
        for entry in answer.entries:
            if entry.value is None or not entry.key.startswith(ROLLOUT_PREFIX):
                continue
            try:
                status = decode_status(entry.key[len(ROLLOUT_PREFIX) :], entry.value)
            except MalformedDocument as error:
                write_event(events.DocumentIgnored(entry.key, str(error)))
                continue
            self._rollouts.apply_status(status)
        self.offset = answer.end_offset
        return True
