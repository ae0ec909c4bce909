"""Starts stand-ins and entry hosts as processes on loopback, for demo, tests and benches."""

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
POLL_S = 0.02
HTTP_TIMEOUT_S = 10.0
OK = 200
LOG_TAIL = 2000


def free_address() -> str:
    """Return an ``ip:port`` on loopback that is free now."""
    return f"127.0.0.1:{free_port()}"


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 20.0) -> float:
    """Wait for a condition; return the seconds it took.

    Raises
    ------
    TimeoutError
        Naming what did not come.
    """
    began = time.monotonic()
    while time.monotonic() < began + timeout_s:
        if condition():
            return time.monotonic() - began
        time.sleep(POLL_S)
    raise TimeoutError(f"not within {timeout_s} s: {what}")


def get_json(address: str, path: str) -> Any:
    """Read JSON from an address; None when it does not answer 200."""
    try:
        response = urllib3.request(
            "GET", f"http://{address}{path}", timeout=HTTP_TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return None
    return msgspec.json.decode(response.data) if response.status == OK else None


def put_json(address: str, path: str, value: Any) -> None:
    """Write JSON to an address."""
    urllib3.request("PUT", f"http://{address}{path}", json=value, timeout=HTTP_TIMEOUT_S)


@dataclass
class StandInProcess:
    """A stand-in in a process of its own."""

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
        """Wait until it listens."""
        assert self.process is not None
        assert self.process.stdout is not None
        # A stand-in that hangs would else hang whoever waits for it, without a word.
        is_told, _, _ = select.select([self.process.stdout], [], [], START_TIMEOUT_S)
        line = self.process.stdout.readline() if is_told else ""
        if not line:
            raise RuntimeError(f"the stand-in {self.kind} did not start")
        self.address, self.control_address = line.split()
        wait_until(
            lambda: get_json(self.control_address, "/faults") is not None, f"{self.kind} listens"
        )

    def set_faults(self, **changes: Any) -> None:
        """Set faults over the control port."""
        put_json(self.control_address, "/faults", changes)

    def events(self, kind: str | None = None) -> list[dict[str, Any]]:
        """Return what happened there so far."""
        found = get_json(self.control_address, "/events") or []
        return [event for event in found if kind is None or event["kind"] == kind]

    def kill(self) -> None:
        """Kill the process."""
        _kill(self.process)


@dataclass
class HostProcess:
    """An entry host in a process of its own."""

    name: str
    zone: str
    address: str
    settings: Path
    log_file: Path
    process: subprocess.Popen[bytes] | None = None

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        command = [sys.executable, "-m", "poplarrun", "serve", "--settings", str(self.settings)]
        with self.log_file.open("ab") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    def is_ready(self) -> bool:
        """Tell whether the balancer would send callers there."""
        return get_json(self.address, "/readyz") is not None

    def wait_ready(self) -> None:
        """Wait until the balancer would send callers there.

        Raises
        ------
        TimeoutError
            Naming what the host says it misses, or how its process ended.
        """
        try:
            wait_until(self.is_ready, f"{self.name} is ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self._describe()}") from error

    def _describe(self) -> str:
        """Return why this host isn't ready, as far as it can be told."""
        code = self.process.poll() if self.process is not None else None
        if code is not None:
            return f"it ended with code {code}: {self.log_file.read_text()[-LOG_TAIL:]}"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = urllib3.request(
                "GET", f"http://{self.address}/readyz", timeout=1, retries=False
            )
            return answer.data.decode(errors="replace")
        return f"it doesn't answer: {self.log_file.read_text()[-LOG_TAIL:]}"

    def status(self) -> Any:
        """Return the host's status; None when it is silent."""
        return get_json(self.address, "/status")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP."""
        assert self.process is not None
        os.kill(self.process.pid, number)

    def stop(self) -> int:
        """Ask for a planned stop; return the exit code."""
        self.signal(signal.SIGTERM)
        assert self.process is not None
        return self.process.wait(timeout=90)

    def kill(self) -> None:
        """Kill the process."""
        _kill(self.process)


@dataclass(frozen=True)
class EnginePlan:
    """An engine to start: its name, its zone and its settings."""

    name: str
    zone: str
    settings: dict[str, Any]


@dataclass(frozen=True)
class ServicePlan:
    """A plain service's endpoint to start."""

    name: str
    zone: str
    service: str


@dataclass
class Fleet:
    """Zones, hosts and the outside systems, on loopback.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    hosts_per_zone : int
        Entry hosts of each.
    engines, services : list
        Endpoints to start.
    more_settings : dict
        Further host settings, merged into each host's file.
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
            # Nobody else ends what was started so far; it would run for ever.
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def folder(self) -> Path:
        """Folder of settings, documents and logs; gone after ``stop``."""
        return Path(self._folder.name)

    def start(self) -> None:
        """Start everything and wait until it listens; no configuration yet."""
        stand_ins = self._stand_ins()
        for stand_in in stand_ins:
            stand_in.spawn()
        for stand_in in stand_ins:
            stand_in.wait()
        self.publish_hosts()
        self._plan_hosts()
        for host in self.hosts.values():
            host.spawn()
        for host in self.hosts.values():
            wait_until(
                lambda host=host: get_json(host.address, "/healthz") is not None,
                f"{host.name} listens",
            )

    def stop(self) -> None:
        """Kill all that was started."""
        for process in (*self.hosts.values(), *self._stand_ins()):
            process.kill()
        self._folder.cleanup()

    def publish_hosts(self, **states: str) -> None:
        """Write the host list; ``states`` sets some endpoints' states, ``gone`` drops one."""
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
        """Publish a document with the command line; return its offset."""
        path = self.folder / name
        path.write_text(document)
        done = self.run_cli("config", "publish", str(path), "--log", self.log.address)
        if done.returncode != 0:
            raise RuntimeError(f"publish failed: {done.stdout}{done.stderr}")
        return int(done.stdout.split()[-1])

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line."""
        return subprocess.run(
            [sys.executable, "-m", "poplarrun", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def wait_in_force(self, offset: int) -> float:
        """Wait until an offset is in force at every running host; return the seconds."""
        return wait_until(
            lambda: all(h.is_ready() and h.status()["offset"] >= offset for h in self._running()),
            f"offset {offset} is in force",
        )

    def wait_versions(self, *versions: str) -> float:
        """Wait until every running host knows a live endpoint of each version."""

        def known() -> bool:
            return all(set(versions) <= _live_versions(host.status()) for host in self._running())

        return wait_until(known, f"{versions} known at every host")

    def _running(self) -> list[HostProcess]:
        hosts = self.hosts.values()
        return [h for h in hosts if h.process is not None and h.process.poll() is None]

    def _stand_ins(self) -> list[StandInProcess]:
        return [self.log, self.host_list, self.ratings, self.weights, *self.endpoints.values()]

    def _plan_hosts(self) -> None:
        names = [(f"{z}{n}", z) for z in self.zones for n in range(1, self.hosts_per_zone + 1)]
        peers = {name: free_address() for name, _ in names}
        for name, zone in names:
            address = free_address()
            settings = {
                "name": name,
                "zone": zone,
                "listen": address,
                "peer_listen": peers[name],
                "seeds": [peer for other, peer in peers.items() if other != name],
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
