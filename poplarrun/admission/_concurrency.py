"""A concurrency limit that adapts to the queueing time of a host's own requests."""

import math
from dataclasses import dataclass

# Limits of the concurrency limit.
MIN_LIMIT = 2.0
MAX_LIMIT = 10_000.0
# Increment for each request that did not wait: the first applies until the first decrease
# and climbs to the endpoints' capacity; the second makes up for a decrease in about the
# time of one request.
INITIAL_INCREMENT = 1.0
INCREMENT = 0.1
# Factor of the limit at a decrease.
DECREASE_FACTOR = 0.9
# The limit grows only while at least this fraction of it is in use.
BINDING_FRACTION = 0.8
# Load of a pool, in requests per slot, from which it counts as full.
FULL_POOL_LOAD = 0.9
# Weight that the earlier measurements keep with each new one in the mean wait.
WAIT_DECAY = 0.9


@dataclass
class AimdLimit:
    """Additive increase while requests don't wait at the endpoints, multiplicative decrease.

    Load reports are late: when the load doubles, hosts that rely on them overload every
    endpoint before the first report shows it. The wait of a host's own requests is current,
    and hosts that each follow it share the endpoints without communication.

    Attributes
    ----------
    limit : float
        Requests of this host that may run concurrently.
    target_wait_s : float
        Mean wait at the endpoints above which the limit decreases, in seconds.
    mean_wait_s : float
        Moving average of the wait, in seconds.
    """

    limit: float = 64.0
    target_wait_s: float = 0.25
    mean_wait_s: float = 0.0
    _decreased_at: float = -math.inf

    def has_room(self, in_flight: int, pool_load: float = 1.0) -> bool:
        """Return whether another request may start; it always may in a pool with free slots."""
        return in_flight < self.limit or pool_load < FULL_POOL_LOAD

    def record_wait(
        self, wait_s: float, in_flight: int, now: float, pool_load: float = 1.0
    ) -> None:
        """Record how long a request waited at its endpoint before it started.

        A wait in a pool that has free slots comes from uneven choices. A lower limit would
        not shorten it, and would keep other requests from starting.
        """
        self.mean_wait_s += (1.0 - WAIT_DECAY) * (wait_s - self.mean_wait_s)
        if self.mean_wait_s > self.target_wait_s and pool_load >= FULL_POOL_LOAD:
            # The last decrease has no effect yet while more requests run than it allows, and
            # requests sent before it still show the old queue. Another decrease would end far
            # below the capacity of the endpoints.
            is_last_cut_effective = in_flight < self.limit + 1.0 or math.isinf(self._decreased_at)
            if is_last_cut_effective and now - self._decreased_at > 2.0 * self.mean_wait_s:
                self.limit = max(MIN_LIMIT, min(self.limit, in_flight) * DECREASE_FACTOR)
                self._decreased_at = now
        elif in_flight >= self.limit * BINDING_FRACTION:
            is_first_climb = self._decreased_at == -math.inf
            self.limit = min(
                MAX_LIMIT, self.limit + (INITIAL_INCREMENT if is_first_climb else INCREMENT)
            )
