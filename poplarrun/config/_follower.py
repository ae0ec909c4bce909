"""Follows the configuration stream, so that a host has the newest accepted publication."""

import random
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from poplarrun.config._fold import Accepted, Verdict, apply_snapshot, fold_entry, fold_gap
from poplarrun.config._publications import CONFIG_STREAM, ConfigRecord, Filler, Snapshot
from poplarrun.config._sharing import (
    SHARE_KIND,
    RecordCache,
    ShareAnswer,
    ShareRequest,
    decode_share_answer,
)
from poplarrun.config._signatures import (
    NO_KEYS,
    OperatorKeys,
    decode_signed_record,
    sign_system_record,
)
from poplarrun.config._snapshots import make_snapshot
from poplarrun.config._state import Configuration
from poplarrun.hosts import Peers, PeerSilent, StreamPoller
from poplarrun.log import Entry, Gap, Log, ReadFailed, StreamReader
from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics
from poplarrun.rendezvous import rank_hosts

_logger = component_logger("config")
ANNOUNCEMENT_KEY = "config"
MAX_QUERIED_PEERS = 2
PEER_TIMEOUT_S = 1.0
# A snapshot is due when the last one is this old, or when this many records follow it.
SNAPSHOT_INTERVAL_S = 3600.0
SNAPSHOT_INTERVAL_RECORDS = 200
# Minimum time between two attempts to write a snapshot, except for one that follows fillers.
MIN_SNAPSHOT_INTERVAL_S = 10.0
# A log that still ends below the offset already read after this time was restored from a backup.
RESTORE_DETECTION_DELAY_S = 2.0
MAX_FILLERS_PER_ROUND = 20

RunBlocking = Callable[..., Awaitable[Any]]


