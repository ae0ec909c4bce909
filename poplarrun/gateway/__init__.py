"""The gateway: the face that forwards requests as they are, on one loop."""

from poplarrun.gateway._host import GatewayHost

__all__ = ["GatewayHost"]
