"""Why an endpoint gets no request now, in words; the rules are those of ``Placement.may_send``."""

from poplarrun.placement._brittle import has_brittle_room
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._hold_offs import NO_HOLD_OFF
from poplarrun.placement._placement import Placement
from poplarrun.placement._returns import may_return
from poplarrun.placement._share_budgets import list_budgets
from poplarrun.routing import Service
from poplarrun.shares import ShareKind

_USED_UP = {
    ShareKind.SLOTS: "share of its slots used up",
    ShareKind.RATE_LIMIT: "share of the rate that it names used up",
    ShareKind.WARM_UP: "share of its rate while it warms up used up",
}


def find_exclusion(
    placement: Placement, endpoint: EndpointState, service: Service, now: float
) -> str | None:
    """Return why this host may not send to an endpoint now; None if it may."""
    if placement.may_send(endpoint, service, now):
        return None
    return _explain(placement, endpoint, service, now)


def _explain(
    placement: Placement, endpoint: EndpointState, service: Service, now: float
) -> str | None:
    if endpoint.record.zone in placement.evacuated_zones:
        return "zone is evacuated"
    if placement.is_closed(endpoint):
        return "leaving"
    hold_off = placement.find_hold_off(endpoint, now)
    if hold_off is not NO_HOLD_OFF:
        return f"asked this host to stay away, for {hold_off.until - now:.1f} s more"
    if not may_return(endpoint, placement.shares, now):
        return "asked this host to stay away, which comes back little by little"
    brittleness = placement.brittle.find(endpoint.record.service, now)
    if brittleness is not None and not has_brittle_room(
        endpoint, brittleness.tolerated, placement.shares, now
    ):
        return _USED_UP[ShareKind.SLOTS]
    for each in list_budgets(endpoint, service, placement.brittle, placement.warm_up_bounds, now):
        if each.is_of_zone and not each.has_room(placement.shares, now):
            return _USED_UP[each.key.kind]
    return "may get no request"
