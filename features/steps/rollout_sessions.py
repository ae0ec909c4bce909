import asyncio

from behave import given, then, when

from poplarrun.rollouts import ComparisonStage
from standins.rollout_fleet import OLD, SERVICE, RolloutFleet, run_by_virtual_clock

SEED = 2541
# Fraction of the order's duration in which callers send: the old endpoints are stopped soon after.
OBSERVED_FRACTION = 0.85


async def run_rollout(fleet, sessions_per_s, order_at, duration_s, listed_after_s):
    """Send requests until all sessions use the new version."""
    until = order_at + OBSERVED_FRACTION * duration_s
    fleet.start()
    calls = asyncio.ensure_future(fleet.run_sessions(sessions_per_s, until))
    await asyncio.sleep(order_at)
    fleet.apply_order(duration_s)
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
    run_by_virtual_clock(run_rollout(context.fleet, context.sessions_per_s, at, duration, listed))


@then("no session changes its version in the first half of the roll-out")
def step_kept(context):
    changes = context.fleet.version_changes(context.order_at, context.middle)
    assert not changes, (len(changes), changes[:3])


@then(
    "the new version gets {least:f} to {most:f} of the requests in the last {seconds:f} s"
    " of that half"
)
def step_trial(context, least, most, seconds):
    share = context.fleet.new_version_fraction(context.middle - seconds, context.middle)
    assert least <= share <= most, share


@then("no session goes back to the old version")
def step_not_back(context):
    changes = context.fleet.version_changes(context.order_at, context.end)
    back = [pair for pair in changes if pair[1].version == OLD]
    assert not back, (len(back), back[:3])


@then("the new version gets all requests of the last {seconds:f} s")
def step_all(context, seconds):
    until = context.order_at + OBSERVED_FRACTION * (context.end - context.order_at)
    assert context.fleet.new_version_fraction(until - seconds, until) == 1.0


async def restart_host(fleet, sessions_per_s, order_at, duration_s, later_s):
    """Restart a host during a roll-out; return its stage and the other hosts'."""
    loop = asyncio.get_running_loop()
    fleet.start()
    calls = asyncio.ensure_future(fleet.run_sessions(sessions_per_s, order_at + later_s + 1.0))
    await asyncio.sleep(order_at)
    order = fleet.apply_order(duration_s)
    fleet.list_new_version()
    await asyncio.sleep(later_s)
    host = await fleet.start_host_with_order(order)
    stages = [each.rollouts.find(SERVICE).stage(loop.time()) for each in (host, *fleet.hosts)]
    await calls
    return stages


@when(
    "a roll-out of {duration:f} s is ordered after {at:f} s,"
    " and a host is restarted {later:f} s later"
)
def step_restarted(context, duration, at, later):
    restarted = restart_host(context.fleet, context.sessions_per_s, at, duration, later)
    context.stages = run_by_virtual_clock(restarted)


@then("the first session that it serves is in the stage of the roll-out that the others are in")
def step_same_stage(context):
    assert set(context.stages) == {ComparisonStage.SHIFT}, context.stages
