"""Index of the prompt prefixes that endpoints probably have in their prefix caches."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from poplarrun.clients import CacheEvent
from poplarrun.contracts import VersionId

# Bound on the indexed blocks; the least recently used are dropped first.
MAX_INDEXED_BLOCKS = 20_000
MAX_HOLDERS_PER_BLOCK = 8
# An entry that no cache event confirms loses confidence by a factor of 1/e in this time.
CERTAINTY_DECAY_TIME_S = 120.0
# A smaller cache counts as this many blocks: one lost event would reduce the confidence too much
# otherwise.
MIN_CACHED_BLOCKS = 200
# Ratio of successive indexed depths. A smaller ratio costs memory without improving accuracy.
DEPTH_GROWTH_FACTOR = 1.3
STORED_EVENT = "stored"


_parse_version = lru_cache(maxsize=1024)(VersionId.parse)


@lru_cache(maxsize=4096)
def indexed_depths(blocks: int) -> tuple[int, ...]:
    """Return the indexed depths of a prompt in blocks, deepest first.

    The depths are the same for all prompts, so that prompts with a common prefix share index
    entries. A prompt's last block is always included.
    """
    depths = [blocks] if blocks else []
    step = 1.0
    while step < blocks:
        depths.append(int(step))
        step = max(step + 1.0, step * DEPTH_GROWTH_FACTOR)
    return tuple(sorted(set(depths), reverse=True))


@dataclass(slots=True)
class _EventFeed:
    """State of the cache events received from one endpoint."""

    number: int = 0
    lost_events: int = 0
    stored_blocks: int = 0
    last_event_at: float = -math.inf


@dataclass(slots=True)
class _Holding:
    """When an endpoint was last known to hold a block, and its lost events by then."""

    learned_at: float
    lost_events: int


@dataclass
class PrefixIndex:
    """Bounded index of the endpoints' prefix caches.

    Only blocks of this host's own requests are indexed. Events about other blocks are discarded, so
    memory depends on this host's traffic and not on the total size of the caches.
    """

    max_blocks: int = MAX_INDEXED_BLOCKS
    _holders: OrderedDict[tuple[VersionId, int], dict[str, _Holding]] = field(
        default_factory=OrderedDict
    )
    _feeds: dict[str, _EventFeed] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._holders)

    def apply_events(self, endpoint: str, events: Sequence[CacheEvent], now: float) -> None:
        """Apply an engine's cache events in the order of their sequence numbers."""
        feed = self._feeds.setdefault(endpoint, _EventFeed())
        feed.last_event_at = now
        for event in events:
            if event.number <= feed.number:
                self._restart_if_reset(endpoint, event)
                continue
            # A lost event may have been the removal of any block, so earlier entries lose
            # confidence instead of being trusted wrongly.
            feed.lost_events += event.number - feed.number - 1 if feed.number else 0
            feed.number = event.number
            feed.stored_blocks = max(
                0, feed.stored_blocks + (1 if event.kind == STORED_EVENT else -1)
            )
            self._apply(endpoint, event, feed, now)

    def last_event_number(self, endpoint: str) -> int:
        """Return the sequence number of the last event received from an endpoint."""
        feed = self._feeds.get(endpoint)
        return feed.number if feed else 0

    def record_sent(
        self, endpoint: str, version: VersionId, blocks: Sequence[int], now: float
    ) -> None:
        """Record that a prompt was sent to an endpoint, which will cache its blocks."""
        lost_events = self._feeds[endpoint].lost_events if endpoint in self._feeds else 0
        for depth in indexed_depths(len(blocks)):
            key = (version, blocks[depth - 1])
            holders = self._holders.setdefault(key, {})
            self._holders.move_to_end(key)
            holders[endpoint] = _Holding(now, lost_events)
            if len(holders) > MAX_HOLDERS_PER_BLOCK:
                del holders[min(holders, key=lambda name: holders[name].learned_at)]
        while len(self._holders) > self.max_blocks:
            self._holders.popitem(last=False)

    def forget(self, endpoint: str) -> None:
        """Drop all entries of an endpoint that restarted or was removed."""
        self._feeds.pop(endpoint, None)
        for holders in self._holders.values():
            holders.pop(endpoint, None)

    def match(self, version: VersionId, blocks: Sequence[int], now: float) -> "PrefixMatch":
        """Return the endpoints that probably have a prefix of the prompt cached."""
        cached: dict[str, float] = {}
        known_depth = 0
        for depth in indexed_depths(len(blocks)):
            holders = self._holders.get((version, blocks[depth - 1]))
            if holders is None:
                continue
            known_depth = known_depth or depth
            # The deepest known prefix of an endpoint counts, even if a shorter one is more certain.
            for name, holding in holders.items():
                if name not in cached:
                    cached[name] = depth * self._certainty(name, holding, now)
        key = blocks[known_depth - 1] if known_depth else 0
        return PrefixMatch(cached, known_depth, key)

    def _certainty(self, endpoint: str, holding: _Holding, now: float) -> float:
        feed = self._feeds.get(endpoint)
        if feed is None:
            return math.exp((holding.learned_at - now) / CERTAINTY_DECAY_TIME_S)
        confirmed_at = max(holding.learned_at, feed.last_event_at)
        loss_penalty = (feed.lost_events - holding.lost_events) / max(
            MIN_CACHED_BLOCKS, feed.stored_blocks
        )
        return math.exp((confirmed_at - now) / CERTAINTY_DECAY_TIME_S - loss_penalty)

    def _apply(self, endpoint: str, event: CacheEvent, feed: _EventFeed, now: float) -> None:
        holders = self._holders.get((_parse_version(event.version), event.block))
        if holders is None:
            return
        if event.kind != STORED_EVENT:
            holders.pop(endpoint, None)
        elif endpoint in holders or len(holders) < MAX_HOLDERS_PER_BLOCK:
            holders[endpoint] = _Holding(now, feed.lost_events)

    def _restart_if_reset(self, endpoint: str, event: CacheEvent) -> None:
        """Drop the endpoint's entries if its sequence restarts at 1: the engine restarted."""
        if event.number == 1:
            self.forget(endpoint)
            self._feeds[endpoint] = _EventFeed(number=1, stored_blocks=1)


@dataclass(frozen=True, slots=True)
class PrefixMatch:
    """The indexed prefixes of one prompt.

    Attributes
    ----------
    cached_blocks : dict of str to float
        Expected number of cached blocks, by endpoint.
    known_depth : int
        Blocks of the longest prefix that is in the index.
    key : int
        Hash of that prefix, from which all hosts derive the same preferred endpoint.
    """

    cached_blocks: dict[str, float]
    known_depth: int
    key: int


NO_MATCH = PrefixMatch({}, 0, 0)
