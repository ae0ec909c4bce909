import asyncio
import dataclasses
import socket

from behave import given, then, use_step_matcher, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_placement,
    make_request,
)
from poplarrun.crashes import CrashWatch, EndpointStart
from poplarrun.dispatch import (
    ConfigView,
    ConnectionBroke,
    CrashGuard,
    SaidNotRun,
    SendDecision,
    start_of,
)
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.gateway._crash_probe import CrashProbe
from poplarrun.metrics import Metrics
from poplarrun.routing import InFlightRequest, PromptPart
from poplarrun.transport import ConnectFailed, ConnectionPool

use_step_matcher("parse")

NOW = 100.0
# Time after which what other hosts know has arrived.
SETTLED_S = 1.0
BAD = "red"
SILENT_ADDRESS = "192.0.2.1"
PROBE_WAIT_S = 0.2


class SilentPool(ConnectionPool):
    """Opens no connection in time."""

    async def open(self, address, timeout_s):
        raise ConnectFailed("timeout")


def start(name, started_ms=0):
    return EndpointStart(name, started_ms)


@given('a host whose endpoint "{name}" holds requests with these prompts')
def step_holds(context, name):
    context.watch = CrashWatch()
    for number, row in enumerate(context.table):
        context.watch.record_sent(number, start(name), row["prompt"].split())
        match row["state"]:
            case "begun":
                context.watch.record_begun(number, NOW)
            case "broken before":
                context.watch.record_closed(number, True, NOW)
            case "cancelled":
                context.watch.record_closed(number, False, NOW)


@when('"{name}" is found to have ended')
def step_ended(context, name):
    context.report = context.watch.record_ended(start(name), NOW + 0.1)


@then('the report counts {requests:d} requests, {begun:d} of them begun, and suspects "{suspects}"')
def step_report(context, requests, begun, suspects):
    report = context.report
    assert (report.requests, report.begun) == (requests, begun), report
    assert set(report.suspects) == set(suspects.split(", ")), report


@when('a peer tells that "{name}" has ended')
def step_peer_tells(context, name):
    context.report = context.watch.apply_crash(start(name), NOW, [], NOW + 0.1)


@given("an endpoint that {state}, and broke off an answer")
def step_endpoint(context, state):
    context.guard = CrashGuard()
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(listener.close)
    port = listener.getsockname()[1]
    address = f"127.0.0.1:{port}"
    if state == "listens no more":
        listener.close()
    elif state == "is silent":
        address = f"{SILENT_ADDRESS}:{port}"
    context.record = dataclasses.replace(make_endpoint_record("e1"), address=address)
    context.guard.watch.record_sent("send", start_of(context.record), ["system", BAD, "own"])


@when("a host probes it")
def step_probe(context):
    placement = make_placement(1)
    context.metrics = Metrics()
    pool = ConnectionPool() if SILENT_ADDRESS not in context.record.address else SilentPool()
    probe = CrashProbe(context.guard, pool, placement, context.metrics)

    async def run():
        probe.start(context.record)
        await asyncio.sleep(PROBE_WAIT_S)

    asyncio.run(run())


@then("the endpoint {has} crashed")
def step_has_crashed(context, has):
    count = context.metrics.event_counts["endpoint_crashed"]
    assert count == (has == "has"), count
    assert context.guard.watch.evidence.suspects() == ({"system", BAD} if count else set())


def apply_crashes(watch, crashes, since=NOW):
    now = since
    for number, parts in enumerate(crashes):
        now = since + number
        watch.apply_crash(start(f"e-{since}-{number}"), now, parts, now)
        watch.update(now)
    watch.update(now + SETTLED_S)
    return now + SETTLED_S


def find_refused(watch, now):
    return sorted("+".join(sorted(each.parts)) for each in watch.quarantines.active(now))


@given("evidence of these crashes, a second apart: {crashes}")
def step_evidence(context, crashes):
    context.watch = CrashWatch()
    context.now = apply_crashes(context.watch, [each.split() for each in crashes.split(", ")])


@given(
    "crashes of three endpoints {seconds:d} s apart by requests with the same part, "
    "and meanwhile {event}"
)
def step_slow_evidence(context, seconds, event):
    watch = context.watch = CrashWatch()
    for number in range(3):
        context.now = NOW + number * seconds
        watch.apply_crash(start(f"e-{number}"), context.now, [BAD, f"other-{number}"], context.now)
        watch.update(context.now)
        if event == "nothing" or number == 2:
            continue
        begun_at = context.now + seconds / 4.0
        if "this host" in event:
            watch.record_sent("sound", start("e-sound"), [BAD, "own"])
            watch.record_begun("sound", begun_at)
            watch.record_closed("sound", False, begun_at)
        else:
            watch.apply_begun([BAD], begun_at, begun_at + 1.0)
    context.now += SETTLED_S
    watch.update(context.now)


@then('the parts that are refused are "{refused}"')
def step_refused(context, refused):
    expected = [] if refused == "-" else refused.split(", ")
    found = find_refused(context.watch, context.now)
    assert found == expected, found


@given("a part that is refused")
def step_one_refused(context):
    context.watch = CrashWatch()
    apply_crashes(context.watch, [[BAD]] * 3)
    (context.quarantine,) = context.watch.quarantines.active(NOW + SETTLED_S + 3.0)
    context.now = context.quarantine.at


@when("an answer begins on it at another host")
def step_begins(context):
    context.watch.apply_begun([BAD], context.now, context.now)


