"""Which engine of a zone holds which versions: a plan from need, room and what is held."""

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from poplarrun.contracts import VersionId

# A version gets one more copy when its copies are fuller than this.
FULL_FRACTION = 0.7
# A copy counts as spare only when the others would stay below this. The gap
# between the two keeps a demand that wavers from loading and unloading in turn.
SPARE_FRACTION = 0.4
# A copy stays for so long before demand alone may take its room away.
MIN_RESIDENCE_TIME_S = 60.0
# To take the room of a version's last copy, another must have so many times its demand.
DISPLACING_FACTOR = 2.0
# Copies that one plan takes out for others; the store's rate bounds more anyway.
MAX_SWAPS = 8


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """What a zone asks of one version.

    Attributes
    ----------
    places : float
        Requests open at once, in the zone.
    importance : int
        The highest of their classes.
    has_sessions : bool
        Whether an open session keeps the version.
    is_on_trial : bool
        Whether a roll-out of it is under way.
    """

    version: VersionId
    concurrent_requests: float = 0.0
    importance: int = 0
    has_sessions: bool = False
    is_on_trial: bool = False

    @property
    def tier(self) -> int:
        """How much the first copy matters: 3 for sessions, 2 asked for, 1 on trial, else 0."""
        if self.has_sessions:
            return 3
        return 2 if self.concurrent_requests > 0.0 else int(self.is_on_trial)

    @property
    def priority(self) -> tuple[int, float, int, str]:
        """The order of need, the highest first when reversed."""
        return (self.tier, self.concurrent_requests, self.importance, str(self.version))


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """An engine that takes orders.

    Attributes
    ----------
    room : int
        Versions that fit.
    places : int
        Requests in its batch.
    taken : frozenset of VersionId
        Versions that it holds or loads, or whose weights were handed to it.
    """

    name: str
    max_versions: int
    batch_slots: int
    occupied_by: frozenset[VersionId]


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole plan of a zone.

    Attributes
    ----------
    targets : mapping of engine to set of VersionId
        What each engine is to hold in the end.
    loads : tuple of (engine, VersionId)
        What is to be loaded, in order of need.
    """

    targets: Mapping[str, frozenset[VersionId]]
    loads: tuple[tuple[str, VersionId], ...]


class Planner:
    """Plans for one zone; remembers only since when copies are there."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, VersionId], float] = {}

    def plan(
        self, needs: Sequence[VersionNeed], engines: Sequence[EngineCapacity], now: float
    ) -> Plan:
        """Return the plan; what is held stays unless its room is needed."""
        held = {(e.name, version) for e in engines for version in e.occupied_by}
        self._since = {slot: self._since.get(slot, now) for slot in held}
        draft = _Draft(needs, engines, self._since, now)
        ranked = sorted(needs, key=lambda need: need.priority, reverse=True)
        for need in ranked:
            if not draft.copies(need.version):
                draft.place(need)
        draft.place_additional(ranked)
        return draft.finish()


