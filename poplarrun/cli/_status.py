"""``poplarrun status`` and ``poplarrun explain``."""

import json
import time
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from poplarrun.cli._http import get_json

WATCH_PERIOD_S = 1.0

Hosts = Annotated[str, cappa.Arg(long=True, help="ip:port of hosts, separated by commas")]


@dataclass
class Status:
    """Show hosts, zones, the offset in force, endpoints and refusals."""

    hosts: Hosts
    json: Annotated[bool, cappa.Arg(long=True)] = False
    watch: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Print the status, once or for ever."""
        while True:
            statuses = [_read_status(address) for address in self.hosts.split(",")]
            print(json.dumps(statuses, indent=2) if self.json else _table(statuses))
            if not self.watch:
                return
            time.sleep(WATCH_PERIOD_S)


@dataclass
class Explain:
    """Show why a request went where it went."""

    request_id: str
    hosts: Hosts

    def __call__(self) -> None:
        """Ask each host until one knows the request."""
        for address in self.hosts.split(","):
            try:
                found = get_json(address, f"/explain?request_id={self.request_id}")
            except cappa.Exit:
                continue
            print(json.dumps(found, indent=2))
            return
        raise cappa.Exit(f"no host knows {self.request_id}", code=1)


def _read_status(address: str) -> dict[str, Any]:
    try:
        return {"address": address, **get_json(address, "/status")}
    except cappa.Exit as silent:
        return {"address": address, "silent": str(silent.message)}


def _table(statuses: list[dict[str, Any]]) -> str:
    lines = [f"{'HOST':<16}{'ZONE':<8}{'READY':<7}{'OFFSET':>7}{'LOG AGE':>9}{'OPEN':>6}"]
    for status in statuses:
        if "silent" in status:
            lines.append(f"{status['address']:<16}silent")
            continue
        lines.append(
            f"{status['host']:<16}{status['zone']:<8}{status['ready']!s:<7}"
            f"{status['offset']:>7}{status['log_age_s']:>9.1f}{status['open_requests']:>6}"
        )
    answering = [status for status in statuses if "silent" not in status]
    if answering:
        lines += ["", f"{'ENDPOINT':<16}{'ZONE':<8}{'STATE':<9}{'LOAD':>6}  VERSIONS"]
    for endpoint in answering[0]["endpoints"] if answering else []:
        lines.append(
            f"{endpoint['name']:<16}{endpoint['zone']:<8}{endpoint['state']:<9}"
            f"{endpoint['load']:>6.2f}  {' '.join(endpoint['versions'])}"
        )
    return "\n".join(lines)
