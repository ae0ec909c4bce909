"""How a send to an endpoint can fail, and what each way says about "has it run"."""

from dataclasses import dataclass

from poplarrun.placement import Seat
from poplarrun.rollouts import AnswerTimes

# Events of which the mean pause tells the pace of an answer.
FEWEST_PACED = 3


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection came about, so no byte of the request left this host."""

    reason: str


@dataclass(frozen=True, slots=True)
class SaidNotRun:
    """The endpoint states that it did not run the request.

    Attributes
    ----------
    is_other_lifetime : bool
        Whether another endpoint has the address now.
    """

    status: int
    is_other_lifetime: bool = False


@dataclass(frozen=True, slots=True)
class AnswerFailed:
    """The endpoint ran the request and answered with a failure of its own."""

    status: int


@dataclass(frozen=True, slots=True)
class ConnectionBroke:
    """The connection ended before the answer was whole; the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Garbled:
    """What came is no answer of this endpoint to this request, which may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class TookTooLong:
    """Nothing came for so long that another endpoint is asked; it may have run."""

    waited_s: float


Failure = NoConnection | SaidNotRun | AnswerFailed | ConnectionBroke | Garbled | TookTooLong


def may_have_run(failure: Failure) -> bool:
    """Tell whether the endpoint may have begun to work on the request."""
    return not isinstance(failure, NoConnection | SaidNotRun)


def reason_of(failure: Failure) -> str:
    """Return the label under which a failure is counted."""
    match failure:
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
        case Garbled():
            return "garbled"
        case TookTooLong():
            return "too_long"


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request.

    Attributes
    ----------
    sent_at : float
        When its bytes were handed to the socket.
    first_at : float, optional
        When the first event came, or the answer of a plain service.
    events : int
        Events so far.
    last_at : float, optional
        When the newest of them came.
    pause_s : float
        Longest pause between two of them.
    confidence : float, optional
        The model's own, 0 to 1.
    is_loaded : bool
        Whether it proves a version under load.
    is_judged : bool
        Whether it counts already as evidence of its version.
    """

    seat: Seat
    size: str | None
    sent_at: float
    first_at: float | None = None
    events: int = 0
    last_at: float | None = None
    pause_s: float = 0.0
    confidence: float | None = None
    is_loaded: bool = False
    is_judged: bool = False

    def note_events(self, count: int, now: float) -> None:
        """Take in events that came together."""
        if self.last_at is not None:
            self.pause_s = max(self.pause_s, now - self.last_at)
        self.last_at = now
        self.seat.member.heard_at = now
        self.events += count

    def times(self, now: float, is_ended: bool = True) -> AnswerTimes:
        """Return how long the answer took, or has taken so far.

        Prompts that were known to wait before it say nothing of its version. The first
        pause after the start of an answer under way says little of its pace.
        """
        if self.first_at is None:
            return AnswerTimes(None if is_ended else self._without_queue(now))
        pace_s = None
        if self.events >= FEWEST_PACED:
            pace_s = (now - self.first_at) / (self.events - 1 if is_ended else self.events)
        return AnswerTimes(self._without_queue(self.first_at), pace_s)

    def _without_queue(self, at: float) -> float:
        return max(0.0, at - self.sent_at - self.seat.queue_s)
