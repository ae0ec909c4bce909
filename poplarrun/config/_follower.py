"""Keeps one host's configuration at the newest accepted offset."""

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

_notes = component_logger("config")
ANNOUNCEMENT = "config"
ASKED_PEERS = 2
ASK_TIMEOUT_S = 1.0
SNAPSHOT_PERIOD_S = 3600.0
SNAPSHOT_RECORDS = 200
# At most one append of a snapshot in this time, whatever asks for it.
SNAPSHOT_PAUSE_S = 10.0
# A log that still ends below the own offset after this time was restored.
RESTORED_AFTER_S = 2.0
FILLERS_AT_ONCE = 20

Run = Callable[..., Awaitable[Any]]


class ConfigFollower:
    """Reads the log, or a peer while the log is out of reach, and folds.

    Attributes
    ----------
    poll : StreamPoll
        Paces ``follow``.

    Parameters
    ----------
    log : Log
        The platform's log; its calls are made with ``run``.
    peers : Peers
        The other hosts.
    run : callable
        Runs a blocking call on some thread and is awaited.
    on_fold : callable
        Called with each new state and the verdict that led to it.
    """

    def __init__(
        self,
        log: Log,
        peers: Peers,
        metrics: Metrics,
        run: Run,
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
        self.poll = StreamPoller(peers, ANNOUNCEMENT, lambda: self.state.read_to, source)
        self._snapshot = Snapshot("", -1, -1, wall_clock(), b"", b"")
        self._snapshot_at = -1
        self._snapshot_tried_at = clock() - SNAPSHOT_PAUSE_S
        self._behind_since: float | None = None
        self._bring_forward = False
        self._log_failed = False
        peers.serve(SHARE_KIND, self._share)

    async def follow(self) -> None:
        """Do one round: read, ask peers where needed, write a snapshot where due."""
        await self._read_log()
        if self._needs_peers():
            await self._ask_peers()
        await self._tend_log()

    async def wait(self) -> None:
        """Wait for the next round."""
        await self.poll.wait(self._needs_peers())

    async def _share(self, _: str, payload: bytes) -> bytes:
        return self._cache.answer(payload, self.state)

    async def _read_log(self) -> None:
        self._reader.next_offset = self.state.read_to + 1
        match await self._run(self._reader.read_new):
            case ReadFailed(reason=reason):
                if not self._log_failed:
                    _notes.warning("The log does not answer.", extra={"reason": reason})
                self._log_failed = True
                self._metrics.count_event("log_read_failed")
            case Gap() as gap:
                self._note_answer()
                self._metrics.count_event("log_gap")
                self.state = fold_gap(self.state, gap)
            case entries:
                self._note_answer()
                self._note_end()
                self._fold(entries)
                if self._reader.next_offset < self._reader.end:
                    self.poll.wake()

    def _note_answer(self) -> None:
        if self._log_failed:
            _notes.info("The log answers again.")
        self._log_failed = False
        self.log_read_at = self._clock()

    def _note_end(self) -> None:
        """Watch for a log that ends below what was already read from it."""
        if self._reader.end > self.state.read_to:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock()
            self._metrics.count_event("log_ends_below_read_offset")

    def _fold(self, entries: tuple[Entry, ...]) -> None:
        before = self.state.read_to
        for entry in entries:
            if entry.offset <= self.state.read_to:
                continue
            self.state, verdict = fold_entry(self.state, entry, self._keys)
            self._cache.add(entry)
            self._note_snapshot(entry)
            self._on_fold(self.state, verdict)
        if self.state.read_to > before:
            self.poll.announce()

    def _note_snapshot(self, entry: Entry) -> None:
        match decode_signed_record(entry.data, self._keys):
            case Snapshot(read_to=read_to) as snapshot if read_to == entry.offset - 1:
                self._snapshot, self._snapshot_at = snapshot, entry.offset

    def _needs_peers(self) -> bool:
        announced = self._peers.highest_announced(ANNOUNCEMENT) > self.state.read_to
        return self._log_failed or announced or not self.state.anchored

    async def _ask_peers(self) -> None:
        me = self._peers.me
        others = [p for p in self._peers.live() if p.name != me.name]
        self._random.shuffle(others)
        # The own zone first: its answers cross no link between zones.
        others.sort(key=lambda peer: peer.zone != me.zone)
        chosen = others[:1] + self._random.sample(others[1:], min(1, len(others[1:])))
        for peer in chosen[:ASKED_PEERS]:
            request = ShareRequest(self.state.read_to + 1, self.state.anchored)
            payload = msgspec.msgpack.encode(request)
            answer = await self._peers.ask(peer.name, SHARE_KIND, payload, ASK_TIMEOUT_S)
            if not isinstance(answer, PeerSilent):
                self._take_answer(decode_share_answer(answer))

    def _take_answer(self, answer: ShareAnswer | None) -> None:
        if answer is None:
            self._metrics.count_event("config_answer_malformed")
            return
        if answer.snapshot is not None:
            self._take_snapshot(answer.snapshot)
        elif answer.records and answer.records[0][0] == self.state.read_to + 1:
            self._metrics.count_event("config_from_peer")
            self._fold(tuple(Entry(offset, data) for offset, data in answer.records))

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        adopted = apply_snapshot(self.state, snapshot, self._keys)
        is_behind = self.state.anchored and snapshot.read_to <= self.state.read_to
        if adopted is None or is_behind:
            self._metrics.count_event("config_snapshot_not_taken")
            return
        self.state = adopted
        self._metrics.count_event("config_from_peer")
        self._on_fold(self.state, Accepted(adopted.offset))

    async def _tend_log(self) -> None:
        """Keep the log able to start a fresh host: one host of all does so."""
        if self._log_failed or not self.state.anchored or self.state.offset < 0:
            return
        if rank_hosts("config/snapshots", [p.name for p in self._peers.live()])[0] != (
            self._peers.me.name
        ):
            return
        now = self._clock()
        if self._behind_since is not None and now - self._behind_since >= RESTORED_AFTER_S:
            await self._append_fillers()
            return
        if not self._is_snapshot_due() or now - self._snapshot_tried_at < SNAPSHOT_PAUSE_S:
            return
        self._snapshot_tried_at = now
        self._bring_forward = False
        snapshot = make_snapshot(self.state, uuid.uuid4().hex, self._wall_clock())
        self._metrics.count_event("config_snapshot_written")
        await self._append(snapshot)

    def _is_snapshot_due(self) -> bool:
        if self._bring_forward:
            return True
        if self.state.read_to - self._snapshot_at >= SNAPSHOT_RECORDS:
            return True
        horizon, end = self._reader.horizon, self._reader.end
        if horizon > 0 and self._snapshot_at - horizon < (end - horizon) / 2:
            return True
        age_s = self._wall_clock() - self._snapshot.published_at
        return age_s >= SNAPSHOT_PERIOD_S

    async def _append_fillers(self) -> None:
        """Bring a restored log forward to the offset that the hosts have read to.

        Its offsets would else be given out a second time: hosts that read the
        first records there would skip the new ones, and fresh hosts would not.
        The snapshot that follows brings the hosts' state back into the log.
        """
        highest = max(self.state.read_to, self._peers.highest_announced(ANNOUNCEMENT))
        missing = highest + 1 - self._reader.end
        self._bring_forward = True
        self._snapshot_tried_at = self._clock() - SNAPSHOT_PAUSE_S
        for _ in range(min(missing, FILLERS_AT_ONCE)):
            self._metrics.count_event("log_filler_written")
            await self._append(Filler(uuid.uuid4().hex))

    async def _append(self, record: ConfigRecord) -> None:
        await self._run(self._log.append, CONFIG_STREAM, sign_system_record(record, self._keys))
