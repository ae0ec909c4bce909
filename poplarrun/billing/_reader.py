"""Reading one billing stream into its totals, past records that are gone."""

from poplarrun.billing._totals import BillTotals
from poplarrun.log import Entry, Page, SnapshotAssembler, StreamSnapshot


class ShardReader:
    """Follows a stream page by page; whoever holds the log reads from ``position`` on.

    Where the first records are gone it looks for the oldest snapshot that the
    kept records continue, and folds on from there. Without one it starts at the
    oldest kept record, and the totals say what they miss.

    Attributes
    ----------
    totals : BillTotals
        The state of the stream up to ``position``.
    position : int
        The offset to read from.
    snapshot : StreamSnapshot, optional
        The last whole snapshot that was met, without its data.
    bytes_since : int
        Bytes of the records behind it.
    snapshot_bytes : int
        Its size.
    horizon : int
        The oldest record that the last page told of.
    """

    def __init__(self) -> None:
        self.totals = BillTotals()
        self.position = 0
        self.snapshot: StreamSnapshot | None = None
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self.horizon = 0
        self._parts = SnapshotAssembler()
        # Where the search for a snapshot began; None while records are folded.
        self._searched_from: int | None = None

    def apply_page(self, page: Page) -> bool:
        """Take the page that ``position`` asked for; tell whether all is folded."""
        self.horizon = page.horizon
        if page.horizon > self.position:
            self._start_search(page.horizon)
        for entry in page.entries:
            if self._apply_entry(entry):
                return False
        if page.entries and self.position < page.end:
            return False
        if self._searched_from is None:
            return True
        self._resume_from(BillTotals(self._searched_from))
        return self.position >= page.end

    def _start_search(self, horizon: int) -> None:
        self.position = self._searched_from = horizon
        self._parts = SnapshotAssembler()

    def _apply_entry(self, entry: Entry) -> bool:
        """Take one entry; tell whether reading goes on from elsewhere."""
        self.position = entry.offset + 1
        if self._searched_from is None:
            self.totals.fold(entry)
        self.bytes_since_snapshot += len(entry.data)
        whole = self._parts.add(entry)
        if whole is None:
            return False
        self.snapshot = StreamSnapshot(whole.last_offset, whole.written_at, b"")
        self.snapshot_bytes, self.bytes_since_snapshot = len(whole.data), 0
        if self._searched_from is None or whole.last_offset + 1 < self._searched_from:
            return False
        restored = BillTotals.restore(whole)
        if restored is not None:
            self._resume_from(restored)
        return restored is not None

    def _resume_from(self, totals: BillTotals) -> None:
        self.totals = totals
        self.position = totals.next_offset
        self._searched_from = None
        self._parts = SnapshotAssembler()
