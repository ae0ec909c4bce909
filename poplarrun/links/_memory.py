"""The test transport: links between hosts and zones that delay, drop and cut."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.links._interface import MAX_MESSAGE_BYTES, ReceiveCallback


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """How the links of a network behave.

    Attributes
    ----------
    delay_s, jitter_s : float
        Time one way, and the most that is added to it at random, in seconds.
    loss_probability : float
        Share of messages that are dropped.
    """

    delay_s: float = 0.0005
    jitter_s: float = 0.0
    loss_probability: float = 0.0


class MemoryLinkNetwork:
    """Joins the ``MemoryLinks`` of one loop.

    Cuts name groups: a host's address, or its zone. A message passes unless
    (group of the sender, group of the receiver) is cut, in that direction.

    Attributes
    ----------
    faults : LinkFaults
        Faults of the links inside a zone.
    zone_faults : LinkFaults
        Faults of the links between zones.
    """

    def __init__(
        self,
        source: random.Random,
        faults: LinkFaults | None = None,
        zone_faults: LinkFaults | None = None,
    ) -> None:
        self.faults = faults or LinkFaults()
        self.zone_faults = zone_faults or LinkFaults(delay_s=0.004, jitter_s=0.002)
        self.cuts: set[tuple[str, str]] = set()
        self.links_by_address: dict[str, MemoryLinks] = {}
        self._random = source

    def cut(self, some: Iterable[str], others: Iterable[str], one_way: bool = False) -> None:
        """Cut groups off from each other, or only the first ones' messages."""
        for a in list(some):
            for b in list(others):
                self.cuts.add((a, b))
                if not one_way:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        """Let everything pass again."""
        self.cuts.clear()

    def transmit(self, sender: "MemoryLinks", address: str, data: bytes) -> None:
        """Deliver a message later, or drop it without a word, as TCP to a dead host does."""
        end = self.links_by_address.get(address)
        if end is None or end.receive is None or not self._passes(sender, end):
            return
        faults = self.faults if sender.zone == end.zone else self.zone_faults
        if self._random.random() < faults.loss_probability:
            return
        delay_s = faults.delay_s + self._random.random() * faults.jitter_s
        asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, end, data)

    def _deliver(self, sender: "MemoryLinks", end: "MemoryLinks", data: bytes) -> None:
        if end.receive is not None and self._passes(sender, end):
            end.bytes_received += len(data)
            end.receive(data)

    def _passes(self, sender: "MemoryLinks", end: "MemoryLinks") -> bool:
        pairs = {(a, b) for a in (sender.address, sender.zone) for b in (end.address, end.zone)}
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
        """Begin to receive."""
        self.receive = receive
        self._network.links_by_address[self.address] = self

    def send(self, address: str, data: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""
        if self.receive is None or len(data) > MAX_MESSAGE_BYTES:
            return False
        self.bytes_sent += len(data)
        self._network.transmit(self, address, data)
        return True

    def close_idle(self, now: float) -> int:
        """Close nothing: there are no connections here."""
        return 0

    def stop(self) -> None:
        """Stop receiving."""
        self.receive = None
        if self._network.links_by_address.get(self.address) is self:
            del self._network.links_by_address[self.address]
