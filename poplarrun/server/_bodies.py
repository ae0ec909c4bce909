"""Decodes OpenAI-compatible request bodies, and encodes answers and errors."""

import time
from typing import Annotated, Any, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from poplarrun.claims import KnownOutcome
from poplarrun.clients import Usage
from poplarrun.errors import ErrorKind, Refusal, response_for

DEFAULT_MAX_TOKENS = 1024
DATA_PREFIX = b"data: "
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class _ContentPart(BaseModel):
    type: Literal["text"]
    text: str


class _Message(BaseModel):
    role: Literal["system", "developer", "user", "assistant"]
    content: str | list[_ContentPart]

    @property
    def text(self) -> str:
        if isinstance(self.content, str):
            return self.content
        return " ".join(part.text for part in self.content)


class ChatBody(BaseModel):
    """The fields of a chat completion request that poplarrun uses."""

    model_config = ConfigDict(extra="ignore")

    model: Annotated[str, Field(min_length=1, max_length=64)]
    messages: Annotated[list[_Message], Field(min_length=1)]
    max_tokens: Annotated[int, Field(gt=0, le=1_000_000)] | None = None
    max_completion_tokens: Annotated[int, Field(gt=0, le=1_000_000)] | None = None
    stream: bool = False
    n: Literal[1] = 1

    @property
    def prompt(self) -> str:
        """The messages of the prompt, joined to one text."""
        return "\n".join(f"{message.role}: {message.text}" for message in self.messages)

    @property
    def max_answer_tokens(self) -> int:
        """Maximum length of the answer, in tokens."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


def read_chat_body(data: bytes) -> ChatBody | Refusal:
    """Decode a chat completion request; the refusal names each invalid field."""
    try:
        return ChatBody.model_validate_json(data)
    except ValidationError as error:
        details = error.errors(include_url=False)
        lines = [f"{_join_field_path(detail['loc'])}: {detail['msg']}" for detail in details]
        param = _join_field_path(details[0]["loc"])
        return Refusal(ErrorKind.INVALID_REQUEST, "; ".join(lines), param)


def _join_field_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "body"


def render_error(refusal: Refusal) -> bytes:
    """Return the body of a refusal."""
    answer = response_for(refusal.kind)
    error = {
        "message": refusal.message,
        "type": answer.type,
        "code": refusal.kind.value,
        "param": refusal.param,
        "not_run": answer.not_run.value,
    }
    return msgspec.json.encode({"error": error})


def render_completion(request_id: str, model: str, text: str, usage: Usage) -> bytes:
    """Return the body of a complete answer."""
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": "stop",
    }
    body = _envelope("chat.completion", request_id, model)
    return msgspec.json.encode({**body, "choices": [choice], "usage": _render_usage(usage)})


class ChunkRenderer:
    """Renders the server-sent events of one streamed answer."""

    def __init__(self, request_id: str, model: str) -> None:
        self._body = _envelope("chat.completion.chunk", request_id, model)
        event = self._event({"role": "assistant", "content": ""}, None)
        # Everything but the text is the same in each event of the answer.
        self._before, _, self._after = event.rpartition(b'""')

    def render_texts(self, texts: list[str]) -> bytes:
        """Return one event for each piece of text."""
        return b"".join([self._before + msgspec.json.encode(text) + self._after for text in texts])

    def render_end(self, usage: Usage) -> bytes:
        """Return the events that end a complete answer."""
        return self._event({}, "stop", usage=_render_usage(usage)) + DONE_EVENT

    def render_error(self, refusal: Refusal) -> bytes:
        """Return the error event that ends an incomplete answer."""
        return DATA_PREFIX + render_error(refusal) + EVENT_END

    def _event(self, delta: dict[str, str], finish: str | None, **more: Any) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        body = {**self._body, "choices": [choice], **more}
        return DATA_PREFIX + msgspec.json.encode(body) + EVENT_END


def render_models(classes: list[str]) -> bytes:
    """Return the body of the list of models, which contains the classes of work."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "poplarrun"} for name in classes
    ]
    return msgspec.json.encode({"object": "list", "data": data})


def render_outcome(key: str, outcome: KnownOutcome) -> bytes:
    """Return the body with the known outcome of an operation."""
    body: dict[str, Any] = {"key": key, "outcome": outcome.kind.value}
    if outcome.ran is not None:
        ran = outcome.ran
        text = ran.body.decode(errors="replace") if ran.has_full_body else None
        body["answer"] = {"status": ran.status, "content_type": ran.content_type, "body": text}
    return msgspec.json.encode(body)


def _envelope(kind: str, request_id: str, model: str) -> dict[str, Any]:
    return {"id": request_id, "object": kind, "created": int(time.time()), "model": model}


def _render_usage(usage: Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.input_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.input_tokens + usage.output_tokens,
    }
