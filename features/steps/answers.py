from behave import given, then, when

from poplarrun.answers import Reassembly
from poplarrun.clients import Chunk


@given("the chunks {positions}")
def step_chunks(context, positions):
    context.chunks = [Chunk(int(p), f"{int(p)} ") for p in positions.split(", ")]


@when("they are reassembled")
def step_reassemble(context):
    context.reassembly = Reassembly()
    context.answer = "".join(context.reassembly.add(chunk) for chunk in context.chunks)


@then('the text is "{text}"')
def step_text(context, text):
    assert context.answer == text, context.answer


@then("position {position:d} is missing")
def step_missing(context, position):
    assert context.reassembly.next_position == position
    assert context.reassembly.has_gap
