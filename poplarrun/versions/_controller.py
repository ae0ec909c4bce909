"""The steward: which roll-out record is due next, from the log and the estimates."""

import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass

from poplarrun.config import Configuration, Withdrawal
from poplarrun.contracts import VersionStage
from poplarrun.hosts import Peer
from poplarrun.rendezvous import rank_hosts
from poplarrun.versions._cells import (
    SERVICE_LOG_CAPITAL_LIMIT,
    SHOWN,
    TRIAL_LOG_CAPITAL_LIMIT,
    Capitals,
    Estimate,
)
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import CellKey
from poplarrun.versions._rollouts import (
    BudgetGrant,
    RolloutClosure,
    RolloutRecord,
    RolloutResult,
    RolloutState,
    RolloutTable,
    format_process_name,
)

# A stage is left unfinished for so long before its unused requests are granted anew.
STALL_S = 60.0
# A stage may be granted so often before it grows.
STALL_FACTOR = 2
# A roll-out's ratings are in when so many of its requests are rated; some ratings get lost.
RATED_SHARE = 0.75
HIGHEST_LOG = 100.0
# A version in service is late for good when this much later so many more answers were late.
LASTING_S = 60.0
LATE_AGAIN = 10


@dataclass(frozen=True, slots=True)
class ExposureStage:
    """One step of a roll-out.

    Attributes
    ----------
    budget : int
        Requests that may have been exposed by its end, in all.
    capital : float
        What a bet against "worse than the class allows" must have grown to
        before the stage begins. Under that hypothesis it ever does with
        probability at most ``1 / capital``, so the expected exposure of such a
        version is at most the sum of ``budget / capital`` over the stages.
    """

    budget: int
    capital: float


STAGES = (
    ExposureStage(24, 0.0),
    ExposureStage(48, 1.0),
    ExposureStage(200, 4.0),
    ExposureStage(1000, 20.0),
)
FULL_CAPITAL = 100.0


@dataclass(frozen=True, slots=True)
class ControllerView:
    """What a steward decides from.

    Attributes
    ----------
    configuration : Configuration
        In force at this host.
    rollouts : Rollouts
        Folded from the log.
    live : sequence of Peer
        Hosts that are taken to be live.
    """

    configuration: Configuration
    rollouts: RolloutTable
    live_hosts: Sequence[Peer]


DueRecord = RolloutRecord | Withdrawal


