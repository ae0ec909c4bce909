from pathlib import Path

import openai
import urllib3
from behave import given, then, when

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
KEYS = {"borough-north": "borough-north-key", "trust-office": "trust-office-key"}


def make_client(context, host, key):
    base_url = f"http://{context.fleet.hosts[host].address}/v1"
    return openai.OpenAI(api_key=key, base_url=base_url, max_retries=0)


def make_messages():
    return [{"role": "user", "content": "Tell of lending in the north"}]


@given("the Thistledown document is in force")
def step_document(context):
    fleet = context.fleet
    if next(iter(fleet.hosts.values())).status()["offset"] < 0:
        offset = fleet.publish((EXAMPLES / "thistledown.yaml").read_text())
        fleet.wait_in_force(offset)
    context.fleet.wait_versions("larch:1", "spruce:1")


@given('engine "{name}" breaks its next stream after {tokens:d} tokens')
def step_engine_breaks(context, name, tokens):
    context.fleet.endpoints[name].set_faults(die_after_tokens=tokens, break_streams=1)


@given('engine "{name}" is killed')
@given('service endpoint "{name}" is killed')
def step_kill_endpoint(context, name):
    context.fleet.endpoints[name].kill()


@when('a client of "{account}" asks host "{host}" for a "{work_class}"')
def step_ask_answer(context, account, host, work_class):
    context.completion = make_client(context, host, KEYS[account]).chat.completions.create(
        model=work_class, messages=make_messages()
    )


@when('a client of "{account}" streams a "{work_class}" from host "{host}"')
def step_stream(context, account, work_class, host):
    stream = make_client(context, host, KEYS[account]).chat.completions.create(
        model=work_class, messages=make_messages(), stream=True
    )
    context.chunks = list(stream)


@when('a client with key "{key}" asks host "{host}" for a "{work_class}"')
def step_ask_with_key(context, key, host, work_class):
    try:
        make_client(context, host, key).chat.completions.create(
            model=work_class, messages=make_messages()
        )
        context.error = None
    except openai.APIStatusError as error:
        context.error = error


@when('"{account}" calls "{operation}" at host "{host}"')
def step_call(context, account, operation, host):
    context.response = urllib3.request(
        "POST",
        f"http://{context.fleet.hosts[host].address}/v1/services/{operation}",
        json={"record": 7},
        headers={"Authorization": f"Bearer {KEYS[account]}"},
        retries=False,
    )


@then("the answer has {count:d} words and a usage")
def step_answer_words(context, count):
    assert len(context.completion.choices[0].message.content.split()) == count
    assert context.completion.usage.completion_tokens == count


@then("the stream has {count:d} words and a clean end")
def step_stream_words(context, count):
    text = "".join(chunk.choices[0].delta.content or "" for chunk in context.chunks)
    assert len(text.split()) == count, text
    assert context.chunks[-1].choices[0].finish_reason == "stop"


@then('the client raises "{name}" with code "{code}" and not_run "{not_run}"')
def step_client_error(context, name, code, not_run):
    assert type(context.error).__name__ == name, context.error
    assert context.error.code == code
    assert context.error.body["not_run"] == not_run


@then("the call answers {status:d}")
def step_call_status(context, status):
    assert context.response.status == status, context.response.data