class ConfigFollower:
    """Reads records from the log, or from peers while the log is unreachable, and folds them.

    Attributes
    ----------
    poll : StreamPoller
        Schedules the rounds of ``follow``.

    Parameters
    ----------
    log : Log
        The platform's log; its blocking calls are made through ``run``.
    peers : Peers
        The other hosts.
    run : callable
        Coroutine function that runs a blocking call on a thread.
    on_fold : callable
        Called with each new state and the verdict that led to it.
    """

    def __init__(
        self,
        log: Log,
        peers: Peers,
        metrics: Metrics,
        run: RunBlocking,
        on_fold: Callable[[Configuration, Verdict], None],
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        keys: OperatorKeys = NO_KEYS,
    ) -> None:
        self.state = Configuration()
        self.log_read_at = clock()
        self._log = log
        self._peers = peers
        self._metrics = metrics
        self._run = run
        self._on_fold = on_fold
        self._random = source
        self._clock = clock
        self._wall_clock = wall_clock
        self._keys = keys
        self._reader = StreamReader(log, CONFIG_STREAM)
        self._cache = RecordCache()
        self.poll = StreamPoller(peers, ANNOUNCEMENT_KEY, lambda: self.state.read_to, source)
        self._snapshot = Snapshot("", -1, -1, wall_clock(), b"", b"")
        self._snapshot_offset = -1
        self._snapshot_attempted_at = clock() - MIN_SNAPSHOT_INTERVAL_S
        self._log_behind_since: float | None = None
        # Set when fillers are written: the restored log may have lost the last snapshot.
        self._is_snapshot_forced = False
        self._has_log_failed = False
        peers.serve(SHARE_KIND, self._handle_share_request)

    async def follow(self) -> None:
        """Run one round: read the log, query peers if needed, and write a snapshot if due."""
        await self._read_log()
        if self._needs_peers():
            await self._query_peers()
        await self._maintain_log()

    async def wait(self) -> None:
        """Wait for the next round."""
        await self.poll.wait(self._needs_peers())

    async def _handle_share_request(self, _: str, payload: bytes) -> bytes:
        return self._cache.handle_request(payload, self.state)

    async def _read_log(self) -> None:
        self._reader.next_offset = self.state.read_to + 1
        match await self._run(self._reader.read_new):
            case ReadFailed(reason=reason):
                if not self._has_log_failed:
                    _logger.warning(
                        "The configuration log cannot be read, so peers are queried.",
                        extra={"reason": reason},
                    )
                self._has_log_failed = True
                self._metrics.count_event("log_read_failed")
            case Gap() as gap:
                self._record_log_read()
                self._metrics.count_event("log_gap")
                self.state = fold_gap(self.state, gap)
            case entries:
                self._record_log_read()
                self._check_log_end()
                self._fold(entries)
                if self._reader.next_offset < self._reader.end:
                    self.poll.wake()

    def _record_log_read(self) -> None:
        if self._has_log_failed:
            _logger.info("The configuration log can be read again.")
        self._has_log_failed = False
        self.log_read_at = self._clock()

    def _check_log_end(self) -> None:
        """Detect a log that ends below the offset that was already read from it."""
        if self._reader.end > self.state.read_to:
            self._log_behind_since = None
        elif self._log_behind_since is None:
            self._log_behind_since = self._clock()
            self._metrics.count_event("log_ends_below_read_offset")

    def _fold(self, entries: tuple[Entry, ...]) -> None:
        before = self.state.read_to
        for entry in entries:
            if entry.offset <= self.state.read_to:
                continue
            self.state, verdict = fold_entry(self.state, entry, self._keys)
            self._cache.add(entry)
            self._record_snapshot(entry)
            self._on_fold(self.state, verdict)
        if self.state.read_to > before:
            self.poll.announce()

    def _record_snapshot(self, entry: Entry) -> None:
        match decode_signed_record(entry.data, self._keys):
            case Snapshot(read_to=read_to) as snapshot if read_to == entry.offset - 1:
                self._snapshot, self._snapshot_offset = snapshot, entry.offset

    def _needs_peers(self) -> bool:
        announced = self._peers.highest_announced(ANNOUNCEMENT_KEY) > self.state.read_to
        return self._has_log_failed or announced or not self.state.anchored

    async def _query_peers(self) -> None:
        me = self._peers.me
        others = [p for p in self._peers.live() if p.name != me.name]
        self._random.shuffle(others)
        # Peers of the own zone come first, because their answers don't cross zones.
        others.sort(key=lambda peer: peer.zone != me.zone)
        chosen = others[:1] + self._random.sample(others[1:], min(1, len(others[1:])))
        for peer in chosen[:MAX_QUERIED_PEERS]:
            request = ShareRequest(self.state.read_to + 1, self.state.anchored)
            payload = msgspec.msgpack.encode(request)
            answer = await self._peers.ask(peer.name, SHARE_KIND, payload, PEER_TIMEOUT_S)
            if not isinstance(answer, PeerSilent):
                self._apply_answer(decode_share_answer(answer))

    def _apply_answer(self, answer: ShareAnswer | None) -> None:
        if answer is None:
            self._metrics.count_event("config_answer_malformed")
            return
        if answer.snapshot is not None:
            self._apply_snapshot(answer.snapshot)
        elif answer.records and answer.records[0][0] == self.state.read_to + 1:
            self._metrics.count_event("config_from_peer")
            self._fold(tuple(Entry(offset, data) for offset, data in answer.records))

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        adopted = apply_snapshot(self.state, snapshot, self._keys)
        is_behind = self.state.anchored and snapshot.read_to <= self.state.read_to
        if adopted is None or is_behind:
            self._metrics.count_event("config_snapshot_not_taken")
            return
        self.state = adopted
        self._metrics.count_event("config_from_peer")
        self._on_fold(self.state, Accepted(adopted.offset))

    async def _maintain_log(self) -> None:
        """Write snapshots and fillers for starting hosts; only the owner of this task does so."""
        if self._has_log_failed or not self.state.anchored or self.state.offset < 0:
            return
        if rank_hosts("config/snapshots", [p.name for p in self._peers.live()])[0] != (
            self._peers.me.name
        ):
            return
        now = self._clock()
        if (
            self._log_behind_since is not None
            and now - self._log_behind_since >= RESTORE_DETECTION_DELAY_S
        ):
            await self._append_fillers()
            return
        if (
            not self._is_snapshot_due()
            or now - self._snapshot_attempted_at < MIN_SNAPSHOT_INTERVAL_S
        ):
            return
        self._snapshot_attempted_at = now
        self._is_snapshot_forced = False
        snapshot = make_snapshot(self.state, uuid.uuid4().hex, self._wall_clock())
        self._metrics.count_event("config_snapshot_written")
        await self._append(snapshot)

    def _is_snapshot_due(self) -> bool:
        """Return whether a snapshot is due, for one of four reasons.

        Fillers were written; ``SNAPSHOT_INTERVAL_RECORDS`` records follow the last snapshot; it
        is in the older half of the records that the log still has; or it is
        ``SNAPSHOT_INTERVAL_S`` old. The third reason makes the hosts write the next snapshot
        before retention drops the last one.
        """
        if self._is_snapshot_forced:
            return True
        if self.state.read_to - self._snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        horizon, end = self._reader.horizon, self._reader.end
        if horizon > 0 and self._snapshot_offset - horizon < (end - horizon) / 2:
            return True
        age_s = self._wall_clock() - self._snapshot.published_at
        return age_s >= SNAPSHOT_INTERVAL_S

    async def _append_fillers(self) -> None:
        """Advance the end of a restored log to the offset that the hosts have read to.

        Otherwise its offsets would be assigned a second time: hosts that read the first records
        there would skip the new ones, and starting hosts would not. The snapshot that follows
        writes the hosts' state to the log again.
        """
        highest = max(self.state.read_to, self._peers.highest_announced(ANNOUNCEMENT_KEY))
        missing = highest + 1 - self._reader.end
        self._is_snapshot_forced = True
        self._snapshot_attempted_at = self._clock() - MIN_SNAPSHOT_INTERVAL_S
        for _ in range(min(missing, MAX_FILLERS_PER_ROUND)):
            self._metrics.count_event("log_filler_written")
            await self._append(Filler(uuid.uuid4().hex))

    async def _append(self, record: ConfigRecord) -> None:
        await self._run(self._log.append, CONFIG_STREAM, sign_system_record(record, self._keys))
