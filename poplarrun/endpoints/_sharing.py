"""Who polls which endpoint, and how the reports spread between hosts."""

import math
from collections.abc import Sequence

import msgspec

from poplarrun.clients import HostKind
from poplarrun.contracts import VersionId
from poplarrun.endpoints._endpoint import Endpoint
from poplarrun.endpoints._ownership import assign_endpoints
from poplarrun.endpoints._table import EndpointTable
from poplarrun.hosts import Peers, SummaryTopic

# Polls of endpoints that another host usually polls: those heard of least
# recently, so that no endpoint stays unknown when its usual host is silent.
MAX_UNOWNED_POLLS = 1
# Engines of the own zone whose cache events this host follows.
MAX_EVENT_SOURCES = 8


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint's load, as the host that polls it passes it on."""

    name: str
    versions: list[str]
    requests: int
    capacity: int
    age_s: float


class VersionLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests and places of all endpoints of a version that were summed up."""

    requests: int
    capacity: int


class LoadSummary(msgspec.Struct, array_like=True):
    """What one host says of the endpoints that it polls, or the sum over a zone.

    Attributes
    ----------
    number : int
        Counts the host's summaries.
    endpoints : list of EndpointLoad
        Left out of the sum over a zone, so that it stays small.
    versions : dict of str to VersionLoad
        Sums by version.
    """

    number: int
    endpoints: list[EndpointLoad] = []
    versions: dict[str, VersionLoad] = {}


_Fleet = tuple[tuple[str, ...], tuple[str, ...]]
_decoder = msgspec.msgpack.Decoder(LoadSummary)


def _decode(payload: bytes) -> LoadSummary:
    """Read a summary; bytes that are none are an empty one."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return LoadSummary(0)


def merge_summaries(payloads: Sequence[bytes]) -> bytes:
    """Sum up summaries by version."""
    versions: dict[str, VersionLoad] = {}
    number = 0
    for payload in payloads:
        summary = _decode(payload)
        number = max(number, summary.number)
        for version, load in summary.versions.items():
            sum_so_far = versions.get(version, VersionLoad(0, 0))
            versions[version] = VersionLoad(
                sum_so_far.requests + load.requests, sum_so_far.capacity + load.capacity
            )
    return msgspec.msgpack.encode(LoadSummary(number, [], versions))


LOAD_TOPIC = SummaryTopic("endpoint-load", merge_summaries)


