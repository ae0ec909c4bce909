from behave import given, then, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_request,
)
from poplarrun.dispatch import (
    AnswerFailed,
    ConfigView,
    ConnectionBroke,
    Garbled,
    NoConnection,
    SaidNotRun,
    SendDecision,
    TookTooLong,
    Withheld,
)
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import AnswerTimes
from poplarrun.routing import RolloutOrder

FIRST_EVENT_S = 0.1
EVENT_INTERVAL_S = 0.02
EVALUATION_INTERVAL_S = 0.25


class Answer:
    """One request to the version on trial, whose answer a step plays event by event."""

    def __init__(self, dispatcher, endpoint, number, sent_at):
        self.dispatcher = dispatcher
        self.now = sent_at
        self.work = dispatcher.admit(make_request(number=number), sent_at)
        estimate = EndpointEstimate(dispatcher.placement.find(endpoint), 0.0, FIRST_EVENT_S, 0)
        decision = SendDecision(estimate, "small", 3)
        self.attempt = dispatcher.record_sent(self.work, decision, sent_at)

    @property
    def endpoint(self):
        return self.attempt.estimate.endpoint

    def wait(self, seconds):
        """Let time pass, with the evaluations of open answers in it."""
        until = self.now + seconds
        while until - self.now > EVALUATION_INTERVAL_S:
            self.now += EVALUATION_INTERVAL_S
            self.dispatcher.evidence.record_open(self.now)
        self.now = until

    def receive(self, count, interval_s=EVENT_INTERVAL_S):
        """Receive events, the first one after the usual time if none came so far."""
        for _ in range(count):
            if self.attempt.first_event_at is None:
                self.wait(FIRST_EVENT_S)
                self.dispatcher.record_first_event(self.work, self.attempt, self.now)
            else:
                self.wait(interval_s)
            self.attempt.record_events(1, self.now)
            self.dispatcher.evidence.record_open(self.now)

    def complete(self):
        self.dispatcher.record_completed(self.work, self.attempt, self.now)

    def fail(self, failure, seconds=0.05):
        self.wait(seconds)
        return self.dispatcher.handle_failure(
            self.work, self.endpoint, self.attempt, failure, self.now
        )

    def leave(self, seconds):
        self.wait(seconds)
        self.dispatcher.record_cancelled(self.attempt, self.now)


def answer_late(answer):
    answer.wait(3.0)
    answer.receive(10)
    answer.complete()


def answer_slowly(answer, usual_events):
    answer.receive(usual_events)
    answer.receive(20, 8.0 * EVENT_INTERVAL_S)
    answer.complete()


def answer_with_pause(answer):
    answer.receive(50)
    answer.receive(1, 1.5 * answer.work.route.latency.event_gap_s)
    answer.receive(49)
    answer.complete()


def stay_silent(answer, seconds, last_answer_s):
    """Time out; other requests were last answered some time before that."""
    answer.wait(seconds)
    answer.endpoint.last_response_at = answer.now - last_answer_s
    answer.fail(TookTooLong(seconds), 0.0)


def stay_silent_after(answer, count):
    answer.receive(count)
    stay_silent(answer, 2.5, 0.1)


def leave_after(answer, count, seconds):
    answer.receive(count)
    answer.leave(seconds)


def break_off_after(answer, count):
    answer.receive(count)
    answer.fail(ConnectionBroke("reset"))


def fail_for_good(answer):
    answer.work.possible_runs = answer.work.route.max_attempts - 1
    assert answer.fail(AnswerFailed(500)) is not None


def reject_and_hold_off(answer):
    answer.dispatcher.record_hold_off(answer.attempt, 3.0, answer.now)
    answer.fail(SaidNotRun(503))


def miss_connection(answer):
    answer.dispatcher.record_cancelled(answer.attempt, answer.now)
    answer.dispatcher.handle_failure(
        answer.work, answer.endpoint, None, NoConnection("refused"), answer.now
    )


def replace_by_larger_model(answer):
    answer.dispatcher.record_cancelled(answer.attempt, answer.now)
    answer.dispatcher.evidence.record_answer(answer.work, answer.attempt, False, AnswerTimes(0.1))


KINDS = {
    "an error answer": lambda answer: answer.fail(AnswerFailed(500)),
    "an error answer after 3 s": lambda answer: answer.fail(AnswerFailed(500), 3.0),
    "an error answer after which no retry is left": fail_for_good,
    "silence until the timeout while others are answered": lambda answer: stay_silent(
        answer, 2.5, 0.1
    ),
    "silence until the deadline while others are answered": lambda answer: stay_silent(
        answer, 10.0, 0.5
    ),
    "silence until the timeout while others wait too": lambda answer: stay_silent(answer, 2.5, 2.0),
    "silence after eight events while others are answered": lambda answer: stay_silent_after(
        answer, 8
    ),
    "an answer broken off before its first event": lambda answer: answer.fail(
        ConnectionBroke("reset")
    ),
    "an answer broken off after eight events": lambda answer: break_off_after(answer, 8),
    "bytes that don't answer the request": lambda answer: answer.fail(Garbled("no signature")),
    "a first event that comes late": answer_late,
    "events that come slowly": lambda answer: answer_slowly(answer, 1),
    "events that come slowly from the seventh on": lambda answer: answer_slowly(answer, 6),
    "one pause beyond the route's target": answer_with_pause,
    "an answer without an event": Answer.complete,
    "an answer that a larger model replaces": replace_by_larger_model,
    "a caller that leaves after 8 s without an event": lambda answer: answer.leave(8.0),
    "a caller that leaves after 0.4 s without an event": lambda answer: answer.leave(0.4),
    "a caller that leaves after eight events and 8 s": lambda answer: leave_after(answer, 8, 8.0),
    "a rejection": lambda answer: answer.fail(SaidNotRun(503)),
    "a rejection with a demand to stay away": reject_and_hold_off,
    "a rejection by another lifetime": lambda answer: answer.fail(SaidNotRun(421, True)),
    "a send that a peer withholds": lambda answer: answer.fail(Withheld()),
    "a connection that isn't opened": miss_connection,
}


def answer_well(dispatcher, endpoint, number, sent_at):
    answer = Answer(dispatcher, endpoint, number, sent_at)
    answer.receive(10)
    answer.complete()


def count_trial(context):
    statistics = context.dispatcher.rollouts.statistics
    return statistics.merge_version_tallies("engines", "v2")


@given("a version on trial with {count:d} good answers")
def step_trial(context, count):
    config_view = ConfigView(None)
    config_view.apply_catalogue(make_catalogue())
    config_view.confirm(100.0)
    context.dispatcher = make_dispatch(config_view, retry_ratio=4.0)
    context.dispatcher.placement.update_endpoints(
        [make_endpoint_record("old"), make_endpoint_record("new", "v2")]
    )
    for number in range(5 * count):
        answer_well(context.dispatcher, "old", number, 100.0)
    context.dispatcher.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    for number in range(count):
        answer_well(context.dispatcher, "new", 1000 + number, 102.0)
    context.answers = count_trial(context).answers


@when('{count:d} requests to one of its endpoints end like "{kind}"')
def step_end_like(context, count, kind):
    for number in range(count):
        KINDS[kind](Answer(context.dispatcher, "new", 2000 + number, 103.0))


@then("{counted:d} more answers are counted, {bad:d} of them bad and {slow:d} slow")
def step_counted(context, counted, bad, slow):
    tally = count_trial(context)
    seen = (tally.answers - context.answers, tally.bad, tally.slow)
    assert seen == (counted, bad, slow), seen
