"""Interface to the other hosts for the components of a host."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, order=True)
class Peer:
    """Identity of an entry host.

    Attributes
    ----------
    name, zone, region
        From the host's settings.
    incarnation : int
        Higher after each start of the host.
    """

    name: str
    zone: str
    region: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """No answer arrived from a peer; the request may have taken effect there."""

    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class SummaryTopic:
    """A kind of summary that every host keeps up to date.

    Inside a zone the summaries are exchanged per host; between zones only a merged one is, so
    that the bytes don't grow with the square of the fleet.

    Attributes
    ----------
    name : str
        Unique name.
    merge : callable
        Merges summaries into one; commutative and associative.
    """

    name: str
    merge: Callable[[Sequence[bytes]], bytes]


@dataclass(frozen=True, slots=True)
class CollectedSummaries:
    """The summaries of one topic that a host knows.

    Attributes
    ----------
    own_zone : mapping of host name to bytes
        Summary of each live host of this zone, including this host.
    other_zones : mapping of zone name to bytes
        Latest merged summary of each other zone.
    """

    own_zone: Mapping[str, bytes]
    other_zones: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What a host knows of one zone.

    Attributes
    ----------
    silent : bool
        Whether nothing was heard from the zone for a timeout.
    silence_s : float
        Seconds since the zone was last heard from.
    hosts : mapping of host name to state
        alive, suspect, dead, left or silent.
    """

    zone: str
    silent: bool
    silence_s: float
    hosts: Mapping[str, str]


Handler = Callable[[str, bytes], Awaitable[bytes]]


class Peers(Protocol):
    """Communication with the other hosts; used on the event loop."""

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the other hosts so far."""

    @property
    def bytes_received(self) -> int:
        """Bytes received from the other hosts so far."""

    @property
    def me(self) -> Peer:
        """Identity of this host."""

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, including this one, ordered by name."""

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send a request to a peer and wait for its answer."""

    def serve(self, kind: str, handler: Handler) -> None:
        """Register the handler of a kind of request; it gets the sender's name and the payload."""

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been received."""

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Announce to all hosts of all zones at once; the highest number of a topic wins.

        For rare events of a few bytes, such as a new configuration.
        """

    def highest_announced(self, topic: str) -> int:
        """Return the highest announced number of a topic; -1 if there is none."""

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback that gets topic and number of each new announcement."""

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host knows of each zone, its own zone first."""

    def start(self) -> None:
        """Start receiving and gossiping; called on the event loop."""

    async def leave(self) -> None:
        """Tell the other hosts of a planned stop, then stop."""
