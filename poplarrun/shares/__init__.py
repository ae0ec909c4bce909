"""Shares of budgets that all hosts spend together, without a message for each use.

Every host computes its own share from the hosts that it knows. What all hosts spend stays within a
budget's bound, whether they hear each other or not; see ``BudgetShares``. A share that a host does
not use can be lent to another one; see ``ShareLoans``.
"""

from poplarrun.shares._budgets import Budget, RateBounds, plan_rate
from poplarrun.shares._groups import HostGroup
from poplarrun.shares._loans import LoanRequest, ShareKey, ShareKind, ShareLoans, ShareUse
from poplarrun.shares._shares import BudgetShares, HostSighting

__all__ = [
    "Budget",
    "BudgetShares",
    "HostGroup",
    "HostSighting",
    "LoanRequest",
    "RateBounds",
    "ShareKey",
    "ShareKind",
    "ShareLoans",
    "ShareUse",
    "plan_rate",
]
