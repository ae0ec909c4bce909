"""The platform's append-only log: the interface, an in-memory version, records."""

from poplarrun.log._async import AsyncLog, ThreadedLog
from poplarrun.log._interface import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    Entry,
    Log,
    Page,
    ReadFailed,
    ReadOutcome,
)
from poplarrun.log._memory import MemoryLog
from poplarrun.log._stream import Gap, StreamReader, append_until_known

__all__ = [
    "AppendOutcome",
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "AsyncLog",
    "Entry",
    "Gap",
    "Log",
    "MemoryLog",
    "Page",
    "ReadFailed",
    "ReadOutcome",
    "StreamReader",
    "ThreadedLog",
    "append_until_known",
]
