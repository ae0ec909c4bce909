"""Placement: which endpoints there are, and which one gets the next request."""

from poplarrun.placement._endpoint_directory import (
    LAPSE_GRACE_S,
    DirectoryEvent,
    EndpointDirectory,
    EndpointRecord,
)
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._placement import EndpointEstimate, Placement

__all__ = [
    "LAPSE_GRACE_S",
    "DirectoryEvent",
    "EndpointDirectory",
    "EndpointEstimate",
    "EndpointRecord",
    "EndpointState",
    "Placement",
]
