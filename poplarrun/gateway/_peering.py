"""Exchanges digests with the other hosts, and brings what they know to the parts."""

import asyncio
import json
import random

import msgspec

from poplarrun.dispatch import ConfigView
from poplarrun.gateway._activity import RolloutState, Sharing
from poplarrun.gateway._followers import DocumentFollower, ListingFollower
from poplarrun.gateway._sessions import SessionLookup
from poplarrun.links import Links
from poplarrun.logging import events, write_event
from poplarrun.peers import (
    ChangedRecord,
    Digest,
    DueDigest,
    EndpointChanges,
    HeldSessions,
    ListedEndpoint,
    PeerState,
    PeerTable,
    Roster,
    RosterFingerprint,
    RosterRequest,
    Rosters,
    Scope,
    SessionAnswer,
    SessionQuery,
    StateRequest,
    StateResponse,
    decode_message,
    encode_message,
    encode_totals,
)
from poplarrun.placement import EndpointDirectory, EndpointRecord, Placement
from poplarrun.platform import (
    HOST_TOPIC,
    Appended,
    Entry,
    LatestRecords,
    MalformedDocument,
    StoreClient,
)
from poplarrun.rollouts import Rollouts
from poplarrun.transport import seconds_since_boot

# Pauses between two digests, in seconds: reports to the relays of the own zone, sums of a
# zone to other zones, and sums of all to a host of the own zone, which has two relays.
REPORT_PERIOD_S = 0.4
ZONE_PERIOD_S = 1.0
FLEET_PERIOD_S = 0.8
# The same between zones while a roll-out is under way: a bad version must be known as bad
# to all hosts well within the operators' bound.
ROLLOUT_PERIOD_S = 0.4
ROUND_S = 0.2
# Where this host can't read the listed endpoints itself for so long, it asks a peer
# that has read them, in seconds.
OLD_LISTING_S = 1.8
# A host that starts waits so long at the most for the first digest, in seconds: other hosts
# may all be dead or cut off.
FIRST_DIGEST_S = 1.0
# A configuration that a peer has, and this host could not read of the store for so long,
# is asked of the peer, in seconds.
OLD_CONFIG_S = 0.3
ASK_PERIOD_S = 0.5
# Pause between two questions for the list of the same zone's hosts, in seconds.
ROSTER_PERIOD_S = 0.3
# Pauses between two writings of the own address until one succeeds, and between two
# readings of all addresses, by a relay and by another host, in seconds.
ANNOUNCE_PAUSE_S = 1.0
READ_HOSTS_S = 20.0
LATER_READ_HOSTS_S = 60.0
# An address of which nothing was heard for so long since it was first read belongs to a
# host that is gone, in seconds: longer than a zone is usually cut off.
GONE_S = 120.0
# The job of taking such addresses out of the store.
SWEEP_JOB = "addresses"


