"""What digests tell of crashes of endpoints, and of the requests and parts that cause them."""

import msgspec


class EndpointCrash(msgspec.Struct, frozen=True, array_like=True):
    """A start of an endpoint whose process has ended.

    Attributes
    ----------
    age_s : float
        How long ago that was first noticed.
    parts : list of str
        Parts of the prompts that it held and had not begun to answer.
    """

    instance_id: str
    started_ms: int
    age_s: float
    parts: list[str]


class BegunPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that is suspected, and on which an answer has begun."""

    part: str
    age_s: float


class QuarantinedParts(msgspec.Struct, frozen=True, array_like=True):
    """Parts that crash endpoints; requests that have all of them are refused.

    Attributes
    ----------
    age_s : float
        How long ago they were found.
    """

    parts: list[str]
    age_s: float


class EndUnderRequest(msgspec.Struct, frozen=True, array_like=True):
    """The end of an endpoint that was working on a request.

    Attributes
    ----------
    end_id : int
        Identifies the start of the endpoint, on all hosts.
    age_ms, held_ms : int
        How long ago it ended, and how long it had had the request by then.
    """

    end_id: int
    age_ms: int
    held_ms: int


class RequestWithEnds(msgspec.Struct, frozen=True, array_like=True):
    """A request, and the ends of endpoints under it since it was last answered whole.

    Attributes
    ----------
    fingerprint : int
        The same for each repeat of the request.
    answered_ms : int, optional
        How long ago it was last answered whole; None if the sender doesn't know that.
    """

    fingerprint: int
    ends: list[EndUnderRequest]
    answered_ms: int | None = None


class AnsweredRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was answered whole after an endpoint had ended under it."""

    fingerprint: int
    age_ms: int
