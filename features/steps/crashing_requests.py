import itertools
import random
import threading
import time
from dataclasses import dataclass

from behave import given, then, when

from standins.installation import Answer, CrashingRequests, Cut

SOUND_PER_S = 15.0
FATAL_PER_S = 2.0
DOWN_S = 2.0
PARTS_HEADER = "x-prompt-prefix"
FIRST_PART, FATAL_PART, NEW_PART = "a1", "bad", "e1"
SOUND_PARTS = ("c0", "c1", "c2")
NOT_RUN_STATUSES = (408, 421, 429, 503)
TIME_LIMIT_S = 4.0
REPEAT_DELAY_S = 0.05
LONGEST_WAIT_FOR_ENDS_S = 6.0
MANY = 20
ENDED_AT_ONCE = 6
NEVER_S = 3600.0


@dataclass(frozen=True)
class CallerTry:
    """What a caller got for one try; times are monotonic, in seconds."""

    request_id: str
    at: float
    took_s: float
    answer: Answer
    kind: str
    is_first: bool

    @property
    def is_fatal(self):
        return self.kind == "fatal"


class Callers:
    """Callers of drafts that come at hosts in turn, and repeat once what was refused or failed."""

    def __init__(self, installation, seed):
        self.hosts = {}
        self.tries = []
        self._installation = installation
        self._random = random.Random(seed)
        self._numbers = itertools.count(0x100)
        self._stopped = threading.Event()
        self._threads = []

    def start(self, kind, per_s):
        self._start_thread(self._send_many, kind, per_s)

    def send_one(self, kind):
        hosts = self.hosts[kind]
        first = self._random.choice(hosts)
        second = self._random.choice([host for host in hosts if host != first] or hosts)
        self._start_thread(self._send_twice, kind, next(self._numbers), first, second)

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments)
        self._threads.append(thread)
        thread.start()

    def _send_many(self, kind, per_s):
        while not self._stopped.wait(self._random.uniform(0.5, 1.5) / per_s):
            self.send_one(kind)

    def _send_twice(self, kind, number, first, second):
        tried = self._send(kind, number, first, True)
        if tried.answer.status != 200 or not tried.answer.is_whole:
            wait_s = float(tried.answer.headers.get("retry-after", REPEAT_DELAY_S))
            time.sleep(min(wait_s, TIME_LIMIT_S / 3.0))
            self._send(kind, number, second, False)

    def _send(self, kind, number, host, is_first):
        request_id = f"{kind}-{number:x}-{1 if is_first else 2}"
        shared = [FIRST_PART, SOUND_PARTS[number % len(SOUND_PARTS)]]
        further = {"fatal": FATAL_PART, "new": NEW_PART}.get(kind)
        if further is not None:
            shared.insert(number % (len(shared) + 1), further)
        started_at = time.monotonic()
        try:
            answer = self._installation.call(
                f"/draft/{number:x}",
                host,
                X_Attempt_Id=request_id,
                X_Model="*",
                X_Token_Usage=f"{30 * len(shared) + 30},20",
                X_Prompt_Prefix=",".join(f"{part}:30" for part in [*shared, f"{number:x}"]),
            )
        except OSError:
            answer = Answer(0, is_whole=False)
        took_s = time.monotonic() - started_at
        self.tries.append(CallerTry(request_id, started_at, took_s, answer, kind, is_first))
        return self.tries[-1]


def holds_fatal_part(request):
    parts = request.headers.get(PARTS_HEADER, "").split(",")
    return FATAL_PART in [part.partition(":")[0] for part in parts[:-1]]


def parse_hosts(text):
    return [int(number) for number in text.split(",")]


def count_statuses(tries):
    statuses = [each.answer.status for each in tries]
    return {status: statuses.count(status) for status in sorted(set(statuses))}


def count_begun(tries):
    return sum(each.answer.status == 200 and bool(each.answer.body) for each in tries)


@given("host 0 is cut off from all of them")
def step_cut(context):
    context.installation.cut_host(0, Cut.RESET)


