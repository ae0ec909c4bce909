"""One host's side of all talk between hosts, as a state machine without sockets."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.hosts._items import ByteBudget, Item, ItemStore, Rumors, repeat_count
from poplarrun.hosts._membership import (
    MEMBER_PREFIX,
    Membership,
    MemberState,
    Outgoing,
)
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._summaries import SUMMARY_FACTOR, SUMMARY_PREFIX, Summaries
from poplarrun.hosts._wire import (
    SCHEMA,
    Ack,
    Carry,
    Envelope,
    Ping,
    PingRequest,
    Sync,
    Wants,
)
from poplarrun.hosts._zones import ZONE_PREFIX, Zones

MESSAGE_ITEMS_BYTES = 1200
SYNC_ITEMS_BYTES = 48 * 1024
BULK_BYTES_PER_S = 2400.0
BULK_BURST_BYTES = 48_000.0
SYNC_PERIOD_S = 10.0
REJOIN_PERIOD_S = 5.0
# Before any other host is known, seeds are tried this often.
JOIN_PERIOD_S = 0.5
JOINING_S = 30.0
JOIN_FANOUT = 3
MEMBER_FACTOR = 3
ZONE_FACTOR = 3
ANNOUNCEMENT_FACTOR = 4
ANNOUNCEMENT_FANOUT = 3
EVERYWHERE = "*"
ANNOUNCEMENT_PREFIX = f"{ZONE_PREFIX}{EVERYWHERE}/"


@dataclass(frozen=True, slots=True)
class Datagram:
    """An envelope and where to send it."""

    address: str
    envelope: Envelope


class Gossip:
    """Membership, zones, summaries and announcements of one host.

    Every call takes the time and returns what to send.

    Parameters
    ----------
    me : Peer
        The own host.
    address : str
        Where it receives.
    seeds : tuple of str
        Addresses of some hosts.
    count : callable
        Called with the name of an event to count.
    """

    def __init__(
        self,
        me: Peer,
        address: str,
        seeds: tuple[str, ...],
        count: Callable[[str], None],
        source: random.Random,
        now: float,
    ) -> None:
        self.address = address
        self.store = ItemStore()
        self.on_announced: list[Callable[[Item], None]] = []
        self._urgent = Rumors()
        self._bulk = Rumors()
        self._budget = ByteBudget(BULK_BYTES_PER_S, BULK_BURST_BYTES, now)
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._random = source
        self._members_known = 1
        self.membership = Membership(me, address, self.store, self._spread, count, source, now)
        self.zones = Zones(me, self.store, self._spread, source, now)
        self.summaries = Summaries(self.store, self.zones, self._spread)
        self._next_sync_at = now + source.random() * SYNC_PERIOD_S
        self._next_join_at = now
        self._began_at = now
        self._count = count

    @property
    def me(self) -> Peer:
        """The own host."""
        return self.membership.me

    def announce(self, topic: str, number: int, payload: bytes, now: float) -> list[Datagram]:
        """Tell every host of every zone at once; the highest number of a topic wins."""
        item = Item(ANNOUNCEMENT_PREFIX + topic, number, 0, payload)
        if not self.store.put(item):
            return []
        return self._pass_announcement(item, now)

    def highest_announced(self, topic: str) -> Item | None:
        """Return the highest announcement of a topic that was heard."""
        return self.store.get(ANNOUNCEMENT_PREFIX + topic)

    def tick(self, now: float) -> list[Datagram]:
        """Do what is due."""
        live = self.membership.live()
        self._members_known = len(live)
        self.summaries.tick(self.me, len(live), now)
        outgoing = self.membership.tick(now)
        outgoing += self.zones.tick(live, lambda: self.summaries.merged(live), now)
        if now >= self._next_sync_at:
            self._next_sync_at = now + SYNC_PERIOD_S
            outgoing += self._sync_with_member()
        datagrams = [self._wrap(out, now) for out in outgoing]
        if now >= self._next_join_at:
            # A zone of one host stays alone: it goes on at the slow pace.
            is_new = now - self._began_at < JOINING_S
            alone = len(live) == 1 and (is_new or not self.zones.others())
            self._next_join_at = now + (JOIN_PERIOD_S if alone else REJOIN_PERIOD_S)
            datagrams += self._join(alone, now)
        return datagrams

    def receive(self, envelope: Envelope, now: float) -> list[Datagram]:
        """Take a message of another host."""
        datagrams = self._take_items(envelope, now)
        match envelope.body:
            case Ping() as ping:
                outgoing = self.membership.answer_ping(ping, envelope.address)
            case Ack(number=number):
                self.membership.note_ack(number)
                outgoing = []
            case PingRequest() as request:
                outgoing = self.membership.answer_request(request, envelope.address)
            case Sync() as sync:
                return datagrams + self._answer_sync(sync, envelope, now)
            case Wants() as wants:
                return datagrams + self._answer_wants(wants, envelope, now)
            case _:
                outgoing = []
        datagrams += [self._wrap(out, now) for out in outgoing]
        return datagrams + self._correct_sender(envelope)

    def leave(self, now: float) -> list[Datagram]:
        """Tell some members that this host stops; they pass it on."""
        others = [m for m in self.membership.live() if m.peer.name != self.me.name]
        self.membership.leave(now)
        chosen = self._random.sample(others, min(ANNOUNCEMENT_FANOUT, len(others)))
        own = [self.membership.own_item]
        return [Datagram(m.address, self.envelope(Carry(), own)) for m in chosen]

    def address_of(self, name: str) -> str | None:
        """Return where a host receives; None when it is not known."""
        member = self.membership.find(name)
        if member is not None:
            return member.address
        for zone in self.zones.others():
            for told in self.zones.members(zone):
                if told.name == name:
                    return told.address
        return None

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the live hosts of all zones that are not silent, by name."""
        peers = [member.peer for member in self.membership.live()]
        for zone in self.zones.others():
            if not self.zones.is_silent(zone, now):
                members = self.zones.members(zone)
                peers += [Peer(m.name, zone, m.region, m.incarnation) for m in members]
        return tuple(sorted(peers))

    def envelope(self, body: object, items: list[Item]) -> Envelope:
        """Put a body into an envelope of this host."""
        me = self.me
        return Envelope(SCHEMA, me.name, me.zone, self.address, me.incarnation, body, items)  # type: ignore[arg-type]

    def _wrap(self, out: Outgoing, now: float) -> Datagram:
        """Let news ride along, within the byte budget."""
        if not isinstance(out.body, Ping | Ack) or out.address not in self._zone_addresses():
            return Datagram(out.address, self.envelope(out.body, []))
        items = self._urgent.take(self.store, MESSAGE_ITEMS_BYTES)
        room = min(MESSAGE_ITEMS_BYTES, self._budget.available(now))
        bulk = self._bulk.take(self.store, room) if room > 0 else []
        self._budget.spend(sum(item.size_bytes for item in bulk))
        return Datagram(out.address, self.envelope(out.body, items + bulk))

    def _zone_addresses(self) -> set[str]:
        return {member.address for member in self.membership.all()}

    def _spread(self, item: Item) -> None:
        """Pass a new item on with the next messages."""
        if item.key.startswith(MEMBER_PREFIX):
            self._urgent.add(item.key, repeat_count(self._members_known, MEMBER_FACTOR))
        elif item.key.startswith(ANNOUNCEMENT_PREFIX):
            self._urgent.add(item.key, repeat_count(self._members_known, ANNOUNCEMENT_FACTOR))
        elif item.key.startswith(ZONE_PREFIX):
            self._bulk.add(item.key, repeat_count(self._members_known, ZONE_FACTOR))
        elif item.key.startswith(SUMMARY_PREFIX):
            self._bulk.add(item.key, repeat_count(self._members_known, SUMMARY_FACTOR))

    def _take_items(self, envelope: Envelope, now: float) -> list[Datagram]:
        datagrams: list[Datagram] = []
        for item in envelope.items:
            if not self._may_tell(envelope, item) or not self.store.put(item):
                continue
            if item.key.startswith(ANNOUNCEMENT_PREFIX):
                datagrams += self._pass_announcement(item, now)
                continue
            self._spread(item)
            if item.key.startswith(MEMBER_PREFIX):
                self._note_member(item, now)
            elif item.key.startswith(ZONE_PREFIX):
                self.zones.apply_item(item, now)
        return datagrams

    def _may_tell(self, envelope: Envelope, item: Item) -> bool:
        if item.key.startswith(ZONE_PREFIX):
            return item.key.count("/") >= 2
        if envelope.zone != self.me.zone:
            return False
        if item.key.startswith(SUMMARY_PREFIX):
            host = item.key.split("/", 2)[1]
            member = self.membership.find(host)
            return member is None or member.state <= MemberState.SUSPECT
        return item.key.startswith(MEMBER_PREFIX)

    def _note_member(self, item: Item, now: float) -> None:
        before = self.me
        self.membership.apply_item(item, now)
        if self.me.incarnation != before.incarnation:
            self.summaries.renew(self.me)
        member = self.membership.find(item.key[len(MEMBER_PREFIX) :])
        if member is not None and member.state > MemberState.SUSPECT:
            self.summaries.forget(member.peer.name)

    def _pass_announcement(self, item: Item, now: float) -> list[Datagram]:
        """Hand a new announcement on at once, inside the zone and, as a gateway, beyond."""
        self._spread(item)
        for callback in self.on_announced:
            callback(item)
        live = self.membership.live()
        others = [m.address for m in live if m.peer.name != self.me.name]
        addresses = self._random.sample(others, min(ANNOUNCEMENT_FANOUT, len(others)))
        names = [member.peer.name for member in live]
        if self.me.name in self.zones.gateways(self.me.zone, names):
            zones = self.zones.others()
            chosen = self._random.sample(zones, min(ANNOUNCEMENT_FANOUT, len(zones)))
            addresses += [a for z in chosen if (a := self.zones.entry_address(z)) is not None]
        return [Datagram(address, self.envelope(Carry(), [item])) for address in addresses]

    def _sync_with_member(self) -> list[Outgoing]:
        others = [m for m in self.membership.live() if m.peer.name != self.me.name]
        if not others:
            return []
        return [Outgoing(self._random.choice(others).address, Sync("", self.store.vector("")))]

    def _join(self, alone: bool, now: float) -> list[Datagram]:
        """Speak to a host that this one does not know to be live.

        At the start these are the seeds. Later it joins the halves of a zone
        again after a cut, when each holds the other dead and pings it no more.
        """
        live = {member.address for member in self.membership.live()}
        for zone in self.zones.others():
            if not self.zones.is_silent(zone, now):
                live |= {member.address for member in self.zones.members(zone)}
        told = {member.address for member in self.zones.members(self.me.zone)}
        dead = {m.address for m in self.membership.all() if m.state is MemberState.DEAD}
        near = sorted((told | dead) - live)
        addresses = near if near and alone else sorted((set(self._seeds) | told | dead) - live)
        count = JOIN_FANOUT if alone else 1
        chosen = self._random.sample(addresses, min(count, len(addresses)))
        vector = self.store.vector("")
        own = [self.membership.own_item]
        return [Datagram(address, self.envelope(Sync("", vector), own)) for address in chosen]

    def _answer_sync(self, sync: Sync, envelope: Envelope, now: float) -> list[Datagram]:
        same_zone = envelope.zone == self.me.zone
        prefix = sync.prefix if same_zone else ZONE_PREFIX
        items = self._fit(self.store.newer_than(sync.vector, prefix), now)
        wanted = self.store.wanted(sync.vector, prefix)
        return [Datagram(envelope.address, self.envelope(Wants(prefix, wanted), items))]

    def _answer_wants(self, wants: Wants, envelope: Envelope, now: float) -> list[Datagram]:
        found = [item for key in wants.keys if (item := self.store.get(key)) is not None]
        if envelope.zone != self.me.zone:
            found = [item for item in found if item.key.startswith(ZONE_PREFIX)]
        items = self._fit(sorted(found, key=lambda item: item.size_bytes), now)
        return [Datagram(envelope.address, self.envelope(Carry(), items))] if items else []

    def _fit(self, items: list[Item], now: float) -> list[Item]:
        """Keep what the byte budget allows; what is left goes with a later sync."""
        room = min(SYNC_ITEMS_BYTES, max(MESSAGE_ITEMS_BYTES, self._budget.available(now)))
        kept: list[Item] = []
        for item in items:
            if kept and item.size_bytes > room:
                break
            kept.append(item)
            room -= item.size_bytes
        self._budget.spend(sum(item.size_bytes for item in kept))
        return kept

    def _correct_sender(self, envelope: Envelope) -> list[Datagram]:
        """Tell a sender that is held suspect or dead here, so that it refutes that."""
        if envelope.zone != self.me.zone:
            return []
        member = self.membership.find(envelope.sender)
        if member is None or member.state is MemberState.ALIVE:
            return []
        if member.peer.incarnation > envelope.incarnation:
            return []
        return [Datagram(envelope.address, self.envelope(Carry(), [member.item()]))]
