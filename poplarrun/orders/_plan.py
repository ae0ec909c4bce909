"""Which engine of a zone holds which versions: a plan from need, room and what is held."""

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from poplarrun.contracts import VersionId

# A version gets one more copy when its copies are fuller than this.
FULL_SHARE = 0.7
# A copy counts as spare only when the others would stay below this. The gap
# between the two keeps a demand that wavers from loading and unloading in turn.
SPARE_SHARE = 0.4
# A copy stays for so long before demand alone may take its room away.
DWELL_S = 60.0
# To take the room of a version's last copy, another must have so many times its demand.
DISPLACING_FACTOR = 2.0
# Copies that one plan takes out for others; the store's rate bounds more anyway.
MAX_SWAPS = 8


@dataclass(frozen=True, slots=True)
class Need:
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
    places: float = 0.0
    importance: int = 0
    has_sessions: bool = False
    is_on_trial: bool = False

    @property
    def tier(self) -> int:
        """How much the first copy matters: 3 for sessions, 2 asked for, 1 on trial, else 0."""
        if self.has_sessions:
            return 3
        return 2 if self.places > 0.0 else int(self.is_on_trial)

    @property
    def weight(self) -> tuple[int, float, int, str]:
        """The order of need, the highest first when reversed."""
        return (self.tier, self.places, self.importance, str(self.version))


@dataclass(frozen=True, slots=True)
class EngineRoom:
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
    room: int
    places: int
    taken: frozenset[VersionId]


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

    def plan(self, needs: Sequence[Need], engines: Sequence[EngineRoom], now: float) -> Plan:
        """Return the plan; what is held stays unless its room is needed."""
        held = {(e.name, version) for e in engines for version in e.taken}
        self._since = {slot: self._since.get(slot, now) for slot in held}
        draft = _Draft(needs, engines, self._since, now)
        ranked = sorted(needs, key=lambda need: need.weight, reverse=True)
        for need in ranked:
            if not draft.copies(need.version):
                draft.place(need)
        draft.place_more(ranked)
        return draft.finish()


