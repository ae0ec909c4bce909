"""Requests as their callers observed them."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ChatObservation:
    """One chat request, as its caller observed it.

    Attributes
    ----------
    phase : str
        The phase in which it was sent.
    request_id : str
        The id that the host assigned; empty if no host answered.
    version : str
        The version that answered; empty if none did.
    reason : str
        Error code of a refusal, or why a stream broke.
    first_token_s, duration_s : float
        Seconds until the first token and until the end.
    quality : float
        True quality of the answer, from 0 to 1, as the simulated engine set it.
    cost : float
        Computed from the reported usage and the price in the document.
    """

    phase: str
    work_class: str
    outcome: Outcome
    request_id: str = ""
    version: str = ""
    reason: str = ""
    first_token_s: float = 0.0
    duration_s: float = 0.0
    quality: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0


@dataclass(frozen=True)
class OperationObservation:
    """One non-idempotent operation, including its repetitions with the same key."""

    phase: str
    service: str
    key: str
    outcome: Outcome
    reason: str
    attempt_count: int
