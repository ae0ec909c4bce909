import asyncio
import json
from unittest import mock

from behave import given, then, when

from poplarrun.gateway import _rollout_controller as controller_module
from poplarrun.gateway._rollout_controller import RolloutController
from poplarrun.platform import Appended, Entry, LatestRecords, Moved, NoAnswer, encode_status
from poplarrun.rollouts import Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus

KEY = "rollout/engines"


class MemoryStore:
    """Store double with the records of one topic and faults for the next append."""

    def __init__(self):
        self.records = []
        self.loses_next_answer = False
        self.record_before_append = None

    async def read_latest(self, topic):
        entries = [Entry(KEY, value, offset) for offset, value in enumerate(self.records)][-1:]
        return LatestRecords(tuple(entries), len(self.records), 0.0)

    async def append(self, topic, entries, expected_end=None):
        if self.record_before_append is not None:
            self.records.append(self.record_before_append)
            self.record_before_append = None
        if expected_end != len(self.records):
            return Moved(len(self.records))
        self.records += [value for _, value in entries]
        if self.loses_next_answer:
            self.loses_next_answer = False
            return NoAnswer("timeout")
        return Appended(expected_end, len(self.records))


def encode(phase):
    return encode_status(RolloutStatus("engines", "v2", RolloutPhase(phase)))


def make_controller(context, rank):
    context.now = 100.0
    context.store = MemoryStore()
    context.rollouts = Rollouts()
    context.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 99.0)
    context.rollouts.statistics.local[("engines", "v2", "a")] = Tally(8, 8)
    context.controller = RolloutController(
        context.store, context.rollouts, lambda _: rank, lambda _: None
    )
    clock = mock.patch.object(controller_module, "seconds_since_boot", lambda: context.now)
    clock.start()
    context.add_cleanup(clock.stop)


@given("a rollout controller and a roll-out of a bad version")
def step_controller(context):
    make_controller(context, 0)


@given("a rollout controller of second rank and a roll-out of a bad version")
def step_second_rank(context):
    make_controller(context, 1)


@when("it runs {count:d} rounds")
def step_rounds(context, count):
    async def run_rounds():
        for _ in range(count):
            for rollout in context.rollouts.active():
                await context.controller._evaluate(rollout)
            context.now += 0.25

    asyncio.run(run_rounds())


@when("the answer to its next append is lost and it runs {count:d} rounds")
def step_lost(context, count):
    context.store.loses_next_answer = True
    step_rounds(context, count)


@when('another host records "{phase}" just before its next append and it runs {count:d} rounds')
def step_race(context, phase, count):
    context.store.record_before_append = encode(phase)
    step_rounds(context, count)


@when('another host records "{phase}" while it is suspended and it runs {count:d} rounds')
def step_suspended(context, phase, count):
    context.store.records.append(encode(phase))
    context.now += 5.0
    step_rounds(context, count)


@when("its takeover delay of {seconds:f} s has passed and it runs {count:d} rounds")
def step_takeover(context, seconds, count):
    context.now += seconds
    step_rounds(context, count)


@then('the only recorded phase is "{phase}"')
def step_phases(context, phase):
    found = [json.loads(value)["phase"] for value in context.store.records]
    assert found == [phase], found


@then("no phase is recorded")
def step_no_phase(context):
    assert context.store.records == [], context.store.records


@then('the controller has adopted "{phase}"')
def step_adopted(context, phase):
    assert context.rollouts.find("engines").recorded_phase is RolloutPhase(phase)


@when("it looks {count:d} times for versions that fail after their completion")
def step_report(context, count):
    with mock.patch.object(controller_module, "write_event") as write:
        for _ in range(count):
            context.controller._report_bad_completions()
    context.reported = [call.args[0] for call in write.call_args_list]


@then('one event tells that "{version}" gave {bad:d} bad answers of {seen:d}')
def step_reported(context, version, bad, seen):
    (event,) = context.reported
    assert (event.target, event.bad, event.seen) == (version, bad, seen), event
