"""The events of a history: what callers, services and the log saw."""

import enum
from dataclasses import dataclass, field


class AnswerKind(enum.Enum):
    """What a caller was told."""

    RAN = "ran"
    REPLAYED = "replayed"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class Invoke:
    """A caller sent a request to a host."""

    at: float
    request_id: str
    key: str
    host: str


@dataclass(frozen=True, slots=True)
class Answer:
    """A caller was answered; ``NOTHING`` when its host died or it went away.

    Attributes
    ----------
    body : str
        The answer's text, where there is one.
    reason : str
        Error kind of a refusal.
    """

    at: float
    request_id: str
    kind: AnswerKind
    body: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Effect:
    """A service ran a call.

    Attributes
    ----------
    body : str
        What it answers.
    sent_at : float
        When the call's bytes were handed over.
    """

    at: float
    request_id: str
    key: str
    body: str
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class BillRecorded:
    """A bill stands in the statement that the log gives."""

    request_id: str
    amount: float


@dataclass
class History:
    """All events of one run.

    Attributes
    ----------
    invokes, answers, effects, bills : list
        The events by kind; no list of bills where the run has no billing.
    kept_alone : set of str
        Requests answered while neither peers nor the log could take the bill:
        it is lost if that host dies before either is back.
    lost_holders : set of str
        Requests whose bills were held by three hosts that were all killed
        within seconds: more than the copies are made for.
    deadlines : dict of str to float
        When each request must have been sent, by its id.
    final : dict of str to AnswerKind
        What a last repeat of each key was told, after all faults had ended.
    """

    invokes: list[Invoke] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    bills: list[BillRecorded] | None = None
    kept_alone: set[str] = field(default_factory=set)
    lost_holders: set[str] = field(default_factory=set)
    deadlines: dict[str, float] = field(default_factory=dict)
    final: dict[str, AnswerKind] = field(default_factory=dict)
