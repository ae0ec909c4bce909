import itertools
import random
import threading
import time
from dataclasses import dataclass

from behave import given, then, when

from features.steps.crashing_requests import check_refusals, parse_hosts
from standins.installation import Answer, CrashingRequests

SOUND_PER_S = 7.0
DOWN_S = 2.0
FATAL = "dead"
SYSTEM_PART = "a1"
# Time from an answer to the caller's next attempt.
REPEAT_DELAY_S = 0.25
# Time in which all hosts know of an end.
NEWS_S = 0.6


@dataclass(frozen=True)
class CallerTry:
    """What a caller got for one try; times are monotonic, in seconds."""

    request_id: str
    at: float
    took_s: float
    answer: Answer


class Operations:
    """Requests of each kind, sound ones or one that ends endpoints, as callers send them."""

    def __init__(self, installation):
        self._installation = installation

    def send(self, what, content, request_id, host):
        started_at = time.monotonic()
        try:
            answer = self._call(what, content, request_id, host)
        except OSError:
            answer = Answer(0, is_whole=False)
        return CallerTry(request_id, started_at, time.monotonic() - started_at, answer)

    def _call(self, what, content, request_id, host):
        call = self._installation.call
        match what:
            case "a lookup":
                return call(f"/lookup/{content}", host, method="GET", X_Attempt_Id=request_id)
            case "a lookup with a body":
                return call("/lookup/x", host, body=content.encode(), X_Attempt_Id=request_id)
            case "an order":
                return call("/order/x", host, body=content.encode(), X_Attempt_Id=request_id)
            case "a draft without parts":
                return call(
                    "/draft/x", host, body=content.encode(), X_Attempt_Id=request_id, X_Model="*"
                )
            case _:
                return call(
                    "/draft/x",
                    host,
                    X_Attempt_Id=request_id,
                    X_Model="*",
                    X_Token_Usage="60,20",
                    X_Prompt_Prefix=f"{SYSTEM_PART}:30,{content}:30",
                )


class Callers:
    """Callers that send in threads until they are stopped."""

    def __init__(self, installation):
        self.fatal = []
        self.sound = []
        self._operations = Operations(installation)
        self._stopped = threading.Event()
        self._threads = []
        self._repeating = []

    def start_sound(self, what, hosts, per_s):
        self._start(self._send_sound, what, hosts, per_s)

    def start_repeating(self, what, hosts, until):
        self._repeating.append(self._start(self._repeat, what, hosts, until))

    def start_asking_for(self, content, hosts, per_s):
        self._start(self._ask_for, content, hosts, per_s)

    def stop(self):
        self._stopped.set()
        self.join()

    def join_repeating(self):
        for thread in self._repeating:
            thread.join()

    def join(self):
        for thread in self._threads:
            thread.join()

    def _start(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments)
        self._threads.append(thread)
        thread.start()
        return thread

    def _send_sound(self, what, hosts, per_s):
        numbers = random.Random(len(self._threads))
        for number in itertools.count():
            if self._stopped.wait(numbers.uniform(0.5, 1.5) / per_s):
                return
            request_id = f"sound-{what[-4:]}-{number:x}"
            host = numbers.choice(hosts)
            self.sound.append(self._operations.send(what, f"{number:x}", request_id, host))

    def _ask_for(self, content, hosts, per_s):
        caller = len(self._threads)
        numbers = random.Random(caller)
        for number in itertools.count():
            if self._stopped.wait(numbers.uniform(0.5, 1.5) / per_s):
                return
            request_id = f"{content}-{caller}-{number:x}"
            host = numbers.choice(hosts)
            self.sound.append(self._operations.send("a lookup", content, request_id, host))

    def _repeat(self, what, hosts, until):
        caller = threading.get_ident()
        for number in itertools.count():
            if time.monotonic() > until:
                return
            request_id = f"fatal-{caller}-{number:x}"
            host = hosts[number % len(hosts)]
            self.fatal.append(self._operations.send(what, FATAL, request_id, host))
            time.sleep(REPEAT_DELAY_S)


def is_fatal(request):
    prompt = request.headers.get("x-prompt-prefix", "")
    return (
        FATAL.encode() in request.target or FATAL.encode() in request.body or f"{FATAL}:" in prompt
    )


