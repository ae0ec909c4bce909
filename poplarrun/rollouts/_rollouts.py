"""Assigns sessions to versions during a roll-out and decides when it completes or rolls back."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.rollouts import _load_tests as load_tests
from poplarrun.rollouts._changes import ChangeDetector
from poplarrun.rollouts._evidence import (
    FULL_LOAD,
    AnswerStatistics,
    ComparisonStage,
    EndpointCounts,
    Tally,
    is_widespread,
)
from poplarrun.rollouts._sessions import PinnedSession, SessionKey, SessionPins
from poplarrun.routing import InFlightRequest, RolloutOrder, RolloutPhase, RolloutStatus

# The trial may use this fraction of the operators' limit on the fraction of requests that a
# bad version may get. The rest is left for the shift, which exposes versions that are bad
# only under load.
TRIAL_LIMIT_FRACTION = 2.0 / 3.0
# Default limit on the fraction of requests that a bad version may get.
DEFAULT_EXPOSURE_LIMIT = 0.15
# Fraction of the order's duration that is spent on the trial. Sessions may change to the new
# version only after it.
TRIAL_TIME_FRACTION = 0.5
# Largest fraction of the sessions that it gets then.
MAX_SHIFT_FRACTION = 0.35
# Fraction of the order's duration for which it gets just this fraction. The requests of the trial
# and of this time together stay below the exposure limit.
SHIFT_TIME_FRACTION = 0.2
# Answers that the new version must have given before the shift may begin.
MIN_ANSWERS = 8
# The same as a fraction of the answers of all versions. The smaller of the two numbers is required,
# so that a service with little traffic can begin the shift.
MIN_ANSWERS_FRACTION = 0.03
# Fraction of the order's duration after which the roll-out completes, which stops the old
# endpoints even if some of their answers are still running, and how long before its end a longer
# one does, in seconds. A version that turns bad before the completion can still be rolled back.
COMPLETION_TIME_FRACTION = 0.88
COMPLETION_MARGIN_S = 1.6
# Time from the move of all sessions to the completion, in which the old endpoints end most of
# their answers, in seconds.
OLD_ANSWERS_TIME_S = 2.0
# Delay of the shift past the middle of the order's duration, in seconds, for clocks and times
# of reading the order that differ between hosts.
SHIFT_MARGIN_S = 0.4
# Evidence, as a logarithm of likelihoods, that a version has turned bad: while the old one still
# runs, and once it is gone and nothing else can answer.
TURNED_BAD_EVIDENCE = 6.5
COMPLETED_BAD_EVIDENCE = 20.0
# Fraction of bad answers that is tolerated of a completed version: endpoints that fail or crash
# cause as many.
MAX_COMPLETED_BAD_FRACTION = 0.1
# Time in which the answers since a change must show it at most endpoints, in seconds.
CHANGE_WINDOW_S = 20.0
# How long a completed version is judged after the order's duration, in seconds.
JUDGE_AFTER_END_S = 120.0
# How long a roll-out is still published to other hosts after the order's duration, in seconds.
PUBLISH_AFTER_END_S = 20.0
# Delay from the order to the first session on the new version, in seconds. Within it, all
# hosts learn of the order and of the sessions that use the old version.
TRIAL_DELAY_S = 1.0
# Delay from the decision to shift until sessions change versions, in seconds. Without it, a
# host that learns of the decision later than others would send sessions back to the old version.
SHIFT_DELAY_S = 0.6
# Number of distinct session hashes.
SESSION_HASHES = 2**32


class VersionReason(enum.Enum):
    """Why a request may be answered by all versions or only by some.

    Attributes
    ----------
    NO_ROLLOUT
        The service has no roll-out.
    RECORDED
        The store holds the end of the roll-out: completed or rolled back.
    FAILED_BEFORE
        The request failed during the trial, so it isn't retried on the new version.
    PINNED
        The session used the old version, so it stays there during the trial.
    SETTLING
        It is too early for all hosts to have learned which sessions use the old version.
    HASH
        The hash of the session decides.
    STREAM
        A stream is resumed on the version that it began on.
    NONE_LEFT
        No endpoint of the allowed versions is available, so others may answer.
    """

    NO_ROLLOUT = "no_rollout"
    RECORDED = "recorded"
    FAILED_BEFORE = "failed_before"
    PINNED = "held"
    SETTLING = "settling"
    HASH = "hash"
    STREAM = "stream"
    NONE_LEFT = "none_left"


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Which versions may answer a request.

    Attributes
    ----------
    allowed : frozenset of str, optional
        The only versions that may answer; None allows all.
    excluded : str, optional
        The version that may not answer.
    """

    allowed: frozenset[str] | None
    excluded: str | None
    reason: VersionReason


