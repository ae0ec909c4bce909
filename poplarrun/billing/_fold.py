"""Every bill of the billing streams by itself, for checks of small logs."""

from poplarrun.billing._records import Bill, decode_bills
from poplarrun.log import Entry


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
