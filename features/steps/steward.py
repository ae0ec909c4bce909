import asyncio
import json
from unittest import mock

from behave import given, then, when

from poplarrun.gateway import _rollout_controller as steward_module
from poplarrun.gateway._rollout_controller import RolloutController
from poplarrun.platform import Appended, Entry, LatestRecords, Moved, NoAnswer, encode_status
from poplarrun.rollouts import Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus

KEY = "rollout/engines"


class MemoryStore:
    """Records of one topic; what a test asks for happens at the next append."""

    def __init__(self):
        self.records = []
        self.is_answer_lost = False
        self.comes_before = None

    async def read_latest(self, topic):
        entries = [Entry(KEY, value, at) for at, value in enumerate(self.records)][-1:]
        return LatestRecords(tuple(entries), len(self.records), 0.0)

    async def append(self, topic, entries, at=None):
        if self.comes_before is not None:
            self.records.append(self.comes_before)
            self.comes_before = None
        if at != len(self.records):
            return Moved(len(self.records))
        self.records += [value for _, value in entries]
        if self.is_answer_lost:
            self.is_answer_lost = False
            return NoAnswer("timeout")
        return Appended(at, len(self.records))


def encode(phase):
    return encode_status(RolloutStatus("engines", "v2", RolloutPhase(phase)))


def make_steward(context, turn):
    context.now = 100.0
    context.store = MemoryStore()
    context.rollouts = Rollouts()
    context.rollouts.apply_order(RolloutOrder("engines", "v2", 20.0, 7), 99.0)
    context.rollouts.statistics.local[("engines", "v2", "a")] = Tally(8, 8)
    context.steward = RolloutController(
        context.store, context.rollouts, lambda _: turn, lambda _: None
    )
    clock = mock.patch.object(steward_module, "seconds_since_boot", lambda: context.now)
    clock.start()
    context.add_cleanup(clock.stop)


@given("a store and a steward of a bad roll-out")
def step_steward(context):
    make_steward(context, 0)


@given("a store and a steward of a bad roll-out that is second in line")
def step_second(context):
    make_steward(context, 1)


@when("it looks {count:d} times")
def step_look(context, count):
    async def look():
        for _ in range(count):
            for rollout in context.rollouts.active():
                await context.steward._look_after(rollout)
            context.now += 0.25

    asyncio.run(look())


@when("the answer to its next append is lost and it looks {count:d} times")
def step_lost(context, count):
    context.store.is_answer_lost = True
    step_look(context, count)


@when('another host records "{phase}" just before its next append and it looks {count:d} times')
def step_race(context, phase, count):
    context.store.comes_before = encode(phase)
    step_look(context, count)


@when('another host records "{phase}" while it is suspended and it looks {count:d} times')
def step_suspended(context, phase, count):
    context.store.records.append(encode(phase))
    context.now += 5.0
    step_look(context, count)


@when("its turn of {seconds:f} s has passed and it looks {count:d} times")
def step_turn(context, seconds, count):
    context.now += seconds
    step_look(context, count)


@then('the store holds the phases "{phase}" only')
def step_phases(context, phase):
    found = [json.loads(value)["phase"] for value in context.store.records]
    assert found == [phase], found


@then("the store holds no phase")
def step_no_phase(context):
    assert context.store.records == [], context.store.records


@then('the steward has taken "{phase}" over')
def step_taken(context, phase):
    assert context.rollouts.find("engines").recorded_phase is RolloutPhase(phase)
