import time

from behave import given, then, when

from features.steps.keyed_operations import (
    EXAMPLES,
    decode_error,
    list_effects,
    send_correction,
    step_correction_document,
)


@given("the Thistledown document is in force with {rate:f} requests a second")
def step_limited_document(context, rate):
    text = (EXAMPLES / "thistledown.yaml").read_text()
    text = text.replace("requests_per_second: 50", f"requests_per_second: {rate}")
    context.fleet.wait_in_force(context.fleet.publish(text))
    step_correction_document(context, 5)


@when('corrections with new keys are sent to host "{host}" until one is refused')
def step_until_refused(context, host):
    for number in range(2, 12):
        context.refused_key = f"l-{number}"
        response = send_correction(context, host, context.refused_key)
        if response.status != 200:
            context.refused = response
            context.limited_host = host
            return
    raise AssertionError("none was refused")


@then('the refused one is "{code}" with not_run "{not_run}" and a retry delay')
def step_refused(context, code, not_run):
    error = decode_error(context.refused)
    assert (context.refused.status, error["code"], error["not_run"]) == (429, code, not_run), error
    assert int(context.refused.headers["Retry-After"]) > 0


@then("it had no effect, and the host counts the refusal")
def step_no_effect(context):
    assert not list_effects(context, context.refused_key)
    refusals = context.fleet.hosts[context.limited_host].status()["refusals"]
    assert refusals["rate_limited"] == 1, refusals


@then("the refused key runs once it is sent again after the retry delay")
def step_runs_later(context):
    for _ in range(10):
        time.sleep(int(context.refused.headers["Retry-After"]))
        context.refused = send_correction(context, context.limited_host, context.refused_key)
        if context.refused.status == 200:
            break
    assert len(list_effects(context, context.refused_key)) == 1, context.refused.data
