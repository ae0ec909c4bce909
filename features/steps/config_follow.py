import asyncio
import itertools
import logging
import random

from behave import given, then, when

from features.steps.hosts import events, names, run, start_fleet, wait
from poplarrun.config import (
    BASED_ON_ANYTHING,
    CONFIG_STREAM,
    ConfigFollower,
    Configuration,
    OperatorKeys,
    Publication,
    encode_record,
    fold_entry,
    make_snapshot,
    sign_record,
)
from poplarrun.log import Appended, AppendRefused, MemoryLog, ReadFailed, call_inline
from poplarrun.logging._setup import ROOT_NAME

VERSION = "{stage: offered, price: {input_per_mtok: 1, output_per_mtok: 1}}"
KEY = b"a key of sixteen"


class ReachableLog:
    """A host's connection to the log, which can be cut."""

    def __init__(self, log):
        self.log = log
        self.cut = False

    def append(self, stream, data):
        return AppendRefused("cut") if self.cut else self.log.append(stream, data)

    def read(self, stream, from_offset, limit):
        return ReadFailed("cut") if self.cut else self.log.read(stream, from_offset, limit)


class TimedLog(ReachableLog):
    """Records the time of each read."""

    def __init__(self, log, clock, reads):
        super().__init__(log)
        self.clock = clock
        self.reads = reads

    def read(self, stream, from_offset, limit):
        self.reads.append(self.clock())
        return super().read(stream, from_offset, limit)


def document_of(name):
    return f"models: {{{name}: {{versions: {{'1': {VERSION}}}}}}}"


def start_follower(context, name):
    peers = context.virtual.peers[name]
    context.connections.setdefault(name, TimedLog(context.log, context.loop.time, context.reads))
    context.offsets[name] = []

    def note(state, _):
        context.offsets[name].append(state.offset)

    follower = ConfigFollower(
        context.connections[name],
        peers,
        context.virtual.metrics[name],
        call_inline,
        note,
        random.Random(name),
        clock=context.loop.time,
        wall_clock=context.loop.time,
        keys=context.keys,
    )
    context.followers[name] = follower

    async def follow():
        while context.followers[name] is follower:
            await follower.follow()
            await follower.wait()

    context.loop.create_task(follow())


def publish(context, name, based_on=None, encode=encode_record):
    based_on = context.accepted if based_on is None else based_on
    record = Publication(f"id-{name}-{random.random()}", based_on, "ada", 0.0, document_of(name))
    outcome = context.log.append(CONFIG_STREAM, encode(record))
    assert isinstance(outcome, Appended)
    return outcome.offset


@given("{zones:d} zones of {hosts:d} hosts that follow a log")
def step_followers(context, zones, hosts):
    start_fleet(context, zones, hosts)
    context.log, context.connections, context.keys = MemoryLog(), {}, OperatorKeys()
    context.followers, context.offsets, context.reads = {}, {}, []
    context.accepted = -1
    for name in context.virtual.peers:
        start_follower(context, name)


@given('operators "{name}" with keys')
def step_keys(context, name):
    # Hosts read keys from their settings at the start. Here they are set later, because the first
    # publication is unsigned.
    context.keys = OperatorKeys({name: (b"an older key of hers", KEY), "system": (b"hosts",)})
    for follower in context.followers.values():
        follower._keys = context.keys


@given('a publication "{name}" is in force everywhere')
def step_first(context, name):
    wait(context, context.virtual.is_converged, "the hosts have met", 30)
    step_publish(context, name)
    step_in_force_within(context, 5, name)


@when('"{name}" is published')
def step_publish(context, name):
    context.accepted = publish(context, name)


@when('"{name}" is published based on anything')
def step_publish_anew(context, name):
    context.accepted = publish(context, name, BASED_ON_ANYTHING)


@when('"{name}" is published by "{operator}" with the right key')
def step_publish_signed(context, name, operator):
    context.accepted = publish(context, name, None, lambda r: sign_record(r, operator, KEY))


@when('"{name}" is published by "{operator}" with a forged signature')
def step_publish_forged(context, name, operator):
    publish(context, name, None, lambda r: sign_record(r, operator, b"guessed"))


@when('"{name}" is published unsigned')
def step_publish_unsigned(context, name):
    publish(context, name)


@when("{count:d} publications that conflict are appended")
def step_conflicts(context, count):
    for number in range(count):
        publish(context, f"late{number}", based_on=-1)


