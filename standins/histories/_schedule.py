"""Seeded schedules: callers that repeat, faults that strike, and the history they make."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from poplarrun.billing import SHARDS, BillFold, stream_of
from poplarrun.log import Page
from standins.histories._events import AnswerKind, BillRecorded, History, Invoke
from standins.histories._hosts import POINTS, SimHost, step_aside
from standins.histories._loop import VirtualLoop, spawn
from standins.histories._rules import Violation, check_history
from standins.histories._world import LOG, Keep, LogFaults, ServiceFaults, World, now

HOSTS = ("a1", "a2", "b1", "b2", "c1", "c2")
ZONES = ("a", "b", "c")
KEYS = 30
FAULTS_END_S = 14.0
QUIET_S = 26.0
BILLING_S = 10.0
# Copies of a bill beside that of its host.
COPIES = 2
# A holder must live for so long to append a bill or copy it anew: the longest
# outage here (5 s), detection, and a batch.
RECOPY_S = 8.0
MANY = 100_000
MAX_ATTEMPTS = 4
FINAL_ATTEMPTS = 30
# What fails whatever is asked for; the schedules of chats have these too.
COMMON_FAULTS = (
    "kill at a point",
    "stop at a point",
    "kill",
    "stop",
    "cut host from log",
    "cut zone from log",
    "cut zone from zones",
    "cut zone from both",
    "cut one link",
    "log down",
    "log slow",
    "log loses answers",
    "log holds appends",
)
FAULTS = (
    *COMMON_FAULTS,
    "service refuses",
    "service dies before",
    "service dies after",
    "service slow",
)


@dataclass
class RunResult:
    """What one schedule gave."""

    seed: int
    faults: tuple[str, ...]
    history: History
    injected: Counter[str]
    violations: list[Violation] = field(default_factory=list)


def choose_faults(seed: int, faults: tuple[str, ...] = FAULTS) -> tuple[str, ...]:
    """Return the kinds of fault of a schedule: one alone, two together, or all."""
    match seed % 3:
        case 0:
            return (faults[(seed // 3) % len(faults)],)
        case 1:
            return tuple(random.Random(seed).sample(faults, 2))
        case _:
            return faults


def run_schedule(seed: int) -> RunResult:
    """Run one schedule in virtual time, and check its history."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        run = _Operations(seed)
        loop.run_until_complete(run.run())
    finally:
        drop_tasks(loop)
        asyncio.set_event_loop(None)
    result = RunResult(seed, run.faults, run.world.history, run.world.injected)
    result.violations = check_history(run.world.history)
    return result


class Schedule:
    """The faults of one seed; what runs meanwhile is up to the classes below.

    Attributes
    ----------
    points : tuple of str
        Where a planned kill or stop can strike a worker.
    """

    points = POINTS

    def __init__(self, seed: int, faults: tuple[str, ...] = FAULTS) -> None:
        self.faults = choose_faults(seed, faults)
        self._random = random.Random(seed)
        self.world = World(random.Random(f"world {seed}"))
        self.hosts: dict[str, Any] = {}
        self._requests = 0
        self._points: dict[str, int] = {}

    def make_host(self, name: str, incarnation: int) -> Any:
        """Start a host."""
        raise NotImplementedError

    async def _reach(self, host: Any, point: str) -> None:
        """Kill or stop the host of a worker that reaches a planned point."""
        for action in ("kill", "stop"):
            planned = f"{action} {point}"
            if self._points.get(planned, 0) > 0:
                self._points[planned] -= 1
                self.world.injected[planned] += 1
                spawn(None, self._kill if action == "kill" else self._stop, host)
                await step_aside()
                await step_aside()

    async def _strike(self) -> None:
        """Let faults of this schedule strike until their end."""
        while now() < FAULTS_END_S:
            await asyncio.sleep(self._random.uniform(0.2, 4.0))
            lasts_s = self._random.uniform(0.3, 5.0)
            await self._inject(self._random.choice(self.faults), lasts_s)

    async def _inject(self, fault: str, lasts_s: float) -> None:
        world = self.world
        host = self.hosts[self._random.choice(HOSTS)]
        inside = self.choose_inside(host.name)
        outside = [n for n in HOSTS if n not in inside]
        world.injected[fault] += 1
        match fault:
            case "kill at a point" | "stop at a point":
                planned = f"{fault.split()[0]} {self._random.choice(self.points)}"
                self._points[planned] = self._points.get(planned, 0) + 1
            case "kill":
                await self._kill(host)
            case "stop":
                await self._stop(host)
            case "cut host from log":
                world.cut([host.name], [LOG])
            case "cut zone from log":
                world.cut(inside, [LOG])
            case "cut zone from zones":
                world.cut(inside, outside)
            case "cut zone from both":
                world.cut(inside, [*outside, LOG])
            case "cut one link":
                world.cut([host.name], [self._random.choice([n for n in HOSTS if n != host.name])])
            case _:
                self._spoil(fault)
        await asyncio.sleep(lasts_s)
        self._mend()

    def choose_inside(self, name: str) -> list[str]:
        """Return the hosts that a cut parts from the others; some of any zones."""
        return [n for n in HOSTS if n[0] == self._random.choice(ZONES)] or [name]

    def _spoil(self, fault: str) -> None:
        log, service = self.world.log_faults, self.world.service_faults
        match fault:
            case "log down":
                log.down = True
            case "log slow":
                log.slow_s = self._random.uniform(0.2, 4.0)
            case "log loses answers":
                log.lost_answers = 0.5
            case "log holds appends":
                log.held = 0.5
            case "service refuses":
                service.refused = 0.7
            case "service dies before":
                service.dies_before = 0.5
            case "service dies after":
                service.dies_after = 0.5
            case "service slow":
                service.slow_s = self._random.uniform(0.5, 6.0)

    def _mend(self) -> None:
        self.world.heal()
        self.world.log_faults = LogFaults()
        self.world.service_faults = ServiceFaults()

    def _end_faults(self) -> None:
        self._mend()
        self._points.clear()

    async def _kill(self, host: Any) -> None:
        """Kill a process; another one takes its place under the same name."""
        if host.process.dead:
            return
        host.process.kill(now())
        host.peers.halted_since = now()
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self.hosts[host.name] = self.make_host(host.name, host.peers.me.incarnation + 1)

    async def _stop(self, host: Any) -> None:
        """Stop a process for a while, as SIGSTOP does."""
        if host.process.is_halted:
            return
        host.process.stop(now())
        host.peers.halted_since = now()
        await asyncio.sleep(self._random.uniform(0.3, 9.0))
        host.peers.halted_since = None if not host.process.dead else host.peers.halted_since
        host.process.resume()


