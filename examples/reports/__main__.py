"""Runs the firms' examples under the brief's faults and reports their measures.

``python -m examples.reports [thistledown] [anellidoro]`` takes about two minutes
a firm, prints each report, keeps it in ``build/reports`` and exits 1 where a
promise did not hold.
"""

import json
import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import msgspec

from examples.reports._balancer import Balancer
from examples.reports._callers import Callers
from examples.reports._firms import FIRMS, OFFERED, Firm
from examples.reports._measures import Promises, check_operations, measure_phase
from examples.reports._observations import Outcome
from examples.reports._phases import BAD_QUALITY, GOOD, PHASES
from examples.reports._tables import render_report, to_json
from standins.fleet import EnginePlan, Fleet, ServicePlan

FOLDER = Path(__file__).resolve().parent.parent.parent / "build" / "reports"
SEED = 11
ENGINES_PER_ZONE = 2
STATEMENT_SINCE = "2020-01-01"
SETTLE_S = 20.0
STATEMENT_POLL_S = 1.0


def make_fleet(firm: Firm) -> Fleet:
    """Return three zones of two hosts, two engines and one endpoint of each service."""
    settings = {
        "quality": {**GOOD, OFFERED: BAD_QUALITY},
        "tokens_per_s": 400.0,
        "capacity": 8,
        "answer_tokens": 200,
    }
    engines = [
        EnginePlan(f"engine-{zone}{number}", zone, settings)
        for zone in "abc"
        for number in range(1, ENGINES_PER_ZONE + 1)
    ]
    services = [
        ServicePlan(f"{operations.service}-{zone}", zone, operations.service)
        for operations in firm.operations
        for zone in "abc"
    ]
    return Fleet(engines, services)


def run_firm(firm: Firm) -> list[str]:
    """Run all phases of a firm and write its report; return what did not hold."""
    with make_fleet(firm) as fleet:
        fleet.wait_in_force(fleet.publish(firm.text))
        fleet.wait_versions(*GOOD)
        callers = run_phases(firm, fleet)
        phases = {p.name: measure_phase(firm, p, callers.chats) for p in PHASES}
        promises = check_promises(firm, fleet, callers)
    lines = render_report(firm, phases, promises)
    print("\n".join(lines), flush=True)
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{firm.name}.md").write_text("\n".join(lines) + "\n")
    (FOLDER / f"{firm.name}.json").write_text(json.dumps(to_json(firm, phases, promises), indent=2))
    return promises.broken


def run_phases(firm: Firm, fleet: Fleet) -> Callers:
    """Let callers go on through all phases; return what they saw."""
    balancer = Balancer(list(fleet.hosts.values()))
    balancer.start()
    callers = Callers(firm, balancer, random.Random(SEED))
    for phase in PHASES:
        print(f"{firm.name}: {phase.name}, {phase.seconds:.0f} s", file=sys.stderr, flush=True)
        callers.phase = phase.name
        fault = threading.Thread(target=phase.cause, args=(fleet, firm))
        fault.start()
        callers.run(phase.seconds)
        fault.join()
    callers.finish()
    balancer.stop()
    return callers


def check_promises(firm: Firm, fleet: Fleet, callers: Callers) -> Promises:
    """Compare what callers saw with the services' effects and with the log's bills."""
    effects = Counter(
        str(msgspec.json.decode(event["body"])["key"])
        for plan in fleet.services
        for event in fleet.endpoints[plan.name].events("effect")
    )
    doubled, lost, denied = check_operations(callers.operations, effects)
    whole = [chat for chat in callers.chats if chat.outcome is Outcome.ANSWERED]
    answered = len(whole) + sum(o.outcome is Outcome.ANSWERED for o in callers.operations)
    billed, amount = await_statement(firm, fleet, answered)
    return Promises(
        operations=len(callers.operations),
        doubled=doubled,
        lost=lost,
        untrue_not_run=denied,
        unknown=sum(o.outcome is Outcome.UNKNOWN for o in callers.operations),
        sent=len(callers.chats) + len(callers.operations),
        answered=answered,
        billed=billed,
        billed_amount=amount,
        seen_amount=sum(chat.cost for chat in whole),
    )


def await_statement(firm: Firm, fleet: Fleet, answered: int) -> tuple[int, float]:
    """Return the bills in the log and the sum for chat, once all answers are billed."""
    deadline = time.monotonic() + SETTLE_S
    count, amount = read_statement(firm, fleet)
    while count < answered and time.monotonic() < deadline:
        time.sleep(STATEMENT_POLL_S)
        count, amount = read_statement(firm, fleet)
    return count, amount


def read_statement(firm: Firm, fleet: Fleet) -> tuple[int, float]:
    """Read the account's statement with the command line."""
    arguments = ("bill", "--account", firm.account, "--since", STATEMENT_SINCE)
    lines = fleet.run_cli(*arguments, "--log", fleet.log.address).stdout.splitlines()
    count, amount = 0, 0.0
    for line in lines:
        cells = line.split()
        if cells and cells[0] == "total":
            count = int(cells[2])
        elif cells and ":" in cells[0]:
            amount += float(cells[2])
    return count, amount


def main() -> int:
    """Run the named firms, all without names; return the exit code."""
    names = sys.argv[1:] or list(FIRMS)
    broken = [what for name in names for what in run_firm(FIRMS[name])]
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
