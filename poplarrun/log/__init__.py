"""The platform's append-only log: its interface, an in-memory one, signing, snapshots."""

from poplarrun.log._async import AsyncLog, ThreadedLog, call_inline
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
from poplarrun.log._signed import LogKeys, SignedLog, sign_log_record
from poplarrun.log._snapshot_parts import (
    MAX_PART_BYTES,
    SnapshotAssembler,
    StreamSnapshot,
    append_parts,
    split_snapshot,
)
from poplarrun.log._stream import Gap, StreamReader, append_until_known

__all__ = [
    "MAX_PART_BYTES",
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
    "ReadFailed",
    "ReadOutcome",
    "SignedLog",
    "SnapshotAssembler",
    "StreamReader",
    "StreamSnapshot",
    "ThreadedLog",
    "append_parts",
    "append_until_known",
    "call_inline",
    "sign_log_record",
    "split_snapshot",
]
