import asyncio
import random
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from poplarrun.gateway._capacity import Capacity
from poplarrun.placement import NAMED_LIMIT_BOUNDS
from poplarrun.shares import (
    LoanRequest,
    RateBounds,
    ShareKey,
    ShareKind,
    ShareLoans,
    ShareUse,
    plan_rate,
)
from poplarrun.transport import CallerServer
from standins._ports import free_port
from standins.brittle_fleet import RUN_S
from standins.flood_fleet import FloodFleet, SharedBudget
from standins.installation import Installation
from standins.loan_fleet import LoanFleet
from standins.rollout_fleet import virtual_clock
from standins.share_fleet import apply_state
from standins.virtual_time import VirtualTimeLoop

SEED = 905
STEADY_S = 14.0
# Time that operators allow before they count, and the fraction of what was served before.
STABLE_WINDOW_S = 3.0
LEAST_FRACTION = 0.75
RATE_PER_S = 20.0
ALLOWED_FALLS = 2
ALLOWED_FALLS_FRACTION = 0.1
USED_FRACTION = 0.6
RESTART_INTERVAL_S = 2.5
CALL_TIMEOUT_S = 5.0
SHARES_TIMEOUT_S = 9.0
MAX_CALLERS = 40
NOW = 100.0
KEY = ShareKey(ShareKind.RATE_LIMIT, "e1")


@given("{hosts:d} hosts before {endpoints:d} endpoints of {slots:d} slots, which share {budget}")
def step_fleet(context, hosts, endpoints, slots, budget):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    budget = SharedBudget(budget)

    async def start_exchange():
        context.fleet = FloodFleet(SEED, hosts, endpoints, slots, budget, RATE_PER_S)
        context.fleet.start_peering()
        await asyncio.sleep(STEADY_S)

    context.loop.run_until_complete(start_exchange())
    capacity_per_s = slots / RUN_S if budget is SharedBudget.SLOTS else RATE_PER_S
    context.capacity_per_s = endpoints * capacity_per_s


@when("callers want {load:f} of what the endpoints serve, for {seconds:d} s")
def step_callers(context, load, seconds):
    context.requests_per_s = load * context.capacity_per_s
    run_callers(context, seconds)


@when("nine in ten requests go to one host, for {seconds:d} s")
def step_flood(context, seconds):
    fleet = context.fleet
    fleet.flooded = fleet.hosts[0]
    context.flooded_at = context.loop.time()
    run_callers(context, seconds)


def run_callers(context, seconds):
    fleet = context.fleet
    context.loop.run_until_complete(fleet.run_steady_callers(context.requests_per_s, seconds))


@then("from {start:d} s on requests are served at least three quarters as often as before")
def step_served(context, start):
    assert start == STABLE_WINDOW_S
    fleet, flooded_at = context.fleet, context.flooded_at
    before = fleet.served_fraction(flooded_at - 6.0, flooded_at)
    # The last requests still run.
    during = fleet.served_fraction(flooded_at + start, context.loop.time() - 1.0)
    assert during >= LEAST_FRACTION * before, (during, before)


@then("no more than the endpoints bear reaches them")
def step_bears(context):
    fleet = context.fleet
    match fleet.budget:
        case SharedBudget.LIMIT:
            most = plan_rate(RATE_PER_S, NAMED_LIMIT_BOUNDS).bound
            reached = fleet.count_most_arrivals(NAMED_LIMIT_BOUNDS.window_s)
        case SharedBudget.WARM_UP:
            bounds = RateBounds()
            most = plan_rate(RATE_PER_S, bounds).bound
            reached = fleet.count_most_arrivals(bounds.window_s)
        case _:
            most = ALLOWED_FALLS + ALLOWED_FALLS_FRACTION * len(fleet.endpoints)
            reached = sum(endpoint.falls for endpoint in fleet.endpoints)
    assert reached <= most, (reached, most)


