"""Events about endpoints, and about the paths to them."""

import logging
from typing import ClassVar

from poplarrun.logging._event import Event


class EndpointChanged(Event, frozen=True):
    """An endpoint was added, restarted or is about to leave."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint changed."
    endpoint: str
    change: str
    service: str
    address: str
    version: str


class ServiceBrittle(Event, frozen=True):
    """The endpoints of a service fall over when they reject more than so many requests a second.

    Attributes
    ----------
    source : str
        Where this host learned it: an endpoint's answer, or the address of a peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "The endpoints of a service are brittle."
    level: ClassVar[int] = logging.WARNING
    service: str
    tolerated: int | None
    source: str


class ShareLoansChanged(Event, frozen=True):
    """A share of an endpoint's budget begins or ends to be borrowed, or lent, by this host.

    Attributes
    ----------
    budget : str
        ``rate_limit``, ``warm_up`` or ``slots``.
    borrowed, lent : int
        Uses of the budget that it has of other hosts now, and that others have of it.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Loans of shares began or ended."
    endpoint: str
    budget: str
    borrowed: int
    lent: int


class HoldOffAsked(Event, frozen=True):
    """An endpoint wants no request from this host for a while.

    Attributes
    ----------
    seconds : float
        For how long.
    source : str
        The request that it rejected, or the address of the peer whose relayed request it was.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint asked this host to stay away."
    endpoint: str
    seconds: float
    source: str


class LeavingAnnounced(Event, frozen=True):
    """An endpoint says in its answers that it is about to stop, and gets no further requests.

    Attributes
    ----------
    source : str
        Where this host learned it: an endpoint's answer, or the address of a peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint says that it is leaving."
    endpoint: str
    source: str


class EndpointCrashed(Event, frozen=True):
    """The process of an endpoint ended while it held requests of this host.

    Attributes
    ----------
    requests, begun : int
        Requests of this host that it held, and those that it had begun to answer.
    suspect_count : int
        Parts of the other prompts on which no answer has begun lately.
    suspects : list of str
        The first of these parts.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint crashed."
    level: ClassVar[int] = logging.WARNING
    endpoint: str
    service: str
    requests: int
    begun: int
    suspect_count: int
    suspects: list[str]


class EndpointEndedUnderRequest(Event, frozen=True):
    """The process of an endpoint ended while it was working on a request of this host.

    Attributes
    ----------
    fingerprint : str
        The same for each repeat of the request, on all hosts.
    held_s : float
        How long the endpoint had had the request.
    is_begun : bool
        Whether it had begun to answer.
    ends : int
        Endpoints that have ended under the request one after the other, at all hosts.
    known_from : list of str
        The attempts of this host, and the peers, from which it knows these.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint ended under a request."
    level: ClassVar[int] = logging.WARNING
    request: str
    fingerprint: str
    endpoint: str
    held_s: float
    is_begun: bool
    ends: int
    known_from: list[str]


class RequestQuarantined(Event, frozen=True):
    """By what a peer told, endpoints have ended under a request that is refused from now on.

    Attributes
    ----------
    detail : str
        The request's fingerprint, the ends, and from whom they are known.
    source : str
        The peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "A request crashes endpoints, and is refused."
    level: ClassVar[int] = logging.WARNING
    detail: str
    source: str


class PartsQuarantined(Event, frozen=True):
    """Requests with certain parts in their prompts crash endpoints, and are refused.

    Attributes
    ----------
    parts : list of str
        Requests that have all of them are refused.
    crashes : int
        Crashes that they explain, as far as this host knows.
    source : str
        Where this host learned it: its own evidence, or the address of a peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Prompts with these parts crash endpoints, and are refused."
    level: ClassVar[int] = logging.WARNING
    parts: list[str]
    crashes: int
    source: str


class PartsReleased(Event, frozen=True):
    """Requests with certain parts in their prompts are not refused any more.

    Attributes
    ----------
    reason : str
        ``began`` if an answer began on one of them, ``lapsed`` if the time is over.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Prompts with these parts are sent again."
    parts: list[str]
    reason: str


