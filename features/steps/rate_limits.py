import asyncio
import time

from behave import given, then, when

from features.steps.gateway_world import make_endpoint_record, make_request
from features.steps.warm_up import assert_at_most, make_dispatcher
from poplarrun.dispatch import ConnectionBroke
from poplarrun.errors import NotRun, Refusal, response_for
from poplarrun.gateway._shared_limits import SharedLimitsExchange
from poplarrun.peers import PeerTable
from poplarrun.placement import EndpointState, Placement
from poplarrun.platform import decode_answer
from poplarrun.routing import PromptPart, RolloutOrder, WarmUpLimit
from standins.limited_fleet import LimitedFleet
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop

HOSTS = 2
SEED = 2207
STEADY_S = 14.0
# The operators' bounds: the window of a limit, and how long after it was named, and after a host
# was told of it, sends count.
LIMIT_WINDOW_S = 4.0
STABLE_WINDOW_S = 3.0
TOLD_DELAY_S = 0.5
ALL_HEARD_S = 5.0


def look_up(context, number):
    return context.installation.call("/lookup/ring", number, method="GET")


@given(
    'the endpoint "{instance_id}" names a limit of {rate:f} requests a second, '
    "and both hosts know it"
)
def step_names_limit(context, instance_id, rate):
    endpoint = context.installation.endpoints[instance_id]
    endpoint.rate_limit = str(rate)
    answers = [look_up(context, number) for number in range(HOSTS)]
    assert answers[0].headers.get("server-limit") == str(rate), answers
    # The second host may have learned the limit from the first one, and refuse for that reason.
    assert answers[1].headers.get("server-limit") == str(rate) or answers[1].status == 503, answers


@when("callers at both hosts send {count:d} lookups within {seconds:d} s")
def step_load(context, count, seconds):
    started_at = time.monotonic()
    context.started_at = started_at
    context.answers = []
    for number in range(count):
        time.sleep(max(0.0, started_at + number * seconds / count - time.monotonic()))
        context.answers.append(look_up(context, number % HOSTS))


@then('"{instance_id}" received at most {most:d} of them')
def step_received(context, instance_id, most):
    endpoint = context.installation.endpoints[instance_id]
    context.received = sum(
        request.received_at >= context.started_at for request in endpoint.received_requests
    )
    assert context.received <= most, context.received


@then("the others are refused as not run, with a time to come back")
def step_others_refused(context):
    refused = [answer for answer in context.answers if answer.status != 200]
    assert len(refused) == len(context.answers) - context.received, context.answers
    assert {answer.status for answer in refused} == {503}, refused
    assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused), refused


def run(context, coroutine):
    """Run a coroutine in the scenario's virtual time, which continues from step to step."""
    return context.loop.run_until_complete(coroutine)


@given("{hosts:d} hosts that exchange digests, before one endpoint")
def step_limited_fleet(context, hosts):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)

    async def start_exchange():
        context.fleet = LimitedFleet(SEED, hosts, "abc")
        context.fleet.start_peering()
        await asyncio.sleep(STEADY_S)

    run(context, start_exchange())


@when("the endpoint names a limit of {rate:f} requests a second")
def step_name_limit(context, rate):
    fleet = context.fleet
    fleet.rate_limit_per_s = rate
    context.named_at = context.loop.time()
    # More than the endpoint takes, and at each host one in two seconds.
    context.requests_per_s = max(10.0 * rate, len(fleet.hosts) / 2.0)
    run(context, fleet.run_callers(context.requests_per_s, STABLE_WINDOW_S))


@when("nothing else happens")
def step_nothing_else(context):
    run(context, context.fleet.run_callers(context.requests_per_s, 20.0))


@when('zone "{zone}" is cut off for {seconds:d} s, then heard again')
def step_zone_cut(context, zone, seconds):
    fleet = context.fleet
    fleet.cut_zone(zone)
    run(context, fleet.run_callers(context.requests_per_s, seconds))
    fleet.heal()
    run(context, fleet.run_callers(context.requests_per_s, 10.0))


@when('half of zone "{zone}" is cut off from the other for {seconds:d} s')
def step_half_cut(context, zone, seconds):
    fleet = context.fleet
    addresses = [host.address for host in fleet.hosts if host.zone == zone]
    fleet.cut_hosts(addresses[::2], addresses[1::2])
    run(context, fleet.run_callers(context.requests_per_s, seconds))
    fleet.heal()
    run(context, fleet.run_callers(context.requests_per_s, 10.0))


