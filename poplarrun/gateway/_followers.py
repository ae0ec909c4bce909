"""Followers of the store: the operators' documents, and the listed endpoints."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.dispatch import ConfigView
from poplarrun.gateway._reading import SharedReader
from poplarrun.logging import events, write_event
from poplarrun.peers import DEFAULT_READ_TIMEOUTS
from poplarrun.placement import LAPSE_GRACE_S, DirectoryEvent, EndpointDirectory, Placement
from poplarrun.platform import (
    CONFIG_KEY,
    ENDPOINT_TOPIC,
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
    decode_listing,
    decode_order,
    decode_status,
)
from poplarrun.rollouts import Rollouts
from poplarrun.transport import seconds_since_boot

# Pause after a read of listed endpoints, in seconds: many may change one after the other.
CHANGED_PAUSE_S = 0.1
# Records that are taken away so soon after an outage may belong to endpoints that live.
LAPSE_S = 0.8
# Pause after a failed call, in seconds: long enough not to press a busy store.
FAILED_PAUSE_S = 0.25


@dataclass
class StoreHealth:
    """Whether the store answers this host.

    Attributes
    ----------
    outage_s : float
        Without an answer, or a peer's proof, for longer than this an outage is under way, in
        which endpoints' records may lapse although they live.
    answered_at : float
        When it last did.
    lost_at, back_at : float
        When it answered last before an outage, and first after it.
    steady_since : float
        Since when it has answered without one.
    is_out : bool
        Whether an outage is under way.
    """

    answered_at: float = 0.0
    outage_s: float = DEFAULT_READ_TIMEOUTS.outage_timeout_s
    lost_at: float = math.inf
    back_at: float = -math.inf
    steady_since: float = math.inf
    is_out: bool = False

    def note_answer(self, now: float) -> bool:
        """Take in an answer; True at the end of an outage."""
        was_out = self.is_out or now - self.answered_at > self.outage_s + CHANGED_PAUSE_S
        if was_out:
            self.lost_at = self.answered_at
            self.back_at = now
        if was_out or self.steady_since == math.inf:
            self.steady_since = now
        self.answered_at = now
        self.is_out = False
        return was_out

    def note_proof(self, true_at: float) -> None:
        """Take in that a peer has read all that the store had at a time."""
        self.answered_at = max(self.answered_at, true_at)

    def note_failure(self, now: float) -> bool:
        """Take in a failure; True at the beginning of an outage."""
        begins = not self.is_out and now - self.answered_at > self.outage_s
        self.is_out = self.is_out or begins
        return begins

    def steady_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage."""
        if self.is_out or now - self.answered_at > self.outage_s:
            return 0.0
        return max(0.0, now - self.steady_since)

    def note_steady(self, since: float, until: float) -> bool:
        """Take in that the store answered a peer all that time.

        True where that shows that only this host was cut off, and there was no outage.
        """
        if self.is_out or since > self.lost_at or until < self.back_at:
            return False
        was_taken_for_out = self.back_at > -math.inf
        self.back_at = -math.inf
        return was_taken_for_out


def _tell_nobody() -> None:
    """Tell the zone nothing: there are no peers yet."""


def _tell_no_changes(entries: tuple[Entry, ...], is_lapse: bool) -> None:
    """Tell the zone nothing: there are no peers yet."""


