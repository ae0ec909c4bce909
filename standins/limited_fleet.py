"""Simulation in virtual time of hosts before one endpoint that names a rate limit."""

import asyncio

from poplarrun.dispatch import SendDecision
from poplarrun.placement import EndpointRecord
from poplarrun.routing import InFlightRequest
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import ENDPOINT_SLOTS, SERVICE, RolloutHost, make_request

ENDPOINT = EndpointRecord("limited", SERVICE, "limited:1", "a", "v1", ENDPOINT_SLOTS, False)
ANSWER_DELAY_S = 0.1


class LimitedFleet(PeerFleet):
    """Hosts whose callers all want the one endpoint, which names a limit once it is told to.

    Attributes
    ----------
    rate_limit_per_s : float, optional
        The limit that the endpoint's answers name.
    sends : list of (float, str)
        Time of each send and the host that sent it.
    told_at : dict of str to float
        When a host first passed on an answer that names a limit.
    """

    def __init__(self, seed: int, hosts: int, zones: str) -> None:
        super().__init__(seed, hosts, zones)
        self.rate_limit_per_s: float | None = None
        self.sends: list[tuple[float, str]] = []
        self.told_at: dict[str, float] = {}
        self._paused: set[str] = set()
        for host in self.hosts:
            host.placement.update_endpoints([ENDPOINT])

    async def run_callers(self, requests_per_s: float, seconds: float) -> None:
        """Send requests to random hosts for some time."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            host = self.random.choice(self.hosts)
            if host.address not in self._paused:
                self._request_count += 1
                self._start(self._serve(host, self._request_count))

    async def _serve(self, host: RolloutHost, number: int) -> None:
        work = host.dispatch.admit(make_request(f"session-{number}", number), self.now)
        assert isinstance(work, InFlightRequest), work
        decision = host.dispatch.choose_endpoint(work, self.now)
        if not isinstance(decision, SendDecision):
            return
        attempt = host.dispatch.record_sent(work, decision, self.now)
        self.sends.append((self.now, host.address))
        rate_limit_per_s = self.rate_limit_per_s
        await asyncio.sleep(ANSWER_DELAY_S)
        host.dispatch.record_rate_limit(attempt, rate_limit_per_s, True, self.now)
        host.dispatch.record_first_event(work, attempt, self.now)
        host.dispatch.record_completed(work, attempt, self.now)
        if rate_limit_per_s is not None:
            self.told_at.setdefault(host.address, self.now)

    def restart(self, host: RolloutHost) -> None:
        """Kill a host and start it again at its address, with nothing of what it knew."""
        super().restart(host)
        self.hosts[-1].placement.update_endpoints([ENDPOINT])

    async def suspend(self, host: RolloutHost, seconds: float) -> None:
        """Suspend a host; messages to it are lost meanwhile."""
        self._paused.add(host.address)
        await super().suspend(host, seconds)
        self._paused.discard(host.address)
