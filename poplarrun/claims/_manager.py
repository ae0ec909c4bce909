"""Claims of one host: appended through the shard's owner, decided by the log."""

import asyncio
from collections.abc import Callable

import msgspec

from poplarrun.claims._fold import RETENTION_S
from poplarrun.claims._keys import SHARDS, shard_of
from poplarrun.claims._records import (
    Claim,
    ClaimVerdict,
    KeyState,
    Outcome,
    Record,
    Release,
    Stored,
    Unsettled,
    Verdict,
)
from poplarrun.claims._shard import Shard
from poplarrun.hosts import Peers
from poplarrun.log import AsyncLog
from poplarrun.metrics import ignore_event
from poplarrun.rendezvous import RankingCache

APPEND_MESSAGE = "claims.append"
FIND_MESSAGE = "claims.find"
# An owner that doesn't answer within this time is bypassed for a while. If it appends the record
# after all, the fold drops the second copy.
MAX_FORWARD_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_FRACTION = 0.4
SILENT_OWNER_BACKOFF_S = 5.0
SETTLE_TIMEOUT_S = 2.0
SETTLE_RETRY_INTERVAL_S = 0.5
# Bound on the outcomes and releases that wait for the log, about 1 KB each. At the bound new keyed
# operations are refused, because their outcome could not be stored.
MAX_UNSETTLED = 10_000
SHARD_IDLE_TIMEOUT_S = 120.0


class _AppendRequest(msgspec.Struct, frozen=True, array_like=True):
    record: Record
    timeout_s: float


class _FindRequest(msgspec.Struct, frozen=True, array_like=True):
    account: str
    key: str


class KeyLookup(msgspec.Struct, frozen=True, array_like=True):
    """Result of looking up a key.

    Attributes
    ----------
    state : KeyState, optional
        The claim that holds the key, if any.
    is_current : bool
        Whether the log was read to its end for this answer.
    """

    state: KeyState | None
    is_current: bool


_encode = msgspec.msgpack.Encoder().encode
_append_decoder = msgspec.msgpack.Decoder(_AppendRequest)
_find_decoder = msgspec.msgpack.Decoder(_FindRequest)
_found_decoder = msgspec.msgpack.Decoder(KeyLookup)
_verdict_decoder: msgspec.msgpack.Decoder[Verdict] = msgspec.msgpack.Decoder(Verdict)