@given("{hosts:d} hosts that lend each other shares of {rate:g} requests a second")
def step_lending(context, hosts, rate):
    context.rate = rate
    context.budget = plan_rate(rate, NAMED_LIMIT_BOUNDS)
    context.fleet = LoanFleet(SEED, hosts, context.budget)
    context.uses = []


@when("callers come to other hosts each 2.5 s, while the hosts {state}")
def step_wandering(context, state):
    fleet, source = context.fleet, random.Random(SEED)
    context.uses += fleet.use_at(fleet.hosts, USED_FRACTION * context.rate, 6.0)[0]
    is_restarting = state == "are restarted one after the other"
    if not is_restarting:
        apply_state(fleet, state)
    for _ in range(12):
        hosts = source.sample(fleet.hosts, source.choice((1, 1, 3)))
        load = source.choice((USED_FRACTION, 3.0)) * context.rate
        context.uses += fleet.use_at(hosts, load, RESTART_INTERVAL_S)[0]
        if is_restarting:
            fleet.restart([source.choice(hosts)])


@then("in any window they use at most {most:g} times the budget, and never more than its bound")
def step_most(context, most):
    budget = context.budget
    used = count_most(context.uses, budget.window_s)
    assert used <= min(most * budget.total, budget.bound), (used, budget)


def count_most(times, window_s):
    """Return the most uses in any window, which a use leaves at its end."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= window_s - 1e-9:
            first += 1
        most = max(most, last - first + 1)
    return most


@when("callers want {load:f} of the rate at all hosts, then at one host only, for {seconds:d} s")
def step_one_host(context, load, seconds):
    flood_one_host(context, load, seconds, is_starting=False)


@when(
    "callers want {load:f} of the rate at all hosts, then at one that starts only, "
    "for {seconds:d} s"
)
def step_starting_host(context, load, seconds):
    flood_one_host(context, load, seconds, is_starting=True)


def flood_one_host(context, load, seconds, is_starting):
    fleet, per_s = context.fleet, load * context.rate
    before, refused = fleet.use_at(fleet.hosts, per_s, 8.0)
    context.before = len(before) / (len(before) + refused)
    if is_starting:
        fleet.restart(fleet.hosts[:1])
    early, _ = fleet.use_at(fleet.hosts[:1], per_s, 4.0)
    late, refused = fleet.use_at(fleet.hosts[:1], per_s, seconds - 4.0)
    context.during = len(late) / (len(late) + refused)
    context.uses = before + early + late


@then("from {start:d} s on the one host serves three quarters as often as all hosts did before")
def step_one_host_serves(context, start):
    assert context.during >= LEAST_FRACTION * context.before, (context.during, context.before)


@given("a host that has lent {lent:d} of its {share:d} uses for windows of {window:d} s")
def step_lender(context, lent, share, window):
    context.now, context.loans = NOW, ShareLoans()
    context.use = ShareUse(share, share, 0, float(window))
    assert ask(context, NOW, 0, lent) == lent


def ask(context, asked_at, held, wanted):
    request = LoanRequest("borrower", asked_at, held, wanted)
    return context.loans.lend(KEY, request, context.use, context.now)


@when("the loan is {seconds:g} s old")
def step_age(context, seconds):
    context.now += seconds


@when("the borrower gives {what}")
def step_give_back(context, what):
    context.now += 1.0
    match what:
        case "2 back":
            ask(context, NOW + 1.0, 3, 3)
        case "all back":
            ask(context, NOW + 1.0, 0, 0)
        case "2 back, and an older request for 5 follows":
            ask(context, NOW + 1.0, 3, 3)
            assert ask(context, NOW + 0.5, 5, 5) == 0
        case "all back but for 4 that it still uses":
            ask(context, NOW + 1.0, 4, 0)


@then("it may use {own:d} itself")
def step_own(context, own):
    balance = context.loans.balance(KEY, context.now)
    assert context.use.share + balance == own, balance


@given("a host that may have {most:d} open requests")
def step_capacity(context, most):
    context.capacity = Capacity(most, 10 * most, answer_bytes=0)


@when("{requests:d} requests are open and {awaited:d} new connections have sent none yet")
def step_open(context, requests, awaited):
    context.has_room = context.capacity.has_room(requests, awaited)


@then("it {takes} a new connection")
def step_takes(context, takes):
    assert context.has_room == (takes == "takes"), takes


@given("a server that may have {most:d} open requests, all of which are taken")
def step_full_server(context, most):
    context.most = most


@when("another caller connects and sends its request")
def step_connect(context):
    context.unread, context.read_count, context.later = asyncio.run(call_full(context.most))


async def call_full(most):
    """Return what a caller of a full server gets, the requests read by then, and a later answer."""
    capacity, finish = Capacity(most, 10 * most, answer_bytes=0), asyncio.Event()
    read = running = 0

    async def handle(caller, head, body):
        nonlocal read, running
        read += 1
        running += 1
        await finish.wait()
        running -= 1
        caller.respond(200, [], b"")

    server = CallerServer(handle, print)
    server.may_accept = lambda awaited: capacity.has_room(running, awaited)
    address = f"127.0.0.1:{free_port()}"
    await server.listen(address)
    first = [asyncio.create_task(call(address)) for _ in range(most)]
    while running < most:
        await asyncio.sleep(0)
    unread, read_count = await call(address), read
    finish.set()
    await asyncio.gather(*first)
    later = await call(address)
    server.stop_accepting()
    return unread, read_count, later


async def call(address):
    """Return what the server at an address sends before it closes or waits; empty if it resets."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        return await asyncio.wait_for(reader.read(100), CALL_TIMEOUT_S)
    except ConnectionError:
        return b""
    except TimeoutError:
        return b"no end in time"
    finally:
        writer.close()


