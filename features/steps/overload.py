import hashlib
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3
from behave import given, then, when

from standins.fleet import get_json, wait_until

KEY = "borough-north-key"
BOTH_KEY = "trust-office-key"
DOCUMENT = """
classes:
  quick:
    importance: 2
    targets: {quality: 0.1, first_token_ms: 500, between_tokens_ms: 500, whole_s: 20}
    unmet: refuse
  report:
    importance: 2
    targets: {quality: 0.1, first_token_ms: 15000, between_tokens_ms: 500, whole_s: 40}
  urgent:
    importance: 9
    targets: {quality: 0.1, first_token_ms: 15000, between_tokens_ms: 500, whole_s: 40}
models:
  larch:
    versions:
      "1": {stage: offered, price: {input_per_mtok: 0.2, output_per_mtok: 0.8}}
  spruce:
    versions:
      "1": {stage: offered, price: {input_per_mtok: 2.0, output_per_mtok: 8.0}}
accounts:
  trust-office:
    keys: ["BOTH_HASH"]
    classes: ["*"]
    versions: ["*"]
  borough-north:
    keys: ["KEY_HASH"]
    classes: ["*"]
    versions: ["larch:*"]
"""


@given("the overload document is in force")
def step_document(context):
    fleet = context.fleet
    if fleet.hosts["a1"].status()["offset"] < 0:
        document = DOCUMENT.replace("KEY_HASH", hashed(KEY)).replace("BOTH_HASH", hashed(BOTH_KEY))
        fleet.wait_in_force(fleet.publish(document))
    fleet.wait_versions("larch:1", "spruce:1")
    context.refusals_before = fleet.hosts["a1"].status()["refusals"]


def hashed(key):
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def ask(context, work_class, key=KEY):
    began = time.monotonic()
    response = urllib3.request(
        "POST",
        f"http://{context.fleet.hosts['a1'].address}/v1/chat/completions",
        json={"model": work_class, "messages": [{"role": "user", "content": "tell"}]},
        headers={"Authorization": f"Bearer {key}"},
        retries=False,
        timeout=60,
    )
    ended = time.monotonic()
    return response, ended - began, ended


@when('{count:d} clients ask for a "{work_class}" at once')
def step_ask_at_once(context, count, work_class):
    context.clients = ThreadPoolExecutor(count + 1)
    context.asked = [context.clients.submit(ask, context, work_class) for _ in range(count)]


@when('{count:d} clients that may use both versions ask for a "{work_class}" at once')
def step_ask_both(context, count, work_class):
    context.clients = ThreadPoolExecutor(count)
    context.asked = [
        context.clients.submit(ask, context, work_class, BOTH_KEY) for _ in range(count)
    ]


@then('some answers come from "{one}" and some from "{other}"')
def step_versions(context, one, other):
    answered = [found[0] for found in outcomes(context) if found[0].status == 200]
    versions = {response.headers["X-Poplarrun-Version"] for response in answered}
    assert versions == {one, other}, versions


@when('a client asks for an "{work_class}" a moment later')
def step_ask_later(context, work_class):
    time.sleep(0.3)
    context.urgent = context.clients.submit(ask, context, work_class)


def outcomes(context):
    return [future.result() for future in context.asked]


@then("between {least:d} and {most:d} of them are answered and the rest are refused at once")
def step_answered_between(context, least, most):
    answered = [found for found in outcomes(context) if found[0].status == 200]
    assert least <= len(answered) <= most, [found[0].status for found in outcomes(context)]
    slow = [taken for response, taken, _ in outcomes(context) if response.status != 200]
    assert all(response.status in (200, 503) for response, _, _ in outcomes(context))
    assert slow


@then('each refusal says "not run" and when to come back')
def step_refusals(context):
    for response, _, _ in outcomes(context):
        if response.status == 503:
            error = msgspec.json.decode(response.data)["error"]
            assert error["not_run"] == "yes", error
            assert int(response.headers["Retry-After"]) >= 1


@then("the host's counters add up to the refusals seen")
def step_counters(context):
    seen = sum(response.status == 503 for response, _, _ in outcomes(context))
    refusals = context.fleet.hosts["a1"].status()["refusals"]
    assert sum(refusals.values()) - sum(context.refusals_before.values()) == seen, refusals


@then("the engines began as many as were answered")
def step_began(context):
    answered = sum(response.status == 200 for response, _, _ in outcomes(context))
    engines = [context.fleet.endpoints[name] for name in ("engine-1", "engine-2")]
    began = sum(len(engine.events("start")) for engine in engines)
    assert began == answered, began


@then('the "{first}" is answered before the last "{second}"')
def step_before(context, first, second):
    response, _, ended = context.urgent.result()
    assert response.status == 200, response.data
    assert ended < max(found[2] for found in outcomes(context) if found[0].status == 200)


@when('a client streams a "{work_class}" and its engine is killed in the middle')
def step_kill_in_stream(context, work_class):
    before = {
        name: len(context.fleet.endpoints[name].events("start"))
        for name in ("engine-1", "engine-2")
    }
    response = urllib3.request(
        "POST",
        f"http://{context.fleet.hosts['a1'].address}/v1/chat/completions",
        json={
            "model": work_class,
            "messages": [{"role": "user", "content": "tell"}],
            "stream": True,
        },
        headers={"Authorization": f"Bearer {KEY}"},
        retries=False,
        preload_content=False,
        timeout=60,
    )
    context.streamed = response.read1(4096)
    for name, count in before.items():
        if len(context.fleet.endpoints[name].events("start")) > count:
            context.fleet.endpoints[name].kill()
    while piece := response.read1(4096):
        context.streamed += piece


@then('the stream ends with "{code}"')
def step_stream_ends(context, code):
    assert code.encode() in context.streamed, context.streamed[-500:]


@then('the next "{work_class}" is answered')
def step_next(context, work_class):
    wait_until(lambda: get_json(context.fleet.hosts["a1"].address, "/readyz") is not None, "ready")
    response, _, _ = ask(context, work_class)
    assert response.status == 200, response.data
