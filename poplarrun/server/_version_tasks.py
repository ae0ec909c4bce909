"""Periodic tasks for versions: ratings, exchange of evidence, and the rollout controller."""

import asyncio
import itertools
import math
import random
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.clients import Ratings, RatingsUnavailable
from poplarrun.config import CONFIG_STREAM, NO_KEYS, OperatorKeys, Withdrawal, sign_system_record
from poplarrun.hosts import Peers, StreamPoller
from poplarrun.log import Appended, Gap, Log, ReadFailed, StreamReader
from poplarrun.logging import component_logger
from poplarrun.metrics import Metrics
from poplarrun.rendezvous import rank_hosts
from poplarrun.server._messages import RolloutStatus
from poplarrun.versions import (
    ROLLOUTS_STREAM,
    SampledAnswer,
    Snapshot,
    VersionManager,
    decode_rollout,
    encode_rollout,
)

# Maximum number of awaited ratings. The oldest are given up first, since some never arrive.
MAX_AWAITED_RATINGS = 5000
MAX_COLLECTED_RATINGS = 500
# Answers submitted concurrently; the rest wait for the next round.
MAX_CONCURRENT_SUBMISSIONS = 16

# Interval of the snapshots of the roll-outs, in seconds; shorter than the log's retention.
SNAPSHOT_INTERVAL_S = 300.0
# Time in seconds for which a host with an incomplete state waits for a complete snapshot.
INCOMPLETE_STATE_TIMEOUT_S = 15.0
ROLLOUTS_MESSAGE = "rollouts"
ESTIMATES_MESSAGE = "estimates"
# Time after its start during which a host requests the version estimates of others, in
# seconds.
ESTIMATES_REQUEST_WINDOW_S = 10.0
MAX_ASKED_PEERS = 3
PEER_REQUEST_TIMEOUT_S = 0.5

InThread = Callable[..., Awaitable[Any]]


