"""The HTTP server of a host: CherryPy on cheroot, its bounds and its certificate."""

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

REQUEST_QUEUE = 512
# Threads that a host starts with; the rest start while it already serves. On a
# busy machine 256 threads took a second, a third of a host's time to be ready.
FIRST_THREADS = 24
MAX_HEADER_BYTES = 32_768
# A socket that neither sends nor takes a byte for so long is closed: a
# half-open or very slow caller must not hold a thread.
SOCKET_TIMEOUT_S = 10
# Longest wait for an answer's last bytes to go out, after the last request ended.
SHUTDOWN_TIMEOUT_S = 5


class _LateHandshakeAdapter(BuiltinSSLAdapter):
    """Shakes hands on the connection's own thread instead of the accepting one.

    cheroot would shake hands where it accepts: one caller that connects and
    stays silent would keep all others out for the whole socket timeout.
    """

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket without waiting for its handshake."""
        wrapped = self.context.wrap_socket(sock, do_handshake_on_connect=False, server_side=True)
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class CallerCertificate:
    """The certificate that callers see; it can be renewed while the server runs."""

    def __init__(self, files: CallersTls) -> None:
        self._files = files
        self._changed_at = self._read_change()
        self.adapter = _LateHandshakeAdapter(str(files.certificate), str(files.key))

    def renew(self) -> bool:
        """Take new files up for connections from now on; tell whether there were any."""
        changed_at = self._read_change()
        if changed_at in (0.0, self._changed_at):
            return False
        self._changed_at = changed_at
        # Loaded into the context in use, a certificate would for a moment, or until the key
        # follows, stand there with the old key, and handshakes would fail.
        try:
            fresh = _LateHandshakeAdapter(str(self._files.certificate), str(self._files.key))
        except OSError as error:
            # A half-written file: the old certificate stays, the next change is tried again.
            component_logger("http").warning(
                "A certificate can't be read.", extra={"reason": str(error)}
            )
            return False
        self.adapter.context = fresh.context
        return True

    def _read_change(self) -> float:
        try:
            return max(float(p.stat().st_mtime) for p in (self._files.certificate, self._files.key))
        except OSError:
            return 0.0


class _Server(wsgi.Server):
    """Logs what cheroot has to say, such as a failed handshake, in the host's own form."""

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        component_logger("http").log(
            level, "The server.", extra={"reason": msg}, exc_info=traceback
        )


def make_server(
    settings: HostSettings,
    root: object,
    certificate: CallerCertificate | None,
    is_leaving: Callable[[], bool],
) -> wsgi.Server:
    """Return the server of a host, not listening yet."""

    def close_when_leaving() -> None:
        # A caller that keeps its connection would send its next request into
        # the moment at which the host closes it, and see a break.
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
    application.log.access = _log_no_access
    application.log.error_log.propagate = False
    ip, _, port = settings.listen.rpartition(":")
    server = _Server(
        (ip, int(port)),
        application,
        numthreads=min(FIRST_THREADS, settings.limits.threads),
        request_queue_size=REQUEST_QUEUE,
        timeout=SOCKET_TIMEOUT_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.ConnectionClass = Connection
    server.max_request_header_size = MAX_HEADER_BYTES
    if certificate is not None:
        server.ssl_adapter = certificate.adapter
    return server


def start_more_threads(server: wsgi.Server, settings: HostSettings) -> None:
    """Start the threads that ``make_server`` left out; called once the server serves."""
    server.requests.grow(max(0, settings.limits.threads - FIRST_THREADS))


def _log_no_access() -> None:
    """Spare the work of an access line: metrics count the requests, `explain` tells of each."""


def _answer_internal_error() -> None:
    """Answer a fault of ours in the callers' error form, without a trace of it."""
    request_id = cherrypy.response.headers.get(REQUEST_ID_HEADER)
    component_logger("http").error(
        "A handler failed.", exc_info=True, extra={"request_id": request_id}
    )
    refusal = Refusal(ErrorKind.INTERNAL, "an internal error; the outcome is unknown")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.body = [render_error(refusal)]
