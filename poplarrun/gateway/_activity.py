"""What a host tells others of its load and of roll-outs, and what it makes of their word."""

from dataclasses import dataclass

from poplarrun.logging import events, write_event
from poplarrun.peers import (
    ActivityTotals,
    Digest,
    EndpointLoad,
    ReceivedTotals,
    RolloutProgress,
    Scope,
    TotalsTable,
    VersionTally,
    decode_totals,
)
from poplarrun.placement import Placement
from poplarrun.rollouts import Rollouts, Tally
from poplarrun.routing import RolloutOrder, RolloutPhase, RolloutStatus

# Under this name the sum of all other hosts stands among the tallies and loads.
OTHERS = "others"
MILLISECONDS_PER_S = 1000.0
# Least pause between two sums over all that other hosts told, in seconds.
SUM_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class RolloutState:
    """How far a roll-out is, as far as other hosts must know at once.

    Attributes
    ----------
    offset : int
        Place of its order in the store's log.
    """

    offset: int
    phase: RolloutPhase | None
    is_shifted: bool


class Sharing:
    """Loads, tallies and roll-outs, between this host's parts and the digests.

    Parameters
    ----------
    zone : str
        The host's own availability zone.
    """

    def __init__(self, zone: str, placement: Placement, rollouts: Rollouts) -> None:
        self._zone = zone
        self._placement = placement
        self._rollouts = rollouts
        self._shares = TotalsTable()
        self._is_news = False
        self._summed_at = float("-inf")

    def own(self) -> ActivityTotals:
        """Return what this host runs, and saw of the versions in roll-outs."""
        return ActivityTotals(1, self._loads(), self._tally_news())

    def note_told(self, share: ActivityTotals, stamp: float) -> None:
        """Remember what this host told of itself, to take it out of the sums told back."""
        self._shares.record_own(share, stamp)

    def stamp_of(self, host: str) -> float:
        """Return the stamp of the share of a host that counts in the sums."""
        return self._shares.stamp_of(host)

    def sum_up(self, scope: Scope, own: ActivityTotals, now: float) -> ActivityTotals:
        """Return the sum that a digest of a scope carries."""
        match scope:
            case Scope.ZONE:
                return self._shares.compute_zone_totals(own, now)
            case Scope.FLEET:
                return self._shares.compute_fleet_totals(own, now)
            case _:
                return own

    def take(self, digest: Digest, now: float) -> None:
        """Take in what a digest tells."""
        self._take_rollouts(digest, now)
        if digest.scope is Scope.NONE:
            return
        share = decode_totals(digest.totals)
        if share is None:
            write_event(events.MessageUnreadable(len(digest.totals)))
            return
        told = ReceivedTotals(share, now, digest.stamp)
        is_near = digest.zone == self._zone
        match digest.scope:
            case Scope.HOST if is_near:
                self._shares.apply_host_totals(digest.address, told)
            case Scope.ZONE if not is_near:
                self._shares.apply_zone_totals(digest.zone, digest.address, told)
            case Scope.FLEET if is_near:
                self._shares.apply_fleet_totals(digest.address, told, digest.included_stamp)
        self._is_news = True
        if now - self._summed_at >= SUM_PAUSE_S:
            self.apply(now)

    def apply(self, now: float) -> None:
        """Bring the sum of all others to the choice of endpoints and to the roll-outs."""
        if not self._is_news:
            return
        self._is_news = False
        self._summed_at = now
        others = self._shares.estimate_others(now)
        loads = {
            load.lifetime: (load.in_flight, load.pending_ms / MILLISECONDS_PER_S)
            for load in others.loads
        }
        self._placement.apply_peer_load(OTHERS, loads)
        tallies = {
            (news.service, news.version, news.kind): Tally(
                news.ended,
                news.failures,
                news.slow,
                news.paced,
                news.log_pace,
                set(news.broken),
            )
            for news in others.tallies
        }
        self._rollouts.statistics.apply_host_tallies(OTHERS, tallies)

    def rollout_states(self) -> list[RolloutState]:
        """Return how far the roll-outs under way are."""
        return [
            RolloutState(
                rollout.order.offset, rollout.recorded_phase, rollout.shift_decided_at is not None
            )
            for rollout in self._rollouts.active()
        ]

    def rollout_news(self, now: float) -> list[RolloutProgress]:
        """Return what this host knows of the roll-outs under way."""
        return [
            RolloutProgress(
                rollout.order.service,
                rollout.order.target,
                rollout.order.duration_s,
                rollout.order.offset,
                now - rollout.started_at,
                rollout.recorded_phase,
                None if rollout.shift_decided_at is None else now - rollout.shift_decided_at,
            )
            for rollout in self._rollouts.recent(now)
        ]

    def _loads(self) -> list[EndpointLoad]:
        return [
            EndpointLoad(
                member.record.instance_id,
                member.in_flight,
                int(member.pending_prefill_s * MILLISECONDS_PER_S),
            )
            for member in self._placement.endpoints()
            if member.in_flight
        ]

    def _tally_news(self) -> list[VersionTally]:
        active = {rollout.order.service for rollout in self._rollouts.active()}
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
            if key[0] in active
        ]

    def _take_rollouts(self, digest: Digest, now: float) -> None:
        for news in digest.rollouts:
            order = RolloutOrder(news.service, news.target, news.duration_s, news.offset)
            if self._rollouts.apply_order(order, now, news.age_s):
                write_event(
                    events.RolloutOrdered(
                        order.service, order.target, order.duration_s, digest.address, news.age_s
                    )
                )
            rollout = self._rollouts.find(news.service)
            if rollout is None or rollout.order.offset != news.offset:
                continue
            shifted_age_s = news.shifted_age_s
            if shifted_age_s is not None and rollout.record_shift(now - shifted_age_s):
                write_event(
                    events.RolloutShifted(
                        order.service, order.target, digest.address, now - rollout.started_at
                    )
                )
            if news.phase is not None:
                status = RolloutStatus(news.service, news.target, news.phase)
                self._rollouts.apply_status(status)
