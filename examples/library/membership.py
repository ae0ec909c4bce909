"""Three hosts find each other on loopback; one dies without a word."""

import asyncio
import random
import socket
import time

from poplarrun.hosts import NetworkPeers, Peer
from poplarrun.links import NngLinks
from poplarrun.metrics import Metrics

BOUND_S = 20.0
POLL_S = 0.05


def find_address() -> str:
    """Return an ``ip:port`` on loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def wait_for_live(peers: NetworkPeers, count: int) -> float:
    """Wait until a host holds so many hosts live; return the seconds."""
    began = time.monotonic()
    while len(peers.live()) != count:
        if time.monotonic() > began + BOUND_S:
            raise TimeoutError(f"{len(peers.live())} hosts live, {count} awaited")
        await asyncio.sleep(POLL_S)
    return time.monotonic() - began


async def run() -> None:
    """Start three hosts, silence one, and tell how long the others took to see it."""
    addresses = [find_address() for _ in range(3)]
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