@dataclass
class _Draft:
    """A plan in the making."""

    needs: Sequence[VersionNeed]
    engines: Sequence[EngineCapacity]
    since: Mapping[tuple[str, VersionId], float]
    now: float
    _loads: list[tuple[str, VersionId]] = field(default_factory=list)
    _evictions: int = 0

    def __post_init__(self) -> None:
        self._need_of = {need.version: need for need in self.needs}
        self._targets = {e.name: set(e.occupied_by) for e in self.engines}
        self._room = {e.name: e.max_versions for e in self.engines}
        # The engines of each version, in a fixed order.
        self._holders: dict[VersionId, dict[str, None]] = {}
        for name, versions in self._targets.items():
            for version in versions:
                self._holders.setdefault(version, {})[name] = None
        slots = sum(self._room.values())
        self._slots_per_copy = sum(e.batch_slots for e in self.engines) / slots if slots else 1.0
        self._free = [
            (-free, name) for name in self._targets if (free := self._count_free(name)) > 0
        ]
        heapq.heapify(self._free)
        for name in self._targets:
            self._trim(name)

    def copies(self, version: VersionId) -> int:
        """Return how many engines are to hold a version."""
        return len(self._holders.get(version, ()))

    def place_additional(self, ranked: Iterable[VersionNeed]) -> None:
        """Place the further copies, the fullest version's next one first."""
        queue = [
            (-self._load_per_copy(n), str(n.version), n) for n in ranked if self._wants_more(n)
        ]
        heapq.heapify(queue)
        while queue:
            _, name, need = heapq.heappop(queue)
            if self.place(need) and self._wants_more(need):
                heapq.heappush(queue, (-self._load_per_copy(need), name, need))

    def place(self, need: VersionNeed) -> bool:
        """Give a version one more copy, if there is room or it may take another's."""
        engine = self._find_free(need.version) or self._evict_for(need)
        if engine is None:
            self._begin_move(need)
            return False
        self._add(engine, need.version)
        return True

    def _add(self, engine: str, version: VersionId) -> None:
        self._targets[engine].add(version)
        self._holders.setdefault(version, {})[engine] = None
        self._loads.append((engine, version))

    def finish(self) -> Plan:
        """Return the plan."""
        targets = {name: frozenset(versions) for name, versions in self._targets.items()}
        return Plan(targets, tuple(self._loads))

    def _count_free(self, engine: str) -> int:
        return self._room[engine] - len(self._targets[engine])

    def _trim(self, engine: str) -> None:
        """Take the least needed out of an engine that holds more than its room."""
        while self._count_free(engine) < 0:
            self._evict(engine, min(self._targets[engine], key=self._eviction_cost))

    def _wants_more(self, need: VersionNeed) -> bool:
        wanted = math.ceil(need.concurrent_requests / (self._slots_per_copy * FULL_FRACTION))
        return 0 < self.copies(need.version) < min(wanted, len(self.engines))

    def _load_per_copy(self, need: VersionNeed) -> float:
        return need.concurrent_requests / max(1, self.copies(need.version))

    def _find_free(self, version: VersionId) -> str | None:
        """Return the engine with the most free room that lacks a version."""
        passed: list[tuple[int, str]] = []
        found = None
        while self._free and found is None:
            entry = heapq.heappop(self._free)
            name = entry[1]
            if self._count_free(name) <= 0:
                continue
            if version in self._targets[name]:
                passed.append(entry)
                continue
            found = name
            passed.append((-(self._count_free(name) - 1), name))
        for entry in passed:
            heapq.heappush(self._free, entry)
        return found

    def _evict_for(self, need: VersionNeed) -> str | None:
        """Take out the copy that is missed least, if any may go for this need."""
        if self._evictions >= MAX_SWAPS:
            return None
        # By version first: how much a copy is missed is the same wherever it is.
        for version in sorted(self._holders, key=self._eviction_cost):
            engine = self._find_evictable(version, need)
            if engine is not None:
                self._evictions += 1
                self._evict(engine, version)
                return engine
        return None

    def _find_evictable(self, version: VersionId, need: VersionNeed) -> str | None:
        """Return an engine whose copy of a version may go for a need."""
        if not self._holders[version] or not self._may_evict(version, need):
            return None
        # A spare copy goes at once for a first one; all else stays for a while.
        stays = version in self._need_of and (
            self.copies(need.version) > 0 or self.copies(version) <= 1
        )
        for name in self._holders[version]:
            if need.version in self._targets[name]:
                continue
            if (
                not stays
                or self.now - self.since.get((name, version), self.now) >= MIN_RESIDENCE_TIME_S
            ):
                return name
        return None

    def _begin_move(self, need: VersionNeed) -> None:
        """Begin to move a copy into room that is only free beside the needed version.

        The copy is loaded there first; then the old one is spare, and goes.
        """
        free = [name for name in self._targets if self._count_free(name) > 0]
        if not free or self._evictions >= MAX_SWAPS:
            return
        target = min(free)
        for version in sorted(self._holders, key=self._eviction_cost):
            elsewhere = any(need.version not in self._targets[n] for n in self._holders[version])
            if elsewhere and version not in self._targets[target]:
                self._evictions += 1
                self._add(target, version)
                return

    def _evict(self, engine: str, version: VersionId) -> None:
        self._targets[engine].discard(version)
        del self._holders[version][engine]
        if (engine, version) in self._loads:
            self._loads.remove((engine, version))

    def _eviction_cost(self, version: VersionId) -> tuple[bool, bool, int, float, VersionId]:
        """Return how much a copy is missed when it goes."""
        need = self._need_of.get(version)
        if need is None:
            return (False, False, 0, 0.0, version)
        is_last = self.copies(version) <= 1
        return (True, is_last, need.tier, self._load_per_copy(need), version)

    def _may_evict(self, version: VersionId, for_need: VersionNeed) -> bool:
        """Tell whether one copy of a version may go for a need, the time left aside."""
        need = self._need_of.get(version)
        if need is None:
            return True
        left = self.copies(version) - 1
        is_first = self.copies(for_need.version) == 0
        if left >= 1:
            return (
                is_first or need.concurrent_requests <= left * self._slots_per_copy * SPARE_FRACTION
            )
        # The last copy: never from sessions, and only for a first copy that is needed more.
        if need.has_sessions or not is_first:
            return False
        if for_need.tier != need.tier:
            return for_need.tier > need.tier
        return (
            need.concurrent_requests > 0.0
            and for_need.concurrent_requests > DISPLACING_FACTOR * need.concurrent_requests
        )
