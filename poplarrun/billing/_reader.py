"""Reads one billing stream into its totals, also if its first records are gone."""

from poplarrun.billing._totals import BillTotals
from poplarrun.log import Entry, Page, SnapshotAssembler, StreamSnapshot


class ShardReader:
    """Follows a stream page by page; the caller reads the log from ``position`` on.

    If the first records are gone, it searches for the oldest snapshot that the remaining records
    continue, and folds from there. Without one it starts at the oldest remaining record, and the
    totals tell what is missing.

    Attributes
    ----------
    totals : BillTotals
        The state of the stream up to ``position``.
    position : int
        The next offset to read.
    snapshot : StreamSnapshot, optional
        The last complete snapshot that was read, without its data.
    bytes_since_snapshot : int
        Bytes of the records after it.
    snapshot_bytes : int
        Its size in bytes.
    horizon : int
        Offset of the oldest record, by the last page.
    """

    def __init__(self) -> None:
        self.totals = BillTotals()
        self.position = 0
        self.snapshot: StreamSnapshot | None = None
        self.bytes_since_snapshot = 0
        self.snapshot_bytes = 0
        self.horizon = 0
        self._parts = SnapshotAssembler()
        # Offset at which the search for a snapshot started; None while records are folded.
        self._searched_from: int | None = None

    def apply_page(self, page: Page) -> bool:
        """Apply the page that was read at ``position``; tell whether the end is reached."""
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
        """Apply one entry; tell whether to continue reading from another position."""
        self.position = entry.offset + 1
        if self._searched_from is None:
            self.totals.fold(entry)
        self.bytes_since_snapshot += len(entry.data)
        snapshot = self._parts.add(entry)
        if snapshot is None:
            return False
        self.snapshot = StreamSnapshot(snapshot.last_offset, snapshot.written_at, b"")
        self.snapshot_bytes, self.bytes_since_snapshot = len(snapshot.data), 0
        if self._searched_from is None or snapshot.last_offset + 1 < self._searched_from:
            return False
        restored = BillTotals.restore(snapshot)
        if restored is not None:
            self._resume_from(restored)
        return restored is not None

    def _resume_from(self, totals: BillTotals) -> None:
        self.totals = totals
        self.position = totals.next_offset
        self._searched_from = None
        self._parts = SnapshotAssembler()
