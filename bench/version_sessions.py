"""Compares ways to pin a session to a version: a signed token, replicas at owner hosts, a hash."""

import asyncio
import hashlib
import statistics

from bench.figures import Figure
from bench.version_decisions import measure_call_times_us
from poplarrun.contracts import AccountLimitSettings, ClientAccount, VersionId, hash_key
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.versions import SessionRegistry, sign_session_token, verify_session_token

ACCOUNT = ClientAccount("shop", (hash_key("a"),), ("*",), ("*",), (), AccountLimitSettings())
VERSION = VersionId("larch", "1")
SESSION_COUNT = 1000
CALL_COUNT = 5000


def bench_sessions() -> list[Figure]:
    """Measure the cost or the loss of each way."""
    token = sign_session_token(ACCOUNT, "borough-report-7", VERSION)
    sign_times_us = measure_call_times_us(
        lambda: sign_session_token(ACCOUNT, "borough-report-7", VERSION), CALL_COUNT
    )
    verify_times_us = measure_call_times_us(
        lambda: verify_session_token(ACCOUNT, token), CALL_COUNT
    )
    one_host, one_zone = asyncio.run(measure_found_fraction(1)), asyncio.run(
        measure_found_fraction(2)
    )
    return [
        Figure("session token, sign, median", statistics.median(sign_times_us), "us"),
        Figure("session token, read and check, median", statistics.median(verify_times_us), "us"),
        Figure("session token, header", len(token), "bytes"),
        Figure("home hosts: sessions found after 1 of 6 hosts died", one_host, "share",
               target="all", holds=one_host == 1.0),
        Figure("home hosts: sessions found after a zone of 2 hosts died", one_zone, "share",
               target="all", holds=one_zone == 1.0),
        Figure("home hosts: messages to open a session, at most", 6, "messages"),
        Figure("function of the id: sessions moved when a fourth version is offered",
               measure_moved_fraction(3, 4), "share"),
    ]  # fmt: skip


async def measure_found_fraction(dead_hosts: int) -> float:
    """Return the fraction of sessions that the remaining hosts find after some hosts died."""
    network = MemoryPeerNetwork()
    peers = [MemoryPeers(network, Peer(f"h{n}", "abc"[n % 3], "r", 1)) for n in range(6)]
    registries = [SessionRegistry(member) for member in peers]
    for number in range(SESSION_COUNT):
        await registries[number % 6].open("shop", f"s{number}", VERSION)
    network.down |= {f"h{3 * n}" for n in range(dead_hosts)}
    live_registries = [registry for registry, member in zip(registries, peers, strict=True)
            if member.me.name not in network.down]  # fmt: skip
    found = [
        await live_registries[number % len(live_registries)].find("shop", f"s{number}") == VERSION
        for number in range(SESSION_COUNT)
    ]
    return statistics.fmean(found)


def measure_moved_fraction(old_count: int, new_count: int) -> float:
    """Return the fraction of sessions that rendezvous hashing moves to another version."""
    moved = [
        _choose(f"s{n}", old_count) != _choose(f"s{n}", new_count) for n in range(SESSION_COUNT)
    ]
    return statistics.fmean(moved)


def _choose(session: str, versions: int) -> int:
    def score(version: int) -> bytes:
        return hashlib.blake2b(f"{session}/{version}".encode(), digest_size=8).digest()

    return max(range(versions), key=score)
