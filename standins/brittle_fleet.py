"""Simulation in virtual time of hosts before endpoints that fall over when they reject too much."""

import asyncio
from collections import deque

from poplarrun.dispatch import SaidNotRun, SendDecision
from poplarrun.placement import EndpointRecord
from poplarrun.routing import InFlightRequest
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import SERVICE, RolloutHost, make_request

LINK_DELAY_S = 0.005
RUN_S = 0.1
DOWN_S = 4.0
REJECTION_WINDOW_S = 1.0


class BrittleEndpoint:
    """An endpoint with a few slots.

    Attributes
    ----------
    waiting_room : int
        Requests that it lets wait for a slot.
    falls : int
        How often it fell over.
    """

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.waiting_room = record.slots
        self.tolerated: int | None = None
        self.running = 0
        self.served = 0
        self.falls = 0
        self.down_until = float("-inf")
        self._rejected_at: deque[float] = deque()

    def reject(self, now: float) -> None:
        """Reject a request, and fall over if these were too many."""
        self._rejected_at.append(now)
        while now - self._rejected_at[0] > REJECTION_WINDOW_S:
            self._rejected_at.popleft()
        if self.tolerated is not None and len(self._rejected_at) > self.tolerated:
            self.falls += 1
            self.down_until = now + DOWN_S
            self._rejected_at.clear()


class BrittleFleet(PeerFleet):
    """Hosts whose callers want more than the endpoints can serve.

    Attributes
    ----------
    endpoints : list of BrittleEndpoint
        The endpoints of the one service.
    refused : int
        Requests that a host refused without a send.
    """

    def __init__(
        self, seed: int, hosts: int, zones: str, endpoints: int, slots: int, zone: str = ""
    ) -> None:
        super().__init__(seed, hosts, zones)
        records = [
            EndpointRecord(
                f"e{number}",
                SERVICE,
                f"e{number}:1",
                zone or zones[number % len(zones)],
                "v1",
                slots,
                False,
            )
            for number in range(endpoints)
        ]
        self.endpoints = [BrittleEndpoint(record) for record in records]
        self.refused = 0
        self._by_id = {each.record.instance_id: each for each in self.endpoints}
        for host in self.hosts:
            host.placement.update_endpoints(records)

    def set_tolerated(self, tolerated: int | None) -> None:
        """Let the endpoints say how many rejections a second they bear."""
        for endpoint in self.endpoints:
            endpoint.tolerated = tolerated

    def set_waiting_room(self, requests: int) -> None:
        """Change how many requests each endpoint lets wait."""
        for endpoint in self.endpoints:
            endpoint.waiting_room = requests

    async def run_callers(self, requests_per_s: float, seconds: float) -> None:
        """Send requests to random hosts for some time, twice as many in every other second."""
        until = self.now + seconds
        while self.now < until:
            rate = requests_per_s * (1.5 if int(self.now) % 2 else 0.5)
            await asyncio.sleep(self.random.expovariate(rate))
            self._request_count += 1
            self._start(self._serve(self.random.choice(self.hosts), self._request_count))

    async def _serve(self, host: RolloutHost, number: int) -> None:
        work = host.dispatch.admit(make_request(f"session-{number}", number), self.now)
        assert isinstance(work, InFlightRequest), work
        while True:
            decision = host.dispatch.choose_endpoint(work, self.now)
            if not isinstance(decision, SendDecision):
                self.refused += work.sends == 0
                return
            if await self._send(host, work, decision):
                return

    async def _send(self, host: RolloutHost, work: InFlightRequest, decision: SendDecision) -> bool:
        """Send once; return whether the request has ended."""
        state = decision.estimate.endpoint
        endpoint = self._by_id[state.record.instance_id]
        attempt = host.dispatch.record_sent(work, decision, self.now)
        await asyncio.sleep(LINK_DELAY_S)
        is_full = endpoint.running >= endpoint.record.slots + endpoint.waiting_room
        if self.now < endpoint.down_until or is_full:
            if self.now >= endpoint.down_until:
                endpoint.reject(self.now)
            await asyncio.sleep(LINK_DELAY_S)
            host.dispatch.record_brittle(attempt, endpoint.tolerated, self.now)
            failure = SaidNotRun(503)
            return host.dispatch.handle_failure(work, state, attempt, failure, self.now) is not None
        endpoint.running += 1
        # Those beyond the slots wait for one to become free.
        await asyncio.sleep(RUN_S * max(1.0, endpoint.running / endpoint.record.slots))
        endpoint.running -= 1
        endpoint.served += 1
        host.dispatch.record_brittle(attempt, endpoint.tolerated, self.now)
        host.dispatch.record_first_event(work, attempt, self.now)
        host.dispatch.record_completed(work, attempt, self.now)
        return True
