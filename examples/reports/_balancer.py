"""Stands for the platform's balancer before the hosts."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from standins.fleet import HostProcess

BALANCER_PERIOD_S = 0.1
OK = 200


class Balancer:
    """Sends callers, in turn, to the hosts that say they are ready."""

    def __init__(self, hosts: list[HostProcess]) -> None:
        self._hosts = hosts
        self._ready: list[HostProcess] = []
        self._turn = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Begin to watch the hosts."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._thread.join()

    def pick(self) -> HostProcess:
        """Return the next host in turn."""
        hosts = self._ready or self._hosts
        return hosts[next(self._turn) % len(hosts)]

    def _watch(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=BALANCER_PERIOD_S * 5)
        with ThreadPoolExecutor(len(self._hosts)) as workers:
            while not self._stopped.wait(BALANCER_PERIOD_S):
                ready = list(workers.map(lambda host: _is_ready(pool, host), self._hosts))
                pairs = zip(self._hosts, ready, strict=True)
                self._ready = [host for host, is_ready in pairs if is_ready]


def _is_ready(pool: urllib3.PoolManager, host: HostProcess) -> bool:
    try:
        return pool.request("GET", f"http://{host.address}/readyz").status == OK
    except urllib3.exceptions.HTTPError:
        return False
