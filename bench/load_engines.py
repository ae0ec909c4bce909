"""Event-driven fake engines for the load bench: batching, prefix cache, lagging reports."""

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
    """How large the engines' batches are, and how long the answers.

    Attributes
    ----------
    token_s : float
        Time between tokens in an empty batch, in seconds.
    slowdown : float
        Share by which a full batch lengthens it.
    seconds, warm_up_s : float
        Length of a trace, and its part that isn't counted.
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


# From the two-year sizes: 1.5 million tokens and 3,500 requests a second are
# 428 tokens an answer; 830 runners at 42 ms between tokens hold 75 streams each.
LARGE = Sizes(96, 428, 0.026, 0.5, 80.0, 40.0)
# Small batches and short answers: one late report hides a third of the arrivals.
SMALL = Sizes(8, 70, 0.02, 0.5, 40.0, 10.0)
SIZES = {"large": LARGE, "small": SMALL}


@dataclass(slots=True)
class Work:
    """One request of a trace, and what became of it.

    Attributes
    ----------
    at : float
        When it arrives at its host, in seconds.
    importance : int
        Of its class; engines honour it as priority.
    deadline_s : float
        Time to the first token that its class asks for.
    """

    number: int
    at: float
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
class FakeEngine:
    """A batch, the queue before it, and a prefix cache."""

    zone: str
    sizes: Sizes
    cache_blocks: int = 0
    running: int = 0
    queue: list[tuple[int, int, Work]] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[tuple[int, bool, int]] = field(default_factory=list)
    event_number: int = 0

    @property
    def capacity(self) -> int:
        """Places of the batch."""
        return self.sizes.capacity

    @property
    def load(self) -> int:
        """Requests in and before the batch."""
        return self.running + len(self.queue)

    def touch_cache(self, blocks: tuple[int, ...]) -> int:
        """Return how many blocks of a prompt were cached; cache the rest."""
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
    """Runs events in time order; engines serve what is handed to them."""

    def __init__(self, engines: list[FakeEngine]) -> None:
        self.engines = engines
        self.now = 0.0
        self.on_first: Callable[[Work], None] = lambda work: None
        self.on_end: Callable[[Work], None] = lambda work: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Plan an action."""
        self._order += 1
        heapq.heappush(self._events, (time, self._order, action))

    def run(self, until: float = math.inf) -> None:
        """Run all planned events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def submit(self, work: Work, index: int) -> None:
        """Hand a request to an engine."""
        engine = self.engines[index]
        work.engine = index
        if engine.running < engine.capacity:
            self._start(work, engine)
        else:
            heapq.heappush(engine.queue, (-work.importance, work.number, work))

    def _start(self, work: Work, engine: FakeEngine) -> None:
        engine.running += 1
        work.cached_tokens = engine.touch_cache(work.blocks) * BLOCK_TOKENS
        sizes = engine.sizes
        work.token_s = sizes.token_s * (1.0 + sizes.slowdown * engine.running / sizes.capacity)
        prefill_s = max(0, work.prompt_tokens - work.cached_tokens) * PREFILL_S_PER_TOKEN
        work.first_at = self.now + prefill_s + work.token_s
        work.end_at = work.first_at + (work.answer_tokens - 1) * work.token_s
        self.at(work.first_at, lambda: self.on_first(work))
        self.at(work.end_at, lambda: self._finish(work, engine))

    def _finish(self, work: Work, engine: FakeEngine) -> None:
        engine.running -= 1
        if engine.queue:
            self._start(heapq.heappop(engine.queue)[2], engine)
        self.on_end(work)


def draw_lengths(source: random.Random, sizes: Sizes) -> tuple[int, int]:
    """Draw prompt and answer tokens: log-normal, means as the sizes say."""
    prompt = source.lognormvariate(math.log(PROMPT_TOKENS) - 0.18, 0.6)
    answer = source.lognormvariate(math.log(sizes.answer_tokens) - 0.125, 0.5)
    return max(16, int(prompt)), max(4, int(answer))


def make_trace(source: random.Random, rate_per_s: float, hosts: int, sizes: Sizes) -> list[Work]:
    """Draw arrivals of a Poisson process, spread over the hosts by a balancer."""
    trace: list[Work] = []
    at = source.expovariate(rate_per_s)
    while at < sizes.seconds:
        prompt, answer = draw_lengths(source, sizes)
        trace.append(Work(len(trace), at, source.randrange(hosts), prompt, answer))
        at += source.expovariate(rate_per_s)
    return trace
