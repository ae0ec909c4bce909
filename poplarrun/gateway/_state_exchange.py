"""Exchange of what hosts have read from the store: documents, endpoints, and proofs of age."""

from poplarrun.dispatch import ConfigView
from poplarrun.evacuations import ZoneOrder
from poplarrun.gateway._document_follower import DocumentFollower, DocumentUpdate
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.gateway._message_sender import MessageSender
from poplarrun.logging import events, write_event
from poplarrun.peers import (
    Digest,
    DocumentChanges,
    EndpointChanges,
    ListedEndpoint,
    ListingBudget,
    OffsetRecord,
    PeerTable,
    StateRequest,
    StateResponse,
    ZoneEvacuation,
    decode_records,
    encode_records,
)
from poplarrun.placement import EndpointDirectory, EndpointRecord, Placement
from poplarrun.platform import Entry, MalformedDocument
from poplarrun.transport import seconds_since_boot

# If a peer has had a newer configuration for this long, and this host could not read it from the
# store, it requests it from the peer.
CONFIG_READ_GRACE_S = 0.3
STATE_REQUEST_INTERVAL_S = 0.5
MILLISECONDS_PER_S = 1000.0


class StateExchange:
    """Passes on what this host has read, and applies what other hosts have read.

    Hosts of a zone send each other what they read. A host that misses something, or that the store
    turns away, asks a peer for all of it.
    """

    def __init__(
        self,
        peer_table: PeerTable,
        sender: MessageSender,
        config_view: ConfigView,
        documents: DocumentFollower,
        listings: ListingFollower,
        directory: EndpointDirectory,
        placement: Placement,
    ) -> None:
        self._peer_table = peer_table
        self._sender = sender
        self._config_view = config_view
        self._documents = documents
        self._listings = listings
        self._directory = directory
        self._placement = placement
        self._state_requested_at = float("-inf")
        self._listing_budget = ListingBudget()
        self._outdated_version: int | None = None
        self._outdated_since = 0.0
        listings.publish_changes = self.publish_changes
        documents.publish_update = self.publish_update

    def publish_changes(self, entries: tuple[Entry, ...], is_lapse: bool) -> None:
        """Send records of endpoints to the hosts of this zone."""
        records = _encode_entries(entries)
        start, end = entries[0].offset, entries[-1].offset + 1
        changes = EndpointChanges(self._peer_table.address, start, end, is_lapse, records)
        self._sender.send_to_all(self._zone_addresses(), changes)

    def publish_update(self, update: DocumentUpdate) -> None:
        """Send operators' documents that this host has read to the hosts of this zone."""
        changes = DocumentChanges(
            self._peer_table.address,
            update.start_offset,
            update.end_offset,
            update.is_complete,
            _encode_entries(update.entries),
        )
        self._sender.send_to_all(self._zone_addresses(), changes)

    def _zone_addresses(self) -> list[str]:
        peers = self._peer_table.zone_peers(seconds_since_boot())
        return [peer.address for peer in peers]

    def evacuations(self) -> list[ZoneEvacuation]:
        """Return the newest orders to evacuate zones, for digests."""
        return [
            ZoneEvacuation(order.zone, order.offset, order.is_evacuated)
            for order in self._documents.evacuations.orders
        ]

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply the evacuations of a digest, and what it proves of the sender's reads."""
        self._apply_evacuations(digest, now)
        self._apply_store_progress(digest, now)

    def _apply_evacuations(self, digest: Digest, now: float) -> None:
        for each in digest.evacuations:
            order = ZoneOrder(each.zone, each.offset, each.is_evacuated)
            self._documents.apply_evacuation(order, digest.address, now)

    def _apply_store_progress(self, digest: Digest, now: float) -> None:
        catalogue = self._config_view.catalogue
        version = -1 if catalogue is None else catalogue.version
        if digest.config_version == version and catalogue is not None:
            proven_at = self._peer_table.proven_at(digest, digest.config_age_s)
            if proven_at is not None:
                self._documents.record_proof(proven_at)
        if digest.documents_end_offset > (self._documents.offset or 0):
            self._documents.reader.read_unless_sent()
        sent_at = self._peer_table.proven_at(digest, 0.0)
        if sent_at is not None:
            self._listings.record_available(now - digest.store_available_s, sent_at)
        listed_at = self._peer_table.proven_at(digest, digest.listing_age_s)
        if listed_at is not None:
            self._listings.record_proof(digest.listing_end_offset, listed_at, digest.address)
        wants_config = self._is_config_overdue(digest.config_version, version, now)
        wants_listing = self._listings.needs_peer_listing(digest.listing_age_s, now)
        if (
            wants_config or wants_listing
        ) and now - self._state_requested_at > STATE_REQUEST_INTERVAL_S:
            self._state_requested_at = now
            request = StateRequest(self._peer_table.address, wants_config, wants_listing)
            self._sender.send(digest.address, request)

    def _is_config_overdue(self, peer_version: int, version: int, now: float) -> bool:
        """Return whether a peer has had a newer configuration for longer than a read takes.

        Until then the store should send it: it can send a large document to many hosts sooner than
        one peer could.
        """
        if peer_version <= version:
            return False
        if version != self._outdated_version:
            self._outdated_version, self._outdated_since = version, now
        return now - self._outdated_since > CONFIG_READ_GRACE_S

    def apply_changes(self, changes: EndpointChanges) -> None:
        """Apply records of endpoints that a peer has read."""
        entries = _decode_entries(changes.records)
        if entries is not None:
            self._listings.apply_changes(entries, changes.is_lapse)

    def apply_documents(self, changes: DocumentChanges) -> None:
        """Apply operators' documents that a peer has read."""
        entries = _decode_entries(changes.records)
        if entries is None:
            return
        update = DocumentUpdate(
            entries, changes.start_offset, changes.end_offset, changes.is_complete
        )
        self._documents.apply_peer_update(update, changes.address)

    def make_response(self, request: StateRequest) -> StateResponse:
        """Return the state that a peer requests."""
        listed = []
        now = seconds_since_boot()
        records = self._directory.records()
        if request.wants_listing and self._listing_budget.try_spend(len(records), now):
            listed = [
                ListedEndpoint(
                    record.instance_id,
                    record.service,
                    record.address,
                    record.zone,
                    record.version,
                    record.slots,
                    record.is_leaving,
                    record.started_ms,
                    record.sequence,
                    int(self._placement.warm_up_s(record.instance_id, now) * MILLISECONDS_PER_S),
                )
                for record in records
            ]
        config = self._documents.raw_config if request.wants_config else b""
        removed = self._directory.removed_ids() if listed else []
        return StateResponse(self._peer_table.address, config, listed, removed)

    def apply_response(self, response: StateResponse, now: float) -> None:
        """Apply the state that this host requested."""
        if response.config:
            try:
                self._documents.apply_config(response.config, response.address)
            except MalformedDocument as error:
                write_event(events.DocumentIgnored("config of a peer", str(error)))
        if not response.endpoints and not response.removed:
            return
        records = [
            EndpointRecord(
                listed.instance_id,
                listed.service,
                listed.address,
                listed.zone,
                listed.version,
                listed.slots,
                listed.is_leaving,
                listed.warm_up_ms / MILLISECONDS_PER_S,
                listed.started_ms,
                listed.sequence,
            )
            for listed in response.endpoints
        ]
        self._listings.apply_peer_listing(records, response.removed, now)


def _encode_entries(entries: tuple[Entry, ...]) -> bytes:
    return encode_records([OffsetRecord(each.key, each.value, each.offset) for each in entries])


def _decode_entries(data: bytes) -> tuple[Entry, ...] | None:
    """Return the records of a peer; None, and log it, if they can't be read."""
    records = decode_records(data)
    if records is None:
        write_event(events.MessageUnreadable(len(data)))
        return None
    return tuple(Entry(each.key, each.value, each.offset) for each in records)
