"""Routes chat requests, from their arrival to their bills."""

from dataclasses import dataclass

from poplarrun.admission import Queued, Refused
from poplarrun.billing import Bill
from poplarrun.clients import Usage
from poplarrun.contracts import ClientAccount, UnmetTargetsPolicy, Version, WorkClass
from poplarrun.endpoints import Endpoint, PromptProfile
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.orders import OpenRequest
from poplarrun.retries import GiveUp
from poplarrun.router._chat_versions import ChatVersions, SelectedVersion
from poplarrun.router._context import RouterContext
from poplarrun.router._engine_dispatcher import (
    Dispatched,
    EngineDispatcher,
    EngineRequest,
    NoEndpoint,
    StartOutcome,
)
from poplarrun.router._messages import (
    AnswerAccepted,
    AttemptFailed,
    BeginChat,
    ChatGrant,
    EndChat,
    Explanation,
    FirstToken,
    JudgeChat,
)

# Maximum queueing time of a class whose latency targets are best effort, in seconds.
BEST_EFFORT_QUEUE_TIMEOUT_S = 10.0
NO_USAGE = Usage(0, 0)
# Failure reason of an engine that can't be reached, and so can't transfer its KV cache.
UNREACHABLE_REASON = "connect"


@dataclass
class _Chat:
    request: BeginChat
    account: ClientAccount
    work_class: WorkClass
    selected_version: SelectedVersion
    arrived_at: float
    explanation: Explanation
    engine_request: EngineRequest
    delivered_tokens: int = 0
    resume_count: int = 0
    first_step_cost: float = 0.0

    @property
    def endpoint(self) -> Endpoint | None:
        """The endpoint of the latest attempt."""
        return self.engine_request.choice.endpoint if self.engine_request.choice else None

    @property
    def version(self) -> Version:
        """The version that must generate the answer."""
        return self.selected_version.version


