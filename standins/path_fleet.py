"""Simulation in virtual time of hosts that open connections to endpoints, some links cut."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from poplarrun.gateway import EndpointConnector, RelayDesk
from poplarrun.metrics import Metrics
from poplarrun.paths import Decline, DeclineReason
from poplarrun.peers import PeerTable
from poplarrun.placement import EndpointRecord, Placement
from poplarrun.relays import EndpointConnection, OpenRelay, RelayFailed, Tunnel
from poplarrun.transport import ConnectFailed

LINK_DELAY_S = 0.005
SERVICE = "engines"
RELAY_PORT = 7461
PEER_PORT = 7460
# Time for which a connection is held.
HOLD_S = 0.3
POLL_INTERVAL_S = 0.2
MAX_REQUESTS = 700


class _Connection:
    """Stands for an established connection."""

    def __init__(self) -> None:
        self.is_closed = False

    def abort(self) -> None:
        """Close it."""
        self.is_closed = True


@dataclass
class Outcomes:
    """What callers got since the last reset.

    Attributes
    ----------
    served, failed : list of (str, float)
        The host, and how long the connection took.
    relayed : Counter of str
        Connections by the host that relayed them.
    most_open : Counter of str
        Most connections that were open at a host at the same time.
    """

    served: list[tuple[str, float]] = field(default_factory=list)
    failed: list[tuple[str, float]] = field(default_factory=list)
    relayed: Counter[str] = field(default_factory=Counter)
    most_open: Counter[str] = field(default_factory=Counter)


class PathHost:
    """A host with the product's decisions on paths, over links of the fleet."""

    def __init__(self, fleet: "PathFleet", number: int, zone: str) -> None:
        self.fleet = fleet
        self.ip = f"10.0.{number // 250}.{number % 250}"
        self.zone = zone
        self.open_requests = 0
        self.open_relays = 0
        self.placement = Placement(zone, random.Random(number))
        self.peer_table = PeerTable(f"{self.ip}:{PEER_PORT}", zone)
        metrics = Metrics()
        self.connector = EndpointConnector(
            self, self.placement, self.peer_table, RELAY_PORT, metrics, self.open_tunnel
        )
        self.desk = RelayDesk(
            self.placement,
            self.peer_table,
            metrics,
            lambda: self.open_requests,
            lambda: self.open_relays + 1,
        )
        self.desk.max_requests = MAX_REQUESTS

    def acquire_idle(self, address: str, instance_id: str) -> None:
        """Return no idle connection."""

    def close_idle(self, address: str, instance_id: str) -> None:
        """Close idle connections, of which there are none."""

    async def open(self, address: str, timeout_s: float) -> _Connection:
        """Connect over the own links."""
        if address in self.fleet.down or self.fleet.is_cut(self, address):
            if self.fleet.is_silent:
                await asyncio.sleep(timeout_s)
                raise ConnectFailed("timeout")
            await asyncio.sleep(LINK_DELAY_S)
            raise ConnectFailed("refused")
        await asyncio.sleep(2 * LINK_DELAY_S)
        return _Connection()

    async def open_tunnel(
        self, relay_address: str, request: OpenRelay, address: str, timeout_s: float
    ) -> Tunnel:
        """Ask another host, which decides by itself and connects over its own links."""
        helper = self.fleet.by_ip[relay_address.rpartition(":")[0]]
        await asyncio.sleep(2 * LINK_DELAY_S)
        target = helper.desk.admit(request, self.ip)
        if isinstance(target, Decline):
            raise RelayFailed(target)
        helper.open_relays += 1
        try:
            connection = await helper.open(target.address, request.timeout_ms / 1000.0)
        except ConnectFailed as error:
            helper.desk.record_failed(request)
            raise RelayFailed(Decline(DeclineReason.NO_PATH)) from error
        finally:
            helper.open_relays -= 1
        await asyncio.sleep(2 * LINK_DELAY_S)
        return Tunnel(connection, target.load)


class PathFleet:
    """Hosts before the endpoints of a service in three zones.

    Attributes
    ----------
    cut : dict of str to set of str
        Addresses of endpoints that a host doesn't reach, by the host's IP address.
    down : set of str
        Addresses of endpoints that nobody reaches.
    is_silent : bool
        Whether connections that are cut hang, in place of being refused.
    """

    def __init__(self, seed: int, hosts: int, endpoints: int, zones: str = "abc") -> None:
        self.random = random.Random(seed)
        self.cut: dict[str, set[str]] = {}
        self.down: set[str] = set()
        self.is_silent = False
        self.outcomes = Outcomes()
        self.records = [
            EndpointRecord(
                f"e{number}",
                SERVICE,
                f"10.9.0.{number}:1",
                zones[number % len(zones)],
                "v1",
                64,
                False,
            )
            for number in range(endpoints)
        ]
        self.hosts = [PathHost(self, number, zones[number % len(zones)]) for number in range(hosts)]
        self.by_ip = {host.ip: host for host in self.hosts}
        self._tasks: set[asyncio.Task[None]] = set()
        for host in self.hosts:
            host.placement.update_endpoints(self.records)

    @property
    def now(self) -> float:
        """The virtual time."""
        return asyncio.get_running_loop().time()

    def is_cut(self, host: PathHost, address: str) -> bool:
        """Return whether a host's link to an endpoint is cut."""
        return address in self.cut.get(host.ip, ())

    def cut_off(self, hosts: list[PathHost], service_zones: str = "abc") -> None:
        """Cut hosts off from the endpoints of some zones."""
        addresses = {each.address for each in self.records if each.zone in service_zones}
        for host in hosts:
            self.cut[host.ip] = addresses

    def introduce(self) -> None:
        """Let all hosts know that all others are alive."""
        for host in self.hosts:
            for zone in {other.zone for other in self.hosts}:
                addresses = [other.peer_table.address for other in self.hosts if other.zone == zone]
                host.peer_table.record_attestation(zone, addresses, self.now, True)

    async def run_callers(self, requests_per_host_s: float, seconds: float) -> None:
        """Let callers of all hosts send requests for some time."""
        until = self.now + seconds
        introduced_at = float("-inf")
        while self.now < until:
            if self.now - introduced_at > 1.0:
                self.introduce()
                introduced_at = self.now
            await asyncio.sleep(self.random.expovariate(requests_per_host_s * len(self.hosts)))
            host = self.random.choice(self.hosts)
            task = asyncio.get_running_loop().create_task(self._serve(host))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _serve(self, host: PathHost) -> None:
        record = self.random.choice(self.records)
        started_at = self.now
        outcomes = self.outcomes
        host.open_requests += 1
        try:
            found = await host.connector.open(record, "request")
        except ConnectFailed:
            outcomes.failed.append((host.ip, self.now - started_at))
            return
        finally:
            host.open_requests -= 1
        outcomes.served.append((host.ip, self.now - started_at))
        await self._hold(host, found)

    async def _hold(self, host: PathHost, found: EndpointConnection) -> None:
        """Keep a connection open at the host, and at its helper."""
        helper = self.by_ip.get(found.helper.rpartition(":")[0])
        host.open_requests += 1
        if helper is not None:
            helper.open_relays += 1
            self.outcomes.relayed[helper.ip] += 1
        for each in filter(None, (host, helper)):
            total = each.open_requests + each.open_relays
            self.outcomes.most_open[each.ip] = max(self.outcomes.most_open[each.ip], total)
        await asyncio.sleep(HOLD_S)
        host.open_requests -= 1
        if helper is not None:
            helper.open_relays -= 1
