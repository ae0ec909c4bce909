import signal
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import urllib3
from behave import given, then, when

from standins.fleet import wait_until

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
HEADERS = {"Authorization": "Bearer borough-north-key", "Content-Type": "application/json"}
ENDPOINTS = ["loan-records-a", "loan-records-b", "loan-records-c"]
IN_PROGRESS = "operation_in_progress"
REPEAT_TIMEOUT_S = 30.0
RETRYABLE_CODES = (IN_PROGRESS, "operation_outcome_unknown", "log_unavailable")


def send_correction(context, host, key, text="paid"):
    headers = {**HEADERS, "Idempotency-Key": key} if key else HEADERS
    address = context.fleet.hosts[host].address
    return urllib3.request(
        "POST",
        f"http://{address}/v1/services/loan-records/correct",
        body=msgspec.json.encode({"key": key, "text": text}),
        headers=headers,
        retries=False,
        timeout=30,
    )


def decode_error(response):
    return msgspec.json.decode(response.data)["error"]


def send_correction_until(context, host, key, codes=(IN_PROGRESS,)):
    """Repeat the call while the answer's code asks for it."""
    ends_at = time.monotonic() + REPEAT_TIMEOUT_S
    while time.monotonic() < ends_at:
        response = send_correction(context, host, key)
        if response.status == 200 or decode_error(response)["code"] not in codes:
            return response
        time.sleep(0.1)
    raise AssertionError(f"still {response.data}")


def list_effects(context, key):
    events = [e for name in ENDPOINTS for e in context.fleet.endpoints[name].events("effect")]
    return [event for event in events if msgspec.json.decode(event["body"])["key"] == key]


def set_service_faults(context, **faults):
    for name in ENDPOINTS:
        context.fleet.endpoints[name].set_faults(**faults)


@given("the Thistledown document is in force with a correction timeout of {seconds:d} s")
def step_correction_document(context, seconds):
    context.answers = []
    context.fleet.log.set_faults(down=False, append_delay_s=0.0, lose_answers=0)
    set_service_faults(context, delay_s=0.0, die_after_effect=0)
    if next(iter(context.fleet.hosts.values())).status()["offset"] < 0:
        text = (EXAMPLES / "thistledown.yaml").read_text()
        text = text.replace(
            "idempotent: false, timeout_s: 5", f"idempotent: false, timeout_s: {seconds}"
        )
        context.fleet.wait_in_force(context.fleet.publish(text))
    wait_until(
        lambda: all(
            sum(e["kind"] == "plain-service" for e in host.status()["endpoints"]) == 3
            for host in context.fleet.hosts.values()
            if host.process.poll() is None
        ),
        "endpoints known",
    )


@given("the log is down")
def step_log_down(context):
    context.fleet.log.set_faults(down=True)


@given("the log loses its next append's answer")
def step_log_loses(context):
    context.fleet.log.set_faults(lose_answers=1)


@given("the log takes {seconds:d} s for an append")
def step_log_slow(context, seconds):
    context.fleet.log.set_faults(append_delay_s=float(seconds))


@when("the log is back")
def step_log_back(context):
    context.fleet.log.set_faults(down=False, append_delay_s=0.0)


@given("each loan-records endpoint breaks its next call after the effect")
def step_die_after(context):
    set_service_faults(context, die_after_effect=1)


@given("each loan-records endpoint takes {seconds:g} s before its effect")
def step_slow_effect(context, seconds):
    set_service_faults(context, delay_s=seconds)


@when('a correction with key "{key}" is sent to host "{host}"')
def step_correct(context, key, host):
    context.answers.append(send_correction(context, host, key))


@when('another correction with key "{key}" is sent to host "{host}"')
def step_correct_other(context, key, host):
    context.answers.append(send_correction(context, host, key, "unpaid"))


@when('a correction without a key is sent to host "{host}"')
def step_correct_keyless(context, host):
    context.answers.append(send_correction(context, host, None))


