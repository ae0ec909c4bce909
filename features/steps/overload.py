import hashlib
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3
from behave import given, then, when

from standins.fleet import get_json, wait_until

ONE_VERSION_KEY = "borough-north-key"
BOTH_VERSIONS_KEY = "trust-office-key"
CONFIG_DOCUMENT = """
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
        document = CONFIG_DOCUMENT.replace("KEY_HASH", hash_of_key(ONE_VERSION_KEY)).replace(
            "BOTH_HASH", hash_of_key(BOTH_VERSIONS_KEY)
        )
        fleet.wait_in_force(fleet.publish(document))
    fleet.wait_versions("larch:1", "spruce:1")
    context.refusals_before = fleet.hosts["a1"].status()["refusals"]


def hash_of_key(key):
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def send_chat(context, work_class, key=ONE_VERSION_KEY):
    started_at = time.monotonic()
    response = urllib3.request(
        "POST",
        f"http://{context.fleet.hosts['a1'].address}/v1/chat/completions",
        json={"model": work_class, "messages": [{"role": "user", "content": "tell"}]},
        headers={"Authorization": f"Bearer {key}"},
        retries=False,
        timeout=60,
    )
    ended_at = time.monotonic()
    return response, ended_at - started_at, ended_at


@when('{count:d} clients ask for a "{work_class}" at once')
def step_send_at_once(context, count, work_class):
    context.clients = ThreadPoolExecutor(count + 1)
    context.asked = [context.clients.submit(send_chat, context, work_class) for _ in range(count)]


@when('{count:d} clients that may use both versions ask for a "{work_class}" at once')
def step_send_both_versions(context, count, work_class):
    context.clients = ThreadPoolExecutor(count)
    context.asked = [
        context.clients.submit(send_chat, context, work_class, BOTH_VERSIONS_KEY)
        for _ in range(count)
    ]


@then('some answers come from "{one}" and some from "{other}"')
def step_versions(context, one, other):
    answered = [result[0] for result in collect_results(context) if result[0].status == 200]
    versions = {response.headers["X-Poplarrun-Version"] for response in answered}
    assert versions == {one, other}, versions


@when('a client asks for an "{work_class}" a moment later')
def step_send_later(context, work_class):
    time.sleep(0.3)
    context.urgent = context.clients.submit(send_chat, context, work_class)


def collect_results(context):
    return [future.result() for future in context.asked]


@then(
    "between {min_count:d} and {max_count:d} of them are answered and the rest are refused at once"
)
def step_answered_between(context, min_count, max_count):
    answered = [result for result in collect_results(context) if result[0].status == 200]
    assert min_count <= len(answered) <= max_count, [
        result[0].status for result in collect_results(context)
    ]
    refusal_durations = [
        duration_s for response, duration_s, _ in collect_results(context) if response.status != 200
    ]
    assert all(response.status in (200, 503) for response, _, _ in collect_results(context))
    assert refusal_durations


@then('each refusal says "not run" and when to retry')
def step_refusals(context):
    for response, _, _ in collect_results(context):
        if response.status == 503:
            error = msgspec.json.decode(response.data)["error"]
            assert error["not_run"] == "yes", error
            assert int(response.headers["Retry-After"]) >= 1


@then("the host's counters add up to the refusals that callers got")
def step_refusal_counters(context):
    refused = sum(response.status == 503 for response, _, _ in collect_results(context))
    refusals = context.fleet.hosts["a1"].status()["refusals"]
    assert sum(refusals.values()) - sum(context.refusals_before.values()) == refused, refusals


@then("the engines started as many as were answered")
def step_engine_starts(context):
    answered = sum(response.status == 200 for response, _, _ in collect_results(context))
    engines = [context.fleet.endpoints[name] for name in ("engine-1", "engine-2")]
    started = sum(len(engine.events("start")) for engine in engines)
    assert started == answered, started


@then('the "{first}" is answered before the last "{second}"')
def step_answered_before(context, first, second):
    response, _, ended_at = context.urgent.result()
    assert response.status == 200, response.data
    assert ended_at < max(
        result[2] for result in collect_results(context) if result[0].status == 200
    )


@when('a client streams a "{work_class}" and its engine is killed in the middle')
def step_kill_in_stream(context, work_class):
    started_before = {
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
        headers={"Authorization": f"Bearer {ONE_VERSION_KEY}"},
        retries=False,
        preload_content=False,
        timeout=60,
    )
    context.streamed = response.read1(4096)
    for name, count in started_before.items():
        if len(context.fleet.endpoints[name].events("start")) > count:
            context.fleet.endpoints[name].kill()
    while piece := response.read1(4096):
        context.streamed += piece


@then('the stream ends with "{code}"')
def step_stream_ends(context, code):
    assert code.encode() in context.streamed, context.streamed[-500:]


@then('the next "{work_class}" is answered')
def step_next_answered(context, work_class):
    wait_until(lambda: get_json(context.fleet.hosts["a1"].address, "/readyz") is not None, "ready")
    response, _, _ = send_chat(context, work_class)
    assert response.status == 200, response.data
