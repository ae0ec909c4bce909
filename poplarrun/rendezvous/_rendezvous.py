"""Rendezvous (highest random weight) hashing of keys to hosts and endpoints."""

import hashlib
from collections.abc import Iterable, Sequence


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in descending order of their score for a key, the owner first.

    Hosts that disagree about which hosts are live may compute different owners. That only
    costs a duplicate append, because the fold of the log decides which one counts.
    """
    return sorted(hosts, key=lambda host: _score(key, host), reverse=True)


def _score(key: str, host: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{host}".encode(), digest_size=8).digest()


class RankingCache:
    """Caches the results of ``rank_hosts`` until the set of hosts changes."""

    def __init__(self) -> None:
        self._hosts: tuple[str, ...] = ()
        self._rankings: dict[str, list[str]] = {}

    def rank(self, key: str, hosts: tuple[str, ...]) -> list[str]:
        """Return the hosts in descending order of their score for a key, the owner first."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._rankings.clear()
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = rank_hosts(key, hosts)
        return ranking


def hash_name(name: str) -> int:
    """Return a 56-bit hash of a name, the same in all processes."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest())


def choose_owner(key: int, salts: Sequence[tuple[str, int]]) -> str | None:
    """Return the name of the endpoint that owns a prefix, by rendezvous hashing.

    Parameters
    ----------
    key : int
        Hash of the prefix.
    salts : sequence of tuple of str and int
        Name of each endpoint, and the hash of its name.

    Notes
    -----
    All hosts compute the same owner without communication, since the hash of a tuple of
    integers is the same in all processes, unlike that of a string.
    """
    if not salts:
        return None
    return max(salts, key=lambda candidate: hash((key, candidate[1])))[0]
