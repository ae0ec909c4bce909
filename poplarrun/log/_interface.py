"""The interface to the platform's log: exactly what poplarrun relies on."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Appended:
    """The record was appended to the stream at this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """The record was not appended, and this call will not append it later."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No usable response came: the record may have been appended, or may be later."""

    reason: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclass(frozen=True, slots=True)
class Entry:
    """One record of a stream."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive entries of a stream.

    Attributes
    ----------
    entries : tuple of Entry
        In offset order, from the requested offset or the horizon, whichever is higher.
    horizon : int
        Retention horizon: the lowest offset still in the log. Lower ones were dropped.
    end : int
        The offset that the next record of the stream will get.
    """

    entries: tuple[Entry, ...]
    horizon: int
    end: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log gave no usable response."""

    reason: str


ReadOutcome = Page | ReadFailed


class Log(Protocol):
    """The platform's append-only log service. Calls block and never raise."""

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, starting at an offset."""
