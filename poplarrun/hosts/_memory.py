"""In-memory ``Peers`` with links that can be cut, for tests and for embedding."""

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
    """Connects the ``MemoryPeers`` of one process.

    Attributes
    ----------
    cut_links : set of (str, str)
        Pairs of host names, sender first, between which messages are lost.
    down : set of str
        Hosts that are dead.
    paused : set of str
        Hosts that are taken to be live but answer nothing.
    delay_s : float
        One-way delay of a message.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.cut_links: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.delay_s = delay_s
        self.members: dict[str, MemoryPeers] = {}

    def passes(self, sender: str, receiver: str) -> bool:
        """Return whether a message would be delivered."""
        if {sender, receiver} & self.down:
            return False
        return (sender, receiver) not in self.cut_links

    def cut(self, group: Iterable[str], other_group: Iterable[str]) -> None:
        """Lose all messages between two groups of hosts, in both directions."""
        for a in list(group):
            for b in list(other_group):
                self.cut_links |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Deliver all messages again."""
        self.cut_links.clear()


class MemoryPeers:
    """The ``Peers`` of one host on a ``MemoryPeerNetwork``; membership is exact."""

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
        """Identity of this host."""
        return self._me

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, including this one, ordered by name."""
        members = sorted(self._network.members.values(), key=lambda member: member.me)
        return tuple(member.me for member in members if self._is_reachable(member.me.name))

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send a request to a peer and wait for its answer."""
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
        """Register the handler of a kind of request; it gets the sender's name and the payload."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""
        self._summaries[topic.name] = payload

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been received."""
        own: dict[str, bytes] = {}
        payloads_by_zone: dict[str, list[bytes]] = {}
        for peer in self.live():
            payload = self._network.members[peer.name]._summaries.get(topic.name)
            if payload is None:
                continue
            if peer.zone == self._me.zone:
                own[peer.name] = payload
            else:
                payloads_by_zone.setdefault(peer.zone, []).append(payload)
        return CollectedSummaries(
            own, {zone: topic.merge(payloads) for zone, payloads in payloads_by_zone.items()}
        )

    def start(self) -> None:
        """Do nothing: the network delivers from the beginning."""

    async def leave(self) -> None:
        """Leave the network, as for a planned stop."""
        self._network.members.pop(self._me.name, None)

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Announce to all reachable hosts at once; the highest number of a topic wins."""
        for peer in self.live():
            self._network.members[peer.name]._apply_announcement(topic, number)

    def highest_announced(self, topic: str) -> int:
        """Return the highest announced number of a topic; -1 if there is none."""
        return self._announced.get(topic, -1)

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback that gets topic and number of each new announcement."""
        self._callbacks.append(callback)

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host knows of each zone, its own zone first."""
        found: dict[str, dict[str, str]] = {self._me.zone: {}}
        for peer in self.live():
            found.setdefault(peer.zone, {})[peer.name] = "alive"
        return tuple(ZoneView(zone, False, 0.0, hosts) for zone, hosts in found.items())

    def _apply_announcement(self, topic: str, number: int) -> None:
        if number <= self.highest_announced(topic):
            return
        self._announced[topic] = number
        for callback in self._callbacks:
            callback(topic, number)

    def _is_reachable(self, other: str) -> bool:
        if other == self._me.name:
            return True
        there = self._network.passes(self._me.name, other)
        return there and self._network.passes(other, self._me.name)
