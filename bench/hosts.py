"""Benchmarks membership and configuration: convergence, time to be in force, cost per host.

Three parts: membership and configuration of many hosts in one process, in virtual time
over an in-memory transport; six host processes over pynng on loopback; and cold, warm
and hot standby for the state of a control job.
"""

import asyncio
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from bench.figures import Figure, Slope, report
from bench.hosts_processes import measure_processes
from bench.hosts_standby import measure_standby
from poplarrun.config import CONFIG_STREAM, ConfigFollower, Publication, encode_record
from poplarrun.hosts import SummaryTopic
from poplarrun.log import Appended, MemoryLog
from standins.virtual_fleet import VirtualFleet
from standins.virtual_time import run_virtual

COMMAND = "python -m bench.hosts"
HOST_COUNTS = (3, 6, 12, 24, 48)
PLANNED_HOSTS = 390
PLANNED_ZONES = "abcdefg"
# Zones of equal size, with a total close to the 390 hosts planned for.
PLANNED_HOSTS_PER_ZONE = 56
MEASUREMENT_WINDOW_S = 10.0
WARM_UP_S = 5.0
# Sizes of the summaries that a host publishes: about two counters, and a set of estimates.
SUMMARY_BYTES = (40, 120)
SUMMARY_INTERVAL_S = 1.0
VERSION = "{stage: offered, price: {input_per_mtok: 1, output_per_mtok: 1}}"
DOCUMENT = f"models: {{larch: {{versions: {{'1': {VERSION}}}}}}}"
CORE_TARGET_PERCENT = 4.8
BYTES_PER_S_TARGET = 9000.0
IN_FORCE_TARGET_S = 11.0


@dataclass(frozen=True)
class FleetMeasurements:
    """Measurements of one fleet size."""

    hosts: int
    converge_s: float
    death_s: float
    in_force_s: float
    core_percent: float
    bytes_sent_per_s: float
    bytes_both_ways_most_per_s: float


async def call_async(function: Callable, *arguments: object) -> object:
    """Call a blocking function directly, where a host would use a thread."""
    return function(*arguments)


def start_followers(fleet: VirtualFleet, log: MemoryLog) -> dict[str, ConfigFollower]:
    """Return a follower of the configuration log for every host."""
    loop = asyncio.get_running_loop()
    followers = {}
    for name, peers in fleet.peers.items():
        follower = ConfigFollower(
            log,
            peers,
            fleet.metrics[name],
            call_async,
            lambda *_: None,
            random.Random(name),
            loop.time,
            loop.time,
        )
        followers[name] = follower
    return followers


async def run_follower(follower: ConfigFollower) -> None:
    """Follow the configuration until cancelled."""
    while True:
        await follower.follow()
        await follower.wait()


