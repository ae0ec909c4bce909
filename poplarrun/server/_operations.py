"""Transfers one call of a plain service on a worker thread."""

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

# Maximum wait in seconds for an answer of the event loop, which enforces the operation's
# own deadline.
ANSWER_TIMEOUT_S = 3600.0

_log = component_logger("operations")


class OperationRun:
    """Runs one call on the calling thread."""

    def __init__(self, loop: LoopBridge, services: ServiceCaller) -> None:
        self._loop = loop
        self._services = services

    def run(
        self, request: BeginOperation, body: bytes, content_type: str
    ) -> ServiceResponse | Ran | Refusal:
        """Send the call to the endpoints that the router chooses, until it is answered or refused.

        Returns
        -------
        ServiceResponse or Ran or Refusal
            The service's answer, or the recorded one of an earlier call with the same key.
        """
        call = ServiceCall(request.request_id, request.operation, body, content_type)
        step = self._loop.ask(request, ANSWER_TIMEOUT_S)
        while isinstance(step, OperationGrant):
            time.sleep(step.delay_s)
            match self._services.prepare(step.address, call):
                case ServiceNotSent(reason=reason):
                    step = self._loop.ask(CallFailed(request.request_id, reason))
                case prepared:
                    step = self._send_prepared(request.request_id, prepared)
        return step.ran if isinstance(step, Replay) else step

    def _send_prepared(
        self, request_id: str, prepared: PreparedCall
    ) -> ServiceResponse | OperationGrant | Refusal:
        try:
            send_result = self._loop.ask(SendOperation(request_id, prepared))
            if isinstance(send_result, Refusal):
                return send_result
            return self._read_answer(request_id, prepared, send_result)
        finally:
            prepared.close()

    def _read_answer(
        self, request_id: str, prepared: PreparedCall, send_result: SendResult
    ) -> ServiceResponse | OperationGrant | Refusal:
        if not send_result.is_sent:
            return self._report_failure(CallFailed(request_id, "connect"))
        match prepared.finish(send_result.timeout_s):
            case ServiceResponse() as answer:
                self._loop.ask(EndOperation(request_id, answer))
                return answer
            case ServiceOutcomeUnknown(reason=reason):
                return self._report_failure(CallFailed(request_id, reason))

    def _report_failure(self, failed: CallFailed) -> OperationGrant | Refusal:
        _log.warning(
            "A call of a plain service failed.",
            extra={"request_id": failed.request_id, "reason": failed.reason},
        )
        step: OperationGrant | Refusal = self._loop.ask(failed)
        return step
