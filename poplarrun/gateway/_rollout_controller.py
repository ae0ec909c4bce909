"""Judges roll-outs and records their phases in the store by conditional appends."""

import asyncio
from collections.abc import Callable

from poplarrun.gateway._status_follower import StatusFollower
from poplarrun.logging import events, write_event
from poplarrun.platform import (
    ROLLOUT_PREFIX,
    STATUS_TOPIC,
    Appended,
    Moved,
    StoreClient,
    encode_status,
)
from poplarrun.rollouts import Rollout, Rollouts, RolloutVerdict
from poplarrun.routing import RolloutPhase, RolloutStatus
from poplarrun.transport import seconds_since_boot

# Interval between two evaluations of the roll-outs in progress.
EVALUATION_INTERVAL_S = 0.25
# Intervals between two reads of the recorded phases while a roll-out is in progress, since another
# host may have recorded its end: for the host of rank 0, and for the next ones, which also learn
# the phases from its digests.
READ_INTERVAL_S = 1.5
LATER_READ_INTERVAL_S = 6.0
# Hosts of a higher rank don't read; they learn the phases from digests.
MAX_READERS = 3
# A host records a phase itself after this time for each host that precedes it, which may be dead
# or cut off.
TAKEOVER_DELAY_S = 1.2

PHASE_BY_VERDICT = {
    RolloutVerdict.ACTIVE: RolloutPhase.ACTIVE,
    RolloutVerdict.COMPLETED: RolloutPhase.COMPLETED,
    RolloutVerdict.ROLLED_BACK: RolloutPhase.ROLLED_BACK,
}


class RolloutController:
    """Judges and records the roll-outs; there is one on every host.

    The host of rank 0 records, but two hosts may do so at once. Each append is conditional on the
    end offset that its writer has read. The later of two writers is therefore rejected, reads
    the other's record, and never overwrites a final phase.

    Parameters
    ----------
    job_rank : callable
        Returns how many hosts precede this one for a service.
    record_open_evidence : callable
        Counts open answers that already take much too long as evidence.
    """

    def __init__(
        self,
        store: StoreClient,
        rollouts: Rollouts,
        job_rank: Callable[[str], int],
        record_open_evidence: Callable[[float], None],
    ) -> None:
        self._store = store
        self._rollouts = rollouts
        self._job_rank = job_rank
        self._record_open_evidence = record_open_evidence
        self._follower = StatusFollower(store, rollouts)
        self._wanted_since: dict[tuple[int, RolloutVerdict], float] = {}
        self._read_at = float("-inf")
        self._reported_bad: set[str] = set()

    async def run(self) -> None:
        """Judge and record the roll-outs forever."""
        while True:
            judged = self._rollouts.judged(seconds_since_boot())
            if judged:
                self._record_open_evidence(seconds_since_boot())
            for rollout in judged:
                await self._evaluate(rollout)
            self._report_bad_completions()
            await asyncio.sleep(EVALUATION_INTERVAL_S)

    def _report_bad_completions(self) -> None:
        """Tell operators, once each, of versions that turn out to be bad after the completion."""
        for rollout in self._rollouts.completed_bad(seconds_since_boot()):
            order = rollout.order
            if order.target in self._reported_bad:
                continue
            self._reported_bad.add(order.target)
            tally = self._rollouts.statistics.merge_version_tallies(order.service, order.target)
            load = self._rollouts.statistics.highest_load(order.service, order.target)
            write_event(
                events.CompletedVersionBad(
                    order.service, order.target, tally.answers, tally.bad, tally.slow, load
                )
            )

    async def _evaluate(self, rollout: Rollout) -> None:
        now = seconds_since_boot()
        job_rank = self._job_rank(rollout.order.service)
        interval_s = READ_INTERVAL_S if job_rank == 0 else LATER_READ_INTERVAL_S
        is_read_due = job_rank < MAX_READERS and now - self._read_at > interval_s
        if rollout.is_in_progress and is_read_due:
            self._read_at = now
            if not await self._follower.read():
                return
            if rollout not in self._rollouts.active():
                return
        was_shifted = rollout.shift_decided_at is not None
        was_proven = rollout.proven_at is not None
        verdict = self._rollouts.compute_verdict(rollout, now)
        if rollout.shift_decided_at is not None and not was_shifted:
            order = rollout.order
            age_s = now - rollout.started_at
            write_event(events.RolloutShifted(order.service, order.target, "own", age_s))
        if rollout.proven_at is not None and not was_proven:
            order = rollout.order
            age_s = now - rollout.started_at
            write_event(events.VersionProven(order.service, order.target, "own", age_s))
        if verdict is RolloutVerdict.NOTHING:
            return
        wanted_since = self._wanted_since.setdefault((rollout.order.offset, verdict), now)
        if now - wanted_since < TAKEOVER_DELAY_S * job_rank:
            return
        await self._record(rollout, verdict)

    async def _record(self, rollout: Rollout, verdict: RolloutVerdict) -> None:
        phase, order = rollout.recorded_phase, rollout.order
        if not await self._follower.read():
            return
        is_latest = self._rollouts.find(order.service) is rollout
        if not is_latest or (rollout.recorded_phase is not phase and not rollout.is_in_progress):
            return
        status = RolloutStatus(order.service, order.target, PHASE_BY_VERDICT[verdict])
        key = ROLLOUT_PREFIX + order.service
        value = encode_status(status)
        answer = await self._store.append(STATUS_TOPIC, [(key, value)], self._follower.offset)
        match answer:
            case Appended():
                self._rollouts.apply_status(status)
            case Moved():
                self._read_at = float("-inf")
        tally = self._rollouts.statistics.merge_version_tallies(order.service, order.target)
        write_event(
            events.RolloutJudged(
                order.service,
                order.target,
                status.phase.value,
                tally.answers,
                tally.bad,
                tally.slow,
                self._rollouts.statistics.highest_load(order.service, order.target),
                type(answer).__name__,
            )
        )
