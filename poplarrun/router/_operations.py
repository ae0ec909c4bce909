"""The decisions about one call of a plain service."""

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

FIRST_ERROR_STATUS = 400
# Clocks of callers and hosts may differ by so much together.
CLOCK_MARGIN_S = 120.0


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
    holds_key_here: bool = False
    is_sent: bool = False
    sent_at: float = 0.0

    @property
    def claimed_key(self) -> str | None:
        """The key that the call must hold before it is sent; None when it needs none."""
        return None if self.operation.idempotent else self.request.idempotency_key


class OperationRouter:
    """Decides about calls of plain services; called on the loop only.

    Parameters
    ----------
    context : RouterContext
        What all decisions share.

    Attributes
    ----------
    claims : ClaimKeeper, optional
        The host's claims; without it no keyed operation is taken.
    """

    def __init__(self, context: RouterContext) -> None:
        self.claims: ClaimManager | None = None
        self.peers: Peers | None = None
        self._context = context
        self._now: Callable[[], float] = time.monotonic
        self._wall: Callable[[], float] = time.time
        self._calls: dict[str, _Call] = {}
        self._keys_here: set[tuple[str, str]] = set()

    def use_times(self, now: Callable[[], float], wall: Callable[[], float]) -> None:
        """Take the times, monotonic and since the epoch, from elsewhere."""
        self._now = now
        self._wall = wall

    @property
    def open_requests(self) -> int:
        """Calls that have begun and not ended."""
        return len(self._calls)

    @property
    def open_request_ids(self) -> list[str]:
        """Ids of those requests."""
        return list(self._calls)

    async def begin(self, request: BeginOperation) -> OperationGrant | Replay | Refusal:
        """Decide on the endpoint of a call, after its key is claimed where it needs that."""
        call = self._admit(request)
        if isinstance(call, Refusal):
            return call
        self._calls[request.request_id] = call
        if call.claimed_key is None:
            return self._choose(call)
        refusal = self._check_key(call, call.claimed_key)
        if refusal is not None:
            return self._refuse(call, refusal[0], refusal[1])
        return await self._claim_and_choose(call, call.claimed_key)

    def send(self, message: SendOperation) -> SendResult | Refusal:
        """Check that the call may still run, and hand its bytes over, in one step.

        Nothing runs between the check and the hand-over. A process that was
        stopped for a minute finds its deadline passed here, and sends nothing
        that its caller, or a repeat at another host, was told about meanwhile.
        """
        call = self._calls[message.request_id]
        left_s = call.deadline - self._now()
        if left_s <= 0:
            self._note_attempt_end(call)
            kind = ErrorKind.ENDPOINT_FAILED if call.is_sent else ErrorKind.DEADLINE_UNREACHABLE
            return self._refuse(call, kind, "the deadline passed before it was sent")
        call.is_sent = message.call.start_sending() or call.is_sent
        return SendResult(call.is_sent, left_s)

    def retry(self, failure: CallFailed) -> OperationGrant | Refusal:
        """Decide where a broken call goes on: only if it is safe to send it again."""
        call = self._calls[failure.request_id]
        now = self._now()
        self._note_attempt_end(call)
        self._context.endpoints.record_failure(call.endpoint, now, failure.reason)
        call.explanation.attempts.append(f"{call.endpoint}: {failure.reason}")
        failed = FailedAttempt(
            call.attempts, call.is_sent, call.operation.idempotent, call.deadline - now
        )
        match self._context.decide_retry(failed, _budget_key(call)):
            case GiveUp(kind=ErrorKind.OPERATION_OUTCOME_UNKNOWN):
                return self._give_up_sent(call, failure.reason)
            case GiveUp(kind=kind, reason=reason):
                kind = ErrorKind.ENDPOINT_FAILED if call.is_sent else kind
                return self._refuse(call, kind, f"{reason} ({failure.reason})")
            case RetryAfter(delay_s=delay_s):
                self._context.metrics.count_retry(failure.reason)
                return self._choose(call, delay_s)

    def end(self, end: EndOperation) -> Bill | None:
        """Close a call that was answered: keep its answer, and make its bill."""
        call = self._close(end.request_id)
        self._note_attempt_end(call, self._now() - call.sent_at)
        self._context.endpoints.record_success(call.endpoint)
        ran = end.answer.status < FIRST_ERROR_STATUS
        call.explanation.outcome = "ran" if ran else "refused by the service"
        if call.claim is not None and self.claims is not None:
            answer = make_ran_result(end.answer.status, end.answer.content_type, end.answer.body)
            self.claims.settle(_outcome(call.claim, answer))
        if not ran:
            return None
        bill = Bill(
            end.request_id, call.account.name, call.explanation.subject, call.operation.price
        )
        if self._context.limits is not None:
            self._context.limits.record_spend(call.account, bill.amount)
        return self._context.add_bill(bill, call.explanation)

    async def find(self, message: FindOperation) -> KnownOutcome | Refusal:
        """Tell what is known of the operation under a key."""
        account = self._context.find_account(message.api_key)
        if isinstance(account, Refusal):
            return account
        if (account.name, message.key) in self._keys_here:
            return KnownOutcome(OutcomeKind.IN_PROGRESS)
        if self.claims is None or self.peers is None:
            return self._context.refuse(ErrorKind.NOT_READY, "this host keeps no claims yet")
        found = await self.claims.find(account.name, message.key)
        outcome = derive_outcome(self._newest(found.state), self.peers.live())
        if not found.is_current and outcome.kind is OutcomeKind.NOT_RUN:
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
            limited = self._check_room(account, request.service)
            if limited is not None:
                return limited
        subject = f"{request.service}/{request.operation}"
        explanation = self._context.open_explanation(request.request_id, account, subject)
        deadline = self._now() + operation.timeout_s
        return _Call(request, account, operation, explanation, deadline)

    def _check_room(self, account: ClientAccount, service: str) -> Refusal | None:
        """Count a call against its account's limits, or refuse it, or for want of room."""
        limited = self._context.check_limits(account, 0, self._now(), is_stream=False)
        limit = self._context.service_limit(service)
        if limited is not None or limit.has_room():
            return limited
        message = f"{limit.in_flight} calls of {service} run, as many as it can take"
        return self._context.refuse(
            ErrorKind.QUEUE_FULL, message, retry_after_s=limit.retry_after_s()
        )

    def _choose_within_limits(self, call: _Call) -> OperationGrant | Refusal:
        """Go on with a call that won its key, if its account's limits let it through.

        A repeat asks what became of the first call: were it refused as "not
        run" before its key is looked up, the caller would take that for the
        answer and send the work again under another key. So limits come only
        when the log shows that nothing else stands under the key.
        """
        limited = self._check_room(call.account, call.request.service)
        if limited is None:
            return self._choose(call)
        self._release(call, limited.kind)
        return limited

    def _check_key(self, call: _Call, key: str) -> tuple[ErrorKind, str] | None:
        if (call.account.name, key) in self._keys_here:
            return ErrorKind.OPERATION_IN_PROGRESS, "a call with this key is under way here"
        made_at = issued_at(key)
        if made_at is not None and made_at < self._wall() - RETENTION_S + CLOCK_MARGIN_S:
            return (
                ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
                f"the key is older than {RETENTION_S - CLOCK_MARGIN_S:.0f} s; "
                "look up by other means whether it ran",
            )
        if made_at is not None and made_at > self._wall() + CLOCK_MARGIN_S:
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
        self._keys_here.add((claim.account, claim.key))
        call.holds_key_here = True
        call.claim = claim
        began = self._now()
        verdict = await self.claims.claim(claim, call.deadline - began)
        self._context.metrics.record_latency("claim", request.service, self._now() - began)
        match verdict:
            case Won():
                return self._choose_within_limits(call)
            case Taken(state=holding):
                call.claim = None
                if holding is not None and holding.claim.fingerprint != claim.fingerprint:
                    message = "the key was used for another operation or body"
                    return self._refuse(call, ErrorKind.IDEMPOTENCY_KEY_REUSED, message)
                return self._repeat(call, derive_outcome(self._newest(holding), self.peers.live()))
            case Unsettled(may_be_logged=may_stand):
                if not may_stand:
                    call.claim = None
                message = "the log did not confirm the claim; repeat with the same key"
                return self._refuse(call, ErrorKind.LOG_UNAVAILABLE, message)
            case Voided():
                raise AssertionError("only this host voids its claims, and did not yet")

    def _newest(self, holding: KeyState | None) -> KeyState | None:
        """Add an outcome of this host that the log doesn't hold yet."""
        if holding is None or self.claims is None:
            return holding
        match self.claims.find_unsettled(holding.claim.id):
            case Outcome(result=result):
                return KeyState(holding.claim, result)
        return holding

    def _repeat(self, call: _Call, outcome: KnownOutcome) -> Replay | Refusal:
        """Answer a call whose key another claim holds."""
        match outcome:
            case KnownOutcome(kind=OutcomeKind.RAN, ran=ran) if ran is not None:
                self._close(call.request.request_id)
                call.explanation.outcome = "answered with the recorded outcome"
                self._context.metrics.count_event("operation_replayed")
                return Replay(ran)
            case KnownOutcome(kind=OutcomeKind.UNKNOWN):
                message = "a call with this key went out and may have run; it is not sent again"
                return self._refuse(call, ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)
        message = "a call with this key is under way; ask again"
        return self._refuse(call, ErrorKind.OPERATION_IN_PROGRESS, message)

    def _note_attempt_end(self, call: _Call, took_s: float | None = None) -> None:
        now = self._now()
        self._context.service_limit(call.request.service).record_end(took_s, now)
        self._context.endpoints.record_finished(call.endpoint, now)

    def _choose(self, call: _Call, delay_s: float = 0.0) -> OperationGrant | Refusal:
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

    def _give_up_sent(self, call: _Call, reason: str) -> Refusal:
        """End a call that went out and got no answer: it is never sent again."""
        if call.claim is not None and self.claims is not None:
            self.claims.settle(_outcome(call.claim, Lost(reason)))
        message = "the call went out and no answer came; it may have run"
        return self._refuse(call, ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)

    def _refuse(self, call: _Call, kind: ErrorKind, message: str) -> Refusal:
        """Close a call with a refusal, and count it."""
        self._release(call, kind)
        return self._context.refuse(kind, message)

    def _release(self, call: _Call, kind: ErrorKind) -> None:
        """Close a call, and release a claim under which nothing was sent."""
        self._close(call.request.request_id)
        if call.claim is not None and not call.is_sent and self.claims is not None:
            self.claims.settle(Release(call.claim.id, call.claim.account, call.claim.key))
        call.explanation.outcome = f"refused: {kind.value}"

    def _close(self, request_id: str) -> _Call:
        call = self._calls.pop(request_id)
        if call.holds_key_here and call.claimed_key is not None:
            self._keys_here.discard((call.account.name, call.claimed_key))
        return call


def _budget_key(call: _Call) -> BudgetKey:
    return BudgetKey(call.request.operation, call.request.service)


def _outcome(claim: Claim, result: Result) -> Outcome:
    return Outcome(claim.id, claim.account, claim.key, result)
