"""Messages between hosts, as bytes."""

import enum

import msgspec

from poplarrun.routing import RolloutPhase


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """What some hosts run at an endpoint.

    Attributes
    ----------
    pending_ms : int
        Time that their prompts which are still being read take.
    """

    lifetime: str
    in_flight: int
    pending_ms: int


class RolloutProgress(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of a roll-out.

    Attributes
    ----------
    age_s : float
        How long ago the order was first seen by any host that the sender heard of.
    phase : RolloutPhase, optional
        What is recorded.
    shifted_age_s : float, optional
        How long ago any host decided that sessions may change versions.
    """

    service: str
    target: str
    duration_s: float
    offset: int
    age_s: float
    phase: RolloutPhase | None
    shifted_age_s: float | None


class VersionTally(msgspec.Struct, frozen=True, array_like=True):
    """What some hosts saw of a version in a kind of work."""

    service: str
    version: str
    kind: str
    ended: int
    failures: int
    slow: int
    paced: int
    log_pace: float
    broken: list[str] = []


class Scope(enum.IntEnum):
    """Whose loads and tallies a digest adds up.

    ``NONE``: nobody's. ``HOST``: the sender's own. ``ZONE``: those of all hosts of the sender's
    availability zone. ``FLEET``: those of all hosts that the sender knows of, the receiver
    possibly among them.
    """

    NONE = 0
    HOST = 1
    ZONE = 2
    FLEET = 3


class ActivityTotals(msgspec.Struct, frozen=True, array_like=True):
    """What some hosts run at endpoints and saw of versions, added up.

    Attributes
    ----------
    hosts : int
        How many hosts it covers.
    """

    hosts: int
    loads: list[EndpointLoad] = []
    tallies: list[VersionTally] = []


class RosterFingerprint(msgspec.Struct, frozen=True, array_like=True):
    """Stands for the list of a zone's hosts that the sender takes to be alive.

    Attributes
    ----------
    mark : int
        Equal for equal lists.
    age_s : float
        How long ago the zone was last heard of.
    """

    zone: str
    mark: int
    age_s: float


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """What a host tells its peers regularly.

    Attributes
    ----------
    address, zone : str
        Where the sender receives, and its availability zone.
    stamp : float
        The sender's clock as it sent this.
    echo : float
        The last stamp that the sender got from the receiver; 0 for none.
    held_s : float
        How long before this digest it got that.
    version : int
        Version of the configuration that it has; -1 for none.
    age_s : float
        How long ago that was the newest for sure.
    listing_age_s : float
        How long ago its listed endpoints were the newest for sure.
    documents_end, listing_end : int
        Next record of the operators' documents and of the listed endpoints that it hasn't
        read; -1 for unknown.
    steady_s : float
        For how long the store has answered the sender without an outage.
    counted : float
        Stamp of the digest of the receiver whose loads and tallies are in ``share``; 0 for
        none.
    share : bytes
        ``ActivityTotals`` as bytes; empty for the scope ``NONE``. The same for all receivers.
    """

    address: str
    zone: str
    stamp: float
    echo: float
    held_s: float
    version: int
    age_s: float
    listing_age_s: float
    documents_end: int = -1
    listing_end: int = -1
    steady_s: float = 0.0
    scope: Scope = Scope.NONE
    counted: float = 0.0
    share: bytes = b""
    rollouts: list[RolloutProgress] = []
    marks: list[RosterFingerprint] = []


class RosterRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for the list behind a ``RosterFingerprint``."""

    address: str
    zone: str


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers a ``RosterRequest``.

    Attributes
    ----------
    hosts : list of str
        Addresses of the zone's hosts that the sender takes to be alive.
    """

    address: str
    zone: str
    hosts: list[str]
    age_s: float


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks a peer for what it has and the sender lacks."""

    address: str
    wants_config: bool
    wants_listing: bool


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint as the sender knows it."""

    lifetime: str
    service: str
    address: str
    zone: str
    version: str
    places: int
    is_leaving: bool
    started_ms: int
    sequence: int


class StateResponse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers a ``StateRequest``.

    Attributes
    ----------
    config : bytes
        The configuration as it stands in the store; empty where not asked for.
    gone : list of str
        Endpoints that were removed lately.
    """

    address: str
    config: bytes = b""
    listed: list[ListedEndpoint] = []
    gone: list[str] = []


class ChangedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the listed endpoints; without a value where it takes its key away."""

    key: str
    value: bytes | None


class EndpointChanges(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What the sender has just read of the listed endpoints.

    Attributes
    ----------
    start, end : int
        Offset of the first record, and that behind the last one.
    is_lapse : bool
        Whether the store was away, so that records of endpoints that live may be
        among those taken away.
    """

    address: str
    start: int
    end: int
    is_lapse: bool
    records: list[ChangedRecord]


class HeldSessions(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells of sessions that stay on the old version in the roll-out of an order.

    Attributes
    ----------
    offset : int
        Place of the order in the store's log.
    numbers : list of int
        Hashes of the sessions' ids.
    """

    service: str
    offset: int
    numbers: list[int]


class SessionQuery(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks whether a session stays on the old version.

    Attributes
    ----------
    question : int
        Names the question among those of the sender.
    """

    address: str
    question: int
    service: str
    offset: int
    number: int


class SessionAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a ``SessionQuery``."""

    question: int
    is_held: bool


Message = (
    Digest
    | StateRequest
    | StateResponse
    | EndpointChanges
    | HeldSessions
    | SessionQuery
    | SessionAnswer
    | RosterRequest
    | Roster
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)
_SHARE_DECODER = msgspec.msgpack.Decoder(ActivityTotals)


def encode_message(message: Message) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Return the message; None where the bytes hold none that this host knows."""
    try:
        return _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None


def encode_totals(share: ActivityTotals) -> bytes:
    """Return a share as bytes."""
    return _ENCODER.encode(share)


def decode_totals(data: bytes) -> ActivityTotals | None:
    """Return a share; None where the bytes hold none."""
    try:
        return _SHARE_DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None
