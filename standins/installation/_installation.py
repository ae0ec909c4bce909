"""Runs a users' platform on loopback: store and endpoints in this process, hosts as processes."""

import asyncio
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from standins._ports import free_port
from standins.installation._endpoint import Endpoint
from standins.installation._partition import CUT_FILE_VARIABLE, Cut
from standins.installation._store import Store

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 15.0
# A host applies a changed file of cuts within this time.
CUT_DELAY_S = 0.1
# A host takes its shares once it has learned of no further host for somewhat less than this.
SETTLE_S = 2.0
API_KEY = "counter-key"
HOST_NAME = "shop.example"
MODEL_NAMES = ("small", "large")
# Ports that are the same on all hosts, which have an address each, in rising order. The relay's is
# the second one of the range between hosts, and that of metrics the last one.
PORT_NAMES = ("frontend", "readiness", "controlPlane", "relay", "metrics")


@dataclass(frozen=True)
class Answer:
    """A caller's answer; status 0 means that the connection closed without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = True


def _allocate_address() -> str:
    return f"127.0.0.1:{free_port()}"


class Installation:
    """A users' platform with a store, endpoints and hosts.

    Parameters
    ----------
    zones : str
        Zone names, one letter each, which hosts are assigned to in turn.
    can_be_cut : bool
        Whether the links of hosts to endpoints can be cut.
    memory_mb, max_sockets : int
        What the machine of a host has.

    Attributes
    ----------
    config : dict
        The operators' configuration; ``publish`` writes it.
    """

    def __init__(
        self,
        hosts: int = 1,
        zones: str = "abc",
        can_be_cut: bool = False,
        memory_mb: int = 150,
        max_sockets: int = 1000,
    ) -> None:
        self._zones = zones
        self._limits = {"memoryMb": memory_mb, "maxFds": max_sockets}
        self._can_be_cut = can_be_cut
        self._ports = dict(zip(PORT_NAMES, sorted(free_port() for _ in PORT_NAMES), strict=True))
        self.store = Store()
        self.endpoints: dict[str, Endpoint] = {}
        self.config = self._create_initial_config()
        self._folder = tempfile.TemporaryDirectory(prefix="poplarrun-installation-")
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._addresses = [self._host_addresses(number) for number in range(hosts)]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Installation":
        self._thread.start()
        for addresses in self._addresses:
            self.run(self.store.start(addresses["store"]))
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._folder.cleanup()

    @staticmethod
    async def _cancel_tasks() -> None:
        """Cancel pending tasks, such as calls that a silent store never answers."""
        waiting = asyncio.all_tasks() - {asyncio.current_task()}
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop of the store and endpoints; return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(CALL_TIMEOUT_S)

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a topic, as operators and endpoints do."""

        async def write() -> None:
            self.store.topic(topic).append(key, value)

        self.run(write())

    def publish(self) -> None:
        """Write the configuration with a higher version; versions need not be consecutive."""
        self.config["version"] += 3
        self.append("keyed.op", "config", json.dumps(self.config).encode())

    def publish_and_wait(self) -> None:
        """Write the configuration, and wait until all running hosts follow it."""
        self.publish()
        text = f'"version": {self.config["version"]}'
        self.wait_for(
            lambda: all(text in self.read_log(number) for number in self.processes),
            "the version is in force",
        )

    def end_endpoint(self, endpoint: Endpoint) -> None:
        """End an endpoint's process whatever it runs; no-op if it has ended."""

        async def end_process() -> None:
            endpoint.end_process()

        self.run(end_process())

    def add_endpoint(self, instance_id: str, service: str, **options: Any) -> Endpoint:
        """Start an endpoint and write its record to the store."""
        endpoint = Endpoint(
            instance_id, service, _allocate_address(), is_engine=service == "engines", **options
        )
        self.run(endpoint.start())
        self.endpoints[instance_id] = endpoint
        self.publish_endpoint(endpoint)
        return endpoint

    def rename_endpoint(self, endpoint: Endpoint, instance_id: str) -> None:
        """Give an endpoint, which does not run, the instance id of its next start."""
        del self.endpoints[endpoint.instance_id]
        endpoint.instance_id = instance_id
        self.endpoints[instance_id] = endpoint

    def publish_endpoint(self, endpoint: Endpoint) -> None:
        """Write an endpoint's record to the store."""
        self.append("keyed.servers", endpoint.instance_id, endpoint.encode_record())

    def remove_endpoint(self, instance_id: str) -> None:
        """Delete an endpoint's record from the store; the endpoint keeps running."""
        self.append("keyed.servers", instance_id, b"")

    def start_host(self, number: int = 0, wait_until_ready: bool = True) -> None:
        """Start a host's process and, by default, wait until it is ready."""
        path = self._write_settings(number)
        environment = {**os.environ, "POPLARRUN_NODE_FILE": str(path)}
        program = "poplarrun.gateway"
        if self._can_be_cut:
            environment[CUT_FILE_VARIABLE] = str(self._cut_path(number))
            program = "standins.installation"
        log = self.log_path(number).open("ab")
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", program],
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        if wait_until_ready:
            self.wait_until_ready(number)

    def wait_until_ready(self, number: int) -> None:
        """Wait until a host says that it is ready."""
        self.wait_for(lambda: self.fetch_readiness_status(number) == 200, f"host {number} is ready")

    def read_log(self, number: int = 0) -> str:
        """Return what a host wrote to standard output and standard error."""
        return self.log_path(number).read_text()

    def read_events(self, event: str, number: int = 0) -> list[dict[str, Any]]:
        """Return the lines of one event in a host's log."""
        lines = [line for line in self.read_log(number).splitlines() if line.startswith("{")]
        return [line for line in map(json.loads, lines) if line.get("event") == event]

    def log_path(self, number: int = 0) -> Path:
        """Return the path of a host's output."""
        return Path(self._folder.name) / f"host-{number}.log"

    def wait_until_known(self, number: int) -> None:
        """Wait until a host has heard of all others that run."""
        others = {
            self._addresses[each]["controlPlane"] for each in self.processes if each != number
        }

        def has_found_all() -> bool:
            lines = [json.loads(line) for line in self.read_log(number).splitlines()]
            changes = [line["found"] for line in lines if line.get("event") == "PeersChanged"]
            return others <= {address for found in changes for address in found}

        self.wait_for(has_found_all, f"host {number} knows {sorted(others)}")

    def wait_until_settled(self, number: int) -> None:
        """Wait until a host has its share of what all hosts may send again.

        Before that it makes no second sends and asks no larger model.
        """
        self.wait_until_known(number)
        time.sleep(SETTLE_S)

    def cut_host(self, number: int, cut: Cut | None, instance_ids: Iterable[str] = ()) -> None:
        """Cut a host's links to endpoints, to all of them by default, or mend them all."""
        cut_off = instance_ids or self.endpoints
        cuts = {self.endpoints[each].address: cut.name for each in cut_off} if cut else {}
        path = self._cut_path(number)
        new = path.with_suffix(".new")
        new.write_text(json.dumps(cuts))
        new.rename(path)
        time.sleep(CUT_DELAY_S)

    def _cut_path(self, number: int) -> Path:
        return Path(self._folder.name) / f"cuts-{number}.json"

    def signal_host(self, number: int, name: str) -> None:
        """Send a signal to a host's process."""
        self.processes[number].send_signal(getattr(signal, name))

    def write_invalid_settings(self, number: int = 0) -> None:
        """Overwrite a host's settings file with one that lacks required fields."""
        (Path(self._folder.name) / f"host-{number}.yaml").write_text("nodeName: edge\n")

    def fetch_readiness_status(self, number: int = 0) -> int:
        """Return the status of a host's readiness check; 0 if it does not answer."""
        try:
            return self._call(self._addresses[number]["readiness"], "GET", "/readyz", {}).status
        except OSError:
            return 0

    def fetch_metrics(self, number: int = 0) -> str:
        """Return a host's metrics in the text format."""
        return self._call(self._addresses[number]["metrics"], "GET", "/metrics", {}).body.decode()

    def call(
        self,
        path: str,
        number: int = 0,
        key: str = API_KEY,
        body: bytes = b"",
        method: str = "POST",
        **headers: str,
    ) -> Answer:
        """Send a request as a caller does; in names of headers, ``_`` stands for ``-``."""
        sent = {
            "Host": HOST_NAME,
            "X-Attempt-Id": f"req-{time.monotonic_ns():x}",
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {key}",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self._call(self.caller_address(number), method, path, sent, body)

    def reject_store_calls(self, number: int) -> None:
        """Make the store reject all calls of one host."""
        self.store.rejecting_addresses.add(self._addresses[number]["store"])

    def caller_address(self, number: int = 0) -> str:
        """Return the address at which a host serves callers."""
        return self._addresses[number]["frontend"]

    def address(self, name: str, number: int = 0) -> str:
        """Return one of a host's addresses, by its name in the settings."""
        return self._addresses[number][name]

    def relay_address(self, number: int = 0) -> str:
        """Return the address at which a host relays connections for its peers."""
        return self._addresses[number]["relay"]

    def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition is true; raise AssertionError with the hosts' logs on timeout."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                logs = "\n".join(self.read_log(number)[-2000:] for number in self.processes)
                raise AssertionError(
                    f"timed out after {WAIT_TIMEOUT_S:.0f} s: {description}\n{logs}"
                )
            time.sleep(POLL_INTERVAL_S)

    def _call(
        self, address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer_headers = {name.lower(): value for name, value in response.getheaders()}
            try:
                return Answer(response.status, answer_headers, response.read())
            except http.client.IncompleteRead as error:
                return Answer(response.status, answer_headers, error.partial, False)
        except (http.client.RemoteDisconnected, ConnectionResetError):
            return Answer(0, is_whole=False)
        finally:
            connection.close()

    def _host_addresses(self, number: int) -> dict[str, str]:
        ip = f"127.0.0.{number + 1}"
        addresses = {name: f"{ip}:{port}" for name, port in self._ports.items()}
        addresses |= {"ip": ip, "zone": self._zones[number % len(self._zones)]}
        return {**addresses, "store": _allocate_address()}

    def _write_settings(self, number: int) -> Path:
        addresses = self._addresses[number]
        names = ("frontend", "readiness", "controlPlane")
        settings = {
            "nodeName": f"edge-{number}",
            "role": "entry",
            "ip": addresses["ip"],
            "zone": addresses["zone"],
            "listen": {name: addresses[name] for name in names},
            "portRange": [self._ports["relay"] - 1, self._ports["metrics"]],
            "seeds": [other["controlPlane"] for other in self._addresses[:3]],
            "platform": {"address": addresses["store"]},
            "limits": self._limits,
            "bounds": {
                "revokeStrict": True,
                "revokeMs": 5000,
                "graceS": 8,
                "sessionS": 5,
                "retryAllowance": 60,
            },
            "aFieldOfTomorrow": True,
        }
        path = Path(self._folder.name) / f"host-{number}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    @staticmethod
    def _create_initial_config() -> dict[str, Any]:
        models = [{"name": "small", "cost": 0.008}, {"name": "large", "cost": 0.12}]
        engine = {"slots": 8, "kvCapacity": 400_000, "models": models}
        times = {"timeoutMs": 4000, "targetLatencyMs": 1000, "maxAttempts": 3}
        base = {"host": HOST_NAME, "priority": 1, **times}
        return {
            "version": 1,
            "routes": [
                {
                    **base,
                    "name": "draft",
                    "pathPrefix": "/draft/",
                    "type": "streaming",
                    "service": "engines",
                    "sizes": list(MODEL_NAMES),
                    "resumable": True,
                    "gapGoalMs": 1000,
                },
                {
                    **base,
                    "name": "order",
                    "pathPrefix": "/order/",
                    "type": "non_idempotent",
                    "service": "stock",
                    "maxAttempts": 1,
                },
                {
                    **base,
                    "name": "lookup",
                    "pathPrefix": "/lookup/",
                    "type": "idempotent",
                    "service": "stock",
                },
            ],
            "services": [
                {"name": "engines", "healthPath": "/healthz", "maxConns": 100, "engine": engine},
                {"name": "stock", "healthPath": "/healthz", "maxConns": 100},
            ],
            "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 10_000},
            "tenants": [{"name": "shop", "apiKeys": [API_KEY, "second-key"]}],
        }
