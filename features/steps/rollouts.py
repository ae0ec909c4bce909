import math

from behave import given, then, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_listing,
    make_request,
    make_work,
)
from poplarrun.dispatch import (
    ConfigView,
    ConnectionLost,
    EndpointErrorResponse,
    ResponseTimeout,
    SendDecision,
)
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import (
    AnswerStatistics,
    AnswerTimes,
    ComparisonStage,
    Rollouts,
    RolloutVerdict,
    Tally,
)
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus


def tally(context, version, route, ended, bad):
    if not hasattr(context, "evidence"):
        context.evidence = AnswerStatistics()
    context.evidence.local[("engines", version, route)] = Tally(ended, bad)


def count_tries(context, count):
    works = [make_work(session=f"new-{number}") for number in range(count)]
    return sum(context.rollouts.choose_version(work, 101.0).allowed is not None for work in works)


def send_to(context, name, number, sent_at, first_at=None):
    """Send a request to an endpoint; return it and its attempt."""
    dispatch = context.dispatch
    work = dispatch.admit(make_request(number=number), sent_at)
    seat = EndpointEstimate(dispatch.placement.find(name), 0.0, 0.1, 0)
    attempt = dispatch.record_sent(work, SendDecision(seat, "small", 3), sent_at)
    if first_at is not None:
        dispatch.record_first_event(work, attempt, first_at)
        dispatch.record_completed(work, attempt, first_at)
    return work, attempt


def shift_sessions(context):
    """Order a roll-out, and let sessions change; return the dispatch."""
    dispatch = context.dispatch
    dispatch.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    dispatch.rollouts.find("engines").record_shift(111.5)
    return dispatch


def give_up_silent(dispatch, given_up, until):
    """Give up the silent answers whose time has come, the oldest first."""
    while given_up and given_up[0][0] <= until:
        at, work, attempt, failure = given_up.pop(0)
        dispatch.handle_failure(work, attempt.estimate.endpoint, attempt, failure, at)


@given('{good:d} good answers of the new version on "{one}" and {bad:d} bad of {all:d} on "{two}"')
def step_new_answers(context, good, one, bad, all, two):
    tally(context, "v2", one, good, 0)
    tally(context, "v2", two, all, bad)


@given('{good:d} good answers of the old version on "{one}" and {more:d} on "{two}"')
def step_old_answers(context, good, one, more, two):
    tally(context, "v1", one, good, 0)
    tally(context, "v1", two, more, 0)


@given("{bad:d} bad of {ended:d} new answers and {old_bad:d} bad of {old:d} old ones")
def step_like_old(context, bad, ended, old_bad, old):
    tally(context, "v2", "a", ended, bad)
    tally(context, "v1", "a", old, old_bad)


@given("usual answers of {usual:f} s, and {slow:d} of {ended:d} new ones of {long:f} s")
def step_slow(context, usual, slow, ended, long):
    context.evidence = AnswerStatistics()
    for _ in range(50):
        context.evidence.record_answer(("engines", "v1", "a"), False, AnswerTimes(usual), False)
    for number in range(ended):
        times = AnswerTimes(long if number < slow else usual)
        context.evidence.record_answer(("engines", "v2", "a"), False, times, True)


@given("a dispatch whose endpoints usually begin after {usual:f} s")
def step_usual(context, usual):
    knowledge = ConfigView(None)
    knowledge.apply_catalogue(make_catalogue())
    knowledge.confirm(100.0)
    context.dispatch = make_dispatch(knowledge)
    context.dispatch.placement.update_endpoints([make_listing("old"), make_listing("new", "v2")])
    for number in range(40):
        send_to(context, "old", number, 100.0, 100.0 + usual)


@when("{slow:d} of {count:d} answers of the version on trial have not begun after {late:f} s")
def step_not_begun(context, slow, count, late):
    context.dispatch.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    context.late = []
    for number in range(count):
        first_at = None if number < slow else 102.1
        sent = send_to(context, "new", 100 + number, 102.0, first_at)
        if first_at is None:
            context.late.append(sent)
    context.dispatch.record_open_evidence(102.0 + late)


@then("the new version is judged bad although none of its answers failed")
def step_judged_open(context):
    evidence = context.dispatch.rollouts.statistics
    assert evidence.merge_version_tallies("engines", "v2").bad == 0
    assert evidence.is_bad("engines", "v2"), evidence.local


@when(
    "{good:d} answers of the version on trial end well and {broken:d} break off at the same moment"
)
def step_crash(context, good, broken):
    dispatch = context.dispatch
    dispatch.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    for number in range(good):
        send_to(context, "new", number, 102.0, 102.1)
    for work, attempt in [send_to(context, "new", 100 + n, 103.0) for n in range(broken)]:
        member = attempt.estimate.endpoint
        dispatch.handle_failure(work, member, attempt, ConnectionLost("reset"), 103.5)


