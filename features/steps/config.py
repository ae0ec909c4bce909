import random

from behave import given, then, when

from poplarrun.config import (
    CONFIG_STREAM,
    Configuration,
    Publication,
    Withdrawal,
    decode_record,
    encode_record,
    fold_entry,
)
from poplarrun.contracts import VersionId
from poplarrun.log import MemoryLog, append_until_known

VERSION = "{stage: offered, price: {input_per_mtok: 1, output_per_mtok: 1}}"


def document_of(operator):
    return f"models: {{larch: {{versions: {{'1': {VERSION}}}}}, {operator}: {{versions: {{}}}}}}"


def publication(operator, based_on):
    return Publication(f"id-{operator}", based_on, operator, 0.0, document_of(operator))


def fold_all(log, page_size=500):
    state, verdicts = Configuration(), []
    while entries := log.read(CONFIG_STREAM, state.read_to + 1, page_size).entries:
        for entry in entries:
            state, verdict = fold_entry(state, entry)
            verdicts.append(type(verdict).__name__)
    return state, verdicts


@given('an accepted publication by "{operator}"')
def step_accepted(context, operator):
    context.log = MemoryLog()
    context.log.append(CONFIG_STREAM, encode_record(publication(operator, -1)))


@when('"{first}" and "{second}" both publish on top of it, {winner} first')
def step_race(context, first, second, winner):
    assert winner == first
    for operator in (first, second):
        context.log.append(CONFIG_STREAM, encode_record(publication(operator, 0)))


@when('"{operator}" publishes and the answer is lost once')
def step_lost_answer(context, operator):
    context.log.responses_to_lose = 1
    data = encode_record(publication(operator, 0))
    append_until_known(context.log, CONFIG_STREAM, data, lambda: None, attempts=3)


@when('the system withdraws "{version}"')
def step_withdraw(context, version):
    context.log.append(CONFIG_STREAM, encode_record(Withdrawal("w-1", version, "quality", {})))


@then('the verdicts are "{expected}"')
def step_verdicts(context, expected):
    assert ", ".join(fold_all(context.log)[1]) == expected


@then("the document in force is bob's")
def step_in_force(context):
    assert fold_all(context.log)[0].text == document_of("bob")


@then('the publication of "{operator}" is accepted once')
def step_once(context, operator):
    state, verdicts = fold_all(context.log)
    entries = context.log.read(CONFIG_STREAM, 0, 10).entries
    copies = [e for e in entries if decode_record(e.data).operator == operator]
    assert len(copies) == 2
    assert state.text == document_of(operator)
    assert verdicts == ["Accepted", "Accepted", "Ignored"]


@then('version "{version}" is withdrawn')
def step_withdrawn(context, version):
    assert fold_all(context.log)[0].is_withdrawn(VersionId.parse(version))


@given("a stream of {count:d} random publications with seed {seed:d}")
def step_random_stream(context, count, seed):
    source = random.Random(seed)
    context.log = MemoryLog()
    accepted = -1
    for number in range(count):
        based_on = source.choice([accepted, accepted, number - 1, -1])
        context.log.append(CONFIG_STREAM, encode_record(publication(f"op{number}", based_on)))
        accepted = number if based_on == accepted else accepted


@when("three hosts fold it in pages of 1, 7 and 500")
def step_fold_pages(context):
    context.folds = [fold_all(context.log, size) for size in (1, 7, 500)]


@then("they have the same offset and document")
def step_same(context):
    states = [state for state, _ in context.folds]
    assert states[0].offset > 0
    assert {(s.offset, s.text) for s in states} == {(states[0].offset, states[0].text)}