@dataclass
class _Draft:
    """A plan in the making."""

    needs: Sequence[Need]
    engines: Sequence[EngineRoom]
    since: Mapping[tuple[str, VersionId], float]
    now: float
    _loads: list[tuple[str, VersionId]] = field(default_factory=list)
    _swaps: int = 0

    def __post_init__(self) -> None:
        self._need = {need.version: need for need in self.needs}
        self._targets = {e.name: set(e.taken) for e in self.engines}
        self._room = {e.name: e.room for e in self.engines}
        # The engines of each version, in a fixed order.
        self._holders: dict[VersionId, dict[str, None]] = {}
        for name, versions in self._targets.items():
            for version in versions:
                self._holders.setdefault(version, {})[name] = None
        slots = sum(self._room.values())
        self._places_per_copy = sum(e.places for e in self.engines) / slots if slots else 1.0
        self._free = [(-free, name) for name in self._targets if (free := self._free_at(name)) > 0]
        heapq.heapify(self._free)
        for name in self._targets:
            self._trim(name)

    def copies(self, version: VersionId) -> int:
        """Return how many engines are to hold a version."""
        return len(self._holders.get(version, ()))

    def place_more(self, ranked: Iterable[Need]) -> None:
        """Place the further copies, the fullest version's next one first."""
        queue = [(-self._fullness(n), str(n.version), n) for n in ranked if self._wants_more(n)]
        heapq.heapify(queue)
        while queue:
            _, name, need = heapq.heappop(queue)
            if self.place(need) and self._wants_more(need):
                heapq.heappush(queue, (-self._fullness(need), name, need))

    def place(self, need: Need) -> bool:
        """Give a version one more copy, if there is room or it may take another's."""
        engine = self._find_free(need.version) or self._make_free(need)
        if engine is None:
            self._make_way(need)
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

    def _free_at(self, engine: str) -> int:
        return self._room[engine] - len(self._targets[engine])

    def _trim(self, engine: str) -> None:
        """Take the least needed out of an engine that holds more than its room."""
        while self._free_at(engine) < 0:
            self._take_out(engine, min(self._targets[engine], key=self._worth))

    def _wants_more(self, need: Need) -> bool:
        wanted = math.ceil(need.places / (self._places_per_copy * FULL_SHARE))
        return 0 < self.copies(need.version) < min(wanted, len(self.engines))

    def _fullness(self, need: Need) -> float:
        return need.places / max(1, self.copies(need.version))

    def _find_free(self, version: VersionId) -> str | None:
        """Return the engine with the most free room that lacks a version."""
        passed: list[tuple[int, str]] = []
        found = None
        while self._free and found is None:
            entry = heapq.heappop(self._free)
            name = entry[1]
            if self._free_at(name) <= 0:
                continue
            if version in self._targets[name]:
                passed.append(entry)
                continue
            found = name
            passed.append((-(self._free_at(name) - 1), name))
        for entry in passed:
            heapq.heappush(self._free, entry)
        return found

    def _make_free(self, need: Need) -> str | None:
        """Take out the copy that is missed least, if any may go for this need."""
        if self._swaps >= MAX_SWAPS:
            return None
        # By version first: how much a copy is missed is the same wherever it is.
        for version in sorted(self._holders, key=self._worth):
            engine = self._find_goable(version, need)
            if engine is not None:
                self._swaps += 1
                self._take_out(engine, version)
                return engine
        return None

    def _find_goable(self, version: VersionId, need: Need) -> str | None:
        """Return an engine whose copy of a version may go for a need."""
        if not self._holders[version] or not self._may_go(version, need):
            return None
        # A spare copy goes at once for a first one; all else stays for a while.
        stays = version in self._need and (
            self.copies(need.version) > 0 or self.copies(version) <= 1
        )
        for name in self._holders[version]:
            if need.version in self._targets[name]:
                continue
            if not stays or self.now - self.since.get((name, version), self.now) >= DWELL_S:
                return name
        return None

    def _make_way(self, need: Need) -> None:
        """Begin to move a copy into room that is only free beside the needed version.

        The copy is loaded there first; then the old one is spare, and goes.
        """
        free = [name for name in self._targets if self._free_at(name) > 0]
        if not free or self._swaps >= MAX_SWAPS:
            return
        target = min(free)
        for version in sorted(self._holders, key=self._worth):
            elsewhere = any(need.version not in self._targets[n] for n in self._holders[version])
            if elsewhere and version not in self._targets[target]:
                self._swaps += 1
                self._add(target, version)
                return

    def _take_out(self, engine: str, version: VersionId) -> None:
        self._targets[engine].discard(version)
        del self._holders[version][engine]
        if (engine, version) in self._loads:
            self._loads.remove((engine, version))

    def _worth(self, version: VersionId) -> tuple[bool, bool, int, float, VersionId]:
        """Return how much a copy is missed when it goes."""
        need = self._need.get(version)
        if need is None:
            return (False, False, 0, 0.0, version)
        is_last = self.copies(version) <= 1
        return (True, is_last, need.tier, self._fullness(need), version)

    def _may_go(self, version: VersionId, for_need: Need) -> bool:
        """Tell whether one copy of a version may go for a need, the time left aside."""
        need = self._need.get(version)
        if need is None:
            return True
        left = self.copies(version) - 1
        is_first = self.copies(for_need.version) == 0
        if left >= 1:
            return is_first or need.places <= left * self._places_per_copy * SPARE_SHARE
        # The last copy: never from sessions, and only for a first copy that is needed more.
        if need.has_sessions or not is_first:
            return False
        if for_need.tier != need.tier:
            return for_need.tier > need.tier
        return need.places > 0.0 and for_need.places > DISPLACING_FACTOR * need.places
