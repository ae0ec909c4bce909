import random

from behave import given, then, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_request,
)
from features.steps.load_tests import NEVER_FAILING_LOAD
from poplarrun.dispatch import ConfigView, ConnectionBroke, SendDecision
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import AnswerTimes, ChangeDetector, Rollouts, RolloutVerdict, Tally
from poplarrun.rollouts._evidence import MAX_GOOD_FRACTION
from poplarrun.rollouts._rollouts import (
    COMPLETED_BAD_EVIDENCE,
    MAX_COMPLETED_BAD_FRACTION,
    TURNED_BAD_EVIDENCE,
)
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus
from standins.loaded_rollout import LoadedRolloutFleet
from standins.rollout_fleet import run_by_virtual_clock

SEED = 4109
ANSWERS_A_ROUND = 5


def make_rollouts(seconds):
    rollouts = Rollouts()
    rollouts.apply_order(RolloutOrder("engines", "v2", float(seconds), 7), 100.0)
    return rollouts


@given("{hosts:d} hosts before a version that fails {fraction:f} of its requests from {at:d} s on")
def step_turns_bad(context, hosts, fraction, at):
    context.fleet = LoadedRolloutFleet(SEED, hosts, NEVER_FAILING_LOAD)
    context.fleet.turns_bad_after_s = float(at)
    context.fleet.endpoints.failed_fraction = fraction


@given(
    "{hosts:d} hosts before a good version, one of whose endpoints fails {fraction:f} of its"
    " requests from {at:d} s on"
)
def step_faulty_endpoint(context, hosts, fraction, at):
    step_turns_bad(context, hosts, fraction, at)
    context.fleet.endpoints.faulty_endpoint = "v2-1"


@when(
    "a roll-out of {seconds:d} s is carried out amid {rate:d} requests a second, which go on for"
    " {more:d} s"
)
def step_carry_out(context, seconds, rate, more):
    run_by_virtual_clock(context.fleet.carry_out(float(seconds), float(rate), float(more)))


@then('it is first recorded as "{first}", then as "{last}"')
def step_recorded(context, first, last):
    assert context.fleet.recorded == [
        RolloutPhase(first),
        RolloutPhase(last),
    ], context.fleet.recorded


@then("no request reaches the new version over {seconds:f} s after its failure number {count:d}")
def step_stopped(context, seconds, count):
    endpoints = context.fleet.endpoints
    failed_at = endpoints.failed_at
    if len(failed_at) >= count:
        late_s = endpoints.last_arrival_at - failed_at[count - 1]
        assert late_s <= seconds, (late_s, len(failed_at))


@given("a completed version with endpoints that fail {failures} of each 10 answers")
def step_completed(context, failures):
    context.failures = [int(each) for each in failures.split(",")]
    context.rollouts = make_rollouts(24)
    context.rollouts.apply_status(RolloutStatus("engines", "v2", RolloutPhase.COMPLETED))
    context.rollouts.compute_verdict(context.rollouts.find("engines"), 125.0)


@when("each of them has given {answers:d} more answers")
def step_more_answers(context, answers):
    context.verdicts = []
    for number in range(answers):
        for endpoint, failures in enumerate(context.failures):
            is_bad = number % 10 < failures
            key = ("engines", "v2", "draft/small")
            context.rollouts.statistics.record_answer(
                key, is_bad, AnswerTimes(), False, f"engine-{endpoint}"
            )
        verdict = context.rollouts.compute_verdict(
            context.rollouts.find("engines"), 126.0 + 0.2 * number
        )
        context.verdicts.append(verdict)


@then('the verdict on the completed version is "{verdict}"')
def step_completed_verdict(context, verdict):
    found = RolloutVerdict.ROLLED_BACK in context.verdicts
    assert found is (verdict == "rolled_back"), len(context.verdicts)


def count_alarms(versions, threshold, good_fraction, fraction, answers):
    """Return how many versions that fail a fraction of their answers are taken for bad."""
    source = random.Random(SEED)
    alarms = 0
    for _ in range(versions):
        detector = ChangeDetector(threshold)
        bad = 0
        detector.record_totals(0, 0, good_fraction)
        has_turned_bad = False
        for answered in range(ANSWERS_A_ROUND, answers + 1, ANSWERS_A_ROUND):
            bad += sum(source.random() < fraction for _ in range(ANSWERS_A_ROUND))
            detector.record_totals(answered, bad, good_fraction)
            has_turned_bad = has_turned_bad or detector.has_turned_bad
        alarms += has_turned_bad
    return alarms


@then(
    "of {versions:d} versions that fail {fraction:f} of {answers:d} answers, at most {most:d} is"
    " taken for one that has turned bad"
)
def step_false_alarms(context, versions, fraction, answers, most):
    alarms = count_alarms(versions, TURNED_BAD_EVIDENCE, MAX_GOOD_FRACTION, fraction, answers)
    assert alarms <= most, alarms


