"""Many hosts of the gateway that talk to each other only, in virtual time."""

import asyncio
from collections.abc import Callable, Iterable

from poplarrun.links import LinkFaults
from poplarrun.peers import READ_TOPICS
from standins.rollout_fleet import SERVICE, RolloutFleet, RolloutHost

# Pause between two looks at all hosts, in seconds.
LOOK_S = 0.25
FAR_DELAY_S = 0.0054


class PeerFleet(RolloutFleet):
    """Hosts that each run the same requests, and know all addresses from the start.

    Attributes
    ----------
    messages, far_messages : int
        Messages so far, and those between zones.
    """

    def __init__(self, seed: int, hosts: int, zones: str) -> None:
        super().__init__(seed, hosts, zones)
        self.messages = 0
        self.far_messages = 0
        self._running: dict[str, asyncio.Task[None]] = {}
        self._carry = self._network.transmit
        self._network.transmit = self._count  # type: ignore[method-assign]
        self.lose(0.0)

    @property
    def _seeds(self) -> tuple[str, ...]:
        return tuple(host.address for host in self.hosts)

    def lose(self, share: float) -> None:
        """Let links lose a share of the messages."""
        self._network.faults = LinkFaults(loss_probability=share)
        self._network.zone_faults = LinkFaults(FAR_DELAY_S, 0.001, share)

    def run_requests(self, requests: int, endpoints: int) -> None:
        """Have each host run so many requests at each of some endpoints."""
        for host in self.hosts:
            for member in host.placement.endpoints()[:endpoints]:
                member.in_flight = requests

    def talk(self) -> None:
        """Start the conversation of all hosts."""
        for host in self.hosts:
            task = asyncio.ensure_future(host.peering.run(self._seeds))
            self._running[host.address] = task

    def kill(self, hosts: Iterable[RolloutHost]) -> None:
        """End hosts without a word."""
        for host in list(hosts):
            self._running.pop(host.address).cancel()
            self._network.links_by_address.pop(host.address, None)
            self.hosts.remove(host)

    async def suspend(self, host: RolloutHost, seconds: float) -> None:
        """Let a host stand still; what comes meanwhile is lost."""
        self._running.pop(host.address).cancel()
        end = self._network.links_by_address.pop(host.address)
        await asyncio.sleep(seconds)
        self._network.links_by_address[host.address] = end
        self._running[host.address] = asyncio.ensure_future(host.peering.run(()))

    def relays(self, zone: str) -> list[RolloutHost]:
        """Return the relays of a zone as its first host sees them."""
        host = next(host for host in self.hosts if host.zone == zone)
        relays = host.peering.peer_table.aggregators(zone, self.now)
        return [host for host in self.hosts if host.address in relays]

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from all others."""
        self._network.cut([zone], {host.zone for host in self.hosts} - {zone})

    def cut_apart(self, some: list[str], others: list[str]) -> None:
        """Cut hosts off from others, by their addresses."""
        self._network.cut(some, others)

    def heal(self) -> None:
        """Let everything pass again."""
        self._network.heal()

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return asyncio.get_running_loop().time()

    def bytes_sent(self) -> list[int]:
        """Return what each host has sent so far."""
        return [self._network.links_by_address[host.address].bytes_sent for host in self.hosts]

    def find_wrong(self, hosts: list[RolloutHost], living: list[RolloutHost]) -> list[str]:
        """Return what hosts take for alive, and should not, or the other way round."""
        return [
            f"{host.address}: {address}"
            for host in hosts
            for address in sorted(self._alive(host) ^ _others(host, living))
        ]

    def find_missing(self, hosts: list[RolloutHost], living: list[RolloutHost]) -> list[str]:
        """Return living hosts that some take for dead."""
        return [
            f"{host.address}: {address}"
            for host in hosts
            for address in sorted(_others(host, living) - self._alive(host))
        ]

    def _alive(self, host: RolloutHost) -> set[str]:
        return {peer.address for peer in host.peering.peer_table.alive_peers(self.now)}

    def find_wrong_sums(self) -> list[str]:
        """Return the hosts that don't know what the others run."""
        wrong = []
        for host in self.hosts:
            members = host.placement.endpoints()
            for member in members:
                expected = member.in_flight * (len(self.hosts) - 1)
                if member.peer_in_flight != expected:
                    wrong.append(f"{host.address}: {member.peer_in_flight} of {expected}")
        return wrong

    def count_readers(self) -> dict[tuple[str, str], int]:
        """Return how many hosts read each topic for each zone."""
        readers: dict[tuple[str, str], int] = {}
        for host in self.hosts:
            for topic in READ_TOPICS:
                place = host.peering.peer_table.reader_rank(topic, self.now)
                key = (host.zone, topic)
                readers[key] = readers.get(key, 0) + (place == 0)
        return readers

    def count_on_duty(self) -> int:
        """Return how many hosts take themselves for the first one of a duty."""
        return sum(host.peering.job_rank(SERVICE) == 0 for host in self.hosts)

    async def wait_until(self, is_so: Callable[[], bool], seconds: float) -> bool:
        """Look again and again; False where it was not so in time."""
        end = self.now + seconds
        while self.now < end:
            if is_so():
                return True
            await asyncio.sleep(LOOK_S)
        return is_so()

    def _count(self, sender, address, data):  # type: ignore[no-untyped-def]
        self.messages += 1
        self.far_messages += sender.zone != address[0]
        self._carry(sender, address, data)


def _others(host: RolloutHost, living: list[RolloutHost]) -> set[str]:
    return {each.address for each in living} - {host.address}
