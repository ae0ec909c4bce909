"""The daemon of an entry host: event loop, HTTP server and planned stop."""

import gc
import logging
import os
import signal
import threading
import time

from poplarrun.clients import (
    HttpEngine,
    HttpHostList,
    HttpLog,
    HttpRatings,
    HttpServiceCaller,
    HttpWeightStore,
    PlatformTls,
    use_tls,
)
from poplarrun.logging import component_logger, configure_logging
from poplarrun.server._callers import CallersApi
from poplarrun.server._host import EntryHost
from poplarrun.server._http_server import (
    ReloadableCertificate,
    make_server,
    start_remaining_threads,
)
from poplarrun.server._loop_bridge import LoopBridge
from poplarrun.server._messages import Leave
from poplarrun.server._observers import RootApi
from poplarrun.settings import HostSettings, PlatformTlsSettings

DRAIN_POLL_INTERVAL_S = 0.05
CERTIFICATE_POLL_INTERVAL_S = 5.0
SERVER_CLOSE_TIMEOUT_S = 3.0
# Exit code if requests were still open at the end of the drain.
EXIT_REQUESTS_OPEN = 1
# Number of still open requests whose ids are logged at the end of the drain.
MAX_LOGGED_REQUESTS = 20


# Allocations before a garbage collection of the youngest generation, and collections of each
# generation before one of the next. A request allocates some hundreds of objects, which are
# freed without the collector.
GC_THRESHOLDS = (10_000, 20, 20)


class Daemon:
    """An entry host that serves HTTP.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    """

    def __init__(self, settings: HostSettings) -> None:
        if settings.tls.platform is not None:
            use_tls(_read_tls(settings.tls.platform))
        engine = HttpEngine()
        self.host = EntryHost(
            settings,
            HttpLog(settings.platform.log),
            HttpHostList(settings.platform.host_list),
            engine,
            ratings=HttpRatings(settings.platform.ratings) if settings.platform.ratings else None,
            weights=(
                HttpWeightStore(settings.platform.weights) if settings.platform.weights else None
            ),
        )
        self.loop_bridge = LoopBridge(self.host.handle)
        services_tls = settings.tls.services
        services = HttpServiceCaller(None if services_tls is None else _read_tls(services_tls))
        callers = CallersApi(self.loop_bridge, engine, services, settings.limits.body_bytes)
        tls = settings.tls.callers
        self._certificate = None if tls is None else ReloadableCertificate(tls)
        self._server = make_server(
            settings,
            RootApi(self.loop_bridge, callers),
            self._certificate,
            lambda: self.host.readiness.is_leaving,
        )
        self._stopped = threading.Event()
        self._log = component_logger("daemon")

    def start(self) -> None:
        """Start the event loop and the HTTP server on threads of their own."""
        self.loop_bridge.start()
        self.loop_bridge.loop.call_soon_threadsafe(self.host.start_tasks)
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()
        args_for_threads = (self._server, self.host.settings)
        threading.Thread(
            target=start_remaining_threads, args=args_for_threads, name="grow", daemon=True
        ).start()
        if self._certificate is not None:
            threading.Thread(target=self._watch_certificate, name="tls", daemon=True).start()
        self._log.info("Listening for HTTP requests.", extra={"address": self.host.settings.listen})

    def stop(self) -> int:
        """Stop gracefully; return the number of requests still open at the drain timeout.

        First the host reports that it isn't ready but still serves, until the balancer has
        noticed. Then it refuses new requests, waits for the open ones, hands over its leases,
        limits, outcomes and bills, and leaves the other hosts.
        """
        self.host.readiness.is_leaving = True
        self._log.info(
            "Stop requested; waiting for the balancer to notice.",
            extra={"open_requests": self.host.router.open_requests},
        )
        time.sleep(self.host.settings.stop.balancer_time_s)
        self.host.readiness.is_stopping = True
        open_requests = self._drain()
        self._close_server()
        self.loop_bridge.ask(Leave())
        self.loop_bridge.stop()
        self._stopped.set()
        self._log.info("The host has stopped.", extra={"open_requests": open_requests})
        return open_requests

    def _drain(self) -> int:
        """Wait for open requests up to the drain timeout; log those that are left."""
        deadline = time.monotonic() + self.host.settings.stop.drain_bound_s
        while self.host.router.open_requests and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        open_requests = self.host.router.open_requests
        if open_requests:
            ids = list(self.host.router.open_request_ids())[:MAX_LOGGED_REQUESTS]
            self._log.warning(
                "Requests are still open at the drain timeout.",
                extra={"open_requests": open_requests, "request_ids": ids},
            )
        return open_requests

    def _close_server(self) -> None:
        """Close the port and the connections without waiting for threads that still write.

        The server joins each of its threads without a timeout, so that a stream longer than
        the drain timeout would keep the process running until its end.
        """
        closing = threading.Thread(target=self._server.stop, name="close", daemon=True)
        closing.start()
        closing.join(SERVER_CLOSE_TIMEOUT_S)

    def _watch_certificate(self) -> None:
        assert self._certificate is not None
        while not self._stopped.wait(CERTIFICATE_POLL_INTERVAL_S):
            if self._certificate.reload():
                self._log.info("The TLS certificate for callers was reloaded.")


def _tune_garbage_collector() -> None:
    """Exclude the objects that live as long as the process from garbage collection.

    A full collection stops all threads. The modules and tables of a host alone took 14 to
    20 ms, which delayed first tokens.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run_daemon(settings: HostSettings) -> int:
    """Serve until a signal arrives; return the exit code."""
    configure_logging(settings.name)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    daemon = Daemon(settings)
    daemon.start()
    _tune_garbage_collector()
    stopped.wait()
    open_requests = daemon.stop()
    if open_requests:
        # Threads that still write an answer would keep the interpreter running, so it exits
        # without them. Log lines wait up to a tenth of a second for the writer thread, and the
        # last one reports the open requests, so the log is flushed first.
        logging.shutdown()
        os._exit(EXIT_REQUESTS_OPEN)
    return 0


def _read_tls(settings: PlatformTlsSettings) -> PlatformTls:
    return PlatformTls(settings.authority, settings.identity)
