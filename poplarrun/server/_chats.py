"""Transfers the answer of one chat request on a worker thread.

The thread only moves bytes; the event loop makes all decisions.
"""

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from poplarrun.answers import Reassembly
from poplarrun.clients import Chunk, Engine, EngineCall, EngineFailed, GenerationEvent, Usage
from poplarrun.contracts import VersionId
from poplarrun.errors import Refusal
from poplarrun.logging import component_logger
from poplarrun.router import AttemptFailed, BeginChat, ChatGrant, EndChat, FirstToken, JudgeChat
from poplarrun.server._loop_bridge import LoopBridge

_log = component_logger("chats")


def new_request_id() -> str:
    """Return a unique request id."""
    return f"req-{uuid.uuid4().hex}"


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """The end of an answer that could not be completed."""

    refusal: Refusal


# Texts that arrived together, the end of a complete answer, or that of an incomplete one.
Piece = list[str] | Usage | BrokenAnswer


class ChatExecution:
    """Runs one chat request on the calling thread.

    Parameters
    ----------
    loop : LoopBridge
        Bridge to the event loop.
    engine : Engine
        The adapter to model engines.
    request : BeginChat
        The caller's request.
    prompt : str
        The whole prompt.
    is_streamed : bool
        Whether each piece is sent to the caller at once.
    """

    def __init__(
        self,
        loop: LoopBridge,
        engine: Engine,
        request: BeginChat,
        prompt: str,
        is_streamed: bool = True,
    ) -> None:
        self.version: VersionId | None = None
        self.session_token: str | None = None
        self._loop = loop
        self._engine = engine
        self._request = request
        self._prompt = prompt
        self._is_streamed = is_streamed
        self._reassembly = Reassembly()
        self._answer_batches: Iterator[list[GenerationEvent]] = iter(())
        self._pending_answers: list[GenerationEvent] = []
        self._address = ""
        self._is_ended = False
        self._is_sampled = False
        self._texts: list[str] = []
        self._engine_request_id = request.request_id
        self._is_buffering = False
        self._buffered_pieces: Iterator[Piece] | None = None

    @property
    def _is_forwarding(self) -> bool:
        """Whether pieces are sent to the caller as they arrive."""
        return self._is_streamed and not self._is_buffering

    @property
    def text(self) -> str:
        """The answer so far, if it isn't streamed or is to be rated."""
        return "".join(self._texts)

    def start(self) -> Refusal | Piece:
        """Start the request and wait for its first piece; before that, retries are invisible."""
        match self._loop.ask(self._request):
            case Refusal() as refusal:
                return refusal
            case ChatGrant() as grant:
                self._start_attempt(grant)
                if grant.must_buffer:
                    self._buffer_answer()
        first = self._next_piece()
        if isinstance(first, BrokenAnswer):
            return first.refusal
        self._loop.post(FirstToken(self._request.request_id))
        return first

    def pieces(self, first: Piece) -> Iterator[Piece]:
        """Yield the pieces of the answer; the last one is its usage or a ``BrokenAnswer``.

        Closing the iterator early cancels the stream at the engine, and the generated tokens
        are billed.
        """
        piece = first
        try:
            yield piece
            while isinstance(piece, list):
                piece = self._next_piece()
                yield piece
        finally:
            self._cancel(piece)
            if isinstance(piece, Usage):
                self._read_end()

    def _buffer_answer(self) -> None:
        """Buffer a cascade's first answer until it is accepted or replaced.

        If it were sent at once, the second version's answer could follow it, and the caller
        would get two answers. The second step has an id of its own, because an engine that
        knows the id of the first step would resume the first answer.
        """
        self._is_buffering = True
        while isinstance(piece := self._read_piece(), list):
            pass
        self._is_buffering = False
        if isinstance(piece, BrokenAnswer):
            self._buffered_pieces = iter([piece])
            return
        match self._loop.ask(JudgeChat(self._make_end(piece, is_complete=True))):
            case ChatGrant() as grant:
                self._read_end()
                self._engine_request_id = f"{self._request.request_id}.2"
                self._start_attempt(grant)
            case _:
                self._send_end(piece, is_complete=True)
                pieces: list[Piece] = [[self.text], piece] if self._texts else [piece]
                self._buffered_pieces = iter(pieces)

    def _start_attempt(self, grant: ChatGrant) -> None:
        self._pending_answers = []
        self.version = grant.version
        self.session_token = grant.session_token
        self._is_sampled = grant.is_sampled
        self._address = grant.address
        if not grant.is_resume:
            self._reassembly = Reassembly()
            self._texts.clear()
        if grant.cache_from and not self._move_cache(grant):
            self._answer_batches = iter([[EngineFailed(started=False, reason="kv_cache")]])
            return
        call = EngineCall(
            request_id=self._engine_request_id,
            version=grant.version,
            prompt=self._prompt,
            max_tokens=self._request.max_tokens,
            priority=grant.priority,
            from_position=self._reassembly.next_position,
        )
        if grant.delay_s > 0.0:
            time.sleep(grant.delay_s)
        self._answer_batches = self._engine.generate(grant.address, call, grant.timeout_s)

    def _move_cache(self, grant: ChatGrant) -> bool:
        return self._engine.move_cache(grant.cache_from, grant.address, self._engine_request_id)

    def _next_piece(self) -> Piece:
        return (
            next(self._buffered_pieces) if self._buffered_pieces is not None else self._read_piece()
        )

    def _read_piece(self) -> Piece:
        while True:
            if not self._pending_answers:
                self._pending_answers = next(self._answer_batches)
            texts = self._reassemble_texts()
            if texts:
                return texts
            match self._pending_answers:
                case [Usage() as usage, *_] if self._is_whole(usage):
                    if not self._is_buffering:
                        self._send_end(usage, is_complete=True)
                    return usage
                case [EngineFailed() as engine_failure, *_]:
                    pass
                case [] if not self._reassembly.is_buffer_full:
                    continue
                case _:
                    engine_failure = EngineFailed(started=True, reason="gap")
            broken_answer = self._retry(engine_failure)
            if broken_answer is not None:
                return broken_answer

    def _reassemble_texts(self) -> list[str]:
        """Reassemble the chunks that have arrived; return the texts without a gap."""
        texts = []
        consumed = 0
        for answer in self._pending_answers:
            if not isinstance(answer, Chunk):
                break
            consumed += 1
            if text := self._reassembly.add(answer):
                texts.append(text)
        self._pending_answers = self._pending_answers[consumed:]
        if self._is_sampled or not self._is_forwarding:
            self._texts += texts
        return texts

    def _read_end(self) -> None:
        """Read the end of the engine's stream, so that its connection can be reused.

        If that were left to garbage collection, the connection would be returned late or never,
        and the next request would open a new one.
        """
        next(self._answer_batches, None)

    def _is_whole(self, usage: Usage) -> bool:
        """Return whether all tokens that the engine counted have arrived.

        A chunk can be lost, even the last one. Without the count, an answer that lacks its last
        words would look complete.
        """
        return not self._reassembly.has_gap and (
            self._reassembly.next_position >= usage.output_tokens
        )

    def _retry(self, engine_failure: EngineFailed) -> BrokenAnswer | None:
        request_id = self._request.request_id
        _log.warning(
            "An attempt at an engine failed.",
            extra={"request_id": request_id, "reason": engine_failure.reason},
        )
        self._reassembly.discard_buffered()
        position = self._reassembly.next_position
        attempt_failed = AttemptFailed(
            request_id, engine_failure.started, engine_failure.reason, position, self._is_forwarding
        )
        match self._loop.ask(attempt_failed):
            case ChatGrant() as grant:
                self._start_attempt(grant)
                return None
            case Refusal() as refusal:
                self._is_ended = True
                return BrokenAnswer(refusal)
        raise TypeError("the router answered a failed attempt with neither a grant nor a refusal")

    def _cancel(self, last_piece: Piece) -> None:
        if self._is_ended or not isinstance(last_piece, list):
            return
        self._engine.cancel(self._address, self._engine_request_id)
        generated_usage = Usage(self._request.prompt_tokens, self._reassembly.next_position)
        self._send_end(generated_usage, is_complete=False)

    def _send_end(self, usage: Usage, is_complete: bool) -> None:
        self._is_ended = True
        self._loop.ask(self._make_end(usage, is_complete))

    def _make_end(self, usage: Usage, is_complete: bool) -> EndChat:
        text = self.text if self._is_sampled and is_complete else None
        return EndChat(self._request.request_id, usage, is_complete, text)
