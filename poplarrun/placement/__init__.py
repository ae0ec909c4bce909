"""Placement: the directory of endpoints, and the choice of one for each request."""

from poplarrun.placement._brittle import Brittleness, BrittleServices
from poplarrun.placement._endpoint_directory import (
    LAPSE_GRACE_S,
    DirectoryEvent,
    EndpointDirectory,
    EndpointRecord,
)
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._estimates import EndpointEstimate
from poplarrun.placement._exclusions import find_exclusion
from poplarrun.placement._hold_offs import MAX_HOLD_OFF_S, NO_HOLD_OFF, HoldOff
from poplarrun.placement._homes import choose_prompt_home
from poplarrun.placement._leaving import LeavingEndpoint
from poplarrun.placement._placement import Placement, SendPenalties, group_of
from poplarrun.placement._prefixes import find_shared_prefix
from poplarrun.placement._reachability import EndpointOutcomes, Reachability
from poplarrun.placement._requests import EndpointFilter, PeerPrompt, PeerRequest
from poplarrun.placement._share_budgets import NAMED_LIMIT_BOUNDS
from poplarrun.placement._zone_waits import AlternativeZone, ZoneChoice

__all__ = [
    "LAPSE_GRACE_S",
    "MAX_HOLD_OFF_S",
    "NAMED_LIMIT_BOUNDS",
    "NO_HOLD_OFF",
    "AlternativeZone",
    "BrittleServices",
    "Brittleness",
    "DirectoryEvent",
    "EndpointDirectory",
    "EndpointEstimate",
    "EndpointFilter",
    "EndpointOutcomes",
    "EndpointRecord",
    "EndpointState",
    "HoldOff",
    "LeavingEndpoint",
    "PeerPrompt",
    "PeerRequest",
    "Placement",
    "Reachability",
    "SendPenalties",
    "ZoneChoice",
    "choose_prompt_home",
    "find_exclusion",
    "find_shared_prefix",
    "group_of",
]
