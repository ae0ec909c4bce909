"""The demo: three zones of two hosts each, real requests, and an account of what happened."""

import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import openai

from standins.fleet import EnginePlan, Fleet, HostProcess, ServicePlan, wait_until

EXAMPLES = Path(__file__).resolve().parent
QUALITY = {"larch:1": 0.86, "spruce:1": 0.95}


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
        self.say(f"{'ok   ' if holds else 'BROKEN'} {line}")
        if not holds:
            self.broken.append(line)


def make_fleet() -> Fleet:
    """Return three zones with two hosts and two engines each."""
    engines = [
        EnginePlan(f"engine-{zone}{number}", zone, {"quality": QUALITY})
        for zone in ("a", "b", "c")
        for number in (1, 2)
    ]
    services = [ServicePlan(f"loan-records-{zone}", zone, "loan-records") for zone in "abc"]
    return Fleet(engines, services)


def client_of(host: HostProcess, key: str) -> openai.OpenAI:
    """Return the unchanged OpenAI client, pointed at a host."""
    return openai.OpenAI(api_key=key, base_url=f"http://{host.address}/v1", max_retries=0)


def run_demo(fleet: Fleet, account: Account) -> None:
    """Send requests and tell what happened."""
    offset = fleet.publish((EXAMPLES / "thistledown.yaml").read_text())
    took = fleet.wait_in_force(offset)
    account.check(took < 2.0, f"configuration {offset} in force at 6 hosts after {took:.2f} s")
    fleet.wait_versions(*QUALITY)
    host_a, host_b = fleet.hosts["a1"], fleet.hosts["b1"]
    stream_report(client_of(host_a, "borough-north-key"), account)
    ask_note(client_of(host_b, "trust-office-key"), account)
    kill_host(fleet, account)


def stream_report(client: openai.OpenAI, account: Account) -> None:
    """Stream a long report in a session."""
    began = time.monotonic()
    stream = client.chat.completions.create(
        model="long-report",
        messages=[{"role": "user", "content": "Report on lending in the northern boroughs"}],
        stream=True,
        extra_headers={"X-Session-Id": "borough-report-7"},
    )
    first_at = None
    words = 0
    finished = False
    for chunk in stream:
        first_at = first_at or time.monotonic()
        words += len((chunk.choices[0].delta.content or "").split())
        finished = finished or chunk.choices[0].finish_reason == "stop"
    first_s = (first_at or began) - began
    account.check(
        finished, f"long report streamed whole: {words} tokens, first after {first_s * 1000:.0f} ms"
    )


def ask_note(client: openai.OpenAI, account: Account) -> None:
    """Ask for a quick note."""
    began = time.monotonic()
    answer = client.chat.completions.create(
        model="note", messages=[{"role": "user", "content": "A title note"}]
    )
    took_s = time.monotonic() - began
    words = len((answer.choices[0].message.content or "").split())
    account.check(words > 0, f"note answered: {words} tokens in {took_s * 1000:.0f} ms")


def kill_host(fleet: Fleet, account: Account) -> None:
    """Kill one host; the others go on."""
    fleet.hosts["c1"].kill()
    other = fleet.hosts["c2"]
    wait_until(other.is_ready, "c2 ready")
    client = client_of(other, "borough-north-key")
    answer = client.chat.completions.create(
        model="digest", messages=[{"role": "user", "content": "A branch digest"}]
    )
    words = len((answer.choices[0].message.content or "").split())
    account.check(words > 0, f"host c1 killed; c2 answered a digest of {words} tokens")


def main() -> int:
    """Run the demo; return the exit code."""
    account = Account()
    account.say("starting 3 zones x 2 hosts, 6 engines, 3 service endpoints, log, host list")
    with make_fleet() as fleet:
        account.say("all processes listen")
        run_demo(fleet, account)
        if "--stay-up" in sys.argv:
            stay_up(fleet)
    account.say("all promises held" if not account.broken else f"broken: {account.broken}")
    return 1 if account.broken else 0


def stay_up(fleet: Fleet) -> None:
    """Keep the fleet running until interrupted."""
    hosts = ",".join(host.address for host in fleet.hosts.values())
    print(f"hosts: {hosts}\nlog: {fleet.log.address}\nkey: borough-north-key\nCtrl-C ends it.")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    sys.exit(main())