class ClaimManager:
    """Claims keys, records the outcomes of claims, and looks up keys.

    Parameters
    ----------
    peers : Peers
        The other hosts.
    log : AsyncLog
        The platform's log.
    now, wall : callable
        Seconds, monotonic and since the epoch.
    count : callable
        Counts an event by its name.
    """

    def __init__(
        self,
        peers: Peers,
        log: AsyncLog,
        now: Callable[[], float],
        wall: Callable[[], float],
        count: Callable[[str], None] = ignore_event,
        retention_s: float = RETENTION_S,
    ) -> None:
        self._peers = peers
        self._log = log
        self._now = now
        self._wall = wall
        self._count = count
        self._retention_s = retention_s
        self._shards: dict[int, Shard] = {}
        self._unsettled: dict[str, Outcome | Release] = {}
        self._settle_task: asyncio.Task[None] | None = None
        self._silent_until: dict[str, float] = {}
        self._ranking = RankingCache()
        peers.serve(APPEND_MESSAGE, self._serve_append)
        peers.serve(FIND_MESSAGE, self._serve_find)

    @property
    def is_full(self) -> bool:
        """Whether no new claim may be made, because its outcome could not be stored."""
        return len(self._unsettled) >= MAX_UNSETTLED

    @property
    def unsettled_count(self) -> int:
        """Outcomes and releases that are not in the log yet."""
        return len(self._unsettled)

    @property
    def append_count(self) -> int:
        """Appends made by this host."""
        return sum(shard.append_count for shard in self._shards.values())

    async def claim(self, claim: Claim, timeout_s: float) -> ClaimVerdict:
        """Claim a key, and wait until the log has decided.

        If the verdict is ``Unsettled`` with ``may_be_logged``, the caller must release the claim.
        """
        verdict = await self._append(claim, timeout_s)
        if isinstance(verdict, Stored):
            raise TypeError("got the verdict of an outcome or release for a claim")
        if isinstance(verdict, Unsettled):
            self._count("claim_unsettled")
        return verdict

    def settle(self, record: Outcome | Release) -> None:
        """Append an outcome or a release to the log in the background, until it succeeds."""
        self._unsettled[record.id] = record
        if self._settle_task is None:
            self._settle_task = asyncio.create_task(self._settle_all())

    async def drain(self) -> None:
        """Wait until the log holds every outcome and release of this host."""
        if self._settle_task is not None:
            await asyncio.wait([self._settle_task])

    def find_unsettled(self, claim_id: str) -> Outcome | Release | None:
        """Return this host's outcome or release of a claim that is not in the log yet."""
        return self._unsettled.get(claim_id)

    async def find(self, account: str, key: str, timeout_s: float = SETTLE_TIMEOUT_S) -> KeyLookup:
        """Look up a key, by the current end of the log."""
        owner = self._find_owner(shard_of(account, key))
        if owner != self._peers.me.name:
            request = _encode(_FindRequest(account, key))
            answer = await self._peers.ask(owner, FIND_MESSAGE, request, timeout_s / 2)
            if isinstance(answer, bytes):
                return _found_decoder.decode(answer)
            self._record_silent_owner(owner)
        return await self._find_locally(account, key)

    async def write_due_snapshots(self) -> None:
        """Write the snapshots that are due; called periodically."""
        for number in range(SHARDS):
            if self._find_owner(number) == self._peers.me.name:
                shard = self._get_shard(number)
                if await shard.refresh():
                    shard.write_snapshot_if_due()

    async def _append(self, record: Record, timeout_s: float) -> Verdict:
        deadline = self._now() + timeout_s
        shard = shard_of(record.account, record.key)
        owner = self._find_owner(shard)
        forwarded: Verdict = Unsettled(may_be_logged=False)
        if owner != self._peers.me.name:
            forwarded = await self._forward(
                owner, record, min(MAX_FORWARD_TIMEOUT_S, timeout_s * FORWARD_TIMEOUT_FRACTION)
            )
        if not isinstance(forwarded, Unsettled):
            return forwarded
        verdict = await self._get_shard(shard).submit(record, max(0.0, deadline - self._now()))
        if isinstance(verdict, Unsettled):
            return Unsettled(verdict.may_be_logged or forwarded.may_be_logged)
        return verdict

    async def _forward(self, owner: str, record: Record, timeout_s: float) -> Verdict:
        """Forward a record to the shard's owner, which appends it.

        If the owner doesn't answer, this host appends the same record. If both copies take effect,
        the fold drops the second by its id: the first decides, and nothing runs twice.
        """
        self._count("claim_forwarded")
        message = _encode(_AppendRequest(record, timeout_s))
        answer = await self._peers.ask(owner, APPEND_MESSAGE, message, timeout_s)
        if isinstance(answer, bytes):
            return _verdict_decoder.decode(answer)
        self._record_silent_owner(owner)
        return Unsettled(may_be_logged=True)

    def _record_silent_owner(self, owner: str) -> None:
        self._count("claim_owner_silent")
        self._silent_until[owner] = self._now() + SILENT_OWNER_BACKOFF_S

    async def _settle_all(self) -> None:
        try:
            while self._unsettled:
                records = list(self._unsettled.values())
                await asyncio.gather(*(self._settle_one(record) for record in records))
                if all(record.id in self._unsettled for record in records):
                    await asyncio.sleep(SETTLE_RETRY_INTERVAL_S)
        finally:
            self._settle_task = None

    async def _settle_one(self, record: Outcome | Release) -> None:
        if isinstance(await self._append(record, SETTLE_TIMEOUT_S), Stored):
            self._unsettled.pop(record.id, None)

    async def _serve_append(self, _: str, payload: bytes) -> bytes:
        message = _append_decoder.decode(payload)
        shard = self._get_shard(shard_of(message.record.account, message.record.key))
        return _encode(await shard.submit(message.record, message.timeout_s))

    async def _serve_find(self, _: str, payload: bytes) -> bytes:
        message = _find_decoder.decode(payload)
        return _encode(await self._find_locally(message.account, message.key))

    async def _find_locally(self, account: str, key: str) -> KeyLookup:
        shard = self._get_shard(shard_of(account, key))
        is_current = await shard.refresh()
        return KeyLookup(shard.fold.find(account, key), is_current)

    def _find_owner(self, shard: int) -> str:
        now = self._now()
        names = tuple(
            peer.name
            for peer in self._peers.live()
            if peer == self._peers.me or self._silent_until.get(peer.name, 0.0) <= now
        )
        return self._ranking.rank(f"claims/{shard}", names)[0]

    def _get_shard(self, number: int) -> Shard:
        shard = self._shards.get(number)
        if shard is None:
            self._drop_idle_shards()
            shard = Shard(number, self._log, self._now, self._wall, self._retention_s)
            self._shards[number] = shard
        return shard

    def _drop_idle_shards(self) -> None:
        """Drop idle shards, which another host owns by now; the log keeps their records."""
        horizon = self._now() - SHARD_IDLE_TIMEOUT_S
        for number in range(SHARDS):
            shard = self._shards.get(number)
            if shard is not None and shard.is_idle and shard.last_used_at < horizon:
                del self._shards[number]