class VersionTasks:
    """The periodic tasks of the version manager; their steps run on the event loop.

    Parameters
    ----------
    versions : VersionManager
        The decisions.
    peers : Peers
        The other hosts.
    log : Log
        The platform's log.
    ratings : Ratings, optional
        The rating service; without it there are no quality estimates.
    in_thread : callable
        Runs a blocking call off the loop.

    Attributes
    ----------
    on_withdrawal : callable
        Called when this host has appended a withdrawal to the configuration's stream.
    """

    def __init__(
        self,
        versions: VersionManager,
        peers: Peers,
        log: Log,
        ratings: Ratings | None,
        metrics: Metrics,
        in_thread: InThread,
        clock: Callable[[], float] = time.monotonic,
        keys: OperatorKeys = NO_KEYS,
    ) -> None:
        self._versions = versions
        self._keys = keys
        self._peers = peers
        self._platform_log = log
        self._ratings = ratings
        self._metrics = metrics
        self._in_thread = in_thread
        self._clock = clock
        self._reader = StreamReader(log, ROLLOUTS_STREAM)
        self._poll = StreamPoller(
            peers,
            ROLLOUTS_STREAM,
            lambda: self._reader.next_offset - 1,
            random.Random(peers.me.name),
        )
        self._has_caught_up = False
        self._snapshot_due_at = clock() + SNAPSHOT_INTERVAL_S
        self._last_snapshot_offset = -1
        self._incomplete_since: float | None = None
        self.has_rollouts = False
        self.on_withdrawal: Callable[[], None] = lambda: None
        peers.serve(ROLLOUTS_MESSAGE, self._handle_rollouts_request)
        peers.serve(ESTIMATES_MESSAGE, self._handle_estimates_request)
        self._request_estimates_until = clock() + ESTIMATES_REQUEST_WINDOW_S
        self._awaited_ratings: OrderedDict[str, SampledAnswer] = OrderedDict()
        self._log = component_logger("versions")

    def read_rollouts(self) -> tuple[RolloutStatus, ...]:
        """Return the progress of each roll-out, for the host status."""
        return tuple(
            RolloutStatus(
                version=str(key.version),
                work_class=key.class_name,
                stage=state.stage,
                exposure=state.budget,
                state=state.rejected or ("serving" if state.serves else "growing"),
            )
            for key, state in self._versions.rollouts.states.items()
        )

    async def follow_rollouts(self) -> None:
        """Read and fold new roll-out records."""
        match await self._in_thread(self._reader.read_new):
            case ReadFailed():
                self._metrics.count_event("log_read_failed")
                if not self.has_rollouts:
                    await self._request_rollouts()
            case Gap() as gap:
                self._reader.next_offset = gap.horizon
                self._versions.skip_rollouts(gap.horizon)
                await self._request_rollouts()
            case entries:
                for entry in entries:
                    self._versions.fold_entry(entry)
                if entries:
                    self._poll.announce()
                self._has_caught_up = self._reader.next_offset >= self._reader.end
                if not self._has_caught_up:
                    self._poll.wake()
                self.has_rollouts = self.has_rollouts or self._has_caught_up

    async def wait(self) -> None:
        """Wait for the next round of ``follow_rollouts``."""
        await self._poll.wait(not self.has_rollouts or not self._versions.rollouts.is_complete)

    async def _request_rollouts(self) -> None:
        """Request the state of the roll-outs from another host, if the log can't provide it.

        Otherwise a host that starts while the log is down would treat a version on trial as
        one in service, and send it the requests of all callers.
        """
        for name in self._list_asked_peers():
            answer = await self._peers.ask(name, ROLLOUTS_MESSAGE, b"", PEER_REQUEST_TIMEOUT_S)
            snapshot = decode_rollout(answer) if isinstance(answer, bytes) else None
            if isinstance(snapshot, Snapshot):
                self._versions.apply_rollout_snapshot(snapshot)
                self.has_rollouts = True
                return

    async def _request_estimates(self) -> None:
        for name in self._list_asked_peers():
            answer = await self._peers.ask(name, ESTIMATES_MESSAGE, b"", PEER_REQUEST_TIMEOUT_S)
            if isinstance(answer, bytes) and answer:
                self._versions.estimates.apply_aged_evidence(answer)
                self._request_estimates_until = -math.inf
                return

    async def _handle_estimates_request(self, _: str, __: bytes) -> bytes:
        # A host that still requests estimates has none of its own.
        return (
            b""
            if self._clock() < self._request_estimates_until
            else self._versions.estimates.encode_aged_evidence()
        )

    def _list_asked_peers(self) -> list[str]:
        others = [peer.name for peer in self._peers.live() if peer.name != self._peers.me.name]
        return others[:MAX_ASKED_PEERS]

    async def _handle_rollouts_request(self, _: str, __: bytes) -> bytes:
        rollouts = self._versions.rollouts
        if not self.has_rollouts or not rollouts.is_complete:
            return b""
        return encode_rollout(rollouts.snapshot("told"))

    async def exchange_evidence(self) -> None:
        """Publish this host's counters and apply those of the others."""
        if self._clock() < self._request_estimates_until and self._versions.has_configuration:
            await self._request_estimates()
        self._versions.exchange_evidence(self._peers, self._clock())

    async def run_rollout_controller(self) -> None:
        """Append the due records; the fold ignores those that another host appended first."""
        if not self._has_caught_up:
            return
        now = self._clock()
        due = [*self._versions.decide_rollouts(self._peers, now), *self._due_snapshot(now)]
        for record in due:
            if isinstance(record, Withdrawal):
                stream, data = CONFIG_STREAM, sign_system_record(record, self._keys)
            else:
                stream, data = ROLLOUTS_STREAM, encode_rollout(record)
            outcome = await self._in_thread(self._platform_log.append, stream, data)
            is_appended = isinstance(outcome, Appended)
            (self.on_withdrawal if stream == CONFIG_STREAM else self._poll.wake)()
            self._metrics.count_event("rollout_record" if is_appended else "rollout_record_failed")
            self._log.info(
                "Roll-out record.", extra={"record": repr(record), "appended": is_appended}
            )
        # The appended records must be read back before the next round, which would append the
        # same records again otherwise.
        self._has_caught_up = False

    def _due_snapshot(self, now: float) -> list[Snapshot]:
        """Return a snapshot if one is due, so that the state outlives the log's retention.

        If no host has the complete state, for instance after a long stop of all hosts, the
        remaining state counts as complete after a while.
        """
        rollouts, me = self._versions.rollouts, self._peers.me
        if rollouts.snapshot_offset != self._last_snapshot_offset:
            self._last_snapshot_offset = rollouts.snapshot_offset
            self._snapshot_due_at = now + SNAPSHOT_INTERVAL_S
        if rollouts.is_complete:
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        since = now if self._incomplete_since is None else self._incomplete_since
        is_lost = now - since >= INCOMPLETE_STATE_TIMEOUT_S
        is_due = rollouts.is_complete and bool(rollouts.states) and now >= self._snapshot_due_at
        names = [peer.name for peer in self._peers.live()]
        if not (is_lost or is_due) or rank_hosts("rollouts/snapshot", names)[0] != me.name:
            return []
        return [rollouts.snapshot(f"snapshot/{me.name}/{me.incarnation}/{rollouts.read_to}")]

    async def rate_answers(self) -> None:
        """Submit queued answers to the rating service, and collect the finished ratings."""
        if self._ratings is None:
            return
        batch = self._versions.dequeue_samples(MAX_CONCURRENT_SUBMISSIONS)
        await asyncio.gather(*(self._submit_answer(answer) for answer in batch))
        requested_ids = list(itertools.islice(self._awaited_ratings, MAX_COLLECTED_RATINGS))
        if requested_ids:
            await self._collect_ratings(requested_ids)

    async def _submit_answer(self, answer: SampledAnswer) -> None:
        assert self._ratings is not None
        if await self._in_thread(self._ratings.submit, answer.request_id, answer.text):
            self._awaited_ratings[answer.request_id] = answer
            while len(self._awaited_ratings) > MAX_AWAITED_RATINGS:
                self._awaited_ratings.popitem(last=False)
        else:
            self._metrics.count_event("rating_not_taken")

    async def _collect_ratings(self, requested_ids: list[str]) -> None:
        assert self._ratings is not None
        match await self._in_thread(self._ratings.collect, requested_ids):
            case RatingsUnavailable():
                self._metrics.count_event("ratings_unavailable")
            case rated:
                for rating in rated:
                    answer = self._awaited_ratings.pop(rating.request_id, None)
                    if answer is not None:
                        key = answer.key.as_second_step if answer.is_second else answer.key
                        self._versions.record_rating(key, rating.quality, answer.score)
                # Requests still awaited move to the end, so that lost ones don't block others.
                for request_id in requested_ids:
                    if request_id in self._awaited_ratings:
                        self._awaited_ratings.move_to_end(request_id)
