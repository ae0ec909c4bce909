"""The rollout controller: derives the records that are due from the log and the estimates.

A log capital is the evidence of a sequential test against a hypothesis: while the hypothesis is
true, the log capital ever reaches x with probability at most e^-x. The log capital of a change
detector never falls below 0, and reaches x after e^x observations or more on average.
"""

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
    SIGNIFICANT_LOG_CAPITAL,
    TRIAL_LOG_CAPITAL_LIMIT,
    Estimate,
    LogCapitals,
)
from poplarrun.versions._estimates import Estimates
from poplarrun.versions._evidence import CellKey
from poplarrun.versions._rollouts import (
    Closed,
    Granted,
    RolloutRecord,
    RolloutState,
    RolloutTable,
    Settled,
    format_process_name,
)

# Time without progress after which the budget of a stage is granted a second time.
STALL_TIMEOUT_S = 60.0
# Limit of the granted requests, as a multiple of the budget of the stage.
MAX_BUDGET_FACTOR = 2
# Fraction of a roll-out's requests whose ratings must have arrived before a version that has used
# up its requests is rejected; some ratings are lost.
MIN_RATED_FRACTION = 0.75
# Larger log capitals are cut off before ``exp``.
MAX_LOG_CAPITAL = 100.0
# A version in service is rejected for latency only if at least this many further answers are late
# this long after the first ones.
LATENCY_CONFIRMATION_WINDOW_S = 60.0
MIN_LATER_LATE_ANSWERS = 10


@dataclass(frozen=True, slots=True)
class ExposureStage:
    """One stage of a roll-out.

    Attributes
    ----------
    cumulative_budget : int
        Requests that may have been granted by its end, over all stages.
    min_capital : float
        Capital that a bet against "worse than the class allows" must have reached
        before the stage begins. Under that hypothesis it ever does with
        probability at most ``1 / min_capital``, so the expected exposure of such a
        version is at most the sum of ``cumulative_budget / min_capital`` over the stages.
    """

    cumulative_budget: int
    min_capital: float


STAGES = (
    ExposureStage(24, 0.0),
    ExposureStage(48, 1.0),
    ExposureStage(200, 4.0),
    ExposureStage(1000, 20.0),
)
# Capital at which a version is fully rolled out after the last stage.
COMPLETION_CAPITAL = 100.0


@dataclass(frozen=True, slots=True)
class ControllerView:
    """The inputs of the rollout controller's decisions.

    Attributes
    ----------
    configuration : Configuration
        In force at this host.
    rollouts : RolloutTable
        Folded from the log.
    live_hosts : sequence of Peer
        Hosts that are considered live.
    """

    configuration: Configuration
    rollouts: RolloutTable
    live_hosts: Sequence[Peer]


DueRecord = RolloutRecord | Withdrawal


