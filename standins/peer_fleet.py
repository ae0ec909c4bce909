"""Simulation in virtual time of the peering between many gateway hosts, without requests."""

import asyncio
from collections.abc import Callable, Iterable

from poplarrun.links import LinkFaults
from poplarrun.peers import READ_TOPICS
from standins.rollout_fleet import SERVICE, RolloutFleet, RolloutHost

POLL_INTERVAL_S = 0.25
CROSS_ZONE_DELAY_S = 0.0054


class PeerFleet(RolloutFleet):
    """Hosts that have the same requests in flight, and know all addresses from the start.

    Attributes
    ----------
    messages, cross_zone_messages : int
        Number of messages sent so far, in total and between zones.
    """

    def __init__(self, seed: int, hosts: int, zones: str) -> None:
        super().__init__(seed, hosts, zones)
        self.messages = 0
        self.cross_zone_messages = 0
        self._peering_tasks: dict[str, asyncio.Task[None]] = {}
        self._transmit = self._network.transmit
        self._network.transmit = self._count_and_transmit  # type: ignore[method-assign]
        self.set_loss(0.0)

    @property
    def _seeds(self) -> tuple[str, ...]:
        return tuple(host.address for host in self.hosts)

    def set_loss(self, loss_probability: float) -> None:
        """Set the probability that a link loses a message."""
        self._network.faults = LinkFaults(loss_probability=loss_probability)
        self._network.zone_faults = LinkFaults(CROSS_ZONE_DELAY_S, 0.001, loss_probability)

    def set_in_flight(self, requests: int, endpoints: int) -> None:
        """Set each host's number of requests in flight at each of its first endpoints."""
        for host in self.hosts:
            for member in host.placement.endpoints()[:endpoints]:
                member.in_flight = requests

    def start_peering(self) -> None:
        """Start peering at all hosts."""
        for host in self.hosts:
            task = asyncio.ensure_future(host.peering.run(self._seeds))
            self._peering_tasks[host.address] = task

    def kill(self, hosts: Iterable[RolloutHost]) -> None:
        """Remove hosts without a notice to their peers."""
        for host in list(hosts):
            self._peering_tasks.pop(host.address).cancel()
            self._network.links_by_address.pop(host.address, None)
            self.hosts.remove(host)

    def restart(self, host: RolloutHost) -> None:
        """Kill a host and start it again at its address, with nothing of what it knew."""
        self.kill([host])
        started = RolloutHost(self._network, host.address, host.zone, 1)
        self.hosts.append(started)
        task = asyncio.ensure_future(started.peering.run(self._seeds))
        self._peering_tasks[started.address] = task

    async def suspend(self, host: RolloutHost, seconds: float) -> None:
        """Suspend a host; messages to it are lost meanwhile."""
        self._peering_tasks.pop(host.address).cancel()
        end = self._network.links_by_address.pop(host.address)
        await asyncio.sleep(seconds)
        self._network.links_by_address[host.address] = end
        self._peering_tasks[host.address] = asyncio.ensure_future(host.peering.run_rounds())

    def aggregators(self, zone: str) -> list[RolloutHost]:
        """Return the aggregators of a zone in the view of its first host."""
        host = next(host for host in self.hosts if host.zone == zone)
        aggregators = host.peering.peer_table.aggregators(zone, self.now)
        return [host for host in self.hosts if host.address in aggregators]

    def cut_zone(self, zone: str) -> None:
        """Partition a zone from all others."""
        self._network.cut([zone], {host.zone for host in self.hosts} - {zone})

    def cut_hosts(self, addresses: list[str], others: list[str]) -> None:
        """Partition two groups of hosts, given by their addresses, from each other."""
        self._network.cut(addresses, others)

    def heal(self) -> None:
        """Remove all partitions."""
        self._network.heal()

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return asyncio.get_running_loop().time()

    def bytes_sent(self) -> list[int]:
        """Return the number of bytes that each host has sent so far."""
        return [self._network.links_by_address[host.address].bytes_sent for host in self.hosts]

    def find_membership_errors(
        self, hosts: list[RolloutHost], living_hosts: list[RolloutHost]
    ) -> list[str]:
        """Return dead peers that hosts consider alive, and living peers that they consider dead."""
        return [
            f"{host.address}: {address}"
            for host in hosts
            for address in sorted(self._alive(host) ^ _other_addresses(host, living_hosts))
        ]

    def find_missing_peers(
        self, hosts: list[RolloutHost], living_hosts: list[RolloutHost]
    ) -> list[str]:
        """Return living peers that hosts consider dead."""
        return [
            f"{host.address}: {address}"
            for host in hosts
            for address in sorted(_other_addresses(host, living_hosts) - self._alive(host))
        ]

    def _alive(self, host: RolloutHost) -> set[str]:
        return {peer.address for peer in host.peering.peer_table.alive_peers(self.now)}

    def find_in_flight_errors(self) -> list[str]:
        """Return the hosts whose sum of the peers' requests in flight is wrong."""
        errors = []
        for host in self.hosts:
            members = host.placement.endpoints()
            for member in members:
                expected = member.in_flight * (len(self.hosts) - 1)
                if member.peer_in_flight != expected:
                    errors.append(f"{host.address}: {member.peer_in_flight} of {expected}")
        return errors

    def count_readers(self) -> dict[tuple[str, str], int]:
        """Return the number of hosts that read each topic for each zone."""
        readers: dict[tuple[str, str], int] = {}
        for host in self.hosts:
            for topic in READ_TOPICS:
                rank = host.peering.peer_table.reader_rank(topic, self.now)
                key = (host.zone, topic)
                readers[key] = readers.get(key, 0) + (rank == 0)
        return readers

    def count_first_ranked(self) -> int:
        """Return the number of hosts that consider themselves first for the job of the service."""
        return sum(host.peering.job_rank(SERVICE) == 0 for host in self.hosts)

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Poll a condition; return whether it became true in time."""
        end = self.now + seconds
        while self.now < end:
            if condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return condition()

    def _count_and_transmit(self, sender, address, data):  # type: ignore[no-untyped-def]
        self.messages += 1
        self.cross_zone_messages += sender.zone != address[0]
        self._transmit(sender, address, data)


def _other_addresses(host: RolloutHost, living_hosts: list[RolloutHost]) -> set[str]:
    return {peer.address for peer in living_hosts} - {host.address}
