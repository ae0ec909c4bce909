"""Rendezvous hashing: who usually does a job, without asking anyone."""

import hashlib
from collections.abc import Iterable, Sequence


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Order hosts by their claim to a key, the usual owner first.

    Two hosts with different views of who is live may name different owners;
    that costs a repeated append and no more, because the log's fold decides.
    """
    return sorted(hosts, key=lambda host: _score(key, host), reverse=True)


def _score(key: str, host: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{host}".encode(), digest_size=8).digest()


class RankingCache:
    """Keeps the orders of ``rank_hosts`` until the hosts change."""

    def __init__(self) -> None:
        self._hosts: tuple[str, ...] = ()
        self._ranked: dict[str, list[str]] = {}

    def rank(self, key: str, hosts: tuple[str, ...]) -> list[str]:
        """Order hosts by their claim to a key, the usual owner first."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._ranked.clear()
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = self._ranked[key] = rank_hosts(key, hosts)
        return ranked


def hash_name(name: str) -> int:
    """Return the number that an endpoint's name adds to the rendezvous hash."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=7).digest())


def choose_owner(key: int, salts: Sequence[tuple[str, int]]) -> str | None:
    """Return the endpoint that a prefix usually goes to, by rendezvous hashing.

    Every host computes the same home without a message. Tuples of integers
    hash alike in all processes, unlike strings.
    """
    if not salts:
        return None
    return max(salts, key=lambda entry: hash((key, entry[1])))[0]
