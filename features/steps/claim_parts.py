import asyncio

from behave import given

import poplarrun.claims._shard as shard_module
import poplarrun.log._snapshot_parts as parts_module
from features.steps.claim_fold import STREAM
from poplarrun.claims import Claim, encode_batch
from poplarrun.claims._shard import Shard
from poplarrun.log import (
    MemoryLog,
    SnapshotAssembler,
    StreamSnapshot,
    ThreadedLog,
    call_inline,
    split_snapshot,
)

SMALL_PART_BYTES = 300
START_S = 1_000_000.0


def make_claim(number):
    return Claim(f"r{number}", "shop", f"k{number}", b"", "a", 1, START_S + number)


def list_snapshots(log):
    assembler = SnapshotAssembler()
    found = [(entry.offset, assembler.add(entry)) for entry in read_all(log)]
    return [(offset, snapshot) for offset, snapshot in found if snapshot is not None]


def read_all(log):
    return log.read(STREAM, 0, 10**6).entries


async def write_both(context):
    clock = asyncio.get_running_loop().time
    owners = [Shard(0, context.async_log, clock, lambda: context.wall) for _ in range(2)]
    for number in range(40):
        await owners[0].submit(make_claim(number), 10.0)
    assert await owners[1].refresh()
    context.wall += 2000.0
    for owner in owners:
        await asyncio.sleep(0.01)
        context.wall += 1.0
        owner.write_snapshot_if_due()
        await owners[0].submit(make_claim(40 if owner is owners[0] else 41), 10.0)
        assert await owners[1].refresh()
    await asyncio.gather(*(owner._parts_task for owner in owners))
    assert await owners[0].refresh()
    context.old_fold = owners[0].fold


@given("two owners of a shard that write snapshots in parts, between claims")
def step_two_owners(context):
    for module, name, value in (
        (shard_module, "MAX_PART_BYTES", SMALL_PART_BYTES),
        (parts_module, "MAX_PART_BYTES", SMALL_PART_BYTES),
        (shard_module, "MIN_APPEND_INTERVAL_S", 0.0),
        (parts_module, "PART_PAUSE_S", 0.001),
    ):
        context.add_cleanup(setattr, module, name, getattr(module, name))
        setattr(module, name, value)
    context.claim_log = MemoryLog()
    context.async_log = ThreadedLog(context.claim_log, call_inline)
    context.wall = START_S
    asyncio.run(write_both(context))
    assert len(list_snapshots(context.claim_log)) == 2


def append_snapshot(context, part_count):
    snapshot = context.old_fold.take_snapshot(context.wall)
    parts = split_snapshot(
        StreamSnapshot(snapshot.last_offset, snapshot.written_at, encode_batch([snapshot]))
    )
    for part in parts[:part_count]:
        context.claim_log.append(STREAM, part)
    for entry in read_all(context.claim_log):
        context.old_fold.fold(entry)


@given("a later snapshot without its last part")
def step_unfinished(context):
    append_snapshot(context, -1)


@given("a later snapshot that is complete")
def step_whole(context):
    append_snapshot(context, None)


@given("the log has dropped all that the first snapshot covers")
def step_drop_covered(context):
    _, first = list_snapshots(context.claim_log)[0]
    context.claim_log.truncate(STREAM, first.last_offset + 1)


@given("the log has dropped the first parts of the first snapshot")
def step_drop_parts(context):
    offset, _ = list_snapshots(context.claim_log)[0]
    context.claim_log.truncate(STREAM, offset - 1)
