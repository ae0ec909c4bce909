"""Finds endpoints that nobody in a zone reaches, from the outcomes of all its hosts.

Load: a zone of endpoints that goes dark at once. Each host sends to one endpoint every few seconds
only, so by itself it would learn of each dead endpoint with a request of its own.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

# Outcomes older than this say nothing about whether an endpoint can be reached now.
WINDOW_S = 1.5
# How long a verdict of an aggregator holds; it is renewed with each of its digests.
VERDICT_TTL_S = 2.0
# A single host may be cut off itself.
MIN_FAILING_HOSTS = 2
MAX_OUTCOMES = 512
# Unreached endpoints from which on a host that reaches none may be cut off from them itself.
MIN_CUT_OFF_ENDPOINTS = 3


@dataclass(frozen=True, slots=True)
class EndpointOutcomes:
    """How many recent attempts of one host failed to reach an endpoint, and how many reached it."""

    instance_id: str
    unreached: int
    reached: int


@dataclass(frozen=True, slots=True)
class _Report:
    outcomes: tuple[EndpointOutcomes, ...]
    at: float


@dataclass
class Reachability:
    """The outcomes of this host, those that its zone reported, and the verdicts of aggregators."""

    _own: deque[tuple[float, str, bool]] = field(default_factory=lambda: deque(maxlen=MAX_OUTCOMES))
    _reports: dict[str, _Report] = field(default_factory=dict)
    _verdicts: dict[tuple[str, str], tuple[frozenset[str], float]] = field(default_factory=dict)

    def record_outcome(self, instance_id: str, was_reached: bool, now: float) -> None:
        """Record whether an attempt reached an endpoint."""
        self._own.append((now, instance_id, was_reached))

    def own_outcomes(self, now: float) -> tuple[EndpointOutcomes, ...]:
        """Return the recent outcomes of this host, for the aggregators of its zone."""
        while self._own and now - self._own[0][0] > WINDOW_S:
            self._own.popleft()
        counts: dict[str, list[int]] = {}
        for _, instance_id, was_reached in self._own:
            counts.setdefault(instance_id, [0, 0])[was_reached] += 1
        return tuple(
            EndpointOutcomes(instance_id, unreached, reached)
            for instance_id, (unreached, reached) in sorted(counts.items())
        )

    def apply_report(self, host: str, outcomes: Iterable[EndpointOutcomes], now: float) -> None:
        """Apply the recent outcomes of a host of the own zone."""
        self._reports[host] = _Report(tuple(outcomes), now)
        self._drop_old_reports(now)

    def apply_verdict(
        self, zone: str, aggregator: str, instance_ids: Iterable[str], now: float
    ) -> None:
        """Apply the endpoints that a zone's hosts don't reach, as one of its aggregators says."""
        self._verdicts[(zone, aggregator)] = (frozenset(instance_ids), now)
        for key in [key for key, (_, at) in self._verdicts.items() if now - at > VERDICT_TTL_S]:
            del self._verdicts[key]

    def extend_verdict(
        self, zone: str, aggregator: str, instance_ids: Iterable[str], now: float
    ) -> None:
        """Add endpoints that a zone's hosts don't reach, as one of its aggregators says."""
        known, _ = self._verdicts.get((zone, aggregator), (frozenset(), now))
        self.apply_verdict(zone, aggregator, known.union(instance_ids), now)

    def zone_verdict(self, now: float) -> frozenset[str]:
        """Return the endpoints that the own zone's hosts don't reach, from their reports."""
        failing_hosts: dict[str, int] = {}
        balance: dict[str, int] = {}
        hosts = self._recent_outcomes(now)
        reached_by_others = _sum_of_reaching_hosts(hosts)
        for outcomes in hosts:
            if _is_cut_off(outcomes, reached_by_others):
                continue
            for outcome in outcomes:
                key = outcome.instance_id
                failing_hosts[key] = failing_hosts.get(key, 0) + (outcome.unreached > 0)
                balance[key] = balance.get(key, 0) + outcome.unreached - outcome.reached
        return frozenset(
            key
            for key, hosts in failing_hosts.items()
            if hosts >= MIN_FAILING_HOSTS and balance[key] > 0
        )

    def verdict_of(self, zone: str, now: float) -> frozenset[str]:
        """Return the endpoints that a zone's hosts don't reach, as its aggregators say."""
        found: frozenset[str] = frozenset()
        for (each_zone, _), (instance_ids, at) in self._verdicts.items():
            if each_zone == zone and now - at <= VERDICT_TTL_S:
                found |= instance_ids
        return found

    def _recent_outcomes(self, now: float) -> list[tuple[EndpointOutcomes, ...]]:
        self._drop_old_reports(now)
        return [self.own_outcomes(now), *(report.outcomes for report in self._reports.values())]

    def _drop_old_reports(self, now: float) -> None:
        for host in [host for host, each in self._reports.items() if now - each.at > WINDOW_S]:
            del self._reports[host]


def _sum_of_reaching_hosts(hosts: Iterable[tuple[EndpointOutcomes, ...]]) -> dict[str, int]:
    """Return by how much attempts that reached each endpoint prevail at hosts that reach any."""
    balance: dict[str, int] = {}
    for outcomes in hosts:
        if not any(outcome.reached for outcome in outcomes):
            continue
        for outcome in outcomes:
            before = balance.get(outcome.instance_id, 0)
            balance[outcome.instance_id] = before + outcome.reached - outcome.unreached
    return balance


def _is_cut_off(outcomes: tuple[EndpointOutcomes, ...], reached_by_others: dict[str, int]) -> bool:
    """Return whether a host reaches none of several endpoints, most of which others reach.

    It has lost its own links, so its outcomes say nothing about the endpoints.
    """
    if len(outcomes) < MIN_CUT_OFF_ENDPOINTS or any(outcome.reached for outcome in outcomes):
        return False
    sound = sum(reached_by_others.get(outcome.instance_id, 0) > 0 for outcome in outcomes)
    return 2 * sound > len(outcomes)
