"""The endpoints that a host knows, and the choice among them."""

import random
from collections.abc import Container
from dataclasses import dataclass

from poplarrun.contracts import VersionId
from poplarrun.platform import HostKind, HostState, ListedHost, LoadReport

CHOICES = 2
# A failed endpoint gets nothing for this time, unless all have failed.
FAILURE_PAUSE_S = 1.0
# Extra load that an endpoint of another zone must save, in requests per place.
OTHER_ZONE_PENALTY = 0.25


@dataclass
class Endpoint:
    """A model engine or a plain service, as this host sees it.

    Attributes
    ----------
    name, kind, zone, address, service
        As listed.
    leaving : bool
        It gets no new work.
    versions : frozenset of VersionId
        Versions that it reports as loaded.
    reported : float
        Requests in and before its batch, by its last report.
    capacity : int
        Requests in its batch.
    sent_since : int
        Requests that this host sent since that report was true.
    in_flight : int
        Requests of this host that run there now.
    paused_until : float
        Time before which it is passed over, after a failure.
    """

    name: str
    kind: HostKind
    zone: str
    address: str
    service: str | None = None
    leaving: bool = False
    versions: frozenset[VersionId] = frozenset()
    reported: float = 0.0
    capacity: int = 1
    sent_since: int = 0
    in_flight: int = 0
    paused_until: float = 0.0

    def load(self) -> float:
        """Return the expected load, in requests for each place of the batch."""
        return max(self.in_flight, self.reported + self.sent_since) / self.capacity


class EndpointTable:
    """All endpoints that a host knows.

    Parameters
    ----------
    zone : str
        The host's own availability zone, whose endpoints are nearer.
    source : random.Random
        Random source of the choice.
    """

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._random = source
        self._endpoints: dict[str, Endpoint] = {}

    def all(self) -> list[Endpoint]:
        """Return every endpoint."""
        return list(self._endpoints.values())

    def apply_list(self, listed: tuple[ListedHost, ...]) -> None:
        """Take over a host list: new ones come, gone ones go, states change."""
        kept: dict[str, Endpoint] = {}
        for host in listed:
            if host.kind is HostKind.ENTRY:
                continue
            endpoint = self._endpoints.get(host.name)
            if endpoint is None or endpoint.address != host.address:
                endpoint = Endpoint(host.name, host.kind, host.zone, host.address, host.service)
            endpoint.leaving = host.state is HostState.LEAVING
            kept[host.name] = endpoint
        self._endpoints = kept

    def apply_report(self, name: str, report: LoadReport) -> None:
        """Take over an engine's load report."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.versions = frozenset(VersionId.parse(version) for version in report.versions)
        endpoint.reported = report.running + report.waiting
        endpoint.capacity = max(1, report.capacity)
        endpoint.sent_since = 0

    def note_failure(self, name: str, now: float) -> None:
        """Pass an endpoint over for a while after a failed call."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.paused_until = now + FAILURE_PAUSE_S

    def note_sent(self, name: str) -> None:
        """Count a call that goes out."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.sent_since += 1
            endpoint.in_flight += 1

    def note_ended(self, name: str) -> None:
        """Count a call that came back."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.in_flight = max(0, endpoint.in_flight - 1)

    def choose_engine(
        self, version: VersionId, now: float, avoid: Container[str] = ()
    ) -> Endpoint | None:
        """Choose a model engine that holds a version."""
        candidates = [
            endpoint
            for endpoint in self._endpoints.values()
            if version in endpoint.versions and not endpoint.leaving
        ]
        return self._choose(candidates, now, avoid)

    def choose_service(
        self, service: str, now: float, avoid: Container[str] = ()
    ) -> Endpoint | None:
        """Choose an endpoint of a plain service."""
        candidates = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and not endpoint.leaving
        ]
        return self._choose(candidates, now, avoid)

    def _choose(
        self, candidates: list[Endpoint], now: float, avoid: Container[str]
    ) -> Endpoint | None:
        """Choose the less loaded of two random ones, the healthy and the new ones first."""
        usable = [e for e in candidates if e.paused_until <= now] or candidates
        usable = [e for e in usable if e.name not in avoid] or usable
        if not usable:
            return None
        drawn = self._random.sample(usable, min(CHOICES, len(usable)))
        return min(drawn, key=self._cost)

    def _cost(self, endpoint: Endpoint) -> float:
        penalty = 0.0 if endpoint.zone == self._zone else OTHER_ZONE_PENALTY
        return endpoint.load() + penalty
