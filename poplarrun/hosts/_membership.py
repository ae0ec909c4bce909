"""Who is live inside a zone: pings, suspicion and refutation, in the manner of SWIM."""

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from poplarrun.hosts._items import Item, ItemStore
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._wire import Ack, Body, HostAddress, Name, Ping, PingRequest

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.3
# A probe ends here; with the indirect pings it had this long for any answer.
PROBE_END_S = 1.0
INDIRECT_PINGS = 3
SUSPICION_S = 3.0
TOMBSTONE_S = 60.0
# A gap between two ticks that only a paused process or a blocked loop explains.
PAUSE_S = 1.0
MEMBER_PREFIX = "m/"
STATES = 4


class MemberState(enum.IntEnum):
    """What the zone holds of a host; of one incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Where a host is."""

    zone: Name
    region: Name
    address: HostAddress


@dataclass(frozen=True, slots=True)
class Member:
    """One host of the own zone, as known here."""

    peer: Peer
    address: str
    state: MemberState
    refutation: int

    def item(self) -> Item:
        """Return the item that tells others of it."""
        record = MemberRecord(self.peer.zone, self.peer.region, self.address)
        minor = self.refutation * STATES + self.state
        return Item(
            MEMBER_PREFIX + self.peer.name,
            self.peer.incarnation,
            minor,
            msgspec.msgpack.encode(record),
        )


