"""Roll-outs of endpoint versions: the operators' order and the system's word on it."""

import enum
from dataclasses import dataclass


class RolloutPhase(enum.Enum):
    """How far a roll-out is."""

    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether nothing may follow."""
        return self is not RolloutPhase.ACTIVE


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes
    ----------
    offset : int
        Place of the order in the log; a later order of a service goes first.
    duration_s : float
        Time in which it should be done.
    """

    service: str
    target: str
    duration_s: float
    offset: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What the system has recorded of a roll-out."""

    service: str
    target: str
    phase: RolloutPhase
