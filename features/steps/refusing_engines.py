from behave import given, then, when

from features.steps.admission import start_request
from poplarrun.retries import GiveUp, RetryAfter
from poplarrun.router import Dispatched

OVERLOADED_REASON = "status_503"
REJECTION_DELAY_S = 0.01
ANSWER_DURATION_S = 0.3


@given("all but {accepting_count:d} of them refuse")
def step_engines_refuse(context, accepting_count):
    names = sorted(endpoint.name for endpoint in context.endpoint_table.list_endpoints())
    context.refusing = set(names[accepting_count:])
    context.at = 0.0
    context.outcomes = []


def run_until_answered(context, at, is_answered=True):
    """Run the attempts of one chat; return the engine that answered, or None if refused."""
    start_request(context, 5, at)
    outcome = context.started
    while isinstance(outcome, Dispatched):
        name = outcome.choice.endpoint.name
        at += outcome.delay_s + REJECTION_DELAY_S
        if name not in context.refusing:
            if is_answered:
                context.dispatch.end(context.job, True, at + ANSWER_DURATION_S)
            return name
        decision = context.dispatch.handle_failed_attempt(context.job, OVERLOADED_REASON, False, at)
        if isinstance(decision, GiveUp):
            return None
        assert isinstance(decision, RetryAfter)
        outcome = context.dispatch.retry_elsewhere(context.job, at, decision.delay_s)
    return None


@when(
    "{count:d} chats start, one every {interval_s:f} s, "
    "and are refused or answered by their engines"
)
def step_run_chats(context, count, interval_s):
    for _ in range(count):
        context.at += interval_s
        context.outcomes.append(run_until_answered(context, context.at))


@when("all engines have recovered for {seconds:d} s")
def step_engines_recover(context, seconds):
    context.refusing = set()
    context.at += seconds


@then("at most {max_refused:d} of them are refused")
def step_few_refused(context, max_refused):
    refused = context.outcomes.count(None)
    assert refused <= max_refused, refused


@when("{count:d} chats start at once and stay open")
def step_start_at_once(context, count):
    context.outcomes += [
        run_until_answered(context, context.at, is_answered=False) for _ in range(count)
    ]


@then(
    "none of the last {count:d} is refused, and at least {min_engines:d} engines run some of them"
)
def step_engines_used(context, count, min_engines):
    last_outcomes = context.outcomes[-count:]
    assert None not in last_outcomes and len(set(last_outcomes)) >= min_engines, last_outcomes
