import threading
import time
from collections import Counter

from behave import given, then, when

from standins.installation import Answer

DEADLINE_MS = "12000"
GRACE_S = 8.0
# How long the process of a host that has done its work may take to end.
EXIT_TIMEOUT_S = 4.0
KINDS = ("order", "lookup", "draft")
ARRIVALS_S = (0.3, 1.5, 2.2)


@given("endpoints that work {seconds:g} s on each request")
def step_work(context, seconds):
    for endpoint in context.installation.endpoints.values():
        endpoint.first_event_delay_s = seconds
    context.answers = {}


def send(context, kind, number):
    request_id = f"{kind}-{number}"
    method = "GET" if kind == "lookup" else "POST"
    more = {"X_Model": "*"} if kind == "draft" else {}
    try:
        answer = context.installation.call(
            f"/{kind}/{number}",
            method=method,
            X_Attempt_Id=request_id,
            X_Deadline_Ms=DEADLINE_MS,
            **more,
        )
    except OSError:
        answer = Answer(0, is_whole=False)
    context.answers[request_id] = answer


def start_sends(context, number):
    threads = [threading.Thread(target=send, args=(context, kind, number)) for kind in KINDS]
    for thread in threads:
        thread.start()
    return threads


def ask_to_stop(context):
    context.asked_at = time.monotonic()
    context.installation.signal_host(0, "SIGTERM")


def await_exit(context, threads):
    for thread in threads:
        thread.join()
    context.exit_code = context.installation.processes[0].wait(EXIT_TIMEOUT_S)
    context.exited_at = time.monotonic()


@when("the host is asked to stop, and orders, lookups and drafts come 0.3, 1.5 and 2.2 s later")
def step_late(context):
    ask_to_stop(context)
    threads = []
    for number, at in enumerate(ARRIVALS_S):
        time.sleep(max(0.0, context.asked_at + at - time.monotonic()))
        threads += start_sends(context, number)
    await_exit(context, threads)


@when("orders, lookups and drafts come, and the host is asked to stop 0.5 s later")
def step_early(context):
    threads = start_sends(context, 0)
    time.sleep(0.5)
    ask_to_stop(context)
    await_exit(context, threads)


def count_runs(context):
    return Counter(
        request.headers["x-attempt-id"]
        for endpoint in context.installation.endpoints.values()
        for request in endpoint.received_requests
        if request.is_executed
    )


def summarize(context):
    runs = count_runs(context)
    return {
        request_id: (answer.status, answer.is_whole, runs[request_id])
        for request_id, answer in sorted(context.answers.items())
    }


@then("each of them got 200 and its whole answer")
def step_answered(context):
    seen = summarize(context)
    print(seen)
    assert all(status == 200 and is_whole for status, is_whole, _ in seen.values()), seen


@then("each of them got a whole answer, 502 if it ran")
def step_error(context):
    seen = summarize(context)
    print(seen)
    assert len(seen) >= len(KINDS)
    for status, is_whole, runs in seen.values():
        assert is_whole and status == (502 if runs else 503), seen


@then("none ran more than {most:d} times, an order once")
def step_runs(context, most):
    for request_id, runs in count_runs(context).items():
        assert runs <= (1 if request_id.startswith("order") else most), (request_id, runs)


@then("the host's process ended with code 0 within its grace")
def step_exit(context):
    took_s = context.exited_at - context.asked_at
    assert context.exit_code == 0 and took_s <= GRACE_S, (context.exit_code, took_s)
