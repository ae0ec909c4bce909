"""The decisions about one chat request, from its arrival to its bill."""

from dataclasses import dataclass

from poplarrun.admission import Queued, Refused
from poplarrun.billing import Bill
from poplarrun.clients import Usage
from poplarrun.contracts import ClientAccount, UnmetTargetsPolicy, Version, WorkClass
from poplarrun.endpoints import Endpoint, PromptProfile
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.orders import OpenRequest
from poplarrun.retries import GiveUp
from poplarrun.router._chat_versions import ChatVersions, VersionPick
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

# Longest time in the queue of a class whose latency targets are best effort.
BEST_EFFORT_WAIT_S = 10.0
NO_USAGE = Usage(0, 0)
# The stream's engine can't be reached, so it can't give out its KV cache either.
UNREACHABLE = "connect"


@dataclass
class _Chat:
    request: BeginChat
    account: ClientAccount
    work_class: WorkClass
    pick: VersionPick
    began_at: float
    explanation: Explanation
    job: EngineRequest
    shown_tokens: int = 0
    resumes: int = 0
    spent: float = 0.0

    @property
    def endpoint(self) -> Endpoint | None:
        """The endpoint of the newest attempt."""
        return self.job.choice.endpoint if self.job.choice else None

    @property
    def version(self) -> Version:
        """What must generate the answer."""
        return self.pick.version


