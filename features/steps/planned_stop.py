import itertools
import json
import signal
import threading
import time

import urllib3
from behave import given, then, when

from poplarrun.limits import RAMP_UP_ROUNDS, ROUND_INTERVAL_S
from standins.fleet import wait_until

KEY = "borough-north-key"
CALLERS = 6
STREAMERS = 3
OK = 200


class Callers:
    """Callers behind a small balancer that polls /readyz."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ready = sorted(fleet.hosts)
        self.failures = []
        self.answers = itertools.count()
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.watch)]
        self.threads += [
            threading.Thread(target=self.call, args=(number, number < STREAMERS))
            for number in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def watch(self):
        while not self.stopped.wait(0.1):
            self.ready = [name for name, host in self.fleet.hosts.items() if host.is_ready()]

    def call(self, number, stream):
        pool = urllib3.PoolManager(retries=False)
        for turn in itertools.count(number):
            if self.stopped.is_set():
                return
            ready = list(self.ready)
            if not ready:
                continue
            name = ready[turn % len(ready)]
            try:
                self.ask(pool, name, stream)
            except Exception as error:
                self.failures.append(f"{name}: {error!r}")
            next(self.answers)

    def ask(self, pool, name, stream):
        response = pool.request(
            "POST",
            f"http://{self.fleet.hosts[name].address}/v1/chat/completions",
            json={
                "model": "note",
                "messages": [{"role": "user", "content": "Tell of it"}],
                "stream": stream,
            },
            headers={"Authorization": f"Bearer {KEY}"},
            timeout=30,
        )
        if response.status != OK:
            raise ValueError(f"{response.status} {response.data[:200]!r}")
        if stream and not response.data.rstrip().endswith(b"[DONE]"):
            raise ValueError(f"the stream ended with {response.data[-100:]!r}")

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


@given("the hosts have shared out the account's limits")
def step_shared_out(context):
    time.sleep((RAMP_UP_ROUNDS + 2) * ROUND_INTERVAL_S)


@given("callers send requests and streams all the time")
def step_callers(context):
    context.callers = Callers(context.fleet)
    context.add_cleanup(context.callers.stop)
    wait_until(lambda: next(context.callers.answers) > 20, "some answers")


@when("each host in turn is stopped and replaced")
def step_replace_each(context):
    context.exit_codes = []
    for host in context.fleet.hosts.values():
        context.exit_codes.append(host.stop())
        host.spawn()
        host.wait_ready()
    context.callers.stop()


@given('a stream of {seconds:d} s runs at host "{name}"')
def step_stream(context, seconds, name):
    for endpoint in context.fleet.endpoints.values():
        endpoint.set_faults(freeze_s=seconds / 40)
    response = urllib3.request(
        "POST",
        f"http://{context.fleet.hosts[name].address}/v1/chat/completions",
        json={"model": "note", "messages": [{"role": "user", "content": "x"}], "stream": True},
        headers={"Authorization": f"Bearer {KEY}"},
        preload_content=False,
        timeout=60,
    )
    context.request_id = response.headers["X-Request-Id"]
    context.add_cleanup(response.close)


@when('host "{name}" is asked to stop')
def step_stop(context, name):
    context.stopped_host = context.fleet.hosts[name]
    context.stopped_host.signal(signal.SIGTERM)
    context.exit_code = context.stopped_host.process.wait(timeout=30)


@then("every exit code was 0")
def step_exit_codes(context):
    assert context.exit_codes == [0] * len(context.fleet.hosts), context.exit_codes


@then("its exit code is {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code


@then("its log contains the id of the open request")
def step_log_contains(context):
    lines = [json.loads(line) for line in context.stopped_host.log_file.read_text().splitlines()]
    (line,) = [line for line in lines if "still open" in line["message"]]
    assert line["request_ids"] == [context.request_id]


def describe_limits(context):
    """Return the last lines of each host that tell of its parts of the account limits."""
    return {
        name: [line for line in host.read_log_since_start().splitlines() if "limit" in line][-8:]
        for name, host in context.fleet.hosts.items()
    }


@then("no request failed")
def step_none_failed(context):
    assert not context.callers.failures, (context.callers.failures[:5], describe_limits(context))
    assert next(context.callers.answers) > 100


@then("all hosts are alive in each other's status again")
def step_all_alive(context):
    names = sorted(context.fleet.hosts)

    def all_alive():
        statuses = [host.status() for host in context.fleet.hosts.values()]
        alive_hosts = [
            sorted(n for z in status["zones"] for n, s in z["hosts"].items() if s == "alive")
            for status in statuses
        ]
        return all(one == names for one in alive_hosts)

    wait_until(all_alive, "all hosts are alive in each other's status")
