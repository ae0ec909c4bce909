"""Distribution of endpoint polling among hosts and sharing of the load reports."""

import math
from collections.abc import Sequence

import msgspec

from poplarrun.clients import HostKind
from poplarrun.contracts import VersionId
from poplarrun.endpoints._endpoint import Endpoint
from poplarrun.endpoints._ownership import assign_endpoints
from poplarrun.endpoints._table import EndpointTable
from poplarrun.hosts import Peers, SummaryTopic

# Endpoints of other owners that are polled in each round: those polled or heard of least recently,
# so that an endpoint's load stays known when its owner is silent.
MAX_UNOWNED_POLLS = 1
# Engines of the own zone whose cache events this host receives.
MAX_EVENT_SOURCES = 8


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint, as published by the host that polls it."""

    name: str
    versions: list[str]
    requests: int
    capacity: int
    age_s: float


class VersionLoad(msgspec.Struct, frozen=True, array_like=True):
    """Total requests and batch slots of the endpoints that serve a version."""

    requests: int
    capacity: int


class LoadSummary(msgspec.Struct, array_like=True):
    """The loads published by one host, or their sum over a zone.

    Attributes
    ----------
    number : int
        Sequence number of the host's summary.
    endpoints : list of EndpointLoad
        Empty in the sum over a zone, to keep it small.
    versions : dict of str to VersionLoad
        Totals by version.
    """

    number: int
    endpoints: list[EndpointLoad] = []
    versions: dict[str, VersionLoad] = {}


_AssignmentInput = tuple[tuple[str, ...], tuple[str, ...]]
_decoder = msgspec.msgpack.Decoder(LoadSummary)


def _decode(payload: bytes) -> LoadSummary:
    """Decode a summary; invalid bytes give an empty one."""
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError:
        return LoadSummary(0)


def merge_summaries(payloads: Sequence[bytes]) -> bytes:
    """Add up summaries by version."""
    versions: dict[str, VersionLoad] = {}
    number = 0
    for payload in payloads:
        summary = _decode(payload)
        number = max(number, summary.number)
        for version, load in summary.versions.items():
            total = versions.get(version, VersionLoad(0, 0))
            versions[version] = VersionLoad(
                total.requests + load.requests, total.capacity + load.capacity
            )
    return msgspec.msgpack.encode(LoadSummary(number, [], versions))


LOAD_TOPIC = SummaryTopic("endpoint-load", merge_summaries)


class LoadSharing:
    """Decides which endpoints this host polls, and shares their loads with other hosts.

    Each endpoint is assigned to a host of its own zone, which polls it and publishes its load in a
    summary. If each host polled every endpoint, a large fleet would spend its whole control traffic
    on polls.
    """

    def __init__(self, peers: Peers, table: EndpointTable) -> None:
        self._peers = peers
        self._table = table
        self._number = 0
        self._applied_numbers: dict[str, int] = {}
        self._assignments: dict[str, tuple[_AssignmentInput, dict[str, str]]] = {}
        self._last_polled_at: dict[str, float] = {}
        self.zone_loads: dict[str, dict[str, VersionLoad]] = {}

    def list_engines_to_poll(self, now: float) -> list[Endpoint]:
        """Return the engines to poll in this round."""
        engines = [e for e in self._table.list_endpoints() if _is_engine(e)]
        owned = self.list_owned_engines()
        names = {engine.name for engine in owned}
        others = [engine for engine in engines if engine.name not in names]
        # The last poll counts too: an endpoint that is down never reports, would always be the
        # oldest and keep the others from being polled.
        others.sort(key=lambda e: max(e.measured_at, self._get_last_poll(e)))
        polled = others[:MAX_UNOWNED_POLLS]
        self._last_polled_at = {e.name: self._get_last_poll(e) for e in others}
        self._last_polled_at.update((engine.name, now) for engine in polled)
        return owned + polled

    def _get_last_poll(self, engine: Endpoint) -> float:
        return self._last_polled_at.get(engine.name, -math.inf)

    def list_owned_engines(self) -> list[Endpoint]:
        """Return the engines that are assigned to this host."""
        engines = [e for e in self._table.list_endpoints() if _is_engine(e)]
        owners: dict[str, str] = {}
        for zone in {engine.zone for engine in engines}:
            owners.update(self._get_owners(zone))
        return [engine for engine in engines if owners[engine.name] == self._peers.me.name]

    def list_event_sources(self) -> list[Endpoint]:
        """Return the engines whose cache events this host receives, assigned ones first."""
        owners = self._get_owners(self._peers.me.zone)
        engines = [e for e in self._table.list_endpoints() if e.name in owners]
        engines.sort(key=lambda engine: owners[engine.name] != self._peers.me.name)
        return engines[:MAX_EVENT_SOURCES]

    def publish(self, now: float) -> None:
        """Publish the loads of the engines that are assigned to this host."""
        self._number += 1
        summary = LoadSummary(self._number)
        for endpoint in self.list_owned_engines():
            if math.isfinite(endpoint.measured_at):
                _add_load(summary, endpoint, now)
        self._peers.publish(LOAD_TOPIC, msgspec.msgpack.encode(summary))

    def apply_published(self, now: float) -> None:
        """Apply the summaries that other hosts published since the last call."""
        summaries = self._peers.collect_summaries(LOAD_TOPIC)
        for host, payload in summaries.own_zone.items():
            if host != self._peers.me.name:
                self._apply(host, _decode(payload), now)
        self.zone_loads = {
            zone: _decode(payload).versions for zone, payload in summaries.other_zones.items()
        }

    def _apply(self, host: str, summary: LoadSummary, now: float) -> None:
        # A summary carries ages instead of times, because the clocks of hosts differ. An age counts
        # from when the summary was first read here.
        if self._applied_numbers.get(host) == summary.number:
            return
        self._applied_numbers[host] = summary.number
        for load in summary.endpoints:
            versions = frozenset(VersionId.parse(version) for version in load.versions)
            self._table.apply_load(
                load.name, versions, load.requests, load.capacity, now - load.age_s
            )

    def is_owner(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is assigned to this host."""
        owners = self._get_owners(endpoint.zone)
        return owners.get(endpoint.name) == self._peers.me.name

    def update_assignment(self) -> None:
        """Update the endpoint table with the endpoints that are assigned to this host."""
        zone = self._peers.me.zone
        me = self._peers.me.name
        owned = [name for name, owner in self._get_owners(zone).items() if owner == me]
        self._table.set_owned_endpoints(frozenset(owned))

    def _get_owners(self, zone: str) -> dict[str, str]:
        """Return the owner of each engine of a zone; recomputed only on changes."""
        engines = tuple(
            e.name for e in self._table.list_endpoints() if _is_engine(e) and e.zone == zone
        )
        hosts = tuple(self._zone_hosts(zone) or [peer.name for peer in self._peers.live()])
        cached = self._assignments.get(zone)
        if cached is None or cached[0] != (engines, hosts):
            cached = self._assignments[zone] = ((engines, hosts), assign_endpoints(engines, hosts))
        return cached[1]

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
