"""Exchanges digests with the other hosts, and brings what they know to the parts."""

import asyncio
import json
import random

from poplarrun.dispatch import Knowledge
from poplarrun.gateway._followers import DocumentFollower, ListingFollower
from poplarrun.links import Links
from poplarrun.logs import events, write_event
from poplarrun.peers import (
    Ask,
    Digest,
    Documents,
    EndpointLoad,
    Listed,
    PeerBook,
    RolloutNews,
    TallyNews,
    decode_message,
    encode_message,
)
from poplarrun.placement import Directory, Listing, Placement
from poplarrun.platform import HOST_TOPIC, Appended, Malformed, Newest, StoreClient
from poplarrun.rollouts import Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus
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
ASK_PERIOD_S = 0.5
# Pauses between two writings of the own address until one succeeds, and between two
# readings of all addresses, in seconds.
ANNOUNCE_PAUSE_S = 1.0
READ_HOSTS_S = 12.0
# Addresses that were written longer ago than this belong to hosts that are gone, in
# seconds of the time of day, which may be wrong by some seconds.
OLD_ADDRESS_S = 600.0


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
        self._asked_at = float("-inf")
        self._alive: set[str] = set()

    def others_in_flight(self, service: str, target: str) -> int:
        """Return the other hosts' requests on all versions of a service but the target."""
        return sum(
            round(member.others)
            for member in self._placement.members(service)
            if member.listing.version != target
        )

    def count_alive(self) -> int:
        """Return how many other hosts are heard of."""
        return len(self.book.alive(boot_time()))

    def turn(self, service: str) -> int:
        """Return how many live hosts come before this one for a service's roll-outs."""
        return self.book.turn(service, boot_time())

    async def run(self, seeds: tuple[str, ...]) -> None:
        """Tell and hear for ever."""
        for seed in seeds:
            self.book.name(seed, boot_time())
        self._links.start(self._receive)
        while True:
            self._tell(boot_time())
            await asyncio.sleep(ROUND_S)

    async def announce(self) -> None:
        """Write the own address to the store, and read the others' now and then."""
        value = json.dumps({"zone": self.book.zone}).encode()
        while True:
            answer = await self._store.append(HOST_TOPIC, [(self.book.address, value)])
            if isinstance(answer, Appended):
                break
            await asyncio.sleep(ANNOUNCE_PAUSE_S * random.uniform(0.5, 1.5))
        while True:
            newest = await self._store.newest(HOST_TOPIC)
            if isinstance(newest, Newest):
                for entry in newest.entries:
                    self.book.name(entry.key, boot_time())
            await asyncio.sleep(READ_HOSTS_S * random.uniform(0.8, 1.2))

    async def withdraw(self) -> None:
        """Take the own address out of the store."""
        await self._store.append(HOST_TOPIC, [(self.book.address, None)])

    def _tell(self, now: float) -> None:
        active = self._rollouts.active()
        far_s = ROLLOUT_PERIOD_S if active else FAR_PERIOD_S
        for peer in self.book.due(now, NEAR_PERIOD_S, far_s):
            held_s = now - peer.heard_at if peer.last_stamp else 0.0
            digest = self._digest(now, peer.last_stamp, held_s)
            self._links.send(peer.address, encode_message(digest))
        self._note_alive(now)

    def _note_alive(self, now: float) -> None:
        alive = {peer.address for peer in self.book.alive(now)}
        if alive != self._alive:
            lost = sorted(self._alive - alive)
            found = sorted(alive - self._alive)
            write_event(events.PeersChanged(lost, found))
            self._alive = alive
            self._placement.keep_others(alive)
            self._placement.silent_zones = self.book.silent_zones(now)

    def _digest(self, now: float, echo: float, held_s: float) -> Digest:
        catalogue = self._knowledge.catalogue
        return Digest(
            address=self.book.address,
            zone=self.book.zone,
            stamp=now,
            echo=echo,
            held_s=held_s,
            version=-1 if catalogue is None else catalogue.version,
            age_s=min(1e6, self._knowledge.age_s(now)),
            listing_age_s=min(1e6, now - self._listings.read_at),
            loads=self._loads(),
            rollouts=self._rollout_news(now),
            tallies=self._tally_news(),
            named=self.book.named(),
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
                "" if rollout.recorded is None else rollout.recorded.value,
                rollout.is_shifted,
            )
            for rollout in self._rollouts.recent(now)
        ]

    def _tally_news(self) -> list[TallyNews]:
        active = {rollout.order.service for rollout in self._rollouts.active()}
        return [
            TallyNews(
                *key, tally.ended, tally.bad, tally.slow, tally.paced, round(tally.log_pace, 2)
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
            case None:
                write_event(events.MessageUnreadable(len(data)))

    def _take(self, digest: Digest, now: float) -> None:
        catalogue = self._knowledge.catalogue
        version = -1 if catalogue is None else catalogue.version
        if digest.version == version and catalogue is not None:
            proven_at = self.book.proven_at(digest)
            if proven_at is not None:
                self._knowledge.confirm(proven_at)
        loads = {load.lifetime: (load.in_flight, load.pending_ms / 1000.0) for load in digest.loads}
        self._placement.take_others(digest.address, loads)
        self._take_rollouts(digest, now)
        wants_config = digest.version > version
        is_old = now - self._listings.read_at > OLD_LISTING_S
        wants_listing = is_old and digest.listing_age_s < OLD_LISTING_S
        if (wants_config or wants_listing) and now - self._asked_at > ASK_PERIOD_S:
            self._asked_at = now
            ask = Ask(self.book.address, wants_config, wants_listing)
            self._links.send(digest.address, encode_message(ask))

    def _take_rollouts(self, digest: Digest, now: float) -> None:
        for news in digest.rollouts:
            order = RolloutOrder(news.service, news.target, news.duration_s, news.offset)
            self._rollouts.take_order(order, now, news.age_s)
            rollout = self._rollouts.find(news.service)
            if rollout is None or rollout.order.offset != news.offset:
                continue
            if news.is_shifted:
                rollout.shift(now)
            if news.phase:
                phase = RolloutPhase(news.phase)
                self._rollouts.take_status(RolloutStatus(news.service, news.target, phase))
        tallies = {
            (news.service, news.version, news.kind): Tally(
                news.ended, news.bad, news.slow, news.paced, news.log_pace
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