class ChatRouter:
    """Decides about chat requests; called on the loop only, never blocks."""

    def __init__(self, context: RouterContext, dispatch: EngineDispatcher) -> None:
        self._context = context
        self._dispatch = dispatch
        self._chats: dict[str, _Chat] = {}
        self._versions = ChatVersions(context)

    @property
    def open_requests(self) -> int:
        """Chats that have begun and not ended."""
        return len(self._chats)

    @property
    def open_request_ids(self) -> list[str]:
        """Ids of those requests."""
        return list(self._chats)

    def list_open_work(self) -> list[OpenRequest]:
        """Return what the open chats ask of the engines."""
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
        ChatGrant or Held or Refusal
            For a held request ``release`` gives the grant or refusal later.
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
        limited = self._context.check_limits(account, tokens, now)
        if limited is not None:
            return limited
        explanation = self._context.open_explanation(request.request_id, account, work_class.name)
        pick = self._versions.pick(request, account, work_class, explanation, now)
        if isinstance(pick, Refusal):
            explanation.outcome = f"refused: {pick.kind.value}"
            self._end_limits(request, account)
            return pick
        job = _make_job(request, account, work_class, pick.version, now)
        chat = _Chat(request, account, work_class, pick, now, explanation, job)
        self._chats[request.request_id] = chat
        start = self._dispatch.start(job, now)
        if isinstance(start, NoEndpoint):
            self._context.demand.record_missed(
                pick.version.id, work_class.importance, request.session is not None
            )
        if isinstance(start, Refused | NoEndpoint):
            start = self._start_other(chat, now) or start
        if isinstance(start, Queued):
            explanation.attempts.append(f"queued, {start.wait_s:.2f} s expected")
        return self._follow_start(chat, start, now)

    def release_queued(self, now: float) -> list[tuple[str, ChatGrant | Refusal]]:
        """Start the held requests that have a place now, and end those that are late."""
        released: list[tuple[str, ChatGrant | Refusal]] = []
        for job, outcome in self._dispatch.release_queued(now):
            chat = self._chats[job.request_id]
            refusal = self._check_version(chat) if isinstance(outcome, Dispatched) else None
            if refusal is not None:
                self._dispatch.end(job, False, now)
            started = refusal or self._follow_start(chat, outcome, now)
            assert not isinstance(started, Queued)
            released.append((job.request_id, started))
        return released

    def retry(self, failure: AttemptFailed, now: float) -> ChatGrant | Refusal:
        """Decide where a broken chat goes on."""
        chat = self._chats[failure.request_id]
        chat.shown_tokens = failure.position if failure.is_delivered else 0
        endpoint = chat.endpoint.name if chat.endpoint else ""
        chat.pick.note_broken(endpoint)
        chat.explanation.attempts.append(f"{endpoint}: {failure.reason}")
        decision = self._dispatch.handle_failed_attempt(
            chat.job, failure.reason, failure.may_have_started, now, is_stream=failure.position > 0
        )
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        if isinstance(decision, GiveUp):
            return self._give_up(chat, decision.kind, f"{decision.reason} ({failure.reason})")
        if failure.position > 0:
            return self._resume(chat, failure, now, decision.delay_s)
        self._context.metrics.count_retry(failure.reason)
        return self._begin_anew(chat, now, decision.delay_s)

    def record_first_token(self, event: FirstToken, now: float) -> None:
        """Record the time to the first token.

        A cascade's accepted first answer, or an empty one, has ended by then: it was
        whole before its caller got anything. The message would fail as an error each time.
        """
        chat = self._chats.get(event.request_id)
        if chat is None:
            return
        self._dispatch.record_first_token(chat.job, now)
        chat.pick.first_token_s = now - chat.began_at
        self._context.metrics.record_latency(
            "first_token", chat.work_class.name, now - chat.began_at
        )

    def judge(self, message: JudgeChat, now: float) -> AnswerAccepted | ChatGrant:
        """Give a cascade's first answer out, or send the request to the second version.

        Where the second step can't start, the caller gets the first answer: it
        is whole, and poorer than the class asks rather than none.
        """
        end = message.end
        chat = self._chats[end.request_id]
        second = self._versions.escalate(chat.pick, chat.account, chat.work_class, end, now)
        if second is None:
            return AnswerAccepted()
        job = _make_job(chat.request, chat.account, chat.work_class, second.version, now)
        job.deadline = chat.job.deadline
        # The first step ran: should the second one fail, "not run" would be false.
        job.may_have_started = True
        start = self._dispatch.retry_elsewhere(job, now, 0.0)
        if not isinstance(start, Dispatched):
            return AnswerAccepted()
        self._dispatch.end(chat.job, True, now)
        self._versions.note_end(chat.pick, chat.work_class, end, now - chat.began_at)
        chat.spent += chat.version.price.cost(end.usage.input_tokens, end.usage.output_tokens)
        chat.explanation.attempts.append(f"{chat.version.id} answered poorly: {second.version.id}")
        chat.pick, chat.job = second, job
        return self._grant(chat, start, now)

    def end(self, end: EndChat, now: float) -> Bill:
        """Close a chat and make its bill."""
        chat = self._chats.pop(end.request_id)
        self._dispatch.end(chat.job, end.is_complete, now)
        self._context.metrics.record_latency("whole", chat.work_class.name, now - chat.began_at)
        self._versions.note_end(chat.pick, chat.work_class, end, now - chat.began_at)
        bill = _make_bill(chat, end.usage.input_tokens, end.usage.output_tokens)
        self._end_limits(chat.request, chat.account, end.usage, bill.amount)
        chat.explanation.outcome = "answered" if end.is_complete else "cut off"
        return self._context.add_bill(bill, chat.explanation)

    def _start_other(self, chat: _Chat, now: float) -> Dispatched | Queued | None:
        """Start a chat on another allowed version when the chosen one has no room in time."""
        other = self._versions.pick_other(
            chat.request, chat.account, chat.work_class, chat.version.id, now
        )
        if other is None:
            return None
        job = _make_job(chat.request, chat.account, chat.work_class, other.version, now)
        start = self._dispatch.start(job, now)
        if not isinstance(start, Dispatched | Queued):
            return None
        chat.explanation.attempts.append(f"{chat.version.id}: no room in time")
        self._context.metrics.count_event("other_version_for_room")
        chat.pick, chat.job = other, job
        return start

    def _resume(
        self, chat: _Chat, failure: AttemptFailed, now: float, delay_s: float
    ) -> ChatGrant | Refusal:
        """Go on where the stream broke, so that the rest fits what there is.

        The same engine still has the stream; another one gets its KV cache. Only
        an answer of which nothing was shown may be generated anew, for no two
        generations are alike and the caller would get a mixed one.
        """
        chat.resumes += 1
        same = chat.endpoint
        is_known = same is not None and self._context.endpoints.find(same.name) is same
        if chat.resumes == 1 and is_known:
            self._context.metrics.count_retry("resume")
            sent = self._dispatch.resend(chat.job, now, delay_s)
            return self._grant(chat, sent, now, resumes=True)
        can_move = is_known and failure.reason != UNREACHABLE and chat.resumes == 2
        if can_move and same is not None:
            moved = self._dispatch.retry_elsewhere(chat.job, now, delay_s)
            if isinstance(moved, Dispatched) and moved.choice.endpoint is not same:
                self._context.metrics.count_retry("resume_elsewhere")
                return self._grant(chat, moved, now, resumes=True, cache_from=same.address)
            if isinstance(moved, Dispatched):
                self._dispatch.undo_send(chat.job, now)
        if failure.is_delivered:
            message = "the stream's engine is gone"
            return self._give_up(chat, ErrorKind.ANSWER_INCOMPLETE, message)
        self._context.metrics.count_retry("anew")
        return self._begin_anew(chat, now, delay_s)

    def _begin_anew(self, chat: _Chat, now: float, delay_s: float) -> ChatGrant | Refusal:
        sent = self._dispatch.retry_elsewhere(chat.job, now, delay_s)
        started = self._follow_start(chat, sent, now)
        assert not isinstance(started, Queued)
        return started

    def _follow_start(
        self, chat: _Chat, start: StartOutcome, now: float
    ) -> ChatGrant | Queued | Refusal:
        match start:
            case Dispatched():
                return self._grant(chat, start, now)
            case Queued():
                return start
            case Refused(kind=kind, reason=reason, retry_after_s=retry_after_s):
                return self._give_up(chat, kind, reason, retry_after_s)
            case NoEndpoint():
                message = f"no endpoint holds {chat.version.id}"
                coming_s = self._context.expected_load_s.get(chat.version.id)
                return self._give_up(chat, ErrorKind.NO_ENDPOINT, message, coming_s)

    def _check_version(self, chat: _Chat) -> Refusal | None:
        """Check permission anew before each attempt.

        A version withdrawn between two attempts would otherwise get new work
        after its withdrawal was in force at this host.
        """
        if self._context.configuration.is_withdrawn(chat.version.id):
            message = f"version {chat.version.id} was withdrawn"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        if not self._context.may_use(chat.account.name, chat.version.id):
            message = f"client account {chat.account.name} may no longer use {chat.version.id}"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        return None

    def _grant(
        self, chat: _Chat, sent: Dispatched, now: float, resumes: bool = False, cache_from: str = ""
    ) -> ChatGrant:
        endpoint = sent.choice.endpoint
        timeout_s = max(0.0, chat.job.deadline - now - sent.delay_s)
        importance = chat.work_class.importance
        if chat.job.attempts == 1:
            self._context.opened_bills.append(_make_bill(chat, chat.request.prompt_tokens, 0))
        return ChatGrant(
            endpoint.name,
            endpoint.address,
            chat.version.id,
            importance,
            timeout_s,
            sent.delay_s,
            is_sampled=chat.pick.sampled,
            must_buffer=chat.pick.escalation is not None,
            session_token=chat.request.session_token,
            is_resume=resumes,
            cache_from=cache_from,
        )

    def _end_limits(
        self,
        request: BeginChat,
        account: ClientAccount,
        usage: Usage = NO_USAGE,
        amount: float = 0.0,
    ) -> None:
        """Give back what a request was expected to take of its account's limits and didn't."""
        if self._context.limits is not None:
            expected = request.prompt_tokens + request.max_tokens
            used = usage.input_tokens + usage.output_tokens
            self._context.limits.finish(account, expected, used, amount)

    def _give_up(
        self, chat: _Chat, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> Refusal:
        """End a chat without a whole answer, and bill what its caller was shown.

        A kind that says "not run" is true only while no engine began: after
        that the caller is told what became of its answer instead.
        """
        self._chats.pop(chat.request.request_id, None)
        if chat.shown_tokens:
            kind = ErrorKind.ANSWER_INCOMPLETE
            bill = _make_bill(chat, chat.request.prompt_tokens, chat.shown_tokens)
            shown = Usage(chat.request.prompt_tokens, chat.shown_tokens)
            self._end_limits(chat.request, chat.account, shown, bill.amount)
            self._context.add_bill(bill, chat.explanation)
        else:
            if chat.job.may_have_started and response_for(kind).not_run is NotRun.YES:
                kind = ErrorKind.ENDPOINT_FAILED
            self._end_limits(chat.request, chat.account)
            self._context.closed_bill_ids.append(chat.request.request_id)
        chat.explanation.outcome = f"refused: {kind.value}"
        return self._context.refuse(kind, message, retry_after_s=retry_after_s)


def _make_bill(chat: _Chat, input_tokens: int, output_tokens: int) -> Bill:
    amount = chat.spent + chat.version.price.cost(input_tokens, output_tokens)
    return Bill(chat.request.request_id, chat.account.name, str(chat.version.id), amount)


def _make_job(
    request: BeginChat, account: ClientAccount, work_class: WorkClass, version: Version, now: float
) -> EngineRequest:
    targets = work_class.targets
    wait_s = targets.first_token_s
    if work_class.unmet is UnmetTargetsPolicy.BEST_EFFORT:
        wait_s = max(wait_s, min(targets.whole_s, BEST_EFFORT_WAIT_S))
    return EngineRequest(
        request_id=request.request_id,
        account=account.name,
        work_class=work_class.name,
        importance=work_class.importance,
        version=version.id,
        demand=PromptProfile(request.prompt_tokens, request.blocks),
        start_by=now + wait_s,
        deadline=now + targets.whole_s,
    )
