"""Exchange of the endpoints that hosts don't reach, and of the hosts that share warm-up rates."""

from poplarrun.peers import Digest, EndpointReach, PeerTable, Scope, UnreachedEndpoints
from poplarrun.placement import EndpointOutcomes, Placement, Reachability, ZoneHosts


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
        self._last_unreached: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())

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
        """Apply the outcomes and the unreached endpoints of a digest."""
        is_own_zone = digest.zone == self._peer_table.zone
        match digest.scope:
            case Scope.HOST if is_own_zone:
                outcomes = [
                    EndpointOutcomes(each.instance_id, each.unreached, each.reached)
                    for each in digest.reach
                ]
                self._reachability.apply_report(digest.address, outcomes, now)
            case Scope.ZONE if not is_own_zone:
                self._apply_verdicts(digest, {digest.zone}, now)
            case Scope.FLEET if is_own_zone:
                self._apply_verdicts(digest, self._zones(), now)

    def _apply_verdicts(self, digest: Digest, zones: set[str], now: float) -> None:
        unreached = {each.zone: each.instance_ids for each in digest.unreached}
        for zone in zones:
            self._reachability.apply_verdict(zone, digest.address, unreached.get(zone, ()), now)

    def _zones(self) -> set[str]:
        return {endpoint.record.zone for endpoint in self._placement.endpoints()}

    def update_placement(self, now: float) -> bool:
        """Tell the choice of endpoints which ones are not reached; return True on a change.

        Endpoints count by what their own zone says of them, and by what this zone says.
        """
        own_zone = self._peer_table.zone
        own_failures = frozenset(
            outcome.instance_id
            for outcome in self._reachability.own_outcomes(now)
            if outcome.unreached > outcome.reached
        )
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
        has_changed = (unreached, own_failures) != self._last_unreached
        self._last_unreached = unreached, own_failures
        return has_changed

    def update_hosts(self, now: float) -> None:
        """Tell the choice of endpoints which hosts share the rates of endpoints that warm up."""
        alive = {peer.address for peer in self._peer_table.alive_peers(now)}
        alive.add(self._peer_table.address)
        hosts = {
            zone: ZoneHosts(tuple(sorted(known)), frozenset(alive.intersection(known)))
            for zone, known in self._peer_table.known_hosts().items()
        }
        self._placement.warm_up_shares.update_hosts(self._peer_table.address, hosts)
