"""Table of the other hosts: liveness, choice of aggregators, and digests that are due."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.peers._messages import Digest, Scope
from poplarrun.peers._owner_ring import OwnerRing
from poplarrun.peers._peer import AGGREGATOR_SILENCE_TIMEOUT_S, ALIVE_TIMEOUT_S, PeerState
from poplarrun.rendezvous import RankingCache

# A zone from which nothing was heard for this long counts as cut off. It allows for the loss of
# one digest from the only host of a zone; a false alarm only ranks the zone's endpoints last.
ZONE_SILENCE_TIMEOUT_S = 1.7
# Added for a host that hears of other zones through its aggregators, and therefore later.
AGGREGATION_DELAY_S = 0.8
# A host neither heard from nor listed for this long is removed and gets no more probes; it sends
# the first message itself when it returns.
PEER_TTL_S = 30.0
# Aggregators of a zone: with two, the zone always has one while a replacement is found.
MIN_AGGREGATORS = 2
# A host whose last report is older than this gets no totals from its aggregators.
REPORT_TTL_S = 1.5
# Number of hosts not known to be alive that are probed in each round, and the interval between
# two probes of one host, while no host of a needed zone is heard.
MAX_PROBES = 12
PROBE_INTERVAL_S = 1.0
# Interval of an aggregator's probes to lost hosts of its own zone while it hears others there:
# after a network partition inside a zone, its parts must find each other again.
LOST_PEER_PROBE_INTERVAL_S = 4.0
# The set of alive hosts is recomputed after this time, or when a host is found.
LIVENESS_TTL_S = 0.2
# Interval between two removals of expired hosts.
EXPIRY_INTERVAL_S = 1.0
LIFETIME_BITS = 48
# Hosts that store the state of one session.
OWNERS_PER_SESSION = 3
# Places on either side within which hosts share sessions, also while as many of them as a session
# has owners are stopping.
NEIGHBOUR_DISTANCE = 2 * OWNERS_PER_SESSION
# A host that has said that it is stopping, and not since that it has started, owns no session for
# so long.
STOPPING_TIMEOUT_S = PEER_TTL_S
# What one host of a zone reads from the store on behalf of the others.
DOCUMENTS = "documents"
ENDPOINTS = "endpoints"
READ_TOPICS = (DOCUMENTS, ENDPOINTS)


@dataclass(frozen=True, slots=True)
class DueDigest:
    """A digest to send now.

    Attributes
    ----------
    scope : Scope
        Which hosts' totals it carries.
    """

    peer: PeerState
    scope: Scope


@dataclass(slots=True)
class _Liveness:
    """Snapshot of which hosts are alive.

    Attributes
    ----------
    alive_by_zone : dict of str to list of PeerState
        The alive hosts.
    not_alive : list of PeerState
        All other hosts.
    aggregators : dict of str to list of str
        Addresses by zone, computed on first use.
    """

    at: float
    alive_by_zone: dict[str, list[PeerState]]
    not_alive: list[PeerState]
    zones: set[str]
    aggregators: dict[str, list[str]] = field(default_factory=dict)


@dataclass
class PeerTable:
    """The other hosts by address.

    The first hosts of each zone in rendezvous order are its aggregators. All hosts of a zone
    report to its aggregators, which exchange the zone's totals with the aggregators of other
    zones and send the totals of all zones to their own zone. The messages that a host sends and
    receives therefore don't grow with the number of hosts. The choice needs no agreement: hosts
    that see different sets of alive hosts for a moment report to more aggregators than needed.

    Attributes
    ----------
    address, zone : str
        Address at which this host receives, and its availability zone.
    is_stopping : bool
        Whether this host is stopping, and therefore owns no session any more.
    lifetime : int
        Tells this start of the host from its others.
    """

    address: str
    zone: str
    is_stopping: bool = False
    lifetime: int = field(default_factory=lambda: random.getrandbits(LIFETIME_BITS))
    _peers: dict[str, PeerState] = field(default_factory=dict)
    _zone_heard_at: dict[str, float] = field(default_factory=dict)
    _rankings: dict[str, RankingCache] = field(default_factory=dict)
    _report_targets: set[str] = field(default_factory=set)
    _last_liveness: _Liveness | None = None
    _last_expiry_at: float = -math.inf
    _has_heard: bool = False
    _stopping_until: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._ring = OwnerRing(self.address)

    def add_address(self, address: str, now: float, zone: str = "") -> None:
        """Record that a host may be at an address: a seed, or one registered in the store."""
        if address == self.address:
            return
        if address not in self._peers:
            self._last_liveness = None
        peer = self._peers.setdefault(address, PeerState(address))
        peer.zone = peer.zone or zone
        peer.first_listed_at = min(peer.first_listed_at, now)
        peer.last_listed_at = now

    def is_gone(self, address: str, now: float, timeout_s: float) -> bool:
        """Return whether nothing was heard for ``timeout_s`` from a host with a known address."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        return now - max(peer.first_listed_at, peer.last_known_alive_at) > timeout_s

    def apply_digest(self, digest: Digest, now: float) -> bool:
        """Apply a digest; return False if it is older than the last one of its sender."""
        if digest.address == self.address:
            return False
        peer = self._peers.setdefault(digest.address, PeerState(digest.address))
        is_late = peer.is_late(digest.stamp, digest.lifetime)
        if is_late and now - peer.heard_at < ALIVE_TIMEOUT_S:
            return False
        failed_topics = frozenset(digest.failed_topics)
        if (
            peer.zone != digest.zone
            or peer.failed_topics != failed_topics
            or not peer.is_alive(now)
        ):
            self._last_liveness = None
        peer.failed_topics = failed_topics
        peer.zone = digest.zone
        peer.heard_at = now
        peer.record_stamp(digest.stamp, digest.lifetime)
        self._has_heard = self._has_heard or digest.is_complete
        if digest.scope is Scope.HOST:
            peer.report_received_at = now
        self._record_zone(digest.zone, now)
        return True

    def find(self, address: str) -> PeerState | None:
        """Return a host by its address, or None."""
        return self._peers.get(address)

    def proven_at(self, digest: Digest, age_s: float) -> float | None:
        """Return a time, by this host's clock, as of which a fact in a digest is surely true.

        The sender measured by its own clock how long it had held this host's stamp, so it sent
        the digest at least that long after the stamp. Time that the digest spent in transit, or
        unread while this host was suspended, therefore can't make its facts look younger than
        they are. None if the digest echoes no stamp of this start of the host.

        Parameters
        ----------
        age_s : float
            Age of the fact when the digest was sent.
        """
        if digest.echoed_stamp <= 0.0 or digest.echoed_lifetime != self.lifetime:
            return None
        return digest.echoed_stamp + digest.echo_delay_s - age_s

    @property
    def has_heard(self) -> bool:
        """Whether a complete digest of any other host has arrived."""
        return self._has_heard

    @property
    def is_alone(self) -> bool:
        """Whether no other host is known."""
        return not self._peers

    def alive_peers(self, now: float) -> list[PeerState]:
        """Return the alive hosts, heard directly or attested by others."""
        return [peer for peers in self._liveness(now).alive_by_zone.values() for peer in peers]

    def zone_peers(self, now: float) -> list[PeerState]:
        """Return the alive hosts of this host's zone."""
        return self.alive_peers_in(self.zone, now)

    def alive_peers_in(self, zone: str, now: float) -> list[PeerState]:
        """Return the alive hosts of a zone."""
        return self._liveness(now).alive_by_zone.get(zone, [])

    def alive_addresses(self, now: float) -> dict[str, list[str]]:
        """Return the addresses of the alive hosts by zone."""
        return {
            zone: [peer.address for peer in peers]
            for zone, peers in self._liveness(now).alive_by_zone.items()
        }

    def knows_ip(self, ip: str) -> bool:
        """Return whether a known host has an IP address."""
        return any(address.rpartition(":")[0] == ip for address in self._peers)

    def known_peers(self) -> list[PeerState]:
        """Return all other hosts, lost ones included."""
        return list(self._peers.values())

    def _liveness(self, now: float) -> _Liveness:
        last = self._last_liveness
        if last is not None and 0.0 <= now - last.at < LIVENESS_TTL_S:
            return last
        liveness = _Liveness(now, {}, [], set())
        for peer in self._peers.values():
            if peer.is_alive(now):
                liveness.alive_by_zone.setdefault(peer.zone, []).append(peer)
            else:
                liveness.not_alive.append(peer)
            liveness.zones.add(peer.zone)
        self._last_liveness = liveness
        return liveness

    def silent_zones(self, now: float) -> frozenset[str]:
        """Return the other zones that had hosts and from which nothing is heard any more."""
        timeout_s = (
            ZONE_SILENCE_TIMEOUT_S
            if self.is_aggregator(now)
            else ZONE_SILENCE_TIMEOUT_S + AGGREGATION_DELAY_S
        )
        heard = {zone for zone, at in self._zone_heard_at.items() if now - at < timeout_s}
        had_hosts = self._liveness(now).zones & self._zone_heard_at.keys()
        return frozenset(had_hosts - heard - {self.zone})

    def _record_zone(self, zone: str, at: float) -> None:
        self._zone_heard_at[zone] = max(at, self._zone_heard_at.get(zone, -math.inf))

    # Aggregators

    def aggregators(self, zone: str, now: float) -> list[str]:
        """Return the addresses of a zone's aggregators, possibly including this host.

        The hosts that read the store for the zone are among them, because their proofs to a host
        are only as recent as the last stamp of that host that they have.
        """
        liveness = self._liveness(now)
        found = liveness.aggregators.get(zone)
        if found is None:
            found = liveness.aggregators[zone] = self._find_aggregators(zone, now)
        return found

    def _find_aggregators(self, zone: str, now: float) -> list[str]:
        hosts = [peer.address for peer in self.alive_peers_in(zone, now)]
        if zone == self.zone:
            hosts.append(self.address)
        if not hosts:
            return []
        found = {
            address
            for topic in READ_TOPICS
            for address in self._first_readers(topic, hosts, 1, now)
        }
        if len(found) < MIN_AGGREGATORS:
            found.update(self._first_readers(READ_TOPICS[0], hosts, MIN_AGGREGATORS, now))
        return sorted(found)

    def _first_readers(self, topic: str, hosts: list[str], readers: int, now: float) -> list[str]:
        """Return the first hosts in rank until ``readers`` of them respond and reach the store.

        The others are included until they are known to be dead: a host that is alive but hears
        nothing would not learn which host replaces it.
        """
        found = []
        for address in self._rank(topic, self.zone, hosts):
            found.append(address)
            peer = self._peers.get(address)
            is_able = peer is None or topic not in peer.failed_topics
            readers -= is_able and (peer is None or not peer.is_unresponsive(now))
            if readers == 0:
                break
        return found

    def is_aggregator(self, now: float) -> bool:
        """Return whether this host is an aggregator of its zone."""
        return self.address in self.aggregators(self.zone, now)

    def zone_silence_s(self, zone: str, now: float) -> float:
        """Return how long ago anything was last heard from a zone."""
        return max(0.0, now - self._zone_heard_at.get(zone, -math.inf))

    def heard_zones(self, now: float) -> set[str]:
        """Return this host's zone and the zones of which it recently heard a host directly."""
        return {self.zone} | {
            zone
            for zone, peers in self._liveness(now).alive_by_zone.items()
            if _is_any_heard(peers, now)
        }

    def record_attestation(
        self, zone: str, hosts: Iterable[str], at: float, is_first_hand: bool
    ) -> None:
        """Record that hosts of a zone were alive at a time.

        Parameters
        ----------
        is_first_hand : bool
            Whether the attesting host is in that zone itself.
        """
        self._record_zone(zone, at)
        for address in hosts:
            if address == self.address:
                continue
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = PeerState(address)
                self._last_liveness = None
            peer.zone = zone
            if is_first_hand:
                peer.attested_at = max(peer.attested_at, at)
            else:
                peer.attestation_forwarded_at = max(peer.attestation_forwarded_at, at)

    def clear_attestations(self, hosts: Iterable[str]) -> None:
        """Record that no host attests the given hosts any longer."""
        for address in hosts:
            peer = self._peers.get(address)
            if peer is not None:
                peer.attested_at = peer.attestation_forwarded_at = -math.inf
        self._last_liveness = None

    # Digests to send

    def due_digests(
        self,
        now: float,
        report_interval_s: float,
        zone_interval_s: float,
        fleet_interval_s: float,
        changed_at: float = -math.inf,
    ) -> list[DueDigest]:
        """Return the digests to send now, and record them as sent.

        Parameters
        ----------
        report_interval_s, zone_interval_s, fleet_interval_s : float
            Intervals between two reports to an aggregator, between two zone totals to another
            zone (traffic between zones is expensive), and between two fleet totals to a host of
            this host's zone.
        changed_at : float
            When state last changed that must be sent without waiting for the interval.
        """
        self._expire_peers(now)
        aggregators = self.aggregators(self.zone, now)
        reports = [DueDigest(peer, Scope.HOST) for peer in self.other_aggregators(now)]
        self._update_report_targets({digest.peer.address for digest in reports}, now)
        due = [each for each in reports if each.peer.is_due(now, report_interval_s, changed_at)]
        due += [
            DueDigest(peer, Scope.FLEET)
            for peer in self.served_peers(now)
            if peer.is_due(now, fleet_interval_s, changed_at)
        ]
        if self.address in aggregators:
            due += self._due_zone_digests(now, zone_interval_s, changed_at)
        due += self._choose_probes(now)
        for digest in due:
            digest.peer.last_sent_at = now
        return due

    def digest_receivers(self, now: float) -> list[PeerState]:
        """Return the hosts to which this one sends digests, but for probes."""
        receivers = [*self.other_aggregators(now), *self.served_peers(now)]
        if self.is_aggregator(now):
            receivers += self._other_zones_aggregators(now)
        return receivers

    def other_aggregators(self, now: float) -> list[PeerState]:
        """Return the aggregators of this host's zone, without this host."""
        found = self.aggregators(self.zone, now)
        return [self._peers[address] for address in found if address in self._peers]

    def served_peers(self, now: float) -> list[PeerState]:
        """Return the hosts that report to this one and get the fleet totals of it."""
        aggregators = self.aggregators(self.zone, now)
        return [peer for peer in self.reporting_peers(now) if peer.address not in aggregators]

    def reporting_peers(self, now: float) -> list[PeerState]:
        """Return the alive hosts of this host's zone that report to it."""
        return [
            peer for peer in self.zone_peers(now) if now - peer.report_received_at < REPORT_TTL_S
        ]

    def _update_report_targets(self, aggregators: set[str], now: float) -> None:
        for address in self._report_targets - aggregators:
            peer = self._peers.get(address)
            if peer is not None:
                peer.reporting_since = math.inf
        for address in aggregators - self._report_targets:
            self._peers[address].reporting_since = now
        self._report_targets = aggregators

    def _due_zone_digests(
        self, now: float, zone_interval_s: float, changed_at: float
    ) -> list[DueDigest]:
        return [
            DueDigest(peer, Scope.ZONE)
            for peer in self._other_zones_aggregators(now)
            if peer.is_due(now, zone_interval_s, changed_at)
        ]

    def _other_zones_aggregators(self, now: float) -> list[PeerState]:
        zones = sorted(self._liveness(now).zones - {"", self.zone})
        return [self._peers[address] for zone in zones for address in self.aggregators(zone, now)]

    def _choose_probes(self, now: float) -> list[DueDigest]:
        """Return hosts not known to be alive to probe, in zones where an alive one is needed."""
        liveness = self._liveness(now)
        if not liveness.not_alive:
            return []
        needed = {""}
        if not any(
            now - peer.heard_at < AGGREGATOR_SILENCE_TIMEOUT_S for peer in self.zone_peers(now)
        ):
            needed.add(self.zone)
        is_aggregator = self.is_aggregator(now)
        if is_aggregator:
            needed |= liveness.zones - liveness.alive_by_zone.keys() - {self.zone}
        probed = [
            peer
            for peer in liveness.not_alive
            if (peer.zone in needed and now - peer.last_sent_at >= PROBE_INTERVAL_S)
            or (
                is_aggregator
                and peer.zone == self.zone
                and now - peer.last_sent_at >= LOST_PEER_PROBE_INTERVAL_S
            )
        ]
        probed.sort(key=lambda peer: peer.last_sent_at)
        return [DueDigest(peer, Scope.NONE) for peer in probed[:MAX_PROBES]]

    def _expire_peers(self, now: float) -> None:
        if now - self._last_expiry_at < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        self._last_liveness = None
        for address, peer in list(self._peers.items()):
            if now - max(peer.last_listed_at, peer.last_known_alive_at) > PEER_TTL_S:
                del self._peers[address]
                self._stopping_until.pop(address, None)

    # Ranks

    def reader_rank(self, topic: str, now: float) -> int:
        """Return how many hosts of the own zone precede this one as reader of a topic.

        Hosts that are alive and whose latest read didn't fail. What this host itself failed to read
        doesn't count: it goes on to try, and so finds that it reaches the store again.
        """
        hosts = [peer.address for peer in self.zone_peers(now) if topic not in peer.failed_topics]
        return self._rank(topic, self.zone, [self.address, *hosts]).index(self.address)

    def session_owners(self, session: str, now: float) -> list[str]:
        """Return the addresses of the hosts that own a session, possibly including this one.

        Hosts that are silent count as well: two hosts that see different sets of alive hosts
        must still find the same owners. Hosts that have said that they are stopping count only if
        no other is left.
        """
        stopping = {address for address, until in self._stopping_until.items() if now < until}
        if self.is_stopping:
            stopping.add(self.address)
        self._ring.update(self._peers.keys())
        owners = self._ring.find_owners(session, OWNERS_PER_SESSION, stopping)
        return owners or self._ring.find_owners(session, OWNERS_PER_SESSION, frozenset())

    def session_neighbours(self) -> list[str]:
        """Return the addresses of the hosts that may own sessions that this host owns."""
        self._ring.update(self._peers.keys())
        return self._ring.find_neighbours(NEIGHBOUR_DISTANCE)

    def record_stop(self, address: str, now: float) -> None:
        """Record that a host has said that it is stopping."""
        self.add_address(address, now)
        self._stopping_until[address] = now + STOPPING_TIMEOUT_S

    def record_start(self, address: str, lifetime: int, now: float) -> bool:
        """Record that a host has said that it has started; True if that is new."""
        self.add_address(address, now)
        self._stopping_until.pop(address, None)
        peer = self._peers[address]
        was_known = peer.announced_lifetime == lifetime
        peer.announced_lifetime = lifetime
        return not was_known

    def job_owner(self, job: str, now: float) -> str:
        """Return the address of the alive host that comes first for a job."""
        hosts = [self.address, *(peer.address for peer in self.alive_peers(now))]
        return self._rank(job, "", hosts)[0]

    def job_rank(self, job: str, now: float) -> int:
        """Return how many alive hosts of all zones precede this one for a job."""
        hosts = [self.address, *(peer.address for peer in self.alive_peers(now))]
        return self._rank(job, "", hosts).index(self.address)

    def _rank(self, key: str, group: str, hosts: list[str]) -> list[str]:
        ranking = self._rankings.setdefault(group, RankingCache())
        return ranking.rank(key, tuple(sorted(hosts)))


def _is_any_heard(peers: list[PeerState], now: float) -> bool:
    return any(now - peer.heard_at < ALIVE_TIMEOUT_S for peer in peers)
