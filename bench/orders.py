"""Engine orders: cost of a plan, orders a second, time to follow a demand, bytes.

``python -m bench.orders``. The plan is the product's own, driven without a
cluster. The shift of demand runs the whole order tasks in virtual time, with
engines and a rate-limited store in memory. In the same run: a static equal
spread, and loads on demand only, the least recently used version going first.
That last one knows the demand at once and cuts off streams when it unloads.
"""

import asyncio
import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bench.figures import Figure, report
from poplarrun.clients import EngineModels, HttpOrders, MemoryEngine, MemoryWeightStore
from poplarrun.contracts import VersionId
from poplarrun.orders import (
    ENGINE_POLL_INTERVAL_S,
    DemandCounter,
    DemandSummary,
    DrainRevision,
    OpenRequest,
    OrderController,
    Planner,
    SendOrder,
    VersionNeed,
    encode_demand,
)
from standins.fleet import StandInProcess
from standins.order_world import ENGINE_SLOTS, OrderWorld
from standins.virtual_time import VirtualTimeLoop

VERSIONS = [VersionId("model", str(number)) for number in range(26)]
ENDPOINTS = 830
ZONES = 7
HOSTS = 390
ROOM = 4
ROUNDS = 40
LOOKS = 500
SEEDS = (1, 2, 3)

# The shift: one zone of 12 engines, 48 places for versions.
ZONE_ENGINES = 12
LOAD_S = 10.0
FETCHES_PER_MINUTE = 30
SETTLE_S = 300
SHIFT_S = 300
# Of all places of the zone's batches, so many are asked for.
ASKED_SHARE = 0.6
SERVED = 0.95
SUMMARY_FACTOR = 2
SUMMARY_BYTES_PER_S = 1200.0


def zipf(count: int, places: float) -> list[float]:
    """Return a demand that falls with the rank."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    return [places * weight / sum(weights) for weight in weights]


class RateStore(MemoryWeightStore):
    """Hands out a bounded number a minute."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self._times: list[float] = []

    def fetch(self, version: str, engine: str) -> str:
        """Hand a version's weights out, or refuse."""
        now = self._clock()
        self._times = [at for at in self._times if at > now - 60.0]
        if len(self._times) >= FETCHES_PER_MINUTE:
            return "status_429"
        self._times.append(now)
        return super().fetch(version, engine)


def served_share(held: list[set[VersionId]], demand: dict[VersionId, float]) -> float:
    """Return the share of the demand that the engines have places for, the rarest version first."""
    free = [float(ENGINE_SLOTS)] * len(held)
    served = 0.0
    for version in sorted(demand, key=lambda v: sum(v in versions for versions in held)):
        left = demand[version]
        for index in sorted(range(len(held)), key=lambda i: -free[i]):
            if version in held[index]:
                taken = min(left, free[index])
                free[index] -= taken
                left -= taken
        served += demand[version] - left
    return served / sum(demand.values())


@dataclass
class Course:
    """What became of one way of ordering after the shift."""

    shares: list[float] = field(default_factory=list)
    fetched: int = 0
    orders: int = 0

    @property
    def seconds(self) -> float:
        """Seconds until the demand was served and stayed so; the whole time if never."""
        late = [at for at, share in enumerate(self.shares) if share < SERVED]
        return float(late[-1] + 1) if late else 0.0


def demands(seed: int) -> tuple[dict[VersionId, float], dict[VersionId, float]]:
    """Return the demand before and after the shift."""
    source = random.Random(seed)
    places = zipf(len(VERSIONS), ZONE_ENGINES * ENGINE_SLOTS * ASKED_SHARE)
    before, after = list(VERSIONS), list(VERSIONS)
    source.shuffle(before)
    source.shuffle(after)
    return dict(zip(before, places, strict=True)), dict(zip(after, places, strict=True))


def run_orders(seed: int) -> Course:
    """Run the product's own orders."""
    loop = VirtualTimeLoop()
    engines = {f"a-{n}": MemoryEngine(ROOM, set(), load_s=LOAD_S) for n in range(ZONE_ENGINES)}
    before, after = demands(seed)
    course = Course()

    async def run() -> None:
        world = OrderWorld(loop, "a", 2, engines, RateStore(loop.time))
        world.offer([str(version) for version in VERSIONS])
        ask(world, before)
        await asyncio.sleep(SETTLE_S)
        fetched, orders = len(world.store.fetched), sum(
            len(e.accepted_orders) for e in engines.values()
        )
        ask(world, after)
        for _ in range(SHIFT_S):
            held = [
                set(map(VersionId.parse, e.report(loop.time()).loaded)) for e in engines.values()
            ]
            course.shares.append(served_share(held, after))
            await asyncio.sleep(1.0)
        course.fetched = len(world.store.fetched) - fetched
        course.orders = sum(len(e.accepted_orders) for e in engines.values()) - orders

    loop.run_until_complete(run())
    loop.shut_down()
    return course


