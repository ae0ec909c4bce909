"""The order of hosts by which each finds the owners of a key without communication."""

import bisect
from collections.abc import Set

from poplarrun.rendezvous import hash_name


class OwnerRing:
    """Hosts on a circle, by the hashes of their addresses.

    The owners of a key are the hosts that follow its hash. The hosts that share keys with one host
    are therefore its neighbours, and few of them however many hosts there are. Hosts that disagree
    on one host of the circle still agree on the other owners.

    Parameters
    ----------
    own_address : str
        The host that is always on the circle.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._others: Set[str] = frozenset()
        self._addresses = [own_address]
        self._hashes = [hash_name(own_address)]

    def update(self, others: Set[str]) -> None:
        """Set the other hosts of the circle."""
        if others == self._others:
            return
        self._others = frozenset(others)
        hosts = self._others | {self._own_address}
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

    def find_neighbours(self, distance: int) -> list[str]:
        """Return the other hosts that are at most so many places away from the own one."""
        count = len(self._addresses)
        place = self._addresses.index(self._own_address)
        places = {(place + offset) % count for offset in range(-distance, distance + 1)}
        return [self._addresses[each] for each in sorted(places - {place})]
