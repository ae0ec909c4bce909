"""Groups of hosts among which a budget is divided."""

from collections.abc import Iterable

from poplarrun.rendezvous import RankingCache


class HostGroup:
    """Known hosts, some of which are alive, by address.

    All hosts that see the same group compute the same shares, which change only when a host comes
    or goes.

    Parameters
    ----------
    known : iterable of str
        All hosts that may be there, this one included.
    alive : container of str
        Those that are heard. The others may be dead, or cut off and still use their shares.
    """

    def __init__(self, known: Iterable[str], alive: frozenset[str]) -> None:
        self.known = tuple(sorted(known))
        self.alive = tuple(address for address in self.known if address in alive)
        self._silent = frozenset(self.known) - alive
        self._known_rankings = RankingCache()
        self._alive_rankings = RankingCache()

    @property
    def has_majority(self) -> bool:
        """Whether the living hosts are the majority, of which there is one at a time at most."""
        if 2 * len(self.alive) == len(self.known):
            return bool(self.known) and self.known[0] in self.alive
        return 2 * len(self.alive) > len(self.known)

    def reserved_share(self, address: str, key: str, total: int) -> int:
        """Return a host's share in a division among all known hosts, dead or alive."""
        if address not in self.known:
            return 0
        return _divide(total, self._known_rankings.rank(key, self.known), address)

    def holders(self, address: str, key: str, total: int) -> tuple[str, ...]:
        """Return the other living hosts that have a reserved share."""
        if total >= len(self.known):
            return tuple(host for host in self.alive if host != address)
        first = frozenset(self._known_rankings.rank(key, self.known)[: max(0, total)])
        return tuple(host for host in self.alive if host in first and host != address)

    def living_share(self, address: str, key: str, total: int) -> int:
        """Return a host's share in a division among the living hosts."""
        if address not in self.alive:
            return 0
        return _divide(total, self._alive_rankings.rank(key, self.alive), address)

    def majority_share(self, address: str, key: str, total: int, bound: int) -> int:
        """Return a host's share in a division by the majority that leaves room for all others.

        Parameters
        ----------
        bound : int
            What the members' shares and the reserved shares of the silent hosts may add up to.
        """
        room = bound - self.silent_total(key, total)
        if total <= room:
            return self.living_share(address, key, total)
        # Without the rest of the division: as hosts come and go, it passes from host to host, and
        # all of them together would use more than the room.
        whole = max(0, room) // len(self.alive)
        return max(whole, self.reserved_share(address, key, total))

    def silent_total(self, key: str, total: int) -> int:
        """Return what the hosts that are not heard may use of a total by their reserved shares."""
        if not self._silent:
            return 0
        base, remainder = divmod(total, len(self.known))
        first = self._known_rankings.rank(key, self.known)[:remainder]
        return base * len(self._silent) + len(self._silent.intersection(first))


def _divide(total: int, ranking: list[str], address: str) -> int:
    """Return the share of one host: equal shares, and the rest to the first hosts in rank."""
    base, remainder = divmod(max(0, total), len(ranking))
    return base + (1 if ranking.index(address) < remainder else 0)
