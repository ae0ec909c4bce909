"""Simulation in virtual time of hosts whose requests reach resting endpoints through helpers."""

import asyncio

from poplarrun.gateway import EndpointWithheld
from poplarrun.placement import EndpointRecord
from poplarrun.relays import AnswerHead, OpenRelay
from poplarrun.transport import ConnectFailed
from standins.hold_off_fleet import Arrival
from standins.path_fleet import LINK_DELAY_S, PathFleet, PathHost
from standins.rollout_fleet import ENGINES

MAX_SENDS = 5


class HoldOffPathFleet(PathFleet):
    """Hosts, some of them cut off, before endpoints of which some reject all requests.

    Attributes
    ----------
    resting : set of str
        Endpoints that reject all requests and ask for a rest, by instance id.
    hold_off_s : float
        The rest that they ask for.
    arrivals : list of Arrival
        All requests that reached an endpoint, with the host whose connection it saw.
    withheld : int
        Connections that were opened or asked for and not used, because of a demand.
    unserved : int
        Requests that no endpoint served.
    """

    def __init__(self, seed: int, hosts: int, endpoints: int) -> None:
        super().__init__(seed, hosts, endpoints)
        self.resting: set[str] = set()
        self.hold_off_s = 0.0
        self.arrivals: list[Arrival] = []
        self.withheld = 0
        self.served = 0
        self.unserved = 0
        self._request_count = 0

    async def _serve(self, host: PathHost) -> None:
        self._request_count += 1
        request_id = f"request-{self._request_count}"
        for _ in range(MAX_SENDS):
            usable = [each for each in self.records if self._may_send(host, each)]
            if not usable:
                break
            if await self._try_endpoint(host, self.random.choice(usable), request_id):
                self.served += 1
                return
        self.unserved += 1

    def _may_send(self, host: PathHost, record: EndpointRecord) -> bool:
        endpoint = host.placement.find(record.instance_id)
        return endpoint is not None and host.placement.may_send(endpoint, ENGINES, self.now)

    async def _try_endpoint(self, host: PathHost, record: EndpointRecord, request_id: str) -> bool:
        try:
            found = await host.connector.open(record, request_id)
        except EndpointWithheld:
            self.withheld += 1
            return False
        except ConnectFailed:
            return False
        request = OpenRelay(
            host.peer_table.address, request_id, record.instance_id, record.started_ms, 300
        )
        helper = self.by_ip.get(found.helper.rpartition(":")[0])
        is_withheld = helper is not None and helper.desk.check(request) is not None
        if is_withheld or not self._may_send(host, record):
            self.withheld += 1
            return False
        await asyncio.sleep(LINK_DELAY_S)
        return await self._answer(host, helper, record, request)

    async def _answer(
        self, host: PathHost, helper: PathHost | None, record: EndpointRecord, request: OpenRelay
    ) -> bool:
        is_resting = record.instance_id in self.resting
        hold_off_s = self.hold_off_s if is_resting else 0.0
        seen = host if helper is None else helper
        self.arrivals.append(Arrival(self.now, seen.ip, record.instance_id, hold_off_s))
        await asyncio.sleep(LINK_DELAY_S)
        if not is_resting:
            return True
        endpoint = host.placement.find(record.instance_id)
        if endpoint is not None:
            host.placement.record_hold_off(endpoint, hold_off_s, self.now)
        if helper is not None:
            headers = ((b"X-Not-Executed", b"1"), (b"Retry-After", str(hold_off_s).encode()))
            helper.desk.record_answer(request, AnswerHead(503, headers))
        return False
