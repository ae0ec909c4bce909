"""The course of roll-outs: who gets the new version, and when it is through or out."""

import enum
from dataclasses import dataclass, field

from poplarrun.rollouts._evidence import AnswerStatistics, ComparisonStage
from poplarrun.rollouts._sessions import PinnedSession, SessionKey, SessionPins
from poplarrun.routing import InFlightRequest, RolloutOrder, RolloutPhase, RolloutStatus

# Part of the operators' bound on the share of requests that a bad version may get which
# the trial uses; the rest is for the shift, in which a version that is bad only under
# load shows itself. The bound where the operators name none.
TRIAL_OF_BOUND = 2.0 / 3.0
USUAL_EXPOSURE = 0.15
# Part of the order's time for the trial. Sessions may change to the new version
# only in the second half.
TRIAL_PART = 0.5
# What a version gets first once it has passed its trial, in units of that bound but at
# most so much, and the part of the order's time for that: a version that is bad only
# under load, or slow in a way that few answers don't show, shows itself beside the old
# one before it has all traffic. Trial and this together stay below the bound.
SHIFT_OF_BOUND = 7.0 / 3.0
MOST_SHIFT_SHARE = 0.35
SHIFT_PART = 0.2
# Answers without which a version isn't trusted with all traffic.
FEWEST_SEEN = 8
# The same as a part of all answers, where there are few.
FEWEST_SEEN_PART = 0.03
# Part of the order's time at which the old endpoints may be stopped although some
# of their answers still run.
LATEST_PART = 0.88
# Margin after the middle of the time for clocks and reading of the order that
# differ between hosts, in seconds.
HALF_MARGIN_S = 0.4
# The end of a roll-out is told to other hosts for so long after its time, in seconds.
TOLD_S = 20.0
# Time from the order to the first session on the new version, in seconds: all hosts know of
# the order, and of the sessions that were on the old version, before.
TRIAL_DELAY_S = 1.0
# Time from the decision that sessions may change versions until they do, in seconds: a host
# that hears of it later than others would send sessions back to the old version.
SHIFT_DELAY_S = 0.6
# One more than the highest number of a session.
SESSION_NUMBERS = 2**32


