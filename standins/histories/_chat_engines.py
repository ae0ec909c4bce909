"""Simulated model engines whose tokens identify their generation and position."""

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
from standins.histories._chat_events import ChatHistory, Generation, GenerationStarted
from standins.histories._chat_rules import PROMPT_TOKENS
from standins.histories._chat_workers import Worker
from standins.histories._world import World, now

# Small enough that requests also wait in the hosts' queues.
SLOTS_PER_ENGINE = 2
LOADED_VERSIONS = {
    "a1": ("cheap:1", "mid:1"),
    "a2": ("mid:1", "dear:1"),
    "b1": ("cheap:1", "dear:1"),
    "b2": ("cheap:1", "mid:1"),
    "c1": ("mid:1", "dear:1"),
    "c2": ("cheap:1", "dear:1"),
}
LISTED_ENGINES = tuple(
    ListedHost(f"engine-{n}", HostKind.MODEL_ENGINE, n[0], f"engine-{n}", HostState.LIVE)
    for n in LOADED_VERSIONS
)


@dataclass
class EngineFaults:
    """Faults that the engines inject now; probabilities apply to each call, read or chunk."""

    refusal_probability: float = 0.0
    break_probability: float = 0.0
    chunk_loss_probability: float = 0.0
    is_shuffling: bool = False
    added_delay_s: float = 0.0


@dataclass
class Engines:
    """State of all engines; one that becomes unreachable loses its streams.

    Attributes
    ----------
    unreachable : set of str
        Names of the engines that refuse connections.
    streams : dict of (str, str) to Generation
        Generations by engine name and by the request id that the host assigned.
    """

    world: World
    history: ChatHistory
    faults: EngineFaults = field(default_factory=EngineFaults)
    unreachable: set[str] = field(default_factory=set)
    streams: dict[tuple[str, str], Generation] = field(default_factory=dict)

    def kill(self, name: str) -> None:
        """Make an engine unreachable and drop its streams."""
        self.unreachable.add(name)
        for stream_key in [stream_key for stream_key in self.streams if stream_key[0] == name]:
            del self.streams[stream_key]

    async def start_generation(self, name: str, call: EngineCall) -> Generation | EngineFailed:
        """Start a generation, or resume one that the engine still has."""
        await asyncio.sleep(self.world.random.uniform(0.0005, 0.01))
        if name in self.unreachable:
            return EngineFailed(started=False, reason="connect")
        if self.world.should_inject(self.faults.refusal_probability, "engine refused"):
            return EngineFailed(started=False, reason="status_503")
        known = self.streams.get((name, call.request_id))
        if str(call.version) not in LOADED_VERSIONS[name] or (known is None and call.from_position):
            return EngineFailed(started=False, reason="status_404")
        if known is None:
            known = self._generate(call)
            self.streams[name, call.request_id] = known
        request_id = call.request_id.removesuffix(".2")
        start = GenerationStarted(now(), request_id, known.number, str(call.version))
        self.history.generation_starts.append(start)
        return known

    def _generate(self, call: EngineCall) -> Generation:
        number = len(self.history.generations)
        length = self.world.random.randint(4, 16)
        generation = Generation(number, call.request_id, str(call.version), length)
        self.history.generations[number] = generation
        return generation

    async def read_events(
        self, name: str, stream: Generation, position: int
    ) -> list[GenerationEvent]:
        """Wait for the next chunks from a position on, or for the final usage."""
        world, faults = self.world, self.faults
        await asyncio.sleep(world.random.uniform(0.005, 0.1) + faults.added_delay_s)
        is_known = (name, stream.engine_id) in self.streams
        if not is_known or world.should_inject(faults.break_probability, "stream broke"):
            return [EngineFailed(started=True, reason="broken")]
        if position >= stream.length:
            return [Usage(PROMPT_TOKENS, stream.length, confidence=0.5)]
        ahead = range(position, min(stream.length, position + 4))
        chunks = [Chunk(p, stream.token(p)) for p in ahead]
        if faults.is_shuffling:
            chunks.append(world.random.choice(chunks))
            world.random.shuffle(chunks)
            world.injected["chunks shuffled"] += 1
        return [
            c
            for c in chunks
            if not world.should_inject(faults.chunk_loss_probability, "chunk lost")
        ]

    async def move_stream(self, source: str, target: str, request_id: str) -> bool:
        """Transfer a stream to another engine, as moving its KV cache does."""
        await asyncio.sleep(self.world.random.uniform(0.005, 0.05))
        stream = self.streams.get((source, request_id))
        if stream is None or target in self.unreachable:
            return False
        self.streams[target, request_id] = stream
        return True


class SimEngine:
    """The engine client of one chat's worker."""

    def __init__(self, engines: Engines, worker: Worker | None = None) -> None:
        self._engines = engines
        self._worker = worker

    def generate(
        self, address: str, call: EngineCall, timeout_s: float
    ) -> Iterator[list[GenerationEvent]]:
        """Stream an answer, yielding the events that arrived since the last yield."""
        assert self._worker is not None
        name, wait_for = address.removeprefix("engine-"), self._worker.wait_for
        deadline = wait_for(_read_time) + timeout_s
        stream = wait_for(lambda: self._engines.start_generation(name, call))
        if isinstance(stream, EngineFailed):
            yield [stream]
            return
        position = call.from_position
        while True:
            events = wait_for(
                lambda: self._engines.read_events(name, stream, position)  # noqa: B023
            )
            if wait_for(_read_time) > deadline:
                events = [EngineFailed(started=True, reason="timeout")]
            yield events
            if events and not isinstance(events[-1], Chunk):
                return
            position = min(stream.length, position + 4)

    def cancel(self, address: str, request_id: str) -> None:
        """Stop a stream."""
        self._engines.streams.pop((address.removeprefix("engine-"), request_id), None)

    def move_cache(self, source: str, target: str, request_id: str) -> bool:
        """Move a stream's KV cache to another engine; return whether it succeeded."""
        assert self._worker is not None
        names = [address.removeprefix("engine-") for address in (source, target)]
        moved: bool = self._worker.wait_for(lambda: self._engines.move_stream(*names, request_id))
        return moved

    def fetch_load(self, address: str) -> LoadReport | EngineFailed:
        """Return the engine's load."""
        name = address.removeprefix("engine-")
        if name in self._engines.unreachable:
            return EngineFailed(started=False, reason="connect")
        return LoadReport(list(LOADED_VERSIONS[name]), 0, 0, SLOTS_PER_ENGINE, 20.0)

    def list_cache_events(self, address: str, after: int) -> list[CacheEvent] | EngineFailed:
        """Return no events, because the simulation does not depend on them."""
        return []


async def _read_time() -> float:
    return now()
