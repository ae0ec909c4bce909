"""Versioned items for gossip; for each key the highest version wins at all hosts."""

import math
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

MAX_KEY_LENGTH = 200
MAX_ITEM_BYTES = 64 * 1024
ITEM_OVERHEAD_BYTES = 24

Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One versioned value.

    Attributes
    ----------
    key : str
        What the value is about.
    major, minor : int
        The version, compared in this order.
    payload : bytes
        The value.
    """

    key: Key
    major: NonNegativeInt
    minor: NonNegativeInt
    payload: Annotated[bytes, msgspec.Meta(max_length=MAX_ITEM_BYTES)]

    @property
    def version(self) -> tuple[int, int]:
        """The version as one comparable value."""
        return (self.major, self.minor)

    @property
    def size_bytes(self) -> int:
        """Approximate encoded size."""
        return len(self.key) + len(self.payload) + ITEM_OVERHEAD_BYTES


VersionVector = dict[Key, tuple[NonNegativeInt, NonNegativeInt]]


# Order of items in a sync: a joining host needs members first, then zones, then summaries.
_SYNC_ORDER = {"m": 0, "z": 1, "s": 2}


def _sync_order(key: str) -> int:
    return _SYNC_ORDER.get(key[:1], len(_SYNC_ORDER))


class ItemStore:
    """The newest known item of each key."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}

    def put(self, item: Item) -> bool:
        """Store an item if it is newer than the known one; return whether it was."""
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items[item.key] = item
        return True

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None."""
        return self._items.get(key)

    def remove(self, key: str) -> None:
        """Remove the item of a key."""
        self._items.pop(key, None)

    def items(self, prefix: str) -> list[Item]:
        """Return the items whose keys have a prefix."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def vector(self, prefix: str) -> VersionVector:
        """Return the version of each key with a prefix."""
        return {item.key: item.version for item in self.items(prefix)}

    def find_newer(self, vector: Mapping[str, tuple[int, int]], prefix: str) -> list[Item]:
        """Return items newer than in a vector: members first, then zones, then summaries."""
        found = [i for i in self.items(prefix) if i.version > vector.get(i.key, (-1, -1))]
        return sorted(found, key=lambda item: (_sync_order(item.key), item.size_bytes))

    def find_outdated_keys(self, vector: Mapping[str, tuple[int, int]], prefix: str) -> list[str]:
        """Return the keys of which a vector has a newer version than this store."""
        newer = []
        for key, version in vector.items():
            known = self._items.get(key)
            if key.startswith(prefix) and (known is None or tuple(version) > known.version):
                newer.append(key)
        return newer


class ByteBudget:
    """A token bucket of bytes.

    Parameters
    ----------
    bytes_per_s, burst_bytes : float
        Rate and capacity.
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float, now: float) -> None:
        self._rate = bytes_per_s
        self._burst = burst_bytes
        self._level = burst_bytes
        self._updated_at = now

    def available(self, now: float) -> float:
        """Return the bytes that may be sent now; negative after an overdraft."""
        self._level = min(self._burst, self._level + (now - self._updated_at) * self._rate)
        self._updated_at = now
        return self._level

    def spend(self, size_bytes: float) -> None:
        """Withdraw the bytes that were sent."""
        self._level -= size_bytes


class BroadcastQueue:
    """Items to gossip, and how often each one is still to be sent.

    The number of transmissions grows with the logarithm of the number of members, so that the
    cost for one host hardly grows with the zone.
    """

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}

    def add(self, key: str, times: int) -> None:
        """Send a key's item this many times from now."""
        self._remaining.pop(key, None)
        self._remaining[key] = times

    def discard(self, key: str) -> None:
        """Stop sending a key's item."""
        self._remaining.pop(key, None)

    def select_items(self, store: ItemStore, limit_bytes: float) -> list[Item]:
        """Choose items for one message, those with the most remaining transmissions first."""
        selected: list[Item] = []
        for key, _ in sorted(self._remaining.items(), key=lambda pair: -pair[1]):
            item = store.get(key)
            if item is None:
                del self._remaining[key]
                continue
            if selected and item.size_bytes > limit_bytes:
                continue
            if limit_bytes <= 0:
                break
            selected.append(item)
            limit_bytes -= item.size_bytes
            self._record_sent(key)
        return selected

    def _record_sent(self, key: str) -> None:
        self._remaining[key] -= 1
        if self._remaining[key] <= 0:
            del self._remaining[key]


def transmission_count(members: int, factor: int) -> int:
    """Return how often a host sends an item in a zone of this many members."""
    return max(1, factor * math.ceil(math.log10(members + 1)))


def total_bytes(items: Iterable[Item]) -> int:
    """Return the approximate encoded size of items."""
    return sum(item.size_bytes for item in items)
