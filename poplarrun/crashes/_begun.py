"""Parts of prompts on which an endpoint has recently begun to answer, and which crash none."""

import math
from collections import OrderedDict
from collections.abc import Iterable

# For how long a part counts as harmless after an answer began on it, in seconds.
BEGUN_TTL_S = 60.0
MAX_BEGUN_PARTS = 20_000


class BegunParts:
    """When an answer last began on a part; the least recently used are evicted first."""

    def __init__(self) -> None:
        self._begun: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str], at: float) -> None:
        """Record that an answer began on a prompt with these parts."""
        for part in parts:
            self._begun[part] = max(at, self._begun.get(part, -math.inf))
            self._begun.move_to_end(part)
        while len(self._begun) > MAX_BEGUN_PARTS:
            self._begun.popitem(last=False)

    def begun_at(self, part: str) -> float:
        """Return when an answer last began on a part; -inf if that isn't known."""
        return self._begun.get(part, -math.inf)

    def is_cleared(self, part: str, at: float) -> bool:
        """Return whether a part can't be the cause of a crash at a time."""
        return self.begun_at(part) >= at - BEGUN_TTL_S
