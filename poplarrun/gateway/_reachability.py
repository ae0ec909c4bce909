"""Exchange of the endpoints that hosts don't reach."""

from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.logging import events, write_event
from poplarrun.peers import (
    Digest,
    EndpointReach,
    PeerState,
    PeerTable,
    ReachabilityNotice,
    Scope,
    UnreachedEndpoints,
)
from poplarrun.placement import EndpointOutcomes, Placement, Reachability

# Shortest interval between two notices of the same kind. The first one of an outage goes at once.
MIN_NOTICE_INTERVAL_S = 0.4
# Unreached endpoints of a service from which on the host itself may be cut off.
MIN_UNREACHED_ENDPOINTS = 2


@dataclass
class _Told:
    """What the hosts of the zone were told, to tell only what is new."""

    instance_ids: frozenset[str] = frozenset()
    at: float = float("-inf")

    def take_news(self, instance_ids: frozenset[str], now: float) -> frozenset[str]:
        """Return which of the unreached endpoints to tell now, and record that they are told."""
        if now - self.at < MIN_NOTICE_INTERVAL_S:
            return frozenset()
        news = instance_ids - self.instance_ids
        self.instance_ids = instance_ids
        if news:
            self.at = now
        return news


def find_unreached_services(
    outcomes: Iterable[EndpointOutcomes], placement: Placement
) -> list[str]:
    """Return the services of which several endpoints were tried lately and none was reached."""
    tried: dict[str, int] = {}
    reached = set()
    for outcome in outcomes:
        endpoint = placement.find(outcome.instance_id)
        if endpoint is None:
            continue
        service = endpoint.record.service
        tried[service] = tried.get(service, 0) + 1
        if outcome.reached:
            reached.add(service)
    return sorted(
        service
        for service, count in tried.items()
        if count >= MIN_UNREACHED_ENDPOINTS and service not in reached
    )


