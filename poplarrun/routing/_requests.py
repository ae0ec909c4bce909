"""A request as the decisions see it, whatever protocol it came by."""

import zlib
from dataclasses import dataclass, field

from poplarrun.routing._catalogue import Account, Route

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A beginning of a prompt that other requests may share.

    Attributes
    ----------
    key : str
        Names the part's content.
    tokens : int
        Its length.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Request:
    """What a caller sent.

    Attributes
    ----------
    id : str
        The caller's id of this attempt.
    headers : tuple of (bytes, bytes)
        Headers that go to the endpoint as they are.
    time_left_s : float
        How long the caller waits.
    api_key : str, optional
        The presented key.
    parts : tuple of PromptPart
        The prompt in order.
    prompt_tokens, most_tokens : int
        Length of the prompt, bound of the answer, in tokens.
    model : str, optional
        The model that the caller names; "*" leaves it to the route's sizes.
    session : str, optional
        Requests of one session belong together.
    resume_after : int, optional
        Id of the last event of a broken stream that the caller has.
    hinted_tokens : int, optional
        The caller's estimate of the answer's length: right at the median, often far off.
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
        """Hash of the session's id, the same on all hosts; of the request's without one."""
        return zlib.crc32((self.session_id or self.id).encode())

    @property
    def expected_tokens(self) -> int:
        """Length of the answer as far as anybody can tell, in tokens."""
        if self.hinted_tokens is None:
            return self.max_tokens
        return min(self.hinted_tokens, self.max_tokens or self.hinted_tokens)


@dataclass(slots=True)
class InFlightRequest:
    """An admitted request on its way; changed by the decisions only.

    Attributes
    ----------
    arrived_at, give_up_at : float
        When it came, and when its caller must have an answer, in seconds of the
        clock that counts suspension.
    sends, runs, failures, connect_failures : int
        Times that its bytes went to a socket, that an endpoint may have run it without
        an answer for the caller, that it failed there, and that no connection came about.
    may_have_run : bool
        Whether an endpoint may have begun.
    tried : set of str
        Endpoints that it was sent to.
    last_event : int, optional
        Id of the last event that the caller has.
    version : str, optional
        Endpoint version that its session keeps.
    size : str, optional
        Model of the present send.
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
    last_event_id: int | None = None
    session_version: str | None = None
    model_size: str | None = None

    @property
    def priority(self) -> int:
        """Importance; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the caller must have an answer."""
        return self.deadline_at - now
