"""Crashes of endpoints, and what causes them: requests, and parts of prompts. No network."""

from poplarrun.crashes._begun import BegunParts
from poplarrun.crashes._evidence import MAX_SUSPECTS, Crash, CrashEvidence, EndpointStart
from poplarrun.crashes._quarantine import MAX_QUARANTINES, Quarantine, Quarantines
from poplarrun.crashes._request_ends import (
    MAX_ANSWERED_REQUESTS,
    MAX_ENDED_REQUESTS,
    MAX_ENDS_PER_REQUEST,
    MAX_KEPT_ENDS,
    EndedRequest,
    RequestEnd,
    RequestEnds,
)
from poplarrun.crashes._watch import CrashReport, CrashWatch, HeldRequest, SentRequest

__all__ = [
    "MAX_ANSWERED_REQUESTS",
    "MAX_ENDED_REQUESTS",
    "MAX_ENDS_PER_REQUEST",
    "MAX_KEPT_ENDS",
    "MAX_QUARANTINES",
    "MAX_SUSPECTS",
    "BegunParts",
    "Crash",
    "CrashEvidence",
    "CrashReport",
    "CrashWatch",
    "EndedRequest",
    "EndpointStart",
    "HeldRequest",
    "Quarantine",
    "Quarantines",
    "RequestEnd",
    "RequestEnds",
    "SentRequest",
]
