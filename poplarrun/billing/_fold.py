"""The fold of the billing streams, and the statement that it gives."""

import math
from collections import defaultdict
from dataclasses import dataclass

from poplarrun.billing._records import SHARDS, Bill, decode_bills, stream_of
from poplarrun.log import Entry, Log, Page

READ_LIMIT = 500


class BillFold:
    """The bills of the streams that were folded, each once."""

    def __init__(self) -> None:
        self._bills: dict[str, Bill] = {}

    def fold(self, entry: Entry) -> None:
        """Apply one entry of a stream."""
        for bill in decode_bills(entry.data):
            known = self._bills.get(bill.id)
            if known is None or (bill.is_final and not known.is_final):
                self._bills[bill.id] = bill

    def list_bills(self) -> list[Bill]:
        """Return every bill, by id."""
        return [self._bills[id_] for id_ in sorted(self._bills)]


@dataclass(frozen=True)
class StatementLine:
    """The bills of one item together."""

    item: str
    count: int
    amount: float


@dataclass(frozen=True)
class Statement:
    """What an account owes from a time on.

    Attributes
    ----------
    lines : tuple of StatementLine
        One for each item.
    ends : tuple of int
        The end of each billing stream: equal ends give equal statements.
    kept_from : tuple of int
        The oldest record of each stream that the log still had.
    """

    account: str
    lines: tuple[StatementLine, ...]
    ends: tuple[int, ...]
    kept_from: tuple[int, ...]

    @property
    def total(self) -> float:
        """The whole amount."""
        return math.fsum(line.amount for line in self.lines)


def read_statement(log: Log, account: str, since: float) -> Statement | None:
    """Make a statement out of the log alone; None when the log doesn't answer.

    Amounts are summed exactly, so that the order of the records doesn't show.
    """
    fold = BillFold()
    pages = [_fold_stream(log, stream_of(shard), fold) for shard in range(SHARDS)]
    if any(page is None for page in pages):
        return None
    amounts: dict[str, list[float]] = defaultdict(list)
    for bill in fold.list_bills():
        if bill.account == account and bill.at >= since:
            amounts[bill.item].append(bill.amount)
    lines = tuple(
        StatementLine(item, len(found), math.fsum(found)) for item, found in sorted(amounts.items())
    )
    ends = tuple(page.end for page in pages if page is not None)
    return Statement(account, lines, ends, tuple(p.horizon for p in pages if p is not None))


def _fold_stream(log: Log, stream: str, fold: BillFold) -> Page | None:
    """Fold a whole stream; return its last page."""
    position = 0
    while True:
        page = log.read(stream, position, READ_LIMIT)
        if not isinstance(page, Page):
            return None
        for entry in page.entries:
            fold.fold(entry)
            position = entry.offset + 1
        if not page.entries or position >= page.end:
            return page
