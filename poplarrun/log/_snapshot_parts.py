"""Snapshots in parts of a bounded size, among the records of their own stream."""

import asyncio
import hashlib
from dataclasses import dataclass

import msgspec

from poplarrun.log._async import AsyncLog
from poplarrun.log._interface import Appended, AppendRefused, Entry

# The largest record that a snapshot makes, but for its short heading.
MAX_PART_BYTES = 256 * 1024
MAX_PARTS = 4096
# Parts go one after the other, so that a large snapshot leaves the log's appends to others.
PART_PAUSE_S = 0.1
APPEND_ATTEMPTS = 3
# Snapshots that are read at once; a writer that died leaves one that is never whole.
MAX_OPEN = 4


class _Part(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    snapshot: str
    through: int
    at: float
    number: int
    count: int
    data: bytes


# The first bytes of each part: an array of seven that begins with the tag.
_HEADING = b"\x97\xa4part"
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Part)


@dataclass(frozen=True, slots=True)
class StreamSnapshot:
    """A snapshot all of whose parts stand in the stream.

    Attributes
    ----------
    last_offset : int
        Offset of the last record that it covers.
    written_at : float
        When it was written, in seconds since the epoch.
    data : bytes
        What was split.
    """

    last_offset: int
    written_at: float
    data: bytes


class SnapshotAssembler:
    """Puts snapshots together out of a stream's entries.

    A snapshot is a function of the records up to ``through``, so it counts
    wherever its parts stand and whoever wrote others beside it; a reader must
    only find every record behind ``through`` still kept.
    """

    def __init__(self) -> None:
        self._open: dict[str, dict[int, _Part]] = {}

    def add(self, entry: Entry) -> StreamSnapshot | None:
        """Take one entry; return the snapshot that it makes whole."""
        part = _read_part(entry)
        if part is None:
            return None
        parts = self._open.setdefault(part.snapshot, {})
        parts[part.number] = part
        if len(parts) == part.count:
            del self._open[part.snapshot]
            data = b"".join(parts[number].data for number in range(part.count))
            is_intact = part.snapshot == _digest_of(part.through, data)
            return StreamSnapshot(part.through, part.at, data) if is_intact else None
        if len(self._open) > MAX_OPEN:
            del self._open[next(iter(self._open))]
        return None


def split_snapshot(whole: StreamSnapshot) -> list[bytes]:
    """Return the records that carry a snapshot.

    Its digest names it, so parts of different snapshots are never mixed, and
    those of two writers of the same one complete each other.

    Raises
    ------
    ValueError
        When it would need more than ``MAX_PARTS``.
    """
    count = max(1, -(-len(whole.data) // MAX_PART_BYTES))
    if count > MAX_PARTS:
        raise ValueError(f"a snapshot of {len(whole.data)} bytes is too large")
    name = _digest_of(whole.last_offset, whole.data)
    cuts = [whole.data[i * MAX_PART_BYTES : (i + 1) * MAX_PART_BYTES] for i in range(count)]
    return [
        _encode(_Part(name, whole.last_offset, whole.written_at, number, count, cut))
        for number, cut in enumerate(cuts)
    ]


async def append_parts(log: AsyncLog, stream: str, parts: list[bytes]) -> bool:
    """Append the records of a snapshot; tell whether the log has them all.

    A part whose outcome is unknown is appended again: readers take one of each.
    """
    for number, part in enumerate(parts):
        if number:
            await asyncio.sleep(PART_PAUSE_S)
        if not await _append_part(log, stream, part):
            return False
    return True


async def _append_part(log: AsyncLog, stream: str, part: bytes) -> bool:
    for _ in range(APPEND_ATTEMPTS):
        match await log.append(stream, part):
            case Appended():
                return True
            case AppendRefused():
                return False
            case _:
                await asyncio.sleep(PART_PAUSE_S)
    return False


def _digest_of(through: int, data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16, salt=through.to_bytes(8)).hexdigest()


def _read_part(entry: Entry) -> _Part | None:
    """Read a part; None for every other record, and for one that can't be true."""
    if not entry.data.startswith(_HEADING):
        return None
    try:
        part = _decoder.decode(entry.data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    is_sound = 0 <= part.number < part.count <= MAX_PARTS and 0 <= part.through < entry.offset
    return part if is_sound else None
