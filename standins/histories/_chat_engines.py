"""Model engines in a history: each token names its generation and position."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from poplarrun.clients import (
    CacheEvent,
    Chunk,
    EngineCall,
    EngineFailed,
    GenerationEvent,
    HostKind,
    HostState,
    ListedHost,
    LoadReport,
    Usage,
)
from standins.histories._chat_events import Began, ChatHistory, Generation
from standins.histories._chat_rules import PROMPT_TOKENS
from standins.histories._chat_workers import Worker
from standins.histories._world import World, now

# So few that requests wait in the hosts' queues too.
CAPACITY = 2
LOADED = {
    "a1": ("cheap:1", "mid:1"),
    "a2": ("mid:1", "dear:1"),
    "b1": ("cheap:1", "dear:1"),
    "b2": ("cheap:1", "mid:1"),
    "c1": ("mid:1", "dear:1"),
    "c2": ("cheap:1", "dear:1"),
}
LISTED = tuple(
    ListedHost(f"engine-{n}", HostKind.MODEL_ENGINE, n[0], f"engine-{n}", HostState.LIVE)
    for n in LOADED
)


@dataclass
class EngineFaults:
    """What the engines do wrong now, as shares of their calls and chunks."""

    refuses: float = 0.0
    breaks: float = 0.0
    loses: float = 0.0
    shuffles: bool = False
    slow_s: float = 0.0


@dataclass
class Engines:
    """All engines; a dead one has lost its streams.

    Attributes
    ----------
    dead : set of str
        Names of those that can't be reached.
    streams : dict of (str, str) to Generation
        By engine and the id that the hosts gave.
    """

    world: World
    history: ChatHistory
    faults: EngineFaults = field(default_factory=EngineFaults)
    dead: set[str] = field(default_factory=set)
    streams: dict[tuple[str, str], Generation] = field(default_factory=dict)

    def kill(self, name: str) -> None:
        """Let an engine lose all that it has."""
        self.dead.add(name)
        for place in [place for place in self.streams if place[0] == name]:
            del self.streams[place]

    async def begin(self, name: str, call: EngineCall) -> Generation | EngineFailed:
        """Begin a generation, or go on with one that the engine knows."""
        await asyncio.sleep(self.world.random.uniform(0.0005, 0.01))
        if name in self.dead:
            return EngineFailed(started=False, reason="connect")
        if self.world.draw(self.faults.refuses, "engine refused"):
            return EngineFailed(started=False, reason="status_503")
        known = self.streams.get((name, call.request_id))
        if str(call.version) not in LOADED[name] or (known is None and call.from_position):
            return EngineFailed(started=False, reason="status_404")
        if known is None:
            known = self._generate(call)
            self.streams[name, call.request_id] = known
        request_id = call.request_id.removesuffix(".2")
        began = Began(now(), request_id, known.number, str(call.version))
        self.history.began.append(began)
        return known

    def _generate(self, call: EngineCall) -> Generation:
        number = len(self.history.generations)
        length = self.world.random.randint(4, 16)
        generation = Generation(number, call.request_id, str(call.version), length)
        self.history.generations[number] = generation
        return generation

    async def read(self, name: str, stream: Generation, position: int) -> list[GenerationEvent]:
        """Wait for the next chunks from a position on, or for the end."""
        world, faults = self.world, self.faults
        await asyncio.sleep(world.random.uniform(0.005, 0.1) + faults.slow_s)
        is_known = (name, stream.engine_id) in self.streams
        if not is_known or world.draw(faults.breaks, "stream broke"):
            return [EngineFailed(started=True, reason="broken")]
        if position >= stream.length:
            return [Usage(PROMPT_TOKENS, stream.length, confidence=0.5)]
        ahead = range(position, min(stream.length, position + 4))
        chunks = [Chunk(p, stream.token(p)) for p in ahead]
        if faults.shuffles:
            chunks.append(world.random.choice(chunks))
            world.random.shuffle(chunks)
            world.injected["chunks shuffled"] += 1
        return [c for c in chunks if not world.draw(faults.loses, "chunk lost")]

    async def move(self, source: str, target: str, request_id: str) -> bool:
        """Give another engine a stream's KV cache."""
        await asyncio.sleep(self.world.random.uniform(0.005, 0.05))
        stream = self.streams.get((source, request_id))
        if stream is None or target in self.dead:
            return False
        self.streams[target, request_id] = stream
        return True


class SimEngine:
    """The engines as the worker of one chat reaches them."""

    def __init__(self, engines: Engines, worker: Worker | None = None) -> None:
        self._engines = engines
        self._worker = worker

    def generate(
        self, address: str, call: EngineCall, timeout_s: float
    ) -> Iterator[list[GenerationEvent]]:
        """Generate an answer, all that has arrived at a time."""
        assert self._worker is not None
        name, wait_for = address.removeprefix("engine-"), self._worker.wait_for
        deadline = wait_for(_tell_time) + timeout_s
        stream = wait_for(lambda: self._engines.begin(name, call))
        if isinstance(stream, EngineFailed):
            yield [stream]
            return
        position = call.from_position
        while True:
            answers = wait_for(lambda: self._engines.read(name, stream, position))  # noqa: B023
            if wait_for(_tell_time) > deadline:
                answers = [EngineFailed(started=True, reason="timeout")]
            yield answers
            if answers and not isinstance(answers[-1], Chunk):
                return
            position = min(stream.length, position + 4)

    def cancel(self, address: str, request_id: str) -> None:
        """Stop a stream."""
        self._engines.streams.pop((address.removeprefix("engine-"), request_id), None)

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Move a stream's KV cache to another engine; tell whether that has it now."""
        assert self._worker is not None
        names = [address.removeprefix("engine-") for address in (source, target)]
        moved: bool = self._worker.wait_for(lambda: self._engines.move(*names, request_id))
        return moved

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Read the engine's load."""
        name = address.removeprefix("engine-")
        if name in self._engines.dead:
            return EngineFailed(started=False, reason="connect")
        return LoadReport(list(LOADED[name]), 0, 0, CAPACITY, 20.0)

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """List no events: nothing here depends on them."""
        return []


async def _tell_time() -> float:
    return now()
