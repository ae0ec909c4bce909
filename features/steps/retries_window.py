from behave import given, then, when

from poplarrun.retries import WindowedRetryBudget

NOW = 100.0


def take_many(budget, count, now):
    return sum(budget.try_spend(now) for _ in range(count))


@given("a budget of {earned:f} retries for each request of {window:d} s and {most:d} besides")
def step_budget(context, earned, window, most):
    context.budget = WindowedRetryBudget(earned, float(most), float(window))


@when("{count:d} requests come in {seconds:d} s and none is repeated")
def step_come(context, count, seconds):
    for number in range(count):
        context.budget.record_attempt(NOW - seconds * number / count)


@then("{made:d} of {count:d} retries that come at once are made")
def step_made(context, made, count):
    assert take_many(context.budget, count, NOW) == made


@then("{made:d} more are made after {seconds:d} s without requests")
def step_later(context, made, seconds):
    assert take_many(context.budget, 10, NOW + seconds) == made
