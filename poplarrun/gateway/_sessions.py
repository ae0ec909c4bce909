"""Exchange between hosts of which sessions stay on their version in a roll-out."""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from dataclasses import dataclass, field

from poplarrun.gateway._message_sender import MessageSender
from poplarrun.gateway._session_handover import SessionHandover
from poplarrun.logging import events, write_event
from poplarrun.peers import PeerTable, PinnedSessions, SessionAnswer, SessionQuery
from poplarrun.rollouts import PinnedSession, Rollouts, SessionKey
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot

# How long answers are awaited: an owner that counts as alive may be dead.
ANSWER_TIMEOUT_S = 0.1


@dataclass(slots=True)
class _PendingQuery:
    """A query of which not all answers have arrived.

    Attributes
    ----------
    awaited : set of str
        Owners whose answers are awaited.
    denials, informed_denials : int
        Answers that don't know the session as pinned, and those of owners that would know it.
    answer : asyncio.Future
        Whether the session is pinned; done once an owner says so, or none is awaited any more.
    """

    pin: PinnedSession
    awaited: set[str]
    denials: int = 0
    informed_denials: int = 0
    answer: asyncio.Future[bool] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class SessionLookup:
    """Stores and looks up pinned sessions at the hosts that own them.

    Each session has a few owners, chosen by its hash, so that the messages for a request don't
    grow with the number of hosts.
    """

    def __init__(
        self,
        peer_table: PeerTable,
        sender: MessageSender,
        rollouts: Rollouts,
        handover: SessionHandover,
    ) -> None:
        self._peer_table = peer_table
        self._sender = sender
        self._rollouts = rollouts
        self._handover = handover
        self._query_ids = itertools.count(1)
        self._pending_queries: dict[int, _PendingQuery] = {}

    def publish(self) -> None:
        """Send newly pinned sessions to their owners."""
        now = seconds_since_boot()
        hashes_by_receiver: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        for pin in self._rollouts.sessions.drain_unpublished():
            for owner in self._handover.find_owners(pin.key, now):
                hashes_by_receiver[owner, pin.key.service, pin.order_offset].append(
                    pin.key.session_hash
                )
        for (owner, service, offset), session_hashes in hashes_by_receiver.items():
            self._sender.send(owner, PinnedSessions(service, offset, session_hashes))

    def apply_pinned(self, message: PinnedSessions) -> None:
        """Store pinned sessions that another host sent."""
        for session_hash in message.session_hashes:
            key = SessionKey(message.service, session_hash)
            self._rollouts.sessions.apply_pin(PinnedSession(key, message.offset))

    def handle_query(self, query: SessionQuery) -> None:
        """Answer another host's query."""
        pin = PinnedSession(SessionKey(query.service, query.session_hash), query.offset)
        answer = SessionAnswer(
            query.query_id,
            self._rollouts.sessions.is_pinned(pin),
            self._peer_table.address,
            self._handover.is_informed(seconds_since_boot()),
        )
        self._sender.send(query.address, answer)

    def handle_answer(self, answer: SessionAnswer) -> None:
        """Apply an answer; one owner that knows the session as pinned suffices."""
        pending = self._pending_queries.get(answer.query_id)
        if pending is None or pending.answer.done():
            return
        pending.awaited.discard(answer.address)
        if answer.is_pinned:
            self._rollouts.sessions.apply_pin(pending.pin)
            if pending.denials:
                self._rollouts.sessions.publish_again(pending.pin)
        else:
            pending.denials += 1
            pending.informed_denials += answer.is_informed
        if answer.is_pinned or not pending.awaited:
            pending.answer.set_result(answer.is_pinned)

    async def resolve(self, work: InFlightRequest) -> bool:
        """Query whether a request's session is pinned; return False if no owner could tell in time.

        Only sessions that would take part in the trial are queried. All owners that are alive are
        awaited: one that has just started may not know a session that another one knows.
        """
        now = seconds_since_boot()
        pin = self._rollouts.find_session_to_query(work, now)
        if pin is None:
            return True
        owners = self._handover.find_owners(pin.key, now)
        if not owners:
            return True
        alive = {owner for owner in owners if self._is_alive(owner, now)}
        query_id = next(self._query_ids)
        pending = _PendingQuery(pin, alive or set(owners))
        self._pending_queries[query_id] = pending
        service, session_hash = pin.key.service, pin.key.session_hash
        query = SessionQuery(
            self._peer_table.address, query_id, service, pin.order_offset, session_hash
        )
        try:
            self._sender.send_to_all(owners, query)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await pending.answer
        finally:
            del self._pending_queries[query_id]
        is_pinned = self._rollouts.sessions.is_pinned(pin)
        write_event(
            events.SessionQueried(
                work.request.id,
                is_pinned,
                pending.denials,
                pending.denials - pending.informed_denials,
                sorted(pending.awaited),
            )
        )
        return is_pinned or pending.informed_denials > 0

    def _is_alive(self, address: str, now: float) -> bool:
        peer = self._peer_table.find(address)
        return peer is not None and peer.is_alive(now)
