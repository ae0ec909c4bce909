"""Reads a stream in offset order, and appends records until the outcome is known."""

from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.log._interface import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    Entry,
    Log,
    Page,
    ReadFailed,
)

READ_LIMIT = 500


@dataclass(frozen=True, slots=True)
class Gap:
    """Records were dropped before they were read: the reader needs a snapshot.

    Attributes
    ----------
    next_offset : int
        Offset of the first missing record.
    horizon : int
        The lowest offset still in the log.
    """

    next_offset: int
    horizon: int


class StreamReader:
    """Reads the records of one stream once each, in order, starting at an offset.

    Attributes
    ----------
    next_offset : int
        The offset of the next record to read. It never decreases: if the log is restored
        from a backup and ends at a lower offset, the reader waits until the log has grown
        past ``next_offset`` instead of reading the same offsets a second time.
    horizon, end : int
        Retention horizon and end of the stream at the last read.
    """

    def __init__(self, log: Log, stream: str, from_offset: int = 0) -> None:
        self._log = log
        self._stream = stream
        self.next_offset = from_offset
        self.horizon = 0
        self.end = 0

    def read_new(self) -> tuple[Entry, ...] | Gap | ReadFailed:
        """Read the records appended since the last call, at most ``READ_LIMIT``."""
        match self._log.read(self._stream, self.next_offset, READ_LIMIT):
            case Page(entries=entries, horizon=horizon, end=end):
                self.horizon, self.end = horizon, end
                if horizon > self.next_offset:
                    return Gap(self.next_offset, horizon)
                if entries:
                    self.next_offset = entries[-1].offset + 1
                return entries
            case ReadFailed() as failed:
                return failed


def append_until_known(
    log: Log, stream: str, data: bytes, find: Callable[[], int | None], attempts: int
) -> AppendOutcome:
    """Append a record that has an id, and retry while the outcome is unknown.

    After a lost response the record may be in the stream. Readers ignore records with an
    id that they have read before, so appending the same bytes twice is harmless. ``find``
    returns the offset of the record if the stream has it, which saves the second append.
    """
    outcome: AppendOutcome = AppendRefused("no append was attempted: attempts is 0")
    for _ in range(attempts):
        outcome = log.append(stream, data)
        match outcome:
            case Appended() | AppendRefused():
                return outcome
            case AppendUnknown():
                offset = find()
                if offset is not None:
                    return Appended(offset)
    return outcome