@when("one host after the other is restarted, each {seconds:d} s")
def step_restarts(context, seconds):
    fleet = context.fleet

    async def restart_in_turn():
        for _ in range(8):
            fleet.restart(fleet.hosts[0])
            await fleet.run_callers(context.requests_per_s, float(seconds))

    run(context, restart_in_turn())


@when('a host of zone "{zone}" after the other is suspended for {seconds:d} s')
def step_suspensions(context, zone, seconds):
    fleet = context.fleet

    async def suspend_in_turn():
        hosts = [host for host in fleet.hosts if host.zone == zone][:4]
        callers = asyncio.ensure_future(
            fleet.run_callers(context.requests_per_s, len(hosts) * (seconds + 1.0))
        )
        for host in hosts:
            await fleet.suspend(host, float(seconds))
            await asyncio.sleep(1.0)
        await callers

    run(context, suspend_in_turn())


@then(
    "from 3 s after that on, hosts that were told sent "
    "at most {most:d} requests in any {seconds:d} s"
)
def step_told_hosts(context, most, seconds):
    fleet = context.fleet
    since = context.named_at + STABLE_WINDOW_S
    sends = [
        at
        for at, host in fleet.sends
        if at >= since and at >= fleet.told_at.get(host, float("inf")) + TOLD_DELAY_S
    ]
    assert_at_most(sends, most, float(seconds))


@then("all hosts together sent no more, once all of them had heard of the limit")
def step_all_hosts(context):
    fleet = context.fleet
    rate = fleet.rate_limit_per_s
    most = 1.5 * rate * LIMIT_WINDOW_S + 5.0
    sends = [at for at, _ in fleet.sends if at >= context.named_at + ALL_HEARD_S]
    assert sends, "nothing was sent"
    assert_at_most(sends, most, LIMIT_WINDOW_S)


@when("the endpoint names no limit any more for {seconds:d} s")
def step_lift_limit(context, seconds):
    context.fleet.rate_limit_per_s = None
    run(context, context.fleet.run_callers(context.requests_per_s, seconds))


@then("all hosts send to it without a limit")
def step_all_unlimited(context):
    fleet = context.fleet
    limits = [host.placement.find("limited").rate_limit_per_s for host in fleet.hosts]
    assert limits == [None] * len(fleet.hosts), limits
    senders = {host for at, host in fleet.sends if at > context.loop.time() - 4.0}
    assert senders == {host.address for host in fleet.hosts}, senders


@given("an endpoint that named a limit of {rate:f} requests a second at {at:f}")
def step_named_endpoint(context, rate, at):
    make_dispatcher(context, WarmUpLimit(0.0, 0.0))
    context.endpoint = EndpointState(make_endpoint_record("e1"))
    context.endpoint.apply_rate_limit(rate, at)


@when("it answers {rate:f} to a request of {sent_at:f}")
def step_answers_limit(context, rate, sent_at):
    context.endpoint.record_rate_limit(rate, sent_at, sent_at + 0.5)


@when("it answers without a limit to a request of {sent_at:f}")
def step_answers_none(context, sent_at):
    # The answer arrives later than the one that named the limit in each case.
    context.endpoint.record_rate_limit(None, sent_at, sent_at + 5.0)


@when("it answers without a limit that it did not run a request of {sent_at:f}")
def step_rejects(context, sent_at):
    placement, dispatcher = context.placement, context.dispatcher
    work = dispatcher.admit(make_request(), sent_at)
    attempt = dispatcher.record_sent(work, dispatcher.choose_endpoint(work, sent_at), sent_at)
    context.endpoint = placement.find("e1")
    context.endpoint.apply_rate_limit(2.0, sent_at - 1.0)
    dispatcher.record_rate_limit(attempt, None, False, sent_at + 0.1)


