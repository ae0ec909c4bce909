"""Concurrency limits that adapt to the waiting time that a host's own requests see."""

import math
from dataclasses import dataclass

FEWEST = 2.0
MOST = 10_000.0
# Growth by each request that did not wait: the first climbs to the endpoints'
# capacity, the second regains a cut in about the time of one request.
ADDED_AT_FIRST = 1.0
ADDED = 0.1
KEPT_AFTER_WAIT = 0.9
# The limit moves only where it binds.
BINDING_SHARE = 0.8
FULL_POOL_LOAD = 0.9
WAIT_DECAY = 0.9


@dataclass
class AimdLimit:
    """Adds while requests don't wait at the endpoints, multiplies down when they do.

    Load reports are late: when the load doubles, hosts that trust them overfill
    every endpoint before the first report tells. The own requests' waiting time
    is fresh, and hosts that each follow it share the endpoints without a message.

    Attributes
    ----------
    limit : float
        Requests of this host that may run at once.
    target_wait_s : float
        Mean waiting time at the endpoints above which the limit falls.
    mean_wait_s : float
        Mean over the last requests.
    """

    limit: float = 64.0
    target_wait_s: float = 0.25
    mean_wait_s: float = 0.0
    _lowered_at: float = -math.inf

    def has_room(self, in_flight: int, pool_load: float = 1.0) -> bool:
        """Tell whether another request may start; in a pool with free places any may."""
        return in_flight < self.limit or pool_load < FULL_POOL_LOAD

    def record_wait(
        self, wait_s: float, in_flight: int, now: float, pool_load: float = 1.0
    ) -> None:
        """Take in how long a request waited at its endpoint before it began.

        Waiting in a pool that has free places comes of uneven choices: fewer
        requests at once would not shorten it, and keep others from starting.
        """
        self.mean_wait_s += (1.0 - WAIT_DECAY) * (wait_s - self.mean_wait_s)
        if self.mean_wait_s > self.target_wait_s and pool_load >= FULL_POOL_LOAD:
            # The last cut has not worked yet while more run than it allows, and
            # requests sent before it still show the old queue. Cutting again
            # would end far below what the endpoints can do.
            in_effect = in_flight < self.limit + 1.0 or math.isinf(self._lowered_at)
            if in_effect and now - self._lowered_at > 2.0 * self.mean_wait_s:
                self.limit = max(FEWEST, min(self.limit, in_flight) * KEPT_AFTER_WAIT)
                self._lowered_at = now
        elif in_flight >= self.limit * BINDING_SHARE:
            never_lowered = self._lowered_at == -math.inf
            self.limit = min(MOST, self.limit + (ADDED_AT_FIRST if never_lowered else ADDED))
