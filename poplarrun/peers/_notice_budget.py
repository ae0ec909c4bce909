"""Limits the notices that hosts of a zone send to each other, each at the moment of a send."""

import math
from dataclasses import dataclass

# Notices a second that one host receives from all others together on average, and the seconds of
# its own part that a host may save up.
MAX_RECEIVED_PER_S = 120.0
BURST_S = 2.0
# Shorter prefills aren't worth a notice; long ones may also use the reserve of the budget.
MIN_PREFILL_S = 0.05
LONG_PREFILL_S = 0.3
RESERVE_FRACTION = 0.5


@dataclass
class NoticeBudget:
    """One host's part of the notices in its zone, as a token bucket."""

    tokens: float = 0.0
    updated_at: float = -math.inf

    def try_spend(self, prefill_s: float, zone_hosts: int, now: float) -> bool:
        """Return whether to tell the zone of a prefill of this length.

        Parameters
        ----------
        zone_hosts : int
            Number of hosts in the zone, which divide among them what each may receive.
        """
        if prefill_s < MIN_PREFILL_S or zone_hosts < 2:
            return False
        rate = MAX_RECEIVED_PER_S / zone_hosts
        capacity = max(1.0, rate * BURST_S)
        self.tokens = min(capacity, self.tokens + rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        reserve = 0.0 if prefill_s >= LONG_PREFILL_S else RESERVE_FRACTION * capacity
        if self.tokens - 1.0 < reserve:
            return False
        self.tokens -= 1.0
        return True