@then("its connection is closed without an answer, and its request was not read")
def step_unread(context):
    assert context.unread == b"", context.unread
    assert context.read_count == context.most, context.read_count


@then("one that connects after a request has ended is served")
def step_later(context):
    assert context.later.startswith(b"HTTP/1.1 200"), context.later


@given(
    "{hosts:d} running hosts of one zone before {endpoints:d} endpoints that name a limit of "
    "{rate:d} requests a second"
)
def step_running_hosts(context, hosts, endpoints, rate):
    context.installation = installation = Installation(hosts, "a")
    installation.__enter__()
    context.add_cleanup(installation.__exit__)
    installation.publish()
    for number in range(endpoints):
        installation.add_endpoint(f"stock-{number}", "stock", rate_limit=str(rate))
    for number in range(hosts):
        installation.start_host(number, wait_until_ready=False)
    for number in range(hosts):
        installation.wait_until_ready(number)
    # All hosts have their shares once what a starting one may have used has left the window.
    time.sleep(SHARES_TIMEOUT_S)


@when(
    "callers send {rate:d} requests a second to hosts at random for {first:d} s, "
    "then to one host for {second:d} s"
)
def step_real_flood(context, rate, first, second):
    source, hosts = random.Random(SEED), sorted(context.installation.processes)
    targets = [source.choice(hosts) for _ in range(rate * first)] + [0] * (rate * second)
    started_at = time.monotonic()

    def call_host(number):
        return context.installation.call("/lookup/flood", number).status == 200

    with ThreadPoolExecutor(MAX_CALLERS) as pool:
        calls = []
        for index, number in enumerate(targets):
            time.sleep(max(0.0, started_at + index / rate - time.monotonic()))
            calls.append(pool.submit(call_host, number))
        served = [each.result() for each in calls]
    counted_from = rate * (first + int(STABLE_WINDOW_S))
    # The first requests come before all hosts know the limit.
    context.before = sum(served[rate * 2 : rate * first]) / (rate * (first - 2))
    context.during = sum(served[counted_from:]) / len(served[counted_from:])


@then("from {start:d} s on the one host served three quarters as often as all hosts did before")
def step_real_served(context, start):
    assert start == STABLE_WINDOW_S
    step_one_host_serves(context, start)
