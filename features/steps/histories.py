from collections import Counter
from dataclasses import replace

from behave import given, then, when

from standins.histories import (
    Answer,
    AnswerKind,
    Effect,
    History,
    Invoke,
    RecordedBill,
    check_history,
    run_schedule,
)

RAN = AnswerKind.RAN


@given("a valid history of one operation")
def step_good(context):
    context.history = History(
        invokes=[Invoke(0.0, "r1", "k", "a1"), Invoke(0.0, "r2", "k", "b1")],
        answers=[Answer(2.0, "r1", RAN, "one"), Answer(2.0, "r2", AnswerKind.REPLAYED, "one")],
        effects=[Effect(1.0, "r1", "k", "one", 0.5)],
        bills=[RecordedBill("r1", 0.05)],
        send_deadlines_s={"r1": 4.0, "r2": 4.0},
        final_answers={"k": AnswerKind.REPLAYED},
    )


@when("it is modified with {fault}")
def step_modify(context, fault):
    history = context.history
    match fault:
        case "nothing":
            pass
        case "a second effect of the key":
            history.effects.insert(0, Effect(1.5, "r2", "k", "two", 0.5))
        case "an effect of a request never sent":
            history.effects.append(Effect(1.5, "r9", "k9", "nine", 0.5))
        case "a call sent after its deadline":
            history.effects[0] = replace(history.effects[0], sent_at_s=4.5)
        case "a refusal of what ran":
            history.answers[0] = Answer(2.0, "r1", AnswerKind.NOT_RUN)
        case "a truncated answer":
            history.answers[0] = replace(history.answers[0], body="on")
        case "another key's answer":
            history.answers[1] = replace(history.answers[1], body="another")
        case "an answer without an effect":
            history.invokes.append(Invoke(0.0, "r3", "k3", "a1"))
            history.answers.append(Answer(2.0, "r3", AnswerKind.REPLAYED, "three"))
        case "two answers to one request":
            history.answers.append(history.answers[1])
        case "an answer without a request":
            history.answers.append(Answer(2.0, "r9", AnswerKind.UNKNOWN))
        case "a second bill":
            history.bills.append(history.bills[0])
        case "a bill of what never ran":
            history.bills.append(RecordedBill("r2", 0.05))
        case "a lost bill":
            history.bills.clear()
        case "a key that never settles":
            history.final_answers["k"] = AnswerKind.IN_PROGRESS
        case "a final answer without an effect":
            history.final_answers["k4"] = RAN
        case _:
            raise AssertionError(f"no such fault: {fault}")


@then('the violations are "{rules}"')
def step_violations(context, rules):
    found = ", ".join(violation.rule for violation in check_history(context.history))
    assert (found or "none") == rules, check_history(context.history)


@when("schedules {first:d} to {last:d} are run")
def step_schedules(context, first, last):
    context.results = [run_schedule(seed) for seed in range(first, last + 1)]


@then("no rule is broken")
def step_no_rule(context):
    violations = [(r.seed, v) for r in context.results for v in r.violations]
    assert not violations, violations


@then("at least {count:d} kinds of faults were injected")
def step_fault_kinds(context, count):
    injected = sum((result.injected for result in context.results), Counter())
    kinds = [kind for kind, times in injected.items() if times]
    assert len(kinds) >= count, kinds


@when("schedule {seed:d} is run twice")
def step_twice(context, seed):
    context.runs = [run_schedule(seed) for _ in range(2)]


@then("both histories are equal")
def step_equal(context):
    assert context.runs[0].history == context.runs[1].history
    assert context.runs[0].injected == context.runs[1].injected


@when("the schedules of seeds {one:d}, {two:d} and {three:d} run twice each")
def step_run_twice(context, one, two, three):
    context.pairs = [(run_schedule(seed), run_schedule(seed)) for seed in (one, two, three)]


@then("both runs of each have the same history")
def step_same_history(context):
    for first, second in context.pairs:
        assert first.history == second.history, first.seed
