"""Renders the report as Markdown and as JSON."""

from dataclasses import asdict
from typing import Any

from examples.reports._firms import Firm
from examples.reports._measures import ClassMeasures, Guarantees

COLUMNS = (
    "class",
    "asked",
    "answered",
    "quality (target)",
    "cost / oracle",
    "cost / best",
    "first token ms p50, p95 (target)",
    "exposed",
    "refused",
)


def render_report(
    firm: Firm, phases: dict[str, list[ClassMeasures]], guarantees: Guarantees
) -> list[str]:
    """Return the lines of the report, in Markdown."""
    lines = [f"# {firm.name}: top priority is {firm.top_priority}", ""]
    for name, measures in phases.items():
        lines += [f"## {name}", "", _format_row(COLUMNS), _format_row(("---",) * len(COLUMNS))]
        lines += [_format_row(_format_cells(m)) for m in measures]
        lines.append("")
    return lines + _guarantee_lines(guarantees)


def _format_cells(measures: ClassMeasures) -> tuple[str, ...]:
    refused = ", ".join(f"{reason} {count}" for reason, count in measures.refused.items())
    return (
        measures.work_class,
        str(measures.asked),
        str(measures.answered),
        f"{measures.quality:.3f} ({measures.target})",
        _format_ratio(measures.cost, measures.oracle_cost),
        _format_ratio(measures.cost, measures.best_cost),
        f"{measures.first_ms:.0f}, {measures.first_p95_ms:.0f} ({measures.first_target_ms:.0f})",
        str(measures.exposed),
        refused or "-",
    )


def _guarantee_lines(guarantees: Guarantees) -> list[str]:
    return [
        "## guarantees over the whole run",
        "",
        f"- {guarantees.operations} non-idempotent operations: {len(guarantees.doubled)} doubled, "
        f"{len(guarantees.lost)} lost, {len(guarantees.untrue_not_run)} untrue 'not run', "
        f"{guarantees.unknown} left as unknown",
        f"- {guarantees.sent} requests sent, {guarantees.answered} answered completely, "
        f"{guarantees.billed} billed in the log; chat amount {guarantees.billed_amount:.6f}, "
        f"complete answers alone come to {guarantees.seen_amount:.6f}",
        f"- violated: {', '.join(guarantees.violations) or 'none'}",
    ]


def _format_ratio(value: float, base: float) -> str:
    return f"{value / base:.2f}" if base else "-"


def _format_row(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"


def to_json(
    firm: Firm, phases: dict[str, list[ClassMeasures]], guarantees: Guarantees
) -> dict[str, Any]:
    """Return the report as values that can be encoded as JSON."""
    return {
        "firm": firm.name,
        "phases": {name: [asdict(m) for m in measures] for name, measures in phases.items()},
        "promises": asdict(guarantees),
        "broken": guarantees.violations,
    }
