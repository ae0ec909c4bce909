import re

from behave import given, then, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_placement,
    make_request,
    make_route,
    make_work,
)
from poplarrun.dispatch import (
    ConfigView,
    ConnectionBroke,
    SendDecision,
    can_abandon,
    event_gap_timeout_s,
    first_event_timeout_s,
)
from poplarrun.errors import NotRun, Refusal, response_for
from poplarrun.gateway._host import RETRY_FRACTION
from poplarrun.placement import EndpointEstimate
from poplarrun.retries import WindowedRetryBudget
from poplarrun.routing import Account, InFlightRequest, RepeatPolicy
from poplarrun.shares import Budget, BudgetShares, HostSighting


def send_until_refused(dispatch, number):
    now = 100.0 + number * 0.01
    work = dispatch.admit(make_request(number=number), now)
    while True:
        step = dispatch.choose_endpoint(work, now)
        if isinstance(step, Refusal):
            return work.sends
        attempt = dispatch.record_sent(work, step, now)
        failure = ConnectionBroke("reset")
        if dispatch.handle_failure(work, step.estimate.endpoint, attempt, failure, now) is not None:
            return work.sends


@given(
    "a dispatcher whose configuration was confirmed at {at:f} "
    "with a revocation limit of {limit:f} s"
)
def step_dispatcher(context, at, limit):
    context.config_view = ConfigView(limit)
    context.config_view.apply_catalogue(make_catalogue())
    context.config_view.confirm(at)
    context.dispatch = make_dispatch(context.config_view)


@then("a request with a key is admitted at {at:f}")
def step_admitted(context, at):
    context.work = context.dispatch.admit(make_request(), at)
    assert isinstance(context.work, InFlightRequest), context.work


@then('a request with a key is refused with "{kind}" at {at:f}')
def step_refused(context, kind, at):
    refusal = context.dispatch.admit(make_request(), at)
    assert isinstance(refusal, Refusal) and refusal.kind.value == kind, refusal
    assert response_for(refusal.kind).not_run is NotRun.YES and refusal.retry_after_s > 0.0


@then("after a new confirmation at {confirmed:f} a request with a key is admitted at {at:f}")
def step_confirmed(context, confirmed, at):
    context.config_view.confirm(confirmed)
    step_admitted(context, at)


@when("a request with a key is admitted at {at:f} and its host is suspended until {until:f}")
def step_suspended(context, at, until):
    step_admitted(context, at)
    context.refusal = context.dispatch.recheck(context.work, until)


@when("a request with a key was sent at {at:f} and its connection breaks at {broken:f}")
def step_sent_and_broken(context, at, broken):
    step_admitted(context, at)
    dispatch, work = context.dispatch, context.work
    step = dispatch.choose_endpoint(work, at)
    attempt = dispatch.record_sent(work, step, at)
    failure = ConnectionBroke("reset")
    assert dispatch.handle_failure(work, step.estimate.endpoint, attempt, failure, broken) is None
    context.broken_at = broken


@then('it is sent again, and a new request is refused with "{kind}" at {at:f}')
def step_sent_again(context, kind, at):
    assert isinstance(
        context.dispatch.choose_endpoint(context.work, context.broken_at), SendDecision
    )
    step_refused(context, kind, at)


@when("a request with a key is admitted at {at:f} and its key is revoked")
def step_key_revoked(context, at):
    step_admitted(context, at)
    context.config_view.apply_catalogue(make_catalogue(version=2, keys=()))
    context.refusal = context.dispatch.recheck(context.work, at + 0.1)


@then('it may not be sent, and the refusal says "not run"')
def step_refused_not_run(context):
    assert isinstance(context.refusal, Refusal), context.refusal
    assert response_for(context.refusal.kind).not_run is NotRun.YES, context.refusal


@when("the versions {first:d}, {second:d} and {third:d} arrive in this order")
def step_versions(context, first, second, third):
    context.applied = [
        context.config_view.apply_catalogue(make_catalogue(v)) for v in (first, second, third)
    ]


@then("version {version:d} is in force and {older:d} changed nothing")
def step_in_force(context, version, older):
    assert context.applied == [True, False, False]
    assert context.config_view.catalogue.version == version


@when('a stream\'s connection fails with "broken" and no endpoint is left')
def step_stream_broken(context):
    dispatch = context.dispatch
    work = dispatch.admit(make_request(), 100.1)
    step = dispatch.choose_endpoint(work, 100.1)
    assert isinstance(step, SendDecision)
    attempt = dispatch.record_sent(work, step, 100.1)
    dispatch.handle_failure(work, step.estimate.endpoint, attempt, ConnectionBroke("reset"), 100.2)
    dispatch.placement.update_endpoints([])
    context.refusal = dispatch.choose_endpoint(work, 100.3)


@then('the refusal doesn\'t say "not run"')
def step_not_claimed(context):
    assert isinstance(context.refusal, Refusal)
    answer = response_for(context.refusal.kind)
    assert answer.not_run is not NotRun.YES and answer.status not in (408, 421, 429, 503)


