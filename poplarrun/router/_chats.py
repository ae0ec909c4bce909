"""The decisions about one chat request, from its arrival to its bill."""

from dataclasses import dataclass, field

from poplarrun.billing import Bill
from poplarrun.contracts import ClientAccount, Version, WorkClass
from poplarrun.endpoints import Endpoint
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.router._chat_versions import ChatVersions, VersionPick
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import (
    AttemptFailed,
    BeginChat,
    ChatGrant,
    EndChat,
    Explanation,
    FirstToken,
)

# One attempt, and each way of going on once: here, elsewhere with the KV cache, anew.
MAX_ATTEMPTS = 4
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
    endpoint: str = ""
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    started: bool = False
    shown_tokens: int = 0
    resumes: int = 0

    @property
    def version(self) -> Version:
        """What must generate the answer."""
        return self.pick.version


class ChatRouter:
    """Decides about chat requests; called on the loop only, never blocks."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
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

    def begin(self, request: BeginChat, now: float) -> ChatGrant | Refusal:
        """Decide on the version and the endpoint of a new chat request."""
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
        explanation = self._context.open_explanation(request.request_id, account, work_class.name)
        pick = self._versions.pick(request, account, work_class, explanation, now)
        if isinstance(pick, Refusal):
            explanation.outcome = f"refused: {pick.kind.value}"
            return pick
        chat = _Chat(request, account, work_class, pick, now, explanation)
        self._chats[request.request_id] = chat
        return self._send(chat, now)

    def retry(self, failure: AttemptFailed, now: float) -> ChatGrant | Refusal:
        """Decide where a broken chat goes on."""
        chat = self._chats[failure.request_id]
        chat.started = chat.started or failure.started
        chat.shown_tokens = failure.position if failure.is_shown else 0
        self._note_attempt_end(chat, failure.reason, now)
        if chat.attempts >= MAX_ATTEMPTS:
            message = f"{chat.attempts} attempts broke ({failure.reason})"
            return self._give_up(chat, ErrorKind.ENDPOINT_FAILED, message)
        if failure.position > 0:
            return self._resume_chat(chat, failure, now)
        self._context.metrics.count_retry(failure.reason)
        return self._send(chat, now)

    def note_first_token(self, event: FirstToken, now: float) -> None:
        """Record the time to the first token."""
        chat = self._chats[event.request_id]
        chat.pick.first_token_s = now - chat.began_at
        self._context.metrics.record_latency(
            "first_token", chat.work_class.name, now - chat.began_at
        )

    def end(self, end: EndChat, now: float) -> Bill:
        """Close a chat and make its bill."""
        chat = self._chats.pop(end.request_id)
        self._context.endpoints.note_ended(chat.endpoint, now)
        self._context.metrics.record_latency("whole", chat.work_class.name, now - chat.began_at)
        self._versions.note_end(chat.pick, chat.work_class, end, now - chat.began_at)
        bill = _make_bill(chat, end.usage.input_tokens, end.usage.output_tokens)
        chat.explanation.outcome = "answered" if end.whole else "cut off"
        return self._context.add_bill(bill, chat.explanation)

    def _send(self, chat: _Chat, now: float) -> ChatGrant | Refusal:
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        choice = self._context.endpoints.choose_engine(chat.version.id, now, chat.tried)
        if choice is None:
            message = f"no endpoint holds {chat.version.id}"
            return self._give_up(chat, ErrorKind.NO_ENDPOINT, message)
        return self._grant_chat(chat, choice.endpoint, now)

    def _resume_chat(self, chat: _Chat, failure: AttemptFailed, now: float) -> ChatGrant | Refusal:
        """Go on where the stream broke, so that the rest fits what there is.

        The same engine still has the stream; another one gets its KV cache. Only
        an answer of which nothing was shown may be generated anew, for no two
        generations are alike and the caller would get a mixed one.
        """
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        chat.resumes += 1
        same = self._find_endpoint(chat.endpoint)
        if chat.resumes == 1 and same is not None:
            self._context.metrics.count_retry("resume")
            return self._grant_chat(chat, same, now, resumes=True)
        other = self._context.endpoints.choose_engine(chat.version.id, now, chat.tried)
        can_move = same is not None and failure.reason != UNREACHABLE and chat.resumes == 2
        if can_move and same is not None and other is not None and other.endpoint is not same:
            self._context.metrics.count_retry("resume_elsewhere")
            return self._grant_chat(
                chat, other.endpoint, now, resumes=True, cache_from=same.address
            )
        if not failure.is_shown:
            self._context.metrics.count_retry("anew")
            return self._send(chat, now)
        return self._give_up(chat, ErrorKind.ANSWER_INCOMPLETE, "the stream's engine is gone")

    def _find_endpoint(self, name: str) -> Endpoint | None:
        return next((e for e in self._context.endpoints.all() if e.name == name), None)

    def _check_version(self, chat: _Chat) -> Refusal | None:
        """Check permission anew before each attempt.

        A version withdrawn between two attempts would otherwise get new work
        after its withdrawal was in force at this host.
        """
        account = self._context.configuration.document.accounts.get(chat.account.name)
        if self._context.configuration.is_withdrawn(chat.version.id):
            message = f"version {chat.version.id} was withdrawn"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        if account is None or not account.allows_version(chat.version.id):
            message = f"client account {chat.account.name} may no longer use {chat.version.id}"
            return self._give_up(chat, ErrorKind.VERSION_NOT_ALLOWED, message)
        return None

    def _grant_chat(
        self,
        chat: _Chat,
        endpoint: Endpoint,
        now: float,
        resumes: bool = False,
        cache_from: str = "",
    ) -> ChatGrant | Refusal:
        timeout_s = chat.began_at + chat.work_class.targets.whole_s - now
        if timeout_s <= 0:
            return self._give_up(chat, ErrorKind.DEADLINE_UNREACHABLE, "the deadline has passed")
        chat.endpoint = endpoint.name
        chat.attempts += 1
        if chat.attempts == 1:
            self._context.opened.append(_make_bill(chat, chat.request.prompt_tokens, 0))
        chat.tried.add(endpoint.name)
        self._context.endpoints.note_sent(endpoint.name, now)
        return ChatGrant(
            endpoint.name,
            endpoint.address,
            chat.version.id,
            chat.work_class.importance,
            timeout_s,
            sampled=chat.pick.sampled,
            resumes=resumes,
            cache_from=cache_from,
        )

    def _note_attempt_end(self, chat: _Chat, reason: str, now: float) -> None:
        self._context.endpoints.note_ended(chat.endpoint, now)
        self._context.endpoints.note_failure(chat.endpoint, now, reason)
        chat.pick.note_broken(chat.endpoint)
        chat.explanation.attempts.append(f"{chat.endpoint}: {reason}")

    def _give_up(self, chat: _Chat, kind: ErrorKind, message: str) -> Refusal:
        """End a chat without a whole answer, and bill what its caller was shown.

        A kind that says "not run" is true only while no engine began: after
        that the caller is told what became of its answer instead.
        """
        self._chats.pop(chat.request.request_id, None)
        if chat.shown_tokens:
            kind = ErrorKind.ANSWER_INCOMPLETE
            bill = _make_bill(chat, chat.request.prompt_tokens, chat.shown_tokens)
            self._context.add_bill(bill, chat.explanation)
        else:
            kind = ErrorKind.ENDPOINT_FAILED if chat.started else kind
            self._context.closed.append(chat.request.request_id)
        chat.explanation.outcome = f"refused: {kind.value}"
        return self._context.refuse(kind, message)


def _make_bill(chat: _Chat, input_tokens: int, output_tokens: int) -> Bill:
    amount = chat.version.price.cost(input_tokens, output_tokens)
    return Bill(chat.request.request_id, chat.account.name, str(chat.version.id), amount)