@given("sound requests come at hosts {hosts} for {seconds:d} s")
def step_sound(context, hosts, seconds):
    context.crashing = CrashingRequests(context.installation, holds_fatal_part, DOWN_S)
    context.callers = Callers(context.installation, seed=46)
    context.add_cleanup(context.callers.stop)
    context.callers.hosts["sound"] = parse_hosts(hosts)
    context.callers.start("sound", SOUND_PER_S)
    time.sleep(seconds)


@when("requests with a fatal part come at hosts {hosts} too until five engines have ended")
def step_fatal(context, hosts):
    context.fatal_since = time.monotonic()
    context.callers.hosts["fatal"] = parse_hosts(hosts)
    context.callers.start("fatal", FATAL_PER_S)
    # Hosts may know of the part, and keep it from engines, before the fifth of them has ended.
    while time.monotonic() < context.fatal_since + LONGEST_WAIT_FOR_ENDS_S:
        if len(context.crashing.crashes) >= 5:
            break
        time.sleep(0.01)


@when("all of them go on for {seconds:d} s")
def step_go_on(context, seconds):
    time.sleep(seconds)
    context.callers.stop()


@when("host 3 starts")
def step_late_host(context):
    context.installation.start_host(3)


@when("requests with the part come at host {host:d} only, for {seconds:d} s")
def step_one_host(context, host, seconds):
    context.callers.hosts["fatal"] = [host]
    step_go_on(context, seconds)


def find_fifth_end(context):
    """Return when the fifth engine ended, or the last one if there were fewer."""
    crashes = context.crashing.crashes
    assert crashes, count_statuses(context.callers.tries)
    return crashes[:5][-1].at


@then(
    "at most {count:d} requests with the part reached engines "
    "later than {seconds:d} s after the fifth end"
)
def step_few_reach(context, count, seconds):
    fifth = find_fifth_end(context)
    arrivals = context.crashing.list_arrivals()
    later = [each for each in arrivals if each.at > fifth + seconds]
    summary = {
        "arrivals": len(arrivals),
        "later": len(later),
        "ends": len(context.crashing.crashes),
        "ends_later": sum(each.at > fifth + seconds for each in context.crashing.crashes),
        "fifth_end_s": round(fifth - context.fatal_since, 2),
        "later_by_host": {
            ip: sum(each.peer_ip == ip for each in later) for ip in {each.peer_ip for each in later}
        },
    }
    print(summary)
    assert len(later) <= count, summary


@then(
    "later than {seconds:d} s after it sound ones began at the first attempt "
    "at least half as often as before"
)
def step_sound_begin(context, seconds):
    fifth = find_fifth_end(context)
    first = [each for each in context.callers.tries if each.is_first and not each.is_fatal]
    before = [each for each in first if each.at < context.fatal_since]
    after = [each for each in first if each.at > fifth + seconds]
    assert min(len(before), len(after)) >= MANY, (len(before), len(after))
    shares = (count_begun(before) / len(before), count_begun(after) / len(after))
    summary = (shares, count_statuses(before), count_statuses(after))
    print(summary)
    assert shares[1] >= shares[0] / 2.0, summary


@then(
    "those kept from engines were refused within {seconds:d} s as not run, "
    "without a time to come back"
)
def step_refused(context, seconds):
    fatal = [each for each in context.callers.tries if each.is_fatal]
    reached = {each.request_id for each in context.crashing.list_arrivals()}
    check_refusals(fatal, reached, find_fifth_end(context) + 3.0, seconds)


