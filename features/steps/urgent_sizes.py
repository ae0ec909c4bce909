import random
from dataclasses import replace

from behave import given, then, when

from bench.urgent_sizes import CUSTOMERS, POLICIES, measure
from features.steps.gateway_world import (
    ENGINES,
    make_endpoint_record,
    make_placement,
    make_request,
    make_route,
    make_work,
)
from poplarrun.dispatch import ConfigView, Dispatcher, SendDecision
from poplarrun.gateway._records import RequestRecorder
from poplarrun.metrics import Metrics
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import Rollouts
from poplarrun.routing import Account, CacheTransfer, Catalogue, LatencyTargets, PromptPart
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy

START = 100.0
LIGHT_CACHE = CacheTransfer(18_432, 22.5e9)
HEAVY_CACHE = CacheTransfer(163_840, 22.5e9)
LARGEST_S_PER_TOKEN = 1e-4
SMALLEST_S_PER_TOKEN = 1e-5
PROMPT_TOKENS = 4_000
SLOW_TARGET_S = 8.0
# A doubtful answer: worth 0.34 of a good one, so that a larger model's gains 0.48.
DOUBTFUL = 0.45


def make_urgent_route(name, priority, target_s):
    route = make_route(prefix=f"/{name}", rank=priority, name=name)
    return replace(route, latency=LatencyTargets(10.0, target_s, 1.0))


def apply_routes(context, routes):
    accounts = {"key": Account("acme"), "first": Account("vip", 0), "last": Account("rest", 2)}
    context.version += 1
    service = replace(ENGINES, cache_transfer=LIGHT_CACHE)
    catalogue = Catalogue(context.version, {"shop": tuple(routes)}, {"engines": service}, accounts)
    context.dispatcher.config_view.apply_catalogue(catalogue)


@given("a host with engines of a small cache per token")
def step_host(context):
    context.now, context.version, context.number = START, 0, 0
    config = ConfigView(confirmed_at=START)
    context.placement = make_placement(2)
    context.placement.speed("engines", "large").prefill_s_per_token = LARGEST_S_PER_TOKEN
    context.placement.speed("engines", "small").prefill_s_per_token = SMALLEST_S_PER_TOKEN
    context.dispatcher = Dispatcher(
        config, context.placement, Rollouts(), SizePolicy(), 1.0, Budget(100, 100, 10.0)
    )


@given(
    'a route "{urgent}" of priority {priority:d} with a target of {target_s:f} s '
    'and a route "{other}" of priority {other_priority:d}'
)
def step_routes(context, urgent, priority, target_s, other, other_priority):
    context.routes = [
        make_urgent_route(urgent, priority, target_s),
        make_urgent_route(other, other_priority, SLOW_TARGET_S),
    ]
    apply_routes(context, context.routes)


def admit(context, route, tokens=PROMPT_TOKENS, key="key"):
    context.number += 1
    parts = (PromptPart(f"own-{context.number}", tokens),)
    request = make_request(f"/{route}/x", parts, number=context.number)
    return context.dispatcher.admit(replace(request, api_key=key), context.now)


def record_send(context, route, prefill_s):
    endpoint = context.placement.find("engine-0")
    estimate = EndpointEstimate(endpoint, prefill_s, prefill_s, 1000)
    send = SendDecision(estimate, "large", 2)
    attempt = context.dispatcher.record_sent(admit(context, route), send, context.now)
    context.dispatcher.record_cancelled(attempt, context.now)


def send(context, work):
    decision = context.dispatcher.choose_endpoint(work, context.now)
    return context.dispatcher.record_sent(work, decision, context.now)


def set_queue(context, queue_s):
    for endpoint in context.placement.endpoints():
        endpoint.drained_at = context.now + queue_s


def decide(context, work, queue_s, confidence=DOUBTFUL):
    attempt = send(context, work)
    set_queue(context, queue_s)
    decision = context.dispatcher.try_escalate(work, attempt, confidence, context.now)
    set_queue(context, 0.0)
    if not decision.is_asked:
        context.dispatcher.record_cancelled(attempt, context.now)
    return decision


