"""The report as text and as JSON."""

from dataclasses import asdict
from typing import Any

from examples.reports._firms import Firm
from examples.reports._measures import ClassMeasures, Promises

HEAD = (
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
    firm: Firm, phases: dict[str, list[ClassMeasures]], promises: Promises
) -> list[str]:
    """Return the report's lines, in Markdown."""
    lines = [f"# {firm.name}: weighs {firm.weighs} most", ""]
    for name, measures in phases.items():
        lines += [f"## {name}", "", _row(HEAD), _row(("---",) * len(HEAD))]
        lines += [_row(_cells(measured)) for measured in measures]
        lines.append("")
    return lines + _promise_lines(promises)


def _cells(found: ClassMeasures) -> tuple[str, ...]:
    refused = ", ".join(f"{reason} {count}" for reason, count in found.refused.items())
    return (
        found.work_class,
        str(found.asked),
        str(found.answered),
        f"{found.quality:.3f} ({found.target})",
        _ratio(found.cost, found.oracle_cost),
        _ratio(found.cost, found.best_cost),
        f"{found.first_ms:.0f}, {found.first_p95_ms:.0f} ({found.first_target_ms:.0f})",
        str(found.exposed),
        refused or "-",
    )


def _promise_lines(promises: Promises) -> list[str]:
    return [
        "## promises over the whole run",
        "",
        f"- {promises.operations} non-idempotent operations: {len(promises.doubled)} doubled, "
        f"{len(promises.lost)} lost, {len(promises.untrue_not_run)} untrue 'not run', "
        f"{promises.unknown} left as unknown",
        f"- {promises.sent} requests sent, {promises.answered} answered whole, "
        f"{promises.billed} billed in the log; chat amount {promises.billed_amount:.6f}, "
        f"whole answers alone come to {promises.seen_amount:.6f}",
        f"- broken: {', '.join(promises.broken) or 'none'}",
    ]


def _ratio(value: float, base: float) -> str:
    return f"{value / base:.2f}" if base else "-"


def _row(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"


def to_json(
    firm: Firm, phases: dict[str, list[ClassMeasures]], promises: Promises
) -> dict[str, Any]:
    """Return the report as plain values."""
    return {
        "firm": firm.name,
        "phases": {name: [asdict(m) for m in measures] for name, measures in phases.items()},
        "promises": asdict(promises),
        "broken": promises.broken,
    }
