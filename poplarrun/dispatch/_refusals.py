"""Refusals of requests that no endpoint may get."""

import zlib

from poplarrun.dispatch._hold_offs import find_first_return, plan_return_s
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import Placement
from poplarrun.routing import InFlightRequest

# Why a request is refused while all endpoints of its service want to be left alone.
ALL_HELD_OFF = "all endpoints asked this host to stay away"


def refuse_held_off(placement: Placement, work: InFlightRequest, now: float) -> Refusal | None:
    """Refuse a request while all endpoints want to be left alone; None if one doesn't."""
    first = find_first_return(placement, work.service, now)
    if first is None:
        return None
    # The route's timeout ends one attempt; the caller has its own time for all of them.
    time_left_s = work.request.time_left_s - (now - work.arrived_at)
    position = hash_to_unit_interval(work.request.id)
    retry_s = plan_return_s(first.hold_off, time_left_s, position, now)
    age_s = now - first.hold_off.asked_at
    detail = f"{first.instance_id} asked {age_s:.1f} s ago for {first.hold_off.seconds:.1f} s"
    return Refusal(ErrorKind.NO_ENDPOINT, ALL_HELD_OFF, retry_after_s=retry_s, detail=detail)


def explain_no_endpoint(placement: Placement, service: str) -> str:
    """Return why no endpoint of a service may get a request."""
    zones = {endpoint.record.zone for endpoint in placement.endpoints(service)}
    if not zones:
        return "no endpoint is listed"
    evacuated = sorted(zones & placement.evacuated_zones)
    if len(evacuated) == len(zones):
        return f"evacuated zones: {', '.join(evacuated)}"
    return "all endpoints are leaving, evacuated, held off, at their limits, or brittle and full"


def hash_to_unit_interval(text: str) -> float:
    """Return a number from 0 to 1 that is the same for the same text."""
    return zlib.crc32(text.encode()) / 2.0**32
