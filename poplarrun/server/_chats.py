"""A worker's side of one chat request: bytes only, every decision is asked for."""

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
    """Return an id that no other request has."""
    return f"req-{uuid.uuid4().hex}"


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """The end of an answer that could not be finished."""

    refusal: Refusal


# Texts that arrived at the same time, the end, or the break.
Piece = list[str] | Usage | BrokenAnswer


class ChatRun:
    """Runs one chat request on the calling thread.

    Parameters
    ----------
    crossing : LoopBridge
        The way into the loop.
    engine : Engine
        The adapter to model engines.
    request : BeginChat
        What the caller asked for.
    prompt : str
        The whole prompt.
    is_streamed : bool
        Whether the caller sees each piece at once.
    """

    def __init__(
        self,
        crossing: LoopBridge,
        engine: Engine,
        request: BeginChat,
        prompt: str,
        is_streamed: bool = True,
    ) -> None:
        self.version: VersionId | None = None
        self.session_token: str | None = None
        self._crossing = crossing
        self._engine = engine
        self._request = request
        self._prompt = prompt
        self._is_streamed = is_streamed
        self._reassembly = Reassembly()
        self._answers: Iterator[list[GenerationEvent]] = iter(())
        self._arrived: list[GenerationEvent] = []
        self._address = ""
        self._ended = False
        self._sampled = False
        self._texts: list[str] = []
        self._engine_id = request.request_id
        self._is_holding = False
        self._accepted: Iterator[Piece] | None = None

    @property
    def _is_shown(self) -> bool:
        """Whether the caller sees the pieces as they come."""
        return self._is_streamed and not self._is_holding

    @property
    def text(self) -> str:
        """The answer so far, where it is not streamed or is to be rated."""
        return "".join(self._texts)

    def start(self) -> Refusal | Piece:
        """Begin, and wait for the first piece; until then a retry is invisible."""
        match self._crossing.ask(self._request):
            case Refusal() as refusal:
                return refusal
            case ChatGrant() as grant:
                self._open(grant)
                if grant.must_buffer:
                    self._hold_answer()
        first = self._next_piece()
        if isinstance(first, BrokenAnswer):
            return first.refusal
        self._crossing.post(FirstToken(self._request.request_id))
        return first

    def pieces(self, first: Piece) -> Iterator[Piece]:
        """Give out the answer, piece by piece; the last is its usage or its break.

        Closing the iterator early cancels the stream at the engine and bills
        what was generated.
        """
        piece = first
        try:
            yield piece
            while isinstance(piece, list):
                piece = self._next_piece()
                yield piece
        finally:
            self._end_early(piece)
            if isinstance(piece, Usage):
                self._read_end()

    def _hold_answer(self) -> None:
        """Hold a cascade's first answer back until it is judged.

        Given out at once, it would be followed by the second version's answer,
        and the caller would see two. The second step has an id of its own, else
        an engine that knows the first one would resume the first answer.
        """
        self._is_holding = True
        while isinstance(piece := self._read_piece(), list):
            pass
        self._is_holding = False
        if isinstance(piece, BrokenAnswer):
            self._accepted = iter([piece])
            return
        match self._crossing.ask(JudgeChat(self._make_end(piece, whole=True))):
            case ChatGrant() as grant:
                self._read_end()
                self._engine_id = f"{self._request.request_id}.2"
                self._open(grant)
            case _:
                self._end(piece, whole=True)
                pieces: list[Piece] = [[self.text], piece] if self._texts else [piece]
                self._accepted = iter(pieces)

    def _open(self, grant: ChatGrant) -> None:
        self._arrived = []
        self.version = grant.version
        self.session_token = grant.session_token
        self._sampled = grant.is_sampled
        self._address = grant.address
        if not grant.is_resume:
            self._reassembly = Reassembly()
            self._texts.clear()
        if grant.cache_from and not self._move_cache(grant):
            self._answers = iter([[EngineFailed(started=False, reason="kv_cache")]])
            return
        call = EngineCall(
            request_id=self._engine_id,
            version=grant.version,
            prompt=self._prompt,
            max_tokens=self._request.max_tokens,
            priority=grant.priority,
            from_position=self._reassembly.next_position,
        )
        if grant.delay_s > 0.0:
            time.sleep(grant.delay_s)
        self._answers = self._engine.generate(grant.address, call, grant.timeout_s)

    def _move_cache(self, grant: ChatGrant) -> bool:
        return self._engine.move_cache(grant.cache_from, grant.address, self._engine_id)

    def _next_piece(self) -> Piece:
        return next(self._accepted) if self._accepted is not None else self._read_piece()

    def _read_piece(self) -> Piece:
        while True:
            if not self._arrived:
                self._arrived = next(self._answers)
            texts = self._take_texts()
            if texts:
                return texts
            match self._arrived:
                case [Usage() as usage, *_] if self._is_whole(usage):
                    if not self._is_holding:
                        self._end(usage, whole=True)
                    return usage
                case [EngineFailed() as failed, *_]:
                    pass
                case [] if not self._reassembly.is_overfull:
                    continue
                case _:
                    failed = EngineFailed(started=True, reason="gap")
            broken = self._go_on(failed)
            if broken is not None:
                return broken

    def _take_texts(self) -> list[str]:
        """Take the chunks that have arrived; return the texts that can be given out."""
        texts = []
        taken = 0
        for answer in self._arrived:
            if not isinstance(answer, Chunk):
                break
            taken += 1
            if text := self._reassembly.add(answer):
                texts.append(text)
        self._arrived = self._arrived[taken:]
        if self._sampled or not self._is_shown:
            self._texts += texts
        return texts

    def _read_end(self) -> None:
        """Read the end of the engine's stream, so that its connection serves again.

        Left to the collection of garbage, it comes back late or never, and
        the next request makes a new connection.
        """
        next(self._answers, None)

    def _is_whole(self, usage: Usage) -> bool:
        """Tell whether every token that the engine counted is there.

        A chunk can be lost before the end, or be the last: without the count
        the caller would get a clean end of an answer that lacks its last words.
        """
        return not self._reassembly.has_gap and (
            self._reassembly.next_position >= usage.output_tokens
        )

    def _go_on(self, failed: EngineFailed) -> BrokenAnswer | None:
        request_id = self._request.request_id
        _log.warning("An attempt broke.", extra={"request_id": request_id, "reason": failed.reason})
        self._reassembly.drop_held()
        position = self._reassembly.next_position
        failure = AttemptFailed(request_id, failed.started, failed.reason, position, self._is_shown)
        match self._crossing.ask(failure):
            case ChatGrant() as grant:
                self._open(grant)
                return None
            case Refusal() as refusal:
                self._ended = True
                return BrokenAnswer(refusal)
        raise TypeError("the loop answers a failure with a grant or a refusal")

    def _end_early(self, last: Piece) -> None:
        if self._ended or not isinstance(last, list):
            return
        self._engine.cancel(self._address, self._engine_id)
        used = Usage(self._request.prompt_tokens, self._reassembly.next_position)
        self._end(used, whole=False)

    def _end(self, usage: Usage, whole: bool) -> None:
        self._ended = True
        self._crossing.ask(self._make_end(usage, whole))

    def _make_end(self, usage: Usage, whole: bool) -> EndChat:
        text = self.text if self._sampled and whole else None
        return EndChat(self._request.request_id, usage, whole, text)
