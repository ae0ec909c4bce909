"""Runs a fleet of three zones with two hosts each, sends real requests, and checks the outcome."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import openai
import urllib3

from examples.installation import run_platform_demo
from standins.fleet import EnginePlan, Fleet, HostProcess, ServicePlan, wait_until

EXAMPLES = Path(__file__).resolve().parent
GOOD_QUALITIES = {"larch:1": 0.86, "spruce:1": 0.95}
BAD_VERSION = "larch:2"
BAD_QUALITY = 0.2
SESSION_HEADER = "X-Session-Id"
VERSION_HEADER = "X-Poplarrun-Version"
MAX_IN_FORCE_S = 2.0
# Hosts that all start at once have no peer to hand them a share of the account limits.
MAX_READY_S = 10.0
COUNTER_FIRST_TOKEN_TARGET_S = 0.6
REPEAT_COUNT = 6
WITHDRAWAL_TIMEOUT_S = 15.0
MAX_EXPOSED_REQUESTS = 50
CALLER_COUNT = 6
COUNTER_CLASS = "answer"
MAX_RETRY_DELAY_S = 0.5
STATEMENT_SINCE = "2020-01-01"
STATEMENT_TIMEOUT_S = 12.0
RETRYABLE_CODES = ("operation_in_progress", "operation_outcome_unknown")
HTTP_OK = 200


@dataclass
class CheckLog:
    """Prints the output of the demo and collects the checks that failed."""

    failed_checks: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def print_line(self, line: str) -> None:
        """Print one line with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:5.1f} s  {line}", flush=True)

    def check(self, holds: bool, line: str) -> None:
        """Print the result of a check, and record it if it failed."""
        self.print_line(f"{'ok    ' if holds else 'FAILED'} {line}")
        if not holds:
            self.failed_checks.append(line)


@dataclass(frozen=True)
class StreamedAnswer:
    """One streamed answer, as its caller received it."""

    version: str
    token_count: int
    first_token_s: float
    finished: bool


def make_fleet() -> Fleet:
    """Return three zones with two hosts, two engines and two service endpoints each."""
    quality = {**GOOD_QUALITIES, BAD_VERSION: BAD_QUALITY}
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


def run_demo(fleet: Fleet, check_log: CheckLog) -> None:
    """Serve both firms one after the other, then stop hosts; check each step."""
    check_log.print_line("-- Thistledown: cost at the quality target")
    publish(fleet, (EXAMPLES / "thistledown.yaml").read_text(), check_log)
    fleet.wait_versions(*GOOD_QUALITIES)
    stream_report(fleet, check_log)
    request_note(fleet, check_log)
    repeat_operation(fleet, "loan-records/correct", "borough-north-key", check_log)
    check_log.print_line("-- Anellidoro: latency at the counter")
    document = (EXAMPLES / "anellidoro.yaml").read_text()
    publish(fleet, document, check_log)
    request_counter_answer(fleet, check_log)
    repeat_operation(fleet, "stock/reserve", "verona-shop-key", check_log)
    roll_out_bad_version(fleet, document, check_log)
    check_log.print_line("-- one host is killed, another is stopped gracefully")
    kill_host(fleet, check_log)
    stop_host(fleet, check_log)
    check_statement(fleet, check_log)


def publish(fleet: Fleet, document: str, check_log: CheckLog) -> None:
    """Publish a document and wait until every host has it in force."""
    offset = fleet.publish(document)
    took_s = wait_until(lambda: is_in_force(fleet, offset), f"offset {offset} is in force")
    check_log.check(
        took_s < MAX_IN_FORCE_S,
        f"configuration {offset} in force at 6 hosts in 3 zones {took_s:.2f} s after the "
        "operator's command returned",
    )
    ready_s = took_s + fleet.wait_in_force(offset)
    check_log.check(ready_s < MAX_READY_S, f"all 6 hosts ready for callers after {ready_s:.2f} s")


def is_in_force(fleet: Fleet, offset: int) -> bool:
    """Return whether every host has an offset in force, whether or not it is ready."""
    statuses = [host.status() for host in fleet.hosts.values()]
    return all(status is not None and status["offset"] >= offset for status in statuses)


def stream_report(fleet: Fleet, check_log: CheckLog) -> None:
    """Stream a long report, and continue its session at a host of another zone."""
    key, session = "borough-north-key", "borough-report-7"
    first = stream(fleet.hosts["a1"], key, "long-report", session)
    check_log.check(
        first.finished,
        f"long report streamed to its end: {first.token_count} tokens, first after "
        f"{first.first_token_s * 1000:.0f} ms, by {first.version}",
    )
    second = stream(fleet.hosts["b2"], key, "long-report", session)
    check_log.check(
        second.finished and second.version == first.version,
        f"the session continued at a host of another zone, still with {second.version}",
    )


