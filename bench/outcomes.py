"""Benchmarks claims and bills: added latency of a call, and cost for the log and for hosts.

Latencies are measured in real time: claim managers of six hosts in this process, a
message delay of 4 ms one way, and the log stand-in in a separate process with 20 ms per
append. The slopes over hosts run in virtual time, where only counts and bytes matter.
"""

import asyncio
import gc
import random
import statistics
import sys
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bench.figures import Figure, Slope, report
from poplarrun.billing import Bill, BillReplicator, encode_bills
from poplarrun.billing._totals import BillTotals
from poplarrun.claims import (
    Claim,
    ClaimManager,
    Outcome,
    Won,
    encode_batch,
    make_ran_result,
    stream_of,
)
from poplarrun.claims._shard import Shard
from poplarrun.clients import HttpLog
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer, Peers
from poplarrun.log import (
    MAX_PART_BYTES,
    AppendOutcome,
    Entry,
    LogKeys,
    MemoryLog,
    ReadOutcome,
    SignedLog,
    ThreadedLog,
)
from standins.fleet import StandInProcess
from standins.histories import run_virtual

COMMAND = "python -m bench.outcomes"
HOST_COUNT = 6
ZONE_COUNT = 3
LINK_DELAY_S = 0.004
APPEND_DELAY_S = 0.02
RATES_PER_HOST = (1, 10, 100)
MEASUREMENT_WINDOW_S = 6.0
WARM_UP_S = 1.5
FLEET_SIZES = (6, 24, 96, 390)
CLAIMS_WINDOW_S = 5.0
# Covers several batches of the largest fleet, whose hosts append every 6.5 s.
BILLS_WINDOW_S = 20
# The log handles several hundred appends per second in total; this is the budget of claims.
MAX_APPENDS_PER_S = 160.0
BILL_COUNT = 50_000
# A fold remembers the ids of the bills of two hours. Over 16 shards, today's 12 bills per
# second make 5,400; the 3,500 per second expected in two years make 1.6 million.
SNAPSHOT_BILL_COUNT = 400_000
SNAPSHOT_BATCH_SIZE = 100
# Keys of one shard of 32 in an hour, at 10% of 3,500 calls per second.
SNAPSHOT_KEY_COUNT = 39_400
SNAPSHOT_KEYS_WINDOW_S = 3500.0
CLAIMS_STREAM = stream_of(0)
BILLS_SPAN_S = 7000.0
ANSWER = b'{"done": "correct", "record": "4711", "state": "paid"}'
FINGERPRINT = bytes(16)


class CountingLog:
    """An in-memory log in virtual time that counts appends, and their bytes by stream."""

    def __init__(self) -> None:
        self.memory = MemoryLog()
        self.appends = 0
        self.stream_bytes: dict[str, int] = {}

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        await asyncio.sleep(APPEND_DELAY_S)
        self.appends += 1
        self.stream_bytes[stream] = self.stream_bytes.get(stream, 0) + len(data)
        return self.memory.append(stream, data)

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        await asyncio.sleep(APPEND_DELAY_S)
        return self.memory.read(stream, from_offset, limit)


class CountingPeers(MemoryPeers):
    """Peers that count the payload bytes that a host sends."""

    sent_bytes = 0

    async def ask(self, peer: str, kind: str, payload: bytes, timeout_s: float):
        """Send one message to a peer and wait for its answer."""
        answer = await super().ask(peer, kind, payload, timeout_s)
        self.sent_bytes += len(payload)
        return answer


@dataclass
class ClaimRun:
    """Results of one run of claims in real time."""

    latencies_s: list[float]
    appends_per_s: float
    cpu_us_per_claim: float


def make_peers(count: int) -> list[CountingPeers]:
    """Return the peers of ``count`` hosts."""
    network = MemoryPeerNetwork(LINK_DELAY_S)
    return [
        CountingPeers(network, Peer(f"h{n:03d}", f"zone-{n % ZONE_COUNT}", "local", 1))
        for n in range(count)
    ]


