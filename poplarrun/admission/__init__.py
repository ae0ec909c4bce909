"""Admission: whether work starts now, waits, or is refused before it costs anything."""

from poplarrun.admission._admission import Admission, Admissions, Admitted, Held, Refused, Verdict
from poplarrun.admission._concurrency import AimdLimit
from poplarrun.admission._queue import FairQueue, Ticket

__all__ = [
    "Admission",
    "Admissions",
    "Admitted",
    "AimdLimit",
    "FairQueue",
    "Held",
    "Refused",
    "Ticket",
    "Verdict",
]
