"""``poplarrun bill``: prints the statement of a client account, computed from the log alone."""

import datetime
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from poplarrun.billing import Statement, StatementLine, read_statement
from poplarrun.cli._arguments import EXIT_FAILED, EXIT_INVALID, AsJson, LogAddress
from poplarrun.clients import HttpLog
from poplarrun.log import LogKeys, SignedLog


@dataclass
class Bill:
    """Print what a client account owes since a given day.

    The statement depends on the log alone: wherever the command runs, the result is the
    same for the same ends of the billing streams.
    """

    account: Annotated[str, cappa.Arg(long=True, help="The client account.")]
    since: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="ISO date or time, in UTC unless it has an offset. The whole day is included.",
        ),
    ]
    log: LogAddress
    log_key_file: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help="File with the hosts' log keys, one per line; without it no record is verified.",
        ),
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Print the statement."""
        issue_counts: Counter[str] = Counter()
        keys = LogKeys(() if self.log_key_file is None else _read_keys(self.log_key_file))
        log = SignedLog(HttpLog(self.log), keys, lambda reason: issue_counts.update([reason]))
        statement = read_statement(log, self.account, _parse_time(self.since))
        if statement is None:
            raise cappa.Exit("the log did not answer", code=EXIT_FAILED)
        if self.json:
            print(encode_statement(statement, issue_counts))
            return
        print(render_statement(statement))
        for reason, count in sorted(issue_counts.items()):
            print(f"{reason}: {count} records")


def encode_statement(statement: Statement, issue_counts: Counter[str]) -> str:
    """Return a statement as JSON, with the counts of rejected and unverified records."""
    fields = msgspec.to_builtins(statement)
    document = {**fields, "total": statement.total, "noted": issue_counts}
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def render_statement(statement: Statement) -> str:
    """Return a statement as text."""
    lines = [f"{'item':32} {'requests':>9} {'amount':>14}"]
    lines += [_render_line(line) for line in statement.lines]
    count = sum(line.count for line in statement.lines)
    lines.append(f"{'total ' + statement.account:32} {count:9d} {statement.total:14.6f}")
    lines.append(f"since {statement.first_day.isoformat()}, whole days in UTC")
    lines.append(f"billing streams read up to offsets {' '.join(map(str, statement.ends))}")
    if statement.late:
        lines.append("late bills, possibly included above already; check them by hand:")
        lines += [_render_line(line) for line in statement.late]
    if any(statement.missing_below):
        lines.append(
            "incomplete statement: the log dropped records that no snapshot includes; bills below "
            f"offsets {' '.join(map(str, statement.missing_below))} are missing"
        )
    return "\n".join(lines)


def _render_line(line: StatementLine) -> str:
    return f"{line.item:32} {line.count:9d} {line.amount:14.6f}"


def _read_keys(path: Path) -> tuple[bytes, ...]:
    try:
        return tuple(path.read_bytes().split())
    except OSError as error:
        raise cappa.Exit(f"{path}: can't be read: {error}", code=EXIT_INVALID) from error


def _parse_time(text: str) -> float:
    """Return an ISO date or time as seconds since the epoch; UTC unless it has an offset."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"--since: found {text!r}, expected a date such as 2026-12-01"
        raise cappa.Exit(message, code=EXIT_INVALID) from error
    return (time if time.tzinfo else time.replace(tzinfo=datetime.UTC)).timestamp()
