"""Messages by which a host asks a host of another zone for an endpoint there."""

from typing import Annotated

import msgspec

# Counts of tokens and milliseconds of a peer; a negative one would make an endpoint look faster
# than idle.
Count = Annotated[int, msgspec.Meta(ge=0)]


class QueriedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt."""

    key: str
    tokens: Count


class EndpointQuery(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Asks for the best endpoint of the receiver's zone for one send.

    Attributes
    ----------
    number : int
        Unique among the queries of the sender.
    model : str
        Model size that is to answer; empty for none.
    parts : list of QueriedPart
        The parts of the prompt, in order.
    versions : list of str, optional
        The only versions that may answer; None allows all.
    avoided_version : str, optional
        The version that may not answer.
    tried : list of str
        Endpoints that the request was sent to.
    max_first_event_ms : int
        Longest expected time to the first event that is still better than staying in the sender's
        zone.
    """

    address: str
    number: int
    service: str
    model: str
    parts: list[QueriedPart]
    prompt_tokens: Count
    versions: list[str] | None
    avoided_version: str | None
    tried: list[str]
    max_first_event_ms: Count


class EndpointOffer(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Answers an ``EndpointQuery``.

    Attributes
    ----------
    instance_id : str
        The endpoint; empty if none is better than staying.
    first_event_ms : int
        Expected time to the first event there.
    uncached_tokens : int
        Prompt tokens that it hasn't cached.
    queue_ms : int
        Prefill time of the prompts that wait there.
    """

    number: int
    instance_id: str = ""
    first_event_ms: Count = 0
    uncached_tokens: Count = 0
    queue_ms: Count = 0
