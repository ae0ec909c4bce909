"""Two hosts stand for one job, all in memory; the holder dies and the other takes over."""

import asyncio
import random

from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.leases import LeaseManager
from poplarrun.log import MemoryLog, ThreadedLog, call_inline
from poplarrun.metrics import Metrics

JOB = "nightly-report"
DURATION_S = 5.0
ROUND_S = 0.5
BOUND_S = 60.0


class Clock:
    """Time that this program moves itself, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


async def wait_for_fence(keeper: LeaseManager, clock: Clock) -> int:
    """Do rounds until a keeper holds the job; return its fencing number."""
    while clock.now < BOUND_S:
        await keeper.run_round()
        lease = keeper.find(JOB)
        if lease is not None:
            return lease.fence
        clock.now += ROUND_S
    raise TimeoutError("nobody holds the job")


async def run() -> None:
    """Let a1 take the job and die, and b1 take it over."""
    clock, log, network = Clock(), MemoryLog(), MemoryPeerNetwork()
    keepers = {}
    for name in ("a1", "b1"):
        peers = MemoryPeers(network, Peer(name, name[0], "local", 1))
        threaded = ThreadedLog(log, call_inline)
        keepers[name] = LeaseManager(threaded, peers, Metrics(), random.Random(name), clock)
        keepers[name].campaign_for(JOB, DURATION_S)
    fence = await wait_for_fence(keepers["a1"], clock)
    print(f"a1 holds the job with fencing number {fence}")
    network.down.add("a1")
    died_at = clock.now
    fence = await wait_for_fence(keepers["b1"], clock)
    print(f"b1 took over {clock.now - died_at:.1f} s later with fencing number {fence}")
    print(f"a1 finds its lease gone: {keepers['a1'].find(JOB) is None}")


if __name__ == "__main__":
    asyncio.run(run())
