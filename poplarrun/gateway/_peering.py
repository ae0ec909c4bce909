"""Exchanges digests with the other hosts, and brings what they know to the parts."""

import asyncio
import json
import random

import msgspec

from poplarrun.dispatch import Knowledge
from poplarrun.gateway._followers import DocumentFollower, ListingFollower
from poplarrun.gateway._sessions import SessionKeeping
from poplarrun.links import Links
from poplarrun.logs import events, write_event
from poplarrun.peers import (
    Ask,
    ChangedRecord,
    Changes,
    Digest,
    Documents,
    EndpointLoad,
    HeldSessions,
    Listed,
    Peer,
    PeerBook,
    RolloutNews,
    SessionAnswer,
    SessionAsk,
    TallyNews,
    decode_message,
    encode_message,
)
from poplarrun.placement import Directory, Listing, Placement
from poplarrun.platform import HOST_TOPIC, Appended, Entry, Malformed, Newest, StoreClient
from poplarrun.rollouts import Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutStatus
from poplarrun.transport import boot_time

# Pause between two digests, in seconds: to hosts of the own zone, and to others.
NEAR_PERIOD_S = 0.4
FAR_PERIOD_S = 1.0
# The same while a roll-out is under way: a bad version must be known as bad to all
# hosts well within the operators' bound.
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
# Pauses between two writings of the own address until one succeeds, and between two
# readings of all addresses, in seconds.
ANNOUNCE_PAUSE_S = 1.0
READ_HOSTS_S = 12.0
# An address of which nothing was heard for so long since it was first read belongs to a
# host that is gone, in seconds: longer than a zone is usually cut off.
GONE_S = 120.0
# The job of taking such addresses out of the store.
SWEEP_JOB = "addresses"


