"""Whether another zone may answer a request sooner, although its queues are known late.

A host learns at once what the hosts of its own zone send, and a second later what is sent in
other zones. Of the endpoints there, those that looked idle a second ago are the ones that all
hosts have chosen since.
"""

from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.placement._estimates import EndpointEstimate

# Time by which another zone must be better than staying, in seconds, in addition to the delay
# between zones: a question costs messages and a round trip.
MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class AlternativeZone:
    """Another zone that may answer sooner than the best endpoint of the own zone.

    Attributes
    ----------
    estimate : EndpointEstimate
        Its best endpoint, as this host knows it.
    stay_s : float
        Expected time at the best endpoint of the own zone, with the penalties of the way to it.
    max_first_event_s : float
        Longest time to the first event at an endpoint of that zone that is better than staying.
    """

    estimate: EndpointEstimate
    stay_s: float
    max_first_event_s: float

    @property
    def zone(self) -> str:
        """Name of the zone."""
        return self.estimate.endpoint.record.zone


@dataclass(frozen=True, slots=True)
class ZoneChoice:
    """The endpoint to send to, and the zone to ask for a better one before that.

    Attributes
    ----------
    alternative : AlternativeZone, optional
        None if no zone is worth asking.
    """

    estimate: EndpointEstimate
    alternative: AlternativeZone | None = None


def compare_zones(
    estimates: list[EndpointEstimate],
    own_zone: str,
    now: float,
    delay_s: Callable[[EndpointEstimate], float],
) -> ZoneChoice:
    """Return the best endpoint of the own zone, and the zone that may have a better one.

    Without an endpoint in the own zone, the best one of all is returned.

    Parameters
    ----------
    estimates : list of EndpointEstimate
        The endpoints to compare; at least one.
    delay_s : callable
        Returns the penalties of the way to an endpoint, in seconds.
    """
    by_zone: dict[str, list[EndpointEstimate]] = {}
    for estimate in estimates:
        by_zone.setdefault(estimate.endpoint.record.zone, []).append(estimate)
    own = by_zone.pop(own_zone, None)

    def cost_s(estimate: EndpointEstimate) -> float:
        return estimate.first_event_s + delay_s(estimate)

    if own is None:
        return ZoneChoice(min(estimates, key=cost_s))
    stay = min(own, key=cost_s)
    stay_s = cost_s(stay)
    best: EndpointEstimate | None = None
    best_cost_s = stay_s - MARGIN_S
    for others in by_zone.values():
        mean_queue_s = sum(each.queue_s for each in others) / len(others)
        for each in others:
            unknown_s = max(0.0, mean_queue_s - each.queue_s)
            each_cost_s = cost_s(each) + unknown_s * each.endpoint.current_slowdown(now)
            if each_cost_s < best_cost_s:
                best, best_cost_s = each, each_cost_s
    if best is None:
        return ZoneChoice(stay)
    return ZoneChoice(stay, AlternativeZone(best, stay_s, stay_s - delay_s(best)))
