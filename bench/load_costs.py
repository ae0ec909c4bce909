"""Time, memory and bytes that decisions cost, against sizes."""

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
    """Return a table in which every endpoint holds one version, over seven zones."""
    table = EndpointTable("a", random.Random(1))
    table.apply_host_list(
        tuple(
            ListedHost(f"e{n}", HostKind.MODEL_ENGINE, "abcdefg"[n % 7], str(n), HostState.LIVE)
            for n in range(endpoints)
        )
    )
    # At the two-year size a host is assigned two or three of 830.
    table.set_owned_endpoints(frozenset({"e0", "e7", "e14"}))
    source = random.Random(2)
    for at in (0.0, 1.0):
        for n in range(endpoints):
            table.apply_load(f"e{n}", frozenset({VERSION}), source.randrange(60, 90), 96, at)
    return table


def time_decisions(endpoints: int) -> float:
    """Return the median time of a choice with 32 blocks, in microseconds."""
    table = make_table(endpoints)
    prompts = [tuple(random.Random(n // 4).getrandbits(56) for _ in range(32)) for n in range(400)]
    taken = []
    for n in range(3000):
        now = 2.0 + n * 0.001
        demand = PromptProfile(512, prompts[n % len(prompts)])
        began = time.perf_counter()
        choice = table.choose_engine(VERSION, now, (), demand)
        assert choice is not None
        table.record_sent(choice.endpoint.name, now, VERSION, demand.blocks)
        taken.append((time.perf_counter() - began) * 1e6)
        table.record_finished(choice.endpoint.name, now)
    return sorted(taken)[len(taken) // 2]


def measure_table_bytes(endpoints: int) -> float:
    """Return the memory of a table."""
    tracemalloc.start()
    table = make_table(endpoints)
    table.choose_engine(VERSION, 2.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_index_bytes(blocks: int) -> float:
    """Return the memory of an index of so many blocks, held by three endpoints each."""
    source = random.Random(3)
    tracemalloc.start()
    index = PrefixIndex()
    while len(index) < blocks:
        prompt = tuple(source.getrandbits(56) for _ in range(8))
        for name in ("e1", "e2", "e3"):
            index.record_sent(name, VERSION, prompt, 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def measure_load_summary(engines: int) -> float:
    """Return the bytes of a host's load summary when it polls so many engines."""
    table = make_table(engines * 7)
    network = MemoryPeerNetwork()
    peers = MemoryPeers(network, Peer("a1", "a", "r", 0))
    for zone in "bcdefg":
        MemoryPeers(network, Peer(f"{zone}1", zone, "r", 0))
    LoadSharing(peers, table).publish(2.0)
    return float(len(peers.collect_summaries(LOAD_TOPIC).own_zone["a1"]))


def measure_limits_summary(accounts: int) -> float:
    """Return the bytes of a host's shares of so many accounts, each with four limits."""
    limits = AccountLimitSettings(100.0, 1e6, 100, 50.0)
    found = [ClientAccount(f"account-{n}", (), (), (), (), limits) for n in range(accounts)]
    peers = MemoryPeers(MemoryPeerNetwork(), Peer("a1", "a", "r", 0))
    part = AccountLimits(peers)
    for now in range(1, 20):
        part.close_round(found, float(now), float(now))
    return float(len(peers.collect_summaries(LIMITS_TOPIC).own_zone["a1"]))


def cost_slopes() -> tuple[list[Figure], list[Slope]]:
    """Measure the time and memory of decisions against sizes."""
    sizes = (48, 200, 830)
    times = [(float(n), round(time_decisions(n), 1)) for n in sizes]
    tables = [(float(n), measure_table_bytes(n)) for n in sizes]
    blocks = [(float(n), measure_index_bytes(n)) for n in (1000, 5000, 20_000)]
    summaries = tuple((float(n), measure_load_summary(n)) for n in (2, 10, 50))
    shares = tuple((float(n), measure_limits_summary(n)) for n in (1, 10, 50))
    median = times[-1][1]
    target = "under 100 us median at 830 endpoints"
    figures = [Figure("decision time", median, "us", target=target, holds=median < 100.0)]
    slopes = [
        Slope("decision time", "endpoints", "us", tuple(times), COMMAND),
        Slope("endpoint table", "endpoints", "bytes", tuple(tables), COMMAND),
        Slope("load summary", "polled engines", "bytes", summaries, COMMAND),
        Slope("limits summary", "client accounts", "bytes", shares, COMMAND),
        Slope("prefix index", "cached blocks", "bytes", tuple(blocks), COMMAND),
    ]
    return figures, slopes
