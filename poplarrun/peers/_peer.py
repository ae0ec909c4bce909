"""Liveness state of another host."""

import math
from dataclasses import dataclass

# A host counts as alive for this long after its last digest; equals three of the longest digest
# intervals.
ALIVE_TIMEOUT_S = 3.2
# The same for a host known to be alive only from attestations by other hosts. Those hosts report
# when they lose it, but if they fail together with it, others that know must be found first.
ATTESTED_ALIVE_TIMEOUT_S = 5.0
# An aggregator that sends nothing for this long to a host that reports to it may have failed;
# the host then reports to the next host in rank as well.
AGGREGATOR_SILENCE_TIMEOUT_S = 2.0


@dataclass(slots=True)
class PeerState:
    """What is known about the liveness of another host.

    All times are by this host's clock, in seconds.

    Attributes
    ----------
    first_listed_at, last_listed_at : float
        When its address was first and last read, as a seed or from the store.
    heard_at : float
        When its last digest arrived.
    attested_at : float
        As of when a host of its zone last attested that it had heard it.
    attestation_forwarded_at : float
        The same for an attestation that an aggregator of this host's zone forwarded.
    last_stamp : float
        Stamp of its last digest, by its own clock.
    last_sent_at : float
        When a digest was last sent to it.
    report_received_at : float
        When its last report arrived, which hosts send to their aggregators.
    reporting_since : float
        Since when this host has sent reports to it; infinite if it doesn't.
    failed_topics : frozenset of str
        Topics that it didn't get from the store when it last read them.
    lifetime : int
        The start to which that stamp belongs.
    past_lifetime : int, optional
        The start before, of which digests may still arrive.
    announced_lifetime : int, optional
        The last start that it has announced.
    """

    address: str
    zone: str = ""
    first_listed_at: float = math.inf
    last_listed_at: float = -math.inf
    heard_at: float = -math.inf
    attested_at: float = -math.inf
    attestation_forwarded_at: float = -math.inf
    last_stamp: float = 0.0
    last_sent_at: float = -math.inf
    report_received_at: float = -math.inf
    reporting_since: float = math.inf
    failed_topics: frozenset[str] = frozenset()
    lifetime: int = 0
    past_lifetime: int | None = None
    announced_lifetime: int | None = None

    @property
    def last_known_alive_at(self) -> float:
        """As of when it was last known to be alive, from any source."""
        return max(self.heard_at, self.attested_at, self.attestation_forwarded_at)

    def is_alive(self, now: float) -> bool:
        """Return whether it was heard from or attested recently."""
        if now - self.heard_at < ALIVE_TIMEOUT_S:
            return True
        return now - max(self.attested_at, self.attestation_forwarded_at) < ATTESTED_ALIVE_TIMEOUT_S

    def is_known_first_hand(self, now: float) -> bool:
        """Return whether this host, or a host of its zone that attested it, heard it recently.

        Only such knowledge is forwarded: if forwarded attestations were forwarded again, hosts
        would keep a dead host alive by attesting it to each other.
        """
        return (
            now - self.heard_at < ALIVE_TIMEOUT_S
            or now - self.attested_at < ATTESTED_ALIVE_TIMEOUT_S
        )

    def is_late(self, stamp: float, lifetime: int) -> bool:
        """Return whether a digest was sent before the last one that arrived.

        A host that has started again may have an earlier stamp: its machine may have lost power.
        """
        if lifetime != self.lifetime:
            return lifetime == self.past_lifetime
        return stamp <= self.last_stamp

    def record_stamp(self, stamp: float, lifetime: int) -> None:
        """Record the stamp of a digest that has arrived."""
        if lifetime != self.lifetime:
            self.past_lifetime, self.lifetime = self.lifetime, lifetime
        self.last_stamp = stamp

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it sends nothing although this host reports to it."""
        return now - max(self.heard_at, self.reporting_since) > AGGREGATOR_SILENCE_TIMEOUT_S

    def is_due(self, now: float, interval_s: float, changed_at: float) -> bool:
        """Return whether to send to it: the interval has passed, or state changed since then."""
        return now - self.last_sent_at >= interval_s or self.last_sent_at < changed_at
