"""Detection of outages of the store, as one follower of a topic sees them."""

import math
from dataclasses import dataclass

from poplarrun.peers import DEFAULT_READ_TIMEOUTS

# Pause after a read of the list of endpoints, since many may change one after the other.
READ_PAUSE_S = 0.1
# Pause after a failed call, long enough not to overload a busy store.
RETRY_DELAY_S = 0.25


@dataclass
class StoreHealth:
    """Detects outages of the store as seen by this host.

    Attributes
    ----------
    answered_at : float
        When the store last answered.
    outage_timeout_s : float
        Time without an answer, or a peer's proof, after which there is an outage, in which
        records of live endpoints may expire.
    outage_began_at, outage_ended_at : float
        Times of the last answer before the latest outage and of the first one after it.
    available_since : float
        Since when the store has answered without an outage.
    is_outage : bool
        Whether there is an outage now.
    """

    answered_at: float = 0.0
    outage_timeout_s: float = DEFAULT_READ_TIMEOUTS.outage_timeout_s
    outage_began_at: float = math.inf
    outage_ended_at: float = -math.inf
    available_since: float = math.inf
    is_outage: bool = False

    def record_answer(self, now: float) -> bool:
        """Record an answer; return True if it ends an outage."""
        return self._record_available_at(now, now)

    def record_proof(self, confirmed_at: float, now: float) -> None:
        """Record that a peer had read all records of the store at a time."""
        if confirmed_at > self.answered_at:
            self._record_available_at(confirmed_at, now)

    def _record_available_at(self, at: float, now: float) -> bool:
        was_outage = self.is_outage or at - self.answered_at > self.outage_timeout_s + READ_PAUSE_S
        if was_outage:
            self.outage_began_at = self.answered_at
            self.outage_ended_at = now
        if was_outage or self.available_since == math.inf:
            self.available_since = at
        self.answered_at = at
        self.is_outage = False
        return was_outage

    def record_reported_outage(self, now: float) -> None:
        """Record that a peer takes records for removed in an outage that has just ended."""
        self.outage_began_at = min(self.answered_at, now - self.outage_timeout_s)
        self.outage_ended_at = now

    def record_failure(self, now: float) -> bool:
        """Record a failed call; return True if an outage begins."""
        begins = not self.is_outage and now - self.answered_at > self.outage_timeout_s
        self.is_outage = self.is_outage or begins
        return begins

    def available_s(self, now: float) -> float:
        """Return for how long the store has answered without an outage."""
        if self.is_outage or now - self.answered_at > self.outage_timeout_s:
            return 0.0
        return max(0.0, now - self.available_since)

    def record_available(self, since: float, until: float) -> bool:
        """Record that the store answered a peer during a period.

        Return True if it thereby turns out that only this host was cut off from the store, and
        that there was no outage.
        """
        if self.is_outage or since > self.outage_began_at or until < self.outage_ended_at:
            return False
        had_outage = self.outage_ended_at > -math.inf
        self.outage_ended_at = -math.inf
        return had_outage
