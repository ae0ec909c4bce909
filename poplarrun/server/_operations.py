"""A worker's side of one call of a plain service: bytes only."""

from poplarrun.errors import Refusal
from poplarrun.platform import (
    ServiceAnswer,
    ServiceCall,
    ServiceCaller,
    ServiceNotSent,
    ServiceUnknown,
)
from poplarrun.router import BeginOperation, CallFailed, EndOperation, OperationGrant
from poplarrun.server._crossing import Crossing

FIRST_ERROR_STATUS = 400


class OperationRun:
    """Runs one call on the calling thread."""

    def __init__(self, crossing: Crossing, services: ServiceCaller) -> None:
        self._crossing = crossing
        self._services = services

    def run(
        self, request: BeginOperation, body: bytes, content_type: str
    ) -> ServiceAnswer | Refusal:
        """Send the call where the loop says, until it answers or is given up."""
        granted: OperationGrant | Refusal = self._crossing.ask(request)
        while isinstance(granted, OperationGrant):
            call = ServiceCall(
                request.request_id,
                request.operation,
                body,
                content_type,
                granted.operation.timeout_s,
            )
            match self._services.call(granted.address, call, lambda: True):
                case ServiceAnswer() as answer:
                    ran = answer.status < FIRST_ERROR_STATUS
                    self._crossing.ask(EndOperation(request.request_id, ran))
                    return answer
                case ServiceNotSent(reason=reason):
                    granted = self._crossing.ask(CallFailed(request.request_id, False, reason))
                case ServiceUnknown(reason=reason):
                    granted = self._crossing.ask(CallFailed(request.request_id, True, reason))
        return granted
