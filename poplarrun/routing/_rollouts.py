"""Roll-outs of endpoint versions: the operators' orders and the recorded phases."""

import enum
from dataclasses import dataclass


class RolloutPhase(enum.Enum):
    """The recorded phase of a roll-out."""

    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether no other phase may follow."""
        return self is not RolloutPhase.ACTIVE


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes
    ----------
    offset : int
        Offset of the order in the log; a later order replaces earlier ones of the service.
    duration_s : float
        Time in which the roll-out should complete, in seconds.
    """

    service: str
    target: str
    duration_s: float
    offset: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The phase that the hosts have recorded for a roll-out."""

    service: str
    target: str
    phase: RolloutPhase
