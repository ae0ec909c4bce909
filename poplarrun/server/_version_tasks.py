"""The tasks of the versions part: ratings, the exchange of evidence, the steward."""

import asyncio
import itertools
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.config import CONFIG_STREAM, NO_KEYS, OperatorKeys, Withdrawal, sign_system_record
from poplarrun.hosts import Peers
from poplarrun.log import Appended, Gap, Log, ReadFailed, StreamReader
from poplarrun.logs import part_logger
from poplarrun.metrics import Metrics
from poplarrun.platform import Ratings, RatingsUnavailable
from poplarrun.server._messages import RolloutStatus
from poplarrun.versions import ROLLOUTS_STREAM, SampledAnswer, Versions, encode_rollout

# Ratings that never come are given up, the oldest first.
AWAITED_RATINGS = 5000
ASKED_AT_ONCE = 500
# Answers handed in at the same time; the rest wait for the next round.
SUBMITTED_AT_ONCE = 16

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
    """

    def __init__(
        self,
        versions: Versions,
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
        self._caught_up = False
        self._awaited: OrderedDict[str, SampledAnswer] = OrderedDict()
        self._log = part_logger("versions")

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
            case Gap() as gap:
                self._reader.next_offset = gap.horizon
            case entries:
                for entry in entries:
                    self._versions.fold(entry)
                self._caught_up = not entries

    async def exchange_evidence(self) -> None:
        """Share this host's counters and take in the others'."""
        self._versions.exchange(self._peers, self._clock())

    async def run_steward(self) -> None:
        """Append the records that are due; the fold drops what another host did first."""
        if not self._caught_up:
            return
        for record in self._versions.decide(self._peers, self._clock()):
            if isinstance(record, Withdrawal):
                stream, data = CONFIG_STREAM, sign_system_record(record, self._keys)
            else:
                stream, data = ROLLOUTS_STREAM, encode_rollout(record)
            outcome = await self._in_thread(self._platform_log.append, stream, data)
            done = isinstance(outcome, Appended)
            self._metrics.count_event("rollout_record" if done else "rollout_record_failed")
            self._log.info("Roll-out record.", extra={"record": repr(record), "appended": done})
        # What was appended must be read back before the steward looks again;
        # else it would append the same once more.
        self._caught_up = False

    async def rate_answers(self) -> None:
        """Hand in the queued answers, and collect the ratings that are ready."""
        if self._ratings is None:
            return
        batch = self._versions.take_samples(SUBMITTED_AT_ONCE)
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
                        self._versions.note_rating(
                            answer.class_name, answer.version, rating.quality
                        )
                # Those still awaited go to the end, so that lost ones don't block the rest.
                for request_id in asked:
                    if request_id in self._awaited:
                        self._awaited.move_to_end(request_id)
