"""Messages that the HTTP handlers send to the event loop, besides those of the router."""

from dataclasses import dataclass

from poplarrun.contracts import VersionId


@dataclass(frozen=True, slots=True)
class ListClasses:
    """Asks for the classes of work that an API key may use."""

    api_key: str


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """Asks for the status of this host."""


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """Asks for the metrics in text form."""


@dataclass(frozen=True, slots=True)
class ReadReadiness:
    """Asks for the reasons why the host isn't ready; the answer is empty if it is."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Asks to hand over the host's duties and to announce its stop to the other hosts."""


@dataclass(frozen=True, slots=True)
class Explain:
    """Asks how a request was routed and why."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """One endpoint as this host sees it."""

    name: str
    zone: str
    kind: str
    state: str
    load: float
    versions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """One availability zone as this host sees it.

    Attributes
    ----------
    silent : bool
        Whether no host of the zone was heard for a long time.
    silence_s : float
        Seconds since a host of the zone was last heard.
    lowest_offset, highest_offset : int or None
        Range of the configuration offsets in force there, as last reported.
    hosts : dict of str to str
        State by host name.
    """

    zone: str
    silent: bool
    silence_s: float
    lowest_offset: int | None
    highest_offset: int | None
    hosts: dict[str, str]


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Progress of the roll-out of a version in a class.

    Attributes
    ----------
    stage : int
        Stage of the last grant.
    exposure : int
        Requests granted so far, over all hosts.
    state : str
        ``growing``, ``serving`` or the reason of its rejection.
    """

    version: str
    work_class: str
    stage: int
    exposure: int
    state: str


@dataclass(frozen=True, slots=True)
class OrdersStatus:
    """The load and unload orders in progress in a zone.

    Attributes
    ----------
    fence : int
        Fencing number of the sender's lease.
    draining : dict of str to list of str
        By engine, versions that get no new requests there and will be unloaded.
    coming : dict of str to float
        Expected seconds until a version that no engine of the zone has loaded is available.
    without_room : tuple of str
        Offered versions for which the zone has no capacity.
    """

    zone: str
    fence: int
    draining: dict[str, list[str]]
    coming: dict[str, float]
    without_room: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Status of one host.

    Attributes
    ----------
    offset : int
        Offset of the configuration in force at this host.
    log_age_s : float
        Seconds since the log last answered.
    zones : tuple of ZoneStatus
        The zones, the host's own one first.
    peer_bytes_sent, peer_bytes_received : int
        Bytes exchanged with the other hosts since the start.
    bills_held, bills_waiting : int
        Bills in memory, and those of them that aren't in the log yet.
    outcomes_waiting : int
        Outcomes and releases of operations that aren't in the log yet.
    """

    host: str
    zone: str
    region: str
    ready: bool
    offset: int
    log_age_s: float
    open_requests: int
    endpoints: tuple[EndpointStatus, ...]
    withdrawn: tuple[VersionId, ...]
    refusals: dict[str, int]
    zones: tuple[ZoneStatus, ...]
    peer_bytes_sent: int
    peer_bytes_received: int
    rollouts: tuple[RolloutStatus, ...] = ()
    bills_held: int = 0
    bills_waiting: int = 0
    outcomes_waiting: int = 0
    orders: tuple[OrdersStatus, ...] = ()
