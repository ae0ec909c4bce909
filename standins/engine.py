"""Stand-in for a model engine: batching, prefix cache, token streams, orders and load reports."""

import hashlib
import heapq
import itertools
import os
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from standins._server import DropConnection, Request, Response, Route, StandIn, json_response
from standins.loaded_models import LoadedModels, OrderBody

GOOD_WORDS = ("stone", "loan", "ring", "council", "gold", "branch", "shelf", "setting", "report")
POOR_WORD = "um"
WORDS_PER_BLOCK = 16
HASH_BYTES = 7
MAX_CACHE_EVENTS = 1000
# Server threads in addition to the batch: queued requests, load reports and orders.
EXTRA_THREADS = 32
STREAM_TTL_S = 30.0


def judge_text(text: str) -> float:
    """Return the quality that is encoded in an answer: the fraction of good words, 0 to 1."""
    words = text.split()
    if not words:
        return 0.0
    return 1.0 - sum(word == POOR_WORD for word in words) / len(words)


class EngineFaults(msgspec.Struct):
    """Faults that can be injected into an engine.

    Attributes
    ----------
    refuse : bool
        Answer 503 to new streams.
    die_after_tokens : int
        Number of tokens after which a stream breaks; 0 disables the fault.
    break_streams : int
        Number of streams that break after ``die_after_tokens``; -1 for all.
    freeze_s : float
        Additional time per token, in seconds.
    report_lag_s : float
        Age of load reports, in seconds.
    event_delay_s : float
        Age of cache events, in seconds.
    event_loss : float
        Probability that a cache event is dropped.
    shuffle : bool
        Send chunks delayed, duplicated and out of order.
    quality : dict of str to float
        Quality by version; overrides the settings.
    empty : bool
        Generate no tokens.
    refuse_own_resumes : bool
        Answer 503 when a stream whose KV cache was not imported is resumed.
    """

    refuse: bool = False
    die_after_tokens: int = 0
    break_streams: int = -1
    freeze_s: float = 0.0
    report_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_loss: float = 0.0
    shuffle: bool = False
    quality: dict[str, float] = {}
    empty: bool = False
    refuse_own_resumes: bool = False


class EngineSettings(msgspec.Struct):
    """Performance and capabilities of an engine.

    Attributes
    ----------
    quality : dict of str to float
        Answer quality by version, ``model:version``; the keys are the loaded versions.
    capacity : int
        Maximum number of requests in a batch.
    tokens_per_s : float
        Token rate of one stream in an idle engine.
    slowdown : float
        Fraction by which a full batch reduces the token rate.
    prefill_s_per_token : float
        Prefill time per uncached prompt token, in seconds.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    checks_fencing : bool
        Whether orders with an outdated fencing number are refused.
    poor_share : dict of str to float
        Probability by version that an answer consists of poor words only.
    confidence_noise : float, optional
        Standard deviation of the error of the reported confidence; None reports none.
    answer_tokens : int
        Length of an answer in tokens, unless the request's limit is lower.
    room : int, optional
        Number of versions that fit into memory; None if the engine doesn't report it.
    load_s : float
        Time to load a version, in seconds.
    fatal_word : str
        The process ends when it begins to answer a prompt with this word; empty for none.
    """

    quality: dict[str, float]
    capacity: int = 16
    tokens_per_s: float = 200.0
    slowdown: float = 0.5
    prefill_s_per_token: float = 0.0
    cache_blocks: int = 2000
    checks_fencing: bool = True
    poor_share: dict[str, float] = {}
    confidence_noise: float | None = None
    answer_tokens: int = 40
    room: int | None = None
    load_s: float = 0.0
    fatal_word: str = ""


class GenerateBody(msgspec.Struct):
    """Body of a generation request."""

    request_id: str
    version: str
    prompt: str
    max_tokens: int
    priority: int = 1
    from_position: int = 0


class KvBody(msgspec.Struct):
    """KV cache of a stream, in the form in which engines transfer it."""

    version: str
    words: list[str]


@dataclass
class _Stream:
    version: str
    words: list[str]
    last_used_at: float
    cancelled: bool = False
    is_poor: bool = False
    imported: bool = False


@dataclass
class _Batch:
    """The running batch, and the queue for it, ordered by priority and then by arrival."""

    capacity: int
    running: int = 0
    queue: list[tuple[int, int]] = field(default_factory=list)
    arrival_numbers: Iterator[int] = field(default_factory=itertools.count)
    changed: threading.Condition = field(default_factory=threading.Condition)

    def enter(self, priority: int) -> None:
        """Wait for a free slot in the batch and occupy it."""
        with self.changed:
            ticket = (-priority, next(self.arrival_numbers))
            heapq.heappush(self.queue, ticket)
            while self.running >= self.capacity or self.queue[0] != ticket:
                self.changed.wait()
            heapq.heappop(self.queue)
            self.running += 1
            self.changed.notify_all()

    def leave(self) -> None:
        """Release the slot."""
        with self.changed:
            self.running -= 1
            self.changed.notify_all()


