"""``poplarrun status`` and ``poplarrun explain``."""

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
    EXIT_SILENT,
    TLS_HELP,
    AsJson,
    HostAddresses,
    read_addresses,
)
from poplarrun.cli._http import Silent, get_json
from poplarrun.cli._timeline import build_timeline, encode_story, read_log_lines, render_story
from poplarrun.cli._views import FleetView, fetch_fleet_view

WATCH_PERIOD_S = 1.0
USUAL_STATES = ("alive", "left")
CLEAR_SCREEN = "\x1b[2J\x1b[H"


@dataclass
class Status:
    """Show zones with the offset in force, hosts, endpoints, roll-outs and refusals."""

    hosts: HostAddresses
    json: AsJson = False
    watch: Annotated[
        bool, cappa.Arg(long=True, help="Show it anew every second until interrupted.")
    ] = False

    def __call__(self) -> None:
        """Print the status, once or until interrupted."""
        while True:
            view = fetch_fleet_view(self.hosts)
            if self.watch:
                print(CLEAR_SCREEN, end="")
            print(_encode_view(view) if self.json else render_view(view), flush=True)
            if not self.watch:
                break
            time.sleep(WATCH_PERIOD_S)
        if not view.hosts:
            raise cappa.Exit("no host answered", code=EXIT_FAILED)
        if view.silent or any(zone.silent for zone in view.zones()):
            raise cappa.Exit(code=EXIT_SILENT)


@dataclass
class Explain:
    """Show why a request went where it went: ask the hosts, or read their log lines."""

    request_id: Annotated[
        str, cappa.Arg(help="The X-Request-Id of its answer, or the id in the log lines.")
    ]
    hosts: Annotated[
        list[str],
        cappa.Arg(
            long="--hosts",
            num_args=1,
            parse=read_addresses,
            help=f"ip:port of hosts, with commas; {TLS_HELP}.",
        ),
    ] = field(default_factory=list)
    logs: Annotated[
        list[str],
        cappa.Arg(long="--logs", num_args=-1, help="Files of log lines, - for standard input."),
    ] = field(default_factory=list)
    json: AsJson = False

    def __call__(self) -> None:
        """Read the logs, or ask each host until one knows the request."""
        if self.logs:
            self._read_logs()
            return
        if not self.hosts:
            raise cappa.Exit("hosts, logs: one of --hosts and --logs is needed", code=EXIT_INVALID)
        for address in self.hosts:
            found = get_json(address, f"/explain?request_id={quote(self.request_id)}")
            if not isinstance(found, Silent):
                print(json.dumps(found, indent=2) if self.json else _render_fields(found))
                return
        message = f"no host that answers knows {self.request_id}; each keeps its newest 2,000"
        raise cappa.Exit(message, code=EXIT_FAILED)

    def _read_logs(self) -> None:
        try:
            story = build_timeline(self.request_id, read_log_lines(self.logs))
        except OSError as error:
            raise cappa.Exit(f"logs: {error}", code=EXIT_INVALID) from error
        if not story.lines:
            raise cappa.Exit(f"no line names the request {self.request_id}", code=EXIT_FAILED)
        print(encode_story(story) if self.json else render_story(story))


def _encode_view(view: FleetView) -> str:
    whole = {
        "zones": view.zones(),
        "hosts": view.hosts,
        "silent": view.silent,
        "refusals": view.refusals(),
    }
    return msgspec.json.format(msgspec.json.encode(whole)).decode()


def render_view(view: FleetView) -> str:
    """Write the view as tables for people."""
    tables = [_zone_rows(view), _host_rows(view)]
    if view.hosts:
        tables += [
            _missed_rows(view),
            _endpoint_rows(view),
            _order_rows(view),
            _rollout_rows(view),
            _refusal_rows(view),
        ]
    return "\n\n".join(_render_table(rows) for rows in tables if len(rows) > 1)


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
    for silent in view.silent:
        rows.append([silent.address, "-", "silent", "-", "-", "-", silent.reason])
    return rows


def _missed_rows(view: FleetView) -> list[list[str]]:
    """Return the hosts that others don't see alive, as the first host tells."""
    rows = [["HOST NOT ALIVE", "ZONE", "SEEN AS"]]
    for zone in view.hosts[0].zones:
        for host, state in sorted(zone.hosts.items()):
            if state not in USUAL_STATES:
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


def _render_table(rows: list[list[str]]) -> str:
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
