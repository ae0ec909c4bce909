"""The order of hosts by which each finds the owners of a key without communication."""

import bisect
from collections.abc import Set

from poplarrun.rendezvous import hash_name


class OwnerRing:
    """Hosts on a circle, by the hashes of their addresses.

    The owners of a key are the hosts that follow its hash. The hosts that share keys with one host
    are therefore its neighbours, and few of them however many hosts there are. Hosts that disagree
    on one host of the circle still agree on the other owners.
    """

    def __init__(self) -> None:
        self._hosts: Set[str] = frozenset()
        self._addresses: list[str] = []
        self._hashes: list[int] = []

    def update(self, hosts: Set[str]) -> None:
        """Set the hosts of the circle."""
        if hosts == self._hosts:
            return
        self._hosts = frozenset(hosts)
        self._addresses = sorted(hosts, key=lambda address: (hash_name(address), address))
        self._hashes = [hash_name(address) for address in self._addresses]

    def find_owners(self, key: str, count: int, left_out: Set[str]) -> list[str]:
        """Return the first hosts that follow a key's hash, without some that are left out."""
        start = bisect.bisect_right(self._hashes, hash_name(key))
        owners: list[str] = []
        for address in self._addresses[start:] + self._addresses[:start]:
            if address not in left_out:
                owners.append(address)
                if len(owners) == count:
                    break
        return owners

    def find_neighbours(self, address: str, distance: int) -> list[str]:
        """Return the other hosts that are at most so many places away from a host."""
        count = len(self._addresses)
        if address not in self._hosts or count <= 1:
            return []
        place = self._addresses.index(address)
        places = {(place + offset) % count for offset in range(-distance, distance + 1)}
        return [self._addresses[each] for each in sorted(places - {place})]
