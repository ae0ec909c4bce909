import asyncio
import random

from behave import given, then, when

from features.steps.config_follow import ReachableLog
from features.steps.hosts import run, start_fleet, wait
from poplarrun.leases import LEASE_STREAM, LeaseManager, Renew, decode_lease_record
from poplarrun.log import MemoryLog

JOB = "orders"
ROUND_INTERVAL_S = 0.5


class DelayedLog:
    """An ``AsyncLog`` with delays, on top of one host's connection to the log."""

    def __init__(self, connection):
        self.connection = connection
        self.held_back = None

    async def append(self, stream, data):
        await asyncio.sleep(0.01)
        if self.held_back is not None and isinstance(decode_lease_record(data), Renew):
            self.held_back.append(data)
            await asyncio.sleep(3)
        return self.connection.append(stream, data)

    async def read(self, stream, from_offset, limit):
        await asyncio.sleep(0.01)
        return self.connection.read(stream, from_offset, limit)


class LeaseHost:
    """A host that runs rounds of its leases and can be paused."""

    def __init__(self, context, name):
        self.name = name
        self.connection = ReachableLog(context.log)
        self.log = DelayedLog(self.connection)
        self.paused = False
        self.stopped = False
        peers = context.virtual.peers[name]
        metrics = context.virtual.metrics[name]
        source = random.Random(name)
        self.manager = LeaseManager(self.log, peers, metrics, source, clock=context.loop.time)
        self.manager.campaign_for(JOB)
        context.loop.create_task(self.run_rounds())

    async def run_rounds(self):
        while not self.stopped:
            if not self.paused:
                await self.manager.run_round()
            await asyncio.sleep(ROUND_INTERVAL_S)

    def find(self):
        return None if self.stopped or self.paused else self.manager.find(JOB)


def holders(context):
    return [host for host in context.lease_hosts.values() if host.find() is not None]


def wait_for_holder(context, timeout_s):
    wait(context, lambda: len(holders(context)) == 1, "a holder", timeout_s)
    return holders(context)[0]


def run_for(context, seconds):
    run(context, asyncio.sleep(seconds))


@given('{zones:d} zones of {hosts:d} hosts that campaign for the job "{job}"')
def step_candidates(context, zones, hosts, job):
    start_fleet(context, zones, hosts)
    wait(context, context.virtual.is_converged, "the hosts have met", 30)
    context.log = MemoryLog()
    context.lease_hosts = {name: LeaseHost(context, name) for name in context.virtual.peers}


@given('the job "{job}" has a holder')
def step_has_holder(context, job):
    context.holder = wait_for_holder(context, 30)
    context.fence = context.holder.find().fence


@when("the holder leaves by a planned stop")
def step_leaves(context):
    run(context, context.holder.manager.release_all())
    context.holder.stopped = True
    run(context, context.virtual.peers.pop(context.holder.name).leave())


@when("the holder is killed")
def step_dies(context):
    context.holder.stopped = True
    context.virtual.kill_host(context.holder.name)


@when("the holder is paused for {seconds:d} s")
def step_paused(context, seconds):
    context.holder.paused = True
    run_for(context, seconds)
    context.holder.paused = False
    context.first_lease = context.holder.find()


@when("the lease log is down for {seconds:d} s")
def step_log_down(context, seconds):
    context.log.is_down = True
    run_for(context, seconds)
    context.during = len(holders(context))
    context.log.is_down = False


@when("the holder's renewal is held back while another host takes over")
def step_held_back(context):
    context.holder.log.held_back = []
    wait(context, lambda: context.holder.log.held_back, "a renewal", 15)
    context.holder.connection.cut = True
    wait(context, lambda: any(h is not context.holder for h in holders(context)), "taken", 40)


@when("the renewal that was held back takes effect")
def step_takes_effect(context):
    context.log.append(LEASE_STREAM, context.holder.log.held_back[0])


@when("the answers to the next {count:d} lease appends are lost")
def step_lost(context, count):
    context.log.responses_to_lose = count


@when("{seconds:d} s pass for the leases")
def step_pass(context, seconds):
    run_for(context, seconds)


@when("retention drops all but {count:d} lease records")
def step_retention(context, count):
    end = context.log.read(LEASE_STREAM, 0, 1).end
    context.log.truncate(LEASE_STREAM, end - count)


@when("a new host joins")
def step_joins(context):
    async def join():
        context.virtual.start_host("a3")
        context.new_host = context.lease_hosts["a3"] = LeaseHost(context, "a3")

    run(context, join())
    # It must read the stream whether or not its rank makes it a candidate.
    run(context, context.new_host.manager._read_to_end())


def inject_fault(context, source):
    host = source.choice(list(context.lease_hosts.values()))
    match source.randrange(4):
        case 0:
            host.paused = not host.paused
        case 1:
            host.connection.cut = not host.connection.cut
        case 2:
            context.log.responses_to_lose = 2
        case 3:
            context.log.is_down = not context.log.is_down


@when("{count:d} random faults are injected with seed {seed:d}")
def step_random_faults(context, count, seed):
    source = random.Random(seed)
    context.most_holders, context.fences = 0, []
    for _ in range(count):
        inject_fault(context, source)
        for _ in range(source.randrange(10, 250)):
            run_for(context, 0.1)
            found = holders(context)
            context.most_holders = max(context.most_holders, len(found))
            context.fences += [host.find().fence for host in found]


@then("within {seconds:d} s another host holds the job with a higher fencing number")
def step_other_within(context, seconds):
    wait(context, lambda: any(h is not context.holder for h in holders(context)), "taken", seconds)
    step_other(context)


@then("another host holds the job with a higher fencing number")
def step_other(context):
    (host,) = holders(context)
    assert host is not context.holder
    assert host.find().fence > context.fence


@then("the paused host found no lease when it resumed")
def step_first_lease(context):
    assert context.first_lease is None


@then("nobody holds the job")
def step_nobody(context):
    assert context.during == 0


@then("the job has exactly one holder")
def step_one(context):
    assert len(holders(context)) == 1, holders(context)


@then("the new host knows the holder")
def step_knows(context):
    (host,) = holders(context)
    assert context.new_host.manager.table.jobs[JOB].holder.startswith(f"{host.name}/")


@then("at no moment did two hosts hold the job")
def step_never_two(context):
    assert context.most_holders == 1, context.most_holders


@then("the fencing numbers never decreased")
def step_never_fell(context):
    assert context.fences == sorted(context.fences)
