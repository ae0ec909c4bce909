"""Decides whether a failed attempt is retried, and after which delay."""

import random
from dataclasses import dataclass

from poplarrun.errors import ErrorKind
from poplarrun.retries._budgets import RetryBudget

MAX_ATTEMPTS = 3
# A broken stream may be continued once in each way: on the same engine, on another one
# with its KV cache, and from the beginning.
MAX_STREAM_ATTEMPTS = 4
INITIAL_BACKOFF_DELAY_S = 0.02
MAX_BACKOFF_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt.

    Attributes
    ----------
    attempts : int
        Attempts so far, including this one.
    may_have_started : bool
        Whether the endpoint may have started to run the request.
    is_idempotent : bool
        Whether running the request twice is harmless.
    time_left_s : float
        Seconds until the request's deadline.
    min_needed_s : float
        Minimum duration that is expected of another attempt, in seconds.
    max_attempts : int
        Maximum number of attempts.
    """

    attempts: int
    may_have_started: bool
    is_idempotent: bool
    time_left_s: float
    min_needed_s: float = 0.0
    max_attempts: int = MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry after a delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with an error now; there is no retry."""

    kind: ErrorKind
    reason: str


RetryDecision = RetryAfter | GiveUp


def decide_retry(
    attempt: FailedAttempt, budget: RetryBudget, random_source: random.Random
) -> RetryDecision:
    """Decide on a retry, which is spent from the budget.

    If the delay would end past the deadline, the caller gets the error at once.
    """
    if attempt.may_have_started and not attempt.is_idempotent:
        return GiveUp(ErrorKind.OPERATION_OUTCOME_UNKNOWN, "it may have run")
    if attempt.attempts >= attempt.max_attempts:
        kind = ErrorKind.ENDPOINT_FAILED if attempt.may_have_started else ErrorKind.NO_ENDPOINT
        return GiveUp(kind, f"{attempt.attempts} attempts failed")
    max_delay_s = min(MAX_BACKOFF_DELAY_S, INITIAL_BACKOFF_DELAY_S * 2.0 ** (attempt.attempts - 1))
    delay_s = random_source.uniform(0.0, max_delay_s)
    if delay_s + attempt.min_needed_s >= attempt.time_left_s:
        kind = (
            ErrorKind.ENDPOINT_FAILED
            if attempt.may_have_started
            else ErrorKind.DEADLINE_UNREACHABLE
        )
        return GiveUp(kind, "no time is left for another attempt")
    if not budget.try_spend():
        return GiveUp(ErrorKind.RETRY_BUDGET_EXHAUSTED, "too many attempts fail")
    return RetryAfter(delay_s)
