from behave import given, then, when

from poplarrun.retries import WindowedRetryBudget

NOW = 100.0


def count_granted(budget, count, now):
    return sum(budget.try_spend(now) for _ in range(count))


@given(
    "a budget of {retries_per_request:f} retries per request over {window_s:d} s "
    "and {allowance:d} in addition"
)
def step_window_budget(context, retries_per_request, window_s, allowance):
    context.budget = WindowedRetryBudget(retries_per_request, float(allowance), float(window_s))


@when("{count:d} requests come in {duration_s:d} s and none is retried")
def step_requests(context, count, duration_s):
    for number in range(count):
        context.budget.record_attempt(NOW - duration_s * number / count)


@then("{granted:d} of {count:d} retries that come at once are made")
def step_burst(context, granted, count):
    assert count_granted(context.budget, count, NOW) == granted


@then("{granted:d} more are made after {duration_s:d} s without requests")
def step_after_window(context, granted, duration_s):
    assert count_granted(context.budget, 10, NOW + duration_s) == granted
