"""Lists of the hosts that are alive, by zone, and the short marks that stand for them."""

import functools
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._messages import Roster, RosterFingerprint
from poplarrun.peers._peer import ALIVE_S, TOLD_ALIVE_S
from poplarrun.peers._peer_table import PeerTable
from poplarrun.rendezvous import hash_name

# A list whose mark was not told for so long holds no more, in seconds: its host is dead, or
# has become an ordinary one that nobody reports to.
LIST_KEPT_S = 3.6
# Addresses whose hashes are kept.
KEPT_SALTS = 4096


@dataclass(slots=True)
class _KnownRoster:
    """The hosts of a zone, as one host lists them.

    Attributes
    ----------
    confirmed_at : float
        When the host last told their mark.
    """

    mark: int
    hosts: frozenset[str]
    confirmed_at: float


@dataclass
class Rosters:
    """What hosts tell each other of who is alive.

    A list is sent on asking only; each digest bears its mark, and by that vouches for the
    hosts on the list that its receiver has.
    """

    _peer_table: PeerTable
    _listed: dict[tuple[str, str], _KnownRoster] = field(default_factory=dict)

    def marks(self, is_far: bool, now: float) -> list[RosterFingerprint]:
        """Return what stands for the lists of the zones' hosts.

        Parameters
        ----------
        is_far : bool
            Whether a host of another zone is told, which needs the own zone's only: zones
            don't vouch for third ones.
        """
        zones = {self._peer_table.zone} if is_far else self._peer_table.heard_zones(now)
        return [
            RosterFingerprint(zone, mark_of(self.roster(zone, now)), self.roster_age_s(zone, now))
            for zone in sorted(zones)
        ]

    def roster(self, zone: str, now: float) -> list[str]:
        """Return the hosts of a zone that this one knows first-hand to be alive."""
        peers = self._peer_table.alive_in(zone, now)
        if zone == self._peer_table.zone:
            heard = [peer.address for peer in peers if now - peer.heard_at < ALIVE_S]
            return [self._peer_table.address, *heard]
        return [peer.address for peer in peers if peer.is_known_first_hand(now)]

    def roster_age_s(self, zone: str, now: float) -> float:
        """Return how long ago a zone was last heard of."""
        return 0.0 if zone == self._peer_table.zone else self._peer_table.zone_age_s(zone, now)

    def take_mark(self, source: str, source_zone: str, mark: RosterFingerprint, now: float) -> bool:
        """Take in that a host vouches for a zone's hosts; False where its list is not known."""
        if mark.age_s > TOLD_ALIVE_S:
            return True
        listed = self._listed.get((source, mark.zone))
        if listed is None or listed.mark != mark.mark:
            same = (
                each
                for (_, zone), each in self._listed.items()
                if zone == mark.zone and each.mark == mark.mark
            )
            listed = next(same, None)
            if listed is None:
                return False
            listed = _KnownRoster(listed.mark, listed.hosts, now)
            self._list(source, mark.zone, listed)
        listed.confirmed_at = now
        is_first_hand = source_zone == mark.zone
        self._peer_table.vouch(mark.zone, listed.hosts, now - max(0.0, mark.age_s), is_first_hand)
        return True

    def take_roster(self, roster: Roster, source_zone: str, now: float) -> None:
        """Take in the list of a zone's hosts."""
        listed = _KnownRoster(mark_of(roster.hosts), frozenset(roster.hosts), now)
        self._list(roster.address, roster.zone, listed)
        at = now - max(0.0, roster.age_s)
        self._peer_table.vouch(roster.zone, listed.hosts, at, source_zone == roster.zone)

    def forget(self, now: float) -> None:
        """Drop the lists that are not told any more."""
        for (source, zone), listed in list(self._listed.items()):
            if now - listed.confirmed_at > LIST_KEPT_S:
                del self._listed[source, zone]
                self._drop(zone, listed.hosts)

    def _list(self, source: str, zone: str, listed: _KnownRoster) -> None:
        before = self._listed.get((source, zone))
        self._listed[source, zone] = listed
        if before is not None:
            self._drop(zone, before.hosts - listed.hosts)

    def _drop(self, zone: str, hosts: frozenset[str]) -> None:
        """Take in that one host vouches for others no longer; another one may still do."""
        lists = [each.hosts for (_, of), each in self._listed.items() if of == zone]
        # Where all lists of a zone are gone, its hosts count until their time is over.
        if lists:
            self._peer_table.drop_vouched(hosts.difference(*lists))


def mark_of(hosts: Iterable[str]) -> int:
    """Return a number that stands for a list of hosts, whatever its order."""
    mark = 0
    for host in set(hosts):
        mark ^= _salt_of(host)
    return mark


@functools.lru_cache(maxsize=KEPT_SALTS)
def _salt_of(host: str) -> int:
    return hash_name(host)
