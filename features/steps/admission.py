import math
import random

from behave import given, then, when

from features.steps.endpoints import VERSION, engine, names_of, report
from poplarrun.admission import AimdLimit, FairQueue, Queued, Refused, ServiceLimit, Ticket
from poplarrun.endpoints import EndpointTable, PromptProfile
from poplarrun.retries import FailedAttempt, GiveUp, RetryAfter, RetryBudget, decide_retry
from poplarrun.router import Dispatched, EngineDispatcher, EngineRequest

QUEUE_BOUND = 4


@given('a dispatch over engines "{names}" of {capacity:d} places')
def step_dispatch(context, names, capacity):
    context.endpoint_table = EndpointTable("a", random.Random(1))
    context.endpoint_table.apply_host_list(tuple(engine(name, "a") for name in names_of(names)))
    for name in names_of(names):
        report(context.endpoint_table, name, 0, -1.0, capacity)
    context.dispatch = EngineDispatcher(context.endpoint_table, QUEUE_BOUND, random.Random(1))
    context.jobs = {}
    context.running = []
    context.released = {}


@given('engine "{name}" belongs to this host and finishes a request in {whole:f} s')
def step_own_engine(context, name, whole):
    context.endpoint_table.set_owned_endpoints(frozenset({name}))
    context.endpoint_table.pool(VERSION).speed.mean_request_s = whole


@when('engine "{name}" reports {count:d} requests, {times:d} times until {at:f}')
def step_reports(context, name, count, times, at):
    for number in range(times):
        report(context.endpoint_table, name, count, at * (number + 1) / times, 40)


def start(context, importance, at, within=30.0, name=None):
    name = name or f"chat-{len(context.jobs)}"
    job = EngineRequest(
        name,
        "acme",
        "work",
        importance,
        VERSION,
        PromptProfile(16),
        start_by=at + within,
        deadline=at + 60,
    )
    context.jobs[name] = job
    context.job = job
    context.started = context.dispatch.start(job, at)
    if isinstance(context.started, Dispatched):
        context.running.append(job)


def release(context, at):
    for job, outcome in context.dispatch.release_queued(at):
        context.released[job.request_id] = outcome


@when("{count:d} chats of importance {importance:d} start at {at:f}")
def step_start_some(context, count, importance, at):
    for _ in range(count):
        start(context, importance, at)


@when("a chat of importance {importance:d} starts at {at:f}")
def step_start(context, importance, at):
    start(context, importance, at)


@when('a chat "{name}" of importance {importance:d} starts at {at:f}')
def step_start_named(context, name, importance, at):
    start(context, importance, at, name=name)


@when("a chat of importance {importance:d} that must start within {within:f} s starts at {at:f}")
def step_start_urgent(context, importance, within, at):
    start(context, importance, at, within)


@when(
    'a chat "{name}" of importance {importance:d} that must start within {within:f} s '
    "starts at {at:f}"
)
def step_start_urgent_named(context, name, importance, within, at):
    start(context, importance, at, within, name)


@when("a request of the engines ends at {at:f}")
def step_ends(context, at):
    context.dispatch.end(context.running.pop(0), True, at)
    release(context, at)


@when('its attempt breaks at {at:f} with "{reason}", {how}')
def step_breaks(context, at, reason, how):
    context.first = context.job.choice.endpoint.name
    decision = context.dispatch.handle_failed_attempt(context.job, reason, how == "started", at)
    context.decision = decision
    if isinstance(decision, RetryAfter):
        context.dispatch.retry_elsewhere(context.job, at, decision.delay_s)


@then("its second attempt is at the other engine")
def step_other_engine(context):
    assert context.job.attempts == 2
    assert context.job.choice.endpoint.name != context.first


@then('the dispatch gives up with "{kind}"')
def step_gives_up(context, kind):
    assert context.decision.kind.value == kind, context.decision


@then('it is refused with "{kind}" and a time to come back')
def step_refused(context, kind):
    assert isinstance(context.started, Refused), context.started
    assert context.started.kind.value == kind
    assert context.started.retry_after_s > 0.0


@then("the engines hold {count:d} requests")
def step_engines_hold(context, count):
    assert sum(endpoint.in_flight for endpoint in context.endpoint_table.list_endpoints()) == count


@then("{count:d} chats wait at {at:f}")
def step_wait(context, count, at):
    waited = len(context.jobs) - len(context.running)
    release(context, at)
    assert waited - len(context.released) == count, context.released


@then('engine "{name}" holds {count:d} requests')
def step_engine_holds(context, name, count):
    assert context.endpoint_table.find(name).in_flight == count


@then('"{first}" starts and "{second}" waits')
def step_goes_first(context, first, second):
    assert isinstance(context.released[first], Dispatched)
    assert second not in context.released


@then('{count:d} waiting chat of importance {importance:d} is refused with "{kind}" at {at:f}')
def step_made_room(context, count, importance, kind, at):
    release(context, at)
    refused = [
        context.jobs[name].importance
        for name, outcome in context.released.items()
        if isinstance(outcome, Refused) and outcome.kind.value == kind
    ]
    assert refused == [importance] * count, context.released


