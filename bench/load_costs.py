"""Measures time, memory and message bytes of load balancing by size."""

import random
import time
import tracemalloc

from bench.figures import Figure, Slope
from bench.load_common import COMMAND
from bench.load_policies import VERSION
from poplarrun.clients import HostKind, HostState, ListedHost
from poplarrun.contracts import AccountLimitSettings, ClientAccount
from poplarrun.endpoints import LOAD_TOPIC, EndpointTable, LoadSharing, PrefixIndex, PromptProfile
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.limits import LIMITS_TOPIC, AccountLimits


def make_table(endpoints: int) -> EndpointTable:
    """Return a table of endpoints in seven zones that all serve the same version."""
    table = EndpointTable("a", random.Random(1))
    table.apply_host_list(
        tuple(
            ListedHost(f"e{n}", HostKind.MODEL_ENGINE, "abcdefg"[n % 7], str(n), HostState.LIVE)
            for n in range(endpoints)
        )
    )
    # At the size expected in two years a host owns two or three of 830 endpoints.
    table.set_owned_endpoints(frozenset({"e0", "e7", "e14"}))
    rng = random.Random(2)
    for at in (0.0, 1.0):
        for n in range(endpoints):
            table.apply_load(f"e{n}", frozenset({VERSION}), rng.randrange(60, 90), 96, at)
    return table


def measure_choice_time_us(endpoints: int) -> float:
    """Return the median time of a choice for a prompt of 32 blocks, in microseconds."""
    table = make_table(endpoints)
    prompts = [tuple(random.Random(n // 4).getrandbits(56) for _ in range(32)) for n in range(400)]
    times_us = []
    for n in range(3000):
        now = 2.0 + n * 0.001
        profile = PromptProfile(512, prompts[n % len(prompts)])
        started_at = time.perf_counter()
        choice = table.choose_engine(VERSION, now, (), profile)
        assert choice is not None
        table.record_sent(choice.endpoint.name, now, VERSION, profile.blocks)
        times_us.append((time.perf_counter() - started_at) * 1e6)
        table.record_finished(choice.endpoint.name, now)
    return sorted(times_us)[len(times_us) // 2]


def measure_table_bytes(endpoints: int) -> float:
    """Return the memory of an endpoint table, in bytes."""
    tracemalloc.start()
    table = make_table(endpoints)
    table.choose_engine(VERSION, 2.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_index_bytes(blocks: int) -> float:
    """Return the memory of a prefix index, each block cached at three endpoints, in bytes."""
    rng = random.Random(3)
    tracemalloc.start()
    index = PrefixIndex()
    while len(index) < blocks:
        prompt = tuple(rng.getrandbits(56) for _ in range(8))
        for name in ("e1", "e2", "e3"):
            index.record_sent(name, VERSION, prompt, 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_load_summary(engines: int) -> float:
    """Return the size of the load summary of a host that polls ``engines`` engines, in bytes."""
    table = make_table(engines * 7)
    network = MemoryPeerNetwork()
    peers = MemoryPeers(network, Peer("a1", "a", "r", 0))
    for zone in "bcdefg":
        MemoryPeers(network, Peer(f"{zone}1", zone, "r", 0))
    LoadSharing(peers, table).publish(2.0)
    return float(len(peers.collect_summaries(LOAD_TOPIC).own_zone["a1"]))


def measure_limits_summary(accounts: int) -> float:
    """Return the size of a host's summary of account limits, four per account, in bytes."""
    limits = AccountLimitSettings(100.0, 1e6, 100, 50.0)
    accounts_with_limits = [
        ClientAccount(f"account-{n}", (), (), (), (), limits) for n in range(accounts)
    ]
    peers = MemoryPeers(MemoryPeerNetwork(), Peer("a1", "a", "r", 0))
    account_limits = AccountLimits(peers)
    for now in range(1, 20):
        account_limits.close_round(accounts_with_limits, float(now), float(now))
    return float(len(peers.collect_summaries(LIMITS_TOPIC).own_zone["a1"]))


def measure_costs() -> tuple[list[Figure], list[Slope]]:
    """Measure the time and memory of decisions by size."""
    endpoint_counts = (48, 200, 830)
    choice_times_us = [(float(n), round(measure_choice_time_us(n), 1)) for n in endpoint_counts]
    table_bytes = [(float(n), measure_table_bytes(n)) for n in endpoint_counts]
    blocks = [(float(n), measure_index_bytes(n)) for n in (1000, 5000, 20_000)]
    load_summary_bytes = tuple((float(n), measure_load_summary(n)) for n in (2, 10, 50))
    limits_summary_bytes = tuple((float(n), measure_limits_summary(n)) for n in (1, 10, 50))
    median_us = choice_times_us[-1][1]
    target = "under 100 us median at 830 endpoints"
    figures = [Figure("decision time", median_us, "us", target=target, holds=median_us < 100.0)]
    slopes = [
        Slope("decision time", "endpoints", "us", tuple(choice_times_us), COMMAND),
        Slope("endpoint table", "endpoints", "bytes", tuple(table_bytes), COMMAND),
        Slope("load summary", "polled engines", "bytes", load_summary_bytes, COMMAND),
        Slope("limits summary", "client accounts", "bytes", limits_summary_bytes, COMMAND),
        Slope("prefix index", "cached blocks", "bytes", tuple(blocks), COMMAND),
    ]
    return figures, slopes
