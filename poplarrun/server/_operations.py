"""A worker's side of one call of a plain service: bytes only."""

import time

from poplarrun.claims import Ran
from poplarrun.clients import (
    PreparedCall,
    ServiceCall,
    ServiceCaller,
    ServiceNotSent,
    ServiceOutcomeUnknown,
    ServiceResponse,
)
from poplarrun.errors import Refusal
from poplarrun.logging import component_logger
from poplarrun.router import (
    BeginOperation,
    CallFailed,
    EndOperation,
    OperationGrant,
    Replay,
    SendOperation,
    SendResult,
)
from poplarrun.server._loop_bridge import LoopBridge

# The loop bounds each step by the operation's own deadline.
ANSWER_BOUND_S = 3600.0

_log = component_logger("operations")


class OperationRun:
    """Runs one call on the calling thread."""

    def __init__(self, crossing: LoopBridge, services: ServiceCaller) -> None:
        self._crossing = crossing
        self._services = services

    def run(
        self, request: BeginOperation, body: bytes, content_type: str
    ) -> ServiceResponse | Ran | Refusal:
        """Send the call where the loop says, until it answers or is given up."""
        call = ServiceCall(request.request_id, request.operation, body, content_type)
        step = self._crossing.ask(request, ANSWER_BOUND_S)
        while isinstance(step, OperationGrant):
            time.sleep(step.delay_s)
            match self._services.prepare(step.address, call):
                case ServiceNotSent(reason=reason):
                    step = self._crossing.ask(CallFailed(request.request_id, reason))
                case prepared:
                    step = self._exchange(request.request_id, prepared)
        return step.ran if isinstance(step, Replay) else step

    def _exchange(
        self, request_id: str, prepared: PreparedCall
    ) -> ServiceResponse | OperationGrant | Refusal:
        try:
            handed = self._crossing.ask(SendOperation(request_id, prepared))
            if isinstance(handed, Refusal):
                return handed
            return self._finish(request_id, prepared, handed)
        finally:
            prepared.close()

    def _finish(
        self, request_id: str, prepared: PreparedCall, handed: SendResult
    ) -> ServiceResponse | OperationGrant | Refusal:
        if not handed.is_sent:
            return self._ask_on(CallFailed(request_id, "connect"))
        match prepared.finish(handed.timeout_s):
            case ServiceResponse() as answer:
                self._crossing.ask(EndOperation(request_id, answer))
                return answer
            case ServiceOutcomeUnknown(reason=reason):
                return self._ask_on(CallFailed(request_id, reason))

    def _ask_on(self, failed: CallFailed) -> OperationGrant | Refusal:
        _log.warning(
            "A call broke.", extra={"request_id": failed.request_id, "reason": failed.reason}
        )
        step: OperationGrant | Refusal = self._crossing.ask(failed)
        return step
