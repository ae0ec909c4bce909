"""The closed list of what can be known of an operation, for its caller."""

import enum
from dataclasses import dataclass

from poplarrun.claims._records import KeyState, Lost, Ran
from poplarrun.hosts import Peer

MAX_STORED_ANSWER_BYTES = 4096


class OutcomeKind(enum.Enum):
    """What is known of an operation.

    ``RAN``: the service answered; the answer is given again.
    ``NOT_RUN``: no claim holds the key; it may be sent again under this key.
    ``IN_PROGRESS``: a live host holds the key.
    ``UNKNOWN``: the call may have run; it is never sent again.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KnownOutcome:
    """What is known of an operation; ``ran`` is its answer, where it ran."""

    kind: OutcomeKind
    ran: Ran | None = None


def derive_outcome(holding: KeyState | None, live: tuple[Peer, ...]) -> KnownOutcome:
    """Return what a holding says.

    A holder that is not live may have sent the call just before it died, or
    may be cut off and still at it: both are unknown, and stay so until the
    holder's own record says more.
    """
    if holding is None:
        return KnownOutcome(OutcomeKind.NOT_RUN)
    match holding.result:
        case Ran() as ran:
            return KnownOutcome(OutcomeKind.RAN, ran)
        case Lost():
            return KnownOutcome(OutcomeKind.UNKNOWN)
        case None:
            holder = (holding.claim.host, holding.claim.incarnation)
            is_live = any((peer.name, peer.incarnation) == holder for peer in live)
            return KnownOutcome(OutcomeKind.IN_PROGRESS if is_live else OutcomeKind.UNKNOWN)


def make_ran_result(status: int, content_type: str, body: bytes) -> Ran:
    """Return the record of a service's answer, without a body that is too large."""
    if len(body) > MAX_STORED_ANSWER_BYTES:
        return Ran(status, content_type, b"", has_full_body=False)
    return Ran(status, content_type, body)
