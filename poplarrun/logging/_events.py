"""The closed list of what a host of the gateway writes to its log.

Each event is one JSON line with the event's name, a short sentence and its fields.
Fields never hold a key, a prompt or a body.
"""

import dataclasses
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, ClassVar

from poplarrun.logging._setup import component_logger


@dataclass(frozen=True, slots=True)
class Event:
    """What a host decided or learnt.

    Attributes
    ----------
    component : str
        Prefix of the line.
    message : str
        The sentence.
    level : int
        Level of the line.
    is_usual : bool
        Whether it is left out first when there are too many lines.
    """

    component: ClassVar[str] = "host"
    message: ClassVar[str] = ""
    level: ClassVar[int] = logging.INFO
    is_usual: ClassVar[bool] = False


@dataclass(frozen=True, slots=True)
class RequestAdmitted(Event):
    """A request may run; by which configuration, and how old that belief is."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Admitted."
    is_usual: ClassVar[bool] = True
    request: str
    route: str
    account: str
    service: str
    left_s: float
    config_version: int
    config_age_s: float


@dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """A request went to an endpoint; what was expected of it.

    Attributes
    ----------
    version_by : str
        Why a version was picked.
    session : str
        Hash of the session's id, the same on all hosts; empty without a session.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Sent."
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


@dataclass(frozen=True, slots=True)
class SendFailed(Event):
    """A send failed; whether the endpoint may have run the request."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "A send failed."
    request: str
    endpoint: str
    failure: str
    detail: str
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class LargerModelAsked(Event):
    """An answer was dropped unseen because its model doubted it."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "A larger model is asked."
    is_usual: ClassVar[bool] = True
    request: str
    confidence: float
    model: str


@dataclass(frozen=True, slots=True)
class RequestAnswered(Event):
    """The caller has a whole answer, or an endpoint's own failure.

    Attributes
    ----------
    first_s, pause_s : float
        Time from the arrival to the first event, and the longest pause after it.
    target_s, most_pause_s : float
        Those with which the answer is in time; 0 for a failure.
    confidence : float, optional
        The model's own, 0 to 1.
    """

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Answered."
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


@dataclass(frozen=True, slots=True)
class RequestRefused(Event):
    """The caller gets no answer, and is told whether the request has run."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Refused."
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


@dataclass(frozen=True, slots=True)
class AnswerBroken(Event):
    """An answer that had begun was broken off, visibly."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "Broken off."
    request: str
    route: str
    kind: str
    reason: str
    sends: int
    took_s: float
    last_event: int


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection before the answer was whole."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "The caller left."
    request: str
    route: str
    sends: int
    took_s: float


@dataclass(frozen=True, slots=True)
class HostStarted(Event):
    """The host serves."""

    message: ClassVar[str] = "Serving."
    zone: str
    callers: str
    peers: str


@dataclass(frozen=True, slots=True)
class MetricsUnavailable(Event):
    """Nobody can read the counters: their address can't be used."""

    message: ClassVar[str] = "Metrics are not served."
    level: ClassVar[int] = logging.WARNING
    address: str
    reason: str


@dataclass(frozen=True, slots=True)
class HostReady(Event):
    """Whether callers may come has changed."""

    message: ClassVar[str] = "Readiness changed."
    is_ready: bool
    missing: str


@dataclass(frozen=True, slots=True)
class HostStopping(Event):
    """The platform asked the host to stop."""

    message: ClassVar[str] = "Stopping."
    open_requests: int


@dataclass(frozen=True, slots=True)
class HostStopped(Event):
    """The host ends."""

    message: ClassVar[str] = "Stopped."
    open_requests: int


@dataclass(frozen=True, slots=True)
class SettingsRead(Event):
    """The settings file was read again."""

    message: ClassVar[str] = "Settings read."
    is_changed: bool


@dataclass(frozen=True, slots=True)
class SettingsBad(Event):
    """The settings file can't be used; the settings before stay in force."""

    message: ClassVar[str] = "The settings are bad."
    level: ClassVar[int] = logging.WARNING
    lines: list[str]


@dataclass(frozen=True, slots=True)
class RequestCrashed(Event):
    """A fault of ours ended a request."""

    component: ClassVar[str] = "request"
    message: ClassVar[str] = "A request crashed."
    level: ClassVar[int] = logging.ERROR
    error: str


