from collections import Counter

from behave import given, then, when

from poplarrun.billing import Bill, encode_bills, read_statement
from poplarrun.claims import Claim, ClaimFold, Lost, Outcome, encode_batch
from poplarrun.leases import (
    LEASE_STREAM,
    Acquire,
    LeaseTable,
    encode_lease_record,
    fold_lease_entry,
)
from poplarrun.log import Entry, LogKeys, MemoryLog, SignedLog, sign_log_record
from poplarrun.versions import (
    ROLLOUTS_STREAM,
    Granted,
    RolloutTable,
    encode_rollout,
    fold_rollout,
)

KEYS = {"first": b"first-key-of-the-hosts", "second": b"second-key-of-the-hosts"}
STREAM = "billing-00"
CLAIMS = "claims-00"
BILL = encode_bills([Bill("r1", "shop", "larch:1", 0.5, 1000.0)])


def keys_of(text):
    words = text.split(", ")
    return LogKeys(tuple(KEYS[word] for word in words if word in KEYS), "unsigned" in words)


@given('a host\'s record in stream "{stream}", {changed}, read with keys "{keys}"')
def step_record(context, stream, changed, keys):
    sealed = sign_log_record(stream, BILL, KEYS["first"])
    log = MemoryLog()
    match changed:
        case "with another byte at its end":
            sealed = sealed[:-1] + bytes([sealed[-1] ^ 1])
        case "cut to half its length":
            sealed = sealed[: len(sealed) // 2]
        case "moved to another stream":
            sealed = sign_log_record("billing-01", BILL, KEYS["first"])
        case "without its signature":
            sealed = BILL
    log.append(stream, sealed)
    context.counted = Counter()
    reader = SignedLog(log, keys_of(keys), lambda reason: context.counted.update([reason]))
    context.page = reader.read(stream, 0, 10)


@then('the record is {read} and "{counted}" is counted')
def step_read(context, read, counted):
    assert context.page.entries == (Entry(0, BILL if read == "read" else b""),)
    assert context.page.end == 1
    assert context.counted == ({} if counted == "nothing" else {counted: 1})


@given("hosts with a log key, whose log a forger reaches")
def step_hosts(context):
    context.forged_log = MemoryLog()
    context.counted = Counter()
    context.host_log = SignedLog(
        context.forged_log, keys_of("first"), lambda reason: context.counted.update([reason])
    )
    context.host_log.append(CLAIMS, encode_batch([Claim("c1", "shop", "k", b"", "a1", 1, 1000.0)]))


@when("the forger appends a bill, an outcome, a lease and a roll-out")
def step_forge(context):
    outcome = Outcome("c1", "shop", "k", Lost("forged"))
    grant = Granted("g", "note", "larch:1", 0, 0, {"a1/1": 100})
    log = context.forged_log
    log.append(STREAM, BILL)
    log.append(CLAIMS, encode_batch([outcome]))
    log.append(LEASE_STREAM, encode_lease_record(Acquire("l", "rollouts", "x1/1", 60.0, -1)))
    log.append(ROLLOUTS_STREAM, encode_rollout(grant))


def read_all(context, stream):
    return context.host_log.read(stream, 0, 10).entries


@then("the statement has nothing of it")
def step_no_bill(context):
    assert read_statement(context.host_log, "shop", 0.0).lines == ()


@then("the claim has no outcome, the lease no holder, the roll-out no grant")
def step_no_effect(context):
    fold = ClaimFold()
    for entry in read_all(context, CLAIMS):
        fold.fold(entry)
    assert fold.find("shop", "k").result is None
    table = LeaseTable()
    for entry in read_all(context, LEASE_STREAM):
        table, _ = fold_lease_entry(table, entry)
    assert not table.jobs and table.read_to == 0
    state = RolloutTable()
    for entry in read_all(context, ROLLOUTS_STREAM):
        state = fold_rollout(state, entry)
    assert state.states == {} and state.read_to == 0


@then("the host counted {count:d} refused records")
def step_counted(context, count):
    assert context.counted == {"log_record_unsigned": count}, context.counted


@given("{count:d} hosts that rotate their log key one after the other")
def step_rotate(context, count):
    log = MemoryLog()
    held = ["first"] * count
    context.refused = []
    context.rotated = 0
    for keys in ("first, second", "second, first", "second"):
        for host in range(count):
            held[host] = keys
            begin = log.read(STREAM, 0, 1).end
            logs = [SignedLog(log, keys_of(one), context.refused.append) for one in held]
            for one in logs:
                one.append(STREAM, BILL)
            for one in logs:
                context.rotated += len([e for e in one.read(STREAM, begin, 10).entries if e.data])


@then("every record that one of them wrote is read by all")
def step_rotated(context):
    assert context.refused == []
    assert context.rotated == 3 * 3 * 3 * 3
