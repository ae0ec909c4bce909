"""Messages that only the server's own handlers send into the loop."""

from dataclasses import dataclass

from poplarrun.contracts import VersionId


@dataclass(frozen=True, slots=True)
class ListClasses:
    """Asks which classes a key may use."""

    api_key: str


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """Asks what this host knows."""


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """Asks for the metrics as text."""


@dataclass(frozen=True, slots=True)
class ReadReadiness:
    """Asks what keeps the balancer's callers away; nothing when the host is ready."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Asks to hand over what is left and to tell the other hosts of the stop."""


@dataclass(frozen=True, slots=True)
class Explain:
    """Asks why a request went where it went."""

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
        Whether nothing was heard of it for long.
    lowest_offset, highest_offset : int or None
        Configuration offsets in force there, as last heard.
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
    """Where the roll-out of a version in a class stands.

    Attributes
    ----------
    stage : int
        Stage of the last grant.
    exposure : int
        Requests granted so far, over all hosts.
    state : str
        ``growing``, ``serving`` or why it was rejected.
    """

    version: str
    work_class: str
    stage: int
    exposure: int
    state: str


@dataclass(frozen=True, slots=True)
class OrdersStatus:
    """What the sender of a zone's orders has under way.

    Attributes
    ----------
    fence : int
        Fencing number of its lease.
    draining : dict of str to list of str
        By engine, versions that get no new work there and are then unloaded.
    coming : dict of str to float
        Expected seconds until a version is loaded that no engine of the zone holds.
    without_room : tuple of str
        Offered versions that have no place in the zone.
    """

    zone: str
    fence: int
    draining: dict[str, list[str]]
    coming: dict[str, float]
    without_room: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What one host knows.

    Attributes
    ----------
    offset : int
        Configuration offset in force here.
    log_age_s : float
        Seconds since the log last answered.
    zones : tuple of ZoneStatus
        The own zone first.
    peer_bytes_sent, peer_bytes_received : int
        Bytes exchanged with the other hosts since the start.
    bills_held, bills_waiting : int
        Bills in memory here, and those of them that wait for the log.
    outcomes_waiting : int
        Outcomes and releases of operations that wait for the log.
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
