"""Keeps what is known of sessions while the hosts that own them are stopped and started."""

from collections import defaultdict
from collections.abc import Iterable

from poplarrun.gateway._message_sender import MessageSender
from poplarrun.logging import events, write_event
from poplarrun.peers import (
    HostStart,
    HostStop,
    PeerTable,
    PinnedSessions,
    RecentSessions,
    SessionsSent,
)
from poplarrun.rollouts import PinnedSession, Rollouts, SessionKey

# Interval between two questions to a host that has not answered.
ASK_INTERVAL_S = 0.4
# Time in which a host that has started learns which other hosts there are.
DISCOVERY_TIME_S = 0.5
# Time after which it no longer waits for those that have not answered.
ASK_TIMEOUT_S = 3.0
# Sessions in one message, of which the hashes take 5 bytes each.
MAX_SESSIONS_PER_MESSAGE = 10_000


class SessionHandover:
    """Hands over the sessions of a host that stops, and collects those of one that starts.

    Only a host's neighbours in the order of owners share sessions with it, so that a stop and a
    start take as many messages in a large fleet as in a small one.
    """

    def __init__(self, peer_table: PeerTable, sender: MessageSender, rollouts: Rollouts) -> None:
        self._peer_table = peer_table
        self._sender = sender
        self._rollouts = rollouts
        self._started_at = float("inf")
        self._asked_at: dict[str, float] = {}
        self._answered: set[str] = set()
        self._is_informed = False

    def start(self, now: float) -> None:
        """Begin to ask for the sessions that this host owns."""
        self._started_at = now

    def is_informed(self, now: float) -> bool:
        """Return whether this host knows the pins of the sessions that it owns."""
        if not self._is_informed and now - self._started_at >= DISCOVERY_TIME_S:
            has_all = self._answered.issuperset(self._peer_table.session_neighbours())
            self._is_informed = has_all or now - self._started_at >= ASK_TIMEOUT_S
        return self._is_informed

    def ask(self, now: float) -> None:
        """Ask the hosts that have not answered yet, also those that are found later."""
        if self._peer_table.is_stopping or now - self._started_at >= ASK_TIMEOUT_S:
            return
        question = HostStart(self._peer_table.address, self._peer_table.lifetime)
        for address in self._peer_table.session_neighbours():
            is_due = now - self._asked_at.get(address, float("-inf")) >= ASK_INTERVAL_S
            if address not in self._answered and is_due:
                self._asked_at[address] = now
                self._sender.send(address, question)

    def handle_start(self, message: HostStart, now: float) -> None:
        """Send a host that has started the pinned sessions that it owns."""
        address = message.address
        if self._peer_table.record_start(address, message.lifetime, now):
            self._sender.reconnect(address)
        owned = [
            pin
            for pin in self._rollouts.held_sessions(now)
            if address in self.find_owners(pin.key, now)
        ]
        self._send_pins(address, owned)
        self._sender.send(address, SessionsSent(self._peer_table.address, message.lifetime))

    def handle_sent(self, message: SessionsSent) -> None:
        """Record that a host has sent all that this one has asked it for."""
        if message.lifetime == self._peer_table.lifetime:
            self._answered.add(message.address)

    def stop(self, now: float) -> None:
        """Say that this host is stopping, and hand over its sessions to their other owners."""
        self._peer_table.is_stopping = True
        notice = HostStop(self._peer_table.address)
        self._sender.send_to_all(self._peer_table.session_neighbours(), notice)
        self.hand_over(now)

    def handle_stop(self, message: HostStop, now: float) -> None:
        """Record that a host is stopping."""
        self._peer_table.record_stop(message.address, now)

    def hand_over(self, now: float) -> None:
        """Send all sessions that this host knows to their owners."""
        pins = self._rollouts.held_sessions(now)
        pins_by_owner: dict[str, list[PinnedSession]] = defaultdict(list)
        for pin in pins:
            for owner in self.find_owners(pin.key, now):
                pins_by_owner[owner].append(pin)
        for owner, owned in pins_by_owner.items():
            self._send_pins(owner, owned)
        recent = self._rollouts.recent_sessions(now)
        recent_by_owner: dict[tuple[str, str], list[tuple[int, float]]] = defaultdict(list)
        for key, busy_until in recent:
            for owner in self.find_owners(key, now):
                recent_by_owner[owner, key.service].append((key.session_hash, now - busy_until))
        for (owner, service), sessions in recent_by_owner.items():
            for begin in range(0, len(sessions), MAX_SESSIONS_PER_MESSAGE):
                part = sessions[begin : begin + MAX_SESSIONS_PER_MESSAGE]
                self._sender.send(owner, RecentSessions(service, part))
        write_event(events.SessionsHandedOver(len(pins), len(recent), sorted(pins_by_owner)))

    def apply_recent(self, message: RecentSessions, now: float) -> None:
        """Apply the sessions that a stopping host has served lately."""
        for session_hash, age_s in message.sessions:
            key = SessionKey(message.service, session_hash)
            self._rollouts.apply_recent(key, now - age_s, now)

    def find_owners(self, key: SessionKey, now: float) -> list[str]:
        """Return the addresses of a session's owners other than this host."""
        owners = self._peer_table.session_owners(f"{key.service}/{key.session_hash}", now)
        return [owner for owner in owners if owner != self._peer_table.address]

    def _send_pins(self, address: str, pins: Iterable[PinnedSession]) -> None:
        hashes_by_order: dict[tuple[str, int], list[int]] = defaultdict(list)
        for pin in pins:
            hashes_by_order[pin.key.service, pin.order_offset].append(pin.key.session_hash)
        for (service, offset), hashes in hashes_by_order.items():
            for begin in range(0, len(hashes), MAX_SESSIONS_PER_MESSAGE):
                part = hashes[begin : begin + MAX_SESSIONS_PER_MESSAGE]
                self._sender.send(address, PinnedSessions(service, offset, part))
