"""The closed list of events that a host of the gateway logs.

Each event is one JSON line with the event's name, a short sentence and its fields.
Fields never contain an API key, a prompt or a request body.
"""

import logging
from collections.abc import Mapping
from typing import Any, ClassVar

from poplarrun.logging._endpoint_events import (
    EndpointChanged,
    EndpointCrashed,
    EndpointEndedUnderRequest,
    EndpointRateLimited,
    EndpointsAvoided,
    EndpointsGone,
    HoldOffAsked,
    LeavingAnnounced,
    ListingOutdated,
    PartsQuarantined,
    PartsReleased,
    PathLost,
    PathRegained,
    RecordIgnored,
    RelayDeclined,
    RelayEnded,
    RequestQuarantined,
    ServiceBrittle,
    ServicesUnreached,
    ShareLoansChanged,
    ZoneEvacuated,
    ZoneReaderSilent,
)
from poplarrun.logging._event import Event
from poplarrun.logging._rollout_events import (
    CompletedVersionBad,
    CopiesEnded,
    CopiesSent,
    RolloutJudged,
    RolloutOrdered,
    RolloutPhaseLearnt,
    RolloutShifted,
    VersionProven,
)
from poplarrun.logging._setup import ROOT_NAME
from poplarrun.logging._writer import NonBlockingHandler

# Passed on from the modules of parts of the list.
__all__ = [
    "CompletedVersionBad",
    "CopiesEnded",
    "CopiesSent",
    "EndpointChanged",
    "EndpointCrashed",
    "EndpointEndedUnderRequest",
    "EndpointRateLimited",
    "EndpointsAvoided",
    "EndpointsGone",
    "Event",
    "HoldOffAsked",
    "LeavingAnnounced",
    "ListingOutdated",
    "PartsQuarantined",
    "PartsReleased",
    "PathLost",
    "PathRegained",
    "RecordIgnored",
    "RelayDeclined",
    "RelayEnded",
    "RequestQuarantined",
    "RolloutJudged",
    "RolloutOrdered",
    "RolloutPhaseLearnt",
    "RolloutShifted",
    "ServiceBrittle",
    "ServicesUnreached",
    "ShareLoansChanged",
    "VersionProven",
    "ZoneEvacuated",
    "ZoneReaderSilent",
]


class RequestAdmitted(Event, frozen=True):
    """A request was admitted, under a configuration of this version and age."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Request admitted."
    is_usual: ClassVar[bool] = True
    request: str
    route: str
    account: str
    service: str
    left_s: float
    config_version: int
    config_age_s: float


class RequestSent(Event, frozen=True):
    """A request was sent to an endpoint; with the estimates behind the choice.

    Attributes
    ----------
    expected_s, queue_s : float
        Estimated time to the first event, and the prefill time of the prompts that are known
        to wait at the endpoint.
    left_s : float
        Time left until the request's deadline.
    version_by : str
        Rule that chose the version.
    session : str
        Hash of the session's id, the same on all hosts; empty without a session.
    helper : str
        Peer address of the host that relays the connection; empty for none.
    kept_from : str
        Endpoint to which it would have gone, had it not asked this host to stay away.
    asked_s_ago : float, optional
        How long ago it asked for that.
    list_age_s : float
        How long ago the list of endpoints was surely current.
    list_proven_by : str
        What proved that: ``store``, or the address of a peer.
    is_lapsed : bool
        Whether the endpoint is listed only because its record may have expired in an outage.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Request sent to an endpoint."
    is_usual: ClassVar[bool] = True
    request: str
    send: int
    endpoint: str
    zone: str
    version: str
    model: str
    expected_s: float
    load: float
    queue_s: float
    left_s: float
    is_resumed: bool
    version_by: str
    session: str
    helper: str
    kept_from: str = ""
    asked_s_ago: float | None = None
    list_age_s: float = 0.0
    list_proven_by: str = ""
    is_lapsed: bool = False


