"""Seeded schedules of chats: sessions at any host, faults, and configuration changes."""

import asyncio
import math
from collections import Counter
from dataclasses import dataclass, field

from poplarrun.billing import SHARDS, BillFold, stream_of
from poplarrun.config import (
    CONFIG_STREAM,
    Configuration,
    Publication,
    Withdrawal,
    encode_record,
    fold_entry,
)
from poplarrun.log import Entry, Page
from standins.histories._chat_config import (
    ACCOUNTS,
    EMPTY_POLICY,
    ConfigModel,
    parse_policy,
    write_document,
)
from standins.histories._chat_engines import EngineFaults, Engines
from standins.histories._chat_events import (
    ChatEnd,
    ChatHistory,
    ChatInvoke,
    SessionDisruption,
    VersionWithdrawn,
)
from standins.histories._chat_hosts import CHAT_WORKER_POINTS, ChatCall, ChatSimulation, SimChatHost
from standins.histories._chat_rules import PRICES, check_chats, find_excused_sessions
from standins.histories._chat_workers import Worker
from standins.histories._chat_world import TimedLog
from standins.histories._events import RecordedBill
from standins.histories._loop import VirtualLoop, spawn
from standins.histories._rules import Violation
from standins.histories._schedule import (
    COMMON_FAULTS,
    FAULTS_END_AT_S,
    HOSTS,
    READ_LIMIT,
    Schedule,
    are_all_holders_killed,
    close_tasks,
)
from standins.histories._world import LOG, SimLog, now

CALLER_COUNT = 13
START_DELAY_S = 4.0
REACHABILITY_INTERVAL_S = 0.2
# By then a host stopped by the last fault has resumed; its bills then take a few batches.
SETTLED_AT_S = 24.0
BILLING_GRACE_S = 6.0
# Probability that a publication is based on an outdated configuration.
STALE_PUBLICATION_PROBABILITY = 0.1
OPERATOR = "operator"
CHAT_FAULTS = (
    *COMMON_FAULTS,
    "engine refuses",
    "streams break",
    "chunks lost",
    "chunks disordered",
    "engine slow",
    "engine killed",
    "operator",
)


@dataclass
class ChatResult:
    """The result of one schedule of chats; ``excused`` maps sessions to causes."""

    seed: int
    faults: tuple[str, ...]
    history: ChatHistory
    injected: Counter[str]
    violations: list[Violation] = field(default_factory=list)
    excused: dict[str, str] = field(default_factory=dict)


