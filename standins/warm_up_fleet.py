"""Simulation in virtual time of hosts that share the rate of one endpoint that warms up."""

from collections.abc import Sequence

from poplarrun.placement import WarmUpShares, ZoneHosts
from poplarrun.routing import WarmUpLimit

ENDPOINT = "endpoint"
ENDPOINT_ZONE = "a"
STEP_S = 0.01
WINDOW_S = 1.0


class WarmUpFleet:
    """Hosts in the zones ``a``, ``b`` and ``c`` that send whenever their shares allow it.

    Attributes
    ----------
    hosts : list of str
        Addresses; the first letter is the zone.
    """

    def __init__(self, hosts: int, limit: WarmUpLimit) -> None:
        self.hosts = [f"{'abc'[number % 3]}{number}" for number in range(hosts)]
        self._limit = limit
        self._shares = {host: WarmUpShares(host) for host in self.hosts}
        self._dead: set[str] = set()
        self._suspended = (0.0, 0.0)

    def connect(self) -> None:
        """Let all hosts hear each other."""
        self.cut_into([self.hosts])

    def cut_into(self, groups: Sequence[Sequence[str]]) -> None:
        """Let the hosts of each group hear only each other; all know of all."""
        for group in groups:
            alive = frozenset(group) - self._dead
            hosts = {
                zone: ZoneHosts(
                    tuple(sorted(host for host in self.hosts if host[0] == zone)),
                    frozenset(host for host in alive if host[0] == zone),
                )
                for zone in "abc"
            }
            for host in group:
                self._shares[host].update_hosts(host, hosts)

    def kill(self, hosts: Sequence[str]) -> None:
        """Stop hosts; the others notice it."""
        self._dead.update(hosts)
        self.connect()

    def suspend(self, start: float, end: float) -> None:
        """Suspend all hosts for some time."""
        self._suspended = start, end

    def send_whenever_allowed(self, seconds: float) -> list[float]:
        """Return the times of all sends."""
        sent: dict[str, list[float]] = {host: [] for host in self.hosts if host not in self._dead}
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            if self._suspended[0] <= now < self._suspended[1]:
                continue
            for host, times in sent.items():
                quota = self._shares[host].quota(ENDPOINT, ENDPOINT_ZONE, self._limit)
                if sum(at >= now - WINDOW_S for at in times) < quota:
                    times.append(now)
        return sorted(at for times in sent.values() for at in times)
