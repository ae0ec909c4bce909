"""Groups of prompt parts that crash endpoints, whose requests are refused."""

from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.crashes._begun import BegunParts

# For how long requests are refused after a group was found, in seconds. After that, requests with
# it are sent again; for as long once more, one crash is enough to refuse them anew.
QUARANTINE_S = 900.0
MAX_QUARANTINES = 64
# Difference between the times that two hosts have for one quarantine above which it was renewed, in
# seconds.
RENEWAL_S = 60.0


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A group of parts, and when it was found to crash endpoints.

    Requests are refused that have all its parts.
    """

    parts: frozenset[str]
    at: float

    def is_active(self, now: float) -> bool:
        """Return whether requests with the group are refused."""
        return now - self.at < QUARANTINE_S


class Quarantines:
    """The groups that are, or were lately, in quarantine."""

    def __init__(self, begun: BegunParts) -> None:
        self._begun = begun
        self._quarantines: dict[frozenset[str], Quarantine] = {}

    def add(self, parts: Iterable[str], at: float, now: float) -> Quarantine | None:
        """Add a group, without those of its parts on which answers begin.

        Returns
        -------
        Quarantine or None
            What is refused from now on; None if nothing is left, or it was known.
        """
        group = frozenset(part for part in parts if not self._begun.is_cleared(part, at))
        if not group or now - at >= QUARANTINE_S:
            return None
        known = self._quarantines.get(group)
        if known is not None and at - known.at < RENEWAL_S:
            return None
        if any(other < group and each.is_active(now) for other, each in self._quarantines.items()):
            return None
        for other in [other for other in self._quarantines if group < other]:
            del self._quarantines[other]
        added = self._quarantines[group] = Quarantine(group, at)
        if len(self._quarantines) > MAX_QUARANTINES:
            oldest = min(self._quarantines.values(), key=lambda each: each.at)
            del self._quarantines[oldest.parts]
        return added

    def active(self, now: float) -> list[Quarantine]:
        """Return what is refused now."""
        return [each for each in self._quarantines.values() if each.is_active(now)]

    def lapsed(self, now: float) -> list[Quarantine]:
        """Return what is sent again, and refused anew after one crash."""
        return [each for each in self._quarantines.values() if not each.is_active(now)]

    def find(self, parts: Iterable[str], now: float) -> Quarantine | None:
        """Return the quarantine for which a request with these parts is refused."""
        if not self._quarantines:
            return None
        present = frozenset(parts)
        for group, quarantine in self._quarantines.items():
            if group <= present and quarantine.is_active(now):
                return quarantine
        return None

    def clear(self) -> list[Quarantine]:
        """Take out the parts on which an answer has begun; return the groups that had any."""
        changed = [
            each
            for each in self._quarantines.values()
            if any(self._begun.is_cleared(part, each.at) for part in each.parts)
        ]
        for each in changed:
            del self._quarantines[each.parts]
            left = frozenset(
                part for part in each.parts if not self._begun.is_cleared(part, each.at)
            )
            if left:
                self._quarantines.setdefault(left, Quarantine(left, each.at))
        return changed

    def expire(self, now: float) -> list[Quarantine]:
        """Forget the groups that have long been sent again; return them."""
        old = [each for each in self._quarantines.values() if now - each.at >= 2.0 * QUARANTINE_S]
        for each in old:
            del self._quarantines[each.parts]
        return old
