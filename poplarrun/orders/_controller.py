"""The sender of a zone's orders: compares what engines hold with the plan, and orders the rest."""

import math
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.clients import EngineModels, ModelsOrder
from poplarrun.contracts import VersionId
from poplarrun.orders._plan import EngineCapacity, Plan, Planner, VersionNeed
from poplarrun.orders._summaries import DemandSummary, DrainRevision, OrdersSummary

# Each engine is looked at this often, whatever its load reports say. A late
# order that an engine took is found and undone within this, a round and two timeouts.
ENGINE_POLL_INTERVAL_S = 5.0
# An engine that did not answer for so long counts for nothing: its versions go elsewhere.
ENGINE_GONE_TIMEOUT_S = 15.0
# Versions of a zone that are on their way at the same time.
MAX_CONCURRENT_LOADS = 4
INITIAL_BACKOFF_DELAY_S = 1.0
MAX_BACKOFF_DELAY_S = 30.0
JITTER_FRACTION = 0.2
# Before any load was measured.
DEFAULT_LOAD_TIME_S = 10.0
LOAD_TIME_SMOOTHING_FACTOR = 0.3


@dataclass(frozen=True, slots=True)
class FetchWeights:
    """The store is to hand a version's weights to an engine."""

    engine: str
    version: VersionId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """An engine is to get an order."""

    engine: str
    order: ModelsOrder


@dataclass
class _EngineState:
    """An engine as it was last looked at."""

    models: EngineModels
    answered_at: float
    loaded: frozenset[VersionId]
    loading: frozenset[VersionId]

    def differs_from(self, reported: frozenset[VersionId]) -> bool:
        return bool(self.loading) or self.loaded != reported

    @property
    def resident(self) -> frozenset[VersionId]:
        return self.loaded | self.loading


