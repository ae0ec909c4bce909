"""HTTP server that all stand-ins share, with a data port and a control port."""

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

DATA_PORT_THREADS = 48
CONTROL_PORT_THREADS = 2
MAX_BIND_ATTEMPTS = 5
JSON_CONTENT_TYPE = "application/json"
# A dropped connection announces a longer body than it sends, so that the reader detects it.
ANNOUNCED_BYTES = 1000


@dataclass(frozen=True, slots=True)
class Request:
    """A request; ``params`` are the path parameters, header names are in lower case with ``_``."""

    params: dict[str, str]
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Response:
    """A response; an iterator as ``body`` is streamed, ``length`` promises its size in bytes."""

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    content_type: str = JSON_CONTENT_TYPE
    length: int | None = None


class DropConnection(Exception):
    """Raised by a handler to close the connection without a complete response."""


Handler = Callable[[Request], Response]


@dataclass
class Route:
    """A method, a path pattern with ``{name}`` parameters, and the handler of matching requests."""

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
    """Base class of the stand-ins: a data port, and a control port that sets faults.

    ``PUT /faults`` on the control port merges a JSON object into ``faults``,
    ``GET /faults`` returns it, ``GET /events`` returns the recorded events.

    Parameters
    ----------
    faults : msgspec.Struct
        Initial faults; its fields are the faults that the stand-in can inject.
    host : str
        IP address to listen on.
    port, control_port : int
        Ports to listen on; 0 selects a free one.
    threads : int
        Maximum number of concurrent requests on the data port.
    """

    def __init__(
        self,
        faults: Any,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
        threads: int = DATA_PORT_THREADS,
    ) -> None:
        self.faults = faults
        self.events: list[dict[str, Any]] = []
        self._data = _make_server(host, port, self.routes(), threads)
        self._control = _make_server(
            host, control_port, self._control_routes(), CONTROL_PORT_THREADS
        )
        self._may_change_port = {self._data: port == 0, self._control: control_port == 0}

    @property
    def address(self) -> str:
        """``ip:port`` of the data port."""
        return _address(self._data)

    @property
    def control_address(self) -> str:
        """``ip:port`` of the control port."""
        return _address(self._control)

    def routes(self) -> list[Route]:
        """Return the routes of the data port."""
        raise NotImplementedError

    def start(self) -> "StandIn":
        """Serve both ports in background threads of this process."""
        for server in (self._data, self._control):
            self._bind(server)
            threading.Thread(target=server.serve, daemon=True).start()
        return self

    def _bind(self, server: wsgi.Server) -> None:
        """Bind the port, or another if a process has bound it since it was selected."""
        for attempts_left in reversed(range(MAX_BIND_ATTEMPTS)):
            try:
                server.prepare()
                return
            except OSError:
                if not self._may_change_port[server] or not attempts_left:
                    raise
                host, _ = server.bind_addr
                server.bind_addr = (host, free_port(host))

    def stop(self) -> None:
        """Stop serving both ports."""
        self._data.stop()
        self._control.stop()

    def record(self, kind: str, **fields: Any) -> None:
        """Append an event to the list that ``GET /events`` returns."""
        self.events.append({"at": time.time(), "kind": kind, **fields})

    def set_faults(self, **changes: Any) -> None:
        """Set some faults and keep the others."""
        current_faults = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**current_faults, **changes}, type=type(self.faults))

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
    server.error_log = _discard_log_line
    server.timeout = 600
    # Select the port now, so that the address is known before the server starts.
    server.bind_addr = (host, port or free_port(host))
    return server


def _discard_log_line(*_: Any, **__: Any) -> None:
    """Discard the errors of connections that tests drop on purpose."""


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
        path_match = route.pattern.match(environ["PATH_INFO"])
        if path_match and route.method == environ["REQUEST_METHOD"]:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
            headers = {k[5:].lower(): v for k, v in environ.items() if k.startswith("HTTP_")}
            body = environ["wsgi.input"].read(length) if length else b""
            try:
                return route.handler(Request(path_match.groupdict(), query, body, headers))
            except DropConnection:
                return Response(200, _truncated_body(), length=ANNOUNCED_BYTES)
    return json_response({"error": "no such path"}, 404)


def _truncated_body() -> Iterator[bytes]:
    """Close the connection before the body is complete."""
    yield b" "
    raise DropConnection
