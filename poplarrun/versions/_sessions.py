"""Keeps sessions on one version, by a token that the caller presents and replicas at hosts."""

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

# Sessions in the memory of one host.
MAX_SESSIONS = 50_000
REPLICAS = 3
REPLICA_TIMEOUT_S = 0.25
# Time that the other replicas have after the first has answered with a version. A paused host
# is silent for seconds until it is suspected; without this bound each request of a session, and
# the caller behind it, would wait that long.
REPLICA_GRACE_S = 0.05
MAC_BYTES = 16
MESSAGE_KIND = "session"

T = TypeVar("T")


class _TokenBody(msgspec.Struct, array_like=True):
    session: str
    version: str


class _ReplicaRequest(msgspec.Struct, array_like=True):
    """Asks a replica for a session's version; the proposal is stored where it has none."""

    account: str
    session: str
    proposal: str = ""


_body_decoder = msgspec.msgpack.Decoder(_TokenBody)
_message_decoder = msgspec.msgpack.Decoder(_ReplicaRequest)


def sign_session_token(account: ClientAccount, session: str, version: VersionId) -> str:
    """Return the token that names a session's version.

    It is signed with the hash of an API key of the account, which every host has from the
    configuration, so the hosts need no shared secret. A caller could forge a token of its own
    account, but that only selects among the versions that the account may use, and each use is
    checked again.
    """
    body = msgspec.msgpack.encode(_TokenBody(session, str(version)))
    return base64.urlsafe_b64encode(_mac(account.key_hashes[0], body) + body).decode()


def verify_session_token(account: ClientAccount, token: str) -> tuple[str, VersionId] | None:
    """Return a token's session and version; None unless a key of the account signed it."""
    try:
        data = base64.urlsafe_b64decode(token)
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(_mac(key, body), mac) for key in account.key_hashes):
            return None
        decoded = _body_decoder.decode(body)
        return decoded.session, VersionId.parse(decoded.version)
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return None


def _mac(key_hash: str, body: bytes) -> bytes:
    return hmac.digest(key_hash.encode(), body, hashlib.sha256)[:MAC_BYTES]


def choose_session_replicas(account: str, session: str, live: Iterable[Peer]) -> list[str]:
    """Return the hosts that store a session's version, spread over as many zones as possible.

    After the loss of one zone, another still has a replica.
    """
    zones = {peer.name: peer.zone for peer in live}
    ranked = rank_hosts(f"session/{account}/{session}", zones)
    first_of_zone: dict[str, str] = {}
    for name in ranked:
        first_of_zone.setdefault(zones[name], name)
    one_per_zone = list(first_of_zone.values())
    return (one_per_zone + [name for name in ranked if name not in one_per_zone])[:REPLICAS]


class SessionStore:
    """The session versions in the memory of one host; the least recently used are evicted."""

    def __init__(self) -> None:
        self._versions: OrderedDict[tuple[str, str], str] = OrderedDict()

    def find(self, account: str, session: str) -> str:
        """Return a session's version; empty when it isn't stored here."""
        key = (account, session)
        if key in self._versions:
            self._versions.move_to_end(key)
        return self._versions.get(key, "")

    def find_or_set(self, account: str, session: str, proposal: str) -> str:
        """Return a session's version; the first proposal is stored as the version."""
        version = self._versions.setdefault((account, session), proposal)
        while len(self._versions) > MAX_SESSIONS:
            self._versions.popitem(last=False)
        return version


class SessionRegistry:
    """Finds and assigns the versions of sessions, whose ids callers choose.

    Parameters
    ----------
    peers : Peers
        The other hosts, which store the replicas.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._store = SessionStore()
        # The event loop keeps only weak references to tasks, so unreferenced ones may be collected.
        self._tasks: set[asyncio.Task[Any]] = set()
        peers.serve(MESSAGE_KIND, self._handle_request)

    async def find(self, account: str, session: str) -> VersionId | None:
        """Return the version of a session from any reachable replica."""
        version = self._store.find(account, session)
        if version:
            return VersionId.parse(version)
        replicas = choose_session_replicas(account, session, self._peers.live())
        message = _ReplicaRequest(account, session)
        answers = await self._query_replicas(replicas, message)
        known = next((answer for answer in answers if answer), "")
        if not known:
            return None
        self._store.find_or_set(account, session, known)
        self._spawn(
            self._copy_to_replicas(
                account, session, known, _replicas_without_version(replicas, answers)
            )
        )
        return VersionId.parse(known)

    async def open(self, account: str, session: str, proposal: VersionId) -> VersionId:
        """Assign the version of a new session.

        Two hosts may receive a session's first requests at the same time. Both ask its first
        replica, which stores the first proposal and returns it to both.
        """
        version = str(proposal)
        replicas = choose_session_replicas(account, session, self._peers.live())
        for replica in replicas:
            answer = await self._query_replica(replica, _ReplicaRequest(account, session, version))
            version = answer or version
        return VersionId.parse(self._store.find_or_set(account, session, version))

    async def _copy_to_replicas(
        self, account: str, session: str, version: str, replicas: Sequence[str]
    ) -> None:
        """Send a session's version to replicas that lack it, such as a replaced host."""
        message = _ReplicaRequest(account, session, version)
        await asyncio.gather(*(self._query_replica(replica, message) for replica in replicas))

    async def _query_replicas(self, replicas: Sequence[str], message: _ReplicaRequest) -> list[str]:
        """Return the replicas' answers in their order; empty for late ones."""
        tasks = [self._spawn(self._query_replica(replica, message)) for replica in replicas]
        pending: set[asyncio.Task[str]] = set(tasks)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                break
        if pending:
            await asyncio.wait(pending, timeout=REPLICA_GRACE_S)
        return [task.result() if task.done() else "" for task in tasks]

    def _spawn(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _query_replica(self, replica: str, message: _ReplicaRequest) -> str:
        if replica == self._peers.me.name:
            return self._apply_request(message)
        payload = msgspec.msgpack.encode(message)
        answer = await self._peers.ask(replica, MESSAGE_KIND, payload, REPLICA_TIMEOUT_S)
        return "" if isinstance(answer, PeerSilent) else answer.decode()

    async def _handle_request(self, _: str, payload: bytes) -> bytes:
        return self._apply_request(_message_decoder.decode(payload)).encode()

    def _apply_request(self, message: _ReplicaRequest) -> str:
        if message.proposal:
            return self._store.find_or_set(message.account, message.session, message.proposal)
        return self._store.find(message.account, message.session)


def _replicas_without_version(replicas: Sequence[str], answers: Sequence[str]) -> list[str]:
    return [replica for replica, answer in zip(replicas, answers, strict=True) if not answer]
