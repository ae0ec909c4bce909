"""Messages between hosts and their MessagePack encoding."""

import enum
import zlib

import msgspec

from poplarrun.peers._copy_messages import (
    CopyAnnouncement,
    CopyGrant,
    CopyOffer,
    CopyOrder,
    CopyReport,
    CopyStop,
)
from poplarrun.peers._crash_messages import (
    AnsweredRequest,
    BegunPart,
    EndpointCrash,
    QuarantinedParts,
    RequestWithEnds,
)
from poplarrun.peers._handover_messages import HostStart, HostStop, RecentSessions, SessionsSent
from poplarrun.peers._loan_messages import LoanAnswer, LoanAsk
from poplarrun.peers._offer_messages import EndpointOffer, EndpointQuery
from poplarrun.routing import RolloutPhase


class RolloutProgress(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of the progress of a roll-out.

    Attributes
    ----------
    offset : int
        Offset of the order in the store's log.
    age_s : float
        How long ago the order was first seen by any host that the sender heard from.
    phase : RolloutPhase, optional
        The recorded phase.
    shift_decided_age_s : float, optional
        How long ago any host decided that the shift begins, in which sessions may change
        versions.
    proven_age_s : float, optional
        How long ago any host knew that the version bears load.
    """

    service: str
    target: str
    duration_s: float
    offset: int
    age_s: float
    phase: RolloutPhase | None
    shift_decided_age_s: float | None
    proven_age_s: float | None = None


class Scope(enum.IntEnum):
    """Which hosts' loads and tallies a digest carries.

    ``NONE``: no host's. ``HOST``: the sender's own. ``ZONE``: those of all hosts of the sender's
    availability zone. ``FLEET``: those of all hosts that the sender knows, possibly including
    the receiver.
    """

    NONE = 0
    HOST = 1
    ZONE = 2
    FLEET = 3


class RosterFingerprint(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the roster of a zone's hosts that the sender knows to be alive.

    Attributes
    ----------
    fingerprint : int
        The same for equal rosters.
    age_s : float
        How long ago the sender last heard from the zone.
    """

    zone: str
    fingerprint: int
    age_s: float


class EndpointReach(msgspec.Struct, frozen=True, array_like=True):
    """How many recent attempts of the sender reached an endpoint, and how many did not."""

    instance_id: str
    unreached: int
    reached: int


class UnreachedEndpoints(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints that the hosts of a zone don't reach."""

    zone: str
    instance_ids: list[str]


class ZoneEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """The newest order to evacuate a zone that the sender knows, or that lifted it."""

    zone: str
    offset: int
    is_evacuated: bool


class EndpointRateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The requests a second that an endpoint takes from all hosts together.

    Attributes
    ----------
    started_ms : int
        When the endpoint started, by its own clock. A restarted one names its limit anew.
    rate_per_s : float, optional
        None if it names no limit any more.
    age_s : float
        How long ago that was known.
    """

    instance_id: str
    started_ms: int
    rate_per_s: float | None
    age_s: float


class BrittleService(msgspec.Struct, frozen=True, array_like=True):
    """A service whose endpoints fall over when they reject too many requests.

    Attributes
    ----------
    tolerated : int
        Rejections a second that one endpoint bears.
    age_s : float
        How long ago an endpoint last said so.
    """

    service: str
    tolerated: int
    age_s: float


class LeavingStart(msgspec.Struct, frozen=True, array_like=True):
    """A start of an endpoint that says in its answers that it is leaving."""

    instance_id: str
    started_ms: int


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """State that a host sends to other hosts periodically.

    Attributes
    ----------
    address, zone : str
        Address at which the sender receives, and its availability zone.
    stamp : float
        The sender's clock when it sent this.
    echoed_stamp : float
        The last stamp that the sender received from the receiver; 0 for none.
    echo_delay_s : float
        How long before this digest it received that.
    config_version : int
        Version of the sender's configuration; -1 for none.
    config_age_s : float
        How long ago the configuration was surely current.
    listing_age_s : float
        How long ago the sender's list of endpoints was surely current.
    documents_end_offset, listing_end_offset : int
        Offset up to which the sender has read the operators' documents and the list of
        endpoints; -1 for unknown.
    store_available_s : float
        For how long the store has answered the sender without an outage.
    included_stamp : float
        Stamp of the receiver's digest whose loads and tallies are included in ``totals``; 0 for
        none.
    totals : bytes
        ``ActivityTotals`` as bytes; empty for the scope ``NONE``. The same for all receivers.
    reach : list of EndpointReach
        Recent outcomes of the sender's attempts, for the scope ``HOST``.
    unreached : list of UnreachedEndpoints
        Endpoints that hosts don't reach: for the scope ``ZONE`` those of the sender's zone, for
        ``FLEET`` those of all zones.
    rate_limits : list of EndpointRateLimit
        Rate limits that endpoints name or have lifted.
    brittle : list of BrittleService
        Services whose endpoints fall over when they reject too many requests.
    leaving : list of LeavingStart
        Endpoints that say that they are leaving, and whose records don't say so yet.
    crashes : list of EndpointCrash
        Crashes of which the sender has learned something lately.
    begun_parts : list of BegunPart
        What clears parts that are suspected of crashes.
    quarantined : list of QuarantinedParts
        Parts that crash endpoints.
    is_complete : bool
        Whether the lists are all that the sender has to tell, not only what is new.
    failed_topics : list of str
        Topics that the sender's latest read didn't get from the store.
    requests_with_ends : list of RequestWithEnds
        Requests under which endpoints ended lately, and some of those that are refused for it.
    answered_requests : list of AnsweredRequest
        Requests that were answered whole after such an end.
    lifetime, echoed_lifetime : int
        The starts of the sender and of the receiver to which the two stamps belong. The clock of a
        machine that has lost power begins anew.
    """

    address: str
    zone: str
    stamp: float
    echoed_stamp: float
    echo_delay_s: float
    config_version: int
    config_age_s: float
    listing_age_s: float
    documents_end_offset: int = -1
    listing_end_offset: int = -1
    store_available_s: float = 0.0
    scope: Scope = Scope.NONE
    included_stamp: float = 0.0
    totals: bytes = b""
    rollouts: list[RolloutProgress] = []
    roster_fingerprints: list[RosterFingerprint] = []
    reach: list[EndpointReach] = []
    unreached: list[UnreachedEndpoints] = []
    evacuations: list[ZoneEvacuation] = []
    rate_limits: list[EndpointRateLimit] = []
    brittle: list[BrittleService] = []
    leaving: list[LeavingStart] = []
    crashes: list[EndpointCrash] = []
    begun_parts: list[BegunPart] = []
    quarantined: list[QuarantinedParts] = []
    is_complete: bool = True
    failed_topics: list[str] = []
    requests_with_ends: list[RequestWithEnds] = []
    answered_requests: list[AnsweredRequest] = []
    lifetime: int = 0
    echoed_lifetime: int = 0


class ReachabilityNotice(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Tells of endpoints that are not reached, at once and without the rest of a digest.

    Attributes
    ----------
    scope : Scope
        ``HOST`` from a host to its aggregators, ``FLEET`` from an aggregator to its zone.
    reach : list of EndpointReach
        Recent outcomes of the sender's attempts, for the scope ``HOST``.
    unreached : list of UnreachedEndpoints
        Endpoints that have turned out not to be reached, for ``FLEET``.
    """

    address: str
    zone: str
    scope: Scope
    reach: list[EndpointReach] = []
    unreached: list[UnreachedEndpoints] = []


class RosterRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Requests the roster that a ``RosterFingerprint`` identifies."""

    address: str
    zone: str


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers a ``RosterRequest``.

    Attributes
    ----------
    hosts : list of str
        Addresses of the zone's hosts that the sender knows to be alive.
    """

    address: str
    zone: str
    hosts: list[str]
    age_s: float


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests state that the receiver has and the sender lacks."""

    address: str
    wants_config: bool
    wants_listing: bool


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint as the sender's list has it."""

    instance_id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    is_leaving: bool
    started_ms: int
    sequence: int
    warm_up_ms: int = 0


class StateResponse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers a ``StateRequest``.

    Attributes
    ----------
    config : bytes
        The configuration document as in the store; empty if not requested.
    removed : list of str
        Endpoints that were removed recently.
    """

    address: str
    config: bytes = b""
    endpoints: list[ListedEndpoint] = []
    removed: list[str] = []


class EndpointChanges(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Records of the list of endpoints that the sender has just read.

    Attributes
    ----------
    start_offset, end_offset : int
        Offset of the first record, and the one after the last record.
    is_lapse : bool
        Whether the store had an outage, so that records of live endpoints may have expired and
        be among those removed.
    records : bytes
        ``OffsetRecord`` objects, compressed.
    """

    address: str
    start_offset: int
    end_offset: int
    is_lapse: bool
    records: bytes


class DocumentChanges(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Records of the operators' documents that the sender has just read.

    Attributes
    ----------
    start_offset, end_offset : int
        Offset of the first record, and the one after the last record.
    is_complete : bool
        Whether these are the newest records of all keys, and not what was appended from the start
        offset on.
    records : bytes
        Compressed list of ``OffsetRecord``; a configuration is large and the same for all hosts.
    """

    address: str
    start_offset: int
    end_offset: int
    is_complete: bool
    records: bytes


class LoadNotice(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Tells the sender's zone of a prompt that it has just sent to an endpoint.

    Attributes
    ----------
    drain_ms : int
        Time until the endpoint will have read this prompt and those before it.
    prefix : int
        Fingerprint of the model and of the shared beginning of the prompt; 0 for none.
    """

    instance_id: str
    drain_ms: int
    prefix: int = 0


class OffsetRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of a topic; the value is None if it removes its key."""

    key: str
    value: bytes | None
    offset: int


class PinnedSessions(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Sessions that stay on the old version in the roll-out of an order.

    Attributes
    ----------
    offset : int
        Offset of the order in the store's log.
    session_hashes : list of int
        Hashes of the session ids.
    """

    service: str
    offset: int
    session_hashes: list[int]


class SessionQuery(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks whether a session stays on the old version.

    Attributes
    ----------
    query_id : int
        Unique among the queries of the sender.
    offset : int
        Offset of the roll-out's order in the store's log.
    """

    address: str
    query_id: int
    service: str
    offset: int
    session_hash: int


class SessionAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Answers a ``SessionQuery``.

    Attributes
    ----------
    is_informed : bool
        Whether the sender would know of an older pin; one that has just started may not.
    """

    query_id: int
    is_pinned: bool
    address: str = ""
    is_informed: bool = True


Message = (
    CopyOffer
    | CopyAnnouncement
    | CopyGrant
    | CopyOrder
    | CopyReport
    | CopyStop
    | Digest
    | ReachabilityNotice
    | StateRequest
    | StateResponse
    | EndpointChanges
    | DocumentChanges
    | LoadNotice
    | PinnedSessions
    | SessionQuery
    | SessionAnswer
    | HostStart
    | HostStop
    | RecentSessions
    | SessionsSent
    | RosterRequest
    | Roster
    | LoanAsk
    | LoanAnswer
    | EndpointQuery
    | EndpointOffer
)

COMPRESSION_LEVEL = 1
MAX_RECORDS_BYTES = 16 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[OffsetRecord])


def encode_message(message: Message) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Return the decoded message; None if the bytes are no message of a known type."""
    try:
        return _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None


def encode_records(records: list[OffsetRecord]) -> bytes:
    """Return records as compressed bytes."""
    return zlib.compress(_ENCODER.encode(records), COMPRESSION_LEVEL)


def decode_records(data: bytes) -> list[OffsetRecord] | None:
    """Return the decoded records; None if the bytes are none, or too many."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_RECORDS_BYTES)
        return _RECORDS_DECODER.decode(raw) if decompressor.eof else None
    except (zlib.error, msgspec.ValidationError, msgspec.DecodeError):
        return None
