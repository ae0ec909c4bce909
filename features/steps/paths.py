import random
from collections import Counter

from behave import given, then, when

from poplarrun.paths import (
    DeclineReason,
    EndpointGroup,
    Helper,
    HelperChoice,
    HelperState,
    PathTable,
    admit_relay,
)
from poplarrun.placement import group_of
from standins.path_fleet import MAX_REQUESTS, Outcomes, PathFleet
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop

SEED = 31
START_S = 100.0
ROOM = HelperState(False, 10, 10, 100, True, True, True)
STATES = {
    "was asked by the endpoint to stay away": {"hold_off_s": 1.5},
    "knows that the endpoint is leaving": {"is_leaving": True},
    "has room": {},
    "does not know the peer": {"knows_peer": False},
    "stops": {"is_stopping": True},
    "does not know the endpoint": {"knows_endpoint": False},
    "does not reach the endpoint": {"has_path": False},
    "is full of its own requests": {"open_requests": 90},
    "relays as much as it may": {"open_relays": 50},
}


@given("{hosts:d} hosts in three zones before {endpoints:d} endpoints")
def step_fleet(context, hosts, endpoints):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    context.fleet = PathFleet(SEED, hosts, endpoints)


def select_hosts(fleet, what):
    zone = [host for host in fleet.hosts if host.zone == "a"]
    match what:
        case "one":
            return zone[:1]
        case "a zone":
            return zone
        case "a zone but one":
            return zone[1:]
        case "half":
            return fleet.hosts[::2]
        case "all but one":
            return fleet.hosts[1:]
        case "all":
            return fleet.hosts


@when("{what} of them lose their links to all endpoints, which are {how}")
def step_cut(context, what, how):
    context.fleet.is_silent = how == "silent"
    context.fleet.cut_off(select_hosts(context.fleet, what))


@when('{what} of them lose their links to the endpoints of the zone "{zone}", which are {how}')
def step_cut_zone(context, what, zone, how):
    context.fleet.is_silent = how == "silent"
    context.fleet.cut_off(select_hosts(context.fleet, what), zone)


@when("the links are mended")
def step_mend(context):
    context.fleet.cut.clear()


@when('the endpoint "{instance_id}" is down')
def step_down(context, instance_id):
    context.fleet.down.add(
        next(each.address for each in context.fleet.records if each.instance_id == instance_id)
    )


@when("callers send {rate:f} requests a second to each host for {seconds:f} s")
def step_callers(context, rate, seconds):
    context.fleet.outcomes = Outcomes()
    context.loop.run_until_complete(context.fleet.run_callers(rate, seconds))


@then("all of them are connected within {seconds:f} s")
def step_connected(context, seconds):
    outcomes = context.fleet.outcomes
    assert outcomes.served and not outcomes.failed, (len(outcomes.served), outcomes.failed[:5])
    slowest = max(taken_s for _, taken_s in outcomes.served)
    assert slowest <= seconds, slowest


@then("all of them fail within {seconds:f} s")
def step_failed(context, seconds):
    outcomes = context.fleet.outcomes
    assert outcomes.failed and not outcomes.served, len(outcomes.served)
    slowest = max(taken_s for _, taken_s in outcomes.failed)
    assert slowest <= seconds, slowest


@then("no host carries more than twice what falls to each host that reaches endpoints")
def step_spread(context):
    fleet = context.fleet
    helpers = {host.ip for host in fleet.hosts if host.ip not in fleet.cut}
    outcomes = fleet.outcomes
    carried = Counter(ip for ip, _ in outcomes.served if ip in helpers) + outcomes.relayed
    assert carried.keys() <= helpers, carried
    mean = len(outcomes.served) / len(helpers)
    assert max(carried.values()) <= 2.0 * mean, (carried.most_common(3), mean)


@then("no host has more open than it has room for")
def step_room(context):
    most_open = context.fleet.outcomes.most_open
    assert max(most_open.values()) <= MAX_REQUESTS, most_open.most_common(3)


@then("no connection is relayed")
def step_none_relayed(context):
    assert not context.fleet.outcomes.relayed, context.fleet.outcomes.relayed


@then("no path is lost")
def step_no_path_lost(context):
    fleet = context.fleet
    lost = [
        (host.ip, record.instance_id)
        for host in fleet.hosts
        for record in fleet.records
        if host.placement.paths.is_lost(record.instance_id, group_of(record), context.loop.time())
    ]
    assert not lost, lost


@given("a table of paths")
def step_table(context):
    """Each row of the table has a table of its own."""


def apply_outcomes(table, text):
    now = START_S
    for step in text.split(", "):
        name, _, outcome = step.partition(" ")
        group = EndpointGroup("engines", "b" if name[0] == "b" else "a")
        match outcome:
            case "s":
                now += float(name)
            case "relayed":
                table.record_relayed(name, group, now)
            case "connected":
                table.record_connected(name, group, now)
            case "probed":
                table.record_probed(name, group, now)
            case "failed":
                table.record_failed(name, now)
        now += 0.01
    return now


@then('these outcomes make the path to "{name}" of the group "{zone}"')
def step_paths(context, name, zone):
    for row in context.table:
        table = PathTable()
        now = apply_outcomes(table, row["outcomes"])
        is_lost = table.is_lost(name, EndpointGroup("engines", zone), now)
        assert is_lost == (row["path"] == "lost"), row


@then('a host that {what} answers a peer with "{answer}"')
def step_admit(context, what, answer):
    fields = {name: getattr(ROOM, name) for name in HelperState.__slots__}
    decline = admit_relay(HelperState(**{**fields, **STATES[what]}))
    assert (decline.reason.value if decline else "yes") == answer, decline


@given('a choice of helpers among "{own}" of the own zone and "{other}" of another one')
def step_choice(context, own, other):
    context.choice = HelperChoice("a", random.Random(SEED))
    context.peers = {"a": [own], "b": [other]}


@when('"{helper}" declines for "{service}" because it is "{reason}"')
def step_decline(context, helper, service, reason):
    helper = Helper(helper, helper[0])
    context.choice.record_declined(helper, service, DeclineReason(reason), START_S)


@then('for {seconds:f} s "{expected}" is asked for "{service}"')
def step_asked_instead(context, seconds, expected, service):
    helper = context.choice.choose(context.peers, service, [], START_S + seconds)
    assert helper == Helper(expected, expected[0]), helper


@then('"{expected}" is asked for "{service}"')
def step_asked(context, expected, service):
    helper = context.choice.choose(context.peers, service, [], START_S + 0.1)
    assert helper == Helper(expected, expected[0]), helper
