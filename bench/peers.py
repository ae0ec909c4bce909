"""What the conversation of the gateway's hosts costs, by their number: ``python -m bench.peers``.

All hosts of a fleet run in one process in virtual time, without sockets, callers or a store.
Bytes and messages are those of a host that is no relay, and of the busiest one.
"""

import asyncio
import sys
import time
from dataclasses import dataclass

from bench.figures import Figure, Slope, report
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import run_by_virtual_clock

COMMAND = "python -m bench.peers"
SEED = 4107
# Fleets of unlike size, as hosts and the names of their zones.
FLEETS = ((6, "abc"), (24, "abc"), (66, "abc"), (195, "abcde"), (392, "abcdefg"))
SETTLED_S = 6.0
WATCHED_S = 6.0
REQUESTS = 3
BUSY_ENDPOINTS = 2


@dataclass(frozen=True)
class Cost:
    """What a host spends a second.

    Attributes
    ----------
    messages : float
        Mean over all hosts.
    bytes_sent, most_bytes_sent : float
        Mean over all hosts, and of the host that sends most.
    core : float
        Processor time, mean over all hosts.
    far_messages : float
        Messages between zones, of all hosts together.
    """

    messages: float
    bytes_sent: float
    most_bytes_sent: float
    core: float
    far_messages: float


async def watch(hosts: int, zones: str) -> Cost:
    """Return what the hosts of a settled fleet spend."""
    fleet = PeerFleet(SEED, hosts, zones)
    fleet.set_in_flight(REQUESTS, BUSY_ENDPOINTS)
    fleet.start_peering()
    await asyncio.sleep(SETTLED_S)
    began = time.process_time()
    messages, far_messages = fleet.messages, fleet.cross_zone_messages
    sent = fleet.bytes_sent()
    await asyncio.sleep(WATCHED_S)
    spent = [now - before for now, before in zip(fleet.bytes_sent(), sent, strict=True)]
    return Cost(
        (fleet.messages - messages) / WATCHED_S / hosts,
        sum(spent) / WATCHED_S / hosts,
        max(spent) / WATCHED_S,
        (time.process_time() - began) / WATCHED_S / hosts,
        (fleet.cross_zone_messages - far_messages) / WATCHED_S,
    )


def main() -> int:
    """Run the bench; return the exit code."""
    costs = [(hosts, run_by_virtual_clock(watch(hosts, zones))) for hosts, zones in FLEETS]
    largest, cost = costs[-1]
    figures = [
        Figure(f"messages_at_{largest}", round(cost.messages, 1), "messages/s"),
        Figure(f"bytes_at_{largest}", round(cost.bytes_sent), "bytes/s"),
        Figure(f"most_bytes_at_{largest}", round(cost.most_bytes_sent), "bytes/s"),
        Figure(f"core_at_{largest}", round(cost.core, 5), "cores"),
    ]
    rows = (
        ("messages_by_hosts", "messages/s", [round(each.messages, 2) for _, each in costs]),
        ("bytes_by_hosts", "bytes/s", [round(each.bytes_sent) for _, each in costs]),
        ("most_bytes_by_hosts", "bytes/s", [round(each.most_bytes_sent) for _, each in costs]),
        ("core_by_hosts", "cores", [round(each.core, 5) for _, each in costs]),
        ("far_messages_by_hosts", "messages/s", [round(each.far_messages) for _, each in costs]),
    )
    sizes = [float(hosts) for hosts, _ in costs]
    slopes = [
        Slope(name, "hosts", unit, tuple(zip(sizes, values, strict=True)), COMMAND)
        for name, unit, values in rows
    ]
    return report("peers", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
