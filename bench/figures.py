"""The format in which every benchmark reports its figures."""

import json
import os
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

MEASUREMENTS = Path(__file__).resolve().parent / "measurements"
CHECK_VARIABLE = "CHECK"


@dataclass(frozen=True)
class Figure:
    """One measured figure; the field names are the keys of its JSON line.

    Attributes
    ----------
    name : str
        Unique within its benchmark.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    spread : float
        Half the range over the repetitions or seeds.
    baseline : float, optional
        The same figure of the baseline, measured in the same run.
    target : str
        The required bound, in words; empty if there is none.
    holds : bool, optional
        Whether the target is met; None without a target.
    """

    name: str
    value: float
    unit: str
    spread: float = 0.0
    baseline: float | None = None
    target: str = ""
    holds: bool | None = None


@dataclass(frozen=True)
class Slope:
    """Measurements of a figure at several sizes, from which docs/CAPACITY.md extrapolates.

    Attributes
    ----------
    name : str
        Unique within its benchmark.
    size : str
        The varied quantity, such as ``hosts`` or ``endpoints``.
    unit : str
        Unit of the figure.
    points : tuple of (float, float)
        Pairs of size and value.
    command : str
        The command that measured it.
    """

    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    command: str


def report(bench: str, figures: list[Figure], slopes: list[Slope] | None = None) -> int:
    """Print one JSON line per figure, write them to bench/measurements, return the exit code.

    The exit code is 1 if a target is missed and the environment has ``CHECK=1``.
    """
    lines = [json.dumps({"bench": bench, "kind": "figure", **asdict(f)}) for f in figures]
    lines += [json.dumps({"bench": bench, "kind": "slope", **asdict(s)}) for s in slopes or []]
    print("\n".join(lines), flush=True)
    MEASUREMENTS.mkdir(exist_ok=True)
    (MEASUREMENTS / f"{bench}.jsonl").write_text("\n".join(lines) + "\n")
    missed = [figure.name for figure in figures if figure.holds is False]
    if missed:
        print(f"missed: {', '.join(missed)}", file=sys.stderr)
    return 1 if missed and os.environ.get(CHECK_VARIABLE) == "1" else 0
