"""The decision whether a failed attempt is followed by another."""

import random
from dataclasses import dataclass

from poplarrun.errors import ErrorKind
from poplarrun.retries._budgets import RetryBudget

MAX_ATTEMPTS = 3
# A stream that broke may go on in each way once: at the same engine, at another
# one with the KV cache, anew.
MAX_STREAM_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that broke.

    Attributes
    ----------
    attempts : int
        Attempts so far, this one included.
    may_have_started : bool
        Whether the endpoint may have begun.
    is_idempotent : bool
        Whether running the work twice is harmless.
    time_left_s : float
        Seconds until the request's deadline.
    min_needed_s : float
        Seconds that another attempt is expected to take at the least.
    max_attempts : int
        Bound on the attempts.
    """

    attempts: int
    may_have_started: bool
    is_idempotent: bool
    time_left_s: float
    min_needed_s: float = 0.0
    max_attempts: int = MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Send again, after a pause."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now; nothing is sent again."""

    kind: ErrorKind
    reason: str


RetryDecision = RetryAfter | GiveUp


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, source: random.Random
) -> RetryDecision:
    """Decide on another attempt; spends from the budget when there is one.

    A pause that ends past the deadline is not begun: the caller hears at once.
    """
    if failed.may_have_started and not failed.is_idempotent:
        return GiveUp(ErrorKind.OPERATION_OUTCOME_UNKNOWN, "it may have run")
    if failed.attempts >= failed.max_attempts:
        kind = ErrorKind.ENDPOINT_FAILED if failed.may_have_started else ErrorKind.NO_ENDPOINT
        return GiveUp(kind, f"{failed.attempts} attempts failed")
    ceiling_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (failed.attempts - 1))
    delay_s = source.uniform(0.0, ceiling_s)
    if delay_s + failed.min_needed_s >= failed.time_left_s:
        kind = (
            ErrorKind.ENDPOINT_FAILED if failed.may_have_started else ErrorKind.DEADLINE_UNREACHABLE
        )
        return GiveUp(kind, "no time is left for another attempt")
    if not budget.try_spend():
        return GiveUp(ErrorKind.RETRY_BUDGET_EXHAUSTED, "too many attempts fail")
    return RetryAfter(delay_s)
