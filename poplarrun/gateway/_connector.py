"""Connections to endpoints, over this host's own links or through a peer."""

import asyncio
import functools
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from poplarrun.logging import events, write_event
from poplarrun.metrics import Metrics
from poplarrun.paths import (
    ENDPOINT_REASONS,
    Decline,
    DeclineReason,
    Helper,
    HelperChoice,
    PathTable,
)
from poplarrun.peers import PeerTable
from poplarrun.placement import EndpointRecord, Placement, group_of
from poplarrun.relays import (
    EndpointConnection,
    OpenRelay,
    RelayFailed,
    Tunnel,
    Way,
    connect_first,
    open_tunnel,
)
from poplarrun.transport import (
    ConnectFailed,
    ConnectionPool,
    seconds_since_boot,
)

# Longest wait for a connection over the own links. The round trip between zones takes some 10 ms; a
# lost SYN packet is repeated only after a second.
CONNECT_TIMEOUT_S = 0.4
# How long one way to connect is waited for before the next one is tried beside it.
STAGGER_S = 0.1
# Longest wait for a peer: the peer's own attempt, and the way to it.
RELAY_TIMEOUT_S = 0.4
HELPER_CONNECT_TIMEOUT_S = 0.3
# Peers that are asked for one connection.
MAX_HELPERS = 4
MILLISECONDS_PER_S = 1000.0


class EndpointWithheld(ConnectFailed):
    """Peers reach the endpoint and may send it nothing, and this host doesn't reach it."""


@dataclass(slots=True)
class _Opening:
    """One search for a connection.

    Attributes
    ----------
    tried : list of Helper
        Peers that were asked.
    withheld_by : str
        Peer that may send the endpoint nothing; empty for none. Others are not asked then.
    """

    record: EndpointRecord
    request_id: str
    tried: list[Helper] = field(default_factory=list)
    withheld_by: str = ""