@given(
    "{count:d} dispatchers that may make {ratio:f} retries for each request "
    "and {allowance:d} in addition"
)
def step_dispatchers(context, count, ratio, allowance):

    hosts = [f"a{number}" for number in range(count)]
    context.dispatches = []
    for host in hosts:
        config_view = ConfigView(None)
        config_view.apply_catalogue(make_catalogue())
        config_view.confirm(100.0)
        dispatch = make_dispatch(config_view, 4, RETRY_FRACTION * ratio, RETRY_FRACTION * allowance)
        hear_each_other(dispatch.placement.shares, host, hosts)
        context.dispatches.append(dispatch)


def hear_each_other(shares, host, hosts):
    shares.start(host, "a", 0.0)
    others = [each for each in hosts if each != host]
    for now in (0.0, 50.0, 100.0):
        shares.update_hosts([HostSighting(each, "a", True, now) for each in others], now)


@when("each of them gets {count:d} requests that fail at each endpoint")
def step_all_attempts_fail(context, count):
    context.sends = context.requests = 0
    for dispatch in context.dispatches:
        for number in range(count):
            context.requests += 1
            context.sends += send_until_refused(dispatch, number)


@when("the operators allow {ratio:f} retries for each request and {allowance:d} in addition")
def step_new_limits(context, ratio, allowance):
    (dispatch,) = context.dispatches
    dispatch.retry_budgets.set_limits(ratio, Budget(allowance, allowance, 10.0))


@then("one more request that fails at each endpoint is sent once")
def step_sent_once(context):
    (dispatch,) = context.dispatches
    assert send_until_refused(dispatch, 5) == 1


@then("{hosts:d} hosts together have an allowance of at most {allowance:d}")
def step_allowance_of_hosts(context, hosts, allowance):
    budget = Budget(int(RETRY_FRACTION * allowance), allowance, 10.0)
    addresses = [f"a{number}" for number in range(hosts)]
    total = 0
    for address in addresses:
        shares = BudgetShares()
        hear_each_other(shares, address, addresses)
        total += shares.fleet_share("retries", budget, 100.0)
    assert budget.total <= total <= allowance, total


@then("all retries together are at most {ratio:f} times {count:d} and {allowance:d}")
def step_retry_budget(context, ratio, count, allowance):
    assert context.requests == count
    assert context.sends - context.requests <= ratio * count + allowance, context.sends
    # Without this, a budget that allows no retries would pass too.
    assert context.sends > 1.5 * context.requests


@given('a catalogue with the prefixes "{one}", "{two}" and "{three}" of one host')
def step_prefixes(context, one, two, three):
    context.catalogue = make_catalogue(routes=tuple(make_route(p) for p in (one, two, three)))


@then('"{one}" is routed to "{first}", "{two}" to "{second}" and "{three}" to "{third}"')
def step_longest_prefix(context, one, first, two, second, three, third):
    found = [context.catalogue.find_route("shop", path).prefix for path in (one, two, three)]
    assert found == [first, second, third], found
    assert context.catalogue.find_route("other", one) is None


@then("a request of an account of rank {rank:d} on a route of rank {route:d} has rank {whole:d}")
def step_rank(context, rank, route, whole):
    work = InFlightRequest(
        make_request(), make_route(rank=route), Account("a", rank), "engines", 0.0, 1.0
    )
    assert work.priority == whole


@then("a stream expected after {one:f} s times out after {first:f} s, {rest}")
def step_timeout(context, one, first, rest):
    other, second = (float(number) for number in re.findall(r"[0-9.]+(?= s)", rest))
    endpoint = make_placement(1).find("engine-0")
    for expected, timeout_s in ((one, first), (other, second)):
        estimate = EndpointEstimate(endpoint, 0.0, expected, 0)
        assert first_event_timeout_s(make_work(), estimate) == timeout_s


@then("its last attempt, and an order, have no timeout")
def step_no_timeout(context):
    estimate = EndpointEstimate(make_placement(1).find("engine-0"), 0.0, 0.2, 0)
    last = make_work()
    last.possible_runs = 2
    order = make_work()
    order.route = make_route(repeat=RepeatPolicy.ONCE, attempts=1)
    assert (
        first_event_timeout_s(last, estimate) is None
        and first_event_timeout_s(order, estimate) is None
    )
    assert event_gap_timeout_s(order) is None


@given(
    "a stream that may be sent {sends:d} times, after {failures:d} failed sends, and "
    "{retries:d} retries left"
)
def step_failed_stream(context, sends, failures, retries):
    context.work = make_work()
    context.work.route = make_route(attempts=sends)
    context.work.possible_runs = failures
    context.budget = WindowedRetryBudget(0.0, float(retries), 10.0)


@then("a silent endpoint of it is {outcome}")
def step_abandoned(context, outcome):
    may = can_abandon(context.work, context.budget, 100.0)
    assert may == (outcome == "abandoned"), may
