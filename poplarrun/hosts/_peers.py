"""What the parts of a host may ask of the other hosts."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, order=True)
class Peer:
    """An entry host, this one included.

    Attributes
    ----------
    name, zone, region
        As in its settings.
    incarnation : int
        Rises with each start of the host.
    """

    name: str
    zone: str
    region: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class PeerSilent:
    """No answer came from a peer; the message may have had its effect there."""

    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class SummaryTopic:
    """A kind of summary that every host keeps current.

    Inside a zone each host's summary travels as it is; between zones only the
    merged one does, so that bytes don't grow with the fleet squared.

    Attributes
    ----------
    name : str
        Unique name.
    merge : callable
        Merges summaries into one; commutative, and associative.
    """

    name: str
    merge: Callable[[Sequence[bytes]], bytes]


@dataclass(frozen=True, slots=True)
class CollectedSummaries:
    """The summaries of one topic that a host holds.

    Attributes
    ----------
    own_zone : mapping of host name to bytes
        Each live host of the own zone, this one included.
    other_zones : mapping of zone name to bytes
        Each other zone's merged summary, as last heard.
    """

    own_zone: Mapping[str, bytes]
    other_zones: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What a host holds of one zone.

    Attributes
    ----------
    silent : bool
        Whether nothing was heard of it for long.
    silence_s : float
        Seconds since its last sign of life.
    hosts : mapping of host name to state
        alive, suspect, dead, left or silent.
    """

    zone: str
    silent: bool
    silence_s: float
    hosts: Mapping[str, str]


Handler = Callable[[str, bytes], Awaitable[bytes]]


class Peers(Protocol):
    """The other hosts, as the parts on the loop see them."""

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to the other hosts so far."""

    @property
    def bytes_received(self) -> int:
        """Bytes received from the other hosts so far."""

    @property
    def me(self) -> Peer:
        """The own host."""

    def live(self) -> tuple[Peer, ...]:
        """Return the hosts that are taken to be live, this one included, by name."""

    async def ask(
        self, peer: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes | PeerSilent:
        """Send one message to a peer and wait for its answer."""

    def serve(self, kind: str, handler: Handler) -> None:
        """Answer messages of a kind: the handler gets the sender's name and the payload."""

    def publish(self, topic: SummaryTopic, payload: bytes) -> None:
        """Replace this host's summary of a topic."""

    def collect_summaries(self, topic: SummaryTopic) -> CollectedSummaries:
        """Return the summaries of a topic that have been heard."""

    def announce(self, topic: str, number: int, payload: bytes) -> None:
        """Tell every host of every zone at once; the highest number of a topic wins.

        For rare events of a few bytes, such as a new configuration.
        """

    def highest_announced(self, topic: str) -> int:
        """Return the highest number announced of a topic; -1 when none was heard."""

    def on_announced(self, callback: Callable[[str, int], None]) -> None:
        """Call back with topic and number of each new announcement."""

    def zones(self) -> tuple[ZoneView, ...]:
        """Return what this host holds of each zone, the own one first."""

    def start(self) -> None:
        """Begin to talk; called on the loop."""

    async def leave(self) -> None:
        """Tell the others of a planned stop, then be silent."""
