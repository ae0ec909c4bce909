"""A client account's statement, computed from the log alone."""

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
        The first day that is included, in UTC.
    lines : tuple of StatementLine
        One for each item.
    late : tuple of StatementLine
        Bills that came too late to tell whether they had been counted before; they are not in
        ``lines``.
    ends : tuple of int
        The end of each billing stream: equal ends give equal statements.
    missing_below : tuple of int
        Records of each stream below this offset were gone before a snapshot covered them; 0 if none
        were.
    """

    account: str
    first_day: datetime.date
    lines: tuple[StatementLine, ...]
    late: tuple[StatementLine, ...]
    ends: tuple[int, ...]
    missing_below: tuple[int, ...]

    @property
    def total(self) -> float:
        """The total amount, without late bills."""
        return math.fsum(line.amount for line in self.lines)


def read_statement(log: Log, account: str, since: float) -> Statement | None:
    """Compute a statement from the log alone; None if the log doesn't answer.

    Totals are kept by day in UTC, so the whole day of ``since`` is included.
    """
    readers = [_read_shard(log, stream_of(shard)) for shard in range(SHARDS)]
    complete = [reader for reader in readers if reader is not None]
    if len(complete) < SHARDS:
        return None
    first_day = math.floor(since / DAY_S)
    sums: dict[tuple[bool, str], list[int]] = defaultdict(lambda: [0, 0])
    for reader in complete:
        for key, count, units in reader.totals.sums():
            if key.account == account and key.day >= first_day:
                key_totals = sums[key.is_late, key.item]
                key_totals[0] += count
                key_totals[1] += units
    return Statement(
        account,
        EPOCH + datetime.timedelta(days=first_day),
        _list_lines(sums, is_late=False),
        _list_lines(sums, is_late=True),
        tuple(reader.position for reader in complete),
        tuple(reader.totals.missing_below for reader in complete),
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
    """Fold a whole stream; None if the log doesn't answer."""
    reader = ShardReader()
    while True:
        page = log.read(stream, reader.position, READ_PAGE_SIZE)
        if not isinstance(page, Page):
            return None
        if reader.apply_page(page):
            return reader
