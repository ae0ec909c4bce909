import json
import random

from behave import given, then, when

from features.steps.gateway_world import (
    ENGINES,
    make_catalogue,
    make_endpoint_record,
    make_request,
    make_work,
)
from poplarrun.dispatch import ConfigView, ConnectionBroke, Dispatcher, Withheld
from poplarrun.errors import NotRun, Refusal, response_for
from poplarrun.evacuations import Evacuations, ZoneOrder
from poplarrun.placement import Placement
from poplarrun.platform import OPERATOR_TOPIC, MalformedDocument, decode_evacuation
from poplarrun.rollouts import Rollouts
from poplarrun.routing import PromptPart
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy
from poplarrun.transport import seconds_since_boot
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop


def parse_orders(text):
    orders = []
    for item in text.split(", "):
        zone, change = item.split(" ")
        orders.append(ZoneOrder(zone, int(change[1:]), change[0] == "+"))
    return orders


@when('the zone "{zone}" is evacuated')
def step_zone_evacuated(context, zone):
    context.evacuated = zone
    context.placement.update_evacuated(frozenset((zone,)), 100.0)


@then('{count:d} requests {way} go to "{one}" and "{two}" only')
def step_go_elsewhere(context, count, way, one, two):
    placement, evacuated = context.placement, f"in-{context.evacuated}"
    parts = (PromptPart("shared", 20_000), PromptPart("own", 500))
    if way == "whose prompt was read there":
        placement.find(evacuated).record_prompt("small", parts, 100.0)
    if way == "while the others are unavailable":
        for zone in (one, two):
            placement.find(f"in-{zone}").record_failure(100.0)
    for number in range(count):
        work = make_work(parts, number)
        if way == "sent again":
            work.tried_endpoints.update(f"in-{zone}" for zone in (one, two))
        estimate = placement.choose(
            work,
            ENGINES,
            100.0,
            "large" if way == "for a larger model" else "small",
            include_tried=way == "for a larger model",
            concentrate_load=way == "of a version on trial",
        )
        assert estimate.endpoint.record.zone in (one, two), estimate


@given('a dispatcher with endpoints in the zones "{zones}"')
def step_dispatcher_in_zones(context, zones):
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(100.0)
    context.placement = Placement("a", random.Random(3))
    context.placement.update_endpoints(
        [make_endpoint_record(f"in-{zone}", zone=zone) for zone in zones.split(", ")]
    )
    context.dispatcher = Dispatcher(
        view, context.placement, Rollouts(), SizePolicy(), 0.8, Budget(10, 10, 10.0)
    )


@when('the zones "{zones}" are evacuated')
def step_zones_evacuated(context, zones):
    context.placement.update_evacuated(frozenset(zones.split(", ")), 100.0)


@then('a request is refused at once as not run, because of "{reason}"')
def step_refused_because(context, reason):
    work = context.dispatcher.admit(make_request(), 100.0)
    refusal = context.dispatcher.choose_endpoint(work, 100.0)
    assert isinstance(refusal, Refusal) and refusal.message == reason, refusal
    assert response_for(refusal.kind).not_run is NotRun.YES and refusal.retry_after_s > 0.0


@when("the zone of a chosen endpoint is evacuated before the request is sent")
def step_evacuated_while_waiting(context):
    context.work = context.dispatcher.admit(make_request(), 100.0)
    decision = context.dispatcher.choose_endpoint(context.work, 100.0)
    context.endpoint = decision.estimate.endpoint
    assert context.dispatcher.may_send(context.work, context.endpoint, 100.0)
    context.placement.update_evacuated(frozenset((context.endpoint.record.zone,)), 100.1)


@then("it is withheld, and chosen for the other zone")
def step_withheld(context):
    work, dispatcher = context.work, context.dispatcher
    assert not dispatcher.may_send(work, context.endpoint, 100.2)
    assert dispatcher.handle_failure(work, context.endpoint, None, Withheld(), 100.2) is None
    decision = dispatcher.choose_endpoint(work, 100.2)
    assert decision.estimate.endpoint.record.zone != context.endpoint.record.zone
    assert not context.endpoint.is_paused(100.2), "a withheld request is no failure of it"


@given('the orders "{orders}"')
def step_orders(context, orders):
    context.orders = parse_orders(orders)


@when("{count:d} hosts apply them in different sequences, some of them twice")
def step_apply_shuffled(context, count):
    source = random.Random(5)
    context.hosts = []
    for _ in range(count):
        evacuations = Evacuations()
        orders = [*context.orders, *source.sample(context.orders, 3)]
        source.shuffle(orders)
        for order in orders:
            evacuations.apply(order)
        context.hosts.append(evacuations)


@then('all of them evacuate "{zones}"')
def step_all_evacuate(context, zones):
    expected = frozenset(zones.split(", "))
    assert all(host.zones == expected for host in context.hosts), context.hosts


@when('a host applies them and then a list of the zones "{zones}" up to offset {end:d}')
def step_apply_listing(context, zones, end):
    context.host = Evacuations()
    for order in context.orders:
        context.host.apply(order)
    context.host.apply_listing(zones.split(", "), end)


@then('it evacuates "{zones}"')
def step_evacuates(context, zones):
    assert context.host.zones == frozenset(zones.split(", ")), context.host


@when('the order "{order}" arrives late')
def step_late_order(context, order):
    for each in parse_orders(order):
        context.host.apply(each)


