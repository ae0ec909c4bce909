"""Times for which an endpoint wants no request from this host.

An endpoint asks the host whose connection it answers. The demand ends with its time or with a new
start of the endpoint, and with nothing else: neither an answer that was under way nor a record that
lapses and returns takes it back.
"""

import math
from dataclasses import dataclass

# Longest time for which an endpoint can keep this host away. One that means longer asks again.
MAX_HOLD_OFF_S = 300.0


@dataclass(frozen=True, slots=True)
class HoldOff:
    """A demand to stay away.

    Attributes
    ----------
    asked_at, until : float
        When it arrived here, and when it ends.
    """

    asked_at: float
    until: float

    @property
    def seconds(self) -> float:
        """For how long the endpoint asked."""
        return self.until - self.asked_at


NO_HOLD_OFF = HoldOff(-math.inf, -math.inf)


def extend_hold_off(current: HoldOff, seconds: float, now: float) -> HoldOff:
    """Return the demand that is in force after another one; the one that ends later."""
    asked = HoldOff(now, now + min(seconds, MAX_HOLD_OFF_S))
    return asked if asked.until > current.until else current
