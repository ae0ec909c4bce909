import itertools
import random
import time

import msgspec
from behave import given, then, when

from poplarrun.contracts import hash_key
from poplarrun.platform import pool_for
from poplarrun.versions import Evidence, find_cut, make_cuts
from poplarrun.versions._cascades import SecondStep

KEY = "cascade-key"
DOCUMENT = f"""
classes:
  digest:
    importance: 3
    targets: {{quality: 0.75, first_token_ms: 5000, between_tokens_ms: 500, whole_s: 60}}
models:
  cheap: {{versions: {{"1": {{stage: offered, price: {{input_per_mtok: 1, output_per_mtok: 1}}}}}}}}
  dear: {{versions: {{"1": {{stage: offered, price: {{input_per_mtok: 9, output_per_mtok: 9}}}}}}}}
accounts:
  shop: {{keys: ["{hash_key(KEY)}"], classes: ["*"], versions: ["*"]}}
"""
WORDS = 40


@given(
    '{count:d} judged and rated answers of which {wrong:d} in 10 are wrong, with "{judge}" scores'
)
def step_judged(context, count, wrong, judge):
    source = random.Random(5)
    context.evidence = Evidence()
    for _ in range(count):
        quality = 0.2 if source.random() < wrong / 10 else 0.92
        told = quality / 2 if judge == "telling" else 0.3
        score = min(1.0, max(0.0, source.gauss(told, 0.08)))
        context.evidence.add_rating(quality, source, score)
        context.evidence._add_judged(score, [1, 0, 0, 0])


@when("the cheapest cut that reaches {target:g} with a second version of {lower:g} is looked for")
def step_find(context, target, lower):
    cuts = make_cuts(context.evidence.judged, 0.05)
    context.cut = find_cut(cuts, 1.0, SecondStep(lower, lower, 10.0), target)


@then("a cut is {found}")
def step_cut(context, found):
    assert (context.cut is not None) == (found == "found"), context.cut


@given("cheap answers that are half poor, beside a dear version, with a judge")
def step_fleet(context):
    fleet = context.fleet
    fleet.wait_in_force(fleet.publish(DOCUMENT))
    fleet.wait_versions("cheap:1", "dear:1")


def stream(host, **headers):
    body = {
        "model": "digest",
        "messages": [{"role": "user", "content": "a digest"}],
        "stream": True,
    }
    response = pool_for().request(
        "POST",
        f"http://{host.address}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {KEY}", **headers},
    )
    lines = [line for line in response.data.decode().split("\n\n") if line]
    chunks = [msgspec.json.decode(line[len("data: ") :]) for line in lines[:-1]]
    text = "".join(c["choices"][0]["delta"].get("content", "") for c in chunks)
    ends = sum(c["choices"][0]["finish_reason"] == "stop" for c in chunks)
    return response.headers, text, ends


def explain(host, request_id):
    response = pool_for().request("GET", f"http://{host.address}/explain?request_id={request_id}")
    return response.json()


def is_cascade(explanation):
    return any("cascade" in line for line in explanation["considered"])


@when('{count:d} "digest" answers are streamed until some are escalated')
def step_stream(context, count):
    hosts = itertools.cycle(context.fleet.hosts.values())
    context.cascades = []
    for _ in range(count):
        host = next(hosts)
        headers, text, ends = stream(host)
        explanation = explain(host, headers["X-Request-Id"])
        if is_cascade(explanation):
            context.cascades.append((explanation, text, ends))
        escalated = [e for e, _, _ in context.cascades if any("poorly" in a for a in e["attempts"])]
        if len(escalated) >= 5:
            break
        time.sleep(0.02)
    context.escalated = escalated
    assert escalated, explanation


@then("each cascade's stream had 40 words and one clean end")
def step_one_answer(context):
    for explanation, text, ends in context.cascades:
        assert (len(text.split()), ends) == (WORDS, 1), explanation


@then("escalated answers were billed once, for both steps")
def step_bills(context):
    for explanation in context.escalated:
        amount = explanation["bill"]["amount"]
        assert abs(amount - 10 * (WORDS + 3) / 1e6) < 1e-9, explanation


@when('a session sends {count:d} "digest" requests')
def step_session(context, count):
    hosts = itertools.cycle(context.fleet.hosts.values())
    context.session_versions = {
        stream(next(hosts), **{"X-Session-Id": "draft-1"})[0]["X-Poplarrun-Version"]
        for _ in range(count)
    }


@then("all of the session's answers came from one version")
def step_one_version(context):
    assert len(context.session_versions) == 1, context.session_versions
