import time

from behave import given, then, use_step_matcher, when

from features.steps.gateway_world import (
    ENGINES,
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_placement,
    make_request,
    make_work,
)
from poplarrun.dispatch import ConfigView, ConnectionBroke, SaidNotRun
from poplarrun.dispatch._hold_offs import plan_return_s
from poplarrun.errors import Refusal
from poplarrun.gateway import RelayDesk
from poplarrun.metrics import Metrics
from poplarrun.peers import PeerTable
from poplarrun.placement import HoldOff
from poplarrun.platform import decode_answer
from poplarrun.relays import AnswerHead, OpenRelay
from poplarrun.routing import PromptPart
from poplarrun.transport import seconds_since_boot

use_step_matcher("parse")

NOW_S = 100.0
REST_S = 3.0
PARTS = (PromptPart("shared", 800), PromptPart("own", 10))


@given("a dispatcher of a host that an endpoint asked for 3 s without requests")
def step_asked(context):
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(NOW_S)
    dispatcher = context.dispatcher = make_dispatch(view)
    placement = context.placement = dispatcher.placement
    placement.update_endpoints([make_endpoint_record("resting"), make_endpoint_record("other")])
    endpoint = placement.find("resting")
    # The other endpoint is busy, so this one would be chosen.
    placement.find("other").in_flight = 7
    context.older = dispatcher.admit(make_request(number=1), NOW_S - 1.0)
    decision = dispatcher.choose_endpoint(context.older, NOW_S - 1.0)
    context.older_attempt = dispatcher.record_sent(context.older, decision, NOW_S - 1.0)
    work = dispatcher.admit(make_request(number=2), NOW_S)
    decision = dispatcher.choose_endpoint(work, NOW_S)
    assert decision.estimate.endpoint is endpoint, decision
    attempt = dispatcher.record_sent(work, decision, NOW_S)
    dispatcher.record_hold_off(attempt, REST_S, NOW_S)
    assert dispatcher.handle_failure(work, endpoint, attempt, SaidNotRun(503), NOW_S) is None
    context.endpoint, context.now = endpoint, NOW_S


@then("a request {way} is not sent to the resting endpoint")
def step_no_way(context, way):
    dispatcher, placement, now = context.dispatcher, context.placement, NOW_S + 1.0
    endpoint = context.endpoint
    work = dispatcher.admit(make_request(parts=PARTS, session="couple"), now)
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
            endpoint.record_prompt("small", PARTS, now - 1.0)
        case "for a larger model":
            work.model_size = "large"
        case "that waited for a connection meanwhile":
            assert not dispatcher.may_send(work, endpoint, now)
        case _:
            raise AssertionError(way)
    decision = dispatcher.choose_endpoint(work, now)
    assert decision.estimate.endpoint.record.instance_id == "other", decision
    # Without another endpoint it is refused, with the rest of the time to wait at the least.
    placement.update_endpoints([endpoint.record], now)
    alone = dispatcher.choose_endpoint(dispatcher.admit(make_request(number=9), now), now)
    assert isinstance(alone, Refusal) and alone.retry_after_s >= REST_S - 1.0, alone


@when("an answer that began before the demand is complete")
def step_older_answer(context):
    dispatcher, now = context.dispatcher, NOW_S + 1.0
    dispatcher.record_first_event(context.older, context.older_attempt, now)
    dispatcher.record_completed(context.older, context.older_attempt, now)
    context.now = now


@when("its path is found lost and its failures are taken back")
def step_path_lost(context):
    context.endpoint.record_failure(NOW_S)
    context.endpoint.retract_unreached()


@when("its record lapses and returns")
def step_lapse(context):
    other = make_endpoint_record("other")
    context.placement.update_endpoints([other], NOW_S + 0.5)
    returned = make_endpoint_record("resting", sequence=2)
    context.placement.update_endpoints([returned, other], NOW_S + 1.0)


@when("it asks for a shorter time")
def step_shorter(context):
    context.endpoint.record_hold_off(0.1, NOW_S + 0.1)
    context.now = NOW_S + 1.0


@when("{seconds:f} s pass")
def step_pass(context, seconds):
    context.now = NOW_S + seconds


@when("it starts again")
def step_restart(context):
    restarted = make_endpoint_record("resting", started_ms=2)
    context.placement.update_endpoints([restarted], NOW_S + 0.5)


@when("another endpoint starts at its address")
def step_replaced(context):
    context.placement.update_endpoints([make_endpoint_record("resting-2")], NOW_S + 0.5)


@then("the host {keeps} away from the endpoint")
def step_keeps(context, keeps):
    address = context.endpoint.record.address
    at_address = [
        each
        for each in context.placement.endpoints()
        if each.record.address == address and each.record.instance_id != "other"
    ]
    sends = [context.placement.may_send(each, ENGINES, context.now) for each in at_address]
    assert sends == [keeps == "does not keep"], sends


@then(
    'an answer of status {status:d} with "{value}" asks for {seconds:f} s, '
    "and {count:d} headers are misread"
)
def step_decode(context, status, value, seconds, count):
    answer = decode_answer(status, [(b"Retry-After", value.encode())])
    assert answer.hold_off_s == seconds, answer
    assert len(answer.misread_headers) == count, answer


