"""What all events of the log have in common."""

import logging
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Event:
    """A decision of the host, or a change that it observed.

    Attributes
    ----------
    component : str
        Component that logs the event; prefixes the message.
    message : str
        A sentence for operators.
    level : int
        Logging level.
    is_usual : bool
        Whether the event comes with ordinary requests; such lines are dropped before
        notable ones when there are too many.
    """

    component: ClassVar[str] = "host"
    message: ClassVar[str] = ""
    level: ClassVar[int] = logging.INFO
    is_usual: ClassVar[bool] = False
