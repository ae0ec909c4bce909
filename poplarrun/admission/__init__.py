"""Admission: whether work starts now, waits, or is refused before it costs anything."""

from poplarrun.admission._admission import Admission, Admissions, Admitted, Held, Refused, Verdict
from poplarrun.admission._queue import FairQueue, Ticket

__all__ = [
    "Admission",
    "Admissions",
    "Admitted",
    "FairQueue",
    "Held",
    "Refused",
    "Ticket",
    "Verdict",
]
