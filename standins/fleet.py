"""Runs stand-ins and entry hosts as processes on loopback, for the demo, tests and benchmarks."""

import contextlib
import os
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import urllib3
import yaml

from standins._ports import free_port

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
HTTP_TIMEOUT_S = 10.0
HTTP_OK = 200
LOG_TAIL_CHARS = 2000


def free_address() -> str:
    """Return a loopback ``ip:port`` that nothing is bound to at the time of the call."""
    return f"127.0.0.1:{free_port()}"


def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = 20.0) -> float:
    """Poll a condition until it is true; return the elapsed seconds.

    Raises
    ------
    TimeoutError
        If the condition is not true within the timeout; contains ``description``.
    """
    started_at = time.monotonic()
    while time.monotonic() < started_at + timeout_s:
        if condition():
            return time.monotonic() - started_at
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"timed out after {timeout_s} s: {description}")


def get_json(address: str, path: str) -> Any:
    """Read JSON from an address; None if the request fails or its status is not 200."""
    try:
        response = urllib3.request(
            "GET", f"http://{address}{path}", timeout=HTTP_TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return None
    return msgspec.json.decode(response.data) if response.status == HTTP_OK else None


def put_json(address: str, path: str, value: Any) -> None:
    """Write JSON to an address."""
    urllib3.request("PUT", f"http://{address}{path}", json=value, timeout=HTTP_TIMEOUT_S)


@dataclass
class StandInProcess:
    """A stand-in that runs as a separate process."""

    kind: str
    arguments: tuple[str, ...] = ()
    process: subprocess.Popen[str] | None = None
    address: str = ""
    control_address: str = ""

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        command = [sys.executable, "-m", "standins", self.kind, *self.arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def wait(self) -> None:
        """Wait until the process has printed its addresses and serves its control port."""
        assert self.process is not None
        assert self.process.stdout is not None
        # Without the timeout, a stand-in that hangs would block the caller with no error.
        readable_pipes, _, _ = select.select([self.process.stdout], [], [], START_TIMEOUT_S)
        line = self.process.stdout.readline() if readable_pipes else ""
        if not line:
            raise RuntimeError(f"the {self.kind} stand-in did not print its addresses")
        self.address, self.control_address = line.split()
        wait_until(
            lambda: get_json(self.control_address, "/faults") is not None, f"{self.kind} listens"
        )

    def set_faults(self, **changes: Any) -> None:
        """Change faults through the control port."""
        put_json(self.control_address, "/faults", changes)

    def events(self, kind: str | None = None) -> list[dict[str, Any]]:
        """Return the events that the stand-in has recorded, optionally of one kind."""
        events_so_far = get_json(self.control_address, "/events") or []
        return [event for event in events_so_far if kind is None or event["kind"] == kind]

    def kill(self) -> None:
        """Kill the process."""
        _kill(self.process)


@dataclass
class HostProcess:
    """An entry host that runs as a separate process."""

    name: str
    zone: str
    address: str
    settings: Path
    log_file: Path
    process: subprocess.Popen[bytes] | None = None
    log_start: int = 0

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        command = [sys.executable, "-m", "poplarrun", "serve", "--settings", str(self.settings)]
        self.log_start = self.log_file.stat().st_size if self.log_file.exists() else 0
        with self.log_file.open("ab") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    def is_ready(self) -> bool:
        """Return whether a load balancer would route callers to the host."""
        return get_json(self.address, "/readyz") is not None

    def wait_ready(self) -> None:
        """Wait until a load balancer would route callers to the host.

        Raises
        ------
        TimeoutError
            With the host's readiness response, or its process's exit code and log.
        """
        try:
            wait_until(self.is_ready, f"{self.name} is ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self._describe_unready_state()}") from error

    def _describe_unready_state(self) -> str:
        """Return the exit code, the readiness response or the end of the log."""
        code = self.process.poll() if self.process is not None else None
        if code is not None:
            return f"process exit code {code}: {self.read_log_since_start()}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = urllib3.request(
                "GET", f"http://{self.address}/readyz", timeout=1, retries=False
            )
            return answer.data.decode(errors="replace")
        return f"the host does not respond: {self.log_file.read_text()[-LOG_TAIL_CHARS:]}"

    def read_log_since_start(self) -> str:
        """Return the log of the current process, its middle left out if it is long."""
        log = self.log_file.read_bytes()[self.log_start :].decode(errors="replace")
        if len(log) <= 2 * LOG_TAIL_CHARS:
            return log
        return f"{log[:LOG_TAIL_CHARS]}\n...\n{log[-LOG_TAIL_CHARS:]}"

    def status(self) -> Any:
        """Return the host's status; None if it does not respond."""
        return get_json(self.address, "/status")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP."""
        assert self.process is not None
        os.kill(self.process.pid, number)

    def stop(self) -> int:
        """Request a graceful shutdown; return the exit code."""
        self.signal(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(timeout=90)

    def kill(self) -> None:
        """Kill the process."""
        _kill(self.process)


@dataclass(frozen=True)
class EnginePlan:
    """The name, zone and settings of an engine to start."""

    name: str
    zone: str
    settings: dict[str, Any]


@dataclass(frozen=True)
class ServicePlan:
    """The name, zone and service of a plain-service endpoint to start."""

    name: str
    zone: str
    service: str


@dataclass
class Fleet:
    """Hosts in several zones with stand-ins for the outside systems, on loopback.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    hosts_per_zone : int
        Entry hosts in each zone.
    engines, services : list
        Endpoints to start.
    more_settings : dict
        Additional host settings, merged into each host's settings file.
    """

    engines: list[EnginePlan]
    services: list[ServicePlan] = field(default_factory=list)
    zones: tuple[str, ...] = ("a", "b", "c")
    hosts_per_zone: int = 2
    more_settings: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="poplarrun-")
        self.log = StandInProcess("log")
        self.host_list = StandInProcess("hostlist")
        self.ratings = StandInProcess("ratings")
        self.weights = StandInProcess("weights")
        self.endpoints: dict[str, StandInProcess] = {
            plan.name: StandInProcess(
                "engine", ("--settings", msgspec.json.encode(plan.settings).decode())
            )
            for plan in self.engines
        }
        for plan in self.services:
            self.endpoints[plan.name] = StandInProcess("service", ("--name", plan.service))
        self.hosts: dict[str, HostProcess] = {}

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            # The caller has no fleet to stop yet; processes started so far would be left running.
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def folder(self) -> Path:
        """Folder of settings, documents and logs, deleted by ``stop``."""
        return Path(self._folder.name)

    def start(self) -> None:
        """Start all processes and wait until they listen; publishes no configuration."""
        stand_ins = self._stand_ins()
        for stand_in in stand_ins:
            stand_in.spawn()
        for stand_in in stand_ins:
            stand_in.wait()
        self.publish_hosts()
        self._write_host_settings()
        for host in self.hosts.values():
            host.spawn()
        for host in self.hosts.values():
            wait_until(
                lambda host=host: get_json(host.address, "/healthz") is not None,
                f"{host.name} listens",
            )

    def stop(self) -> None:
        """Kill all processes and delete the folder."""
        for process in (*self.hosts.values(), *self._stand_ins()):
            process.kill()
        self._folder.cleanup()

    def publish_hosts(self, **states: str) -> None:
        """Replace the host list; ``states`` maps endpoint names to states, ``gone`` omits one.

        Endpoints that ``states`` doesn't name are live; names have ``_`` in place of ``-``.
        """
        hosts = []
        for plan in (*self.engines, *self.services):
            state = states.get(plan.name.replace("-", "_"), "live")
            if state == "gone":
                continue
            is_service = isinstance(plan, ServicePlan)
            hosts.append(
                {
                    "name": plan.name,
                    "zone": plan.zone,
                    "kind": "plain-service" if is_service else "model-engine",
                    "address": self.endpoints[plan.name].address,
                    "state": state,
                    "service": plan.service if is_service else None,
                }
            )
        put_json(self.host_list.address, "/v1/hosts", {"hosts": hosts})

    def publish(self, document: str, name: str = "document.yaml") -> int:
        """Publish a configuration document by the command line; return its log offset."""
        path = self.folder / name
        path.write_text(document)
        completed = self.run_cli("config", "publish", str(path), "--log", self.log.address)
        if completed.returncode != 0:
            raise RuntimeError(
                f"`poplarrun config publish` failed: {completed.stdout}{completed.stderr}"
            )
        return int(completed.stdout.split()[-1])

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a ``poplarrun`` command."""
        return subprocess.run(
            [sys.executable, "-m", "poplarrun", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def wait_in_force(self, offset: int) -> float:
        """Wait until every running host has applied an offset; return the elapsed seconds."""
        return wait_until(
            lambda: all(
                h.is_ready() and h.status()["offset"] >= offset for h in self._running_hosts()
            ),
            f"offset {offset} is in force at every running host",
        )

    def wait_versions(self, *versions: str) -> float:
        """Wait until every running host knows a live endpoint of each version.

        Returns the elapsed seconds.
        """

        def has_versions() -> bool:
            return all(
                set(versions) <= _live_versions(host.status()) for host in self._running_hosts()
            )

        return wait_until(has_versions, f"every running host knows live endpoints of {versions}")

    def _running_hosts(self) -> list[HostProcess]:
        hosts = self.hosts.values()
        return [h for h in hosts if h.process is not None and h.process.poll() is None]

    def _stand_ins(self) -> list[StandInProcess]:
        return [self.log, self.host_list, self.ratings, self.weights, *self.endpoints.values()]

    def _write_host_settings(self) -> None:
        host_zones = [(f"{z}{n}", z) for z in self.zones for n in range(1, self.hosts_per_zone + 1)]
        peer_addresses = {name: free_address() for name, _ in host_zones}
        for name, zone in host_zones:
            address = free_address()
            settings = {
                "name": name,
                "zone": zone,
                "listen": address,
                "peer_listen": peer_addresses[name],
                "seeds": [peer for other, peer in peer_addresses.items() if other != name],
                "platform": {
                    "log": self.log.address,
                    "host_list": self.host_list.address,
                    "ratings": self.ratings.address,
                    "weights": self.weights.address,
                },
                **self.more_settings,
            }
            path = self.folder / f"{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            self.hosts[name] = HostProcess(name, zone, address, path, self.folder / f"{name}.log")


def _live_versions(status: Any) -> set[str]:
    if status is None:
        return set()
    live = [e for e in status["endpoints"] if e["state"] == "live"]
    return {version for endpoint in live for version in endpoint["versions"]}


def _kill(process: subprocess.Popen[Any] | None) -> None:
    if process is None:
        return
    if process.poll() is None:
        process.kill()
    process.wait(timeout=STOP_TIMEOUT_S)
    if process.stdout is not None:
        process.stdout.close()
