import time

from behave import then, when

from features.steps.gateway import draft, open_raw
from standins.installation import Fault


def ran(context, service):
    runners = [r for r in context.installation.runners.values() if r.service == service]
    return [seen for runner in runners for seen in runner.seen if seen.is_run]


def set_faults(context, service, fault, count=1):
    """Arm all endpoints of a service; which one is asked is the host's choice."""
    context.runners = [r for r in context.installation.runners.values() if r.service == service]
    if count > 1 or len(context.runners) == 1:
        for runner in context.runners:
            runner.faults.extend([Fault[fault]] * count)
        return
    # One fault for whichever endpoint is asked first.
    shared = context.runners[0].faults
    for runner in context.runners:
        runner.faults = shared
    shared.append(Fault[fault])


@when('the endpoints of "{service}" meet the next {count:d} {what} with "{fault}"')
def step_many_faults(context, service, count, what, fault):
    set_faults(context, service, fault, count)
    for runner in context.runners:
        # Longer than all attempts together come to before they break.
        runner.events = 20
    _call_what(context, what.rstrip("s"))


@when('the endpoints of "{service}" meet the next {what:w} with "{fault:w}"')
def step_one_fault(context, service, what, fault):
    set_faults(context, service, fault)
    _call_what(context, what)


def _call_what(context, what):
    if what == "draft":
        draft(context)
        return
    method = "POST" if what == "order" else "GET"
    context.answer = context.installation.call(f"/{what}/ring", method=method)


@then("the caller's {what:w} gets {status:d}")
def step_answered(context, what, status):
    assert context.answer.status == status, context.answer


@then("exactly one endpoint ran it")
def step_one_ran(context):
    assert len(ran(context, "stock")) == 1, ran(context, "stock")


@then("no endpoint ran it")
def step_none_ran(context):
    assert not ran(context, "stock")


@then('the answer is signed by "{lifetime}"')
def step_signed(context, lifetime):
    assert context.answer.headers["x-instance-signature"] == f"signed-{lifetime}", context.answer


@then("the second endpoint was asked to go on after event {number:d}")
def step_resumed(context, number):
    asked = [s.headers.get("last-event-id") for r in context.runners for s in r.seen]
    assert sorted(asked, key=str) == [str(number), None], asked


@then("the answer is broken off")
def step_broken(context):
    assert not context.answer.is_whole, context.answer


@when("a caller leaves in the middle of a draft")
def step_leave(context):
    connection = open_raw(context, "/draft/brief")
    connection.recv(65536)
    connection.close()
    context.left_at = time.monotonic()


@when('the endpoints of "{service}" meet the next draft with "MUTE" and its caller leaves')
def step_leave_early(context, service):
    set_faults(context, service, "MUTE")
    connection = open_raw(context, "/draft/brief")
    runner = context.installation.runners["engine-1"]
    context.installation.wait_for(lambda: runner.seen and runner.seen[0].is_run, "it runs")
    connection.close()
    context.left_at = time.monotonic()


@then("its endpoint sees it leave within half a second")
def step_left(context):
    runner = context.installation.runners["engine-1"]
    context.installation.wait_for(lambda: any(seen.is_left for seen in runner.seen), "it left")


@when('the endpoints of "{service}" are all taken away')
def step_taken_away(context, service):
    installation = context.installation
    for lifetime in [r.lifetime for r in installation.runners.values() if r.service == service]:
        installation.remove_runner(lifetime)
    text = "Endpoints were removed."
    installation.wait_for(lambda: text in installation.log_of(), text)


@then("a lookup is answered with {status:d} within one second")
def step_at_once(context, status):
    # The caller would wait 4 s; the answer comes with a time to come back long before.
    answer = context.installation.call("/lookup/ring", method="GET")
    assert answer.status == status, answer
    assert float(answer.headers["retry-after"]) < 1.0, answer
