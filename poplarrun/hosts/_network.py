"""``Peers`` over network links: requests to other hosts, and the gossip loop."""

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
    MAX_PAYLOAD_BYTES,
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

TICK_INTERVAL_S = 0.1
CLOSE_IDLE_INTERVAL_S = 5.0
MAX_CONCURRENT_REQUESTS = 256


class NetworkPeers:
    """A ``Peers`` that communicates with the other hosts over links.

    Parameters
    ----------
    me : Peer
        This host.
    links : Links
        The transport.
    seeds : tuple of str
        Addresses of some hosts; the others are discovered.
    metrics : Metrics
        Counts failures.
    rng : random.Random
        Chooses among peers.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        me: Peer,
        links: Links,
        seeds: tuple[str, ...],
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._links = links
        self._metrics = metrics
        self._clock = clock
        self.gossip = Gossip(me, links.address, seeds, metrics.count_event, rng, clock())
        self._handlers: dict[str, Handler] = {}
        self._pending_replies: dict[int, asyncio.Future[bytes | None]] = {}
        self._last_request_number = 0
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._tick_task: asyncio.Task[None] | None = None
        self._next_close_idle_at = 0.0
        self._log = component_logger("hosts")

    @property
    def me(self) -> Peer:
        """Identity of this host."""
        return self.gossip.me

    def start(self) -> None:
        """Start receiving and gossiping; called on the event loop."""
        self._links.start(self._receive)
        self._tick_task = asyncio.get_running_loop().create_task(self._run_ticks())

    async def leave(self) -> None:
        """Tell the other hosts of a planned stop, then stop."""
        self._send_all(self.gossip.leave(self._clock()))
        await asyncio.sleep(TICK_INTERVAL_S)
        self.stop()

    def stop(self) -> None:
        """Stop at once, without telling the other hosts."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for task in self._request_tasks:
            task.cancel()
        self._links.stop()

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, including this one, ordered by name."""
        return self.gossip.live_peers(self._clock())

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send a request to a peer and wait for its answer."""
        if peer == self.me.name:
            return await self._ask_self(kind, payload)
        address = self.gossip.address_of(peer)
        if address is None:
            return self._record_silent(peer, "not known")
        if len(payload) > MAX_PAYLOAD_BYTES:
            return self._record_silent(peer, "too large")
        self._last_request_number += 1
        number = self._last_request_number
        reply_future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._pending_replies[number] = reply_future
        try:
            if not self._send(Datagram(address, self._envelope(Request(number, kind, payload)))):
                return self._record_silent(peer, "not sent")
            answer = await asyncio.wait_for(reply_future, timeout_s)
        except TimeoutError:
            return self._record_silent(peer, "timeout")
        finally:
            del self._pending_replies[number]
        return self._record_silent(peer, "no handler") if answer is None else answer

    def serve(self, kind: str, handler: Handler) -> None:
        """Register the handler of a kind of request; it gets the sender's name and the payload."""
        self._handlers[kind] = handler

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""
        self.gossip.summaries.publish(topic, payload)

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been received."""
        return self.gossip.summaries.collect_summaries(
            topic, self.me, self.gossip.membership.live_members()
        )

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Announce to all hosts of all zones at once; the highest number of a topic wins."""
        self._send_all(self.gossip.announce(topic, number, payload, self._clock()))

    def highest_announced(self, topic: str) -> int:
        """Return the highest announced number of a topic; -1 if there is none."""
        item = self.gossip.latest_announcement(topic)
        return -1 if item is None else item.major

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback that gets topic and number of each new announcement."""
        self.gossip.announcement_callbacks.append(
            lambda item: callback(_topic_of(item), item.major)
        )

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the other hosts so far."""
        return self._links.bytes_sent

    @property
    def bytes_received(self) -> int:
        """Bytes received from the other hosts so far."""
        return self._links.bytes_received

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host knows of each zone, its own zone first."""
        gossip, now = self.gossip, self._clock()
        members = gossip.membership.all_members()
        own = {m.peer.name: MemberState(m.state).name.lower() for m in members}
        views = [ZoneView(self.me.zone, False, 0.0, own)]
        for zone in gossip.zones.other_zones():
            silent = gossip.zones.is_silent(zone, now)
            state = "silent" if silent else "alive"
            hosts = {member.name: state for member in gossip.zones.members(zone)}
            views.append(ZoneView(zone, silent, gossip.zones.silence_s(zone, now), hosts))
        return tuple(views)

    async def _ask_self(self, kind: str, payload: bytes) -> bytes | PeerSilent:
        handler = self._handlers.get(kind)
        if handler is None:
            return self._record_silent(self.me.name, "no handler")
        return await handler(self.me.name, payload)

    def _record_silent(self, peer: str, reason: str) -> PeerSilent:
        self._metrics.count_event(f"peer_silent_{reason.replace(' ', '_')}")
        return PeerSilent(peer, reason)

    async def _run_ticks(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                self._metrics.count_event("task_failed")
                self._log.error("Gossip tick failed.", exc_info=True)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        now = self._clock()
        self._send_all(self.gossip.tick(now))
        if now >= self._next_close_idle_at:
            self._next_close_idle_at = now + CLOSE_IDLE_INTERVAL_S
            self._links.close_idle(now)

    def _receive(self, data: bytes) -> None:
        match decode_envelope(data):
            case Unreadable(reason=reason):
                self._metrics.count_event(reason)
            case Envelope(body=Request() as request) as envelope:
                self._start_request(request, envelope)
            case Envelope(body=Reply() as reply):
                self._handle_reply(reply)
            case envelope:
                self._send_all(self.gossip.handle_envelope(envelope, self._clock()))

    def _handle_reply(self, reply: Reply) -> None:
        reply_future = self._pending_replies.get(reply.number)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(reply.payload if reply.is_handled else None)

    def _start_request(self, request: Request, envelope: Envelope) -> None:
        if len(self._request_tasks) >= MAX_CONCURRENT_REQUESTS:
            self._metrics.count_event("peer_request_dropped")
            return
        task = asyncio.get_running_loop().create_task(self._handle_request(request, envelope))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _handle_request(self, request: Request, envelope: Envelope) -> None:
        handler = self._handlers.get(request.kind)
        reply = Reply(request.number, False, b"")
        if handler is not None:
            try:
                payload = await handler(envelope.sender, request.payload)
            except Exception:
                self._metrics.count_event("peer_handler_failed")
                self._log.error(
                    "Handler of a peer request failed.", exc_info=True, extra={"kind": request.kind}
                )
                return
            reply = Reply(request.number, True, payload)
        self._send(Datagram(envelope.address, self._envelope(reply)))

    def _envelope(self, body: Request | Reply) -> Envelope:
        return self.gossip.make_envelope(body, [])

    def _send_all(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self._send(datagram)

    def _send(self, datagram: Datagram) -> bool:
        sent = self._links.send(datagram.address, encode_envelope(datagram.envelope))
        if not sent:
            self._metrics.count_event("peer_message_not_sent")
        return sent


def _topic_of(item: Item) -> str:
    return item.key.split("/", 2)[2]
