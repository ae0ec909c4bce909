"""Hosts and zones: convergence, configuration in force, and what control costs a host.

Three parts: many hosts' membership and configuration in one process in virtual
time over the test transport; six host processes over pynng on loopback; and
cold, warm and hot standby for the state of a control job.
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
COUNTS = (3, 6, 12, 24, 48)
HORIZON_HOSTS = 390
HORIZON_ZONES = "abcdefg"
# Whole zones of the same size, next to the 390 hosts of the horizon.
HORIZON_PER_ZONE = 56
WINDOW_S = 10.0
SETTLE_S = 5.0
# What the parts of a host publish: two counters' worth and a page of estimates.
SUMMARY_BYTES = (40, 120)
SUMMARY_PERIOD_S = 1.0
VERSION = "{stage: offered, price: {input_per_mtok: 1, output_per_mtok: 1}}"
DOCUMENT = f"models: {{larch: {{versions: {{'1': {VERSION}}}}}}}"
CORE_TARGET_PERCENT = 4.8
BYTES_TARGET = 9000.0
IN_FORCE_TARGET_S = 11.0


@dataclass(frozen=True)
class Costs:
    """What one size costs."""

    hosts: int
    converge_s: float
    death_s: float
    in_force_s: float
    core_percent: float
    bytes_sent_per_s: float
    bytes_both_ways_most_per_s: float


async def call(function: Callable, *arguments: object) -> object:
    return function(*arguments)


def start_followers(fleet: VirtualFleet, log: MemoryLog) -> dict[str, ConfigFollower]:
    """Let every host follow the configuration in the same log."""
    loop = asyncio.get_running_loop()
    followers = {}
    for name, peers in fleet.peers.items():
        follower = ConfigFollower(
            log,
            peers,
            fleet.metrics[name],
            call,
            lambda *_: None,
            random.Random(name),
            loop.time,
            loop.time,
        )
        followers[name] = follower
    return followers


async def follow(follower: ConfigFollower) -> None:
    while True:
        await follower.follow()
        await follower.wait()


async def publish_summaries(fleet: VirtualFleet) -> None:
    """Publish changing summaries of every host, as its parts do."""
    topics = [SummaryTopic(f"topic{size}", lambda payloads: payloads[0]) for size in SUMMARY_BYTES]
    turn = 0
    while True:
        turn += 1
        for peers in fleet.peers.values():
            for topic, size in zip(topics, SUMMARY_BYTES, strict=True):
                peers.publish(topic, turn.to_bytes(4, "big") * (size // 4))
        await asyncio.sleep(SUMMARY_PERIOD_S)


async def measure_size(zones: str, per_zone: int) -> Costs:
    """Measure one size: start all at once, publish, run on, lose a host."""
    loop = asyncio.get_running_loop()
    fleet = VirtualFleet(1, zones)
    fleet.start(per_zone)
    log = MemoryLog()
    followers = start_followers(fleet, log)
    tasks = [loop.create_task(follow(follower)) for follower in followers.values()]
    tasks.append(loop.create_task(publish_summaries(fleet)))
    converge_s = await fleet.wait_until(fleet.is_converged, "the hosts agree", 120)
    await asyncio.sleep(SETTLE_S)
    publication = Publication("id", -1, "ada", 0.0, DOCUMENT)
    outcome = log.append(CONFIG_STREAM, encode_record(publication))
    assert isinstance(outcome, Appended)
    in_force_s = await fleet.wait_until(
        lambda: all(f.state.offset == outcome.offset for f in followers.values()), "in force", 60
    )
    before = {name: (e.bytes_sent, e.bytes_received) for name, e in fleet.links.items()}
    began = time.process_time()
    await asyncio.sleep(WINDOW_S)
    core = (time.process_time() - began) / WINDOW_S / len(fleet.peers)
    sent = [(e.bytes_sent - before[n][0]) / WINDOW_S for n, e in fleet.links.items()]
    both = [s + (e.bytes_received - before[n][1]) / WINDOW_S for s, (n, e) in _pairs(sent, fleet)]
    fleet.kill_host(f"{zones[-1]}{per_zone}")
    death_s = await fleet.wait_until(fleet.is_converged, "the death is known", 120)
    for task in tasks:
        task.cancel()
    return Costs(
        len(sent),
        converge_s,
        death_s,
        in_force_s,
        core * 100,
        statistics.mean(sent),
        max(both),
    )


async def measure_memory_kb(per_zone: int) -> float:
    """Return the Python objects of one host's membership, zones and summaries, in KB."""
    tracemalloc.start()
    fleet = VirtualFleet(1, "abc")
    fleet.start(per_zone)
    task = asyncio.get_running_loop().create_task(publish_summaries(fleet))
    await fleet.wait_until(fleet.is_converged, "the hosts agree", 120)
    await asyncio.sleep(SETTLE_S)
    memory_kb = tracemalloc.get_traced_memory()[0] / len(fleet.peers) / 1000
    tracemalloc.stop()
    task.cancel()
    return memory_kb


def _pairs(sent: list[float], fleet: VirtualFleet) -> list:
    return list(zip(sent, fleet.links.items(), strict=True))


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, value at zero, and the root of the mean squared residual."""
    slope, start = statistics.linear_regression(*zip(*points, strict=True))
    errors = [(y - start - slope * x) ** 2 for x, y in points]
    return slope, start, statistics.mean(errors) ** 0.5


def main() -> int:
    sizes = [run_virtual(measure_size("abc", count // 3)) for count in COUNTS]
    horizon = run_virtual(measure_size(HORIZON_ZONES, HORIZON_PER_ZONE))
    figures, slopes = [], []
    for name, unit, read in (
        ("converge_s", "s", lambda c: c.converge_s),
        ("death_known_s", "s", lambda c: c.death_s),
        ("in_force_s", "s", lambda c: c.in_force_s),
        ("core_percent", "% of a core", lambda c: c.core_percent),
        ("bytes_sent_per_s", "B/s", lambda c: c.bytes_sent_per_s),
        ("bytes_both_ways_most_per_s", "B/s", lambda c: c.bytes_both_ways_most_per_s),
    ):
        points = [(float(c.hosts), float(read(c))) for c in sizes]
        slopes.append(Slope(name, "hosts", unit, tuple(points), COMMAND))
        slope, start, error = fit_line(points)
        figures.append(Figure(f"{name}_fitted_at_390", start + slope * HORIZON_HOSTS, unit, error))
        figures += [Figure(f"{name}_at_{c.hosts}", read(c), unit) for c in sizes]
    memory = [(float(count), run_virtual(measure_memory_kb(count // 3))) for count in COUNTS]
    slopes.append(Slope("memory_kb", "hosts", "KB of Python objects", tuple(memory), COMMAND))
    slope, start, error = fit_line(memory)
    at_horizon_kb = start + slope * HORIZON_HOSTS
    figures.append(Figure("memory_kb_fitted_at_390", at_horizon_kb, "KB of Python objects", error))
    figures += horizon_figures(horizon)
    figures += measure_processes() + measure_standby()
    return report("hosts", figures, slopes)


def horizon_figures(costs: Costs) -> list[Figure]:
    """Return the figures of the whole horizon's size, in one process."""
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
            target=f"<= {BYTES_TARGET} B/s",
            holds=costs.bytes_both_ways_most_per_s <= BYTES_TARGET,
        ),
    ]


if __name__ == "__main__":
    sys.exit(main())
