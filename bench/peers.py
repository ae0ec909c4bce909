"""Measures the cost of the gateway's peer messages by fleet size: ``python -m bench.peers``.

All hosts of a fleet run in one process in virtual time, without sockets, callers or a store.
Messages and bytes are averages over all hosts; bytes are also given for the busiest host.
"""

import asyncio
import sys
import time
from dataclasses import dataclass

from bench.figures import Figure, Slope, report
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import run_by_virtual_clock

COMMAND = "python -m bench.peers"
RANDOM_SEED = 4107
# Fleets of different sizes, each as the number of hosts and the names of its zones.
FLEETS = ((6, "abc"), (24, "abc"), (66, "abc"), (195, "abcde"), (392, "abcdefg"))
CONVERGENCE_DELAY_S = 6.0
MEASUREMENT_WINDOW_S = 6.0
REQUESTS = 3
BUSY_ENDPOINTS = 2


@dataclass(frozen=True)
class MessageCost:
    """Cost of the peer messages per second.

    Attributes
    ----------
    messages : float
        Messages sent, mean over all hosts.
    bytes_sent, max_bytes_sent : float
        Mean over all hosts, and of the host that sends most.
    core_fraction : float
        Processor time as a fraction of one core, mean over all hosts.
    cross_zone_messages : float
        Messages between zones, of all hosts together.
    """

    messages: float
    bytes_sent: float
    max_bytes_sent: float
    core_fraction: float
    cross_zone_messages: float


async def measure_cost(hosts: int, zones: str) -> MessageCost:
    """Return the cost of the messages in a fleet that has converged."""
    fleet = PeerFleet(RANDOM_SEED, hosts, zones)
    fleet.set_in_flight(REQUESTS, BUSY_ENDPOINTS)
    fleet.start_peering()
    await asyncio.sleep(CONVERGENCE_DELAY_S)
    cpu_started_at = time.process_time()
    messages, cross_zone_messages = fleet.messages, fleet.cross_zone_messages
    sent = fleet.bytes_sent()
    await asyncio.sleep(MEASUREMENT_WINDOW_S)
    bytes_sent = [now - before for now, before in zip(fleet.bytes_sent(), sent, strict=True)]
    return MessageCost(
        (fleet.messages - messages) / MEASUREMENT_WINDOW_S / hosts,
        sum(bytes_sent) / MEASUREMENT_WINDOW_S / hosts,
        max(bytes_sent) / MEASUREMENT_WINDOW_S,
        (time.process_time() - cpu_started_at) / MEASUREMENT_WINDOW_S / hosts,
        (fleet.cross_zone_messages - cross_zone_messages) / MEASUREMENT_WINDOW_S,
    )


def main() -> int:
    """Run the bench; return the exit code."""
    costs = [(hosts, run_by_virtual_clock(measure_cost(hosts, zones))) for hosts, zones in FLEETS]
    largest_fleet, cost = costs[-1]
    figures = [
        Figure(f"messages_at_{largest_fleet}", round(cost.messages, 1), "messages/s"),
        Figure(f"bytes_at_{largest_fleet}", round(cost.bytes_sent), "bytes/s"),
        Figure(f"most_bytes_at_{largest_fleet}", round(cost.max_bytes_sent), "bytes/s"),
        Figure(f"core_at_{largest_fleet}", round(cost.core_fraction, 5), "cores"),
    ]
    rows = (
        ("messages_by_hosts", "messages/s", [round(each.messages, 2) for _, each in costs]),
        ("bytes_by_hosts", "bytes/s", [round(each.bytes_sent) for _, each in costs]),
        ("most_bytes_by_hosts", "bytes/s", [round(each.max_bytes_sent) for _, each in costs]),
        ("core_by_hosts", "cores", [round(each.core_fraction, 5) for _, each in costs]),
        (
            "far_messages_by_hosts",
            "messages/s",
            [round(each.cross_zone_messages) for _, each in costs],
        ),
    )
    sizes = [float(hosts) for hosts, _ in costs]
    slopes = [
        Slope(name, "hosts", unit, tuple(zip(sizes, values, strict=True)), COMMAND)
        for name, unit, values in rows
    ]
    return report("peers", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
