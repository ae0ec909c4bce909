"""The one client of the platform's store: an append-only log of topics with partitions."""

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
# Longest wait for an answer beyond the wait that the call itself asks for, in
# seconds. A slow store takes about 0.3 s; a connection that has gone silent must be
# given up well within the bound on the age of keys.
ANSWER_TIMEOUT_S = 1.2
# The same for a read that the store holds back: the next one has to end within the bound as
# well, on a new connection.
HELD_TIMEOUT_S = 0.7
LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
MILLISECONDS = 1000.0
MOST_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Entry:
    """A record with a key.

    Attributes
    ----------
    value : bytes, optional
        None where the record takes the key away.
    """

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class Records:
    """Records of a partition in order, each with its offset.

    Attributes
    ----------
    end, first : int
        Offset of the next record, and of the oldest one kept.
    true_at : float
        When nothing else was there for sure, in seconds of ``seconds_since_boot``.
    """

    entries: tuple[Entry, ...]
    end: int
    first: int
    true_at: float


@dataclass(frozen=True, slots=True)
class LatestRecords:
    """The newest record of each key."""

    entries: tuple[Entry, ...]
    end: int
    true_at: float


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the log."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Moved:
    """The partition did not end where the append said; nothing was done.

    Attributes
    ----------
    end : int
        Where it ends.
    """

    end: int


@dataclass(frozen=True, slots=True)
class OffsetExpired:
    """The records from this offset on are no longer kept.

    Attributes
    ----------
    first : int
        Oldest offset that is.
    """

    first: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The store did nothing: busy, over its limits, or it turns this host away."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came: a change may have been made, or may be made seconds later."""

    reason: str


Failure = Refused | NoAnswer


class StoreClient:
    """Calls of the store; every call ends within its time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    record : callable, optional
        Told of each call's name, outcome and seconds.
    """

    def __init__(
        self, address: str, record: Callable[[str, str, float], None] | None = None
    ) -> None:
        self.address = address
        self._record = record
        self._pool = ConnectionPool()

    async def read(
        self, topic: str, offset: int, wait_s: float = 0.0
    ) -> Records | OffsetExpired | Failure:
        """Read records with keys, waiting for the first one for some time."""
        query: dict[str, Any] = {"topic": topic, "part": 0, "from": offset}
        if wait_s > 0.0:
            query["waitMs"] = int(wait_s * MILLISECONDS)
        sent_at = seconds_since_boot()
        beyond_s = HELD_TIMEOUT_S if wait_s > 0.0 else ANSWER_TIMEOUT_S
        answer = await self._call("GET", "/log-read", query, b"", wait_s + beyond_s)
        match answer:
            case (200, body):
                entries, end, first = _decode_records(body, offset)
                # An empty answer was held back for the whole wait, so it is as true
                # as at its end; any other one is only known to be later than the call.
                is_waited = not entries and wait_s > 0.0
                return Records(entries, end, first, sent_at + (wait_s if is_waited else 0.0))
            case (410, body):
                return OffsetExpired(int(_decode_json(body).get("first", 0)))
            case (status, body):
                return Refused(status, _reason(body))
        return answer

    async def read_latest(self, topic: str) -> LatestRecords | Failure:
        """Read the newest record of each key, page by page.

        Pages are no snapshot: what changes meanwhile is read again from ``end`` on,
        which is that of the first page.
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
                    return Refused(status, _reason(body))
                case failure:
                    return failure
            listed = page.get("entries", [])
            entries += [_decode_entry(entry) for entry in listed]
            end = page.get("end", 0) if end is None else end
            if not page.get("hasMore") or not listed:
                return LatestRecords(tuple(entries), int(end or 0), sent_at)
            after = listed[-1]["key"]

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes | None]], at: int | None = None
    ) -> Appended | Moved | Failure:
        """Append records with keys, all or nothing.

        Parameters
        ----------
        at : int, optional
            Only if the partition ends there.
        """
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        body = b"".join(_encode_entry(key, value) for key, value in entries)
        answer = await self._call("POST", "/log-append", query, body, ANSWER_TIMEOUT_S)
        match answer:
            case (200, data):
                done = _decode_json(data)
                return Appended(int(done.get("offset", 0)), int(done.get("end", 0)))
            case (412, data):
                return Moved(int(_decode_json(data).get("end", 0)))
            case (status, data):
                return Refused(status, _reason(data))
        return answer

    async def _call(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | NoAnswer:
        """Make one call, and tell how long it took."""
        began_at = seconds_since_boot()
        answer = await self._exchange(method, path, query, body, timeout_s)
        if self._record is not None:
            outcome = "no_answer" if isinstance(answer, NoAnswer) else str(answer[0])
            self._record(path.lstrip("/"), outcome, seconds_since_boot() - began_at)
        return answer

    async def _exchange(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | NoAnswer:
        """Send and read once; a connection without an answer is never used again."""
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._pool.acquire_idle(self.address)
                if connection is None:
                    connection = await self._pool.open(self.address, CONNECT_TIMEOUT_S)
                target = f"{path}?{urlencode(query)}".encode()
                headers = [(b"Host", self.address.encode())]
                if not connection.send(method.encode(), target, headers, body):
                    return NoAnswer("closed before the call")
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
        if size > MOST_ANSWER_BYTES:
            raise ConnectionBroken("the answer is too large")
    return head, b"".join(parts)


def _encode_entry(key: str, value: bytes | None) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return LENGTH.pack(len(content)) + content


def _decode_records(body: bytes, offset: int) -> tuple[tuple[Entry, ...], int, int]:
    if len(body) < ENDS.size:
        return (), offset, 0
    end, first = ENDS.unpack_from(body)
    entries = []
    place = ENDS.size
    while place + LENGTH.size <= len(body):
        (size,) = LENGTH.unpack_from(body, place)
        content = body[place + LENGTH.size : place + LENGTH.size + size]
        entries.append(_decode_content(content, offset))
        place += LENGTH.size + size
        offset += 1
    return tuple(entries), end, first


def _decode_content(content: bytes, offset: int) -> Entry:
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


def _reason(body: bytes) -> str:
    return str(_decode_json(body).get("reason", "")) or body[:80].decode("latin-1")