class ChatRouter:
    """Decides about chat requests; used on the event loop only, never blocks."""

    def __init__(self, context: RouterContext, dispatcher: EngineDispatcher) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._chats: dict[str, _Chat] = {}
        self._versions = ChatVersions(context)

    @property
    def open_requests(self) -> int:
        """Number of chat requests in progress."""
        return len(self._chats)

    @property
    def open_request_ids(self) -> list[str]:
        """Ids of the chat requests in progress."""
        return list(self._chats)

    def list_open_requests(self) -> list[OpenRequest]:
        """Return the open chat requests, for the demand for engines."""
        return [
            OpenRequest(
                chat.version.id,
                chat.work_class.importance,
                chat.request.session is not None,
                chat.endpoint.name if chat.endpoint else "",
            )
            for chat in self._chats.values()
        ]

    def begin(self, request: BeginChat, now: float) -> ChatGrant | Queued | Refusal:
        """Decide on the version and the endpoint of a new chat request.

        Returns
        -------
        ChatGrant or Queued or Refusal
            For a queued request ``release_queued`` returns the grant or refusal later.
        """
        document = self._context.configuration.document
        self._context.metrics.count_request(
            request.class_name if request.class_name in document.classes else "unknown"
        )
        account = self._context.find_account(request.api_key)
        if isinstance(account, Refusal):
            return account
        work_class = document.classes.get(request.class_name)
        if work_class is None:
            message = f"no class {request.class_name!r}; see GET /v1/models"
            return self._context.refuse(ErrorKind.CLASS_UNKNOWN, message, "model")
        if not account.allows_class(work_class.name):
            message = f"client account {account.name} may not use class {work_class.name}"
            return self._context.refuse(ErrorKind.CLASS_NOT_ALLOWED, message, "model")
        tokens = request.prompt_tokens + request.max_tokens
        limit_refusal = self._context.check_limits(account, tokens, now)
        if limit_refusal is not None:
            return limit_refusal
        explanation = self._context.open_explanation(request.request_id, account, work_class.name)
        selected = self._versions.choose(request, account, work_class, explanation, now)
        if isinstance(selected, Refusal):
            explanation.outcome = f"refused: {selected.kind.value}"
            self._settle_limits(request, account)
            return selected
        engine_request = _make_engine_request(request, account, work_class, selected.version, now)
        chat = _Chat(request, account, work_class, selected, now, explanation, engine_request)
        self._chats[request.request_id] = chat
        outcome = self._dispatcher.start(engine_request, now)
        if isinstance(outcome, NoEndpoint):
            self._context.demand.record_missed(
                selected.version.id, work_class.importance, request.session is not None
            )
        if isinstance(outcome, Refused | NoEndpoint):
            outcome = self._start_on_alternative(chat, now) or outcome
        if isinstance(outcome, Queued):
            explanation.attempts.append(f"queued, {outcome.wait_s:.2f} s expected")
        return self._handle_start(chat, outcome, now)

    def release_queued(self, now: float) -> list[tuple[str, ChatGrant | Refusal]]:
        """Start the queued requests that have a slot now, and refuse those that are late."""
        released: list[tuple[str, ChatGrant | Refusal]] = []
        for engine_request, outcome in self._dispatcher.release_queued(now):
            chat = self._chats[engine_request.request_id]
            refusal = self._check_version(chat) if isinstance(outcome, Dispatched) else None
            if refusal is not None:
                self._dispatcher.end(engine_request, False, now)
            started = refusal or self._handle_start(chat, outcome, now)
            assert not isinstance(started, Queued)
            released.append((engine_request.request_id, started))
        return released

    def retry(self, failure: AttemptFailed, now: float) -> ChatGrant | Refusal:
        """Decide where a chat continues after a failed attempt."""
        chat = self._chats[failure.request_id]
        chat.delivered_tokens = failure.position if failure.is_delivered else 0
        endpoint = chat.endpoint.name if chat.endpoint else ""
        chat.selected_version.record_failed_endpoint(endpoint)
        chat.explanation.attempts.append(f"{endpoint}: {failure.reason}")
        decision = self._dispatcher.handle_failed_attempt(
            chat.engine_request,
            failure.reason,
            failure.may_have_started,
            now,
            is_stream=failure.position > 0,
        )
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        if isinstance(decision, GiveUp):
            return self._refuse_chat(chat, decision.kind, f"{decision.reason} ({failure.reason})")
        if failure.position > 0:
            return self._resume_stream(chat, failure, now, decision.delay_s)
        self._context.metrics.count_retry(failure.reason)
        return self._restart(chat, now, decision.delay_s)

    def record_first_token(self, event: FirstToken, now: float) -> None:
        """Record the time to the first token.

        The chat has already ended if the answer is empty or the accepted first answer of a
        cascade, which is complete before the caller gets any of it. This isn't an error.
        """
        chat = self._chats.get(event.request_id)
        if chat is None:
            return
        self._dispatcher.record_first_token(chat.engine_request, now)
        chat.selected_version.first_token_s = now - chat.arrived_at
        self._context.metrics.record_latency(
            "first_token", chat.work_class.name, now - chat.arrived_at
        )

    def judge(self, message: JudgeChat, now: float) -> AnswerAccepted | ChatGrant:
        """Accept a cascade's first answer, or send the request to the second version.

        If the second step can't start, the caller gets the first answer: a complete answer of
        lower quality than the class requires is better than none.
        """
        end = message.end
        chat = self._chats[end.request_id]
        second_step = self._versions.escalate(
            chat.selected_version, chat.account, chat.work_class, end, now
        )
        if second_step is None:
            return AnswerAccepted()
        engine_request = _make_engine_request(
            chat.request, chat.account, chat.work_class, second_step.version, now
        )
        engine_request.deadline = chat.engine_request.deadline
        # The first step ran, so that a failure of the second one must not say "not run".
        engine_request.may_have_started = True
        outcome = self._dispatcher.retry_elsewhere(engine_request, now, 0.0)
        if not isinstance(outcome, Dispatched):
            return AnswerAccepted()
        self._dispatcher.end(chat.engine_request, True, now)
        self._versions.record_end(
            chat.selected_version, chat.work_class, end, now - chat.arrived_at
        )
        chat.first_step_cost += chat.version.price.cost(
            end.usage.input_tokens, end.usage.output_tokens
        )
        chat.explanation.attempts.append(
            f"{chat.version.id} answered poorly: {second_step.version.id}"
        )
        chat.selected_version, chat.engine_request = second_step, engine_request
        return self._grant(chat, outcome, now)

    def end(self, end: EndChat, now: float) -> Bill:
        """Close a chat and create its bill."""
        chat = self._chats.pop(end.request_id)
        self._dispatcher.end(chat.engine_request, end.is_complete, now)
        self._context.metrics.record_latency("whole", chat.work_class.name, now - chat.arrived_at)
        self._versions.record_end(
            chat.selected_version, chat.work_class, end, now - chat.arrived_at
        )
        bill = _make_bill(chat, end.usage.input_tokens, end.usage.output_tokens)
        self._settle_limits(chat.request, chat.account, end.usage, bill.amount)
        chat.explanation.outcome = "answered" if end.is_complete else "cut off"
        return self._context.add_bill(bill, chat.explanation)

    def _start_on_alternative(self, chat: _Chat, now: float) -> Dispatched | Queued | None:
        """Start a chat on another allowed version if the selected one has no slot in time."""
        alternative = self._versions.choose_alternative(
            chat.request, chat.account, chat.work_class, chat.version.id, now
        )
        if alternative is None:
            return None
        engine_request = _make_engine_request(
            chat.request, chat.account, chat.work_class, alternative.version, now
        )
        outcome = self._dispatcher.start(engine_request, now)
        if not isinstance(outcome, Dispatched | Queued):
            return None
        chat.explanation.attempts.append(f"{chat.version.id}: no room in time")
        self._context.metrics.count_event("other_version_for_room")
        chat.selected_version, chat.engine_request = alternative, engine_request
        return outcome

    def _resume_stream(
        self, chat: _Chat, failure: AttemptFailed, now: float, delay_s: float
    ) -> ChatGrant | Refusal:
        """Resume a broken stream, so that the rest continues the part that was received.

        The first retry resumes on the same engine, which still has the stream; the second one
        moves the KV cache to another engine. An answer is generated from the beginning only if
        the caller has received none of it: two generations differ, and would be mixed.
        """
        chat.resume_count += 1
        previous_endpoint = chat.endpoint
        is_previous_known = (
            previous_endpoint is not None
            and self._context.endpoints.find(previous_endpoint.name) is previous_endpoint
        )
        if chat.resume_count == 1 and is_previous_known:
            self._context.metrics.count_retry("resume")
            sent = self._dispatcher.resend(chat.engine_request, now, delay_s)
            return self._grant(chat, sent, now, is_resume=True)
        can_move_cache = (
            is_previous_known and failure.reason != UNREACHABLE_REASON and chat.resume_count == 2
        )
        if can_move_cache and previous_endpoint is not None:
            dispatched = self._dispatcher.retry_elsewhere(chat.engine_request, now, delay_s)
            if (
                isinstance(dispatched, Dispatched)
                and dispatched.choice.endpoint is not previous_endpoint
            ):
                self._context.metrics.count_retry("resume_elsewhere")
                return self._grant(
                    chat, dispatched, now, is_resume=True, cache_from=previous_endpoint.address
                )
            if isinstance(dispatched, Dispatched):
                self._dispatcher.undo_attempt(chat.engine_request, now)
        if failure.is_delivered:
            message = "the stream's engine is gone"
            return self._refuse_chat(chat, ErrorKind.ANSWER_INCOMPLETE, message)
        self._context.metrics.count_retry("anew")
        return self._restart(chat, now, delay_s)

    def _restart(self, chat: _Chat, now: float, delay_s: float) -> ChatGrant | Refusal:
        sent = self._dispatcher.retry_elsewhere(chat.engine_request, now, delay_s)
        started = self._handle_start(chat, sent, now)
        assert not isinstance(started, Queued)
        return started

    def _handle_start(
        self, chat: _Chat, outcome: StartOutcome, now: float
    ) -> ChatGrant | Queued | Refusal:
        match outcome:
            case Dispatched():
                return self._grant(chat, outcome, now)
            case Queued():
                return outcome
            case Refused(kind=kind, reason=reason, retry_after_s=retry_after_s):
                return self._refuse_chat(chat, kind, reason, retry_after_s)
            case NoEndpoint():
                message = f"no endpoint holds {chat.version.id}"
                expected_load_s = self._context.expected_load_s.get(chat.version.id)
                return self._refuse_chat(chat, ErrorKind.NO_ENDPOINT, message, expected_load_s)

    def _check_version(self, chat: _Chat) -> Refusal | None:
        """Check before each attempt that the version may still be used.

        Otherwise a version that was withdrawn between two attempts would get new work
        although its withdrawal is in force at this host.
        """
        if self._context.configuration.is_withdrawn(chat.version.id):
            message = f"version {chat.version.id} was withdrawn"
            return self._refuse_chat(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        if not self._context.may_use(chat.account.name, chat.version.id):
            message = f"client account {chat.account.name} may no longer use {chat.version.id}"
            return self._refuse_chat(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        return None

    def _grant(
        self,
        chat: _Chat,
        sent: Dispatched,
        now: float,
        is_resume: bool = False,
        cache_from: str = "",
    ) -> ChatGrant:
        endpoint = sent.choice.endpoint
        timeout_s = max(0.0, chat.engine_request.deadline - now - sent.delay_s)
        importance = chat.work_class.importance
        if chat.engine_request.attempts == 1:
            self._context.opened_bills.append(_make_bill(chat, chat.request.prompt_tokens, 0))
        return ChatGrant(
            endpoint.name,
            endpoint.address,
            chat.version.id,
            importance,
            timeout_s,
            sent.delay_s,
            is_sampled=chat.selected_version.is_sampled,
            must_buffer=chat.selected_version.escalation is not None,
            session_token=chat.request.session_token,
            is_resume=is_resume,
            cache_from=cache_from,
        )

    def _settle_limits(
        self,
        request: BeginChat,
        account: ClientAccount,
        usage: Usage = NO_USAGE,
        amount: float = 0.0,
    ) -> None:
        """Replace a request's expected usage in its account's limits by the actual usage."""
        if self._context.limits is not None:
            expected = request.prompt_tokens + request.max_tokens
            used = usage.input_tokens + usage.output_tokens
            self._context.limits.finish(account, expected, used, amount)

    def _refuse_chat(
        self, chat: _Chat, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> Refusal:
        """End a chat without a complete answer, and bill the part that the caller received.

        An error kind that says "not run" is correct only if no engine started; otherwise it is
        replaced by one that says what happened to the answer.
        """
        self._chats.pop(chat.request.request_id, None)
        if chat.delivered_tokens:
            kind = ErrorKind.ANSWER_INCOMPLETE
            bill = _make_bill(chat, chat.request.prompt_tokens, chat.delivered_tokens)
            delivered_usage = Usage(chat.request.prompt_tokens, chat.delivered_tokens)
            self._settle_limits(chat.request, chat.account, delivered_usage, bill.amount)
            self._context.add_bill(bill, chat.explanation)
        else:
            if chat.engine_request.may_have_started and response_for(kind).not_run is NotRun.YES:
                kind = ErrorKind.ENDPOINT_FAILED
            self._settle_limits(chat.request, chat.account)
            self._context.closed_bill_ids.append(chat.request.request_id)
        chat.explanation.outcome = f"refused: {kind.value}"
        return self._context.refuse(kind, message, retry_after_s=retry_after_s)


def _make_bill(chat: _Chat, input_tokens: int, output_tokens: int) -> Bill:
    amount = chat.first_step_cost + chat.version.price.cost(input_tokens, output_tokens)
    return Bill(chat.request.request_id, chat.account.name, str(chat.version.id), amount)


def _make_engine_request(
    request: BeginChat, account: ClientAccount, work_class: WorkClass, version: Version, now: float
) -> EngineRequest:
    targets = work_class.targets
    queue_timeout_s = targets.first_token_s
    if work_class.unmet is UnmetTargetsPolicy.BEST_EFFORT:
        queue_timeout_s = max(queue_timeout_s, min(targets.whole_s, BEST_EFFORT_QUEUE_TIMEOUT_S))
    return EngineRequest(
        request_id=request.request_id,
        account=account.name,
        work_class=work_class.name,
        importance=work_class.importance,
        version=version.id,
        prompt=PromptProfile(request.prompt_tokens, request.blocks),
        start_by=now + queue_timeout_s,
        deadline=now + targets.whole_s,
    )
