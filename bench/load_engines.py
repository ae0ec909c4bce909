"""Simulates model engines for the load benchmark: batching, request queue, prefix cache."""

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

BLOCK_TOKENS = 16
PREFILL_S_PER_TOKEN = 0.0002
PROMPT_TOKENS = 500


@dataclass(frozen=True)
class Sizes:
    """Batch size and speed of the engines, and length of the answers and of a trace.

    Attributes
    ----------
    token_s : float
        Time between tokens in an empty batch.
    slowdown : float
        Fraction by which a full batch increases ``token_s``.
    seconds, warm_up_s : float
        Duration of a trace, and of its beginning that isn't counted.
    """

    capacity: int
    answer_tokens: int
    token_s: float
    slowdown: float
    seconds: float
    warm_up_s: float

    @property
    def mean_work_s(self) -> float:
        """Mean time of a request in a full batch, in seconds."""
        answer_s = self.answer_tokens * self.token_s * (1.0 + self.slowdown)
        return PROMPT_TOKENS * PREFILL_S_PER_TOKEN + answer_s


# The size expected in two years: 1.5 million tokens and 3,500 requests per second make
# 428 tokens per answer; each of 830 engines, at 42 ms between tokens, runs 75 streams.
LARGE = Sizes(96, 428, 0.026, 0.5, 80.0, 40.0)
# Small batches and short answers: a third of the arrivals are missing from a late report.
SMALL = Sizes(8, 70, 0.02, 0.5, 40.0, 10.0)
SIZES = {"large": LARGE, "small": SMALL}


@dataclass(slots=True)
class SimulatedRequest:
    """One request of a trace, and its result. Times are in seconds since the start of the trace.

    Attributes
    ----------
    arrived_at : float
        Time of its arrival at the host.
    importance : int
        Importance of its class, which engines use as priority.
    deadline_s : float
        Target of its class for the time to the first token.
    """

    number: int
    arrived_at: float
    host: int
    prompt_tokens: int
    answer_tokens: int
    blocks: tuple[int, ...] = ()
    importance: int = 1
    account: str = "a"
    deadline_s: float = math.inf
    first_at: float = math.inf
    end_at: float = math.inf
    token_s: float = 0.0
    cached_tokens: int = 0
    engine: int = -1


@dataclass
class SimulatedEngine:
    """An engine with a batch, a priority queue, and an LRU prefix cache."""

    zone: str
    sizes: Sizes
    cache_blocks: int = 0
    running: int = 0
    queue: list[tuple[int, int, SimulatedRequest]] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[tuple[int, bool, int]] = field(default_factory=list)
    event_number: int = 0

    @property
    def capacity(self) -> int:
        """Slots of the batch."""
        return self.sizes.capacity

    @property
    def load(self) -> int:
        """Requests in the batch and in the queue."""
        return self.running + len(self.queue)

    def touch_cache(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt that were cached; cache all blocks."""
        if not self.cache_blocks:
            return 0
        cached = 0
        while cached < len(blocks) and blocks[cached] in self.cache:
            cached += 1
        for block in blocks:
            if block not in self.cache:
                self._add_event(True, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self._add_event(False, self.cache.popitem(last=False)[0])
        return cached

    def _add_event(self, stored: bool, block: int) -> None:
        self.event_number += 1
        self.events.append((self.event_number, stored, block))


class Simulation:
    """Discrete-event simulation of engines that serve submitted requests."""

    def __init__(self, engines: list[SimulatedEngine]) -> None:
        self.engines = engines
        self.now = 0.0
        self.on_first: Callable[[SimulatedRequest], None] = lambda request: None
        self.on_end: Callable[[SimulatedRequest], None] = lambda request: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._order += 1
        heapq.heappush(self._events, (time, self._order, action))

    def run(self, until: float = math.inf) -> None:
        """Run all scheduled actions up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def submit(self, request: SimulatedRequest, index: int) -> None:
        """Submit a request to an engine; it waits there if the batch is full."""
        engine = self.engines[index]
        request.engine = index
        if engine.running < engine.capacity:
            self._start(request, engine)
        else:
            heapq.heappush(engine.queue, (-request.importance, request.number, request))

    def _start(self, request: SimulatedRequest, engine: SimulatedEngine) -> None:
        engine.running += 1
        request.cached_tokens = engine.touch_cache(request.blocks) * BLOCK_TOKENS
        sizes = engine.sizes
        request.token_s = sizes.token_s * (1.0 + sizes.slowdown * engine.running / sizes.capacity)
        prefill_s = max(0, request.prompt_tokens - request.cached_tokens) * PREFILL_S_PER_TOKEN
        request.first_at = self.now + prefill_s + request.token_s
        request.end_at = request.first_at + (request.answer_tokens - 1) * request.token_s
        self.at(request.first_at, lambda: self.on_first(request))
        self.at(request.end_at, lambda: self._finish(request, engine))

    def _finish(self, request: SimulatedRequest, engine: SimulatedEngine) -> None:
        engine.running -= 1
        if engine.queue:
            self._start(heapq.heappop(engine.queue)[2], engine)
        self.on_end(request)


def draw_token_counts(rng: random.Random, sizes: Sizes) -> tuple[int, int]:
    """Draw the prompt and answer tokens from log-normal distributions with the configured means."""
    prompt = rng.lognormvariate(math.log(PROMPT_TOKENS) - 0.18, 0.6)
    answer = rng.lognormvariate(math.log(sizes.answer_tokens) - 0.125, 0.5)
    return max(16, int(prompt)), max(4, int(answer))


def make_trace(
    rng: random.Random, rate_per_s: float, hosts: int, sizes: Sizes
) -> list[SimulatedRequest]:
    """Draw Poisson arrivals, distributed uniformly over the hosts."""
    trace: list[SimulatedRequest] = []
    at = rng.expovariate(rate_per_s)
    while at < sizes.seconds:
        prompt, answer = draw_token_counts(rng, sizes)
        trace.append(SimulatedRequest(len(trace), at, rng.randrange(hosts), prompt, answer))
        at += rng.expovariate(rate_per_s)
    return trace
