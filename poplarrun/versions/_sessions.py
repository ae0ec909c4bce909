"""Sessions keep their version: a token that the caller carries, and copies at home hosts."""

import asyncio
import base64
import binascii
import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from poplarrun.contracts import ClientAccount, VersionId
from poplarrun.hosts import Peer, Peers, PeerSilent
from poplarrun.rendezvous import rank_hosts

KEPT_SESSIONS = 50_000
HOMES = 3
ASK_TIMEOUT_S = 0.25
# Once a home has answered with a version, the others have so much longer. A host that was
# paused is silent until it is suspected, for seconds; each request of a session would
# wait for it, and couples at the counter with it.
GRACE_S = 0.05
MAC_BYTES = 16
MESSAGE_KIND = "session"

T = TypeVar("T")


class _TokenBody(msgspec.Struct, array_like=True):
    session: str
    version: str


class _HomeMessage(msgspec.Struct, array_like=True):
    """Asks a home for a session's version; a proposal is taken when it has none."""

    account: str
    session: str
    proposal: str = ""


_body_decoder = msgspec.msgpack.Decoder(_TokenBody)
_message_decoder = msgspec.msgpack.Decoder(_HomeMessage)


def sign_session_token(account: ClientAccount, session: str, version: VersionId) -> str:
    """Return the token that names a session's version.

    It is signed with the hash of a key of the account, which every host has
    from the configuration: no secret of the system's own has to be handed out.
    A caller could forge a token of its own account; it would choose among the
    versions that the account may use anyway, and each is checked again.
    """
    body = msgspec.msgpack.encode(_TokenBody(session, str(version)))
    return base64.urlsafe_b64encode(_mac(account.key_hashes[0], body) + body).decode()


def verify_session_token(account: ClientAccount, token: str) -> tuple[str, VersionId] | None:
    """Return a token's session and version; None when no key of the account signed it."""
    try:
        data = base64.urlsafe_b64decode(token)
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(_mac(key, body), mac) for key in account.key_hashes):
            return None
        read = _body_decoder.decode(body)
        return read.session, VersionId.parse(read.version)
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return None


def _mac(key_hash: str, body: bytes) -> bytes:
    return hmac.digest(key_hash.encode(), body, hashlib.sha256)[:MAC_BYTES]


def choose_session_replicas(account: str, session: str, live: Iterable[Peer]) -> list[str]:
    """Return the hosts that keep a session's version: in as many zones as there are.

    One zone's loss then leaves a copy in another.
    """
    zones = {peer.name: peer.zone for peer in live}
    ranked = rank_hosts(f"session/{account}/{session}", zones)
    first_of_zone: dict[str, str] = {}
    for name in ranked:
        first_of_zone.setdefault(zones[name], name)
    spread = list(first_of_zone.values())
    return (spread + [name for name in ranked if name not in spread])[:HOMES]


class SessionStore:
    """The sessions that one host keeps in memory; the longest unused go first."""

    def __init__(self) -> None:
        self._versions: OrderedDict[tuple[str, str], str] = OrderedDict()

    def find(self, account: str, session: str) -> str:
        """Return a session's version; empty when it isn't kept here."""
        place = (account, session)
        if place in self._versions:
            self._versions.move_to_end(place)
        return self._versions.get(place, "")

    def open(self, account: str, session: str, proposal: str) -> str:
        """Return a session's version; the first proposal becomes it."""
        held = self._versions.setdefault((account, session), proposal)
        while len(self._versions) > KEPT_SESSIONS:
            self._versions.popitem(last=False)
        return held


class SessionRegistry:
    """Finds and fixes the versions of sessions whose ids callers choose.

    Parameters
    ----------
    peers : Peers
        The other hosts, some of which are a session's homes.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._store = SessionStore()
        # The loop holds tasks weakly: one that nothing else names may be collected.
        self._beside: set[asyncio.Task[Any]] = set()
        peers.serve(MESSAGE_KIND, self._answer)

    async def find(self, account: str, session: str) -> VersionId | None:
        """Return the version of a session that any reachable home knows."""
        held = self._store.find(account, session)
        if held:
            return VersionId.parse(held)
        homes = choose_session_replicas(account, session, self._peers.live())
        message = _HomeMessage(account, session)
        answers = await self._ask_all(homes, message)
        known = next((answer for answer in answers if answer), "")
        if not known:
            return None
        self._store.open(account, session, known)
        self._spawn(self._copy(account, session, known, _silent_or_empty(homes, answers)))
        return VersionId.parse(known)

    async def open(self, account: str, session: str, proposal: VersionId) -> VersionId:
        """Fix the version of a new session.

        Two hosts may see a session's first request at once. Both ask its first
        home, which takes the first proposal and tells it to the other.
        """
        held = str(proposal)
        homes = choose_session_replicas(account, session, self._peers.live())
        for home in homes:
            answer = await self._ask(home, _HomeMessage(account, session, held))
            held = answer or held
        return VersionId.parse(self._store.open(account, session, held))

    async def _copy(self, account: str, session: str, version: str, homes: Sequence[str]) -> None:
        """Give a session to homes that lack it, such as one that was replaced."""
        message = _HomeMessage(account, session, version)
        await asyncio.gather(*(self._ask(home, message) for home in homes))

    async def _ask_all(self, homes: Sequence[str], message: _HomeMessage) -> list[str]:
        """Return the homes' answers in their order; empty for those that are late."""
        asked = [self._spawn(self._ask(home, message)) for home in homes]
        waiting: set[asyncio.Task[str]] = set(asked)
        while waiting:
            answered, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in answered):
                break
        if waiting:
            await asyncio.wait(waiting, timeout=GRACE_S)
        return [task.result() if task.done() else "" for task in asked]

    def _spawn(self, work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        task = asyncio.get_running_loop().create_task(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)
        return task

    async def _ask(self, home: str, message: _HomeMessage) -> str:
        if home == self._peers.me.name:
            return self._look(message)
        payload = msgspec.msgpack.encode(message)
        answer = await self._peers.ask(home, MESSAGE_KIND, payload, ASK_TIMEOUT_S)
        return "" if isinstance(answer, PeerSilent) else answer.decode()

    async def _answer(self, _: str, payload: bytes) -> bytes:
        return self._look(_message_decoder.decode(payload)).encode()

    def _look(self, message: _HomeMessage) -> str:
        if message.proposal:
            return self._store.open(message.account, message.session, message.proposal)
        return self._store.find(message.account, message.session)


def _silent_or_empty(homes: Sequence[str], answers: Sequence[str]) -> list[str]:
    return [home for home, answer in zip(homes, answers, strict=True) if not answer]
