"""Gossip protocol of one host, as a state machine without sockets."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.hosts._items import BroadcastQueue, ByteBudget, Item, ItemStore, transmission_count
from poplarrun.hosts._membership import (
    MEMBER_PREFIX,
    Membership,
    MemberState,
    OutgoingMessage,
)
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._summaries import SUMMARY_PREFIX, SUMMARY_TRANSMISSION_FACTOR, Summaries
from poplarrun.hosts._wire import (
    SCHEMA,
    Ack,
    Envelope,
    Ping,
    PingRequest,
    Push,
    Sync,
    SyncReply,
)
from poplarrun.hosts._zones import ZONE_PREFIX, Zones

# Bytes of urgent items, and of bulk items, that a ping or ack carries at most, and bytes of items
# that are sent at most in reply to a sync.
MAX_MESSAGE_ITEMS_BYTES = 1200
MAX_SYNC_ITEMS_BYTES = 48 * 1024
MAX_BULK_BYTES_PER_S = 2400.0
MAX_BULK_BURST_BYTES = 48_000.0
SYNC_INTERVAL_S = 10.0
REJOIN_INTERVAL_S = 5.0
# Interval of joins while no other host of the zone is live: in the join window after the start, and
# later only while no other zone is known either.
JOIN_INTERVAL_S = 0.5
JOIN_WINDOW_S = 30.0
JOIN_FANOUT = 3
MEMBER_TRANSMISSION_FACTOR = 3
ZONE_TRANSMISSION_FACTOR = 3
ANNOUNCEMENT_TRANSMISSION_FACTOR = 4
ANNOUNCEMENT_FANOUT = 3
ALL_ZONES = "*"
ANNOUNCEMENT_PREFIX = f"{ZONE_PREFIX}{ALL_ZONES}/"


@dataclass(frozen=True, slots=True)
class Datagram:
    """An envelope and its destination."""

    address: str
    envelope: Envelope


class Gossip:
    """Membership, zones, summaries and announcements of one host.

    Each method takes the time and returns the datagrams to send.

    Parameters
    ----------
    me : Peer
        This host.
    address : str
        Address at which it receives.
    seeds : tuple of str
        Addresses of some hosts.
    count : callable
        Called with the name of each event to count.
    rng : random.Random
        Chooses among hosts.
    """

    def __init__(
        self,
        me: Peer,
        address: str,
        seeds: tuple[str, ...],
        count: Callable[[str], None],
        rng: random.Random,
        now: float,
    ) -> None:
        self.address = address
        self.store = ItemStore()
        self.announcement_callbacks: list[Callable[[Item], None]] = []
        self._urgent = BroadcastQueue()
        self._bulk = BroadcastQueue()
        self._bulk_budget = ByteBudget(MAX_BULK_BYTES_PER_S, MAX_BULK_BURST_BYTES, now)
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._rng = rng
        self._member_count = 1
        self.membership = Membership(me, address, self.store, self._enqueue, count, rng, now)
        self.zones = Zones(me, self.store, self._enqueue, rng, now)
        self.summaries = Summaries(self.store, self.zones, self._enqueue)
        self._next_sync_at = now + rng.random() * SYNC_INTERVAL_S
        self._next_join_at = now
        self._started_at = now
        self._count = count

    @property
    def me(self) -> Peer:
        """Identity of this host."""
        return self.membership.me

    def announce(self, topic: str, number: int, payload: bytes, now: float) -> list[Datagram]:
        """Announce to all hosts of all zones at once; the highest number of a topic wins."""
        item = Item(ANNOUNCEMENT_PREFIX + topic, number, 0, payload)
        if not self.store.put(item):
            return []
        return self._forward_announcement(item, now)

    def latest_announcement(self, topic: str) -> Item | None:
        """Return the announcement of a topic with the highest number known; None if none is."""
        return self.store.get(ANNOUNCEMENT_PREFIX + topic)

    def tick(self, now: float) -> list[Datagram]:
        """Run the periodic tasks that are due."""
        live = self.membership.live_members()
        self._member_count = len(live)
        self.summaries.tick(self.me, len(live), now)
        outgoing = self.membership.tick(now)
        outgoing += self.zones.tick(live, lambda: self.summaries.merge_zone(live), now)
        if now >= self._next_sync_at:
            self._next_sync_at = now + SYNC_INTERVAL_S
            outgoing += self._begin_sync()
        datagrams = [self._make_datagram(out, now) for out in outgoing]
        if now >= self._next_join_at:
            # The only host of a zone stays alone; after the join window it uses the slow interval.
            is_joining = now - self._started_at < JOIN_WINDOW_S
            is_alone = len(live) == 1 and (is_joining or not self.zones.other_zones())
            self._next_join_at = now + (JOIN_INTERVAL_S if is_alone else REJOIN_INTERVAL_S)
            datagrams += self._send_joins(is_alone, now)
        return datagrams

    def handle_envelope(self, envelope: Envelope, now: float) -> list[Datagram]:
        """Apply a message of another host and return the replies."""
        datagrams = self._apply_items(envelope, now)
        match envelope.body:
            case Ping() as ping:
                outgoing = self.membership.handle_ping(ping, envelope.address)
            case Ack(number=number):
                self.membership.handle_ack(number)
                outgoing = []
            case PingRequest() as request:
                outgoing = self.membership.handle_ping_request(request, envelope.address)
            case Sync() as sync:
                return datagrams + self._handle_sync(sync, envelope, now)
            case SyncReply() as reply:
                return datagrams + self._handle_sync_reply(reply, envelope, now)
            case _:
                outgoing = []
        datagrams += [self._make_datagram(out, now) for out in outgoing]
        return datagrams + self._notify_sender(envelope)

    def leave(self, now: float) -> list[Datagram]:
        """Tell some members that this host leaves; they gossip it further."""
        others = [m for m in self.membership.live_members() if m.peer.name != self.me.name]
        self.membership.leave(now)
        chosen = self._rng.sample(others, min(ANNOUNCEMENT_FANOUT, len(others)))
        own = [self.membership.own_item]
        return [Datagram(m.address, self.make_envelope(Push(), own)) for m in chosen]

    def address_of(self, name: str) -> str | None:
        """Return the address of a host; None if it is not known."""
        member = self.membership.find(name)
        if member is not None:
            return member.address
        for zone in self.zones.other_zones():
            for listed in self.zones.members(zone):
                if listed.name == name:
                    return listed.address
        return None

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the live hosts of all zones that are not silent, by name."""
        peers = [member.peer for member in self.membership.live_members()]
        for zone in self.zones.other_zones():
            if not self.zones.is_silent(zone, now):
                members = self.zones.members(zone)
                peers += [Peer(m.name, zone, m.region, m.incarnation) for m in members]
        return tuple(sorted(peers))

    def make_envelope(self, body: object, items: list[Item]) -> Envelope:
        """Return an envelope of this host with a body and items."""
        me = self.me
        return Envelope(SCHEMA, me.name, me.zone, self.address, me.incarnation, body, items)  # type: ignore[arg-type]

    def _make_datagram(self, out: OutgoingMessage, now: float) -> Datagram:
        """Add queued items to pings and acks inside the zone, within the byte budget."""
        if not isinstance(out.body, Ping | Ack) or out.address not in self._zone_addresses():
            return Datagram(out.address, self.make_envelope(out.body, []))
        items = self._urgent.select_items(self.store, MAX_MESSAGE_ITEMS_BYTES)
        room = min(MAX_MESSAGE_ITEMS_BYTES, self._bulk_budget.available(now))
        bulk = self._bulk.select_items(self.store, room) if room > 0 else []
        self._bulk_budget.spend(sum(item.size_bytes for item in bulk))
        return Datagram(out.address, self.make_envelope(out.body, items + bulk))

    def _zone_addresses(self) -> set[str]:
        return {member.address for member in self.membership.all_members()}

    def _enqueue(self, item: Item) -> None:
        """Queue a new item for gossip with the next messages."""
        if item.key.startswith(MEMBER_PREFIX):
            self._urgent.add(
                item.key, transmission_count(self._member_count, MEMBER_TRANSMISSION_FACTOR)
            )
        elif item.key.startswith(ANNOUNCEMENT_PREFIX):
            self._urgent.add(
                item.key, transmission_count(self._member_count, ANNOUNCEMENT_TRANSMISSION_FACTOR)
            )
        elif item.key.startswith(ZONE_PREFIX):
            self._bulk.add(
                item.key, transmission_count(self._member_count, ZONE_TRANSMISSION_FACTOR)
            )
        elif item.key.startswith(SUMMARY_PREFIX):
            self._bulk.add(
                item.key, transmission_count(self._member_count, SUMMARY_TRANSMISSION_FACTOR)
            )

    def _apply_items(self, envelope: Envelope, now: float) -> list[Datagram]:
        datagrams: list[Datagram] = []
        for item in envelope.items:
            if not self._is_authorized(envelope, item) or not self.store.put(item):
                continue
            if item.key.startswith(ANNOUNCEMENT_PREFIX):
                datagrams += self._forward_announcement(item, now)
                continue
            self._enqueue(item)
            if item.key.startswith(MEMBER_PREFIX):
                self._apply_member(item, now)
            elif item.key.startswith(ZONE_PREFIX):
                self.zones.apply_item(item, now)
        return datagrams

    def _is_authorized(self, envelope: Envelope, item: Item) -> bool:
        if item.key.startswith(ZONE_PREFIX):
            return item.key.count("/") >= 2
        if envelope.zone != self.me.zone:
            return False
        if item.key.startswith(SUMMARY_PREFIX):
            host = item.key.split("/", 2)[1]
            member = self.membership.find(host)
            return member is None or member.state <= MemberState.SUSPECT
        return item.key.startswith(MEMBER_PREFIX)

    def _apply_member(self, item: Item, now: float) -> None:
        before = self.me
        self.membership.apply_item(item, now)
        if self.me.incarnation != before.incarnation:
            self.summaries.republish(self.me)
        member = self.membership.find(item.key[len(MEMBER_PREFIX) :])
        if member is not None and member.state > MemberState.SUSPECT:
            self.summaries.remove_host(member.peer.name)

    def _forward_announcement(self, item: Item, now: float) -> list[Datagram]:
        """Forward a new announcement at once inside the zone and, as an aggregator, to others."""
        self._enqueue(item)
        for callback in self.announcement_callbacks:
            callback(item)
        live = self.membership.live_members()
        others = [m.address for m in live if m.peer.name != self.me.name]
        addresses = self._rng.sample(others, min(ANNOUNCEMENT_FANOUT, len(others)))
        names = [member.peer.name for member in live]
        if self.me.name in self.zones.aggregators(self.me.zone, names):
            zones = self.zones.other_zones()
            chosen = self._rng.sample(zones, min(ANNOUNCEMENT_FANOUT, len(zones)))
            addresses += [a for z in chosen if (a := self.zones.choose_address(z)) is not None]
        return [Datagram(address, self.make_envelope(Push(), [item])) for address in addresses]

    def _begin_sync(self) -> list[OutgoingMessage]:
        others = [m for m in self.membership.live_members() if m.peer.name != self.me.name]
        if not others:
            return []
        return [OutgoingMessage(self._rng.choice(others).address, Sync("", self.store.vector("")))]

    def _send_joins(self, is_alone: bool, now: float) -> list[Datagram]:
        """Sync with hosts that are not known to be live.

        After the start these are the seeds. Later this reconnects the halves of a zone after a
        network partition, when each half holds the other dead and pings it no more.
        """
        live = {member.address for member in self.membership.live_members()}
        for zone in self.zones.other_zones():
            if not self.zones.is_silent(zone, now):
                live |= {member.address for member in self.zones.members(zone)}
        listed = {member.address for member in self.zones.members(self.me.zone)}
        dead = {m.address for m in self.membership.all_members() if m.state is MemberState.DEAD}
        own_zone = sorted((listed | dead) - live)
        addresses = (
            own_zone if own_zone and is_alone else sorted((set(self._seeds) | listed | dead) - live)
        )
        count = JOIN_FANOUT if is_alone else 1
        chosen = self._rng.sample(addresses, min(count, len(addresses)))
        vector = self.store.vector("")
        own = [self.membership.own_item]
        return [Datagram(address, self.make_envelope(Sync("", vector), own)) for address in chosen]

    def _handle_sync(self, sync: Sync, envelope: Envelope, now: float) -> list[Datagram]:
        same_zone = envelope.zone == self.me.zone
        prefix = sync.prefix if same_zone else ZONE_PREFIX
        items = self._select_within_budget(self.store.find_newer(sync.vector, prefix), now)
        outdated = self.store.find_outdated_keys(sync.vector, prefix)
        return [Datagram(envelope.address, self.make_envelope(SyncReply(prefix, outdated), items))]

    def _handle_sync_reply(
        self, reply: SyncReply, envelope: Envelope, now: float
    ) -> list[Datagram]:
        found = [item for key in reply.keys if (item := self.store.get(key)) is not None]
        if envelope.zone != self.me.zone:
            found = [item for item in found if item.key.startswith(ZONE_PREFIX)]
        items = self._select_within_budget(sorted(found, key=lambda item: item.size_bytes), now)
        return [Datagram(envelope.address, self.make_envelope(Push(), items))] if items else []

    def _select_within_budget(self, items: list[Item], now: float) -> list[Item]:
        """Return the items that the byte budget allows; a later sync sends the others."""
        room = min(
            MAX_SYNC_ITEMS_BYTES, max(MAX_MESSAGE_ITEMS_BYTES, self._bulk_budget.available(now))
        )
        selected: list[Item] = []
        for item in items:
            if selected and item.size_bytes > room:
                break
            selected.append(item)
            room -= item.size_bytes
        self._bulk_budget.spend(sum(item.size_bytes for item in selected))
        return selected

    def _notify_sender(self, envelope: Envelope) -> list[Datagram]:
        """Tell a sender that this host holds it suspect or dead, so that it refutes that."""
        if envelope.zone != self.me.zone:
            return []
        member = self.membership.find(envelope.sender)
        if member is None or member.state is MemberState.ALIVE:
            return []
        if member.peer.incarnation > envelope.incarnation:
            return []
        return [Datagram(envelope.address, self.make_envelope(Push(), [member.item()]))]
