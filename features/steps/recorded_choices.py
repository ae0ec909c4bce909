import hashlib
import random

from behave import given, then, when

from features.steps.gateway_world import PACE
from poplarrun.paths import EndpointGroup
from poplarrun.placement import EndpointRecord, Placement, find_shared_prefix
from poplarrun.routing import (
    CacheTransfer,
    InFlightRequest,
    PromptPart,
    RepeatPolicy,
    Request,
    Route,
    Service,
    ServiceWeight,
    WarmUpLimit,
)
from poplarrun.shares import HostSighting

ZONES = "abc"
VERSIONS = ("v1", "v2")
START_S = 100.0
HOSTS = [(f"10.0.{number}.1:1", ZONES[number % 3]) for number in range(1, 9)]
ROUTE = Route(
    "r", "h", "/", RepeatPolicy.STREAM, PACE, 1, (ServiceWeight("engines", 1.0),), 3
)  # fmt: skip


def make_services(token_bytes):
    transfer = CacheTransfer(token_bytes, 22.5e9)
    engines = Service("engines", 100, 8, 400_000, (), WarmUpLimit(5.0, 2.0), transfer)
    return {"engines": engines, "plain": Service("plain", 100, 8)}


def list_records(endpoints, leaving=()):
    """Return one plain endpoint for each three engines, in three zones."""
    return [
        EndpointRecord(
            f"i-{number:x}",
            "plain" if number % 4 == 3 else "engines",
            f"10.0.0.1:{number}",
            ZONES[number % 3],
            VERSIONS[number % 5 == 0],
            8,
            number in leaving,
            10.0 if number % 17 == 0 else 0.0,
            1,
        )
        for number in range(endpoints)
    ]


