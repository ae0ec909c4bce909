import asyncio
import dataclasses

from behave import given, then, when

from features.steps.gateway_world import make_catalogue, make_dispatch, make_request
from features.steps.warm_up import assert_at_most
from poplarrun.dispatch import ConfigView
from poplarrun.placement import NAMED_LIMIT_BOUNDS
from poplarrun.shares import Budget, HostSighting, plan_rate
from poplarrun.transport import CallerServer, ConnectionPool
from standins._ports import free_port
from standins.rollout_fleet import RolloutFleet, virtual_clock
from standins.share_fleet import ShareFleet, apply_state
from standins.virtual_time import VirtualTimeLoop

STEADY_S = 14.0
RETRY_WINDOW_S = 10.0
RETRY_FRACTION = 0.9
RESTART_INTERVAL_S = 3.0
DOWN_S = 1.0
NOW = 100.0
SEED = 2207
SAMPLE_INTERVAL_S = 0.1


@given(
    "{hosts:d} hosts in 3 zones, and an endpoint that names a limit of {rate:f} requests a second"
)
def step_share_hosts(context, hosts, rate):
    context.fleet = ShareFleet(hosts, plan_rate(rate, NAMED_LIMIT_BOUNDS))


@given(
    "{hosts:d} hosts in 3 zones, which may make {allowance:d} retries beyond the ratio in any 10 s"
)
def step_retry_hosts(context, hosts, allowance):
    budget = Budget(int(RETRY_FRACTION * allowance), allowance, RETRY_WINDOW_S)
    context.fleet = ShareFleet(hosts, budget, of_zone=False)


@when("for {seconds:d} s the hosts {state}")
def step_state_for(context, seconds, state):
    fleet = context.fleet
    context.uses = fleet.use_whenever_allowed(STEADY_S)
    context.started_at = fleet.now
    if state == "are restarted one after the other":
        for number in range(int(seconds / RESTART_INTERVAL_S)):
            host = fleet.hosts[number % len(fleet.hosts)]
            fleet.kill([host])
            context.uses += fleet.use_whenever_allowed(DOWN_S)
            fleet.restart([host])
            context.uses += fleet.use_whenever_allowed(RESTART_INTERVAL_S - DOWN_S)
    else:
        apply_state(fleet, state)
        context.uses += fleet.use_whenever_allowed(seconds)


@then("they send at most {most:d} requests in any {seconds:d} s")
@then("they make at most {most:d} retries in any {seconds:d} s")
def step_most_uses(context, most, seconds):
    assert_at_most(context.uses, most, float(seconds))


@then("they send at least {least:f} in each {seconds:d} s")
@then("they make at least {least:d} in each {seconds:d} s")
def step_least_uses(context, least, seconds):
    start = context.started_at
    while start + seconds <= context.fleet.now:
        count = sum(start <= at < start + seconds for at in context.uses)
        assert count >= least, (start - context.started_at, count)
        start += seconds


@given("{hosts:d} hosts that start and exchange digests, each of which knows {seeds:d} of them")
def step_starting_fleet(context, hosts, seeds):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    assert min(hosts, 3) == seeds
    context.sums = context.loop.run_until_complete(sum_shares(hosts))


async def sum_shares(hosts):
    """Return the sum of all hosts' shares each tenth of a second from their start."""
    fleet = RolloutFleet(SEED, hosts, "abc" if hosts >= 3 else "ab")
    fleet.start()
    budget = Budget(46, 52, RETRY_WINDOW_S)
    sums = []
    for _ in range(int(20.0 / SAMPLE_INTERVAL_S)):
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now = asyncio.get_running_loop().time()
        sums.append(sum(h.placement.shares.fleet_share("key", budget, now) for h in fleet.hosts))
    return sums


@then(
    "at no moment of 20 s their shares of 46 uses in 10 s, "
    "{most:d} at most, add up to more than {same:d}"
)
def step_sums(context, most, same):
    assert most == same
    assert max(context.sums) <= most, max(context.sums)


@then("after {first:d} s a host has a share, and after {later:d} s they add up to {total:d}")
def step_sums_later(context, first, later, total):
    assert context.sums[int(first / SAMPLE_INTERVAL_S)] > 0, context.sums[:60]
    assert context.sums[int(later / SAMPLE_INTERVAL_S)] == total, context.sums[-60:]


@given(
    "{hosts:d} dispatchers of hosts that hear each other, "
    "and an endpoint that accepts {accepted:d} connections"
)
def step_connections(context, hosts, accepted):
    addresses = [f"{'abc'[number % 3]}{number}" for number in range(hosts)]
    catalogue = make_catalogue()
    service = catalogue.services["engines"]
    catalogue.services["engines"] = dataclasses.replace(service, max_connections=accepted)
    context.idle = []
    for address in addresses:
        view = ConfigView(None)
        view.apply_catalogue(catalogue)
        dispatch = make_dispatch(view, 1)
        dispatch.placement.shares.start(address, address[0], 0.0)
        for now in (0.0, NOW / 2.0, NOW):
            sightings = [HostSighting(each, each[0], True, now) for each in addresses]
            dispatch.placement.shares.update_hosts(sightings, now)
        work = dispatch.admit(make_request(), NOW)
        endpoint = dispatch.placement.find("engine-0")
        context.idle.append(dispatch.max_idle_connections(work, endpoint, NOW))


@then("all hosts together keep at most {most:d} idle connections to it")
def step_most_idle(context, most):
    assert sum(context.idle) <= most, sum(context.idle)


@then("those whose share is not zero keep at least {least:d} each")
def step_least_idle(context, least):
    kept = [idle for idle in context.idle if idle]
    assert kept and min(kept) >= least, min(kept, default=0)


@given("a pool with {count:d} idle connections to an endpoint")
def step_pool(context, count):
    context.pool_size = count


@when("one more is returned to it, and the host may keep {most:d}")
def step_return(context, most):
    context.kept = asyncio.run(count_kept(context.pool_size, most))


async def count_kept(idle, most):
    """Return how many connections a pool keeps after one more is returned to it."""
    address = f"127.0.0.1:{free_port()}"
    server = CallerServer(None, print)
    await server.listen(address)
    pool = ConnectionPool()
    connections = [await pool.open(address, 5.0) for _ in range(idle + 1)]
    for connection in connections:
        connection.idle_since = float("inf")
    for connection in connections[:-1]:
        pool.release(connection)
    pool.release(connections[-1], max_idle=most)
    kept = 0
    while pool.acquire_idle(address) is not None:
        kept += 1
    for connection in connections:
        connection.abort()
    server.stop_accepting()
    return kept


@then("the pool keeps {kept:d} of them")
def step_kept(context, kept):
    assert context.kept == kept, context.kept