@then(
    "of {versions:d} completed versions that fail {fraction:f} of {answers:d} answers, none is"
    " rolled back"
)
def step_completed_alarms(context, versions, fraction, answers):
    assert (
        count_alarms(
            versions, COMPLETED_BAD_EVIDENCE, MAX_COMPLETED_BAD_FRACTION, fraction, answers
        )
        == 0
    )


@given("a roll-out of {seconds:d} s whose version has given {good:d} good answers")
def step_good_so_far(context, seconds, good):
    context.rollouts = make_rollouts(seconds)
    tallies = context.rollouts.statistics.local
    tallies["engines", "v1", "draft/small"] = Tally(4 * good)
    tallies["engines", "v2", "draft/small"] = Tally(good)
    rollout = context.rollouts.find("engines")
    assert context.rollouts.compute_verdict(rollout, 110.0) is RolloutVerdict.ACTIVE


@when("{bad:d} of its next {answers:d} answers fail")
def step_next_fail(context, bad, answers):
    tallies = context.rollouts.statistics.local
    tallies["engines", "v2", "draft/small"].add(Tally(answers, bad))


@then('its verdict is "{verdict}"')
def step_verdict(context, verdict):
    rollout = context.rollouts.find("engines")
    assert context.rollouts.compute_verdict(rollout, 111.0) is RolloutVerdict(verdict)


@given("a proven version in a roll-out of {seconds:d} s")
def step_proven(context, seconds):
    context.seconds = seconds
    context.rollout = make_rollouts(seconds).find("engines")
    at = 100.0
    while not context.rollout.is_shift_due(at):
        at += 0.1
    context.rollout.record_shift(at)
    context.rollout.record_proof(at + 1.0)


def find_first(is_true):
    return next(step / 10.0 for step in range(10_000) if is_true(100.0 + step / 10.0))


@then("it gets all sessions for at most {most:f} s before the end of the time")
def step_moves_late(context, most):
    context.moved_after_s = find_first(context.rollout.has_all_sessions)
    assert context.seconds - context.moved_after_s <= most, context.moved_after_s


@then("all of them at least {least:f} s before its completion is due")
def step_answers_end(context, least):
    assert context.rollout.completion_delay_s - context.moved_after_s >= least


@given("a host that was cut off after a completion, and one that knows of the later rollback")
def step_cut_off(context):
    context.cut_off, context.informed = make_rollouts(24), make_rollouts(24)
    for rollouts in (context.cut_off, context.informed):
        rollouts.apply_status(RolloutStatus("engines", "v2", RolloutPhase.COMPLETED))
    context.informed.apply_status(RolloutStatus("engines", "v2", RolloutPhase.ROLLED_BACK))


@when("they meet again after {seconds:f} s")
def step_meet(context, seconds):
    for one, other in (
        (context.informed, context.cut_off),
        (context.cut_off, context.informed),
    ):
        for rollout in one.recent(100.0 + seconds):
            other.apply_status(RolloutStatus("engines", "v2", rollout.recorded_phase))


@then('both send nothing to the version, and a late record of "{phase}" changes nothing')
def step_both_know(context, phase):
    for rollouts in (context.informed, context.cut_off):
        status = RolloutStatus("engines", "v2", RolloutPhase(phase))
        assert not rollouts.apply_status(status)
        assert rollouts.find_rolled_back("engines") == "v2"


@given("a stream that began on the new version before its rollback was recorded")
def step_stream(context):
    view = ConfigView(None)
    view.apply_catalogue(make_catalogue())
    dispatcher = context.dispatcher = make_dispatch(view)
    dispatcher.placement.update_endpoints(
        [make_endpoint_record("old", "v1"), make_endpoint_record("new", "v2")]
    )
    dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 24.0, 7), 100.0)
    context.work = dispatcher.admit(make_request(), 110.0)
    estimate = EndpointEstimate(dispatcher.placement.find("new"), 0.0, 0.1, 0)
    send = SendDecision(estimate, "small", 3)
    context.attempt = dispatcher.record_sent(context.work, send, 110.0)
    dispatcher.record_first_event(context.work, context.attempt, 110.2)
    context.work.last_event_id = b"1"
    dispatcher.rollouts.apply_status(RolloutStatus("engines", "v2", RolloutPhase.ROLLED_BACK))


@when("the stream breaks after its first event")
def step_breaks(context):
    endpoint = context.attempt.estimate.endpoint
    failure = ConnectionBroke("reset")
    refusal = context.dispatcher.handle_failure(
        context.work, endpoint, context.attempt, failure, 116.0
    )
    assert refusal is None, refusal


@then("its next send goes to the old version")
def step_resumed_elsewhere(context):
    send = context.dispatcher.choose_endpoint(context.work, 116.1)
    assert isinstance(send, SendDecision), send
    assert send.estimate.endpoint.record.version == "v1"
