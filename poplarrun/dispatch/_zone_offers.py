"""An endpoint that a host of another zone names, and whether a request may go there."""

from dataclasses import dataclass

from poplarrun.placement import AlternativeZone, EndpointEstimate, EndpointState, Placement
from poplarrun.routing import InFlightRequest, Service


@dataclass(frozen=True, slots=True)
class OfferedEndpoint:
    """What a host of another zone expects of a request at one of its zone's endpoints.

    Attributes
    ----------
    first_event_s : float
        Time to the first event.
    uncached_tokens : int
        Prompt tokens that the endpoint hasn't cached.
    queue_s : float
        Prefill time of the prompts that wait there.
    """

    instance_id: str
    first_event_s: float
    uncached_tokens: int
    queue_s: float


def estimate_offered(
    placement: Placement,
    work: InFlightRequest,
    service: Service,
    alternative: AlternativeZone,
    offered: OfferedEndpoint,
    size: str,
    now: float,
) -> EndpointEstimate | None:
    """Return the estimate of an offered endpoint; None if the request may not or need not go there.

    The offer only names an endpoint: this host's own list, limits and paths decide whether it sends
    there, and the endpoint must still be better than staying.
    """
    endpoint = placement.find(offered.instance_id)
    if endpoint is None or not _is_allowed(placement, work, service, alternative, endpoint, now):
        return None
    if offered.first_event_s + placement.delay_s(endpoint, work, now) >= alternative.stay_s:
        return None
    prefill_s = offered.uncached_tokens * placement.speed(work.service, size).prefill_s_per_token
    return EndpointEstimate(
        endpoint,
        prefill_s,
        offered.first_event_s,
        offered.uncached_tokens,
        offered.queue_s,
        endpoint.load,
    )


def _is_allowed(
    placement: Placement,
    work: InFlightRequest,
    service: Service,
    alternative: AlternativeZone,
    endpoint: EndpointState,
    now: float,
) -> bool:
    record = endpoint.record
    return (
        record.service == work.service
        and record.zone == alternative.zone
        and record.instance_id not in work.tried_endpoints
        and endpoint.is_available(now)
        and placement.may_send(endpoint, service, now)
    )
