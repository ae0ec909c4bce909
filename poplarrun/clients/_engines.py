"""Client of model engines: generates answers as streams, reads load and cache events."""

import contextlib
import hashlib
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._answers import UNREADABLE_JSON, fetch, read_whole
from poplarrun.clients._http import base_url, get_pool_manager, pool_for_address
from poplarrun.clients._streams import StreamedBody
from poplarrun.contracts import VersionId

CONNECT_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MOVE_TIMEOUT_S = 2.0
# What is read of an answer that is an error.
ERROR_TIMEOUT_S = 0.2
MAX_ERROR_BYTES = 64 * 1024
# Longest line of an answer, which is one event.
MAX_LINE_BYTES = 1024 * 1024
OK = 200
# Statuses that an engine returns before it starts to generate.
NOT_STARTED_STATUSES = frozenset({404, 409, 429, 503})
JSON_HEADERS = {"Content-Type": "application/json"}
WORDS_PER_BLOCK = 16
HASH_BYTES = 7


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A request to an engine to generate an answer.

    Attributes
    ----------
    request_id : str
        The id by which the stream can be resumed and cancelled.
    version : VersionId
        The model version that must generate the answer.
    prompt : str
        The whole prompt text.
    max_tokens : int
        Maximum number of tokens in the answer.
    priority : int
        Importance of the request's work class.
    from_position : int
        Position of the first chunk to send; above 0 when a stream is resumed.
    """

    request_id: str
    version: VersionId
    prompt: str
    max_tokens: int
    priority: int
    from_position: int = 0


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """A piece of an answer; ``position`` is its offset in the answer, in tokens."""

    position: int
    text: str


class Usage(msgspec.Struct, frozen=True, tag="usage"):
    """The end of a complete answer, with the token counts of the request.

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
    """A failed call of an engine.

    Attributes
    ----------
    started : bool
        Whether the engine may have started to generate; False only if it is known not to.
    reason : str
        Label of the counter.
    """

    started: bool
    reason: str


GenerationEvent = Chunk | Usage | EngineFailed


class LoadReport(msgspec.Struct, frozen=True):
    """The load that an engine reports, with a delay.

    Attributes
    ----------
    versions : list of str
        Loaded versions, ``model:version``.
    running, waiting : int
        Requests in the current batch, and requests queued for it.
    capacity : int
        Maximum number of requests in a batch.
    tokens_per_s : float
        Tokens per second generated for one request at this load.
    age_s : float
        Age of the figures.
    """

    versions: list[str]
    running: int
    waiting: int
    capacity: int
    tokens_per_s: float
    age_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A block that was added to or evicted from an engine's prefix cache.

    Attributes
    ----------
    number : int
        Sequence number of the engine's events; a gap shows that events were lost.
    kind : str
        ``stored`` or ``removed``.
    version : str
        The ``model:version`` to which the cache belongs.
    block : int
        Hash of the prompt from its beginning to the end of the block.
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
        """Generate an answer; each item holds all events received since the one before.

        The last event is a ``Usage`` or an ``EngineFailed``.
        """

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a stream. If the request is lost, the engine generates unused tokens."""

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Copy a stream's KV cache to another engine; return whether that has it now."""

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Fetch the engine's load."""

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """Fetch the engine's cache events with a number above ``after``, in order."""


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hashes by which engines identify the blocks of a prompt.

    Each hash covers the prompt from its beginning to the end of the block. Words after the
    last full block are never cached and have no hash.
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


_cache_events_decoder: msgspec.json.Decoder[list[CacheEvent]] = msgspec.json.Decoder(
    list[CacheEvent]
)
_event_decoder: msgspec.json.Decoder[Chunk | Usage] = msgspec.json.Decoder(Chunk | Usage)


