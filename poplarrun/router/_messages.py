"""The messages that worker threads send to the event loop, and its answers."""

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
        The caller's API key, unchecked.
    class_name : str
        The requested class of work.
    prompt_tokens, max_tokens : int
        Length of the prompt and maximum length of the answer, in tokens.
    session : str, optional
        The caller's session id.
    blocks : tuple of int
        Hashes of the prompt's prefixes, by which engines cache them.
    session_token : str, optional
        The token that was returned with an earlier answer of the session.
    pinned_version : VersionId, optional
        The version of the session; None if it has none yet.
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
    """The endpoint to which the worker must send the request now.

    Attributes
    ----------
    endpoint : str
        Name of the model engine.
    address : str
        The engine's ``ip:port``.
    version : VersionId
        The version that must generate the answer.
    priority : int
        Priority of the request at the engine.
    timeout_s : float
        Seconds left until the request's deadline.
    delay_s : float
        Seconds to wait before sending, for a retry.
    is_sampled : bool
        Whether the worker returns the answer's text in ``EndChat``, to be rated.
    must_buffer : bool
        Whether the worker buffers the whole answer and then sends ``JudgeChat``.
    session_token : str, optional
        Token by which the caller's next requests keep the session's version.
    is_resume : bool
        Whether the stream continues where it broke; otherwise it starts from the beginning.
    cache_from : str
        Address of the engine from which the stream's KV cache must be moved first, or empty.
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
    """An attempt failed; the worker asks where to continue.

    Attributes
    ----------
    may_have_started : bool
        Whether the endpoint may have started.
    reason : str
        Metric label.
    position : int
        Number of tokens received without a gap.
    is_delivered : bool
        Whether these tokens were already sent to the caller.
    """

    request_id: str
    may_have_started: bool
    reason: str
    position: int
    is_delivered: bool = True


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call of a plain service failed; the worker asks where to continue.

    Attributes
    ----------
    reason : str
        Metric label.
    """

    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class EndChat:
    """An answer ended.

    Attributes
    ----------
    usage : Usage
        Tokens of the prompt and of the answer, or of the generated part of it.
    is_complete : bool
        Whether the caller got the whole answer.
    text : str, optional
        The text of the answer, if it is to be rated.
    """

    request_id: str
    usage: Usage
    is_complete: bool
    text: str | None = None


@dataclass(frozen=True, slots=True)
class JudgeChat:
    """The first answer of a cascade is complete; the worker asks whether to return it."""

    end: EndChat


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """The buffered answer is returned to the caller."""


@dataclass(frozen=True, slots=True)
class BeginOperation:
    """A caller's call of a plain service arrived.

    Attributes
    ----------
    idempotency_key : str, optional
        The caller's key, under which a non-idempotent operation runs only once.
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
    """The endpoint to which the worker must send the call now.

    Attributes
    ----------
    delay_s : float
        Seconds to wait before sending, for a retry.
    """

    endpoint: str
    address: str
    operation: Operation
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Replay:
    """The recorded answer of an earlier call with the same key."""

    ran: Ran


@dataclass(frozen=True, slots=True)
class SendOperation:
    """The call's connection is open; the event loop checks the call and sends its bytes."""

    request_id: str
    call: PreparedCall


@dataclass(frozen=True, slots=True)
class SendResult:
    """The result of sending a call.

    Attributes
    ----------
    is_sent : bool
        Whether any byte was sent.
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
    """Asks for the known outcome of the operation under an idempotency key."""

    api_key: str
    key: str


@dataclass
class Explanation:
    """How a request was routed and why, for ``poplarrun explain``."""

    request_id: str
    account: str
    subject: str
    config_offset: int
    considered: list[str] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    outcome: str = "in progress"
    bill: Bill | None = None
