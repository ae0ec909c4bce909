from behave import given, then, when

from features.steps.admission import start
from poplarrun.retries import GiveUp, RetryAfter
from poplarrun.router import Dispatched

BUSY = "status_503"
CALL_S = 0.01
ANSWER_S = 0.3


@given("all but {well:d} of them refuse")
def step_refuse(context, well):
    names = sorted(endpoint.name for endpoint in context.endpoint_table.list_endpoints())
    context.refusing = set(names[well:])
    context.at = 0.0
    context.outcomes = []


def run_chat(context, at, ends=True):
    """Follow one chat from attempt to attempt; return the engine that answered, or None."""
    start(context, 5, at)
    outcome = context.started
    while isinstance(outcome, Dispatched):
        name = outcome.choice.endpoint.name
        at += outcome.delay_s + CALL_S
        if name not in context.refusing:
            if ends:
                context.dispatch.end(context.job, True, at + ANSWER_S)
            return name
        decision = context.dispatch.handle_failed_attempt(context.job, BUSY, False, at)
        if isinstance(decision, GiveUp):
            return None
        assert isinstance(decision, RetryAfter)
        outcome = context.dispatch.retry_elsewhere(context.job, at, decision.delay_s)
    return None


@when("{count:d} chats start, one each {pause:f} s, and break or end as their engines say")
def step_run(context, count, pause):
    for _ in range(count):
        context.at += pause
        context.outcomes.append(run_chat(context, context.at))


@when("all engines are well again for {seconds:d} s")
def step_well(context, seconds):
    context.refusing = set()
    context.at += seconds


@then("at most {most:d} of them are refused")
def step_few(context, most):
    refused = context.outcomes.count(None)
    assert refused <= most, refused


@when("{count:d} chats start at once and stay open")
def step_at_once(context, count):
    context.outcomes += [run_chat(context, context.at, ends=False) for _ in range(count)]


@then("none of the last {count:d} is refused, and at least {least:d} engines have some")
def step_back(context, count, least):
    last = context.outcomes[-count:]
    assert None not in last and len(set(last)) >= least, last
