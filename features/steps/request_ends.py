import asyncio
import dataclasses
from unittest.mock import patch

import msgspec
from behave import given, then, use_step_matcher, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_request,
    make_route,
)
from poplarrun.crashes import (
    MAX_ENDED_REQUESTS,
    RequestEnd,
    RequestEnds,
)
from poplarrun.dispatch import (
    AnswerFailed,
    ConfigView,
    ConnectionBroke,
    Garbled,
    NoConnection,
    SaidNotRun,
    SendDecision,
    TookTooLong,
    start_of,
)
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.gateway import _crash_probe
from poplarrun.gateway._copied_requests import describe_request, recall_request
from poplarrun.gateway._crash_probe import CrashProbe
from poplarrun.gateway._request_end_exchange import RequestEndExchange
from poplarrun.metrics import Metrics
from poplarrun.peers import AnsweredRequest, Digest, EndUnderRequest, RequestWithEnds
from poplarrun.routing import Account, InFlightRequest, PromptPart
from poplarrun.transport import ConnectionPool, ConnectRefused

use_step_matcher("parse")

NOW = 1000.0
REQUEST = 7
PARTS = tuple(PromptPart(part, 100) for part in ("system", "own"))
PROBE_WAIT_S = 0.1
DIGEST = Digest("10.0.0.2:1", "b", NOW, 0.0, 0.0, 1, 0.0, 0.0)


class RefusingPool(ConnectionPool):
    """Finds no process at any address."""

    async def open(self, address, timeout_s):
        raise ConnectRefused("refused")


def add_ends(requests, fingerprint, count, now, first=0):
    for number in range(first, first + count):
        end = RequestEnd(number, now - 0.1, now - 0.05)
        requests.record(fingerprint, end, now)
        now += 0.2
    return now


def tell(source, target, now):
    """Let a host have the digest that another one sends."""
    exchange = RequestEndExchange(source)
    digest = msgspec.structs.replace(
        DIGEST,
        requests_with_ends=exchange.requests_with_ends(now),
        answered_requests=exchange.answered_requests(now),
    )
    RequestEndExchange(target).apply_digest(digest, now)


@given(
    "attempts of a request from and until these seconds, at the end of an endpoint each: {attempts}"
)
def step_attempts(context, attempts):
    context.requests = RequestEnds()
    for number, attempt in enumerate(attempts.split(", ")):
        sent_at, ended_at = (NOW + float(each) for each in attempt.split("-"))
        context.now = ended_at
        context.requests.record(REQUEST, RequestEnd(number, sent_at, ended_at), ended_at)


@then("{count:d} ends count, and the request is {taken}")
def step_count(context, count, taken):
    found = context.requests.count(REQUEST, context.now)
    is_refused = context.requests.find_refused(REQUEST, context.now) is not None
    assert (found, is_refused) == (count, taken == "refused"), (found, is_refused)


@given("a request that is refused at two hosts since three endpoints ended under it")
def step_two_hosts(context):
    make_world(context)
    work = admit(context)
    context.fingerprint = work.fingerprint
    context.decision, context.attempt, context.work = *send(context, work), work
    context.first = context.dispatcher.crash_guard.watch.requests
    context.second = RequestEnds()
    context.now = add_ends(context.first, work.fingerprint, 3, NOW)
    tell(context.first, context.second, context.now)
    for each in (context.first, context.second):
        assert each.find_refused(context.fingerprint, context.now) is not None


@given("a request that was answered whole {seconds:d} s before at the first host")
def step_answered_lately(context, seconds):
    context.first, context.second, context.fingerprint = RequestEnds(), RequestEnds(), REQUEST
    context.first.record_answered(REQUEST, NOW - seconds, NOW - seconds)


@when("three endpoints end under it {apart:g} s apart, one after the other")
def step_quick_ends(context, apart):
    context.now = NOW + 1.0
    for number in range(3):
        sent_at = NOW + apart * number
        end = RequestEnd(number, sent_at, sent_at + 0.001)
        context.first.record(REQUEST, end, context.now)


@when("an attempt is answered whole at the first host")
def step_answered(context):
    context.dispatcher.record_completed(context.work, context.attempt, context.now)


@when("an attempt ends with an endpoint's error")
def step_error(context):
    fail(context, AnswerFailed(500), context.now)


@when("an attempt has only begun to be answered")
def step_begun(context):
    context.dispatcher.record_first_event(context.work, context.attempt, context.now)


@when("an attempt was answered whole 70 s before the first end")
def step_answered_before(context):
    context.first.record_answered(context.fingerprint, NOW - 70.0, context.now)


@when("{seconds:d} s are over")
def step_time(context, seconds):
    context.now += seconds


@when("{seconds:d} s are over, and one more endpoint ends under it")
def step_time_and_end(context, seconds):
    # By then one of the three has been forgotten.
    context.now = add_ends(context.first, context.fingerprint, 1, context.now + seconds, 9) + 9.3


