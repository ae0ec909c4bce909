"""Timeouts after which a silent endpoint is abandoned and another one is tried.

An endpoint that became unreachable or hangs would stay silent forever. A slow one is
left to finish, since a retry spends from a bounded budget and starts from the beginning.
"""

from poplarrun.placement import EndpointEstimate
from poplarrun.retries import WindowedRetryBudget
from poplarrun.routing import InFlightRequest, RepeatPolicy

# Timeout of the first event, as a multiple of its expected time, and its minimum in
# seconds. Callers give up after four times the target latency, eight seconds here.
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MIN_FIRST_EVENT_TIMEOUT_S = 2.5
# Timeout between two events of a stream, as a multiple of the target gap.
GAP_TIMEOUT_FACTOR = 2.5
# Timeout of a plain service's answer, as a multiple of the target latency. Its slowest
# answers take five times the mean, and the mean is a third of the target.
ANSWER_TIMEOUT_FACTOR = 2.0


def first_event_timeout_s(work: InFlightRequest, estimate: EndpointEstimate) -> float | None:
    """Return the timeout for the first event or the whole answer, in seconds.

    None if no retry is possible, so that the attempt may use all the remaining time.
    """
    if not work.can_run_again:
        return None
    match work.route.repeat_policy:
        case RepeatPolicy.STREAM:
            return max(
                MIN_FIRST_EVENT_TIMEOUT_S, FIRST_EVENT_TIMEOUT_FACTOR * estimate.first_event_s
            )
        case _:
            return ANSWER_TIMEOUT_FACTOR * work.route.latency.target_s


def event_gap_timeout_s(work: InFlightRequest) -> float | None:
    """Return the timeout between two events of a stream, in seconds; None for no limit."""
    if not work.can_run_again:
        return None
    return GAP_TIMEOUT_FACTOR * work.route.latency.event_gap_s


def can_abandon(work: InFlightRequest, budget: WindowedRetryBudget, now: float) -> bool:
    """Return whether a stream whose endpoint is silent may go on at another one.

    If not, waiting is all that is left: its silent endpoint may still be at work.
    """
    return work.can_run_again and budget.remaining(now) >= 1.0
