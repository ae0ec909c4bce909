"""Stand-in for a model engine: batching, prefix cache, streams, orders, reports."""

import hashlib
import heapq
import itertools
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from standins._server import DropConnection, Request, Response, Route, StandIn, json_response
from standins.held_models import HeldModels, OrderBody

GOOD_WORDS = ("stone", "loan", "ring", "council", "gold", "branch", "shelf", "setting", "report")
POOR_WORD = "um"
WORDS_PER_BLOCK = 16
HASH_BYTES = 7
KEPT_EVENTS = 1000
# Threads beside those of the batch: waiting requests, reports and orders.
WAITING_THREADS = 32
STREAM_KEPT_S = 30.0


def judge_text(text: str) -> float:
    """Return the quality that an answer's words carry, 0 to 1."""
    words = text.split()
    if not words:
        return 0.0
    return 1.0 - sum(word == POOR_WORD for word in words) / len(words)


class EngineFaults(msgspec.Struct):
    """What an engine can be told to do wrong.

    Attributes
    ----------
    refuse : bool
        Answer 503 to new streams.
    die_after_tokens : int
        Break each stream after so many tokens; 0 never.
    break_streams : int
        How many streams break so; -1 all.
    freeze_s : float
        Time that each token takes in addition, in seconds.
    report_lag_s : float
        Age of load reports, in seconds.
    event_delay_s : float
        Age of cache events, in seconds.
    event_loss : float
        Share of cache events that are dropped.
    shuffle : bool
        Send chunks late, repeated and out of order.
    quality : dict of str to float
        Quality by version; overrides the settings.
    empty : bool
        Answer with no tokens.
    refuse_own_resumes : bool
        Answer 503 to resumes of streams whose KV cache was not imported.
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
    """How an engine performs.

    Attributes
    ----------
    quality : dict of str to float
        Quality of the answers by version, ``model:version``; its keys are loaded.
    capacity : int
        Requests in a batch.
    tokens_per_s : float
        Rate of one stream in an empty engine.
    slowdown : float
        Share by which a full batch slows a stream.
    prefill_s_per_token : float
        Time for each prompt token that is not cached, in seconds.
    cache_blocks : int
        Prompt blocks that the prefix cache holds.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    poor_share : dict of str to float
        Share of a version's answers that are poor from end to end.
    confidence_noise : float, optional
        Error of the confidence that it gives with each answer; None gives none.
    answer_tokens : int
        Length of an answer, where the call allows it.
    room : int, optional
        Versions that its memory holds; None tells of no room.
    load_s : float
        Time that a load takes, in seconds.
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


class GenerateBody(msgspec.Struct):
    """The body of a generation."""

    request_id: str
    version: str
    prompt: str
    max_tokens: int
    priority: int = 1
    from_position: int = 0


class KvBody(msgspec.Struct):
    """A stream's state, as another engine can take it over."""

    version: str
    words: list[str]


@dataclass
class _Stream:
    version: str
    words: list[str]
    touched_at: float
    cancelled: bool = False
    is_poor: bool = False
    imported: bool = False