async def publish_summaries(fleet: VirtualFleet) -> None:
    """Publish changing summaries of every host periodically."""
    topics = [SummaryTopic(f"topic{size}", lambda payloads: payloads[0]) for size in SUMMARY_BYTES]
    round_number = 0
    while True:
        round_number += 1
        for peers in fleet.peers.values():
            for topic, size in zip(topics, SUMMARY_BYTES, strict=True):
                peers.publish(topic, round_number.to_bytes(4, "big") * (size // 4))
        await asyncio.sleep(SUMMARY_INTERVAL_S)


async def measure_size(zones: str, per_zone: int) -> FleetMeasurements:
    """Measure one fleet size: start all hosts at once, publish, idle, kill a host."""
    loop = asyncio.get_running_loop()
    fleet = VirtualFleet(1, zones)
    fleet.start(per_zone)
    log = MemoryLog()
    followers = start_followers(fleet, log)
    tasks = [loop.create_task(run_follower(follower)) for follower in followers.values()]
    tasks.append(loop.create_task(publish_summaries(fleet)))
    converge_s = await fleet.wait_until(fleet.is_converged, "the hosts agree", 120)
    await asyncio.sleep(WARM_UP_S)
    publication = Publication("id", -1, "ada", 0.0, DOCUMENT)
    outcome = log.append(CONFIG_STREAM, encode_record(publication))
    assert isinstance(outcome, Appended)
    in_force_s = await fleet.wait_until(
        lambda: all(f.state.offset == outcome.offset for f in followers.values()), "in force", 60
    )
    bytes_before = {name: (e.bytes_sent, e.bytes_received) for name, e in fleet.links.items()}
    cpu_started_at = time.process_time()
    await asyncio.sleep(MEASUREMENT_WINDOW_S)
    core_fraction = (time.process_time() - cpu_started_at) / MEASUREMENT_WINDOW_S / len(fleet.peers)
    sent_per_s = [
        (e.bytes_sent - bytes_before[n][0]) / MEASUREMENT_WINDOW_S for n, e in fleet.links.items()
    ]
    both_ways_per_s = [
        s + (e.bytes_received - bytes_before[n][1]) / MEASUREMENT_WINDOW_S
        for s, (n, e) in _zip_links(sent_per_s, fleet)
    ]
    fleet.kill_host(f"{zones[-1]}{per_zone}")
    death_s = await fleet.wait_until(fleet.is_converged, "the death is known", 120)
    for task in tasks:
        task.cancel()
    return FleetMeasurements(
        len(sent_per_s),
        converge_s,
        death_s,
        in_force_s,
        core_fraction * 100,
        statistics.mean(sent_per_s),
        max(both_ways_per_s),
    )


async def measure_memory_kb(per_zone: int) -> float:
    """Return the size of one host's Python objects for membership and summaries, in KB."""
    tracemalloc.start()
    fleet = VirtualFleet(1, "abc")
    fleet.start(per_zone)
    task = asyncio.get_running_loop().create_task(publish_summaries(fleet))
    await fleet.wait_until(fleet.is_converged, "the hosts agree", 120)
    await asyncio.sleep(WARM_UP_S)
    memory_kb = tracemalloc.get_traced_memory()[0] / len(fleet.peers) / 1000
    tracemalloc.stop()
    task.cancel()
    return memory_kb


def _zip_links(sent_per_s: list[float], fleet: VirtualFleet) -> list:
    return list(zip(sent_per_s, fleet.links.items(), strict=True))


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return the slope, the value at zero, and the root mean square residual."""
    slope, start = statistics.linear_regression(*zip(*points, strict=True))
    errors = [(y - start - slope * x) ** 2 for x, y in points]
    return slope, start, statistics.mean(errors) ** 0.5


def main() -> int:
    """Run the benchmark; return the exit code."""
    sizes = [run_virtual(measure_size("abc", count // 3)) for count in HOST_COUNTS]
    planned_size = run_virtual(measure_size(PLANNED_ZONES, PLANNED_HOSTS_PER_ZONE))
    figures, slopes = [], []
    for name, unit, get_value in (
        ("converge_s", "s", lambda c: c.converge_s),
        ("death_known_s", "s", lambda c: c.death_s),
        ("in_force_s", "s", lambda c: c.in_force_s),
        ("core_percent", "% of a core", lambda c: c.core_percent),
        ("bytes_sent_per_s", "B/s", lambda c: c.bytes_sent_per_s),
        ("bytes_both_ways_most_per_s", "B/s", lambda c: c.bytes_both_ways_most_per_s),
    ):
        points = [(float(c.hosts), float(get_value(c))) for c in sizes]
        slopes.append(Slope(name, "hosts", unit, tuple(points), COMMAND))
        slope, start, error = fit_line(points)
        figures.append(Figure(f"{name}_fitted_at_390", start + slope * PLANNED_HOSTS, unit, error))
        figures += [Figure(f"{name}_at_{c.hosts}", get_value(c), unit) for c in sizes]
    memory_points_kb = [
        (float(count), run_virtual(measure_memory_kb(count // 3))) for count in HOST_COUNTS
    ]
    slopes.append(
        Slope("memory_kb", "hosts", "KB of Python objects", tuple(memory_points_kb), COMMAND)
    )
    slope, start, error = fit_line(memory_points_kb)
    at_planned_size_kb = start + slope * PLANNED_HOSTS
    figures.append(
        Figure("memory_kb_fitted_at_390", at_planned_size_kb, "KB of Python objects", error)
    )
    figures += make_planned_size_figures(planned_size)
    figures += measure_processes() + measure_standby()
    return report("hosts", figures, slopes)


def make_planned_size_figures(costs: FleetMeasurements) -> list[Figure]:
    """Return the figures of the planned fleet size, measured in one process."""
    return [
        Figure("converge_s_at_392_in_7_zones", costs.converge_s, "s"),
        Figure("death_known_s_at_392_in_7_zones", costs.death_s, "s"),
        Figure(
            "in_force_s_at_392_in_7_zones",
            costs.in_force_s,
            "s",
            target=f"<= {IN_FORCE_TARGET_S} s",
            holds=costs.in_force_s <= IN_FORCE_TARGET_S,
        ),
        Figure(
            "core_percent_at_392_in_7_zones",
            costs.core_percent,
            "% of a core",
            target=f"<= {CORE_TARGET_PERCENT} %",
            holds=costs.core_percent <= CORE_TARGET_PERCENT,
        ),
        Figure("bytes_sent_per_s_at_392_in_7_zones", costs.bytes_sent_per_s, "B/s"),
        Figure(
            "bytes_both_ways_most_per_s_at_392_in_7_zones",
            costs.bytes_both_ways_most_per_s,
            "B/s",
            target=f"<= {BYTES_PER_S_TARGET} B/s",
            holds=costs.bytes_both_ways_most_per_s <= BYTES_PER_S_TARGET,
        ),
    ]


if __name__ == "__main__":
    sys.exit(main())