@given('a helper that relays "request-1" to an endpoint')
def step_helper(context):
    context.placement = make_placement(1)
    table = PeerTable("127.0.0.1:1", "a")
    context.desk = RelayDesk(context.placement, table, Metrics(), lambda: 0, lambda: 1)


@when("the endpoint answers {answer}, and asks for 3 s")
def step_answers(context, answer):
    status = int(answer[:3])
    headers = [(b"Retry-After", b"3")]
    if "not run" in answer:
        headers.append((b"X-Not-Executed", b"1"))
    if '"' in answer:
        headers.append((b"X-Attempt-Id", answer.split('"')[1].encode()))
    request = OpenRelay("127.0.0.2:1", "request-1", "engine-0", 1, 300)
    context.desk.record_answer(request, AnswerHead(status, tuple(headers)))


@when("the record of the endpoint lapses")
def step_helper_lapse(context):
    context.placement.update_endpoints([], NOW_S)


@when("the record of the endpoint returns")
def step_helper_return(context):
    context.placement.update_endpoints([make_endpoint_record("engine-0", sequence=2)], NOW_S)


@then("the helper {keeps} away from it")
def step_helper_keeps(context, keeps):
    endpoint = context.placement.find("engine-0")
    sends = context.placement.may_send(endpoint, ENGINES, seconds_since_boot())
    assert sends == (keeps == "does not keep")
    request = OpenRelay("127.0.0.2:1", "request-3", "engine-0", 1, 300)
    declined = context.desk.check(request)
    assert (declined is None) == sends, declined


@then(
    "a caller with {left:f} s left, at {position:f} of those that are refused "
    "while the first demand of 3 s ends in {wait:f} s, comes back after {seconds:f} s"
)
def step_return(context, left, position, wait, seconds):
    until = NOW_S + wait
    first = HoldOff(until - REST_S, until)
    assert abs(plan_return_s(first, left, position, NOW_S) - seconds) < 1e-6


def send_prompts(context, now):
    """Send each prompt once; return the endpoints by prompt."""
    homes = {}
    for number in range(context.count):
        parts = (PromptPart(f"shared-{number}", 4000), PromptPart(f"own-{number}-{now}", 10))
        work = make_work(parts, number=number)
        estimate = context.placement.choose(work, ENGINES, now, "small")
        estimate.endpoint.record_prompt("small", parts, now)
        homes[number] = estimate
    return homes


@given("{count:d} prompts that were read at their homes among {engines:d} engines")
def step_homes(context, count, engines):
    context.count = count
    context.placement = make_placement(engines)
    context.homes = send_prompts(context, NOW_S)
    assert len({id(each.endpoint) for each in context.homes.values()}) == engines


@when("one engine asks for 3 s without requests")
def step_one_rests(context):
    context.placement.record_hold_off(context.placement.find("engine-1"), REST_S, NOW_S)
    context.moved = send_prompts(context, NOW_S + 1.0)


@then("only its own prompts move to another home")
def step_only_own(context):
    for number, home in context.homes.items():
        is_moved = context.moved[number].endpoint is not home.endpoint
        assert is_moved == (home.endpoint.record.instance_id == "engine-1"), number


@then("after the demand no prompt is read once more")
def step_back_home(context):
    returned = send_prompts(context, NOW_S + REST_S + 3.0)
    homes = {
        number
        for number, home in returned.items()
        if home.endpoint.record.instance_id == "engine-1"
    }
    assert homes, "no prompt is back"
    assert all(each.uncached_tokens <= 10 for each in returned.values()), returned


@then("no answer of the version is counted as failed")
def step_no_evidence(context):
    tallies = context.dispatcher.rollouts.statistics.local.values()
    assert sum(tally.answers for tally in tallies) == 0, tallies


@given('"{instance_id}" rejects all requests and asks for {seconds} s without any')
def step_rejects(context, instance_id, seconds):
    context.resting = context.installation.endpoints[instance_id]
    context.resting.hold_off = seconds


@when("callers at both hosts send {count:d} lookups")
def step_lookups(context, count):
    context.answers = []
    for number in range(count):
        started_at = time.monotonic()
        answer = context.installation.call(
            "/lookup/ring", number % 2, method="GET", X_Deadline_Ms="30000"
        )
        context.answers.append((answer, time.monotonic() - started_at))


@then(
    "those that did not reach it are refused as not run within {seconds:f} s, "
    "with {least:d} to {most:d} s to wait"
)
def step_refused(context, seconds, least, most):
    assert all(answer.status == 503 for answer, _ in context.answers), context.answers
    assert len(context.resting.received_requests) <= 4, context.resting.received_requests
    waits = [float(answer.headers["retry-after"]) for answer, _ in context.answers]
    assert all(least <= wait <= most for wait in waits[2:]), waits
    assert all(took < seconds for _, took in context.answers), context.answers
    assert len(set(waits[2:])) > 1, waits


@then("logs and counters of the hosts tell whose demand it was")
def step_told(context):
    installation = context.installation
    for number in range(2):
        for words in ("HoldOffAsked", "stock-1 asked"):
            installation.wait_for(
                lambda number=number, words=words: words in installation.read_log(number),
                f"host {number} logs {words!r}",
            )
        metrics = installation.fetch_metrics(number)
        assert 'event="refused_by_hold_off"' in metrics, metrics
