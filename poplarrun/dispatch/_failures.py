"""The ways an attempt can fail, and whether the request may have run in each case.

The event log contains the ``repr`` of a failure, as the detail of ``SendFailed``.
"""

from dataclasses import dataclass

from poplarrun.placement import EndpointEstimate, EndpointState
from poplarrun.rollouts import AnswerTimes
from poplarrun.routing import InFlightRequest, RepeatPolicy

# Number of events from which the mean interval between them is meaningful.
MIN_PACE_EVENTS = 3
# Last fraction of the wait for a silent answer. An endpoint that answered other requests
# within it was up when this answer was due.
RESPONSIVE_WINDOW_FRACTION = 2.0 / 3.0

# How long an answer was not read before its endpoint may have cut it off for that, and how long
# after reading it again the host still finds out.
MIN_UNREAD_S = 1.0
CUT_NOTICED_S = 1.0


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection was established, so no byte of the request left this host."""

    reason: str


@dataclass(frozen=True, slots=True)
class SaidNotRun:
    """The endpoint reported that it did not run the request.

    Attributes
    ----------
    is_other_lifetime : bool
        Whether another endpoint instance now has the address.
    """

    status: int
    is_other_lifetime: bool = False


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The endpoint ran the request and answered with an error."""

    status: int


@dataclass(frozen=True, slots=True)
class ConnectionBroke:
    """The connection closed before the answer was complete; the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class CutOffUnread:
    """The endpoint cut off an answer that this host had not read, because its caller read slowly.

    Endpoints do so after some seconds, and it tells nothing about them or their versions.
    """

    unread_s: float


@dataclass(frozen=True, slots=True)
class Garbled:
    """The response isn't this endpoint's answer to this request, which may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class TookTooLong:
    """The endpoint was silent until its timeout; the request may have run."""

    waited_s: float


@dataclass(frozen=True, slots=True)
class Withheld:
    """The endpoint may not get the request any more; no byte left this host.

    While the request waited for a connection, the endpoint's zone was evacuated, or another request
    used the last of this host's share of its rate.
    """


Failure = (
    Withheld
    | NoConnection
    | SaidNotRun
    | AnswerFailed
    | ConnectionBroke
    | CutOffUnread
    | Garbled
    | TookTooLong
)


def may_have_run(failure: Failure) -> bool:
    """Return whether the endpoint may have started to execute the request."""
    return not isinstance(failure, Withheld | NoConnection | SaidNotRun)


def failure_label(failure: Failure) -> str:
    """Return the metric label of a failure."""
    match failure:
        case Withheld():
            return "withheld"
        case NoConnection():
            return "no_connection"
        case SaidNotRun(is_other_lifetime=True):
            return "other_lifetime"
        case SaidNotRun(status=status):
            return f"not_run_{status}"
        case AnswerFailed(status=status):
            return f"answer_{status}"
        case ConnectionBroke():
            return "broken"
        case CutOffUnread():
            return "unread"
        case Garbled():
            return "garbled"
        case TookTooLong():
            return "too_long"


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request to an endpoint.

    Attributes
    ----------
    sent_at : float
        When the request's bytes were handed to the socket.
    first_event_at : float, optional
        When the first event, or the answer of a plain service, arrived.
    event_count : int
        Events received so far.
    last_event_at : float, optional
        When the most recent event arrived.
    max_gap_s : float
        Longest time between two events.
    confidence : float, optional
        The model's confidence in its answer, 0 to 1.
    is_under_load : bool
        Whether the attempt is evidence of how its version performs under load.
    is_counted : bool
        Whether the attempt was already counted as evidence about its version.
    unread_s : float
        How long the answer was not read in all, because the caller read slowly.
    unread_since, unread_until : float, optional
        Since when it is not read, and when that last ended; None if it is read, and always was.
    """

    estimate: EndpointEstimate
    size: str | None
    sent_at: float
    first_event_at: float | None = None
    event_count: int = 0
    last_event_at: float | None = None
    max_gap_s: float = 0.0
    confidence: float | None = None
    is_under_load: bool = False
    is_counted: bool = False
    unread_s: float = 0.0
    unread_since: float | None = None
    unread_until: float | None = None

    def leave_unread(self, now: float) -> None:
        """Note that the answer is not read until its caller has taken more."""
        self.unread_since = now

    def read_on(self, now: float) -> None:
        """Note that the answer is read again; the pause is not the endpoint's."""
        if self.unread_since is not None:
            self.unread_s += now - self.unread_since
            self.unread_since, self.unread_until, self.last_event_at = None, now, now

    def is_cut_off_unread(self, now: float) -> bool:
        """Return whether an answer that breaks now was lately unread for long."""
        is_late = self.unread_until is not None and now - self.unread_until < CUT_NOTICED_S
        return is_late and self.unread_s >= MIN_UNREAD_S

    def record_events(self, count: int, now: float) -> None:
        """Record events that arrived together."""
        if self.last_event_at is not None:
            self.max_gap_s = max(self.max_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.estimate.endpoint.last_response_at = now
        self.event_count += count

    def compute_times(self, now: float, is_ended: bool = True) -> AnswerTimes:
        """Return the latencies of the answer, final or so far.

        The known queue ahead of the request is subtracted, since it says nothing about
        the version. There is no pace before ``MIN_PACE_EVENTS`` events, because the first
        gap of an unfinished answer says little about it. The time since the last event of
        an unfinished answer counts as one more gap.
        """
        if self.first_event_at is None:
            return AnswerTimes(None if is_ended else self._without_queue(now))
        event_interval_s = None
        if self.event_count >= MIN_PACE_EVENTS:
            read_at = now if self.unread_since is None else min(now, self.unread_since)
            event_interval_s = (read_at - self.first_event_at - self.unread_s) / (
                self.event_count - 1 if is_ended else self.event_count
            )
        return AnswerTimes(self._without_queue(self.first_event_at), event_interval_s)

    def _without_queue(self, at: float) -> float:
        return max(0.0, at - self.sent_at - self.estimate.queue_s)


def is_unreached(work: InFlightRequest, attempt: Attempt | None, failure: Failure) -> bool:
    """Return whether a failed attempt is evidence that its endpoint is down.

    One that has begun to answer is up, and an overloaded plain service takes too long as well.
    """
    if attempt is None or attempt.first_event_at is not None:
        return False
    match failure:
        case ConnectionBroke():
            return True
        case TookTooLong():
            return work.route.repeat_policy is RepeatPolicy.STREAM
        case _:
            return False


def was_responsive(endpoint: EndpointState, waited_s: float, now: float) -> bool:
    """Return whether an endpoint answered other requests late in the wait for this one."""
    return now - endpoint.last_response_at < RESPONSIVE_WINDOW_FRACTION * waited_s