async def run_operation(manager: ClaimManager, peers: Peers, key: str) -> float:
    """Claim a key and settle its outcome; return the duration of the claim in seconds."""
    loop = asyncio.get_running_loop()
    claim = Claim(key, "shop", key, FINGERPRINT, peers.me.name, peers.me.incarnation, time.time())
    started_at = loop.time()
    verdict = await manager.claim(claim, 5.0)
    took_s = loop.time() - started_at
    if not isinstance(verdict, Won):
        raise RuntimeError(f"a claim without competitors was not won: {verdict}")
    answer = make_ran_result(200, "application/json", ANSWER)
    manager.settle(Outcome(claim.id, claim.account, claim.key, answer))
    return took_s


async def run_operations(
    managers: list[ClaimManager], peers: list, rate: float, window_s: float, tag: str
):
    """Run operations at a rate per host; return the latencies of their claims in seconds."""
    loop = asyncio.get_running_loop()
    rng = random.Random(tag)
    started_at = loop.time()
    tasks = []
    for number in range(int(rate * window_s * len(managers))):
        at = started_at + number / (rate * len(managers))
        await asyncio.sleep(max(0.0, at - loop.time()))
        host_index = rng.randrange(len(managers))
        key = f"{tag}-{number}"
        tasks.append(
            asyncio.create_task(run_operation(managers[host_index], peers[host_index], key))
        )
    return list(await asyncio.gather(*tasks))


async def measure_claims(rate: float, log: HttpLog, pool: ThreadPoolExecutor) -> ClaimRun:
    """Return the results of claims at a rate per host, in real time."""
    loop = asyncio.get_running_loop()

    async def run(call, *arguments):
        return await loop.run_in_executor(pool, call, *arguments)

    peers = make_peers(HOST_COUNT)
    managers = [ClaimManager(p, ThreadedLog(log, run), loop.time, time.time) for p in peers]
    await run_operations(managers, peers, rate, WARM_UP_S, f"warm-{rate}")
    appends, cpu_s, started_at = total_appends(managers), time.process_time(), loop.time()
    latencies = await run_operations(managers, peers, rate, MEASUREMENT_WINDOW_S, f"run-{rate}")
    elapsed_s, cpu_s = loop.time() - started_at, time.process_time() - cpu_s
    per_s = (total_appends(managers) - appends) / elapsed_s
    for manager in managers:
        await manager.drain()
    return ClaimRun(latencies, per_s, cpu_s / len(latencies) * 1e6)


def total_appends(managers: list[ClaimManager]) -> int:
    """Return the number of appends of all claim managers."""
    return sum(manager.append_count for manager in managers)


async def measure_claims_at(size: int) -> tuple[float, float, float]:
    """Return appends per second, bytes per second of the busiest stream, and CPU us per claim."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    peers = make_peers(size)
    managers = [ClaimManager(p, log, loop.time, time.time) for p in peers]
    started_at, cpu_s = loop.time(), time.process_time()
    latencies = await run_operations(managers, peers, 1.0, CLAIMS_WINDOW_S, f"size-{size}")
    cpu_s = time.process_time() - cpu_s
    elapsed_s = loop.time() - started_at
    busiest_bytes_per_s = max(log.stream_bytes.values()) / elapsed_s
    return log.appends / elapsed_s, busiest_bytes_per_s, cpu_s / len(latencies) * 1e6


async def measure_bills_at(size: int) -> tuple[float, float, float]:
    """Return appends per second, bytes per second that a host sends, and CPU us per bill."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    peers = make_peers(size)
    managers = [BillReplicator(p, log, loop.time, time.time) for p in peers]
    started_at, cpu_s, count = loop.time(), time.process_time(), 0
    for second in range(BILLS_WINDOW_S):
        bills = [
            manager.replicate(
                Bill(f"req-{second:016x}{n:016x}", "borough-north", "larch:1", 0.0123)
            )
            for n, manager in enumerate(managers)
        ]
        count += len(bills)
        await asyncio.gather(*bills)
        await asyncio.gather(*(manager.run_round() for manager in managers))
        await asyncio.sleep(max(0.0, started_at + second + 1 - loop.time()))
    cpu_us = (time.process_time() - cpu_s) / count * 1e6
    elapsed_s = loop.time() - started_at
    sent = sum(p.sent_bytes for p in peers) + sum(log.stream_bytes.values())
    return log.appends / elapsed_s, sent / size / elapsed_s, cpu_us


def make_bill(number: int) -> Bill:
    """Return a distinct bill for each number."""
    return Bill(f"req-{number:032x}", "borough-north", "larch:1", number / 7, number / 3)