def check(context, route, queue_s, outcome, **kind):
    decision = decide(context, admit(context, route, **kind), queue_s)
    assert decision.is_asked == (outcome in ("is", "is asked again")), (route, decision)


@when('most of the prefill time of the last seconds went to "{route}"')
def step_mostly(context, route):
    for number in range(10):
        context.now = START + 0.5 * number
        record_send(context, route, 1.0)
    record_send(context, "slow", 0.1)


@when('one prompt of {prefill_s:f} s went to "{route}"')
def step_one_prompt(context, prefill_s, route):
    record_send(context, route, prefill_s)


@when('{seconds:f} s pass in which only "{route}" is sent')
def step_pass(context, seconds, route):
    for _ in range(int(seconds)):
        context.now += 1.0
        context.dispatcher.config_view.confirm(context.now)
        record_send(context, route, 0.5)


@then(
    'behind {queue_s:f} s of prompts a doubtful answer on "{urgent}" is asked again, '
    'and one on "{other}" {outcome}'
)
def step_both(context, queue_s, urgent, other, outcome):
    check(context, urgent, queue_s, "is")
    check(context, other, queue_s, outcome)


@then('behind {queue_s:f} s of prompts a doubtful answer on "{route}" {outcome}')
def step_one(context, queue_s, route, outcome):
    match outcome:
        case "of an account of priority 0 is asked again":
            check(context, route, queue_s, "is", key="first")
        case "of an account of priority 2 is kept":
            check(context, route, queue_s, "is kept", key="last")
        case "is asked again" | "is kept":
            check(context, route, queue_s, outcome)
        case _:
            raise AssertionError(outcome)


@then(
    "behind {queue_s:f} s of prompts a doubtful answer to a prompt of {tokens:d} tokens "
    'on "{route}" is asked again'
)
def step_short(context, queue_s, tokens, route):
    check(context, route, queue_s, "is kept")
    check(context, route, queue_s, "is asked again", tokens=tokens)


@when(
    'a configuration gives "{first}" the priority {first_priority:d} '
    'and "{second}" the priority {second_priority:d}'
)
def step_reprioritize(context, first, first_priority, second, second_priority):
    priorities = {first: first_priority, second: second_priority}
    apply_routes(context, [replace(r, priority=priorities[r.name]) for r in context.routes])


@when("a configuration adds a route of priority {priority:d} with a target of {target_s:f} s")
def step_add_route(context, priority, target_s):
    apply_routes(context, [make_urgent_route("new", priority, target_s), *context.routes])


@when('a configuration without routes arrives while a request on "{route}" is under way')
def step_no_routes(context, route):
    context.work = admit(context, route)
    context.attempt = send(context, context.work)
    apply_routes(context, [])


@then("behind {queue_s:f} s of prompts its doubtful answer is asked again")
def step_under_way(context, queue_s):
    set_queue(context, queue_s)
    assert context.dispatcher.try_escalate(
        context.work, context.attempt, DOUBTFUL, context.now
    ).is_asked


@given("a size policy that has seen urgent sends")
def step_busy_policy(context):
    context.policy = SizePolicy()
    urgent = replace(make_work(), route=make_urgent_route("quick", 0, 2.0), account=None)
    for transfer in (LIGHT_CACHE, HEAVY_CACHE, CacheTransfer()):
        service = replace(ENGINES, cache_transfer=transfer)
        for number in range(20):
            context.policy.record_send(urgent, 1.0, service, START + number)


def gain_of_before(confidence, is_late):
    """Return what a larger answer to the mean request gained by the rule of before."""
    good = 1.0 / (1.0 + 2.718281828459045 ** ((0.5 - confidence) / 0.06))
    return 0.97 * (0.3 if is_late else 1.0) - good - (1.0 - good) * 0.05 - 0.15


