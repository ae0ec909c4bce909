import json
import random

from behave import given, then, when

from features.steps.gateway_world import make_catalogue, make_endpoint_record, make_request
from poplarrun.dispatch import ConfigView, Dispatcher, NoConnection, SaidNotRun
from poplarrun.errors import NotRun, Refusal, response_for
from poplarrun.placement import Placement
from poplarrun.platform import MalformedDocument, decode_catalogue
from poplarrun.rollouts import Rollouts
from poplarrun.routing import Service, WarmUpLimit
from poplarrun.shares import Budget, RateBounds, plan_rate
from poplarrun.sizes import SizePolicy
from standins.share_fleet import ShareFleet, apply_state

LIMIT = WarmUpLimit(2.0, 3.0)


BOUNDS = RateBounds()


@given("{hosts:d} hosts in 3 zones, and an endpoint that tolerates {rate:f} requests a second")
def step_warm_up_hosts(context, hosts, rate):
    context.fleet = ShareFleet(hosts, plan_rate(rate, BOUNDS))


@when("the hosts {state}")
def step_hosts_state(context, state):
    context.sends = context.fleet.use_whenever_allowed(1.0)
    apply_state(context.fleet, state)
    context.sends += context.fleet.use_whenever_allowed(4.0)


@then("they send at most {most:d} requests in any second")
def step_at_most(context, most):
    assert_at_most(context.sends, most, 1.0)


def assert_at_most(sends, most, window_s):
    first = 0
    for last, at in enumerate(sends):
        while sends[first] < at - window_s:
            first += 1
        assert last - first + 1 <= most, (at, last - first + 1)


@then("those of the endpoint's zone send at least {least:f} in each second")
def step_at_least(context, least):
    start = context.fleet.now - 4.0
    for second in range(4):
        count = sum(start + second <= at < start + second + 1.0 for at in context.sends)
        assert count >= least, (second, count)


@given("a dispatcher whose host may send {quota:d} requests a second to an endpoint that warms up")
def step_warm_up_dispatcher(context, quota):
    make_dispatcher(context, LIMIT)
    budget = plan_rate(LIMIT.rate_per_s, context.placement.warm_up_bounds)
    assert context.placement.shares.zone_share("e1", "a", budget, 100.0) == quota


def make_dispatcher(context, limit):
    """Create a dispatcher of a host that is alone in its zone with one endpoint."""
    service = Service("engines", 100, 8, 400_000, warm_up=limit)
    catalogue = make_catalogue()
    catalogue.services["engines"] = service
    view = ConfigView()
    view.apply_catalogue(catalogue)
    view.confirm(100.0)
    placement = Placement("a", random.Random(3))
    placement.update_endpoints([make_endpoint_record("e1")], 90.0)
    context.placement = placement
    context.dispatcher = Dispatcher(
        view, placement, Rollouts(), SizePolicy(), 0.8, Budget(100, 100, 10.0)
    )


@given("an only host before an endpoint that tolerates {rate:d} requests a second")
def step_only_host(context, rate):
    make_dispatcher(context, WarmUpLimit(float(rate), 3.0))
    context.placement.update_endpoints([make_record(sequence=2, warm_up_s=3.0)], 100.0)


def send(context, number, at):
    """Send one request and have it answered; return the refusal if it is refused."""
    work = context.dispatcher.admit(make_request(number=number), at)
    decision = context.dispatcher.choose_endpoint(work, at)
    if isinstance(decision, Refusal):
        return decision
    assert context.dispatcher.may_send(work, decision.estimate.endpoint, at)
    attempt = context.dispatcher.record_sent(work, decision, at)
    context.dispatcher.record_first_event(work, attempt, at)
    context.dispatcher.record_completed(work, attempt, at)
    return None


@when("the only endpoint {event}")
def step_endpoint_event(context, event):
    placement, endpoint = context.placement, context.placement.find("e1")
    match event:
        case "says that it warms up for 3.0 s":
            placement.update_endpoints([make_record(sequence=2, warm_up_s=3.0)], 100.0)
        case "is restarted, which its record says":
            placement.update_endpoints([make_record(started_ms=2, warm_up_s=3.0)], 100.0)
        case "is back after an attempt got no connection":
            work = context.dispatcher.admit(make_request(number=99), 97.0)
            failure = NoConnection("refused")
            context.dispatcher.handle_failure(work, endpoint, None, failure, 97.0)
            endpoint.paused_until = 98.0
            assert send(context, 98, 98.5) is None
        case "is back after the other hosts did not reach it":
            placement.update_unreached({"e1"}, 98.0)
            placement.update_unreached(set(), 100.0)
        case "is in a zone that is taken back from an evacuation":
            placement.update_evacuated(frozenset("a"), 98.0)
            placement.update_evacuated(frozenset(), 100.0)
        case "rejects a request as full":
            work = context.dispatcher.admit(make_request(number=99), 99.0)
            decision = context.dispatcher.choose_endpoint(work, 99.0)
            attempt = context.dispatcher.record_sent(work, decision, 99.0)
            failure = SaidNotRun(503)
            context.dispatcher.handle_failure(work, endpoint, attempt, failure, 99.0)
        case _:
            raise AssertionError(event)


def make_record(sequence=1, started_ms=1, warm_up_s=0.0):
    record = make_endpoint_record("e1", sequence=sequence, started_ms=started_ms)
    return type(record)(
        *(getattr(record, name) for name in record.__slots__[:7]), warm_up_s, started_ms, sequence
    )


@then(
    "{sent:d} of {count:d} requests within a second are sent there, "
    "and {refused:d} refused as not run"
)
def step_sent_and_refused(context, sent, count, refused):
    outcomes = [send(context, number, 100.0 + number * 0.9 / count) for number in range(count)]
    refusals = [outcome for outcome in outcomes if outcome is not None]
    assert (count - len(refusals), len(refusals)) == (sent, refused), outcomes
    assert all(response_for(refusal.kind).not_run is NotRun.YES for refusal in refusals)


@then("{later:f} s later {sent:d} of {count:d} requests are sent there")
def step_sent_later(context, later, sent, count):
    outcomes = [send(context, 50 + number, 100.0 + later) for number in range(count)]
    assert outcomes.count(None) == sent, outcomes


def decode_service(fields):
    service = {"name": "engines", "engine": {"slots": 4, "kvCapacity": 10}, **fields}
    document = {"version": 1, "routes": [], "services": [service]}
    return decode_catalogue(json.dumps(document).encode()).services["engines"]


@then(
    "a service with coldStartS {duration:f} and coldPerS {rate:f} tolerates "
    "{same_rate:f} a second for {same_duration:f} s"
)
def step_decoded_limit(context, duration, rate, same_rate, same_duration):
    warm_up = decode_service({"coldStartS": duration, "coldPerS": rate}).warm_up
    assert (warm_up.rate_per_s, warm_up.duration_s) == (same_rate, same_duration), warm_up


@then("a service without them tolerates any number")
def step_no_limit(context):
    assert decode_service({}).warm_up.rate_per_s == 0.0


@then('a service with coldPerS {rate:d} is ignored because of "{field}"')
def step_bad_rate(context, rate, field):
    try:
        decode_service({"coldPerS": rate})
    except MalformedDocument as error:
        assert field in str(error), error
    else:
        raise AssertionError("decoded")
