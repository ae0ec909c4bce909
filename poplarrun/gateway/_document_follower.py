"""Follower of the operators' documents: configuration, roll-out orders and evacuations."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.dispatch import ConfigView
from poplarrun.evacuations import Evacuations, ZoneOrder
from poplarrun.gateway._reading import SharedReader, publish_nothing
from poplarrun.gateway._store_health import RETRY_DELAY_S, StoreHealth
from poplarrun.logging import events, write_event
from poplarrun.placement import Placement
from poplarrun.platform import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    ROLLOUT_PREFIX,
    Entry,
    LatestRecords,
    MalformedDocument,
    NoAnswer,
    OffsetExpired,
    Records,
    Refused,
    StoreClient,
    decode_catalogue,
    decode_evacuation,
    decode_order,
)
from poplarrun.rollouts import Rollouts
from poplarrun.transport import seconds_since_boot


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
    """Follows the operators' configuration, orders of roll-outs and evacuations."""

    def __init__(
        self,
        store: StoreClient,
        config_view: ConfigView,
        rollouts: Rollouts,
        on_change: Callable[[], None],
        reader: SharedReader,
        placement: Placement,
    ) -> None:
        self.offset: int | None = None
        self.evacuations = Evacuations()
        self._placement = placement
        self.raw_config = b""
        self.reader = reader
        self.publish_proof: Callable[[], None] = publish_nothing
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
                is_news = self._apply_update(update, "store", now)
                if self._has_expired and is_news:
                    self._send_update(update)
                self._has_expired = False
            case Records(entries=entries, end_offset=end, confirmed_at=confirmed_at):
                if entries:
                    read_to = entries[-1].offset + 1
                    update = DocumentUpdate(entries, entries[0].offset, read_to, False)
                    if self._apply_update(update, "store", now):
                        self._send_update(update)
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

    def _send_update(self, update: DocumentUpdate) -> None:
        if self.reader.sends_to_zone:
            self.publish_update(update)

    async def _read(self) -> LatestRecords | Records | OffsetExpired | Refused | NoAnswer:
        if self.offset is None:
            return await self._store.read_latest(OPERATOR_TOPIC)
        return await self._store.read(OPERATOR_TOPIC, self.offset, self.reader.long_poll_s)

    def _apply_update(self, update: DocumentUpdate, source: str, now: float) -> bool:
        """Apply documents; return False if a peer sent them all while they were read."""
        if self.offset is not None and update.end_offset <= self.offset:
            return False
        for entry in update.entries:
            self._apply_entry(entry, source, now)
        if update.is_complete:
            self._lift_unlisted_evacuations(update, source, now)
        self.offset = update.end_offset
        return True

    def apply_peer_update(self, update: DocumentUpdate, source: str) -> None:
        """Apply documents that a peer has read; if some are missing, read them from the store.

        Parameters
        ----------
        source : str
            Address of the peer.
        """
        if self.offset is None:
            return
        if not update.is_complete and update.start_offset > self.offset:
            self.reader.read_now()
            return
        if self._apply_update(update, source, seconds_since_boot()):
            self.reader.record_caught_up()

    def record_proof(self, confirmed_at: float) -> None:
        """Record that a peer proved this host's configuration to be current."""
        self._config_view.confirm(confirmed_at)
        self._health.record_proof(confirmed_at, seconds_since_boot())

    def _apply_entry(self, entry: Entry, source: str, now: float) -> None:
        try:
            if entry.key.startswith(EVACUATION_PREFIX):
                order = decode_evacuation(entry.key, entry.value, entry.offset)
                self.apply_evacuation(order, source, now)
            elif entry.value is None:
                return
            elif entry.key == CONFIG_KEY:
                self.apply_config(entry.value, source)
            elif entry.key.startswith(ROLLOUT_PREFIX):
                rollout = decode_order(entry.value, entry.offset)
                if self._rollouts.apply_order(rollout, now):
                    write_event(
                        events.RolloutOrdered(
                            rollout.service, rollout.target, rollout.duration_s, source, 0.0
                        )
                    )
        except MalformedDocument as error:
            write_event(events.DocumentIgnored(entry.key, str(error)))

    def _lift_unlisted_evacuations(self, update: DocumentUpdate, source: str, now: float) -> None:
        listed = {
            entry.key.removeprefix(EVACUATION_PREFIX)
            for entry in update.entries
            if entry.key.startswith(EVACUATION_PREFIX)
        }
        for order in self.evacuations.apply_listing(listed, update.end_offset):
            self._use_evacuation(order, source, now)

    def apply_evacuation(self, order: ZoneOrder, source: str, now: float) -> None:
        """Apply an order to evacuate a zone, or that lifts it.

        Parameters
        ----------
        source : str
            Where it was read: the store, or the address of a peer.
        """
        if self.evacuations.apply(order):
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
        catalogue = decode_catalogue(value)
        if self._config_view.apply_catalogue(catalogue):
            self.raw_config = value
            write_event(events.ConfigInForce(catalogue.version, source))
            self._on_change()
