"""Stand-ins for the platform's store, runners and clients, and hosts as processes of their own.

Everything listens on loopback addresses and needs the standard library only.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shlex
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
KEY = "counter-key"
TENANT = "shop"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
SETTLE_S = 3.0
RESTART_DELAY_S = 0.3
PIECE_INTERVAL_S = 0.01
MAX_PLAY_S = 110.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._lines.append(f"{time.monotonic() - self._began_at:8.3f} s  {text}")

    def write(self, folder: Path) -> None:
        """Write the lines to ``record.txt``."""
        (folder / "record.txt").write_text("\n".join(self._lines) + "\n")


@dataclass
class Message:
    """The head and body of a request or an answer.

    Attributes
    ----------
    first : str
        The request line or the status line.
    is_whole : bool
        Whether its body was complete.
    """

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of an answer; 0 if the channel closed without one."""
        words = self.first.split()
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


async def read_message(reader: asyncio.StreamReader, is_answer: bool = False) -> Message | None:
    """Read a request or an answer; None if the channel ended before its head was complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(first, headers)
    try:
        if headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, message)
        elif "content-length" in headers:
            message.body = await reader.readexactly(int(headers["content-length"]))
        elif is_answer:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.body += getattr(error, "partial", b"")
        message.is_whole = False
    return message


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        message.body += data[:-2]


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join([*lines, f"Content-Length: {len(body)}"]) + "\r\n\r\n").encode() + body


@dataclass
class Topic:
    """Keyed records by offset."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, key: str, value: bytes) -> None:
        """Add a record."""
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store: topics of keyed records, with one partition each."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**22)
        self.address = "127.0.0.1:" + str(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                status, body = await self._answer(message)
                writer.write(encode_answer(status, {}, body))
                await writer.drain()
        writer.close()

    async def _answer(self, message: Message) -> tuple[int, bytes]:
        path, _, text = message.first.split()[1].partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&"))
        topic = self.topic(query["topic"])
        match path:
            case "/log-append":
                return self._append(topic, query, message.body)
            case "/log-newest":
                return 200, self._encode_newest(topic, query.get("after", ""))
            case "/log-read":
                return 200, await self._read(topic, query)
        return 404, b"{}"

    @staticmethod
    def _append(topic: Topic, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        offset = len(topic.records)
        if "at" in query and int(query["at"]) != offset:
            return 412, json.dumps({"end": offset}).encode()
        while body:
            (size,) = struct.unpack_from(">I", body)
            content, body = body[4 : 4 + size], body[4 + size :]
            topic.append(content[1 : 1 + content[0]].decode(), content[1 + content[0] :])
        return 200, json.dumps({"offset": offset, "end": len(topic.records)}).encode()

    @staticmethod
    def _encode_newest(topic: Topic, after: str) -> bytes:
        newest = {key: (number, value) for number, (key, value) in enumerate(topic.records)}
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": number}
            for key, (number, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {"entries": entries[:500], "hasMore": len(entries) > 500}
        return json.dumps({**page, "end": len(topic.records)}).encode()

    @staticmethod
    async def _read(topic: Topic, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        if offset >= len(topic.records) and "waitMs" in query:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await topic.changed.wait()
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[offset:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return body


@dataclass
class Run:
    """A request that a runner runs.

    Attributes
    ----------
    left_at : float, optional
        When its channel was found closed.
    """

    runner: "Runner"
    request: Message
    writer: asyncio.StreamWriter
    began_at: float
    left_at: float | None = None

    @property
    def id(self) -> str:
        """The client's id of the attempt."""
        return self.request.headers.get("x-attempt-id", "")

    @property
    def signed(self) -> dict[str, str]:
        """Headers of an answer of this runner to this request."""
        return {"X-Attempt-Id": self.id, "X-Instance-Signature": f"signed-{self.runner.id}"}

    def respond(self, status: int = 200, body: bytes = b"answer") -> None:
        """Send a whole answer."""
        self.writer.write(encode_answer(status, self.signed, body))

    def reset(self) -> None:
        """Reset the channel."""
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def begin_stream(self) -> None:
        """Send the head of a stream of events, which comes in chunks."""
        head = {**self.signed, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 -", *(f"{name}: {value}" for name, value in head.items())]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def send_event(self, number: int) -> None:
        """Send one event of a stream."""
        event = f"id: {number}\ndata: piece {number} of {self.id}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self) -> None:
        """Complete a stream."""
        self.writer.write(b"0\r\n\r\n")


Behaviour = Callable[[Run], Awaitable[None]]


async def answer_at_once(run: Run) -> None:
    """Answer a request with success."""
    run.respond()


async def stream_at_once(run: Run) -> None:
    """Answer a request with a short stream."""
    run.begin_stream()
    for number in range(int(run.request.headers.get("last-event-id", "0")) + 1, 4):
        await asyncio.sleep(0.03)
        run.send_event(number)
    run.end_stream()


class Runner:
    """A runner of a service.

    Parameters
    ----------
    behaviour : callable
        Coroutine function that answers one request.
    """

    def __init__(
        self,
        rig: "Rig",
        id: str,
        service: str,
        behaviour: Behaviour = answer_at_once,
        version: str = "v1",
        zone: str = "a",
        slots: int = 64,
    ) -> None:
        self.rig, self.id, self.service, self.behaviour = rig, id, service, behaviour
        self.version, self.zone, self.slots = version, zone, slots
        self.address = ""
        self.runs: list[Run] = []
        self.phase = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port, or again at the port before, and register."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=2**22)
        self.address = "127.0.0.1:" + str(self._server.sockets[0].getsockname()[1])
        self.register()

    def register(self) -> None:
        """Write the runner's entry to the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "phase": self.phase,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.rig.store.topic("keyed.servers").append(self.id, json.dumps(entry).encode())

    def close(self) -> None:
        """Close all channels."""
        for writer in list(self._writers):
            writer.close()

    def crash(self) -> None:
        """End as a killed process does: no new channels, and all others are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                if not await self._handle(request, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the channel stays open."""
        if request.first.split()[1] == "/healthz":
            writer.write(encode_answer(200, {"X-Instance-Id": self.id}, b""))
            return True
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.id):
            writer.write(encode_answer(421, {"X-Instance-Id": self.id}, b""))
            return True
        run = Run(self, request, writer, time.monotonic())
        self.runs.append(run)
        self.rig.record.note(f"runner {self.id} runs {run.id}: {request.first}")
        work = asyncio.ensure_future(self.behaviour(run))
        gone = asyncio.ensure_future(_wait_until_closed(reader))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        if gone.done() and not work.done():
            run.left_at = time.monotonic()
            self.rig.record.note(f"runner {self.id}: the channel of {run.id} is closed")
        work.cancel()
        gone.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)
        return not writer.is_closing() and run.left_at is None


async def _wait_until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the peer closes its side; bytes that come before stay unread."""
    while not reader.at_eof() and reader.exception() is None:
        if reader._buffer:  # type: ignore[attr-defined]
            await asyncio.sleep(0.02)
            continue
        with contextlib.suppress(ConnectionError):
            await reader._wait_for_data("read")  # type: ignore[attr-defined]


@dataclass
class Host:
    """A host, with its addresses and its process."""

    name: str
    ip: str
    zone: str
    addresses: dict[str, str]
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def frontend(self) -> tuple[str, int]:
        """Where clients connect."""
        ip, _, port = self.addresses["frontend"].rpartition(":")
        return ip, int(port)


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return rising ports that are free at all of some addresses."""
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            first = socket.socket()
            held.append(first)
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    other = socket.socket()
                    held.append(other)
                    other.bind((ip, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for each in held:
            each.close()
    return sorted(ports)


class Rig:
    """A small deployment: a store, runners, and hosts with the commands of the deploy file.

    Attributes
    ----------
    config : dict
        The operator's config; ``publish`` writes it with a higher version.
    """

    def __init__(self, folder: Path, hosts: int = 3, zones: str = "abc") -> None:
        self.folder = folder
        self.record = Record()
        self.store = Store()
        self.runners: dict[str, Runner] = {}
        self.bounds: dict[str, Any] = dict(DEFAULT_BOUNDS)
        self.config: dict[str, Any] = json.loads(json.dumps(DEFAULT_CONFIG))
        self._numbers = itertools.count(1)
        self._channels: list[Channel] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="rig-")
        ips = [f"127.0.0.{number + 1}" for number in range(hosts)]
        self._ports = dict(zip(PORT_NAMES, _free_ports(ips, len(PORT_NAMES)), strict=True))
        self.hosts = [
            self._create_host(number, ip, zones[number % len(zones)])
            for number, ip in enumerate(ips)
        ]

    def _create_host(self, number: int, ip: str, zone: str) -> Host:
        scratch = Path(self._temporary.name)
        addresses = {name: f"{ip}:{port}" for name, port in self._ports.items()}
        name = f"edge-{number}"
        return Host(name, ip, zone, addresses, scratch / f"{name}.yaml", scratch / f"{name}.log")

    async def __aenter__(self) -> "Rig":
        await self.store.start()
        self.publish()
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for runner in self.runners.values():
            runner.close()
        for writer in self.store.writers:
            writer.close()
        for channel in self._channels:
            channel.close()
        await asyncio.sleep(0.1)
        self.record.write(self.folder)
        self._temporary.cleanup()

    def publish(self) -> None:
        """Write the config with a higher version; the store's answer is the confirmation."""
        self.config["version"] += 3
        text = json.dumps(self.config).encode()
        self.store.topic("keyed.op").append("config", text)
        self.record.note(f"the operator's config {self.config['version']} is confirmed")

    def order_rollout(self, service: str, target: str, duration_s: float) -> None:
        """Order that a service's traffic be moved to a version."""
        order = {"service": service, "target": target, "durationS": duration_s}
        self.store.topic("keyed.op").append(f"rollout/{service}", json.dumps(order).encode())
        self.record.note(f"the operator orders {service} to be moved to {target}")

    async def add_runner(self, id: str, service: str, *args: Any, **options: Any) -> Runner:
        """Start a runner and register it."""
        runner = self.runners[id] = Runner(self, id, service, *args, **options)
        await runner.start()
        return runner

    async def start_host(self, host: Host) -> None:
        """Start a host's process."""
        self._write_settings(host)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        environment = {
            "PATH": os.environ["PATH"],
            "POPLARRUN_NODE_FILE": str(host.settings),
            "PYTHONPATH": "target/deps",
            **role["env"],
            "POPLARRUN_METRICS_PORT": host.addresses["metrics"].rpartition(":")[2],
        }
        with host.log.open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{host.name} started")

    async def start_hosts(self) -> None:
        """Start all hosts, and wait until they are ready and have their shares of budgets."""
        for host in self.hosts:
            await self.start_host(host)
        for host in self.hosts:
            await self.wait_until_ready(host)
        await asyncio.sleep(SETTLE_S)

    async def wait_until_ready(self, host: Host) -> None:
        """Wait until a host says that it is ready.

        Raises
        ------
        CannotRun
            When it doesn't in time.
        """
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            if await self.is_ready(host):
                self.record.note(f"{host.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{host.name} is not ready: {host.log.read_text()[-2000:]}")

    async def is_ready(self, host: Host) -> bool:
        """Return whether a host answers its readiness check with 200."""
        ip, _, port = host.addresses["readiness"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: host\r\n\r\n")
                answer = await read_message(reader, True)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def _write_settings(self, host: Host) -> None:
        """Write a host's settings file; JSON is YAML as well."""
        listen = {name: host.addresses[name] for name in ("frontend", "readiness", "controlPlane")}
        settings = {
            "nodeName": host.name,
            "role": "entry",
            "machineClass": "edge",
            "ip": host.ip,
            "zone": host.zone,
            "listen": listen,
            "portRange": [self._ports["relay"] - 1, self._ports["metrics"]],
            "seeds": [each.addresses["controlPlane"] for each in self.hosts[:3]],
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1200,
            "bounds": self.bounds,
            "platform": {"address": self.store.address, "form": "log"},
        }
        host.settings.write_text(json.dumps(settings))

    def new_id(self) -> str:
        """Return an id for the next client attempt."""
        return f"{next(self._numbers):016x}"

    def encode_request(
        self, path: str, method: str = "GET", key: str = KEY, body: bytes = b"", **more: str
    ) -> tuple[str, bytes]:
        """Return the id of a new client attempt, and the bytes of its request."""
        id = self.new_id()
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {key}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        return id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def connect(self, host: Host) -> "Channel":
        """Open a channel of a client to a host."""
        reader, writer = await asyncio.open_connection(*host.frontend, limit=2**22)
        channel = Channel(host, reader, writer)
        self._channels.append(channel)
        return channel

    async def call(self, host: Host, path: str, timeout_s: float = 8.0, **options: Any) -> "Call":
        """Send a request on a new channel and wait for its answer."""
        try:
            channel = await self.connect(host)
        except OSError as error:
            raise CannotRun(f"{host.name} takes no channel: {error}") from error
        call = await self.call_on(channel, path, timeout_s, **options)
        channel.close()
        return call

    async def call_on(
        self,
        channel: "Channel",
        path: str,
        timeout_s: float = 8.0,
        pieces: int = 1,
        **options: Any,
    ) -> "Call":
        """Send a request on a channel and wait for its answer.

        Parameters
        ----------
        pieces : int
            The request is sent in so many parts, some ms apart, as a link with small packets does.
        """
        id, data = self.encode_request(path, **options)
        call = Call(id, time.monotonic())
        self.record.note(f"client sends {id} to {channel.host.name}: {path}, {len(data)} bytes")
        size = -(-len(data) // pieces)
        try:
            async with asyncio.timeout(timeout_s):
                for begin in range(0, len(data), size):
                    channel.writer.write(data[begin : begin + size])
                    if pieces > 1:
                        await asyncio.sleep(PIECE_INTERVAL_S)
                call.answer = await read_message(channel.reader, True)
        except (OSError, TimeoutError):
            pass
        call.ended_at = time.monotonic()
        self.note_answer(call)
        return call

    def note_answer(self, call: "Call") -> None:
        """Note how a client attempt has ended."""
        text = "no answer" if call.answer is None else call.answer.first
        body = b"" if call.answer is None else call.answer.body[:80]
        self.record.note(f"client gets for {call.id}: {text} {body!r}")

    def runs_of(self, id: str) -> list[Run]:
        """Return the runs of a client attempt at all runners."""
        return [run for runner in self.runners.values() for run in runner.runs if run.id == id]


@dataclass
class Channel:
    """A channel of a client to a host."""

    host: Host
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()


@dataclass
class Call:
    """A client attempt and its answer."""

    id: str
    sent_at: float
    answer: Message | None = None
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Status of the answer; 0 if there was none."""
        return 0 if self.answer is None else self.answer.status

    @property
    def is_own(self) -> bool:
        """Whether a host made the answer: no runner signed it."""
        return self.answer is not None and "x-instance-signature" not in self.answer.headers


PORT_NAMES = ("frontend", "readiness", "controlPlane", "relay", "metrics")
DEFAULT_BOUNDS = {
    "stableWindowMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "retryRatio": 0.9,
    "retryWindowS": 10,
    "retryAllowance": 52,
    "exposureShare": 0.15,
    "exposureAllowance": 30,
    "rollbackMs": 5000,
    "sessionS": 5,
}
_ROUTE = {
    "host": HOST_NAME,
    "timeoutMs": 4000,
    "targetLatencyMs": 1000,
    "maxAttempts": 3,
    "priority": 1,
    "public": False,
}
DEFAULT_CONFIG = {
    "version": 1,
    "routes": [
        {**_ROUTE, "name": "lookup", "pathPrefix": "/lookup/", "type": "idempotent"}
        | {"service": "stock"},
        {**_ROUTE, "name": "order", "pathPrefix": "/order/", "type": "non_idempotent"}
        | {"service": "stock", "maxAttempts": 1},
        {**_ROUTE, "name": "draft", "pathPrefix": "/draft/", "type": "streaming"}
        | {"service": "engines", "resumable": True, "gapGoalMs": 1000, "sizes": ["small", "large"]},
    ],
    "services": [
        {"name": "stock", "healthPath": "/healthz", "maxConns": 96},
        {
            "name": "engines",
            "healthPath": "/healthz",
            "maxConns": 360,
            "engine": {
                "slots": 64,
                "kvCapacity": 400_000,
                "models": [{"name": "small", "cost": 0.008}, {"name": "large", "cost": 0.12}],
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": TENANT, "apiKeys": [KEY, "second-key"], "priority": 1}],
}


def main(folder: Path, play: Callable[[bool], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Parameters
    ----------
    play : callable
        Coroutine function that gets whether there is trouble, and returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_in_time() -> bool:
        async with asyncio.timeout(MAX_PLAY_S):
            return await play(has_trouble)

    try:
        holds = asyncio.run(play_in_time())
    except Exception as error:
        # An error of the case itself must not look like a broken rule.
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    print("the rule held" if holds else "the rule was broken")
    sys.exit(HELD if holds else BROKEN)