@then("the first host has it {first}, and the second one {second}")
def step_two_refused(context, first, second):
    tell(context.first, context.second, context.now)
    found = [
        each.find_refused(context.fingerprint, context.now) is not None
        for each in (context.first, context.second)
    ]
    assert found == [first == "refused", second == "refused"], found


def make_world(context):
    view = ConfigView()
    catalogue = make_catalogue(keys=("key", "second"))
    context.accounts = {**(catalogue.accounts or {}), "other": Account("other")}
    view.apply_catalogue(dataclasses.replace(catalogue, accounts=context.accounts))
    view.confirm(NOW)
    context.dispatcher = make_dispatch(view, engines=3)
    context.request = dataclasses.replace(make_request(parts=PARTS), time_left_s=60.0)


def admit(context, **changes):
    request = dataclasses.replace(context.request, **changes)
    work = context.dispatcher.admit(request, NOW)
    assert isinstance(work, InFlightRequest), work
    return work


def send(context, work):
    decision = context.dispatcher.choose_endpoint(work, NOW)
    assert isinstance(decision, SendDecision), decision
    return decision, context.dispatcher.record_sent(work, decision, NOW)


def fail(context, failure, now):
    endpoint = context.decision.estimate.endpoint
    return context.dispatcher.handle_failure(context.work, endpoint, context.attempt, failure, now)


@given("a host with an attempt that {attempt}")
def step_attempt(context, attempt):
    make_world(context)
    context.work = admit(context)
    context.decision, context.attempt = send(context, context.work)
    context.now = NOW + 1.0
    dispatcher, work, sent = context.dispatcher, context.work, context.attempt
    failures = {
        "broke before it began to be answered": ConnectionBroke("reset"),
        "broke at an endpoint that is leaving": ConnectionBroke("reset"),
        "was given up, since it took too long": TookTooLong(1.0),
        "was given up, since it answered garbage": Garbled("no signature"),
        "was rejected": SaidNotRun(503),
        "was answered with an error": AnswerFailed(500),
    }
    if attempt in failures:
        fail(context, failures[attempt], context.now)
    match attempt:
        case "broke after it had begun to be answered":
            dispatcher.record_first_event(work, sent, NOW)
            fail(context, ConnectionBroke("reset"), context.now)
        case "was given up, since its caller left":
            dispatcher.record_cancelled(sent, context.now)
        case "was given up for a larger model":
            assert dispatcher.try_escalate(work, sent, 0.0, context.now).is_asked
        case "was given up 6 s before":
            dispatcher.record_cancelled(sent, context.now - 6.0)
        case "was answered whole":
            dispatcher.record_completed(work, sent, context.now)
        case "broke at an endpoint that is leaving":
            dispatcher.crash_guard.watch.is_leaving = lambda start: True
        case "was given up at one that is leaving":
            dispatcher.record_cancelled(sent, context.now)
            dispatcher.crash_guard.watch.is_leaving = lambda start: True


@when("its endpoint is found to have ended")
def step_ended(context):
    start = start_of(context.decision.estimate.endpoint.record)
    context.dispatcher.crash_guard.watch.record_ended(start, context.now)


@when("a connection to its endpoint is refused")
def step_connection_refused(context):
    context.metrics = Metrics()
    guard, placement = context.dispatcher.crash_guard, context.dispatcher.placement
    probe = CrashProbe(guard, RefusingPool(), placement, context.metrics)
    record = context.decision.estimate.endpoint.record

    async def run():
        with patch.object(_crash_probe, "seconds_since_boot", lambda: context.now):
            await probe.check(context.work, record, None, NoConnection("refused"))
            await asyncio.sleep(PROBE_WAIT_S)

    asyncio.run(run())


@then("{count:d} endpoints count as crashed")
def step_crashed(context, count):
    found = context.metrics.event_counts["endpoint_crashed"]
    assert found == count, found


@then("{count:d} ends count under the request")
def step_counted(context, count):
    requests = context.dispatcher.crash_guard.watch.requests
    found = requests.count(context.work.fingerprint, context.now)
    assert found == count, found


@given("a request that is refused since three endpoints ended under it")
def step_refused(context):
    make_world(context)
    quarantine(context, admit(context).fingerprint)


def quarantine(context, fingerprint):
    requests = context.dispatcher.crash_guard.watch.requests
    add_ends(requests, fingerprint, 3, NOW - 1.0)


@then("a copy of it that another host is asked for has the same fingerprint")
def step_copied(context):
    work = InFlightRequest(
        context.request, make_route(), Account("acme"), "engines", NOW, NOW + 60.0
    )
    catalogue = context.dispatcher.config_view.catalogue
    copied = recall_request(describe_request(work, NOW), "engines", catalogue, NOW)
    assert copied.fingerprint == work.fingerprint, copied


