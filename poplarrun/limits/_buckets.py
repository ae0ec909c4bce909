"""What one host lets pass of its share of a limit."""

from collections import deque
from dataclasses import dataclass, field

from poplarrun.limits._shares import PROPAGATION_ROUNDS

BURST_WINDOW_S = 2.0


@dataclass
class TokenBucket:
    """Tokens that come at a rate; one request may take more than there are.

    A request is let through while any token is left, and what it took too much
    is paid back before the next: large requests pass a small share, and the
    overshoot is at most one request of each host.

    Attributes
    ----------
    rate_per_s : float
        Tokens a second.
    burst_s : float
        Seconds for which unused tokens are kept.
    level, borrowed : float
        Tokens that are left, and how many of them other hosts gave.
    """

    rate_per_s: float = 0.0
    burst_s: float = BURST_WINDOW_S
    level: float = 0.0
    borrowed: float = 0.0
    requested: float = 0.0
    _refilled_at: float | None = None

    @property
    def capacity(self) -> float:
        """Tokens that are kept at most."""
        return max(1.0, self.rate_per_s * self.burst_s) + self.borrowed

    def refill(self, now: float) -> None:
        """Add what has come since the last time."""
        since_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        self.level = min(self.capacity, self.level + since_s * self.rate_per_s)

    def fill_to_capacity(self) -> None:
        """Add as much as is kept at most."""
        self.level = self.capacity

    def compute_wait_s(self, now: float, least: float) -> float:
        """Return the seconds until a request may pass; 0 when it may now."""
        self.refill(now)
        if self.level >= least:
            return 0.0
        return (least - self.level) / self.rate_per_s if self.rate_per_s > 0.0 else float("inf")

    def consume(self, amount: float) -> None:
        """Take tokens, also more than there are."""
        self.level -= amount
        self.borrowed = max(0.0, self.borrowed - amount)

    def borrow(self, amount: float) -> None:
        """Add tokens that another host gave; they are kept until they are used."""
        self.level += amount
        self.borrowed += amount

    def lend(self, asked: float, part: float) -> float:
        """Take off what another host borrows, at most a part of what there is."""
        given = max(0.0, min(asked, self.level * part))
        self.level -= given
        return given


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
    """Spending of a day.

    Attributes
    ----------
    used_here : float
        This host's spending today.
    left : float
        What all hosts together may still spend, as last heard.
    part : float
        This host's part of that.
    """

    spent_locally: float = 0.0
    remaining_total: float = 0.0
    usable: float = 0.0
    spent_in_round: float = 0.0
    _unpropagated: deque[float] = field(default_factory=lambda: deque(maxlen=PROPAGATION_ROUNDS))

    def record(self, amount: float) -> None:
        """Count what a request cost."""
        self.spent_locally += amount
        self.spent_in_round += amount

    def close_round(self) -> float:
        """Begin the next round; return what was spent in the last."""
        spent = self.spent_in_round
        self._unpropagated.append(spent)
        self.spent_in_round = 0.0
        return spent

    def compute_remaining(self) -> float:
        """Return what this host may still spend; what others can't know of counts twice."""
        return self.usable * self.remaining_total - self.spent_in_round - sum(self._unpropagated)

    def has_room(self) -> bool:
        """Tell whether more may be spent."""
        return self.compute_remaining() > 0.0
