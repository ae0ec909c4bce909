import asyncio
import random

from behave import given, then, when

from poplarrun.claims import Claim, ClaimFold, Lost, Outcome, Release, encode_batch
from poplarrun.claims._shard import Shard
from poplarrun.log import Entry, MemoryLog, ThreadedLog, call_inline

STREAM = "claims-00"


def make_claim(name, key, at=0.0):
    return Claim(name, "shop", key, b"", name[0], 1, 1_000_000.0 + at)


def parse_record(text):
    kind, name, key, *at = text.split()
    match kind:
        case "claim":
            return make_claim(name, key, float(at[0]) if at else 0.0)
        case "release":
            return Release(name, "shop", key)
        case "outcome":
            return Outcome(name, "shop", key, Lost("timeout"))


def fold_records(context, text):
    context.fold = ClaimFold()
    context.claims = {}
    for record in map(parse_record, text.split(", ")):
        if isinstance(record, Claim):
            context.claims[record.id] = record
        context.fold.fold(Entry(context.fold.next_offset, encode_batch([record])))


@given('the claim records "{text}"')
def step_claim_records(context, text):
    fold_records(context, text)


@given('{count:d} claims of other keys, {step:d} s apart, after the claim records "{text}"')
def step_many_claims(context, count, step, text):
    fold_records(context, text)
    for number in range(count):
        later = make_claim(f"x{number}", f"key-{number}", number * float(step))
        context.fold.fold(Entry(context.fold.next_offset, encode_batch([later])))


@then('claim "{name}" is judged "{verdict}"')
def step_judged(context, name, verdict):
    assert type(context.fold.judge(context.claims[name])).__name__ == verdict


@then('key "{key}" is held by "{name}"')
def step_held(context, key, name):
    state = context.fold.find("shop", key)
    assert ("nobody" if state is None else state.claim.id) == name


@then("at most {count:d} keys are held")
def step_held_count(context, count):
    assert 0 < context.fold.key_count <= count, context.fold.key_count


@given("a shard with {count:d} random claims with seed {seed:d}, snapshots, and dropped records")
def step_random_shard(context, count, seed):
    source = random.Random(seed)
    context.claim_log = MemoryLog()
    context.async_log = ThreadedLog(context.claim_log, call_inline)
    context.wall = 0.0

    async def fill():
        shard = Shard(0, context.async_log, lambda: context.wall, lambda: context.wall)
        for number in range(count):
            context.wall += 300.0
            claim = Claim(
                f"r{number}", "shop", f"k{source.randrange(9)}", b"", "a", 1, context.wall
            )
            await shard.submit(claim, 10.0)
            if source.random() < 0.3:
                await shard.submit(Release(claim.id, "shop", claim.key), 10.0)
            shard.write_snapshot_if_due()
            await asyncio.sleep(0)
        return shard.fold

    context.old_fold = asyncio.run(fill())
    end = context.claim_log.read(STREAM, 0, 1000).end
    context.claim_log.truncate(STREAM, end - 10)


@when("a new host reads the shard")
def step_new_host(context):
    async def read():
        shard = Shard(0, context.async_log, lambda: context.wall, lambda: context.wall)
        assert await shard.refresh()
        return shard.fold

    context.new_fold = asyncio.run(read())


@then("both hosts hold the same keys")
def step_same_keys(context):
    old, new = (fold.take_snapshot(0.0) for fold in (context.old_fold, context.new_fold))
    assert old == new
    assert old.key_states
