"""Routes calls of plain services, and runs non-idempotent ones once per idempotency key."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.billing import Bill
from poplarrun.claims import (
    RETENTION_S,
    Claim,
    ClaimManager,
    KeyState,
    KnownOutcome,
    Lost,
    Outcome,
    OutcomeKind,
    Release,
    Result,
    Taken,
    Unsettled,
    Voided,
    Won,
    derive_outcome,
    issued_at,
    make_ran_result,
)
from poplarrun.contracts import ClientAccount, MissingKeyPolicy, Operation
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.hosts import Peers
from poplarrun.retries import BudgetKey, FailedAttempt, GiveUp, RetryAfter
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import (
    BeginOperation,
    CallFailed,
    EndOperation,
    Explanation,
    FindOperation,
    OperationGrant,
    Replay,
    SendOperation,
    SendResult,
)

MIN_ERROR_STATUS = 400
# Greatest sum of the clock skews of a caller and a host, in seconds.
CLOCK_SKEW_GRACE_S = 120.0


@dataclass
class _Call:
    request: BeginOperation
    account: ClientAccount
    operation: Operation
    explanation: Explanation
    deadline: float
    endpoint: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    claim: Claim | None = None
    holds_local_key: bool = False
    is_sent: bool = False
    sent_at: float = 0.0

    @property
    def claimed_key(self) -> str | None:
        """The key that must be claimed before the call is sent; None if it needs none."""
        return None if self.operation.idempotent else self.request.idempotency_key


class OperationRouter:
    """Decides about calls of plain services; used on the event loop only.

    Parameters
    ----------
    context : RouterContext
        The state that all routing decisions share.

    Attributes
    ----------
    claims : ClaimManager, optional
        The host's claims; if None, operations with a key are refused.
    """

    def __init__(self, context: RouterContext) -> None:
        self.claims: ClaimManager | None = None
        self.peers: Peers | None = None
        self._context = context
        self._now: Callable[[], float] = time.monotonic
        self._wall: Callable[[], float] = time.time
        self._calls: dict[str, _Call] = {}
        self._local_keys: set[tuple[str, str]] = set()

    def use_clocks(self, now: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """Set the monotonic clock and the clock of seconds since the epoch."""
        self._now = now
        self._wall = wall_clock

    @property
    def open_requests(self) -> int:
        """Number of calls in progress."""
        return len(self._calls)

    @property
    def open_request_ids(self) -> list[str]:
        """Ids of the calls in progress."""
        return list(self._calls)

    async def begin(self, request: BeginOperation) -> OperationGrant | Replay | Refusal:
        """Decide on the endpoint of a call, after claiming its key if it needs one."""
        call = self._admit(request)
        if isinstance(call, Refusal):
            return call
        self._calls[request.request_id] = call
        if call.claimed_key is None:
            return self._grant(call)
        refusal = self._check_key(call, call.claimed_key)
        if refusal is not None:
            return self._refuse(call, refusal[0], refusal[1])
        return await self._claim_and_choose(call, call.claimed_key)

    def send(self, message: SendOperation) -> SendResult | Refusal:
        """Check that the call may still run, and send its bytes, in one step.

        Nothing runs between the check and the send. A process that was suspended for a
        minute detects here that the deadline has passed, and doesn't send a call whose caller,
        or whose retry at another host, was already given an answer.
        """
        call = self._calls[message.request_id]
        time_left_s = call.deadline - self._now()
        if time_left_s <= 0:
            self._record_attempt_end(call)
            kind = ErrorKind.ENDPOINT_FAILED if call.is_sent else ErrorKind.DEADLINE_UNREACHABLE
            return self._refuse(call, kind, "the deadline passed before it was sent")
        call.is_sent = message.call.start_sending() or call.is_sent
        return SendResult(call.is_sent, time_left_s)

    def retry(self, failure: CallFailed) -> OperationGrant | Refusal:
        """Decide on a retry of a failed call, if sending it again is safe."""
        call = self._calls[failure.request_id]
        now = self._now()
        self._record_attempt_end(call)
        self._context.endpoints.record_failure(call.endpoint, now, failure.reason)
        call.explanation.attempts.append(f"{call.endpoint}: {failure.reason}")
        failed_attempt = FailedAttempt(
            call.attempts, call.is_sent, call.operation.idempotent, call.deadline - now
        )
        match self._context.decide_retry(failed_attempt, _budget_key(call)):
            case GiveUp(kind=ErrorKind.OPERATION_OUTCOME_UNKNOWN):
                return self._refuse_sent(call, failure.reason)
            case GiveUp(kind=kind, reason=reason):
                kind = ErrorKind.ENDPOINT_FAILED if call.is_sent else kind
                return self._refuse(call, kind, f"{reason} ({failure.reason})")
            case RetryAfter(delay_s=delay_s):
                self._context.metrics.count_retry(failure.reason)
                return self._grant(call, delay_s)

    def end(self, end: EndOperation) -> Bill | None:
        """Close a call that was answered: record its answer and create its bill."""
        call = self._remove(end.request_id)
        self._record_attempt_end(call, self._now() - call.sent_at)
        self._context.endpoints.record_success(call.endpoint)
        is_success = end.answer.status < MIN_ERROR_STATUS
        call.explanation.outcome = "ran" if is_success else "refused by the service"
        if call.claim is not None and self.claims is not None:
            answer = make_ran_result(end.answer.status, end.answer.content_type, end.answer.body)
            self.claims.settle(_outcome(call.claim, answer))
        if not is_success:
            return None
        bill = Bill(
            end.request_id, call.account.name, call.explanation.subject, call.operation.price
        )
        if self._context.limits is not None:
            self._context.limits.record_spend(call.account, bill.amount)
        return self._context.add_bill(bill, call.explanation)

    async def find(self, message: FindOperation) -> KnownOutcome | Refusal:
        """Return the known outcome of the operation under a key."""
        account = self._context.find_account(message.api_key)
        if isinstance(account, Refusal):
            return account
        if (account.name, message.key) in self._local_keys:
            return KnownOutcome(OutcomeKind.IN_PROGRESS)
        if self.claims is None or self.peers is None:
            return self._context.refuse(ErrorKind.NOT_READY, "this host keeps no claims yet")
        lookup = await self.claims.find(account.name, message.key)
        outcome = derive_outcome(self._apply_local_outcome(lookup.state), self.peers.live())
        if not lookup.is_current and outcome.kind is OutcomeKind.NOT_RUN:
            text = "the log does not answer, so nothing can be told of this key; ask again"
            return self._context.refuse(ErrorKind.OPERATION_OUTCOME_UNKNOWN, text)
        return outcome

    def _admit(self, request: BeginOperation) -> _Call | Refusal:
        """Check the account and the operation."""
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
        needs_key = not operation.idempotent and operation.without_key is MissingKeyPolicy.REFUSE
        if needs_key and not request.idempotency_key:
            message = f"{request.service}/{request.operation} needs an Idempotency-Key header"
            return self._context.refuse(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, message)
        if operation.idempotent or not request.idempotency_key:
            limit_refusal = self._check_capacity(account, request.service)
            if limit_refusal is not None:
                return limit_refusal
        subject = f"{request.service}/{request.operation}"
        explanation = self._context.open_explanation(request.request_id, account, subject)
        deadline = self._now() + operation.timeout_s
        return _Call(request, account, operation, explanation, deadline)

    def _check_capacity(self, account: ClientAccount, service: str) -> Refusal | None:
        """Count a call against its account's limits; refuse it if these or the service are full."""
        limit_refusal = self._context.check_limits(account, 0, self._now(), is_stream=False)
        limit = self._context.service_limit(service)
        if limit_refusal is not None or limit.has_room():
            return limit_refusal
        message = f"{limit.in_flight} calls of {service} run, as many as it can take"
        return self._context.refuse(
            ErrorKind.QUEUE_FULL, message, retry_after_s=limit.retry_after_s()
        )

    def _choose_endpoint_within_limits(self, call: _Call) -> OperationGrant | Refusal:
        """Choose an endpoint for a call that claimed its key, if its account's limits allow it.

        A repeated call asks for the outcome of the first one. If it were refused as "not run"
        before its key is looked up, the caller would take that for the outcome and send the
        operation again under another key. So the limits are checked only once the log shows
        that there is no other claim for the key.
        """
        limit_refusal = self._check_capacity(call.account, call.request.service)
        if limit_refusal is None:
            return self._grant(call)
        self._release_call(call, limit_refusal.kind)
        return limit_refusal

    def _check_key(self, call: _Call, key: str) -> tuple[ErrorKind, str] | None:
        if (call.account.name, key) in self._local_keys:
            return ErrorKind.OPERATION_IN_PROGRESS, "a call with this key is under way here"
        issued_at_s = issued_at(key)
        if (
            issued_at_s is not None
            and issued_at_s < self._wall() - RETENTION_S + CLOCK_SKEW_GRACE_S
        ):
            return (
                ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                f"the key is older than {RETENTION_S - CLOCK_SKEW_GRACE_S:.0f} s; "
                "look up by other means whether it ran",
            )
        if issued_at_s is not None and issued_at_s > self._wall() + CLOCK_SKEW_GRACE_S:
            return ErrorKind.INVALID_REQUEST, "the key's time lies in the future"
        if self.claims is None or self.claims.is_full:
            return ErrorKind.LOG_UNAVAILABLE, "the log has taken no outcomes for long"
        if self._choose_endpoint(call) is None:
            return ErrorKind.NO_ENDPOINT, f"no endpoint runs {call.request.service}"
        return None

    async def _claim_and_choose(self, call: _Call, key: str) -> OperationGrant | Replay | Refusal:
        assert self.claims is not None and self.peers is not None
        me = self.peers.me
        request = call.request
        claim = Claim(
            request.request_id,
            call.account.name,
            key,
            request.fingerprint,
            me.name,
            me.incarnation,
            self._wall(),
        )
        self._local_keys.add((claim.account, claim.key))
        call.holds_local_key = True
        call.claim = claim
        began = self._now()
        verdict = await self.claims.claim(claim, call.deadline - began)
        self._context.metrics.record_latency("claim", request.service, self._now() - began)
        match verdict:
            case Won():
                return self._choose_endpoint_within_limits(call)
            case Taken(state=key_state):
                call.claim = None
                if key_state is not None and key_state.claim.fingerprint != claim.fingerprint:
                    message = "the key was used for another operation or body"
                    return self._refuse(call, ErrorKind.IDEMPOTENCY_KEY_REUSED, message)
                return self._answer_repeat(
                    call, derive_outcome(self._apply_local_outcome(key_state), self.peers.live())
                )
            case Unsettled(may_be_logged=may_be_logged):
                if not may_be_logged:
                    call.claim = None
                message = "the log did not confirm the claim; repeat with the same key"
                return self._refuse(call, ErrorKind.LOG_UNAVAILABLE, message)
            case Voided():
                raise AssertionError("only this host voids its claims, and did not yet")

    def _apply_local_outcome(self, key_state: KeyState | None) -> KeyState | None:
        """Add an outcome recorded at this host that isn't in the log yet."""
        if key_state is None or self.claims is None:
            return key_state
        match self.claims.find_unsettled(key_state.claim.id):
            case Outcome(result=result):
                return KeyState(key_state.claim, result)
        return key_state

    def _answer_repeat(self, call: _Call, outcome: KnownOutcome) -> Replay | Refusal:
        """Answer a call whose key is held by another claim."""
        match outcome:
            case KnownOutcome(kind=OutcomeKind.RAN, ran=ran) if ran is not None:
                self._remove(call.request.request_id)
                call.explanation.outcome = "answered with the recorded outcome"
                self._context.metrics.count_event("operation_replayed")
                return Replay(ran)
            case KnownOutcome(kind=OutcomeKind.UNKNOWN):
                message = "a call with this key went out and may have run; it is not sent again"
                return self._refuse(call, ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)
        message = "a call with this key is under way; ask again"
        return self._refuse(call, ErrorKind.OPERATION_IN_PROGRESS, message)

    def _record_attempt_end(self, call: _Call, duration_s: float | None = None) -> None:
        now = self._now()
        self._context.service_limit(call.request.service).record_end(duration_s, now)
        self._context.endpoints.record_finished(call.endpoint, now)

    def _grant(self, call: _Call, delay_s: float = 0.0) -> OperationGrant | Refusal:
        name_and_address = self._choose_endpoint(call)
        if name_and_address is None:
            kind = ErrorKind.ENDPOINT_FAILED if call.is_sent else ErrorKind.NO_ENDPOINT
            return self._refuse(call, kind, f"no endpoint runs {call.request.service}")
        call.endpoint, address = name_and_address
        call.attempts += 1
        if call.attempts == 1:
            self._context.retry_budgets.budget(_budget_key(call)).record_attempt()
        call.tried.add(call.endpoint)
        call.sent_at = self._now() + delay_s
        self._context.service_limit(call.request.service).record_sent()
        self._context.endpoints.record_sent(call.endpoint, self._now())
        return OperationGrant(call.endpoint, address, call.operation, delay_s)

    def _choose_endpoint(self, call: _Call) -> tuple[str, str] | None:
        endpoint = self._context.endpoints.choose_service(
            call.request.service, self._now(), call.tried
        )
        return None if endpoint is None else (endpoint.name, endpoint.address)

    def _refuse_sent(self, call: _Call, reason: str) -> Refusal:
        """End a call that was sent and not answered; it must not be sent again."""
        if call.claim is not None and self.claims is not None:
            self.claims.settle(_outcome(call.claim, Lost(reason)))
        message = "the call went out and no answer came; it may have run"
        return self._refuse(call, ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)

    def _refuse(self, call: _Call, kind: ErrorKind, message: str) -> Refusal:
        """Close a call with a refusal, and count it."""
        self._release_call(call, kind)
        return self._context.refuse(kind, message)

    def _release_call(self, call: _Call, kind: ErrorKind) -> None:
        """Close a call, and release its claim if nothing was sent under it."""
        self._remove(call.request.request_id)
        if call.claim is not None and not call.is_sent and self.claims is not None:
            self.claims.settle(Release(call.claim.id, call.claim.account, call.claim.key))
        call.explanation.outcome = f"refused: {kind.value}"

    def _remove(self, request_id: str) -> _Call:
        call = self._calls.pop(request_id)
        if call.holds_local_key and call.claimed_key is not None:
            self._local_keys.discard((call.account.name, call.claimed_key))
        return call


def _budget_key(call: _Call) -> BudgetKey:
    return BudgetKey(call.request.operation, call.request.service)


def _outcome(claim: Claim, result: Result) -> Outcome:
    return Outcome(claim.id, claim.account, claim.key, result)
