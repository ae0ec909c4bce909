"""Which endpoint is likely to hold which part of a prompt in its prefix cache."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from poplarrun.clients import CacheEvent
from poplarrun.contracts import VersionId

# Pairs of block and endpoint that are remembered; the least used go first.
MAX_INDEXED_BLOCKS = 20_000
MAX_HOLDERS_PER_BLOCK = 8
# Knowledge that no event confirms is worth 1/e after this time.
CERTAINTY_DECAY_TIME_S = 120.0
# Below this many blocks, one lost event would make too much doubtful.
MIN_CACHED_BLOCKS = 200
# Steps of the depths that are indexed: finer ones cost memory, not accuracy.
DEPTH_GROWTH_FACTOR = 1.3
STORED_EVENT = "stored"


_parse_version = lru_cache(maxsize=1024)(VersionId.parse)


@lru_cache(maxsize=4096)
def indexed_depths(blocks: int) -> tuple[int, ...]:
    """Return the depths of a prompt that are indexed, the deepest first.

    The depths are the same for all prompts, so that prompts with a common
    beginning meet in the index; a prompt's own last block is added.
    """
    depths = [blocks] if blocks else []
    step = 1.0
    while step < blocks:
        depths.append(int(step))
        step = max(step + 1.0, step * DEPTH_GROWTH_FACTOR)
    return tuple(sorted(set(depths), reverse=True))


@dataclass(slots=True)
class _EventFeed:
    """What has been heard from one endpoint's cache."""

    number: int = 0
    lost: int = 0
    held: int = 0
    heard_at: float = -math.inf


@dataclass(slots=True)
class _Holding:
    """When it was learned that an endpoint holds a block, and after how many lost events."""

    learned_at: float
    lost: int


@dataclass
class PrefixIndex:
    """Bounded knowledge of the endpoints' prefix caches.

    Only blocks that this host's own requests carried are indexed: events of
    others are read and dropped, so memory follows this host's traffic and not
    the size of the fleet's caches.
    """

    max_blocks: int = MAX_INDEXED_BLOCKS
    _holders: OrderedDict[tuple[VersionId, int], dict[str, _Holding]] = field(
        default_factory=OrderedDict
    )
    _feeds: dict[str, _EventFeed] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._holders)

    def apply_events(self, endpoint: str, events: Sequence[CacheEvent], now: float) -> None:
        """Take in an engine's events in the order of their numbers."""
        feed = self._feeds.setdefault(endpoint, _EventFeed())
        feed.heard_at = now
        for event in events:
            if event.number <= feed.number:
                self._restart_if_reset(endpoint, event)
                continue
            # A lost event may have been the removal of any block: what was
            # known before gets less certain instead of staying wrongly certain.
            feed.lost += event.number - feed.number - 1 if feed.number else 0
            feed.number = event.number
            feed.held = max(0, feed.held + (1 if event.kind == STORED_EVENT else -1))
            self._apply(endpoint, event, feed, now)

    def last_event_number(self, endpoint: str) -> int:
        """Return the number of the last event heard from an endpoint."""
        feed = self._feeds.get(endpoint)
        return feed.number if feed else 0

    def record_sent(
        self, endpoint: str, version: VersionId, blocks: Sequence[int], now: float
    ) -> None:
        """Remember that a prompt went to an endpoint, which will hold its blocks."""
        lost = self._feeds[endpoint].lost if endpoint in self._feeds else 0
        for depth in indexed_depths(len(blocks)):
            key = (version, blocks[depth - 1])
            holders = self._holders.setdefault(key, {})
            self._holders.move_to_end(key)
            holders[endpoint] = _Holding(now, lost)
            if len(holders) > MAX_HOLDERS_PER_BLOCK:
                del holders[min(holders, key=lambda name: holders[name].learned_at)]
        while len(self._holders) > self.max_blocks:
            self._holders.popitem(last=False)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that restarted or is gone."""
        self._feeds.pop(endpoint, None)
        for holders in self._holders.values():
            holders.pop(endpoint, None)

    def match(self, version: VersionId, blocks: Sequence[int], now: float) -> "PrefixMatch":
        """Return who is likely to hold how much of a prompt."""
        cached: dict[str, float] = {}
        known_depth = 0
        for depth in indexed_depths(len(blocks)):
            holders = self._holders.get((version, blocks[depth - 1]))
            if holders is None:
                continue
            known_depth = known_depth or depth
            # Deepest first: what an endpoint is thought to hold of a deeper
            # beginning counts, also when a shorter one would be more certain.
            for name, knowledge in holders.items():
                if name not in cached:
                    cached[name] = depth * self._certainty(name, knowledge, now)
        key = blocks[known_depth - 1] if known_depth else 0
        return PrefixMatch(cached, known_depth, key)

    def _certainty(self, endpoint: str, knowledge: _Holding, now: float) -> float:
        feed = self._feeds.get(endpoint)
        if feed is None:
            return math.exp((knowledge.learned_at - now) / CERTAINTY_DECAY_TIME_S)
        confirmed_at = max(knowledge.learned_at, feed.heard_at)
        doubt = (feed.lost - knowledge.lost) / max(MIN_CACHED_BLOCKS, feed.held)
        return math.exp((confirmed_at - now) / CERTAINTY_DECAY_TIME_S - doubt)

    def _apply(self, endpoint: str, event: CacheEvent, feed: _EventFeed, now: float) -> None:
        holders = self._holders.get((_parse_version(event.version), event.block))
        if holders is None:
            return
        if event.kind != STORED_EVENT:
            holders.pop(endpoint, None)
        elif endpoint in holders or len(holders) < MAX_HOLDERS_PER_BLOCK:
            holders[endpoint] = _Holding(now, feed.lost)

    def _restart_if_reset(self, endpoint: str, event: CacheEvent) -> None:
        """Drop what was known when the numbers start anew: the engine did too."""
        if event.number == 1:
            self.forget(endpoint)
            self._feeds[endpoint] = _EventFeed(number=1, held=1)


@dataclass(frozen=True, slots=True)
class PrefixMatch:
    """What the index knows of one prompt.

    Attributes
    ----------
    cached : dict of str to float
        Expected blocks held, by endpoint.
    known_depth : int
        Blocks of the longest beginning that this host has seen before.
    key : int
        Hash of that beginning, from which all hosts derive the same home.
    """

    cached_blocks: dict[str, float]
    known_depth: int
    key: int


NO_MATCH = PrefixMatch({}, 0, 0)