class DocumentFollower:
    """Follows the operators' configuration and roll-out orders."""

    def __init__(
        self,
        store: StoreClient,
        knowledge: ConfigView,
        rollouts: Rollouts,
        changed: Callable[[], None],
        reading: SharedReader,
    ) -> None:
        self.offset: int | None = None
        self.raw_config = b""
        self.reading = reading
        self.tell_zone: Callable[[], None] = _tell_nobody
        self._store = store
        self._knowledge = knowledge
        self._rollouts = rollouts
        self._changed = changed
        self._health = StoreHealth(seconds_since_boot(), reading.times.outage_timeout_s)

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self.reading.wait(lambda: self._knowledge.confirmed_at)
            if await self._step():
                self.tell_zone()
            else:
                await asyncio.sleep(FAILED_PAUSE_S)

    async def _step(self) -> bool:
        answer = await self._read()
        now = seconds_since_boot()
        match answer:
            case LatestRecords(entries=entries, end_offset=end, current_as_of=current_as_of):
                self._take_all(entries, now)
                self.offset = end
            case Records(entries=entries, end_offset=end, current_as_of=current_as_of):
                self._take_all(entries, now)
                self.offset = entries[-1].offset + 1 if entries else self.offset
                if self.offset is not None and self.offset < end:
                    return True
            case OffsetExpired():
                write_event(events.HistoryDropped("documents"))
                self.offset = None
                return True
            case Refused() | NoAnswer():
                self.reading.has_failed = True
                if self._health.note_failure(now):
                    write_event(events.StoreLost("documents", repr(answer)))
                return False
        self.reading.has_failed = False
        if self._health.note_answer(now):
            write_event(events.StoreBack("documents", self.offset or 0))
        if self._knowledge.catalogue is not None:
            self._knowledge.confirm(current_as_of)
        return True

    async def _read(self) -> LatestRecords | Records | OffsetExpired | Refused | NoAnswer:
        if self.offset is None:
            return await self._store.read_latest(OPERATOR_TOPIC)
        return await self._store.read(OPERATOR_TOPIC, self.offset, self.reading.held_s)

    def note_proof(self, true_at: float) -> None:
        """Take in that a peer proved the configuration of this host the newest."""
        self._knowledge.confirm(true_at)
        self._health.note_proof(true_at)

    def _take_all(self, entries: tuple[Entry, ...], now: float) -> None:
        for entry in entries:
            self._take(entry, now)

    def _take(self, entry: Entry, now: float) -> None:
        if entry.value is None:
            return
        try:
            if entry.key == CONFIG_KEY:
                self.take_config(entry.value)
            elif entry.key.startswith(ROLLOUT_PREFIX):
                order = decode_order(entry.value, entry.offset)
                if self._rollouts.apply_order(order, now):
                    write_event(
                        events.RolloutOrdered(
                            order.service, order.target, order.duration_s, "store", 0.0
                        )
                    )
        except MalformedDocument as error:
            write_event(events.DocumentIgnored(entry.key, str(error)))

    def take_config(self, value: bytes, source: str = "store") -> None:
        """Take in a configuration as it stands in the store.

        Raises
        ------
        Malformed
            When it can't be decoded.
        """
        catalogue = decode_catalogue(value)
        if self._knowledge.apply_catalogue(catalogue):
            self.raw_config = value
            write_event(events.ConfigInForce(catalogue.version, source))
            self._changed()


