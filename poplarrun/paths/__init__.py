"""Ways from this host to endpoints: its own links, and other hosts that relay connections.

All state is in memory, the time is passed in, and no network is used.
"""

from poplarrun.paths._admission import (
    ENDPOINT_REASONS,
    Decline,
    DeclineReason,
    HelperState,
    admit_relay,
    check_endpoint,
)
from poplarrun.paths._helpers import Helper, HelperChoice
from poplarrun.paths._paths import EndpointGroup, PathTable

__all__ = [
    "ENDPOINT_REASONS",
    "Decline",
    "DeclineReason",
    "EndpointGroup",
    "Helper",
    "HelperChoice",
    "HelperState",
    "PathTable",
    "admit_relay",
    "check_endpoint",
]
