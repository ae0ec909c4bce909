import asyncio
import dataclasses

from behave import given, then, when

from features.steps.gateway_world import make_catalogue, make_dispatch, make_request
from features.steps.warm_up import apply_state, assert_at_most
from poplarrun.dispatch import ConfigView
from poplarrun.placement import NAMED_LIMIT_BOUNDS
from poplarrun.shares import Budget, HostSighting, plan_rate
from poplarrun.transport import CallerServer, ConnectionPool
from standins._ports import free_port
from standins.share_fleet import ShareFleet

STEADY_S = 14.0
RETRY_WINDOW_S = 10.0
RETRY_FRACTION = 0.9
RESTART_INTERVAL_S = 3.0
DOWN_S = 1.0
NOW = 100.0


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


@given(
    "{hosts:d} dispatchers of hosts that hear each other, "
    "and an endpoint that accepts {accepted:d} connections"
)
def step_connections(context, hosts, accepted):
    addresses = [f"{'abc'[number % 3]}{number}" for number in range(hosts)]
    sightings = [HostSighting(each, each[0], True, NOW) for each in addresses]
    catalogue = make_catalogue()
    service = catalogue.services["engines"]
    catalogue.services["engines"] = dataclasses.replace(service, max_connections=accepted)
    context.idle = []
    for address in addresses:
        view = ConfigView(None)
        view.apply_catalogue(catalogue)
        dispatch = make_dispatch(view, 1)
        dispatch.placement.shares.start(address, address[0], 0.0)
        dispatch.placement.shares.update_hosts(sightings, NOW)
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