def run_chats(seed: int) -> ChatResult:
    """Run one schedule of chats in virtual time, and check its history."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    run = _ChatSchedule(seed)
    try:
        loop.run_until_complete(run.run())
    finally:
        for worker in run.workers:
            worker.abort()
        close_tasks(loop)
        asyncio.set_event_loop(None)
    result = ChatResult(seed, run.faults, run.history, run.world.injected)
    result.violations = check_chats(run.history)
    result.excused = find_excused_sessions(run.history)
    return result


class _ChatSchedule(Schedule):
    points = CHAT_WORKER_POINTS

    def __init__(self, seed: int) -> None:
        super().__init__(seed, CHAT_FAULTS)
        self.history = ChatHistory()
        self.workers: list[Worker] = []
        self.world.memory = TimedLog()
        self._engines = Engines(self.world, self.history)
        self._policies = {"": EMPTY_POLICY}
        self._withdrawn: set[str] = set()
        self._is_restricted = False
        self._chat_count = 0
        self._tokens: dict[str, str] = {}
        self._killed_hosts: set[str] = set()
        self._simulation = ChatSimulation(
            self.world,
            self.history,
            self._engines,
            self._policies,
            self.hosts,
            self.workers,
            self._on_reached,
        )

    def make_host(self, name: str, incarnation: int) -> SimChatHost:
        """Start a host."""
        return SimChatHost(self._simulation, name, incarnation)

    def choose_isolated_hosts(self, name: str) -> list[str]:
        """Return all hosts of a host's zone, which a partition isolates."""
        return [n for n in HOSTS if n[0] == name[0]]

    async def run(self) -> None:
        """Run callers, operators and faults concurrently, then read the bills."""
        self.hosts |= {name: self.make_host(name, 1) for name in HOSTS}
        await self._publish()
        reachability_task = spawn(None, self._record_unreachable_hosts)
        await asyncio.sleep(START_DELAY_S)
        callers = [spawn(None, self._run_caller, n) for n in range(CALLER_COUNT)]
        operators = [spawn(None, self._run_operator) for _ in range(2)]
        injections = [
            spawn(None, self._inject_random_faults) for _ in range(max(3, len(self.faults) // 2))
        ]
        await asyncio.gather(*injections, *operators)
        self._end_faults()
        await asyncio.gather(*callers)
        await asyncio.sleep(max(0.0, SETTLED_AT_S - now()) + BILLING_GRACE_S)
        reachability_task.cancel()
        self._record_accepted_policies()
        self._read_bills()

    async def _run_caller(self, number: int) -> None:
        """Open a session, sometimes at two hosts at once, and continue it at any host."""
        source = self._random
        await asyncio.sleep(source.uniform(0, FAULTS_END_AT_S - START_DELAY_S - 4))
        account = source.choice(tuple(ACCOUNTS))
        session = f"s{number}" if source.random() < 0.8 else ""
        sends_token = source.random() < 0.4
        for _ in range(source.randint(2, 5)):
            names = source.sample(HOSTS, 2 if source.random() < 0.4 else 1)
            await asyncio.gather(
                *(self._send_chat(n, account, session, sends_token) for n in names)
            )
            await asyncio.sleep(source.uniform(0, 1.5))

    async def _send_chat(self, name: str, account: str, session: str, sends_token: bool) -> None:
        host = self.hosts[name]
        if host.process.dead:
            return
        self._chat_count += 1
        source, session_key = self._random, f"{account}/{session}"
        token, pinned = self._tokens.get(session_key, ("", "")) if sends_token else ("", "")
        call = ChatCall(
            f"c{self._chat_count}",
            ACCOUNTS[account],
            source.random() < 0.6,
            session or None,
            token or None,
            source.randint(0, 3) if source.random() < 0.1 else None,
        )
        invoke = ChatInvoke(now(), call.request_id, account, name, session, pinned)
        self.history.invokes.append(invoke)
        task = spawn(host.process, host.run, call)
        await asyncio.wait([task], timeout=source.uniform(1.0, 12.0))
        if task.done() and session:
            answer, new_token = task.result()
            if answer.end is ChatEnd.COMPLETE and new_token:
                self._tokens.setdefault(session_key, (new_token, answer.version))

    async def _run_operator(self) -> None:
        """Withdraw and offer versions and change the versions that an account may use."""
        while now() < FAULTS_END_AT_S:
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            await self._apply_random_change()

    async def _apply_random_change(self) -> None:
        kind = self._random.random()
        version = self._random.choice(tuple(PRICES))
        if kind < 0.3:
            self._is_restricted = not self._is_restricted
        elif kind < 0.5:
            record = Withdrawal(f"w{now()}", version, "quality", {})
            await SimLog(self.world, OPERATOR).append(CONFIG_STREAM, encode_record(record))
            return
        elif version in self._withdrawn:
            self._withdrawn.discard(version)
        elif len(self._withdrawn) < len(PRICES) - 1:
            self._withdrawn.add(version)
        await self._publish()

    async def _publish(self) -> None:
        text = write_document(self._withdrawn, self._is_restricted)
        self._policies[text] = parse_policy(text)
        based_on = self._find_current_offset()
        if based_on > 0 and self._random.random() < STALE_PUBLICATION_PROBABILITY:
            based_on -= 1
        record = Publication(f"p{now()}", based_on, OPERATOR, now(), text)
        await SimLog(self.world, OPERATOR).append(CONFIG_STREAM, encode_record(record))

    def _find_current_offset(self) -> int:
        """Return the offset of the current configuration; -1 if there is none."""
        state = Configuration()
        for entry in self._list_records():
            state, _ = fold_entry(state, entry)
        return state.offset

    def _list_records(self) -> tuple[Entry, ...]:
        page = self.world.memory.read(CONFIG_STREAM, 0, READ_LIMIT)
        assert isinstance(page, Page)
        return page.entries

    def _record_accepted_policies(self) -> None:
        """Record policies and withdrawal intervals by the reference model of the log."""
        assert isinstance(self.world.memory, TimedLog)
        model = ConfigModel(self._policies)
        withdrawn_at_s: dict[str, float] = {}
        for entry in self._list_records():
            policy = self.history.accepted[entry.offset] = model.apply(entry)
            at_s = self.world.memory.times[CONFIG_STREAM, entry.offset]
            gone = PRICES.keys() - policy.offered
            for version in sorted(withdrawn_at_s.keys() - gone):
                self.history.version_withdrawals.append(
                    VersionWithdrawn(withdrawn_at_s.pop(version), version, at_s)
                )
            for version in gone - withdrawn_at_s.keys():
                withdrawn_at_s[version] = at_s
        self.history.version_withdrawals += [
            VersionWithdrawn(at_s, v, math.inf) for v, at_s in sorted(withdrawn_at_s.items())
        ]

    async def _record_unreachable_hosts(self) -> None:
        """Record when each host reached neither the log nor a peer that reached it."""
        while True:
            for name in HOSTS:
                if not self._can_reach_log(name):
                    spans = self.history.out_of_reach.setdefault(name, [])
                    spans.append((now() - REACHABILITY_INTERVAL_S, now() + REACHABILITY_INTERVAL_S))
            await asyncio.sleep(REACHABILITY_INTERVAL_S)

    def _can_reach_log(self, name: str) -> bool:
        host, faults = self.hosts[name], self.world.log_faults
        if host.process.is_halted or faults.down or faults.added_delay_s:
            return False
        log_reachable_hosts = [n for n in HOSTS if self.world.is_connected(n, LOG)]
        return any(
            n == name or (self.world.is_connected(n, name) and not self.hosts[n].process.is_halted)
            for n in log_reachable_hosts
        )

    def _set_fault(self, fault: str) -> None:
        faults = self._engines.faults
        match fault:
            case "engine refuses":
                faults.refusal_probability = 0.8
            case "streams break":
                faults.break_probability = 0.2
            case "chunks lost":
                faults.chunk_loss_probability = 0.1
            case "chunks disordered":
                faults.is_shuffling = True
            case "engine slow":
                faults.added_delay_s = self._random.uniform(0.1, 1.5)
            case "engine killed":
                self._engines.kill(self._random.choice(HOSTS))
            case "operator":
                spawn(None, self._apply_random_change)
            case _:
                super()._set_fault(fault)

    def _clear_faults(self) -> None:
        super()._clear_faults()
        self._engines.faults = EngineFaults()
        self._engines.unreachable.clear()

    async def _kill(self, host: SimChatHost) -> None:
        if not host.process.dead:
            self._killed_hosts.add(host.name)
            self._record_lost_sessions(host)
        await super()._kill(host)

    def _record_lost_sessions(self, host: SimChatHost) -> None:
        for invoke in self.history.invokes:
            owners = host.peers.list_owners(invoke.account, invoke.session)
            if invoke.session and self._killed_hosts.issuperset(owners):
                session_key = f"{invoke.account}/{invoke.session}"
                self.history.session_disruptions.append(
                    SessionDisruption(now(), session_key, "lost its memory")
                )

    def _read_bills(self) -> None:
        for shard in range(SHARDS):
            fold = BillFold()
            page = self.world.memory.read(stream_of(shard), 0, READ_LIMIT)
            assert isinstance(page, Page)
            for entry in page.entries:
                fold.fold(entry)
            self.history.bills += [RecordedBill(b.id, b.amount) for b in fold.list_bills()]
        self.history.bills_with_dead_holders = {
            k.bill_id for k in self.world.replicated_bills if are_all_holders_killed(k)
        }
