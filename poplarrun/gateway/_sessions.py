"""Asks and tells other hosts which sessions stay on their version in a roll-out."""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from dataclasses import dataclass

from poplarrun.links import Links
from poplarrun.peers import HeldSessions, PeerTable, SessionAnswer, SessionQuery, encode_message
from poplarrun.rollouts import PinnedSession, Rollouts, SessionKey
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot

# Answers of keepers that are waited for, and for how long in seconds: one keeper may be
# dead, or newer than the session.
ANSWERS_NEEDED = 2
ANSWER_PATIENCE_S = 0.1


@dataclass(slots=True)
class _Question:
    held: PinnedSession
    missing: int
    answer: asyncio.Future[bool]


class SessionLookup:
    """What a host tells, asks and answers of sessions.

    A few hosts keep each session, found by its hash, so that the messages for a request do
    not grow with the number of hosts.
    """

    def __init__(self, peer_table: PeerTable, links: Links, rollouts: Rollouts) -> None:
        self._peer_table = peer_table
        self._links = links
        self._rollouts = rollouts
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}

    def tell(self) -> None:
        """Tell the keepers of the sessions that this host found to be held."""
        told: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        for held in self._rollouts.sessions.drain_unpublished():
            for keeper in self._keepers(held.key):
                told[keeper, held.key.service, held.order_offset].append(held.key.session_hash)
        for (keeper, service, offset), numbers in told.items():
            self._links.send(keeper, encode_message(HeldSessions(service, offset, numbers)))

    def take_held(self, message: HeldSessions) -> None:
        """Take in sessions that another host told of."""
        for number in message.session_hashes:
            key = SessionKey(message.service, number)
            self._rollouts.sessions.apply_pin(PinnedSession(key, message.offset))

    def answer(self, ask: SessionQuery) -> None:
        """Answer a host that asks."""
        held = PinnedSession(SessionKey(ask.service, ask.session_hash), ask.offset)
        is_held = self._rollouts.sessions.is_pinned(held)
        self._links.send(ask.address, encode_message(SessionAnswer(ask.query_id, is_held)))

    def take_answer(self, answer: SessionAnswer) -> None:
        """Take in an answer; a session that one keeper knows is held."""
        question = self._questions.get(answer.query_id)
        if question is None or question.answer.done():
            return
        question.missing -= 1
        if answer.is_held:
            self._rollouts.sessions.apply_pin(question.held)
        if answer.is_held or question.missing <= 0:
            question.answer.set_result(answer.is_held)

    async def resolve(self, work: InFlightRequest) -> bool:
        """Find out whether a request's session is held; False when nobody said so in time.

        Only sessions that the trial would take are asked for.
        """
        held = self._rollouts.find_session_to_query(work, seconds_since_boot())
        if held is None:
            return True
        keepers = self._keepers(held.key)
        if not keepers:
            return True
        needed = min(ANSWERS_NEEDED, len(keepers))
        number = next(self._numbers)
        question = _Question(held, needed, asyncio.get_running_loop().create_future())
        self._questions[number] = question
        service, session = held.key.service, held.key.session_hash
        ask = encode_message(
            SessionQuery(self._peer_table.address, number, service, held.order_offset, session)
        )
        try:
            for keeper in keepers:
                self._links.send(keeper, ask)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_PATIENCE_S):
                    await question.answer
        finally:
            del self._questions[number]
        return question.answer.done() and not question.answer.cancelled()

    def _keepers(self, key: SessionKey) -> list[str]:
        """Return the other hosts that keep a session."""
        keepers = self._peer_table.session_owners(f"{key.service}/{key.session_hash}")
        return [keeper for keeper in keepers if keeper != self._peer_table.address]