class EndpointAsked(Event, frozen=True):
    """A host of another zone was asked for an endpoint before a send.

    Attributes
    ----------
    outcome : str
        ``taken``, ``empty``, ``late`` or ``not_allowed``.
    seconds : float
        How long the request waited for the answer.
    expected_s : float
        Expected time to the first event at the endpoint offered if it was taken, else at the best
        one of the own zone when the question was asked.
    host : str
        Peer address of the host that was asked.
    endpoint : str
        The endpoint offered; empty for none.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "A host of another zone was asked for an endpoint."
    is_usual: ClassVar[bool] = True
    request: str
    zone: str
    outcome: str
    seconds: float
    expected_s: float
    host: str
    endpoint: str


class SendFailed(Event, frozen=True):
    """A request failed at an endpoint; whether it may have been executed there."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "A send to an endpoint failed."
    request: str
    endpoint: str
    failure: str
    detail: str
    may_have_run: bool


class LargerModelAsked(Event, frozen=True):
    """An answer of low confidence was discarded before the caller saw any of it.

    Attributes
    ----------
    gain, queue : float
        Expected gain, and what the queue added to the least one, as fractions of the worth of a
        good answer in time.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Answer discarded for low confidence; asking a larger model."
    is_usual: ClassVar[bool] = True
    request: str
    confidence: float
    model: str
    gain: float
    queue: float


class RequestAnswered(Event, frozen=True):
    """The caller received a complete answer, or an error status of the endpoint.

    Attributes
    ----------
    first_s, pause_s : float
        Time from the request's arrival to the first event, and the longest pause after it.
    target_s, most_pause_s : float
        Upper bounds of these two for an answer in time; 0 for a failure.
    confidence : float, optional
        The model's confidence in its answer, 0 to 1.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Request answered."
    is_usual: ClassVar[bool] = True
    request: str
    route: str
    status: int
    sends: int
    took_s: float
    first_s: float | None = None
    pause_s: float = 0.0
    target_s: float = 0.0
    most_pause_s: float = 0.0
    model: str = ""
    confidence: float | None = None


class RequestRefused(Event, frozen=True):
    """The request was refused; the refusal tells whether it may have been executed."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Request refused."
    request: str
    route: str
    kind: str
    reason: str
    status: int
    not_run: str
    sends: int
    took_s: float
    config_version: int
    config_age_s: float
    detail: str = ""


class AnswerBroken(Event, frozen=True):
    """An answer already under way was aborted, so that the caller sees it as incomplete."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Answer aborted before its end."
    request: str
    route: str
    kind: str
    reason: str
    sends: int
    took_s: float
    last_event: int


class CallerLeft(Event, frozen=True):
    """The caller closed its connection before the answer was complete."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "The caller disconnected."
    request: str
    route: str
    sends: int
    took_s: float


class HostStarted(Event, frozen=True):
    """The host has started to listen."""

    message: ClassVar[str] = "The host is listening."
    zone: str
    callers: str
    peers: str


class MetricsUnavailable(Event, frozen=True):
    """The metrics can't be served, because their address can't be bound."""

    message: ClassVar[str] = "The metrics endpoint could not be started."
    level: ClassVar[int] = logging.WARNING
    address: str
    reason: str


class HostReady(Event, frozen=True):
    """The readiness reported to the load balancer has changed."""

    message: ClassVar[str] = "Readiness changed."
    is_ready: bool
    missing: str


class HostStopping(Event, frozen=True):
    """The host was told to stop and drains its open requests."""

    message: ClassVar[str] = "The host is stopping."
    open_requests: int


class HostStopped(Event, frozen=True):
    """The host stops, with this many requests still open."""

    message: ClassVar[str] = "The host has stopped."
    open_requests: int


class SettingsRead(Event, frozen=True):
    """The settings file was reloaded."""

    message: ClassVar[str] = "Settings reloaded."
    is_changed: bool


class SettingsBad(Event, frozen=True):
    """The settings file is invalid; the previous settings stay in force."""

    message: ClassVar[str] = "The settings file is invalid; the previous settings stay in force."
    level: ClassVar[int] = logging.WARNING
    lines: list[str]


class RequestCrashed(Event, frozen=True):
    """An unexpected exception in the gateway ended a request."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "An unexpected exception ended a request."
    level: ClassVar[int] = logging.ERROR
    error: str


