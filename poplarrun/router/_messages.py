"""The messages by which a worker thread asks the loop for decisions."""

from dataclasses import dataclass, field

from poplarrun.billing import Bill
from poplarrun.claims import Ran
from poplarrun.clients import PreparedCall, ServiceResponse, Usage
from poplarrun.contracts import Operation, VersionId


@dataclass(frozen=True, slots=True)
class BeginChat:
    """A caller's chat request arrived.

    Attributes
    ----------
    api_key : str
        The caller's key, as presented.
    class_name : str
        The class of work asked for.
    prompt_tokens, max_tokens : int
        Length of the prompt, bound of the answer, in tokens.
    session : str, optional
        The caller's session id.
    blocks : tuple of int
        Hashes of the prompt's beginnings, by which engines cache them.
    session_token : str, optional
        The token that an earlier answer of the session carried.
    pinned_version : VersionId, optional
        The version that the session keeps; None while it has none.
    """

    request_id: str
    api_key: str
    class_name: str
    prompt_tokens: int
    max_tokens: int
    session: str | None = None
    blocks: tuple[int, ...] = ()
    session_token: str | None = None
    pinned_version: VersionId | None = None


@dataclass(frozen=True, slots=True)
class ChatGrant:
    """Where the worker must send the request now.

    Attributes
    ----------
    endpoint : str
        Name of the model engine.
    address : str
        Its ``ip:port``.
    version : VersionId
        What must generate the answer.
    priority : int
        Engine priority.
    timeout_s : float
        Seconds left until the request's deadline.
    delay_s : float
        Seconds to wait before sending: the pause before a retry.
    is_sampled : bool
        Whether the worker keeps the answer's text, to be rated.
    must_buffer : bool
        Whether the worker holds the whole answer back and asks ``JudgeChat``.
    session_token : str, optional
        What the caller may carry to keep the session's version.
    is_resume : bool
        Whether the stream goes on where it broke; else it begins anew.
    cache_from : str
        Address of the engine whose KV cache of the stream must be moved first.
    """

    endpoint: str
    address: str
    version: VersionId
    priority: int
    timeout_s: float
    delay_s: float = 0.0
    is_sampled: bool = False
    must_buffer: bool = False
    session_token: str | None = None
    is_resume: bool = False
    cache_from: str = ""


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of an answer reached the worker."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt broke; the worker asks where to go on.

    Attributes
    ----------
    may_have_started : bool
        Whether the endpoint may have begun.
    reason : str
        Counter label.
    position : int
        Tokens that the worker has, in order.
    is_delivered : bool
        Whether the caller was given them already.
    """

    request_id: str
    may_have_started: bool
    reason: str
    position: int
    is_delivered: bool = True


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call of a plain service broke; the worker asks where to go on.

    Attributes
    ----------
    reason : str
        Counter label.
    """

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class EndChat:
    """An answer ended.

    Attributes
    ----------
    usage : Usage
        What was used; for a cut-off answer, what was generated.
    is_complete : bool
        Whether the caller got the whole answer.
    text : str, optional
        The answer, when it is to be rated.
    """

    request_id: str
    usage: Usage
    is_complete: bool
    text: str | None = None


@dataclass(frozen=True, slots=True)
class JudgeChat:
    """The first answer of a cascade is whole; the worker asks whether to give it out."""

    end: EndChat


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """The held answer goes to the caller."""


@dataclass(frozen=True, slots=True)
class BeginOperation:
    """A caller's call of a plain service arrived.

    Attributes
    ----------
    idempotency_key : str, optional
        The caller's key; a non-idempotent operation runs once under it.
    fingerprint : bytes
        Digest of the operation and its body.
    """

    request_id: str
    api_key: str
    service: str
    operation: str
    idempotency_key: str | None = None
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True)
class OperationGrant:
    """Where the worker must send the call now.

    Attributes
    ----------
    delay_s : float
        Seconds to wait before sending: the pause before a retry.
    """

    endpoint: str
    address: str
    operation: Operation
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Replay:
    """The answer that an earlier call with the same key got."""

    ran: Ran


@dataclass(frozen=True, slots=True)
class SendOperation:
    """The call's connection is open; the loop decides and hands the bytes over."""

    request_id: str
    call: PreparedCall


@dataclass(frozen=True, slots=True)
class SendResult:
    """The loop let the call go.

    Attributes
    ----------
    is_sent : bool
        Whether a byte went out.
    timeout_s : float
        Seconds left until the call's deadline.
    """

    is_sent: bool
    timeout_s: float


@dataclass(frozen=True, slots=True)
class EndOperation:
    """A call of a plain service was answered."""

    request_id: str
    answer: ServiceResponse


@dataclass(frozen=True, slots=True)
class FindOperation:
    """Asks what is known of the operation under an idempotency key."""

    api_key: str
    key: str


@dataclass
class Explanation:
    """Why a request went where it went, for ``poplarrun explain``."""

    request_id: str
    account: str
    subject: str
    config_offset: int
    considered: list[str] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    outcome: str = "in progress"
    bill: Bill | None = None