class ReachabilityExchange:
    """Fills digests with unreached endpoints, and applies those of other hosts.

    Hosts report the outcomes of their attempts to the aggregators of their zone. These tell their
    zone which endpoints it doesn't reach, and other zones which of the zone's own endpoints even
    its own hosts don't reach.
    """

    def __init__(
        self, peer_table: PeerTable, placement: Placement, reachability: Reachability
    ) -> None:
        self._peer_table = peer_table
        self._placement = placement
        self._reachability = reachability
        self._told_failures = _Told()
        self._told_verdicts = _Told()
        self._unreached_services: list[str] = []
        self._avoided: frozenset[str] = frozenset()

    def reach(self, now: float) -> list[EndpointReach]:
        """Return the recent outcomes of this host's attempts."""
        return [
            EndpointReach(outcome.instance_id, outcome.unreached, outcome.reached)
            for outcome in self._reachability.own_outcomes(now)
        ]

    def unreached(self, scope: Scope, now: float) -> list[UnreachedEndpoints]:
        """Return the unreached endpoints that a digest of a scope carries."""
        zone = self._peer_table.zone
        match scope:
            case Scope.ZONE:
                found = {zone: self._reachability.zone_verdict(now)}
            case Scope.FLEET:
                others = self._zones() - {zone}
                found = {each: self._reachability.verdict_of(each, now) for each in others}
                found[zone] = self._reachability.zone_verdict(now)
            case _:
                return []
        return [UnreachedEndpoints(each, sorted(ids)) for each, ids in found.items() if ids]

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply the outcomes and all unreached endpoints of a digest."""
        is_own_zone = digest.zone == self._peer_table.zone
        match digest.scope:
            case Scope.HOST if is_own_zone:
                self._apply_report(digest.address, digest.reach, now)
            case Scope.ZONE if not is_own_zone:
                self._apply_verdicts(digest, {digest.zone}, now)
            case Scope.FLEET if is_own_zone:
                self._apply_verdicts(digest, self._zones(), now)

    def apply_notice(self, notice: ReachabilityNotice, now: float) -> None:
        """Apply the outcomes of a notice, or the endpoints that it adds to the unreached ones."""
        if notice.zone != self._peer_table.zone:
            return
        match notice.scope:
            case Scope.HOST:
                self._apply_report(notice.address, notice.reach, now)
            case Scope.FLEET:
                for each in notice.unreached:
                    self._reachability.extend_verdict(
                        each.zone, notice.address, each.instance_ids, now
                    )

    def _apply_report(self, address: str, reach: list[EndpointReach], now: float) -> None:
        outcomes = [
            EndpointOutcomes(each.instance_id, each.unreached, each.reached) for each in reach
        ]
        self._reachability.apply_report(address, outcomes, now)

    def _apply_verdicts(self, digest: Digest, zones: set[str], now: float) -> None:
        unreached = {each.zone: each.instance_ids for each in digest.unreached}
        for zone in zones:
            self._reachability.apply_verdict(zone, digest.address, unreached.get(zone, ()), now)

    def _zones(self) -> set[str]:
        return {endpoint.record.zone for endpoint in self._placement.endpoints()}

    def due_notices(self, now: float) -> list[tuple[PeerState, ReachabilityNotice]]:
        """Return the notices of endpoints that have just turned out not to be reached.

        Digests say later which ones are reached again; that is not urgent.
        """
        return [*self._due_reports(now), *self._due_verdicts(now)]

    def _due_reports(self, now: float) -> list[tuple[PeerState, ReachabilityNotice]]:
        failures = frozenset(
            outcome.instance_id
            for outcome in self._reachability.own_outcomes(now)
            if outcome.unreached > outcome.reached
        )
        if not self._told_failures.take_news(failures, now):
            return []
        notice = self._make_notice(Scope.HOST, self.reach(now), [])
        return [(peer, notice) for peer in self._peer_table.other_aggregators(now)]

    def _due_verdicts(self, now: float) -> list[tuple[PeerState, ReachabilityNotice]]:
        if not self._peer_table.is_aggregator(now):
            return []
        found = self.unreached(Scope.FLEET, now)
        verdicts = frozenset(instance_id for each in found for instance_id in each.instance_ids)
        news = self._told_verdicts.take_news(verdicts, now)
        if not news:
            return []
        unreached = [
            UnreachedEndpoints(each.zone, sorted(news.intersection(each.instance_ids)))
            for each in found
        ]
        notice = self._make_notice(Scope.FLEET, [], unreached)
        return [(peer, notice) for peer in self._peer_table.served_peers(now)]

    def _make_notice(
        self, scope: Scope, reach: list[EndpointReach], unreached: list[UnreachedEndpoints]
    ) -> ReachabilityNotice:
        table = self._peer_table
        return ReachabilityNotice(table.address, table.zone, scope, reach, unreached)

    def update_placement(self, now: float) -> None:
        """Tell the choice of endpoints which ones are not reached.

        Endpoints count by what their own zone says of them, and by what this zone says.
        """
        own_zone = self._peer_table.zone
        verdict = self._reachability.verdict_of(own_zone, now)
        if self._peer_table.is_aggregator(now):
            verdict |= self._reachability.zone_verdict(now)
        others = {
            zone: self._reachability.verdict_of(zone, now) for zone in self._zones() - {own_zone}
        }
        unreached = verdict | {
            endpoint.record.instance_id
            for endpoint in self._placement.endpoints()
            if endpoint.record.instance_id in others.get(endpoint.record.zone, ())
        }
        self._placement.update_unreached(unreached, now)
        self._log_changes(unreached, now)

    def _log_changes(self, unreached: frozenset[str], now: float) -> None:
        """Log when this host begins or ceases to avoid endpoints, or to reach a service."""
        if unreached != self._avoided:
            added = sorted(unreached - self._avoided)
            removed = sorted(self._avoided - unreached)
            write_event(events.EndpointsAvoided(added, removed))
            self._avoided = unreached
        services = find_unreached_services(self._reachability.own_outcomes(now), self._placement)
        if services != self._unreached_services:
            write_event(events.ServicesUnreached(services))
            self._unreached_services = services
