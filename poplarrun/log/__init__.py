"""The platform's append-only log: the interface, an in-memory version, records."""

from poplarrun.log._async import AsyncLog, ThreadedLog, call_here
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
from poplarrun.log._parts import (
    PART_BYTES,
    PartCollector,
    WholeSnapshot,
    append_parts,
    split_snapshot,
)
from poplarrun.log._signed import LogKeys, SignedLog, seal_record
from poplarrun.log._stream import Gap, StreamReader, append_until_known

__all__ = [
    "PART_BYTES",
    "AppendOutcome",
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "AsyncLog",
    "Entry",
    "Gap",
    "Log",
    "LogKeys",
    "MemoryLog",
    "Page",
    "PartCollector",
    "ReadFailed",
    "ReadOutcome",
    "SignedLog",
    "StreamReader",
    "ThreadedLog",
    "WholeSnapshot",
    "append_parts",
    "append_until_known",
    "call_here",
    "seal_record",
    "split_snapshot",
]
