"""Helpers shared by the modules of the load benchmark."""

from collections.abc import Iterable
from statistics import mean

from bench.figures import Figure

COMMAND = "python -m bench.load"
SEEDS = (1, 2, 3)


def spread(values: Iterable[float]) -> float:
    """Return half the range of the values."""
    samples = list(values)
    return (max(samples) - min(samples)) / 2.0


def make_figure(
    name: str,
    values: list[float],
    unit: str,
    target: str = "",
    holds: bool | None = None,
    baseline: float | None = None,
) -> Figure:
    """Return a figure with the mean and the half range of the values of several seeds."""
    average = round(mean(values), 5)
    half_range = round(spread(values), 5)
    return Figure(name, average, unit, half_range, baseline, target, holds)
