"""Model engines: streams of chunks with positions, load reports, orders."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._http import base_url, get_pool_manager, pool_for_address
from poplarrun.clients._streams import StreamedBody
from poplarrun.contracts import VersionId

CONNECT_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MOVE_TIMEOUT_S = 2.0
OK = 200
# An engine answers these before it starts any work.
NOT_STARTED_STATUSES = frozenset({404, 409, 429, 503})
JSON_HEADERS = {"Content-Type": "application/json"}
WORDS_PER_BLOCK = 16
HASH_BYTES = 7


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One generation asked of an engine.

    Attributes
    ----------
    request_id : str
        The id by which the engine resumes and cancels the stream.
    version : VersionId
        What must generate the answer.
    prompt : str
        The whole prompt text.
    max_tokens : int
        Upper bound of the answer's tokens.
    priority : int
        The class's importance.
    from_position : int
        Position of the first chunk to send; above 0 it resumes.
    """

    request_id: str
    version: VersionId
    prompt: str
    max_tokens: int
    priority: int
    from_position: int = 0


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """A piece of an answer; ``position`` counts tokens from the answer's start."""

    position: int
    text: str


class Usage(msgspec.Struct, frozen=True, tag="usage"):
    """The end of a whole answer, with what it took, in tokens.

    Attributes
    ----------
    confidence : float, optional
        The engine's mean token probability, where it gives one.
    """

    input_tokens: int
    output_tokens: int
    cached_tokens: int = 0
    confidence: float | None = None


@dataclass(frozen=True, slots=True)
class EngineFailed:
    """A call that broke.

    Attributes
    ----------
    started : bool
        False only when the engine is known not to have begun.
    reason : str
        Counter label.
    """

    started: bool
    reason: str


GenerationEvent = Chunk | Usage | EngineFailed


class LoadReport(msgspec.Struct, frozen=True):
    """What an engine says of its load, some time after it was true.

    Attributes
    ----------
    versions : list of str
        Loaded versions, ``model:version``.
    running, waiting : int
        Requests in the batch and before it.
    capacity : int
        Requests that the batch holds.
    tokens_per_s : float
        Tokens a second for one request at this load.
    age_s : float
        Age of the figures, in seconds.
    """

    versions: list[str]
    running: int
    waiting: int
    capacity: int
    tokens_per_s: float
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A block that an engine's prefix cache took in or dropped.

    Attributes
    ----------
    number : int
        Counts the engine's events; a jump shows lost ones.
    kind : str
        ``stored`` or ``removed``.
    version : str
        ``model:version`` whose cache it is.
    block : int
        Hash of the prompt from its beginning to the block's end.
    """

    number: int
    kind: str
    version: str
    block: int


class Engine(Protocol):
    """Model engines, by address. Calls block and never raise."""

    def generate(
        self, address: str, call: EngineCall, timeout_s: float
    ) -> Iterator[list[GenerationEvent]]:
        """Generate an answer, all that has arrived at a time.

        The last of all is a ``Usage`` or an ``EngineFailed``.
        """

    def cancel(self, address: str, request_id: str) -> None:
        """Ask the engine to stop a stream; a lost ask costs tokens, nothing else."""

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Move a stream's KV cache to another engine; tell whether that has it now."""

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Read the engine's load."""

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """Read the engine's cache events with a number above ``after``, in their order."""


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hashes by which the engines name the blocks of a prompt.

    Each hash covers the prompt from its beginning to the end of the block. A
    rest that doesn't fill a block is never cached and has none.
    """
    words = prompt.split()
    digest = hashlib.sha256()
    hashes = []
    for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
        digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
        hashes.append(int.from_bytes(digest.digest()[:HASH_BYTES]))
    return tuple(hashes)


class _GenerateBody(msgspec.Struct):
    request_id: str
    version: str
    prompt: str
    max_tokens: int
    priority: int
    from_position: int


_events_decoder: msgspec.json.Decoder[list[CacheEvent]] = msgspec.json.Decoder(list[CacheEvent])
_answer_decoder: msgspec.json.Decoder[Chunk | Usage] = msgspec.json.Decoder(Chunk | Usage)


class HttpEngine:
    """An ``Engine`` over HTTP, answers as one JSON object a line."""

    def generate(
        self, address: str, call: EngineCall, timeout_s: float
    ) -> Iterator[list[GenerationEvent]]:
        """Generate an answer, all that has arrived at a time.

        The last of all is a ``Usage`` or an ``EngineFailed``.
        """
        body = _GenerateBody(
            call.request_id,
            str(call.version),
            call.prompt,
            call.max_tokens,
            call.priority,
            call.from_position,
        )
        try:
            response = pool_for_address(address).urlopen(
                "POST",
                "/v1/generate",
                body=msgspec.json.encode(body),
                headers=JSON_HEADERS,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            yield [EngineFailed(started=False, reason="connect")]
            return
        except urllib3.exceptions.HTTPError:
            yield [EngineFailed(started=True, reason="broken")]
            return
        if response.status != OK:
            response.drain_conn()
            response.release_conn()
            started = response.status not in NOT_STARTED_STATUSES
            yield [EngineFailed(started, f"status_{response.status}")]
            return
        yield from _read_answers(response)

    def cancel(self, address: str, request_id: str) -> None:
        """Ask the engine to stop a stream; a lost ask costs tokens, nothing else."""
        try:
            get_pool_manager().request(
                "DELETE", f"{base_url(address)}/v1/generate/{request_id}", timeout=CANCEL_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Move a stream's KV cache to another engine; tell whether that has it now."""
        path = f"/v1/kv/{request_id}"
        try:
            taken = get_pool_manager().request(
                "GET", f"http://{source}{path}", timeout=MOVE_TIMEOUT_S
            )
            if taken.status != OK:
                return False
            given = get_pool_manager().request(
                "PUT", f"http://{target}{path}", body=taken.data, timeout=MOVE_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return given.status == OK

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Read the engine's load."""
        try:
            response = get_pool_manager().request(
                "GET", f"{base_url(address)}/v1/load", timeout=REPORT_TIMEOUT_S
            )
            return msgspec.json.decode(response.data, type=LoadReport)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return EngineFailed(started=False, reason="connect")
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            return EngineFailed(started=False, reason=type(error).__name__)

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """Read the engine's cache events with a number above ``after``, in their order."""
        try:
            response = get_pool_manager().request(
                "GET",
                f"{base_url(address)}/v1/cache-events?after={after}",
                timeout=REPORT_TIMEOUT_S,
            )
            return _events_decoder.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            return EngineFailed(started=False, reason=type(error).__name__)


def _read_answers(response: urllib3.BaseHTTPResponse) -> Iterator[list[GenerationEvent]]:
    body = StreamedBody(response)
    rest = b""
    finished = False
    try:
        while not finished and (arrived := body.read()):
            lines, end, rest = (rest + arrived).rpartition(b"\n")
            if not end:
                continue
            answers: list[GenerationEvent] = [*_answer_decoder.decode_lines(lines)]
            finished = any(isinstance(answer, Usage) for answer in answers)
            if answers:
                yield answers
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError, OSError):
        finished = False
    finally:
        # A connection with an unread rest must not serve the next call: its
        # caller would read another request's chunks. The caller of this one
        # has its whole answer before the end of the stream is waited for.
        if finished:
            _read_end(body)
        body.release()
    if not finished:
        yield [EngineFailed(started=True, reason="broken")]


def _read_end(body: StreamedBody) -> None:
    """Read the end of the stream, which holds nothing more."""
    try:
        body.read()
    except (urllib3.exceptions.HTTPError, OSError):
        return
