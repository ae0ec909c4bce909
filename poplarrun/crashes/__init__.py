"""Crashes of endpoints, and the parts of prompts that cause them. No network, bounded state."""

from poplarrun.crashes._begun import BegunParts
from poplarrun.crashes._evidence import MAX_SUSPECTS, Crash, CrashEvidence, EndpointStart
from poplarrun.crashes._quarantine import MAX_QUARANTINES, Quarantine, Quarantines
from poplarrun.crashes._watch import CrashReport, CrashWatch, HeldRequest, SentRequest

__all__ = [
    "MAX_QUARANTINES",
    "MAX_SUSPECTS",
    "BegunParts",
    "Crash",
    "CrashEvidence",
    "CrashReport",
    "CrashWatch",
    "EndpointStart",
    "HeldRequest",
    "Quarantine",
    "Quarantines",
    "SentRequest",
]