class EndpointConnector:
    """Opens connections to endpoints and learns which paths are lost.

    Parameters
    ----------
    relay_port : int
        Port at which all hosts relay connections; 0 if they don't.
    open_tunnel : callable
        Opens a connection through a peer.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        placement: Placement,
        peer_table: PeerTable,
        relay_port: int,
        metrics: Metrics,
        open_tunnel: Callable[..., Awaitable[Tunnel]] = open_tunnel,
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._peer_table = peer_table
        self._relay_port = relay_port
        self._metrics = metrics
        self._open_tunnel = open_tunnel
        self._helpers = HelperChoice(peer_table.zone, random.Random())
        self._probes: set[asyncio.Task[None]] = set()

    @property
    def _paths(self) -> PathTable:
        return self._placement.paths

    def acquire_idle(self, record: EndpointRecord) -> EndpointConnection | None:
        """Return an idle connection to an endpoint, unless the path to it is lost."""
        now = seconds_since_boot()
        if self._paths.is_lost(record.instance_id, group_of(record), now):
            return None
        idle = self._pool.acquire_idle(record.address, record.instance_id)
        return None if idle is None else EndpointConnection(idle)

    async def open(self, record: EndpointRecord, request_id: str) -> EndpointConnection:
        """Open a new connection to an endpoint, through a peer if this host doesn't reach it.

        Raises
        ------
        EndpointWithheld
            When this host doesn't connect, and a peer that does may send the endpoint nothing.
        ConnectFailed
            When neither this host nor a peer connects in time.
        """
        opening = _Opening(record, request_id)
        is_lost = self._paths.is_lost(record.instance_id, group_of(record), seconds_since_boot())
        if is_lost:
            self._probe(record)
        own: list[Way] = [functools.partial(self._connect, record)]
        relays = self._relay_ways(opening)
        ways = itertools.chain(relays, own) if is_lost else itertools.chain(own, relays)
        try:
            found = await connect_first(ways, STAGGER_S)
        except ConnectFailed as error:
            if opening.withheld_by:
                self._record_lost(record, opening.withheld_by)
                raise EndpointWithheld(str(error)) from error
            self._paths.record_failed(record.instance_id, seconds_since_boot())
            raise
        if found.helper:
            self._metrics.count_event("relayed")
            self._retract_failures(record)
            if not is_lost:
                self._record_lost(record, found.helper)
        return found

    async def _connect(self, record: EndpointRecord) -> EndpointConnection:
        connection = await self._pool.open(record.address, CONNECT_TIMEOUT_S)
        now = seconds_since_boot()
        if self._paths.record_connected(record.instance_id, group_of(record), now):
            self._record_regained(record)
        return EndpointConnection(connection)

    def _relay_ways(self, opening: _Opening) -> Iterator[Way]:
        """Yield one way after the other through a peer; each peer is chosen when it is needed."""
        service = opening.record.service
        while self._relay_port and len(opening.tried) < MAX_HELPERS and not opening.withheld_by:
            now = seconds_since_boot()
            peers = self._peer_table.alive_addresses(now)
            helper = self._helpers.choose(peers, service, opening.tried, now)
            if helper is None:
                return
            opening.tried.append(helper)
            yield functools.partial(self._open_through, helper, opening)

    async def _open_through(self, helper: Helper, opening: _Opening) -> EndpointConnection:
        started_at = seconds_since_boot()
        record, request_id = opening.record, opening.request_id
        request = OpenRelay(
            self._peer_table.address,
            request_id,
            record.instance_id,
            record.started_ms,
            int(HELPER_CONNECT_TIMEOUT_S * MILLISECONDS_PER_S),
            wants_taken=True,
        )
        host = helper.address.rpartition(":")[0]
        address = f"{host}:{self._relay_port}"
        try:
            tunnel = await self._open_tunnel(address, request, record.address, RELAY_TIMEOUT_S)
        except RelayFailed as error:
            if error.decline.reason in ENDPOINT_REASONS:
                opening.withheld_by = helper.address
                self._record_withheld(helper, record, error.decline)
            self._record_declined(helper, record, request_id, error.decline.reason)
            raise
        now = seconds_since_boot()
        self._helpers.record_opened(helper, record.service, tunnel.load, now - started_at, now)
        return EndpointConnection(tunnel.connection, helper.address)

    def _probe(self, record: EndpointRecord) -> None:
        """Try a lost path beside the request, so that no caller waits for it."""
        if not self._paths.take_probe(group_of(record), seconds_since_boot()):
            return
        task = asyncio.get_running_loop().create_task(self._run_probe(record))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _run_probe(self, record: EndpointRecord) -> None:
        try:
            connection = await self._pool.open(record.address, CONNECT_TIMEOUT_S)
        except ConnectFailed:
            return
        connection.abort()
        now = seconds_since_boot()
        if self._paths.record_probed(record.instance_id, group_of(record), now):
            self._record_regained(record)

    def _retract_failures(self, record: EndpointRecord) -> None:
        endpoint = self._placement.find(record.instance_id)
        if endpoint is not None:
            endpoint.retract_unreached()

    def _record_lost(self, record: EndpointRecord, helper: str) -> None:
        """Record that a peer connected where the own links did not, or not as soon."""
        now = seconds_since_boot()
        if self._paths.record_relayed(record.instance_id, group_of(record), now):
            self._pool.close_idle(record.address, record.instance_id)
            write_event(events.PathLost(record.instance_id, record.service, record.zone, helper))

    def _record_regained(self, record: EndpointRecord) -> None:
        write_event(events.PathRegained(record.instance_id, record.service, record.zone))

    def _record_withheld(self, helper: Helper, record: EndpointRecord, decline: Decline) -> None:
        """Apply an endpoint's demand for which a peer relays nothing to it."""
        now = seconds_since_boot()
        endpoint = self._placement.find(record.instance_id)
        if decline.reason is DeclineReason.LEAVING:
            if self._placement.leaving.record(record.instance_id, record.started_ms, now):
                write_event(events.LeavingAnnounced(record.instance_id, helper.address))
        elif endpoint is not None:
            self._placement.record_hold_off(endpoint, decline.retry_after_s, now, is_of_peer=True)

    def _record_declined(
        self, helper: Helper, record: EndpointRecord, request_id: str, reason: DeclineReason
    ) -> None:
        self._metrics.count_event(f"relay_declined_{reason.value}")
        now = seconds_since_boot()
        self._helpers.record_declined(helper, record.service, reason, now)
        write_event(
            events.RelayDeclined(request_id, record.instance_id, helper.address, reason.value)
        )
