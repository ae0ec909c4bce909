"""The demo: three zones of two hosts each, real requests, and an account of what happened."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import openai
import urllib3

from examples.installation import run_installation
from standins.fleet import EnginePlan, Fleet, HostProcess, ServicePlan, wait_until

EXAMPLES = Path(__file__).resolve().parent
GOOD = {"larch:1": 0.86, "spruce:1": 0.95}
BAD_VERSION = "larch:2"
BAD_QUALITY = 0.2
SESSION_HEADER = "X-Session-Id"
VERSION_HEADER = "X-Poplarrun-Version"
IN_FORCE_BOUND_S = 2.0
# Hosts that all start at once have no peer to give them parts of the account limits.
READY_BOUND_S = 10.0
COUNTER_FIRST_TOKEN_S = 0.6
REPEATS = 6
WITHDRAWAL_BOUND_S = 15.0
EXPOSURE_BOUND = 50
CALLERS = 6
COUNTER_CLASS = "answer"
PAUSE_BOUND_S = 0.5
STATEMENT_SINCE = "2020-01-01"
STATEMENT_BOUND_S = 12.0
ASK_AGAIN = ("operation_in_progress", "operation_outcome_unknown")
OK = 200


@dataclass
class Account:
    """What the demo says, and whether all that it promised held."""

    broken: list[str] = field(default_factory=list)
    began_at: float = field(default_factory=time.monotonic)

    def say(self, line: str) -> None:
        """Print one line of the account."""
        print(f"{time.monotonic() - self.began_at:5.1f} s  {line}", flush=True)

    def check(self, holds: bool, line: str) -> None:
        """Print one line that must hold."""
        self.say(f"{'ok    ' if holds else 'BROKEN'} {line}")
        if not holds:
            self.broken.append(line)


@dataclass(frozen=True)
class Streamed:
    """One streamed answer, as its caller saw it."""

    version: str
    words: int
    first_s: float
    finished: bool


def make_fleet() -> Fleet:
    """Return three zones with two hosts, two engines and two service endpoints each."""
    quality = {**GOOD, BAD_VERSION: BAD_QUALITY}
    engines = [
        EnginePlan(f"engine-{zone}{number}", zone, {"quality": quality})
        for zone in "abc"
        for number in (1, 2)
    ]
    services = [
        ServicePlan(f"{service}-{zone}", zone, service)
        for service in ("loan-records", "stock")
        for zone in "ab"
    ]
    return Fleet(engines, services)


def run_demo(fleet: Fleet, account: Account) -> None:
    """Serve one firm, then the other, and tell what happened."""
    account.say("-- Thistledown: cost at the quality target")
    publish(fleet, (EXAMPLES / "thistledown.yaml").read_text(), account)
    fleet.wait_versions(*GOOD)
    stream_report(fleet, account)
    ask_note(fleet, account)
    repeat_operation(fleet, "loan-records/correct", "borough-north-key", account)
    account.say("-- Anellidoro: latency at the counter")
    document = (EXAMPLES / "anellidoro.yaml").read_text()
    publish(fleet, document, account)
    answer_counter(fleet, account)
    repeat_operation(fleet, "stock/reserve", "verona-shop-key", account)
    roll_out_bad_version(fleet, document, account)
    account.say("-- a host dies, another stops as planned")
    kill_host(fleet, account)
    stop_host(fleet, account)
    check_statement(fleet, account)


def publish(fleet: Fleet, document: str, account: Account) -> None:
    """Publish a document and wait until every host has it in force."""
    offset = fleet.publish(document)
    took_s = wait_until(lambda: has_in_force(fleet, offset), f"offset {offset} is in force")
    account.check(
        took_s < IN_FORCE_BOUND_S,
        f"configuration {offset} in force at 6 hosts in 3 zones {took_s:.2f} s after the "
        "operator's tool said so",
    )
    ready_s = took_s + fleet.wait_in_force(offset)
    account.check(ready_s < READY_BOUND_S, f"all 6 hosts ready for callers after {ready_s:.2f} s")


def has_in_force(fleet: Fleet, offset: int) -> bool:
    """Tell whether every host has an offset in force, ready for callers or not."""
    found = [host.status() for host in fleet.hosts.values()]
    return all(status is not None and status["offset"] >= offset for status in found)


def stream_report(fleet: Fleet, account: Account) -> None:
    """Stream a long report, and go on with its session at a host of another zone."""
    key, session = "borough-north-key", "borough-report-7"
    first = stream(fleet.hosts["a1"], key, "long-report", session)
    account.check(
        first.finished,
        f"long report streamed whole: {first.words} tokens, first after {first.first_s * 1000:.0f} "
        f"ms, by {first.version}",
    )
    second = stream(fleet.hosts["b2"], key, "long-report", session)
    account.check(
        second.finished and second.version == first.version,
        f"the session went on at a host of another zone, still with {second.version}",
    )


def ask_note(fleet: Fleet, account: Account) -> None:
    """Ask for a quick note, and read what it cost."""
    began = time.monotonic()
    raw = client_of(fleet.hosts["b1"], "trust-office-key").chat.completions.with_raw_response
    response = raw.create(model="note", messages=[{"role": "user", "content": "A title note"}])
    took_s = time.monotonic() - began
    words = len((response.parse().choices[0].message.content or "").split())
    explained = fleet.run_cli(
        "explain", response.headers["X-Request-Id"], "--hosts", fleet.hosts["b1"].address, "--json"
    )
    bill = msgspec.json.decode(explained.stdout)["bill"]
    account.check(
        words > 0 and bill["amount"] > 0,
        f"note of {words} tokens in {took_s * 1000:.0f} ms by {response.headers[VERSION_HEADER]}, "
        f"billed {bill['amount']:.6f}",
    )


def answer_counter(fleet: Fleet, account: Account) -> None:
    """Answer a couple at the counter."""
    answer = stream(fleet.hosts["c2"], "verona-shop-key", COUNTER_CLASS, None)
    account.check(
        answer.finished and answer.first_s < COUNTER_FIRST_TOKEN_S,
        f"counter answer of {answer.words} tokens, first after {answer.first_s * 1000:.0f} ms "
        f"(target {COUNTER_FIRST_TOKEN_S * 1000:.0f} ms)",
    )


def repeat_operation(fleet: Fleet, operation: str, key: str, account: Account) -> None:
    """Let a nervous caller send one operation again and again, to all hosts at once."""
    idempotency_key = f"demo-{operation.replace('/', '-')}"
    hosts = list(fleet.hosts.values())[:REPEATS]
    with ThreadPoolExecutor(REPEATS) as pool:
        answers = list(
            pool.map(lambda host: call_until(host, operation, key, idempotency_key), hosts)
        )
    service = operation.partition("/")[0]
    endpoints = [plan.name for plan in fleet.services if plan.service == service]
    effects = sum(len(fleet.endpoints[name].events("effect")) for name in endpoints)
    account.check(
        effects == 1 and len({a.data for a in answers}) == 1 and answers[0].status == OK,
        f"{operation} sent {REPEATS} times at {REPEATS} hosts at once: {effects} effect, "
        f"{len({a.data for a in answers})} distinct answer",
    )


def call_until(
    host: HostProcess, operation: str, key: str, idempotency_key: str
) -> urllib3.BaseHTTPResponse:
    """Send an operation, and ask again while it is in progress."""
    deadline = time.monotonic() + 10.0
    while True:
        response = urllib3.request(
            "POST",
            f"http://{host.address}/v1/services/{operation}",
            json={"item": "diamond-1881"},
            headers={"Authorization": f"Bearer {key}", "Idempotency-Key": idempotency_key},
            timeout=10,
            retries=False,
        )
        if response.status == OK or time.monotonic() > deadline:
            return response
        if msgspec.json.decode(response.data)["error"]["code"] not in ASK_AGAIN:
            return response
        time.sleep(0.05)


def roll_out_bad_version(fleet: Fleet, document: str, account: Account) -> None:
    """Offer a cheaper version that answers badly, and watch the system take it out."""
    offer = '"2": {stage: offered, price: {input_per_mtok: 0.1, output_per_mtok: 0.4}}'
    changed = document.replace("  spruce:\n", f"      {offer}\n  spruce:\n", 1)
    publish(fleet, changed, account)
    asked, exposed, limited = 0, 0, 0
    began = time.monotonic()
    hosts = list(fleet.hosts.values())
    with ThreadPoolExecutor(CALLERS) as pool:
        while not is_rejected(hosts[0]) and time.monotonic() < began + WITHDRAWAL_BOUND_S:
            versions = list(pool.map(ask_answer, hosts))
            limited += versions.count(None)
            asked += len(hosts) - versions.count(None)
            exposed += versions.count(BAD_VERSION)
    took_s = time.monotonic() - began
    wait_until(lambda: all(is_rejected(host) for host in hosts), "rejected at every host")
    late = [ask_answer(host) for host in hosts].count(BAD_VERSION)
    account.check(
        late == 0 and exposed <= EXPOSURE_BOUND,
        f"bad version {BAD_VERSION} taken out of class {COUNTER_CLASS} by the system after "
        f"{took_s:.1f} s; {exposed} of {asked} requests saw it, {late} afterwards; "
        f"{limited} more were over the account's limit",
    )


def ask_answer(host: HostProcess) -> str | None:
    """Ask for a counter answer; return the version that gave it, None when over the limit."""
    raw = client_of(host, "verona-shop-key").chat.completions.with_raw_response
    message = {"role": "user", "content": "Which stone suits a low setting?"}
    try:
        return str(raw.create(model=COUNTER_CLASS, messages=[message]).headers[VERSION_HEADER])
    except openai.RateLimitError as error:
        time.sleep(min(float(error.response.headers["Retry-After"]), PAUSE_BOUND_S))
        return None


def is_rejected(host: HostProcess) -> bool:
    """Tell whether a host knows that the class gets the bad version no more."""
    status = host.status() or {"withdrawn": [], "rollouts": []}
    model, _, version = BAD_VERSION.partition(":")
    if {"model": model, "version": version} in status["withdrawn"]:
        return True
    return any(
        rollout["version"] == BAD_VERSION
        and rollout["work_class"] == COUNTER_CLASS
        and rollout["state"] not in ("growing", "serving")
        for rollout in status["rollouts"]
    )


def kill_host(fleet: Fleet, account: Account) -> None:
    """Kill one host; the others go on."""
    fleet.hosts["c1"].kill()
    answer = stream(fleet.hosts["c2"], "verona-shop-key", "engraving", None)
    account.check(
        answer.finished, f"host c1 killed; c2 answered an engraving of {answer.words} tokens"
    )


def stop_host(fleet: Fleet, account: Account) -> None:
    """Stop a host as planned while it streams; the stream ends whole."""
    host = fleet.hosts["b1"]
    with ThreadPoolExecutor(2) as pool:
        answer = pool.submit(stream, host, "verona-shop-key", "brief", None)
        wait_until(lambda: (host.status() or {}).get("open_requests", 0) > 0, "a stream is open")
        began = time.monotonic()
        code = host.stop()
        took_s = time.monotonic() - began
    account.check(
        code == 0 and answer.result().finished,
        f"host b1 stopped in {took_s:.1f} s with a stream open: {answer.result().words} tokens, "
        "a clean end, exit code 0",
    )


def check_statement(fleet: Fleet, account: Account) -> None:
    """Read the statement of the account that asked for one note, out of the log alone."""
    arguments = ("bill", "--account", "trust-office", "--since", STATEMENT_SINCE)
    deadline = time.monotonic() + STATEMENT_BOUND_S
    counted, amount = "0", "0"
    while counted == "0" and time.monotonic() < deadline:
        lines = fleet.run_cli(*arguments, "--log", fleet.log.address).stdout.splitlines()
        totals = [line.split() for line in lines if line.startswith("total ")]
        _, _, counted, amount = totals[0] if totals else ("", "", "0", "0")
    account.check(
        counted == "1",
        f"trust-office's statement out of the log: {counted} request, {amount} to pay",
    )


def stream(host: HostProcess, key: str, work_class: str, session: str | None) -> Streamed:
    """Stream one answer through the unchanged OpenAI client."""
    began = time.monotonic()
    headers = {SESSION_HEADER: session} if session else {}
    raw = client_of(host, key).chat.completions.with_raw_response
    response = raw.create(
        model=work_class,
        messages=[{"role": "user", "content": "Draft it from the shared catalogue context"}],
        stream=True,
        extra_headers=headers,
    )
    first_at, words, finished = None, 0, False
    for chunk in response.parse():
        first_at = first_at or time.monotonic()
        words += len((chunk.choices[0].delta.content or "").split())
        finished = finished or chunk.choices[0].finish_reason == "stop"
    first_s = (first_at or time.monotonic()) - began
    return Streamed(response.headers[VERSION_HEADER], words, first_s, finished)


def client_of(host: HostProcess, key: str) -> openai.OpenAI:
    """Return the unchanged OpenAI client, pointed at a host."""
    return openai.OpenAI(api_key=key, base_url=f"http://{host.address}/v1", max_retries=0)


def main() -> int:
    """Run the demo; return the exit code."""
    account = Account()
    account.say("starting 3 zones x 2 hosts, 6 engines, 4 service endpoints, log, host list")
    with make_fleet() as fleet:
        account.say("all processes listen")
        run_demo(fleet, account)
        if "--stay-up" in sys.argv:
            stay_up(fleet)
    run_installation(account.check)
    account.say("all promises held" if not account.broken else f"broken: {account.broken}")
    return 1 if account.broken else 0


def stay_up(fleet: Fleet) -> None:
    """Keep the fleet running until interrupted."""
    alive = [host for host in fleet.hosts.values() if host.is_ready()]
    print(f"hosts: {','.join(host.address for host in alive)}")
    print(f"log: {fleet.log.address}\nkey: verona-shop-key\nCtrl-C ends it.", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    sys.exit(main())
