import itertools
import random
import statistics
import time

import msgspec
from behave import given, then, when

from poplarrun.clients import get_pool_manager
from poplarrun.contracts import (
    AccountLimitSettings,
    ClientAccount,
    VersionId,
    hash_key,
    parse_document,
)
from poplarrun.versions import (
    AnswerObservation,
    CellKey,
    Estimates,
    Evidence,
    find_cutoff,
    make_cutoffs,
)
from poplarrun.versions._cascades import SecondStep
from standins.version_world import RatingTraits, Traits, VersionWorld

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
LAST_REQUESTS = 300
CLASS = "digest"
CHEAP, EXPENSIVE = VersionId("cheap", "1"), VersionId("dear", "1")
CELL = CellKey(CLASS, CHEAP)
ACCOUNT = ClientAccount("shop", (), ("*",), ("*",), (), AccountLimitSettings())


@given(
    '{count:d} judged and rated answers of which {wrong:d} in 10 are wrong, with "{judge}" scores'
)
def step_judged(context, count, wrong, judge):
    source = random.Random(5)
    context.evidence = Evidence()
    for _ in range(count):
        quality = 0.2 if source.random() < wrong / 10 else 0.92
        mean_score = quality / 2 if judge == "informative" else 0.3
        score = min(1.0, max(0.0, source.gauss(mean_score, 0.08)))
        context.evidence.add_rating(quality, source, score)
        context.evidence._add_judged(score, [1, 0, 0, 0])


@when("the cheapest cutoff that reaches {target:g} with a second version of {lower:g} is searched")
def step_find(context, target, lower):
    cutoffs = make_cutoffs(context.evidence.judged, 0.05)
    context.cutoff = find_cutoff(cutoffs, 1.0, SecondStep(lower, lower, 10.0), target)


@then("a cutoff is {found}")
def step_cutoff(context, found):
    assert (context.cutoff is not None) == (found == "found"), context.cutoff


@given("a cheap version with half of its answers poor, an expensive version, and a judge")
def step_fleet(context):
    fleet = context.fleet
    fleet.wait_in_force(fleet.publish(DOCUMENT))
    fleet.wait_versions("cheap:1", "dear:1")


def make_world(seed, cheap, document=DOCUMENT):
    world = VersionWorld(
        {(CLASS, CHEAP): cheap, (CLASS, EXPENSIVE): Traits(0.95)},
        host_count=3,
        seed=seed,
        ratings=RatingTraits(delay_s=1.0),
        judged=True,
    )
    world.publish(document)
    world.advance(3.0)
    return world


@given("simulated worlds of a class with a short first-token target and a cheap version half poor")
def step_fast_worlds(context):
    cheap = Traits(0.95, wrong=0.5, wrong_quality=0.0)
    document = DOCUMENT.replace("first_token_ms: 5000", "first_token_ms: 500")
    context.worlds = [make_world(seed, cheap, document) for seed in range(1, 13)]


@given('simulated worlds of a cheap version with {poor:d} in 10 answers poor and "{judge}" scores')
def step_worlds(context, poor, judge):
    blind_score = {"informative": None, "uninformative": 0.9}[judge]
    # Hard requests are answered wrong more often than easy ones; 2 makes all answers wrong.
    wrong = poor / 10 if poor < 10 else 2.0
    cheap = Traits(0.95, wrong=wrong, wrong_quality=0.0, blind_score=blind_score)
    context.worlds = [make_world(seed, cheap) for seed in range(1, 13)]


@when('simulated callers ask for {count:d} "digest" answers in each')
def step_ask_worlds(context, count):
    for world in context.worlds:
        world.run(count, [CLASS], ACCOUNT)


@then("the cheap version ends as {role} in each")
def step_role(context, role):
    for seed, world in enumerate(context.worlds, 1):
        cascades = sum(s.reason == "cascade" for s in world.served[-LAST_REQUESTS:])
        assert cascades >= LAST_REQUESTS * 0.9 if role == "a first step" else cascades == 0, (
            seed,
            cascades,
        )


def list_answered_alone(world):
    return [served.version == CHEAP and served.reason != "cascade" for served in world.served]


@then("it answered alone at most {most:d} times in each, and never in the last 300 requests")
def step_alone(context, most):
    for seed, world in enumerate(context.worlds, 1):
        alone = list_answered_alone(world)
        assert sum(alone) <= most and not any(alone[-LAST_REQUESTS:]), (seed, sum(alone))


@then("it answered alone at most {most:d} times in the median world")
def step_alone_median(context, most):
    counts = [sum(list_answered_alone(world)) for world in context.worlds]
    assert statistics.median(counts) <= most, counts


def order_answers(order, poor, good):
    match order:
        case "poor first":
            return [False] * poor + [True] * good
        case "good first":
            return [True] * good + [False] * poor
        case "alternating":
            return [number % (1 + good // poor) > 0 for number in range(poor + good)]
    raise ValueError(order)


def record_and_find(context, is_good, score):
    estimates = context.estimates
    estimates.record_answer(CELL, AnswerObservation(False, False, WORDS, 0.1, score))
    estimates.record_rating(CELL, 0.95 if is_good else 0.0, score)
    estimates.refresh()
    return estimates.find(CELL)


def start_estimates(context):
    context.estimates = Estimates("h0", 1, random.Random(7))
    context.estimates.apply_document(parse_document(DOCUMENT))


@given("{poor:d} poor and {good:d} good rated answers with informative scores, {order}")
def step_ordered(context, poor, good, order):
    start_estimates(context)
    context.history = [
        record_and_find(context, is_good, 0.9 if is_good else 0.1)
        for is_good in order_answers(order, poor, good)
    ]


@then("the version was never taken out of service")
def step_never_withdrawn(context):
    assert not any(estimate.is_bad(in_service=True) for estimate in context.history)


@given("{count:d} good rated answers with informative scores")
def step_good_past(context, count):
    start_estimates(context)
    estimate = [record_and_find(context, True, 0.9) for _ in range(count)][-1]
    assert estimate.mean_quality > 0.9


@when("{count:d} poor rated answers follow with the scores of good ones")
def step_uninformative(context, count):
    context.estimate = [record_and_find(context, False, 0.9) for _ in range(count)][-1]


@then("no cutoff of its judge is trusted, and it is taken out of service")
def step_no_cutoff(context):
    assert not context.estimate.cutoffs and context.estimate.is_bad(
        in_service=True
    ), context.estimate


def stream(host, **headers):
    body = {
        "model": "digest",
        "messages": [{"role": "user", "content": "a digest"}],
        "stream": True,
    }
    response = get_pool_manager().request(
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
    response = get_pool_manager().request(
        "GET", f"http://{host.address}/explain?request_id={request_id}"
    )
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