class RolloutVerdict(enum.Enum):
    """The phase of a roll-out that is due to be recorded in the store."""

    NOTHING = "nothing"
    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(slots=True)
class Rollout:
    """An operator's order and the progress of its roll-out.

    Attributes
    ----------
    started_at : float
        When any host first read the order.
    exposure_limit : float
        Fraction of the requests that a bad version may get.
    recorded_phase : RolloutPhase, optional
        The phase that the store holds.
    shift_decided_at : float, optional
        When any host first decided that sessions may change versions.
    proven_at : float, optional
        When any host first knew that the version is good and bears load.
    announced_copies : int
        Copies that hosts have announced for its load tests.
    was_completed : bool
        Whether the store has held its completion, after which the old version is gone.
    changes : ChangeDetector
        Tells whether the newest answers are those of a bad version.
    changed_at : float
        When the evidence that a completed version has turned bad began.
    counts_before_change : dict of str to EndpointCounts
        What its endpoints had answered by then.
    """

    order: RolloutOrder
    started_at: float
    exposure_limit: float
    recorded_phase: RolloutPhase | None = None
    shift_decided_at: float | None = None
    proven_at: float | None = None
    announced_copies: int = 0
    was_completed: bool = False
    changes: ChangeDetector = field(default_factory=lambda: ChangeDetector(TURNED_BAD_EVIDENCE))
    changed_at: float = 0.0
    counts_before_change: dict[str, EndpointCounts] = field(default_factory=dict)

    def record_phase(self, phase: RolloutPhase) -> bool:
        """Record the phase that the store holds; True when it changes the roll-out.

        A final phase is never replaced, so that a late record of a host that was paused can't
        reactivate a version that was rolled back. Only a completed version may still be rolled
        back.
        """
        is_rolled_back_late = self.was_completed and phase is RolloutPhase.ROLLED_BACK
        if self.recorded_phase is phase or not (self.is_in_progress or is_rolled_back_late):
            return False
        self.recorded_phase = phase
        if phase is RolloutPhase.COMPLETED:
            self.was_completed = True
            self.changes = ChangeDetector(COMPLETED_BAD_EVIDENCE)
        return True

    @property
    def is_rolled_back_late(self) -> bool:
        """Whether the version was rolled back after its completion."""
        return self.was_completed and self.recorded_phase is RolloutPhase.ROLLED_BACK

    def record_shift(self, at: float) -> bool:
        """Record the decision to shift; True when it was not known. The earliest time counts."""
        was_known = self.shift_decided_at is not None
        self.shift_decided_at = (
            at if self.shift_decided_at is None else min(self.shift_decided_at, at)
        )
        return not was_known

    def record_proof(self, at: float) -> bool:
        """Record that the version bears load; True when it was not known. The earliest counts."""
        was_known = self.proven_at is not None
        self.proven_at = at if self.proven_at is None else min(self.proven_at, at)
        return not was_known

    @property
    def load_test_at(self) -> float | None:
        """When the load test may begin; None before the shift is decided."""
        if self.shift_decided_at is None:
            return None
        return self.shift_decided_at + SHIFT_DELAY_S + load_tests.START_DELAY_S

    def is_load_test_due(self, now: float) -> bool:
        """Tell whether the version is to be loaded now."""
        begins_at = self.load_test_at
        if begins_at is None or self.proven_at is not None or not self.is_in_progress:
            return False
        return 0.0 <= now - begins_at < load_tests.BEGIN_TIMEOUT_S

    def is_load_test_over(self, now: float) -> bool:
        """Tell whether the load test and the time until all hosts know its result are over."""
        begins_at = self.load_test_at
        if begins_at is None:
            return False
        return now - begins_at >= load_tests.BEGIN_TIMEOUT_S + load_tests.EVIDENCE_DELAY_S

    def has_shift_begun(self, now: float) -> bool:
        """Tell whether sessions may change to the new version."""
        return self.shift_decided_at is not None and now - self.shift_decided_at >= SHIFT_DELAY_S

    def is_settling(self, now: float) -> bool:
        """Tell whether it is too early for all hosts to know which sessions use the old version."""
        return now - self.started_at < TRIAL_DELAY_S

    @property
    def trial_fraction(self) -> float:
        """Fraction of the sessions that take part in the trial."""
        return TRIAL_LIMIT_FRACTION * self.exposure_limit

    def session_fraction(self, now: float) -> float:
        """Return the fraction of the sessions that the new version gets."""
        if not self.has_shift_begun(now):
            return self.trial_fraction
        if self.has_all_sessions(now):
            return 1.0
        return min(MAX_SHIFT_FRACTION, load_tests.SHIFT_LIMIT_FACTOR * self.exposure_limit)

    def has_all_sessions(self, now: float) -> bool:
        """Tell whether the new version gets all sessions."""
        if self.shift_decided_at is None or not self.has_shift_begun(now):
            return False
        if self.proven_at is None or now - self.proven_at < SHIFT_DELAY_S:
            return False
        is_shift_over = now - self.shift_decided_at >= SHIFT_TIME_FRACTION * self.order.duration_s
        return (
            is_shift_over and now - self.started_at >= self.completion_delay_s - OLD_ANSWERS_TIME_S
        )

    def stage(self, now: float) -> ComparisonStage:
        """Return how far the new version can be compared with the old one."""
        if self.has_all_sessions(now):
            return ComparisonStage.ALONE
        return ComparisonStage.SHIFT if self.has_shift_begun(now) else ComparisonStage.TRIAL

    @property
    def is_in_progress(self) -> bool:
        """Whether neither completion nor rollback is recorded."""
        return self.recorded_phase is None or not self.recorded_phase.is_final

    def elapsed_fraction(self, now: float) -> float:
        """Return the elapsed fraction of the order's duration, 1 at its end."""
        return (now - self.started_at) / self.order.duration_s

    @property
    def completion_delay_s(self) -> float:
        """Time from the order to the completion, in seconds."""
        duration_s = self.order.duration_s
        return max(COMPLETION_TIME_FRACTION * duration_s, duration_s - COMPLETION_MARGIN_S)

    def is_shift_due(self, now: float) -> bool:
        """Tell whether the time of the trial is over."""
        return now - self.started_at > TRIAL_TIME_FRACTION * self.order.duration_s + SHIFT_MARGIN_S


