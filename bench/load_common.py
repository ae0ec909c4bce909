"""What the parts of the load bench share."""

from collections.abc import Iterable
from statistics import mean

from bench.figures import Figure

COMMAND = "python -m bench.load"
SEEDS = (1, 2, 3)


def spread(values: Iterable[float]) -> float:
    """Return half the range."""
    found = list(values)
    return (max(found) - min(found)) / 2.0


def figure(
    name: str,
    values: list[float],
    unit: str,
    target: str = "",
    holds: bool | None = None,
    baseline: float | None = None,
) -> Figure:
    """Make a figure of the values of several seeds."""
    value = round(mean(values), 5)
    near = round(spread(values), 5)
    return Figure(name, value, unit, near, baseline, target, holds)
