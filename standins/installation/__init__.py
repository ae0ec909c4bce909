"""A simulated users' platform: store, endpoints and settings, with hosts as real processes."""

from standins.installation._crashes import Crash, CrashingRequests, FatalArrival
from standins.installation._endpoint import Endpoint, Fault
from standins.installation._installation import Answer, Installation
from standins.installation._partition import Cut
from standins.installation._store import Store

__all__ = [
    "Answer",
    "Crash",
    "CrashingRequests",
    "Cut",
    "Endpoint",
    "FatalArrival",
    "Fault",
    "Installation",
    "Store",
]
