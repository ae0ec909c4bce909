"""The operators' documents in the store, validated and turned into the product's types."""

import json
from typing import Annotated, TypeVar

from msgspec import Meta, Struct

from poplarrun.platform._validation import InvalidDocument, validate
from poplarrun.routing import (
    Account,
    CallerLimits,
    Catalogue,
    LatencyTargets,
    ModelSize,
    RepeatPolicy,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
    Route,
    Service,
    ServiceWeight,
)

MILLISECONDS = 1000.0
REPEATS = {
    "idempotent": RepeatPolicy.IDEMPOTENT,
    "non_idempotent": RepeatPolicy.ONCE,
    "streaming": RepeatPolicy.STREAM,
}
DEFAULT_GAP_MS = 1000.0

M = TypeVar("M", bound=Struct)
Positive = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(gt=0)]


class _Model(Struct, frozen=True, rename="camel"):
    pass


class _Split(_Model, frozen=True):
    service: str
    weight: Annotated[float, Meta(ge=0)]


class _Route(_Model, frozen=True):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: Positive
    target_latency_ms: Positive
    priority: int = 5
    service: str | None = None
    split: tuple[_Split, ...] = ()
    max_attempts: PositiveInt = 1
    public: bool = False
    resumable: bool = False
    gap_goal_ms: float | None = None
    sizes: tuple[str, ...] = ()


class _EngineModel(_Model, frozen=True):
    name: str
    cost: float = 0.0


class _Engine(_Model, frozen=True):
    slots: int = 0
    kv_capacity: int = 0
    models: tuple[_EngineModel, ...] = ()


class _Service(_Model, frozen=True):
    name: str
    max_conns: PositiveInt = 64
    engine: _Engine | None = None


class _Limits(_Model, frozen=True):
    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 4_194_304
    header_timeout_ms: Positive = 3000
    idle_timeout_ms: Positive = 15_000


class _Tenant(_Model, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Config(_Model, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Rollout(_Model, frozen=True):
    service: str
    target: str
    duration_s: Positive


class _Status(_Model, frozen=True):
    target: str
    phase: RolloutPhase
    service: str | None = None


class MalformedDocument(Exception):
    """A document that has no effect; the text names the field."""


def decode_catalogue(value: bytes) -> Catalogue:
    """Decode a configuration.

    Raises
    ------
    Malformed
        When any field is missing or of another type.
    """
    config = _validate(_Config, value)
    by_host: dict[str, list[Route]] = {}
    for route in config.routes:
        by_host.setdefault(route.host.lower(), []).append(_route(route))
    routes = {
        host: tuple(sorted(listed, key=lambda route: len(route.prefix), reverse=True))
        for host, listed in by_host.items()
    }
    accounts = None
    if config.tenants is not None:
        accounts = {
            key: Account(tenant.name, tenant.priority)
            for tenant in config.tenants
            for key in tenant.api_keys
        }
    limits = CallerLimits(
        config.limits.max_header_bytes,
        config.limits.max_body_bytes,
        config.limits.header_timeout_ms / MILLISECONDS,
        config.limits.idle_timeout_ms / MILLISECONDS,
    )
    services = {service.name: _service(service) for service in config.services}
    return Catalogue(config.version, routes, services, accounts, limits)


def decode_order(value: bytes, offset: int) -> RolloutOrder:
    """Decode the order of a roll-out.

    Raises
    ------
    Malformed
        When any field is missing or of another type.
    """
    order = _validate(_Rollout, value)
    return RolloutOrder(order.service, order.target, order.duration_s, offset)


def decode_status(service: str, value: bytes) -> RolloutStatus:
    """Decode what is recorded of a roll-out.

    Raises
    ------
    Malformed
        When any field is missing or of another type.
    """
    status = _validate(_Status, value)
    return RolloutStatus(service, status.target, status.phase)


def encode_status(status: RolloutStatus) -> bytes:
    """Encode what is to be recorded of a roll-out."""
    document = {"service": status.service, "target": status.target, "phase": status.phase.value}
    return json.dumps(document).encode()


def _route(route: _Route) -> Route:
    if route.type not in REPEATS:
        raise MalformedDocument(f"routes.{route.name}.type: {route.type!r} is not known")
    shares = tuple(ServiceWeight(split.service, split.weight) for split in route.split)
    if not shares and route.service is not None:
        shares = (ServiceWeight(route.service, 1.0),)
    if not shares:
        raise MalformedDocument(f"routes.{route.name}.service: is missing")
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeat_policy=REPEATS[route.type],
        latency=LatencyTargets(
            route.timeout_ms / MILLISECONDS,
            route.target_latency_ms / MILLISECONDS,
            (route.gap_goal_ms or DEFAULT_GAP_MS) / MILLISECONDS,
        ),
        priority=route.priority,
        service_weights=shares,
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        sizes=route.sizes,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    if engine is None:
        return Service(service.name, service.max_conns)
    sizes = tuple(ModelSize(model.name, model.cost) for model in engine.models)
    return Service(service.name, service.max_conns, engine.slots, engine.kv_capacity, sizes)


def _validate(model: type[M], value: bytes) -> M:
    try:
        return validate(model, json.loads(value))
    except InvalidDocument as error:
        raise MalformedDocument(str(error)) from error
    except (ValueError, RecursionError) as error:
        raise MalformedDocument(f"document: {error}") from error
