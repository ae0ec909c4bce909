"""Client of the platform's store, an append-only log of topics with partitions."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from poplarrun.transport import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectionPool,
    ResponseHead,
    seconds_since_boot,
)

CONNECT_TIMEOUT_S = 0.5
# Longest wait for an answer beyond the wait that the call itself requests. A slow store takes about
# 0.3 s; a silent connection must be given up well within the bound on the age of API keys.
ANSWER_TIMEOUT_S = 1.2
# The same for a long poll, where the next read, on a new connection, has to end within the bound
# as well.
LONG_POLL_MARGIN_S = 0.7
# Length prefix of a record, and the end and first offsets ahead of the records.
RECORD_LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
MILLISECONDS_PER_S = 1000.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """A keyed record.

    Attributes
    ----------
    value : bytes, optional
        None if the record removes the key.
    """

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Consecutive records of a partition.

    Attributes
    ----------
    end_offset, first_offset : int
        Offset of the next record to be appended, and of the oldest retained one.
    confirmed_at : float
        Latest time of ``seconds_since_boot`` at which there were surely no further records.
    """

    entries: tuple[Entry, ...]
    end_offset: int
    first_offset: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class LatestRecords:
    """The newest record of each key, and the offset and time as of which they are current."""

    entries: tuple[Entry, ...]
    end_offset: int
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended."""

    first_offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class Moved:
    """The partition did not end at the expected offset; nothing was appended.

    Attributes
    ----------
    end_offset : int
        Where the partition ends.
    """

    end_offset: int


@dataclass(frozen=True, slots=True)
class OffsetExpired:
    """The records from the requested offset on are no longer retained.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest retained record.
    """

    first_offset: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The store rejected the call without effect: busy, over its limits, or barring this host."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer arrived: an append may have taken effect, or may do so seconds later."""

    reason: str


StoreFailure = Refused | NoAnswer


class StoreClient:
    """Calls the store; each call ends within its timeout.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    on_call : callable, optional
        Called with the name, outcome and duration in seconds of each call.
    """

    def __init__(
        self, address: str, on_call: Callable[[str, str, float], None] | None = None
    ) -> None:
        self.address = address
        self._on_call = on_call
        self._pool = ConnectionPool()

    async def read(
        self, topic: str, offset: int, wait_s: float = 0.0
    ) -> Records | OffsetExpired | StoreFailure:
        """Read records from an offset on, waiting up to ``wait_s`` if there are none yet."""
        query: dict[str, Any] = {"topic": topic, "part": 0, "from": offset}
        if wait_s > 0.0:
            query["waitMs"] = int(wait_s * MILLISECONDS_PER_S)
        sent_at = seconds_since_boot()
        margin_s = LONG_POLL_MARGIN_S if wait_s > 0.0 else ANSWER_TIMEOUT_S
        answer = await self._call("GET", "/log-read", query, b"", wait_s + margin_s)
        match answer:
            case (200, body):
                entries, end, first = _decode_records(body, offset)
                # The store held an empty answer for the whole wait, so it is current as of the
                # end of the wait; any other answer is only known to be later than the call.
                is_empty_poll = not entries and wait_s > 0.0
                return Records(entries, end, first, sent_at + (wait_s if is_empty_poll else 0.0))
            case (410, body):
                return OffsetExpired(int(_decode_json(body).get("first", 0)))
            case (status, body):
                return Refused(status, _decode_reason(body))
        return answer

    async def read_latest(self, topic: str) -> LatestRecords | StoreFailure:
        """Read the newest record of each key, page by page.

        The pages are no consistent snapshot. The end offset returned is that of the first page,
        so that a read from there on returns what changed meanwhile.
        """
        entries: list[Entry] = []
        after: str | None = None
        end: int | None = None
        sent_at = seconds_since_boot()
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "/log-newest", query, b"", ANSWER_TIMEOUT_S)
            match answer:
                case (200, body):
                    page = _decode_json(body)
                case (404, _):
                    # A topic is created by its first record.
                    return LatestRecords((), 0, sent_at)
                case (status, body):
                    return Refused(status, _decode_reason(body))
                case failure:
                    return failure
            listed = page.get("entries", [])
            entries += [_decode_entry(entry) for entry in listed]
            end = page.get("end", 0) if end is None else end
            if not page.get("hasMore") or not listed:
                return LatestRecords(tuple(entries), int(end or 0), sent_at)
            after = listed[-1]["key"]

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> Appended | Moved | StoreFailure:
        """Append keyed records, all or none.

        Parameters
        ----------
        expected_end : int, optional
            Append only if the partition ends at this offset.
        """
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        body = b"".join(_encode_entry(key, value) for key, value in entries)
        answer = await self._call("POST", "/log-append", query, body, ANSWER_TIMEOUT_S)
        match answer:
            case (200, data):
                done = _decode_json(data)
                return Appended(int(done.get("offset", 0)), int(done.get("end", 0)))
            case (412, data):
                return Moved(int(_decode_json(data).get("end", 0)))
            case (status, data):
                return Refused(status, _decode_reason(data))
        return answer

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | NoAnswer:
        """Make one call and report its outcome and duration."""
        started_at = seconds_since_boot()
        answer = await self._request(method, path, query, body, timeout_s)
        if self._on_call is not None:
            outcome = "no_answer" if isinstance(answer, NoAnswer) else str(answer[0])
            self._on_call(path.lstrip("/"), outcome, seconds_since_boot() - started_at)
        return answer

    async def _request(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | NoAnswer:
        """Send a request and read its answer; a connection without an answer is not reused."""
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._pool.acquire_idle(self.address)
                if connection is None:
                    connection = await self._pool.open(self.address, CONNECT_TIMEOUT_S)
                target = f"{path}?{urlencode(query)}".encode()
                headers = [(b"Host", self.address.encode())]
                if not connection.send(method.encode(), target, headers, body):
                    return NoAnswer("connection closed before the call was sent")
                head, data = await _read_whole(connection)
        except (TimeoutError, ConnectFailed, ConnectionBroken) as error:
            if connection is not None:
                connection.abort()
            return NoAnswer(str(error) or "timeout")
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        self._pool.release(connection)
        return head.status, data


async def _read_whole(connection: ClientConnection) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    parts: list[bytes] = []
    size = 0
    while (data := await connection.read_data()) is not None:
        parts.append(data)
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise ConnectionBroken("the answer exceeds the size limit")
    return head, b"".join(parts)


def _encode_entry(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_records(body: bytes, offset: int) -> tuple[tuple[Entry, ...], int, int]:
    if len(body) < OFFSETS.size:
        return (), offset, 0
    end, first = OFFSETS.unpack_from(body)
    entries = []
    position = OFFSETS.size
    while position + RECORD_LENGTH.size <= len(body):
        (size,) = RECORD_LENGTH.unpack_from(body, position)
        content = body[position + RECORD_LENGTH.size : position + RECORD_LENGTH.size + size]
        entries.append(_decode_record(content, offset))
        position += RECORD_LENGTH.size + size
        offset += 1
    return tuple(entries), end, first


def _decode_record(content: bytes, offset: int) -> Entry:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return Entry(key, content[1 + size :] or None, offset)


def _decode_entry(entry: dict[str, Any]) -> Entry:
    value = base64.b64decode(entry.get("value") or "")
    return Entry(str(entry["key"]), value or None, int(entry.get("offset", 0)))


def _decode_json(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _decode_reason(body: bytes) -> str:
    return str(_decode_json(body).get("reason", "")) or body[:80].decode("latin-1")
