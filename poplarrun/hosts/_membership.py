"""Membership inside a zone by the SWIM protocol: pings, suspicion and refutation."""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from poplarrun.hosts._items import Item, ItemStore
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._wire import Ack, Body, HostAddress, Name, Ping, PingRequest

PROBE_INTERVAL_S = 0.5
DIRECT_PROBE_TIMEOUT_S = 0.3
# Time after which a probe fails, including the answers to indirect pings.
TOTAL_PROBE_TIMEOUT_S = 1.0
INDIRECT_PINGS = 3
SUSPICION_TIMEOUT_S = 3.0
TOMBSTONE_TTL_S = 60.0
# A longer gap between two ticks means that the process was paused or the event loop blocked.
MIN_PAUSE_S = 1.0
MEMBER_PREFIX = "m/"
STATE_COUNT = 4


class MemberState(enum.IntEnum):
    """What the zone holds of a host; for one incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Location of a host, as gossiped."""

    zone: Name
    region: Name
    address: HostAddress


@dataclass(frozen=True, slots=True)
class Member:
    """One host of this zone.

    Attributes
    ----------
    refutation : int
        Number of times that the host refuted claims about this incarnation.
    """

    peer: Peer
    address: str
    state: MemberState
    refutation: int

    def item(self) -> Item:
        """Return the item that gossips this member."""
        record = MemberRecord(self.peer.zone, self.peer.region, self.address)
        minor = self.refutation * STATE_COUNT + self.state
        return Item(
            MEMBER_PREFIX + self.peer.name,
            self.peer.incarnation,
            minor,
            msgspec.msgpack.encode(record),
        )


