"""Plan of the versions on a zone's engines, from the needs, the room and what is loaded."""

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from poplarrun.contracts import VersionId

# A version gets one more copy if its copies are loaded more than this.
FULL_FRACTION = 0.7
# A copy is spare only if the others would be loaded less than this. The gap between the two bounds
# keeps fluctuating demand from loading and unloading a version repeatedly.
SPARE_FRACTION = 0.4
# A copy stays at least this long before it can be evicted for demand alone.
MIN_RESIDENCE_TIME_S = 60.0
# A version's last copy is evicted only for a version with this many times its demand.
DISPLACING_FACTOR = 2.0
# Evictions in one plan. More would not help, because the weight store limits the rate of loads.
MAX_EVICTIONS = 8


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """A zone's need for one version.

    Attributes
    ----------
    concurrent_requests : float
        Requests that are open at the same time in the zone.
    importance : int
        The highest importance of their classes.
    has_sessions : bool
        Whether an open session is pinned to the version.
    is_on_trial : bool
        Whether a roll-out of the version is in progress.
    """

    version: VersionId
    concurrent_requests: float = 0.0
    importance: int = 0
    has_sessions: bool = False
    is_on_trial: bool = False

    @property
    def tier(self) -> int:
        """Priority of the first copy: 3 with sessions, 2 with requests, 1 on trial, else 0."""
        if self.has_sessions:
            return 3
        return 2 if self.concurrent_requests > 0.0 else int(self.is_on_trial)

    @property
    def priority(self) -> tuple[int, float, int, str]:
        """Sort key of needs; the highest is served first."""
        return (self.tier, self.concurrent_requests, self.importance, str(self.version))


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity of an engine that takes orders.

    Attributes
    ----------
    max_versions : int
        Versions that the engine has room for.
    batch_slots : int
        Requests in its batch.
    occupied_by : frozenset of VersionId
        Versions that are loaded or loading, or whose weights were given to the engine.
    """

    name: str
    max_versions: int
    batch_slots: int
    occupied_by: frozenset[VersionId]


@dataclass(frozen=True, slots=True)
class Plan:
    """A complete plan of a zone.

    Attributes
    ----------
    targets : mapping of engine to set of VersionId
        Versions that each engine is to hold in the end.
    loads : tuple of (engine, VersionId)
        Versions to load, most needed first.
    """

    targets: Mapping[str, frozenset[VersionId]]
    loads: tuple[tuple[str, VersionId], ...]


class Planner:
    """Plans for one zone; its only state is how long each copy has existed."""

    def __init__(self) -> None:
        self._loaded_since: dict[tuple[str, VersionId], float] = {}

    def plan(
        self, needs: Sequence[VersionNeed], engines: Sequence[EngineCapacity], now: float
    ) -> Plan:
        """Return the plan; loaded versions stay unless their room is needed."""
        occupied = {(e.name, version) for e in engines for version in e.occupied_by}
        self._loaded_since = {slot: self._loaded_since.get(slot, now) for slot in occupied}
        draft = _Draft(needs, engines, self._loaded_since, now)
        ranked = sorted(needs, key=lambda need: need.priority, reverse=True)
        for need in ranked:
            if not draft.copies(need.version):
                draft.place(need)
        draft.place_additional(ranked)
        return draft.finish()


@dataclass
class _Draft:
    """A plan under construction."""

    needs: Sequence[VersionNeed]
    engines: Sequence[EngineCapacity]
    loaded_since: Mapping[tuple[str, VersionId], float]
    now: float
    _loads: list[tuple[str, VersionId]] = field(default_factory=list)
    _evictions: int = 0

    def __post_init__(self) -> None:
        self._need_of = {need.version: need for need in self.needs}
        self._targets = {e.name: set(e.occupied_by) for e in self.engines}
        self._room = {e.name: e.max_versions for e in self.engines}
        # The engines of each version, in a deterministic order.
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
        """Place additional copies, always for the version with the highest load per copy."""
        queue = [
            (-self._load_per_copy(n), str(n.version), n) for n in ranked if self._wants_more(n)
        ]
        heapq.heapify(queue)
        while queue:
            _, name, need = heapq.heappop(queue)
            if self.place(need) and self._wants_more(need):
                heapq.heappush(queue, (-self._load_per_copy(need), name, need))

    def place(self, need: VersionNeed) -> bool:
        """Add a copy of a version, evicting another if necessary; tell whether it was possible."""
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
        """Evict the least needed versions of an engine that holds more than it has room for."""
        while self._count_free(engine) < 0:
            self._evict(engine, min(self._targets[engine], key=self._eviction_cost))

    def _wants_more(self, need: VersionNeed) -> bool:
        wanted = math.ceil(need.concurrent_requests / (self._slots_per_copy * FULL_FRACTION))
        return 0 < self.copies(need.version) < min(wanted, len(self.engines))

    def _load_per_copy(self, need: VersionNeed) -> float:
        return need.concurrent_requests / max(1, self.copies(need.version))

    def _find_free(self, version: VersionId) -> str | None:
        """Return the engine with the most free room that doesn't hold a version."""
        skipped: list[tuple[int, str]] = []
        found = None
        while self._free and found is None:
            entry = heapq.heappop(self._free)
            name = entry[1]
            if self._count_free(name) <= 0:
                continue
            if version in self._targets[name]:
                skipped.append(entry)
                continue
            found = name
            skipped.append((-(self._count_free(name) - 1), name))
        for entry in skipped:
            heapq.heappush(self._free, entry)
        return found

    def _evict_for(self, need: VersionNeed) -> str | None:
        """Evict the copy with the lowest cost that a need justifies; return its engine."""
        if self._evictions >= MAX_EVICTIONS:
            return None
        # The cost of an eviction is the same for all copies of a version, so versions are sorted
        # instead of copies.
        for version in sorted(self._holders, key=self._eviction_cost):
            engine = self._find_evictable(version, need)
            if engine is not None:
                self._evictions += 1
                self._evict(engine, version)
                return engine
        return None

    def _find_evictable(self, version: VersionId, need: VersionNeed) -> str | None:
        """Return an engine whose copy of a version may be evicted for a need."""
        if not self._holders[version] or not self._may_evict(version, need):
            return None
        # A spare copy may be evicted at once for a first copy; in all other cases the minimum
        # residence time applies.
        has_min_residence = version in self._need_of and (
            self.copies(need.version) > 0 or self.copies(version) <= 1
        )
        for name in self._holders[version]:
            if need.version in self._targets[name]:
                continue
            if (
                not has_min_residence
                or self.now - self.loaded_since.get((name, version), self.now)
                >= MIN_RESIDENCE_TIME_S
            ):
                return name
        return None

    def _begin_move(self, need: VersionNeed) -> None:
        """Start to move a copy into free room that the needed version can't use.

        That room is at an engine that holds the needed version already. The other version is loaded
        there first; then its old copy is spare and can be evicted.
        """
        free = [name for name in self._targets if self._count_free(name) > 0]
        if not free or self._evictions >= MAX_EVICTIONS:
            return
        target = min(free)
        for version in sorted(self._holders, key=self._eviction_cost):
            is_elsewhere = any(need.version not in self._targets[n] for n in self._holders[version])
            if is_elsewhere and version not in self._targets[target]:
                self._evictions += 1
                self._add(target, version)
                return

    def _evict(self, engine: str, version: VersionId) -> None:
        self._targets[engine].discard(version)
        del self._holders[version][engine]
        if (engine, version) in self._loads:
            self._loads.remove((engine, version))

    def _eviction_cost(self, version: VersionId) -> tuple[bool, bool, int, float, VersionId]:
        """Return the sort key of the cost of evicting a copy of a version."""
        need = self._need_of.get(version)
        if need is None:
            return (False, False, 0, 0.0, version)
        is_last = self.copies(version) <= 1
        return (True, is_last, need.tier, self._load_per_copy(need), version)

    def _may_evict(self, version: VersionId, for_need: VersionNeed) -> bool:
        """Tell whether a need justifies evicting a copy, apart from the minimum residence time."""
        need = self._need_of.get(version)
        if need is None:
            return True
        remaining = self.copies(version) - 1
        is_first = self.copies(for_need.version) == 0
        if remaining >= 1:
            return (
                is_first
                or need.concurrent_requests <= remaining * self._slots_per_copy * SPARE_FRACTION
            )
        # The last copy is never evicted while it has sessions, and only for a first copy that is
        # needed more.
        if need.has_sessions or not is_first:
            return False
        if for_need.tier != need.tier:
            return for_need.tier > need.tier
        return (
            need.concurrent_requests > 0.0
            and for_need.concurrent_requests > DISPLACING_FACTOR * need.concurrent_requests
        )
