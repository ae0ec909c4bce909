"""``poplarrun status`` shows the fleet; ``poplarrun explain`` shows why a request was routed so."""

import json
import time
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import quote

import cappa
import msgspec

from poplarrun.cli._arguments import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_NO_RESPONSE,
    TLS_HELP,
    AsJson,
    HostAddresses,
    parse_host_addresses,
)
from poplarrun.cli._http import HostUnavailable, get_json
from poplarrun.cli._timeline import build_timeline, encode_timeline, read_log_lines, render_timeline
from poplarrun.cli._views import FleetView, fetch_fleet_view

REFRESH_INTERVAL_S = 1.0
EXPECTED_PEER_STATES = ("alive", "left")
CLEAR_SCREEN = "\x1b[2J\x1b[H"


@dataclass
class Status:
    """Show zones with their configuration offset, hosts, endpoints, roll-outs and refusals."""

    hosts: HostAddresses
    json: AsJson = False
    watch: Annotated[bool, cappa.Arg(long=True, help="Refresh every second until interrupted.")] = (
        False
    )

    def __call__(self) -> None:
        """Print the status, once or until interrupted."""
        while True:
            view = fetch_fleet_view(self.hosts)
            if self.watch:
                print(CLEAR_SCREEN, end="")
            print(_encode_view(view) if self.json else render_view(view), flush=True)
            if not self.watch:
                break
            time.sleep(REFRESH_INTERVAL_S)
        if not view.hosts:
            raise cappa.Exit("no host answered", code=EXIT_FAILED)
        if view.unavailable or any(zone.silent for zone in view.zones()):
            raise cappa.Exit(code=EXIT_NO_RESPONSE)


@dataclass
class Explain:
    """Show how a request was routed and why, from the hosts' memory or their log lines."""

    request_id: Annotated[
        str, cappa.Arg(help="The X-Request-Id of its response, or the id in the log lines.")
    ]
    hosts: Annotated[
        list[str],
        cappa.Arg(
            long="--hosts",
            num_args=1,
            parse=parse_host_addresses,
            help=f"ip:port of hosts, separated by commas; {TLS_HELP}.",
        ),
    ] = field(default_factory=list)
    logs: Annotated[
        list[str],
        cappa.Arg(long="--logs", num_args=-1, help="Log files of the hosts; - for standard input."),
    ] = field(default_factory=list)
    json: AsJson = False

    def __call__(self) -> None:
        """Read the logs, or query each host until one knows the request."""
        if self.logs:
            self._read_logs()
            return
        if not self.hosts:
            raise cappa.Exit("either --hosts or --logs is required", code=EXIT_INVALID)
        for address in self.hosts:
            explanation = get_json(address, f"/explain?request_id={quote(self.request_id)}")
            if not isinstance(explanation, HostUnavailable):
                print(
                    json.dumps(explanation, indent=2) if self.json else _render_fields(explanation)
                )
                return
        message = (
            f"no responding host knows request {self.request_id}; "
            "each host remembers its newest 2,000 requests"
        )
        raise cappa.Exit(message, code=EXIT_FAILED)

    def _read_logs(self) -> None:
        try:
            timeline = build_timeline(self.request_id, read_log_lines(self.logs))
        except OSError as error:
            raise cappa.Exit(f"cannot read the logs: {error}", code=EXIT_INVALID) from error
        if not timeline.lines:
            raise cappa.Exit(f"no log line names request {self.request_id}", code=EXIT_FAILED)
        print(encode_timeline(timeline) if self.json else render_timeline(timeline))


def _encode_view(view: FleetView) -> str:
    document = {
        "zones": view.zones(),
        "hosts": view.hosts,
        "silent": view.unavailable,
        "refusals": view.refusals(),
    }
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def render_view(view: FleetView) -> str:
    """Return the view as tables for people."""
    tables = [_zone_rows(view), _host_rows(view)]
    if view.hosts:
        tables += [
            _not_alive_rows(view),
            _endpoint_rows(view),
            _order_rows(view),
            _rollout_rows(view),
            _refusal_rows(view),
        ]
    return "\n\n".join(render_table(rows) for rows in tables if len(rows) > 1)


