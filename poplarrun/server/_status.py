"""Builds the endpoint entries of the host status."""

from poplarrun.endpoints import Endpoint
from poplarrun.server._messages import EndpointStatus


def read_endpoint(endpoint: Endpoint, now: float) -> EndpointStatus:
    """Return the status of one endpoint as this host sees it."""
    if endpoint.is_leaving:
        state = "leaving"
    elif endpoint.paused_until > now:
        state = "cut off"
    else:
        state = "live"
    versions = tuple(sorted(str(version) for version in endpoint.versions))
    load = round(endpoint.compute_load(), 3)
    return EndpointStatus(endpoint.name, endpoint.zone, endpoint.kind.value, state, load, versions)