@then('the order "{key}" with the value {value} is ignored because of "{field}"')
def step_order_ignored(context, key, value, field):
    try:
        decode_evacuation(key, value.encode(), 1)
    except MalformedDocument as error:
        assert field in str(error), error
    else:
        raise AssertionError(f"{key} was decoded")


@given('{hosts:d} hosts in the zones "{zones}" that know each other')
def step_hosts_known(context, hosts, zones):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)

    async def start():
        context.fleet = PeerFleet(7, hosts, zones)
        context.fleet.start_peering()
        living = context.fleet.hosts
        assert await context.fleet.wait_until(
            lambda: not context.fleet.find_missing_peers(living, living), 30.0
        )

    context.loop.run_until_complete(start())


def check_within(context, seconds, condition):
    """Let the fleet's virtual time go on until a condition holds for it."""
    found = context.loop.run_until_complete(
        context.fleet.wait_until(lambda: condition(context.fleet.hosts), seconds)
    )
    assert found, f"not within {seconds} s"


def apply_order(context, order, zones):
    async def apply():
        for zone in zones:
            host = next(host for host in context.fleet.hosts if host.zone == zone)
            host.peering._documents.apply_evacuation(order, "store", context.fleet.now)

    context.loop.run_until_complete(apply())


@when('one host of each zone reads an order to evacuate "{zone}"')
def step_fleet_reads_order(context, zone):
    zones = {host.zone for host in context.fleet.hosts}
    apply_order(context, ZoneOrder(zone, 5, True), zones)


@when("one host reads that the order is lifted")
def step_fleet_reads_lifted(context):
    apply_order(context, ZoneOrder("a", 9, False), "b")


@when("a host is killed and started again while no host reads the store")
def step_host_restarts(context):
    async def restart():
        context.fleet.restart(context.fleet.hosts[-1])

    context.loop.run_until_complete(restart())


@then('within {seconds:f} s all of them evacuate "{zone}"')
def step_fleet_evacuates(context, seconds, zone):
    check_within(
        context,
        seconds,
        lambda hosts: all(host.placement.evacuated_zones == {zone} for host in hosts),
    )


@then("within {seconds:f} s none of them evacuates a zone")
def step_fleet_evacuates_none(context, seconds):
    check_within(
        context, seconds, lambda hosts: not any(host.placement.evacuated_zones for host in hosts)
    )


@given('an endpoint "{instance_id}" of "{service}" in the zone "{zone}"')
def step_endpoint_in_zone(context, instance_id, service, zone):
    installation = context.installation
    installation.add_endpoint(instance_id, service, zone=zone)
    installation.publish_endpoint(installation.endpoints[instance_id])


@when('the operators evacuate the zone "{zone}"')
def step_operators_evacuate(context, zone):
    context.installation.append(OPERATOR_TOPIC, f"evacuate/{zone}", json.dumps({}).encode())


@when('the operators evacuate the zone "{zone}" too')
def step_operators_evacuate_too(context, zone):
    step_operators_evacuate(context, zone)


@when("the operators take both zones back")
def step_operators_take_back(context):
    for zone in ("a", "b"):
        context.installation.append(OPERATOR_TOPIC, f"evacuate/{zone}", b"")


def look_up(context, number):
    return context.installation.call(f"/lookup/ring-{number}", method="GET")


@then('soon all lookups are answered by "{instance_id}"')
def step_soon_answered_by(context, instance_id):
    installation = context.installation

    def all_answered():
        answers = [look_up(context, number) for number in range(5)]
        return all(answer.body == f"answer of {instance_id}".encode() for answer in answers)

    installation.wait_for(all_answered, f"all lookups are answered by {instance_id}")


@then("soon a lookup is refused as not run with a Retry-After header")
def step_soon_refused(context):
    def is_refused():
        answer = look_up(context, 0)
        return answer.status == 503 and "retry-after" in answer.headers

    context.installation.wait_for(is_refused, "a lookup is refused")


@then("soon lookups are answered again")
def step_soon_answered(context):
    context.installation.wait_for(
        lambda: look_up(context, 0).status == 200, "a lookup is answered again"
    )


@when("a request fails once, and its second send is withheld {times:d} times")
def step_withheld_again(context, times):
    dispatcher = context.dispatcher
    work = dispatcher.admit(make_request(), 100.0)
    decision = dispatcher.choose_endpoint(work, 100.0)
    attempt = dispatcher.record_sent(work, decision, 100.0)
    budget = dispatcher.retry_budgets.budget(work.service, 100.0)
    context.budget, context.remaining = budget, budget.remaining(100.0)
    endpoint = decision.estimate.endpoint
    assert (
        dispatcher.handle_failure(work, endpoint, attempt, ConnectionBroke("reset"), 100.1) is None
    )
    for _ in range(times):
        assert dispatcher.handle_failure(work, endpoint, None, Withheld(), 100.2) is None


@then("one retry is spent")
def step_one_retry(context):
    spent = context.remaining - context.budget.remaining(100.2)
    assert abs(spent - 1.0) < 1e-6, spent


@when("the helper learns that the zone of the endpoint is evacuated")
def step_helper_evacuated(context):
    zone = context.placement.find("engine-0").record.zone
    context.placement.update_evacuated(frozenset((zone,)), seconds_since_boot())


@when("the helper learns that the zone is taken back")
def step_helper_taken_back(context):
    context.placement.update_evacuated(frozenset(), seconds_since_boot())
