"""Token bucket, stream and spend counters that enforce one host's share of a limit."""

from collections import deque
from dataclasses import dataclass, field

from poplarrun.limits._shares import PROPAGATION_ROUNDS

BURST_WINDOW_S = 2.0


@dataclass
class TokenBucket:
    """Token bucket whose level may become negative.

    A request is admitted while any token is left, and its overdraft is refilled before the next
    one. Large requests therefore pass even with a small share, and the overshoot is at most one
    request for each host.

    Attributes
    ----------
    rate_per_s : float
        Tokens added each second.
    burst_s : float
        Seconds for which unused tokens accumulate.
    level, borrowed : float
        Tokens that are left, and how many of them were borrowed from other hosts.
    requested : float
        Tokens asked for in this round, admitted or not.
    """

    rate_per_s: float = 0.0
    burst_s: float = BURST_WINDOW_S
    level: float = 0.0
    borrowed: float = 0.0
    requested: float = 0.0
    _refilled_at: float | None = None

    @property
    def capacity(self) -> float:
        """Upper bound on the tokens that accumulate."""
        return max(1.0, self.rate_per_s * self.burst_s) + self.borrowed

    def refill(self, now: float) -> None:
        """Add the tokens since the last refill."""
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        self.level = min(self.capacity, self.level + elapsed_s * self.rate_per_s)

    def fill_to_capacity(self) -> None:
        """Fill the bucket up to its capacity."""
        self.level = self.capacity

    def compute_wait_s(self, now: float, min_level: float) -> float:
        """Return the seconds until a request can be admitted; 0 if it can be now."""
        self.refill(now)
        if self.level >= min_level:
            return 0.0
        return (min_level - self.level) / self.rate_per_s if self.rate_per_s > 0.0 else float("inf")

    def consume(self, amount: float) -> None:
        """Consume tokens; the level may become negative."""
        self.level -= amount
        self.borrowed = max(0.0, self.borrowed - amount)

    def borrow(self, amount: float) -> None:
        """Add tokens borrowed from another host; they stay until they are used."""
        self.level += amount
        self.borrowed += amount

    def lend(self, requested_amount: float, fraction: float) -> float:
        """Remove tokens that another host borrows, at most a fraction of the level."""
        lent = max(0.0, min(requested_amount, self.level * fraction))
        self.level -= lent
        return lent


@dataclass
class Streams:
    """Concurrent streams."""

    allowed: float = 0.0
    open: int = 0
    refused: int = 0

    def has_room(self) -> bool:
        """Tell whether another stream may begin."""
        return self.open + 1 <= self.allowed


@dataclass
class Spend:
    """Spending of one day.

    Attributes
    ----------
    spent_locally : float
        This host's spending today.
    remaining_total : float
        What all hosts together may still spend, by the last summaries.
    usable : float
        This host's fraction of that.
    spent_in_round : float
        This host's spending in the current round.
    """

    spent_locally: float = 0.0
    remaining_total: float = 0.0
    usable: float = 0.0
    spent_in_round: float = 0.0
    _unpropagated: deque[float] = field(default_factory=lambda: deque(maxlen=PROPAGATION_ROUNDS))

    def record(self, amount: float) -> None:
        """Record the cost of a request."""
        self.spent_locally += amount
        self.spent_in_round += amount

    def close_round(self) -> float:
        """Start the next round; return what was spent in the last."""
        spent = self.spent_in_round
        self._unpropagated.append(spent)
        self.spent_in_round = 0.0
        return spent

    def compute_remaining(self) -> float:
        """Return what this host may still spend.

        Recent spending, which the other hosts' totals may not include yet, counts twice: in
        the total and against this host's fraction.
        """
        return self.usable * self.remaining_total - self.spent_in_round - sum(self._unpropagated)

    def has_room(self) -> bool:
        """Tell whether more may be spent."""
        return self.compute_remaining() > 0.0
