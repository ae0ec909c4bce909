"""The possible outcomes of an operation, as told to its caller."""

import enum
from dataclasses import dataclass

from poplarrun.claims._records import KeyState, Lost, Ran
from poplarrun.hosts import Peer

MAX_STORED_ANSWER_BYTES = 4096


class OutcomeKind(enum.Enum):
    """What is known of an operation.

    ``RAN``: the service answered; repeats get the same answer.
    ``NOT_RUN``: no claim holds the key; the operation may be sent again under this key.
    ``IN_PROGRESS``: a live host holds the key.
    ``UNKNOWN``: the call may have run; it is never sent again.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KnownOutcome:
    """What is known of an operation; ``ran`` is the service's answer, if there is one."""

    kind: OutcomeKind
    ran: Ran | None = None


def derive_outcome(state: KeyState | None, live: tuple[Peer, ...]) -> KnownOutcome:
    """Return the outcome of an operation from the state of its key.

    A holder that is not live may have sent the call just before it died, or may be isolated and
    still waiting for the answer. The outcome is unknown in both cases, until the holder's own
    record says more.
    """
    if state is None:
        return KnownOutcome(OutcomeKind.NOT_RUN)
    match state.result:
        case Ran() as ran:
            return KnownOutcome(OutcomeKind.RAN, ran)
        case Lost():
            return KnownOutcome(OutcomeKind.UNKNOWN)
        case None:
            holder = (state.claim.host, state.claim.incarnation)
            is_live = any((peer.name, peer.incarnation) == holder for peer in live)
            return KnownOutcome(OutcomeKind.IN_PROGRESS if is_live else OutcomeKind.UNKNOWN)


def make_ran_result(status: int, content_type: str, body: bytes) -> Ran:
    """Return the result for a service's answer, without its body if that is too large."""
    if len(body) > MAX_STORED_ANSWER_BYTES:
        return Ran(status, content_type, b"", has_full_body=False)
    return Ran(status, content_type, body)
