"""Serves configuration records to peers that can't read the log."""

from collections import deque

import msgspec

from poplarrun.config._publications import Snapshot
from poplarrun.config._snapshots import make_snapshot
from poplarrun.config._state import Configuration
from poplarrun.log import Entry

SHARE_KIND = "config.records"
# Records in the cache of a host, and bytes of records in one answer.
MAX_CACHED_RECORDS = 500
MAX_ANSWER_BYTES = 200_000


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the records from an offset on."""

    from_offset: int
    anchored: bool = True


class ShareAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Records in order, or a snapshot where the requested records are no longer cached."""

    snapshot: Snapshot | None
    records: list[tuple[int, bytes]]


_request_decoder = msgspec.msgpack.Decoder(ShareRequest)
_answer_decoder = msgspec.msgpack.Decoder(ShareAnswer)


def decode_share_answer(data: bytes) -> ShareAnswer | None:
    """Decode a peer's answer; None when it is malformed."""
    try:
        return _answer_decoder.decode(data)
    except msgspec.MsgspecError:
        return None


class RecordCache:
    """The most recently folded records, for peers that can't read the log."""

    def __init__(self) -> None:
        self._records: deque[Entry] = deque(maxlen=MAX_CACHED_RECORDS)

    def add(self, entry: Entry) -> None:
        """Add a folded record. A gap in front of it empties the cache first."""
        if self._records and entry.offset != self._records[-1].offset + 1:
            self._records.clear()
        self._records.append(entry)

    def handle_request(self, data: bytes, state: Configuration) -> bytes:
        """Return the encoded answer to an encoded share request."""
        try:
            request = _request_decoder.decode(data)
        except msgspec.MsgspecError:
            return msgspec.msgpack.encode(ShareAnswer(None, []))
        return msgspec.msgpack.encode(self._make_answer(request, state))

    def _make_answer(self, request: ShareRequest, state: Configuration) -> ShareAnswer:
        if not state.anchored or state.offset < 0:
            return ShareAnswer(None, [])
        if request.from_offset > state.read_to and request.anchored:
            return ShareAnswer(None, [])
        first = self._records[0].offset if self._records else state.read_to + 1
        if not request.anchored or request.from_offset < first:
            return ShareAnswer(make_snapshot(state, "", 0.0), [])
        return ShareAnswer(None, self._records_from(request.from_offset))

    def _records_from(self, offset: int) -> list[tuple[int, bytes]]:
        found: list[tuple[int, bytes]] = []
        remaining_bytes = MAX_ANSWER_BYTES
        for entry in self._records:
            if entry.offset < offset:
                continue
            remaining_bytes -= len(entry.data)
            if remaining_bytes < 0 and found:
                break
            found.append((entry.offset, entry.data))
        return found
