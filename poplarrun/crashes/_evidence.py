"""Crashes of endpoints as all hosts know them, and the parts of prompts that explain them."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from poplarrun.crashes._begun import BegunParts

# How long a crash counts as evidence, in seconds, and how many are remembered.
CRASH_TTL_S = 900.0
MAX_CRASHES = 256
# Cleared parts of which other hosts are told.
MAX_CLEARED = 500
# Parts that are suspected of one crash.
MAX_SUSPECTS = 64
# Crashes of a part from which a request with it is not sent again. One is enough while there are
# as many recent ones, by age in seconds, as convict a part.
MIN_SUSPECT_CRASHES = 2
RECENT_S = 10.0
# Crashes that convict a part if each other part explains fewer of them by the lead, and crashes
# that convict it in any case.
MIN_CRASHES = 3
MIN_LEAD = 2
CERTAIN_CRASHES = 5
# Endpoints that crash within this time of the first one, in seconds, crash together: what ends a
# zone or a rack says no more of the prompts there than one crash.
SAME_MOMENT_S = 0.3
# Time after which what other hosts know of the parts of a crash has arrived, in seconds.
SETTLE_S = 0.8


@dataclass(frozen=True, slots=True, order=True)
class EndpointStart:
    """One start of an endpoint."""

    instance_id: str
    started_ms: int


@dataclass(slots=True)
class Crash:
    """The end of an endpoint's process.

    Attributes
    ----------
    at : float
        When it was first noticed by any host.
    learned_at : float
        When this host learned of it.
    parts : set of str
        Parts of the requests that it held and had not begun to answer, without cleared ones.
    changed_at : float
        When this host last learned of a further part.
    """

    at: float
    learned_at: float
    parts: set[str] = field(default_factory=set)
    changed_at: float = 0.0


class CrashEvidence:
    """The crashes of the last minutes, merged from all hosts.

    A crash is attributed to the part that explains most crashes. Those that it explains don't count
    against other parts: a harmless part may be in several requests that crashed beside the cause.
    """

    def __init__(self, begun: BegunParts) -> None:
        self._begun = begun
        self._crashes: OrderedDict[EndpointStart, Crash] = OrderedDict()
        self._cleared: OrderedDict[str, float] = OrderedDict()
        self._suspects: frozenset[str] = frozenset()

    def record(self, start: EndpointStart, at: float, parts: Iterable[str], now: float) -> bool:
        """Merge what a host knows of a crash; return whether any of it is new."""
        if now - at > CRASH_TTL_S:
            return False
        crash = self._crashes.get(start)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[start] = Crash(at, now, changed_at=now)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        crash.at = min(crash.at, at)
        further = []
        for part in parts:
            if self._begun.is_cleared(part, crash.at):
                self.record_cleared([part], now)
            elif part not in crash.parts:
                further.append(part)
        # Parts that are suspected already come first, so that many others can't hide them.
        further.sort(key=lambda part: part not in self._suspects)
        further = further[: MAX_SUSPECTS - len(crash.parts)]
        if further:
            crash.parts.update(further)
            crash.changed_at = now
            self._suspects = self._suspects.union(further)
        return is_new or bool(further)

    def clear(self, parts: Iterable[str], now: float) -> None:
        """Take parts on which an answer has begun out of the crashes that they can't explain."""
        for part in parts:
            if part not in self._suspects:
                continue
            held_by = [crash for crash in self._crashes.values() if part in crash.parts]
            cleared = [crash for crash in held_by if self._begun.is_cleared(part, crash.at)]
            for crash in cleared:
                crash.parts.discard(part)
            if cleared:
                self.record_cleared([part], now)
            if len(cleared) == len(held_by):
                self._suspects = self._suspects - {part}

    def record_cleared(self, parts: Iterable[str], now: float) -> None:
        """Record parts that don't explain a crash, so that other hosts are told."""
        for part in parts:
            self._cleared[part] = now
            self._cleared.move_to_end(part)
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def cleared_since(self, at: float) -> list[str]:
        """Return the parts that have turned out not to explain a crash since a time."""
        return [part for part, cleared_at in self._cleared.items() if cleared_at >= at]

    def expire(self, now: float) -> None:
        """Forget old crashes."""
        old = [start for start, crash in self._crashes.items() if now - crash.at > CRASH_TTL_S]
        for start in old:
            del self._crashes[start]
        if old:
            self._suspects = frozenset(
                part for crash in self._crashes.values() for part in crash.parts
            )

    def changed_since(self, at: float) -> Iterator[tuple[EndpointStart, Crash]]:
        """Yield the crashes of which this host has learned something since a time."""
        for start, crash in self._crashes.items():
            if crash.changed_at >= at:
                yield start, crash

    def suspects(self) -> frozenset[str]:
        """Return the parts of all crashes."""
        return self._suspects

    def is_suspect(
        self, parts: Iterable[str], quarantined: Iterable[frozenset[str]], now: float
    ) -> bool:
        """Return whether any of the parts has probably crashed endpoints.

        A single crash says little: most endpoints crash for a reason of their own, and what they
        held can be answered elsewhere.
        """
        found = [part for part in parts if part in self._suspects]
        if not found:
            return False
        groups = list(quarantined)
        unexplained = [crash for crash in self._crashes.values() if not _explains(groups, crash)]
        recent = count_moments(crash.at for crash in unexplained if now - crash.at < RECENT_S)
        least = 1 if recent >= MIN_CRASHES else MIN_SUSPECT_CRASHES
        return any(
            count_moments(crash.at for crash in unexplained if part in crash.parts) >= least
            for part in found
        )

    def count_crashes(self, group: frozenset[str]) -> int:
        """Return the number of crashes that a group of parts explains."""
        return sum(group <= crash.parts for crash in self._crashes.values())

    def find_culprits(
        self, quarantined: Iterable[frozenset[str]], now: float
    ) -> list[frozenset[str]]:
        """Return the groups of parts that crash endpoints, without those known already.

        The parts of a group were together in all crashes that they explain, so that any of them, or
        only all together, may be the cause.
        """
        groups = list(quarantined)
        unexplained = {
            start: crash for start, crash in self._crashes.items() if not _explains(groups, crash)
        }
        culprits = []
        while len(unexplained) >= MIN_CRASHES:
            explained = self._find_leader(unexplained)
            if explained is None:
                break
            starts, group = explained
            settled = count_moments(
                unexplained[start].at
                for start in starts
                if now - unexplained[start].learned_at >= SETTLE_S
            )
            if settled < MIN_CRASHES:
                break
            culprits.append(group)
            for start in starts:
                del unexplained[start]
        return culprits

    def _find_leader(
        self, crashes: dict[EndpointStart, Crash]
    ) -> tuple[frozenset[EndpointStart], frozenset[str]] | None:
        """Return the most crashes that one part explains, and all parts that explain just these.

        None if there are too few, or if another part explains nearly as many: a further crash then
        tells them apart.
        """
        starts_by_part: dict[str, set[EndpointStart]] = defaultdict(set)
        for start, crash in crashes.items():
            for part in crash.parts:
                starts_by_part[part].add(start)
        parts_by_starts: dict[frozenset[EndpointStart], set[str]] = defaultdict(set)
        for part, starts in starts_by_part.items():
            parts_by_starts[frozenset(starts)].add(part)
        moments = {
            starts: count_moments(crashes[start].at for start in starts)
            for starts in parts_by_starts
        }
        for leader in sorted(parts_by_starts, key=lambda each: (-moments[each], sorted(each))):
            if moments[leader] < MIN_CRASHES:
                break
            rivals = [each for each in parts_by_starts if each != leader and each & leader]
            lead = moments[leader] - max((moments[each] for each in rivals), default=0)
            if lead >= MIN_LEAD or moments[leader] >= CERTAIN_CRASHES:
                return leader, frozenset(parts_by_starts[leader])
        return None


def count_moments(times: Iterable[float]) -> int:
    """Return how many separate moments some crashes fall into."""
    count = 0
    began_at = float("-inf")
    for at in sorted(times):
        if at - began_at > SAME_MOMENT_S:
            count += 1
            began_at = at
    return count


def _explains(groups: Iterable[frozenset[str]], crash: Crash) -> bool:
    return any(group <= crash.parts for group in groups)
