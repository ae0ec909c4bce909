"""Six host processes over pynng on loopback: what control costs, and a replacement."""

import resource
import time
from pathlib import Path

from bench.figures import Figure
from standins.fleet import EnginePlan, Fleet, HostProcess, wait_until

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "thistledown.yaml"
VERSIONS = {"larch:1": 0.9, "spruce:1": 0.95}
SETTLE_S = 5.0
WINDOW_S = 8.0
REPETITIONS = 5
TICKS_PER_S = 100
KB_PER_MB = 1024
CORE_TARGET_PERCENT = 4.8
MEMORY_TARGET_MB = 128.0
BYTES_TARGET = 9000.0
READY_TARGET_S = 3.0
IN_FORCE_TARGET_S = 2.0


def measure_processes() -> list[Figure]:
    """Return the figures of a quiet fleet of six hosts in three zones."""
    engines = [EnginePlan(f"engine-{zone}", zone, {"quality": VERSIONS}) for zone in "abc"]
    with Fleet(engines) as fleet:
        text = EXAMPLE.read_text()
        fleet.wait_in_force(fleet.publish(text))
        fleet.wait_versions(*VERSIONS)
        time.sleep(SETTLE_S)
        costs = _measure_quiet(fleet)
        in_force = [
            _measure_in_force(fleet, f"{text}\n# change {number}\n")
            for number in range(REPETITIONS)
        ]
        names = list(fleet.hosts)[:REPETITIONS]
        ready = [_measure_replacement(fleet.hosts[name]) for name in names]
    return [
        *costs,
        _figure("process_in_force_s_at_6", in_force, "s", IN_FORCE_TARGET_S),
        _figure("process_replacement_ready_s", ready, "s", READY_TARGET_S),
    ]


def _figure(name: str, values: list[float], unit: str, target: float) -> Figure:
    """Return the worst of some values, and how far they spread."""
    worst = max(values)
    spread = (worst - min(values)) / 2
    return Figure(name, worst, unit, spread, target=f"<= {target} {unit}", holds=worst <= target)


def _measure_quiet(fleet: Fleet) -> list[Figure]:
    hosts = list(fleet.hosts.values())
    before = [(_cpu_s(host), host.status()) for host in hosts]
    time.sleep(WINDOW_S)
    core, sent, both = [], [], []
    for host, (cpu_s, status) in zip(hosts, before, strict=True):
        now = host.status()
        core.append((_cpu_s(host) - cpu_s) / WINDOW_S * 100)
        sent.append((now["peer_bytes_sent"] - status["peer_bytes_sent"]) / WINDOW_S)
        received = (now["peer_bytes_received"] - status["peer_bytes_received"]) / WINDOW_S
        both.append(sent[-1] + received)
    memory = [_memory_mb(host) for host in hosts]
    return [
        _figure("process_core_percent_at_6", core, "% of a core", CORE_TARGET_PERCENT),
        _figure("process_memory_mb_at_6", memory, "MB", MEMORY_TARGET_MB),
        Figure("process_bytes_sent_per_s_at_6", max(sent), "B/s"),
        _figure("process_bytes_both_ways_per_s_at_6", both, "B/s", BYTES_TARGET),
    ]


def _measure_in_force(fleet: Fleet, text: str) -> float:
    """Return the time from the accepted append until the last host has it in force."""
    return fleet.wait_in_force(fleet.publish(text))


def _measure_replacement(host: HostProcess) -> float:
    """Return the time from the start of a fresh process until it is ready."""
    host.kill()
    began = time.monotonic()
    host.spawn()
    wait_until(host.is_ready, f"{host.name} is ready")
    return time.monotonic() - began


def _cpu_s(host: HostProcess) -> float:
    assert host.process is not None
    fields = Path(f"/proc/{host.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_mb(host: HostProcess) -> float:
    assert host.process is not None
    pages = int(Path(f"/proc/{host.process.pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / KB_PER_MB / KB_PER_MB
