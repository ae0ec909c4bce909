import math
import random

from behave import given, then, when

from features.steps.endpoints import VERSION, engine, names_of, report
from poplarrun.admission import AimdLimit, FairQueue, Queued, Refused, ServiceLimit, Ticket
from poplarrun.endpoints import EndpointTable, PromptProfile
from poplarrun.retries import FailedAttempt, GiveUp, RetryAfter, RetryBudget, decide_retry
from poplarrun.router import Dispatched, EngineDispatcher, EngineRequest

MAX_QUEUED = 4


@given('a dispatcher over engines "{names}" of {capacity:d} slots')
def step_engine_dispatcher(context, names, capacity):
    context.endpoint_table = EndpointTable("a", random.Random(1))
    context.endpoint_table.apply_host_list(tuple(engine(name, "a") for name in names_of(names)))
    for name in names_of(names):
        report(context.endpoint_table, name, 0, -1.0, capacity)
    context.dispatch = EngineDispatcher(context.endpoint_table, MAX_QUEUED, random.Random(1))
    context.jobs = {}
    context.running = []
    context.released = {}


@given('engine "{name}" belongs to this host and finishes a request in {mean_request_s:f} s')
def step_own_engine(context, name, mean_request_s):
    context.endpoint_table.set_owned_endpoints(frozenset({name}))
    context.endpoint_table.pool(VERSION).speed.mean_request_s = mean_request_s


@when('engine "{name}" reports {count:d} requests, {times:d} times until {at:f}')
def step_load_reports(context, name, count, times, at):
    for number in range(times):
        report(context.endpoint_table, name, count, at * (number + 1) / times, 40)


def start_request(context, importance, at, start_within_s=30.0, name=None):
    name = name or f"chat-{len(context.jobs)}"
    job = EngineRequest(
        name,
        "acme",
        "work",
        importance,
        VERSION,
        PromptProfile(16),
        start_by=at + start_within_s,
        deadline=at + 60,
    )
    context.jobs[name] = job
    context.job = job
    context.started = context.dispatch.start(job, at)
    if isinstance(context.started, Dispatched):
        context.running.append(job)


def release_queued(context, at):
    for job, outcome in context.dispatch.release_queued(at):
        context.released[job.request_id] = outcome


@when("{count:d} chats of importance {importance:d} start at {at:f}")
def step_start_many(context, count, importance, at):
    for _ in range(count):
        start_request(context, importance, at)


@when("a chat of importance {importance:d} starts at {at:f}")
def step_start(context, importance, at):
    start_request(context, importance, at)


@when('a chat "{name}" of importance {importance:d} starts at {at:f}')
def step_start_named(context, name, importance, at):
    start_request(context, importance, at, name=name)


@when(
    "a chat of importance {importance:d} that must start within {start_within_s:f} s "
    "starts at {at:f}"
)
def step_start_urgent(context, importance, start_within_s, at):
    start_request(context, importance, at, start_within_s)


@when(
    'a chat "{name}" of importance {importance:d} that must start within {start_within_s:f} s '
    "starts at {at:f}"
)
def step_start_urgent_named(context, name, importance, start_within_s, at):
    start_request(context, importance, at, start_within_s, name)


@when("a request of the engines ends at {at:f}")
def step_request_ends(context, at):
    context.dispatch.end(context.running.pop(0), True, at)
    release_queued(context, at)


@when('its attempt breaks at {at:f} with "{reason}", {how}')
def step_attempt_breaks(context, at, reason, how):
    context.first = context.job.choice.endpoint.name
    decision = context.dispatch.handle_failed_attempt(context.job, reason, how == "started", at)
    context.decision = decision
    if isinstance(decision, RetryAfter):
        context.dispatch.retry_elsewhere(context.job, at, decision.delay_s)


@then("its second attempt is at the other engine")
def step_second_attempt(context):
    assert context.job.attempts == 2
    assert context.job.choice.endpoint.name != context.first


@then('the dispatcher gives up with "{kind}"')
def step_retry_refused(context, kind):
    assert context.decision.kind.value == kind, context.decision


@then('it is refused with "{kind}" and a time to retry')
def step_refused(context, kind):
    assert isinstance(context.started, Refused), context.started
    assert context.started.kind.value == kind
    assert context.started.retry_after_s > 0.0


@then("the engines run {count:d} requests")
def step_engines_run(context, count):
    assert sum(endpoint.in_flight for endpoint in context.endpoint_table.list_endpoints()) == count


@then("{count:d} chats are queued at {at:f}")
def step_queued(context, count, at):
    queued_count = len(context.jobs) - len(context.running)
    release_queued(context, at)
    assert queued_count - len(context.released) == count, context.released


@then('engine "{name}" runs {count:d} requests')
def step_engine_runs(context, name, count):
    assert context.endpoint_table.find(name).in_flight == count


@then('"{first}" starts and "{second}" waits')
def step_starts_first(context, first, second):
    assert isinstance(context.released[first], Dispatched)
    assert second not in context.released


@then('{count:d} queued chat of importance {importance:d} is refused with "{kind}" at {at:f}')
def step_evicted(context, count, importance, kind, at):
    release_queued(context, at)
    refused = [
        context.jobs[name].importance
        for name, outcome in context.released.items()
        if isinstance(outcome, Refused) and outcome.kind.value == kind
    ]
    assert refused == [importance] * count, context.released


@then('"{name}" is refused with "{kind}" by {at:f}')
def step_refused_by(context, name, kind, at):
    assert isinstance(context.started, Queued)
    release_queued(context, at)
    assert context.released[name].kind.value == kind


