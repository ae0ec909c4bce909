from pathlib import Path

from behave import given, then, when

from poplarrun.contracts import Document, hash_key, parse_document

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@given("a document with")
def step_document_text(context):
    context.document = context.text


@given("a document in which two client accounts share a key")
def step_shared_key(context):
    key = hash_key("one")
    context.document = f"accounts: {{first: {{keys: ['{key}']}}, second: {{keys: ['{key}']}}}}"


@given('the example document "{name}"')
def step_example(context, name):
    context.document = (EXAMPLES / name).read_text()


@when("it is parsed")
def step_parse(context):
    context.parsed = parse_document(context.document)


@then("{count:d} problems are reported")
def step_count(context, count):
    assert len(context.parsed.problems) == count, [str(p) for p in context.parsed.problems]


@then('a problem at "{path}" says "{text}"')
def step_problem(context, path, text):
    found = [p for p in context.parsed.problems if p.path == path]
    assert found, [str(p) for p in context.parsed.problems]
    assert text in str(found[0]), str(found[0])


@then("no problem is reported")
def step_no_problem(context):
    assert isinstance(context.parsed, Document), context.parsed
