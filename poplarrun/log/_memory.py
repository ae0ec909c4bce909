"""A log in memory, for tests and for embedding."""

from dataclasses import dataclass, field

from poplarrun.log._interface import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    Entry,
    Page,
    ReadFailed,
    ReadOutcome,
)


@dataclass
class _Stream:
    horizon: int = 0
    records: list[bytes] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.horizon + len(self.records)


class MemoryLog:
    """A ``Log`` that keeps its streams in memory and can simulate faults.

    Attributes
    ----------
    is_down : bool
        While true, appends are refused and reads fail.
    responses_to_lose : int
        The outcome of this many next appends is unknown, although the record is appended.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.responses_to_lose = 0
        self._streams: dict[str, _Stream] = {}

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        if self.is_down:
            return AppendRefused("the log is down")
        target = self._streams.setdefault(stream, _Stream())
        target.records.append(data)
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            return AppendUnknown("the response was lost")
        return Appended(target.end - 1)

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, starting at an offset."""
        if self.is_down:
            return ReadFailed("the log is down")
        source = self._streams.get(stream, _Stream())
        first = max(from_offset, source.horizon)
        index = first - source.horizon
        records = source.records[index : index + limit]
        entries = tuple(Entry(first + i, data) for i, data in enumerate(records))
        return Page(entries, source.horizon, source.end)

    def truncate(self, stream: str, horizon: int) -> None:
        """Drop the records below an offset, as the platform's retention does."""
        source = self._streams.setdefault(stream, _Stream())
        drop_count = max(0, horizon - source.horizon)
        del source.records[:drop_count]
        source.horizon = max(source.horizon, horizon)
