"""Compact fold of one billing stream: totals by account, item and day."""

import math
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from poplarrun.billing._recent_ids import DEDUPLICATION_WINDOW_S, Generation, RecentIds, hash_id
from poplarrun.billing._records import Bill, decode_bills
from poplarrun.log import Entry, StreamSnapshot

DAY_S = 86400
RETENTION_DAYS = 400
# A record advances the fold's clock by at most this much. Otherwise a host whose clock is a day
# ahead would make the fold forget every id at once, and repeats would be billed twice.
MAX_CLOCK_STEP_S = 5.0
# Amounts are added as integers in units of one billionth, so that neither the order of the records
# nor a snapshot between them changes a total.
UNITS_PER_CURRENCY = 10**9


class TotalKey(NamedTuple):
    """Key of a total: an item of an account on one day, with late bills separate."""

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
    """Totals of one stream's bills, each counted once, from the records in offset order.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to fold.
    missing_below : int
        Records below this offset were gone and no snapshot covered them; 0 if none were.
    """

    def __init__(self, missing_below: int = 0) -> None:
        self.next_offset = missing_below
        self.missing_below = missing_below
        self._clock = 0.0
        self._sums: dict[TotalKey, tuple[int, int]] = {}
        self._provisional: dict[str, _ProvisionalBill] = {}
        self._ids = RecentIds()

    def sums(self) -> Iterator[tuple[TotalKey, int, int]]:
        """Iterate over the keys with their number of bills and amount in ``UNITS_PER_CURRENCY``."""
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
        """Return a snapshot after the last folded record; equal states give equal bytes."""
        sums = [(*key, count, str(units)) for key, (count, units) in sorted(self._sums.items())]
        provisional = [
            (i, *o.key, str(o.units), o.clock) for i, o in sorted(self._provisional.items())
        ]
        state = _EncodedTotals(self._clock, self.missing_below, sums, provisional, self._ids.save())
        return StreamSnapshot(self.next_offset - 1, at, _encode(state))

    @classmethod
    def restore(cls, snapshot: StreamSnapshot) -> "BillTotals | None":
        """Return the state of a snapshot; None if it can't be decoded."""
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
        id_hash = hash_id(bill.id)
        is_known = id_hash in self._ids
        # A repeat renews the id, because another host that takes the bill over may append it later.
        self._ids.add(id_hash)
        if is_known:
            provisional = self._provisional.pop(bill.id, None) if bill.is_final else None
            if provisional is None:
                return
            self._add(provisional.key, -1, -provisional.units)
        # The bill is older than all remembered ids, so it is unknown whether it was counted. It is
        # added up separately, for a person to check.
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
        for bill_id in [
            i for i, provisional in self._provisional.items() if provisional.clock < horizon
        ]:
            del self._provisional[bill_id]
        if self._clock // DAY_S > before // DAY_S:
            oldest = self._clock // DAY_S - RETENTION_DAYS
            self._sums = {key: total for key, total in self._sums.items() if key.day >= oldest}


def _is_finite(bill: Bill) -> bool:
    return math.isfinite(bill.at) and math.isfinite(bill.amount)
