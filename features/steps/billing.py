import asyncio
import random

from behave import given, then, when

import poplarrun.billing._replicator as replicator_module
from poplarrun.billing import (
    SHARDS,
    Bill,
    BillFold,
    BillReplicator,
    decode_bills,
    encode_bills,
    read_statement,
    stream_of,
)
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.log import MemoryLog, ThreadedLog, call_inline
from standins.histories import run_virtual

NOW = 1_000_000.0
DAY_S = 86400.0


def parse_bill(text, account="shop", at=NOW):
    name, amount, *is_open = text.split()
    return Bill(name, account, "larch:1", float(amount), at, is_final=not is_open)


@given('the log holds bills "{text}"')
def step_bills(context, text):
    context.bill_log = MemoryLog()
    for part in text.split(", "):
        context.bill_log.append(stream_of(0), encode_bills([parse_bill(part)]))


@given("the log holds bills of another account")
def step_other_account(context):
    context.bill_log.append(stream_of(0), encode_bills([parse_bill("r7 9.0", "other")]))


@given("the log holds bills of long ago")
def step_long_ago(context):
    context.bill_log.append(stream_of(0), encode_bills([parse_bill("r8 9.0", at=10.0)]))


@given("{count:d} random bills in two logs, in different orders, with seed {seed:d}")
def step_two_logs(context, count, seed):
    source = random.Random(seed)
    bills = [parse_bill(f"r{number} {source.random()}") for number in range(count)]
    context.bill_logs = (MemoryLog(), MemoryLog())
    for log in context.bill_logs:
        source.shuffle(bills)
        for bill in bills:
            log.append(stream_of(0), encode_bills([bill]))


@then("the statement has {count:d} bills and {amount:g} in all")
def step_statement(context, count, amount):
    statement = read_statement(context.bill_log, "shop", 2 * DAY_S)
    assert sum(line.count for line in statement.lines) == count, statement
    assert abs(statement.total - amount) < 1e-9, statement


@then("both logs give the same statement")
def step_same_statement(context):
    one, other = (read_statement(log, "shop", 0.0) for log in context.bill_logs)
    assert one == other
    assert one.total > 0


async def bill_through_outage(context, per_s, seconds):
    loop = asyncio.get_running_loop()
    log = ThreadedLog(context.bill_log, call_inline)
    network = MemoryPeerNetwork()
    replicators = [
        BillReplicator(
            MemoryPeers(network, Peer(f"{zone}1", zone, "r", 1)), log, loop.time, loop.time
        )
        for zone in "abc"
    ]

    async def run_rounds(times):
        for _ in range(times):
            for replicator in replicators:
                await replicator.run_round()
            await asyncio.sleep(1.0)

    context.bill_log.is_down = True
    for second in range(seconds):
        for number in range(per_s):
            bill = Bill(f"r{second}-{number}", "shop", "larch:1", 0.1)
            await replicators[second % 3].replicate(bill)
        await run_rounds(1)
    context.held_during_outage = max(replicator.size for replicator in replicators)
    context.bill_log.is_down = False
    await run_rounds(10)
    context.held_after = [replicator.size for replicator in replicators]


@given(
    "three hosts bill {per_s:d} requests a second while the log is unavailable for {hours:d} hour"
)
def step_outage(context, per_s, hours):
    context.bill_log = MemoryLog()
    context.outage = (per_s, hours * 3600)


@when("the log is available again")
def step_log_answers(context):
    run_virtual(bill_through_outage(context, *context.outage))


@then("the log holds {count:d} bills, each once")
def step_log_holds(context, count):
    fold = BillFold()
    entries = [
        entry
        for shard in range(SHARDS)
        for entry in context.bill_log.read(stream_of(shard), 0, 10**6).entries
    ]
    for entry in entries:
        fold.fold(entry)
    assert len(fold.list_bills()) == count
    assert sum(len(decode_bills(entry.data)) for entry in entries) == count
    assert context.held_during_outage == count, context.held_during_outage


@then("no host holds a bill after {seconds:d} s")
def step_no_bill_held(context, seconds):
    assert context.held_after == [0, 0, 0], context.held_after


@given("a host that holds as many bills as allowed")
def step_full_host(context):
    async def fill():
        loop = asyncio.get_running_loop()
        network = MemoryPeerNetwork()
        log = ThreadedLog(MemoryLog(), call_inline)
        replicators = [
            BillReplicator(MemoryPeers(network, Peer(name, "a", "r", 1)), log, loop.time, loop.time)
            for name in ("a1", "a2")
        ]
        for number in range(context.bound):
            replicators[0].open_bill(Bill(f"r{number}", "shop", "larch:1", 0.1))
        context.full_replicator = replicators[0]
        context.copies = await replicators[1]._send("a1", [Bill("x", "shop", "larch:1", 0.1)], [])

    context.bound = 50
    old_bound, replicator_module.MAX_BILLS = replicator_module.MAX_BILLS, context.bound
    context.add_cleanup(setattr, replicator_module, "MAX_BILLS", old_bound)
    run_virtual(fill())


@then("it is full")
def step_is_full(context):
    assert context.full_replicator.is_full


@then("it accepts no copies from peers")
def step_no_copies(context):
    assert context.copies is False
    assert context.full_replicator.size == context.bound