def request_note(fleet: Fleet, check_log: CheckLog) -> None:
    """Request a short note, and read its cost."""
    started_at = time.monotonic()
    raw = make_client(fleet.hosts["b1"], "trust-office-key").chat.completions.with_raw_response
    response = raw.create(model="note", messages=[{"role": "user", "content": "A title note"}])
    took_s = time.monotonic() - started_at
    token_count = len((response.parse().choices[0].message.content or "").split())
    explained = fleet.run_cli(
        "explain", response.headers["X-Request-Id"], "--hosts", fleet.hosts["b1"].address, "--json"
    )
    bill = msgspec.json.decode(explained.stdout)["bill"]
    check_log.check(
        token_count > 0 and bill["amount"] > 0,
        f"note of {token_count} tokens in {took_s * 1000:.0f} ms by "
        f"{response.headers[VERSION_HEADER]}, billed {bill['amount']:.6f}",
    )


def request_counter_answer(fleet: Fleet, check_log: CheckLog) -> None:
    """Request an answer of the latency-critical counter class."""
    answer = stream(fleet.hosts["c2"], "verona-shop-key", COUNTER_CLASS, None)
    check_log.check(
        answer.finished and answer.first_token_s < COUNTER_FIRST_TOKEN_TARGET_S,
        f"counter answer of {answer.token_count} tokens, first after "
        f"{answer.first_token_s * 1000:.0f} ms "
        f"(target {COUNTER_FIRST_TOKEN_TARGET_S * 1000:.0f} ms)",
    )


def repeat_operation(fleet: Fleet, operation: str, key: str, check_log: CheckLog) -> None:
    """Send one operation with the same idempotency key to several hosts at once."""
    idempotency_key = f"demo-{operation.replace('/', '-')}"
    hosts = list(fleet.hosts.values())[:REPEAT_COUNT]
    with ThreadPoolExecutor(REPEAT_COUNT) as pool:
        answers = list(
            pool.map(lambda host: call_until_settled(host, operation, key, idempotency_key), hosts)
        )
    service = operation.partition("/")[0]
    endpoints = [plan.name for plan in fleet.services if plan.service == service]
    effect_count = sum(len(fleet.endpoints[name].events("effect")) for name in endpoints)
    check_log.check(
        effect_count == 1 and len({a.data for a in answers}) == 1 and answers[0].status == HTTP_OK,
        f"{operation} sent {REPEAT_COUNT} times at {REPEAT_COUNT} hosts at once: "
        f"{effect_count} effect, {len({a.data for a in answers})} distinct answer",
    )


def call_until_settled(
    host: HostProcess, operation: str, key: str, idempotency_key: str
) -> urllib3.BaseHTTPResponse:
    """Send an operation, and repeat it while its outcome is pending."""
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
        if response.status == HTTP_OK or time.monotonic() > deadline:
            return response
        if msgspec.json.decode(response.data)["error"]["code"] not in RETRYABLE_CODES:
            return response
        time.sleep(0.05)


def roll_out_bad_version(fleet: Fleet, document: str, check_log: CheckLog) -> None:
    """Offer a cheaper version of poor quality, and wait until the system withdraws it."""
    offer = '"2": {stage: offered, price: {input_per_mtok: 0.1, output_per_mtok: 0.4}}'
    changed = document.replace("  spruce:\n", f"      {offer}\n  spruce:\n", 1)
    publish(fleet, changed, check_log)
    answered_count, exposed_count, limited_count = 0, 0, 0
    started_at = time.monotonic()
    hosts = list(fleet.hosts.values())
    with ThreadPoolExecutor(CALLER_COUNT) as pool:
        while not is_rejected(hosts[0]) and time.monotonic() < started_at + WITHDRAWAL_TIMEOUT_S:
            versions = list(pool.map(request_counter_version, hosts))
            limited_count += versions.count(None)
            answered_count += len(hosts) - versions.count(None)
            exposed_count += versions.count(BAD_VERSION)
    took_s = time.monotonic() - started_at
    wait_until(lambda: all(is_rejected(host) for host in hosts), "rejected at every host")
    late_count = [request_counter_version(host) for host in hosts].count(BAD_VERSION)
    check_log.check(
        late_count == 0 and exposed_count <= MAX_EXPOSED_REQUESTS,
        f"bad version {BAD_VERSION} withdrawn from class {COUNTER_CLASS} automatically after "
        f"{took_s:.1f} s; {exposed_count} of {answered_count} requests reached it, "
        f"{late_count} afterwards; {limited_count} more exceeded the account's limit",
    )