class ChangingWorld:
    """Draws states of endpoints and requests, and records what is chosen.

    The draws come from a source of their own, so that they don't depend on what is chosen.
    """

    def __init__(self, endpoints, token_bytes, seed):
        self._services = make_services(token_bytes)
        self.placement = Placement("a", random.Random(seed))
        self.now = START_S
        self.endpoints = endpoints
        self.placement.shares.start("10.0.0.1:1", "a", 0.0)
        self.placement.update_endpoints(list_records(endpoints), self.now)
        self._random = random.Random(f"{endpoints} {seed}")
        self._number = 0

    def change(self):
        """Change the state of some endpoints, as outcomes, notices and documents do."""
        rng, placement, now = self._random, self.placement, self.now
        placement.shares.update_hosts(
            [HostSighting(address, zone, True, now) for address, zone in HOSTS], now
        )
        listed = placement.endpoints()
        for endpoint in rng.sample(listed, max(1, len(listed) // 4)):
            endpoint.in_flight = rng.randrange(10)
            endpoint.peer_in_flight = float(rng.randrange(10))
            endpoint.pending_prefill_s = rng.random()
            endpoint.peer_pending_prefill_s = rng.random()
        for action in (
            lambda each: each.record_failure(now),
            lambda each: each.record_unreached(now),
            lambda each: each.record_reached(now),
            lambda each: each.record_overloaded(now),
            lambda each: each.record_rejected(now),
            lambda each: each.record_send(now),
            lambda each: each.apply_rate_limit(rng.choice((None, 2.0, 20.0)), now),
            lambda each: each.record_first_event(0.2, rng.random(), now),
            lambda each: placement.record_hold_off(each, rng.random() * 2.0, now),
            lambda each: each.record_prompt("small", self.draw_parts(), now),
            lambda each: placement.apply_load_notice(
                each.record.instance_id,
                rng.random(),
                now,
                find_shared_prefix("small", self.draw_parts()),
            ),
        ):
            if rng.random() < len(listed) / 400:
                action(rng.choice(listed))
        ids = [endpoint.record.instance_id for endpoint in rng.sample(listed, 3)]
        match rng.randrange(60):
            case 0:
                placement.update_unreached(ids, now)
            case 1:
                placement.update_evacuated(frozenset(rng.choice(("", "b", "c"))), now)
            case 2:
                placement.silent_zones = frozenset(rng.choice(("", "b", "c")))
            case 3:
                leaving = {rng.randrange(self.endpoints) for _ in range(3)}
                placement.update_endpoints(list_records(self.endpoints, leaving), now)
            case 4:
                placement.leaving.record(ids[0], 1, now)
            case 5:
                placement.brittle.record(rng.choice(tuple(self._services)), 2, now, now)
            case 6:
                record = placement.find(ids[0]).record
                group = EndpointGroup(record.service, record.zone)
                placement.paths.record_relayed(ids[0], group, now)
            case 7:
                record = placement.find(ids[0]).record
                group = EndpointGroup(record.service, record.zone)
                placement.paths.record_connected(ids[0], group, now)
            case 8:
                loads = {instance_id: (rng.randrange(9), rng.random()) for instance_id in ids}
                placement.apply_peer_load(rng.choice("xyz"), loads, (rng.randrange(9), 1.0))

    def draw_parts(self):
        """Return the parts of a prompt that shares its beginning with others, or one of its own."""
        rng = self._random
        self._number += 1
        own = PromptPart(f"own-{self._number}", 1 + rng.randrange(4000))
        shared = [PromptPart(f"p-{rng.randrange(20)}", 9000), PromptPart("q", 300)]
        return (*shared[: rng.randrange(3)], own)[rng.random() < 0.05 :]

    def choose(self):
        """Return the estimate of the endpoint chosen for one request."""
        rng = self._random
        service = self._services["plain" if rng.random() < 0.2 else "engines"]
        parts = self.draw_parts() if service.cache_tokens else ()
        body = b" " * rng.choice((100, 20_000))
        request = Request(
            f"r{self._number}", b"POST", b"/", "h", (), body, 10.0, prompt_parts=parts
        )
        work = InFlightRequest(request, ROUTE, None, service.name, self.now, self.now + 10.0)
        for endpoint in rng.sample(self.placement.endpoints(), rng.randrange(3)):
            work.tried_endpoints.add(endpoint.record.instance_id)
            if rng.random() < 0.5:
                work.failed_zones[endpoint.record.zone] = self.now - rng.random()
        return self.placement.choose(
            work,
            service,
            self.now,
            rng.choice(("small", "large")),
            versions=rng.choice((None, None, ("v1",), ("v1", "v2"))),
            avoided_version=rng.choice((None, None, "v2")),
            include_tried=rng.random() < 0.3,
            concentrate_load=rng.random() < 0.1,
        )


@given(
    "{endpoints:d} endpoints with {token_bytes:d} cache bytes per token, whose states change with "
    "the seed {seed:d}"
)
def step_world(context, endpoints, token_bytes, seed):
    context.world = ChangingWorld(endpoints, token_bytes, seed)


@when("endpoints are chosen for {count:d} requests")
def step_choose(context, count):
    context.choices = []
    for _ in range(count):
        context.world.now += 0.05
        context.world.change()
        context.choices.append(context.world.choose())


@then('{refused:d} requests get no endpoint, and the choices have the checksum "{checksum}"')
def step_recorded(context, refused, checksum):
    found = hashlib.blake2b(digest_size=8)
    for estimate in context.choices:
        if estimate is None:
            found.update(b"none\n")
            continue
        values = [
            getattr(estimate, name)
            for name in ("prefill_s", "first_event_s", "uncached_tokens", "queue_s", "load")
        ]
        line = [estimate.endpoint.record.instance_id, *(round(value, 9) for value in values)]
        found.update(f"{line}\n".encode())
    refusals = sum(estimate is None for estimate in context.choices)
    assert (refusals, found.hexdigest()) == (refused, checksum), (refusals, found.hexdigest())
