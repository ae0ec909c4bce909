"""The course of roll-outs: who gets the new version, and when it is through or out."""

import enum
from dataclasses import dataclass, field

from poplarrun.rollouts._evidence import Evidence, Stage
from poplarrun.rollouts._sessions import HeldSession, SessionKey, Sessions
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus, Work

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

    only: frozenset[str] | None
    avoided: str | None
    reason: VersionReason


class Verdict(enum.Enum):
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
    begun_at: float
    exposure: float
    recorded: RolloutPhase | None = None
    shifted_at: float | None = None

    def shift(self, at: float) -> bool:
        """Let sessions change to the new version; True where that was not known."""
        was_known = self.shifted_at is not None
        self.shifted_at = at if self.shifted_at is None else min(self.shifted_at, at)
        return not was_known

    def is_shifted(self, now: float) -> bool:
        """Tell whether sessions may change to the new version now."""
        return self.shifted_at is not None and now - self.shifted_at >= SHIFT_DELAY_S

    def is_settling(self, now: float) -> bool:
        """Tell whether hosts may not know yet which sessions are on the old version."""
        return now - self.begun_at < TRIAL_DELAY_S

    @property
    def trial_share(self) -> float:
        """Share of the sessions that the trial may take."""
        return TRIAL_OF_BOUND * self.exposure

    def share(self, now: float) -> float:
        """Return the share of the sessions that the new version gets."""
        if not self.is_shifted(now):
            return self.trial_share
        if self.has_all(now):
            return 1.0
        return min(MOST_SHIFT_SHARE, SHIFT_OF_BOUND * self.exposure)

    def has_all(self, now: float) -> bool:
        """Tell whether the new version gets all sessions."""
        if self.shifted_at is None or not self.is_shifted(now):
            return False
        return now - self.shifted_at >= SHIFT_PART * self.order.duration_s

    def stage(self, now: float) -> Stage:
        """Return how much the new version can be compared with the old one."""
        if self.has_all(now):
            return Stage.ALONE
        return Stage.SHIFT if self.is_shifted(now) else Stage.TRIAL

    @property
    def is_open(self) -> bool:
        """Whether it is under way."""
        return self.recorded is None or not self.recorded.is_final

    def part(self, now: float) -> float:
        """Return how much of its time is over, 1 at its end."""
        return (now - self.begun_at) / self.order.duration_s

    def may_shift(self, now: float) -> bool:
        """Tell whether sessions may change to the new version."""
        return now - self.begun_at > TRIAL_PART * self.order.duration_s + HALF_MARGIN_S


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

    session_s: float = 5.0
    exposure: float = USUAL_EXPOSURE
    evidence: Evidence = field(default_factory=Evidence)
    _rollouts: dict[str, Rollout] = field(default_factory=dict)
    sessions: Sessions = field(default_factory=Sessions)

    def find(self, service: str) -> Rollout | None:
        """Return the last roll-out of a service."""
        return self._rollouts.get(service)

    def active(self) -> list[Rollout]:
        """Return the roll-outs that are under way."""
        return [rollout for rollout in self._rollouts.values() if rollout.is_open]

    def recent(self, now: float) -> list[Rollout]:
        """Return the roll-outs that are under way, or ended not long ago."""
        return [
            rollout
            for rollout in self._rollouts.values()
            if now - rollout.begun_at < rollout.order.duration_s + TOLD_S
        ]

    def take_order(self, order: RolloutOrder, now: float, age_s: float = 0.0) -> bool:
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
                known.begun_at = min(known.begun_at, now - age_s)
            return False
        if known is not None:
            self.evidence.forget(order.service)
        rollout = Rollout(order, now - age_s, self.exposure)
        self._rollouts[order.service] = rollout
        self.sessions.forget(order.service, order.offset)
        self.sessions.hold_recent(
            order.service,
            order.offset,
            now - self.session_s,
            lambda number: _point(number) < rollout.trial_share,
        )
        return True

    def take_status(self, status: RolloutStatus) -> bool:
        """Take in what is recorded; True when that is news.

        A final phase stays: a record of a host that was paused meanwhile can't
        bring a withdrawn version back.
        """
        rollout = self._rollouts.get(status.service)
        if rollout is None or rollout.order.target != status.target:
            return False
        if rollout.recorded is status.phase:
            return False
        if not rollout.is_open:
            return False
        rollout.recorded = status.phase
        return True

    def pick_version(self, work: Work, now: float) -> VersionChoice:
        """Return the versions that may answer a request.

        A session that was on the old version stays there until the shift. All others go by
        their hash, which is the same on all hosts.
        """
        rollout = self._rollouts.get(work.service)
        if rollout is None:
            return VersionChoice(None, None, VersionReason.NO_ROLLOUT)
        target = rollout.order.target
        match rollout.recorded:
            case RolloutPhase.COMPLETED:
                return VersionChoice(frozenset((target,)), None, VersionReason.RECORDED)
            case RolloutPhase.ROLLED_BACK:
                return VersionChoice(None, target, VersionReason.RECORDED)
        is_shifted = rollout.is_shifted(now)
        if work.failures and not is_shifted and work.last_event is None:
            # What failed while a version is on trial is not tried there once more.
            return VersionChoice(None, target, VersionReason.FAILED_BEFORE)
        key = _key_of(work)
        if _point(key.number) >= rollout.share(now):
            return VersionChoice(None, target, VersionReason.HASH)
        if not is_shifted:
            if rollout.is_settling(now):
                return VersionChoice(None, target, VersionReason.SETTLING)
            if self.sessions.is_held(HeldSession(key, rollout.order.offset)):
                return VersionChoice(None, target, VersionReason.HELD)
        return VersionChoice(frozenset((target,)), None, VersionReason.HASH)

    def find_unknown(self, work: Work, now: float) -> HeldSession | None:
        """Return what other hosts must be asked before a version is picked, if anything."""
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_open or work.request.session is None:
            return None
        if rollout.is_settling(now) or not self._is_tried(rollout, work, now):
            return None
        held = HeldSession(_key_of(work), rollout.order.offset)
        return None if self.sessions.is_held(held) else held

    def _is_tried(self, rollout: Rollout, work: Work, now: float) -> bool:
        """Tell whether a request's session is one of those that the trial may take."""
        if rollout.is_shifted(now):
            return False
        return _point(_key_of(work).number) < rollout.trial_share

    def is_proving(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version that passed its trial has more traffic now, but not all.

        That is enough to load one of its endpoints as much as any will ever be.
        """
        return self._stage(service, version, now) is Stage.SHIFT

    def is_past_trial(self, service: str, version: str, now: float) -> bool:
        """Tell whether a version passed its trial, and may still be taken back."""
        return self._stage(service, version, now) in (Stage.SHIFT, Stage.ALONE)

    def _stage(self, service: str, version: str, now: float) -> Stage | None:
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.is_open or rollout.order.target != version:
            return None
        return rollout.stage(now)

    def note_sent(self, work: Work, version: str, now: float) -> None:
        """Note that a request of a session runs on a version."""
        if work.request.session is None:
            return
        self.sessions.note_sent(_key_of(work), work.give_up_at)
        self._hold_old(work, version, now)

    def note_end(self, work: Work, version: str, now: float) -> None:
        """Note that a request of a session has ended."""
        if work.request.session is None:
            return
        self.sessions.note_end(_key_of(work), work.give_up_at, now)
        self._hold_old(work, version, now)

    def _hold_old(self, work: Work, version: str, now: float) -> None:
        rollout = self._rollouts.get(work.service)
        if rollout is None or not rollout.is_open or version == rollout.order.target:
            return
        if self._is_tried(rollout, work, now):
            self.sessions.hold(HeldSession(_key_of(work), rollout.order.offset))

    def judge(self, rollout: Rollout, now: float) -> Verdict:
        """Decide what should be recorded of a roll-out now.

        The old endpoints are stopped at once when it is recorded as completed. So that
        their last answers end before, all traffic moves well ahead of that.
        """
        order = rollout.order
        if not rollout.is_open:
            return Verdict.NOTHING
        if self.evidence.is_bad(order.service, order.target, rollout.stage(now)):
            return Verdict.ROLLED_BACK
        all_ended = self.evidence.all_ended(order.service)
        needed = max(1.0, min(FEWEST_SEEN, FEWEST_SEEN_PART * all_ended))
        enough = self.evidence.of_version(order.service, order.target).ended >= needed
        if rollout.may_shift(now) and enough:
            rollout.shift(now)
        if rollout.shifted_at is not None and rollout.part(now) >= LATEST_PART:
            return Verdict.COMPLETED
        if rollout.part(now) >= 1.0:
            return Verdict.ROLLED_BACK
        return Verdict.NOTHING if rollout.recorded is not None else Verdict.ACTIVE


def _key_of(work: Work) -> SessionKey:
    return SessionKey(work.service, work.request.session_number)


def _point(number: int) -> float:
    return number / SESSION_NUMBERS
