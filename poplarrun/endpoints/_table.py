"""Table of all known endpoints, with their failures, loads and pools."""

import random
from collections.abc import Container, Mapping, Sequence

from poplarrun.clients import CacheEvent, HostKind, HostState, ListedHost, LoadReport
from poplarrun.contracts import VersionId
from poplarrun.endpoints._choice import EMPTY_PROMPT, Choice, EndpointSelector, PromptProfile
from poplarrun.endpoints._endpoint import Endpoint
from poplarrun.endpoints._pool import Pool
from poplarrun.endpoints._prefix import NO_MATCH, PrefixIndex

# Pause of a failed endpoint, doubled with each further failure.
INITIAL_FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 30.0
# An endpoint that refuses because it is full is paused for a moment, doubled with each further
# refusal. After the pause it is deprioritized for longer and selected only if the others are full:
# a few endpoints that refuse for long would otherwise use up the attempts and retry budgets of
# requests that the others could serve. The pause itself is short, so that a pool that has room
# again isn't left idle.
INITIAL_BUSY_PAUSE_S = 0.25
MAX_BUSY_PAUSE_S = 2.0
DEPRIORITIZED_FACTOR = 10.0
MAX_DOUBLINGS = 10
BUSY_REASONS = frozenset({"status_429", "status_503"})
UNREACHABLE_REASONS = frozenset({"connect"})
JITTER_FRACTION = 0.2
LINK_SMOOTHING_FACTOR = 0.2


