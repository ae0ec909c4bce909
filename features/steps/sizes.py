import dataclasses
import random

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_placement, make_work
from poplarrun.placement import EndpointEstimate
from poplarrun.sizes import SizePolicy

# Greatest difficulty, 0 to 1, of a request that the small model answers well.
MAX_SMALL_MODEL_DIFFICULTY = 0.54
# Decrease of the confidence per unit of difficulty, and its standard deviation.
CONFIDENCE_SLOPE = 1.6
CONFIDENCE_STANDARD_DEVIATION = 0.1
# Confidence of an answer that is good with a probability of one half.
MIDPOINT = 0.5


def make_estimate(queue_s=0.0):
    endpoint = make_placement(1).endpoints()[0]
    return EndpointEstimate(endpoint, 0.1, 0.1 + queue_s, 1000, queue_s)


def is_escalated(confidence, estimate, request=None, policy=None, engines=ENGINES):
    work = make_work()
    work.model_size = "small"
    work.request = request or work.request
    target_s = work.route.latency.target_s
    policy = policy or SizePolicy()
    return policy.decide(work, confidence, estimate, engines, target_s, 100.1).is_asked


def make_request_of_length(prompt_tokens, max_tokens):
    return dataclasses.replace(
        make_work().request, prompt_tokens=prompt_tokens, max_tokens=max_tokens
    )


@given("a size policy with idle engines")
def step_idle_policy(context):
    context.estimate = make_estimate()


@given("a size policy with engines where {queue_s:f} s of prompts wait")
def step_loaded_policy(context, queue_s):
    context.estimate = make_estimate(queue_s)


@then("an answer of confidence {low:f} is escalated and one of {high:f} is kept")
def step_escalated(context, low, high):
    assert is_escalated(low, context.estimate) and not is_escalated(high, context.estimate)


@then("an answer of confidence {confidence:f} is escalated on idle engines only")
def step_escalated_if_idle(context, confidence):
    assert is_escalated(confidence, make_estimate())
    assert not is_escalated(confidence, context.estimate)


@then(
    "a doubtful answer to {prompt_tokens:d} prompt tokens with at most {max_tokens:d} tokens "
    "is escalated if {hinted_tokens:d} are hinted"
)
def step_escalated_with_hint(context, prompt_tokens, max_tokens, hinted_tokens):
    request = make_request_of_length(prompt_tokens, max_tokens)
    assert not is_escalated(MIDPOINT, context.estimate, request)
    request = dataclasses.replace(request, hinted_tokens=hinted_tokens)
    assert is_escalated(MIDPOINT, context.estimate, request)


@when("{count:d} requests of mixed difficulty are answered")
def step_answer_requests(context, count):
    source = random.Random(7)
    context.count, context.good, context.in_vain = count, 0, 0
    for _ in range(count):
        difficulty = source.random()
        is_good = difficulty <= MAX_SMALL_MODEL_DIFFICULTY
        confidence = 0.5 + CONFIDENCE_SLOPE * (MAX_SMALL_MODEL_DIFFICULTY - difficulty)
        confidence = min(1.0, max(0.0, source.gauss(confidence, CONFIDENCE_STANDARD_DEVIATION)))
        escalated = is_escalated(confidence, context.estimate)
        context.good += is_good or escalated
        context.in_vain += is_good and escalated


@then("at least {fraction:f} of the callers get a good answer")
def step_good_answers(context, fraction):
    assert context.good >= fraction * context.count, context.good / context.count


@then("at most {fraction:f} of them wait for the larger model in vain")
def step_unneeded_escalations(context, fraction):
    assert context.in_vain <= fraction * context.count, context.in_vain / context.count


@given(
    "{count:d} typical requests of {prompt_tokens:d} prompt tokens "
    "and {max_tokens:d} generated tokens"
)
def step_typical_requests(context, count, prompt_tokens, max_tokens):
    context.policy = SizePolicy()
    work = make_work()
    work.request = make_request_of_length(prompt_tokens, max_tokens)
    for _ in range(count):
        context.policy.record_request(work)


@then(
    "a doubtful one of {prompt_tokens:d} prompt tokens "
    "and {max_tokens:d} generated tokens is {outcome}"
)
def step_doubtful_answer(context, prompt_tokens, max_tokens, outcome):
    request = make_request_of_length(prompt_tokens, max_tokens)
    escalated = is_escalated(MIDPOINT, context.estimate, request, context.policy)
    assert escalated == (outcome == "escalated"), escalated


@then("answers of the same confidences are escalated at prices a thousand times as high")
def step_price_unit(context):
    expensive_sizes = tuple(
        dataclasses.replace(size, cost=size.cost * 1000.0) for size in ENGINES.sizes
    )
    engines = dataclasses.replace(ENGINES, sizes=expensive_sizes)
    for percent in range(101):
        confidence = percent / 100.0
        is_escalated_at_usual_price = is_escalated(confidence, context.estimate)
        assert (
            is_escalated(confidence, context.estimate, engines=engines)
            == is_escalated_at_usual_price
        ), percent
