"""Benchmarks version selection: cost at the quality target, exposure to bad versions, overhead.

Runs the decision code in simulated time, without a cluster, against known true qualities.
"""

import sys

from bench.figures import report
from bench.version_cascades import bench_cascades
from bench.version_costs import bench_costs
from bench.version_decisions import bench_decisions, measure_summaries
from bench.version_exposure import bench_exposure
from bench.version_sessions import bench_sessions


def main() -> int:
    """Run all parts, or those named as arguments; return the exit code."""
    parts = {
        "costs": bench_costs,
        "cascades": bench_cascades,
        "exposure": bench_exposure,
        "decisions": bench_decisions,
        "sessions": bench_sessions,
    }
    selected = sys.argv[1:] or list(parts)
    figures = [figure for name in selected for figure in parts[name]()]
    if len(selected) < len(parts):
        for figure in figures:
            print(figure)
        return 0
    return report("versions", figures, measure_summaries())


if __name__ == "__main__":
    sys.exit(main())
