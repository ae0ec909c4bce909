"""Summaries of topics: as they are inside a zone, merged between zones."""

from collections.abc import Callable, Sequence

from poplarrun.hosts._items import Item, ItemStore
from poplarrun.hosts._membership import Member
from poplarrun.hosts._peers import CollectedSummaries, Peer, SummaryTopic
from poplarrun.hosts._zones import Zones, zone_key

SUMMARY_PREFIX = "s/"
SUMMARY_FACTOR = 2
# What one host spends on passing summaries on, each way.
SUMMARY_BYTES_PER_S = 1200.0
SHORTEST_INTERVAL_S = 0.5


class Summaries:
    """The own summaries, and what has been heard of the others'."""

    def __init__(self, store: ItemStore, zones: Zones, spread: Callable[[Item], None]) -> None:
        self._store = store
        self._zones = zones
        self._spread = spread
        self._topics: dict[str, SummaryTopic] = {}
        self._pending: dict[str, bytes] = {}
        self._minor = 0
        self._next_at = 0.0

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace the own summary of a topic; it goes out at the next turn."""
        self._topics[topic.name] = topic
        self._pending[topic.name] = payload

    def watch(self, topic: SummaryTopic) -> None:
        """Merge a topic for the other zones although this host publishes none."""
        self._topics.setdefault(topic.name, topic)

    def tick(self, me: Peer, members: int, now: float) -> None:
        """Give the changed summaries out, at the pace that the byte budget allows."""
        if now < self._next_at or not self._pending:
            return
        for name, payload in self._pending.items():
            self._put(me, name, payload)
        self._pending.clear()
        self._next_at = now + self._interval_s()

    def renew(self, me: Peer) -> None:
        """Give all out again under a new incarnation."""
        for name in self._topics:
            item = self._store.get(_summary_key(me.name, name))
            if item is not None and name not in self._pending:
                self._pending[name] = item.payload

    def forget(self, host: str) -> None:
        """Drop the summaries of a host that is gone."""
        for item in self._store.items(f"{SUMMARY_PREFIX}{host}/"):
            self._store.remove(item.key)

    def merged(self, live: Sequence[Member]) -> dict[str, bytes]:
        """Return the own zone's merged summary of each topic."""
        found: dict[str, bytes] = {}
        for topic in self._topics.values():
            payloads = self._of_zone(topic.name, live)
            if payloads:
                found[topic.name] = topic.merge(list(payloads.values()))
        return found

    def collect_summaries(
        self, topic: SummaryTopic, me: Peer, live: Sequence[Member]
    ) -> CollectedSummaries:
        """Return the summaries of a topic that have been heard."""
        self.watch(topic)
        own = self._of_zone(topic.name, live)
        if topic.name in self._pending:
            own[me.name] = self._pending[topic.name]
        others: dict[str, bytes] = {}
        for zone in self._zones.others():
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
            self._spread(item)

    def _of_zone(self, topic: str, live: Sequence[Member]) -> dict[str, bytes]:
        found: dict[str, bytes] = {}
        for member in live:
            item = self._store.get(_summary_key(member.peer.name, topic))
            if item is not None:
                found[member.peer.name] = item.payload
        return found

    def _interval_s(self) -> float:
        """Pace the own summaries so that all of the zone's fit the budget.

        Each host passes each summary of its zone on about ``SUMMARY_FACTOR``
        times. At a fixed pace the bytes would grow with the zone.
        """
        size = sum(item.size_bytes for item in self._store.items(SUMMARY_PREFIX))
        return max(SHORTEST_INTERVAL_S, SUMMARY_FACTOR * size / SUMMARY_BYTES_PER_S)


def _summary_key(host: str, topic: str) -> str:
    return f"{SUMMARY_PREFIX}{host}/{topic}"
