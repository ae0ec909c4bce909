"""Rosters of the alive hosts of each zone, exchanged by fingerprint."""

import functools
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._messages import Roster, RosterFingerprint
from poplarrun.peers._peer import ALIVE_TIMEOUT_S, ATTESTED_ALIVE_TIMEOUT_S
from poplarrun.peers._peer_table import PeerTable
from poplarrun.rendezvous import hash_name

# A roster expires when its sender hasn't confirmed its fingerprint for this long: the sender is
# dead, or is no aggregator any more and nobody reports to it.
ROSTER_TTL_S = 3.6
# Addresses whose hashes are cached.
HASH_CACHE_SIZE = 4096


@dataclass(slots=True)
class _KnownRoster:
    """A zone's roster as one host sent it.

    Attributes
    ----------
    renewed_at : float
        When that host last sent its fingerprint.
    """

    fingerprint: int
    hosts: frozenset[str]
    renewed_at: float


@dataclass
class Rosters:
    """The rosters that other hosts sent, and those that this host sends.

    A roster is sent on request only. Each digest carries the fingerprints of its sender's
    rosters, and thereby attests the hosts of the roster that the receiver already has.
    """

    _peer_table: PeerTable
    _known: dict[tuple[str, str], _KnownRoster] = field(default_factory=dict)

    def fingerprints(self, is_other_zone: bool, now: float) -> list[RosterFingerprint]:
        """Return the fingerprints of the rosters to send.

        Parameters
        ----------
        is_other_zone : bool
            Whether the receiver is in another zone. It gets the fingerprint of this host's zone
            only, since zones don't attest the hosts of third zones.
        """
        zones = {self._peer_table.zone} if is_other_zone else self._peer_table.heard_zones(now)
        return [
            RosterFingerprint(
                zone, fingerprint_of(self.roster(zone, now)), self.roster_age_s(zone, now)
            )
            for zone in sorted(zones)
        ]

    def roster(self, zone: str, now: float) -> list[str]:
        """Return the hosts of a zone that this host knows first-hand to be alive."""
        peers = self._peer_table.alive_peers_in(zone, now)
        if zone == self._peer_table.zone:
            heard = [peer.address for peer in peers if now - peer.heard_at < ALIVE_TIMEOUT_S]
            return [self._peer_table.address, *heard]
        return [peer.address for peer in peers if peer.is_known_first_hand(now)]

    def roster_age_s(self, zone: str, now: float) -> float:
        """Return how long ago anything was last heard from a zone; 0 for this host's zone."""
        return 0.0 if zone == self._peer_table.zone else self._peer_table.zone_silence_s(zone, now)

    def apply_fingerprint(
        self, source: str, source_zone: str, fingerprint: RosterFingerprint, now: float
    ) -> bool:
        """Record the attestations of a roster; return False if that roster is not known."""
        if fingerprint.age_s > ATTESTED_ALIVE_TIMEOUT_S:
            return True
        known = self._known.get((source, fingerprint.zone))
        if known is None or known.fingerprint != fingerprint.fingerprint:
            same = (
                each
                for (_, zone), each in self._known.items()
                if zone == fingerprint.zone and each.fingerprint == fingerprint.fingerprint
            )
            known = next(same, None)
            if known is None:
                return False
            known = _KnownRoster(known.fingerprint, known.hosts, now)
            self._replace_roster(source, fingerprint.zone, known)
        known.renewed_at = now
        is_first_hand = source_zone == fingerprint.zone
        self._peer_table.record_attestation(
            fingerprint.zone, known.hosts, now - max(0.0, fingerprint.age_s), is_first_hand
        )
        return True

    def apply_roster(self, roster: Roster, source_zone: str, now: float) -> None:
        """Store a received roster and record its attestations."""
        known = _KnownRoster(fingerprint_of(roster.hosts), frozenset(roster.hosts), now)
        self._replace_roster(roster.address, roster.zone, known)
        at = now - max(0.0, roster.age_s)
        self._peer_table.record_attestation(
            roster.zone, known.hosts, at, source_zone == roster.zone
        )

    def expire(self, now: float) -> None:
        """Remove the rosters whose senders don't confirm them any more."""
        for (source, zone), known in list(self._known.items()):
            if now - known.renewed_at > ROSTER_TTL_S:
                del self._known[source, zone]
                self._withdraw_attestations(zone, known.hosts)

    def _replace_roster(self, source: str, zone: str, known: _KnownRoster) -> None:
        before = self._known.get((source, zone))
        self._known[source, zone] = known
        if before is not None:
            self._withdraw_attestations(zone, before.hosts - known.hosts)

    def _withdraw_attestations(self, zone: str, hosts: frozenset[str]) -> None:
        """Drop the attestations of hosts that no remaining roster of the zone names."""
        lists = [each.hosts for (_, of), each in self._known.items() if of == zone]
        # If no roster of the zone is left, its hosts stay alive until their attestations expire.
        if lists:
            self._peer_table.clear_attestations(hosts.difference(*lists))


def fingerprint_of(hosts: Iterable[str]) -> int:
    """Return a number that identifies a set of hosts, independent of their order."""
    fingerprint = 0
    for host in set(hosts):
        fingerprint ^= _cached_hash(host)
    return fingerprint


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def _cached_hash(host: str) -> int:
    return hash_name(host)
