"""Runs seeded fault schedules and checks every history: ``make check-histories SEEDS=200``."""

import argparse
import logging
import sys
import time
from collections import Counter

from standins.histories import AnswerKind, ChatEnd, History, run_chats, run_schedule


def main() -> int:
    """Run the schedules and print counts and violations; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    # The schedules break streams on purpose; the warnings about it would bury the report.
    logging.disable(logging.WARNING)
    started = time.monotonic()
    injected: Counter[str] = Counter()
    answers: Counter[str] = Counter()
    operations = effects = bills = unreplicated = lost = violations = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = run_schedule(seed)
        injected += result.injected
        answers += Counter(answer.kind.value for answer in result.history.answers)
        operations += len(result.history.invokes)
        effects += len(result.history.effects)
        bills += len(result.history.bills or ())
        unreplicated += len(result.history.unreplicated_bills)
        lost += _count_lost_bills(result.history)
        violations += len(result.violations)
        for violation in result.violations:
            print(
                f"seed {seed} ({', '.join(result.faults)}): {violation.rule}: {violation.subject}"
            )
    print(f"schedules {arguments.seeds}, in {time.monotonic() - started:.1f} s")
    print(f"faults injected {injected.total()}:")
    for name, count in sorted(injected.items()):
        print(f"  {count:6d} {name}")
    print(
        f"operations {operations}, effects {effects}, bills {bills}, "
        f"kept by the host alone {unreplicated}"
    )
    print(f"bills lost with every host that held them {lost}")
    print("answers " + ", ".join(f"{kind} {count}" for kind, count in sorted(answers.items())))
    violations += _check_chats(arguments.first, arguments.seeds)
    print(f"violations {violations}")
    return 1 if violations else 0


def _check_chats(first: int, seeds: int) -> int:
    """Run the schedules of chats and print counts and violations; return how many violations."""
    started = time.monotonic()
    injected: Counter[str] = Counter()
    ends: Counter[str] = Counter()
    excused: Counter[str] = Counter()
    invokes = attempts = sessions = bills = violations = 0
    for seed in range(first, first + seeds):
        result = run_chats(seed)
        history = result.history
        injected += result.injected
        ends += Counter(answer.end.value for answer in history.answers)
        excused += Counter(result.excused.values())
        invokes += len(history.invokes)
        attempts += len(history.attempts_granted)
        sessions += len({(i.account, i.session) for i in history.invokes if i.session})
        bills += len(history.bills)
        violations += len(result.violations)
        for violation in result.violations:
            print(
                f"chats, seed {seed} ({', '.join(result.faults)}): "
                f"{violation.rule}: {violation.subject}"
            )
    print(f"schedules of chats {seeds}, in {time.monotonic() - started:.1f} s")
    print(f"faults injected {injected.total()}, of {len(injected)} kinds")
    print(f"chats {invokes}, attempts {attempts}, sessions {sessions}, bills {bills}")
    print("ends " + ", ".join(f"{end.value} {ends[end.value]}" for end in ChatEnd))
    causes = ", ".join(f"{cause} {count}" for cause, count in sorted(excused.items()))
    print(f"sessions with two versions {excused.total()}, their homes: {causes or '-'}")
    return violations


def _count_lost_bills(history: History) -> int:
    """Count the requests that ran and have no bill, including those that the rules excuse."""
    billed = {bill.request_id for bill in history.bills or ()}
    ran = [answer for answer in history.answers if answer.kind is AnswerKind.RAN]
    return sum(answer.request_id not in billed for answer in ran)


if __name__ == "__main__":
    sys.exit(main())
