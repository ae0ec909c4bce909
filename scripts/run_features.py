"""Runs behave features in parallel and prints a summary line.

Failures of scenarios in KNOWN-RED.txt (``feature file: scenario name | ...``) are
printed, but do not affect the exit code.
"""

import itertools
import json
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 11
# Scenario, command and seed, what was seen, cause, issue.
KNOWN_RED_FIELDS = 5
ISSUE_PATTERN = re.compile(r"\bissue \d+\b")
MAX_PARALLEL_FEATURES = 4
# Features that fill the machine, or measure memory, run one by one after the others.
ALONE_TAG = "@alone"
FEATURE_TIMEOUT_S = 280


@dataclass(frozen=True)
class Outcome:
    """The result of one scenario; a failed run of a file counts as one, too."""

    name: str
    passed: bool
    seconds: float


@dataclass(frozen=True)
class FeatureRun:
    """The results of one feature file, with its output."""

    feature: str
    outcomes: list[Outcome]
    output: str


def run_feature(path: Path) -> FeatureRun:
    """Run one feature file in a process of its own."""
    name = str(path.relative_to(ROOT))
    with tempfile.TemporaryDirectory(prefix="poplarrun-features-") as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-summary", str(path)]
        command += ["--format", "json", "--outfile", str(report), "--format", "plain"]
        try:
            process = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
            features = json.loads(report.read_text())
        except (subprocess.TimeoutExpired, OSError, ValueError) as error:
            return FeatureRun(name, [Outcome(f"{name}: whole file", False, 0.0)], repr(error))
    outcomes = [
        _create_outcome(name, element)
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if not outcomes or (process.returncode != 0 and all(outcome.passed for outcome in outcomes)):
        outcomes.append(Outcome(f"{name}: whole file", False, 0.0))
    return FeatureRun(name, outcomes, process.stdout + process.stderr)


def _create_outcome(feature: str, element: dict) -> Outcome:
    results = [step.get("result", {}) for step in element["steps"]]
    seconds = sum(result.get("duration", 0.0) for result in results)
    passed = bool(results) and all(result.get("status") == "passed" for result in results)
    return Outcome(f"{feature}: {element['name'].strip()}", passed, seconds)


def read_known_red() -> set[str]:
    """Return the scenarios that are known to fail, as ``feature file: scenario name``.

    Raises
    ------
    ValueError
        If there are too many, one is listed twice, or one doesn't tell all that it must.
    """
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise ValueError(f"{len(lines)} scenarios, at most {MAX_KNOWN_RED} may be listed")
    entries = [[field.strip() for field in line.split(" | ")] for line in lines]
    for entry in entries:
        if len(entry) != KNOWN_RED_FIELDS or not all(entry):
            raise ValueError(f"not {KNOWN_RED_FIELDS} fields: {entry[0]}")
        if not ISSUE_PATTERN.search(entry[-1]):
            raise ValueError(f"no issue: {entry[0]}")
    names = {entry[0] for entry in entries}
    if len(names) < len(entries):
        raise ValueError("a scenario is listed twice")
    return names


def main() -> int:
    """Run the given feature files, or all of them; return the exit code."""
    arguments = [Path(argument).resolve() for argument in sys.argv[1:]]
    paths = arguments or sorted(ROOT.glob("features/**/*.feature"))
    try:
        known_red = read_known_red()
    except ValueError as error:
        print(f"{KNOWN_RED.name}: {error}")
        return 1
    passed = failed = 0
    alone = [path for path in paths if path.read_text().startswith(ALONE_TAG)]
    together = [path for path in paths if path not in alone]
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        for run in itertools.chain(pool.map(run_feature, together), map(run_feature, alone)):
            failures = [o for o in run.outcomes if not o.passed]
            seconds = sum(outcome.seconds for outcome in run.outcomes)
            print(f"{run.feature}: {len(run.outcomes)} scenarios, {seconds:.1f} s", flush=True)
            for outcome in failures:
                print(f"  {'known red' if outcome.name in known_red else 'FAILED'}: {outcome.name}")
            if failures:
                print(run.output)
            passed += len(run.outcomes) - len(failures)
            failed += sum(outcome.name not in known_red for outcome in failures)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
