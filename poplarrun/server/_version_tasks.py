"""The tasks of the versions part: ratings, the exchange of evidence, the steward."""

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
    RolloutSnapshot,
    SampledAnswer,
    VersionManager,
    decode_rollout,
    encode_rollout,
)

# Ratings that never come are given up, the oldest first.
AWAITED_RATINGS = 5000
ASKED_AT_ONCE = 500
# Answers handed in at the same time; the rest wait for the next round.
SUBMITTED_AT_ONCE = 16

# A snapshot of the roll-outs is written so often; the log keeps records for longer.
SNAPSHOT_PERIOD_S = 300.0
# A host without the whole state waits so long for one that has it.
INCOMPLETE_S = 15.0
ROLLOUTS_MESSAGE = "rollouts"
ESTIMATES_MESSAGE = "estimates"
# A host that starts asks the others for so long what they know of the versions.
ADOPTION_S = 10.0
PEERS_ASKED = 3
ASK_TIMEOUT_S = 0.5

InThread = Callable[..., Awaitable[Any]]


class VersionTasks:
    """What the versions part does besides deciding; its steps run on the loop.

    Parameters
    ----------
    versions : Versions
        The decisions.
    peers : Peers
        The other hosts.
    log : Log
        The platform's log.
    ratings : Ratings, optional
        The rating service; without it nothing is learnt of quality.
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
        self._caught_up = False
        self._snapshot_due_at = clock() + SNAPSHOT_PERIOD_S
        self._snapshot_seen = -1
        self._incomplete_since: float | None = None
        self.is_known = False
        self.on_withdrawal: Callable[[], None] = lambda: None
        peers.serve(ROLLOUTS_MESSAGE, self._tell_rollouts)
        peers.serve(ESTIMATES_MESSAGE, self._tell_estimates)
        self._adopt_until = clock() + ADOPTION_S
        self._awaited: OrderedDict[str, SampledAnswer] = OrderedDict()
        self._log = component_logger("versions")

    def read_rollouts(self) -> tuple[RolloutStatus, ...]:
        """Tell where each roll-out stands, for operators."""
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
        """Fold the roll-out records that came."""
        match await self._in_thread(self._reader.read_new):
            case ReadFailed():
                self._metrics.count_event("log_read_failed")
                if not self.is_known:
                    await self._ask_peers()
            case Gap() as gap:
                self._reader.next_offset = gap.horizon
                self._versions.skip_rollouts(gap.horizon)
                await self._ask_peers()
            case entries:
                for entry in entries:
                    self._versions.fold_entry(entry)
                if entries:
                    self._poll.announce()
                self._caught_up = self._reader.next_offset >= self._reader.end
                if not self._caught_up:
                    self._poll.wake()
                self.is_known = self.is_known or self._caught_up

    async def wait(self) -> None:
        """Wait for the next round of ``follow_rollouts``."""
        await self._poll.wait(not self.is_known or not self._versions.rollouts.is_complete)

    async def _ask_peers(self) -> None:
        """Ask another host for the roll-outs that the log does not tell.

        A host that starts while the log is down would else take a version that
        is being rolled out for one in service, and expose all its callers.
        """
        for name in self._other_hosts():
            answer = await self._peers.ask(name, ROLLOUTS_MESSAGE, b"", ASK_TIMEOUT_S)
            snapshot = decode_rollout(answer) if isinstance(answer, bytes) else None
            if isinstance(snapshot, RolloutSnapshot):
                self._versions.apply_rollout_snapshot(snapshot)
                self.is_known = True
                return

    async def _adopt_estimates(self) -> None:
        for name in self._other_hosts():
            answer = await self._peers.ask(name, ESTIMATES_MESSAGE, b"", ASK_TIMEOUT_S)
            if isinstance(answer, bytes) and answer:
                self._versions.estimates.apply_aged_evidence(answer)
                self._adopt_until = -math.inf
                return

    async def _tell_estimates(self, _: str, __: bytes) -> bytes:
        # A host that still asks has nothing to tell.
        return (
            b""
            if self._clock() < self._adopt_until
            else self._versions.estimates.encode_aged_evidence()
        )

    def _other_hosts(self) -> list[str]:
        others = [peer.name for peer in self._peers.live() if peer.name != self._peers.me.name]
        return others[:PEERS_ASKED]

    async def _tell_rollouts(self, _: str, __: bytes) -> bytes:
        rollouts = self._versions.rollouts
        if not self.is_known or not rollouts.is_complete:
            return b""
        return encode_rollout(rollouts.snapshot("told"))

    async def exchange_evidence(self) -> None:
        """Share this host's counters and take in the others'."""
        if self._clock() < self._adopt_until and self._versions.has_configuration:
            await self._adopt_estimates()
        self._versions.exchange_evidence(self._peers, self._clock())

    async def run_steward(self) -> None:
        """Append the records that are due; the fold drops what another host did first."""
        if not self._caught_up:
            return
        now = self._clock()
        due = [*self._versions.decide_rollouts(self._peers, now), *self._due_snapshot(now)]
        for record in due:
            if isinstance(record, Withdrawal):
                stream, data = CONFIG_STREAM, sign_system_record(record, self._keys)
            else:
                stream, data = ROLLOUTS_STREAM, encode_rollout(record)
            outcome = await self._in_thread(self._platform_log.append, stream, data)
            done = isinstance(outcome, Appended)
            (self.on_withdrawal if stream == CONFIG_STREAM else self._poll.wake)()
            self._metrics.count_event("rollout_record" if done else "rollout_record_failed")
            self._log.info("Roll-out record.", extra={"record": repr(record), "appended": done})
        # What was appended must be read back before the steward looks again;
        # else it would append the same once more.
        self._caught_up = False

    def _due_snapshot(self, now: float) -> list[RolloutSnapshot]:
        """Return the snapshot that is due, so that it outlives the log's retention.

        Where no host has the whole state, as after a long stop of all of them,
        what is left counts as the whole after a while.
        """
        rollouts, me = self._versions.rollouts, self._peers.me
        if rollouts.snapshot_offset != self._snapshot_seen:
            self._snapshot_seen = rollouts.snapshot_offset
            self._snapshot_due_at = now + SNAPSHOT_PERIOD_S
        if rollouts.is_complete:
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        since = now if self._incomplete_since is None else self._incomplete_since
        is_lost = now - since >= INCOMPLETE_S
        is_due = rollouts.is_complete and bool(rollouts.states) and now >= self._snapshot_due_at
        names = [peer.name for peer in self._peers.live()]
        if not (is_lost or is_due) or rank_hosts("rollouts/snapshot", names)[0] != me.name:
            return []
        return [rollouts.snapshot(f"snapshot/{me.name}/{me.incarnation}/{rollouts.read_to}")]

    async def rate_answers(self) -> None:
        """Hand in the queued answers, and collect the ratings that are ready."""
        if self._ratings is None:
            return
        batch = self._versions.dequeue_samples(SUBMITTED_AT_ONCE)
        await asyncio.gather(*(self._submit(answer) for answer in batch))
        asked = list(itertools.islice(self._awaited, ASKED_AT_ONCE))
        if asked:
            await self._collect(asked)

    async def _submit(self, answer: SampledAnswer) -> None:
        assert self._ratings is not None
        if await self._in_thread(self._ratings.submit, answer.request_id, answer.text):
            self._awaited[answer.request_id] = answer
            while len(self._awaited) > AWAITED_RATINGS:
                self._awaited.popitem(last=False)
        else:
            self._metrics.count_event("rating_not_taken")

    async def _collect(self, asked: list[str]) -> None:
        assert self._ratings is not None
        match await self._in_thread(self._ratings.collect, asked):
            case RatingsUnavailable():
                self._metrics.count_event("ratings_unavailable")
            case rated:
                for rating in rated:
                    answer = self._awaited.pop(rating.request_id, None)
                    if answer is not None:
                        key = answer.key.as_second_step if answer.is_second else answer.key
                        self._versions.record_rating(key, rating.quality, answer.score)
                # Those still awaited go to the end, so that lost ones don't block the rest.
                for request_id in asked:
                    if request_id in self._awaited:
                        self._awaited.move_to_end(request_id)