class Peering:
    """The conversation with the other hosts; runs on the loop."""

    def __init__(
        self,
        book: PeerBook,
        links: Links,
        store: StoreClient,
        knowledge: Knowledge,
        documents: DocumentFollower,
        listings: ListingFollower,
        directory: Directory,
        placement: Placement,
        rollouts: Rollouts,
    ) -> None:
        self.book = book
        self._links = links
        self._store = store
        self._knowledge = knowledge
        self._documents = documents
        self._listings = listings
        self._directory = directory
        self._placement = placement
        self._rollouts = rollouts
        self.sessions = SessionKeeping(book, links, rollouts)
        self._started_at = float("inf")
        self._asked_at = float("-inf")
        self._outdated: int | None = None
        self._outdated_since = 0.0
        self._alive: set[str] = set()
        self._is_leaving = False
        documents.tell_zone = self.tell_zone
        listings.tell_zone = self.tell_zone
        listings.tell_changes = self.tell_changes

    def tell_zone(self) -> None:
        """Prove to the hosts of the own zone what this one has just read."""
        now = boot_time()
        self._send_digests(self.book.near(now), now)

    def tell_changes(self, entries: tuple[Entry, ...], is_lapse: bool) -> None:
        """Pass records of endpoints on to the hosts of the own zone."""
        records = [ChangedRecord(entry.key, entry.value) for entry in entries]
        start, end = entries[0].offset, entries[-1].offset + 1
        message = encode_message(Changes(self.book.address, start, end, is_lapse, records))
        for peer in self.book.near(boot_time()):
            self._links.send(peer.address, message)

    def count_alive(self) -> int:
        """Return how many other hosts are heard of."""
        return len(self.book.alive(boot_time()))

    def turn(self, service: str) -> int:
        """Return how many live hosts come before this one for a service's roll-outs."""
        return self.book.turn(service, boot_time())

    def is_informed(self, now: float) -> bool:
        """Tell whether a host that started knows how far roll-outs are.

        The store tells of an order, but neither how old it is nor whether sessions change
        versions already. By that alone a host that starts anew would begin the trial again.
        """
        if self.book.has_heard or self.book.is_alone:
            return True
        return now - self._started_at >= FIRST_DIGEST_S

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Tell and hear for ever."""
        self._started_at = boot_time()
        for seed in seeds:
            self.book.name(seed, boot_time())
        self._links.start(self._receive)
        while True:
            self._tell(boot_time())
            await asyncio.sleep(ROUND_S)

    async def announce(self) -> None:
        """Keep the own address in the store, and read the others' now and then."""
        is_listed = False
        while not self._is_leaving:
            if not is_listed:
                is_listed = await self._write_address()
                await asyncio.sleep(0.0 if is_listed else _spread(ANNOUNCE_PAUSE_S))
                continue
            newest = await self._store.newest(HOST_TOPIC)
            if isinstance(newest, Newest):
                addresses = [entry.key for entry in newest.entries]
                is_listed = self.book.address in addresses
                await self._read_addresses(addresses, boot_time())
            await asyncio.sleep(_spread(READ_HOSTS_S))

    async def withdraw(self) -> None:
        """Take the own address out of the store, and write it no more."""
        self._is_leaving = True
        await self._store.append(HOST_TOPIC, [(self.book.address, None)])

    async def _write_address(self) -> bool:
        value = json.dumps({"zone": self.book.zone}).encode()
        answer = await self._store.append(HOST_TOPIC, [(self.book.address, value)])
        return isinstance(answer, Appended)

    async def _read_addresses(self, addresses: list[str], now: float) -> None:
        """Name the listed hosts; one host takes out those that are gone.

        Hosts that are killed leave their addresses behind. Some hundred a day would
        make each start read, and write to, thousands that nobody answers. A host that
        was only cut off finds its address missing and writes it again.
        """
        for address in addresses:
            self.book.name(address, now)
        if self.book.turn(SWEEP_JOB, now) > 0:
            return
        gone = [address for address in addresses if self.book.is_gone(address, now, GONE_S)]
        if gone:
            await self._store.append(HOST_TOPIC, [(address, None) for address in gone])
            write_event(events.PeersChanged(gone, []))

    def _tell(self, now: float) -> None:
        active = self._rollouts.active()
        far_s = ROLLOUT_PERIOD_S if active else FAR_PERIOD_S
        due = self.book.due(now, NEAR_PERIOD_S, far_s)
        if due:
            self._send_digests(due, now)
        self.sessions.tell()
        self._note_alive(now)

    def _send_digests(self, peers: list[Peer], now: float) -> None:
        digest = self._digest(now)
        for peer in peers:
            held_s = now - peer.heard_at if peer.last_stamp else 0.0
            message = msgspec.structs.replace(digest, echo=peer.last_stamp, held_s=held_s)
            self._links.send(peer.address, encode_message(message))

    def _note_alive(self, now: float) -> None:
        self._placement.silent_zones = self.book.silent_zones(now)
        alive = {peer.address for peer in self.book.alive(now)}
        if alive != self._alive:
            lost = sorted(self._alive - alive)
            found = sorted(alive - self._alive)
            write_event(events.PeersChanged(lost, found))
            self._alive = alive
            self._placement.keep_others(alive)

    def _digest(self, now: float) -> Digest:
        """Return what all peers are told alike in one round."""
        catalogue = self._knowledge.catalogue
        return Digest(
            address=self.book.address,
            zone=self.book.zone,
            stamp=now,
            echo=0.0,
            held_s=0.0,
            version=-1 if catalogue is None else catalogue.version,
            age_s=min(1e6, self._knowledge.age_s(now)),
            listing_age_s=min(1e6, now - self._listings.true_at),
            loads=self._loads(),
            rollouts=self._rollout_news(now),
            tallies=self._tally_news(),
            named=self.book.named(),
            documents_end=-1 if self._documents.offset is None else self._documents.offset,
            listing_end=self._directory.offset if self._listings.is_known else -1,
        )

    def _loads(self) -> list[EndpointLoad]:
        return [
            EndpointLoad(member.listing.lifetime, member.in_flight, int(member.pending_s * 1000))
            for member in self._placement.members()
            if member.in_flight
        ]

    def _rollout_news(self, now: float) -> list[RolloutNews]:
        return [
            RolloutNews(
                rollout.order.service,
                rollout.order.target,
                rollout.order.duration_s,
                rollout.order.offset,
                now - rollout.begun_at,
                rollout.recorded,
                None if rollout.shifted_at is None else now - rollout.shifted_at,
            )
            for rollout in self._rollouts.recent(now)
        ]

    def _tally_news(self) -> list[TallyNews]:
        active = {rollout.order.service for rollout in self._rollouts.active()}
        return [
            TallyNews(
                *key,
                tally.ended,
                tally.failures,
                tally.slow,
                tally.paced,
                round(tally.log_pace, 2),
                sorted(tally.broken),
            )
            for key, tally in self._rollouts.evidence.own.items()
            if key[0] in active
        ]

    def _receive(self, data: bytes) -> None:
        now = boot_time()
        match decode_message(data):
            case Digest() as digest:
                if self.book.take(digest, now):
                    self._take(digest, now)
            case Ask() as ask:
                self._links.send(ask.address, encode_message(self._answer(ask)))
            case Documents() as documents:
                self._take_documents(documents, now)
            case Changes() as changes:
                self._take_changes(changes)
            case HeldSessions() as held:
                self.sessions.take_held(held)
            case SessionAsk() as session_ask:
                self.sessions.answer(session_ask)
            case SessionAnswer() as session_answer:
                self.sessions.take_answer(session_answer)
            case None:
                write_event(events.MessageUnreadable(len(data)))

    def _take(self, digest: Digest, now: float) -> None:
        catalogue = self._knowledge.catalogue
        version = -1 if catalogue is None else catalogue.version
        if digest.version == version and catalogue is not None:
            proven_at = self.book.proven_at(digest, digest.age_s)
            if proven_at is not None:
                self._documents.note_proof(proven_at)
        if digest.documents_end > (self._documents.offset or 0):
            self._documents.reading.hurry()
        listed_at = self.book.proven_at(digest, digest.listing_age_s)
        if listed_at is not None:
            self._listings.note_proof(digest.listing_end, listed_at)
        loads = {load.lifetime: (load.in_flight, load.pending_ms / 1000.0) for load in digest.loads}
        self._placement.take_others(digest.address, loads)
        self._take_rollouts(digest, now)
        wants_config = self._is_config_late(digest.version, version, now)
        is_old = now - self._listings.true_at > OLD_LISTING_S
        wants_listing = is_old and digest.listing_age_s < OLD_LISTING_S
        if (wants_config or wants_listing) and now - self._asked_at > ASK_PERIOD_S:
            self._asked_at = now
            ask = Ask(self.book.address, wants_config, wants_listing)
            self._links.send(digest.address, encode_message(ask))

    def _is_config_late(self, heard: int, version: int, now: float) -> bool:
        """Tell whether a peer has had a newer configuration for longer than a read takes.

        The store sends a large document to many hosts sooner than one peer could.
        """
        if heard <= version:
            return False
        if version != self._outdated:
            self._outdated, self._outdated_since = version, now
        return now - self._outdated_since > OLD_CONFIG_S

    def _take_changes(self, changes: Changes) -> None:
        entries = tuple(
            Entry(record.key, record.value, changes.start + place)
            for place, record in enumerate(changes.records)
        )
        self._listings.take_changes(entries, changes.is_lapse)

    def _take_rollouts(self, digest: Digest, now: float) -> None:
        for news in digest.rollouts:
            order = RolloutOrder(news.service, news.target, news.duration_s, news.offset)
            if self._rollouts.take_order(order, now, news.age_s):
                write_event(
                    events.RolloutOrdered(
                        order.service, order.target, order.duration_s, digest.address, news.age_s
                    )
                )
            rollout = self._rollouts.find(news.service)
            if rollout is None or rollout.order.offset != news.offset:
                continue
            shifted_age_s = news.shifted_age_s
            if shifted_age_s is not None and rollout.shift(now - shifted_age_s):
                write_event(
                    events.RolloutShifted(
                        order.service, order.target, digest.address, now - rollout.begun_at
                    )
                )
            if news.phase is not None:
                status = RolloutStatus(news.service, news.target, news.phase)
                self._rollouts.take_status(status)
        tallies = {
            (news.service, news.version, news.kind): Tally(
                news.ended,
                news.failures,
                news.slow,
                news.paced,
                news.log_pace,
                set(news.broken),
            )
            for news in digest.tallies
        }
        self._rollouts.evidence.take(digest.address, tallies)

    def _answer(self, ask: Ask) -> Documents:
        listed = []
        if ask.wants_listing:
            listed = [
                Listed(
                    listing.lifetime,
                    listing.service,
                    listing.address,
                    listing.zone,
                    listing.version,
                    listing.places,
                    listing.is_leaving,
                    listing.started_ms,
                    listing.sequence,
                )
                for listing in self._directory.listings()
            ]
        config = self._documents.raw_config if ask.wants_config else b""
        return Documents(self.book.address, config, listed, self._directory.gone())

    def _take_documents(self, documents: Documents, now: float) -> None:
        if documents.config:
            try:
                self._documents.take_config(documents.config, documents.address)
            except Malformed as error:
                write_event(events.DocumentIgnored("config of a peer", str(error)))
        if not documents.listed and not documents.gone:
            return
        for listed in documents.listed:
            listing = Listing(
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
        for lifetime in documents.gone:
            self._directory.remove(lifetime, now)
        self._listings.take_from_peer()


def _spread(seconds: float) -> float:
    """Return about so many seconds, so that hosts that start together don't call together."""
    return seconds * random.uniform(0.7, 1.3)
