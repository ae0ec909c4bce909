"""Cost at the quality target, exposure to bad versions, and the price of a decision.

No cluster: the decision code itself, in simulated time, against hidden truth.
"""

import sys

from bench.figures import report
from bench.version_cascades import bench_cascades
from bench.version_costs import bench_costs
from bench.version_decisions import bench_decisions, measure_summaries
from bench.version_exposure import bench_exposure
from bench.version_sessions import bench_sessions


def main() -> int:
    """Run all parts, or those that are named."""
    parts = {
        "costs": bench_costs,
        "cascades": bench_cascades,
        "exposure": bench_exposure,
        "decisions": bench_decisions,
        "sessions": bench_sessions,
    }
    named = sys.argv[1:] or list(parts)
    figures = [figure for name in named for figure in parts[name]()]
    if len(named) < len(parts):
        for figure in figures:
            print(figure)
        return 0
    return report("versions", figures, measure_summaries())


if __name__ == "__main__":
    sys.exit(main())
