"""Admission control: whether a request starts now, is queued, or is refused at once."""

from poplarrun.admission._admission import (
    Admission,
    Admissions,
    Admitted,
    CandidateLoad,
    Queued,
    Refused,
    Verdict,
)
from poplarrun.admission._concurrency import AimdLimit
from poplarrun.admission._queue import FairQueue, Ticket
from poplarrun.admission._services import GradientLimit, ServiceLimit

__all__ = [
    "Admission",
    "Admissions",
    "Admitted",
    "AimdLimit",
    "CandidateLoad",
    "FairQueue",
    "GradientLimit",
    "Queued",
    "Refused",
    "ServiceLimit",
    "Ticket",
    "Verdict",
]