class ListingFollower:
    """Follows the listed endpoints."""

    def __init__(
        self,
        store: StoreClient,
        directory: EndpointDirectory,
        placement: Placement,
        reading: SharedReader,
    ) -> None:
        self.is_known = False
        self.is_served = False
        self.current_as_of = float("-inf")
        self.reading = reading
        self.tell_zone: Callable[[], None] = _tell_nobody
        self.tell_changes: Callable[[tuple[Entry, ...], bool], None] = _tell_no_changes
        self._store = store
        self._directory = directory
        self._placement = placement
        self._health = StoreHealth(seconds_since_boot(), reading.times.outage_timeout_s)

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            await self.reading.wait(lambda: self.current_as_of)
            is_good = await self._step()
            self._expire(seconds_since_boot())
            if is_good:
                self.tell_zone()
            await asyncio.sleep(CHANGED_PAUSE_S if is_good else FAILED_PAUSE_S)

    async def _step(self) -> bool:
        answer = await self._read()
        now = seconds_since_boot()
        match answer:
            case LatestRecords(entries=entries, end_offset=end, current_as_of=current_as_of):
                self._take_newest(entries, now)
                self._directory.next_offset = end
                self.is_known = True
                self.is_served = True
            case Records(entries=entries, current_as_of=current_as_of):
                self._note_answer(now)
                self._take_records(entries, now)
            case OffsetExpired():
                write_event(events.HistoryDropped("endpoints"))
                self.is_known = False
                return await self._step()
            case Refused() | NoAnswer():
                self.reading.has_failed = True
                if self._health.note_failure(now):
                    write_event(events.StoreLost("endpoints", repr(answer)))
                return False
        self.reading.has_failed = False
        self._note_answer(now)
        self.current_as_of = max(self.current_as_of, current_as_of)
        self._placement.update_endpoints(self._directory.records())
        return True

    def _take_records(self, entries: tuple[Entry, ...], now: float) -> None:
        is_lapse = self._is_lapse(now)
        for entry in entries:
            self._take(entry, now, is_lapse)
        if entries:
            # A peer may have told of some of them while the read was under way.
            self._directory.next_offset = max(self._directory.next_offset, entries[-1].offset + 1)
            self.tell_changes(entries, is_lapse)

    def note_proof(self, end: int, true_at: float) -> None:
        """Take in that a peer had read all that the store had at a time."""
        if not self.is_known:
            return
        if end > self._directory.next_offset:
            self.reading.hurry()
        elif end == self._directory.next_offset:
            self.current_as_of = max(self.current_as_of, true_at)
            self._health.note_proof(true_at)

    def steady_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage."""
        return self._health.steady_s(now)

    def note_steady(self, since: float, until: float) -> None:
        """Take in that the store answered a peer all that time.

        What was taken for lapsed in an outage that there was not has really left.
        """
        if self._health.note_steady(since, until):
            self._drop_lapsed(seconds_since_boot(), 0.0)

    def take_changes(self, entries: tuple[Entry, ...], is_lapse: bool) -> None:
        """Take in records that a peer has read; after a gap this host reads for itself."""
        if not self.is_known or not entries:
            return
        if entries[0].offset > self._directory.next_offset:
            self.reading.hurry()
            return
        fresh = [entry for entry in entries if entry.offset >= self._directory.next_offset]
        if not fresh:
            return
        now = seconds_since_boot()
        for entry in fresh:
            self._take(entry, now, is_lapse)
        self._directory.next_offset = fresh[-1].offset + 1
        self._placement.update_endpoints(self._directory.records())

    def take_from_peer(self) -> None:
        """Put what a peer told of the endpoints into force.

        The place in the log stays: records that a peer has read are read again.
        """
        self.is_served = True
        self._placement.update_endpoints(self._directory.records())

    async def _read(self) -> LatestRecords | Records | OffsetExpired | Refused | NoAnswer:
        if not self.is_known:
            return await self._store.read_latest(ENDPOINT_TOPIC)
        offset, held_s = self._directory.next_offset, self.reading.held_s
        return await self._store.read(ENDPOINT_TOPIC, offset, held_s)

    def _note_answer(self, now: float) -> None:
        if self._health.note_answer(now):
            write_event(events.StoreBack("endpoints", self._directory.next_offset))

    def _take_newest(self, entries: tuple[Entry, ...], now: float) -> None:
        listed = {entry.key for entry in entries}
        is_lapse = self._is_lapse(now)
        for entry in entries:
            self._take(entry, now, is_lapse)
        for listing in self._directory.records():
            if listing.instance_id not in listed:
                self._remove(listing.instance_id, now, is_lapse)

    def _is_lapse(self, now: float) -> bool:
        """Return whether records that are gone may have lapsed with an outage of the store."""
        return self._health.is_out or now - self._health.back_at < LAPSE_S

    def _take(self, entry: Entry, now: float, is_lapse: bool) -> None:
        if entry.value is None:
            self._remove(entry.key, now, is_lapse)
            return
        listing = decode_listing(entry.key, entry.value)
        if listing is None:
            write_event(events.RecordIgnored(entry.key))
            return
        event = self._directory.apply(listing, now)
        if event not in (DirectoryEvent.NOTHING, DirectoryEvent.CHANGED):
            write_event(
                events.EndpointChanged(
                    listing.instance_id,
                    event.value,
                    listing.service,
                    listing.address,
                    listing.version,
                )
            )

    def _remove(self, lifetime: str, now: float, is_lapse: bool) -> None:
        event = self._directory.remove(lifetime, now, is_lapse)
        if event is DirectoryEvent.REMOVED:
            write_event(events.EndpointsGone([lifetime], "removed"))

    def _expire(self, now: float) -> None:
        if not self._health.is_out:
            self._drop_lapsed(now, LAPSE_GRACE_S)

    def _drop_lapsed(self, now: float, grace_s: float) -> None:
        gone = self._directory.expire(now, grace_s)
        if gone:
            write_event(events.EndpointsGone(gone, "lapsed"))
            self._placement.update_endpoints(self._directory.records())


class StatusFollower:
    """Reads what is recorded of roll-outs, while any is under way."""

    def __init__(self, store: StoreClient, rollouts: Rollouts) -> None:
        self.offset = 0
        self._store = store
        self._rollouts = rollouts

    async def read(self) -> bool:
        """Read to the end of the records; False when the store does not answer."""
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
