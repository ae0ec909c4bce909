import asyncio
import dataclasses

from behave import given, then, when

from features.steps.gateway_world import make_catalogue, make_dispatch, make_endpoint_record
from poplarrun.dispatch import ConfigView
from poplarrun.placement import BrittleServices
from poplarrun.platform import decode_answer
from standins.brittle_fleet import RUN_S, BrittleFleet
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop

SEED = 905
STEADY_S = 14.0
NOW_S = 100.0
# The operators' bound on falls: so many, and this fraction of the endpoints.
ALLOWED_FALLS = 2
ALLOWED_FALLS_FRACTION = 0.1


def start_fleet(context, hosts, endpoints, slots, zone=""):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)

    async def start_exchange():
        context.fleet = BrittleFleet(SEED, hosts, "abc", endpoints, slots, zone)
        context.fleet.start_peering()
        await asyncio.sleep(STEADY_S)

    context.loop.run_until_complete(start_exchange())
    context.capacity_per_s = endpoints * slots / RUN_S


@given("{hosts:d} hosts that exchange digests, before {endpoints:d} endpoints of {slots:d} slots")
def step_fleet(context, hosts, endpoints, slots):
    start_fleet(context, hosts, endpoints, slots)


@given(
    "{hosts:d} hosts that exchange digests, before {endpoints:d} endpoints of {slots:d} slots "
    'in the zone "{zone}"'
)
def step_fleet_of_zone(context, hosts, endpoints, slots, zone):
    start_fleet(context, hosts, endpoints, slots, zone)


def run_callers(context, seconds):
    fleet = context.fleet
    context.loop.run_until_complete(fleet.run_callers(context.requests_per_s, seconds))


@when("callers want {load:f} times what the endpoints serve for {seconds:d} s")
def step_load(context, load, seconds):
    context.requests_per_s = load * context.capacity_per_s
    run_callers(context, seconds)


@when("the endpoints say that they bear {tolerated:d} rejections a second, for {seconds:d} s")
def step_brittle(context, tolerated, seconds):
    context.fleet.set_tolerated(tolerated)
    run_callers(context, seconds)


@when("they let no request wait any more, for {seconds:d} s")
def step_no_room(context, seconds):
    fleet = context.fleet
    fleet.set_waiting_room(0)
    for endpoint in fleet.endpoints:
        endpoint.served = endpoint.falls = 0
    fleet.refused = 0
    context.seconds = seconds
    run_callers(context, seconds)


@when("they are not brittle any more, for {seconds:d} s")
def step_sound(context, seconds):
    context.fleet.set_tolerated(None)
    run_callers(context, seconds)


@then("they fall over at most {most:d} times and for a tenth of their number")
def step_falls(context, most):
    endpoints = context.fleet.endpoints
    falls = sum(endpoint.falls for endpoint in endpoints)
    assert falls <= most + ALLOWED_FALLS_FRACTION * len(endpoints), falls


@then("they serve at least {fraction:f} of what they could")
def step_served(context, fraction):
    served = sum(endpoint.served for endpoint in context.fleet.endpoints)
    could = context.capacity_per_s * context.seconds
    assert served >= fraction * could, (served, could)


@then("at most one in ten requests was refused")
def step_refused(context):
    served = sum(endpoint.served for endpoint in context.fleet.endpoints)
    refused = context.fleet.refused
    assert 10 * refused <= served + refused, (refused, served)


@then("no host takes the service for brittle")
def step_not_brittle(context):
    now = context.fleet.hosts and context.loop.time()
    assert not any(host.placement.brittle.current(now) for host in context.fleet.hosts)


@then('an answer with "{value}" tolerates {tolerated} rejections')
def step_decode(context, value, tolerated):
    answer = decode_answer(503, [(b"Server-Brittle", value.encode())])
    expected = None if tolerated == "none" else int(tolerated)
    assert answer.tolerated_rejections == expected, answer


@given("a host alone before a brittle endpoint of {slots:d} slots")
def step_alone(context, slots):
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(NOW_S)
    context.dispatcher = make_dispatch(view)
    record = dataclasses.replace(make_endpoint_record("e1"), slots=slots)
    context.dispatcher.placement.update_endpoints([record])
    context.endpoint = context.dispatcher.placement.find("e1")
    context.dispatcher.placement.brittle.record("engines", 3, NOW_S - 0.1, NOW_S)


@when("{running:d} requests run there")
def step_running(context, running):
    context.endpoint.in_flight = running


@when("{running:d} requests run there and one was rejected {seconds:f} s ago")
def step_rejected(context, running, seconds):
    context.endpoint.in_flight = running
    context.endpoint.record_rejected(NOW_S - seconds)


@when("{running:d} requests run there and its service is not brittle any more")
def step_expired(context, running):
    context.endpoint.in_flight = running
    context.dispatcher.placement.brittle = BrittleServices()


@then("it {what} to the endpoint")
def step_sends(context, what):
    service = context.dispatcher.config_view.catalogue.services["engines"]
    may_send = context.dispatcher.placement.may_send(context.endpoint, service, NOW_S)
    assert may_send == (what == "sends"), what
