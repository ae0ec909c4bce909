"""Simulation in virtual time of a zone whose hosts follow the list over narrow links."""

import asyncio
import json
import random
from collections.abc import Iterable
from typing import cast

from poplarrun.crashes import EndpointStart
from poplarrun.links import MemoryLinkNetwork, MemoryLinks
from poplarrun.peers import ENDPOINTS, ReadTimeouts
from poplarrun.platform import Entry, LatestRecords, NoAnswer, Records, StoreClient
from standins.rollout_fleet import RolloutHost

ZONE = "a"
SERVICE = "engines"
SLOTS = 64
HEARTBEAT_S = 1.2
# A silent endpoint is removed after this time, and a new one warms up for so long.
SILENCE_S = 3 * HEARTBEAT_S
WARM_UP_S = 3.0
# Bytes that the transport adds to each message and call.
OVERHEAD_BYTES = 120
STORE_DELAY_S = 0.006
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 1.2
LONG_POLL_MARGIN_S = 0.7
POLL_INTERVAL_S = 0.05
# Endpoints that answer one host in about a second, shared parts of all prompts, and hosts that lose
# requests at one endpoint that crashes.
ANSWERS_PER_S = 8
PROMPT_PARTS = 400
HOSTS_PER_CRASH = 3
TRUNCATED_ANSWER = NoAnswer("timeout")


class NarrowNetwork(MemoryLinkNetwork):
    """Network in which each host sends, and receives, at a limited speed.

    Attributes
    ----------
    sent : dict of str to int
        Bytes sent by each host so far.
    """

    def __init__(self, rng: random.Random, bytes_per_s: float) -> None:
        super().__init__(rng)
        self._bytes_per_s = bytes_per_s
        self._free_at: dict[tuple[str, str], float] = {}
        self.sent: dict[str, int] = {}

    def pass_link(self, address: str, direction: str, size: int) -> float:
        """Queue bytes on a host's link; return when they have passed."""
        now = asyncio.get_running_loop().time()
        size += OVERHEAD_BYTES
        if direction == "out":
            self.sent[address] = self.sent.get(address, 0) + size
        start = max(now, self._free_at.get((address, direction), 0.0))
        self._free_at[address, direction] = start + size / self._bytes_per_s
        return self._free_at[address, direction]

    def transmit(self, sender: MemoryLinks, address: str, data: bytes) -> None:
        """Deliver a message behind those that its sender's link still holds."""
        left_at = self.pass_link(sender.address, "out", len(data))
        loop = asyncio.get_running_loop()
        loop.call_at(left_at, super().transmit, sender, address, data)

    def _deliver(self, sender: MemoryLinks, receiver: MemoryLinks, data: bytes) -> None:
        arrived_at = self.pass_link(receiver.address, "in", len(data))
        loop = asyncio.get_running_loop()
        loop.call_at(arrived_at, super()._deliver, sender, receiver, data)