@then("its limit is {limit}")
def step_limit_is(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.endpoint.rate_limit_per_s == expected, context.endpoint.rate_limit_per_s


@then('an answer with "{value}" names the limit {limit}')
def step_decoded(context, value, limit):
    expected = None if limit == "none" else float(limit)
    answer = decode_answer(200, [(b"Server-Limit", value.encode())])
    assert answer.rate_limit_per_s == expected, answer


@given("a dispatcher of a host whose share of a limit is used up")
def step_used_up(context):
    make_dispatcher(context, WarmUpLimit(0.0, 0.0))
    placement = context.placement
    records = [make_endpoint_record("limited"), make_endpoint_record("other")]
    placement.update_endpoints(records, 90.0)
    endpoint = placement.find("limited")
    endpoint.apply_rate_limit(1.0, 99.0)
    for number in range(4):
        endpoint.record_send(99.0 + 0.1 * number)
    # The other endpoint is busy, so the limited one would be chosen.
    placement.find("other").in_flight = 7


def admit_on_trial(dispatcher, parts, now):
    """Admit a request that a roll-out sends to the new version, which fills one endpoint first."""
    rollouts = dispatcher.rollouts
    rollouts.apply_order(RolloutOrder("engines", "v1", 30.0, 7), now - 20.0)
    rollouts.find("engines").record_shift(now - 2.0)
    assert rollouts.is_in_shift("engines", "v1", now)
    for number in range(100):
        request = make_request(parts=parts, session=f"couple-{number}")
        work = dispatcher.admit(request, now)
        if rollouts.choose_version(work, now).allowed:
            return work
    raise AssertionError("no session is on trial")


@then("a request {way} is not sent to the limited endpoint")
def step_no_way(context, way):
    placement, dispatcher = context.placement, context.dispatcher
    now, parts, session = 100.0, (PromptPart("shared", 800), PromptPart("own", 10)), "couple"
    endpoint = placement.find("limited")
    work = dispatcher.admit(make_request(parts=parts, session=session), now)
    largest = None
    match way:
        case "sent first":
            pass
        case "sent again after a failure elsewhere":
            decision = dispatcher.choose_endpoint(work, now)
            attempt = dispatcher.record_sent(work, decision, now)
            failure = ConnectionBroke("reset")
            other = placement.find("other")
            assert dispatcher.handle_failure(work, other, attempt, failure, now) is None
        case "whose stream is resumed":
            work.last_event_id, work.session_version = 3, "v1"
        case "whose session was there before":
            dispatcher.rollouts.record_send(work, "v1", now - 1.0)
        case "whose prompt was read there":
            endpoint.record_prompt("small", parts, now - 1.0)
        case "for a larger model":
            largest = "large"
        case "of a version on trial":
            work = admit_on_trial(dispatcher, parts, now)
        case "that waited for a connection while the rest was used":
            assert not dispatcher.may_send(work, endpoint, now)
        case _:
            raise AssertionError(way)
    work.model_size = largest
    decision = dispatcher.choose_endpoint(work, now)
    assert not isinstance(decision, Refusal), decision
    assert decision.estimate.endpoint.record.instance_id == "other", decision
    placement.update_endpoints([endpoint.record], now)
    alone = dispatcher.choose_endpoint(dispatcher.admit(make_request(number=9), now), now)
    assert isinstance(alone, Refusal), alone
    assert response_for(alone.kind).not_run is NotRun.YES and alone.retry_after_s > 0.0, alone


@when("the record of the limited endpoint {event}")
def step_record_event(context, event):
    placement = context.placement
    started_ms = 1
    match event:
        case "is gone and comes back":
            placement.update_endpoints([make_endpoint_record("other")], 99.5)
        case "is gone and comes back after a new start":
            placement.update_endpoints([make_endpoint_record("other")], 99.5)
            started_ms = 2
        case "is renewed":
            pass
        case _:
            raise AssertionError(event)
    record = make_endpoint_record("limited", sequence=2, started_ms=started_ms)
    placement.update_endpoints([record, make_endpoint_record("other")], 99.8)
    context.endpoint = placement.find("limited")


@then("{count:d} sends to it in the last {seconds:d} s are known")
def step_known_sends(context, count, seconds):
    assert context.endpoint.count_sends(100.0, float(seconds)) == count


@given("an endpoint state")
def step_endpoint_state(context):
    context.placement = Placement("a", None)
    context.placement.update_endpoints([make_endpoint_record("engine-1")], 0.0)
    (context.endpoint,) = context.placement.endpoints()
    context.exchange = SharedLimitsExchange(PeerTable("a1", "a"), context.placement)


@when("an answer names no limit")
def step_no_limit(context):
    context.endpoint.record_rate_limit(None, 10.0, 10.0)


@when("an older limit becomes known, which that answer has lifted")
def step_older_limit(context):
    assert not context.endpoint.apply_rate_limit(5.0, 9.0)


@then("digests tell nothing of it")
def step_nothing_told(context):
    assert not context.exchange.rate_limits(11.0)


@then("digests tell that it names no limit")
def step_lift_told(context):
    (told,) = context.exchange.rate_limits(11.0)
    assert told.rate_per_s is None and told.age_s == 1.0, told
