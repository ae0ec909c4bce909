"""Where a request goes while endpoints want to be left alone, and when its caller comes back."""

from dataclasses import dataclass

from poplarrun.placement import (
    EndpointState,
    HoldOff,
    Placement,
    choose_prompt_home,
)
from poplarrun.routing import InFlightRequest

# Longest time over which the callers that were refused come back, in seconds.
MAX_SPREAD_S = 3.0
# Fraction of a caller's remaining time after which it should have come back: what is left must be
# enough for an answer.
MAX_WAIT_FRACTION = 1.0 / 3.0


@dataclass(frozen=True, slots=True)
class HeldOffEndpoint:
    """An endpoint that wants no request from this host now."""

    endpoint: EndpointState
    hold_off: HoldOff

    @property
    def instance_id(self) -> str:
        """Id of the endpoint."""
        return self.endpoint.record.instance_id


def find_held_off(placement: Placement, service: str, now: float) -> list[HeldOffEndpoint]:
    """Return the endpoints of a service that want no request from this host now."""
    return [
        HeldOffEndpoint(endpoint, hold_off)
        for endpoint, hold_off in placement.held_off(now)
        if endpoint.record.service == service and not placement.is_closed(endpoint)
    ]


def find_first_return(placement: Placement, service: str, now: float) -> HeldOffEndpoint | None:
    """Return the endpoint that may be used first again; None if one may be used now."""
    held_off = find_held_off(placement, service, now)
    open_count = sum(not placement.is_closed(each) for each in placement.endpoints(service))
    if not held_off or len(held_off) < open_count:
        return None
    return min(held_off, key=lambda each: each.hold_off.until)


def find_kept_from(
    placement: Placement, work: InFlightRequest, size: str, now: float
) -> HeldOffEndpoint | None:
    """Return the endpoint to which a request would go if it did not want to be left alone.

    For a prompt that is its home; another request would go to any endpoint.
    """
    held_off = {each.instance_id: each for each in find_held_off(placement, work.service, now)}
    if not held_off:
        return None
    home = choose_prompt_home(placement.endpoints(work.service), work, size)
    if home is None:
        return next(iter(held_off.values()))
    return held_off.get(home)


def plan_return_s(first: HoldOff, time_left_s: float, position: float, now: float) -> float:
    """Return after how many seconds a refused caller should come back.

    Callers that were refused one after the other must not return at the same moment. Those with
    little time left return first.

    Parameters
    ----------
    first : HoldOff
        The demand that ends first.
    position : float
        The caller's place among those that are refused, from 0 to 1.
    """
    wait_s = first.until - now
    latest_s = MAX_WAIT_FRACTION * time_left_s
    spread_s = min(first.seconds, MAX_SPREAD_S, max(0.0, latest_s - wait_s))
    return wait_s + position * spread_s
