import time

from behave import given, then, when

HOSTS = 2


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
