import math

from behave import given, then, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_request,
    make_work,
)
from poplarrun.dispatch import AnswerFailed, ConfigView, ConnectionBroke, SendDecision, TookTooLong
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import (
    FULL_LOAD,
    AnswerStatistics,
    AnswerTimes,
    ComparisonStage,
    Rollouts,
    RolloutVerdict,
    Tally,
)
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus


def set_tally(context, version, route, ended, bad):
    if not hasattr(context, "statistics"):
        context.statistics = AnswerStatistics()
    context.statistics.local[("engines", version, route)] = Tally(ended, bad)


def count_trial_sessions(context, count):
    requests = [make_work(session=f"new-{number}") for number in range(count)]
    return sum(
        context.rollouts.choose_version(work, 101.0).allowed is not None for work in requests
    )


def send_to(context, name, number, sent_at, first_at=None):
    """Send a request to an endpoint; return it and its attempt."""
    dispatcher = context.dispatcher
    work = dispatcher.admit(make_request(number=number), sent_at)
    estimate = EndpointEstimate(dispatcher.placement.find(name), 0.0, 0.1, 0)
    attempt = dispatcher.record_sent(work, SendDecision(estimate, "small", 3), sent_at)
    if first_at is not None:
        dispatcher.record_first_event(work, attempt, first_at)
        dispatcher.record_completed(work, attempt, first_at)
    return work, attempt


def begin_shift(context):
    """Order a roll-out and begin its shift; return the dispatcher."""
    dispatcher = context.dispatcher
    dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    dispatcher.rollouts.find("engines").record_shift(111.5)
    return dispatcher


def time_out_answers(dispatcher, pending, until):
    """Let the pending answers whose timeout has passed fail, the oldest first."""
    while pending and pending[0][0] <= until:
        at, work, attempt, failure = pending.pop(0)
        dispatcher.handle_failure(work, attempt.estimate.endpoint, attempt, failure, at)


@given('{good:d} good answers of the new version on "{one}" and {bad:d} bad of {all:d} on "{two}"')
def step_new_answers(context, good, one, bad, all, two):
    set_tally(context, "v2", one, good, 0)
    set_tally(context, "v2", two, all, bad)


@given('{good:d} good answers of the old version on "{one}" and {more:d} on "{two}"')
def step_old_answers(context, good, one, more, two):
    set_tally(context, "v1", one, good, 0)
    set_tally(context, "v1", two, more, 0)


@given("{bad:d} bad of {ended:d} new answers and {old_bad:d} bad of {old:d} old ones")
def step_like_old(context, bad, ended, old_bad, old):
    set_tally(context, "v2", "a", ended, bad)
    set_tally(context, "v1", "a", old, old_bad)


@given("usual answers of {usual:f} s, and {slow:d} of {ended:d} new ones of {long:f} s")
def step_slow(context, usual, slow, ended, long):
    context.statistics = AnswerStatistics()
    for _ in range(50):
        context.statistics.record_answer(("engines", "v1", "a"), False, AnswerTimes(usual), False)
    for number in range(ended):
        times = AnswerTimes(long if number < slow else usual)
        context.statistics.record_answer(("engines", "v2", "a"), False, times, True)


@given("a dispatcher whose endpoints usually begin after {usual:f} s")
def step_usual(context, usual):
    config_view = ConfigView(None)
    config_view.apply_catalogue(make_catalogue())
    config_view.confirm(100.0)
    context.dispatcher = make_dispatch(config_view)
    context.dispatcher.placement.update_endpoints(
        [make_endpoint_record("old"), make_endpoint_record("new", "v2")]
    )
    for number in range(40):
        send_to(context, "old", number, 100.0, 100.0 + usual)


@when("{slow:d} of {count:d} answers of the version on trial have not begun after {late:f} s")
def step_not_begun(context, slow, count, late):
    context.dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    context.late = []
    for number in range(count):
        first_at = None if number < slow else 102.1
        sent = send_to(context, "new", 100 + number, 102.0, first_at)
        if first_at is None:
            context.late.append(sent)
    context.dispatcher.evidence.record_open(102.0 + late)


@then("the new version is judged bad although none of its answers failed")
def step_judged_open(context):
    statistics = context.dispatcher.rollouts.statistics
    assert statistics.merge_version_tallies("engines", "v2").bad == 0
    assert statistics.is_bad("engines", "v2"), statistics.local


@when(
    "{good:d} answers of the version on trial end well and {broken:d} break off at the same moment"
)
def step_crash(context, good, broken):
    dispatcher = context.dispatcher
    dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    for number in range(good):
        send_to(context, "new", number, 102.0, 102.1)
    for work, attempt in [send_to(context, "new", 100 + n, 103.0) for n in range(broken)]:
        member = attempt.estimate.endpoint
        dispatcher.handle_failure(work, member, attempt, ConnectionBroke("reset"), 103.5)


