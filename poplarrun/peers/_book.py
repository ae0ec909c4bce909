"""The other hosts as this one knows them."""

import math
import random
from dataclasses import dataclass, field

from poplarrun.peers._messages import MOST_NAMED, Digest
from poplarrun.rendezvous import rank_hosts

# A host that has not been heard of for so long doesn't count as alive, in seconds:
# three of the longest periods between two digests.
ALIVE_S = 3.2
# A zone of which no host has been heard of for so long is taken for cut off, in seconds:
# one digest of a zone's only host may be lost, and a false alarm only puts the zone's
# endpoints last.
SILENT_S = 1.7
# One that has not been heard of for so long isn't written to any more, in seconds;
# it writes first when it is back.
KEPT_S = 30.0
# Digests a round. All hosts of a small installation hear each other; in a large one
# each hears some others in turn, and the messages of a host stay the same.
MOST_A_ROUND = 12
# Hosts that keep the same session.
KEEPERS = 3
# What one host reads of the store for its zone.
DOCUMENTS = "documents"
ENDPOINTS = "endpoints"
READ_TOPICS = (DOCUMENTS, ENDPOINTS)


@dataclass(slots=True)
class Peer:
    """Another host.

    Attributes
    ----------
    first_named_at, named_at : float
        When its address was first and last read.
    heard_at : float
        When a digest last came.
    last_stamp : float
        The stamp that it bore.
    """

    address: str
    zone: str = ""
    first_named_at: float = math.inf
    named_at: float = -math.inf
    heard_at: float = -math.inf
    last_stamp: float = 0.0
    told_at: float = -math.inf


@dataclass
class PeerBook:
    """Peers by address.

    Attributes
    ----------
    address, zone : str
        Where this host receives, and its availability zone.
    """

    address: str
    zone: str
    source: random.Random = field(default_factory=random.Random)
    _peers: dict[str, Peer] = field(default_factory=dict)

    def name(self, address: str, now: float) -> None:
        """Take in that a host may be at an address."""
        if address == self.address:
            return
        peer = self._peers.setdefault(address, Peer(address))
        peer.first_named_at = min(peer.first_named_at, now)
        peer.named_at = now

    def is_gone(self, address: str, now: float, bound_s: float) -> bool:
        """Tell whether nothing was heard for a time of a host whose address is known."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        return now - max(peer.first_named_at, peer.heard_at) > bound_s

    def take(self, digest: Digest, now: float) -> bool:
        """Take in a digest; False where it is older than the last one of its sender."""
        if digest.address == self.address:
            return False
        peer = self._peers.setdefault(digest.address, Peer(digest.address))
        # A host that started anew has a later clock as well, as hosts don't go back
        # in time; one that was replaced may have an earlier one.
        if digest.stamp <= peer.last_stamp and now - peer.heard_at < ALIVE_S:
            return False
        peer.zone = digest.zone
        peer.heard_at = now
        peer.last_stamp = digest.stamp
        for address in digest.named:
            if address not in self._peers:
                self.name(address, now)
        return True

    def proven_at(self, digest: Digest, age_s: float) -> float | None:
        """Return since when, by this host's clock, a digest's fact is surely true.

        The sender held this host's stamp for a time that its own clock measured, so
        it sent the digest at least that long after the stamp. How long the digest
        then was on its way, or lay unread while this host was suspended, can't make
        its facts look younger than they are. None without such a stamp.

        Parameters
        ----------
        age_s : float
            Age of the fact as the digest was sent.
        """
        if digest.echo <= 0.0:
            return None
        return digest.echo + digest.held_s - age_s

    @property
    def has_heard(self) -> bool:
        """Whether any other host was heard of yet."""
        return any(peer.last_stamp > 0.0 for peer in self._peers.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other host is known of."""
        return not self._peers

    def alive(self, now: float) -> list[Peer]:
        """Return the hosts that were heard of lately."""
        return [peer for peer in self._peers.values() if now - peer.heard_at < ALIVE_S]

    def near(self, now: float) -> list[Peer]:
        """Return the hosts of the own zone that were heard of lately."""
        return [peer for peer in self.alive(now) if peer.zone == self.zone]

    def silent_zones(self, now: float) -> frozenset[str]:
        """Return the other zones that had hosts, of which none is heard any more."""
        known = {peer.zone for peer in self._peers.values() if peer.zone}
        heard = {peer.zone for peer in self._peers.values() if now - peer.heard_at < SILENT_S}
        return frozenset(known - heard - {self.zone})

    def due(self, now: float, near_s: float, far_s: float) -> list[Peer]:
        """Return the hosts that a digest should go to now.

        Parameters
        ----------
        near_s, far_s : float
            Pause between two digests to a host of the own zone, and to another one:
            bytes between zones are dear.
        """
        due = []
        for address, peer in list(self._peers.items()):
            if now - max(peer.heard_at, peer.named_at) > KEPT_S:
                del self._peers[address]
                continue
            period_s = near_s if peer.zone == self.zone else far_s
            if now - peer.told_at >= period_s:
                due.append(peer)
        if len(due) > MOST_A_ROUND:
            due = self.source.sample(due, MOST_A_ROUND)
            due += [peer for peer in self.readers(now) if peer not in due]
        for peer in due:
            peer.told_at = now
        return due

    def named(self) -> list[str]:
        """Return some addresses to pass on."""
        addresses = [peer.address for peer in self._peers.values() if peer.heard_at > 0.0]
        return addresses if len(addresses) <= MOST_NAMED else self.source.sample(addresses, 8)

    def readers(self, now: float) -> list[Peer]:
        """Return the hosts that read for the own zone.

        They must hear this host often: what they prove to it is only as young as the
        last stamp of its that they have.
        """
        near = {peer.address: peer for peer in self.near(now)}
        hosts = [self.address, *near]
        first = {rank_hosts(topic, hosts)[0] for topic in READ_TOPICS}
        return [near[address] for address in first if address != self.address]

    def near_place(self, topic: str, now: float) -> int:
        """Return how many live hosts of the own zone come before this one in reading."""
        hosts = [self.address, *(peer.address for peer in self.near(now))]
        return rank_hosts(topic, hosts).index(self.address)

    def keepers(self, session: str) -> list[str]:
        """Return the addresses of the hosts that keep a session, this one's possibly included.

        Hosts that were silent for some time count as well: two hosts that hear different ones
        lately must still find the same keepers.
        """
        return rank_hosts(session, [self.address, *self._peers])[:KEEPERS]

    def turn(self, job: str, now: float) -> int:
        """Return how many live hosts come before this one for a job."""
        hosts = [self.address, *(peer.address for peer in self.alive(now))]
        return rank_hosts(job, hosts).index(self.address)
