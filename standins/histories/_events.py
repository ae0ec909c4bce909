"""Events recorded while simulated operations run, as callers, services and the log see them."""

import enum
from dataclasses import dataclass, field


class AnswerKind(enum.Enum):
    """The outcome for a caller; ``NO_ANSWER`` if its host had died or it stopped waiting."""

    RAN = "ran"
    REPLAYED = "replayed"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    NO_ANSWER = "nothing"


@dataclass(frozen=True, slots=True)
class Invoke:
    """A caller sent a request to a host."""

    at_s: float
    request_id: str
    key: str
    host: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A caller received an answer.

    Attributes
    ----------
    body : str
        The answer's text, if there is one.
    reason : str
        Error kind of a refusal.
    """

    at_s: float
    request_id: str
    kind: AnswerKind
    body: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Effect:
    """A service executed a call.

    Attributes
    ----------
    body : str
        The service's answer.
    sent_at_s : float
        When the host started to send the call.
    """

    at_s: float
    request_id: str
    key: str
    body: str
    sent_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RecordedBill:
    """A bill in the statement that is built from the log."""

    request_id: str
    amount: float


@dataclass
class History:
    """All events of one run.

    Attributes
    ----------
    invokes, answers, effects, bills : list
        The events by kind; ``bills`` is None if the run has no billing.
    unreplicated_bills : set of str
        Requests answered while neither peers nor the log could store the bill:
        it is lost if the host dies before either is available again.
    bills_with_dead_holders : set of str
        Requests whose bills were held by three hosts that were all killed
        within seconds, which is more failures than replication tolerates.
    send_deadlines_s : dict of str to float
        Latest time at which each request may be sent to the service, by request id.
    final_answers : dict of str to AnswerKind
        The answer to the last retry of each key, after all faults had ended.
    """

    invokes: list[Invoke] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    bills: list[RecordedBill] | None = None
    unreplicated_bills: set[str] = field(default_factory=set)
    bills_with_dead_holders: set[str] = field(default_factory=set)
    send_deadlines_s: dict[str, float] = field(default_factory=dict)
    final_answers: dict[str, AnswerKind] = field(default_factory=dict)