@when(
    "every fifth of {good:d} good answers of the version on trial"
    " is followed by one that breaks off"
)
def step_break_often(context, good):
    dispatcher = context.dispatcher
    dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    for number in range(good):
        sent_at = 102.0 + number / 5.0
        send_to(context, "new", number, sent_at, sent_at + 0.1)
        if number % 5 == 4:
            work, attempt = send_to(context, "new", 100 + number, sent_at)
            dispatcher.record_first_event(work, attempt, sent_at + 0.1)
            member = attempt.estimate.endpoint
            dispatcher.handle_failure(
                work, member, attempt, ConnectionBroke("reset"), sent_at + 0.15
            )


@then("the version on trial is judged bad, with {bad:d} bad answers")
def step_breaks_judged(context, bad):
    statistics = context.dispatcher.rollouts.statistics
    assert statistics.is_bad("engines", "v2"), statistics.local
    assert statistics.merge_version_tallies("engines", "v2").bad == bad, statistics.local


@then("the version on trial is judged good, with {bad:d} bad answer")
def step_crash_judged(context, bad):
    statistics = context.dispatcher.rollouts.statistics
    assert not statistics.is_bad("engines", "v2"), statistics.local
    assert statistics.merge_version_tallies("engines", "v2").bad == bad, statistics.local


@given("usual answers of {pace:f} s an event")
def step_usual_pace(context, pace):
    context.statistics = AnswerStatistics()
    context.pace = pace
    for _ in range(50):
        context.statistics.record_answer(
            ("engines", "v1", "a"), False, AnswerTimes(0.1, pace), False
        )


@when("{slow:d} of {count:d} answers of the new version take {pace:f} s an event")
def step_slow_events(context, slow, count, pace):
    for number in range(count):
        times = AnswerTimes(0.1, pace if number < slow else context.pace)
        context.statistics.record_answer(("engines", "v2", "a"), False, times, True)


@when("{late:d} of {count:d} answers of the new version begin after {first:f} s, at the usual pace")
def step_cold(context, late, count, first):
    for number in range(count):
        times = AnswerTimes(first if number < late else 0.1, context.pace)
        context.statistics.record_answer(("engines", "v2", "a"), False, times, True)


@then("the new version is judged good while all traffic moves to it")
def step_judged_during_shift(context):
    assert not context.statistics.is_bad("engines", "v2", ComparisonStage.SHIFT)


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
    assert context.statistics.is_bad("engines", "v2") == (judgement == "bad")


@given("{count:d} answers {times:f} times as slow as usual, and old ones {old:f} times")
def step_paces(context, count, times, old):
    context.statistics = AnswerStatistics()
    for version, pace in (("v2", times), ("v1", old)):
        log_pace = count * math.log(pace)
        context.statistics.local[("engines", version, "a")] = Tally(count, 0, 0, count, log_pace)


@then('the new version is judged {judgement:w} in the stage "{stage:w}"')
def step_judged_in(context, judgement, stage):
    is_bad = context.statistics.is_bad("engines", "v2", ComparisonStage(stage))
    assert is_bad == (judgement == "bad"), context.statistics.local


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
def step_trial_size(context, count):
    assert 0.06 * count < count_trial_sessions(context, count) < 0.14 * count


@given("a roll-out whose version may reach {share:f} of the requests")
def step_exposure(context, share):
    context.rollouts = Rollouts(exposure_limit=share)
    context.rollouts.apply_order(RolloutOrder("engines", "v2", 20, 7), 100.0)


@then("at most {share:f} of {count:d} new sessions try the new version")
def step_exposure_kept(context, share, count):
    assert 0 < count_trial_sessions(context, count) <= share * count


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
    'one of "{new}" is ordered at {at:f}'
    ' and a peer reports at {reported:f} that "{old}" is {age:f} s old'
)
def step_second_order(context, new, at, reported, old, age):
    assert context.rollouts.apply_order(RolloutOrder("engines", new, 16.0, 9), at)
    assert not context.rollouts.apply_order(RolloutOrder("engines", old, 16.0, 7), reported, age)


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
        context.dispatcher.handle_failure(work, member, attempt, AnswerFailed(500), 106.0)


@then("the version on trial has {bad:d} bad and {slow:d} slow answers of {ended:d}")
def step_bad_and_slow(context, bad, slow, ended):
    tally = context.dispatcher.rollouts.statistics.merge_version_tallies("engines", "v2")
    assert (tally.bad, tally.slow, tally.answers) == (bad, slow, ended), tally


@given("two hosts that know a roll-out of {seconds:d} s ordered at {at:f}")
def step_two_hosts(context, seconds, at):
    context.hosts = [Rollouts(), Rollouts()]
    for rollouts in context.hosts:
        rollouts.apply_order(RolloutOrder("engines", "v2", seconds, 7), at)


