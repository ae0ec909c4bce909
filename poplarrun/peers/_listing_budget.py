"""Limits the whole lists of endpoints that one host sends to others."""

import math
from dataclasses import dataclass

# Endpoints a second in the lists that one host sends, and the seconds for which it saves them up.
# Many hosts may lose the store at once, and a few lists of a large installation fill a link.
MAX_SENT_PER_S = 1000.0
BURST_S = 3.0


@dataclass
class ListingBudget:
    """What one host may send of whole lists, as a token bucket that may be overdrawn once."""

    endpoints: float = MAX_SENT_PER_S * BURST_S
    updated_at: float = -math.inf

    def try_spend(self, endpoints: int, now: float) -> bool:
        """Return whether to send a list of so many endpoints now."""
        earned = MAX_SENT_PER_S * max(0.0, now - self.updated_at)
        self.endpoints = min(MAX_SENT_PER_S * BURST_S, self.endpoints + earned)
        self.updated_at = now
        if self.endpoints <= 0.0:
            return False
        self.endpoints -= endpoints
        return True