@given("a fair queue")
def step_fair_queue(context):
    context.queue = FairQueue(100)


def queue_tickets(context, account, count):
    for number in range(count):
        context.queue.push(Ticket(f"{account}-{number}", account, 5, 1.0, 100.0))


@when(
    'account "{one}" queues {first_count:d} requests and account "{other}" queues {second_count:d}'
)
def step_queue_two(context, one, first_count, other, second_count):
    queue_tickets(context, one, first_count)
    queue_tickets(context, other, second_count)


@when('account "{one}" queues {first_count:d} requests and {served:d} are served')
def step_queue_served(context, one, first_count, served):
    queue_tickets(context, one, first_count)
    for _ in range(served):
        context.queue.pop()


@when('account "{one}" queues {first_count:d} requests')
def step_queue_one(context, one, first_count):
    queue_tickets(context, one, first_count)


@then('the queue serves "{order}"')
def step_serves(context, order):
    served_accounts = [context.queue.pop().account for _ in range(len(context.queue))]
    assert served_accounts == names_of(order), served_accounts


@given("an adaptive limit of {limit:d}")
def step_adaptive(context, limit):
    context.limit = AimdLimit(limit=float(limit))
    context.now = 0.0


def record_waits(context, count, wait_s, interval, in_flight):
    for _ in range(count):
        context.now += interval
        context.limit.record_wait(wait_s, in_flight or math.ceil(context.limit.limit), context.now)


@when(
    "{count:d} requests each waited {wait_s:f} s, at intervals of {interval:f} s, "
    "while the limit was in full use"
)
def step_waits_at_limit(context, count, wait_s, interval):
    record_waits(context, count, wait_s, interval, None)


@when(
    "{count:d} requests each waited {wait_s:f} s, at intervals of {interval:f} s, "
    "while {in_flight:d} were running"
)
def step_waits_running(context, count, wait_s, interval, in_flight):
    record_waits(context, count, wait_s, interval, in_flight)


@then("the adaptive limit is below {threshold:d}")
def step_limit_below(context, threshold):
    assert context.limit.limit < threshold, context.limit


@then("the adaptive limit is above {threshold:d}")
def step_limit_above(context, threshold):
    assert context.limit.limit > threshold, context.limit


@given("a retry budget that is full")
def step_full_budget(context):
    context.budget = RetryBudget()
    context.source = random.Random(1)


def decide_on_retry(context, attempts, started=False, is_idempotent=True, time_left_s=5.0):
    failed = FailedAttempt(attempts, started, is_idempotent, time_left_s)
    return decide_retry(failed, context.budget, context.source)


@when("{count:d} first attempts fail, and each asks for retries")
def step_outage(context, count):
    context.sent = 0
    context.kinds = set()
    for _ in range(count):
        context.budget.record_attempt()
        attempts = 1
        context.sent += 1
        while isinstance(decision := decide_on_retry(context, attempts), RetryAfter):
            attempts += 1
            context.sent += 1
        context.kinds.add(decision.kind.value)


@then("at most {factor:f} times {count:d} calls and {more:d} more were sent")
def step_sent_bound(context, factor, count, more):
    assert context.sent <= factor * count + more, context.sent


@then('the refusals name "{kind}"')
def step_refusal_kinds(context, kind):
    assert kind in context.kinds


@when(
    'attempt {attempts:d} fails, started "{started}", idempotent "{idempotent}", '
    "with {time_left_s:f} s left"
)
def step_attempt_fails(context, attempts, started, idempotent, time_left_s):
    context.decision = decide_on_retry(
        context, attempts, started == "yes", idempotent == "yes", time_left_s
    )


@then('the retry decision is "{expected}"')
def step_decision(context, expected):
    match context.decision:
        case RetryAfter():
            assert expected == "retry"
        case GiveUp(kind=kind):
            assert kind.value == expected, kind


@then(
    "the delays after attempt {attempts:d} lie between {min_delay_s:f} and {max_delay_s:f} s "
    "and differ"
)
def step_delays(context, attempts, min_delay_s, max_delay_s):
    delays_s = [decide_on_retry(context, attempts).delay_s for _ in range(5)]
    assert all(min_delay_s <= delay_s <= max_delay_s for delay_s in delays_s), delays_s
    assert len(set(delays_s)) == len(delays_s)


def run_calls(context, times):
    limit = context.service_limit
    for duration_s in times:
        while limit.has_room():
            limit.record_sent()
        context.now += duration_s
        limit.record_end(duration_s, context.now)


@given("a service limit that recorded {count:d} calls of {duration_s:f} s")
def step_service_limit(context, count, duration_s):
    context.service_limit = ServiceLimit()
    context.now = 0.0
    for _ in range(count):
        context.service_limit.record_sent()
        context.now += duration_s
        context.service_limit.record_end(duration_s, context.now)


@when("{count:d} calls of the service take {duration_s:f} s each, while the limit is in full use")
def step_service_calls(context, count, duration_s):
    run_calls(context, [duration_s] * count)


@when(
    "{count:d} calls of the service take {one:f} s and {other:f} s in turn, "
    "while the limit is in full use"
)
def step_service_calls_vary(context, count, one, other):
    run_calls(context, [one, other] * (count // 2))


@then("the service limit is below {threshold:d}")
def step_service_below(context, threshold):
    assert context.service_limit.aimd.limit < threshold, context.service_limit


@then("the service limit is above {threshold:d}")
def step_service_above(context, threshold):
    assert context.service_limit.aimd.limit > threshold, context.service_limit
