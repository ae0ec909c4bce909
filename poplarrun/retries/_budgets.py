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
    tokens : float
        Retries that may be made now.
    earned : float
        What a first attempt adds.
    most : float
        Bound on the tokens.
    """

    tokens: float = MOST_TOKENS
    earned: float = EARNED_BY_ATTEMPT
    most: float = MOST_TOKENS

    def note_attempt(self) -> None:
        """Earn a share of a retry by a first attempt."""
        self.tokens = min(self.most, self.tokens + self.earned)

    def take(self) -> bool:
        """Spend one retry, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass
class WindowBudget:
    """Retries that the first attempts of the last seconds allow.

    Operators bound retries over a window of time. A bucket that holds a few tokens at
    most keeps that bound too, but drops what was earned a moment ago whenever it is full,
    so that two retries in a row leave nothing for the next.

    Attributes
    ----------
    earned : float
        Retries that each first attempt of the window allows.
    most : float
        Retries that the window may have besides.
    window_s : float
        Length of the window.
    """

    earned: float
    most: float
    window_s: float
    _firsts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def note_attempt(self, now: float) -> None:
        """Take in a first attempt."""
        self._firsts.append(now)

    def left(self, now: float) -> float:
        """Return how many retries may be made now."""
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
        return self.most + self.earned * len(self._firsts) - len(self._retries)

    def take(self, now: float) -> bool:
        """Spend one retry, if there is one."""
        if self.left(now) < 1.0:
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
