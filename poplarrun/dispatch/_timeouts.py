"""How long an endpoint may send nothing before another one is asked.

Endpoints that went dark or mute say nothing for ever; slow ones are left to finish,
since a send elsewhere costs from a bounded budget and begins anew.
"""

from poplarrun.placement import EndpointEstimate
from poplarrun.routing import InFlightRequest, RepeatPolicy

# So many times the expected time to the first event, and so many seconds at the least:
# callers leave after four times the time that is in time, eight seconds here.
FIRST_PATIENCE = 4.0
LEAST_FIRST_PATIENCE_S = 2.5
# A pause inside a stream, as a multiple of the pause that is in time.
GAP_PATIENCE = 2.5
# A plain service, as a multiple of the time that is in time: its slowest answers take
# five times its mean, which is a third of that time.
ANSWER_PATIENCE = 2.0


def first_event_timeout_s(work: InFlightRequest, seat: EndpointEstimate) -> float | None:
    """Return the patience until the first event or the answer, in seconds.

    None where nothing else could be asked, so that all the time that is left is given.
    """
    if not work.route.can_repeat or work.possible_runs + 1 >= work.route.max_attempts:
        return None
    match work.route.repeat_policy:
        case RepeatPolicy.STREAM:
            return max(LEAST_FIRST_PATIENCE_S, FIRST_PATIENCE * seat.first_event_s)
        case _:
            return ANSWER_PATIENCE * work.route.latency.target_s


def event_gap_timeout_s(work: InFlightRequest) -> float | None:
    """Return the patience with a pause inside a stream, in seconds; None for no bound."""
    if not work.route.can_repeat:
        return None
    return GAP_PATIENCE * work.route.latency.event_gap_s
