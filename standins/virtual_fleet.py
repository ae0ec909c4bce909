"""Many hosts' ``Peers`` in one process, over the test transport and in virtual time."""

import asyncio
import random
from collections.abc import Callable

from poplarrun.hosts import NetworkPeers, Peer
from poplarrun.links import LinkFaults, MemoryLinkNetwork, MemoryLinks
from poplarrun.metrics import Metrics

STEP_S = 0.05


class VirtualFleet:
    """Hosts named ``a1``, ``a2``, ``b1`` and so on, on one test network.

    Attributes
    ----------
    network : MemoryLinkNetwork
        The links between them; cuts name zones or the hosts' names.
    peers : dict of str to NetworkPeers
        The running hosts.
    """

    def __init__(self, seed: int, zones: str = "abc", faults: LinkFaults | None = None) -> None:
        self.random = random.Random(seed)
        self.zones = zones
        self.network = MemoryLinkNetwork(self.random, faults)
        self.peers: dict[str, NetworkPeers] = {}
        self.links: dict[str, MemoryLinks] = {}
        self.metrics: dict[str, Metrics] = {}
        self.seeds: tuple[str, ...] = ()
        self._starts = 0

    def start(self, per_zone: int) -> None:
        """Start so many hosts in each zone; the first of each zone is a seed."""
        self.seeds = tuple(f"{zone}1" for zone in self.zones)
        for number in range(1, per_zone + 1):
            for zone in self.zones:
                self.start_host(f"{zone}{number}")

    def start_host(self, name: str) -> NetworkPeers:
        """Start one host, or start it anew; its address is its name."""
        self._starts += 1
        zone = name[0]
        me = Peer(name, zone, "local", self._starts)
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
        """Let a host fall silent without a word."""
        self.peers.pop(name).stop()

    async def wait(self, condition: Callable[[], bool], what: str, timeout_s: float) -> float:
        """Let virtual time pass until a condition holds; return how much passed."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not condition():
            if loop.time() - began > timeout_s:
                raise TimeoutError(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(STEP_S)
        return loop.time() - began

    def agree(self) -> bool:
        """Tell whether every running host holds just the running hosts to be live."""
        running = sorted(self.peers)
        return all([peer.name for peer in p.live()] == running for p in self.peers.values())
