"""Hosts, engines and callers in virtual time, for ``bench.gateway_load``.

Hosts decide with the gateway's own ``Dispatch``. An engine reads prompts one after the
other, keeps what it read while it has room, and answers with a confidence that falls with
how hard the request is for its model.
"""

import heapq
import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from poplarrun.dispatch import ConfigView, Dispatcher, SendDecision
from poplarrun.placement import EndpointRecord, Placement
from poplarrun.rollouts import Rollouts
from poplarrun.routing import (
    Account,
    Catalogue,
    InFlightRequest,
    LatencyTargets,
    ModelSize,
    PromptPart,
    RepeatPolicy,
    Request,
    Route,
    Service,
    ServiceWeight,
)
from poplarrun.sizes import SizePolicy

ZONES = ("a", "b", "c")
HOSTS = 6
SECONDS = 60.0
CALM_S = 20.0
# Pause between two digests to hosts of the own zone and to others, in seconds.
NEAR_DIGEST_S = 0.4
FAR_DIGEST_S = 1.0
CONFIDENCE_SLOPE = 1.6
CONFIDENCE_NOISE = 0.1
# What a late answer and a poor one are worth to a caller, as a share.
LATE_WORTH = 0.3
POOR_WORTH = 0.05
MEMORY_TOKENS = 428_841
FAR_DELAY_S = 0.008
# Batches end a step only now and then: what a first event takes at least, in seconds.
FIRST_EVENT_S = 0.02


@dataclass(frozen=True)
class Model:
    """A model: its price, prompt tokens a second, seconds a token, and quality."""

    size: ModelSize
    read_per_s: float
    token_s: float
    quality: float


MODELS = (
    Model(ModelSize("small", 0.0081), 169_000.0, 0.0018, 0.54),
    Model(ModelSize("middle", 0.061), 63_400.0, 0.0048, 0.64),
    Model(ModelSize("large", 0.12), 16_900.0, 0.018, 1.0),
)
BY_NAME = {model.size.name: model for model in MODELS}
ENGINES = Service("engines", 360, 64, MEMORY_TOKENS, tuple(model.size for model in MODELS))


@dataclass(frozen=True)
class Kind:
    """A kind of request: how often it comes, its prompts, and what callers gain by it."""

    name: str
    per_s: float
    target_s: float
    worth: float
    beginnings: int
    shared_tokens: float
    own_tokens: float
    spread: float
    answer_tokens: float
    most_tokens: int
    rank: int


KINDS = (
    Kind("brief", 5.4, 3.0, 3.0, 179, 13_300.0, 3_720.0, 1.1, 120.0, 475, 1),
    Kind("advice", 2.4, 2.0, 2.5, 35, 6_300.0, 2_890.0, 1.0, 50.0, 205, 0),
    Kind("engrave", 6.7, 2.0, 0.34, 287, 350.0, 1_110.0, 1.0, 180.0, 600, 2),
)


@dataclass(frozen=True)
class Load:
    """A course of load: engines in each zone, and how much of the usual traffic comes."""

    name: str
    engines: tuple[int, int, int]
    factor: float


@dataclass(frozen=True)
class Policy:
    """How hosts choose the model and the engine."""

    name: str
    make_sizes: Callable[[], SizePolicy] = SizePolicy
    placement: type[Placement] = Placement


@dataclass
class Engine:
    """An engine that reads prompts in the order in which they came."""

    zone: str
    free_at: float = 0.0
    kept: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)

    def read(self, request: Request, model: Model, now: float) -> float:
        """Take a prompt in, and return when its first event comes."""
        unread, is_kept = 0, True
        for part in request.prompt_parts:
            key = (model.size.name, part.key)
            is_kept = is_kept and key in self.kept
            unread += 0 if is_kept else part.tokens
            self.kept[key] = part.tokens
            self.kept.move_to_end(key)
        while sum(self.kept.values()) > MEMORY_TOKENS:
            self.kept.popitem(last=False)
        self.free_at = max(now, self.free_at) + unread / model.read_per_s
        return self.free_at + FIRST_EVENT_S


