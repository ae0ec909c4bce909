import random

from poplarrun.dispatch import Dispatcher
from poplarrun.placement import EndpointRecord, Placement
from poplarrun.rollouts import Rollouts
from poplarrun.routing import (
    Account,
    Catalogue,
    InFlightRequest,
    LatencyTargets,
    ModelSize,
    RepeatPolicy,
    Request,
    Route,
    Service,
    ServiceWeight,
)
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy

PACE = LatencyTargets(10.0, 2.0, 1.0)
SIZES = (ModelSize("small", 0.008), ModelSize("large", 0.12))
ENGINES = Service("engines", 100, 8, 400_000, SIZES)


def make_route(prefix="/", repeat=RepeatPolicy.STREAM, rank=1, attempts=3, name="draft"):
    service_weights = (ServiceWeight("engines", 1.0),)
    sizes = ("small", "large")
    return Route(
        name, "shop", prefix, repeat, PACE, rank, service_weights, attempts, False, True, sizes
    )


def make_catalogue(version=1, routes=None, keys=("key",)):
    routes = routes or (make_route(),)
    ordered = tuple(sorted(routes, key=lambda route: -len(route.prefix)))
    accounts = {key: Account("acme") for key in keys}
    return Catalogue(version, {"shop": ordered}, {"engines": ENGINES}, accounts)


def make_request(path="/x", parts=(), session=None, number=0):
    tokens = sum(part.tokens for part in parts)
    return Request(
        f"req-{number}", b"POST", path.encode(), "shop", (), b"", 10.0, "key", parts,
        tokens or 1000, 100, "*", session,
    )  # fmt: skip


def make_endpoint_record(name, version="v1", sequence=1, started_ms=1, zone="a"):
    return EndpointRecord(
        name, "engines", "127.0.0.1:1", zone, version, 8, False, 0.0, started_ms, sequence
    )


def make_placement(count):
    placement = Placement("a", random.Random(3))
    placement.update_endpoints(
        [make_endpoint_record(f"engine-{number}") for number in range(count)]
    )
    return placement


def make_dispatch(config_view, engines=2, retry_ratio=0.8, allowance=10.0, window_s=10.0):
    placement = make_placement(engines)
    budget = Budget(int(allowance), int(allowance), window_s)
    return Dispatcher(config_view, placement, Rollouts(), SizePolicy(), retry_ratio, budget)


def make_work(parts=(), number=0, session=None):
    request = make_request(parts=parts, number=number, session=session)
    return InFlightRequest(
        request, make_route(), Account("acme"), "engines", 100.0, 110.0, model_size=None
    )
