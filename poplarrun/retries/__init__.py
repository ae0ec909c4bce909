"""Retries: whether a failed attempt is retried, after which delay, and from which budget."""

from poplarrun.retries._budgets import BudgetKey, RetryBudget, RetryBudgets, WindowedRetryBudget
from poplarrun.retries._decisions import (
    MAX_ATTEMPTS,
    MAX_STREAM_ATTEMPTS,
    FailedAttempt,
    GiveUp,
    RetryAfter,
    RetryDecision,
    decide_retry,
)

__all__ = [
    "MAX_ATTEMPTS",
    "MAX_STREAM_ATTEMPTS",
    "BudgetKey",
    "FailedAttempt",
    "GiveUp",
    "RetryAfter",
    "RetryBudget",
    "RetryBudgets",
    "RetryDecision",
    "WindowedRetryBudget",
    "decide_retry",
]