@then("the version on trial is judged good, with {bad:d} bad answer")
def step_crash_judged(context, bad):
    evidence = context.dispatch.rollouts.statistics
    assert not evidence.is_bad("engines", "v2"), evidence.local
    assert evidence.merge_version_tallies("engines", "v2").bad == bad, evidence.local


@given("usual answers of {pace:f} s an event")
def step_usual_pace(context, pace):
    context.evidence = AnswerStatistics()
    context.pace = pace
    for _ in range(50):
        context.evidence.record_answer(("engines", "v1", "a"), False, AnswerTimes(0.1, pace), False)


@when("{slow:d} of {count:d} answers of the new version take {pace:f} s an event")
def step_dripping(context, slow, count, pace):
    for number in range(count):
        times = AnswerTimes(0.1, pace if number < slow else context.pace)
        context.evidence.record_answer(("engines", "v2", "a"), False, times, True)


@when("{late:d} of {count:d} answers of the new version begin after {first:f} s, at the usual pace")
def step_cold(context, late, count, first):
    for number in range(count):
        times = AnswerTimes(first if number < late else 0.1, context.pace)
        context.evidence.record_answer(("engines", "v2", "a"), False, times, True)


@then("the new version is judged good while all traffic moves to it")
def step_judged_cold(context):
    assert not context.evidence.is_bad("engines", "v2", ComparisonStage.SHIFT)


@when("a request on the new version is asked of a larger model")
def step_cascade(context):
    for number in range(100):
        context.work = make_work(number=number)
        if context.rollouts.choose_version(context.work, 101.0).allowed == {"v2"}:
            break
    context.work.session_version, context.work.possible_runs = "v2", 1


@then("its next send goes to the new version, and after a failure to the old one")
def step_stays(context):
    assert context.rollouts.choose_version(context.work, 101.0).allowed == {"v2"}
    context.work.failures = 1
    choice = context.rollouts.choose_version(context.work, 101.0)
    assert (choice.allowed, choice.excluded) == (None, "v2")


@then("the new version is judged {judgement:w}")
def step_judged(context, judgement):
    assert context.evidence.is_bad("engines", "v2") == (judgement == "bad")


@given("{count:d} answers {times:f} times as slow as usual, and old ones {old:f} times")
def step_paces(context, count, times, old):
    context.evidence = AnswerStatistics()
    for version, pace in (("v2", times), ("v1", old)):
        log_pace = count * math.log(pace)
        context.evidence.local[("engines", version, "a")] = Tally(count, 0, 0, count, log_pace)


@then('the new version is judged {judgement:w} in the stage "{stage:w}"')
def step_judged_in(context, judgement, stage):
    is_bad = context.evidence.is_bad("engines", "v2", ComparisonStage(stage))
    assert is_bad == (judgement == "bad"), context.evidence.local


@given("a roll-out of {seconds:d} s ordered at {at:f} and {count:d} sessions on the old version")
def step_rollout(context, seconds, at, count):
    context.rollouts = Rollouts(session_timeout_s=5.0)
    context.rollouts.apply_order(RolloutOrder("engines", "v2", seconds, 7), at)
    context.sessions = [f"session-{number}" for number in range(count)]
    for session in context.sessions:
        context.rollouts.record_end(make_work(session=session), "v1", at)


@then("none of them is sent to the new version until {until:f}")
def step_keep(context, until):
    now = 100.0
    while now < until:
        for session in context.sessions:
            work = make_work(session=session)
            choice = context.rollouts.choose_version(work, now)
            assert choice.allowed is None and choice.excluded == "v2", (session, now)
            context.rollouts.record_end(work, "v1", now)
        now += 1.0


@then("about a tenth of {count:d} new sessions tries the new version")
def step_tenth(context, count):
    assert 0.06 * count < count_tries(context, count) < 0.14 * count


@given("a roll-out whose version may reach {share:f} of the requests")
def step_exposure(context, share):
    context.rollouts = Rollouts(exposure_limit=share)
    context.rollouts.apply_order(RolloutOrder("engines", "v2", 20, 7), 100.0)


@then("at most {share:f} of {count:d} new sessions try the new version")
def step_exposed(context, share, count):
    assert 0 < count_tries(context, count) <= share * count


@when('it is recorded as "{first}" and then as "{second}" by a host that was paused')
def step_recorded(context, first, second):
    for phase in (first, second):
        context.rollouts.apply_status(RolloutStatus("engines", "v2", RolloutPhase(phase)))


@then("it is rolled back and no request goes to the new version")
def step_rolled_back(context):
    rollout = context.rollouts.find("engines")
    assert rollout.recorded_phase is RolloutPhase.ROLLED_BACK
    assert context.rollouts.compute_verdict(rollout, 130.0) is RolloutVerdict.NOTHING
    for number in range(200):
        choice = context.rollouts.choose_version(make_work(number=number), 105.0)
        assert choice.excluded == "v2"