CHANGES = {
    "another id": {"id": "req-again"},
    "another key of its account": {"api_key": "second"},
    "less time left": {"time_left_s": 1.0},
    "a later event to resume": {"resume_after": 3},
    "another session": {"session_id": "other"},
    "another account": {"api_key": "other"},
    "another path": {"target": b"/y"},
    "another method": {"method": b"PUT"},
    "another body": {"body": b"x"},
    "another last part": {"prompt_parts": (PARTS[0], PromptPart("other", 100))},
    "another model": {"model": "small"},
}


@then("an attempt with {change} is {taken}")
def step_changed(context, change, taken):
    request = dataclasses.replace(context.request, **CHANGES[change])
    found = context.dispatcher.admit(request, NOW)
    assert isinstance(found, Refusal) == (taken == "refused as a repeat"), found


@given("a request that is refused since three endpoints ended under it, and an attempt of it {way}")
def step_way(context, way):
    make_world(context)
    work = context.work = admit(context)
    if way == "was rejected by an endpoint":
        context.decision, context.attempt = send(context, work)
        fail(context, SaidNotRun(503), NOW)
    if way == "is to be asked of a larger model":
        _, attempt = send(context, work)
        assert context.dispatcher.try_escalate(work, attempt, 0.0, NOW).is_asked
    if way == "may have run":
        work.may_have_run = True
    if way == "is a stream that is resumed":
        work.may_have_run, work.last_event_id = True, 3
    quarantine(context, work.fingerprint)
    match way:
        case "arrives":
            context.refusal = context.dispatcher.admit(context.request, NOW)
        case "waited for a connection meanwhile":
            context.refusal = context.dispatcher.recheck(work, NOW)
        case _:
            context.refusal = context.dispatcher.choose_endpoint(work, NOW)


@then("that attempt is refused as {kind}")
def step_kind(context, kind):
    assert isinstance(context.refusal, Refusal), context.refusal
    assert context.refusal.kind.value == kind, context.refusal
    assert "3 ends" in context.refusal.detail, context.refusal


@then("the answer to a refused request is 503, not run, without a time to come back")
def step_answer(context):
    answer = response_for(ErrorKind.REQUEST_QUARANTINED)
    assert (answer.status, answer.not_run) == (503, NotRun.YES), answer
    assert answer.retry_after_s is None, answer


@given("{count:d} requests under which an endpoint ended, {refused:d} of them with three ends")
def step_many(context, count, refused):
    context.requests, context.now = RequestEnds(), NOW
    for fingerprint in range(count):
        end = RequestEnd(fingerprint, NOW - 0.2, NOW - 0.1)
        context.requests.record(2**63 + fingerprint, end, NOW)
    context.refused = [2**63 + count + number for number in range(refused)]
    for fingerprint in context.refused:
        context.now = add_ends(context.requests, fingerprint, 3, NOW)


@then("at most {most:d} are remembered, and the {count:d} are refused")
def step_bounded(context, most, count):
    assert most == MAX_ENDED_REQUESTS
    assert len(list(context.requests.changed_since(0.0))) <= most
    found = [each.fingerprint for each in context.requests.refused(context.now)]
    assert sorted(found) == context.refused, found


@then("a digest tells of at most {most:d}, in at most {size:d} bytes, the {count:d} among them")
def step_digest(context, most, size, count):
    told = RequestEndExchange(context.requests).requests_with_ends(context.now)
    encoded = msgspec.msgpack.encode(told)
    assert len(told) <= most and len(encoded) <= size, (len(told), len(encoded))
    assert set(context.refused) <= {each.fingerprint for each in told}


@given("{count:d} requests that are refused since three endpoints ended under each")
def step_many_refused(context, count):
    context.requests = RequestEnds()
    for fingerprint in range(count):
        context.now = add_ends(context.requests, fingerprint, 3, NOW, 3 * fingerprint)


@when("another host gets {count:d} digests, {seconds:d} s later")
def step_digests(context, count, seconds):
    context.other, context.now = RequestEnds(), context.now + seconds
    exchange, other = RequestEndExchange(context.requests), RequestEndExchange(context.other)
    for _ in range(count):
        told = exchange.requests_with_ends(context.now)
        digest = msgspec.structs.replace(DIGEST, requests_with_ends=told)
        other.apply_digest(digest, context.now)


@then("it refuses all {count:d} too")
def step_all_refused(context, count):
    assert len(context.other.refused(context.now)) == count


@when("a digest tells of ends with ages of -1 and 2**63 ms, and of an answer of -1 ms")
def step_odd(context):
    context.requests = RequestEnds()
    ends = [EndUnderRequest(1, -1, 5), EndUnderRequest(2, 5, -1), EndUnderRequest(3, 2**63, 5)]
    digest = msgspec.structs.replace(
        DIGEST,
        requests_with_ends=[RequestWithEnds(REQUEST, ends)],
        answered_requests=[AnsweredRequest(REQUEST, -1)],
    )
    RequestEndExchange(context.requests).apply_digest(digest, NOW)


@then("no request is remembered")
def step_none(context):
    assert not list(context.requests.changed_since(0.0))
