"""Claims and bills: what they add to a call, and what they cost the log and a host.

Latencies are real: six hosts' claim keepers in this process, messages between
them 4 ms one way, and the stand-in log in a process of its own, 20 ms an append.
The slopes over hosts run in virtual time, where only counts and bytes matter.
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
HOSTS = 6
ZONES = 3
LINK_S = 0.004
APPEND_S = 0.02
RATES_PER_HOST = (1, 10, 100)
WINDOW_S = 6.0
WARM_UP_S = 1.5
SIZES = (6, 24, 96, 390)
CLAIMS_WINDOW_S = 5.0
# Several batches of the largest fleet, whose hosts append every 6.5 s.
BILLS_WINDOW_S = 20
# The log takes several hundred appends a second in all; claims may have this share.
MAX_APPENDS_PER_S = 160.0
BILLS = 50_000
# The bills of the two hours that a fold remembers ids for: 12 a second over 16
# shards make 5,400 today; the two-year size's 3,500 a second make 1.6 million.
SNAPSHOT_BILLS = 400_000
SNAPSHOT_BATCH = 100
# 10% of 3,500 calls a second, over 32 shards, in an hour.
SNAPSHOT_KEYS = 39_400
SNAPSHOT_KEYS_S = 3500.0
CLAIMS_STREAM = stream_of(0)
REMEMBERED_S = 7000.0
ANSWER = b'{"done": "correct", "record": "4711", "state": "paid"}'
FINGERPRINT = bytes(16)


class CountingLog:
    """A log in memory, in virtual time, that counts appends and their bytes by stream."""

    def __init__(self) -> None:
        self.memory = MemoryLog()
        self.appends = 0
        self.stream_bytes: dict[str, int] = {}

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        await asyncio.sleep(APPEND_S)
        self.appends += 1
        self.stream_bytes[stream] = self.stream_bytes.get(stream, 0) + len(data)
        return self.memory.append(stream, data)

    async def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
        await asyncio.sleep(APPEND_S)
        return self.memory.read(stream, from_offset, limit)


class CountingPeers(MemoryPeers):
    """Peers that count the bytes which a host sends."""

    sent_bytes = 0

    async def ask(self, peer: str, kind: str, payload: bytes, timeout_s: float):
        """Send one message to a peer and wait for its answer."""
        answer = await super().ask(peer, kind, payload, timeout_s)
        self.sent_bytes += len(payload)
        return answer


@dataclass
class Load:
    """What one run of claims gave."""

    latencies_s: list[float]
    appends_per_s: float
    cpu_us_per_claim: float


def make_peers(count: int) -> list[CountingPeers]:
    network = MemoryPeerNetwork(LINK_S)
    return [
        CountingPeers(network, Peer(f"h{n:03d}", f"zone-{n % ZONES}", "local", 1))
        for n in range(count)
    ]


async def run_operation(keeper: ClaimManager, peers: Peers, key: str) -> float:
    """Claim a key, and settle its outcome; return the seconds that the claim took."""
    loop = asyncio.get_running_loop()
    claim = Claim(key, "shop", key, FINGERPRINT, peers.me.name, peers.me.incarnation, time.time())
    began = loop.time()
    verdict = await keeper.claim(claim, 5.0)
    took_s = loop.time() - began
    if not isinstance(verdict, Won):
        raise RuntimeError(f"a claim without a rival was not won: {verdict}")
    answer = make_ran_result(200, "application/json", ANSWER)
    keeper.settle(Outcome(claim.id, claim.account, claim.key, answer))
    return took_s


async def offer(keepers: list[ClaimManager], peers: list, rate: float, window_s: float, tag: str):
    """Offer operations at a rate to each host; return the claims' latencies."""
    loop = asyncio.get_running_loop()
    source = random.Random(tag)
    began = loop.time()
    tasks = []
    for number in range(int(rate * window_s * len(keepers))):
        at = began + number / (rate * len(keepers))
        await asyncio.sleep(max(0.0, at - loop.time()))
        which = source.randrange(len(keepers))
        key = f"{tag}-{number}"
        tasks.append(asyncio.create_task(run_operation(keepers[which], peers[which], key)))
    return list(await asyncio.gather(*tasks))


async def measure_real(rate: float, log: HttpLog, pool: ThreadPoolExecutor) -> Load:
    loop = asyncio.get_running_loop()

    async def run(call, *arguments):
        return await loop.run_in_executor(pool, call, *arguments)

    peers = make_peers(HOSTS)
    keepers = [ClaimManager(p, ThreadedLog(log, run), loop.time, time.time) for p in peers]
    await offer(keepers, peers, rate, WARM_UP_S, f"warm-{rate}")
    appends, cpu_s, began = total_appends(keepers), time.process_time(), loop.time()
    latencies = await offer(keepers, peers, rate, WINDOW_S, f"run-{rate}")
    elapsed_s, cpu_s = loop.time() - began, time.process_time() - cpu_s
    per_s = (total_appends(keepers) - appends) / elapsed_s
    for keeper in keepers:
        await keeper.drain()
    return Load(latencies, per_s, cpu_s / len(latencies) * 1e6)