@when('a correction with a key created {hours:d} hours ago is sent to host "{host}"')
def step_correct_old(context, hours, host):
    milliseconds = int((time.time() - hours * 3600) * 1000)
    key = str(uuid.UUID(int=(milliseconds << 80) | (7 << 76) | (2 << 62) | 1))
    context.answers.append(send_correction(context, host, key))


@when('a correction with key "{key}" is sent to host "{host}" until answered')
def step_correct_until(context, key, host):
    context.answers.append(send_correction_until(context, host, key, RETRYABLE_CODES))


@when('a correction with key "{key}" is sent to host "{host}" until it is not in progress')
def step_correct_until_known(context, key, host):
    context.answers.append(send_correction_until(context, host, key))


@when(
    'a correction with key "{key}" is sent to hosts "{one}" and "{other}" at once, until answered'
)
def step_correct_twice(context, key, one, other):
    barrier = threading.Barrier(2)

    def send(host):
        barrier.wait()
        return send_correction_until(context, host, key, RETRYABLE_CODES)

    with ThreadPoolExecutor(2) as pool:
        context.answers = list(pool.map(send, (one, other)))


def send_and_signal(context, key, host, after_s, act):
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(send_correction, context, host, key)
        time.sleep(after_s)
        act(context.fleet.hosts[host])
        try:
            return pending.result()
        except urllib3.exceptions.HTTPError:
            return None


@when(
    'a correction with key "{key}" is sent to host "{host}", '
    "which is stopped {after:g} s later for {pause:g} s"
)
def step_correct_paused(context, key, host, after, pause):
    def act(process):
        process.signal(signal.SIGSTOP)
        time.sleep(pause)
        process.signal(signal.SIGCONT)

    context.answers.append(send_and_signal(context, key, host, after, act))


@when('a correction with key "{key}" is sent to host "{host}", which is killed {after:g} s later')
def step_correct_killed(context, key, host, after):
    send_and_signal(context, key, host, after, lambda process: process.kill())


@then("both corrections got the same answer with {status:d}")
def step_alike(context, status):
    assert [answer.status for answer in context.answers] == [status] * 2, [
        answer.data for answer in context.answers
    ]
    assert context.answers[0].data == context.answers[1].data


@then("the second answer is marked as a replay")
def step_replay(context):
    assert "X-Poplarrun-Replayed" not in context.answers[0].headers
    assert context.answers[1].headers["X-Poplarrun-Replayed"] == "true"


@then("the correction is answered with {status:d}")
def step_answered(context, status):
    assert context.answers[-1].status == status, context.answers[-1].data


@then('the correction is refused as "{code}" with not_run "{not_run}"')
def step_refused(context, code, not_run):
    error = decode_error(context.answers[-1])
    assert (error["code"], error["not_run"]) == (code, not_run), error


@then('the correction is refused with not_run "{not_run}"')
def step_refused_not_run(context, not_run):
    assert decode_error(context.answers[-1])["not_run"] == not_run, context.answers[-1].data


@then('the correction "{key}" had {count:d} effect')
@then('the correction "{key}" had {count:d} effects')
def step_effects(context, key, count):
    assert len(list_effects(context, key)) == count, list_effects(context, key)


@then('the correction "{key}" had {count:d} effect after {seconds:g} s')
def step_effects_later(context, key, count, seconds):
    time.sleep(seconds)
    step_effects(context, key, count)


@then('host "{host}" reports "{outcome}" for key "{key}"')
def step_reports(context, host, outcome, key):
    def read_outcome():
        response = urllib3.request(
            "GET",
            f"http://{context.fleet.hosts[host].address}/v1/operations/{key}",
            headers=HEADERS,
            retries=False,
        )
        return msgspec.json.decode(response.data).get("outcome")

    wait_until(lambda: read_outcome() == outcome, f"{outcome}, last {read_outcome()}")