def ask(world: OrderWorld, demand: dict[VersionId, float]) -> None:
    """Open the demand's requests at the hosts in turn."""
    hosts = list(world.hosts.values())
    for index, host in enumerate(hosts):
        host.open_requests = [
            OpenRequest(version, 1, False)
            for version, places in demand.items()
            for _ in range((round(places) + index) // len(hosts))
        ]


def run_static(seed: int) -> Course:
    """Each version as often as any other, for ever."""
    held: list[set[VersionId]] = [set() for _ in range(ZONE_ENGINES)]
    for slot in range(ZONE_ENGINES * ROOM):
        held[slot % ZONE_ENGINES].add(VERSIONS[slot % len(VERSIONS)])
    return Course([served_share(held, demands(seed)[1])] * SHIFT_S)


def run_on_demand(seed: int) -> Course:
    """Load what is asked for and held nowhere or too seldom; the least recently used goes."""
    course, now = Course(), 0.0
    store = RateStore(lambda: now)
    source = random.Random(seed)
    held: list[dict[VersionId, float]] = [{} for _ in range(ZONE_ENGINES)]
    coming: list[tuple[float, int, VersionId]] = []
    for second, demand in enumerate([demands(seed)[0]] * SETTLE_S + [demands(seed)[1]] * SHIFT_S):
        now = float(second)
        for ready_at, index, version in [c for c in coming if c[0] <= now]:
            coming.remove((ready_at, index, version))
            while len(held[index]) >= ROOM:
                held[index].pop(min(held[index], key=held[index].__getitem__))
            held[index][version] = now
        for version, places in demand.items():
            if source.random() >= min(1.0, places):
                continue
            holders = [versions for versions in held if version in versions]
            for versions in holders:
                versions[version] = now
            is_full = len(holders) * ENGINE_SLOTS / ROOM < places and len(holders) < ZONE_ENGINES
            if is_full and version not in {c[2] for c in coming}:
                others = [n for n in range(ZONE_ENGINES) if version not in held[n]]
                index = source.choice(others)
                if not store.fetch(str(version), str(index)):
                    coming.append((now + LOAD_S, index, version))
        if second >= SETTLE_S:
            course.shares.append(served_share([set(v) for v in held], demand))
        elif second == SETTLE_S - 1:
            course.fetched = -len(store.fetched)
    course.fetched += len(store.fetched)
    return course


def make_holder(
    engines: int, seed: int
) -> tuple[OrderController, list[VersionNeed], dict[str, int]]:
    """Return a holder whose engines are full of versions by demand."""
    source = random.Random(seed)
    holder = OrderController(source)
    holder.planner = Planner()
    for number in range(engines):
        loaded = sorted(str(v) for v in source.sample(VERSIONS, ROOM))
        holder.apply_models(f"e{number}", EngineModels(ROOM, loaded), 0.0)
    places = zipf(len(VERSIONS), engines * ENGINE_SLOTS * ASKED_SHARE)
    needs = [VersionNeed(version, p) for version, p in zip(VERSIONS, places, strict=True)]
    return holder, needs, {f"e{number}": ENGINE_SLOTS for number in range(engines)}


def time_plans(engines: int, seed: int) -> list[float]:
    """Return the milliseconds of the rounds, orders taken, the demand turning a little."""
    holder, needs, places = make_holder(engines, seed)
    source = random.Random(seed)
    demand = [DemandSummary(applied_revisions={"a": DrainRevision(2**40, 0)})]
    times = []
    for number in range(ROUNDS):
        moved = [with_places(n, n.concurrent_requests * source.uniform(0.8, 1.25)) for n in needs]
        began = time.process_time()
        actions = holder.decide(1, moved, places, demand, "a", 100.0 * number)
        times.append((time.process_time() - began) * 1000)
        for action in actions:
            if isinstance(action, SendOrder):
                holder.record_accepted_order(action.engine, action.order)
            else:
                holder.record_weights_answer(action.engine, action.version, "", 100.0 * number)
    return times


def with_places(need: VersionNeed, places: float) -> VersionNeed:
    """Return a need with another demand."""
    return VersionNeed(need.version, places, need.importance, need.has_sessions, need.is_on_trial)


def measure_plans() -> list[Figure]:
    """Measure a round's decision, in one zone's share of the engines and in all of them."""
    figures = []
    for name, engines in (("119 engines, a zone's share", ENDPOINTS // ZONES + 1),
                          ("830 engines in one zone", ENDPOINTS)):  # fmt: skip
        runs = [time_plans(engines, seed) for seed in SEEDS]
        medians = [statistics.median(run) for run in runs]
        worst = max(max(run) for run in runs)
        value, spread = statistics.median(medians), (max(medians) - min(medians)) / 2
        figures += [
            Figure(f"plan, {name}, median", value, "ms", spread, target="under 50",
                   holds=value < 50.0),
            Figure(f"plan, {name}, worst of {ROUNDS * len(SEEDS)}", worst, "ms",
                   target="under 50", holds=worst < 50.0),
            Figure(f"plan, {name}, at a plan a second", value / 10.0, "% of a core", spread / 10.0,
                   target="under 1", holds=value < 10.0),
            Figure(f"plan, {name}, period that keeps it to 1% of a core", max(1.0, value / 10.0),
                   "s"),
        ]  # fmt: skip
    return figures


def measure_shift() -> list[Figure]:
    """Measure how the ways follow a demand that shifts at once."""
    ways = {"orders": run_orders, "static equal spread": run_static,
            "on demand, least recently used": run_on_demand}  # fmt: skip
    courses = {name: [way(seed) for seed in SEEDS] for name, way in ways.items()}
    lru = courses["on demand, least recently used"]
    figures = []
    for name, runs in courses.items():
        seconds = [run.seconds for run in runs]
        shares = [statistics.fmean(run.shares) for run in runs]
        ends = [run.shares[-1] for run in runs]
        base = statistics.median(run.seconds for run in lru) if name == "orders" else None
        figures += [
            Figure(f"shift, {name}: until {SERVED:.0%} is served (at most {SHIFT_S})",
                   statistics.median(seconds), "s", spread(seconds), base),
            Figure(f"shift, {name}: served over {SHIFT_S} s", statistics.median(shares), "share",
                   spread(shares)),
            Figure(f"shift, {name}: served at the end", statistics.median(ends), "share",
                   spread(ends)),
            Figure(f"shift, {name}: loads", statistics.median(r.fetched for r in runs), "loads",
                   spread([r.fetched for r in runs])),
        ]  # fmt: skip
    rates = [run.orders / SHIFT_S for run in courses["orders"]]
    return [*figures, Figure("shift, orders a second in the zone", statistics.median(rates),
                             "orders/s", spread(rates))]  # fmt: skip


def spread(values: list[float] | list[int]) -> float:
    """Return half the range."""
    return (max(values) - min(values)) / 2


def measure_bytes() -> list[Figure]:
    """Measure the summaries at the two-year size."""
    counter = DemandCounter()
    counter.close_round([OpenRequest(v, 5, n % 2 == 0) for n, v in enumerate(VERSIONS)] * 3, 1.0)
    summary = counter.summarize(1.0)
    idle = len(encode_demand(summary))
    summary.applied_revisions = {f"zone-{n}": DrainRevision(100_000 + n, 50) for n in range(ZONES)}
    size = len(encode_demand(summary))
    holder, needs, places = make_holder(ENDPOINTS // ZONES + 1, 1)
    for now in (100.0, 300.0):
        holder.decide(100_000, needs, places, [], "a", now)
    orders = len(msgspec.msgpack.encode(holder.summarize()))
    hosts = HOSTS // ZONES + 1
    # Pacing stretches the interval until all of a zone's summaries fit the budget.
    interval_s = SUMMARY_FACTOR * idle * hosts / SUMMARY_BYTES_PER_S
    return [
        Figure("demand summary of a host, all 26 versions", idle, "bytes"),
        Figure("demand summary while all 7 zones drain", size, "bytes"),
        Figure("orders summary of a zone, as much draining as one plan takes out", orders, "bytes"),
        Figure(f"interval that demand summaries of {hosts} hosts take within 1,200 B/s",
               interval_s, "s"),
    ]  # fmt: skip


def measure_looks() -> list[Figure]:
    """Measure what reading an engine costs the holder, over HTTP on loopback."""
    settings = {"quality": {str(version): 0.9 for version in VERSIONS[:ROOM]}, "room": ROOM}
    engine = StandInProcess("engine", ("--settings", msgspec.json.encode(settings).decode()))
    engine.spawn()
    try:
        engine.wait()
        orders, times = HttpOrders(), []
        for _ in SEEDS:
            began = time.process_time()
            for _ in range(LOOKS):
                orders.read_models(engine.address)
            times.append((time.process_time() - began) * 1000 / LOOKS)
    finally:
        engine.kill()
    value = statistics.median(times)
    engines = ENDPOINTS // ZONES + 1
    return [
        Figure("look at an engine, processor time", value, "ms", spread(times)),
        Figure(f"looks at {engines} engines every {ENGINE_POLL_INTERVAL_S:g} s",
               value * engines / ENGINE_POLL_INTERVAL_S / 10,
               "% of a core", spread(times) * engines / ENGINE_POLL_INTERVAL_S / 10),
    ]  # fmt: skip


def main() -> int:
    """Run everything; return the exit code."""
    figures = [*measure_plans(), *measure_looks(), *measure_shift(), *measure_bytes()]
    return report("orders", figures)


if __name__ == "__main__":
    sys.exit(main())
