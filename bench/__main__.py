"""Runs every bench, or those that are named, and writes one report: ``python -m bench``.

``BASE=<commit>`` runs the same benches of an earlier commit too, in a
temporary git worktree, and puts their figures beside these. ``CHECK=1`` exits 1
where a target is missed.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.figures import CHECK_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
REPORT = ROOT / "build" / "bench"
BENCHES = (
    "path",
    "versions",
    "load",
    "hosts",
    "outcomes",
    "config",
    "orders",
    "gateway",
    "gateway_load",
    "peers",
)
BASE_VARIABLE = "BASE"
BENCH_TIMEOUT_S = 240
SPINS = 20
SPIN_ROUNDS = 300_000
# An idle machine repeats a fixed loop within a few hundredths.
QUIET_SPREAD = 0.15


@dataclass(frozen=True)
class BenchRun:
    """What became of one bench.

    Attributes
    ----------
    figures : dict of str to dict
        The figures by name.
    failure : str
        Why there are none; empty when it ran.
    """

    bench: str
    figures: dict[str, dict[str, Any]]
    seconds: float
    failure: str = ""


def measure_noise() -> float:
    """Return the spread of a fixed loop: (slowest - fastest) / fastest, without outliers."""
    times = []
    for _ in range(SPINS):
        began = time.perf_counter()
        for _ in range(SPIN_ROUNDS):
            pass
        times.append(time.perf_counter() - began)
    kept = sorted(times)[1:-1]
    return (kept[-1] - kept[0]) / kept[0]


def run_bench(bench: str, root: Path) -> BenchRun:
    """Run one bench of a checkout as a process of its own."""
    began = time.monotonic()
    environment = {k: v for k, v in os.environ.items() if k != CHECK_VARIABLE}
    environment["PYTHONPATH"] = str(root)
    try:
        done = subprocess.run(
            [sys.executable, "-m", f"bench.{bench}"],
            cwd=root,
            env=environment,
            capture_output=True,
            text=True,
            timeout=BENCH_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return BenchRun(bench, {}, time.monotonic() - began, f"not within {BENCH_TIMEOUT_S} s")
    seconds = time.monotonic() - began
    if done.returncode != 0:
        return BenchRun(bench, {}, seconds, done.stderr.strip().splitlines()[-1])
    return BenchRun(
        bench, read_figures(root / "bench" / "measurements" / f"{bench}.jsonl"), seconds
    )


def read_figures(path: Path) -> dict[str, dict[str, Any]]:
    """Read the figures that a bench wrote."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return {line["name"]: line for line in lines if line["kind"] == "figure"}


def run_base(commit: str, benches: list[str]) -> dict[str, BenchRun]:
    """Run the benches of an earlier commit in a worktree of its own."""
    with tempfile.TemporaryDirectory(prefix="poplarrun-base-") as folder:
        root = Path(folder) / "base"
        subprocess.run(["git", "worktree", "add", "--detach", str(root), commit], check=True)
        try:
            present = [b for b in benches if (root / "bench" / f"{b}.py").exists()]
            return {bench: run_bench(bench, root) for bench in present}
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(root)], check=True)


def render_text(runs: list[BenchRun], base: dict[str, BenchRun], noise: float) -> str:
    """Write the report for people."""
    lines = [f"spread of a fixed loop {noise:.0%}" + _judge_noise(noise), ""]
    for run in runs:
        lines.append(f"{run.bench} ({run.seconds:.0f} s)")
        if run.failure:
            lines.append(f"  FAILED: {run.failure}")
        before = base[run.bench].figures if run.bench in base else {}
        for name, figure in run.figures.items():
            lines.append("  " + _figure_line(figure, before.get(name)))
        lines.append("")
    return "\n".join(lines)


def _judge_noise(noise: float) -> str:
    if noise <= QUIET_SPREAD:
        return ": the machine is quiet"
    return ": THE MACHINE IS NOISY, latencies and processor times are not to be relied on"


def _figure_line(figure: dict[str, Any], before: dict[str, Any] | None) -> str:
    holds = {True: "holds", False: "MISSED", None: ""}[figure["holds"]]
    parts = [f"{figure['name']}: {figure['value']:g} ± {figure['spread']:g} {figure['unit']}"]
    if figure["baseline"] is not None:
        parts.append(f"baseline {figure['baseline']:g}")
    if before is not None:
        parts.append(f"base commit {before['value']:g}")
    if figure["target"]:
        parts.append(f"target {figure['target']} {holds}")
    return ", ".join(parts)


def main() -> int:
    """Run everything; return the exit code."""
    benches = sys.argv[1:] or list(BENCHES)
    unknown = sorted(set(benches) - set(BENCHES))
    if unknown:
        print(f"no bench {', '.join(unknown)}; there are {', '.join(BENCHES)}", file=sys.stderr)
        return 2
    noise = measure_noise()
    runs = []
    for bench in benches:
        print(f"running bench.{bench}", file=sys.stderr, flush=True)
        runs.append(run_bench(bench, ROOT))
    commit = os.environ.get(BASE_VARIABLE, "")
    base = run_base(commit, benches) if commit else {}
    text = render_text(runs, base, max(noise, measure_noise()))
    print(text)
    REPORT.mkdir(parents=True, exist_ok=True)
    (REPORT / "report.txt").write_text(text)
    whole = {
        "noise": noise,
        "base_commit": commit,
        "benches": {run.bench: list(run.figures.values()) for run in runs},
        "base": {name: list(run.figures.values()) for name, run in base.items()},
        "failed": {run.bench: run.failure for run in runs if run.failure},
    }
    (REPORT / "report.json").write_text(json.dumps(whole, indent=2))
    return judge(runs)


def judge(runs: list[BenchRun]) -> int:
    """Return 1 where a bench failed, and with ``CHECK=1`` where a target is missed."""
    missed = [
        f"{run.bench}.{name}"
        for run in runs
        for name, figure in run.figures.items()
        if figure["holds"] is False
    ]
    if missed:
        print(f"missed: {', '.join(missed)}", file=sys.stderr)
    failed = any(run.failure for run in runs)
    return 1 if failed or (missed and os.environ.get(CHECK_VARIABLE) == "1") else 0


if __name__ == "__main__":
    sys.exit(main())