class VersionRolloutController:
    """Decides on the roll-outs of the classes that rendezvous hashing assigns to this host.

    Hosts that consider different hosts live may both decide for a class; the fold of the log
    reconciles their records.

    Parameters
    ----------
    host : str
        This host's name.
    incarnation : int
        As in its ``Peer``; part of the records' ids.
    estimates : Estimates
        This host's estimates of the versions.
    """

    def __init__(self, host: str, incarnation: int, estimates: Estimates) -> None:
        self._host = host
        self._estimates = estimates
        self._ids = (f"{host}/{incarnation}/{number}" for number in itertools.count())
        self._last_grants: dict[CellKey, tuple[int, float]] = {}
        self._late_since: dict[CellKey, tuple[float, int]] = {}
        self._live_names: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def decide_records(self, view: ControllerView, now: float) -> list[DueRecord]:
        """Return the records that are due to be appended to the log."""
        due: list[DueRecord] = []
        if not view.rollouts.is_complete:
            return due
        for class_name in view.configuration.document.classes:
            if self._owns(class_name, view.live_hosts):
                due += self._decide_class(class_name, view, now)
        return due

    def _owns(self, class_name: str, live: Sequence[Peer]) -> bool:
        """Tell whether this host owns a class; the assignment is cached until live hosts change."""
        names = tuple(peer.name for peer in live)
        if names != self._live_names:
            self._live_names = names
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
            # While no version serves the class, all do, even before the log says so.
            is_serving = state.serves or not has_incumbent
            if offered.stage is VersionStage.WITHDRAWN:
                has_state = key in view.rollouts.states
                due.append(Closed(next(self._ids), str(version)) if has_state else None)
            elif not view.configuration.is_withdrawn(version) and not state.rejected:
                due.append(
                    self._make_due_withdrawal(key, is_serving, view)
                    or self._reject_for_quality(key, is_serving)
                    or self._reject_for_latency(key, is_serving, view, now)
                    or self._advance(key, state, view, has_incumbent, now)
                )
        return [record for record in due if record is not None]

    def _make_due_withdrawal(
        self, key: CellKey, is_serving: bool, view: ControllerView
    ) -> Withdrawal | None:
        """Withdraw a version that fails too often, or is too poor for the least demanding class."""
        estimate = self._estimates.find(key)
        capitals, limit = _select_capitals(estimate, is_serving)
        if max(capitals.usefulness, capitals.reliability) < limit:
            return None
        reason = "quality" if capitals.usefulness >= limit else "failures"
        evidence = {
            "log_capital": round(max(capitals.usefulness, capitals.reliability), 3),
            "rated": round(estimate.rating_weight, 3),
            "mean_quality": round(estimate.mean_quality or 0.0, 4),
        }
        # The controllers of all classes write the same id, and the fold applies one record only.
        record_id = f"withdrawal/{key.version}/{view.configuration.offset}"
        text = f"{reason} in class {key.class_name}"
        return Withdrawal(record_id, str(key.version), text, evidence)

    def _reject_for_quality(self, key: CellKey, is_serving: bool) -> Settled | None:
        estimate = self._estimates.find(key)
        capitals, limit = _select_capitals(estimate, is_serving)
        if capitals.quality < limit:
            return None
        return self._make_result(key, False, f"quality {estimate.mean_quality or 0.0:.2f}")

    def _reject_for_latency(
        self, key: CellKey, is_serving: bool, view: ControllerView, now: float
    ) -> Settled | None:
        """Reject a version whose answers are late while those of another version are on time."""
        estimate = self._estimates.find(key)
        capitals, limit = _select_capitals(estimate, is_serving)
        if capitals.latency < limit:
            self._late_since.pop(key, None)
            return None
        has_lasted = not is_serving or self._is_lateness_lasting(key, estimate, now)
        if not has_lasted or not self._has_timely_alternative(key, view):
            return None
        return self._make_result(key, False, "latency")

    def _is_lateness_lasting(self, key: CellKey, estimate: Estimate, now: float) -> bool:
        """Tell whether further answers are late some time after the first late ones.

        A pause of an endpoint makes a dozen or so answers late at once. The version then gets
        no requests for a while, and the time without further answers must not count.
        """
        since, late_answers = self._late_since.setdefault(key, (now, estimate.late_answers))
        if now - since < LATENCY_CONFIRMATION_WINDOW_S:
            self._late_since[key] = (since, estimate.late_answers)
        return (
            estimate.late_answers - late_answers >= MIN_LATER_LATE_ANSWERS
            and now - since >= LATENCY_CONFIRMATION_WINDOW_S
        )

    def _has_timely_alternative(self, key: CellKey, view: ControllerView) -> bool:
        """Tell whether another version is fully rolled out in the work class and on time.

        Under overload all versions are late, and none may be rejected for it.
        """
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
            return self._make_result(key, True, "no other version serves the class")
        estimate = self._estimates.find(key)
        capital = (
            math.exp(min(estimate.trial_pass_log_capital, MAX_LOG_CAPITAL))
            if estimate.rating_weight
            else 0.0
        )
        if state.stage + 1 == len(STAGES) and capital >= COMPLETION_CAPITAL:
            return self._make_result(key, True, "no worse than the class allows")
        if state.stage + 1 < len(STAGES) and capital >= STAGES[state.stage + 1].min_capital:
            budget = max(1, STAGES[state.stage + 1].cumulative_budget - state.budget)
            return self._make_grant(key, state, state.stage + 1, budget, view.live_hosts)
        return self._regrant_or_reject(key, state, capital, view, now)

    def _regrant_or_reject(
        self, key: CellKey, state: RolloutState, capital: float, view: ControllerView, now: float
    ) -> Granted | Settled | None:
        """Grant the budget of a stage a second time when its shares seem to stay unused.

        A share stays unused at a host that died or gets no such requests. It can't be revoked
        from a host that is partitioned, so both grants count against the limit.
        """
        grants, since = self._last_grants.get(key, (-1, now))
        if grants != state.grants:
            self._last_grants[key] = (state.grants, now)
            return None
        stage = STAGES[state.stage]
        remaining = MAX_BUDGET_FACTOR * stage.cumulative_budget - state.budget
        if now - since < STALL_TIMEOUT_S:
            return None
        if capital >= stage.min_capital and remaining > 0:
            return self._make_grant(
                key, state, state.stage, min(remaining, stage.cumulative_budget), view.live_hosts
            )
        return self._reject_when_exhausted(key, state)

    def _reject_when_exhausted(self, key: CellKey, state: RolloutState) -> Settled | None:
        """Reject a version that has used up its requests, if its ratings speak against it.

        Without requests no further rating arrives, and the roll-out would never end. The test
        is evaluated only when the ratings have arrived, so its error probability of 1 in 20 is
        not incurred often.
        """
        estimate = self._estimates.find(key)
        if (
            estimate.rating_weight < MIN_RATED_FRACTION * state.budget
            or estimate.trial_capitals.quality < SIGNIFICANT_LOG_CAPITAL
        ):
            return None
        return self._make_result(key, False, f"quality {estimate.mean_quality or 0.0:.2f}")

    def _make_grant(
        self,
        key: CellKey,
        state: RolloutState,
        stage: int,
        budget: int,
        live: Sequence[Peer],
    ) -> Granted:
        record_id = next(self._ids)
        process_names = {
            peer.name: format_process_name(peer.name, peer.incarnation) for peer in live
        }
        ranked = rank_hosts(record_id, process_names)
        shares: dict[str, int] = {}
        for name, _ in zip(itertools.cycle(ranked), range(budget), strict=False):
            shares[process_names[name]] = shares.get(process_names[name], 0) + 1
        return Granted(record_id, key.class_name, str(key.version), state.grants, stage, shares)

    def _make_result(self, key: CellKey, serves: bool, reason: str) -> Settled:
        return Settled(next(self._ids), key.class_name, str(key.version), serves, reason)


def _select_capitals(estimate: Estimate, is_serving: bool) -> tuple[LogCapitals, float]:
    """Return the log capitals that count in service or on trial, and their limit."""
    if is_serving:
        return estimate.service_capitals, SERVICE_LOG_CAPITAL_LIMIT
    if estimate.change_capitals.highest_without_latency >= SERVICE_LOG_CAPITAL_LIMIT:
        return estimate.change_capitals, SERVICE_LOG_CAPITAL_LIMIT
    return estimate.trial_capitals, TRIAL_LOG_CAPITAL_LIMIT


def _has_incumbent(class_name: str, view: ControllerView) -> bool:
    """Tell whether some version serves the class, so that a new one needs a roll-out."""
    return any(
        view.rollouts.find(CellKey(class_name, version)).serves
        for version in view.configuration.document.versions
        if not view.configuration.is_withdrawn(version)
    )
