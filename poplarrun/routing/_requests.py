"""Requests, independent of the protocol that they arrive by."""

import hashlib
import zlib
from dataclasses import dataclass, field

from poplarrun.routing._catalogue import Account, Route

Headers = tuple[tuple[bytes, bytes], ...]
FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may begin with too.

    Attributes
    ----------
    key : str
        Identifies the content of the part.
    tokens : int
        Its length, in tokens.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the caller sent it.

    Attributes
    ----------
    id : str
        The caller's id of this attempt.
    headers : tuple of (bytes, bytes)
        Headers that are forwarded to the endpoint unchanged.
    time_left_s : float
        Time until the caller's deadline, in seconds.
    api_key : str, optional
        The API key that it carries.
    prompt_parts : tuple of PromptPart
        The parts of the prompt, in order.
    prompt_tokens, max_tokens : int
        Length of the prompt and maximum length of the answer, in tokens.
    model : str, optional
        The model size that the caller names; "*" allows the sizes of the route.
    session_id : str, optional
        Id that the requests of one session share.
    resume_after : int, optional
        Id of the last event that the caller received of an interrupted stream.
    hinted_tokens : int, optional
        The caller's estimate of the answer's length, in tokens. Its median is right, but single
        estimates are often far off.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    time_left_s: float
    api_key: str | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    model: str | None = None
    session_id: str | None = None
    resume_after: int | None = None
    hinted_tokens: int | None = None

    @property
    def session_hash(self) -> int:
        """Hash of the session id, or of the request id without one; the same on all hosts."""
        return zlib.crc32((self.session_id or self.id).encode())

    @property
    def expected_tokens(self) -> int:
        """Expected length of the answer, in tokens: the caller's estimate or the maximum."""
        if self.hinted_tokens is None:
            return self.max_tokens
        return min(self.hinted_tokens, self.max_tokens or self.hinted_tokens)


@dataclass(slots=True)
class InFlightRequest:
    """An admitted request and the state of its attempts.

    Attributes
    ----------
    arrived_at, deadline_at : float
        When it arrived, and when its caller must have an answer, in seconds of a clock that also
        advances while the machine is suspended.
    sends, possible_runs, failures, connect_failures : int
        Number of attempts whose bytes were written to a socket, that an endpoint may have run
        without an answer for the caller, that failed at an endpoint, and that got no connection,
        or got it when the endpoint could not get the request any more.
    may_have_run : bool
        Whether an endpoint may have started to run it.
    tried_endpoints : set of str
        Endpoints that it was sent to.
    failed_zones : dict of str to float
        Availability zones where an endpoint was not reached, and the time from which an answer
        of another endpoint there shows that only this one is down.
    last_event_id : int, optional
        Id of the last event that the caller received.
    session_version : str, optional
        Endpoint version that its session keeps.
    model_size : str, optional
        Model size of the current attempt.
    fingerprint : int
        Hash of the request's account and content, 64 bits. It is the same on all hosts, and for
        each repeat of the request, whose id, key, deadline and resumed event may differ.
    """

    request: Request
    route: Route
    account: Account | None
    service: str
    arrived_at: float
    deadline_at: float
    sends: int = 0
    possible_runs: int = 0
    failures: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    tried_endpoints: set[str] = field(default_factory=set)
    failed_zones: dict[str, float] = field(default_factory=dict)
    last_event_id: int | None = None
    session_version: str | None = None
    model_size: str | None = None
    fingerprint: int = field(init=False)

    def __post_init__(self) -> None:
        self.fingerprint = _compute_fingerprint(self.request, self.account)

    @property
    def priority(self) -> int:
        """Priority of the client account if it has one, else of the route; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def can_run_again(self) -> bool:
        """Whether another run may follow the one that an endpoint may be at work on."""
        return self.route.can_repeat and self.possible_runs + 1 < self.route.max_attempts

    def remaining_s(self, now: float) -> float:
        """Return the time until the caller's deadline, in seconds."""
        return self.deadline_at - now


def _compute_fingerprint(request: Request, account: Account | None) -> int:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    prompt = ",".join(f"{part.key}:{part.tokens}" for part in request.prompt_parts)
    texts = (request.host, request.model or "", prompt, "" if account is None else account.name)
    for value in (request.method, request.target, request.body, *map(str.encode, texts)):
        digest.update(len(value).to_bytes(LENGTH_BYTES))
        digest.update(value)
    return int.from_bytes(digest.digest())
