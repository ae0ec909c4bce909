"""A simulated platform store: topics of keyed records, each with a single partition."""

import asyncio
import base64
import contextlib
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from poplarrun.transport import CallerConnection, CallerServer, RequestHead, ServerBounds

RECORD_LENGTH = struct.Struct(">I")
END_AND_FIRST_OFFSET = struct.Struct(">QQ")
PAGE_SIZE = 500


@dataclass
class Topic:
    """Records by offset, of which the latest of each key is always available."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first_offset: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Add a record and return its offset."""
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1

    def latest_entries(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value by key, without keys whose latest value is empty."""
        latest = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        return {key: entry for key, entry in latest.items() if entry[1]}


class Store:
    """The store's HTTP server.

    Attributes
    ----------
    is_silent : bool
        Whether calls get no answer and have no effect.
    unanswered_append_count : int
        Number of next appends that take effect but get no answer.
    rejecting_addresses : set of str
        The store's addresses at which calls get 503 and have no effect.
    called_paths : list of str
        Paths of all calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.is_silent = False
        self.unanswered_append_count = 0
        self.rejecting_addresses: set[str] = set()
        self.called_paths: list[str] = []
        self.handler_errors: list[BaseException | None] = []
        self._servers: list[CallerServer] = []

    async def start(self, address: str) -> None:
        """Listen on an additional address."""

        async def serve(caller: CallerConnection, head: RequestHead, body: bytes) -> None:
            if address in self.rejecting_addresses:
                caller.respond(503, [], b"{}")
                return
            await self._serve(caller, head, body)

        server = CallerServer(serve, self.handler_errors.append)
        server.bounds = ServerBounds(body_bytes=4 * 1024 * 1024)
        self._servers.append(server)
        await server.listen(address)

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())

    async def _serve(self, caller: CallerConnection, head: RequestHead, body: bytes) -> None:
        url = urlsplit(head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.called_paths.append(url.path)
        if self.is_silent:
            await asyncio.sleep(30.0)
            return
        topic = self.topic(query["topic"])
        match url.path:
            case "/log-append":
                self._append(caller, topic, query, body)
            case "/log-newest":
                caller.respond(200, [], self._encode_latest_page(topic, query.get("after", "")))
            case "/log-read":
                await self._read(caller, topic, query)
            case _:
                caller.respond(404, [], b"{}")

    def _append(
        self, caller: CallerConnection, topic: Topic, query: dict[str, str], body: bytes
    ) -> None:
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            caller.respond(412, [], json.dumps({"end": end}).encode())
            return
        position = 0
        while position < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, position)
            content = body[position + RECORD_LENGTH.size : position + RECORD_LENGTH.size + size]
            key_size = content[0]
            topic.append(content[1 : 1 + key_size].decode(), content[1 + key_size :])
            position += RECORD_LENGTH.size + size
        if self.unanswered_append_count:
            self.unanswered_append_count -= 1
            caller.abort_response()
            return
        answer = {"offset": end, "end": len(topic.records)}
        caller.respond(200, [], json.dumps(answer).encode())

    def _encode_latest_page(self, topic: Topic, after: str) -> bytes:
        listed = sorted(topic.latest_entries().items())
        page = [entry for entry in listed if entry[0] > after][:PAGE_SIZE]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in page
        ]
        has_more = bool(page) and page[-1][0] != listed[-1][0]
        answer = {"entries": entries, "hasMore": has_more, "end": len(topic.records)}
        return json.dumps(answer).encode()

    async def _read(self, caller: CallerConnection, topic: Topic, query: dict[str, str]) -> None:
        offset = int(query["from"])
        if offset < topic.first_offset:
            caller.respond(410, [], json.dumps({"first": topic.first_offset}).encode())
            return
        if offset >= len(topic.records) and "waitMs" in query:
            changed = topic.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), int(query["waitMs"]) / 1000.0)
        body = END_AND_FIRST_OFFSET.pack(len(topic.records), topic.first_offset)
        for key, value in topic.records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += RECORD_LENGTH.pack(len(content)) + content
        caller.respond(200, [], body)
