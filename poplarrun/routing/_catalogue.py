"""The operators' configuration as the decisions see it: routes, services, accounts."""

import enum
from dataclasses import dataclass, field


class RepeatPolicy(enum.Enum):
    """What may be sent to an endpoint more than once.

    ``STREAM`` is an answer in events; whether it may go on elsewhere stands in
    its route's ``is_resumable``.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ModelSize:
    """One model of a service.

    Attributes
    ----------
    cost : float
        Price of 1,000 generated tokens; 1,000 prompt tokens cost a quarter.
    """

    name: str
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of like endpoints.

    Attributes
    ----------
    most_connections : int
        Connections that one endpoint accepts from all hosts together.
    places : int
        Requests that one endpoint runs at once; 0 where the listing tells.
    cache_tokens : int
        Prompt tokens that one endpoint holds in memory; 0 for plain services.
    sizes : tuple of Size
        Models of its endpoints.
    """

    name: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    sizes: tuple[ModelSize, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service's part of a route, as a weight among the others."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """The times that an answer should keep, in seconds.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller may be kept waiting.
    target_s : float
        Time to the answer, or to a stream's first event, within which it is in time.
    gap_s : float
        Longest pause between two events of a stream that is in time.
    """

    timeout_s: float
    target_s: float
    event_gap_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host name and path prefix go.

    Attributes
    ----------
    rank : int
        Importance; 0 is the highest.
    sizes : tuple of str
        Models that may answer, smallest first; empty where the caller names one.
    """

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    latency: LatencyTargets
    priority: int
    service_weights: tuple[ServiceWeight, ...]
    max_attempts: int
    is_public: bool = False
    is_resumable: bool = False
    sizes: tuple[str, ...] = ()

    @property
    def can_repeat(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        match self.repeat_policy:
            case RepeatPolicy.IDEMPOTENT:
                return True
            case RepeatPolicy.STREAM:
                return self.is_resumable
            case RepeatPolicy.ONCE:
                return False

    def choose_service(self, point: float) -> str:
        """Return the service at a point from 0 to 1 of the shares laid end to end."""
        whole = sum(share.weight for share in self.service_weights)
        left = point * whole
        for share in self.service_weights:
            left -= share.weight
            if left < 0.0:
                return share.service
        return self.service_weights[-1].service


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    rank : int, optional
        Goes before the rank of the route; 0 is the highest.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the whole configuration.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        By host name; the longest prefix first.
    accounts : dict of str to Account
        By API key; None where no request carries a key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, Account] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that holds a key."""
        if self.accounts is None or key is None:
            return None
        return self.accounts.get(key)
