"""Simulation in virtual time of hosts before engines that one part of a prompt crashes."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.dispatch import ConnectionBroke, Failure, NoConnection, SendDecision, start_of
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import EndpointRecord
from poplarrun.routing import InFlightRequest, PromptPart, Request
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import SERVICE, RolloutHost, make_request

LINK_DELAY_S = 0.005
# Time after a break in which a host finds out that nothing listens at the address any more.
PROBE_S = 0.025
RETURN_BOUNDS_S = (2.0, 4.0)
LISTING_DELAY_S = 0.3
FIRST_EVENT_BOUNDS_S = (0.08, 0.3)
ANSWER_BOUNDS_S = (0.3, 2.0)
ENGINE_SLOTS = 64
PART_TOKENS = 200
# Callers repeat a request so often, each time at another host.
MAX_REPEATS = 2
REPEAT_DELAY_S = 0.3
# Parts that many sound requests share.
SYSTEM_PROMPTS = 4
DOCUMENTS = 30


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request with a part that crashes engines, which reached one."""

    at: float
    host: str
    part: str


@dataclass(frozen=True, slots=True)
class SoundResult:
    """How a sound request ended at the first host that it was sent to.

    Attributes
    ----------
    first_part : str
        The first part of its prompt.
    has_begun : bool
        Whether an answer began.
    """

    at: float
    first_part: str
    has_begun: bool


class CrashingEngine:
    """One process at an address, and the ones that follow it."""

    def __init__(self, number: int, zone: str) -> None:
        self.number = number
        self.zone = zone
        self.starts = 0
        self.is_up = False
        self.crash_times: deque[float] = deque()
        self.start()

    def start(self) -> None:
        """Start a new process."""
        self.starts += 1
        self.is_up = True
        name = f"engine-{self.number}-{self.starts}"
        self.record = EndpointRecord(
            name, SERVICE, f"engine-{self.number}:1", self.zone, "v1", ENGINE_SLOTS, False
        )
        self.ended = asyncio.Event()

    def crash(self, now: float) -> None:
        """End the process; all its connections break."""
        self.is_up = False
        self.crash_times.append(now)
        self.ended.set()


