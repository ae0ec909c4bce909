import asyncio

from behave import given, then, when

from poplarrun.rollouts import ComparisonStage
from standins.rollout_fleet import OLD, SERVICE, RolloutFleet, run_by_virtual_clock

SEED = 2541
# Part of the order's time until which callers ask: the old endpoints are stopped soon after.
WATCHED_PART = 0.85


async def play(fleet, sessions_per_s, order_at, duration_s, listed_after_s):
    """Let callers ask until all of them are on the new version."""
    until = order_at + WATCHED_PART * duration_s
    fleet.start()
    calls = asyncio.ensure_future(fleet.call(sessions_per_s, until))
    await asyncio.sleep(order_at)
    fleet.order(duration_s)
    await asyncio.sleep(listed_after_s)
    fleet.list_new_version()
    await calls
    await asyncio.sleep(3.0)


@given("{hosts:d} hosts in 3 zones, and {sessions:d} sessions a second that ask any of them")
def step_fleet(context, hosts, sessions):
    context.fleet = RolloutFleet(SEED, hosts)
    context.sessions_per_s = sessions


@when(
    "a roll-out of {duration:f} s is ordered after {at:f} s"
    " and its endpoints are listed {listed:f} s later"
)
def step_order(context, duration, at, listed):
    context.order_at, context.middle, context.end = at, at + duration / 2, at + duration
    run_by_virtual_clock(play(context.fleet, context.sessions_per_s, at, duration, listed))


@then("no session changes its version in the first half of the roll-out")
def step_kept(context):
    changes = context.fleet.changes(context.order_at, context.middle)
    assert not changes, (len(changes), changes[:3])


@then(
    "the new version gets {least:f} to {most:f} of the requests in the last {seconds:f} s"
    " of that half"
)
def step_trial(context, least, most, seconds):
    share = context.fleet.share(context.middle - seconds, context.middle)
    assert least <= share <= most, share


@then("no session goes back to the old version")
def step_not_back(context):
    changes = context.fleet.changes(context.order_at, context.end)
    back = [pair for pair in changes if pair[1].version == OLD]
    assert not back, (len(back), back[:3])


@then("the new version gets all requests of the last {seconds:f} s")
def step_all(context, seconds):
    until = context.order_at + WATCHED_PART * (context.end - context.order_at)
    assert context.fleet.share(until - seconds, until) == 1.0


async def start_late(fleet, sessions_per_s, order_at, duration_s, later_s):
    """Start a host in a roll-out that is under way; return its stage and the others'."""
    loop = asyncio.get_running_loop()
    fleet.start()
    calls = asyncio.ensure_future(fleet.call(sessions_per_s, order_at + later_s + 1.0))
    await asyncio.sleep(order_at)
    order = fleet.order(duration_s)
    fleet.list_new_version()
    await asyncio.sleep(later_s)
    host = await fleet.start_anew(order)
    stages = [each.rollouts.find(SERVICE).stage(loop.time()) for each in (host, *fleet.hosts)]
    await calls
    return stages


@when(
    "a roll-out of {duration:f} s is ordered after {at:f} s,"
    " and a host starts anew {later:f} s later"
)
def step_starts_anew(context, duration, at, later):
    late = start_late(context.fleet, context.sessions_per_s, at, duration, later)
    context.stages = run_by_virtual_clock(late)


@then("the first session that it serves is in the stage of the roll-out that the others are in")
def step_same_stage(context):
    assert set(context.stages) == {ComparisonStage.SHIFT}, context.stages
