"""A client account's statement, out of the log alone."""

import datetime
import math
from collections import defaultdict
from dataclasses import dataclass

from poplarrun.billing._reading import ShardReading
from poplarrun.billing._records import SHARDS, stream_of
from poplarrun.billing._totals import DAY_S, UNITS
from poplarrun.log import Log, Page

READ_LIMIT = 500
EPOCH = datetime.date(1970, 1, 1)


@dataclass(frozen=True)
class StatementLine:
    """The bills of one item together."""

    item: str
    count: int
    amount: float


@dataclass(frozen=True)
class Statement:
    """What an account owes from a day on.

    Attributes
    ----------
    first_day : date
        The first day that counts, in UTC.
    lines : tuple of StatementLine
        One for each item.
    late : tuple of StatementLine
        Bills that came too late to tell whether they had been counted before;
        they are not in ``lines``.
    ends : tuple of int
        The end of each billing stream: equal ends give equal statements.
    missing_below : tuple of int
        Records of each stream below it were gone before a snapshot told of
        them; 0 when none were.
    """

    account: str
    first_day: datetime.date
    lines: tuple[StatementLine, ...]
    late: tuple[StatementLine, ...]
    ends: tuple[int, ...]
    missing_below: tuple[int, ...]

    @property
    def total(self) -> float:
        """The whole amount, without what is late."""
        return math.fsum(line.amount for line in self.lines)


def read_statement(log: Log, account: str, since: float) -> Statement | None:
    """Make a statement out of the log alone; None when the log doesn't answer.

    Sums are kept by the day in UTC, so the whole day of ``since`` counts.
    """
    readings = [_read_shard(log, stream_of(shard)) for shard in range(SHARDS)]
    done = [reading for reading in readings if reading is not None]
    if len(done) < SHARDS:
        return None
    first_day = math.floor(since / DAY_S)
    sums: dict[tuple[bool, str], list[int]] = defaultdict(lambda: [0, 0])
    for reading in done:
        for cell, count, units in reading.totals.sums():
            if cell.account == account and cell.day >= first_day:
                held = sums[cell.is_late, cell.item]
                held[0] += count
                held[1] += units
    return Statement(
        account,
        EPOCH + datetime.timedelta(days=first_day),
        _list_lines(sums, is_late=False),
        _list_lines(sums, is_late=True),
        tuple(reading.position for reading in done),
        tuple(reading.totals.missing_below for reading in done),
    )


def _list_lines(
    sums: dict[tuple[bool, str], list[int]], is_late: bool
) -> tuple[StatementLine, ...]:
    return tuple(
        StatementLine(item, count, units / UNITS)
        for (late, item), (count, units) in sorted(sums.items())
        if late == is_late
    )


def _read_shard(log: Log, stream: str) -> ShardReading | None:
    """Fold a whole stream; None when the log doesn't answer."""
    reading = ShardReading()
    while True:
        page = log.read(stream, reading.position, READ_LIMIT)
        if not isinstance(page, Page):
            return None
        if reading.take(page):
            return reading
