"""The compact fold of one billing stream: sums by account, item and day."""

import math
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from poplarrun.billing._recent_ids import DEDUPLICATION_WINDOW_S, Generation, RecentIds, hash_id
from poplarrun.billing._records import Bill, decode_bills
from poplarrun.log import Entry, StreamSnapshot

DAY_S = 86400
RETENTION_DAYS = 400
# One record may move the fold's clock by so much: a host whose clock is a day
# ahead would else have every id forgotten at once, and repeats billed twice.
MAX_CLOCK_STEP_S = 5.0
# Amounts are added as whole numbers of billionths, so that neither the order of
# the records nor a snapshot between them shows in a sum.
UNITS_PER_CURRENCY = 10**9


class TotalKey(NamedTuple):
    """What is summed: one item of an account on one day, late bills by themselves."""

    account: str
    item: str
    day: int
    is_late: bool


class _ProvisionalBill(NamedTuple):
    key: TotalKey
    units: int
    clock: float


class _EncodedTotals(msgspec.Struct, frozen=True, array_like=True):
    clock: float
    missing_below: int
    sums: list[tuple[str, str, int, bool, int, str]]
    open: list[tuple[str, str, str, int, bool, str, float]]
    generations: list[Generation]


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_EncodedTotals)


class BillTotals:
    """Sums of one stream's bills, each counted once, by the records in offset order.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to fold.
    missing_below : int
        Records below it were gone and no snapshot told of them; 0 when none were.
    """

    def __init__(self, missing_below: int = 0) -> None:
        self.next_offset = missing_below
        self.missing_below = missing_below
        self._clock = 0.0
        self._sums: dict[TotalKey, tuple[int, int]] = {}
        self._provisional: dict[str, _ProvisionalBill] = {}
        self._ids = RecentIds()

    def sums(self) -> Iterator[tuple[TotalKey, int, int]]:
        """Give each cell with its count of bills and its amount in ``UNITS``."""
        return ((key, count, units) for key, (count, units) in self._sums.items())

    def fold(self, entry: Entry) -> None:
        """Apply one entry of the stream; one that was applied before changes nothing."""
        if entry.offset < self.next_offset:
            return
        self.next_offset = entry.offset + 1
        bills = [bill for bill in decode_bills(entry.data) if _is_finite(bill)]
        if bills:
            self._advance(max(bill.at for bill in bills))
        for bill in bills:
            self._fold_bill(bill)

    def take_snapshot(self, at: float) -> StreamSnapshot:
        """Return the state after the last folded record; equal states, equal bytes."""
        sums = [(*key, count, str(units)) for key, (count, units) in sorted(self._sums.items())]
        opened = [(i, *o.key, str(o.units), o.clock) for i, o in sorted(self._provisional.items())]
        state = _EncodedTotals(self._clock, self.missing_below, sums, opened, self._ids.save())
        return StreamSnapshot(self.next_offset - 1, at, _encode(state))

    @classmethod
    def restore(cls, snapshot: StreamSnapshot) -> "BillTotals | None":
        """Return the state that a snapshot tells; None when it can't be read."""
        try:
            state = _decoder.decode(snapshot.data)
            totals = cls(state.missing_below)
            totals.next_offset = snapshot.last_offset + 1
            totals._clock = state.clock
            for account, item, day, is_late, count, units in state.sums:
                totals._sums[TotalKey(account, item, day, is_late)] = (count, int(units))
            for id_, account, item, day, is_late, units, clock in state.open:
                key = TotalKey(account, item, day, is_late)
                totals._provisional[id_] = _ProvisionalBill(key, int(units), clock)
            totals._ids.load(state.generations, state.clock)
        except (msgspec.MsgspecError, ValueError, OverflowError):
            return None
        return totals

    def _fold_bill(self, bill: Bill) -> None:
        number = hash_id(bill.id)
        is_known = number in self._ids
        # A copy may have copies of its own, by a host that finishes it later.
        self._ids.add(number)
        if is_known:
            opened = self._provisional.pop(bill.id, None) if bill.is_final else None
            if opened is None:
                return
            self._add(opened.key, -1, -opened.units)
        # Older than any id that is remembered: it may have been counted, or not.
        # It is summed apart, for a person to look at.
        is_late = not is_known and bill.at < self._clock - DEDUPLICATION_WINDOW_S
        key = TotalKey(bill.account, bill.item, math.floor(bill.at / DAY_S), is_late)
        units = round(bill.amount * UNITS_PER_CURRENCY)
        self._add(key, 1, units)
        if not bill.is_final:
            self._provisional[bill.id] = _ProvisionalBill(key, units, self._clock)

    def _add(self, key: TotalKey, count: int, units: int) -> None:
        known_count, known_units = self._sums.get(key, (0, 0))
        if known_count + count:
            self._sums[key] = (known_count + count, known_units + units)
        else:
            self._sums.pop(key, None)

    def _advance(self, at: float) -> None:
        before = self._clock or at
        self._clock = min(max(before, at), before + MAX_CLOCK_STEP_S)
        self._ids.advance(self._clock)
        horizon = self._clock - DEDUPLICATION_WINDOW_S
        for bill_id in [i for i, opened in self._provisional.items() if opened.clock < horizon]:
            del self._provisional[bill_id]
        if self._clock // DAY_S > before // DAY_S:
            oldest = self._clock // DAY_S - RETENTION_DAYS
            self._sums = {key: held for key, held in self._sums.items() if key.day >= oldest}


def _is_finite(bill: Bill) -> bool:
    return math.isfinite(bill.at) and math.isfinite(bill.amount)
