"""The retries that this host may make at each service."""

from poplarrun.retries import WindowedRetryBudget
from poplarrun.shares import Budget, BudgetShares


class SharedRetryBudgets:
    """Budgets of retries by service: what this host's first sends earn, and its share of the rest.

    Parameters
    ----------
    ratio : float
        Retries that each first send of this host allows.
    allowance : Budget
        Retries that all hosts together may make beyond that for a service.
    """

    def __init__(self, shares: BudgetShares, ratio: float, allowance: Budget) -> None:
        self._shares = shares
        self._ratio = ratio
        self._allowance = allowance
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def set_limits(self, ratio: float, allowance: Budget) -> None:
        """Replace the operators' limits."""
        self._ratio = ratio
        self._allowance = allowance
        for budget in self._budgets.values():
            budget.retries_per_attempt = ratio
            budget.window_s = allowance.window_s

    def budget(self, service: str, now: float) -> WindowedRetryBudget:
        """Return the budget of a service, with the share that this host has now."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(self._ratio, 0.0, self._allowance.window_s)
            self._budgets[service] = budget
        budget.allowance = self._shares.fleet_share(f"retries of {service}", self._allowance, now)
        return budget
