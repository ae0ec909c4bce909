"""Reads the list of endpoints once an endpoint's answer shows that this host's is old."""

import asyncio

from poplarrun.dispatch import Attempt, Failure, SaidNotRun
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.logging import events, write_event
from poplarrun.metrics import Metrics
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot

# Longest wait for the list before a request is sent again, in seconds: the store answers within
# some milliseconds.
MAX_WAIT_S = 0.1


class ListingCheck:
    """Brings the list up to date after a request reached another endpoint than was meant.

    The address of an endpoint is given to another one only some time after its end, so a list that
    still has it may also lack other changes of that time.
    """

    def __init__(self, listings: ListingFollower, metrics: Metrics) -> None:
        self._listings = listings
        self._metrics = metrics

    async def check(self, work: InFlightRequest, attempt: Attempt | None, failure: Failure) -> None:
        """Read the list after such a failure, and wait for it before the next choice."""
        if attempt is None or not isinstance(failure, SaidNotRun) or not failure.is_other_lifetime:
            return
        instance_id = attempt.estimate.endpoint.record.instance_id
        started_at = seconds_since_boot()
        age_s = self._listings.describe(instance_id, started_at).age_s
        is_current = False
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                is_current = await self._listings.refresh(attempt.sent_at)
        except TimeoutError:
            self._metrics.count_event("listing_check_late")
        self._metrics.count_event("listing_outdated")
        write_event(
            events.ListingOutdated(
                work.request.id,
                instance_id,
                min(age_s, 1e6),
                seconds_since_boot() - started_at,
                is_current,
            )
        )