class EngineStandIn(StandIn):
    """A model engine that encodes the quality of an answer in its words."""

    def __init__(self, settings: EngineSettings, seed: int = 1, **ports: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._batch = _Batch(settings.capacity)
        self._streams: dict[str, _Stream] = {}
        self._cache: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._cache_events: list[tuple[float, dict[str, object]]] = []
        self._event_numbers = itertools.count(1)
        self._models = LoadedModels(settings.quality, settings.load_s, self.record)
        self._reports: list[tuple[float, dict[str, object]]] = []
        threads = settings.capacity + EXTRA_THREADS
        super().__init__(EngineFaults(), threads=threads, **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        return [
            Route("POST", "/v1/generate", self._generate),
            Route("DELETE", "/v1/generate/{request_id}", self._cancel),
            Route("GET", "/v1/load", self._report_load),
            Route("GET", "/v1/cache-events", self._list_cache_events),
            Route("POST", "/v1/orders", self._execute_order),
            Route("GET", "/v1/models", self._list_models),
            Route("GET", "/v1/kv/{request_id}", self._export_kv),
            Route("PUT", "/v1/kv/{request_id}", self._import_kv),
        ]

    def _generate(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body, type=GenerateBody)
        if self.faults.refuse:
            return json_response({"error": "refused"}, 503)
        self._models.finish_loads()
        if body.version not in self.settings.quality:
            return json_response({"error": "version not loaded"}, 404)
        if body.from_position > 0 and body.request_id not in self._streams:
            return json_response({"error": "no such stream"}, 404)
        is_local_resume = body.from_position > 0 and not self._streams[body.request_id].imported
        if is_local_resume and self.faults.refuse_own_resumes:
            return json_response({"error": "refused"}, 503)
        return Response(200, self._run_stream(body), "application/x-ndjson")

    def _run_stream(self, body: GenerateBody) -> Iterator[bytes]:
        self._batch.enter(body.priority)
        self._models.open_streams[body.version] += 1
        try:
            prompt_words = body.prompt.split()
            cached = self._update_prefix_cache(body.version, prompt_words)
            self.record("start", request_id=body.request_id, version=body.version)
            time.sleep((len(prompt_words) - cached) * self.settings.prefill_s_per_token)
            if self.settings.fatal_word in prompt_words:
                os._exit(1)
            yield from self._generate_tokens(body)
            yield _encode_line(
                {
                    "type": "usage",
                    "input_tokens": len(prompt_words),
                    "output_tokens": len(self._streams[body.request_id].words),
                    "cached_tokens": cached,
                    "confidence": self._draw_confidence(self._streams[body.request_id].words),
                }
            )
            self.record("end", request_id=body.request_id)
        finally:
            self._models.open_streams[body.version] -= 1
            self._batch.leave()
            self._expire_streams()

    def _generate_tokens(self, body: GenerateBody) -> Iterator[bytes]:
        stream = self._streams.setdefault(
            body.request_id, _Stream(body.version, [], time.monotonic())
        )
        buffered: list[bytes] = []
        token_count = 0 if self.faults.empty else min(body.max_tokens, self.settings.answer_tokens)
        for position in range(body.from_position, token_count):
            if stream.cancelled:
                self.record("cancelled", request_id=body.request_id, tokens=len(stream.words))
                raise DropConnection
            if position >= len(stream.words):
                self._wait_for_token()
                stream.words.append(self._next_word(stream))
            stream.last_used_at = time.monotonic()
            self._break_stream_if_due(position)
            text = stream.words[position] + " "
            buffered.append(_encode_line({"type": "chunk", "position": position, "text": text}))
            if not self.faults.shuffle or len(buffered) >= 4 or position == token_count - 1:
                yield from self._reorder_lines(buffered)
                buffered = []

    def _reorder_lines(self, lines: list[bytes]) -> list[bytes]:
        if not self.faults.shuffle:
            return lines
        reordered = [*lines, self._random.choice(lines)]
        self._random.shuffle(reordered)
        return reordered

    def _draw_confidence(self, words: list[str]) -> float | None:
        noise = self.settings.confidence_noise
        if noise is None:
            return None
        return min(1.0, max(0.0, judge_text(" ".join(words)) + self._random.gauss(0.0, noise)))

    def _break_stream_if_due(self, position: int) -> None:
        after = self.faults.die_after_tokens
        if after and position >= after and self.faults.break_streams != 0:
            self.faults.break_streams -= self.faults.break_streams > 0
            raise DropConnection

    def _wait_for_token(self) -> None:
        fullness = min(1.0, self._batch.running / self.settings.capacity)
        rate = self.settings.tokens_per_s * (1.0 - self.settings.slowdown * fullness)
        time.sleep(1.0 / rate + self.faults.freeze_s)

    def _next_word(self, stream: _Stream) -> str:
        version = stream.version
        if not stream.words:
            stream.is_poor = self._random.random() < self.settings.poor_share.get(version, 0.0)
        if stream.is_poor:
            return POOR_WORD
        quality = self.faults.quality.get(version, self.settings.quality.get(version, 0.0))
        if self._random.random() < quality:
            return self._random.choice(GOOD_WORDS)
        return POOR_WORD

    def _update_prefix_cache(self, version: str, words: list[str]) -> int:
        """Return the number of cached prompt words; add the missing blocks to the cache."""
        cached = 0
        digest = hashlib.sha256()
        is_prefix_cached = True
        for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
            digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
            block = (version, int.from_bytes(digest.digest()[:HASH_BYTES]))
            is_prefix_cached = is_prefix_cached and block in self._cache
            cached += WORDS_PER_BLOCK * is_prefix_cached
            if block not in self._cache:
                self._add_cache_event("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.settings.cache_blocks:
            self._add_cache_event("removed", self._cache.popitem(last=False)[0])
        return cached

    def _add_cache_event(self, kind: str, block: tuple[str, int]) -> None:
        number = next(self._event_numbers)
        if self._random.random() >= self.faults.event_loss:
            version, key = block
            event = {"number": number, "kind": kind, "version": version, "block": key}
            self._cache_events.append((time.monotonic(), event))
            del self._cache_events[:-MAX_CACHE_EVENTS]

    def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", "0"))
        visible_until = time.monotonic() - self.faults.event_delay_s
        visible_events = [
            event
            for at, event in self._cache_events
            if int(str(event["number"])) > after and at <= visible_until
        ]
        return json_response(visible_events)

    def _cancel(self, request: Request) -> Response:
        stream = self._streams.get(request.params["request_id"])
        if stream is not None:
            stream.cancelled = True
        return json_response({"cancelled": stream is not None})

    def _report_load(self, _: Request) -> Response:
        self._models.finish_loads()
        now = time.monotonic()
        fullness = min(1.0, self._batch.running / self.settings.capacity)
        report: dict[str, object] = {
            "versions": sorted(self.settings.quality),
            "running": self._batch.running,
            "waiting": len(self._batch.queue),
            "capacity": self.settings.capacity,
            "tokens_per_s": self.settings.tokens_per_s * (1 - self.settings.slowdown * fullness),
        }
        self._reports.append((now, report))
        visible_reports = [
            entry for entry in self._reports if entry[0] <= now - self.faults.report_lag_s
        ]
        at, visible_report = visible_reports[-1] if visible_reports else self._reports[0]
        del self._reports[:-200]
        return json_response({**visible_report, "age_s": now - at})

    def _execute_order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body, type=OrderBody)
        if self.settings.checks_fencing and order.fence < self._models.fence:
            self.record("order_refused", fence=order.fence, action=order.action)
            return json_response({"error": "old fencing number", "fence": self._models.fence}, 409)
        self._models.execute(order)
        return json_response({"versions": sorted(self.settings.quality)})

    def _list_models(self, _: Request) -> Response:
        if self.settings.room is None:
            return json_response({"error": "no room is told"}, 404)
        return json_response(self._models.describe(self.settings.room))

    def _export_kv(self, request: Request) -> Response:
        stream = self._streams.get(request.params["request_id"])
        if stream is None:
            return json_response({"error": "no such stream"}, 404)
        return json_response(KvBody(stream.version, stream.words))

    def _import_kv(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body, type=KvBody)
        self._streams[request.params["request_id"]] = _Stream(
            body.version, body.words, time.monotonic(), imported=True
        )
        self.record("imported", request_id=request.params["request_id"], tokens=len(body.words))
        return json_response({"words": len(body.words)})

    def _expire_streams(self) -> None:
        expired_before = time.monotonic() - STREAM_TTL_S
        for request_id, stream in list(self._streams.items()):
            if stream.last_used_at < expired_before:
                self._streams.pop(request_id, None)


def _encode_line(value: object) -> bytes:
    return msgspec.json.encode(value) + b"\n"