@dataclass
class OrderController:
    """Decides on the orders of one zone; every call has the time passed in.

    What engines report is compared with the plan as a whole, round for round,
    so a successor needs nothing of its predecessor's state.

    Attributes
    ----------
    draining : dict of str to set of VersionId
        Versions that get no new work at an engine, by engine.
    plan : Plan
        The last plan.
    """

    rng: random.Random
    planner: Planner = field(default_factory=Planner)
    draining: dict[str, frozenset[VersionId]] = field(default_factory=dict)
    plan: Plan = field(default_factory=lambda: Plan({}, ()))

    def __post_init__(self) -> None:
        self._engines: dict[str, _EngineState] = {}
        self._polled_at: dict[str, float] = {}
        self._fetching: dict[tuple[str, VersionId], float] = {}
        self._granted: dict[tuple[str, VersionId], float] = {}
        self._revision = DrainRevision()
        self._draining_since: dict[tuple[str, VersionId], DrainRevision] = {}
        self._backoff_until = -math.inf
        self._backoff_s = INITIAL_BACKOFF_DELAY_S
        self._load_time_s = DEFAULT_LOAD_TIME_S
        self._unplaced: list[str] = []

    @property
    def engines(self) -> list[str]:
        """Engines that take orders."""
        return list(self._engines)

    def list_engines_to_poll(
        self, reported: Mapping[str, frozenset[VersionId]], now: float
    ) -> list[str]:
        """Return the engines to look at now.

        Parameters
        ----------
        reported : mapping of engine to set of VersionId
            What their load reports say.
        """
        pending = {engine for engine, version in self._list_pending()}
        restless = pending | self.draining.keys()
        due = [
            name
            for name, versions in reported.items()
            if now - self._polled_at.get(name, -math.inf) >= ENGINE_POLL_INTERVAL_S
            or (
                name in self._engines
                and (name in restless or self._engines[name].differs_from(versions))
            )
        ]
        # Those longest unseen first: where more are due than a round looks at, none starves.
        due.sort(key=lambda name: self._polled_at.get(name, -math.inf))
        return due

    def has_polled(self, engines: Iterable[str]) -> bool:
        """Tell whether each engine was looked at, whether or not it answered.

        A holder that planned before would load what engines hold that it has
        not looked at yet.
        """
        return all(engine in self._polled_at for engine in engines)

    def apply_models(self, engine: str, models: EngineModels, now: float) -> None:
        """Take in what an engine holds."""
        self._polled_at[engine] = now
        known = _EngineState(models, now, _parse(models.loaded), _parse(models.loading))
        before = self._engines.get(engine)
        self._engines[engine] = known
        if models.fence < 0 and before is not None and before.models.fence >= 0:
            # It started anew and lost what was handed to it.
            self._granted = {s: at for s, at in self._granted.items() if s[0] != engine}
        for version in known.loaded - (before.loaded if before else known.loaded):
            granted_at = self._granted.get((engine, version))
            if granted_at is not None:
                self._load_time_s += LOAD_TIME_SMOOTHING_FACTOR * (
                    now - granted_at - self._load_time_s
                )

    def record_accepted_order(self, engine: str, order: ModelsOrder) -> None:
        """Note that an engine took an order, so that it is not sent again meanwhile."""
        known = self._engines.get(engine)
        if known is not None:
            known.models = msgspec.structs.replace(
                known.models, wanted=order.versions, fence=order.fence
            )

    def record_no_answer(self, engine: str, now: float) -> None:
        """Note that an engine did not answer."""
        self._polled_at[engine] = now
        known = self._engines.get(engine)
        if known is not None and now - known.answered_at > ENGINE_GONE_TIMEOUT_S:
            self.forget(engine)
            self._polled_at[engine] = now

    def forget(self, engine: str) -> None:
        """Drop an engine that is gone."""
        self._engines.pop(engine, None)
        self._polled_at.pop(engine, None)
        self._granted = {s: at for s, at in self._granted.items() if s[0] != engine}

    def record_weights_answer(
        self, engine: str, version: VersionId, refusal: str, now: float
    ) -> None:
        """Take in the store's answer."""
        self._fetching.pop((engine, version), None)
        if not refusal:
            self._granted[(engine, version)] = now
            self._backoff_s, self._backoff_until = INITIAL_BACKOFF_DELAY_S, -math.inf
            return
        jitter = 1.0 + JITTER_FRACTION * self.rng.random()
        self._backoff_until = max(self._backoff_until, now + self._backoff_s * jitter)
        self._backoff_s = min(MAX_BACKOFF_DELAY_S, 2.0 * self._backoff_s)

    def reset(self) -> None:
        """Forget everything: this host sends no orders now.

        The stamp goes on: a lease may come back under its old number, and hosts
        that hold an older list must not seem to hold the new one.
        """
        stamp = self._revision
        self.__post_init__()
        self._revision = stamp
        self.planner, self.draining, self.plan = Planner(), {}, Plan({}, ())

    def decide(
        self,
        fence: int,
        needs: Sequence[VersionNeed],
        places: Mapping[str, int],
        demand: Sequence[DemandSummary],
        zone: str,
        now: float,
    ) -> list[FetchWeights | SendOrder]:
        """Plan, and return what is to be done now.

        Parameters
        ----------
        fence : int
            Fencing number of the lease.
        places : mapping of engine to int
            Requests in each engine's batch; engines not in it get no order.
        demand : sequence of DemandSummary
            One for each host of the zone and one for each other zone that is
            heard: all of them must have stopped using what is to be unloaded.
        """
        needed = frozenset(need.version for need in needs)
        engines = [
            EngineCapacity(name, known.models.room, places[name], taken)
            for name, known, taken in self._iterate_occupied(needed)
            if name in places
        ]
        self.plan = self.planner.plan(needs, engines, now)
        placed = frozenset().union(*self.plan.targets.values())
        self._unplaced = sorted(map(str, needed - placed))
        self._granted = {s: at for s, at in self._granted.items() if self._is_target(s)}
        self._update_draining(fence)
        actions: list[FetchWeights | SendOrder] = []
        for engine in engines:
            order = self._make_order(engine.name, fence, demand, zone)
            if order is not None:
                actions.append(SendOrder(engine.name, order))
        return [*actions, *self._choose_fetches(now)]

    def summarize(self) -> OrdersSummary:
        """Return what all hosts must know."""
        draining = {e: sorted(map(str, vs)) for e, vs in sorted(self.draining.items())}
        return OrdersSummary(self._revision, draining, self._estimate_load_times(), self._unplaced)

    def _iterate_occupied(
        self, needed: frozenset[VersionId]
    ) -> Iterator[tuple[str, _EngineState, frozenset[VersionId]]]:
        """Go through the engines with the versions that their room is taken by."""
        handed: dict[str, set[VersionId]] = {}
        for name, version in (*self._granted, *self._fetching):
            handed.setdefault(name, set()).add(version)
        for name, known in self._engines.items():
            # A load that nobody needs, as of a late order, is not carried on.
            wanted = known.loaded | known.loading & needed | handed.get(name, set())
            # What drains is on its way out: its room counts as free, and stays planned so.
            yield name, known, wanted - self.draining.get(name, frozenset())

    def _is_target(self, slot: tuple[str, VersionId]) -> bool:
        return slot[1] in self.plan.targets.get(slot[0], ())

    def _list_pending(self) -> list[tuple[str, VersionId]]:
        """Return what was handed to engines and is not loaded yet."""
        return [
            (engine, version)
            for engine, version in self._granted
            if engine in self._engines and version not in self._engines[engine].loaded
        ]

    def _update_draining(self, fence: int) -> None:
        """Drain what engines hold beyond the plan."""
        draining: dict[str, frozenset[VersionId]] = {}
        for name, target in self.plan.targets.items():
            extra = self._engines[name].resident - target
            if extra:
                draining[name] = extra
        if draining != self.draining or fence != self._revision.fence:
            self._revision = DrainRevision(fence, self._revision.number + 1)
        self.draining = draining
        slots = {(name, version) for name, extra in draining.items() for version in extra}
        since = self._draining_since
        self._draining_since = {slot: since.get(slot, self._revision) for slot in slots}

    def _is_drained(
        self, name: str, version: VersionId, demand: Sequence[DemandSummary], zone: str
    ) -> bool:
        """Tell whether no host sends a version's work to an engine, nor has any open there."""
        since = self._draining_since[(name, version)]
        return all(
            summary.applied_revisions.get(zone, DrainRevision()) >= since
            and not summary.open_requests.get(name, {}).get(str(version))
            for summary in demand
        )

    def _make_order(
        self, name: str, fence: int, demand: Sequence[DemandSummary], zone: str
    ) -> ModelsOrder | None:
        """Return the order that an engine needs; None when it is as it should be.

        The engine tells which order it follows. One that follows another, such
        as a late one of a former holder, gets this one again.
        """
        known = self._engines[name]
        target = self.plan.targets[name]
        kept = {v for v in self.draining.get(name, ()) if v in known.loaded}
        kept = {version for version in kept if not self._is_drained(name, version, demand, zone)}
        ready = {v for v in target if v in known.resident or (name, v) in self._granted}
        # What is ready waits until the room of what drains is free.
        room = known.models.room - len(kept)
        ready_now = sorted(ready, key=lambda v: (v not in known.resident, str(v)))[: max(0, room)]
        versions = sorted(str(version) for version in {*kept, *ready_now})
        if versions == known.models.wanted and known.models.fence == fence:
            return None
        return ModelsOrder(fence, versions)

    def _choose_fetches(self, now: float) -> list[FetchWeights]:
        """Return the loads to begin, in order of need, a bounded number at a time."""
        count = MAX_CONCURRENT_LOADS - len(self._fetching) - len(self._list_pending())
        if now < self._backoff_until or count <= 0:
            return []
        if self._backoff_s > INITIAL_BACKOFF_DELAY_S:
            # The store refused last: one tries it for all.
            count = min(count, 1 - len(self._fetching))
        # A version that was to go and is wanted again is still there.
        missing = [
            slot for slot in self.plan.loads if slot[1] not in self._engines[slot[0]].resident
        ]
        chosen = [FetchWeights(*slot) for slot in missing[: max(0, count)]]
        self._fetching.update({(f.engine, f.version): now for f in chosen})
        return chosen

    def _estimate_load_times(self) -> dict[str, float]:
        loaded = {version for known in self._engines.values() for version in known.loaded}
        coming: dict[str, float] = {}
        begun = [version for _, version in (*self._list_pending(), *self._fetching)]
        waiting = [version for _, version in self.plan.loads if version not in begun]
        for place, version in enumerate((*begun, *waiting)):
            if version not in loaded:
                rounds = 1 + max(0, place - len(begun) + 1) / MAX_CONCURRENT_LOADS
                coming.setdefault(
                    str(version), math.ceil(rounds * self._load_time_s + self._backoff_s)
                )
        return coming


def _parse(versions: Iterable[str]) -> frozenset[VersionId]:
    return frozenset(VersionId.parse(version) for version in versions)