def total_appends(keepers: list[ClaimManager]) -> int:
    return sum(keeper.append_count for keeper in keepers)


async def measure_claims_at(size: int) -> tuple[float, float, float]:
    """Return appends a second, bytes a second of the busiest stream, and CPU a claim."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    peers = make_peers(size)
    keepers = [ClaimManager(p, log, loop.time, time.time) for p in peers]
    began, cpu_s = loop.time(), time.process_time()
    latencies = await offer(keepers, peers, 1.0, CLAIMS_WINDOW_S, f"size-{size}")
    cpu_s = time.process_time() - cpu_s
    elapsed_s = loop.time() - began
    busiest = max(log.stream_bytes.values()) / elapsed_s
    return log.appends / elapsed_s, busiest, cpu_s / len(latencies) * 1e6


async def measure_bills_at(size: int) -> tuple[float, float, float]:
    """Return appends a second, bytes a second that a host sends, and CPU a bill."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    peers = make_peers(size)
    keepers = [BillReplicator(p, log, loop.time, time.time) for p in peers]
    began, cpu_s, count = loop.time(), time.process_time(), 0
    for second in range(BILLS_WINDOW_S):
        bills = [
            keeper.replicate(Bill(f"req-{second:016x}{n:016x}", "borough-north", "larch:1", 0.0123))
            for n, keeper in enumerate(keepers)
        ]
        count += len(bills)
        await asyncio.gather(*bills)
        await asyncio.gather(*(keeper.run_round() for keeper in keepers))
        await asyncio.sleep(max(0.0, began + second + 1 - loop.time()))
    cpu_us = (time.process_time() - cpu_s) / count * 1e6
    elapsed_s = loop.time() - began
    sent = sum(p.sent_bytes for p in peers) + sum(log.stream_bytes.values())
    return log.appends / elapsed_s, sent / size / elapsed_s, cpu_us


def make_bill(number: int) -> Bill:
    return Bill(f"req-{number:032x}", "borough-north", "larch:1", number / 7, number / 3)


async def measure_bill_memory() -> float:
    """Return the bytes of memory of an open bill at its host."""
    loop = asyncio.get_running_loop()
    keeper = BillReplicator(make_peers(1)[0], CountingLog(), loop.time, time.time)
    gc.collect()
    tracemalloc.start()
    for number in range(BILLS):
        keeper.open_bill(make_bill(number))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / BILLS


