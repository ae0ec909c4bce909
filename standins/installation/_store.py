"""The platform's store: topics of records with keys, in one partition each."""

import asyncio
import base64
import contextlib
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from poplarrun.transport import CallerConnection, CallerServer, RequestHead

LENGTH = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
PAGE = 500


@dataclass
class Topic:
    """Records in order; the newest of each key is kept for ever."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> int:
        """Add a record and return its offset."""
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of each key that has one."""
        found = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        return {key: entry for key, entry in found.items() if entry[1]}


class Store:
    """The store's HTTP service.

    Attributes
    ----------
    is_silent : bool
        Calls get no answer and do nothing.
    lost_appends : int
        So many next appends are done and get no answer.
    turned_away : set of str
        Addresses of its own at which calls get 503 and do nothing.
    calls : list of str
        Paths of the calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.is_silent = False
        self.lost_appends = 0
        self.turned_away: set[str] = set()
        self.calls: list[str] = []
        self.crashes: list[BaseException | None] = []
        self._servers: list[CallerServer] = []

    async def start(self, address: str) -> None:
        """Listen at one more address."""

        async def serve(caller: CallerConnection, head: RequestHead, body: bytes) -> None:
            if address in self.turned_away:
                caller.respond(503, [], b"{}")
                return
            await self._serve(caller, head, body)

        server = CallerServer(serve, self.crashes.append)
        server.bounds.body_bytes = 4 * 1024 * 1024
        self._servers.append(server)
        await server.listen(address)

    def topic(self, name: str) -> Topic:
        """Return a topic, which its first use creates."""
        return self.topics.setdefault(name, Topic())

    async def _serve(self, caller: CallerConnection, head: RequestHead, body: bytes) -> None:
        url = urlsplit(head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(url.path)
        if self.is_silent:
            await asyncio.sleep(30.0)
            return
        topic = self.topic(query["topic"])
        match url.path:
            case "/log-append":
                self._append(caller, topic, query, body)
            case "/log-newest":
                caller.respond(200, [], self._newest(topic, query.get("after", "")))
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
        place = 0
        while place < len(body):
            (size,) = LENGTH.unpack_from(body, place)
            content = body[place + LENGTH.size : place + LENGTH.size + size]
            key_size = content[0]
            topic.append(content[1 : 1 + key_size].decode(), content[1 + key_size :])
            place += LENGTH.size + size
        if self.lost_appends:
            self.lost_appends -= 1
            caller.abort_response()
            return
        answer = {"offset": end, "end": len(topic.records)}
        caller.respond(200, [], json.dumps(answer).encode())

    def _newest(self, topic: Topic, after: str) -> bytes:
        listed = sorted(topic.newest().items())
        page = [entry for entry in listed if entry[0] > after][:PAGE]
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in page
        ]
        has_more = bool(page) and page[-1][0] != listed[-1][0]
        answer = {"entries": entries, "hasMore": has_more, "end": len(topic.records)}
        return json.dumps(answer).encode()

    async def _read(self, caller: CallerConnection, topic: Topic, query: dict[str, str]) -> None:
        offset = int(query["from"])
        if offset < topic.first:
            caller.respond(410, [], json.dumps({"first": topic.first}).encode())
            return
        if offset >= len(topic.records) and "waitMs" in query:
            changed = topic.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), int(query["waitMs"]) / 1000.0)
        body = ENDS.pack(len(topic.records), topic.first)
        for key, value in topic.records[offset:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += LENGTH.pack(len(content)) + content
        caller.respond(200, [], body)
