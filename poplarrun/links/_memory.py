"""In-memory transport for tests, with delays, message loss and partitions."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.links._interface import MAX_MESSAGE_BYTES, ReceiveCallback


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults that the links of a network inject.

    Attributes
    ----------
    delay_s, jitter_s : float
        One-way delay, and the largest random addition to it.
    loss_probability : float
        Probability with which a message is dropped.
    """

    delay_s: float = 0.0005
    jitter_s: float = 0.0
    loss_probability: float = 0.0


class MemoryLinkNetwork:
    """Connects the ``MemoryLinks`` of one event loop.

    A cut is a pair of groups, sender first, each of which is the address of a host or a zone. A
    message is delivered unless a group of its sender and a group of its receiver are cut.

    Attributes
    ----------
    faults : LinkFaults
        Faults of the links inside a zone.
    zone_faults : LinkFaults
        Faults of the links between zones.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: LinkFaults | None = None,
        zone_faults: LinkFaults | None = None,
    ) -> None:
        self.faults = faults or LinkFaults()
        self.zone_faults = zone_faults or LinkFaults(delay_s=0.004, jitter_s=0.002)
        self.cuts: set[tuple[str, str]] = set()
        self.links_by_address: dict[str, MemoryLinks] = {}
        self._rng = rng

    def cut(self, group: Iterable[str], other_group: Iterable[str], one_way: bool = False) -> None:
        """Drop all messages between groups, or with ``one_way`` only those of the first ones."""
        for a in list(group):
            for b in list(other_group):
                self.cuts.add((a, b))
                if not one_way:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def transmit(self, sender: "MemoryLinks", address: str, data: bytes) -> None:
        """Deliver a message after a delay, or drop it silently, as TCP to a dead host does."""
        receiver = self.links_by_address.get(address)
        if receiver is None or receiver.receive is None or not self._passes(sender, receiver):
            return
        faults = self.faults if sender.zone == receiver.zone else self.zone_faults
        if self._rng.random() < faults.loss_probability:
            return
        delay_s = faults.delay_s + self._rng.random() * faults.jitter_s
        asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: "MemoryLinks", receiver: "MemoryLinks", data: bytes) -> None:
        if receiver.receive is not None and self._passes(sender, receiver):
            receiver.bytes_received += len(data)
            receiver.receive(data)

    def _passes(self, sender: "MemoryLinks", receiver: "MemoryLinks") -> bool:
        pairs = {
            (a, b) for a in (sender.address, sender.zone) for b in (receiver.address, receiver.zone)
        }
        return not (pairs & self.cuts)


class MemoryLinks:
    """The ``Links`` of one host on a ``MemoryLinkNetwork``."""

    def __init__(self, network: MemoryLinkNetwork, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.receive: ReceiveCallback | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self._network = network

    def start(self, receive: ReceiveCallback) -> None:
        """Start receiving."""
        self.receive = receive
        self._network.links_by_address[self.address] = self

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message; return False if it was dropped at once."""
        if self.receive is None or len(data) > MAX_MESSAGE_BYTES:
            return False
        self.bytes_sent += len(data)
        self._network.transmit(self, address, data)
        return True

    def reconnect(self, address: str) -> None:
        """Do nothing: this transport has no connections."""

    def close_idle(self, now: float) -> int:
        """Return 0: this transport has no connections."""
        return 0

    def stop(self) -> None:
        """Stop receiving."""
        self.receive = None
        if self._network.links_by_address.get(self.address) is self:
            del self._network.links_by_address[self.address]