@dataclass
class _Batch:
    """The running batch and the queue before it, by priority, then arrival."""

    capacity: int
    running: int = 0
    queue: list[tuple[int, int]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    changed: threading.Condition = field(default_factory=threading.Condition)

    def enter(self, priority: int) -> None:
        """Wait for a place in the batch."""
        with self.changed:
            ticket = (-priority, next(self.order))
            heapq.heappush(self.queue, ticket)
            while self.running >= self.capacity or self.queue[0] != ticket:
                self.changed.wait()
            heapq.heappop(self.queue)
            self.running += 1
            self.changed.notify_all()

    def leave(self) -> None:
        """Give the place back."""
        with self.changed:
            self.running -= 1
            self.changed.notify_all()


class EngineStandIn(StandIn):
    """A model engine whose answers carry their quality in their words."""

    def __init__(self, settings: EngineSettings, seed: int = 1, **ports: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._batch = _Batch(settings.capacity)
        self._streams: dict[str, _Stream] = {}
        self._cache: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._cache_events: list[tuple[float, dict[str, object]]] = []
        self._event_numbers = itertools.count(1)
        self._models = HeldModels(settings.quality, settings.load_s, self.record)
        self._reports: list[tuple[float, dict[str, object]]] = []
        threads = settings.capacity + WAITING_THREADS
        super().__init__(EngineFaults(), threads=threads, **ports)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        return [
            Route("POST", "/v1/generate", self._generate),
            Route("DELETE", "/v1/generate/{request_id}", self._cancel),
            Route("GET", "/v1/load", self._report_load),
            Route("GET", "/v1/cache-events", self._list_cache_events),
            Route("POST", "/v1/orders", self._take_order),
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
        is_own = body.from_position > 0 and not self._streams[body.request_id].imported
        if is_own and self.faults.refuse_own_resumes:
            return json_response({"error": "refused"}, 503)
        return Response(200, self._stream(body), "application/x-ndjson")

    def _stream(self, body: GenerateBody) -> Iterator[bytes]:
        self._batch.enter(body.priority)
        self._models.open[body.version] += 1
        try:
            prompt_words = body.prompt.split()
            cached = self._touch_cache(body.version, prompt_words)
            self.record("start", request_id=body.request_id, version=body.version)
            time.sleep((len(prompt_words) - cached) * self.settings.prefill_s_per_token)
            yield from self._tokens(body)
            yield _line(
                {
                    "type": "usage",
                    "input_tokens": len(prompt_words),
                    "output_tokens": len(self._streams[body.request_id].words),
                    "cached_tokens": cached,
                    "confidence": self._confidence(self._streams[body.request_id].words),
                }
            )
            self.record("end", request_id=body.request_id)
        finally:
            self._models.open[body.version] -= 1
            self._batch.leave()
            self._forget_old_streams()

    def _tokens(self, body: GenerateBody) -> Iterator[bytes]:
        stream = self._streams.setdefault(
            body.request_id, _Stream(body.version, [], time.monotonic())
        )
        held: list[bytes] = []
        wanted = 0 if self.faults.empty else min(body.max_tokens, self.settings.answer_tokens)
        for position in range(body.from_position, wanted):
            if stream.cancelled:
                self.record("cancelled", request_id=body.request_id, tokens=len(stream.words))
                raise DropConnection
            if position >= len(stream.words):
                self._sleep_for_token()
                stream.words.append(self._word(stream))
            stream.touched_at = time.monotonic()
            self._break_here(position)
            text = stream.words[position] + " "
            held.append(_line({"type": "chunk", "position": position, "text": text}))
            if not self.faults.shuffle or len(held) >= 4 or position == wanted - 1:
                yield from self._disorder(held)
                held = []

    def _disorder(self, lines: list[bytes]) -> list[bytes]:
        if not self.faults.shuffle:
            return lines
        mixed = [*lines, self._random.choice(lines)]
        self._random.shuffle(mixed)
        return mixed

    def _confidence(self, words: list[str]) -> float | None:
        noise = self.settings.confidence_noise
        if noise is None:
            return None
        return min(1.0, max(0.0, judge_text(" ".join(words)) + self._random.gauss(0.0, noise)))

    def _break_here(self, position: int) -> None:
        after = self.faults.die_after_tokens
        if after and position >= after and self.faults.break_streams != 0:
            self.faults.break_streams -= self.faults.break_streams > 0
            raise DropConnection

    def _sleep_for_token(self) -> None:
        fullness = min(1.0, self._batch.running / self.settings.capacity)
        rate = self.settings.tokens_per_s * (1.0 - self.settings.slowdown * fullness)
        time.sleep(1.0 / rate + self.faults.freeze_s)

    def _word(self, stream: _Stream) -> str:
        version = stream.version
        if not stream.words:
            stream.is_poor = self._random.random() < self.settings.poor_share.get(version, 0.0)
        if stream.is_poor:
            return POOR_WORD
        quality = self.faults.quality.get(version, self.settings.quality.get(version, 0.0))
        if self._random.random() < quality:
            return self._random.choice(GOOD_WORDS)
        return POOR_WORD

    def _touch_cache(self, version: str, words: list[str]) -> int:
        """Return how many prompt words were cached; remember the rest."""
        cached = 0
        digest = hashlib.sha256()
        hit = True
        for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
            digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
            block = (version, int.from_bytes(digest.digest()[:HASH_BYTES]))
            hit = hit and block in self._cache
            cached += WORDS_PER_BLOCK * hit
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
            del self._cache_events[:-KEPT_EVENTS]

    def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", "0"))
        until = time.monotonic() - self.faults.event_delay_s
        shown = [
            event
            for at, event in self._cache_events
            if int(str(event["number"])) > after and at <= until
        ]
        return json_response(shown)

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
        old = [entry for entry in self._reports if entry[0] <= now - self.faults.report_lag_s]
        at, shown = old[-1] if old else self._reports[0]
        del self._reports[:-200]
        return json_response({**shown, "age_s": now - at})

    def _take_order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body, type=OrderBody)
        if self.settings.checks_fencing and order.fence < self._models.fence:
            self.record("order_refused", fence=order.fence, action=order.action)
            return json_response({"error": "old fencing number", "fence": self._models.fence}, 409)
        self._models.take(order)
        return json_response({"versions": sorted(self.settings.quality)})

    def _list_models(self, _: Request) -> Response:
        if self.settings.room is None:
            return json_response({"error": "no room is told"}, 404)
        return json_response(self._models.tell(self.settings.room))

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

    def _forget_old_streams(self) -> None:
        horizon = time.monotonic() - STREAM_KEPT_S
        for request_id, stream in list(self._streams.items()):
            if stream.touched_at < horizon:
                self._streams.pop(request_id, None)


def _line(value: object) -> bytes:
    return msgspec.json.encode(value) + b"\n"
