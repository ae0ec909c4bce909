"""What poplarrun assumes of the platform's log, and nothing more."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Appended:
    """The record stands in the stream at this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """The record is not in the stream and this call will never put it there."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No answer came: the record may stand in the stream, now or later."""

    reason: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclass(frozen=True, slots=True)
class Entry:
    """One record of a stream."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """A run of entries.

    Attributes
    ----------
    entries : tuple of Entry
        In offset order, from the offset asked for or the horizon.
    horizon : int
        The lowest offset that is still kept: records below it are gone.
    end : int
        The offset that the next record of the stream will get.
    """

    entries: tuple[Entry, ...]
    horizon: int
    end: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log gave no answer."""

    reason: str


ReadOutcome = Page | ReadFailed


class Log(Protocol):
    """The platform's append-only log service. Calls block and never raise."""

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream from an offset on."""
