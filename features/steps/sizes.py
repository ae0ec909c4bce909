import dataclasses
import random

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_placement, make_work
from poplarrun.placement import EndpointEstimate
from poplarrun.sizes import SizePolicy

# The small model answers requests up to this difficulty well, of 0 to 1.
SMALL_QUALITY = 0.54
# Confidence lost for each unit of difficulty, and how far it is off.
CONFIDENCE_SLOPE = 1.6
CONFIDENCE_NOISE = 0.1
# That of an answer which is as often good as poor.
EVEN = 0.5


def make_seat(queue_s=0.0):
    member = make_placement(1).endpoints()[0]
    member.pending_prefill_s = queue_s
    return EndpointEstimate(member, 0.1, 0.1 + queue_s, 1000)


def is_asked_again(confidence, seat, request=None, policy=None, engines=ENGINES):
    work = make_work()
    work.model_size = "small"
    work.request = request or work.request
    return (policy or SizePolicy()).should_escalate(work, confidence, seat, engines, 100.1)


def make_sized_request(prompt, most):
    return dataclasses.replace(make_work().request, prompt_tokens=prompt, max_tokens=most)


@given("a policy of sizes before empty engines")
def step_policy(context):
    context.seat = make_seat()


@given("a policy of sizes before engines with {queue:f} s of prompts waiting")
def step_policy_full(context, queue):
    context.seat = make_seat(queue)


@then("an answer of confidence {low:f} is asked again and one of {high:f} is kept")
def step_asked(context, low, high):
    assert is_asked_again(low, context.seat) and not is_asked_again(high, context.seat)


@then("an answer of confidence {confidence:f} is asked again on empty engines only")
def step_asked_empty(context, confidence):
    assert is_asked_again(confidence, make_seat())
    assert not is_asked_again(confidence, context.seat)


@then(
    "a doubtful note of {prompt:d} tokens in and {most:d} out at most is asked again "
    "where its caller expects {hint:d}"
)
def step_asked_short(context, prompt, most, hint):
    request = make_sized_request(prompt, most)
    assert not is_asked_again(EVEN, context.seat, request)
    request = dataclasses.replace(request, hinted_tokens=hint)
    assert is_asked_again(EVEN, context.seat, request)


@when("{count:d} requests of mixed difficulty are answered")
def step_answer(context, count):
    source = random.Random(7)
    context.count, context.good, context.in_vain = count, 0, 0
    for _ in range(count):
        difficulty = source.random()
        is_good = difficulty <= SMALL_QUALITY
        confidence = 0.5 + CONFIDENCE_SLOPE * (SMALL_QUALITY - difficulty)
        confidence = min(1.0, max(0.0, source.gauss(confidence, CONFIDENCE_NOISE)))
        is_larger = is_asked_again(confidence, context.seat)
        context.good += is_good or is_larger
        context.in_vain += is_good and is_larger


@then("at least {share:f} of the callers get a good answer")
def step_good(context, share):
    assert context.good >= share * context.count, context.good / context.count


@then("at most {share:f} of them wait for the larger model in vain")
def step_in_vain(context, share):
    assert context.in_vain <= share * context.count, context.in_vain / context.count


@given("{count:d} usual requests of {prompt:d} tokens in and {most:d} out")
def step_usual(context, count, prompt, most):
    context.policy = SizePolicy()
    work = make_work()
    work.request = make_sized_request(prompt, most)
    for _ in range(count):
        context.policy.record_request(work)


@then("a doubtful one of {prompt:d} tokens in and {most:d} out is {outcome}")
def step_doubtful(context, prompt, most, outcome):
    request = make_sized_request(prompt, most)
    is_asked = is_asked_again(EVEN, context.seat, request, context.policy)
    assert is_asked == (outcome == "asked again"), is_asked


@then("the same confidences are asked again at prices a thousand times as high")
def step_unit(context):
    dear = tuple(dataclasses.replace(size, cost=size.cost * 1000.0) for size in ENGINES.sizes)
    engines = dataclasses.replace(ENGINES, sizes=dear)
    for percent in range(101):
        confidence = percent / 100.0
        at_usual = is_asked_again(confidence, context.seat)
        assert is_asked_again(confidence, context.seat, engines=engines) == at_usual, percent