def request_counter_version(host: HostProcess) -> str | None:
    """Request a counter answer; return the version that gave it, or None if rate limited."""
    raw = make_client(host, "verona-shop-key").chat.completions.with_raw_response
    message = {"role": "user", "content": "Which stone suits a low setting?"}
    try:
        return str(raw.create(model=COUNTER_CLASS, messages=[message]).headers[VERSION_HEADER])
    except openai.RateLimitError as error:
        time.sleep(min(float(error.response.headers["Retry-After"]), MAX_RETRY_DELAY_S))
        return None


def is_rejected(host: HostProcess) -> bool:
    """Return whether a host no longer serves the class with the bad version."""
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


def kill_host(fleet: Fleet, check_log: CheckLog) -> None:
    """Kill one host, and check that another one still answers."""
    fleet.hosts["c1"].kill()
    answer = stream(fleet.hosts["c2"], "verona-shop-key", "engraving", None)
    check_log.check(
        answer.finished, f"host c1 killed; c2 answered an engraving of {answer.token_count} tokens"
    )


def stop_host(fleet: Fleet, check_log: CheckLog) -> None:
    """Stop a host gracefully while it streams, and check that the stream completes."""
    host = fleet.hosts["b1"]
    with ThreadPoolExecutor(2) as pool:
        answer = pool.submit(stream, host, "verona-shop-key", "brief", None)
        wait_until(lambda: (host.status() or {}).get("open_requests", 0) > 0, "a stream is open")
        started_at = time.monotonic()
        code = host.stop()
        took_s = time.monotonic() - started_at
    check_log.check(
        code == 0 and answer.result().finished,
        f"host b1 stopped in {took_s:.1f} s with a stream open: "
        f"{answer.result().token_count} tokens, a clean end, exit code 0",
    )


def check_statement(fleet: Fleet, check_log: CheckLog) -> None:
    """Check the statement, read from the log alone, of the account that requested one note."""
    arguments = ("bill", "--account", "trust-office", "--since", STATEMENT_SINCE)
    deadline = time.monotonic() + STATEMENT_TIMEOUT_S
    counted, amount = "0", "0"
    while counted == "0" and time.monotonic() < deadline:
        lines = fleet.run_cli(*arguments, "--log", fleet.log.address).stdout.splitlines()
        totals = [line.split() for line in lines if line.startswith("total ")]
        _, _, counted, amount = totals[0] if totals else ("", "", "0", "0")
    check_log.check(
        counted == "1",
        f"trust-office's statement from the log: {counted} request, amount due {amount}",
    )


def stream(host: HostProcess, key: str, work_class: str, session: str | None) -> StreamedAnswer:
    """Stream one answer through the unmodified OpenAI client."""
    started_at = time.monotonic()
    headers = {SESSION_HEADER: session} if session else {}
    raw = make_client(host, key).chat.completions.with_raw_response
    response = raw.create(
        model=work_class,
        messages=[{"role": "user", "content": "Draft it from the shared catalogue context"}],
        stream=True,
        extra_headers=headers,
    )
    first_at, token_count, finished = None, 0, False
    for chunk in response.parse():
        first_at = first_at or time.monotonic()
        token_count += len((chunk.choices[0].delta.content or "").split())
        finished = finished or chunk.choices[0].finish_reason == "stop"
    first_token_s = (first_at or time.monotonic()) - started_at
    return StreamedAnswer(response.headers[VERSION_HEADER], token_count, first_token_s, finished)


def make_client(host: HostProcess, key: str) -> openai.OpenAI:
    """Return an unmodified OpenAI client that calls a host."""
    return openai.OpenAI(api_key=key, base_url=f"http://{host.address}/v1", max_retries=0)


def main() -> int:
    """Run the demo; return the exit code."""
    check_log = CheckLog()
    check_log.print_line(
        "starting 3 zones x 2 hosts, 6 engines, 4 service endpoints, log, host list"
    )
    with make_fleet() as fleet:
        check_log.print_line("all processes are listening")
        run_demo(fleet, check_log)
        if "--stay-up" in sys.argv:
            stay_up(fleet)
    run_platform_demo(check_log.check)
    check_log.print_line(
        "all checks passed" if not check_log.failed_checks else f"failed: {check_log.failed_checks}"
    )
    return 1 if check_log.failed_checks else 0


def stay_up(fleet: Fleet) -> None:
    """Keep the fleet running until interrupted."""
    ready_hosts = [host for host in fleet.hosts.values() if host.is_ready()]
    print(f"hosts: {','.join(host.address for host in ready_hosts)}")
    print(f"log: {fleet.log.address}\nkey: verona-shop-key\nPress Ctrl-C to stop.", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    sys.exit(main())