class LoadSharing:
    """The part of one host in the polling of endpoints.

    Each endpoint is assigned to a host of its own zone, which polls it; the
    others hear of it in that host's summary. A fleet of hosts that each
    polled every endpoint would spend its control bytes on polls alone.
    """

    def __init__(self, peers: Peers, table: EndpointTable) -> None:
        self._peers = peers
        self._table = table
        self._number = 0
        self._applied_numbers: dict[str, int] = {}
        self._assignments: dict[str, tuple[_Fleet, dict[str, str]]] = {}
        self._last_polled_at: dict[str, float] = {}
        self.zone_loads: dict[str, dict[str, VersionLoad]] = {}

    def list_engines_to_poll(self, now: float) -> list[Endpoint]:
        """Return the engines to poll now."""
        engines = [e for e in self._table.list_endpoints() if _is_engine(e)]
        owned = self.list_owned_engines()
        names = {engine.name for engine in owned}
        others = [engine for engine in engines if engine.name not in names]
        # By the last try too: dead ones, which never answer, would otherwise
        # always be the oldest and keep the rest from being polled.
        others.sort(key=lambda e: max(e.measured_at, self._get_last_poll(e)))
        polled = others[:MAX_UNOWNED_POLLS]
        self._last_polled_at = {e.name: self._get_last_poll(e) for e in others}
        self._last_polled_at.update((engine.name, now) for engine in polled)
        return owned + polled

    def _get_last_poll(self, engine: Endpoint) -> float:
        return self._last_polled_at.get(engine.name, -math.inf)

    def list_owned_engines(self) -> list[Endpoint]:
        """Return the engines that this host usually polls."""
        engines = [e for e in self._table.list_endpoints() if _is_engine(e)]
        owners: dict[str, str] = {}
        for zone in {engine.zone for engine in engines}:
            owners.update(self._get_owners(zone))
        return [engine for engine in engines if owners[engine.name] == self._peers.me.name]

    def list_event_sources(self) -> list[Endpoint]:
        """Return the engines whose cache events this host follows, the assigned ones first."""
        owners = self._get_owners(self._peers.me.zone)
        near = [e for e in self._table.list_endpoints() if e.name in owners]
        near.sort(key=lambda engine: owners[engine.name] != self._peers.me.name)
        return near[:MAX_EVENT_SOURCES]

    def publish(self, now: float) -> None:
        """Pass on the loads of the endpoints that this host polls."""
        self._number += 1
        summary = LoadSummary(self._number)
        for endpoint in self.list_owned_engines():
            if math.isfinite(endpoint.measured_at):
                _add_load(summary, endpoint, now)
        self._peers.publish(LOAD_TOPIC, msgspec.msgpack.encode(summary))

    def apply_published(self, now: float) -> None:
        """Apply what the other hosts passed on since the last time."""
        gathered = self._peers.collect_summaries(LOAD_TOPIC)
        for host, payload in gathered.own_zone.items():
            if host != self._peers.me.name:
                self._apply(host, _decode(payload), now)
        self.zone_loads = {
            zone: _decode(payload).versions for zone, payload in gathered.other_zones.items()
        }

    def _apply(self, host: str, summary: LoadSummary, now: float) -> None:
        # The summary carries ages, not times: clocks of hosts differ. Its age
        # counts from when it was first seen here.
        if self._applied_numbers.get(host) == summary.number:
            return
        self._applied_numbers[host] = summary.number
        for load in summary.endpoints:
            versions = frozenset(VersionId.parse(version) for version in load.versions)
            self._table.apply_load(
                load.name, versions, load.requests, load.capacity, now - load.age_s
            )

    def is_owner(self, endpoint: Endpoint) -> bool:
        """Tell whether this host usually polls an endpoint."""
        owners = self._get_owners(endpoint.zone)
        return owners.get(endpoint.name) == self._peers.me.name

    def update_assignment(self) -> None:
        """Tell the table which endpoints are assigned to this host."""
        zone = self._peers.me.zone
        me = self._peers.me.name
        mine = [name for name, owner in self._get_owners(zone).items() if owner == me]
        self._table.set_owned_endpoints(frozenset(mine))

    def _get_owners(self, zone: str) -> dict[str, str]:
        """Return the owner of each engine of a zone; worked out anew on changes only."""
        engines = tuple(
            e.name for e in self._table.list_endpoints() if _is_engine(e) and e.zone == zone
        )
        hosts = tuple(self._zone_hosts(zone) or [peer.name for peer in self._peers.live()])
        kept = self._assignments.get(zone)
        if kept is None or kept[0] != (engines, hosts):
            kept = self._assignments[zone] = ((engines, hosts), assign_endpoints(engines, hosts))
        return kept[1]

    def _zone_hosts(self, zone: str) -> list[str]:
        return [peer.name for peer in self._peers.live() if peer.zone == zone]


def _is_engine(endpoint: Endpoint) -> bool:
    return endpoint.kind is HostKind.MODEL_ENGINE


def _add_load(summary: LoadSummary, endpoint: Endpoint, now: float) -> None:
    names = sorted(str(version) for version in endpoint.versions)
    requests = int(endpoint.reported_requests)
    age_s = round(now - endpoint.measured_at, 3)
    summary.endpoints.append(EndpointLoad(endpoint.name, names, requests, endpoint.capacity, age_s))
    for name in names:
        before = summary.versions.get(name, VersionLoad(0, 0))
        summary.versions[name] = VersionLoad(
            before.requests + requests, before.capacity + endpoint.capacity
        )
