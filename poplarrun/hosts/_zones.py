"""What zones tell each other: a few gateways exchange merged digests of their zones."""

import random
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated

import msgspec

from poplarrun.hosts._items import Item, ItemStore, Number
from poplarrun.hosts._membership import Member, Outgoing
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._wire import HostAddress, Name, Sync
from poplarrun.rendezvous import rank_hosts

ZONE_PERIOD_S = 1.0
GATEWAYS = 2
# The whole list goes out on a change. While a large zone starts, it changes all
# the time, and at each beat its bytes would grow with the zone squared.
MEMBERS_PERIOD_S_PER_HOST = 0.05
# How long the second gateway waits for the first one's beat, in periods.
STANDBY_PERIODS = 2.5
ZONE_SILENT_AFTER_S = 6.0
# A gateway that does not answer must not be the only way into its zone.
OTHER_MEMBER_SHARE = 0.2
ZONE_PREFIX = "z/"
BEAT = "~beat"
MEMBERS = "~members"
MEMBERS_BYTES = 256 * 1024


class ZoneMember(msgspec.Struct, frozen=True, array_like=True):
    """One host in a zone's list of members."""

    name: Name
    region: Name
    address: HostAddress
    incarnation: Number


_members_decoder = msgspec.msgpack.Decoder(
    Annotated[list[ZoneMember], msgspec.Meta(max_length=2000)]
)


def _inflate(data: bytes) -> bytes:
    """Decompress up to a bound, so that a small hostile item can't fill the memory."""
    return zlib.decompressobj().decompress(data, MEMBERS_BYTES)


def zone_key(zone: str, subject: str) -> str:
    """Return the key of what a zone tells about a subject."""
    return f"{ZONE_PREFIX}{zone}/{subject}"


class Zones:
    """The zones, their members and how long each has been silent."""

    def __init__(
        self,
        me: Peer,
        store: ItemStore,
        spread: Callable[[Item], None],
        source: random.Random,
        now: float,
    ) -> None:
        self._me = me
        self._store = store
        self._spread = spread
        self._random = source
        self._beat_at: dict[str, float] = {}
        self._members: dict[str, list[ZoneMember]] = {}
        self._ring: list[str] = []
        self._next_at = now + source.random() * ZONE_PERIOD_S
        self._began_at = now
        self._next_members_at = now

    def others(self) -> list[str]:
        """Return the other zones that are known."""
        return sorted(zone for zone in self._members if zone != self._me.zone)

    def silence_s(self, zone: str, now: float) -> float:
        """Return how long ago a zone's beat was last seen to advance."""
        return now - self._beat_at.get(zone, self._began_at)

    def is_silent(self, zone: str, now: float) -> bool:
        """Tell whether a zone has not been heard of for long."""
        return self.silence_s(zone, now) > ZONE_SILENT_AFTER_S

    def members(self, zone: str) -> list[ZoneMember]:
        """Return the members that a zone told of last."""
        return self._members.get(zone, [])

    def gateways(self, zone: str, names: Sequence[str]) -> list[str]:
        """Return which members of a zone speak for it."""
        return rank_hosts(f"gateway/{zone}", names)[:GATEWAYS]

    def apply_item(self, item: Item, now: float) -> None:
        """Take a zone's item that the store found to be new."""
        _, zone, subject = item.key.split("/", 2)
        if subject == BEAT:
            self._beat_at[zone] = now
        elif subject == MEMBERS:
            try:
                self._members[zone] = _members_decoder.decode(_inflate(item.payload))
            except (msgspec.MsgspecError, zlib.error):
                return

    def tick(
        self, live: Sequence[Member], merged: Callable[[], Mapping[str, bytes]], now: float
    ) -> list[Outgoing]:
        """Speak for the own zone and exchange with another one, if this host is a gateway."""
        if now < self._next_at:
            return []
        self._next_at = now + ZONE_PERIOD_S * self._random.uniform(0.9, 1.1)
        names = [member.peer.name for member in live]
        gateways = self.gateways(self._me.zone, names)
        if self._me.name not in gateways:
            return []
        # The second gateway speaks when the first one's beat stays out, so a
        # dead first gateway does not make the whole zone look silent.
        waits = 0 if gateways[0] == self._me.name else STANDBY_PERIODS * ZONE_PERIOD_S
        if self.silence_s(self._me.zone, now) >= waits:
            self._speak(live, merged(), now)
        return self._exchange()

    def _speak(self, live: Sequence[Member], merged: Mapping[str, bytes], now: float) -> None:
        own = self._me.zone
        known = self._store.get(zone_key(own, BEAT))
        stamp = 1 if known is None else known.major + 1
        members = [
            ZoneMember(m.peer.name, m.peer.region, m.address, m.peer.incarnation) for m in live
        ]
        told = {BEAT: b"", **merged}
        if now >= self._next_members_at:
            self._next_members_at = now + MEMBERS_PERIOD_S_PER_HOST * len(members)
            told[MEMBERS] = zlib.compress(msgspec.msgpack.encode(members))
        for subject, payload in told.items():
            self._tell(zone_key(own, subject), stamp, payload, subject == BEAT, now)

    def _tell(self, key: str, stamp: int, payload: bytes, always: bool, now: float) -> None:
        known = self._store.get(key)
        if known is not None:
            if known.payload == payload and not always:
                return
            # Another host may have told more than the beat's stamp says.
            stamp = max(stamp, known.major + 1)
        # Two gateways that don't know each other yet may use one stamp for
        # unlike payloads; the checksum makes all hosts keep the same one.
        item = Item(key, stamp, zlib.crc32(payload), payload)
        if self._store.put(item):
            self.apply_item(item, now)
            self._spread(item)

    def _exchange(self) -> list[Outgoing]:
        """Compare versions with one host of another zone; all zones take their turn."""
        if not self._ring:
            self._ring = self.others()
            self._random.shuffle(self._ring)
        if not self._ring:
            return []
        address = self.entry_address(self._ring.pop())
        if address is None:
            return []
        return [Outgoing(address, Sync(ZONE_PREFIX, self._store.vector(ZONE_PREFIX)))]

    def entry_address(self, zone: str) -> str | None:
        """Choose a host of another zone to speak to."""
        members = {member.name: member for member in self.members(zone)}
        if not members:
            return None
        names = self.gateways(zone, sorted(members))
        if self._random.random() < OTHER_MEMBER_SHARE:
            names = sorted(members)
        return members[self._random.choice(names)].address
