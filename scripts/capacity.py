"""Renders docs/CAPACITY.md from the committed measurements: ``make capacity``.

The page follows the measured slopes; a value without a slope is rendered as not
measured and never estimated.
"""

import json
import statistics
import sys
from dataclasses import dataclass
from pathlib import Path

from bench.figures import MEASUREMENTS
from scripts.capacity_roles import (
    BUDGETS,
    FAILURES,
    INTRODUCTION,
    LIMITS,
    ROLES,
    SIZES,
    ScaledMeasurement,
)

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
NOT_MEASURED = "not measured"
# A line fits two points exactly, so that its error is unknown.
MIN_POINTS_FOR_ERROR = 3


@dataclass(frozen=True)
class Fit:
    """A least-squares line, with the standard error of its slope."""

    intercept: float
    slope: float
    slope_error: float | None

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size

    def error_at(self, size: float) -> float | None:
        """Return the error of the value at a size that the slope's error causes."""
        return None if self.slope_error is None else self.slope_error * size


@dataclass(frozen=True)
class MeasuredSlope:
    """A measured slope, as a bench recorded it."""

    bench: str
    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    command: str

    @property
    def fit(self) -> Fit:
        """The line through the points."""
        return fit_line(self.points)

    def value_at(self, size: float) -> tuple[float, float | None]:
        """Return the value at a size and its error.

        A size that was itself measured gives the measured value, without an error.
        """
        for measured_size, value in self.points:
            if measured_size == size:
                return value, None
        return self.fit.value_at(size), self.fit.error_at(size)


@dataclass(frozen=True)
class MeasuredFigure:
    """A figure measured directly at the two-year size, as a bench recorded it."""

    value: float
    spread: float
    unit: str