def check_refusals(tries, reached, since, seconds):
    """Check that what ran is not called not run, and that all that was kept back is, at once.

    Parameters
    ----------
    reached : set of str
        Ids of the tries that reached an endpoint.
    since : float
        Tries from then on that reached none were kept back.
    seconds : float
        Longest time to a refusal.
    """
    untrue = [
        each
        for each in tries
        if each.request_id in reached and each.answer.status in NOT_RUN_STATUSES
    ]
    assert not untrue, untrue
    kept = [each for each in tries if each.at > since and each.request_id not in reached]
    wrong = [
        each
        for each in kept
        if each.answer.status != 503
        or "retry-after" in each.answer.headers
        or each.took_s > seconds
    ]
    print(len(tries), count_statuses(tries), len(kept), len(wrong))
    assert kept and not wrong, (len(kept), wrong[:3])


@when("ten engines end whatever they run, one every {interval_s:g} s")
def step_plain_ends(context, interval_s):
    names = list(context.installation.endpoints)
    engines = [
        context.installation.endpoints[name]
        for name in names
        if context.installation.endpoints[name].service == "engines"
    ]
    for number in range(10):
        context.crashing.end(engines[number % len(engines)])
        time.sleep(interval_s)


@then("later than {seconds:d} s after the last end all sound ones began at the first attempt")
def step_all_begin(context, seconds):
    last = context.crashing.crashes[-1].at
    first = [each for each in context.callers.tries if each.is_first]
    after = [each for each in first if each.at > last + seconds]
    summary = (len(context.crashing.crashes), count_statuses(first), count_statuses(after))
    print(summary)
    assert len(after) >= MANY and count_begun(after) == len(after), summary


def holds_new_part(endpoint):
    prompts = [each.headers.get(PARTS_HEADER, "") for each in endpoint.received_requests]
    return any(f"{NEW_PART}:" in prompt for prompt in prompts)


@when("requests with a new part come at hosts {hosts}, and all engines end before they begin one")
def step_all_end(context, hosts):
    context.callers.hosts["new"] = parse_hosts(hosts)
    installation = context.installation
    engines = [each for each in installation.endpoints.values() if each.service == "engines"]
    holding = []

    async def end_all():
        holding.extend(engine for engine in engines if holds_new_part(engine))
        for engine in engines:
            engine.end_process()

    delays_s = [engine.first_event_delay_s for engine in engines]
    for engine in engines:
        engine.first_event_delay_s = NEVER_S
    for _ in range(4 * ENDED_AT_ONCE):
        context.callers.send_one("new")
    installation.wait_for(lambda: sum(map(holds_new_part, engines)) >= 3, "some engines hold one")
    installation.run(end_all())
    for engine, delay_s in zip(engines, delays_s, strict=True):
        engine.first_event_delay_s = delay_s
    assert len(holding) >= 3 and len(context.crashing.crashes) == ENDED_AT_ONCE, holding


@when("after {seconds:d} s more of them come")
def step_more_come(context, seconds):
    time.sleep(seconds)
    context.callers.start("new", SOUND_PER_S)


@given("callers were served by each host for {seconds:d} s")
def step_plain_served(context, seconds):
    for host in range(3):
        answer = context.installation.call(f"/lookup/{host}", host, method="GET")
        assert answer.status == 200, answer
    time.sleep(seconds)


@when("an order and a lookup come that end each endpoint that begins to answer them")
def step_fatal_operations(context):
    context.crashing = CrashingRequests(
        context.installation, lambda request: b"/fatal" in request.target, DOWN_S
    )
    context.operations = {}
    for kind, method in (("order", "POST"), ("lookup", "GET")):
        ended_before = len(context.crashing.crashes)
        answer = context.installation.call(f"/{kind}/fatal", method=method)
        ends = len(context.crashing.crashes) - ended_before
        context.operations[kind] = (answer.status, ends)
    print(context.operations)


@then("both callers got {status:d}")
def step_operations_fail(context, status):
    statuses = [each for each, _ in context.operations.values()]
    assert statuses == [status, status], context.operations


@then("the order ended at most {order:d} endpoint, and the lookup at most {lookup:d}")
def step_few_ended(context, order, lookup):
    ends = {kind: count for kind, (_, count) in context.operations.items()}
    assert 1 <= ends["order"] <= order and 1 <= ends["lookup"] <= lookup, ends