class Peering:
    """The conversation with the other hosts; runs on the loop."""

    def __init__(
        self,
        peer_table: PeerTable,
        links: Links,
        store: StoreClient,
        knowledge: ConfigView,
        documents: DocumentFollower,
        listings: ListingFollower,
        directory: EndpointDirectory,
        placement: Placement,
        rollouts: Rollouts,
    ) -> None:
        self.peer_table = peer_table
        self._links = links
        self._store = store
        self._knowledge = knowledge
        self._documents = documents
        self._listings = listings
        self._directory = directory
        self._placement = placement
        self._rollouts = rollouts
        self._rosters = Rosters(peer_table)
        self._sharing = Sharing(peer_table.zone, placement, rollouts)
        self.sessions = SessionLookup(peer_table, links, rollouts)
        self._started_at = float("inf")
        self._asked_at = float("-inf")
        self._outdated: int | None = None
        self._outdated_since = 0.0
        self._alive: set[str] = set()
        self._news: list[RolloutState] = []
        self._news_at = float("-inf")
        self._rosters_asked_at: dict[tuple[str, str], float] = {}
        self._is_leaving = False
        documents.tell_zone = self.tell_zone
        listings.tell_zone = self.tell_zone
        listings.tell_changes = self.tell_changes

    def tell_zone(self) -> None:
        """Prove to the hosts of the own zone what this one has just read."""
        now = seconds_since_boot()
        digest = self._header(now)
        for peer in self.peer_table.reporting_peers(now):
            self._send(digest, peer, now)

    def tell_changes(self, entries: tuple[Entry, ...], is_lapse: bool) -> None:
        """Pass records of endpoints on to the hosts of the own zone."""
        records = [ChangedRecord(entry.key, entry.value) for entry in entries]
        start, end = entries[0].offset, entries[-1].offset + 1
        message = encode_message(
            EndpointChanges(self.peer_table.address, start, end, is_lapse, records)
        )
        for peer in self.peer_table.zone_peers(seconds_since_boot()):
            self._links.send(peer.address, message)

    def count_alive(self) -> int:
        """Return how many other hosts are heard of."""
        return len(self.peer_table.alive_peers(seconds_since_boot()))

    def job_rank(self, service: str) -> int:
        """Return how many live hosts come before this one for a service's roll-outs."""
        return self.peer_table.job_rank(service, seconds_since_boot())

    def is_informed(self, now: float) -> bool:
        """Return whether a host that started knows how far roll-outs are.

        The store tells of an order, but neither how old it is nor whether sessions change
        versions already. By that alone a host that starts anew would begin the trial again.
        """
        if self.peer_table.has_heard or self.peer_table.is_alone:
            return True
        return now - self._started_at >= FIRST_DIGEST_S

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Tell and hear for ever."""
        self._started_at = seconds_since_boot()
        for seed in seeds:
            self.peer_table.add_address(seed, seconds_since_boot())
        self._links.start(self._receive)
        while True:
            self._tell(seconds_since_boot())
            await asyncio.sleep(ROUND_S)

    async def announce(self) -> None:
        """Keep the own address in the store, and read the others' now and then."""
        is_listed = False
        while not self._is_leaving:
            if not is_listed:
                is_listed = await self._write_address()
                await asyncio.sleep(0.0 if is_listed else _spread(ANNOUNCE_PAUSE_S))
                continue
            newest = await self._store.read_latest(HOST_TOPIC)
            if isinstance(newest, LatestRecords):
                is_listed = self.peer_table.address in [entry.key for entry in newest.entries]
                await self._read_addresses(newest.entries, seconds_since_boot())
            is_relay = self.peer_table.is_aggregator(seconds_since_boot())
            await asyncio.sleep(_spread(READ_HOSTS_S if is_relay else LATER_READ_HOSTS_S))

    async def withdraw(self) -> None:
        """Take the own address out of the store, and write it no more."""
        self._is_leaving = True
        await self._store.append(HOST_TOPIC, [(self.peer_table.address, None)])

    async def _write_address(self) -> bool:
        value = json.dumps({"zone": self.peer_table.zone}).encode()
        answer = await self._store.append(HOST_TOPIC, [(self.peer_table.address, value)])
        return isinstance(answer, Appended)

    async def _read_addresses(self, entries: tuple[Entry, ...], now: float) -> None:
        """Name the listed hosts; one host takes out those that are gone.

        Hosts that are killed leave their addresses behind. Some hundred a day would
        make each start read, and write to, thousands that nobody answers. A host that
        was only cut off finds its address missing and writes it again.
        """
        for entry in entries:
            self.peer_table.add_address(entry.key, now, _read_zone(entry))
        if self.peer_table.job_rank(SWEEP_JOB, now) > 0:
            return
        gone = [entry.key for entry in entries if self.peer_table.is_gone(entry.key, now, GONE_S)]
        if gone:
            await self._store.append(HOST_TOPIC, [(address, None) for address in gone])
            write_event(events.PeersChanged(gone, []))

    def _tell(self, now: float) -> None:
        active = self._rollouts.active()
        far_s = ROLLOUT_PERIOD_S if active else ZONE_PERIOD_S
        self._note_news(now)
        self._rosters.expire(now)
        due = self.peer_table.due_digests(
            now, REPORT_PERIOD_S, far_s, FLEET_PERIOD_S, self._news_at
        )
        if due:
            self._send_digests(due, now)
        self._sharing.apply(now)
        self.sessions.tell()
        self._note_alive(now)

    def _note_news(self, now: float) -> bool:
        """Return whether roll-outs have gone on since this was asked last."""
        news = self._sharing.rollout_states()
        if news == self._news:
            return False
        self._news = news
        self._news_at = now
        return True

    def _send_digests(self, tellings: list[DueDigest], now: float) -> None:
        own = self._sharing.own()
        header = self._header(now)
        digests: dict[tuple[Scope, bool], Digest] = {}
        for telling in tellings:
            is_far = telling.peer.zone != self.peer_table.zone
            key = (telling.scope, is_far)
            if key not in digests:
                totals = b""
                if telling.scope is not Scope.NONE:
                    totals = encode_totals(self._sharing.sum_up(telling.scope, own, now))
                is_report = telling.scope is Scope.HOST
                fingerprints = [] if is_report else self._rosters.fingerprints(is_far, now)
                digests[key] = msgspec.structs.replace(
                    header, scope=telling.scope, totals=totals, roster_fingerprints=fingerprints
                )
            if telling.scope is Scope.HOST:
                self._sharing.note_told(own, now)
            self._send(digests[key], telling.peer, now)

    def _send(self, digest: Digest, peer: PeerState, now: float) -> None:
        """Send a digest with the receiver's own stamps in it."""
        included_stamp = (
            self._sharing.stamp_of(peer.address) if digest.scope is Scope.FLEET else 0.0
        )
        message = msgspec.structs.replace(
            digest,
            echoed_stamp=peer.last_stamp,
            echo_delay_s=now - peer.heard_at if peer.last_stamp else 0.0,
            included_stamp=included_stamp,
        )
        self._links.send(peer.address, encode_message(message))

    def _note_alive(self, now: float) -> None:
        self._placement.silent_zones = self.peer_table.silent_zones(now)
        alive = {peer.address for peer in self.peer_table.alive_peers(now)}
        if alive != self._alive:
            lost = sorted(self._alive - alive)
            found = sorted(alive - self._alive)
            write_event(events.PeersChanged(lost, found))
            self._alive = alive

    def _header(self, now: float) -> Digest:
        """Return what all peers are told alike at a time."""
        catalogue = self._knowledge.catalogue
        return Digest(
            address=self.peer_table.address,
            zone=self.peer_table.zone,
            stamp=now,
            echoed_stamp=0.0,
            echo_delay_s=0.0,
            config_version=-1 if catalogue is None else catalogue.version,
            config_age_s=min(1e6, self._knowledge.age_s(now)),
            listing_age_s=min(1e6, now - self._listings.current_as_of),
            documents_end_offset=-1 if self._documents.offset is None else self._documents.offset,
            listing_end_offset=self._directory.next_offset if self._listings.is_known else -1,
            store_available_s=self._listings.steady_s(now),
            rollouts=self._sharing.rollout_news(now),
        )

    def _receive(self, data: bytes) -> None:
        now = seconds_since_boot()
        match decode_message(data):
            case Digest() as digest:
                self._take_digest(digest, now)
            case RosterRequest() as roster_ask:
                self._answer_roster(roster_ask, now)
            case Roster() as roster:
                self._take_roster(roster, now)
            case StateRequest() as ask:
                self._links.send(ask.address, encode_message(self._answer(ask)))
            case StateResponse() as documents:
                self._take_documents(documents, now)
            case EndpointChanges() as changes:
                self._take_changes(changes)
            case HeldSessions() as held:
                self.sessions.take_held(held)
            case SessionQuery() as session_ask:
                self.sessions.answer(session_ask)
            case SessionAnswer() as session_answer:
                self.sessions.take_answer(session_answer)
            case None:
                write_event(events.MessageUnreadable(len(data)))

    def _take_digest(self, digest: Digest, now: float) -> None:
        known = self.peer_table.find(digest.address)
        is_new = known is None or not known.is_alive(now)
        if not self.peer_table.apply_digest(digest, now):
            return
        peer = self.peer_table.find(digest.address)
        # A host that starts, or comes back, hears at once who is there. Its first words may
        # have come while this one's were lost, so that it is known but has heard nothing.
        is_new = is_new or digest.echoed_stamp <= 0.0
        if is_new and peer is not None and now - peer.last_sent_at >= REPORT_PERIOD_S:
            peer.last_sent_at = now
            is_near = digest.zone == self.peer_table.zone
            self._send_digests([DueDigest(peer, Scope.FLEET if is_near else Scope.NONE)], now)
        for fingerprint in digest.roster_fingerprints:
            self._apply_fingerprint(digest, fingerprint, now)
        self._sharing.take(digest, now)
        self._take(digest, now)
        if self._note_news(now):
            # On its way to hosts of other zones news passes three hosts: none may wait a round.
            self._tell(now)

    def _apply_fingerprint(
        self, digest: Digest, fingerprint: RosterFingerprint, now: float
    ) -> None:
        if digest.zone not in (self.peer_table.zone, fingerprint.zone):
            return
        if self._rosters.apply_fingerprint(digest.address, digest.zone, fingerprint, now):
            return
        key = (digest.address, fingerprint.zone)
        if now - self._rosters_asked_at.get(key, float("-inf")) < ROSTER_PERIOD_S:
            return
        self._rosters_asked_at[key] = now
        self._links.send(
            digest.address, encode_message(RosterRequest(self.peer_table.address, fingerprint.zone))
        )

    def _take_roster(self, roster: Roster, now: float) -> None:
        # Only what was asked of its sender counts.
        sender = self.peer_table.find(roster.address)
        asked_at = self._rosters_asked_at.pop((roster.address, roster.zone), None)
        if sender is not None and asked_at is not None:
            self._rosters.apply_roster(roster, sender.zone, now)

    def _answer_roster(self, ask: RosterRequest, now: float) -> None:
        hosts = self._rosters.roster(ask.zone, now)
        age_s = self._rosters.roster_age_s(ask.zone, now)
        roster = Roster(self.peer_table.address, ask.zone, hosts, age_s)
        self._links.send(ask.address, encode_message(roster))

    def _take(self, digest: Digest, now: float) -> None:
        catalogue = self._knowledge.catalogue
        version = -1 if catalogue is None else catalogue.version
        if digest.config_version == version and catalogue is not None:
            proven_at = self.peer_table.proven_at(digest, digest.config_age_s)
            if proven_at is not None:
                self._documents.note_proof(proven_at)
        if digest.documents_end_offset > (self._documents.offset or 0):
            self._documents.reading.hurry()
        sent_at = self.peer_table.proven_at(digest, 0.0)
        if sent_at is not None:
            self._listings.note_steady(now - digest.store_available_s, sent_at)
        listed_at = self.peer_table.proven_at(digest, digest.listing_age_s)
        if listed_at is not None:
            self._listings.note_proof(digest.listing_end_offset, listed_at)
        wants_config = self._is_config_late(digest.config_version, version, now)
        is_old = now - self._listings.current_as_of > OLD_LISTING_S
        wants_listing = is_old and digest.listing_age_s < OLD_LISTING_S
        if (wants_config or wants_listing) and now - self._asked_at > ASK_PERIOD_S:
            self._asked_at = now
            ask = StateRequest(self.peer_table.address, wants_config, wants_listing)
            self._links.send(digest.address, encode_message(ask))

    def _is_config_late(self, heard: int, version: int, now: float) -> bool:
        """Return whether a peer has had a newer configuration for longer than a read takes.

        The store sends a large document to many hosts sooner than one peer could.
        """
        if heard <= version:
            return False
        if version != self._outdated:
            self._outdated, self._outdated_since = version, now
        return now - self._outdated_since > OLD_CONFIG_S

    def _take_changes(self, changes: EndpointChanges) -> None:
        entries = tuple(
            Entry(record.key, record.value, changes.start_offset + place)
            for place, record in enumerate(changes.records)
        )
        self._listings.take_changes(entries, changes.is_lapse)

    def _answer(self, ask: StateRequest) -> StateResponse:
        listed = []
        if ask.wants_listing:
            listed = [
                ListedEndpoint(
                    listing.instance_id,
                    listing.service,
                    listing.address,
                    listing.zone,
                    listing.version,
                    listing.slots,
                    listing.is_leaving,
                    listing.started_ms,
                    listing.sequence,
                )
                for listing in self._directory.records()
            ]
        config = self._documents.raw_config if ask.wants_config else b""
        return StateResponse(self.peer_table.address, config, listed, self._directory.removed_ids())

    def _take_documents(self, documents: StateResponse, now: float) -> None:
        if documents.config:
            try:
                self._documents.take_config(documents.config, documents.address)
            except MalformedDocument as error:
                write_event(events.DocumentIgnored("config of a peer", str(error)))
        if not documents.endpoints and not documents.removed:
            return
        for listed in documents.endpoints:
            listing = EndpointRecord(
                listed.lifetime,
                listed.service,
                listed.address,
                listed.zone,
                listed.version,
                listed.places,
                listed.is_leaving,
                0.0,
                listed.started_ms,
                listed.sequence,
            )
            self._directory.apply(listing, now)
        for lifetime in documents.removed:
            self._directory.remove(lifetime, now)
        self._listings.take_from_peer()


def _read_zone(entry: Entry) -> str:
    """Return the zone that a host wrote beside its address; empty where it can't be read."""
    try:
        return str(json.loads(entry.value or b"")["zone"])
    except (ValueError, KeyError, TypeError):
        return ""


def _spread(seconds: float) -> float:
    """Return about so many seconds, so that hosts that start together don't call together."""
    return seconds * random.uniform(0.7, 1.3)
