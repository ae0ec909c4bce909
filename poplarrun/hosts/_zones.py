"""Knowledge of other zones: aggregators of each zone exchange heartbeats and merged summaries."""

import random
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated

import msgspec

from poplarrun.hosts._items import Item, ItemStore, NonNegativeInt
from poplarrun.hosts._membership import Member, OutgoingMessage
from poplarrun.hosts._peers import Peer
from poplarrun.hosts._wire import HostAddress, Name, Sync
from poplarrun.rendezvous import rank_hosts

ZONE_INTERVAL_S = 1.0
AGGREGATORS_PER_ZONE = 2
# The whole member list is sent whenever it changes. While a large zone starts, it changes all the
# time; sent with each heartbeat, its bytes would grow with the square of the zone.
MEMBER_LIST_INTERVAL_S_PER_HOST = 0.05
# Intervals without a heartbeat after which the second aggregator sends it instead of the first.
STANDBY_INTERVALS = 2.5
ZONE_SILENCE_TIMEOUT_S = 6.0
# Probability of sending to any member instead of an aggregator, so that an unresponsive aggregator
# is not the only way into its zone.
OTHER_MEMBER_PROBABILITY = 0.2
ZONE_PREFIX = "z/"
HEARTBEAT = "~beat"
MEMBER_LIST = "~members"
MAX_MEMBER_LIST_BYTES = 256 * 1024


class ZoneMember(msgspec.Struct, frozen=True, array_like=True):
    """One host in the member list of a zone."""

    name: Name
    region: Name
    address: HostAddress
    incarnation: NonNegativeInt


_members_decoder = msgspec.msgpack.Decoder(
    Annotated[list[ZoneMember], msgspec.Meta(max_length=2000)]
)


def _inflate(data: bytes) -> bytes:
    """Decompress at most a fixed size, so that a small malicious item can't exhaust memory."""
    return zlib.decompressobj().decompress(data, MAX_MEMBER_LIST_BYTES)


def zone_key(zone: str, subject: str) -> str:
    """Return the key of a zone's item about a subject."""
    return f"{ZONE_PREFIX}{zone}/{subject}"


class Zones:
    """The known zones, their members, and how long each has been silent."""

    def __init__(
        self,
        me: Peer,
        store: ItemStore,
        broadcast: Callable[[Item], None],
        rng: random.Random,
        now: float,
    ) -> None:
        self._me = me
        self._store = store
        self._broadcast = broadcast
        self._rng = rng
        self._heartbeat_at: dict[str, float] = {}
        self._members: dict[str, list[ZoneMember]] = {}
        self._sync_queue: list[str] = []
        self._next_at = now + rng.random() * ZONE_INTERVAL_S
        self._started_at = now
        self._next_member_list_at = now

    def other_zones(self) -> list[str]:
        """Return the other known zones."""
        return sorted(zone for zone in self._members if zone != self._me.zone)

    def silence_s(self, zone: str, now: float) -> float:
        """Return how long ago a zone's heartbeat last advanced."""
        return now - self._heartbeat_at.get(zone, self._started_at)

    def is_silent(self, zone: str, now: float) -> bool:
        """Return whether a zone has been silent for longer than the timeout."""
        return self.silence_s(zone, now) > ZONE_SILENCE_TIMEOUT_S

    def members(self, zone: str) -> list[ZoneMember]:
        """Return the latest known members of a zone."""
        return self._members.get(zone, [])

    def aggregators(self, zone: str, names: Sequence[str]) -> list[str]:
        """Return the members that publish a zone's items and sync with other zones."""
        return rank_hosts(f"gateway/{zone}", names)[:AGGREGATORS_PER_ZONE]

    def apply_item(self, item: Item, now: float) -> None:
        """Apply a zone's item that is new to the store."""
        _, zone, subject = item.key.split("/", 2)
        if subject == HEARTBEAT:
            self._heartbeat_at[zone] = now
        elif subject == MEMBER_LIST:
            try:
                self._members[zone] = _members_decoder.decode(_inflate(item.payload))
            except (msgspec.MsgspecError, zlib.error):
                return

    def tick(
        self, live: Sequence[Member], merge_zone: Callable[[], Mapping[str, bytes]], now: float
    ) -> list[OutgoingMessage]:
        """Publish this zone's items and sync with another zone, if this host is an aggregator."""
        if now < self._next_at:
            return []
        self._next_at = now + ZONE_INTERVAL_S * self._rng.uniform(0.9, 1.1)
        names = [member.peer.name for member in live]
        aggregators = self.aggregators(self._me.zone, names)
        if self._me.name not in aggregators:
            return []
        # The second aggregator publishes if the heartbeat of the first one is missing, so that a
        # dead first aggregator does not make the whole zone look silent.
        standby_s = 0 if aggregators[0] == self._me.name else STANDBY_INTERVALS * ZONE_INTERVAL_S
        if self.silence_s(self._me.zone, now) >= standby_s:
            self._publish_zone(live, merge_zone(), now)
        return self._begin_sync()

    def _publish_zone(
        self, live: Sequence[Member], summaries: Mapping[str, bytes], now: float
    ) -> None:
        own = self._me.zone
        known = self._store.get(zone_key(own, HEARTBEAT))
        stamp = 1 if known is None else known.major + 1
        members = [
            ZoneMember(m.peer.name, m.peer.region, m.address, m.peer.incarnation) for m in live
        ]
        payloads = {HEARTBEAT: b"", **summaries}
        if now >= self._next_member_list_at:
            self._next_member_list_at = now + MEMBER_LIST_INTERVAL_S_PER_HOST * len(members)
            payloads[MEMBER_LIST] = zlib.compress(msgspec.msgpack.encode(members))
        for subject, payload in payloads.items():
            self._publish_item(zone_key(own, subject), stamp, payload, subject == HEARTBEAT, now)

    def _publish_item(
        self, key: str, stamp: int, payload: bytes, is_heartbeat: bool, now: float
    ) -> None:
        known = self._store.get(key)
        if known is not None:
            if known.payload == payload and not is_heartbeat:
                return
            # Another host may have published a later version than that of the heartbeat.
            stamp = max(stamp, known.major + 1)
        # Two aggregators that don't know each other yet may publish different payloads with the
        # same version; the checksum makes all hosts choose the same one.
        item = Item(key, stamp, zlib.crc32(payload), payload)
        if self._store.put(item):
            self.apply_item(item, now)
            self._broadcast(item)

    def _begin_sync(self) -> list[OutgoingMessage]:
        """Sync with one host of another zone, each zone in its turn."""
        if not self._sync_queue:
            self._sync_queue = self.other_zones()
            self._rng.shuffle(self._sync_queue)
        if not self._sync_queue:
            return []
        address = self.choose_address(self._sync_queue.pop())
        if address is None:
            return []
        return [OutgoingMessage(address, Sync(ZONE_PREFIX, self._store.vector(ZONE_PREFIX)))]

    def choose_address(self, zone: str) -> str | None:
        """Choose a host of another zone to send to."""
        members = {member.name: member for member in self.members(zone)}
        if not members:
            return None
        names = self.aggregators(zone, sorted(members))
        if self._rng.random() < OTHER_MEMBER_PROBABILITY:
            names = sorted(members)
        return members[self._rng.choice(names)].address
