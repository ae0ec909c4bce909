"""Set of recently seen bill ids, at eight bytes each."""

import bisect
import hashlib
from array import array

# Time by the fold's clock in which repeats of a bill are recognized. Bills of a host that can't
# reach the log for longer are listed separately as late, not added.
DEDUPLICATION_WINDOW_S = 7200.0
GENERATION_INTERVAL_S = 600.0

# End time of a generation, in seconds since the epoch, and its hashes.
Generation = tuple[float, list[int]]


def hash_id(bill_id: str) -> int:
    """Return a 64-bit hash of a bill id.

    At the expected load in two years, 25 million ids are in the window, and two of them have the
    same hash once in some years; the second bill is then lost.
    """
    return int.from_bytes(hashlib.blake2b(bill_id.encode(), digest_size=8).digest())


class RecentIds:
    """The hashes that were added within ``DEDUPLICATION_WINDOW_S``, in generations."""

    def __init__(self) -> None:
        self._began = 0.0
        self._last = 0.0
        self._newest: set[int] = set()
        self._older: list[tuple[float, array[int]]] = []

    def __contains__(self, id_hash: int) -> bool:
        """Tell whether a hash was added recently."""
        return id_hash in self._newest or any(_contains(old, id_hash) for _, old in self._older)

    def add(self, id_hash: int) -> None:
        """Add a hash."""
        self._newest.add(id_hash)

    def advance(self, clock: float) -> None:
        """Advance the clock: close a full generation, and drop those that are too old."""
        if clock - self._began >= GENERATION_INTERVAL_S:
            if self._newest:
                self._older.append((self._last, array("Q", sorted(self._newest))))
            self._newest, self._began = set(), clock
        self._last = clock
        while self._older and self._older[0][0] < clock - DEDUPLICATION_WINDOW_S:
            del self._older[0]

    def save(self) -> list[Generation]:
        """Return the state; the newest generation comes last, with its start time."""
        older = [(last, list(hashes)) for last, hashes in self._older]
        return [*older, (self._began, sorted(self._newest))]

    def load(self, generations: list[Generation], clock: float) -> None:
        """Replace the state by a saved one."""
        *older, (self._began, newest) = generations
        self._older = [(last, array("Q", hashes)) for last, hashes in older]
        self._newest, self._last = set(newest), clock


def _contains(hashes: "array[int]", id_hash: int) -> bool:
    index = bisect.bisect_left(hashes, id_hash)
    return index < len(hashes) and hashes[index] == id_hash
