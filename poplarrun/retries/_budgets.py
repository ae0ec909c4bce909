"""Retry budgets: how many repeats the first attempts have earned."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Each first attempt earns this share of a retry, so that in an outage all
# hosts together send at most 1.1 times what callers offer.
EARNED_BY_ATTEMPT = 0.1
# Retries that a quiet host has at once; rare failures need no budget.
MOST_TOKENS = 10.0
KEPT_BUDGETS = 1000


@dataclass(frozen=True, slots=True)
class BudgetKey:
    """Whose budget it is: a class of work, and the endpoints that serve it.

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
    """A bucket of retry tokens, filled by first attempts and not by time.

    Over any span the retries are at most ``earned`` times the first attempts of
    that span, plus ``most``.

    Attributes
    ----------
    available : float
        Retries that may be made now.
    earned_per_attempt : float
        What a first attempt adds.
    capacity : float
        Bound on the tokens.
    """

    available: float = MOST_TOKENS
    earned_per_attempt: float = EARNED_BY_ATTEMPT
    capacity: float = MOST_TOKENS

    def record_attempt(self) -> None:
        """Earn a share of a retry by a first attempt."""
        self.available = min(self.capacity, self.available + self.earned_per_attempt)

    def try_spend(self) -> bool:
        """Spend one retry, if there is one."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


@dataclass
class WindowedRetryBudget:
    """Retries that the first attempts of the last seconds allow.

    Operators bound retries over a window of time. A bucket that holds a few tokens at
    most keeps that bound too, but drops what was earned a moment ago whenever it is full,
    so that two retries in a row leave nothing for the next.

    Attributes
    ----------
    retries_per_attempt : float
        Retries that each first attempt of the window allows.
    allowance : float
        Retries that the window may have besides.
    window_s : float
        Length of the window.
    """

    retries_per_attempt: float
    allowance: float
    window_s: float
    _firsts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_attempt(self, now: float) -> None:
        """Take in a first attempt."""
        self._firsts.append(now)

    def remaining(self, now: float) -> float:
        """Return how many retries may be made now."""
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
        return self.allowance + self.retries_per_attempt * len(self._firsts) - len(self._retries)

    def try_spend(self, now: float) -> bool:
        """Spend one retry, if there is one."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True


class RetryBudgets:
    """The budgets of one host; the least used are dropped first."""

    def __init__(self) -> None:
        self._budgets: OrderedDict[BudgetKey, RetryBudget] = OrderedDict()

    def budget(self, key: BudgetKey) -> RetryBudget:
        """Return the budget of a key."""
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget()
            if len(self._budgets) > KEPT_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(key)
        return budget