def decode_member(item: Item) -> Member | None:
    """Decode a member's item; None if its payload is malformed."""
    try:
        record = msgspec.msgpack.decode(item.payload, type=MemberRecord)
    except msgspec.MsgspecError:
        return None
    peer = Peer(item.key[len(MEMBER_PREFIX) :], record.zone, record.region, item.major)
    return Member(
        peer, record.address, MemberState(item.minor % STATE_COUNT), item.minor // STATE_COUNT
    )


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its destination."""

    address: str
    body: Body


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    sent_at: float
    has_sent_indirect: bool = False


class Membership:
    """The members of this zone. Each host pings one other per interval, whatever their number.

    Parameters
    ----------
    me : Peer
        This host.
    address : str
        Address at which it receives.
    store : ItemStore
        Holds the members' items.
    broadcast : callable
        Called with each changed item to gossip.
    count : callable
        Called with the name of each event to count.
    rng : random.Random
        Shuffles the order of probes and chooses hosts for indirect pings.
    """

    def __init__(
        self,
        me: Peer,
        address: str,
        store: ItemStore,
        broadcast: Callable[[Item], None],
        count: Callable[[str], None],
        rng: random.Random,
        now: float,
    ) -> None:
        self._own = Member(me, address, MemberState.ALIVE, 0)
        self._store = store
        self._broadcast = broadcast
        self._count = count
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._live_cache: list[Member] | None = None
        self._probe_order: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._last_probe_number = 0
        self._suspected_until: dict[str, float] = {}
        self._tombstone_until: dict[str, float] = {}
        self._next_probe_at = now
        self._ticked_at = now
        self._publish(self._own, now)

    @property
    def me(self) -> Peer:
        """Identity of this host."""
        return self._own.peer

    @property
    def own_item(self) -> Item:
        """The item that gossips this host."""
        return self._own.item()

    def live_members(self) -> list[Member]:
        """Return the members that are alive or suspected, ordered by name."""
        if self._live_cache is None:
            found = [m for m in self._members.values() if m.state <= MemberState.SUSPECT]
            self._live_cache = sorted(found, key=lambda member: member.peer.name)
        return self._live_cache

    def all_members(self) -> list[Member]:
        """Return all known members, including dead ones."""
        return list(self._members.values())

    def find(self, name: str) -> Member | None:
        """Return a member by name, or None."""
        return self._members.get(name)

    def leave(self, now: float) -> None:
        """Publish that this host leaves."""
        self._publish(replace(self._own, state=MemberState.LEFT), now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the periodic tasks that are due."""
        self._handle_pause(now)
        self._expire_suspicions(now)
        self._expire_tombstones(now)
        outgoing = self._check_probes(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            outgoing += self._send_probe(now)
        return outgoing

    def handle_ack(self, number: int) -> None:
        """Complete the probe that an ack answers."""
        self._probes.pop(number, None)

    def handle_ping(self, ping: Ping, sender_address: str) -> list[OutgoingMessage]:
        """Acknowledge a ping to its sender, or for an indirect ping to the requester."""
        if ping.requester_address is not None:
            return [OutgoingMessage(ping.requester_address, Ack(ping.requester_number))]
        return [OutgoingMessage(sender_address, Ack(ping.number))]

    def handle_ping_request(
        self, request: PingRequest, sender_address: str
    ) -> list[OutgoingMessage]:
        """Ping a host for another one, which gets the ack directly."""
        return [OutgoingMessage(request.address, Ping(0, sender_address, request.number))]

    def apply_item(self, item: Item, now: float) -> None:
        """Apply a member's item that is new to the store."""
        member = decode_member(item)
        if member is None or member.peer.zone != self.me.zone:
            return
        if member.peer.name == self.me.name:
            self._refute(member, now)
            return
        self._store_member(member, now)

    def _refute(self, claimed: Member, now: float) -> None:
        """Publish a newer record of this host than the claim of another host about it.

        A host that is wrongly held dead gets no shards and no answers. A refutation outranks
        every claim about the same incarnation. A claim about a later incarnation means that this
        host's clock went back between two starts, or that two hosts share the name; the counter
        shows that to the operator.
        """
        own = self._own
        if claimed.peer.incarnation > own.peer.incarnation:
            self._count("host_name_claimed")
            own = replace(own, peer=replace(own.peer, incarnation=claimed.peer.incarnation + 1))
        if own.state is MemberState.LEFT:
            return
        self._publish(replace(own, refutation=claimed.refutation + 1), now)
        self._count("membership_refuted")

    def _publish(self, member: Member, now: float) -> None:
        if member.peer.name == self.me.name:
            self._own = member
        item = member.item()
        if self._store.put(item):
            self._store_member(member, now)
            self._broadcast(item)

    def _store_member(self, member: Member, now: float) -> None:
        name = member.peer.name
        self._members[name] = member
        self._live_cache = None
        self._suspected_until.pop(name, None)
        self._tombstone_until.pop(name, None)
        match member.state:
            case MemberState.SUSPECT:
                self._suspected_until[name] = now + SUSPICION_TIMEOUT_S
            case MemberState.DEAD | MemberState.LEFT:
                self._tombstone_until[name] = now + TOMBSTONE_TTL_S

    def _handle_pause(self, now: float) -> None:
        """After a pause of this process, discard the probes and extend the suspicions.

        Every probe then looks unanswered, because the acks wait unread. Without this, a resumed
        host would hold all others dead for some seconds and take over their shards.
        """
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s < MIN_PAUSE_S:
            return
        self._count("loop_paused")
        self._probes.clear()
        for name in self._suspected_until:
            self._suspected_until[name] += pause_s

    def _expire_suspicions(self, now: float) -> None:
        for name in [n for n, until in self._suspected_until.items() if until <= now]:
            self._publish(replace(self._members[name], state=MemberState.DEAD), now)
            self._count("host_held_dead")

    def _expire_tombstones(self, now: float) -> None:
        for name in [n for n, at in self._tombstone_until.items() if at <= now]:
            del self._tombstone_until[name]
            del self._members[name]
            self._live_cache = None
            self._store.remove(MEMBER_PREFIX + name)

    def _check_probes(self, now: float) -> list[OutgoingMessage]:
        outgoing: list[OutgoingMessage] = []
        for probe in list(self._probes.values()):
            member = self._members.get(probe.name)
            if member is None or member.state > MemberState.SUSPECT:
                del self._probes[probe.number]
            elif now - probe.sent_at >= TOTAL_PROBE_TIMEOUT_S:
                del self._probes[probe.number]
                self._suspect(member, now)
            elif now - probe.sent_at >= DIRECT_PROBE_TIMEOUT_S and not probe.has_sent_indirect:
                probe.has_sent_indirect = True
                outgoing += self._send_indirect_pings(probe, member)
        return outgoing

    def _suspect(self, member: Member, now: float) -> None:
        if member.state is MemberState.ALIVE:
            self._publish(replace(member, state=MemberState.SUSPECT), now)
            self._count("host_suspected")

    def _send_indirect_pings(self, probe: _Probe, member: Member) -> list[OutgoingMessage]:
        others = [m for m in self.live_members() if m.peer.name not in (self.me.name, probe.name)]
        chosen = self._rng.sample(others, min(INDIRECT_PINGS, len(others)))
        return [
            OutgoingMessage(o.address, PingRequest(probe.number, member.address)) for o in chosen
        ]

    def _send_probe(self, now: float) -> list[OutgoingMessage]:
        member = self._choose_probe_target()
        if member is None:
            return []
        self._last_probe_number += 1
        self._probes[self._last_probe_number] = _Probe(
            member.peer.name, self._last_probe_number, now
        )
        return [OutgoingMessage(member.address, Ping(self._last_probe_number))]

    def _choose_probe_target(self) -> Member | None:
        """Return the next live member of an order that is shuffled anew for each round."""
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return member
            self._probe_order = [
                m.peer.name for m in self.live_members() if m.peer.name != self.me.name
            ]
            self._rng.shuffle(self._probe_order)
        return None
