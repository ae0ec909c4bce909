"""Runs the two example firms under injected faults and reports quality, cost and latency.

``python -m examples.reports [thistledown] [anellidoro]`` takes about two minutes
per firm, prints each report, writes it to ``build/reports``, and exits 1 if a
guarantee was violated.
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
from examples.reports._firms import FIRMS, OFFERED_VERSION, Firm
from examples.reports._measures import Guarantees, find_operation_violations, measure_phase
from examples.reports._observations import Outcome
from examples.reports._phases import BAD_QUALITY, PHASES, TRUE_QUALITIES
from examples.reports._tables import render_report, to_json
from standins.fleet import EnginePlan, Fleet, ServicePlan

REPORT_FOLDER = Path(__file__).resolve().parent.parent.parent / "build" / "reports"
RANDOM_SEED = 11
ENGINES_PER_ZONE = 2
STATEMENT_SINCE = "2020-01-01"
STATEMENT_TIMEOUT_S = 20.0
STATEMENT_POLL_INTERVAL_S = 1.0


def make_fleet(firm: Firm) -> Fleet:
    """Return three zones of two hosts, two engines and one endpoint of each service."""
    settings = {
        "quality": {**TRUE_QUALITIES, OFFERED_VERSION: BAD_QUALITY},
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
        ServicePlan(f"{load.service}-{zone}", zone, load.service)
        for load in firm.operation_loads
        for zone in "abc"
    ]
    return Fleet(engines, services)


def run_firm(firm: Firm) -> list[str]:
    """Run all phases of a firm and write its report; return the violations."""
    with make_fleet(firm) as fleet:
        fleet.wait_in_force(fleet.publish(firm.document_text))
        fleet.wait_versions(*TRUE_QUALITIES)
        callers = run_phases(firm, fleet)
        phases = {p.name: measure_phase(firm, p, callers.chats) for p in PHASES}
        guarantees = check_guarantees(firm, fleet, callers)
    lines = render_report(firm, phases, guarantees)
    print("\n".join(lines), flush=True)
    REPORT_FOLDER.mkdir(parents=True, exist_ok=True)
    (REPORT_FOLDER / f"{firm.name}.md").write_text("\n".join(lines) + "\n")
    (REPORT_FOLDER / f"{firm.name}.json").write_text(
        json.dumps(to_json(firm, phases, guarantees), indent=2)
    )
    return guarantees.violations


def run_phases(firm: Firm, fleet: Fleet) -> Callers:
    """Run the callers through all phases; return them with their observations."""
    balancer = Balancer(list(fleet.hosts.values()))
    balancer.start()
    callers = Callers(firm, balancer, random.Random(RANDOM_SEED))
    for phase in PHASES:
        print(f"{firm.name}: {phase.name}, {phase.duration_s:.0f} s", file=sys.stderr, flush=True)
        callers.phase = phase.name
        fault = threading.Thread(target=phase.inject_fault, args=(fleet, firm))
        fault.start()
        callers.run(phase.duration_s)
        fault.join()
    callers.wait_for_answers()
    balancer.stop()
    return callers


def check_guarantees(firm: Firm, fleet: Fleet, callers: Callers) -> Guarantees:
    """Compare the callers' observations with the services' effects and the bills in the log."""
    effects = Counter(
        str(msgspec.json.decode(event["body"])["key"])
        for plan in fleet.services
        for event in fleet.endpoints[plan.name].events("effect")
    )
    doubled, lost, untrue_not_run = find_operation_violations(callers.operations, effects)
    complete = [chat for chat in callers.chats if chat.outcome is Outcome.ANSWERED]
    answered = len(complete) + sum(o.outcome is Outcome.ANSWERED for o in callers.operations)
    billed, amount = wait_for_statement(firm, fleet, answered)
    return Guarantees(
        operations=len(callers.operations),
        doubled=doubled,
        lost=lost,
        untrue_not_run=untrue_not_run,
        unknown=sum(o.outcome is Outcome.UNKNOWN for o in callers.operations),
        sent=len(callers.chats) + len(callers.operations),
        answered=answered,
        billed=billed,
        billed_amount=amount,
        seen_amount=sum(chat.cost for chat in complete),
    )


def wait_for_statement(firm: Firm, fleet: Fleet, answered: int) -> tuple[int, float]:
    """Wait until all answers are billed; return the number of bills and the chat total."""
    deadline = time.monotonic() + STATEMENT_TIMEOUT_S
    count, amount = read_statement(firm, fleet)
    while count < answered and time.monotonic() < deadline:
        time.sleep(STATEMENT_POLL_INTERVAL_S)
        count, amount = read_statement(firm, fleet)
    return count, amount


def read_statement(firm: Firm, fleet: Fleet) -> tuple[int, float]:
    """Return the number of bills and the chat total from the account's statement."""
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
    """Run the named firms, or all; return the exit code."""
    names = sys.argv[1:] or list(FIRMS)
    violations = [line for name in names for line in run_firm(FIRMS[name])]
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
