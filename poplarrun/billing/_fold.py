"""Simple fold of the billing streams that keeps every bill, to check small logs."""

from poplarrun.billing._records import Bill, decode_bills
from poplarrun.log import Entry


class BillFold:
    """The bills of the folded streams, each once."""

    def __init__(self) -> None:
        self._bills: dict[str, Bill] = {}

    def fold(self, entry: Entry) -> None:
        """Apply one entry of a stream."""
        for bill in decode_bills(entry.data):
            existing = self._bills.get(bill.id)
            if existing is None or (bill.is_final and not existing.is_final):
                self._bills[bill.id] = bill

    def list_bills(self) -> list[Bill]:
        """Return all bills, sorted by id."""
        return [self._bills[id_] for id_ in sorted(self._bills)]
