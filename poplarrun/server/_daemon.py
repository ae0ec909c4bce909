"""One entry host as a daemon: the loop, the HTTP server and the planned stop."""

import signal
import threading
import time

import cherrypy
from cheroot import wsgi

from poplarrun.errors import ErrorKind, Refusal
from poplarrun.logs import part_logger, set_up_logs
from poplarrun.platform import HttpEngine, HttpHostList, HttpLog, HttpRatings, HttpServiceCaller
from poplarrun.server._bodies import render_error
from poplarrun.server._callers import REQUEST_ID_HEADER, CallersApi
from poplarrun.server._connections import Connection
from poplarrun.server._crossing import Crossing
from poplarrun.server._host import EntryHost
from poplarrun.server._messages import Leave
from poplarrun.server._observers import RootApi
from poplarrun.settings import HostSettings

REQUEST_QUEUE = 512
MAX_HEADER_BYTES = 32_768
SOCKET_TIMEOUT_S = 30
# Time for the balancer to see the host as not ready before the port closes.
BALANCER_TIME_S = 1.0
DRAIN_BOUND_S = 60.0
DRAIN_POLL_S = 0.05


class Daemon:
    """An entry host that serves HTTP.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    """

    def __init__(self, settings: HostSettings) -> None:
        engine = HttpEngine()
        self.host = EntryHost(
            settings,
            HttpLog(settings.platform.log),
            HttpHostList(settings.platform.host_list),
            engine,
            ratings=HttpRatings(settings.platform.ratings) if settings.platform.ratings else None,
        )
        self.crossing = Crossing(self.host.handle)
        callers = CallersApi(self.crossing, engine, HttpServiceCaller(), settings.limits.body_bytes)
        self._server = _make_server(settings, RootApi(self.crossing, callers))
        self._log = part_logger("daemon")

    def start(self) -> None:
        """Start the loop and serve HTTP on threads of their own."""
        self.crossing.start()
        self.crossing.loop.call_soon_threadsafe(self.host.start_tasks)
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()
        self._log.info("Serving.", extra={"address": self.host.settings.listen})

    def stop(self, balancer_time_s: float = BALANCER_TIME_S) -> int:
        """Stop without cutting off a request; return how many were still open at the bound."""
        self.host.stopping = True
        time.sleep(balancer_time_s)
        deadline = time.monotonic() + DRAIN_BOUND_S
        while self.host.router.open_requests and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)
        left = self.host.router.open_requests
        self._server.stop()
        self.crossing.ask(Leave())
        self.crossing.stop()
        self._log.info("Stopped.", extra={"open_requests": left})
        return left


def run_daemon(settings: HostSettings) -> int:
    """Serve until a signal comes; return the exit code."""
    set_up_logs(settings.name)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    daemon = Daemon(settings)
    daemon.start()
    stopped.wait()
    return 1 if daemon.stop() else 0


def _make_server(settings: HostSettings, root: RootApi) -> wsgi.Server:
    config = {
        "/": {
            "tools.encode.on": False,
            "request.show_tracebacks": False,
            "request.error_response": _answer_internal_error,
            "request.body.maxbytes": 0,
            "tools.trailing_slash.on": False,
        }
    }
    application = cherrypy.Application(root, "", config)
    application.log.access = _log_no_access
    application.log.error_log.propagate = False
    ip, _, port = settings.listen.rpartition(":")
    server = wsgi.Server(
        (ip, int(port)),
        application,
        numthreads=settings.limits.threads,
        request_queue_size=REQUEST_QUEUE,
        timeout=SOCKET_TIMEOUT_S,
    )
    server.ConnectionClass = Connection
    server.max_request_header_size = MAX_HEADER_BYTES
    return server


def _log_no_access() -> None:
    """Spare the work of an access line: metrics count the requests, `explain` tells of each."""


def _answer_internal_error() -> None:
    """Answer a fault of ours in the callers' error form, without a trace of it."""
    request_id = cherrypy.response.headers.get(REQUEST_ID_HEADER)
    part_logger("http").error("A handler failed.", exc_info=True, extra={"request_id": request_id})
    refusal = Refusal(ErrorKind.INTERNAL, "an internal error; the outcome is unknown")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.body = [render_error(refusal)]