class PathLost(Event, frozen=True):
    """A peer reaches an endpoint that this host doesn't, and relays connections to it."""

    component: ClassVar[str] = "paths"
    message: ClassVar[str] = "A peer reaches an endpoint that this host doesn't reach."
    level: ClassVar[int] = logging.WARNING
    endpoint: str
    service: str
    zone: str
    helper: str


class PathRegained(Event, frozen=True):
    """Endpoints of a service in a zone are reached over the own links again."""

    component: ClassVar[str] = "paths"
    message: ClassVar[str] = "Lost paths to endpoints are used again."
    endpoint: str
    service: str
    zone: str


class RelayDeclined(Event, frozen=True):
    """A peer did not open a connection to an endpoint for a request."""

    component: ClassVar[str] = "paths"
    message: ClassVar[str] = "A peer did not open a connection."
    is_usual: ClassVar[bool] = True
    request: str
    endpoint: str
    helper: str
    reason: str


class RelayEnded(Event, frozen=True):
    """A connection that this host relayed for a peer has ended.

    Attributes
    ----------
    origin : str
        The peer that serves the request's caller.
    """

    component: ClassVar[str] = "paths"
    message: ClassVar[str] = "A connection relayed for a peer ended."
    is_usual: ClassVar[bool] = True
    request: str
    endpoint: str
    origin: str
    took_s: float
    sent_bytes: int
    received_bytes: int


class ServicesUnreached(Event, frozen=True):
    """The services of which this host's recent attempts reached no endpoint have changed.

    Attributes
    ----------
    services : list of str
        Services of which several endpoints were tried and none was reached; empty if there are none
        any more.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "The services of which this host reaches no endpoint changed."
    level: ClassVar[int] = logging.WARNING
    services: list[str]


class EndpointsAvoided(Event, frozen=True):
    """The endpoints that this host avoids because the hosts of a zone don't reach them changed."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "The endpoints that other hosts report not to reach changed."
    added: list[str]
    removed: list[str]


class EndpointRateLimited(Event, frozen=True):
    """An endpoint names the rate that it takes from all hosts together, or names none any more.

    Attributes
    ----------
    rate_per_s : float, optional
        None if it names none any more.
    source : str
        Where this host learned it: the endpoint's answer, or the address of a peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "An endpoint changed its rate limit."
    endpoint: str
    rate_per_s: float | None
    source: str


class EndpointsGone(Event, frozen=True):
    """Endpoints were removed and get no new requests."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Endpoints were removed."
    endpoints: list[str]
    reason: str


class ListingOutdated(Event, frozen=True):
    """A request reached another endpoint than this host's list has at the address; it reads again.

    Attributes
    ----------
    endpoint : str
        The endpoint that was meant.
    age_s : float
        How long ago the list was surely current.
    waited_s : float
        How long the request waited for the list.
    is_current : bool
        Whether the next endpoint is chosen by a list that was read after the send.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Another endpoint has the address; reading the list again."
    request: str
    endpoint: str
    age_s: float
    waited_s: float
    is_current: bool


class ZoneReaderSilent(Event, frozen=True):
    """No host of the zone has proven this host's state current, so it reads the store itself.

    Attributes
    ----------
    topic : str
        What is read.
    rank : int
        Number of hosts of the zone that precede this one as reader.
    age_s : float
        How long ago the state was surely current.
    """

    component: ClassVar[str] = "hosts"
    message: ClassVar[str] = "The zone's reader is silent; reading the store itself."
    topic: str
    rank: int
    age_s: float


class RecordIgnored(Event, frozen=True):
    """A record of the endpoint list is invalid and ignored."""

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "Ignoring an invalid record in the endpoint list."
    level: ClassVar[int] = logging.WARNING
    endpoint: str


class ZoneEvacuated(Event, frozen=True):
    """A zone's endpoints get no requests from now on, or get them again.

    Attributes
    ----------
    offset : int
        Offset in the store's log as of which the order holds.
    source : str
        Where the order was read: the store, or the address of a peer.
    """

    component: ClassVar[str] = "endpoints"
    message: ClassVar[str] = "A zone was evacuated or taken back."
    zone: str
    is_evacuated: bool
    offset: int
    source: str
