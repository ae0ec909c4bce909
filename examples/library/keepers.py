"""Two in-memory hosts campaign for one job's lease; the holder dies and the other takes over."""

import asyncio
import random

from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.leases import LeaseManager
from poplarrun.log import MemoryLog, ThreadedLog, call_inline
from poplarrun.metrics import Metrics

JOB = "nightly-report"
LEASE_TTL_S = 5.0
ROUND_INTERVAL_S = 0.5
TIMEOUT_S = 60.0


class Clock:
    """A clock that the program advances itself, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the current time, in seconds."""
        return self.now


async def acquire_lease(manager: LeaseManager, clock: Clock) -> int:
    """Run lease rounds until the manager holds the job; return the fencing number."""
    while clock.now < TIMEOUT_S:
        await manager.run_round()
        lease = manager.find(JOB)
        if lease is not None:
            return lease.fence
        clock.now += ROUND_INTERVAL_S
    raise TimeoutError(f"no host acquired the lease within {TIMEOUT_S:g} s")


async def run() -> None:
    """Let a1 acquire the lease and die, and b1 take it over."""
    clock, log, network = Clock(), MemoryLog(), MemoryPeerNetwork()
    managers = {}
    for name in ("a1", "b1"):
        peers = MemoryPeers(network, Peer(name, name[0], "local", 1))
        threaded = ThreadedLog(log, call_inline)
        managers[name] = LeaseManager(threaded, peers, Metrics(), random.Random(name), clock)
        managers[name].campaign_for(JOB, LEASE_TTL_S)
    fence = await acquire_lease(managers["a1"], clock)
    print(f"a1 holds the job with fencing number {fence}")
    network.down.add("a1")
    died_at = clock.now
    fence = await acquire_lease(managers["b1"], clock)
    print(f"b1 took over {clock.now - died_at:.1f} s later with fencing number {fence}")
    print(f"a1 finds its lease gone: {managers['a1'].find(JOB) is None}")


if __name__ == "__main__":
    asyncio.run(run())
