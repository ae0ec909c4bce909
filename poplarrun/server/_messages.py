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
    """Asks whether the balancer may send callers here."""


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
class HostStatus:
    """What one host knows.

    Attributes
    ----------
    offset : int
        Configuration offset in force here.
    log_age_s : float
        Seconds since the log last answered.
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
