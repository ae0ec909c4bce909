"""How a send to an endpoint can fail, and what each way says about "has it run"."""

from dataclasses import dataclass

from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import AnswerTimes

# Events of which the mean pause tells the pace of an answer.
FEWEST_PACED = 3


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection came about, so no byte of the request left this host."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The endpoint states that it did not run the request.

    Attributes
    ----------
    is_other_instance : bool
        Whether another endpoint has the address now.
    """

    status: int
    is_other_instance: bool = False


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The endpoint ran the request and answered with a failure of its own."""

    status: int


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended before the answer was whole; the request may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class Garbled:
    """What came is no answer of this endpoint to this request, which may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """Nothing came for so long that another endpoint is asked; it may have run."""

    waited_s: float


Failure = NoConnection | NotExecuted | ErrorResponse | ConnectionLost | Garbled | ResponseTimeout


def may_have_run(failure: Failure) -> bool:
    """Tell whether the endpoint may have begun to work on the request."""
    return not isinstance(failure, NoConnection | NotExecuted)


def failure_label(failure: Failure) -> str:
    """Return the label under which a failure is counted."""
    match failure:
        case NoConnection():
            return "no_connection"
        case NotExecuted(is_other_instance=True):
            return "other_lifetime"
        case NotExecuted(status=status):
            return f"not_run_{status}"
        case ErrorResponse(status=status):
            return f"answer_{status}"
        case ConnectionLost():
            return "broken"
        case Garbled():
            return "garbled"
        case ResponseTimeout():
            return "too_long"


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request.

    Attributes
    ----------
    sent_at : float
        When its bytes were handed to the socket.
    first_event_at : float, optional
        When the first event came, or the answer of a plain service.
    event_count : int
        Events so far.
    last_event_at : float, optional
        When the newest of them came.
    max_gap_s : float
        Longest pause between two of them.
    confidence : float, optional
        The model's own, 0 to 1.
    is_under_load : bool
        Whether it proves a version under load.
    is_counted : bool
        Whether it counts already as evidence of its version.
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

    def record_events(self, count: int, now: float) -> None:
        """Take in events that came together."""
        if self.last_event_at is not None:
            self.max_gap_s = max(self.max_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.estimate.endpoint.last_response_at = now
        self.event_count += count

    def compute_times(self, now: float, is_ended: bool = True) -> AnswerTimes:
        """Return how long the answer took, or has taken so far.

        Prompts that were known to wait before it say nothing of its version. The first
        pause after the start of an answer under way says little of its pace.
        """
        if self.first_event_at is None:
            return AnswerTimes(None if is_ended else self._without_queue(now))
        pace_s = None
        if self.event_count >= FEWEST_PACED:
            pace_s = (now - self.first_event_at) / (
                self.event_count - 1 if is_ended else self.event_count
            )
        return AnswerTimes(self._without_queue(self.first_event_at), pace_s)

    def _without_queue(self, at: float) -> float:
        return max(0.0, at - self.sent_at - self.estimate.queue_s)
