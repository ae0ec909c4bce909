"""A small deployment for the cases: hosts as processes, stand-ins in the process of the script.

Hosts are started with the command of ``deploy/system.toml`` and settings as ``DEPLOY.md`` shows
them. Store, engines and plain services are the project's own stand-ins.
"""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
import traceback
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml

# The package of the stand-ins imports all of them, and some need libraries for tests, which the
# build of the deploy file doesn't install. Those of the installation need none of these.
_PACKAGE = types.ModuleType("standins")
_PACKAGE.__path__ = [str(Path(__file__).parent.parent / "standins")]
sys.modules.setdefault("standins", _PACKAGE)

from standins._ports import free_port  # noqa: E402
from standins.installation import Installation  # noqa: E402

# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case ends itself before the 120 seconds that it may take.
TIMEOUT_S = 105
ZONES = ("zone-a", "zone-b", "zone-c")
# The bounds of the three small sites.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "backMs": 250,
    "outerMs": 5000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "retryRatio": 0.9,
    "retryWindowS": 10,
    "retryAllowance": 52,
    "exposureShare": 0.15,
    "exposureAllowance": 30,
    "rollbackMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
    "sessionS": 5,
}


class Record:
    """What was sent, answered and run, written to ``record.txt`` beside the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


class Deployment(Installation):
    """An installation whose hosts get the whole settings file of a small deployment."""

    def start_host(self, number: int = 0, wait_until_ready: bool = True) -> None:
        """Start a host as the deploy file says and, by default, wait until it is ready."""
        path = self._write_settings(number)
        metrics_port = self._addresses[number]["metrics"].rpartition(":")[2]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "POPLARRUN_NODE_FILE": str(path),
            "POPLARRUN_METRICS_PORT": metrics_port,
        }
        with self.log_path(number).open("ab") as log:
            self.processes[number] = subprocess.Popen(
                ["python3", "-m", "poplarrun.gateway"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        if wait_until_ready:
            self.wait_until_ready(number)

    def start_hosts(self) -> None:
        """Start all hosts, and wait until each has its shares of what all may send."""
        for number in range(len(self._addresses)):
            self.start_host(number, wait_until_ready=False)
        for number in range(len(self._addresses)):
            self.wait_until_ready(number)
        for number in range(len(self._addresses)):
            self.wait_until_settled(number)

    def _write_settings(self, number: int) -> Path:
        addresses = self._addresses[number]
        names = ("frontend", "readiness", "controlPlane")
        settings = {
            "nodeName": f"edge-{number}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": addresses["ip"],
            "zone": addresses["zone"],
            "region": "region-1",
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": {name: addresses[name] for name in names},
            "portRange": [self._ports["relay"] - 1, self._ports["metrics"]],
            "seeds": [other["controlPlane"] for other in self._addresses[:3]],
            "bootstrap": True,
            "countsTowardQuorum": False,
            "limits": {
                "cpuQuota": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entrypoint": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": addresses["store"],
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 12,
            },
        }
        path = Path(self._folder.name) / f"host-{number}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    @staticmethod
    def free_port() -> int:
        """Return a free port for a further stand-in."""
        return free_port()

    def add_route(self, name: str, like: str, **changes: Any) -> None:
        """Add a route to the configuration, as another one but for some fields; publish it."""
        model = next(route for route in self.config["routes"] if route["name"] == like)
        self.config["routes"].append(
            {**model, "name": name, "pathPrefix": f"/{name}/", **changes},
        )
        self.publish()

    def publish(self) -> None:
        """Write the configuration, with the limits of the pages."""
        self.config["limits"] = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        super().publish()


class KeptChannel:
    """A caller's connection that is kept for many requests, and opened anew once it ends."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: http.client.HTTPConnection | None = None

    def send(self, request_id: str, path: str, headers: dict[str, str], body: bytes) -> str:
        """Send a request; return the status and how its answer ended."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(self._address, timeout=20.0)
        sent = {
            "Host": "shop.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": "Bearer counter-key",
        }
        try:
            self._connection.request("POST", path, body, {**sent, **headers})
            response = self._connection.getresponse()
        except (http.client.RemoteDisconnected, ConnectionResetError, BrokenPipeError):
            self.close()
            return "closed without an answer"
        try:
            response.read()
        except (http.client.HTTPException, ConnectionResetError):
            self.close()
            return f"{response.status} broken off"
        if response.will_close:
            self.close()
        return f"{response.status} complete"

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def describe_config(config: dict[str, Any]) -> str:
    """Return the routes of a configuration, for the record."""
    return json.dumps(config["routes"])


def run_case(folder: Path, play: Callable[[Record], bool]) -> None:
    """Play a case and exit with its code; ``play`` returns whether the rule held."""

    def stop(*_: object) -> None:
        raise TimeoutError("the case was stopped or took too long")

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(TIMEOUT_S)
    record = Record(folder)
    try:
        has_held = play(record)
    except BaseException:
        record.write("could not run:\n" + traceback.format_exc())
        traceback.print_exc()
        with contextlib.suppress(OSError):
            sys.stdout.flush()
        sys.exit(NOT_RUN)
    record.write("the rule held" if has_held else "the rule was broken")
    print("held" if has_held else "broken")
    sys.exit(HELD if has_held else BROKEN)