class CrashingFleet(PeerFleet):
    """Hosts that exchange digests, and callers whose prompts share parts.

    Attributes
    ----------
    arrivals : list of Arrival
        Requests with a part that crashes engines, which reached one.
    results : list of SoundResult
        The first attempts of all sound requests.
    crashes : dict of str to list of float
        When an engine ended by a part.
    refused_bad : int
        Requests with such a part that were refused for it.
    ends_under : dict of int to set of str
        Engines that ended while they were working on a request, by the request's fingerprint.
    """

    def __init__(self, seed: int, hosts: int, engines: int) -> None:
        super().__init__(seed, hosts, "abc")
        self.engines = [CrashingEngine(each, "abc"[each % 3]) for each in range(engines)]
        self._by_id = {each.record.instance_id: each for each in self.engines}
        self.bad_parts: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.results: list[SoundResult] = []
        self.crashes: dict[str, list[float]] = {}
        self.refused: list[Refusal] = []
        self.ends_under: dict[int, set[str]] = {}
        self._list_engines(self.hosts)

    def _list_engines(self, hosts: Iterable[RolloutHost]) -> None:
        records = [engine.record for engine in self.engines]
        for host in hosts:
            host.placement.update_endpoints(records, self.now)

    def restart(self, host: RolloutHost) -> None:
        """Kill a host and start it again at its address, with nothing of what it knew."""
        super().restart(host)
        self._list_engines([self.hosts[-1]])

    def crash_engines(self, engines: Iterable[CrashingEngine]) -> None:
        """End engines for a reason of their own; they come back after some seconds."""
        for engine in engines:
            if engine.is_up:
                engine.crash(self.now)
                self._start(self._bring_back(engine))

    async def _bring_back(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(self.random.uniform(*RETURN_BOUNDS_S))
        engine.start()
        self._by_id[engine.record.instance_id] = engine
        await asyncio.sleep(LISTING_DELAY_S)
        self._list_engines(self.hosts)

    async def run_plain_crashes(self, crashes_per_s: float, seconds: float) -> None:
        """End random engines for some time."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(crashes_per_s))
            self.crash_engines([self.random.choice(self.engines)])

    async def run_sound(self, requests_per_s: float, seconds: float) -> None:
        """Send sound requests to random hosts for some time."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            self._start(self._run_caller(self._make_prompt()))

    async def run_bad(self, requests_per_s: float, seconds: float, parts: list[str]) -> None:
        """Send requests that each have one of some bad parts, no two alike."""
        self.bad_parts.update(parts)
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            prompt = self._make_prompt()
            place = self.random.randrange(len(prompt))
            prompt.insert(place, self.random.choice(parts))
            self._start(self._run_caller(prompt))

    async def run_repeated(self, own_parts: list[str], delay_s: float, seconds: float) -> None:
        """Repeat some requests that end engines, which only their own last parts tell apart."""
        self.bad_parts.update(own_parts)
        prompts = [[*self._make_prompt()[:-1], own] for own in own_parts]
        until = self.now + seconds
        while self.now < until:
            for prompt in prompts:
                self._start(self._run_caller(prompt))
            await asyncio.sleep(delay_s)

    async def run_new_parts(self, requests_per_s: float, seconds: float, bad: list[str]) -> None:
        """Send requests with ever new parts, some of which crash engines as well."""
        self.bad_parts.update(bad)
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            new = [f"new-{self.random.getrandbits(48):x}" for _ in range(20)]
            prompt = self._make_prompt()
            prompt[1:1] = [*new, *self.random.sample(bad, min(1, len(bad)))]
            self._start(self._run_caller(prompt))

    def _make_prompt(self) -> list[str]:
        """Return the parts of a sound prompt; the last one is its own."""
        system = self.random.randrange(SYSTEM_PROMPTS)
        document = self.random.randrange(DOCUMENTS)
        own = f"own-{self.random.getrandbits(48):x}"
        return [f"system-{system}", f"document-{system}-{document}", own]

    async def _run_caller(self, prompt: list[str]) -> None:
        """Serve one caller, who repeats at other hosts after a failure."""
        bad = next((part for part in prompt if part in self.bad_parts), None)
        started_at = self.now
        for attempt in range(1 + MAX_REPEATS):
            host = self.random.choice(self.hosts)
            self._request_count += 1
            request = dataclasses.replace(
                make_request(f"session-{self._request_count}", self._request_count),
                prompt_parts=tuple(PromptPart(part, PART_TOKENS) for part in prompt),
            )
            has_begun = await self._serve(host, request, bad)
            if attempt == 0 and bad is None:
                self.results.append(SoundResult(started_at, prompt[0], has_begun))
            if has_begun:
                return
            await asyncio.sleep(REPEAT_DELAY_S)

    async def _serve(self, host: RolloutHost, request: Request, bad: str | None) -> bool:
        """Serve one request at a host; return whether an answer began."""
        work = host.dispatch.admit(request, self.now)
        if isinstance(work, Refusal):
            self.refused.append(work)
            return False
        while True:
            decision = host.dispatch.choose_endpoint(work, self.now)
            if not isinstance(decision, SendDecision):
                if decision.kind is ErrorKind.PROMPT_QUARANTINED:
                    self.refused.append(decision)
                return False
            outcome = await self._send(host, work, decision, bad)
            if outcome is not None:
                return outcome

    async def _send(
        self, host: RolloutHost, work: InFlightRequest, decision: SendDecision, bad: str | None
    ) -> bool | None:
        """Send once; return whether an answer began, None if the request is to be sent again."""
        state = decision.estimate.endpoint
        record = state.record
        engine = self._by_id[record.instance_id]
        await asyncio.sleep(LINK_DELAY_S)
        if not engine.is_up or engine.record is not record:
            return self._fail(host, work, decision, None, NoConnection("refused"))
        if host.dispatch.recheck(work, self.now) is not None:
            return False
        attempt = host.dispatch.record_sent(work, decision, self.now)
        await asyncio.sleep(LINK_DELAY_S)
        ended = engine.ended
        if bad is not None and not ended.is_set():
            self.arrivals.append(Arrival(self.now, host.address, bad))
        if await self._is_broken(ended, self.random.uniform(*FIRST_EVENT_BOUNDS_S)):
            self._note_end(work, record)
            await self._probe(host, record)
            return self._fail(host, work, decision, attempt, ConnectionBroke("ended"))
        if bad is not None:
            self.crashes.setdefault(bad, []).append(self.now)
            self.crash_engines([engine])
            self._note_end(work, record)
            await self._probe(host, record)
            return self._fail(host, work, decision, attempt, ConnectionBroke("ended"))
        host.dispatch.record_first_event(work, attempt, self.now)
        if await self._is_broken(ended, self.random.uniform(*ANSWER_BOUNDS_S)):
            self._note_end(work, record)
            await self._probe(host, record)
            self._fail(host, work, decision, attempt, ConnectionBroke("ended"))
        else:
            host.dispatch.record_completed(work, attempt, self.now)
        return True

    def _fail(self, host, work, decision, attempt, failure: Failure) -> bool | None:  # type: ignore[no-untyped-def]
        state = decision.estimate.endpoint
        refusal = host.dispatch.handle_failure(work, state, attempt, failure, self.now)
        return None if refusal is None else False

    async def _is_broken(self, ended: asyncio.Event, seconds: float) -> bool:
        """Wait for the endpoint to get on; return whether its process ended before."""
        try:
            async with asyncio.timeout(seconds):
                await ended.wait()
        except TimeoutError:
            return False
        return True

    def _note_end(self, work: InFlightRequest, record: EndpointRecord) -> None:
        self.ends_under.setdefault(work.fingerprint, set()).add(record.instance_id)

    async def _probe(self, host: RolloutHost, record: EndpointRecord) -> None:
        await asyncio.sleep(PROBE_S)
        host.dispatch.crash_guard.watch.record_ended(start_of(record), self.now)