def read_member(item: Item) -> Member | None:
    """Read a member's item; None when its payload is none."""
    try:
        record = msgspec.msgpack.decode(item.payload, type=MemberRecord)
    except msgspec.MsgspecError:
        return None
    peer = Peer(item.key[len(MEMBER_PREFIX) :], record.zone, record.region, item.major)
    return Member(peer, record.address, MemberState(item.minor % STATES), item.minor // STATES)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send."""

    address: str
    body: Body


@dataclass(slots=True)
class _Probe:
    name: str
    number: int
    sent_at: float
    asked_others: bool = False


class Membership:
    """The members of one zone. Each host pings one other a period, whatever their number.

    Parameters
    ----------
    me : Peer
        The own host.
    address : str
        Where it receives.
    store : ItemStore
        Where the members' items stand.
    spread : callable
        Called with each changed item, to pass it on.
    count : callable
        Called with the name of an event to count.
    """

    def __init__(
        self,
        me: Peer,
        address: str,
        store: ItemStore,
        spread: Callable[[Item], None],
        count: Callable[[str], None],
        source: random.Random,
        now: float,
    ) -> None:
        self._own = Member(me, address, MemberState.ALIVE, 0)
        self._store = store
        self._spread = spread
        self._count = count
        self._random = source
        self._members: dict[str, Member] = {}
        self._live: list[Member] | None = None
        self._ring: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._number = 0
        self._suspected_until: dict[str, float] = {}
        self._forget_at: dict[str, float] = {}
        self._next_probe_at = now
        self._ticked_at = now
        self._publish(self._own, now)

    @property
    def me(self) -> Peer:
        """The own host."""
        return self._own.peer

    @property
    def own_item(self) -> Item:
        """The item that tells of the own host."""
        return self._own.item()

    def live(self) -> list[Member]:
        """Return the members that are alive or only suspected, by name."""
        if self._live is None:
            found = [m for m in self._members.values() if m.state <= MemberState.SUSPECT]
            self._live = sorted(found, key=lambda member: member.peer.name)
        return self._live

    def all(self) -> list[Member]:
        """Return all known members, dead ones included."""
        return list(self._members.values())

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def leave(self, now: float) -> None:
        """Tell the zone that this host stops."""
        self._publish(replace(self._own, state=MemberState.LEFT), now)

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due."""
        self._note_pause(now)
        self._end_suspicions(now)
        self._forget_dead(now)
        outgoing = self._end_probes(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_S
            outgoing += self._begin_probe(now)
        return outgoing

    def note_ack(self, number: int) -> None:
        """Take an answer to a ping."""
        self._probes.pop(number, None)

    def answer_ping(self, ping: Ping, sender_address: str) -> list[Outgoing]:
        """Answer a ping, to the host that asked for it in the end."""
        if ping.for_address is not None:
            return [Outgoing(ping.for_address, Ack(ping.for_number))]
        return [Outgoing(sender_address, Ack(ping.number))]

    def answer_request(self, request: PingRequest, sender_address: str) -> list[Outgoing]:
        """Ping a host for another one, which gets the answer itself."""
        return [Outgoing(request.address, Ping(0, sender_address, request.number))]

    def apply_item(self, item: Item, now: float) -> None:
        """Take a member's item that the store found to be new."""
        member = read_member(item)
        if member is None or member.peer.zone != self.me.zone:
            return
        if member.peer.name == self.me.name:
            self._defend(member, now)
            return
        self._set(member, now)

    def _defend(self, claimed: Member, now: float) -> None:
        """Answer what others say of this host with a newer record of it.

        A host that is wrongly held dead gets no shards and no answers. A
        refutation outranks every claim about the same incarnation. A claim of
        a later incarnation means that the clock went back between two starts,
        or that two hosts share the name: the operator sees the counter.
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
            self._set(member, now)
            self._spread(item)

    def _set(self, member: Member, now: float) -> None:
        name = member.peer.name
        self._members[name] = member
        self._live = None
        self._suspected_until.pop(name, None)
        self._forget_at.pop(name, None)
        match member.state:
            case MemberState.SUSPECT:
                self._suspected_until[name] = now + SUSPICION_S
            case MemberState.DEAD | MemberState.LEFT:
                self._forget_at[name] = now + TOMBSTONE_S

    def _note_pause(self, now: float) -> None:
        """Blame a pause on this host, not on the others.

        After a pause of this process every probe looks unanswered, because
        the answers wait unread. Without this a resumed host would hold all
        others dead for some seconds and take their shards.
        """
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s < PAUSE_S:
            return
        self._count("loop_paused")
        self._probes.clear()
        for name in self._suspected_until:
            self._suspected_until[name] += pause_s

    def _end_suspicions(self, now: float) -> None:
        for name in [n for n, until in self._suspected_until.items() if until <= now]:
            self._publish(replace(self._members[name], state=MemberState.DEAD), now)
            self._count("host_held_dead")

    def _forget_dead(self, now: float) -> None:
        for name in [n for n, at in self._forget_at.items() if at <= now]:
            del self._forget_at[name]
            del self._members[name]
            self._live = None
            self._store.remove(MEMBER_PREFIX + name)

    def _end_probes(self, now: float) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        for probe in list(self._probes.values()):
            member = self._members.get(probe.name)
            if member is None or member.state > MemberState.SUSPECT:
                del self._probes[probe.number]
            elif now - probe.sent_at >= PROBE_END_S:
                del self._probes[probe.number]
                self._suspect(member, now)
            elif now - probe.sent_at >= PROBE_TIMEOUT_S and not probe.asked_others:
                probe.asked_others = True
                outgoing += self._ask_others(probe, member)
        return outgoing

    def _suspect(self, member: Member, now: float) -> None:
        if member.state is MemberState.ALIVE:
            self._publish(replace(member, state=MemberState.SUSPECT), now)
            self._count("host_suspected")

    def _ask_others(self, probe: _Probe, member: Member) -> list[Outgoing]:
        others = [m for m in self.live() if m.peer.name not in (self.me.name, probe.name)]
        chosen = self._random.sample(others, min(INDIRECT_PINGS, len(others)))
        return [Outgoing(o.address, PingRequest(probe.number, member.address)) for o in chosen]

    def _begin_probe(self, now: float) -> list[Outgoing]:
        member = self._next_target()
        if member is None:
            return []
        self._number += 1
        self._probes[self._number] = _Probe(member.peer.name, self._number, now)
        return [Outgoing(member.address, Ping(self._number))]

    def _next_target(self) -> Member | None:
        """Go through all live members in an order shuffled anew each round."""
        for _ in range(2):
            while self._ring:
                member = self._members.get(self._ring.pop())
                if member is not None and member.state <= MemberState.SUSPECT:
                    return member
            self._ring = [m.peer.name for m in self.live() if m.peer.name != self.me.name]
            self._random.shuffle(self._ring)
        return None
