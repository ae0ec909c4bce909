"""What hosts tell of themselves and of their zones, gathered for an operator."""

from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec

from poplarrun.cli._http import Silent, get_json
from poplarrun.server import HostStatus

# A silent host costs one thread its whole timeout; a zone of 56 silent ones fits.
ASKED_AT_ONCE = 64


@dataclass(frozen=True, slots=True)
class ZoneView:
    """One availability zone, over all that answered.

    Attributes
    ----------
    offset : int, optional
        Lowest configuration offset in force at its hosts; None when unknown.
    answered : int
        Hosts of the zone that answered the operator.
    silent : bool
        Whether neither the operator nor a host hears of it.
    """

    zone: str
    offset: int | None
    answered: int
    silent: bool


@dataclass(frozen=True, slots=True)
class FleetView:
    """What all asked hosts told."""

    hosts: tuple[HostStatus, ...]
    silent: tuple[Silent, ...]

    def zones(self) -> list[ZoneView]:
        """Return every zone that is known, by name."""
        heard: dict[str, list[int | None]] = {}
        for status in self.hosts:
            for zone in status.zones:
                offsets = heard.setdefault(zone.zone, [])
                if not zone.silent:
                    offsets.append(zone.lowest_offset)
        own = {status.zone: status for status in self.hosts}
        return [self._zone(name, heard.get(name, [])) for name in sorted({*heard, *own})]

    def _zone(self, name: str, heard: list[int | None]) -> ZoneView:
        direct = [status.offset for status in self.hosts if status.zone == name]
        if direct:
            return ZoneView(name, min(direct), len(direct), silent=False)
        known = [offset for offset in heard if offset is not None]
        return ZoneView(name, min(known, default=None), 0, silent=not heard)

    def refusals(self) -> Counter[str]:
        """Return the refusals of all hosts by reason."""
        total: Counter[str] = Counter()
        for status in self.hosts:
            total.update(status.refusals)
        return total


def fetch_fleet_view(addresses: Iterable[str]) -> FleetView:
    """Ask hosts for their status, several at once."""
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        found = list(pool.map(_ask_host, addresses))
    hosts = tuple(status for status in found if isinstance(status, HostStatus))
    return FleetView(hosts, tuple(silent for silent in found if isinstance(silent, Silent)))


def _ask_host(address: str) -> HostStatus | Silent:
    answer = get_json(address, "/status")
    if isinstance(answer, Silent):
        return answer
    try:
        return msgspec.convert(answer, HostStatus)
    except msgspec.ValidationError as error:
        return Silent(address, f"its status could not be read ({error})")
