"""Decoding of the operators' documents in the store."""

import json
from typing import Annotated, TypeVar

from msgspec import Meta, Struct

from poplarrun.evacuations import ZoneOrder
from poplarrun.platform._names import EVACUATION_PREFIX
from poplarrun.platform._validation import (
    MAX_WHOLE_NUMBER,
    InvalidDocument,
    WholeNumber,
    validate,
)
from poplarrun.routing import (
    Account,
    CacheTransfer,
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
    WarmUpLimit,
)

MILLISECONDS_PER_S = 1000.0
BYTES_PER_S_IN_MBPS = 125_000.0
REPEAT_BY_TYPE = {
    "idempotent": RepeatPolicy.IDEMPOTENT,
    "non_idempotent": RepeatPolicy.ONCE,
    "streaming": RepeatPolicy.STREAM,
}
DEFAULT_GAP_MS = 1000.0

M = TypeVar("M", bound=Struct)
# Documents may hold numbers that are infinite as floats.
Float = Annotated[float, Meta(le=MAX_WHOLE_NUMBER)]
PositiveFloat = Annotated[float, Meta(gt=0, le=MAX_WHOLE_NUMBER)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
PositiveInt = Annotated[int, Meta(gt=0, le=MAX_WHOLE_NUMBER)]


class _Model(Struct, frozen=True, rename="camel"):
    pass


class _Split(_Model, frozen=True):
    service: str
    weight: NonNegativeFloat


class _Route(_Model, frozen=True):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: PositiveFloat
    target_latency_ms: PositiveFloat
    priority: int = 5
    service: str | None = None
    split: tuple[_Split, ...] = ()
    max_attempts: PositiveInt = 1
    public: bool = False
    resumable: bool = False
    gap_goal_ms: Float | None = None
    sizes: tuple[str, ...] = ()


class _EngineModel(_Model, frozen=True):
    name: str
    cost: Float = 0.0


class _Engine(_Model, frozen=True):
    slots: WholeNumber = 0
    kv_capacity: WholeNumber = 0
    kv_bytes: NonNegativeFloat = 0.0
    link_mbps: NonNegativeFloat = 0.0
    models: tuple[_EngineModel, ...] = ()


class _Service(_Model, frozen=True):
    name: str
    max_conns: PositiveInt = 64
    cold_start_s: NonNegativeFloat = 0.0
    cold_per_s: NonNegativeFloat = 0.0
    engine: _Engine | None = None


class _Limits(_Model, frozen=True):
    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 4_194_304
    header_timeout_ms: PositiveFloat = 3000
    idle_timeout_ms: PositiveFloat = 15_000


class _Tenant(_Model, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Config(_Model, frozen=True):
    version: WholeNumber
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Rollout(_Model, frozen=True):
    service: str
    target: str
    duration_s: PositiveFloat


class _Evacuation(_Model, frozen=True):
    """An order to evacuate a zone; the key names the zone, and no field is defined."""


class _Status(_Model, frozen=True):
    target: str
    phase: RolloutPhase
    service: str | None = None


class MalformedDocument(Exception):
    """A document that is ignored; the message names the field."""


def decode_catalogue(value: bytes) -> Catalogue:
    """Decode a configuration.

    Raises
    ------
    MalformedDocument
        If a field is missing or has the wrong type.
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
        config.limits.header_timeout_ms / MILLISECONDS_PER_S,
        config.limits.idle_timeout_ms / MILLISECONDS_PER_S,
    )
    services = {service.name: _service(service) for service in config.services}
    return Catalogue(config.version, routes, services, accounts, limits)


def decode_order(value: bytes, offset: int) -> RolloutOrder:
    """Decode the order of a roll-out.

    Raises
    ------
    MalformedDocument
        If a field is missing or has the wrong type.
    """
    order = _validate(_Rollout, value)
    return RolloutOrder(order.service, order.target, order.duration_s, offset)


def decode_evacuation(key: str, value: bytes | None, offset: int) -> ZoneOrder:
    """Decode the record of a zone's evacuation.

    Parameters
    ----------
    value : bytes, optional
        None if the record lifts the order.

    Raises
    ------
    MalformedDocument
        If the key names no zone, or the value is no object.
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone:
        raise MalformedDocument("zone: the key names none")
    if value is not None:
        _validate(_Evacuation, value)
    return ZoneOrder(zone, offset, value is not None)


def decode_status(service: str, value: bytes) -> RolloutStatus:
    """Decode the recorded status of a roll-out.

    Raises
    ------
    MalformedDocument
        If a field is missing or has the wrong type.
    """
    status = _validate(_Status, value)
    return RolloutStatus(service, status.target, status.phase)


def encode_status(status: RolloutStatus) -> bytes:
    """Encode the status of a roll-out."""
    document = {"service": status.service, "target": status.target, "phase": status.phase.value}
    return json.dumps(document).encode()


def _route(route: _Route) -> Route:
    if route.type not in REPEAT_BY_TYPE:
        raise MalformedDocument(f"routes.{route.name}.type: unknown type {route.type!r}")
    service_weights = tuple(ServiceWeight(split.service, split.weight) for split in route.split)
    if not service_weights and route.service is not None:
        service_weights = (ServiceWeight(route.service, 1.0),)
    if not service_weights:
        raise MalformedDocument(f"routes.{route.name}.service: missing, and there is no split")
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeat_policy=REPEAT_BY_TYPE[route.type],
        latency=LatencyTargets(
            route.timeout_ms / MILLISECONDS_PER_S,
            route.target_latency_ms / MILLISECONDS_PER_S,
            (route.gap_goal_ms or DEFAULT_GAP_MS) / MILLISECONDS_PER_S,
        ),
        priority=route.priority,
        service_weights=service_weights,
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        sizes=route.sizes,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    warm_up = WarmUpLimit(service.cold_per_s, service.cold_start_s)
    if engine is None:
        return Service(service.name, service.max_conns, warm_up=warm_up)
    sizes = tuple(ModelSize(model.name, model.cost) for model in engine.models)
    transfer = CacheTransfer(int(engine.kv_bytes), engine.link_mbps * BYTES_PER_S_IN_MBPS)
    return Service(
        service.name, service.max_conns, engine.slots, engine.kv_capacity, sizes, warm_up, transfer
    )


def _validate(model: type[M], value: bytes) -> M:
    try:
        return validate(model, json.loads(value))
    except InvalidDocument as error:
        raise MalformedDocument(str(error)) from error
    except (ValueError, RecursionError) as error:
        raise MalformedDocument(f"document: {error}") from error
