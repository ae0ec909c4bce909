"""How much of the prefill time of a service goes to requests of each priority."""

import math
from dataclasses import dataclass, field

# Time in seconds in which the weight of a send halves. A host of a large fleet sends one or two
# prompts a second, and a burst of one kind of request lasts 3 to 7 s.
PRIORITY_HALF_LIFE_S = 6.0
# Prefill time in seconds that counts as not urgent, so that a host that has sent little does not
# take its first prompt for the whole load.
PRIOR_PREFILL_S = 0.2
# Weight in seconds below which a priority is forgotten.
MIN_PREFILL_S = 1e-3


@dataclass
class PrefillByPriority:
    """The prefill time of this host's sends by priority, with exponential forgetting."""

    _prefill_s: dict[int, float] = field(default_factory=dict)
    _updated_at: float = -math.inf

    def record_send(self, priority: int, prefill_s: float, now: float) -> None:
        """Record a send of a request of this priority."""
        kept = 0.5 ** (max(0.0, now - self._updated_at) / PRIORITY_HALF_LIFE_S)
        self._updated_at = max(self._updated_at, now)
        self._prefill_s = {
            each: kept * weight_s
            for each, weight_s in self._prefill_s.items()
            if kept * weight_s >= MIN_PREFILL_S
        }
        self._prefill_s[priority] = self._prefill_s.get(priority, 0.0) + prefill_s

    def share_above(self, priority: int) -> float:
        """Return the share of prefill time, 0 to 1, that went to more urgent requests.

        As of the latest send: a request that is decided about has been sent itself.
        """
        urgent_s = sum(each_s for each, each_s in self._prefill_s.items() if each < priority)
        return urgent_s / (sum(self._prefill_s.values()) + PRIOR_PREFILL_S)
