"""The return to an endpoint that had asked this host to stay away."""

import math

from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._hold_offs import NO_HOLD_OFF
from poplarrun.shares import Budget, BudgetShares

# Interval in seconds at which a host may send more after a demand has ended, and how many of them
# until it may send as it likes.
RETURN_STEP_S = 0.5
RETURN_STEPS = 4
RETURN_S = RETURN_STEPS * RETURN_STEP_S
# Requests that a host may send beyond its share for each one that the endpoint has taken.
REQUESTS_PER_TAKEN = 2


def count_return_room(endpoint: EndpointState, shares: BudgetShares, now: float) -> float:
    """Return how many requests a host may have sent since a demand of an endpoint ended.

    All hosts that were asked together return together. Each begins with one request at most, and
    all of them with half of the endpoint's slots; more follow with time, and with requests that the
    endpoint takes.
    """
    returned_s = now - endpoint.hold_off.until
    if returned_s >= RETURN_S:
        return math.inf
    step = int(returned_s / RETURN_STEP_S)
    slots = endpoint.record.slots
    total = max(1, slots if step else slots // 2)
    budget = Budget(total, total, 0.0)
    share = shares.fleet_share(f"return to {endpoint.record.instance_id}", budget, now)
    return min(share, 1 << step) + REQUESTS_PER_TAKEN * endpoint.taken_since_hold_off


def may_return(endpoint: EndpointState, shares: BudgetShares, now: float) -> bool:
    """Return whether this host may send an endpoint one more request after a demand of it ended."""
    if endpoint.hold_off is NO_HOLD_OFF:
        return True
    returned_s = now - endpoint.hold_off.until
    room = count_return_room(endpoint, shares, now)
    return endpoint.count_sends(now, returned_s) < room