class HttpEngine:
    """An ``Engine`` over HTTP, whose answers are streams of JSON lines."""

    def generate(
        self, address: str, call: EngineCall, timeout_s: float
    ) -> Iterator[list[GenerationEvent]]:
        """Generate an answer; each item holds all events received since the one before.

        The last event is a ``Usage`` or an ``EngineFailed``.
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
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                # A connection whose answer was read may be used again.
                read_whole(response, ERROR_TIMEOUT_S, MAX_ERROR_BYTES)
            started = response.status not in NOT_STARTED_STATUSES
            yield [EngineFailed(started, f"status_{response.status}")]
            return
        yield from _read_events(response, timeout_s)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a stream. If the request is lost, the engine generates unused tokens."""
        try:
            fetch("DELETE", f"{base_url(address)}/v1/generate/{request_id}", CANCEL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Copy a stream's KV cache to another engine; return whether that has it now."""
        path = f"/v1/kv/{request_id}"
        try:
            exported = get_pool_manager().request(
                "GET", f"http://{source}{path}", timeout=MOVE_TIMEOUT_S
            )
            if exported.status != OK:
                return False
            imported = get_pool_manager().request(
                "PUT", f"http://{target}{path}", body=exported.data, timeout=MOVE_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        return imported.status == OK

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Fetch the engine's load."""
        try:
            response = fetch("GET", f"{base_url(address)}/v1/load", REPORT_TIMEOUT_S)
            return msgspec.json.decode(response.data, type=LoadReport)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return EngineFailed(started=False, reason="connect")
        except (urllib3.exceptions.HTTPError, *UNREADABLE_JSON) as error:
            return EngineFailed(started=False, reason=type(error).__name__)

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """Fetch the engine's cache events with a number above ``after``, in order."""
        try:
            url = f"{base_url(address)}/v1/cache-events?after={after}"
            response = fetch("GET", url, REPORT_TIMEOUT_S)
            return _cache_events_decoder.decode(response.data)
        except (urllib3.exceptions.HTTPError, *UNREADABLE_JSON) as error:
            return EngineFailed(started=False, reason=type(error).__name__)


def _read_events(
    response: urllib3.BaseHTTPResponse, timeout_s: float
) -> Iterator[list[GenerationEvent]]:
    body = StreamedBody(response)
    buffer = _LineBuffer()
    finished = False
    empty_bytes = 0
    until = time.monotonic() + timeout_s
    try:
        while not finished and (received := body.read(until)):
            lines = buffer.feed(received)
            answers: list[GenerationEvent] = [*_event_decoder.decode_lines(lines)] if lines else []
            if not answers:
                empty_bytes += len(received)
                if empty_bytes > MAX_LINE_BYTES or time.monotonic() > until:
                    raise urllib3.exceptions.ProtocolError("no event came in time")
                continue
            empty_bytes, until = 0, time.monotonic() + timeout_s
            finished = any(isinstance(answer, Usage) for answer in answers)
            yield answers
    except (urllib3.exceptions.HTTPError, *UNREADABLE_JSON, OSError):
        finished = False
    finally:
        # A connection with unread bytes must not be reused: the next call would read chunks
        # of this one. The end of the body is read after the last events were yielded, so
        # that the caller doesn't wait for it.
        if finished:
            _read_to_end(body, timeout_s)
        body.release()
    if not finished:
        yield [EngineFailed(started=True, reason="broken")]


class _LineBuffer:
    """Collects received bytes into whole lines."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, received: bytes) -> bytes:
        """Add received bytes; return the lines that they complete, without the last line end."""
        lines, end, rest = received.rpartition(b"\n")
        if not end:
            self._keep(received)
            return b""
        whole = b"".join((*self._parts, lines))
        self._parts, self._size = [], 0
        self._keep(rest)
        return whole

    def _keep(self, rest: bytes) -> None:
        self._parts.append(rest)
        self._size += len(rest)
        if self._size > MAX_LINE_BYTES:
            raise urllib3.exceptions.ProtocolError("a line is too long")


def _read_to_end(body: StreamedBody, timeout_s: float) -> None:
    """Read up to the end of the body, which contains no more events."""
    try:
        body.read(time.monotonic() + timeout_s)
    except (urllib3.exceptions.HTTPError, OSError):
        return
