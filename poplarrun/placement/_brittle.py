"""Room at endpoints that fall over when they have to turn too many requests away.

Load: a service says in its answers how many rejections a second one of its endpoints bears, and
some seconds later lets fewer requests wait. All hosts together must not try their luck. Each host
therefore has a share of an endpoint's slots, and fills no more of them at a time.
"""

import math
from dataclasses import dataclass, field

from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.shares import Budget, BudgetShares, ShareKey, ShareKind

# What a service says holds for this long after its last answer that said so.
BRITTLE_TTL_S = 4.0
# Load up to which a host without a share of the rejections sends to an endpoint.
MAX_CAUTIOUS_LOAD = 0.8
# After a rejection a host keeps to the requests that it had there for this long, in seconds, and
# then adds one more in each further interval.
REJECTION_HOLD_S = 1.0
ROOM_INTERVAL_S = 0.5
WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Brittleness:
    """What a service says of itself.

    Attributes
    ----------
    tolerated : int
        Rejections a second that one of its endpoints bears.
    as_of : float
        When it last said so.
    """

    tolerated: int
    as_of: float


@dataclass
class BrittleServices:
    """The services whose endpoints fall over when they reject too many requests."""

    _services: dict[str, Brittleness] = field(default_factory=dict)

    def record(self, service: str, tolerated: int, as_of: float, now: float) -> bool:
        """Record what a service said; True if it is new or differs."""
        before = self.find(service, now)
        if before is not None and as_of <= before.as_of:
            return False
        self._services[service] = Brittleness(tolerated, as_of)
        return before is None or before.tolerated != tolerated

    def find(self, service: str, now: float) -> Brittleness | None:
        """Return what a service said lately, or None."""
        found = self._services.get(service)
        if found is None or now - found.as_of > BRITTLE_TTL_S:
            return None
        return found

    def current(self, now: float) -> dict[str, Brittleness]:
        """Return all services that are brittle now."""
        self._services = {
            service: each
            for service, each in self._services.items()
            if now - each.as_of <= BRITTLE_TTL_S
        }
        return dict(self._services)


def slots_key(instance_id: str) -> str:
    """Return the name by which the slots of an endpoint are divided."""
    return f"slots of {instance_id}"


def plan_slots(endpoint: EndpointState, tolerated: int) -> Budget:
    """Return the budget of requests that a brittle endpoint runs at a time.

    Hosts that know the others differently for a moment may fill more than all slots together, by no
    more than the rejections that the endpoint bears.
    """
    slots = endpoint.record.slots
    return Budget(slots, slots + tolerated, WINDOW_S)


def has_brittle_room(
    endpoint: EndpointState, tolerated: int, shares: BudgetShares, now: float
) -> bool:
    """Return whether a host may send one more request to an endpoint of a brittle service.

    Parameters
    ----------
    tolerated : int
        Rejections a second that the endpoint bears from all hosts together.
    """
    instance_id = endpoint.record.instance_id
    rejections = Budget(tolerated, tolerated, WINDOW_S)
    may_reject = shares.fleet_share(f"rejections of {instance_id}", rejections, now)
    may_reject -= endpoint.count_rejections(now, WINDOW_S)
    if may_reject <= 0 and endpoint.load >= MAX_CAUTIOUS_LOAD:
        return False
    share = shares.fleet_share(slots_key(instance_id), plan_slots(endpoint, tolerated), now)
    share += shares.loans.balance(ShareKey(ShareKind.SLOTS, instance_id), now)
    # Requests beyond the share of slots are rejected at worst, and may be that many at a time.
    room = share + max(0, may_reject)
    return endpoint.in_flight < min(room, _room_after_rejection(endpoint, now))


def _room_after_rejection(endpoint: EndpointState, now: float) -> float:
    """Return how many requests this host may have there after its last rejection."""
    held_s = now - endpoint.rejected_at - REJECTION_HOLD_S
    if math.isinf(held_s):
        return math.inf
    return endpoint.room_at_rejection + max(0.0, held_s // ROOM_INTERVAL_S)