class StoreLost(Event, frozen=True):
    """The store has stopped answering this host."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "The store does not respond."
    level: ClassVar[int] = logging.WARNING
    reader: str
    reason: str


class StoreBack(Event, frozen=True):
    """The store answers this host again."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "The store responds again."
    reader: str
    offset: int


class HistoryDropped(Event, frozen=True):
    """The store dropped records before this host read them."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "The store dropped unread records; reading its current state anew."
    reader: str


class ConfigInForce(Event, frozen=True):
    """A newer configuration took effect."""

    component: ClassVar[str] = "config"
    message: ClassVar[str] = "A newer configuration is in force."
    version: int
    source: str


class DocumentIgnored(Event, frozen=True):
    """A configuration document is malformed and ignored."""

    component: ClassVar[str] = "config"
    message: ClassVar[str] = "Ignoring a malformed configuration document."
    level: ClassVar[int] = logging.WARNING
    key: str
    reason: str


class PeersChanged(Event, frozen=True):
    """Hosts stopped responding or were discovered."""

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "The set of live peers changed."
    lost: list[str]
    found: list[str]


class SessionQueried(Event, frozen=True):
    """The owners of a session were asked whether it stays on its version during a roll-out.

    Attributes
    ----------
    denials, uninformed : int
        Owners that don't know it as one that stays, and those of them that have just started.
    silent : list of str
        Owners that are alive and have not answered; those that would have come too late included.
    """

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "The owners of a session were asked for its version."
    is_usual: ClassVar[bool] = True
    request: str
    is_held: bool
    denials: int
    uninformed: int
    silent: list[str]


class SessionsHandedOver(Event, frozen=True):
    """A stopping host sent the sessions that it knows to their other owners."""

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "The sessions of this host were handed over."
    pinned: int
    recent: int
    receivers: list[str]


class MessageUnreadable(Event, frozen=True):
    """A message of a peer could not be decoded."""

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "A message of a peer could not be decoded."
    level: ClassVar[int] = logging.WARNING
    size: int


class MessageFailed(Event, frozen=True):
    """An unexpected exception ended the handling of a peer's message.

    Attributes
    ----------
    kind : str
        The message's type.
    """

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "An unexpected exception ended the handling of a peer's message."
    level: ClassVar[int] = logging.ERROR
    kind: str
    error: str


class LinesLeftOut(Event, frozen=True):
    """Log lines were dropped since the last such event; their counts by event."""

    component: ClassVar[str] = "log"
    message: ClassVar[str] = "Log lines were dropped."
    level: ClassVar[int] = logging.WARNING
    counts: Mapping[str, int]


EVENTS: tuple[type[Event], ...] = tuple(Event.__subclasses__())
_LOGGER = logging.getLogger(ROOT_NAME)
_MESSAGES = {event: f"{event.component}: {event.message}" for event in EVENTS}
_FIELDS = {event: event.__struct_fields__ for event in EVENTS}
FLOAT_DECIMALS = 4


def write_event(event: Event) -> None:
    """Log one event as a line.

    The record is made here: the logger would look for the caller in the stack each time.
    """
    event_type = type(event)
    if not _LOGGER.isEnabledFor(event_type.level):
        return
    record = logging.LogRecord(ROOT_NAME, event_type.level, "", 0, _MESSAGES[event_type], (), None)
    fields: dict[str, Any] = record.__dict__
    fields["event"] = event_type.__name__
    fields["is_usual"] = event_type.is_usual
    for name in _FIELDS[event_type]:
        value = getattr(event, name)
        fields[name] = round(value, FLOAT_DECIMALS) if isinstance(value, float) else value
    _LOGGER.handle(record)


def count_unwritten(event: Event) -> None:
    """Count an event, whose line other hosts write, as if this host had written it."""
    for handler in _LOGGER.handlers:
        if isinstance(handler, NonBlockingHandler):
            handler.line_counts[type(event).__name__] += 1
