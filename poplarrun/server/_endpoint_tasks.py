"""The tasks of the endpoints part: host list, load reports, cache events."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.clients import Engine, EngineFailed, HostKind, HostList, ListUnavailable, LoadReport
from poplarrun.endpoints import Endpoint, EndpointTable, LoadSharing
from poplarrun.hosts import ListedHostTable, Peers
from poplarrun.metrics import Metrics

FIRST_REPORTS_BOUND_S = 2.0

InThread = Callable[..., Awaitable[Any]]


class EndpointTasks:
    """Keeps a host's knowledge of the endpoints; its steps run on the loop.

    Parameters
    ----------
    table : EndpointTable
        The endpoints that the host knows.
    peers : Peers
        The other hosts.
    host_list, engine
        Adapters to the platform and to the engines.
    metrics : Metrics
        Counters of failures.
    in_thread : callable
        Runs a blocking call on a thread and awaits it.
    clock : callable
        Seconds, monotonic.

    Attributes
    ----------
    list_seen_at : float, optional
        When the host list first answered.
    entry_hosts : ListedHosts
        The entry hosts of the list.
    """

    def __init__(
        self,
        table: EndpointTable,
        peers: Peers,
        host_list: HostList,
        engine: Engine,
        metrics: Metrics,
        in_thread: InThread,
        clock: Callable[[], float],
    ) -> None:
        self.list_seen_at: float | None = None
        self.entry_hosts = ListedHostTable(metrics.count_event)
        self._peers = peers
        self._endpoints = table
        self._sharing = LoadSharing(peers, table)
        self._host_list = host_list
        self._engine = engine
        self._metrics = metrics
        self._in_thread = in_thread
        self._clock = clock

    def knows_engines(self) -> bool:
        """Tell whether the engines told what they have loaded, or had the time to.

        Before that a fresh host would refuse requests that others can serve.
        """
        if self.list_seen_at is None:
            return False
        if self._clock() - self.list_seen_at > FIRST_REPORTS_BOUND_S:
            return True
        engines = [e for e in self._endpoints.list_endpoints() if e.kind is HostKind.MODEL_ENGINE]
        return all(e.measured_at > -math.inf or e.consecutive_failures > 0 for e in engines)

    async def follow_host_list(self) -> None:
        """Take over the platform's host list."""
        match await self._in_thread(self._host_list.read):
            case ListUnavailable():
                self._metrics.count_event("host_list_failed")
            case listed:
                self._endpoints.apply_host_list(listed, self._clock())
                self.entry_hosts.apply_list(listed, self._peers.zones(), self._clock())
                self.list_seen_at = self.list_seen_at or self._clock()

    async def poll_loads(self) -> None:
        """Ask the engines that fall to this host for their loads."""
        self._sharing.update_assignment()
        polled = self._sharing.list_engines_to_poll(self._clock())
        await asyncio.gather(*(self._poll_load(engine) for engine in polled))

    async def _poll_load(self, endpoint: Endpoint) -> None:
        began = self._clock()
        match await self._in_thread(self._engine.fetch_load, endpoint.address):
            case LoadReport() as report:
                now = self._clock()
                self._endpoints.observe_link_latency(endpoint.zone, now - began)
                self._endpoints.apply_report(endpoint.name, report, now)
            case EngineFailed(reason=reason):
                self._metrics.count_event("load_report_failed")
                self._endpoints.record_failure(endpoint.name, self._clock(), reason)

    async def share_loads(self) -> None:
        """Pass on the loads polled here, and take in what others passed on."""
        now = self._clock()
        self._sharing.publish(now)
        self._sharing.apply_published(now)

    async def poll_cache_events(self) -> None:
        """Ask the engines that this host follows for their cache events."""
        followed = self._sharing.list_event_sources()
        await asyncio.gather(*(self._poll_events(engine) for engine in followed))

    async def _poll_events(self, endpoint: Endpoint) -> None:
        after = self._endpoints.prefixes.last_event_number(endpoint.name)
        match await self._in_thread(self._engine.list_cache_events, endpoint.address, after):
            case EngineFailed():
                self._metrics.count_event("cache_events_failed")
            case events:
                self._endpoints.apply_cache_events(endpoint.name, events, self._clock())
