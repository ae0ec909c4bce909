from collections import Counter
from dataclasses import replace

from behave import given, then, when

from examples.reports._firms import THISTLEDOWN
from examples.reports._measures import Guarantees, find_operation_violations, measure_phase
from examples.reports._observations import ChatObservation, OperationObservation, Outcome
from examples.reports._phases import PHASES

KEY = "correction-1"


@given("an operation whose outcome for its caller is {outcome}, with {effects:d} effects")
def step_operation(context, outcome, effects):
    operation = OperationObservation("calm", "loan-records", KEY, Outcome(outcome), "", 1)
    context.violations = find_operation_violations([operation], Counter({KEY: effects}))
    context.is_answered = operation.outcome is Outcome.ANSWERED


@given("10 answers that cost 1.0 and {bills:d} bills in the log with a chat total of {amount:g}")
def step_bills(context, bills, amount):
    doubled, lost, untrue_not_run = context.violations
    answered = 10 + context.is_answered
    context.guarantees = Guarantees(
        1, doubled, lost, untrue_not_run, 0, 11, answered, bills, amount, 1.0
    )


@when("the guarantees are checked")
def step_check(context):
    context.reported = ", ".join(context.guarantees.violations) or "none"


@then('the report lists the violation "{violation}"')
def step_violation(context, violation):
    assert context.reported.startswith(violation), context.reported


@given('a "note" answered by larch:1 and by spruce:1 in the phase "calm"')
def step_answers(context):
    costs = {v: THISTLEDOWN.compute_cost(v, 10, 10) for v in ("larch:1", "spruce:1")}
    answer = ChatObservation("calm", "note", Outcome.ANSWERED, prompt_tokens=10, output_tokens=10)
    context.chats = [replace(answer, version=v, cost=cost) for v, cost in costs.items()]


@when("the phase is measured")
def step_measure(context):
    calm = next(phase for phase in PHASES if phase.name == "calm")
    (context.measures,) = measure_phase(THISTLEDOWN, calm, context.chats)


@then("its cost is {oracle:g} times the oracle's and {best:g} times the best version's")
def step_cost(context, oracle, best):
    measures = context.measures
    assert abs(measures.cost / measures.oracle_cost - oracle) < 0.01, measures
    assert abs(measures.cost / measures.best_cost - best) < 0.01, measures
