"""Queries hosts for their status and combines the results into a view of the fleet."""

from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from poplarrun.cli._http import HostUnavailable, get_json
from poplarrun.server import HostStatus

# A host that doesn't respond occupies a thread for the whole timeout; 64 threads suffice for
# a zone of 56 such hosts.
MAX_CONCURRENT_QUERIES = 64


@dataclass(frozen=True, slots=True)
class ZoneView:
    """One availability zone, according to all hosts that responded.

    Attributes
    ----------
    offset : int, optional
        Lowest configuration offset in force at the zone's hosts; None if unknown.
    answered : int
        Hosts of the zone that responded to the command line.
    silent : bool
        Whether no host of the zone responded and all other hosts report it as silent.
    """

    zone: str
    offset: int | None
    answered: int
    silent: bool


@dataclass(frozen=True, slots=True)
class FleetView:
    """The status of all queried hosts, and the hosts without a usable response."""

    hosts: tuple[HostStatus, ...]
    unavailable: tuple[HostUnavailable, ...]

    def zones(self) -> list[ZoneView]:
        """Return all known zones, sorted by name."""
        reported: dict[str, list[int | None]] = {}
        for status in self.hosts:
            for zone in status.zones:
                offsets = reported.setdefault(zone.zone, [])
                if not zone.silent:
                    offsets.append(zone.lowest_offset)
        own = {status.zone: status for status in self.hosts}
        return [self._zone(name, reported.get(name, [])) for name in sorted({*reported, *own})]

    def _zone(self, name: str, reported: list[int | None]) -> ZoneView:
        """Combine the zone's own hosts, or else what other hosts report of the zone."""
        own_offsets = [status.offset for status in self.hosts if status.zone == name]
        if own_offsets:
            return ZoneView(name, min(own_offsets), len(own_offsets), silent=False)
        known = [offset for offset in reported if offset is not None]
        return ZoneView(name, min(known, default=None), 0, silent=not reported)

    def refusals(self) -> Counter[str]:
        """Return the number of refusals at all hosts by error kind."""
        total: Counter[str] = Counter()
        for status in self.hosts:
            total.update(status.refusals)
        return total


def fetch_fleet_view(addresses: Iterable[str]) -> FleetView:
    """Query the status of hosts concurrently."""
    with ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
        results = list(pool.map(_fetch_status, addresses))
    hosts = tuple(status for status in results if isinstance(status, HostStatus))
    return FleetView(hosts, tuple(host for host in results if isinstance(host, HostUnavailable)))


def _fetch_status(address: str) -> HostStatus | HostUnavailable:
    response = get_json(address, "/status")
    if isinstance(response, HostUnavailable):
        return response
    try:
        return msgspec.convert(response, HostStatus)
    except msgspec.ValidationError as error:
        return HostUnavailable(address, f"its status could not be read ({error})")
