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

START = 1_000_000.0
DAYS_S = 3 * 86400.0
HOURS_S = 7 * 3600.0
# Repeats come within this many records, less than the fold remembers.
LATELY = 500


def set_part_bytes(context, size):
    context.add_cleanup(setattr, parts_module, "MAX_PART_BYTES", parts_module.MAX_PART_BYTES)
    parts_module.MAX_PART_BYTES = size


def make_writer(context, name="a1"):
    """Return a writer that sees no other host, so every shard is its own."""
    peers = MemoryPeers(MemoryPeerNetwork(), Peer(name, "a", "r", 1))
    return BillSnapshots(
        peers,
        ThreadedLog(context.bill_log, call_inline),
        lambda: context.wall,
        lambda: context.wall,
    )


def begin(context):
    set_part_bytes(context, 500)
    context.bill_log = MemoryLog()
    context.wall = START
    context.bills = []


def bill_of(number, at):
    return Bill(f"r{number}", "shop", f"larch:{number % 3}", 0.1 * number, at)


def append(context, bill):
    context.bills.append(bill)
    context.bill_log.append(stream_of(0), encode_bills([bill]))


def entries_of(context):
    return context.bill_log.read(stream_of(0), 0, 10**6).entries


def whole_snapshots(context):
    collector = SnapshotAssembler()
    found = (collector.add(entry) for entry in entries_of(context))
    return [whole for whole in found if whole is not None]


def read_now(context):
    return read_statement(context.bill_log, "shop", START)


@given(
    "{count:d} bills over 3 days with repeats in one stream, and snapshots between, "
    "with seed {seed:d}"
)
def step_bills_over_days(context, count, seed):
    begin(context)
    source = random.Random(seed)
    writer = make_writer(context)
    for number in range(count):
        bill = bill_of(number, START + number * DAYS_S / count)
        if source.random() < 0.2:
            append(context, Bill(bill.id, "shop", "begun", 0.01, bill.at, is_final=False))
        append(context, bill)
        if source.random() < 0.3:
            append(context, source.choice(context.bills[-LATELY:]))
        if number % (count // 5) == count // 10:
            context.wall += HOURS_S
            run_virtual(writer.write_due_snapshots())
    fold = BillFold()
    for entry in entries_of(context):
        fold.fold(entry)
    assert abs(read_now(context).total - sum(b.amount for b in fold.list_bills())) < 1e-3


@given("two hosts that write snapshots of a busy stream at once")
def step_two_writers(context):
    begin(context)
    for number in range(200):
        append(context, bill_of(number, START + number))

    async def add_bills():
        for number in range(200, 300):
            append(context, bill_of(number, START + number))
            await asyncio.sleep(0.03)

    async def run():
        writers = [make_writer(context, name) for name in ("a1", "b1")]
        await asyncio.gather(add_bills(), *(writer.write_due_snapshots() for writer in writers))

    run_virtual(run())
    parts = [part for part in map(parts_module._decode_part, entries_of(context)) if part]
    changes = sum(
        one.snapshot_digest != other.snapshot_digest for one, other in itertools.pairwise(parts)
    )
    assert changes > 5 and len(whole_snapshots(context)) == 2, changes


@given("a snapshot in parts of which the last is missing, with {before} before it")
def step_interrupted(context, before):
    begin(context)
    for number in range(100):
        append(context, bill_of(number, START + number))
    if before != "none":
        run_virtual(make_writer(context).write_due_snapshots())
    totals = BillTotals()
    for entry in entries_of(context):
        totals.fold(entry)
    whole = totals.take_snapshot(START)
    context.covered = whole.last_offset
    *parts, _ = split_snapshot(whole)
    assert parts
    for part in parts:
        context.bill_log.append(stream_of(0), part)


@given("a bill that reaches the log a day after it was made")
def step_late_bill(context):
    begin(context)
    for number in range(5000):
        append(context, Bill(f"r{number}", "shop", "larch:1", 0.1, START + 20.0 * number))
    append(context, Bill("late", "shop", "larch:1", 0.1, START))


@when("the log drops all records that the snapshots cover")
@when("the log drops the records before it")
def step_drop(context):
    context.before = read_now(context)
    snapshots = whole_snapshots(context)
    through = snapshots[-1].last_offset if snapshots else context.covered
    context.bill_log.truncate(stream_of(0), through + 1)


@then("the statement is as it was before")
def step_same(context):
    assert context.before.total > 0
    assert not any(context.before.missing_below)
    assert read_now(context) == context.before


@then("bills that are appended again change nothing")
def step_again(context):
    context.before = read_now(context)
    dropped = entries_of(context)[0].offset
    assert dropped > 0
    for bill in context.bills[-LATELY:]:
        context.bill_log.append(stream_of(0), encode_bills([bill]))
    after = read_now(context)
    assert after.lines == context.before.lines, after
    assert after.late == context.before.late


@then("the statement names the missing offset")
def step_names_missing(context):
    assert read_now(context).missing_below[0] == context.covered + 1


@then("it shows {count:d} late bill apart")
def step_late_apart(context, count):
    assert [line.count for line in read_now(context).late] == [count]


async def bill_while_finishers_die(context, names):
    """Cut off a host with a bill, then all that finish it, in the order of their names."""
    loop = asyncio.get_running_loop()
    network = MemoryPeerNetwork()
    log = ThreadedLog(context.bill_log, call_inline)
    peers = [MemoryPeers(network, Peer(name, name[0], "r", 1)) for name in names]
    keepers = [BillReplicator(p, log, loop.time, loop.time) for p in peers]
    # The log takes what each host appends, and its answers are lost; then it is gone.
    context.bill_log.responses_to_lose = 10**6
    await keepers[0].replicate(bill_of(1, START))
    for gone in range(1, len(names)):
        network.cut(names[:gone], names[gone:])
        for _ in range(4):
            await asyncio.gather(*(keeper.run_round() for keeper in keepers[gone:]))
            await asyncio.sleep(1.0)


@given("a host and the peers that finish its bill die one after the other")
def step_finishers_die(context):
    context.chains = []
    for number in range(8):
        begin(context)
        names = [f"{zone}{number}" for zone in "abcde"]
        run_virtual(bill_while_finishers_die(context, names))
        context.chains.append(context.bill_log)


@then("all copies of the bill stand in one stream")
def step_one_stream(context):
    for log in context.chains:
        ends = [log.read(stream_of(shard), 0, 1).end for shard in range(SHARDS)]
        assert sum(ends) > 1
        assert sum(end > 0 for end in ends) == 1, ends
