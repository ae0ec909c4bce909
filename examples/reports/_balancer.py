"""Simulates the platform's load balancer in front of the hosts."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from standins.fleet import HostProcess

POLL_INTERVAL_S = 0.1
HTTP_OK = 200


class Balancer:
    """Distributes requests round-robin over the hosts that report themselves ready."""

    def __init__(self, hosts: list[HostProcess]) -> None:
        self._hosts = hosts
        self._ready: list[HostProcess] = []
        self._pick_counter = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll_readiness, daemon=True)

    def start(self) -> None:
        """Start to poll the readiness of the hosts."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._thread.join()

    def pick_host(self) -> HostProcess:
        """Return the next ready host, or the next of all hosts if none is ready."""
        hosts = self._ready or self._hosts
        return hosts[next(self._pick_counter) % len(hosts)]

    def _poll_readiness(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=POLL_INTERVAL_S * 5)
        with ThreadPoolExecutor(len(self._hosts)) as workers:
            while not self._stopped.wait(POLL_INTERVAL_S):
                ready = list(workers.map(lambda host: _is_ready(pool, host), self._hosts))
                pairs = zip(self._hosts, ready, strict=True)
                self._ready = [host for host, is_ready in pairs if is_ready]


def _is_ready(pool: urllib3.PoolManager, host: HostProcess) -> bool:
    try:
        return pool.request("GET", f"http://{host.address}/readyz").status == HTTP_OK
    except urllib3.exceptions.HTTPError:
        return False