def measure_bill_snapshot() -> list[Figure]:
    """Fold bills of ten accounts, ten items and some days, and take their snapshot."""
    totals = BillTotals()
    batches = [
        encode_bills(
            [
                Bill(
                    f"req-{n:032x}",
                    f"account-{n % 10}",
                    f"larch:{n // 10 % 10}",
                    0.1,
                    n * REMEMBERED_S / SNAPSHOT_BILLS,
                )
                for n in range(start, start + SNAPSHOT_BATCH)
            ]
        )
        for start in range(0, SNAPSHOT_BILLS, SNAPSHOT_BATCH)
    ]
    gc.collect()
    tracemalloc.start()
    for offset, batch in enumerate(batches):
        totals.fold(Entry(offset, batch))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    totals = BillTotals()
    for offset, batch in enumerate(batches):
        totals.fold(Entry(offset, batch))
    fold_s = time.process_time() - began
    began = time.process_time()
    whole = totals.take_snapshot(0.0)
    take_s = time.process_time() - began
    began = time.process_time()
    restored = BillTotals.restore(whole)
    restore_s = time.process_time() - began
    if restored is None or restored.take_snapshot(0.0) != whole:
        raise RuntimeError("a snapshot did not give the state that it was taken of")
    millions = SNAPSHOT_BILLS / 1e6
    return [
        Figure("bill_fold", fold_s / millions, "us/bill"),
        Figure("bill_fold_memory", used / SNAPSHOT_BILLS, "bytes/id"),
        Figure("bill_snapshot_size", len(whole.data) / SNAPSHOT_BILLS, "bytes/id"),
        Figure("bill_snapshot_parts", -(-len(whole.data) // MAX_PART_BYTES), "appends"),
        Figure("bill_snapshot_take", take_s * 1000, "ms"),
        Figure("bill_snapshot_restore", restore_s * 1000, "ms"),
    ]


def measure_signing() -> list[Figure]:
    """Sign and check records of the size of a batch, and of a part of a snapshot."""
    figures = []
    for name, size, rounds in (("batch", 1000, 20_000), ("part", MAX_PART_BYTES, 500)):
        memory = MemoryLog()
        log = SignedLog(memory, LogKeys((b"a-key-of-the-hosts",)), print)
        data, plain = bytes(size), MemoryLog()
        for step, ours, other in (
            ("sign", log.append, plain.append),
            ("check", log.read, plain.read),
        ):
            last = ("s", data) if step == "sign" else ("s", 0, 1)
            took_us = []
            for call in (ours, other):
                began = time.process_time()
                for _ in range(rounds):
                    call(*last)
                took_us.append((time.process_time() - began) / rounds * 1e6)
            figures.append(Figure(f"record_{step}_{name}", took_us[0], "us", baseline=took_us[1]))
    return figures


async def measure_claim_snapshot() -> list[Figure]:
    """Write the snapshot of a shard at the two-year size, and start a host from it."""
    loop = asyncio.get_running_loop()
    log = CountingLog()
    wall_s = [0.0]
    owner = Shard(0, log, loop.time, lambda: wall_s[0])
    answer = make_ran_result(200, "application/json", ANSWER)
    for first in range(0, SNAPSHOT_KEYS, SNAPSHOT_BATCH):
        keys = [f"{n:032x}" for n in range(first, first + SNAPSHOT_BATCH)]
        at = 1e6 + first * SNAPSHOT_KEYS_S / SNAPSHOT_KEYS
        claims = [Claim(f"req-{k}", "shop", k, FINGERPRINT, "a1", 1, at) for k in keys]
        outcomes = [Outcome(c.id, c.account, c.key, answer) for c in claims]
        log.memory.append(CLAIMS_STREAM, encode_batch([*claims, *outcomes]))
    await owner.refresh()
    wall_s[0], before = 1e6, log.appends
    cpu_s = time.process_time()
    owner.write_snapshot_if_due()
    take_s = time.process_time() - cpu_s
    while log.appends - before < owner.append_count:
        await asyncio.sleep(1.0)
    log.memory.truncate(CLAIMS_STREAM, owner.fold.next_offset)
    newcomer = Shard(0, log, loop.time, lambda: wall_s[0])
    cpu_s, began = time.process_time(), loop.time()
    await newcomer.refresh()
    if newcomer.fold.key_count != owner.fold.key_count:
        raise RuntimeError("a start from the snapshot lacks keys")
    return [
        Figure("claim_snapshot_keys", owner.fold.key_count, "keys"),
        Figure("claim_snapshot_bytes", log.stream_bytes[CLAIMS_STREAM], "bytes"),
        Figure("claim_snapshot_appends", log.appends - before, "appends"),
        Figure("claim_snapshot_take", take_s * 1000, "ms of the owner's loop"),
        Figure("claim_snapshot_start", (time.process_time() - cpu_s) * 1000, "ms of processor"),
        Figure("claim_snapshot_reads", round((loop.time() - began) / APPEND_S), "reads"),
    ]


def measure_latencies() -> list[Figure]:
    log_process = StandInProcess("log")
    log_process.spawn()
    try:
        log_process.wait()
        log_process.set_faults(append_delay_s=APPEND_S)
        with ThreadPoolExecutor(64) as pool:
            loads = {
                rate: asyncio.run(measure_real(rate, HttpLog(log_process.address), pool))
                for rate in RATES_PER_HOST
            }
    finally:
        log_process.kill()
    figures = []
    for rate, load in loads.items():
        name = f"claim_{rate}_per_host_s"
        median_ms = statistics.median(load.latencies_s) * 1000
        p99_ms = statistics.quantiles(load.latencies_s, n=100)[98] * 1000
        holds = load.appends_per_s <= MAX_APPENDS_PER_S
        figures += [
            Figure(f"{name}_median", median_ms, "ms", baseline=0.0),
            Figure(f"{name}_p99", p99_ms, "ms", baseline=0.0),
            Figure(
                f"{name}_appends",
                load.appends_per_s,
                "appends/s",
                baseline=2.0 * rate * HOSTS,
                target=f"at most {MAX_APPENDS_PER_S:.0f}; the baseline is two a call",
                holds=holds,
            ),
            Figure(f"{name}_cpu", load.cpu_us_per_claim, "us/claim, all hosts together"),
        ]
    return figures


def make_slopes() -> list[Slope]:
    claims = {size: run_virtual(measure_claims_at(size)) for size in SIZES}
    bills = {size: run_virtual(measure_bills_at(size)) for size in SIZES}
    rows = [
        ("claims_appends", "appends/s at 1 keyed call/s a host", claims, 0),
        ("claims_busiest_stream", "bytes/s at 1 keyed call/s a host", claims, 1),
        ("claims_cpu", "us/call, all hosts together", claims, 2),
        ("bills_appends", "appends/s at 1 bill/s a host", bills, 0),
        ("bills_sent", "bytes/s a host at 1 bill/s a host", bills, 1),
        ("bills_cpu", "us/bill, all hosts together", bills, 2),
    ]
    return [
        Slope(name, "hosts", unit, tuple((float(n), got[n][i]) for n in SIZES), COMMAND)
        for name, unit, got, i in rows
    ]


def main() -> int:
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
