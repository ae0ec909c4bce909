"""Periodic tasks that keep the endpoint table up to date."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

from poplarrun.clients import Engine, EngineFailed, HostKind, HostList, ListUnavailable, LoadReport
from poplarrun.endpoints import Endpoint, EndpointTable, LoadSharing
from poplarrun.hosts import ListedHostTable, Peers
from poplarrun.metrics import Metrics

FIRST_REPORTS_TIMEOUT_S = 2.0

InThread = Callable[..., Awaitable[Any]]


class EndpointTasks:
    """Reads the host list, load reports and cache events; its steps run on the event loop.

    Parameters
    ----------
    table : EndpointTable
        The table to update.
    peers : Peers
        The other hosts.
    host_list, engine
        Adapters to the platform and to the engines.
    metrics : Metrics
        Counters of failures.
    in_thread : callable
        Runs a blocking call on a thread and awaits it.
    clock : callable
        Monotonic clock, in seconds.

    Attributes
    ----------
    host_list_read_at : float, optional
        When the host list was first read.
    entry_hosts : ListedHostTable
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
        self.host_list_read_at: float | None = None
        self.entry_hosts = ListedHostTable(metrics.count_event)
        self._peers = peers
        self._endpoints = table
        self._sharing = LoadSharing(peers, table)
        self._host_list = host_list
        self._engine = engine
        self._metrics = metrics
        self._in_thread = in_thread
        self._clock = clock

    def has_engine_reports(self) -> bool:
        """Return whether all engines reported their loaded versions, or had the time to.

        Before that a new host would refuse requests that other hosts can serve.
        """
        if self.host_list_read_at is None:
            return False
        if self._clock() - self.host_list_read_at > FIRST_REPORTS_TIMEOUT_S:
            return True
        engines = [e for e in self._endpoints.list_endpoints() if e.kind is HostKind.MODEL_ENGINE]
        return all(e.measured_at > -math.inf or e.consecutive_failures > 0 for e in engines)

    async def update_host_list(self) -> None:
        """Read the platform's host list and apply it."""
        match await self._in_thread(self._host_list.read):
            case ListUnavailable():
                self._metrics.count_event("host_list_failed")
            case listed:
                self._endpoints.apply_host_list(listed, self._clock())
                self.entry_hosts.apply_list(listed, self._peers.zones(), self._clock())
                self.host_list_read_at = self.host_list_read_at or self._clock()

    async def poll_loads(self) -> None:
        """Request the loads of the engines that this host is responsible for."""
        self._sharing.update_assignment()
        polled_engines = self._sharing.list_engines_to_poll(self._clock())
        await asyncio.gather(*(self._poll_load(engine) for engine in polled_engines))

    async def _poll_load(self, endpoint: Endpoint) -> None:
        started_at = self._clock()
        match await self._in_thread(self._engine.fetch_load, endpoint.address):
            case LoadReport() as report:
                now = self._clock()
                self._endpoints.observe_link_latency(endpoint.zone, now - started_at)
                self._endpoints.apply_report(endpoint.name, report, now)
            case EngineFailed(reason=reason):
                self._metrics.count_event("load_report_failed")
                self._endpoints.record_failure(endpoint.name, self._clock(), reason)

    async def share_loads(self) -> None:
        """Publish the loads polled by this host, and apply those published by others."""
        now = self._clock()
        self._sharing.publish(now)
        self._sharing.apply_published(now)

    async def poll_cache_events(self) -> None:
        """Request the cache events of the engines that this host follows."""
        followed_engines = self._sharing.list_event_sources()
        await asyncio.gather(*(self._poll_events(engine) for engine in followed_engines))

    async def _poll_events(self, endpoint: Endpoint) -> None:
        after = self._endpoints.prefixes.last_event_number(endpoint.name)
        match await self._in_thread(self._engine.list_cache_events, endpoint.address, after):
            case EngineFailed():
                self._metrics.count_event("cache_events_failed")
            case events:
                self._endpoints.apply_cache_events(endpoint.name, events, self._clock())
