"""Which bills were seen lately, in eight bytes each."""

import bisect
import hashlib
from array import array

# A copy of a bill may come for so long after the first, by the fold's clock: a
# host that the log can't be reached from for longer is told apart, not added.
DEDUPLICATION_WINDOW_S = 7200.0
GENERATION_INTERVAL_S = 600.0

# The last time of a generation, in seconds since the epoch, and its numbers.
Generation = tuple[float, list[int]]


def hash_id(bill_id: str) -> int:
    """Return the number that stands for an id.

    Two of the two-year size's 25 million ids of a window share one once in
    some years; the second bill is then lost.
    """
    return int.from_bytes(hashlib.blake2b(bill_id.encode(), digest_size=8).digest())


class RecentIds:
    """The numbers that were added within ``REPEATS_S``, in generations."""

    def __init__(self) -> None:
        self._began = 0.0
        self._last = 0.0
        self._newest: set[int] = set()
        self._older: list[tuple[float, array[int]]] = []

    def __contains__(self, number: int) -> bool:
        """Tell whether a number was added lately."""
        return number in self._newest or any(_contains(old, number) for _, old in self._older)

    def add(self, number: int) -> None:
        """Note a number."""
        self._newest.add(number)

    def advance(self, clock: float) -> None:
        """Close the generation when it is full, and drop those that are too old."""
        if clock - self._began >= GENERATION_INTERVAL_S:
            if self._newest:
                self._older.append((self._last, array("Q", sorted(self._newest))))
            self._newest, self._began = set(), clock
        self._last = clock
        while self._older and self._older[0][0] < clock - DEDUPLICATION_WINDOW_S:
            del self._older[0]

    def save(self) -> list[Generation]:
        """Return the state; the newest generation is the last, with its first time."""
        older = [(last, list(numbers)) for last, numbers in self._older]
        return [*older, (self._began, sorted(self._newest))]

    def load(self, generations: list[Generation], clock: float) -> None:
        """Replace the state by a saved one."""
        *older, (self._began, newest) = generations
        self._older = [(last, array("Q", numbers)) for last, numbers in older]
        self._newest, self._last = set(newest), clock


def _contains(numbers: "array[int]", number: int) -> bool:
    at = bisect.bisect_left(numbers, number)
    return at < len(numbers) and numbers[at] == number
