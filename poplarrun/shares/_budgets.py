"""Budgets as whole uses in a sliding window of time."""

import math
from dataclasses import dataclass

# Uses kept back from a bound: hosts that learn of a change in a different order may round their
# shares differently for a moment.
ROUNDING_RESERVE = 1
# Lower rates count as this one: an endpoint that gets no requests at all could not say any more
# that it takes them again.
MIN_RATE_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class Budget:
    """What all hosts together may use in any window.

    Attributes
    ----------
    total : int
        Uses in a window that are divided among the hosts.
    bound : int
        Uses in a window that must never be exceeded, at least the total.
    window_s : float
        Length of the window, in seconds.
    """

    total: int
    bound: int
    window_s: float

    @property
    def spare(self) -> int:
        """Uses for hosts that don't know whether others use the total."""
        return max(0, min(self.total, self.bound - self.total))


@dataclass(frozen=True, slots=True)
class RateBounds:
    """How many requests an endpoint tolerates from all hosts beyond the rate that it names.

    Attributes
    ----------
    window_s : float
        In any window of this length, in seconds,
    rate_factor : float
        it tolerates its rate times this factor,
    allowance : float
        and this many requests on top.
    """

    window_s: float = 1.0
    rate_factor: float = 1.5
    allowance: float = 5.0


def plan_rate(rate_per_s: float, bounds: RateBounds) -> Budget:
    """Return the budget of requests to an endpoint that names a rate.

    The window is as long as the endpoint's rate needs for a whole number of requests, so the rate
    is used up and not exceeded for longer than a window.
    """
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    total = math.ceil(rate_per_s * bounds.window_s)
    tolerated = rate_per_s * bounds.rate_factor * bounds.window_s + bounds.allowance
    bound = max(total, math.floor(tolerated) - ROUNDING_RESERVE)
    return Budget(total, bound, total / rate_per_s)
