"""Summaries of topics: one for each host inside a zone, a merged one between zones."""

from collections.abc import Callable, Sequence

from poplarrun.hosts._items import Item, ItemStore
from poplarrun.hosts._membership import Member
from poplarrun.hosts._peers import CollectedSummaries, Peer, SummaryTopic
from poplarrun.hosts._zones import Zones, zone_key

SUMMARY_PREFIX = "s/"
SUMMARY_TRANSMISSION_FACTOR = 2
# Bytes that one host spends on gossiping summaries, in each direction.
MAX_SUMMARY_BYTES_PER_S = 1200.0
MIN_INTERVAL_S = 0.5


class Summaries:
    """Summaries of this host and those received from others."""

    def __init__(self, store: ItemStore, zones: Zones, broadcast: Callable[[Item], None]) -> None:
        self._store = store
        self._zones = zones
        self._broadcast = broadcast
        self._topics: dict[str, SummaryTopic] = {}
        self._pending: dict[str, bytes] = {}
        self._minor = 0
        self._next_at = 0.0

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic; it is sent at the next tick."""
        self._topics[topic.name] = topic
        self._pending[topic.name] = payload

    def register(self, topic: SummaryTopic) -> None:
        """Merge a topic for the other zones even if this host publishes no summary of it."""
        self._topics.setdefault(topic.name, topic)

    def tick(self, me: Peer, members: int, now: float) -> None:
        """Publish the changed summaries, at an interval within the byte budget."""
        if now < self._next_at or not self._pending:
            return
        for name, payload in self._pending.items():
            self._put(me, name, payload)
        self._pending.clear()
        self._next_at = now + self._interval_s()

    def republish(self, me: Peer) -> None:
        """Publish all summaries again under a new incarnation of this host."""
        for name in self._topics:
            item = self._store.get(_summary_key(me.name, name))
            if item is not None and name not in self._pending:
                self._pending[name] = item.payload

    def remove_host(self, host: str) -> None:
        """Remove the summaries of a host that is gone."""
        for item in self._store.items(f"{SUMMARY_PREFIX}{host}/"):
            self._store.remove(item.key)

    def merge_zone(self, live: Sequence[Member]) -> dict[str, bytes]:
        """Return the merged summary of this zone for each topic."""
        found: dict[str, bytes] = {}
        for topic in self._topics.values():
            payloads = self._zone_payloads(topic.name, live)
            if payloads:
                found[topic.name] = topic.merge(list(payloads.values()))
        return found

    def collect_summaries(
        self, topic: SummaryTopic, me: Peer, live: Sequence[Member]
    ) -> CollectedSummaries:
        """Return the summaries of a topic that have been received."""
        self.register(topic)
        own = self._zone_payloads(topic.name, live)
        if topic.name in self._pending:
            own[me.name] = self._pending[topic.name]
        others: dict[str, bytes] = {}
        for zone in self._zones.other_zones():
            item = self._store.get(zone_key(zone, topic.name))
            if item is not None:
                others[zone] = item.payload
        return CollectedSummaries(own, others)

    def _put(self, me: Peer, name: str, payload: bytes) -> None:
        key = _summary_key(me.name, name)
        known = self._store.get(key)
        if known is not None and known.payload == payload and known.major == me.incarnation:
            return
        self._minor += 1
        item = Item(key, me.incarnation, self._minor, payload)
        if self._store.put(item):
            self._broadcast(item)

    def _zone_payloads(self, topic: str, live: Sequence[Member]) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        for member in live:
            item = self._store.get(_summary_key(member.peer.name, topic))
            if item is not None:
                found[member.peer.name] = item.payload
        return found

    def _interval_s(self) -> float:
        """Return an interval for which the summaries of the whole zone fit the byte budget.

        Each host sends each summary of its zone about ``SUMMARY_TRANSMISSION_FACTOR`` times. At a
        fixed interval the bytes would grow with the zone.
        """
        size = sum(item.size_bytes for item in self._store.items(SUMMARY_PREFIX))
        return max(MIN_INTERVAL_S, SUMMARY_TRANSMISSION_FACTOR * size / MAX_SUMMARY_BYTES_PER_S)


def _summary_key(host: str, topic: str) -> str:
    return f"{SUMMARY_PREFIX}{host}/{topic}"
