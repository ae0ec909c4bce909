"""A small HTTP server with a data port and a control port, for all stand-ins."""

import re
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

from standins._ports import free_port

DATA_THREADS = 48
CONTROL_THREADS = 2
BIND_TRIES = 5
JSON = "application/json"
# A dropped connection promises more bytes than it sends, so the reader sees the break.
PROMISED_BYTES = 1000


@dataclass(frozen=True, slots=True)
class Request:
    """One request: path parameters, query, body and headers."""

    params: dict[str, str]
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Response:
    """One response; an iterator as ``body`` is streamed, ``length`` promises its size."""

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    content_type: str = JSON
    length: int | None = None


class DropConnection(Exception):
    """Raised by a handler: the connection closes without an answer."""


Handler = Callable[[Request], Response]


@dataclass
class Route:
    """A method and a path with ``{name}`` parts, and what answers it."""

    method: str
    path: str
    handler: Handler
    pattern: re.Pattern[str] = field(init=False)

    def __post_init__(self) -> None:
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", self.path)
        self.pattern = re.compile(f"^{expression}$")


def json_response(value: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value))


class StandIn:
    """A stand-in: its own port, and a control port that sets its faults.

    ``PUT /faults`` on the control port merges a JSON object into ``faults``,
    ``GET /faults`` shows it, ``GET /events`` shows what happened.

    Parameters
    ----------
    faults : msgspec.Struct
        The faults that this stand-in knows, all off.
    host : str
        IP to listen on.
    port, control_port : int
        Ports; 0 takes a free one.
    threads : int
        Requests that the data port serves at once.
    """

    def __init__(
        self,
        faults: Any,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
        threads: int = DATA_THREADS,
    ) -> None:
        self.faults = faults
        self.events: list[dict[str, Any]] = []
        self._data = _make_server(host, port, self.routes(), threads)
        self._control = _make_server(host, control_port, self._control_routes(), CONTROL_THREADS)
        self._may_move = {self._data: port == 0, self._control: control_port == 0}

    @property
    def address(self) -> str:
        """``ip:port`` of the data port."""
        return _address(self._data)

    @property
    def control_address(self) -> str:
        """``ip:port`` of the control port."""
        return _address(self._control)

    def routes(self) -> list[Route]:
        """Return the data port's routes."""
        raise NotImplementedError

    def start(self) -> "StandIn":
        """Serve in threads of this process."""
        for server in (self._data, self._control):
            self._bind(server)
            threading.Thread(target=server.serve, daemon=True).start()
        return self

    def _bind(self, server: wsgi.Server) -> None:
        """Bind a port; another process may have taken it since it was looked for."""
        for tries_left in reversed(range(BIND_TRIES)):
            try:
                server.prepare()
                return
            except OSError:
                if not self._may_move[server] or not tries_left:
                    raise
                host, _ = server.bind_addr
                server.bind_addr = (host, free_port(host))

    def stop(self) -> None:
        """Stop both ports."""
        self._data.stop()
        self._control.stop()

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event to the history."""
        self.events.append({"at": time.time(), "kind": kind, **fields})

    def set_faults(self, **changes: Any) -> None:
        """Merge changes into the faults."""
        current = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**current, **changes}, type=type(self.faults))

    def _control_routes(self) -> list[Route]:
        return [
            Route("GET", "/faults", lambda _: json_response(self.faults)),
            Route("PUT", "/faults", self._put_faults),
            Route("GET", "/events", lambda _: json_response(self.events)),
        ]

    def _put_faults(self, request: Request) -> Response:
        try:
            self.set_faults(**msgspec.json.decode(request.body))
        except (msgspec.MsgspecError, TypeError) as error:
            return json_response({"error": str(error)}, 400)
        return json_response(self.faults)


def _make_server(host: str, port: int, routes: list[Route], threads: int) -> wsgi.Server:
    server = wsgi.Server(
        (host, port), _application(routes), numthreads=threads, request_queue_size=256
    )
    server.shutdown_timeout = 1
    server.error_log = _log_nothing
    server.timeout = 600
    # Bind now, so that the address is known before the server runs.
    server.bind_addr = (host, port or free_port(host))
    return server


def _log_nothing(*_: Any, **__: Any) -> None:
    """Keep dropped connections, which the tests order, off standard error."""


def _address(server: wsgi.Server) -> str:
    host, port = server.bind_addr
    return f"{host}:{port}"


def _application(routes: list[Route]) -> Callable[..., Iterable[bytes]]:
    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        response = _dispatch(routes, environ)
        headers = [("Content-Type", response.content_type)]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            start_response(f"{response.status} Status", headers)
            return [response.body]
        if response.length is not None:
            headers.append(("Content-Length", str(response.length)))
        start_response(f"{response.status} Status", headers)
        return response.body

    return application


def _dispatch(routes: list[Route], environ: dict[str, Any]) -> Response:
    for route in routes:
        found = route.pattern.match(environ["PATH_INFO"])
        if found and route.method == environ["REQUEST_METHOD"]:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
            headers = {k[5:].lower(): v for k, v in environ.items() if k.startswith("HTTP_")}
            body = environ["wsgi.input"].read(length) if length else b""
            try:
                return route.handler(Request(found.groupdict(), query, body, headers))
            except DropConnection:
                return Response(200, _broken_body(), length=PROMISED_BYTES)
    return json_response({"error": "no such path"}, 404)


def _broken_body() -> Iterator[bytes]:
    """Close the connection before the answer is whole."""
    yield b" "
    raise DropConnection
