"""What callers saw of their requests."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """What a caller was left with."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ChatSeen:
    """One chat request, as its caller saw it.

    Attributes
    ----------
    phase : str
        The phase in which it was sent.
    request_id : str
        As the host named it; empty when no host answered.
    version : str
        What answered; empty when nothing did.
    reason : str
        Error code of a refusal or a broken stream.
    first_s, whole_s : float
        Time to the first token and to the end.
    quality : float
        Truth of the answer's words, 0 to 1, as the stand-ins made them.
    cost : float
        Worked out from the usage and the document's price.
    """

    phase: str
    work_class: str
    outcome: Outcome
    request_id: str = ""
    version: str = ""
    reason: str = ""
    first_s: float = 0.0
    whole_s: float = 0.0
    quality: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0


@dataclass(frozen=True)
class OperationSeen:
    """One non-idempotent operation, with all repeats of its caller."""

    phase: str
    service: str
    key: str
    outcome: Outcome
    reason: str
    tries: int