@when('a snapshot of "first" is appended')
def step_stale_snapshot(context):
    state = Configuration()
    for entry in context.log.read(CONFIG_STREAM, 0, 1).entries:
        state, _ = fold_entry(state, entry)
    end = context.log.read(CONFIG_STREAM, 0, 1).end
    snapshot = make_snapshot(state, "stale", 0.0)
    forged = type(snapshot)("s", state.offset, end - 1, 0.0, snapshot.publication, snapshot.state)
    context.log.append(CONFIG_STREAM, encode_record(forged))


@when("retention keeps the last {count:d} records")
def step_retention(context, count):
    run(context, asyncio.sleep(15 if count else 1))
    end = context.log.read(CONFIG_STREAM, 0, 1).end
    context.log.truncate(CONFIG_STREAM, end - count)


@when("the log is restored without its last {count:d} records")
def step_restore(context, count):
    del context.log._streams[CONFIG_STREAM].records[-count:]


@when('the log is unreachable from "{hosts}"')
def step_cut_log(context, hosts):
    for name in names(hosts):
        context.connections[name].cut = True


@when('the log is reachable again from "{hosts}"')
def step_reach_log(context, hosts):
    for name in names(hosts):
        context.connections[name].cut = False


@when('host "{name}" loses all peers')
def step_lose_peers(context, name):
    context.virtual.network.cut([name], "abc")


@when('zone "{zone}" loses the log and the other zones')
def step_cut_off(context, zone):
    step_cut_log(context, f"{zone}1, {zone}2")
    context.virtual.network.cut(zone, [z for z in context.virtual.zones if z != zone])


@when("the log is down for everyone")
def step_log_down(context):
    context.log.is_down = True


@when("all faults are cleared")
def step_faults_cleared(context):
    context.log.is_down = False
    context.virtual.network.heal()
    for connection in context.connections.values():
        connection.cut = False


@when('host "{name}" is replaced')
def step_replace(context, name):
    async def replace():
        context.virtual.kill_host(name)
        context.virtual.start_host(name)
        start_follower(context, name)

    run(context, replace())


@when('host "{name}" is replaced without peers')
def step_replace_alone(context, name):
    context.virtual.network.cut([name], "abc")
    step_replace(context, name)


@when("{seconds:d} s pass for the followers")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


def is_in_force(context, name, hosts):
    return all(context.followers[host].state.text == document_of(name) for host in hosts)


@then('within {seconds:d} s "{name}" is in force at every host')
def step_in_force_within(context, seconds, name):
    hosts = list(context.followers)
    wait(context, lambda: is_in_force(context, name, hosts), name, seconds)


@then('within {seconds:d} s "{name}" is in force at hosts "{hosts}"')
def step_in_force_at(context, seconds, name, hosts):
    wait(context, lambda: is_in_force(context, name, names(hosts)), name, seconds)


@then('"{name}" is in force at hosts "{hosts}"')
def step_is_in_force(context, name, hosts):
    assert is_in_force(context, name, names(hosts))


@then(
    "the log was read at most {max_reads:d} times a second, with no pause of {pause_s:g} s or more"
)
def step_shared_polling(context, max_reads, pause_s):
    end = context.loop.time()
    reads = [at for at in context.reads if at >= end - 60.0]
    assert len(reads) <= max_reads * 60, len(reads)
    assert max(b - a for a, b in itertools.pairwise(reads)) < pause_s


@then("the offset never decreased at any host")
def step_never_decreased(context):
    for name, offsets in context.offsets.items():
        assert offsets == sorted(offsets), (name, offsets)


@then('host "{name}" counted event "{event}"')
def step_counted_event(context, name, event):
    assert events(context, name, event) > 0


class RecordedLines(logging.Handler):
    """Records the messages of log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given("the host's log lines are recorded")
def step_record_lines(context):
    logger = logging.getLogger(ROOT_NAME)
    context.recorded = RecordedLines()
    context.add_cleanup(logger.setLevel, logger.level)
    context.add_cleanup(logger.removeHandler, context.recorded)
    logger.setLevel(logging.INFO)
    logger.addHandler(context.recorded)


@then('the recorded lines are "{lines}"')
def step_recorded_lines(context, lines):
    assert context.recorded.lines == lines.split("; "), context.recorded.lines
