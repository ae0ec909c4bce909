import asyncio
from collections import Counter, defaultdict

from behave import given, then, use_step_matcher, when

from standins.hold_off_fleet import HoldOffFleet
from standins.hold_off_paths import HoldOffPathFleet
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop

use_step_matcher("parse")

SEED = 4310
HALF = 0.5
# The operators' bound: requests that count against an endpoint's demand, and from when on.
MAX_UNWANTED = 2
GRACE_S = 0.5
RESTED_WINDOW_S = 0.1
# Time after which all hosts know their shares.
SETTLE_S = 5.0


def start(context, create):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)

    async def run():
        context.fleet = create()

    context.loop.run_until_complete(run())


@given(
    "{hosts:d} hosts before {endpoints:d} endpoints, {cut} of them cut off and served by the others"
)
def step_path_fleet(context, hosts, endpoints, cut):
    start(context, lambda: HoldOffPathFleet(SEED, hosts, endpoints))
    context.hosts, context.seconds_before = hosts, 3.0
    if cut == "half":
        context.fleet.cut_off(context.fleet.hosts[: hosts // 2])
    context.loop.run_until_complete(context.fleet.run_callers(5.0, context.seconds_before))


@given(
    "{hosts:d} hosts that know each other, before {endpoints:d} endpoints "
    "of {slots:d} slots that are half used"
)
def step_fleet(context, hosts, endpoints, slots):
    start(context, lambda: HoldOffFleet(SEED, hosts, endpoints, slots))
    context.slots = slots
    # An endpoint serves a request in a tenth of a second.
    context.requests_per_s = HALF * endpoints * slots * 10.0
    context.loop.run_until_complete(_settle(context))


async def _settle(context):
    await asyncio.sleep(SETTLE_S)
    await context.fleet.run_callers(context.requests_per_s, 2.0)


@when(
    "{count:d} of the endpoints reject all requests for {seconds:d} s "
    "and ask for {rest:d} s without any"
)
def step_rest(context, count, seconds, rest):
    fleet = context.fleet
    if isinstance(fleet, HoldOffFleet):
        context.loop.run_until_complete(_rest(fleet, count, float(seconds), float(rest)))
        return
    fleet.hold_off_s = float(rest)
    fleet.resting = {each.instance_id for each in fleet.records[:count]}
    context.loop.call_later(float(seconds), fleet.resting.clear)


async def _rest(fleet, count, seconds, rest):
    fleet.rest(count, seconds, rest)


@when("callers of each host send {rate:f} requests a second for {seconds:d} s")
def step_path_load(context, rate, seconds):
    context.fleet.served = context.fleet.unserved = 0
    context.loop.run_until_complete(context.fleet.run_callers(rate, seconds))


@when("their callers go on for {seconds:d} s")
def step_load(context, seconds):
    context.loop.run_until_complete(context.fleet.run_callers(context.requests_per_s, seconds))


@then("no endpoint received more than 2 requests of a host that it had asked to stay away")
def step_none_unwanted(context):
    by_pair = defaultdict(list)
    for arrival in context.fleet.arrivals:
        by_pair[arrival.host, arrival.instance_id].append(arrival)
    demands = [each for each in context.fleet.arrivals if each.hold_off_s]
    assert demands, "no endpoint asked for a rest"
    for demand in demands:
        arrivals = by_pair[demand.host, demand.instance_id]
        start_at, end_at = demand.at + GRACE_S, demand.at + demand.hold_off_s
        unwanted = [each for each in arrivals if start_at < each.at <= end_at]
        assert len(unwanted) <= MAX_UNWANTED, (demand, unwanted)


@then("at most one in fifty requests was not served")
def step_paths_served(context):
    fleet = context.fleet
    total = fleet.served + fleet.unserved
    assert 50 * fleet.unserved <= total, (fleet.unserved, total, fleet.withheld)


@then(
    "no more than its slots came from hosts that it had asked, "
    "in the first tenth of a second after"
)
def step_few_first(context):
    fleet, last_demand = context.fleet, {}
    for arrival in fleet.arrivals:
        # Endpoints whose waiting room is full ask for the same later on.
        if arrival.hold_off_s and arrival.at < fleet.resting.get(arrival.instance_id, 0.0):
            pair = arrival.host, arrival.instance_id
            last_demand[pair] = arrival.at + arrival.hold_off_s
    first_end = {}
    for (_, instance_id), end in last_demand.items():
        first_end[instance_id] = min(end, first_end.get(instance_id, end))
    counts = Counter(
        each.instance_id
        for each in context.fleet.arrivals
        if (each.host, each.instance_id) in last_demand
        and 0.0 < each.at - first_end[each.instance_id] <= RESTED_WINDOW_S
    )
    assert all(count <= context.slots for count in counts.values()), counts


@then("no request was refused")
def step_none_refused(context):
    assert not context.fleet.refusals, (len(context.fleet.refusals), context.fleet.refusals[:2])


@then("the refused callers came back to be served, spread")
def step_spread(context):
    fleet = context.fleet
    waits = [refusal.retry_after_s for _, refusal in fleet.refusals]
    assert waits and all(wait > 0.0 for wait in waits)
    last_asked = max(each.at for each in fleet.arrivals if each.hold_off_s)
    late = [at for at, _ in fleet.refusals if at > last_asked + fleet.hold_off_s + 3.0]
    assert not late, (len(late), last_asked)
    by_tenth = Counter(int(at * 10) for at in fleet.returns)
    assert max(by_tenth.values()) <= 0.2 * len(fleet.returns), by_tenth.most_common(3)