@when(
    'one of "{new}" is ordered at {at:f} and a peer tells at {told:f} that "{old}" is {age:f} s old'
)
def step_second_order(context, new, at, told, old, age):
    assert context.rollouts.apply_order(RolloutOrder("engines", new, 16.0, 9), at)
    assert not context.rollouts.apply_order(RolloutOrder("engines", old, 16.0, 7), told, age)


@then('"{target}" is at the beginning of its trial at {at:f} and nothing is recorded but its start')
def step_trial_begins(context, target, at):
    rollout = context.rollouts.find("engines")
    assert rollout.order.target == target and rollout.elapsed_fraction(at) < 0.1, rollout
    assert context.rollouts.compute_verdict(rollout, at) is RolloutVerdict.ACTIVE
    assert rollout.shift_decided_at is None


@when("these {count:d} answers fail in the end")
def step_late_fail(context, count):
    assert len(context.late) == count
    for work, attempt in context.late:
        member = attempt.estimate.endpoint
        context.dispatch.handle_failure(work, member, attempt, EndpointErrorResponse(500), 106.0)


@then("the version on trial has {bad:d} bad and {slow:d} slow answers of {ended:d}")
def step_bad_and_slow(context, bad, slow, ended):
    tally = context.dispatch.rollouts.statistics.merge_version_tallies("engines", "v2")
    assert (tally.bad, tally.slow, tally.answers) == (bad, slow, ended), tally


@given("two hosts that know a roll-out of {seconds:d} s ordered at {at:f}")
def step_two_hosts(context, seconds, at):
    context.hosts = [Rollouts(), Rollouts()]
    for rollouts in context.hosts:
        rollouts.apply_order(RolloutOrder("engines", "v2", seconds, 7), at)


@when("one decides at {at:f} that sessions may change, and the other hears of it {later:f} s later")
def step_shift(context, at, later):
    one, other = (rollouts.find("engines") for rollouts in context.hosts)
    context.moves = []
    one.record_shift(at)
    for tenth in range(20):
        now = at + tenth / 10.0
        if now >= at + later:
            other.record_shift(at)
        for number in range(200):
            work = make_work(session=f"session-{number}")
            picked = [rollouts.choose_version(work, now).allowed for rollouts in context.hosts]
            context.moves.append((now, number, *picked))


@then("no session that one of them moves is sent back by the other")
def step_not_sent_back(context):
    assert all(one == other for _, _, one, other in context.moves)
    assert any(one is not None for _, _, one, _ in context.moves)


@when(
    "{good:d} answers of the loaded version come in time,"
    " and {silent:d} between them don't come in {patience:f} s"
)
def step_silent(context, good, silent, patience):
    dispatch = shift_sessions(context)
    given_up = []
    for number in range(good):
        sent_at = 113.0 + number / 20.0
        give_up_silent(dispatch, given_up, sent_at)
        send_to(context, "new", 100 + number, sent_at, sent_at + 0.1)
        if number * silent // good != (number + 1) * silent // good:
            work, attempt = send_to(context, "new", 200 + number, sent_at)
            given_up.append((sent_at + patience, work, attempt, ResponseTimeout(patience)))
    give_up_silent(dispatch, given_up, math.inf)


@when(
    "{good:d} answers of the loaded version come in time,"
    " and then {silent:d} don't come in {patience:f} s"
)
def step_dark(context, good, silent, patience):
    dispatch = shift_sessions(context)
    for number in range(good):
        sent_at = 113.0 + number / 20.0
        send_to(context, "new", 100 + number, sent_at, sent_at + 0.1)
    dark_at = 113.0 + good / 20.0
    given_up = []
    for number in range(silent):
        sent_at = dark_at - 0.1 + number / 20.0
        work, attempt = send_to(context, "new", 200 + number, sent_at)
        given_up.append((sent_at + patience, work, attempt, ResponseTimeout(patience)))
    give_up_silent(dispatch, given_up, math.inf)


@then("the new version is judged {judgement:w} while it is proven")
def step_judged_proven(context, judgement):
    evidence = context.dispatch.rollouts.statistics
    is_bad = evidence.is_bad("engines", "v2", ComparisonStage.SHIFT)
    assert is_bad == (judgement == "bad"), evidence.local


@given(
    "{old:d} good answers of the old version,"
    " and {ended:d} of the new one of which {slow:d} are slow"
)
def step_late_answers(context, old, ended, slow):
    context.evidence = AnswerStatistics()
    context.evidence.local[("engines", "v1", "a")] = Tally(old)
    context.evidence.local[("engines", "v2", "a")] = Tally(ended, 0, slow)