@then('"{name}" is refused with "{kind}" by {at:f}')
def step_refused_by(context, name, kind, at):
    assert isinstance(context.started, Queued)
    release(context, at)
    assert context.released[name].kind.value == kind


@given("a fair queue")
def step_fair_queue(context):
    context.queue = FairQueue(100)


def push(context, account, count):
    for number in range(count):
        context.queue.push(Ticket(f"{account}-{number}", account, 5, 1.0, 100.0))


@when('account "{one}" queues {many:d} requests and account "{other}" queues {few:d}')
def step_queue_two(context, one, many, other, few):
    push(context, one, many)
    push(context, other, few)


@when('account "{one}" queues {many:d} requests and {served:d} are served')
def step_queue_served(context, one, many, served):
    push(context, one, many)
    for _ in range(served):
        context.queue.pop()


@when('account "{one}" queues {many:d} requests')
def step_queue_one(context, one, many):
    push(context, one, many)


@then('the queue serves "{order}"')
def step_serves(context, order):
    found = [context.queue.pop().account for _ in range(len(context.queue))]
    assert found == names_of(order), found


@given("an adaptive limit of {limit:d}")
def step_adaptive(context, limit):
    context.limit = AimdLimit(limit=float(limit))
    context.now = 0.0


def note_waits(context, count, wait, interval, running):
    for _ in range(count):
        context.now += interval
        context.limit.record_wait(wait, running or math.ceil(context.limit.limit), context.now)


@when(
    "{count:d} requests each waited {wait:f} s, at intervals of {interval:f} s, "
    "while all places were used"
)
def step_waits(context, count, wait, interval):
    note_waits(context, count, wait, interval, None)


@when(
    "{count:d} requests each waited {wait:f} s, at intervals of {interval:f} s, "
    "while {running:d} were running"
)
def step_waits_running(context, count, wait, interval, running):
    note_waits(context, count, wait, interval, running)


@then("the adaptive limit lies below {bound:d}")
def step_below(context, bound):
    assert context.limit.limit < bound, context.limit


@then("the adaptive limit lies above {bound:d}")
def step_above(context, bound):
    assert context.limit.limit > bound, context.limit


@given("a retry budget that is full")
def step_budget(context):
    context.budget = RetryBudget()
    context.source = random.Random(1)


def decide(context, attempts, started=False, repeatable=True, left=5.0):
    failed = FailedAttempt(attempts, started, repeatable, left)
    return decide_retry(failed, context.budget, context.source)


@when("{count:d} first attempts fail, and each asks for retries")
def step_outage(context, count):
    context.sent = 0
    context.kinds = set()
    for _ in range(count):
        context.budget.record_attempt()
        attempts = 1
        context.sent += 1
        while isinstance(decision := decide(context, attempts), RetryAfter):
            attempts += 1
            context.sent += 1
        context.kinds.add(decision.kind.value)


@then("at most {ratio:f} times {count:d} calls and {more:d} more were sent")
def step_sent_bound(context, ratio, count, more):
    assert context.sent <= ratio * count + more, context.sent


@then('the refusals name "{kind}"')
def step_kinds(context, kind):
    assert kind in context.kinds


@when(
    'attempt {attempts:d} fails, started "{started}", repeatable "{repeatable}", '
    "with {left:f} s left"
)
def step_attempt_fails(context, attempts, started, repeatable, left):
    context.decision = decide(context, attempts, started == "yes", repeatable == "yes", left)


@then('the retry decision is "{expected}"')
def step_decision(context, expected):
    match context.decision:
        case RetryAfter():
            assert expected == "retry"
        case GiveUp(kind=kind):
            assert kind.value == expected, kind


@then("the pauses after attempt {attempts:d} lie between {low:f} and {high:f} s and differ")
def step_pauses(context, attempts, low, high):
    pauses = [decide(context, attempts).delay_s for _ in range(5)]
    assert all(low <= pause <= high for pause in pauses), pauses
    assert len(set(pauses)) == len(pauses)


def call_service(context, times):
    limit = context.service_limit
    for took_s in times:
        while limit.has_room():
            limit.record_sent()
        context.now += took_s
        limit.record_end(took_s, context.now)


@given("a service limit that saw {count:d} calls of {took:f} s")
def step_service_limit(context, count, took):
    context.service_limit = ServiceLimit()
    context.now = 0.0
    for _ in range(count):
        context.service_limit.record_sent()
        context.now += took
        context.service_limit.record_end(took, context.now)


@when("{count:d} calls of the service take {took:f} s each, while all places are used")
def step_service_slow(context, count, took):
    call_service(context, [took] * count)


@when(
    "{count:d} calls of the service take {one:f} s and {other:f} s in turn, "
    "while all places are used"
)
def step_service_varies(context, count, one, other):
    call_service(context, [one, other] * (count // 2))


@then("the service limit lies below {bound:d}")
def step_service_below(context, bound):
    assert context.service_limit.aimd.limit < bound, context.service_limit


@then("the service limit lies above {bound:d}")
def step_service_above(context, bound):
    assert context.service_limit.aimd.limit > bound, context.service_limit