def fit_line(points: tuple[tuple[float, float], ...]) -> Fit:
    """Fit a line by least squares."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    if len(points) < MIN_POINTS_FOR_ERROR:
        return Fit(intercept, slope, None)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    residual = sum((v - intercept - slope * s) ** 2 for s, v in points)
    return Fit(intercept, slope, (residual / (len(points) - 2) / spread) ** 0.5)


def read_slopes(folder: Path = MEASUREMENTS) -> dict[tuple[str, str], MeasuredSlope]:
    """Read the slopes of all benches, by bench and name."""
    slopes = {}
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            found = json.loads(line)
            if found.pop("kind") != "slope" or len(found["points"]) < 2:
                continue
            found["points"] = tuple((size, value) for size, value in found["points"])
            slope = MeasuredSlope(**found)
            slopes[(slope.bench, slope.name)] = slope
    return slopes


def read_figures(folder: Path = MEASUREMENTS) -> dict[tuple[str, str], MeasuredFigure]:
    """Read the figures of all benches, by bench and name."""
    figures = {}
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            found = json.loads(line)
            if found["kind"] == "figure":
                figure = MeasuredFigure(found["value"], found["spread"], found["unit"])
                figures[(found["bench"], found["name"])] = figure
    return figures


def format_value(value: float, unit: str, error: float | None = None) -> str:
    """Format a value with three significant digits, and its error if it is known."""
    text = _format_three_digits(value)
    if error is not None and error >= abs(value) / 1000:
        text += f" ± {_format_three_digits(error)}"
    return f"{text} {unit}".strip()


def _format_three_digits(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


class CapacityPage:
    """Renders the capacity page and resolves the measurements in its cells."""

    def __init__(
        self,
        slopes: dict[tuple[str, str], MeasuredSlope],
        figures: dict[tuple[str, str], MeasuredFigure],
    ) -> None:
        self._slopes = slopes
        self._figures = figures

    def resolve(self, measured: ScaledMeasurement) -> MeasuredFigure | None:
        """Return the value of a measurement; None if it has not been measured."""
        key = (measured.bench, measured.name)
        slope = self._slopes.get(key)
        if slope is not None:
            value, error = slope.value_at(SIZES[slope.size].value)
            found = MeasuredFigure(value, error or 0.0, slope.unit)
        elif key in self._figures:
            found = self._figures[key]
        else:
            return None
        factor, unit = measured.factor, measured.unit or found.unit
        return MeasuredFigure(found.value * factor, found.spread * factor, unit)

    def value_of(self, measured: ScaledMeasurement) -> float | None:
        """Return the number of a measurement; None if it has not been measured."""
        found = self.resolve(measured)
        return None if found is None else found.value

    def format_cell(self, content: ScaledMeasurement | str | None) -> str:
        """Format the content of one cell."""
        match content:
            case None:
                return NOT_MEASURED
            case str():
                return content
        found = self.resolve(content)
        return (
            NOT_MEASURED if found is None else format_value(found.value, found.unit, found.spread)
        )

    def render(self) -> str:
        """Return the whole page."""
        parts = [
            INTRODUCTION,
            self._render_sizes(),
            self._render_roles(),
            self._render_budgets(),
            LIMITS,
        ]
        parts += [self._render_failures(), self._render_slopes()]
        return "\n\n".join(part.strip() for part in parts) + "\n"

    def _render_sizes(self) -> str:
        rows = [[name, format_value(size.value, ""), size.origin] for name, size in SIZES.items()]
        return "## Sizes of one host\n\n" + format_table(["Size", "Value", "From"], rows)

    def _render_roles(self) -> str:
        texts = ["## Roles"]
        for role in ROLES:
            rows = [[name, self.format_cell(content)] for name, content in role.list_rows().items()]
            texts.append(f"### {role.name}\n\n" + format_table(["", "At the two-year size"], rows))
        return "\n\n".join(texts)

    def _render_budgets(self) -> str:
        rows = []
        for budget in BUDGETS:
            values = {name: self.value_of(m) for name, m in budget.parts.items()}
            known = {name: value for name, value in values.items() if value is not None}
            missing = [name for name, value in values.items() if value is None]
            total = sum(known.values())
            parts = ", ".join(f"{name} {_format_three_digits(v)}" for name, v in known.items())
            verdict = budget.format_verdict(total, missing)
            rows.append(
                [budget.name, format_value(budget.limit, budget.unit), parts or "-", verdict]
            )
        return "## Against the budget\n\n" + format_table(
            ["Budget of one host", "Limit", "Measured parts", "Verdict"], rows
        )

    def _render_failures(self) -> str:
        rows = [[f.event, f.load, f.messages, f.time] for f in FAILURES]
        return "## Failures worked through\n\n" + format_table(
            ["Event", "Load moved", "Messages", "Time"], rows
        )

    def _render_slopes(self) -> str:
        rows = []
        for slope in self._slopes.values():
            fit = slope.fit
            points = " ".join(f"({s:.4g}, {v:.4g})" for s, v in slope.points)
            per = f"{slope.unit} per {slope.size}"
            line = f"{fit.intercept:.3g} + {format_value(fit.slope, per, fit.slope_error)}"
            size = SIZES.get(slope.size)
            value = (
                format_value(slope.value_at(size.value)[0], slope.unit) if size else "no size given"
            )
            rows.append([slope.bench, slope.name, points, line, value, f"`{slope.command}`"])
        head = ["Bench", "Slope", "Points", "Fit", "At the two-year size", "Command"]
        return "## Every measured slope\n\n" + format_table(head, rows)


def render_page() -> str:
    """Render the page from the committed measurements."""
    return CapacityPage(read_slopes(), read_figures()).render()


def format_table(head: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def main() -> int:
    """Write the page, or compare it if ``--check`` is given; return the exit code."""
    text = render_page()
    if "--check" in sys.argv:
        return 0 if PAGE.exists() and PAGE.read_text() == text else 1
    PAGE.parent.mkdir(exist_ok=True)
    PAGE.write_text(text)
    print(f"wrote {PAGE.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