class ListingLog:
    """The store's log of endpoint records."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self._appended = asyncio.Event()

    def append(self, key: str, value: bytes | None) -> None:
        """Append a record, and wake those that wait for one."""
        self.entries.append(Entry(key, value, len(self.entries)))
        self._appended.set()
        self._appended = asyncio.Event()

    async def wait_beyond(self, offset: int, wait_s: float) -> None:
        """Wait until there is a record at an offset, but not for longer than ``wait_s``."""
        try:
            async with asyncio.timeout(wait_s):
                while len(self.entries) <= offset:
                    await self._appended.wait()
        except TimeoutError:
            return

    def newest(self) -> tuple[Entry, ...]:
        """Return the newest record of each key that is not removed."""
        newest = {entry.key: entry for entry in self.entries}
        return tuple(entry for entry in newest.values() if entry.value is not None)


class LinkedStore:
    """One host's client of the store, over the host's own link.

    Attributes
    ----------
    is_cut : bool
        Whether no call reaches the store.
    reads : int
        Calls that reached the store so far.
    """

    def __init__(self, log: ListingLog, network: NarrowNetwork, address: str) -> None:
        self.is_cut = False
        self.reads = 0
        self._log = log
        self._network = network
        self._address = address

    async def read_latest(self, topic: str) -> LatestRecords | NoAnswer:
        """Read the newest records."""
        sent_at = asyncio.get_running_loop().time()
        answer = await self._call(0, 0.0, ANSWER_TIMEOUT_S, is_latest=True)
        if isinstance(answer, NoAnswer):
            return answer
        return LatestRecords(answer, len(self._log.entries), sent_at)

    async def read(self, topic: str, offset: int, wait_s: float = 0.0) -> Records | NoAnswer:
        """Read the records from an offset on."""
        sent_at = asyncio.get_running_loop().time()
        margin_s = LONG_POLL_MARGIN_S if wait_s else ANSWER_TIMEOUT_S
        answer = await self._call(offset, wait_s, wait_s + margin_s)
        if isinstance(answer, NoAnswer):
            return answer
        is_empty_poll = not answer and wait_s > 0.0
        end = offset + len(answer)
        return Records(answer, end, 0, sent_at + (wait_s if is_empty_poll else 0.0))

    async def _call(
        self, offset: int, wait_s: float, timeout_s: float, is_latest: bool = False
    ) -> tuple[Entry, ...] | NoAnswer:
        if self.is_cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return NoAnswer("no connection")
        try:
            async with asyncio.timeout(timeout_s):
                await self._pass_link("out", 0)
                self.reads += 1
                await self._log.wait_beyond(offset, wait_s)
                entries = self._log.newest() if is_latest else tuple(self._log.entries[offset:])
                await self._pass_link("in", sum(len(each.value or b"") + 20 for each in entries))
                if self.is_cut:
                    await asyncio.sleep(timeout_s)
        except TimeoutError:
            return TRUNCATED_ANSWER
        return entries

    async def _pass_link(self, direction: str, size: int) -> None:
        passed_at = self._network.pass_link(self._address, direction, size)
        await asyncio.sleep(passed_at - asyncio.get_running_loop().time() + STORE_DELAY_S / 2)


class ListingZone:
    """Hosts of one zone, the log that they read, and the endpoints that write to it.

    Parameters
    ----------
    bound_s : float
        Operators' bound on the time until all hosts know of an endpoint that leaves.
    bytes_per_s : float
        Speed of each host's link.

    Attributes
    ----------
    delays : list of float
        For each endpoint that left, and each host that reached the store, how long the host went
        on to list it as usable; infinite if it still does.
    """

    def __init__(
        self, seed: int, hosts: int, endpoints: int, bound_s: float, bytes_per_s: float
    ) -> None:
        self.random = random.Random(seed)
        self.network = NarrowNetwork(self.random, bytes_per_s)
        self.log = ListingLog()
        self.delays: list[float] = []
        self.hosts: list[RolloutHost] = []
        self.stores: dict[str, LinkedStore] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._started = 0
        self._left_at: dict[str, float] = {}
        for number in range(hosts):
            address = f"{ZONE}{number}"
            store = self.stores[address] = LinkedStore(self.log, self.network, address)
            timeouts = ReadTimeouts.for_bound(bound_s)
            self.hosts.append(
                RolloutHost(
                    self.network,
                    address,
                    ZONE,
                    self.random.getrandbits(32),
                    cast(StoreClient, store),
                    timeouts,
                )
            )
        self.endpoints = [self._name_endpoint() for _ in range(endpoints)]
        for name in self.endpoints:
            self._write(name)

    def start(self) -> None:
        """Start all hosts, and the check of what they list."""
        seeds = tuple(host.address for host in self.hosts)
        for host in self.hosts:
            self._start(host.peering.run(seeds))
            self._start(host.listings.run())
        self._start(self._watch())

    def readers(self) -> list[RolloutHost]:
        """Return the hosts that take themselves for the zone's reader of the list."""
        now = asyncio.get_running_loop().time()
        return [
            host for host in self.hosts if host.peering.peer_table.reader_rank(ENDPOINTS, now) == 0
        ]

    def cut_from_store(self, hosts: Iterable[RolloutHost], is_cut: bool) -> None:
        """Cut hosts off from the store, or connect them again."""
        for host in hosts:
            self.stores[host.address].is_cut = is_cut

    def occupy(self, requests: int) -> None:
        """Let each host run requests at endpoints drawn at random, and be answered by many."""
        for host in self.hosts:
            for _ in range(requests):
                self.random.choice(host.placement.endpoints()).in_flight += 1
            self._start(self._answer(host))

    async def _answer(self, host: RolloutHost) -> None:
        """Let endpoints answer a host without naming a rate limit, and begin on known parts."""
        clock = asyncio.get_running_loop().time
        while True:
            now = clock()
            for endpoint in self.random.choices(host.placement.endpoints(), k=ANSWERS_PER_S):
                endpoint.record_rate_limit(None, now, now)
            host.dispatch.crash_guard.watch.apply_begun([self._draw_part()], now, now)
            await asyncio.sleep(self.random.uniform(0.5, 1.5))

    def _draw_part(self) -> str:
        return f"{self.random.randrange(PROMPT_PARTS):016x}"

    async def replace(self, count: int, steps: int, interval_s: float) -> None:
        """Replace endpoints, so many at a time; those that leave say so."""
        for _ in range(steps):
            leaving, self.endpoints = self.endpoints[:count], self.endpoints[count:]
            self._start_endpoints(count)
            await asyncio.sleep(interval_s / 2)
            for name in leaving:
                self._write(name, is_leaving=True)
                self._left_at[name] = asyncio.get_running_loop().time()
            await asyncio.sleep(interval_s / 2)

    async def crash(self, count: int) -> None:
        """Crash endpoints, which start again at once under new ids."""
        crashed, self.endpoints = self.endpoints[-count:], self.endpoints[:-count]
        for name in crashed:
            for host in self.random.sample(self.hosts, min(len(self.hosts), HOSTS_PER_CRASH)):
                self._record_crash(host, name)
        self._start_endpoints(count)
        await asyncio.sleep(SILENCE_S)
        for name in crashed:
            self.log.append(name, None)

    def _record_crash(self, host: RolloutHost, name: str) -> None:
        """Let a host lose a request at an endpoint that has ended."""
        now = asyncio.get_running_loop().time()
        endpoint = host.placement.find(name)
        if endpoint is None:
            return
        start = EndpointStart(name, endpoint.record.started_ms)
        watch = host.dispatch.crash_guard.watch
        watch.record_sent(name, start, [self._draw_part() for _ in range(3)])
        watch.record_closed(name, True, now)
        watch.record_ended(start, now)

    def _start_endpoints(self, count: int) -> None:
        for _ in range(count):
            name = self._name_endpoint()
            self.endpoints.append(name)
            self._start(self._warm_up(name))

    async def _warm_up(self, name: str) -> None:
        """Write the records of an endpoint until it is warm."""
        left_s = WARM_UP_S
        while left_s > 0.0 and name not in self._left_at:
            self._write(name, left_s)
            await asyncio.sleep(HEARTBEAT_S * self.random.uniform(0.9, 1.1))
            left_s -= HEARTBEAT_S

    def _name_endpoint(self) -> str:
        self._started += 1
        return f"i-{self._started:010x}"

    def _write(self, name: str, warm_up_s: float = 0.0, is_leaving: bool = False) -> None:
        number = int(name[2:], 16)
        record = {
            "service": SERVICE,
            "address": f"10.1.{number // 250}.{number % 250}:8540",
            "zone": ZONE,
            "version": "v1",
            "slots": SLOTS,
            "phase": "draining" if is_leaving else "ready",
            "coldLeftMs": int(1000 * warm_up_s),
            "stage": "unified",
            "models": [{"name": "larch-9048", "version": 1, "adapters": []}],
            "born": 1_700_000_000_000 + number,
            "sequence": len(self.log.entries),
        }
        self.log.append(name, json.dumps(record).encode())

    async def _watch(self) -> None:
        pending: dict[tuple[str, str], float] = {}
        known: set[str] = set()
        while True:
            now = asyncio.get_running_loop().time()
            for name in self._left_at.keys() - known:
                known.add(name)
                for host in self.hosts:
                    if not self.stores[host.address].is_cut:
                        pending[name, host.address] = self._left_at[name]
            by_address = {host.address: host for host in self.hosts}
            for name, address in list(pending):
                endpoint = by_address[address].placement.find(name)
                if endpoint is None or endpoint.record.is_leaving:
                    self.delays.append(now - pending.pop((name, address)))
            self.pending = pending
            await asyncio.sleep(POLL_INTERVAL_S)

    def longest_delay_s(self) -> float:
        """Return the longest time for which a host listed an endpoint that had left."""
        return float("inf") if self.pending else max(self.delays)

    def _start(self, work) -> None:  # type: ignore[no-untyped-def]
        self._tasks.append(asyncio.get_running_loop().create_task(work))
