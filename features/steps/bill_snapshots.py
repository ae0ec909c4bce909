import asyncio
import itertools
import random

from behave import given, then, when

import poplarrun.log._snapshot_parts as parts_module
from poplarrun.billing import (
    SHARDS,
    Bill,
    BillFold,
    BillReplicator,
    BillSnapshots,
    encode_bills,
    read_statement,
    stream_of,
)
from poplarrun.billing._totals import BillTotals
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.log import MemoryLog, SnapshotAssembler, ThreadedLog, call_inline, split_snapshot
from standins.histories import run_virtual

START_S = 1_000_000.0
DAYS_S = 3 * 86400.0
HOURS_S = 7 * 3600.0
# Repeats come within this many records, fewer than the fold remembers.
RECENT_RECORDS = 500


def set_part_bytes(context, size):
    context.add_cleanup(setattr, parts_module, "MAX_PART_BYTES", parts_module.MAX_PART_BYTES)
    parts_module.MAX_PART_BYTES = size


def make_writer(context, name="a1"):
    """Return a writer that sees no other host, and therefore owns every shard."""
    peers = MemoryPeers(MemoryPeerNetwork(), Peer(name, "a", "r", 1))
    return BillSnapshots(
        peers,
        ThreadedLog(context.bill_log, call_inline),
        lambda: context.wall,
        lambda: context.wall,
    )


def start_log(context):
    set_part_bytes(context, 500)
    context.bill_log = MemoryLog()
    context.wall = START_S
    context.bills = []


def make_bill(number, at):
    return Bill(f"r{number}", "shop", f"larch:{number % 3}", 0.1 * number, at)


def append(context, bill):
    context.bills.append(bill)
    context.bill_log.append(stream_of(0), encode_bills([bill]))


def read_entries(context):
    return context.bill_log.read(stream_of(0), 0, 10**6).entries


def list_complete_snapshots(context):
    assembler = SnapshotAssembler()
    found = (assembler.add(entry) for entry in read_entries(context))
    return [snapshot for snapshot in found if snapshot is not None]


def read_now(context):
    return read_statement(context.bill_log, "shop", START_S)


@given(
    "{count:d} bills over 3 days with repeats in one stream, and snapshots between, "
    "with seed {seed:d}"
)
def step_bills_over_days(context, count, seed):
    start_log(context)
    source = random.Random(seed)
    writer = make_writer(context)
    for number in range(count):
        bill = make_bill(number, START_S + number * DAYS_S / count)
        if source.random() < 0.2:
            append(context, Bill(bill.id, "shop", "begun", 0.01, bill.at, is_final=False))
        append(context, bill)
        if source.random() < 0.3:
            append(context, source.choice(context.bills[-RECENT_RECORDS:]))
        if number % (count // 5) == count // 10:
            context.wall += HOURS_S
            run_virtual(writer.write_due_snapshots())
    fold = BillFold()
    for entry in read_entries(context):
        fold.fold(entry)
    assert abs(read_now(context).total - sum(b.amount for b in fold.list_bills())) < 1e-3


@given("two hosts that write snapshots of a busy stream at once")
def step_two_writers(context):
    start_log(context)
    for number in range(200):
        append(context, make_bill(number, START_S + number))

    async def add_bills():
        for number in range(200, 300):
            append(context, make_bill(number, START_S + number))
            await asyncio.sleep(0.03)

    async def run():
        writers = [make_writer(context, name) for name in ("a1", "b1")]
        await asyncio.gather(add_bills(), *(writer.write_due_snapshots() for writer in writers))

    run_virtual(run())
    parts = [part for part in map(parts_module._decode_part, read_entries(context)) if part]
    changes = sum(
        one.snapshot_digest != other.snapshot_digest for one, other in itertools.pairwise(parts)
    )
    assert changes > 5 and len(list_complete_snapshots(context)) == 2, changes


@given("a snapshot in parts of which the last is missing, with {before} before it")
def step_interrupted(context, before):
    start_log(context)
    for number in range(100):
        append(context, make_bill(number, START_S + number))
    if before != "none":
        run_virtual(make_writer(context).write_due_snapshots())
    totals = BillTotals()
    for entry in read_entries(context):
        totals.fold(entry)
    snapshot = totals.take_snapshot(START_S)
    context.covered = snapshot.last_offset
    *parts, _ = split_snapshot(snapshot)
    assert parts
    for part in parts:
        context.bill_log.append(stream_of(0), part)


@given("a bill that reaches the log a day after its request")
def step_late_bill(context):
    start_log(context)
    for number in range(5000):
        append(context, Bill(f"r{number}", "shop", "larch:1", 0.1, START_S + 20.0 * number))
    append(context, Bill("late", "shop", "larch:1", 0.1, START_S))


@when("the log drops all records that the snapshots cover")
@when("the log drops the records before it")
def step_drop(context):
    context.before = read_now(context)
    snapshots = list_complete_snapshots(context)
    last_offset = snapshots[-1].last_offset if snapshots else context.covered
    context.bill_log.truncate(stream_of(0), last_offset + 1)


@then("the statement is as it was before")
def step_same(context):
    assert context.before.total > 0
    assert not any(context.before.missing_below)
    assert read_now(context) == context.before


@then("bills that are appended again change nothing")
def step_again(context):
    context.before = read_now(context)
    dropped = read_entries(context)[0].offset
    assert dropped > 0
    for bill in context.bills[-RECENT_RECORDS:]:
        context.bill_log.append(stream_of(0), encode_bills([bill]))
    after = read_now(context)
    assert after.lines == context.before.lines, after
    assert after.late == context.before.late


@then("the statement names the missing offset")
def step_names_missing(context):
    assert read_now(context).missing_below[0] == context.covered + 1


@then("it lists {count:d} late bill separately")
def step_late_apart(context, count):
    assert [line.count for line in read_now(context).late] == [count]


async def bill_while_hosts_are_isolated(context, names):
    """Isolate a host with a bill, then each host that takes it over, in the order of names."""
    loop = asyncio.get_running_loop()
    network = MemoryPeerNetwork()
    log = ThreadedLog(context.bill_log, call_inline)
    peers = [MemoryPeers(network, Peer(name, name[0], "r", 1)) for name in names]
    replicators = [BillReplicator(p, log, loop.time, loop.time) for p in peers]
    # The log stores what each host appends, but its answers are lost; then the host is isolated.
    context.bill_log.responses_to_lose = 10**6
    await replicators[0].replicate(make_bill(1, START_S))
    for isolated_count in range(1, len(names)):
        network.cut(names[:isolated_count], names[isolated_count:])
        for _ in range(4):
            await asyncio.gather(
                *(replicator.run_round() for replicator in replicators[isolated_count:])
            )
            await asyncio.sleep(1.0)


@given("a host and the peers that take its bill over die one after another")
def step_finishers_die(context):
    context.logs = []
    for number in range(8):
        start_log(context)
        names = [f"{zone}{number}" for zone in "abcde"]
        run_virtual(bill_while_hosts_are_isolated(context, names))
        context.logs.append(context.bill_log)


@then("all copies of the bill are in one stream")
def step_one_stream(context):
    for log in context.logs:
        ends = [log.read(stream_of(shard), 0, 1).end for shard in range(SHARDS)]
        assert sum(ends) > 1
        assert sum(end > 0 for end in ends) == 1, ends
