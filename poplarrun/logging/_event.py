"""What all events of the log have in common."""

import logging
from typing import ClassVar

import msgspec


class Event(msgspec.Struct, frozen=True):
    """A decision of the host, or a change that it observed.

    There are some eighty of them. As data classes they would take a tenth of the start of a host,
    and each event several times as long to make.

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
