"""Versioned items that spread between hosts: the newest version of a key wins everywhere."""

import math
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

KEY_LENGTH = 200
ITEM_BYTES = 64 * 1024
ITEM_OVERHEAD_BYTES = 24

Key = Annotated[str, msgspec.Meta(max_length=KEY_LENGTH)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One versioned value.

    Attributes
    ----------
    key : str
        What it tells about.
    major, minor : int
        Its version; compared in this order.
    payload : bytes
        The value.
    """

    key: Key
    major: Number
    minor: Number
    payload: Annotated[bytes, msgspec.Meta(max_length=ITEM_BYTES)]

    @property
    def version(self) -> tuple[int, int]:
        """The version as one comparable value."""
        return (self.major, self.minor)

    @property
    def size_bytes(self) -> int:
        """About its length on the wire."""
        return len(self.key) + len(self.payload) + ITEM_OVERHEAD_BYTES


Vector = dict[Key, tuple[Number, Number]]


# What a host needs first to find its place: members, then zones, then summaries.
_URGENCY = {"m": 0, "z": 1, "s": 2}


def _urgency(key: str) -> int:
    return _URGENCY.get(key[:1], len(_URGENCY))


class ItemStore:
    """The newest known item of each key."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}

    def put(self, item: Item) -> bool:
        """Keep an item unless it is not newer than the known one; tell whether it was."""
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items[item.key] = item
        return True

    def get(self, key: str) -> Item | None:
        """Return the item of a key."""
        return self._items.get(key)

    def remove(self, key: str) -> None:
        """Forget a key."""
        self._items.pop(key, None)

    def items(self, prefix: str) -> list[Item]:
        """Return the items whose keys begin so."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def vector(self, prefix: str) -> Vector:
        """Return the version of each key that begins so."""
        return {item.key: item.version for item in self.items(prefix)}

    def newer_than(self, vector: Mapping[str, tuple[int, int]], prefix: str) -> list[Item]:
        """Return what the owner of a vector lacks: members, then zones, then summaries."""
        found = [i for i in self.items(prefix) if i.version > vector.get(i.key, (-1, -1))]
        return sorted(found, key=lambda item: (_urgency(item.key), item.size_bytes))

    def wanted(self, vector: Mapping[str, tuple[int, int]], prefix: str) -> list[str]:
        """Return the keys of which the owner of a vector knows more."""
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
        Rate, and the most that may be saved up.
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float, now: float) -> None:
        self._rate = bytes_per_s
        self._burst = burst_bytes
        self._level = burst_bytes
        self._at = now

    def available(self, now: float) -> float:
        """Return the bytes that may be spent now; below zero after an overdraft."""
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        return self._level

    def spend(self, size_bytes: float) -> None:
        """Spend bytes."""
        self._level -= size_bytes


class Rumors:
    """Which items are still to be passed on, and how often.

    An item is passed on a number of times that grows with the logarithm of
    the members, so that the cost of one host does not grow with them.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def add(self, key: str, times: int) -> None:
        """Pass a key on so many times from now."""
        self._left.pop(key, None)
        self._left[key] = times

    def discard(self, key: str) -> None:
        """Pass a key on no more."""
        self._left.pop(key, None)

    def take(self, store: ItemStore, limit_bytes: float) -> list[Item]:
        """Choose items for one message: those least often passed on come first."""
        taken: list[Item] = []
        for key, _ in sorted(self._left.items(), key=lambda pair: -pair[1]):
            item = store.get(key)
            if item is None:
                del self._left[key]
                continue
            if taken and item.size_bytes > limit_bytes:
                continue
            if limit_bytes <= 0:
                break
            taken.append(item)
            limit_bytes -= item.size_bytes
            self._note_sent(key)
        return taken

    def _note_sent(self, key: str) -> None:
        self._left[key] -= 1
        if self._left[key] <= 0:
            del self._left[key]


def repeat_count(members: int, factor: int) -> int:
    """Return how often to pass an item on among so many members."""
    return max(1, factor * math.ceil(math.log10(members + 1)))


def total_bytes(items: Iterable[Item]) -> int:
    """Return about the length of items on the wire."""
    return sum(item.size_bytes for item in items)