async def measure_bill_memory() -> float:
    """Return the memory of an open bill at its host, in bytes."""
    loop = asyncio.get_running_loop()
    manager = BillReplicator(make_peers(1)[0], CountingLog(), loop.time, time.time)
    gc.collect()
    tracemalloc.start()
    for number in range(BILL_COUNT):
        manager.open_bill(make_bill(number))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / BILL_COUNT


def measure_bill_snapshot() -> list[Figure]:
    """Measure folding bills of ten accounts and ten items, and their snapshot."""
    totals = BillTotals()
    batches = [
        encode_bills(
            [
                Bill(
                    f"req-{n:032x}",
                    f"account-{n % 10}",
                    f"larch:{n // 10 % 10}",
                    0.1,
                    n * BILLS_SPAN_S / SNAPSHOT_BILL_COUNT,
                )
                for n in range(start, start + SNAPSHOT_BATCH_SIZE)
            ]
        )
        for start in range(0, SNAPSHOT_BILL_COUNT, SNAPSHOT_BATCH_SIZE)
    ]
    gc.collect()
    tracemalloc.start()
    for offset, batch in enumerate(batches):
        totals.fold(Entry(offset, batch))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.process_time()
    totals = BillTotals()
    for offset, batch in enumerate(batches):
        totals.fold(Entry(offset, batch))
    fold_s = time.process_time() - started_at
    started_at = time.process_time()
    snapshot = totals.take_snapshot(0.0)
    take_s = time.process_time() - started_at
    started_at = time.process_time()
    restored = BillTotals.restore(snapshot)
    restore_s = time.process_time() - started_at
    if restored is None or restored.take_snapshot(0.0) != snapshot:
        raise RuntimeError("the state restored from a snapshot differs from the original")
    millions = SNAPSHOT_BILL_COUNT / 1e6
    return [
        Figure("bill_fold", fold_s / millions, "us/bill"),
        Figure("bill_fold_memory", allocated_bytes / SNAPSHOT_BILL_COUNT, "bytes/id"),
        Figure("bill_snapshot_size", len(snapshot.data) / SNAPSHOT_BILL_COUNT, "bytes/id"),
        Figure("bill_snapshot_parts", -(-len(snapshot.data) // MAX_PART_BYTES), "appends"),
        Figure("bill_snapshot_take", take_s * 1000, "ms"),
        Figure("bill_snapshot_restore", restore_s * 1000, "ms"),
    ]


def measure_signing() -> list[Figure]:
    """Measure signing and checking records of the size of a batch and of a snapshot part."""
    figures = []
    for name, size, rounds in (("batch", 1000, 20_000), ("part", MAX_PART_BYTES, 500)):
        memory = MemoryLog()
        log = SignedLog(memory, LogKeys((b"a-key-of-the-hosts",)), print)
        data, plain = bytes(size), MemoryLog()
        for step, signed_call, plain_call in (
            ("sign", log.append, plain.append),
            ("check", log.read, plain.read),
        ):
            arguments = ("s", data) if step == "sign" else ("s", 0, 1)
            times_us = []
            for call in (signed_call, plain_call):
                started_at = time.process_time()
                for _ in range(rounds):
                    call(*arguments)
                times_us.append((time.process_time() - started_at) / rounds * 1e6)
            figures.append(Figure(f"record_{step}_{name}", times_us[0], "us", baseline=times_us[1]))
    return figures


async def measure_claim_snapshot() -> list[Figure]:
    """Measure writing the snapshot of a shard at the size of two years, and starting from it."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    wall_s = [0.0]
    owner = Shard(0, log, loop.time, lambda: wall_s[0])
    answer = make_ran_result(200, "application/json", ANSWER)
    for first in range(0, SNAPSHOT_KEY_COUNT, SNAPSHOT_BATCH_SIZE):
        keys = [f"{n:032x}" for n in range(first, first + SNAPSHOT_BATCH_SIZE)]
        at = 1e6 + first * SNAPSHOT_KEYS_WINDOW_S / SNAPSHOT_KEY_COUNT
        claims = [Claim(f"req-{k}", "shop", k, FINGERPRINT, "a1", 1, at) for k in keys]
        outcomes = [Outcome(c.id, c.account, c.key, answer) for c in claims]
        log.memory.append(CLAIMS_STREAM, encode_batch([*claims, *outcomes]))
    await owner.refresh()
    wall_s[0], appends_before = 1e6, log.appends
    cpu_s = time.process_time()
    owner.write_snapshot_if_due()
    take_s = time.process_time() - cpu_s
    while log.appends - appends_before < owner.append_count:
        await asyncio.sleep(1.0)
    log.memory.truncate(CLAIMS_STREAM, owner.fold.next_offset)
    restarted = Shard(0, log, loop.time, lambda: wall_s[0])
    cpu_s, started_at = time.process_time(), loop.time()
    await restarted.refresh()
    if restarted.fold.key_count != owner.fold.key_count:
        raise RuntimeError("the fold started from the snapshot lacks keys")
    return [
        Figure("claim_snapshot_keys", owner.fold.key_count, "keys"),
        Figure("claim_snapshot_bytes", log.stream_bytes[CLAIMS_STREAM], "bytes"),
        Figure("claim_snapshot_appends", log.appends - appends_before, "appends"),
        Figure("claim_snapshot_take", take_s * 1000, "ms of the owner's loop"),
        Figure("claim_snapshot_start", (time.process_time() - cpu_s) * 1000, "ms of processor"),
        Figure("claim_snapshot_reads", round((loop.time() - started_at) / APPEND_DELAY_S), "reads"),
    ]


def measure_latencies() -> list[Figure]:
    """Measure latency, appends and CPU of claims at several rates."""
    log_process = StandInProcess("log")
    log_process.spawn()
    try:
        log_process.wait()
        log_process.set_faults(append_delay_s=APPEND_DELAY_S)
        with ThreadPoolExecutor(64) as pool:
            runs = {
                rate: asyncio.run(measure_claims(rate, HttpLog(log_process.address), pool))
                for rate in RATES_PER_HOST
            }
    finally:
        log_process.kill()
    figures = []
    for rate, claim_run in runs.items():
        name = f"claim_{rate}_per_host_s"
        median_ms = statistics.median(claim_run.latencies_s) * 1000
        p99_ms = statistics.quantiles(claim_run.latencies_s, n=100)[98] * 1000
        holds = claim_run.appends_per_s <= MAX_APPENDS_PER_S
        figures += [
            Figure(f"{name}_median", median_ms, "ms", baseline=0.0),
            Figure(f"{name}_p99", p99_ms, "ms", baseline=0.0),
            Figure(
                f"{name}_appends",
                claim_run.appends_per_s,
                "appends/s",
                baseline=2.0 * rate * HOST_COUNT,
                target=f"at most {MAX_APPENDS_PER_S:.0f}; the baseline is two a call",
                holds=holds,
            ),
            Figure(f"{name}_cpu", claim_run.cpu_us_per_claim, "us/claim, all hosts together"),
        ]
    return figures


def make_slopes() -> list[Slope]:
    """Measure the cost of claims and bills by number of hosts."""
    claims = {size: run_virtual(measure_claims_at(size)) for size in FLEET_SIZES}
    bills = {size: run_virtual(measure_bills_at(size)) for size in FLEET_SIZES}
    rows = [
        ("claims_appends", "appends/s at 1 keyed call/s a host", claims, 0),
        ("claims_busiest_stream", "bytes/s at 1 keyed call/s a host", claims, 1),
        ("claims_cpu", "us/call, all hosts together", claims, 2),
        ("bills_appends", "appends/s at 1 bill/s a host", bills, 0),
        ("bills_sent", "bytes/s a host at 1 bill/s a host", bills, 1),
        ("bills_cpu", "us/bill, all hosts together", bills, 2),
    ]
    return [
        Slope(name, "hosts", unit, tuple((float(n), results[n][i]) for n in FLEET_SIZES), COMMAND)
        for name, unit, results, i in rows
    ]


def main() -> int:
    """Run the benchmark; return the exit code."""
    figures = measure_latencies()
    batch = encode_bills([make_bill(number) for number in range(1000)])
    figures.append(Figure("bill_in_log", len(batch) / 1000, "bytes"))
    figures.append(Figure("bill_in_memory", run_virtual(measure_bill_memory()), "bytes"))
    figures += measure_signing()
    figures += measure_bill_snapshot()
    figures += run_virtual(measure_claim_snapshot())
    return report("outcomes", figures, make_slopes())


if __name__ == "__main__":
    sys.exit(main())