@dataclass
class Tally:
    """What callers of one run got."""

    asked: int = 0
    in_time: int = 0
    poor: int = 0
    owed: float = 0.0
    earned: float = 0.0
    paid: float = 0.0
    far_bytes: int = 0

    @property
    def worth(self) -> float:
        """What callers gained less what the models cost, as a share of what they wanted."""
        return (self.earned - self.paid) / self.owed


class World:
    """Hosts, engines and callers in virtual time.

    Parameters
    ----------
    policy : Policy
        That of each host.
    """

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        self.now = 0.0
        self.tally = Tally()
        self._load = load
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._engines: dict[str, Engine] = {}
        for zone, count in zip(ZONES, load.engines, strict=True):
            for number in range(count):
                self._engines[f"{zone}{number}"] = Engine(zone)
        self._routes = {kind.name: make_route(kind) for kind in KINDS}
        self._hosts = [self._make_host(number, policy) for number in range(HOSTS)]

    def play(self) -> Tally:
        """Play the whole load and return what callers got."""
        for kind in KINDS:
            self._arrive_after(kind)
        for number, place in itertools.permutations(range(HOSTS), 2):
            self._tell(number, place)
        while self._queue:
            self.now, _, step = heapq.heappop(self._queue)
            step()
        return self.tally

    def _make_host(self, number: int, policy: Policy) -> Dispatcher:
        placement = policy.placement(ZONES[number % len(ZONES)], random.Random(number))
        placement.update_endpoints(
            [
                EndpointRecord(name, "engines", f"10.0.0.1:{place}", engine.zone, "v1", 64, False)
                for place, (name, engine) in enumerate(self._engines.items())
            ]
        )
        knowledge = ConfigView(confirmed_at=math.inf)
        routes = tuple(self._routes.values())
        knowledge.apply_catalogue(
            Catalogue(1, {"h": routes}, {"engines": ENGINES}, {"key": Account("acme")})
        )
        return Dispatcher(knowledge, placement, Rollouts(), policy.make_sizes(), 0.765, 5.5, 10.0)

    def _at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._numbers), step))

    def _tell(self, number: int, place: int) -> None:
        """Tell another host what this one runs, again and again."""
        loads = {
            member.record.instance_id: (member.in_flight, member.pending_prefill_s)
            for member in self._hosts[number].placement.endpoints()
            if member.in_flight
        }
        self._hosts[place].placement.apply_peer_load(str(number), loads)
        is_near = number % len(ZONES) == place % len(ZONES)
        pause_s = (NEAR_DIGEST_S if is_near else FAR_DIGEST_S) * self._random.uniform(0.8, 1.2)
        if self.now < SECONDS:
            self._at(self.now + pause_s, lambda: self._tell(number, place))

    def _arrive_after(self, kind: Kind) -> None:
        pause_s = self._random.expovariate(kind.per_s * self._load.factor)
        if self.now + pause_s < SECONDS:
            self._at(self.now + pause_s, lambda: self._arrive(kind))

    def _arrive(self, kind: Kind) -> None:
        self._arrive_after(kind)
        host = self._hosts[self._random.randrange(HOSTS)]
        work = host.admit(self._make_request(kind), self.now)
        assert isinstance(work, InFlightRequest), work
        Call(self, host, work, kind, self._random.random()).send()

    def _make_request(self, kind: Kind) -> Request:
        source = self._random
        beginning = int(kind.beginnings * source.random() ** 1.4)
        fixed = random.Random(f"{kind.name}{beginning}")
        shared = int(kind.shared_tokens * fixed.lognormvariate(-0.2, 0.6))
        own = int(kind.own_tokens * source.lognormvariate(-kind.spread**2 / 2, kind.spread))
        number = next(self._numbers)
        parts = (
            PromptPart(f"{kind.name}{beginning}", shared),
            PromptPart(f"own{number}", max(1, own)),
        )
        hint = int(kind.answer_tokens * source.lognormvariate(0.0, 0.5))
        path = f"/{kind.name}/".encode()
        return Request(
            f"r{number}", b"POST", path, "h", (), b" " * (shared + own), 12.0, "key", parts,
            shared + own, kind.most_tokens, "*", None, None, max(1, hint),
        )  # fmt: skip

    def answer(self, call: "Call", send: SendDecision) -> None:
        """Have an engine read a prompt, and give its first event to the call."""
        member = send.estimate.endpoint
        engine = self._engines[member.record.instance_id]
        model = BY_NAME[send.size or "small"]
        first_at = engine.read(call.work.request, model, self.now)
        if engine.zone != call.zone:
            first_at += FAR_DELAY_S
            self.tally.far_bytes += len(call.work.request.body)
        miss = self._random.gauss(0.0, CONFIDENCE_NOISE)
        confidence = 0.5 + CONFIDENCE_SLOPE * (model.quality - call.difficulty) + miss
        call.confidence = min(1.0, max(0.0, confidence))
        self._at(first_at, call.take_first)

    def zone_of(self, host: Dispatcher) -> str:
        """Return the zone of a host."""
        return ZONES[self._hosts.index(host) % len(ZONES)]

    def end_later(self, seconds: float, step: Callable[[], None]) -> None:
        """Call back after some time."""
        self._at(self.now + seconds, step)


