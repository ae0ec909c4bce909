"""Exchange between hosts of which sessions stay on their version in a roll-out."""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from dataclasses import dataclass

from poplarrun.gateway._message_sender import MessageSender
from poplarrun.peers import PeerTable, PinnedSessions, SessionAnswer, SessionQuery
from poplarrun.rollouts import PinnedSession, Rollouts, SessionKey
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot

# Number of owners whose answers are awaited, and for how long: one owner may be dead, or may have
# started after the session.
MIN_ANSWERS = 2
ANSWER_TIMEOUT_S = 0.1


@dataclass(slots=True)
class _PendingQuery:
    pin: PinnedSession
    awaited_answers: int
    answer: asyncio.Future[bool]


class SessionLookup:
    """Stores and looks up pinned sessions at the hosts that own them.

    Each session has a few owners, chosen by its hash, so that the messages for a request don't
    grow with the number of hosts.
    """

    def __init__(self, peer_table: PeerTable, sender: MessageSender, rollouts: Rollouts) -> None:
        self._peer_table = peer_table
        self._sender = sender
        self._rollouts = rollouts
        self._query_ids = itertools.count(1)
        self._pending_queries: dict[int, _PendingQuery] = {}

    def publish(self) -> None:
        """Send newly pinned sessions to their owners."""
        hashes_by_receiver: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        for pin in self._rollouts.sessions.drain_unpublished():
            for owner in self._owners(pin.key):
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
        is_pinned = self._rollouts.sessions.is_pinned(pin)
        self._sender.send(query.address, SessionAnswer(query.query_id, is_pinned))

    def handle_answer(self, answer: SessionAnswer) -> None:
        """Apply an answer; one owner that knows the session as pinned suffices."""
        pending = self._pending_queries.get(answer.query_id)
        if pending is None or pending.answer.done():
            return
        pending.awaited_answers -= 1
        if answer.is_pinned:
            self._rollouts.sessions.apply_pin(pending.pin)
        if answer.is_pinned or pending.awaited_answers <= 0:
            pending.answer.set_result(answer.is_pinned)

    async def resolve(self, work: InFlightRequest) -> bool:
        """Query whether a request's session is pinned; return False without an answer in time.

        Only sessions that would take part in the trial are queried.
        """
        pin = self._rollouts.find_session_to_query(work, seconds_since_boot())
        if pin is None:
            return True
        owners = self._owners(pin.key)
        if not owners:
            return True
        awaited_answers = min(MIN_ANSWERS, len(owners))
        query_id = next(self._query_ids)
        pending = _PendingQuery(pin, awaited_answers, asyncio.get_running_loop().create_future())
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
        return pending.answer.done() and not pending.answer.cancelled()

    def _owners(self, key: SessionKey) -> list[str]:
        """Return the addresses of a session's owners other than this host."""
        owners = self._peer_table.session_owners(f"{key.service}/{key.session_hash}")
        return [owner for owner in owners if owner != self._peer_table.address]