def _zone_rows(view: FleetView) -> list[list[str]]:
    rows = [["ZONE", "OFFSET", "HOSTS ANSWERED", "STATE"]]
    for zone in view.zones():
        offset = "unknown" if zone.offset is None else str(zone.offset)
        rows.append([zone.zone, offset, str(zone.answered), "silent" if zone.silent else "heard"])
    return rows


def _host_rows(view: FleetView) -> list[list[str]]:
    rows = [["HOST", "ZONE", "READY", "OFFSET", "LOG AGE", "OPEN", "BILLS WAITING"]]
    for status in view.hosts:
        ready = "yes" if status.ready else "no"
        age = f"{status.log_age_s:.1f} s"
        offset, open_requests = str(status.offset), str(status.open_requests)
        waiting = str(status.bills_waiting)
        rows.append([status.host, status.zone, ready, offset, age, open_requests, waiting])
    for host in view.unavailable:
        rows.append([host.address, "-", "silent", "-", "-", "-", host.reason])
    return rows


def _not_alive_rows(view: FleetView) -> list[list[str]]:
    """Return the hosts that are not alive according to the first host that responded."""
    rows = [["HOST NOT ALIVE", "ZONE", "SEEN AS"]]
    for zone in view.hosts[0].zones:
        for host, state in sorted(zone.hosts.items()):
            if state not in EXPECTED_PEER_STATES:
                rows.append([host, zone.zone, state])
    return rows


def _endpoint_rows(view: FleetView) -> list[list[str]]:
    rows = [["ENDPOINT", "ZONE", "STATE", "LOAD", "VERSIONS"]]
    for endpoint in view.hosts[0].endpoints:
        load = f"{endpoint.load:.2f}"
        versions = " ".join(endpoint.versions) or "-"
        rows.append([endpoint.name, endpoint.zone, endpoint.state, load, versions])
    return rows


def _order_rows(view: FleetView) -> list[list[str]]:
    rows = [["ORDERS IN ZONE", "FENCE", "VERSION", "WHERE", "STATE"]]
    for orders in view.hosts[0].orders:
        fence = str(orders.fence)
        for version, seconds in orders.coming.items():
            rows.append([orders.zone, fence, version, "-", f"coming, {seconds:.0f} s"])
        rows += [[orders.zone, fence, v, "-", "no room"] for v in orders.without_room]
        for engine, versions in orders.draining.items():
            rows += [[orders.zone, fence, version, engine, "draining"] for version in versions]
    return rows


def _rollout_rows(view: FleetView) -> list[list[str]]:
    rows = [["ROLL-OUT", "CLASS", "STAGE", "EXPOSURE", "STATE"]]
    for rollout in view.hosts[0].rollouts:
        stage = "-" if rollout.stage < 0 else str(rollout.stage)
        exposure = str(rollout.exposure)
        rows.append([rollout.version, rollout.work_class, stage, exposure, rollout.state])
    rows += [[str(v), "-", "-", "-", "withdrawn"] for v in view.hosts[0].withdrawn]
    return rows


def _refusal_rows(view: FleetView) -> list[list[str]]:
    rows = [["REFUSED BECAUSE", "COUNT"]]
    return rows + [[kind, str(count)] for kind, count in view.refusals().most_common()]


def render_table(rows: list[list[str]]) -> str:
    """Return rows of cells, the first with the names of the columns, aligned."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = ["  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(line.rstrip() for line in lines)


def _render_fields(fields: dict[str, Any]) -> str:
    lines = []
    for name, value in fields.items():
        label = name.replace("_", " ")
        if isinstance(value, list):
            lines += [f"{label}:", *(f"  {item}" for item in value)]
            continue
        if isinstance(value, dict):
            value = ", ".join(f"{key} {item}" for key, item in value.items())
        lines.append(f"{label}: {value}")
    return "\n".join(lines)
