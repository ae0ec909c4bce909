"""Measures six host processes over pynng on loopback: idle cost, publication, replacement."""

import resource
import time
from pathlib import Path

from bench.figures import Figure
from standins.fleet import EnginePlan, Fleet, HostProcess, wait_until

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "thistledown.yaml"
VERSIONS = {"larch:1": 0.9, "spruce:1": 0.95}
WARM_UP_S = 5.0
MEASUREMENT_WINDOW_S = 8.0
REPETITION_COUNT = 5
TICKS_PER_S = 100
KB_PER_MB = 1024
CORE_TARGET_PERCENT = 4.8
MEMORY_TARGET_MB = 128.0
BYTES_PER_S_TARGET = 9000.0
READY_TARGET_S = 3.0
IN_FORCE_TARGET_S = 2.0


def measure_processes() -> list[Figure]:
    """Return the figures of an idle fleet of six hosts in three zones."""
    engines = [EnginePlan(f"engine-{zone}", zone, {"quality": VERSIONS}) for zone in "abc"]
    with Fleet(engines) as fleet:
        text = EXAMPLE.read_text()
        fleet.wait_in_force(fleet.publish(text))
        fleet.wait_versions(*VERSIONS)
        time.sleep(WARM_UP_S)
        idle_figures = _measure_idle(fleet)
        in_force_s = [
            _measure_in_force(fleet, f"{text}\n# change {number}\n")
            for number in range(REPETITION_COUNT)
        ]
        host_names = list(fleet.hosts)[:REPETITION_COUNT]
        ready_s = [_measure_replacement(fleet.hosts[name]) for name in host_names]
    return [
        *idle_figures,
        _figure("process_in_force_s_at_6", in_force_s, "s", IN_FORCE_TARGET_S),
        _figure("process_replacement_ready_s", ready_s, "s", READY_TARGET_S),
    ]


def _figure(name: str, values: list[float], unit: str, target: float) -> Figure:
    """Return a figure with the largest value and half the range."""
    largest = max(values)
    spread = (largest - min(values)) / 2
    return Figure(
        name, largest, unit, spread, target=f"<= {target} {unit}", holds=largest <= target
    )


def _measure_idle(fleet: Fleet) -> list[Figure]:
    hosts = list(fleet.hosts.values())
    before = [(_cpu_s(host), host.status()) for host in hosts]
    time.sleep(MEASUREMENT_WINDOW_S)
    core_percents, sent_per_s, both_ways_per_s = [], [], []
    for host, (cpu_s, status) in zip(hosts, before, strict=True):
        now = host.status()
        core_percents.append((_cpu_s(host) - cpu_s) / MEASUREMENT_WINDOW_S * 100)
        sent_per_s.append(
            (now["peer_bytes_sent"] - status["peer_bytes_sent"]) / MEASUREMENT_WINDOW_S
        )
        received_per_s = (
            now["peer_bytes_received"] - status["peer_bytes_received"]
        ) / MEASUREMENT_WINDOW_S
        both_ways_per_s.append(sent_per_s[-1] + received_per_s)
    memory_mb = [_memory_mb(host) for host in hosts]
    return [
        _figure("process_core_percent_at_6", core_percents, "% of a core", CORE_TARGET_PERCENT),
        _figure("process_memory_mb_at_6", memory_mb, "MB", MEMORY_TARGET_MB),
        Figure("process_bytes_sent_per_s_at_6", max(sent_per_s), "B/s"),
        _figure("process_bytes_both_ways_per_s_at_6", both_ways_per_s, "B/s", BYTES_PER_S_TARGET),
    ]


def _measure_in_force(fleet: Fleet, text: str) -> float:
    """Return the seconds from the accepted append until the document is in force at all hosts."""
    return fleet.wait_in_force(fleet.publish(text))


def _measure_replacement(host: HostProcess) -> float:
    """Return the seconds from the start of a new process until it is ready."""
    host.kill()
    started_at = time.monotonic()
    host.spawn()
    wait_until(host.is_ready, f"{host.name} is ready")
    return time.monotonic() - started_at


def _cpu_s(host: HostProcess) -> float:
    assert host.process is not None
    fields = Path(f"/proc/{host.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(host: HostProcess) -> float:
    assert host.process is not None
    pages = int(Path(f"/proc/{host.process.pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / KB_PER_MB / KB_PER_MB
