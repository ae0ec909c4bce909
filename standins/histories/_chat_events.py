"""Events recorded while simulated chats run, as callers, hosts, engines and the log see them."""

import enum
from dataclasses import dataclass, field

from standins.histories._events import RecordedBill


class ChatEnd(enum.Enum):
    """How a chat ended for its caller."""

    COMPLETE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    CALLER_LEFT = "left"


@dataclass(frozen=True, slots=True)
class VersionPolicy:
    """The versions that a configuration offers and those that each client account may use.

    Attributes
    ----------
    offered : frozenset of str
        Versions that are not withdrawn.
    allowed : dict of str to frozenset of str
        Versions by client account, including withdrawn ones.
    """

    offered: frozenset[str]
    allowed: dict[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class ChatInvoke:
    """A caller sent a chat to a host; ``pinned`` is the version in its session token."""

    at_s: float
    request_id: str
    account: str
    host: str
    session: str = ""
    pinned: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A host applied a configuration after reading the log up to offset ``read_to``."""

    at_s: float
    host: str
    read_to: int
    policy: VersionPolicy


@dataclass(frozen=True, slots=True)
class AttemptGranted:
    """A host granted an attempt after ``applied_count`` configurations were recorded.

    Virtual time does not advance while a host runs, so timestamps can be equal and
    only the order of recording shows which of two events came first.
    """

    at_s: float
    request_id: str
    host: str
    version: str
    applied_count: int


@dataclass(frozen=True, slots=True)
class GenerationStarted:
    """An engine started or resumed a generation."""

    at_s: float
    request_id: str
    generation: int
    version: str


@dataclass(frozen=True, slots=True)
class Generation:
    """An engine's answer, whose tokens each identify their generation and position."""

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
    """The outcome of a chat and the text that its caller received."""

    at_s: float
    request_id: str
    end: ChatEnd
    text: str = ""
    version: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class VersionWithdrawn:
    """The log accepted a version's withdrawal; at ``until_s`` the version is offered again."""

    at_s: float
    version: str
    until_s: float


@dataclass(frozen=True, slots=True)
class SessionDisruption:
    """A session owner that a host could not query, or that lost its state.

    Attributes
    ----------
    session : str
        The affected session; empty if all sessions are affected.
    cause : str
        ``silent``, ``out of sight`` or ``lost its memory``.
    """

    at_s: float
    session: str
    cause: str


@dataclass
class ChatHistory:
    """All events of one run, each list in chronological order.

    Attributes
    ----------
    accepted : dict of int to VersionPolicy
        The policy after each record of the log by offset, computed independently of the product.
    out_of_reach : dict of str to list of (float, float)
        Intervals in which a host reached neither the log nor a peer that reached it.
    unreplicated_bills, bills_with_dead_holders, bills_adopted_by_peers : set of str
        Requests whose bill only their host held, whose bill's holders were all killed,
        and whose open bill peers finished because they considered the host dead.
    failed_messages : list of str
        Worker messages that the host's loop could not answer.
    """

    invokes: list[ChatInvoke] = field(default_factory=list)
    configurations_applied: list[ConfigurationApplied] = field(default_factory=list)
    attempts_granted: list[AttemptGranted] = field(default_factory=list)
    generation_starts: list[GenerationStarted] = field(default_factory=list)
    generations: dict[int, Generation] = field(default_factory=dict)
    answers: list[ChatAnswer] = field(default_factory=list)
    accepted: dict[int, VersionPolicy] = field(default_factory=dict)
    version_withdrawals: list[VersionWithdrawn] = field(default_factory=list)
    session_disruptions: list[SessionDisruption] = field(default_factory=list)
    bills: list[RecordedBill] = field(default_factory=list)
    out_of_reach: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    unreplicated_bills: set[str] = field(default_factory=set)
    bills_with_dead_holders: set[str] = field(default_factory=set)
    bills_adopted_by_peers: set[str] = field(default_factory=set)
    failed_messages: list[str] = field(default_factory=list)
