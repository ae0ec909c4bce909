"""Exchange of what limits the hosts together: the rate limits of endpoints, and who shares them."""

import math

import msgspec

from poplarrun.logging import events, write_event
from poplarrun.peers import BrittleService, Digest, EndpointRateLimit, PeerTable
from poplarrun.placement import EndpointState, Placement
from poplarrun.shares import HostSighting

# Rate limits in one digest; further ones follow in the next digests.
MAX_LIMITS_PER_DIGEST = 40
# For this long digests tell that an endpoint names no limit any more, in seconds.
LIFTED_LIMIT_TTL_S = 30.0


class SharedLimitsExchange:
    """Fills digests with the rate limits that endpoints name, and applies those of other hosts.

    A host may get no answer of an endpoint that named its limit to others. All hosts must keep to
    it, and those that have no share of it must send nothing.
    """

    def __init__(self, peer_table: PeerTable, placement: Placement) -> None:
        self._peer_table = peer_table
        self._placement = placement
        self._next_index = 0
        self._told_limits: frozenset[str] = frozenset()
        self._told_brittle: frozenset[str] = frozenset()

    def rate_limits(self, now: float) -> list[EndpointRateLimit]:
        """Return the rate limits that a digest carries."""
        known = [
            endpoint
            for endpoint in self._placement.endpoints()
            if endpoint.rate_limit_per_s is not None
            or (endpoint.has_named_limit and now - endpoint.rate_limit_at < LIFTED_LIMIT_TTL_S)
        ]
        if len(known) > MAX_LIMITS_PER_DIGEST:
            start = self._next_index % len(known)
            self._next_index = start + MAX_LIMITS_PER_DIGEST
            known = [*known[start:], *known[:start]][:MAX_LIMITS_PER_DIGEST]
        return [_describe(endpoint, now) for endpoint in known]

    def brittle_services(self, now: float) -> list[BrittleService]:
        """Return the brittle services that a digest carries."""
        return [
            BrittleService(service, each.tolerated, now - each.as_of)
            for service, each in sorted(self._placement.brittle.current(now).items())
        ]

    def add_news(self, digest: Digest, now: float) -> Digest:
        """Return a digest with the limits and brittle services known since the last call."""
        brittle = self.brittle_services(now)
        services = frozenset(each.service for each in brittle)
        if not services <= self._told_brittle:
            digest = msgspec.structs.replace(digest, brittle=brittle)
        self._told_brittle = services
        named = {
            endpoint.record.instance_id: endpoint
            for endpoint in self._placement.endpoints()
            if endpoint.rate_limit_per_s is not None
        }
        news = [each for name, each in named.items() if name not in self._told_limits]
        self._told_limits = frozenset(named)
        if news:
            limits = [_describe(each, now) for each in news[:MAX_LIMITS_PER_DIGEST]]
            digest = msgspec.structs.replace(digest, rate_limits=limits)
        return digest

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply the rate limits and brittle services that another host knows."""
        self._apply_brittle(digest, now)
        sent_at = self._peer_table.proven_at(digest, 0.0)
        for limit in digest.rate_limits:
            endpoint = self._placement.find(limit.instance_id)
            if endpoint is None or endpoint.record.started_ms != limit.started_ms:
                continue
            as_of = _bound_time(limit, sent_at, now)
            if as_of is not None and endpoint.apply_rate_limit(limit.rate_per_s, as_of):
                write_event(
                    events.EndpointRateLimited(limit.instance_id, limit.rate_per_s, digest.address)
                )

    def _apply_brittle(self, digest: Digest, now: float) -> None:
        for each in digest.brittle:
            if not math.isfinite(each.age_s) or each.age_s < 0.0 or each.tolerated < 0:
                continue
            if self._placement.brittle.record(each.service, each.tolerated, now - each.age_s, now):
                write_event(events.ServiceBrittle(each.service, each.tolerated, digest.address))

    def update_hosts(self, now: float) -> None:
        """Tell the shares of common budgets which hosts there are."""
        sightings = [
            HostSighting(peer.address, peer.zone, peer.is_alive(now), peer.last_known_alive_at)
            for peer in self._peer_table.known_peers()
        ]
        self._placement.shares.update_hosts(sightings, now)


def _describe(endpoint: EndpointState, now: float) -> EndpointRateLimit:
    record = endpoint.record
    age_s = max(0.0, now - endpoint.rate_limit_at)
    return EndpointRateLimit(
        record.instance_id, record.started_ms, endpoint.rate_limit_per_s, age_s
    )


def _bound_time(limit: EndpointRateLimit, sent_at: float | None, now: float) -> float | None:
    """Return as of when a limit counts here: a named one late, a lifted one early.

    A digest may have been under way, or unread, for an unknown time. A lifted limit must not
    replace one that was named meanwhile; the reverse is corrected by the endpoint's next answer.
    """
    if not math.isfinite(limit.age_s) or limit.age_s < 0.0:
        return None
    if limit.rate_per_s is not None:
        is_valid = math.isfinite(limit.rate_per_s) and limit.rate_per_s >= 0.0
        return now - limit.age_s if is_valid else None
    return None if sent_at is None else sent_at - limit.age_s
