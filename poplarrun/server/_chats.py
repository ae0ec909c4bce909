"""A worker's side of one chat request: bytes only, every decision is asked for."""

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from poplarrun.answers import Reassembly
from poplarrun.contracts import VersionId
from poplarrun.errors import Refusal
from poplarrun.logs import part_logger
from poplarrun.platform import Answer, Chunk, Engine, EngineCall, EngineFailed, Usage
from poplarrun.router import AttemptFailed, BeginChat, ChatGrant, EndChat, FirstToken
from poplarrun.server._crossing import Crossing

_log = part_logger("chats")


def new_request_id() -> str:
    """Return an id that no other request has."""
    return f"req-{uuid.uuid4().hex}"


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """The end of an answer that could not be finished."""

    refusal: Refusal


Piece = str | Usage | BrokenAnswer


class ChatRun:
    """Runs one chat request on the calling thread.

    Parameters
    ----------
    crossing : Crossing
        The way into the loop.
    engine : Engine
        The adapter to model engines.
    request : BeginChat
        What the caller asked for.
    prompt : str
        The whole prompt.
    """

    def __init__(self, crossing: Crossing, engine: Engine, request: BeginChat, prompt: str) -> None:
        self.version: VersionId | None = None
        self.session_token: str | None = None
        self._crossing = crossing
        self._engine = engine
        self._request = request
        self._prompt = prompt
        self._reassembly = Reassembly()
        self._answers: Iterator[Answer] = iter(())
        self._address = ""
        self._ended = False
        self._sampled = False
        self._texts: list[str] = []

    def start(self) -> Refusal | Piece:
        """Begin, and wait for the first piece; until then a retry is invisible."""
        match self._crossing.ask(self._request):
            case Refusal() as refusal:
                return refusal
            case ChatGrant() as grant:
                self._open(grant)
        first = self._next_piece()
        if isinstance(first, BrokenAnswer):
            return first.refusal
        self._crossing.tell(FirstToken(self._request.request_id))
        return first

    def pieces(self, first: Piece) -> Iterator[Piece]:
        """Give out the answer, piece by piece; the last is its usage or its break.

        Closing the iterator early cancels the stream at the engine and bills
        what was generated.
        """
        piece = first
        try:
            yield piece
            while isinstance(piece, str):
                piece = self._next_piece()
                yield piece
        finally:
            self._end_early(piece)

    def _open(self, grant: ChatGrant) -> None:
        self.version = grant.version
        self.session_token = grant.session_token
        self._sampled = grant.sampled
        self._address = grant.address
        call = EngineCall(
            request_id=self._request.request_id,
            version=grant.version,
            prompt=self._prompt,
            max_tokens=self._request.max_tokens,
            priority=grant.priority,
            from_position=self._reassembly.next_position,
        )
        if grant.delay_s > 0.0:
            time.sleep(grant.delay_s)
        self._answers = self._engine.generate(grant.address, call, grant.timeout_s)

    def _next_piece(self) -> Piece:
        while True:
            match next(self._answers):
                case Chunk() as chunk:
                    text = self._reassembly.add(chunk)
                    if text:
                        if self._sampled:
                            self._texts.append(text)
                        return text
                case Usage() as usage if self._reassembly.has_gap:
                    broken = self._go_on(EngineFailed(started=True, reason="gap"))
                    if broken is not None:
                        return broken
                case Usage() as usage:
                    self._end(usage, whole=True)
                    return usage
                case EngineFailed() as failed:
                    broken = self._go_on(failed)
                    if broken is not None:
                        return broken

    def _go_on(self, failed: EngineFailed) -> BrokenAnswer | None:
        request_id = self._request.request_id
        _log.warning("An attempt broke.", extra={"request_id": request_id, "reason": failed.reason})
        self._reassembly.drop_held()
        position = self._reassembly.next_position
        failure = AttemptFailed(request_id, failed.started, failed.reason, position)
        match self._crossing.ask(failure):
            case ChatGrant() as grant:
                self._open(grant)
                return None
            case Refusal() as refusal:
                self._ended = True
                return BrokenAnswer(refusal)
        raise TypeError("the loop answers a failure with a grant or a refusal")

    def _end_early(self, last: Piece) -> None:
        if self._ended or not isinstance(last, str):
            return
        self._engine.cancel(self._address, self._request.request_id)
        used = Usage(self._request.prompt_tokens, self._reassembly.next_position)
        self._end(used, whole=False)

    def _end(self, usage: Usage, whole: bool) -> None:
        self._ended = True
        text = "".join(self._texts) if self._sampled and whole else None
        self._crossing.ask(EndChat(self._request.request_id, usage, whole, text))
