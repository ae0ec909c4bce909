"""Three hosts discover each other on loopback; one stops without notice and is detected."""

import asyncio
import random
import socket
import time

from poplarrun.hosts import NetworkPeers, Peer
from poplarrun.links import NngLinks
from poplarrun.metrics import Metrics

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


def find_free_address() -> str:
    """Return an ``ip:port`` on loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def wait_for_live(peers: NetworkPeers, count: int) -> float:
    """Wait until a host sees ``count`` live hosts, itself included; return the seconds taken."""
    started_at = time.monotonic()
    while len(peers.live()) != count:
        if time.monotonic() > started_at + TIMEOUT_S:
            raise TimeoutError(f"{len(peers.live())} hosts live, expected {count}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


async def run() -> None:
    """Start three hosts, stop one, and print how long the others took to detect it."""
    addresses = [find_free_address() for _ in range(3)]
    members = [
        NetworkPeers(
            Peer(f"a{number}", "a", "local", 1),
            NngLinks(address),
            tuple(other for other in addresses if other != address),
            Metrics(),
            random.Random(number),
        )
        for number, address in enumerate(addresses, start=1)
    ]
    for member in members:
        member.start()
    print(f"three hosts live after {await wait_for_live(members[0], 3):.1f} s")
    members[1].stop()
    print(f"a2 is held dead after {await wait_for_live(members[0], 2):.1f} s")
    for member in members:
        member.stop()


if __name__ == "__main__":
    asyncio.run(run())
