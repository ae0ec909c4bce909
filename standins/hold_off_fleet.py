"""Simulation in virtual time of hosts before endpoints that reject all and ask for a rest."""

import asyncio
from dataclasses import dataclass

from poplarrun.dispatch import SaidNotRun, SendDecision
from poplarrun.errors import Refusal
from poplarrun.routing import InFlightRequest
from poplarrun.shares import HostSighting
from standins.brittle_fleet import LINK_DELAY_S, RUN_S, BrittleFleet
from standins.rollout_fleet import RolloutHost, make_request

INTRODUCE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes
    ----------
    host : str
        The host whose connection brought it.
    hold_off_s : float
        The rest that the endpoint asked that host for; 0 for none.
    """

    at: float
    host: str
    instance_id: str
    hold_off_s: float


class HoldOffFleet(BrittleFleet):
    """Hosts that know each other, without messages between them, and callers that come back.

    Attributes
    ----------
    resting : dict of str to float
        Until when an endpoint rejects all requests, by instance id.
    hold_off_s : float
        The rest that such an endpoint asks for, and one whose waiting room is full.
    arrivals : list of Arrival
        All requests that reached an endpoint.
    refusals : list of (float, Refusal)
        All refusals, with their times.
    returns : list of float
        When refused callers came back.
    """

    def __init__(self, seed: int, hosts: int, endpoints: int, slots: int) -> None:
        super().__init__(seed, hosts, "abc", endpoints, slots)
        self.resting: dict[str, float] = {}
        self.hold_off_s = 0.0
        self.arrivals: list[Arrival] = []
        self.refusals: list[tuple[float, Refusal]] = []
        self.returns: list[float] = []
        self.served = 0
        for host in self.hosts:
            host.placement.shares.start(host.address, host.zone, self.now)
        self._start(self._introduce())

    async def _introduce(self) -> None:
        """Let all hosts know for ever that all are alive."""
        while True:
            now = self.now
            sightings = [HostSighting(each.address, each.zone, True, now) for each in self.hosts]
            for host in self.hosts:
                host.placement.shares.update_hosts(sightings, self.now)
            await asyncio.sleep(INTRODUCE_INTERVAL_S)

    def rest(self, endpoints: int, seconds: float, hold_off_s: float) -> None:
        """Let the first endpoints reject all requests for some time."""
        self.hold_off_s = hold_off_s
        for each in self.endpoints[:endpoints]:
            self.resting[each.record.instance_id] = self.now + seconds

    async def _serve(self, host: RolloutHost, number: int) -> None:
        """Serve one caller, who comes back once at another host after a refusal."""
        refusal = await self._try_host(host, number)
        if refusal is None:
            return
        self.refusals.append((self.now, refusal))
        await asyncio.sleep(refusal.retry_after_s or 0.0)
        self.returns.append(self.now)
        self._request_count += 1
        refusal = await self._try_host(self.random.choice(self.hosts), self._request_count)
        if refusal is not None:
            self.refusals.append((self.now, refusal))

    async def _try_host(self, host: RolloutHost, number: int) -> Refusal | None:
        work = host.dispatch.admit(make_request(f"session-{number}", number), self.now)
        assert isinstance(work, InFlightRequest), work
        while True:
            decision = host.dispatch.choose_endpoint(work, self.now)
            if not isinstance(decision, SendDecision):
                return decision
            is_ended, refusal = await self._try_endpoint(host, work, decision)
            if is_ended:
                return refusal

    async def _try_endpoint(
        self, host: RolloutHost, work: InFlightRequest, decision: SendDecision
    ) -> tuple[bool, Refusal | None]:
        """Send once; return whether the request has ended, and the refusal if it has not run."""
        state = decision.estimate.endpoint
        instance_id = state.record.instance_id
        attempt = host.dispatch.record_sent(work, decision, self.now)
        await asyncio.sleep(LINK_DELAY_S)
        endpoint = self._by_id[instance_id]
        is_full = endpoint.running >= endpoint.record.slots + endpoint.waiting_room
        is_resting = is_full or self.now < self.resting.get(instance_id, 0.0)
        hold_off_s = self.hold_off_s if is_resting else 0.0
        self.arrivals.append(Arrival(self.now, host.address, instance_id, hold_off_s))
        if is_resting:
            await asyncio.sleep(LINK_DELAY_S)
            host.dispatch.record_hold_off(attempt, hold_off_s, self.now)
            refusal = host.dispatch.handle_failure(work, state, attempt, SaidNotRun(503), self.now)
            return refusal is not None, refusal
        endpoint.running += 1
        await asyncio.sleep(RUN_S * max(1.0, endpoint.running / endpoint.record.slots))
        endpoint.running -= 1
        host.dispatch.record_first_event(work, attempt, self.now)
        host.dispatch.record_completed(work, attempt, self.now)
        self.served += 1
        return True, None