@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """The store does not answer this host."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "The store does not answer."
    level: ClassVar[int] = logging.WARNING
    reader: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoreBack(Event):
    """The store answers this host again."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "The store answers."
    reader: str
    offset: int


@dataclass(frozen=True, slots=True)
class HistoryDropped(Event):
    """The store no longer keeps records that were not read yet."""

    component: ClassVar[str] = "store"
    message: ClassVar[str] = "History was dropped; all is read anew."
    reader: str


@dataclass(frozen=True, slots=True)
class ConfigInForce(Event):
    """A newer configuration is in force."""

    component: ClassVar[str] = "config"
    message: ClassVar[str] = "A configuration is in force."
    version: int
    source: str


@dataclass(frozen=True, slots=True)
class DocumentIgnored(Event):
    """A document is malformed and has no effect."""

    component: ClassVar[str] = "config"
    message: ClassVar[str] = "A document has no effect."
    level: ClassVar[int] = logging.WARNING
    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class EndpointChanged(Event):
    """An endpoint came, started anew or leaves."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint changed."
    endpoint: str
    change: str
    service: str
    address: str
    version: str


@dataclass(frozen=True, slots=True)
class EndpointsGone(Event):
    """Endpoints are not listed any more and get nothing new."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint is gone."
    endpoints: list[str]
    reason: str


@dataclass(frozen=True, slots=True)
class RecordIgnored(Event):
    """A record of the listing names no endpoint."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "A record names no endpoint."
    level: ClassVar[int] = logging.WARNING
    endpoint: str


@dataclass(frozen=True, slots=True)
class RolloutOrdered(Event):
    """Operators ordered a roll-out; who told this host, and how old the order was.

    Attributes
    ----------
    source : str
        The store, or the address of a peer.
    age_s : float
        Time since any host saw the order first, as far as known.
    """

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A roll-out is ordered."
    service: str
    target: str
    duration_s: float
    source: str
    age_s: float


@dataclass(frozen=True, slots=True)
class RolloutShifted(Event):
    """Sessions may change to the new version from now on; by this host or told by a peer."""

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "Sessions may change versions."
    service: str
    target: str
    source: str
    age_s: float


@dataclass(frozen=True, slots=True)
class RolloutJudged(Event):
    """A phase of a roll-out was recorded, or another host was before."""

    component: ClassVar[str] = "rollouts"
    message: ClassVar[str] = "A roll-out was judged."
    service: str
    target: str
    phase: str
    seen: int
    bad: int
    slow: int
    answer: str


@dataclass(frozen=True, slots=True)
class PeersChanged(Event):
    """Hosts were lost or found."""

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "Peers changed."
    lost: list[str]
    found: list[str]


@dataclass(frozen=True, slots=True)
class MessageUnreadable(Event):
    """A peer's message can't be read."""

    component: ClassVar[str] = "peers"
    message: ClassVar[str] = "A message can't be read."
    level: ClassVar[int] = logging.WARNING
    size: int


@dataclass(frozen=True, slots=True)
class LinesLeftOut(Event):
    """Lines were left out, by event, since the last such line."""

    component: ClassVar[str] = "log"
    message: ClassVar[str] = "Lines were left out."
    level: ClassVar[int] = logging.WARNING
    counts: Mapping[str, int]


# A data class with slots is made twice, and both stay subclasses for a while: by name
# the last one is kept, which is the one that has the slots.
EVENTS: tuple[type[Event], ...] = tuple(
    {kind.__name__: kind for kind in Event.__subclasses__()}.values()
)
_LOGGERS = {event.component: component_logger(event.component) for event in EVENTS}
_FIELDS = {event: tuple(field.name for field in dataclasses.fields(event)) for event in EVENTS}
PLACES = 4


def write_event(event: Event) -> None:
    """Write one event as a line."""
    kind = type(event)
    fields: dict[str, Any] = {"event": kind.__name__, "is_usual": kind.is_usual}
    for name in _FIELDS[kind]:
        value = getattr(event, name)
        fields[name] = round(value, PLACES) if isinstance(value, float) else value
    _LOGGERS[kind.component].log(kind.level, kind.message, extra=fields)
