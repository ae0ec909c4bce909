"""The router: one object on the loop that decides about every request."""

from collections import OrderedDict
from dataclasses import dataclass, field

from poplarrun.config import Configuration
from poplarrun.contracts import ClientAccount, Operation, Version, VersionId, WorkClass
from poplarrun.endpoints import Endpoint, EndpointTable
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.metrics import Metrics
from poplarrun.router._messages import (
    AttemptFailed,
    BeginChat,
    BeginOperation,
    Bill,
    CallFailed,
    ChatGrant,
    EndChat,
    EndOperation,
    Explanation,
    FirstToken,
    OperationGrant,
)
from poplarrun.versions import Candidate, choose_version

MAX_ATTEMPTS = 3
KEPT_EXPLANATIONS = 2000
# Until ratings say otherwise, a dearer version is taken to be the better one.
PRIOR_QUALITY = 0.8


@dataclass
class _Chat:
    request: BeginChat
    account: ClientAccount
    work_class: WorkClass
    version: Version
    began_at: float
    explanation: Explanation
    endpoint: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


@dataclass
class _Call:
    request: BeginOperation
    account: ClientAccount
    operation: Operation
    explanation: Explanation
    endpoint: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


class Router:
    """Decides about requests; called on the loop only, never blocks.

    Attributes
    ----------
    configuration : Configuration
        The configuration in force at this host.
    bills : list of Bill
        Bills that are not handed on yet.
    """

    def __init__(self, endpoints: EndpointTable, metrics: Metrics) -> None:
        self.configuration = Configuration()
        self.bills: list[Bill] = []
        self._endpoints = endpoints
        self._metrics = metrics
        self._chats: dict[str, _Chat] = {}
        self._calls: dict[str, _Call] = {}
        self._sessions: dict[tuple[str, str], VersionId] = {}
        self._explanations: OrderedDict[str, Explanation] = OrderedDict()

    @property
    def open_requests(self) -> int:
        """Requests that have begun and not ended."""
        return len(self._chats) + len(self._calls)

    def explain(self, request_id: str) -> Explanation | None:
        """Return what is kept of a request's way, while it is kept."""
        return self._explanations.get(request_id)

    def begin_chat(self, request: BeginChat, now: float) -> ChatGrant | Refusal:
        """Decide on the version and the endpoint of a new chat request."""
        document = self.configuration.document
        self._metrics.count_request(
            request.class_name if request.class_name in document.classes else "unknown"
        )
        account = document.account_for_key(request.api_key)
        if account is None:
            return self._refuse(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        work_class = document.classes.get(request.class_name)
        if work_class is None:
            message = f"no class {request.class_name!r}; see GET /v1/models"
            return self._refuse(ErrorKind.CLASS_UNKNOWN, message, "model")
        if not account.allows_class(work_class.name):
            message = f"client account {account.name} may not use class {work_class.name}"
            return self._refuse(ErrorKind.CLASS_NOT_ALLOWED, message, "model")
        explanation = self._open_explanation(request.request_id, account, work_class.name)
        version = self._choose_version(request, account, work_class, explanation)
        if isinstance(version, Refusal):
            explanation.outcome = f"refused: {version.kind.value}"
            return version
        chat = _Chat(request, account, work_class, version, now, explanation)
        self._chats[request.request_id] = chat
        return self._send_chat(chat, now)

    def retry_chat(self, failure: AttemptFailed, now: float) -> ChatGrant | Refusal:
        """Decide where a broken chat goes on."""
        chat = self._chats[failure.request_id]
        self._note_attempt_end(chat, failure.reason, now)
        if chat.attempts >= MAX_ATTEMPTS:
            kind = ErrorKind.ANSWER_INCOMPLETE if failure.position else ErrorKind.ENDPOINT_FAILED
            return self._give_up(chat, kind, f"{chat.attempts} attempts broke ({failure.reason})")
        if failure.position > 0:
            return self._resume_chat(chat, now)
        self._metrics.count_retry(failure.reason)
        return self._send_chat(chat, now)

    def note_first_token(self, event: FirstToken, now: float) -> None:
        """Record the time to the first token."""
        chat = self._chats[event.request_id]
        self._metrics.record_latency("first_token", chat.work_class.name, now - chat.began_at)

    def end_chat(self, end: EndChat, now: float) -> Bill:
        """Close a chat and make its bill."""
        chat = self._chats.pop(end.request_id)
        self._endpoints.note_ended(chat.endpoint)
        self._metrics.record_latency("whole", chat.work_class.name, now - chat.began_at)
        amount = chat.version.price.cost(end.usage.input_tokens, end.usage.output_tokens)
        bill = Bill(end.request_id, chat.account.name, str(chat.version.id), amount)
        chat.explanation.outcome = "answered" if end.whole else "cut off"
        return self._add_bill(bill, chat.explanation)

    def begin_operation(self, request: BeginOperation, now: float) -> OperationGrant | Refusal:
        """Decide on the endpoint of a call of a plain service."""
        document = self.configuration.document
        account = document.account_for_key(request.api_key)
        if account is None:
            return self._refuse(ErrorKind.UNAUTHENTICATED, "the API key is not known")
        service = document.services.get(request.service)
        operation = service.operations.get(request.operation) if service else None
        if operation is None:
            message = f"no operation {request.service}/{request.operation}"
            return self._refuse(ErrorKind.SERVICE_UNKNOWN, message)
        if not account.allows_operation(request.service, request.operation):
            message = f"client account {account.name} may not call it"
            return self._refuse(ErrorKind.SERVICE_NOT_ALLOWED, message)
        subject = f"{request.service}/{request.operation}"
        explanation = self._open_explanation(request.request_id, account, subject)
        call = _Call(request, account, operation, explanation)
        self._calls[request.request_id] = call
        return self._send_call(call, now)

    def retry_operation(self, failure: CallFailed, now: float) -> OperationGrant | Refusal:
        """Decide where a broken call goes on: only if it is safe to send it again."""
        call = self._calls[failure.request_id]
        self._endpoints.note_ended(call.endpoint)
        self._endpoints.note_failure(call.endpoint, now)
        call.explanation.attempts.append(f"{call.endpoint}: {failure.reason}")
        if failure.started and not call.operation.idempotent:
            del self._calls[failure.request_id]
            call.explanation.outcome = "unknown"
            message = "the call went out and no answer came; it may have run"
            return self._refuse(ErrorKind.OPERATION_OUTCOME_UNKNOWN, message)
        if call.attempts >= MAX_ATTEMPTS:
            del self._calls[failure.request_id]
            kind = ErrorKind.ENDPOINT_FAILED if failure.started else ErrorKind.NO_ENDPOINT
            call.explanation.outcome = f"refused: {kind.value}"
            return self._refuse(kind, f"{call.attempts} attempts failed ({failure.reason})")
        self._metrics.count_retry(failure.reason)
        return self._send_call(call, now)

    def end_operation(self, end: EndOperation, now: float) -> Bill | None:
        """Close a call and make its bill, where it ran."""
        call = self._calls.pop(end.request_id)
        self._endpoints.note_ended(call.endpoint)
        call.explanation.outcome = "ran" if end.ran else "refused by the service"
        if not end.ran:
            return None
        bill = Bill(
            end.request_id, call.account.name, call.explanation.subject, call.operation.price
        )
        return self._add_bill(bill, call.explanation)

    def _choose_version(
        self,
        request: BeginChat,
        account: ClientAccount,
        work_class: WorkClass,
        explanation: Explanation,
    ) -> Version | Refusal:
        pinned = self._pinned_version(request, account)
        if pinned is not None:
            return self._check_pinned(pinned, account)
        candidates = [
            Candidate(v, PRIOR_QUALITY, v.price.cost(request.prompt_tokens, request.max_tokens))
            for v in self.configuration.document.allowed_versions(account)
            if not self.configuration.is_withdrawn(v.id)
        ]
        explanation.considered = [
            f"{c.version.id} quality>={c.quality:.2f} cost={c.cost:.6f}" for c in candidates
        ]
        chosen = choose_version(work_class, candidates)
        if chosen is None:
            message = f"client account {account.name} has no offered version"
            return self._refuse(ErrorKind.VERSION_NOT_ALLOWED, message, "model")
        if request.session is not None:
            self._sessions[(account.name, request.session)] = chosen.version.id
        return chosen.version

    def _pinned_version(self, request: BeginChat, account: ClientAccount) -> VersionId | None:
        if request.session is None:
            return None
        return self._sessions.get((account.name, request.session))

    def _check_pinned(self, pinned: VersionId, account: ClientAccount) -> Version | Refusal:
        if self.configuration.is_withdrawn(pinned):
            message = f"the session's version {pinned} was withdrawn; start a new session"
            return self._refuse(ErrorKind.SESSION_VERSION_WITHDRAWN, message)
        if not account.allows_version(pinned):
            message = f"client account {account.name} may no longer use {pinned}"
            return self._refuse(ErrorKind.VERSION_NOT_ALLOWED, message)
        return self.configuration.document.versions[pinned]

    def _send_chat(self, chat: _Chat, now: float) -> ChatGrant | Refusal:
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        endpoint = self._endpoints.choose_engine(chat.version.id, now, chat.tried)
        if endpoint is None:
            message = f"no endpoint holds {chat.version.id}"
            return self._give_up(chat, ErrorKind.NO_ENDPOINT, message)
        return self._grant_chat(chat, endpoint, now)

    def _resume_chat(self, chat: _Chat, now: float) -> ChatGrant | Refusal:
        """Go on at the same engine: only there does the rest fit what the caller has."""
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        for endpoint in self._endpoints.all():
            if endpoint.name == chat.endpoint:
                self._metrics.count_retry("resume")
                return self._grant_chat(chat, endpoint, now)
        return self._give_up(chat, ErrorKind.ANSWER_INCOMPLETE, "the stream's engine is gone")

    def _check_version(self, chat: _Chat) -> Refusal | None:
        """Check permission anew before each attempt.

        A version withdrawn between two attempts would otherwise get new work
        after its withdrawal was in force at this host.
        """
        account = self.configuration.document.accounts.get(chat.account.name)
        if self.configuration.is_withdrawn(chat.version.id):
            message = f"version {chat.version.id} was withdrawn"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        if account is None or not account.allows_version(chat.version.id):
            message = f"client account {chat.account.name} may no longer use {chat.version.id}"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        return None

    def _grant_chat(self, chat: _Chat, endpoint: Endpoint, now: float) -> ChatGrant | Refusal:
        timeout_s = chat.began_at + chat.work_class.targets.whole_s - now
        if timeout_s <= 0:
            return self._give_up(chat, ErrorKind.DEADLINE_UNREACHABLE, "the deadline has passed")
        chat.endpoint = endpoint.name
        chat.attempts += 1
        chat.tried.add(endpoint.name)
        self._endpoints.note_sent(endpoint.name)
        return ChatGrant(
            endpoint.name,
            endpoint.address,
            chat.version.id,
            chat.work_class.importance,
            timeout_s,
        )

    def _send_call(self, call: _Call, now: float) -> OperationGrant | Refusal:
        endpoint = self._endpoints.choose_service(call.request.service, now, call.tried)
        if endpoint is None:
            del self._calls[call.request.request_id]
            call.explanation.outcome = f"refused: {ErrorKind.NO_ENDPOINT.value}"
            return self._refuse(ErrorKind.NO_ENDPOINT, f"no endpoint runs {call.request.service}")
        call.endpoint = endpoint.name
        call.attempts += 1
        call.tried.add(endpoint.name)
        self._endpoints.note_sent(endpoint.name)
        return OperationGrant(endpoint.name, endpoint.address, call.operation)

    def _note_attempt_end(self, chat: _Chat, reason: str, now: float) -> None:
        self._endpoints.note_ended(chat.endpoint)
        self._endpoints.note_failure(chat.endpoint, now)
        chat.explanation.attempts.append(f"{chat.endpoint}: {reason}")

    def _give_up(self, chat: _Chat, kind: ErrorKind, message: str) -> Refusal:
        self._chats.pop(chat.request.request_id, None)
        chat.explanation.outcome = f"refused: {kind.value}"
        return self._refuse(kind, message)

    def _refuse(self, kind: ErrorKind, message: str, param: str | None = None) -> Refusal:
        self._metrics.count_refusal(kind)
        return Refusal(kind, message, param)

    def _add_bill(self, bill: Bill, explanation: Explanation) -> Bill:
        explanation.bill = bill
        self.bills.append(bill)
        return bill

    def _open_explanation(
        self, request_id: str, account: ClientAccount, subject: str
    ) -> Explanation:
        explanation = Explanation(request_id, account.name, subject, self.configuration.offset)
        self._explanations[request_id] = explanation
        while len(self._explanations) > KEPT_EXPLANATIONS:
            self._explanations.popitem(last=False)
        return explanation
