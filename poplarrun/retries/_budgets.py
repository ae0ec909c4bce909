"""Retry budgets, which are filled by first attempts."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Each first attempt earns this fraction of a retry, so that in an outage all hosts
# together send at most 1.1 times the offered load.
EARNED_PER_ATTEMPT = 0.1
# Retries that an idle host may make at once; rare failures must not exhaust the budget.
MAX_AVAILABLE = 10.0
MAX_BUDGETS = 1000


@dataclass(frozen=True, slots=True)
class BudgetKey:
    """Key of a budget: a class of work, and the endpoints that serve it.

    Attributes
    ----------
    work : str
        Class of work, or operation of a plain service.
    endpoints : str
        Version, or plain service.
    """

    work: str
    endpoints: str


@dataclass
class RetryBudget:
    """A token bucket for retries, filled by first attempts instead of time.

    Over any period the retries are at most ``earned_per_attempt`` times the first attempts
    of that period, plus ``capacity``.

    Attributes
    ----------
    available : float
        Retries that may be made now.
    earned_per_attempt : float
        Retries that a first attempt adds.
    capacity : float
        Upper limit of ``available``.
    """

    available: float = MAX_AVAILABLE
    earned_per_attempt: float = EARNED_PER_ATTEMPT
    capacity: float = MAX_AVAILABLE

    def record_attempt(self) -> None:
        """Add what a first attempt earns."""
        self.available = min(self.capacity, self.available + self.earned_per_attempt)

    def try_spend(self) -> bool:
        """Spend one retry if one is available; return whether it was."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


@dataclass
class WindowedRetryBudget:
    """A retry budget over a sliding window of time.

    Operators limit retries over a window. A token bucket with a small capacity keeps that
    limit too, but when it is full it discards what first attempts earn, so that two retries
    in a row leave nothing for the next.

    Attributes
    ----------
    retries_per_attempt : float
        Retries that each first attempt in the window allows.
    allowance : float
        Retries that the window allows in addition.
    window_s : float
        Length of the window, in seconds.
    """

    retries_per_attempt: float
    allowance: float
    window_s: float
    _first_attempts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_attempt(self, now: float) -> None:
        """Record a first attempt."""
        self._first_attempts.append(now)

    def remaining(self, now: float) -> float:
        """Return the number of retries that may be made now."""
        for timestamps in (self._first_attempts, self._retries):
            while timestamps and timestamps[0] <= now - self.window_s:
                timestamps.popleft()
        return (
            self.allowance
            + self.retries_per_attempt * len(self._first_attempts)
            - len(self._retries)
        )

    def try_spend(self, now: float) -> bool:
        """Spend one retry if one is available; return whether it was."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True


class RetryBudgets:
    """The budgets of one host; the least recently used are evicted first."""

    def __init__(self) -> None:
        self._budgets: OrderedDict[BudgetKey, RetryBudget] = OrderedDict()

    def budget(self, key: BudgetKey) -> RetryBudget:
        """Return the budget of a key, which is created full."""
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget()
            if len(self._budgets) > MAX_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(key)
        return budget
