"""The other hosts as this one knows them."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._messages import Digest, Scope
from poplarrun.peers._peer import ALIVE_S, RELAY_SILENT_S, PeerState
from poplarrun.rendezvous import RankingCache, rank_hosts

# A zone of which no host has been heard of for so long is taken for cut off, in seconds:
# one digest of a zone's only host may be lost, and a false alarm only puts the zone's
# endpoints last. A host that hears of other zones by its relays hears later.
SILENT_S = 1.7
RELAYED_S = 0.8
# One that has not been heard of for so long isn't written to any more, in seconds;
# it writes first when it is back.
KEPT_S = 30.0
# Hosts of a zone that add up what its hosts tell: with two the zone is never without one
# while a third is found.
RELAYS = 2
# A host that has not reported for so long gets no sums any more, in seconds.
REPORTED_S = 1.5
# Hosts that are not known to live are written to so many a round, each after such a pause in
# seconds, while none that is needed is heard.
PROBES = 12
PROBE_S = 1.0
# The same for lost hosts of a relay's own zone, of which it hears others: after a cut through
# a zone its parts must find each other again.
LOST_PROBE_S = 4.0
# Who is alive is looked up anew after so long, or when a host is found, in seconds.
CENSUS_S = 0.2
# Pause between two looks for hosts to forget, in seconds.
FORGET_PAUSE_S = 1.0
# Hosts that keep the same session.
KEEPERS = 3
# What one host reads of the store for its zone.
DOCUMENTS = "documents"
ENDPOINTS = "endpoints"
READ_TOPICS = (DOCUMENTS, ENDPOINTS)


@dataclass(frozen=True, slots=True)
class DueDigest:
    """A digest that is due.

    Attributes
    ----------
    scope : Scope
        What it adds up.
    """

    peer: PeerState
    scope: Scope


@dataclass(slots=True)
class _Census:
    """Who is alive at a time.

    Attributes
    ----------
    by_zone : dict of str to list of Peer
        The living.
    lost : list of Peer
        All others.
    relays : dict of str to list of str
        Found as they are asked for.
    """

    at: float
    by_zone: dict[str, list[PeerState]]
    lost: list[PeerState]
    zones: set[str]
    relays: dict[str, list[str]] = field(default_factory=dict)


@dataclass
class PeerTable:
    """Peers by address.

    In each zone the first hosts by rendezvous hashing are its relays. All hosts of the zone
    report to them; they exchange sums with the relays of the other zones, and tell their zone
    the sum of all. So what a host sends and hears doesn't grow with the number of hosts, and
    nobody is asked or agreed with: hosts that see different ones alive for a moment report to
    more relays than needed.

    Attributes
    ----------
    address, zone : str
        Where this host receives, and its availability zone.
    """

    address: str
    zone: str
    _peers: dict[str, PeerState] = field(default_factory=dict)
    _zone_heard_at: dict[str, float] = field(default_factory=dict)
    _rankings: dict[str, RankingCache] = field(default_factory=dict)
    _reporting: set[str] = field(default_factory=set)
    _last_census: _Census | None = None
    _forgot_at: float = -math.inf

    def add_address(self, address: str, now: float, zone: str = "") -> None:
        """Take in that a host may be at an address."""
        if address == self.address:
            return
        if address not in self._peers:
            self._last_census = None
        peer = self._peers.setdefault(address, PeerState(address))
        peer.zone = peer.zone or zone
        peer.first_named_at = min(peer.first_named_at, now)
        peer.named_at = now

    def is_gone(self, address: str, now: float, bound_s: float) -> bool:
        """Tell whether nothing was heard for a time of a host whose address is known."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        return now - max(peer.first_named_at, peer.last_known_at) > bound_s

    def apply_digest(self, digest: Digest, now: float) -> bool:
        """Take in a digest; False where it is older than the last one of its sender."""
        if digest.address == self.address:
            return False
        peer = self._peers.setdefault(digest.address, PeerState(digest.address))
        # A host that started anew has a later clock as well, as hosts don't go back
        # in time; one that was replaced may have an earlier one.
        if digest.stamp <= peer.last_stamp and now - peer.heard_at < ALIVE_S:
            return False
        if peer.zone != digest.zone or not peer.is_alive(now):
            self._last_census = None
        peer.zone = digest.zone
        peer.heard_at = now
        peer.last_stamp = digest.stamp
        if digest.scope is Scope.HOST:
            peer.reported_at = now
        self._note_zone(digest.zone, now)
        return True

    def find(self, address: str) -> PeerState | None:
        """Return a host by its address."""
        return self._peers.get(address)

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

    def alive_peers(self, now: float) -> list[PeerState]:
        """Return the hosts that were heard of lately, by this host or a relay."""
        return [peer for peers in self._census(now).by_zone.values() for peer in peers]

    def zone_peers(self, now: float) -> list[PeerState]:
        """Return the hosts of the own zone that were heard of lately."""
        return self.alive_in(self.zone, now)

    def alive_in(self, zone: str, now: float) -> list[PeerState]:
        """Return the hosts of a zone that were heard of lately."""
        return self._census(now).by_zone.get(zone, [])

    def _census(self, now: float) -> _Census:
        last = self._last_census
        if last is not None and 0.0 <= now - last.at < CENSUS_S:
            return last
        census = _Census(now, {}, [], set())
        for peer in self._peers.values():
            if peer.is_alive(now):
                census.by_zone.setdefault(peer.zone, []).append(peer)
            else:
                census.lost.append(peer)
            census.zones.add(peer.zone)
        self._last_census = census
        return census

    def silent_zones(self, now: float) -> frozenset[str]:
        """Return the other zones that had hosts, of which none is heard any more."""
        bound_s = SILENT_S if self.is_aggregator(now) else SILENT_S + RELAYED_S
        heard = {zone for zone, at in self._zone_heard_at.items() if now - at < bound_s}
        had_hosts = self._census(now).zones & self._zone_heard_at.keys()
        return frozenset(had_hosts - heard - {self.zone})

    def _note_zone(self, zone: str, at: float) -> None:
        self._zone_heard_at[zone] = max(at, self._zone_heard_at.get(zone, -math.inf))

    # Relays

    def aggregators(self, zone: str, now: float) -> list[str]:
        """Return the addresses of a zone's relays, this host's possibly included.

        The hosts that read the store for the zone are among them: what they prove to a host
        is only as young as the last stamp of its that they have.
        """
        census = self._census(now)
        found = census.relays.get(zone)
        if found is None:
            found = census.relays[zone] = self._find_relays(zone, now)
        return found

    def _find_relays(self, zone: str, now: float) -> list[str]:
        hosts = [peer.address for peer in self.alive_in(zone, now)]
        if zone == self.zone:
            hosts.append(self.address)
        if not hosts:
            return []
        orders = [self._rank(topic, zone, hosts) for topic in READ_TOPICS]
        found = {address for order in orders for address in self._first(order, 1, now)}
        if len(found) < RELAYS:
            found.update(self._first(orders[0], RELAYS, now))
        return sorted(found)

    def _first(self, order: list[str], answering: int, now: float) -> list[str]:
        """Return the first hosts up to so many that answer.

        A silent one stays in until it is known to be dead: one that lives and hears nothing
        would not learn who takes its place.
        """
        found = []
        for address in order:
            found.append(address)
            peer = self._peers.get(address)
            answering -= peer is None or not peer.is_silent(now)
            if answering == 0:
                break
        return found

    def is_aggregator(self, now: float) -> bool:
        """Tell whether this host adds up for its zone."""
        return self.address in self.aggregators(self.zone, now)

    def zone_age_s(self, zone: str, now: float) -> float:
        """Return how long ago a zone was last heard of."""
        return max(0.0, now - self._zone_heard_at.get(zone, -math.inf))

    def heard_zones(self, now: float) -> set[str]:
        """Return the own zone and those of which this host heard one itself lately."""
        return {self.zone} | {
            zone for zone, peers in self._census(now).by_zone.items() if _any_heard(peers, now)
        }

    def vouch(self, zone: str, hosts: Iterable[str], at: float, is_first_hand: bool) -> None:
        """Take in that hosts of a zone were known to be alive at a time.

        Parameters
        ----------
        is_first_hand : bool
            Whether a host of that zone says so itself.
        """
        self._note_zone(zone, at)
        for address in hosts:
            if address == self.address:
                continue
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = PeerState(address)
                self._last_census = None
            peer.zone = zone
            if is_first_hand:
                peer.attested_at = max(peer.attested_at, at)
            else:
                peer.vouched_at = max(peer.vouched_at, at)

    def drop_vouched(self, hosts: Iterable[str]) -> None:
        """Take in that nobody vouches for hosts any longer."""
        for address in hosts:
            peer = self._peers.get(address)
            if peer is not None:
                peer.attested_at = peer.vouched_at = -math.inf
        self._last_census = None

    # Who is told what

    def due(
        self,
        now: float,
        near_s: float,
        far_s: float,
        fleet_s: float,
        news_at: float = -math.inf,
    ) -> list[DueDigest]:
        """Return the digests that should go out now.

        Parameters
        ----------
        near_s, far_s, fleet_s : float
            Pauses between two reports to a relay, between two sums to another zone, whose
            bytes are dear, and between two sums to a host of the own zone.
        news_at : float
            Since when there is something that can't wait for the end of a pause.
        """
        self._forget(now)
        relays = self.aggregators(self.zone, now)
        tellings = [
            DueDigest(self._peers[each], Scope.HOST) for each in relays if each in self._peers
        ]
        self._note_reports({telling.peer.address for telling in tellings}, now)
        due = [each for each in tellings if each.peer.is_due(now, near_s, news_at)]
        due += [
            DueDigest(peer, Scope.FLEET)
            for peer in self.served(now)
            if peer.address not in relays and peer.is_due(now, fleet_s, news_at)
        ]
        if self.address in relays:
            due += self._due_far(now, far_s, news_at)
        due += self._probes(now)
        for telling in due:
            telling.peer.told_at = now
        return due

    def served(self, now: float) -> list[PeerState]:
        """Return the hosts of the own zone that report to this one."""
        return [peer for peer in self.zone_peers(now) if now - peer.reported_at < REPORTED_S]

    def _note_reports(self, relays: set[str], now: float) -> None:
        for address in self._reporting - relays:
            peer = self._peers.get(address)
            if peer is not None:
                peer.report_since = math.inf
        for address in relays - self._reporting:
            self._peers[address].report_since = now
        self._reporting = relays

    def _due_far(self, now: float, far_s: float, news_at: float) -> list[DueDigest]:
        zones = sorted(self._census(now).zones - {"", self.zone})
        peers = [self._peers[address] for zone in zones for address in self.aggregators(zone, now)]
        return [DueDigest(peer, Scope.ZONE) for peer in peers if peer.is_due(now, far_s, news_at)]

    def _probes(self, now: float) -> list[DueDigest]:
        """Return some hosts that are not known to live, where one of their zone is needed."""
        census = self._census(now)
        if not census.lost:
            return []
        needed = {""}
        if not any(now - peer.heard_at < RELAY_SILENT_S for peer in self.zone_peers(now)):
            needed.add(self.zone)
        is_aggregator = self.is_aggregator(now)
        if is_aggregator:
            needed |= census.zones - census.by_zone.keys() - {self.zone}
        unknown = [
            peer
            for peer in census.lost
            if (peer.zone in needed and now - peer.told_at >= PROBE_S)
            or (is_aggregator and peer.zone == self.zone and now - peer.told_at >= LOST_PROBE_S)
        ]
        unknown.sort(key=lambda peer: peer.told_at)
        return [DueDigest(peer, Scope.NONE) for peer in unknown[:PROBES]]

    def _forget(self, now: float) -> None:
        if now - self._forgot_at < FORGET_PAUSE_S:
            return
        self._forgot_at = now
        self._last_census = None
        for address, peer in list(self._peers.items()):
            if now - max(peer.named_at, peer.last_known_at) > KEPT_S:
                del self._peers[address]

    # Who does what

    def reader_rank(self, topic: str, now: float) -> int:
        """Return how many live hosts of the own zone come before this one in reading."""
        hosts = [self.address, *(peer.address for peer in self.zone_peers(now))]
        return self._rank(topic, self.zone, hosts).index(self.address)

    def keepers(self, session: str) -> list[str]:
        """Return the addresses of the hosts that keep a session, this one's possibly included.

        Hosts that were silent for some time count as well: two hosts that hear different ones
        lately must still find the same keepers.
        """
        return rank_hosts(session, [self.address, *self._peers])[:KEEPERS]

    def job_rank(self, job: str, now: float) -> int:
        """Return how many live hosts come before this one for a job."""
        hosts = [self.address, *(peer.address for peer in self.alive_peers(now))]
        return self._rank(job, "", hosts).index(self.address)

    def _rank(self, key: str, group: str, hosts: list[str]) -> list[str]:
        ranking = self._rankings.setdefault(group, RankingCache())
        return ranking.rank(key, tuple(sorted(hosts)))


def _any_heard(peers: list[PeerState], now: float) -> bool:
    return any(now - peer.heard_at < ALIVE_S for peer in peers)
