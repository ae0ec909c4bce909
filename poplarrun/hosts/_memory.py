"""Peers in memory, with links that can be cut, for tests and for embedding."""

import asyncio
from collections.abc import Callable, Iterable

from poplarrun.hosts._peers import (
    CollectedSummaries,
    Handler,
    Peer,
    PeerSilent,
    SummaryTopic,
    ZoneView,
)


class MemoryPeerNetwork:
    """Joins ``MemoryPeers`` of one process.

    Attributes
    ----------
    cut_links : set of (str, str)
        Pairs of host names, sender first, between which nothing passes.
    down : set of str
        Hosts that are dead.
    paused : set of str
        Hosts that are taken to be live and answer nothing.
    delay_s : float
        Time that a message takes one way, in seconds.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.cut_links: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.delay_s = delay_s
        self.members: dict[str, MemoryPeers] = {}

    def passes(self, sender: str, receiver: str) -> bool:
        """Tell whether a message would arrive."""
        if {sender, receiver} & self.down:
            return False
        return (sender, receiver) not in self.cut_links

    def cut(self, some: Iterable[str], others: Iterable[str]) -> None:
        """Cut two groups of hosts off from each other, both ways."""
        for a in list(some):
            for b in list(others):
                self.cut_links |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Let everything pass again."""
        self.cut_links.clear()


class MemoryPeers:
    """A ``Peers`` of one host on a ``MemoryPeerNetwork``; membership is exact."""

    def __init__(self, network: MemoryPeerNetwork, me: Peer) -> None:
        self._network = network
        self._me = me
        self.bytes_sent = 0
        self.bytes_received = 0
        self._handlers: dict[str, Handler] = {}
        self._summaries: dict[str, bytes] = {}
        self._announced: dict[str, int] = {}
        self._callbacks: list[Callable[[str, int], None]] = []
        network.members[me.name] = self

    @property
    def me(self) -> Peer:
        """The own host."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, this one included, by name."""
        members = sorted(self._network.members.values(), key=lambda member: member.me)
        return tuple(member.me for member in members if self._reaches(member.me.name))

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""
        await asyncio.sleep(self._network.delay_s)
        is_reached = self._network.passes(self._me.name, peer) and peer not in self._network.paused
        if peer not in self._network.members or not is_reached:
            await asyncio.sleep(timeout_s)
            return PeerSilent(peer, "timeout")
        handler = self._network.members[peer]._handlers.get(kind)
        if handler is None:
            return PeerSilent(peer, "no handler")
        answer = await handler(self._me.name, payload)
        await asyncio.sleep(self._network.delay_s)
        if not self._network.passes(peer, self._me.name):
            return PeerSilent(peer, "timeout")
        return answer

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer messages of a kind: the handler gets the sender's name and the payload."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""
        self._summaries[topic.name] = payload

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been heard."""
        own: dict[str, bytes] = {}
        others: dict[str, list[bytes]] = {}
        for peer in self.live():
            payload = self._network.members[peer.name]._summaries.get(topic.name)
            if payload is None:
                continue
            if peer.zone == self._me.zone:
                own[peer.name] = payload
            else:
                others.setdefault(peer.zone, []).append(payload)
        return CollectedSummaries(
            own, {zone: topic.merge(payloads) for zone, payloads in others.items()}
        )

    def start(self) -> None:
        """Begin to talk; nothing is needed here."""

    async def leave(self) -> None:
        """Leave the network, as a planned stop does."""
        self._network.members.pop(self._me.name, None)

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Tell every host that is reached at once; the highest number of a topic wins."""
        for peer in self.live():
            self._network.members[peer.name]._hear(topic, number)

    def highest_announced(self, topic: str) -> int:
        """Return the highest number announced of a topic; -1 when none was heard."""
        return self._announced.get(topic, -1)

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Call back with topic and number of each new announcement."""
        self._callbacks.append(callback)

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host holds of each zone, the own one first."""
        found: dict[str, dict[str, str]] = {self._me.zone: {}}
        for peer in self.live():
            found.setdefault(peer.zone, {})[peer.name] = "alive"
        return tuple(ZoneView(zone, False, 0.0, hosts) for zone, hosts in found.items())

    def _hear(self, topic: str, number: int) -> None:
        if number <= self.highest_announced(topic):
            return
        self._announced[topic] = number
        for callback in self._callbacks:
            callback(topic, number)

    def _reaches(self, other: str) -> bool:
        if other == self._me.name:
            return True
        there = self._network.passes(self._me.name, other)
        return there and self._network.passes(other, self._me.name)
