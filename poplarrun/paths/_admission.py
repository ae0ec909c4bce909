"""Decides whether this host relays a connection of a peer to an endpoint."""

import enum
from dataclasses import dataclass

# Fraction of the open requests that a host has room for that may be relayed ones: its own callers
# come first.
RELAY_FRACTION = 0.5


class DeclineReason(enum.Enum):
    """Why a host doesn't relay a connection."""

    STOPPING = "stopping"
    BUSY = "busy"
    UNKNOWN_PEER = "unknown_peer"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    NO_PATH = "no_path"
    UNREACHABLE = "unreachable"
    HELD_OFF = "held_off"
    LEAVING = "leaving"


# Reasons that are the endpoint's own wish: another peer is no way around it.
ENDPOINT_REASONS = frozenset((DeclineReason.HELD_OFF, DeclineReason.LEAVING))


@dataclass(frozen=True, slots=True)
class Decline:
    """The answer of a host that doesn't relay a connection.

    Attributes
    ----------
    retry_after_s : float
        For how long the endpoint wants nothing from that host.
    """

    reason: DeclineReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HelperState:
    """What a host that is asked to relay knows of itself.

    Attributes
    ----------
    open_requests, open_relays : int
        Requests of its own callers, and connections that it relays.
    max_requests : int
        Open requests and relayed connections that it has room for.
    knows_peer : bool
        Whether the asking host is one of its peers.
    knows_endpoint : bool
        Whether it knows this start of the endpoint.
    has_path : bool
        Whether it reaches the endpoint over its own links, as far as it knows.
    is_leaving : bool
        Whether the endpoint gets no further requests.
    hold_off_s : float
        For how long the endpoint wants nothing from it.
    """

    is_stopping: bool
    open_requests: int
    open_relays: int
    max_requests: int
    knows_peer: bool
    knows_endpoint: bool
    has_path: bool
    is_leaving: bool = False
    hold_off_s: float = 0.0

    @property
    def load(self) -> float:
        """Fraction of its room that is used."""
        return (self.open_requests + self.open_relays) / max(1, self.max_requests)


def admit_relay(state: HelperState) -> Decline | None:
    """Return why a host declines to relay a connection; None if it relays it."""
    if not state.knows_peer:
        return Decline(DeclineReason.UNKNOWN_PEER)
    if state.is_stopping:
        return Decline(DeclineReason.STOPPING)
    if not state.knows_endpoint:
        return Decline(DeclineReason.UNKNOWN_ENDPOINT)
    if not state.has_path:
        return Decline(DeclineReason.NO_PATH)
    if state.load >= 1.0 or state.open_relays >= RELAY_FRACTION * state.max_requests:
        return Decline(DeclineReason.BUSY)
    return check_endpoint(state)


def check_endpoint(state: HelperState) -> Decline | None:
    """Return why an endpoint may get nothing from this host; None if it may."""
    if state.is_leaving:
        return Decline(DeclineReason.LEAVING)
    if state.hold_off_s > 0.0:
        return Decline(DeclineReason.HELD_OFF, state.hold_off_s)
    return None
