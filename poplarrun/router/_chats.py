"""The decisions about one chat request, from its arrival to its bill."""

from dataclasses import dataclass, field

from poplarrun.contracts import ClientAccount, Version, WorkClass
from poplarrun.endpoints import Endpoint
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.router._chat_versions import ChatVersions, VersionPick
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import (
    AttemptFailed,
    BeginChat,
    Bill,
    ChatGrant,
    EndChat,
    Explanation,
    FirstToken,
)

MAX_ATTEMPTS = 3


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
        self._note_attempt_end(chat, failure.reason, now)
        if chat.attempts >= MAX_ATTEMPTS:
            kind = ErrorKind.ANSWER_INCOMPLETE if failure.position else ErrorKind.ENDPOINT_FAILED
            return self._give_up(chat, kind, f"{chat.attempts} attempts broke ({failure.reason})")
        if failure.position > 0:
            return self._resume_chat(chat, now)
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
        amount = chat.version.price.cost(end.usage.input_tokens, end.usage.output_tokens)
        bill = Bill(end.request_id, chat.account.name, str(chat.version.id), amount)
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

    def _resume_chat(self, chat: _Chat, now: float) -> ChatGrant | Refusal:
        """Go on at the same engine: only there does the rest fit what the caller has."""
        refusal = self._check_version(chat)
        if refusal is not None:
            return refusal
        for endpoint in self._context.endpoints.all():
            if endpoint.name == chat.endpoint:
                self._context.metrics.count_retry("resume")
                return self._grant_chat(chat, endpoint, now)
        return self._give_up(chat, ErrorKind.ANSWER_INCOMPLETE, "the stream's engine is gone")

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

    def _grant_chat(self, chat: _Chat, endpoint: Endpoint, now: float) -> ChatGrant | Refusal:
        timeout_s = chat.began_at + chat.work_class.targets.whole_s - now
        if timeout_s <= 0:
            return self._give_up(chat, ErrorKind.DEADLINE_UNREACHABLE, "the deadline has passed")
        chat.endpoint = endpoint.name
        chat.attempts += 1
        chat.tried.add(endpoint.name)
        self._context.endpoints.note_sent(endpoint.name, now)
        return ChatGrant(
            endpoint.name,
            endpoint.address,
            chat.version.id,
            chat.work_class.importance,
            timeout_s,
            sampled=chat.pick.sampled,
            session_token=chat.request.session_token,
        )

    def _note_attempt_end(self, chat: _Chat, reason: str, now: float) -> None:
        self._context.endpoints.note_ended(chat.endpoint, now)
        self._context.endpoints.note_failure(chat.endpoint, now, reason)
        chat.pick.note_broken(chat.endpoint)
        chat.explanation.attempts.append(f"{chat.endpoint}: {reason}")

    def _give_up(self, chat: _Chat, kind: ErrorKind, message: str) -> Refusal:
        self._chats.pop(chat.request.request_id, None)
        chat.explanation.outcome = f"refused: {kind.value}"
        return self._context.refuse(kind, message)