@dataclass
class Rollouts:
    """The roll-outs of all services, and the sessions and answers that decide their course.

    Parameters
    ----------
    session_timeout_s : float
        Requests of a session that follow each other within this time keep a version.
    exposure_limit : float
        Fraction of a service's requests that a bad version may get.
    exposure_allowance : float
        Requests that it may get beyond that.

    Attributes
    ----------
    find_slots : callable
        Returns the slots of an endpoint of a service's version; 0 if it has none.
    """

    session_timeout_s: float = 5.0
    exposure_limit: float = DEFAULT_EXPOSURE_LIMIT
    exposure_allowance: float = 0.0
    find_slots: Callable[[str, str], int] = lambda service, version: 0
    statistics: AnswerStatistics = field(default_factory=AnswerStatistics)
    _rollouts: dict[str, Rollout] = field(default_factory=dict)
    sessions: SessionPins = field(default_factory=SessionPins)

    def find(self, service: str) -> Rollout | None:
        """Return the latest roll-out of a service."""
        return self._rollouts.get(service)

    def active(self) -> list[Rollout]:
        """Return the roll-outs that are in progress."""
        return [rollout for rollout in self._rollouts.values() if rollout.is_in_progress]

    def judged(self, now: float) -> list[Rollout]:
        """Return the roll-outs whose versions are judged: in progress or recently completed."""
        return [
            rollout
            for rollout in self._rollouts.values()
            if rollout.is_in_progress
            or (
                rollout.recorded_phase is RolloutPhase.COMPLETED
                and now - rollout.started_at < rollout.order.duration_s + JUDGE_AFTER_END_S
            )
        ]

    def completed_bad(self, now: float) -> list[Rollout]:
        """Return the recently completed roll-outs whose versions have turned out to be bad."""
        return [
            rollout
            for rollout in self.judged(now)
            if rollout.recorded_phase is RolloutPhase.COMPLETED
            and self.statistics.is_failing(rollout.order.service, rollout.order.target)
        ]

    def recent(self, now: float) -> list[Rollout]:
        """Return the roll-outs to publish to other hosts: in progress or recently ended.

        One that was rolled back after its completion is always published, because hosts that were
        cut off still take the completion for its end.
        """
        return [
            rollout
            for rollout in self._rollouts.values()
            if now - rollout.started_at < rollout.order.duration_s + PUBLISH_AFTER_END_S
            or rollout.is_rolled_back_late
        ]

    def apply_order(self, order: RolloutOrder, now: float, age_s: float = 0.0) -> bool:
        """Apply an order; True when it is new.

        Parameters
        ----------
        age_s : float
            How long ago any host first read it.
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order.offset >= order.offset:
            # Hosts that the store refuses still publish an older order. Its age, applied to the
            # known order, would end the trial at once and give a bad version all traffic.
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
            lambda session_hash: _hash_fraction(session_hash) < rollout.trial_fraction,
        )
        return True

    def apply_status(self, status: RolloutStatus) -> bool:
        """Apply a phase that the store holds; True when it changes the roll-out."""
        rollout = self._rollouts.get(status.service)
        if rollout is None or rollout.order.target != status.target:
            return False
        return rollout.record_phase(status.phase)

    def find_rolled_back(self, service: str) -> str | None:
        """Return the version of a service that was rolled back last and may get no request."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.recorded_phase is not RolloutPhase.ROLLED_BACK:
            return None
        return rollout.order.target

    def choose_version(self, work: InFlightRequest, now: float) -> VersionChoice:
        """Return the versions that may answer a request.

        The first case that applies decides. Without a roll-out any version may answer. After a
        completed roll-out only the new version may, and after a rollback any other. Before the
        shift, a request that failed doesn't get the new version, unless it resumes a stream. A
        session whose hash is outside the current fraction doesn't get it either; hashes are the
        same on all hosts. Before the shift, neither does a session while hosts are settling, nor
        one that used the old version. All other sessions get the new version only.
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
            # A request that failed during the trial is not retried on the version on trial.
            return VersionChoice(None, target, VersionReason.FAILED_BEFORE)
        key = _session_key(work)
        if _hash_fraction(key.session_hash) >= rollout.session_fraction(now):
            return VersionChoice(None, target, VersionReason.HASH)
        if not is_shifted:
            if rollout.is_settling(now):
                return VersionChoice(None, target, VersionReason.SETTLING)
            if self.sessions.is_pinned(PinnedSession(key, rollout.order.offset)):
                return VersionChoice(None, target, VersionReason.PINNED)
        return VersionChoice(frozenset((target,)), None, VersionReason.HASH)

    def find_session_to_query(self, work: InFlightRequest, now: float) -> PinnedSession | None:
        """Return the session that other hosts must be asked about first; None when none must."""
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_in_progress or work.request.session_id is None:
            return None
        if rollout.is_settling(now) or not self._is_in_trial(rollout, work, now):
            return None
        session = PinnedSession(_session_key(work), rollout.order.offset)
        return None if self.sessions.is_pinned(session) else session

    def held_sessions(self, now: float) -> list[PinnedSession]:
        """Return the sessions known to be pinned, of roll-outs that have not begun to shift."""
        return [
            PinnedSession(SessionKey(rollout.order.service, session_hash), rollout.order.offset)
            for rollout in self.active()
            if not rollout.has_shift_begun(now)
            for session_hash in self.sessions.pinned_hashes(
                rollout.order.service, rollout.order.offset
            )
        ]

    def recent_sessions(self, now: float) -> list[tuple[SessionKey, float]]:
        """Return the sessions that an order would pin if it came now, and until when they ran.

        Sessions of a service whose trial has begun may have run on the new version.
        """
        fraction = TRIAL_LIMIT_FRACTION * self.exposure_limit
        return [
            (key, busy_until)
            for key, busy_until in self.sessions.recent(now - self.session_timeout_s)
            if _hash_fraction(key.session_hash) < fraction
            and not self._has_trial_begun(key.service, now)
        ]

    def apply_recent(self, key: SessionKey, busy_until: float, now: float) -> None:
        """Apply a session that a host which stops has served lately, and pin it if one is ordered.

        Parameters
        ----------
        busy_until : float
            When its last request ended, or will end at the latest.
        """
        self.sessions.record_send(key, busy_until)
        rollout = self._rollouts.get(key.service)
        if rollout is None or not rollout.is_in_progress or self._has_trial_begun(key.service, now):
            return
        was_recent = busy_until > rollout.started_at - self.session_timeout_s
        if was_recent and _hash_fraction(key.session_hash) < rollout.trial_fraction:
            self.sessions.pin(PinnedSession(key, rollout.order.offset))

    def _has_trial_begun(self, service: str, now: float) -> bool:
        """Tell whether sessions of a service may have used the new version of a roll-out."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.is_in_progress and not rollout.is_settling(now)

    def _is_in_trial(self, rollout: Rollout, work: InFlightRequest, now: float) -> bool:
        """Tell whether a request's session takes part in the trial."""
        if rollout.has_shift_begun(now):
            return False
        return _hash_fraction(_session_key(work).session_hash) < rollout.trial_fraction

    def is_in_shift(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version that passed its trial has part of the traffic.

        That part is enough to load one of its endpoints as much as any will be loaded later.
        """
        return self._stage(service, version, now) is ComparisonStage.SHIFT

    def is_past_trial(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version passed its trial and may still be rolled back."""
        return self._stage(service, version, now) in (ComparisonStage.SHIFT, ComparisonStage.ALONE)

    def _stage(self, service: str, version: str, now: float) -> ComparisonStage | None:
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.is_in_progress or rollout.order.target != version:
            return None
        return rollout.stage(now)

    def record_send(self, work: InFlightRequest, version: str, now: float) -> None:
        """Record that a request of a session was sent to a version."""
        if work.request.session_id is None:
            return
        self.sessions.record_send(_session_key(work), work.deadline_at)
        self._pin_old_session(work, version, now)

    def record_end(self, work: InFlightRequest, version: str, now: float) -> None:
        """Record that a request of a session has ended."""
        if work.request.session_id is None:
            return
        self.sessions.record_end(_session_key(work), work.deadline_at, now)
        self._pin_old_session(work, version, now)

    def _pin_old_session(self, work: InFlightRequest, version: str, now: float) -> None:
        """Pin a session that used the old version and would take part in the trial."""
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_in_progress or version == rollout.order.target:
            return
        if self._is_in_trial(rollout, work, now):
            self.sessions.pin(PinnedSession(_session_key(work), rollout.order.offset))

    def compute_verdict(self, rollout: Rollout, now: float) -> RolloutVerdict:
        """Return the phase that is due to be recorded, and decide whether the shift begins.

        Recording the completion stops the old endpoints at once. All traffic moves well before
        that, so that their last answers can end, and only to a version that bears load. A version
        that turns bad after it is rolled back too, although nothing else can answer then.
        """
        order = rollout.order
        if rollout.recorded_phase is RolloutPhase.COMPLETED:
            return self._judge_completed(rollout, now)
        if not rollout.is_in_progress:
            return RolloutVerdict.NOTHING
        if self.statistics.is_bad(order.service, order.target, rollout.stage(now)):
            return RolloutVerdict.ROLLED_BACK
        total = self.statistics.merge_version_tallies(order.service, order.target)
        good_fraction = self.statistics.max_good_fraction(order.service, order.target)
        rollout.changes.record_totals(total.answers, total.bad, good_fraction)
        if rollout.changes.has_turned_bad:
            return RolloutVerdict.ROLLED_BACK
        answers = self.statistics.count_answers(order.service)
        min_answers = max(1.0, min(MIN_ANSWERS, MIN_ANSWERS_FRACTION * answers))
        if rollout.is_shift_due(now) and total.answers >= min_answers:
            rollout.record_shift(now)
        is_good = self.is_shown_good(rollout)
        if rollout.has_shift_begun(now) and is_good and self._bears_load(rollout):
            rollout.record_proof(now)
        is_over = rollout.proven_at is None and rollout.is_load_test_over(now)
        if is_over or (not rollout.has_all_sessions(now) and self._fails_under_load(rollout)):
            return RolloutVerdict.ROLLED_BACK
        is_completion_due = now - rollout.started_at >= rollout.completion_delay_s
        # Answers since the proof may have undone it, and a completion is final.
        if rollout.has_all_sessions(now) and is_completion_due and is_good:
            return RolloutVerdict.COMPLETED
        if rollout.elapsed_fraction(now) >= 1.0:
            return RolloutVerdict.ROLLED_BACK
        return (
            RolloutVerdict.NOTHING if rollout.recorded_phase is not None else RolloutVerdict.ACTIVE
        )

    def _judge_completed(self, rollout: Rollout, now: float) -> RolloutVerdict:
        order = rollout.order
        total = self.statistics.merge_version_tallies(order.service, order.target)
        counts = self.statistics.merge_endpoints(order.service, order.target)
        rollout.changes.record_totals(total.answers, total.bad, MAX_COMPLETED_BAD_FRACTION)
        if rollout.changes.score == 0.0 or now - rollout.changed_at > CHANGE_WINDOW_S:
            rollout.changes.score = 0.0
            rollout.changed_at, rollout.counts_before_change = now, counts
        if not rollout.changes.has_turned_bad:
            return RolloutVerdict.NOTHING
        since_change = [
            each.since(rollout.counts_before_change.get(endpoint, EndpointCounts()))
            for endpoint, each in counts.items()
        ]
        return RolloutVerdict.ROLLED_BACK if is_widespread(since_change) else RolloutVerdict.NOTHING

    def is_shown_good(self, rollout: Rollout) -> bool:
        """Tell whether the version's answers show that it neither fails nor is much slower."""
        return self.statistics.is_shown_good(rollout.order.service, rollout.order.target)

    def _bears_load(self, rollout: Rollout) -> bool:
        """Tell whether an almost full endpoint of the version has answered often enough."""
        order = rollout.order
        slots = self.find_slots(order.service, order.target)
        tally = self._tally_full_load(rollout)
        return slots > 0 and load_tests.is_proof(tally.answers, tally.bad, slots)

    def _fails_under_load(self, rollout: Rollout) -> bool:
        """Tell whether a proof doesn't hold any more: failures may reach this host after it."""
        tally = self._tally_full_load(rollout)
        is_failing = load_tests.is_failing(tally.answers, tally.bad)
        return rollout.proven_at is not None and is_failing

    def _tally_full_load(self, rollout: Rollout) -> Tally:
        order = rollout.order
        tallies = self.statistics.merge_tallies(order.service)
        return tallies.get((order.target, FULL_LOAD), Tally())

    def count_allowed_copies(self, rollout: Rollout, now: float) -> int:
        """Return how many copies may reach the version although it may turn out to be bad."""
        order = rollout.order
        exposed = self.statistics.merge_version_tallies(order.service, order.target).answers
        return load_tests.count_allowed_copies(
            load_tests.ExposureBound(rollout.exposure_limit, self.exposure_allowance),
            self.statistics.count_unloaded_answers(order.service),
            exposed + rollout.announced_copies,
            now - rollout.started_at,
            order.duration_s,
        )


def _session_key(work: InFlightRequest) -> SessionKey:
    return SessionKey(work.service, work.request.session_hash)


def _hash_fraction(session_hash: int) -> float:
    return session_hash / SESSION_HASHES
