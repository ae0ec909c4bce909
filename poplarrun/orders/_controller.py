"""Controller of a zone's engines: reconciles what they hold with the plan by sending orders."""

import math
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from poplarrun.clients import EngineModels, ModelsOrder
from poplarrun.contracts import VersionId
from poplarrun.orders._plan import EngineCapacity, Plan, Planner, VersionNeed
from poplarrun.orders._summaries import DemandSummary, DrainRevision, OrdersSummary

# Interval at which each engine is polled, whatever its load reports say. An outdated order that an
# engine accepted is found and reverted within this, one round and two timeouts.
ENGINE_POLL_INTERVAL_S = 5.0
# An engine that has not answered for this long is dropped, and its versions are placed elsewhere.
ENGINE_GONE_TIMEOUT_S = 15.0
# Bound on the versions of a zone that are being fetched or loaded at the same time.
MAX_CONCURRENT_LOADS = 4
INITIAL_BACKOFF_DELAY_S = 1.0
MAX_BACKOFF_DELAY_S = 30.0
JITTER_FRACTION = 0.2
# Assumed load time before any was measured.
DEFAULT_LOAD_TIME_S = 10.0
LOAD_TIME_SMOOTHING_FACTOR = 0.3


@dataclass(frozen=True, slots=True)
class FetchWeights:
    """Action: ask the weight store to give a version's weights to an engine."""

    engine: str
    version: VersionId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Action: send an order to an engine."""

    engine: str
    order: ModelsOrder


@dataclass
class _EngineState:
    """Result of the last poll of an engine."""

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
    """Decides on the orders of one zone; every call gets the current time as an argument.

    In each round the complete plan is compared with what the engines report, so a new lease holder
    needs no state of its predecessor.

    Attributes
    ----------
    draining : dict of str to set of VersionId
        Versions that get no new requests at an engine, by engine.
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
        """Return the engines to poll now, the least recently polled first.

        Parameters
        ----------
        reported : mapping of engine to set of VersionId
            Loaded versions by the engines' load reports.
        """
        pending = {engine for engine, version in self._list_pending()}
        changing = pending | self.draining.keys()
        due = [
            name
            for name, versions in reported.items()
            if now - self._polled_at.get(name, -math.inf) >= ENGINE_POLL_INTERVAL_S
            or (
                name in self._engines
                and (name in changing or self._engines[name].differs_from(versions))
            )
        ]
        # Least recently polled first: if more are due than are polled in a round, none starves.
        due.sort(key=lambda name: self._polled_at.get(name, -math.inf))
        return due

    def has_polled(self, engines: Iterable[str]) -> bool:
        """Tell whether each engine was polled, whether or not it answered.

        Planning before that would load versions that engines not polled yet already hold.
        """
        return all(engine in self._polled_at for engine in engines)

    def apply_models(self, engine: str, models: EngineModels, now: float) -> None:
        """Apply an engine's answer to a poll."""
        self._polled_at[engine] = now
        state = _EngineState(models, now, _parse(models.loaded), _parse(models.loading))
        before = self._engines.get(engine)
        self._engines[engine] = state
        if models.fence < 0 and before is not None and before.models.fence >= 0:
            # The engine restarted and lost the weights that it had been given.
            self._granted = {s: at for s, at in self._granted.items() if s[0] != engine}
        for version in state.loaded - (before.loaded if before else state.loaded):
            granted_at = self._granted.get((engine, version))
            if granted_at is not None:
                self._load_time_s += LOAD_TIME_SMOOTHING_FACTOR * (
                    now - granted_at - self._load_time_s
                )

    def record_accepted_order(self, engine: str, order: ModelsOrder) -> None:
        """Record that an engine accepted an order, so that it isn't sent again at once."""
        state = self._engines.get(engine)
        if state is not None:
            state.models = msgspec.structs.replace(
                state.models, wanted=order.versions, fence=order.fence
            )

    def record_no_answer(self, engine: str, now: float) -> None:
        """Record that an engine didn't answer a poll."""
        self._polled_at[engine] = now
        state = self._engines.get(engine)
        if state is not None and now - state.answered_at > ENGINE_GONE_TIMEOUT_S:
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
        """Record the weight store's answer to a fetch; an empty refusal means success."""
        self._fetching.pop((engine, version), None)
        if not refusal:
            self._granted[(engine, version)] = now
            self._backoff_s, self._backoff_until = INITIAL_BACKOFF_DELAY_S, -math.inf
            return
        jitter = 1.0 + JITTER_FRACTION * self.rng.random()
        self._backoff_until = max(self._backoff_until, now + self._backoff_s * jitter)
        self._backoff_s = min(MAX_BACKOFF_DELAY_S, 2.0 * self._backoff_s)

    def reset(self) -> None:
        """Reset the state, because this host doesn't hold the lease to send orders.

        The revision is kept: the host may get the lease back under its old fencing number, and
        hosts that hold an older list of drains must not seem to hold the new one.
        """
        revision = self._revision
        self.__post_init__()
        self._revision = revision
        self.planner, self.draining, self.plan = Planner(), {}, Plan({}, ())

    def decide(
        self,
        fence: int,
        needs: Sequence[VersionNeed],
        batch_slots: Mapping[str, int],
        demand: Sequence[DemandSummary],
        zone: str,
        now: float,
    ) -> list[FetchWeights | SendOrder]:
        """Plan, and return the actions that are due now.

        Parameters
        ----------
        fence : int
            Fencing number of the lease.
        needs : sequence of VersionNeed
            Need for each version that may be loaded.
        batch_slots : mapping of engine to int
            Batch slots of each engine; engines not in it get no order.
        demand : sequence of DemandSummary
            One for each host of the zone and one for each other zone that can be reached: all of
            them must have stopped using a version before it is unloaded.
        """
        needed = frozenset(need.version for need in needs)
        engines = [
            EngineCapacity(name, state.models.room, batch_slots[name], occupied_by)
            for name, state, occupied_by in self._iterate_occupied(needed)
            if name in batch_slots
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
        """Return the summary for all hosts."""
        draining = {e: sorted(map(str, vs)) for e, vs in sorted(self.draining.items())}
        return OrdersSummary(self._revision, draining, self._estimate_load_times(), self._unplaced)

    def _iterate_occupied(
        self, needed: frozenset[VersionId]
    ) -> Iterator[tuple[str, _EngineState, frozenset[VersionId]]]:
        """Iterate over the engines, with the versions that occupy their room."""
        granted: dict[str, set[VersionId]] = {}
        for name, version in (*self._granted, *self._fetching):
            granted.setdefault(name, set()).add(version)
        for name, state in self._engines.items():
            # A load that no need asks for, such as that of an outdated order, is not continued.
            wanted = state.loaded | state.loading & needed | granted.get(name, set())
            # Draining versions will be unloaded: their room counts as free, and remains planned
            # that way.
            yield name, state, wanted - self.draining.get(name, frozenset())

    def _is_target(self, slot: tuple[str, VersionId]) -> bool:
        return slot[1] in self.plan.targets.get(slot[0], ())

    def _list_pending(self) -> list[tuple[str, VersionId]]:
        """Return the versions whose weights were given to an engine and which aren't loaded yet."""
        return [
            (engine, version)
            for engine, version in self._granted
            if engine in self._engines and version not in self._engines[engine].loaded
        ]

    def _update_draining(self, fence: int) -> None:
        """Drain the versions that engines hold beyond the plan."""
        draining: dict[str, frozenset[VersionId]] = {}
        for name, target in self.plan.targets.items():
            surplus = self._engines[name].resident - target
            if surplus:
                draining[name] = surplus
        if draining != self.draining or fence != self._revision.fence:
            self._revision = DrainRevision(fence, self._revision.number + 1)
        self.draining = draining
        slots = {(name, version) for name, surplus in draining.items() for version in surplus}
        since = self._draining_since
        self._draining_since = {slot: since.get(slot, self._revision) for slot in slots}

    def _is_drained(
        self, name: str, version: VersionId, demand: Sequence[DemandSummary], zone: str
    ) -> bool:
        """Tell whether no host routes requests for a version to an engine or has any open there."""
        since = self._draining_since[(name, version)]
        return all(
            summary.applied_revisions.get(zone, DrainRevision()) >= since
            and not summary.open_requests.get(name, {}).get(str(version))
            for summary in demand
        )

    def _make_order(
        self, name: str, fence: int, demand: Sequence[DemandSummary], zone: str
    ) -> ModelsOrder | None:
        """Return the order that an engine needs; None if it follows that order already.

        The engine reports which order it follows. An engine that follows another one, such as an
        outdated one of a former lease holder, gets this order again.
        """
        state = self._engines[name]
        target = self.plan.targets[name]
        retained = {v for v in self.draining.get(name, ()) if v in state.loaded}
        retained = {
            version for version in retained if not self._is_drained(name, version, demand, zone)
        }
        ready = {v for v in target if v in state.resident or (name, v) in self._granted}
        # Versions whose weights are ready wait until draining versions have freed their room.
        room = state.models.room - len(retained)
        ready_now = sorted(ready, key=lambda v: (v not in state.resident, str(v)))[: max(0, room)]
        versions = sorted(str(version) for version in {*retained, *ready_now})
        if versions == state.models.wanted and state.models.fence == fence:
            return None
        return ModelsOrder(fence, versions)

    def _choose_fetches(self, now: float) -> list[FetchWeights]:
        """Return the fetches to start, most needed first, up to a bounded number at a time."""
        count = MAX_CONCURRENT_LOADS - len(self._fetching) - len(self._list_pending())
        if now < self._backoff_until or count <= 0:
            return []
        if self._backoff_s > INITIAL_BACKOFF_DELAY_S:
            # The last request was refused: a single one probes the store for all.
            count = min(count, 1 - len(self._fetching))
        # A version that was to be unloaded and is needed again is still loaded.
        missing = [
            slot for slot in self.plan.loads if slot[1] not in self._engines[slot[0]].resident
        ]
        chosen = [FetchWeights(*slot) for slot in missing[: max(0, count)]]
        self._fetching.update({(f.engine, f.version): now for f in chosen})
        return chosen

    def _estimate_load_times(self) -> dict[str, float]:
        loaded = {version for state in self._engines.values() for version in state.loaded}
        load_times_s: dict[str, float] = {}
        started = [version for _, version in (*self._list_pending(), *self._fetching)]
        waiting = [version for _, version in self.plan.loads if version not in started]
        for position, version in enumerate((*started, *waiting)):
            if version not in loaded:
                rounds = 1 + max(0, position - len(started) + 1) / MAX_CONCURRENT_LOADS
                load_times_s.setdefault(
                    str(version), math.ceil(rounds * self._load_time_s + self._backoff_s)
                )
        return load_times_s


def _parse(versions: Iterable[str]) -> frozenset[VersionId]:
    return frozenset(VersionId.parse(version) for version in versions)
