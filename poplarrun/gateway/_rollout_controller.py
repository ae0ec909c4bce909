"""Carries roll-outs out: judges them, and records each phase once, under a condition."""

import asyncio
from collections.abc import Callable

from poplarrun.gateway._followers import StatusFollower
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

# Pause between two looks at the roll-outs that are under way, in seconds.
PERIOD_S = 0.25
# What the hosts recorded is read again after so long while a roll-out is under way,
# in seconds: another host may have recorded its end. The first in line tells the others
# in its digests, so that these read only now and then.
READ_PERIOD_S = 1.5
LATER_READ_PERIOD_S = 6.0
# Hosts that are further behind in line don't read: the ones before tell them.
MOST_READERS = 3
# A host that isn't first in line writes only after so long for each before it, in
# seconds: the first may be cut off or dead.
TURN_S = 1.2

PHASES = {
    RolloutVerdict.ACTIVE: RolloutPhase.ACTIVE,
    RolloutVerdict.COMPLETED: RolloutPhase.COMPLETED,
    RolloutVerdict.ROLLED_BACK: RolloutPhase.ROLLED_BACK,
}


class RolloutController:
    """Judges and records the roll-outs; one on every host.

    Who writes is a matter of turns and may be two hosts at once. Each append names
    the end of the records that its writer has read, so the later of two writers is
    turned away, reads the other's word, and never records over a final phase.

    Parameters
    ----------
    turn : callable
        How many hosts are before this one in line.
    judge_open : callable
        Counts answers under way that take much too long already.
    """

    def __init__(
        self,
        store: StoreClient,
        rollouts: Rollouts,
        turn: Callable[[str], int],
        judge_open: Callable[[float], None],
    ) -> None:
        self._store = store
        self._rollouts = rollouts
        self._turn = turn
        self._judge_open = judge_open
        self._follower = StatusFollower(store, rollouts)
        self._wanted: dict[tuple[str, RolloutVerdict], float] = {}
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Look after the roll-outs for ever."""
        while True:
            if self._rollouts.active():
                self._judge_open(seconds_since_boot())
            for rollout in self._rollouts.active():
                await self._look_after(rollout)
            await asyncio.sleep(PERIOD_S)

    async def _look_after(self, rollout: Rollout) -> None:
        now = seconds_since_boot()
        turn = self._turn(rollout.order.service)
        period_s = READ_PERIOD_S if turn == 0 else LATER_READ_PERIOD_S
        if turn < MOST_READERS and now - self._read_at > period_s:
            self._read_at = now
            if not await self._follower.read():
                return
            if rollout not in self._rollouts.active():
                return
        was_shifted = rollout.shift_decided_at is not None
        verdict = self._rollouts.compute_verdict(rollout, now)
        if rollout.shift_decided_at is not None and not was_shifted:
            order = rollout.order
            age_s = now - rollout.started_at
            write_event(events.RolloutShifted(order.service, order.target, "own", age_s))
        if verdict is RolloutVerdict.NOTHING:
            return
        wanted_since = self._wanted.setdefault((rollout.order.target, verdict), now)
        if now - wanted_since < TURN_S * turn:
            return
        await self._record(rollout, verdict)

    async def _record(self, rollout: Rollout, verdict: RolloutVerdict) -> None:
        if not await self._follower.read() or rollout not in self._rollouts.active():
            return
        order = rollout.order
        status = RolloutStatus(order.service, order.target, PHASES[verdict])
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
                type(answer).__name__,
            )
        )
