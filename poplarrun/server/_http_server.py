"""The HTTP server of a host: CherryPy on cheroot, with limits and a reloadable certificate."""

import socket
import ssl
from collections.abc import Callable

import cherrypy
from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from poplarrun.errors import ErrorKind, Refusal
from poplarrun.logging import component_logger
from poplarrun.server._bodies import render_error
from poplarrun.server._callers import REQUEST_ID_HEADER
from poplarrun.server._connections import Connection
from poplarrun.settings import CallersTls, HostSettings

REQUEST_QUEUE_SIZE = 512
# Threads that are started before the server serves; the rest start while it already serves.
# On a busy machine 256 threads took a second, a third of the time until a host was ready.
INITIAL_THREADS = 24
MAX_HEADER_BYTES = 32_768
# Seconds without any data in either direction after which a socket is closed, so that a
# half-open or very slow connection doesn't occupy a thread.
SOCKET_TIMEOUT_S = 10
# Maximum time in seconds to send the last bytes of answers after the last request ended.
SHUTDOWN_TIMEOUT_S = 5


class _DeferredHandshakeAdapter(BuiltinSSLAdapter):
    """Performs the TLS handshake on the thread of the connection, not on the accepting one.

    cheroot performs the handshake in the accept loop, where one caller that connects and stays
    silent would block all others for the whole socket timeout.
    """

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket without waiting for its handshake."""
        wrapped = self.context.wrap_socket(sock, do_handshake_on_connect=False, server_side=True)
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class ReloadableCertificate:
    """The TLS certificate for callers, which can be replaced while the server runs."""

    def __init__(self, files: CallersTls) -> None:
        self._files = files
        self._modified_at = self._read_modified_at()
        self.adapter = _DeferredHandshakeAdapter(str(files.certificate), str(files.key))

    def reload(self) -> bool:
        """Load changed files for new connections; return whether they were loaded."""
        modified_at = self._read_modified_at()
        if modified_at in (0.0, self._modified_at):
            return False
        self._modified_at = modified_at
        # A new context is created, since a certificate loaded into the current one would be
        # used with the old key until the new key is loaded, and handshakes would fail.
        try:
            reloaded = _DeferredHandshakeAdapter(str(self._files.certificate), str(self._files.key))
        except OSError as error:
            # The file is incomplete: the old certificate is used until the next change.
            component_logger("http").warning(
                "The TLS certificate or key can't be loaded; the previous one stays in use.",
                extra={"reason": str(error)},
            )
            return False
        self.adapter.context = reloaded.context
        return True

    def _read_modified_at(self) -> float:
        try:
            return max(float(p.stat().st_mtime) for p in (self._files.certificate, self._files.key))
        except OSError:
            return 0.0


class _Server(wsgi.Server):
    """Logs errors of cheroot, such as a failed handshake, in the host's log format."""

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        component_logger("http").log(
            level, "The HTTP server reported an error.", extra={"reason": msg}, exc_info=traceback
        )


def make_server(
    settings: HostSettings,
    root: object,
    certificate: ReloadableCertificate | None,
    is_leaving: Callable[[], bool],
) -> wsgi.Server:
    """Create the server of a host, which isn't listening yet."""

    def close_when_leaving() -> None:
        # A caller that keeps its connection open could send its next request just when the
        # host closes it, and get a connection error.
        if is_leaving():
            cherrypy.response.headers["Connection"] = "close"

    config = {
        "/": {
            "tools.encode.on": False,
            "request.show_tracebacks": False,
            "request.error_response": _answer_internal_error,
            "request.body.maxbytes": 0,
            "tools.trailing_slash.on": False,
            "hooks.before_finalize": close_when_leaving,
        }
    }
    application = cherrypy.Application(root, "", config)
    application.log.access = _skip_access_log
    application.log.error_log.propagate = False
    ip, _, port = settings.listen.rpartition(":")
    server = _Server(
        (ip, int(port)),
        application,
        numthreads=min(INITIAL_THREADS, settings.limits.threads),
        request_queue_size=REQUEST_QUEUE_SIZE,
        timeout=SOCKET_TIMEOUT_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.ConnectionClass = Connection
    server.max_request_header_size = MAX_HEADER_BYTES
    if certificate is not None:
        server.ssl_adapter = certificate.adapter
    return server


def start_remaining_threads(server: wsgi.Server, settings: HostSettings) -> None:
    """Start the threads that ``make_server`` didn't; called once the server serves."""
    server.requests.grow(max(0, settings.limits.threads - INITIAL_THREADS))


def _skip_access_log() -> None:
    """Write no access log: metrics count the requests, and ``explain`` shows each of them."""


def _answer_internal_error() -> None:
    """Answer an unhandled exception in the API's error format, without a traceback."""
    request_id = cherrypy.response.headers.get(REQUEST_ID_HEADER)
    component_logger("http").error(
        "An HTTP request handler failed.", exc_info=True, extra={"request_id": request_id}
    )
    refusal = Refusal(ErrorKind.INTERNAL, "an internal error; the outcome is unknown")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.body = [render_error(refusal)]
