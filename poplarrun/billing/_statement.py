"""A client account's statement, out of the log alone."""

import datetime
import math
from collections import defaultdict
from dataclasses import dataclass

from poplarrun.billing._reader import ShardReader
from poplarrun.billing._records import SHARDS, stream_of
from poplarrun.billing._totals import DAY_S, UNITS_PER_CURRENCY
from poplarrun.log import Log, Page

READ_PAGE_SIZE = 500
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
    readers = [_read_shard(log, stream_of(shard)) for shard in range(SHARDS)]
    done = [reader for reader in readers if reader is not None]
    if len(done) < SHARDS:
        return None
    first_day = math.floor(since / DAY_S)
    sums: dict[tuple[bool, str], list[int]] = defaultdict(lambda: [0, 0])
    for reader in done:
        for key, count, units in reader.totals.sums():
            if key.account == account and key.day >= first_day:
                held = sums[key.is_late, key.item]
                held[0] += count
                held[1] += units
    return Statement(
        account,
        EPOCH + datetime.timedelta(days=first_day),
        _list_lines(sums, is_late=False),
        _list_lines(sums, is_late=True),
        tuple(reader.position for reader in done),
        tuple(reader.totals.missing_below for reader in done),
    )


def _list_lines(
    sums: dict[tuple[bool, str], list[int]], is_late: bool
) -> tuple[StatementLine, ...]:
    return tuple(
        StatementLine(item, count, units / UNITS_PER_CURRENCY)
        for (late, item), (count, units) in sorted(sums.items())
        if late == is_late
    )


def _read_shard(log: Log, stream: str) -> ShardReader | None:
    """Fold a whole stream; None when the log doesn't answer."""
    reader = ShardReader()
    while True:
        page = log.read(stream, reader.position, READ_PAGE_SIZE)
        if not isinstance(page, Page):
            return None
        if reader.apply_page(page):
            return reader
