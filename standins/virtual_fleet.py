"""Simulation in virtual time of the membership of many hosts, over the in-memory transport."""

import asyncio
import random
from collections.abc import Callable

from poplarrun.hosts import NetworkPeers, Peer
from poplarrun.links import LinkFaults, MemoryLinkNetwork, MemoryLinks
from poplarrun.metrics import Metrics

POLL_INTERVAL_S = 0.05


class VirtualFleet:
    """Hosts named ``a1``, ``a2``, ``b1`` and so on, on one in-memory network.

    Attributes
    ----------
    network : MemoryLinkNetwork
        Network of the hosts; its cuts take names of zones or of hosts.
    peers : dict of str to NetworkPeers
        The running hosts, by name.
    """

    def __init__(self, seed: int, zones: str = "abc", faults: LinkFaults | None = None) -> None:
        self.random = random.Random(seed)
        self.zones = zones
        self.network = MemoryLinkNetwork(self.random, faults)
        self.peers: dict[str, NetworkPeers] = {}
        self.links: dict[str, MemoryLinks] = {}
        self.metrics: dict[str, Metrics] = {}
        self.seeds: tuple[str, ...] = ()
        self._start_count = 0

    def start(self, hosts_per_zone: int) -> None:
        """Start ``hosts_per_zone`` hosts in each zone; the first host of each zone is a seed."""
        self.seeds = tuple(f"{zone}1" for zone in self.zones)
        for number in range(1, hosts_per_zone + 1):
            for zone in self.zones:
                self.start_host(f"{zone}{number}")

    def start_host(self, name: str) -> NetworkPeers:
        """Start or restart a host; its address is its name."""
        self._start_count += 1
        zone = name[0]
        me = Peer(name, zone, "local", self._start_count)
        links = MemoryLinks(self.network, name, zone)
        self.metrics[name] = Metrics()
        peers = NetworkPeers(
            me,
            links,
            self.seeds,
            self.metrics[name],
            random.Random(self.random.random()),
            clock=asyncio.get_running_loop().time,
        )
        self.links[name] = links
        self.peers[name] = peers
        peers.start()
        return peers

    def kill_host(self, name: str) -> None:
        """Stop a host without a notice to its peers."""
        self.peers.pop(name).stop()

    async def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float
    ) -> float:
        """Wait until a condition is true; return the elapsed virtual time in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not condition():
            if loop.time() - started_at > timeout_s:
                raise TimeoutError(f"timed out after {timeout_s} s of virtual time: {description}")
            await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_at

    def is_converged(self) -> bool:
        """Return whether every running host considers exactly the running hosts live."""
        running_names = sorted(self.peers)
        return all(
            [peer.name for peer in host_peers.live()] == running_names
            for host_peers in self.peers.values()
        )
