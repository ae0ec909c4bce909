from collections import Counter
from dataclasses import replace

from behave import given, then, when

from examples.reports._firms import THISTLEDOWN
from examples.reports._measures import Promises, check_operations, measure_phase
from examples.reports._observations import ChatSeen, OperationSeen, Outcome
from examples.reports._phases import PHASES

KEY = "correction-1"


@given("a caller who was told that its operation was {told}, with {effects:d} effects")
def step_told(context, told, effects):
    seen = OperationSeen("calm", "loan-records", KEY, Outcome(told), "", 1)
    context.found = check_operations([seen], Counter({KEY: effects}))
    context.is_answered = seen.outcome is Outcome.ANSWERED


@given("10 answers worth 1.0 for which {bills:d} bills over {amount:g} stand in the log")
def step_bills(context, bills, amount):
    doubled, lost, denied = context.found
    answered = 10 + context.is_answered
    context.promises = Promises(1, doubled, lost, denied, 0, 11, answered, bills, amount, 1.0)


@when("the promises are checked")
def step_check(context):
    context.broken = ", ".join(context.promises.broken) or "none"


@then('the report says "{broken}"')
def step_says(context, broken):
    assert context.broken.startswith(broken), context.broken


@given('a "note" answered by larch:1 and by spruce:1 in the phase "calm"')
def step_answers(context):
    costs = {v: THISTLEDOWN.cost(v, 10, 10) for v in ("larch:1", "spruce:1")}
    seen = ChatSeen("calm", "note", Outcome.ANSWERED, prompt_tokens=10, output_tokens=10)
    context.chats = [replace(seen, version=v, cost=cost) for v, cost in costs.items()]


@when("the phase is measured")
def step_measure(context):
    calm = next(phase for phase in PHASES if phase.name == "calm")
    (context.measures,) = measure_phase(THISTLEDOWN, calm, context.chats)


@then("its cost is {oracle:g} times the oracle's and {best:g} times the best version's")
def step_cost(context, oracle, best):
    found = context.measures
    assert abs(found.cost / found.oracle_cost - oracle) < 0.01, found
    assert abs(found.cost / found.best_cost - best) < 0.01, found