class _Operations(Schedule):
    """Keyed operations whose callers repeat."""

    def make_host(self, name: str, incarnation: int) -> SimHost:
        """Start a host."""
        return SimHost(self.world, self.hosts, name, incarnation)

    async def run(self) -> None:
        """Run callers and faults together, then settle every key."""
        self.hosts |= {name: self.make_host(name, 1) for name in HOSTS}
        callers = [
            spawn(None, self._call, f"key-{n}", self._random.uniform(0, FAULTS_END_S - 2))
            for n in range(KEYS)
        ]
        strikes = [spawn(None, self._strike) for _ in range(max(3, len(self.faults)))]
        await asyncio.gather(*strikes)
        self._end_faults()
        await asyncio.gather(*callers)
        await asyncio.sleep(max(0.0, QUIET_S - now()))
        for number in range(KEYS):
            await self._settle(f"key-{number}")
        await asyncio.sleep(BILLING_S)
        self._read_bills()

    def _read_bills(self) -> None:
        bills: list[BillRecorded] = []
        for shard in range(SHARDS):
            # Statements add the streams up, so a bill in two of them shows as two.
            fold = BillFold()
            page = self.world.memory.read(stream_of(shard), 0, MANY)
            assert isinstance(page, Page)
            for entry in page.entries:
                fold.fold(entry)
            bills += [BillRecorded(bill.id, bill.amount) for bill in fold.list_bills()]
        self.world.history.bills = bills
        self.world.history.lost_holders = {
            keep.bill_id for keep in self.world.keeps if all_died(keep)
        }
        self.world.injected["bills finished for a dead host"] = sum(
            h.billing.finished_for_peers for h in self.hosts.values()
        )

    async def _call(self, key: str, at: float) -> None:
        """Send a request, now and then at two hosts at once, and repeat while not answered."""
        await asyncio.sleep(at)
        for _ in range(MAX_ATTEMPTS):
            count = 2 if self._random.random() < 0.4 else 1
            names = self._random.sample(HOSTS, count)
            kinds = await asyncio.gather(*(self._attempt(name, key) for name in names))
            is_done = any(kind in (AnswerKind.RAN, AnswerKind.REPLAYED) for kind in kinds)
            if is_done and self._random.random() < 0.7:
                return
            await asyncio.sleep(self._random.uniform(0, 1.5))

    async def _attempt(self, name: str, key: str) -> AnswerKind:
        host = self.hosts[name]
        if host.process.dead:
            return AnswerKind.NOTHING
        self._requests += 1
        request_id = f"r{self._requests}"
        self.world.history.invokes.append(Invoke(now(), request_id, key, name))
        task = spawn(host.process, host.run, request_id, key, self._reach)
        patience_s = self._random.uniform(0.3, 8.0)
        await asyncio.wait([task], timeout=patience_s)
        return task.result().kind if task.done() else AnswerKind.NOTHING

    async def _settle(self, key: str) -> None:
        for _ in range(FINAL_ATTEMPTS):
            kind = await self._attempt(self._random.choice(HOSTS), key)
            self.world.history.final[key] = kind
            if kind in (AnswerKind.RAN, AnswerKind.REPLAYED, AnswerKind.UNKNOWN):
                return
            await asyncio.sleep(0.5)


def all_died(keep: Keep) -> bool:
    """Tell whether three hosts held a bill, and none ran long enough to pass it on.

    Time for which a host was stopped doesn't count: one that is resumed only to
    be killed has done nothing for the bill.
    """
    dead = [process for process in keep.holders if process.dead]
    is_soon = [process.ran_after(keep.at) < RECOPY_S for process in dead]
    return len(dead) == len(keep.holders) > COPIES and all(is_soon)


def drop_tasks(loop: VirtualLoop) -> None:
    """Forget the tasks of killed processes."""
    for task in asyncio.all_tasks(loop):
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        task.get_coro().close()
    loop.close()
