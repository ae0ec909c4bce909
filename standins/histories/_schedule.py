"""Seeded schedules of operations: callers that retry while faults are injected."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from poplarrun.billing import SHARDS, BillFold, stream_of
from poplarrun.log import Page
from standins.histories._events import AnswerKind, History, Invoke, RecordedBill
from standins.histories._hosts import WORKER_POINTS, SimHost, yield_to_loop
from standins.histories._loop import VirtualLoop, spawn
from standins.histories._rules import Violation, check_history
from standins.histories._world import LOG, LogFaults, ReplicatedBill, ServiceFaults, World, now

HOSTS = ("a1", "a2", "b1", "b2", "c1", "c2")
ZONES = ("a", "b", "c")
KEY_COUNT = 30
FAULTS_END_AT_S = 14.0
RECOVERED_AT_S = 26.0
BILLING_GRACE_S = 10.0
# Copies of a bill in addition to its host's.
PEER_COPIES = 2
# Time that a holder needs to append a bill or replicate it again: the longest
# outage in these schedules (5 s), failure detection, and a batch.
RECOPY_WINDOW_S = 8.0
READ_LIMIT = 100_000
MAX_ATTEMPTS = 4
MAX_FINAL_ATTEMPTS = 30
# Faults that affect every kind of request; the schedules of chats use them too.
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
    """The result of one schedule."""

    seed: int
    faults: tuple[str, ...]
    history: History
    injected: Counter[str]
    violations: list[Violation] = field(default_factory=list)


def choose_faults(seed: int, faults: tuple[str, ...] = FAULTS) -> tuple[str, ...]:
    """Return the kinds of fault of a schedule: one, two or all, depending on the seed."""
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
        run = _OperationSchedule(seed)
        loop.run_until_complete(run.run())
    finally:
        close_tasks(loop)
        asyncio.set_event_loop(None)
    result = RunResult(seed, run.faults, run.world.history, run.world.injected)
    result.violations = check_history(run.world.history)
    return result


class Schedule:
    """Injects the faults of one seed; subclasses define the workload.

    Attributes
    ----------
    points : tuple of str
        Points of a worker's execution at which a planned kill or stop can occur.
    """

    points = WORKER_POINTS

    def __init__(self, seed: int, faults: tuple[str, ...] = FAULTS) -> None:
        self.faults = choose_faults(seed, faults)
        self._random = random.Random(seed)
        self.world = World(random.Random(f"world {seed}"))
        self.hosts: dict[str, Any] = {}
        self._request_count = 0
        self._planned_faults: dict[str, int] = {}

    def make_host(self, name: str, incarnation: int) -> Any:
        """Start a host."""
        raise NotImplementedError

    async def _on_reached(self, host: Any, point: str) -> None:
        """Kill or stop a host whose worker reaches a point with a planned fault."""
        for action in ("kill", "stop"):
            planned = f"{action} {point}"
            if self._planned_faults.get(planned, 0) > 0:
                self._planned_faults[planned] -= 1
                self.world.injected[planned] += 1
                spawn(None, self._kill if action == "kill" else self._stop, host)
                await yield_to_loop()
                await yield_to_loop()

    async def _inject_random_faults(self) -> None:
        """Inject random faults of this schedule until the fault phase ends."""
        while now() < FAULTS_END_AT_S:
            await asyncio.sleep(self._random.uniform(0.2, 4.0))
            duration_s = self._random.uniform(0.3, 5.0)
            await self._inject(self._random.choice(self.faults), duration_s)

    async def _inject(self, fault: str, duration_s: float) -> None:
        world = self.world
        host = self.hosts[self._random.choice(HOSTS)]
        isolated = self.choose_isolated_hosts(host.name)
        others = [n for n in HOSTS if n not in isolated]
        world.injected[fault] += 1
        match fault:
            case "kill at a point" | "stop at a point":
                planned = f"{fault.split()[0]} {self._random.choice(self.points)}"
                self._planned_faults[planned] = self._planned_faults.get(planned, 0) + 1
            case "kill":
                await self._kill(host)
            case "stop":
                await self._stop(host)
            case "cut host from log":
                world.cut([host.name], [LOG])
            case "cut zone from log":
                world.cut(isolated, [LOG])
            case "cut zone from zones":
                world.cut(isolated, others)
            case "cut zone from both":
                world.cut(isolated, [*others, LOG])
            case "cut one link":
                world.cut([host.name], [self._random.choice([n for n in HOSTS if n != host.name])])
            case _:
                self._set_fault(fault)
        await asyncio.sleep(duration_s)
        self._clear_faults()

    def choose_isolated_hosts(self, name: str) -> list[str]:
        """Return the hosts that a partition isolates: a random set from any zones."""
        return [n for n in HOSTS if n[0] == self._random.choice(ZONES)] or [name]

    def _set_fault(self, fault: str) -> None:
        log, service = self.world.log_faults, self.world.service_faults
        match fault:
            case "log down":
                log.down = True
            case "log slow":
                log.added_delay_s = self._random.uniform(0.2, 4.0)
            case "log loses answers":
                log.answer_loss_probability = 0.5
            case "log holds appends":
                log.late_append_probability = 0.5
            case "service refuses":
                service.refusal_probability = 0.7
            case "service dies before":
                service.failure_before_probability = 0.5
            case "service dies after":
                service.failure_after_probability = 0.5
            case "service slow":
                service.added_delay_s = self._random.uniform(0.5, 6.0)

    def _clear_faults(self) -> None:
        self.world.restore_links()
        self.world.log_faults = LogFaults()
        self.world.service_faults = ServiceFaults()

    def _end_faults(self) -> None:
        self._clear_faults()
        self._planned_faults.clear()

    async def _kill(self, host: Any) -> None:
        """Kill a process, then start another one under the same name."""
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


class _OperationSchedule(Schedule):
    """Runs keyed operations whose callers retry."""

    def make_host(self, name: str, incarnation: int) -> SimHost:
        """Start a host."""
        return SimHost(self.world, self.hosts, name, incarnation)

    async def run(self) -> None:
        """Run callers and faults concurrently, then determine the outcome of every key."""
        self.hosts |= {name: self.make_host(name, 1) for name in HOSTS}
        callers = [
            spawn(None, self._run_caller, f"key-{n}", self._random.uniform(0, FAULTS_END_AT_S - 2))
            for n in range(KEY_COUNT)
        ]
        injections = [
            spawn(None, self._inject_random_faults) for _ in range(max(3, len(self.faults)))
        ]
        await asyncio.gather(*injections)
        self._end_faults()
        await asyncio.gather(*callers)
        await asyncio.sleep(max(0.0, RECOVERED_AT_S - now()))
        for number in range(KEY_COUNT):
            await self._determine_outcome(f"key-{number}")
        await asyncio.sleep(BILLING_GRACE_S)
        self._read_bills()

    def _read_bills(self) -> None:
        bills: list[RecordedBill] = []
        for shard in range(SHARDS):
            # Statements are the sum of the streams, so a bill in two streams counts twice.
            fold = BillFold()
            page = self.world.memory.read(stream_of(shard), 0, READ_LIMIT)
            assert isinstance(page, Page)
            for entry in page.entries:
                fold.fold(entry)
            bills += [RecordedBill(bill.id, bill.amount) for bill in fold.list_bills()]
        self.world.history.bills = bills
        self.world.history.bills_with_dead_holders = {
            replicated.bill_id
            for replicated in self.world.replicated_bills
            if are_all_holders_killed(replicated)
        }
        self.world.injected["bills finished for a dead host"] = sum(
            h.billing.finished_for_peers for h in self.hosts.values()
        )

    async def _run_caller(self, key: str, at_s: float) -> None:
        """Send a request, sometimes to two hosts at once, and retry until it is answered."""
        await asyncio.sleep(at_s)
        for _ in range(MAX_ATTEMPTS):
            count = 2 if self._random.random() < 0.4 else 1
            names = self._random.sample(HOSTS, count)
            kinds = await asyncio.gather(*(self._send_request(name, key) for name in names))
            is_done = any(kind in (AnswerKind.RAN, AnswerKind.REPLAYED) for kind in kinds)
            if is_done and self._random.random() < 0.7:
                return
            await asyncio.sleep(self._random.uniform(0, 1.5))

    async def _send_request(self, name: str, key: str) -> AnswerKind:
        host = self.hosts[name]
        if host.process.dead:
            return AnswerKind.NO_ANSWER
        self._request_count += 1
        request_id = f"r{self._request_count}"
        self.world.history.invokes.append(Invoke(now(), request_id, key, name))
        task = spawn(host.process, host.run, request_id, key, self._on_reached)
        timeout_s = self._random.uniform(0.3, 8.0)
        await asyncio.wait([task], timeout=timeout_s)
        return task.result().kind if task.done() else AnswerKind.NO_ANSWER

    async def _determine_outcome(self, key: str) -> None:
        for _ in range(MAX_FINAL_ATTEMPTS):
            kind = await self._send_request(self._random.choice(HOSTS), key)
            self.world.history.final_answers[key] = kind
            if kind in (AnswerKind.RAN, AnswerKind.REPLAYED, AnswerKind.UNKNOWN):
                return
            await asyncio.sleep(0.5)


def are_all_holders_killed(bill: ReplicatedBill) -> bool:
    """Return whether a bill's holders, at least three, all died before replicating it again.

    Time during which a host was stopped does not count, because a host that is resumed
    only to be killed could not replicate the bill.
    """
    dead = [process for process in bill.holders if process.dead]
    died_early = [process.running_time_after(bill.at_s) < RECOPY_WINDOW_S for process in dead]
    return len(dead) == len(bill.holders) > PEER_COPIES and all(died_early)


def close_tasks(loop: VirtualLoop) -> None:
    """Close the loop and the unfinished tasks of killed processes."""
    for task in asyncio.all_tasks(loop):
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        task.get_coro().close()
    loop.close()