@dataclass
class Call:
    """One request of a caller."""

    world: World
    host: Dispatcher
    work: InFlightRequest
    kind: Kind
    difficulty: float
    confidence: float = 0.0

    @property
    def zone(self) -> str:
        """Zone of its host."""
        return self.world.zone_of(self.host)

    def send(self) -> None:
        """Send to the engine that the host chooses."""
        step = self.host.choose_endpoint(self.work, self.world.now)
        assert isinstance(step, SendDecision), step
        self.attempt = self.host.record_sent(self.work, step, self.world.now)
        self.world.answer(self, step)

    def take_first(self) -> None:
        """Take the first event: keep the answer, or ask a larger model."""
        now, model = self.world.now, BY_NAME[self.attempt.size or "small"]
        self._pay(model, 0 if now > SECONDS else 1)
        if self.host.try_escalate(self.work, self.attempt, self.confidence, now):
            self.send()
            return
        self.host.record_first_event(self.work, self.attempt, now)
        self._count(model)
        self.world.end_later(self.kind.answer_tokens * model.token_s, self._end)

    def _end(self) -> None:
        self.host.record_completed(self.work, self.attempt, self.world.now)

    def _pay(self, model: Model, generated: int) -> None:
        if self.work.arrived_at >= CALM_S:
            tokens = 0.25 * self.work.request.prompt_tokens + generated
            self.world.tally.paid += model.size.cost * tokens / 1000.0

    def _count(self, model: Model) -> None:
        if self.work.arrived_at < CALM_S:
            return
        tally = self.world.tally
        is_poor = self.difficulty > model.quality
        is_in_time = self.world.now - self.work.arrived_at <= self.kind.target_s
        share = POOR_WORTH if is_poor else 1.0
        tally.asked += 1
        tally.poor += is_poor
        tally.in_time += is_in_time and not is_poor
        tally.owed += self.kind.worth
        tally.earned += self.kind.worth * share * (1.0 if is_in_time else LATE_WORTH)
        tally.paid += model.size.cost * self.kind.answer_tokens / 1000.0


def make_route(kind: Kind) -> Route:
    """Return the route of a kind of request."""
    pace = LatencyTargets(12.0, kind.target_s)
    shares = (ServiceWeight("engines", 1.0),)
    sizes = tuple(model.size.name for model in MODELS)
    prefix = f"/{kind.name}/"
    return Route(
        kind.name, "h", prefix, RepeatPolicy.STREAM, pace, kind.rank, shares, 3, False, True, sizes
    )
