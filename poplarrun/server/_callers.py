"""The HTTP API for callers, on CherryPy."""

import math
from collections.abc import Iterator
from typing import Any

import cherrypy

from poplarrun.claims import KnownOutcome, OutcomeKind, Ran, compute_fingerprint
from poplarrun.clients import Engine, ServiceCaller, ServiceResponse, Usage, hash_blocks
from poplarrun.errors import ErrorKind, Refusal, response_for
from poplarrun.router import BeginChat, BeginOperation, FindOperation
from poplarrun.server._bodies import (
    ChatBody,
    ChunkRenderer,
    read_chat_body,
    render_completion,
    render_error,
    render_models,
    render_outcome,
)
from poplarrun.server._chats import BrokenAnswer, ChatExecution, Piece, new_request_id
from poplarrun.server._loop_bridge import LoopBridge
from poplarrun.server._messages import ListClasses
from poplarrun.server._operations import OperationRun

BEARER = "Bearer "
JSON = "application/json"
EVENT_STREAM = "text/event-stream"
SESSION_HEADER = "X-Session-Id"
SESSION_TOKEN_HEADER = "X-Poplarrun-Session"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
REPLAY_HEADER = "X-Poplarrun-Replayed"
VERSION_HEADER = "X-Poplarrun-Version"
MAX_ID_LENGTH = 200


def send_json(body: bytes, status: int = 200) -> bytes:
    """Set the status and headers of a JSON response and return its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON
    return body


def send_refusal(refusal: Refusal) -> bytes:
    """Set the status and headers of a refusal and return its body."""
    answer = response_for(refusal.kind)
    retry_after_s = refusal.retry_after_s
    if retry_after_s is None:
        retry_after_s = answer.retry_after_s
    if retry_after_s is not None:
        cherrypy.response.headers["Retry-After"] = str(math.ceil(max(0.0, retry_after_s)))
    return send_json(render_error(refusal), answer.status)


def read_body(limit: int) -> bytes | Refusal:
    """Read the request's body; refuse one that is too large."""
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    if length > limit:
        message = f"the body has {length} bytes, at most {limit} are allowed"
        return Refusal(ErrorKind.BODY_TOO_LARGE, message, "body")
    return bytes(cherrypy.request.body.read(limit))


def read_key() -> str:
    """Return the API key of the request, or an empty string if it has none."""
    header = cherrypy.request.headers.get("Authorization", "")
    return header[len(BEARER) :] if header.startswith(BEARER) else ""


