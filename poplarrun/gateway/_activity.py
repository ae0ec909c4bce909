"""Exchange of load totals and roll-out progress between this host's components and digests."""

import zlib
from dataclasses import dataclass

from poplarrun.logging import events, write_event
from poplarrun.peers import (
    MAX_TOLD_ENDPOINTS,
    ActivityTotals,
    Digest,
    EndpointLoad,
    EndpointTally,
    ReceivedTotals,
    RolloutProgress,
    Scope,
    TotalsTable,
    VersionTally,
    decode_totals,
)
from poplarrun.placement import Placement
from poplarrun.rollouts import EndpointCounts, Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus

# Name of the entry for the totals of all other hosts among loads and tallies.
OTHERS = "others"
MILLISECONDS_PER_S = 1000.0
# Shortest interval between two summations of the totals of other hosts.
MIN_SUM_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class RolloutState:
    """Progress of a roll-out of which other hosts must learn at once.

    Attributes
    ----------
    offset : int
        Offset of the order in the store's log.
    """

    offset: int
    phase: RolloutPhase | None
    is_shift_decided: bool
    is_proven: bool


class ActivityExchange:
    """Fills digests with loads, tallies and roll-out progress, and applies those received.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    """

    def __init__(self, zone: str, placement: Placement, rollouts: Rollouts) -> None:
        self._zone = zone
        self._placement = placement
        self._rollouts = rollouts
        self._totals_table = TotalsTable()
        self._has_new_totals = False
        self._last_sum_at = float("-inf")

    def own_totals(self, now: float) -> ActivityTotals:
        """Return the totals of this host alone."""
        return ActivityTotals(
            1, self._loads(), self._tallies(now), endpoints=self._endpoint_tallies(now)
        )

    def record_sent(self, totals: ActivityTotals, stamp: float) -> None:
        """Remember the own totals that were sent, to subtract them from received totals."""
        self._totals_table.record_own(totals, stamp)

    def stamp_of(self, host: str) -> float:
        """Return the stamp of the totals of a host that are included in sums."""
        return self._totals_table.stamp_of(host)

    def totals_for_scope(self, scope: Scope, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the totals that a digest of a scope carries."""
        match scope:
            case Scope.ZONE:
                return self._totals_table.compute_zone_totals(own, now)
            case Scope.FLEET:
                return self._totals_table.compute_fleet_totals(own, now)
            case _:
                return own

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply the roll-out progress and the totals of a digest."""
        self._apply_rollouts(digest, now)
        if digest.scope is Scope.NONE:
            return
        totals = decode_totals(digest.totals)
        if totals is None:
            write_event(events.MessageUnreadable(len(digest.totals)))
            return
        received = ReceivedTotals(totals, now, digest.stamp)
        is_own_zone = digest.zone == self._zone
        match digest.scope:
            case Scope.HOST if is_own_zone:
                self._totals_table.apply_host_totals(digest.address, received)
            case Scope.ZONE if not is_own_zone:
                self._totals_table.apply_zone_totals(digest.zone, digest.address, received)
            case Scope.FLEET if is_own_zone:
                self._totals_table.apply_fleet_totals(
                    digest.address, received, digest.included_stamp
                )
        self._has_new_totals = True
        if now - self._last_sum_at >= MIN_SUM_INTERVAL_S:
            self.apply_totals(now)

    def apply_totals(self, now: float) -> None:
        """Pass the totals of all other hosts to the choice of endpoints and to the roll-outs."""
        if not self._has_new_totals:
            return
        self._has_new_totals = False
        self._last_sum_at = now
        others = self._totals_table.estimate_others(now)
        loads = {
            load.instance_id: (load.in_flight, load.pending_prefill_ms / MILLISECONDS_PER_S)
            for load in others.loads
        }
        unlisted = others.unlisted
        self._placement.apply_peer_load(
            OTHERS, loads, (unlisted.in_flight, unlisted.pending_prefill_ms / MILLISECONDS_PER_S)
        )
        tallies = {
            (tally.service, tally.version, tally.kind): Tally(
                tally.answers,
                tally.failures,
                tally.slow,
                tally.paced_answers,
                tally.log_pace_sum,
                set(tally.interrupting_endpoints),
            )
            for tally in others.tallies
        }
        endpoints = {
            each.instance_id: EndpointCounts(each.answers, each.failures)
            for each in others.endpoints
        }
        self._rollouts.statistics.apply_host_tallies(OTHERS, tallies, endpoints)

    def rollout_states(self, now: float) -> list[RolloutState]:
        """Return the state of the roll-outs whose versions are judged."""
        return [
            RolloutState(
                rollout.order.offset,
                rollout.recorded_phase,
                rollout.shift_decided_at is not None,
                rollout.proven_at is not None,
            )
            for rollout in self._rollouts.judged(now)
        ]

    def rollout_progress(self, now: float) -> list[RolloutProgress]:
        """Return what this host knows of the progress of recent roll-outs."""
        return [
            RolloutProgress(
                rollout.order.service,
                rollout.order.target,
                rollout.order.duration_s,
                rollout.order.offset,
                now - rollout.started_at,
                rollout.recorded_phase,
                _age_s(rollout.shift_decided_at, now),
                _age_s(rollout.proven_at, now),
            )
            for rollout in self._rollouts.recent(now)
        ]

    def _loads(self) -> list[EndpointLoad]:
        return [
            EndpointLoad(
                endpoint.record.instance_id,
                endpoint.in_flight,
                int(endpoint.pending_prefill_s * MILLISECONDS_PER_S),
            )
            for endpoint in self._placement.endpoints()
            if endpoint.in_flight
        ]

    def _tallies(self, now: float) -> list[VersionTally]:
        judged = {rollout.order.service for rollout in self._rollouts.judged(now)}
        return [
            VersionTally(
                *key,
                tally.answers,
                tally.failures,
                tally.slow,
                tally.paced_answers,
                round(tally.log_pace_sum, 2),
                sorted(tally.interrupting_endpoints),
            )
            for key, tally in self._rollouts.statistics.local.items()
            if key[0] in judged
        ]

    def _endpoint_tallies(self, now: float) -> list[EndpointTally]:
        """Return the counts of some endpoints of completed versions, the same ones at all hosts."""
        tallies = []
        for rollout in self._rollouts.judged(now):
            if rollout.is_in_progress:
                continue
            key = (rollout.order.service, rollout.order.target)
            counts = self._rollouts.statistics.local_endpoints.get(key, {})
            for endpoint in sorted(counts, key=_sampling_rank)[:MAX_TOLD_ENDPOINTS]:
                each = counts[endpoint]
                tallies.append(EndpointTally(endpoint, each.answers, each.failures))
        return tallies

    def _apply_rollouts(self, digest: Digest, now: float) -> None:
        for progress in digest.rollouts:
            order = RolloutOrder(
                progress.service, progress.target, progress.duration_s, progress.offset
            )
            if self._rollouts.apply_order(order, now, progress.age_s):
                write_event(
                    events.RolloutOrdered(
                        order.service,
                        order.target,
                        order.duration_s,
                        digest.address,
                        progress.age_s,
                    )
                )
            rollout = self._rollouts.find(progress.service)
            if rollout is None or rollout.order.offset != progress.offset:
                continue
            shift_decided_age_s = progress.shift_decided_age_s
            if shift_decided_age_s is not None and rollout.record_shift(now - shift_decided_age_s):
                write_event(
                    events.RolloutShifted(
                        order.service, order.target, digest.address, now - rollout.started_at
                    )
                )
            if progress.proven_age_s is not None and rollout.record_proof(
                now - progress.proven_age_s
            ):
                write_event(
                    events.VersionProven(
                        order.service, order.target, digest.address, now - rollout.started_at
                    )
                )
            if progress.phase is not None:
                status = RolloutStatus(progress.service, progress.target, progress.phase)
                if self._rollouts.apply_status(status):
                    write_event(
                        events.RolloutPhaseLearnt(
                            order.service,
                            order.target,
                            status.phase.value,
                            digest.address,
                            now - rollout.started_at,
                        )
                    )


def _sampling_rank(endpoint: str) -> int:
    return zlib.crc32(endpoint.encode())


def _age_s(at: float | None, now: float) -> float | None:
    return None if at is None else now - at
