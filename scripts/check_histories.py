"""Runs seeded schedules of faults and checks every history: ``make check-histories SEEDS=200``."""

import argparse
import sys
import time
from collections import Counter

from standins.histories import AnswerKind, History, run_schedule


def main() -> int:
    """Run the schedules; print what was done and each violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    began = time.monotonic()
    injected: Counter[str] = Counter()
    answers: Counter[str] = Counter()
    operations = effects = bills = alone = lost = broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = run_schedule(seed)
        injected += result.injected
        answers += Counter(answer.kind.value for answer in result.history.answers)
        operations += len(result.history.invokes)
        effects += len(result.history.effects)
        bills += len(result.history.bills or ())
        alone += len(result.history.kept_alone)
        lost += _count_lost_bills(result.history)
        broken += len(result.violations)
        for violation in result.violations:
            print(
                f"seed {seed} ({', '.join(result.faults)}): {violation.rule}: {violation.subject}"
            )
    print(f"schedules {arguments.seeds}, in {time.monotonic() - began:.1f} s")
    print(f"faults injected {injected.total()}:")
    for name, count in sorted(injected.items()):
        print(f"  {count:6d} {name}")
    print(
        f"operations {operations}, effects {effects}, bills {bills}, kept by the host alone {alone}"
    )
    print(f"bills lost with every host that held them {lost}")
    print("answers " + ", ".join(f"{kind} {count}" for kind, count in sorted(answers.items())))
    print(f"violations {broken}")
    return 1 if broken else 0


def _count_lost_bills(history: History) -> int:
    """Count what was answered and isn't billed; the rules excuse only what they name."""
    billed = {bill.request_id for bill in history.bills or ()}
    ran = [answer for answer in history.answers if answer.kind is AnswerKind.RAN]
    return sum(answer.request_id not in billed for answer in ran)


if __name__ == "__main__":
    sys.exit(main())
