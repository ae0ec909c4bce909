"""The events of a history of chats: what callers, hosts, engines and the log saw."""

import enum
from dataclasses import dataclass, field

from standins.histories._events import BillRecorded


class ChatEnd(enum.Enum):
    """How a chat ended for its caller."""

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Terms:
    """What a configuration allows.

    Attributes
    ----------
    offered : frozenset of str
        Versions that are not withdrawn.
    allowed : dict of str to frozenset of str
        Versions by client account, withdrawn ones among them.
    """

    offered: frozenset[str]
    allowed: dict[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class ChatInvoke:
    """A caller sent a chat to a host; ``pinned`` is the version its token names."""

    at: float
    request_id: str
    account: str
    host: str
    session: str = ""
    pinned: str = ""


@dataclass(frozen=True, slots=True)
class InForce:
    """A host put a configuration in force, having read the log up to ``read_to``."""

    at: float
    host: str
    read_to: int
    terms: Terms


@dataclass(frozen=True, slots=True)
class Granted:
    """A host granted an attempt, when so many events of ``in_force`` were written down.

    Virtual time stands still while a host takes its steps: only the order tells
    which of two came first.
    """

    at: float
    request_id: str
    host: str
    version: str
    after: int


@dataclass(frozen=True, slots=True)
class Began:
    """An engine began a generation, or went on with one."""

    at: float
    request_id: str
    generation: int
    version: str


@dataclass(frozen=True, slots=True)
class Generation:
    """An answer of an engine, whose every token names its generation and position."""

    number: int
    engine_id: str
    version: str
    length: int

    def token(self, position: int) -> str:
        """Return one token's text."""
        return f"{self.engine_id}/{self.number}/{position} "

    @property
    def text(self) -> str:
        """The whole answer."""
        return "".join(self.token(position) for position in range(self.length))


@dataclass(frozen=True, slots=True)
class ChatAnswer:
    """What a caller got; ``steps`` counts the answers that the request's price is made of."""

    at: float
    request_id: str
    end: ChatEnd
    text: str = ""
    version: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """A version's withdrawal was accepted in the log, until it is offered again."""

    at: float
    version: str
    until: float


@dataclass(frozen=True, slots=True)
class Disturbed:
    """A home of sessions that a host could not ask, or that lost what it kept.

    Attributes
    ----------
    session : str
        The session that it was asked for; empty where it is about all of them.
    why : str
        ``silent``, ``out of sight`` or ``lost its memory``.
    """

    at: float
    session: str
    why: str


@dataclass
class ChatHistory:
    """All events of one run, each list in the order of time.

    Attributes
    ----------
    accepted : dict of int to Terms
        What the log says after each of its records, by a fold of the checker's own.
    out_of_reach : dict of str to list of (float, float)
        When each host reached neither the log nor a peer that reached it.
    kept_alone, lost_holders, finished_by_peers : set of str
        Requests whose bill only their host held, whose holders were all killed,
        and whose open bill peers finished because they took the host for dead.
    failed : list of str
        Messages of workers that the host's loop could not answer.
    """

    invokes: list[ChatInvoke] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    granted: list[Granted] = field(default_factory=list)
    began: list[Began] = field(default_factory=list)
    generations: dict[int, Generation] = field(default_factory=dict)
    answers: list[ChatAnswer] = field(default_factory=list)
    accepted: dict[int, Terms] = field(default_factory=dict)
    withdrawn: list[Withdrawn] = field(default_factory=list)
    disturbed: list[Disturbed] = field(default_factory=list)
    bills: list[BillRecorded] = field(default_factory=list)
    out_of_reach: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    kept_alone: set[str] = field(default_factory=set)
    lost_holders: set[str] = field(default_factory=set)
    finished_by_peers: set[str] = field(default_factory=set)
    failed: list[str] = field(default_factory=list)