class EndpointTable:
    """All endpoints known to a host.

    Parameters
    ----------
    zone : str
        The host's own availability zone, whose endpoints are preferred.
    rng : random.Random
        Random source for sampling and jitter.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._endpoints: dict[str, Endpoint] = {}
        self._pools: dict[VersionId | str, Pool] = {}
        self._has_host_list = False
        self._pools_stale = False
        self._retired: Mapping[str, frozenset[VersionId]] = {}
        self._owned_names: frozenset[str] = frozenset()
        self.prefixes = PrefixIndex()
        self.selector = EndpointSelector(rng, self.prefixes, zone)

    def list_endpoints(self) -> list[Endpoint]:
        """Return all endpoints."""
        return list(self._endpoints.values())

    def find(self, name: str) -> Endpoint | None:
        """Return an endpoint by name, or None."""
        return self._endpoints.get(name)

    def pool(self, work: VersionId | str) -> Pool:
        """Return the pool of a version, or of a plain service by its name."""
        pool = self._pools.get(work)
        if pool is None:
            pool = self._pools[work] = Pool(self._zone)
        return pool

    def apply_host_list(self, hosts: tuple[ListedHost, ...], now: float = 0.0) -> None:
        """Replace the known endpoints by those of a host list; unchanged ones keep their state."""
        before = self._endpoints
        self._endpoints = {}
        for host in hosts:
            if host.kind is HostKind.ENTRY:
                continue
            endpoint = before.get(host.name)
            if endpoint is None or endpoint.address != host.address:
                endpoint = Endpoint(host.name, host.kind, host.zone, host.address, host.service)
                # The endpoints of the first host list were running before this host started.
                if self._has_host_list:
                    endpoint.listed_since = now
            endpoint.is_leaving = host.state is HostState.LEAVING
            self._endpoints[host.name] = endpoint
        for name in before.keys() - self._endpoints.keys():
            self.prefixes.forget(name)
        self._has_host_list = True
        self._pools_stale = True

    def apply_report(self, name: str, report: LoadReport, now: float) -> None:
        """Apply an engine's load report."""
        versions = frozenset(VersionId.parse(version) for version in report.versions)
        self.apply_load(
            name, versions, report.running + report.waiting, report.capacity, now - report.age_s
        )

    def apply_load(
        self,
        name: str,
        versions: frozenset[VersionId],
        requests: float,
        capacity: int,
        measured_at: float,
    ) -> None:
        """Apply an endpoint's load that was measured at a time."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        if endpoint.is_unreachable and measured_at > endpoint.last_failed_at:
            self.record_success(name)
        if versions != endpoint.versions:
            endpoint.versions = versions
            self._pools_stale = True
        models = [self.pool(work).background_load for work in versions]
        endpoint.apply_report(requests, capacity, measured_at, models)

    def set_owned_endpoints(self, names: frozenset[str]) -> None:
        """Set which endpoints are assigned to this host."""
        if names != self._owned_names:
            self._owned_names = names
            self._pools_stale = True

    def set_retired_versions(self, versions: Mapping[str, frozenset[VersionId]]) -> None:
        """Set the versions that get no new requests at some engines, by engine name.

        This takes effect from the next choice on.
        """
        if versions != self._retired:
            self._retired = versions
            self._pools_stale = True

    def observe_link_latency(self, zone: str, seconds: float) -> None:
        """Record the latency of a short call to an endpoint of a zone."""
        before = self.selector.link_latency_s.get(zone, seconds)
        self.selector.link_latency_s[zone] = before + LINK_SMOOTHING_FACTOR * (seconds - before)

    def apply_cache_events(self, name: str, events: Sequence[CacheEvent], now: float) -> None:
        """Apply an engine's prefix cache events."""
        if name in self._endpoints:
            self.prefixes.apply_events(name, events, now)

    def record_failure(self, name: str, now: float, reason: str = "") -> None:
        """Pause an endpoint after a failed call."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        is_paused = now < endpoint.paused_until
        if reason in BUSY_REASONS:
            endpoint.consecutive_refusals += not is_paused
            pause_s = _compute_backoff(
                INITIAL_BUSY_PAUSE_S, endpoint.consecutive_refusals, MAX_BUSY_PAUSE_S
            )
            endpoint.deprioritized_until = now + pause_s * DEPRIORITIZED_FACTOR
        else:
            endpoint.consecutive_refusals = 0
            endpoint.consecutive_failures += not is_paused
            pause_s = _compute_backoff(
                INITIAL_FAILURE_PAUSE_S, endpoint.consecutive_failures, MAX_FAILURE_PAUSE_S
            )
        endpoint.is_unreachable = reason in UNREACHABLE_REASONS
        endpoint.last_failed_at = now
        # Jitter keeps hosts that saw the same failure from retrying at the same time.
        jitter = 1.0 + JITTER_FRACTION * self._rng.random()
        endpoint.paused_until = max(endpoint.paused_until, now + pause_s * jitter)
        self._invalidate_pools(endpoint)

    def record_success(self, name: str) -> None:
        """End an endpoint's pause after a successful call."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None and (
            endpoint.consecutive_failures or endpoint.consecutive_refusals
        ):
            endpoint.consecutive_failures = endpoint.consecutive_refusals = 0
            endpoint.deprioritized_until = float("-inf")
            endpoint.is_unreachable = False
            endpoint.paused_until = float("-inf")
            self._invalidate_pools(endpoint)

    def record_sent(
        self,
        name: str,
        now: float,
        version: VersionId | None = None,
        blocks: Sequence[int] = (),
    ) -> None:
        """Record a call that was sent."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.record_sent(now)
        if version is not None and blocks:
            self.prefixes.record_sent(name, version, blocks, now)

    def record_finished(self, name: str, now: float) -> None:
        """Record the end of a call."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.record_finished(now)

    def choose_engine(
        self,
        version: VersionId,
        now: float,
        avoid: Container[str] = (),
        prompt: PromptProfile = EMPTY_PROMPT,
        may_wait: bool = False,
    ) -> Choice | None:
        """Choose a model engine that has a version loaded."""
        pool = self._current_pool(version)
        if pool is None:
            return None
        if avoid:
            avoid = pool.add_refusing(avoid)
        return self.selector.choose(
            pool, version, prompt, now, avoid, self._endpoints.get, may_wait
        )

    def evaluate_engine(
        self,
        version: VersionId,
        endpoint: Endpoint,
        now: float,
        prompt: PromptProfile = EMPTY_PROMPT,
    ) -> Choice | None:
        """Return the estimates for one endpoint, or None if it may not get new requests."""
        pool = self._current_pool(version)
        if pool is None or not pool.is_eligible(endpoint):
            return None
        return self.selector.evaluate(endpoint, pool, prompt, NO_MATCH, None, now)

    def choose_service(
        self, service: str, now: float, avoid: Container[str] = ()
    ) -> Endpoint | None:
        """Choose an endpoint of a plain service."""
        pool = self._current_pool(service)
        choice = self.selector.choose(pool, None, EMPTY_PROMPT, now, avoid) if pool else None
        return choice.endpoint if choice else None

    def _current_pool(self, work: VersionId | str) -> Pool | None:
        if self._pools_stale:
            self._rebuild_pools()
            self._pools_stale = False
        return self._pools.get(work)

    def _rebuild_pools(self) -> None:
        for pool in self._pools.values():
            pool.members = []
            pool.owned_names = self._owned_names
            pool.invalidate()
        for endpoint in self._endpoints.values():
            if not endpoint.is_leaving:
                retired = self._retired.get(endpoint.name, frozenset())
                for work in _list_work(endpoint):
                    if work not in retired:
                        self.pool(work).members.append(endpoint)

    def _invalidate_pools(self, endpoint: Endpoint) -> None:
        for work in _list_work(endpoint):
            self.pool(work).invalidate()


def _compute_backoff(initial_s: float, count: int, max_s: float) -> float:
    """Return a pause that doubles with each repetition, up to a maximum."""
    return min(max_s, initial_s * 2.0 ** min(max(0, count - 1), MAX_DOUBLINGS))


def _list_work(endpoint: Endpoint) -> list[VersionId | str]:
    if endpoint.service is not None:
        return [endpoint.service]
    return list(endpoint.versions)
