"""``poplarrun bill``: a client account's statement, out of the log alone."""

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
    """Print what a client account owes from a time on.

    The statement depends on the log alone: run anywhere at the same ends of the
    billing streams, it is the same.
    """

    account: Annotated[str, cappa.Arg(long=True, help="The client account.")]
    since: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Date or time in ISO form; UTC when it names no zone. Its whole day counts.",
        ),
    ]
    log: LogAddress
    log_key_file: Annotated[
        Path | None,
        cappa.Arg(
            long=True, help="File with the hosts' log keys, one a line; else none is checked."
        ),
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Print the statement."""
        noted: Counter[str] = Counter()
        keys = LogKeys(() if self.log_key_file is None else _read_keys(self.log_key_file))
        log = SignedLog(HttpLog(self.log), keys, lambda reason: noted.update([reason]))
        statement = read_statement(log, self.account, _read_time(self.since))
        if statement is None:
            raise cappa.Exit("the log did not answer", code=EXIT_FAILED)
        if self.json:
            print(encode_statement(statement, noted))
            return
        print(render_statement(statement))
        for reason, count in sorted(noted.items()):
            print(f"{reason}: {count} records")


def encode_statement(statement: Statement, noted: Counter[str]) -> str:
    """Return a statement as JSON, with the records that were left out or not checked."""
    fields = msgspec.to_builtins(statement)
    whole = {**fields, "total": statement.total, "noted": noted}
    return msgspec.json.format(msgspec.json.encode(whole)).decode()


def render_statement(statement: Statement) -> str:
    """Return a statement as text."""
    lines = [f"{'item':32} {'requests':>9} {'amount':>14}"]
    lines += [_render_line(line) for line in statement.lines]
    count = sum(line.count for line in statement.lines)
    lines.append(f"{'total ' + statement.account:32} {count:9d} {statement.total:14.6f}")
    lines.append(f"from {statement.first_day.isoformat()} on, whole days in UTC")
    lines.append(f"stream ends {' '.join(map(str, statement.ends))}")
    if statement.late:
        lines.append("came too late to tell whether they are counted above, to be looked at:")
        lines += [_render_line(line) for line in statement.late]
    if any(statement.missing_below):
        lines.append(
            "the log has dropped records before a snapshot told of them: bills of before "
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


def _read_time(text: str) -> float:
    try:
        at = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"--since: found {text!r}, a date such as 2026-12-01 is needed"
        raise cappa.Exit(message, code=EXIT_INVALID) from error
    return (at if at.tzinfo else at.replace(tzinfo=datetime.UTC)).timestamp()
