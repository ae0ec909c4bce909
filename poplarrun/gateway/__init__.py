"""Gateway: forwards callers' requests unchanged to endpoints, on one event loop."""

from poplarrun.gateway._host import GatewayHost

__all__ = ["GatewayHost"]
