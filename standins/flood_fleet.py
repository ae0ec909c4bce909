"""Simulation in virtual time of hosts, one of which suddenly gets most of all callers."""

import asyncio
import dataclasses
import enum
from dataclasses import dataclass

from poplarrun.dispatch import SaidNotRun, SendDecision
from poplarrun.placement import EndpointState
from poplarrun.routing import InFlightRequest, WarmUpLimit
from standins.brittle_fleet import LINK_DELAY_S, RUN_S, BrittleFleet
from standins.rollout_fleet import CATALOGUE, ENGINES, SERVICE, RolloutHost, make_request

# Fraction of all requests that go to the one host.
FLOOD_FRACTION = 0.9


class SharedBudget(enum.Enum):
    """What the hosts share of each endpoint."""

    NOTHING = "nothing"
    LIMIT = "a named rate limit"
    WARM_UP = "the rate of endpoints that warm up"
    SLOTS = "the slots of brittle endpoints"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a caller's request at its first attempt."""

    at: float
    host: str
    is_served: bool


class FloodFleet(BrittleFleet):
    """Hosts before endpoints that they share by rates or slots.

    Attributes
    ----------
    flooded : RolloutHost, optional
        The host that gets most requests; None if all get as many.
    outcomes : list of Outcome
        All requests that have ended.
    arrivals : dict of str to list of float
        When requests reached each endpoint, by instance id.
    """

    def __init__(
        self,
        seed: int,
        hosts: int,
        endpoints: int,
        slots: int,
        budget: SharedBudget,
        rate_per_s: float = 0.0,
    ) -> None:
        super().__init__(seed, hosts, "abc", endpoints, slots)
        self.budget = budget
        self.rate_per_s = rate_per_s
        self.flooded: RolloutHost | None = None
        self.outcomes: list[Outcome] = []
        self.arrivals: dict[str, list[float]] = {
            each.record.instance_id: [] for each in self.endpoints
        }
        if budget is SharedBudget.SLOTS:
            self.set_tolerated(3)
            self.set_waiting_room(0)
        if budget is SharedBudget.WARM_UP:
            self._warm_up()

    def _warm_up(self) -> None:
        limit = WarmUpLimit(self.rate_per_s, 600.0)
        service = dataclasses.replace(ENGINES, warm_up=limit)
        catalogue = dataclasses.replace(CATALOGUE, version=2, services={SERVICE: service})
        records = [dataclasses.replace(each.record, warm_up_s=600.0) for each in self.endpoints]
        for host in self.hosts:
            host.config_view.apply_catalogue(catalogue)
            host.placement.update_endpoints(records)

    async def run_steady_callers(self, requests_per_s: float, seconds: float) -> None:
        """Send requests to hosts for some time, most of them to the flooded one."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            host = self.random.choice(self.hosts)
            if self.flooded is not None and self.random.random() < FLOOD_FRACTION:
                host = self.flooded
            self._request_count += 1
            self._start(self._serve(host, self._request_count))

    def served_fraction(self, since: float, until: float) -> float:
        """Return the fraction of the requests that were served, of those that came in a time."""
        found = [each for each in self.outcomes if since <= each.at < until]
        return sum(each.is_served for each in found) / len(found)

    def count_most_arrivals(self, window_s: float) -> int:
        """Return the most requests that reached one endpoint in any window."""
        most = 0
        for times in self.arrivals.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > window_s:
                    first += 1
                most = max(most, last - first + 1)
        return most

    async def _serve(self, host: RolloutHost, number: int) -> None:
        arrived_at = self.now
        work = host.dispatch.admit(make_request(f"session-{number}", number), self.now)
        assert isinstance(work, InFlightRequest), work
        is_served = False
        while True:
            decision = host.dispatch.choose_endpoint(work, self.now)
            if not isinstance(decision, SendDecision):
                break
            served = await self._try_endpoint(host, work, decision)
            if served is not None:
                is_served = served
                break
        self.outcomes.append(Outcome(arrived_at, host.address, is_served))

    async def _try_endpoint(
        self, host: RolloutHost, work: InFlightRequest, decision: SendDecision
    ) -> bool | None:
        """Send once; return whether it was served, None if another endpoint is to be tried."""
        state: EndpointState = decision.estimate.endpoint
        endpoint = self._by_id[state.record.instance_id]
        attempt = host.dispatch.record_sent(work, decision, self.now)
        await asyncio.sleep(LINK_DELAY_S)
        self.arrivals[endpoint.record.instance_id].append(self.now)
        if endpoint.running >= endpoint.record.slots + endpoint.waiting_room:
            endpoint.reject(self.now)
            await asyncio.sleep(LINK_DELAY_S)
            host.dispatch.record_brittle(attempt, endpoint.tolerated, self.now)
            failure = SaidNotRun(503)
            refusal = host.dispatch.handle_failure(work, state, attempt, failure, self.now)
            return None if refusal is None else False
        endpoint.running += 1
        await asyncio.sleep(RUN_S)
        endpoint.running -= 1
        endpoint.served += 1
        host.dispatch.record_brittle(attempt, endpoint.tolerated, self.now)
        if self.budget is SharedBudget.LIMIT:
            host.dispatch.record_rate_limit(attempt, self.rate_per_s, True, self.now)
        host.dispatch.record_first_event(work, attempt, self.now)
        host.dispatch.record_completed(work, attempt, self.now)
        return True
