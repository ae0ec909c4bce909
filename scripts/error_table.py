"""Writes the table of error kinds into docs/CALLERS.md, between its begin and end markers."""

import sys
from pathlib import Path

from poplarrun.errors import ErrorKind, response_for

CALLERS_PAGE = Path(__file__).resolve().parent.parent / "docs" / "CALLERS.md"
BEGIN_MARKER = "<!-- error table: python -m scripts.error_table -->"
END_MARKER = "<!-- end of error table -->"
TABLE_HEADER = "| Code | Status | Type | Not run | Retry-After |\n| --- | --- | --- | --- | --- |"


def render_error_table() -> str:
    """Return the table as Markdown."""
    rows = []
    for kind in ErrorKind:
        answer = response_for(kind)
        retry = "-" if answer.retry_after_s is None else f"{answer.retry_after_s:.0f} s"
        cells = (f"`{kind.value}`", str(answer.status), answer.type, answer.not_run.value, retry)
        rows.append("| " + " | ".join(cells) + " |")
    return "\n".join((BEGIN_MARKER, TABLE_HEADER, *rows, END_MARKER))


def main() -> int:
    """Replace the table in the page; return the exit code."""
    text = CALLERS_PAGE.read_text()
    before, _, rest = text.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    CALLERS_PAGE.write_text(before + render_error_table() + after)
    return 0


if __name__ == "__main__":
    sys.exit(main())