class VersionRolloutController:
    """Decides for the classes of which this host is the usual owner.

    Parameters
    ----------
    host : str
        This host's name.
    incarnation : int
        As in its ``Peer``; part of the records' ids.
    estimates : Estimates
        This host's estimates.
    """

    def __init__(self, host: str, incarnation: int, estimates: Estimates) -> None:
        self._host = host
        self._estimates = estimates
        self._ids = (f"{host}/{incarnation}/{number}" for number in itertools.count())
        self._changed_at: dict[CellKey, tuple[int, float]] = {}
        self._lagging: dict[CellKey, tuple[float, int]] = {}
        self._ranked: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def decide_records(self, view: ControllerView, now: float) -> list[DueRecord]:
        """Return the records that are due now, for the log."""
        due: list[DueRecord] = []
        if not view.rollouts.is_complete:
            return due
        for class_name in view.configuration.document.classes:
            if self._owns(class_name, view.live_hosts):
                due += self._decide_class(class_name, view, now)
        return due

    def _owns(self, class_name: str, live: Sequence[Peer]) -> bool:
        """Tell whether this host is a class's usual steward; ranks anew when hosts change."""
        names = tuple(peer.name for peer in live)
        if names != self._ranked:
            self._ranked = names
            self._owners.clear()
        owner = self._owners.get(class_name)
        if owner is None:
            owner = self._owners[class_name] = rank_hosts(f"rollouts/{class_name}", names)[0]
        return owner == self._host

    def _decide_class(self, class_name: str, view: ControllerView, now: float) -> list[DueRecord]:
        due: list[DueRecord | None] = []
        has_incumbent = _has_incumbent(class_name, view)
        for version, offered in view.configuration.document.versions.items():
            key = CellKey(class_name, version)
            state = view.rollouts.find(key)
            # Where nothing serves yet all versions do, also before that is in the log.
            is_serving = state.serves or not has_incumbent
            if offered.stage is VersionStage.WITHDRAWN:
                known = key in view.rollouts.states
                due.append(RolloutClosure(next(self._ids), str(version)) if known else None)
            elif not view.configuration.is_withdrawn(version) and not state.rejected:
                due.append(
                    self._withdraw(key, is_serving, view)
                    or self._reject(key, is_serving)
                    or self._reject_slow(key, is_serving, view, now)
                    or self._advance(key, state, view, has_incumbent, now)
                )
        return [record for record in due if record is not None]

    def _withdraw(self, key: CellKey, is_serving: bool, view: ControllerView) -> Withdrawal | None:
        """Withdraw a version that fails, or that not even the least demanding class wants."""
        known = self._estimates.find(key)
        capitals, bar = _capitals(known, is_serving)
        if max(capitals.usefulness, capitals.reliability) < bar:
            return None
        reason = "quality" if capitals.usefulness >= bar else "failures"
        evidence = {
            "log_capital": round(max(capitals.usefulness, capitals.reliability), 3),
            "rated": round(known.rating_weight, 3),
            "mean_quality": round(known.mean_quality or 0.0, 4),
        }
        # Each class's steward writes the same id, so that the fold keeps one.
        record_id = f"withdrawal/{key.version}/{view.configuration.offset}"
        text = f"{reason} in class {key.class_name}"
        return Withdrawal(record_id, str(key.version), text, evidence)

    def _reject(self, key: CellKey, is_serving: bool) -> RolloutResult | None:
        known = self._estimates.find(key)
        capitals, bar = _capitals(known, is_serving)
        if capitals.quality < bar:
            return None
        return self._settle(key, False, f"quality {known.mean_quality or 0.0:.2f}")

    def _reject_slow(
        self, key: CellKey, is_serving: bool, view: ControllerView, now: float
    ) -> RolloutResult | None:
        """Reject a version whose answers are late while another one's are in time."""
        known = self._estimates.find(key)
        capitals, bar = _capitals(known, is_serving)
        if capitals.latency < bar:
            self._lagging.pop(key, None)
            return None
        is_lasting = not is_serving or self._is_lasting(key, known, now)
        if not is_lasting or not self._has_prompt_other(key, view):
            return None
        return self._settle(key, False, "latency")

    def _is_lasting(self, key: CellKey, known: Estimate, now: float) -> bool:
        """Tell whether answers are still, or again, late a while after they first were.

        A pause of its endpoint makes some dozen answers late at once; then it is
        passed over and nothing more is seen of it, which must not count as more.
        """
        since, late_answers = self._lagging.setdefault(key, (now, known.late_answers))
        if now - since < LASTING_S:
            self._lagging[key] = (since, known.late_answers)
        return known.late_answers - late_answers >= LATE_AGAIN and now - since >= LASTING_S

    def _has_prompt_other(self, key: CellKey, view: ControllerView) -> bool:
        """Tell whether another version serves the class in time; under overload none does."""
        return any(
            version != key.version
            and not view.configuration.is_withdrawn(version)
            and view.rollouts.find(CellKey(key.class_name, version)).serves
            and self._estimates.find(CellKey(key.class_name, version)).is_on_time
            for version in view.configuration.document.versions
        )

    def _advance(
        self,
        key: CellKey,
        state: RolloutState,
        view: ControllerView,
        has_incumbent: bool,
        now: float,
    ) -> DueRecord | None:
        if state.serves:
            return None
        if not has_incumbent:
            return self._settle(key, True, "no other version serves the class")
        known = self._estimates.find(key)
        capital = (
            math.exp(min(known.trial_pass_log_capital, HIGHEST_LOG)) if known.rating_weight else 0.0
        )
        if state.stage + 1 == len(STAGES) and capital >= FULL_CAPITAL:
            return self._settle(key, True, "no worse than the class allows")
        if state.stage + 1 < len(STAGES) and capital >= STAGES[state.stage + 1].capital:
            budget = max(1, STAGES[state.stage + 1].budget - state.budget)
            return self._grant(key, state, state.stage + 1, budget, view.live_hosts)
        return self._go_on(key, state, capital, view, now)

    def _go_on(
        self, key: CellKey, state: RolloutState, capital: float, view: ControllerView, now: float
    ) -> BudgetGrant | RolloutResult | None:
        """Grant a stage's budget a second time when its shares seem to lie idle.

        A share lies idle at a host that died or has no such requests. It can't
        be called back from a host that is cut off, so the budget counts both.
        """
        grants, since = self._changed_at.get(key, (-1, now))
        if grants != state.grants:
            self._changed_at[key] = (state.grants, now)
            return None
        stage = STAGES[state.stage]
        left = STALL_FACTOR * stage.budget - state.budget
        if now - since < STALL_S:
            return None
        if capital >= stage.capital and left > 0:
            return self._grant(key, state, state.stage, min(left, stage.budget), view.live_hosts)
        return self._give_up(key, state)

    def _give_up(self, key: CellKey, state: RolloutState) -> RolloutResult | None:
        """Reject a version that has used up its requests, where its ratings lean against it.

        Nothing would decide it otherwise: without requests no rating comes. This is
        looked at once all of them are rated, so one chance in 20 is not taken often.
        """
        known = self._estimates.find(key)
        if known.rating_weight < RATED_SHARE * state.budget or known.trial_capitals.quality < SHOWN:
            return None
        return self._settle(key, False, f"quality {known.mean_quality or 0.0:.2f}")

    def _grant(
        self,
        key: CellKey,
        state: RolloutState,
        stage: int,
        budget: int,
        live: Sequence[Peer],
    ) -> BudgetGrant:
        record_id = next(self._ids)
        holders = {peer.name: format_process_name(peer.name, peer.incarnation) for peer in live}
        ranked = rank_hosts(record_id, holders)
        shares: dict[str, int] = {}
        for name, _ in zip(itertools.cycle(ranked), range(budget), strict=False):
            shares[holders[name]] = shares.get(holders[name], 0) + 1
        return BudgetGrant(record_id, key.class_name, str(key.version), state.grants, stage, shares)

    def _settle(self, key: CellKey, serves: bool, reason: str) -> RolloutResult:
        return RolloutResult(next(self._ids), key.class_name, str(key.version), serves, reason)


def _capitals(known: Estimate, is_serving: bool) -> tuple[Capitals, float]:
    """Return the bets that count at this stage, and their bar."""
    if is_serving:
        return known.service_capitals, SERVICE_LOG_CAPITAL_LIMIT
    if known.change_capitals.highest >= SERVICE_LOG_CAPITAL_LIMIT:
        return known.change_capitals, SERVICE_LOG_CAPITAL_LIMIT
    return known.trial_capitals, TRIAL_LOG_CAPITAL_LIMIT


def _has_incumbent(class_name: str, view: ControllerView) -> bool:
    """Tell whether some version serves the class, so that a new one can wait."""
    return any(
        view.rollouts.find(CellKey(class_name, version)).serves
        for version in view.configuration.document.versions
        if not view.configuration.is_withdrawn(version)
    )
