"""Splits snapshots into records of bounded size, and assembles them again.

The parts of a snapshot are appended to the stream whose state it holds, between the stream's
other records.
"""

import asyncio
import hashlib
from dataclasses import dataclass

import msgspec

from poplarrun.log._async import AsyncLog
from poplarrun.log._interface import Appended, AppendRefused, Entry

# Largest piece of a snapshot's data in one part, not counting the part's other fields.
MAX_PART_BYTES = 256 * 1024
MAX_PARTS = 4096
# Pause between the parts of a snapshot, so that a large one doesn't crowd out the log's
# other appends.
PART_PAUSE_S = 0.1
MAX_APPEND_ATTEMPTS = 3
# Incomplete snapshots that are held at once. A writer that dies leaves one that is never
# completed, so the oldest is dropped.
MAX_INCOMPLETE = 4


class _Part(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    snapshot_digest: str
    last_offset: int
    written_at: float
    number: int
    count: int
    data: bytes


# Each encoded part begins with these bytes: a MessagePack array of seven elements, of which
# the first is the tag.
_ENCODED_PREFIX = b"\x97\xa4part"
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Part)


@dataclass(frozen=True, slots=True)
class StreamSnapshot:
    """A complete snapshot of the state of a stream.

    Attributes
    ----------
    last_offset : int
        Offset of the last record that the state includes.
    written_at : float
        Time of writing, in seconds since the epoch.
    data : bytes
        The encoded state.
    """

    last_offset: int
    written_at: float
    data: bytes


class SnapshotAssembler:
    """Assembles snapshots from the entries of a stream.

    The data of a snapshot depends only on the records up to ``last_offset``, so it is valid
    wherever its parts are in the stream and whatever other hosts append between them. To
    start from it, a reader only needs every record after ``last_offset`` to be in the log.
    """

    def __init__(self) -> None:
        self._incomplete: dict[str, dict[int, _Part]] = {}

    def add(self, entry: Entry) -> StreamSnapshot | None:
        """Add one entry; return the snapshot of which it was the last missing part."""
        part = _decode_part(entry)
        if part is None:
            return None
        parts = self._incomplete.setdefault(part.snapshot_digest, {})
        parts[part.number] = part
        if len(parts) == part.count:
            del self._incomplete[part.snapshot_digest]
            data = b"".join(parts[number].data for number in range(part.count))
            is_intact = part.snapshot_digest == _compute_digest(part.last_offset, data)
            return StreamSnapshot(part.last_offset, part.written_at, data) if is_intact else None
        if len(self._incomplete) > MAX_INCOMPLETE:
            del self._incomplete[next(iter(self._incomplete))]
        return None


def split_snapshot(snapshot: StreamSnapshot) -> list[bytes]:
    """Return the encoded parts of a snapshot, each to be appended as one record.

    Parts are identified by a digest of the snapshot's offset and data, so parts of different
    snapshots are never mixed, and if two hosts write the same snapshot, their parts complete
    each other.

    Raises
    ------
    ValueError
        When the snapshot would need more than ``MAX_PARTS``.
    """
    count = max(1, -(-len(snapshot.data) // MAX_PART_BYTES))
    if count > MAX_PARTS:
        raise ValueError(
            f"a snapshot of {len(snapshot.data)} bytes exceeds the limit of "
            f"{MAX_PARTS * MAX_PART_BYTES} bytes"
        )
    digest = _compute_digest(snapshot.last_offset, snapshot.data)
    pieces = [snapshot.data[i * MAX_PART_BYTES : (i + 1) * MAX_PART_BYTES] for i in range(count)]
    return [
        _encode(_Part(digest, snapshot.last_offset, snapshot.written_at, number, count, piece))
        for number, piece in enumerate(pieces)
    ]


async def append_parts(log: AsyncLog, stream: str, parts: list[bytes]) -> bool:
    """Append the parts of a snapshot; return True if all are known to be in the log.

    False means that a part was refused, or that its outcome was still unknown after
    ``MAX_APPEND_ATTEMPTS``; the parts after it are not appended. A part whose outcome is unknown
    is appended again: readers ignore duplicate parts.
    """
    for number, part in enumerate(parts):
        if number:
            await asyncio.sleep(PART_PAUSE_S)
        if not await _append_part(log, stream, part):
            return False
    return True


async def _append_part(log: AsyncLog, stream: str, part: bytes) -> bool:
    for _ in range(MAX_APPEND_ATTEMPTS):
        match await log.append(stream, part):
            case Appended():
                return True
            case AppendRefused():
                return False
            case _:
                await asyncio.sleep(PART_PAUSE_S)
    return False


def _compute_digest(last_offset: int, data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=16, salt=last_offset.to_bytes(8)).hexdigest()


def _decode_part(entry: Entry) -> _Part | None:
    """Decode a part; None for any other record, and for a part with impossible values."""
    if not entry.data.startswith(_ENCODED_PREFIX):
        return None
    try:
        part = _decoder.decode(entry.data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    is_valid = 0 <= part.number < part.count <= MAX_PARTS and 0 <= part.last_offset < entry.offset
    return part if is_valid else None
