"""One entry host as a daemon: the loop, the HTTP server and the planned stop."""

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
from poplarrun.server._http_server import CallerCertificate, make_server, start_more_threads
from poplarrun.server._loop_bridge import LoopBridge
from poplarrun.server._messages import Leave
from poplarrun.server._observers import RootApi
from poplarrun.settings import HostSettings, PlatformTlsSettings

DRAIN_POLL_S = 0.05
CERTIFICATE_POLL_S = 5.0
SERVER_CLOSE_BOUND_S = 3.0
# Exit code of a stop that left requests open.
EXIT_STILL_OPEN = 1
# Of the requests still open at the bound, so many are named in the log.
NAMED_REQUESTS = 20


# Objects made before a collection of the youngest, and collections of each
# generation before one of the next. A request makes some hundreds that are freed
# without the collector.
COLLECTOR_THRESHOLDS = (10_000, 20, 20)


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
        self.crossing = LoopBridge(self.host.handle)
        services_tls = settings.tls.services
        services = HttpServiceCaller(None if services_tls is None else _read_tls(services_tls))
        callers = CallersApi(self.crossing, engine, services, settings.limits.body_bytes)
        tls = settings.tls.callers
        self._certificate = None if tls is None else CallerCertificate(tls)
        self._server = make_server(
            settings,
            RootApi(self.crossing, callers),
            self._certificate,
            lambda: self.host.readiness.leaving,
        )
        self._stopped = threading.Event()
        self._log = component_logger("daemon")

    def start(self) -> None:
        """Start the loop and serve HTTP on threads of their own."""
        self.crossing.start()
        self.crossing.loop.call_soon_threadsafe(self.host.start_tasks)
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()
        more = (self._server, self.host.settings)
        threading.Thread(target=start_more_threads, args=more, name="grow", daemon=True).start()
        if self._certificate is not None:
            threading.Thread(target=self._watch_certificate, name="tls", daemon=True).start()
        self._log.info("Serving.", extra={"address": self.host.settings.listen})

    def stop(self) -> int:
        """Stop without cutting off a request; return how many were still open at the bound.

        First the host shows itself not ready and still serves, until the
        balancer has noticed. Then it refuses new requests, waits for the open
        ones, hands over what it keeps and leaves the other hosts.
        """
        self.host.readiness.leaving = True
        self._log.info("Leaving.", extra={"open_requests": self.host.router.open_requests})
        time.sleep(self.host.settings.stop.balancer_time_s)
        self.host.readiness.stopping = True
        left = self._drain()
        self._close_server()
        self.crossing.ask(Leave())
        self.crossing.stop()
        self._stopped.set()
        self._log.info("Stopped.", extra={"open_requests": left})
        return left

    def _drain(self) -> int:
        """Wait for open requests up to the bound; name those that are left."""
        deadline = time.monotonic() + self.host.settings.stop.drain_bound_s
        while self.host.router.open_requests and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)
        left = self.host.router.open_requests
        if left:
            ids = list(self.host.router.open_request_ids())[:NAMED_REQUESTS]
            self._log.warning(
                "Requests are still open at the bound.",
                extra={"open_requests": left, "request_ids": ids},
            )
        return left

    def _close_server(self) -> None:
        """Close the port and the connections; don't wait for threads that still write.

        The server joins each of its threads without a bound, so a stream that
        outlasts the stop's bound would hold the process until it ends.
        """
        closing = threading.Thread(target=self._server.stop, name="close", daemon=True)
        closing.start()
        closing.join(SERVER_CLOSE_BOUND_S)

    def _watch_certificate(self) -> None:
        assert self._certificate is not None
        while not self._stopped.wait(CERTIFICATE_POLL_S):
            if self._certificate.renew():
                self._log.info("A new certificate is in use.")


def _calm_collector() -> None:
    """Leave what stays for the process's whole life out of the collection of garbage.

    A full collection stops every thread: over the modules and tables of a host
    alone it took 14 to 20 ms, which the first tokens of that moment waited.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run_daemon(settings: HostSettings) -> int:
    """Serve until a signal comes; return the exit code."""
    configure_logging(settings.name)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    daemon = Daemon(settings)
    daemon.start()
    _calm_collector()
    stopped.wait()
    left = daemon.stop()
    if left:
        # Threads that still write an answer would keep the interpreter alive.
        # Lines wait up to a tenth of a second for their thread; the last one says what
        # was still open.
        logging.shutdown()
        os._exit(EXIT_STILL_OPEN)
    return 0


def _read_tls(settings: PlatformTlsSettings) -> PlatformTls:
    return PlatformTls(settings.authority, settings.identity)
