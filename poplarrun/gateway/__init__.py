"""Gateway: forwards callers' requests unchanged to endpoints, on one event loop."""

from poplarrun.gateway._connector import EndpointConnector, EndpointWithheld
from poplarrun.gateway._explanations import WHERE_PATH, Explanation, PlannedRequest
from poplarrun.gateway._host import GatewayHost
from poplarrun.gateway._relay_desk import RelayDesk

__all__ = [
    "WHERE_PATH",
    "EndpointConnector",
    "EndpointWithheld",
    "Explanation",
    "GatewayHost",
    "PlannedRequest",
    "RelayDesk",
]