class VersionReason(enum.Enum):
    """Why a request may use some versions and not others."""

    NO_ROLLOUT = "no_rollout"
    RECORDED = "recorded"
    FAILED_BEFORE = "failed_before"
    HELD = "held"
    SETTLING = "settling"
    HASH = "hash"
    STREAM = "stream"
    NONE_LEFT = "none_left"


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Which versions may answer a request.

    Attributes
    ----------
    only : frozenset of str, optional
        The only versions that may answer.
    avoided : str, optional
        The one that may not.
    """

    allowed: frozenset[str] | None
    excluded: str | None
    reason: VersionReason


class RolloutVerdict(enum.Enum):
    """What should be recorded of a roll-out now."""

    NOTHING = "nothing"
    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(slots=True)
class Rollout:
    """One order and how far it is.

    Attributes
    ----------
    begun_at : float
        When the order was first seen by any host.
    exposure : float
        Share of the requests that a bad version may get.
    recorded : RolloutPhase, optional
        What the store holds.
    shifted_at : float, optional
        When any host decided first that sessions may change versions.
    """

    order: RolloutOrder
    started_at: float
    exposure_limit: float
    recorded_phase: RolloutPhase | None = None
    shift_decided_at: float | None = None

    def record_shift(self, at: float) -> bool:
        """Let sessions change to the new version; True where that was not known."""
        was_known = self.shift_decided_at is not None
        self.shift_decided_at = (
            at if self.shift_decided_at is None else min(self.shift_decided_at, at)
        )
        return not was_known

    def has_shift_begun(self, now: float) -> bool:
        """Tell whether sessions may change to the new version now."""
        return self.shift_decided_at is not None and now - self.shift_decided_at >= SHIFT_DELAY_S

    def is_settling(self, now: float) -> bool:
        """Tell whether hosts may not know yet which sessions are on the old version."""
        return now - self.started_at < TRIAL_DELAY_S

    @property
    def trial_fraction(self) -> float:
        """Share of the sessions that the trial may take."""
        return TRIAL_OF_BOUND * self.exposure_limit

    def session_fraction(self, now: float) -> float:
        """Return the share of the sessions that the new version gets."""
        if not self.has_shift_begun(now):
            return self.trial_fraction
        if self.has_all_sessions(now):
            return 1.0
        return min(MOST_SHIFT_SHARE, SHIFT_OF_BOUND * self.exposure_limit)

    def has_all_sessions(self, now: float) -> bool:
        """Tell whether the new version gets all sessions."""
        if self.shift_decided_at is None or not self.has_shift_begun(now):
            return False
        return now - self.shift_decided_at >= SHIFT_PART * self.order.duration_s

    def stage(self, now: float) -> ComparisonStage:
        """Return how much the new version can be compared with the old one."""
        if self.has_all_sessions(now):
            return ComparisonStage.ALONE
        return ComparisonStage.SHIFT if self.has_shift_begun(now) else ComparisonStage.TRIAL

    @property
    def is_in_progress(self) -> bool:
        """Whether it is under way."""
        return self.recorded_phase is None or not self.recorded_phase.is_final

    def elapsed_fraction(self, now: float) -> float:
        """Return how much of its time is over, 1 at its end."""
        return (now - self.started_at) / self.order.duration_s

    def is_shift_due(self, now: float) -> bool:
        """Tell whether sessions may change to the new version."""
        return now - self.started_at > TRIAL_PART * self.order.duration_s + HALF_MARGIN_S


@dataclass
class Rollouts:
    """The roll-outs of all services.

    Parameters
    ----------
    session_s : float
        Requests of a session that follow each other within this time keep a version.
    exposure : float
        Share of a service's requests that a bad version may get.
    """

    session_timeout_s: float = 5.0
    exposure_limit: float = USUAL_EXPOSURE
    statistics: AnswerStatistics = field(default_factory=AnswerStatistics)
    _rollouts: dict[str, Rollout] = field(default_factory=dict)
    sessions: SessionPins = field(default_factory=SessionPins)

    def find(self, service: str) -> Rollout | None:
        """Return the last roll-out of a service."""
        return self._rollouts.get(service)

    def active(self) -> list[Rollout]:
        """Return the roll-outs that are under way."""
        return [rollout for rollout in self._rollouts.values() if rollout.is_in_progress]

    def recent(self, now: float) -> list[Rollout]:
        """Return the roll-outs that are under way, or ended not long ago."""
        return [
            rollout
            for rollout in self._rollouts.values()
            if now - rollout.started_at < rollout.order.duration_s + TOLD_S
        ]

    def apply_order(self, order: RolloutOrder, now: float, age_s: float = 0.0) -> bool:
        """Take in an order; True when it is new.

        Parameters
        ----------
        age_s : float
            How long ago it was seen first.
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order.offset >= order.offset:
            # Hosts that the store turns away still tell of the order before. Its age taken
            # for this one's would end the trial at once, and a bad version had all traffic.
            if known.order.offset == order.offset:
                known.started_at = min(known.started_at, now - age_s)
            return False
        if known is not None:
            self.statistics.forget(order.service)
        rollout = Rollout(order, now - age_s, self.exposure_limit)
        self._rollouts[order.service] = rollout
        self.sessions.forget(order.service, order.offset)
        self.sessions.pin_recent(
            order.service,
            order.offset,
            now - self.session_timeout_s,
            lambda number: _point(number) < rollout.trial_fraction,
        )
        return True

    def apply_status(self, status: RolloutStatus) -> bool:
        """Take in what is recorded; True when that is news.

        A final phase stays: a record of a host that was paused meanwhile can't
        bring a withdrawn version back.
        """
        rollout = self._rollouts.get(status.service)
        if rollout is None or rollout.order.target != status.target:
            return False
        if rollout.recorded_phase is status.phase:
            return False
        if not rollout.is_in_progress:
            return False
        rollout.recorded_phase = status.phase
        return True

    def choose_version(self, work: InFlightRequest, now: float) -> VersionChoice:
        """Return the versions that may answer a request.

        A session that was on the old version stays there until the shift. All others go by
        their hash, which is the same on all hosts.
        """
        rollout = self._rollouts.get(work.service)
        if rollout is None:
            return VersionChoice(None, None, VersionReason.NO_ROLLOUT)
        target = rollout.order.target
        match rollout.recorded_phase:
            case RolloutPhase.COMPLETED:
                return VersionChoice(frozenset((target,)), None, VersionReason.RECORDED)
            case RolloutPhase.ROLLED_BACK:
                return VersionChoice(None, target, VersionReason.RECORDED)
        is_shifted = rollout.has_shift_begun(now)
        if work.failures and not is_shifted and work.last_event_id is None:
            # What failed while a version is on trial is not tried there once more.
            return VersionChoice(None, target, VersionReason.FAILED_BEFORE)
        key = _key_of(work)
        if _point(key.session_hash) >= rollout.session_fraction(now):
            return VersionChoice(None, target, VersionReason.HASH)
        if not is_shifted:
            if rollout.is_settling(now):
                return VersionChoice(None, target, VersionReason.SETTLING)
            if self.sessions.is_pinned(PinnedSession(key, rollout.order.offset)):
                return VersionChoice(None, target, VersionReason.HELD)
        return VersionChoice(frozenset((target,)), None, VersionReason.HASH)

    def find_session_to_query(self, work: InFlightRequest, now: float) -> PinnedSession | None:
        """Return what other hosts must be asked before a version is picked, if anything."""
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_in_progress or work.request.session_id is None:
            return None
        if rollout.is_settling(now) or not self._is_tried(rollout, work, now):
            return None
        held = PinnedSession(_key_of(work), rollout.order.offset)
        return None if self.sessions.is_pinned(held) else held

    def _is_tried(self, rollout: Rollout, work: InFlightRequest, now: float) -> bool:
        """Tell whether a request's session is one of those that the trial may take."""
        if rollout.has_shift_begun(now):
            return False
        return _point(_key_of(work).session_hash) < rollout.trial_fraction

    def is_in_shift(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version that passed its trial has more traffic now, but not all.

        That is enough to load one of its endpoints as much as any will ever be.
        """
        return self._stage(service, version, now) is ComparisonStage.SHIFT

    def is_past_trial(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version passed its trial, and may still be taken back."""
        return self._stage(service, version, now) in (ComparisonStage.SHIFT, ComparisonStage.ALONE)

    def _stage(self, service: str, version: str, now: float) -> ComparisonStage | None:
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.is_in_progress or rollout.order.target != version:
            return None
        return rollout.stage(now)

    def record_send(self, work: InFlightRequest, version: str, now: float) -> None:
        """Note that a request of a session runs on a version."""
        if work.request.session_id is None:
            return
        self.sessions.record_send(_key_of(work), work.deadline_at)
        self._hold_old(work, version, now)

    def record_end(self, work: InFlightRequest, version: str, now: float) -> None:
        """Note that a request of a session has ended."""
        if work.request.session_id is None:
            return
        self.sessions.record_end(_key_of(work), work.deadline_at, now)
        self._hold_old(work, version, now)

    def _hold_old(self, work: InFlightRequest, version: str, now: float) -> None:
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_in_progress or version == rollout.order.target:
            return
        if self._is_tried(rollout, work, now):
            self.sessions.pin(PinnedSession(_key_of(work), rollout.order.offset))

    def compute_verdict(self, rollout: Rollout, now: float) -> RolloutVerdict:
        """Decide what should be recorded of a roll-out now.

        The old endpoints are stopped at once when it is recorded as completed. So that
        their last answers end before, all traffic moves well ahead of that.
        """
        order = rollout.order
        if not rollout.is_in_progress:
            return RolloutVerdict.NOTHING
        if self.statistics.is_bad(order.service, order.target, rollout.stage(now)):
            return RolloutVerdict.ROLLED_BACK
        all_ended = self.statistics.count_answers(order.service)
        needed = max(1.0, min(FEWEST_SEEN, FEWEST_SEEN_PART * all_ended))
        enough = (
            self.statistics.merge_version_tallies(order.service, order.target).answers >= needed
        )
        if rollout.is_shift_due(now) and enough:
            rollout.record_shift(now)
        if rollout.shift_decided_at is not None and rollout.elapsed_fraction(now) >= LATEST_PART:
            return RolloutVerdict.COMPLETED
        if rollout.elapsed_fraction(now) >= 1.0:
            return RolloutVerdict.ROLLED_BACK
        return (
            RolloutVerdict.NOTHING if rollout.recorded_phase is not None else RolloutVerdict.ACTIVE
        )


def _key_of(work: InFlightRequest) -> SessionKey:
    return SessionKey(work.service, work.request.session_hash)


def _point(number: int) -> float:
    return number / SESSION_NUMBERS