@when(
    "one decides at {at:f} that sessions may change, and the other learns of it {later:f} s later"
)
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
    " and {silent:d} between them time out after {timeout:f} s"
)
def step_silent(context, good, silent, timeout):
    dispatcher = begin_shift(context)
    pending = []
    for number in range(good):
        sent_at = 113.0 + number / 20.0
        time_out_answers(dispatcher, pending, sent_at)
        send_to(context, "new", 100 + number, sent_at, sent_at + 0.1)
        if number * silent // good != (number + 1) * silent // good:
            work, attempt = send_to(context, "new", 200 + number, sent_at)
            pending.append((sent_at + timeout, work, attempt, TookTooLong(timeout)))
    time_out_answers(dispatcher, pending, math.inf)


@when(
    "{good:d} answers of the loaded version come in time,"
    " and then {silent:d} time out after {timeout:f} s"
)
def step_endpoint_stops(context, good, silent, timeout):
    dispatcher = begin_shift(context)
    for number in range(good):
        sent_at = 113.0 + number / 20.0
        send_to(context, "new", 100 + number, sent_at, sent_at + 0.1)
    dark_at = 113.0 + good / 20.0
    pending = []
    for number in range(silent):
        sent_at = dark_at - 0.1 + number / 20.0
        work, attempt = send_to(context, "new", 200 + number, sent_at)
        pending.append((sent_at + timeout, work, attempt, TookTooLong(timeout)))
    time_out_answers(dispatcher, pending, math.inf)


@then("the new version is judged {judgement:w} during the shift")
def step_judged_shift(context, judgement):
    statistics = context.dispatcher.rollouts.statistics
    is_bad = statistics.is_bad("engines", "v2", ComparisonStage.SHIFT)
    assert is_bad == (judgement == "bad"), statistics.local


@given(
    "{old:d} good answers of the old version,"
    " and {ended:d} of the new one of which {slow:d} are slow"
)
def step_late_answers(context, old, ended, slow):
    context.statistics = AnswerStatistics()
    context.statistics.local[("engines", "v1", "a")] = Tally(old)
    context.statistics.local[("engines", "v2", "a")] = Tally(ended, 0, slow)


@given(
    "{old:d} good answers of the old version, and {count:d} of the new one to each of"
    " {kinds:d} kinds of work, {slow:d} slow"
)
def step_slow_kinds(context, old, count, kinds, slow):
    context.statistics = AnswerStatistics()
    for kind in range(kinds):
        context.statistics.local[("engines", "v1", f"kind-{kind}")] = Tally(old // kinds)
        context.statistics.local[("engines", "v2", f"kind-{kind}")] = Tally(count, 0, slow)


@when("a version has answered {answers:d} callers, {slow:d} of them slowly, and borne its load")
def step_answered_callers(context, answers, slow):
    context.statistics = AnswerStatistics()
    context.statistics.local["engines", "v2", "draft/small"] = Tally(answers=answers, slow=slow)
    # Answers of loaded endpoints say nothing of the speed.
    context.statistics.local["engines", "v2", FULL_LOAD] = Tally(answers=58)


@then("it is {verdict} to be fast")
@then("it is {verdict} to be good")
def step_shown_good(context, verdict):
    assert context.statistics.is_shown_good("engines", "v2") is (verdict == "shown")


@when(
    "a version has answered {answers:d} callers, of which {bad:d} failed and {slow:d} were slow,"
    " and {copies:d} copies, of which {lost:d} failed"
)
def step_answered_copies(context, answers, bad, slow, copies, lost):
    context.statistics = AnswerStatistics()
    context.statistics.local["engines", "v2", "draft/small"] = Tally(answers, bad, slow)
    context.statistics.local["engines", "v2", FULL_LOAD] = Tally(copies, lost)


@given("a roll-out whose version got all sessions after {good:d} good answers")
def step_all_sessions(context, good):
    context.rollouts = Rollouts(find_slots=lambda service, version: 8)
    context.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 100.0)
    rollout = context.rollouts.find("engines")
    tallies = context.rollouts.statistics.local
    tallies["engines", "v2", "draft/small"] = Tally(good)
    tallies["engines", "v2", FULL_LOAD] = Tally(4)
    rollout.record_shift(109.0)
    context.rollouts.compute_verdict(rollout, 111.0)
    assert rollout.has_all_sessions(116.5)


@when("{bad:d} of its next {ended:d} answers fail, and {old_bad:d} of the old version's {old:d}")
def step_later_failures(context, bad, ended, old_bad, old):
    tallies = context.rollouts.statistics.local
    tallies["engines", "v2", "draft/small"].add(Tally(ended, bad))
    tallies["engines", "v1", "draft/small"] = Tally(old, old_bad)


@then("it is not completed, and is rolled back at the end of its time")
def step_rolled_back_late(context):
    rollout = context.rollouts.find("engines")
    for at in (117.0, 118.0, 119.0, 119.9):
        assert context.rollouts.compute_verdict(rollout, at) is RolloutVerdict.ACTIVE
    assert context.rollouts.compute_verdict(rollout, 120.0) is RolloutVerdict.ROLLED_BACK