@given("sound drafts and lookups come at hosts {hosts} for {seconds:d} s")
def step_sound(context, hosts, seconds):
    context.crashing = CrashingRequests(context.installation, is_fatal, DOWN_S)
    context.repeating = Callers(context.installation)
    context.add_cleanup(context.repeating.stop)
    for what in ("a lookup", "a draft"):
        context.repeating.start_sound(what, parse_hosts(hosts), SOUND_PER_S)
    time.sleep(seconds)


@when("{what} that ends each endpoint at work on it is repeated for {seconds:d} s at hosts {hosts}")
def step_repeat(context, what, seconds, hosts):
    if "after two events" in what:
        for endpoint in context.installation.endpoints.values():
            endpoint.fatal_after_events = 2
    until = time.monotonic() + seconds
    for _ in range(2 if "two callers" in what else 1):
        context.repeating.start_repeating(what, parse_hosts(hosts), until)
    time.sleep(seconds)
    context.repeating.join_repeating()


@when(
    "host {host:d} starts, and {what} that ends each endpoint is repeated for {seconds:d} s "
    "at hosts {hosts}"
)
def step_start_and_repeat(context, host, what, seconds, hosts):
    context.installation.start_host(host)
    step_repeat(context, what, seconds, hosts)


@when(
    "host {host:d} is asked to stop, and {what} that ends each endpoint is repeated "
    "for {seconds:d} s at hosts {hosts}"
)
def step_stop_and_repeat(context, host, what, seconds, hosts):
    context.installation.signal_host(host, "SIGTERM")
    step_repeat(context, what, seconds, hosts)


@when(
    "the same lookup comes {per_s:d} times a second at hosts {hosts}, "
    "and all endpoints end at once, twice"
)
def step_hot(context, per_s, hosts):
    for endpoint in context.installation.endpoints.values():
        endpoint.first_event_delay_s = 0.1
    callers = context.repeating
    for _ in range(per_s // 4):
        callers.start_asking_for("hot", parse_hosts(hosts), 4)
    time.sleep(1.0)
    endpoints = [
        each for each in context.installation.endpoints.values() if each.service == "stock"
    ]
    for _ in range(2):
        for endpoint in endpoints:
            context.crashing.end(endpoint)
        time.sleep(DOWN_S + 1.0)
    time.sleep(3.0)
    callers.stop()


@then("from {seconds:d} s after the last end on each of them was answered")
def step_hot_answered(context, seconds):
    last = context.crashing.crashes[-1].at
    hot = [each for each in context.repeating.sound if each.request_id.startswith("hot")]
    after = [each for each in hot if each.at > last + seconds]
    failed = [each for each in after if each.answer.status != 200]
    print(len(context.crashing.crashes), "ends,", len(hot), "lookups,", len(after), "later")
    assert len(after) > 20 and not failed, (len(after), failed[:3])


def find_third_end(context):
    crashes = context.crashing.crashes
    assert len(crashes) >= 3, crashes
    return crashes[2].at


@then("it reached no endpoint later than {seconds:g} s after the third end under it")
def step_none_late(context, seconds):
    third = find_third_end(context)
    arrivals = context.crashing.list_arrivals()
    late = [round(each.at - third, 2) for each in arrivals if each.at > third + seconds]
    statuses = [each.answer.status for each in context.repeating.fatal]
    print(len(arrivals), "sends,", len(context.crashing.crashes), "ends,", statuses)
    assert not late, (late, len(context.crashing.crashes), statuses)


@then(
    "what was kept from endpoints was refused within {seconds:g} s as not run, "
    "without a time to come back"
)
def step_refused(context, seconds):
    reached = {each.request_id for each in context.crashing.list_arrivals()}
    since = find_third_end(context) + NEWS_S
    check_refusals(context.repeating.fatal, reached, since, seconds)


@then("from {seconds:d} s after the third end on all sound requests were answered")
def step_sound_answered(context, seconds):
    third = find_third_end(context)
    after = [each for each in context.repeating.sound if each.at > third + seconds]
    failed = [each for each in after if each.answer.status != 200 or not each.answer.is_whole]
    print(len(after), "sound ones,", len(failed), "failed")
    assert len(after) > SOUND_PER_S and not failed, (len(after), failed[:3])
