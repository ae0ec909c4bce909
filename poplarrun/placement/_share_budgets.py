"""The budgets of endpoints that all hosts share, and this host's use of them."""

from collections.abc import Iterator
from dataclasses import dataclass

from poplarrun.placement._brittle import BrittleServices, plan_slots, slots_key
from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.routing import Service
from poplarrun.shares import (
    Budget,
    BudgetShares,
    RateBounds,
    ShareKey,
    ShareKind,
    ShareUse,
    plan_rate,
)

# What an endpoint tolerates beyond the rate limit that it names in its answers.
NAMED_LIMIT_BOUNDS = RateBounds(window_s=4.0, rate_factor=1.5, allowance=5.0)
# Longest time that a request is expected to run, in seconds.
MAX_RUN_S = 20.0


@dataclass(frozen=True, slots=True)
class EndpointBudget:
    """A budget of one endpoint that is in force."""

    key: ShareKey
    endpoint: EndpointState
    budget: Budget

    @property
    def is_of_zone(self) -> bool:
        """Whether it belongs to the hosts of the endpoint's zone."""
        return self.key.kind is not ShareKind.SLOTS

    def share(self, shares: BudgetShares, now: float) -> int:
        """Return this host's share, without loans."""
        record = self.endpoint.record
        if self.is_of_zone:
            return shares.zone_share(record.instance_id, record.zone, self.budget, now)
        return shares.fleet_share(slots_key(record.instance_id), self.budget, now)

    def used(self, now: float) -> int:
        """Return what this host uses of it."""
        if self.is_of_zone:
            return self.endpoint.count_sends(now, self.budget.window_s)
        return self.endpoint.in_flight

    def has_room(self, shares: BudgetShares, now: float) -> bool:
        """Return whether this host's share, with loans, has room for one more request."""
        share = self.share(shares, now) + shares.loans.balance(self.key, now)
        return self.used(now) < share

    def describe_use(self, shares: BudgetShares, now: float) -> ShareUse:
        """Return what loans of it are decided by."""
        record = self.endpoint.record
        share, used = self.share(shares, now), self.used(now)
        if self.is_of_zone:
            of = record.instance_id, record.zone, self.budget
            reserved, hold_s = shares.zone_reserve(*of, now), self.budget.window_s
            lenders = shares.zone_lenders(*of)
        else:
            name = slots_key(record.instance_id)
            reserved, hold_s = shares.fleet_reserve(name, self.budget, now), MAX_RUN_S
            lenders = shares.fleet_lenders(name, self.budget)
        is_known = shares.is_known(self.budget, now)
        return ShareUse(min(reserved, share), share, used, hold_s, lenders, is_known)


def list_budgets(
    endpoint: EndpointState,
    service: Service,
    brittle: BrittleServices,
    warm_up_bounds: RateBounds,
    now: float,
) -> Iterator[EndpointBudget]:
    """Yield the budgets of an endpoint that are in force."""
    record = endpoint.record
    instance_id = record.instance_id
    brittleness = brittle.find(record.service, now)
    if brittleness is not None:
        slots = plan_slots(endpoint, brittleness.tolerated)
        yield EndpointBudget(ShareKey(ShareKind.SLOTS, instance_id), endpoint, slots)
    limit_per_s = endpoint.rate_limit_per_s
    if limit_per_s is not None:
        rate = plan_rate(limit_per_s, NAMED_LIMIT_BOUNDS)
        yield EndpointBudget(ShareKey(ShareKind.RATE_LIMIT, instance_id), endpoint, rate)
    warm_up = service.warm_up
    if warm_up.rate_per_s > 0.0 and endpoint.may_be_warming_up(warm_up, now):
        rate = plan_rate(warm_up.rate_per_s, warm_up_bounds)
        yield EndpointBudget(ShareKey(ShareKind.WARM_UP, instance_id), endpoint, rate)