@when("an answer begins on another part")
def step_other_begins(context):
    context.watch.apply_begun(["blue"], context.now, context.now)


@when("{seconds:d} s go by")
def step_time(context, seconds):
    context.now += seconds


@when("{seconds:d} s go by and one more endpoint crashes")
def step_time_and_crash(context, seconds):
    context.now = apply_crashes(context.watch, [[BAD, "blue"]], context.now + seconds)


@then("requests with it {are} refused")
def step_are_refused(context, are):
    context.watch.update(context.now)
    found = context.watch.find_quarantine(["blue", BAD, "own"], context.now)
    assert (found is not None) == (are == "are"), found


def make_world(context):
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(NOW)
    context.dispatcher = make_dispatch(view, engines=3)
    parts = tuple(PromptPart(part, 100) for part in ("blue", BAD, "own"))
    context.request = dataclasses.replace(make_request(parts=parts), time_left_s=60.0)
    context.watch = context.dispatcher.crash_guard.watch


def admit(context):
    work = context.dispatcher.admit(context.request, NOW)
    assert isinstance(work, InFlightRequest), work
    return work


def send(context, work):
    decision = context.dispatcher.choose_endpoint(work, NOW)
    assert isinstance(decision, SendDecision), decision
    return decision, context.dispatcher.record_sent(work, decision, NOW)


@given("a dispatcher of a host that refuses a part")
def step_refusing(context):
    make_world(context)


def quarantine(context):
    context.watch.quarantines.add([BAD], NOW, NOW)


@then("a request with it that arrives is refused as {kind}")
def step_arrives(context, kind):
    quarantine(context)
    check(context.dispatcher.admit(context.request, NOW), kind)


@then("a request with it that waited for a connection meanwhile is refused as {kind}")
def step_waited(context, kind):
    work = admit(context)
    quarantine(context)
    check(context.dispatcher.recheck(work, NOW), kind)


@then("a request with it that was rejected by an endpoint is refused as {kind}")
def step_rejected(context, kind):
    work = admit(context)
    decision, attempt = send(context, work)
    quarantine(context)
    context.dispatcher.handle_failure(
        work, decision.estimate.endpoint, attempt, SaidNotRun(503), NOW
    )
    check(context.dispatcher.choose_endpoint(work, NOW), kind)


@then("a request with it that may have run is refused as {kind}")
def step_may_have_run(context, kind):
    work = admit(context)
    work.may_have_run = True
    quarantine(context)
    check(context.dispatcher.choose_endpoint(work, NOW), kind)


@then("a request with it whose stream is resumed is refused as {kind}")
def step_resumed(context, kind):
    work = admit(context)
    work.may_have_run, work.last_event_id = True, 3
    quarantine(context)
    check(context.dispatcher.choose_endpoint(work, NOW), kind)


def check(refusal, kind):
    assert isinstance(refusal, Refusal), refusal
    assert refusal.kind.value == kind, refusal
    assert BAD in refusal.detail, refusal


@then("the answer to a refused prompt is 503, not run, without a time to come back")
def step_answer(context):
    answer = response_for(ErrorKind.PROMPT_QUARANTINED)
    assert (answer.status, answer.not_run) == (503, NotRun.YES), answer
    assert answer.retry_after_s is None, answer
    make_world(context)
    quarantine(context)
    assert context.dispatcher.admit(context.request, NOW).retry_after_s is None


@given("a dispatcher of a host with a request that an endpoint held when it crashed")
def step_held(context):
    make_world(context)
    context.work = admit(context)
    context.decision, context.attempt = send(context, context.work)
    record = context.decision.estimate.endpoint.record
    context.watch.record_ended(start_of(record), NOW)


@given("the part of that request was in {count:d} crashes")
def step_earlier(context, count):
    for number in range(count - 1):
        context.watch.apply_crash(start(f"e-before-{number}"), NOW - 1.0 - number, [BAD], NOW)


def break_connection(context):
    context.result = context.dispatcher.handle_failure(
        context.work,
        context.decision.estimate.endpoint,
        context.attempt,
        ConnectionBroke("reset"),
        NOW,
    )


@when("its connection breaks")
def step_breaks(context):
    break_connection(context)


@when("its connection breaks, and its part began elsewhere")
def step_breaks_begun(context):
    context.watch.apply_begun(["blue", BAD], NOW, NOW)
    break_connection(context)


@when("a larger model would answer it better")
def step_larger(context):
    decision = context.dispatcher.try_escalate(context.work, context.attempt, 0.0, NOW)
    context.result = decision.is_asked


@then("the request is {sent}")
def step_sent(context, sent):
    match sent:
        case "not escalated":
            assert context.result is False
        case "sent again":
            assert context.result is None, context.result
        case _:
            kind = sent.removeprefix("refused as ")
            assert context.result.kind.value == kind, context.result


@given("{count:d} endpoints that crash within 0.2 s, each with a request with the same new part")
def step_crash_together(context, count):
    context.watch = CrashWatch()
    for number in range(count):
        at = NOW + 0.2 * number / count
        context.watch.apply_crash(start(f"e-together-{number}"), at, [BAD], at)
    context.now = NOW + 1.5
    context.watch.update(context.now)


@then("that part is {state}")
def step_new_part(context, state):
    quarantine = context.watch.find_quarantine([BAD, "own"], context.now)
    assert (quarantine is not None) == (state == "refused"), quarantine


@when("{count:d} more endpoints crash a second apart, each with a request with it")
def step_crash_apart(context, count):
    context.now = apply_crashes(context.watch, [[BAD]] * count, context.now)