def check_decisions(policy, count, service):
    source = random.Random(5)
    asked = 0
    for _ in range(count):
        target_s = source.choice((1.5, 2.0, 4.0, 8.0))
        priority = source.randrange(3)
        work = make_work()
        work.route = replace(make_urgent_route("draft", priority, target_s), name="")
        work.model_size = "small"
        work.request = replace(work.request, prompt_tokens=1000, max_tokens=0)
        confidence, queue_s = source.random(), source.choice((0.0, source.uniform(0.0, 6.0)))
        prefill_s = source.uniform(0.0, 2.0)
        endpoint = make_placement(1).endpoints()[0]
        estimate = EndpointEstimate(endpoint, prefill_s, queue_s + prefill_s, 1000, queue_s)
        now = work.arrived_at + source.uniform(0.0, 2.0)
        is_late = now + (queue_s + prefill_s) / 0.8 > work.arrived_at + target_s
        gain = gain_of_before(confidence, is_late) - 0.08 - min(1.0, queue_s / target_s)
        decision = policy.decide(work, confidence, estimate, service, 1.0, now)
        assert decision.is_asked == (gain > 0.0), (confidence, estimate, decision, gain)
        asked += decision.is_asked
    assert 0.05 * count < asked < 0.6 * count, asked


@then(
    "{count:d} decisions about engines with a large cache per token are the same as before the rule"
)
def step_same_decisions(context, count):
    context.count = count
    check_decisions(context.policy, count, replace(ENGINES, cache_transfer=HEAVY_CACHE))


@then("the same for engines that state no cache per token")
def step_same_without(context):
    check_decisions(context.policy, context.count, ENGINES)


def decide_in_case(context, case, confidence):
    for number in range(10):
        record_send(context, "quick", 0.1 * number)
    work = admit(context, "slow")
    queue_s = 0.0
    match case:
        case "1.9 s of prompts wait":
            queue_s = 1.9
        case "no time is left until the target":
            work.arrived_at -= SLOW_TARGET_S
        case "the second sends are used up":
            budget = context.dispatcher.retry_budgets.budget("engines", context.now)
            while budget.try_spend(context.now):
                pass
        case "the version of its session has no engine":
            attempt = send(context, work)
            context.placement.update_endpoints([make_endpoint_record("other", version="v2")])
            decision = context.dispatcher.try_escalate(work, attempt, confidence, context.now)
            context.dispatcher.record_cancelled(attempt, context.now)
            return decision
    return decide(context, work, queue_s, confidence)


def count_in_case(context, case, confidence):
    step_host(context)
    apply_routes(context, context.routes)
    metrics = Metrics()
    decision = decide_in_case(context, case, confidence)
    assert not decision.is_asked, (case, decision)
    RequestRecorder(metrics).record_kept(decision)
    lines = metrics.render().decode().splitlines()
    return [line for line in lines if "larger_model_not_asked" in line]


@then("an answer of confidence {confidence:f} is kept and counted as follows")
def step_counted(context, confidence):
    context.cases = [row["case"] for row in context.table]
    for row in context.table:
        (line,) = count_in_case(context, row["case"], confidence)
        assert f'"{row["counter"]}"' in line and line.endswith(" 1.0"), (row["case"], line)


@then("an answer of confidence {confidence:f} is kept and nothing counted in each case")
def step_not_counted(context, confidence):
    for case in context.cases:
        assert count_in_case(context, case, confidence) == [], case


@when('the load of the "{name}" customer is played by urgency and alike')
def step_play(context, name):
    customer = next(each for each in CUSTOMERS if each.name == name)
    context.totals = {policy.name: measure(customer, policy, seeds=(1, 2)) for policy in POLICIES}


@then('the share of good answers in time of "{kind}" rises by at least {least:f}')
def step_rises(context, kind, least):
    shares = {name: totals[kind].good_in_time for name, totals in context.totals.items()}
    assert shares["by_urgency"] >= shares["alike"] + least, shares


@then('that of "{first}" and "{second}" stays above {least:f}')
def step_stays(context, first, second, least):
    for kind in (first, second):
        share = context.totals["by_urgency"][kind].good_in_time
        assert share > least, (kind, share)
