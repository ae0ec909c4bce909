"""Reading a stream in offset order, and appending until the outcome is known."""

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
    """Records between two offsets are gone: the reader needs a snapshot."""

    expected: int
    horizon: int


class StreamReader:
    """Reads one stream from an offset on, each record once, in order.

    Attributes
    ----------
    next_offset : int
        The offset of the next record to read. It never falls: a log that was
        restored at a lower offset shows an end below it, and the reader then
        waits for the log to grow past it instead of taking old offsets anew.
    horizon, end : int
        As the last page told.
    """

    def __init__(self, log: Log, stream: str, from_offset: int = 0) -> None:
        self._log = log
        self._stream = stream
        self.next_offset = from_offset
        self.horizon = 0
        self.end = 0

    def read_new(self) -> tuple[Entry, ...] | Gap | ReadFailed:
        """Read the records that came since the last call."""
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
    """Append a record that carries its own id, retrying while the outcome is unknown.

    A lost answer leaves the record maybe in the stream. The fold of the stream
    drops repeats of an id, so a second append of the same bytes is harmless;
    ``find`` looks first, to save the repeat where the record is seen to stand.
    """
    outcome: AppendOutcome = AppendRefused("no attempt was allowed")
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
