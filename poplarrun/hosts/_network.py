"""``Peers`` over links: asking and serving, and the turns of the gossip."""

import asyncio
import random
import time
from collections.abc import Callable

from poplarrun.hosts._gossip import Datagram, Gossip
from poplarrun.hosts._items import Item
from poplarrun.hosts._membership import MemberState
from poplarrun.hosts._peers import (
    CollectedSummaries,
    Handler,
    Peer,
    PeerSilent,
    SummaryTopic,
    ZoneView,
)
from poplarrun.hosts._wire import (
    PAYLOAD_BYTES,
    Envelope,
    Reply,
    Request,
    Unreadable,
    decode_envelope,
    encode_envelope,
)
from poplarrun.links import Links
from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics

TICK_S = 0.1
CLOSE_IDLE_PERIOD_S = 5.0
MAX_SERVED_AT_ONCE = 256


class NetworkPeers:
    """A ``Peers`` that talks to the other hosts over links.

    Parameters
    ----------
    me : Peer
        The own host.
    links : Links
        The transport.
    seeds : tuple of str
        Addresses of some hosts; the rest is learnt.
    metrics : Metrics
        Counts what goes wrong.
    source : random.Random
        Chooses among peers.
    clock : callable
        Seconds, monotonic.
    """

    def __init__(
        self,
        me: Peer,
        links: Links,
        seeds: tuple[str, ...],
        metrics: Metrics,
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self.gossip = Gossip(me, links.address, seeds, metrics.count_event, source, clock())
        self._handlers: dict[str, Handler] = {}
        self._waiting: dict[int, asyncio.Future[bytes | None]] = {}
        self._number = 0
        self._serving: set[asyncio.Task[None]] = set()
        self._turns: asyncio.Task[None] | None = None
        self._close_idle_at = 0.0
        self._log = component_logger("hosts")

    @property
    def me(self) -> Peer:
        """The own host."""
        return self.gossip.me

    def start(self) -> None:
        """Begin to talk; called on the loop."""
        self._links.start(self._receive)
        self._turns = asyncio.get_running_loop().create_task(self._take_turns())

    async def leave(self) -> None:
        """Tell the others of the planned stop, then be silent."""
        self._send_all(self.gossip.leave(self._clock()))
        await asyncio.sleep(TICK_S)
        self.stop()

    def stop(self) -> None:
        """Be silent at once."""
        if self._turns is not None:
            self._turns.cancel()
        for task in self._serving:
            task.cancel()
        self._links.stop()

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, this one included, by name."""
        return self.gossip.live_peers(self._clock())

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""
        if peer == self.me.name:
            return await self._ask_self(kind, payload)
        address = self.gossip.address_of(peer)
        if address is None:
            return self._silent(peer, "not known")
        if len(payload) > PAYLOAD_BYTES:
            return self._silent(peer, "too large")
        self._number += 1
        number = self._number
        answered: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._waiting[number] = answered
        try:
            if not self._send(Datagram(address, self._envelope(Request(number, kind, payload)))):
                return self._silent(peer, "not sent")
            answer = await asyncio.wait_for(answered, timeout_s)
        except TimeoutError:
            return self._silent(peer, "timeout")
        finally:
            del self._waiting[number]
        return self._silent(peer, "no handler") if answer is None else answer

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer messages of a kind: the handler gets the sender's name and the payload."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""
        self.gossip.summaries.publish(topic, payload)

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been heard."""
        return self.gossip.summaries.collect_summaries(
            topic, self.me, self.gossip.membership.live()
        )

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Tell every host of every zone at once; the highest number of a topic wins."""
        self._send_all(self.gossip.announce(topic, number, payload, self._clock()))

    def highest_announced(self, topic: str) -> int:
        """Return the highest number announced of a topic; -1 when none was heard."""
        item = self.gossip.highest_announced(topic)
        return -1 if item is None else item.major

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Call back with topic and number of each new announcement."""
        self.gossip.on_announced.append(lambda item: callback(_topic(item), item.major))

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the other hosts so far."""
        return self._links.bytes_sent

    @property
    def bytes_received(self) -> int:
        """Bytes received from the other hosts so far."""
        return self._links.bytes_received

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host holds of each zone, the own one first."""
        gossip, now = self.gossip, self._clock()
        members = gossip.membership.all()
        own = {m.peer.name: MemberState(m.state).name.lower() for m in members}
        views = [ZoneView(self.me.zone, False, 0.0, own)]
        for zone in gossip.zones.others():
            silent = gossip.zones.is_silent(zone, now)
            state = "silent" if silent else "alive"
            hosts = {member.name: state for member in gossip.zones.members(zone)}
            views.append(ZoneView(zone, silent, gossip.zones.silence_s(zone, now), hosts))
        return tuple(views)

    async def _ask_self(self, kind: str, payload: bytes) -> bytes | PeerSilent:
        handler = self._handlers.get(kind)
        if handler is None:
            return self._silent(self.me.name, "no handler")
        return await handler(self.me.name, payload)

    def _silent(self, peer: str, reason: str) -> PeerSilent:
        self._metrics.count_event(f"peer_silent_{reason.replace(' ', '_')}")
        return PeerSilent(peer, reason)

    async def _take_turns(self) -> None:
        while True:
            try:
                self._take_turn()
            except Exception:
                self._metrics.count_event("task_failed")
                self._log.error("A turn failed.", exc_info=True)
            await asyncio.sleep(TICK_S)

    def _take_turn(self) -> None:
        now = self._clock()
        self._send_all(self.gossip.tick(now))
        if now >= self._close_idle_at:
            self._close_idle_at = now + CLOSE_IDLE_PERIOD_S
            self._links.close_idle(now)

    def _receive(self, data: bytes) -> None:
        match decode_envelope(data):
            case Unreadable(reason=reason):
                self._metrics.count_event(reason)
            case Envelope(body=Request() as request) as envelope:
                self._begin_serving(request, envelope)
            case Envelope(body=Reply() as reply):
                self._take_reply(reply)
            case envelope:
                self._send_all(self.gossip.receive(envelope, self._clock()))

    def _take_reply(self, reply: Reply) -> None:
        waiting = self._waiting.get(reply.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.payload if reply.served else None)

    def _begin_serving(self, request: Request, envelope: Envelope) -> None:
        if len(self._serving) >= MAX_SERVED_AT_ONCE:
            self._metrics.count_event("peer_request_dropped")
            return
        task = asyncio.get_running_loop().create_task(self._serve(request, envelope))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, request: Request, envelope: Envelope) -> None:
        handler = self._handlers.get(request.kind)
        reply = Reply(request.number, False, b"")
        if handler is not None:
            try:
                payload = await handler(envelope.sender, request.payload)
            except Exception:
                self._metrics.count_event("peer_handler_failed")
                self._log.error("A handler failed.", exc_info=True, extra={"kind": request.kind})
                return
            reply = Reply(request.number, True, payload)
        self._send(Datagram(envelope.address, self._envelope(reply)))

    def _envelope(self, body: Request | Reply) -> Envelope:
        return self.gossip.envelope(body, [])

    def _send_all(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self._send(datagram)

    def _send(self, datagram: Datagram) -> bool:
        sent = self._links.send(datagram.address, encode_envelope(datagram.envelope))
        if not sent:
            self._metrics.count_event("peer_message_not_sent")
        return sent


def _topic(item: Item) -> str:
    return item.key.split("/", 2)[2]
