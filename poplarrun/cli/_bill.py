"""``poplarrun bill``: a client account's statement, out of the log alone."""

import datetime
from dataclasses import dataclass
from typing import Annotated

import cappa

from poplarrun.billing import Statement, read_statement
from poplarrun.cli._arguments import EXIT_FAILED, EXIT_INVALID, LogAddress
from poplarrun.platform import HttpLog


@dataclass
class Bill:
    """Print what a client account owes from a time on.

    The statement depends on the log alone: run anywhere at the same ends of the
    billing streams, it is the same.
    """

    account: Annotated[str, cappa.Arg(long=True, help="The client account.")]
    since: Annotated[
        str, cappa.Arg(long=True, help="Date or time in ISO form; UTC when it names no zone.")
    ]
    log: LogAddress

    def __call__(self) -> None:
        """Print the statement."""
        statement = read_statement(HttpLog(self.log), self.account, _read_time(self.since))
        if statement is None:
            raise cappa.Exit("the log did not answer", code=EXIT_FAILED)
        print(render_statement(statement))


def render_statement(statement: Statement) -> str:
    """Return a statement as text."""
    lines = [f"{'item':32} {'requests':>9} {'amount':>14}"]
    lines += [f"{line.item:32} {line.count:9d} {line.amount:14.6f}" for line in statement.lines]
    count = sum(line.count for line in statement.lines)
    lines.append(f"{'total ' + statement.account:32} {count:9d} {statement.total:14.6f}")
    lines.append(f"stream ends {' '.join(map(str, statement.ends))}")
    if any(statement.kept_from):
        lines.append(
            "the log has dropped the oldest records: bills of before "
            f"offsets {' '.join(map(str, statement.kept_from))} are missing"
        )
    return "\n".join(lines)


def _read_time(text: str) -> float:
    try:
        at = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise cappa.Exit(f"--since: {error}", code=EXIT_INVALID) from error
    return (at if at.tzinfo else at.replace(tzinfo=datetime.UTC)).timestamp()
