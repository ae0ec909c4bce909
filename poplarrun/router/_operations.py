"""The decisions about one call of a plain service."""

from dataclasses import dataclass, field

from poplarrun.contracts import ClientAccount, Operation
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import (
    BeginOperation,
    Bill,
    CallFailed,
    EndOperation,
    Explanation,
    OperationGrant,
)

MAX_ATTEMPTS = 3


@dataclass
class _Call:
    request: BeginOperation
    account: ClientAccount
    operation: Operation
    explanation: Explanation
    endpoint: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


class OperationRouter:
    """Decides about calls of plain services; called on the loop only, never blocks."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._calls: dict[str, _Call] = {}

    @property
    def open_requests(self) -> int:
        """Calls that have begun and not ended."""
        return len(self._calls)

    def begin(self, request: BeginOperation, now: float) -> OperationGrant | Refusal:
        """Decide on the endpoint of a call of a plain service."""
        document = self._context.configuration.document
        account = self._context.find_account(request.api_key)
        if isinstance(account, Refusal):
            return account
        service = document.services.get(request.service)
        operation = service.operations.get(request.operation) if service else None
        if operation is None:
            message = f"no operation {request.service}/{request.operation}"
            return self._context.refuse(ErrorKind.SERVICE_UNKNOWN, message)
        if not account.allows_operation(request.service, request.operation):
            message = f"client account {account.name} may not call it"
            return self._context.refuse(ErrorKind.SERVICE_NOT_ALLOWED, message)
        subject = f"{request.service}/{request.operation}"
        explanation = self._context.open_explanation(request.request_id, account, subject)
        call = _Call(request, account, operation, explanation)
        self._calls[request.request_id] = call
        return self._send_call(call, now)

    def retry(self, failure: CallFailed, now: float) -> OperationGrant | Refusal:
        """Decide where a broken call goes on: only if it is safe to send it again."""
        call = self._calls[failure.request_id]
        self._context.endpoints.note_ended(call.endpoint, now)
        self._context.endpoints.note_failure(call.endpoint, now, failure.reason)
        call.explanation.attempts.append(f"{call.endpoint}: {failure.reason}")
        if failure.started and not call.operation.idempotent:
            del self._calls[failure.request_id]
            call.explanation.outcome = "unknown"
            message = "the call went out and no answer came; it may have run"
            return self._context.refuse(ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)
        if call.attempts >= MAX_ATTEMPTS:
            del self._calls[failure.request_id]
            kind = ErrorKind.ENDPOINT_FAILED if failure.started else ErrorKind.NO_ENDPOINT
            call.explanation.outcome = f"refused: {kind.value}"
            return self._context.refuse(kind, f"{call.attempts} attempts failed ({failure.reason})")
        self._context.metrics.count_retry(failure.reason)
        return self._send_call(call, now)

    def end(self, end: EndOperation, now: float) -> Bill | None:
        """Close a call and make its bill, where it ran."""
        call = self._calls.pop(end.request_id)
        self._context.endpoints.note_ended(call.endpoint, now)
        call.explanation.outcome = "ran" if end.ran else "refused by the service"
        if not end.ran:
            return None
        bill = Bill(
            end.request_id, call.account.name, call.explanation.subject, call.operation.price
        )
        return self._context.add_bill(bill, call.explanation)

    def _send_call(self, call: _Call, now: float) -> OperationGrant | Refusal:
        endpoint = self._context.endpoints.choose_service(call.request.service, now, call.tried)
        if endpoint is None:
            del self._calls[call.request.request_id]
            call.explanation.outcome = f"refused: {ErrorKind.NO_ENDPOINT.value}"
            return self._context.refuse(
                ErrorKind.NO_ENDPOINT, f"no endpoint runs {call.request.service}"
            )
        call.endpoint = endpoint.name
        call.attempts += 1
        call.tried.add(endpoint.name)
        self._context.endpoints.note_sent(endpoint.name, now)
        return OperationGrant(endpoint.name, endpoint.address, call.operation)
