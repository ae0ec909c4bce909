"""The ways to keep a session's version: a token, home hosts, or a fixed function of its id."""

import asyncio
import hashlib
import statistics

from bench.figures import Figure
from bench.version_decisions import time_calls
from poplarrun.contracts import AccountLimitSettings, ClientAccount, VersionId, hash_key
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.versions import SessionRegistry, sign_session_token, verify_session_token

ACCOUNT = ClientAccount("shop", (hash_key("a"),), ("*",), ("*",), (), AccountLimitSettings())
VERSION = VersionId("larch", "1")
SESSIONS = 1000
CALLS = 5000


def bench_sessions() -> list[Figure]:
    """Measure each way."""
    token = sign_session_token(ACCOUNT, "borough-report-7", VERSION)
    signed = time_calls(lambda: sign_session_token(ACCOUNT, "borough-report-7", VERSION), CALLS)
    read = time_calls(lambda: verify_session_token(ACCOUNT, token), CALLS)
    one_host, one_zone = asyncio.run(lose_homes(1)), asyncio.run(lose_homes(2))
    return [
        Figure("session token, sign, median", statistics.median(signed), "us"),
        Figure("session token, read and check, median", statistics.median(read), "us"),
        Figure("session token, header", len(token), "bytes"),
        Figure("home hosts: sessions found after 1 of 6 hosts died", one_host, "share",
               target="all", holds=one_host == 1.0),
        Figure("home hosts: sessions found after a zone of 2 hosts died", one_zone, "share",
               target="all", holds=one_zone == 1.0),
        Figure("home hosts: messages to open a session, at most", 6, "messages"),
        Figure("function of the id: sessions moved when a fourth version is offered",
               moved_share(3, 4), "share"),
    ]  # fmt: skip


async def lose_homes(lost: int) -> float:
    """Return the share of sessions that the other hosts find after some died."""
    network = MemoryPeerNetwork()
    peers = [MemoryPeers(network, Peer(f"h{n}", "abc"[n % 3], "r", 1)) for n in range(6)]
    keepers = [SessionRegistry(member) for member in peers]
    for number in range(SESSIONS):
        await keepers[number % 6].open("shop", f"s{number}", VERSION)
    network.down |= {f"h{3 * n}" for n in range(lost)}
    left = [keeper for keeper, member in zip(keepers, peers, strict=True)
            if member.me.name not in network.down]  # fmt: skip
    found = [
        await left[number % len(left)].find("shop", f"s{number}") == VERSION
        for number in range(SESSIONS)
    ]
    return statistics.fmean(found)


def moved_share(before: int, after: int) -> float:
    """Return the share of sessions that a rendezvous choice among versions moves."""
    moved = [_choose(f"s{n}", before) != _choose(f"s{n}", after) for n in range(SESSIONS)]
    return statistics.fmean(moved)


def _choose(session: str, versions: int) -> int:
    def score(version: int) -> bytes:
        return hashlib.blake2b(f"{session}/{version}".encode(), digest_size=8).digest()

    return max(range(versions), key=score)
