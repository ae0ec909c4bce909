"""The catalogue: the operators' routes, services, client accounts and caller limits."""

import enum
from dataclasses import dataclass, field

# Cache of a token, in bytes, up to which an engine keeps and moves the prompts of many requests.
# Models that take several times as much fill their memory with the prompts that they run.
MAX_LIGHT_TOKEN_BYTES = 32_768


class RepeatPolicy(enum.Enum):
    """Whether a request of a route may be sent to endpoints more than once.

    ``STREAM`` requests are answered with an event stream; whether another endpoint may resume
    it depends on the route's ``is_resumable``.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ModelSize:
    """One model size of a service.

    Attributes
    ----------
    cost : float
        Price of 1,000 generated tokens; 1,000 prompt tokens cost a quarter of it.
    """

    name: str
    cost: float = 0.0


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """The requests that an endpoint tolerates while it is warming up.

    Attributes
    ----------
    rate_per_s : float
        Requests a second that it handles, from all hosts together; 0 for any number.
    duration_s : float
        How long it warms up after a start.
    """

    rate_per_s: float = 0.0
    duration_s: float = 0.0


NO_WARM_UP_LIMIT = WarmUpLimit()


@dataclass(frozen=True, slots=True)
class CacheTransfer:
    """What moving the cached prompt of an engine to another engine takes.

    Attributes
    ----------
    token_bytes : int
        Size of the cache of one token; 0 if it is not stated.
    link_bytes_per_s : float
        Bandwidth of an engine's link; 0 if it is not stated.
    """

    token_bytes: int = 0
    link_bytes_per_s: float = 0.0


NO_CACHE_TRANSFER = CacheTransfer()


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    Attributes
    ----------
    max_connections : int
        Connections that one endpoint accepts from all hosts together.
    slots : int
        Requests that one endpoint runs concurrently; 0 where the endpoint list gives the number
        for each endpoint.
    cache_tokens : int
        Capacity of the prompt cache of one endpoint, in tokens; 0 for plain services.
    sizes : tuple of ModelSize
        Model sizes of its endpoints.
    warm_up : WarmUpLimit
        What its endpoints tolerate while they are warming up.
    cache_transfer : CacheTransfer
        What moving cached prompts between its endpoints takes.
    """

    name: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    sizes: tuple[ModelSize, ...] = ()
    warm_up: WarmUpLimit = NO_WARM_UP_LIMIT
    cache_transfer: CacheTransfer = NO_CACHE_TRANSFER

    @property
    def has_light_cache(self) -> bool:
        """Whether its engines state that the cache of a token is small.

        Where it is, hosts tell each other which prompts engines have cached, and ask the hosts of
        other zones for their engines.
        """
        return 0 < self.cache_transfer.token_bytes <= MAX_LIGHT_TOKEN_BYTES


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """The weight of a service among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """The latency targets of a route, in seconds.

    Attributes
    ----------
    timeout_s : float
        Maximum time that a caller may wait for the answer.
    target_s : float
        Target for the time to the answer, or to the first event of a stream.
    event_gap_s : float
        Target for the longest time between two events of a stream.
    """

    timeout_s: float
    target_s: float
    event_gap_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """A route: how requests with one host name and path prefix are forwarded.

    Attributes
    ----------
    priority : int
        Priority of its requests; 0 is the highest.
    sizes : tuple of str
        Model sizes that may answer, smallest first; empty where the caller names one.
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
        """Whether a request that may already have run can be sent again."""
        match self.repeat_policy:
            case RepeatPolicy.IDEMPOTENT:
                return True
            case RepeatPolicy.STREAM:
                return self.is_resumable
            case RepeatPolicy.ONCE:
                return False

    @property
    def outlives_caller(self) -> bool:
        """Whether a request that was sent is completed even if its caller disconnects.

        An order is, because otherwise it would stay unknown whether it ran. The rest of a stream
        is of use to nobody.
        """
        match self.repeat_policy:
            case RepeatPolicy.IDEMPOTENT | RepeatPolicy.STREAM:
                return False
            case RepeatPolicy.ONCE:
                return True

    @property
    def can_reuse_connection(self) -> bool:
        """Whether a request may be sent over a connection that has carried others.

        The endpoint may be closing it, or send a late second answer to the request before, and
        either may cost the request the one send that it has.
        """
        return self.can_repeat

    def choose_service(self, point: float) -> str:
        """Return the service at a point from 0 to 1 of the cumulative distribution of weights."""
        total_weight = sum(service_weight.weight for service_weight in self.service_weights)
        remaining_weight = point * total_weight
        for service_weight in self.service_weights:
            remaining_weight -= service_weight.weight
            if remaining_weight < 0.0:
                return service_weight.service
        return self.service_weights[-1].service


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    priority : int, optional
        Replaces the priority of the route; 0 is the highest.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests, and timeouts for sending them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the routing configuration.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        Routes by host name, with the longest prefix first.
    accounts : dict of str to Account
        Client accounts by API key; None where requests carry no keys.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, Account] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_most_urgent_route(self, service: str) -> Route | None:
        """Return the route of the highest priority to a service; of several, the fastest."""
        routes = (
            route
            for routes_of_host in self.routes.values()
            for route in routes_of_host
            if any(weight.service == service for weight in route.service_weights)
        )
        return min(routes, key=lambda route: (route.priority, route.latency.target_s), default=None)

    def find_account(self, key: str | None) -> Account | None:
        """Return the client account of an API key."""
        if self.accounts is None or key is None:
            return None
        return self.accounts.get(key)