class CallersApi:
    """``/v1``: chat completions, models and plain services."""

    def __init__(
        self, loop: LoopBridge, engine: Engine, services: ServiceCaller, body_bytes: int
    ) -> None:
        self._loop = loop
        self._engine = engine
        self._services = services
        self._body_bytes = body_bytes

    @cherrypy.expose
    def default(self, *path: str, **_: Any) -> bytes | Iterator[bytes]:
        """Handle a request according to its method and path."""
        match (cherrypy.request.method, *path):
            case ("POST", "chat", "completions"):
                return self._complete_chat()
            case ("GET", "models"):
                return self._list_models()
            case ("POST", "services", service, operation):
                return self._call_service(service, operation)
            case ("GET", "operations", key):
                return self._find_operation(key)
        return send_json(b'{"error": {"message": "no such path", "code": "not_found"}}', 404)

    def _list_models(self) -> bytes:
        match self._loop.ask(ListClasses(read_key())):
            case Refusal() as refusal:
                return send_refusal(refusal)
            case classes:
                return send_json(render_models(classes))

    def _complete_chat(self) -> bytes | Iterator[bytes]:
        data = read_body(self._body_bytes)
        body = data if isinstance(data, Refusal) else read_chat_body(data)
        session = cherrypy.request.headers.get(SESSION_HEADER)
        if isinstance(body, ChatBody) and session is not None and len(session) > MAX_ID_LENGTH:
            message = f"at most {MAX_ID_LENGTH} characters are allowed"
            body = Refusal(ErrorKind.INVALID_REQUEST, message, SESSION_HEADER)
        if isinstance(body, Refusal):
            self._loop.ask(body)
            return send_refusal(body)
        request = BeginChat(
            request_id=new_request_id(),
            api_key=read_key(),
            class_name=body.model,
            prompt_tokens=len(body.prompt.split()),
            max_tokens=body.max_answer_tokens,
            session=session,
            blocks=hash_blocks(body.prompt),
            session_token=cherrypy.request.headers.get(SESSION_TOKEN_HEADER),
        )
        cherrypy.response.headers[REQUEST_ID_HEADER] = request.request_id
        execution = ChatExecution(self._loop, self._engine, request, body.prompt, body.stream)
        first_piece = execution.start()
        if isinstance(first_piece, Refusal):
            return send_refusal(first_piece)
        cherrypy.response.headers[VERSION_HEADER] = str(execution.version)
        if execution.session_token is not None:
            cherrypy.response.headers[SESSION_TOKEN_HEADER] = execution.session_token
        if body.stream:
            return self._start_stream(execution, first_piece, request)
        return self._send_complete_answer(execution, first_piece, request)

    def _start_stream(
        self, execution: ChatExecution, first_piece: Piece, request: BeginChat
    ) -> Iterator[bytes]:
        cherrypy.response.stream = True
        cherrypy.response.headers["Content-Type"] = EVENT_STREAM
        cherrypy.response.headers["Cache-Control"] = "no-cache"
        return _render_stream(
            execution, first_piece, ChunkRenderer(request.request_id, request.class_name)
        )

    def _send_complete_answer(
        self, execution: ChatExecution, first_piece: Piece, request: BeginChat
    ) -> bytes:
        for piece in execution.pieces(first_piece):
            match piece:
                case BrokenAnswer(refusal=refusal):
                    return send_refusal(refusal)
                case Usage() as usage:
                    return send_json(
                        render_completion(
                            request.request_id, request.class_name, execution.text, usage
                        )
                    )
        raise AssertionError("an answer ends with its usage or its break")

    def _call_service(self, service: str, operation: str) -> bytes:
        data = read_body(self._body_bytes)
        if isinstance(data, Refusal):
            self._loop.ask(data)
            return send_refusal(data)
        key = cherrypy.request.headers.get(IDEMPOTENCY_HEADER)
        if key is not None and len(key) > MAX_ID_LENGTH:
            message = f"at most {MAX_ID_LENGTH} characters are allowed"
            refusal = Refusal(ErrorKind.INVALID_REQUEST, message, IDEMPOTENCY_HEADER)
            self._loop.ask(refusal)
            return send_refusal(refusal)
        fingerprint = compute_fingerprint(service, operation, data) if key else b""
        request = BeginOperation(new_request_id(), read_key(), service, operation, key, fingerprint)
        cherrypy.response.headers[REQUEST_ID_HEADER] = request.request_id
        content_type = cherrypy.request.headers.get("Content-Type", JSON)
        match OperationRun(self._loop, self._services).run(request, data, content_type):
            case ServiceResponse() as answer:
                return _send_response(answer.status, answer.content_type, answer.body)
            case Ran() as ran:
                return _send_replay(key or "", ran)
            case Refusal() as refusal:
                return send_refusal(refusal)

    def _find_operation(self, key: str) -> bytes:
        match self._loop.ask(FindOperation(read_key(), key)):
            case KnownOutcome() as outcome:
                return send_json(render_outcome(key, outcome))
            case refusal:
                return send_refusal(refusal)


def _send_response(status: int, content_type: str, body: bytes) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = content_type
    return body


def _send_replay(key: str, ran: Ran) -> bytes:
    """Return the recorded answer, or only the outcome if the answer was too large to record."""
    cherrypy.response.headers[REPLAY_HEADER] = "true"
    if ran.has_full_body:
        return _send_response(ran.status, ran.content_type, ran.body)
    return send_json(render_outcome(key, KnownOutcome(OutcomeKind.RAN, ran)), ran.status)


def _render_stream(
    execution: ChatExecution, first_piece: Piece, renderer: ChunkRenderer
) -> Iterator[bytes]:
    for piece in execution.pieces(first_piece):
        match piece:
            case list():
                yield renderer.render_texts(piece)
            case Usage() as usage:
                yield renderer.render_end(usage)
            case BrokenAnswer(refusal=refusal):
                yield renderer.render_error(refusal)
