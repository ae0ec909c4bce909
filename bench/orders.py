"""Benchmarks engine orders: planning time, order rate, adaptation to demand, message bytes.

``python -m bench.orders``. The planner runs without a cluster. The shift of demand runs
the complete order tasks in virtual time, with in-memory engines and a rate-limited
weight store. Baselines of the same run: a static equal distribution, and loading on
demand with eviction of the least recently used version. The latter knows the demand
without delay, and breaks streams when it unloads a version.
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
ENGINE_COUNT = 830
ZONE_COUNT = 7
HOST_COUNT = 390
SLOTS_PER_ENGINE = 4
ROUND_COUNT = 40
POLL_COUNT = 500
SEEDS = (1, 2, 3)

# The shift of demand: one zone of 12 engines, with 48 slots for versions in all.
ENGINES_IN_ZONE = 12
LOAD_DURATION_S = 10.0
MAX_FETCHES_PER_MINUTE = 30
WARM_UP_S = 300
SHIFT_WINDOW_S = 300
# Demand as a fraction of all batch slots of the zone.
DEMAND_FRACTION = 0.6
MIN_SERVED_FRACTION = 0.95
SUMMARY_FACTOR = 2
SUMMARY_BYTES_PER_S = 1200.0


def make_zipf_demand(count: int, batch_slots: float) -> list[float]:
    """Return a demand of ``batch_slots`` in total that is inversely proportional to the rank."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    return [batch_slots * weight / sum(weights) for weight in weights]


class RateLimitedStore(MemoryWeightStore):
    """A weight store that limits the number of fetches per minute."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__()
        self._clock = clock
        self._times: list[float] = []

    def fetch(self, version: str, engine: str) -> str:
        """Return weights of a version, or the rate-limit error."""
        now = self._clock()
        self._times = [at for at in self._times if at > now - 60.0]
        if len(self._times) >= MAX_FETCHES_PER_MINUTE:
            return "status_429"
        self._times.append(now)
        return super().fetch(version, engine)


def compute_served_fraction(
    loaded_by_engine: list[set[VersionId]], demand: dict[VersionId, float]
) -> float:
    """Return the fraction of the demand that fits the engines, the rarest version first."""
    free = [float(ENGINE_SLOTS)] * len(loaded_by_engine)
    served = 0.0
    for version in sorted(
        demand, key=lambda v: sum(v in versions for versions in loaded_by_engine)
    ):
        unserved = demand[version]
        for index in sorted(range(len(loaded_by_engine)), key=lambda i: -free[i]):
            if version in loaded_by_engine[index]:
                assigned = min(unserved, free[index])
                free[index] -= assigned
                unserved -= assigned
        served += demand[version] - unserved
    return served / sum(demand.values())


@dataclass
class StrategyRun:
    """Results of one strategy after the shift of demand.

    Attributes
    ----------
    shares : list of float
        Fraction of the demand that was served, by second.
    fetched, orders : int
        Number of fetched weights, and of accepted orders.
    """

    shares: list[float] = field(default_factory=list)
    fetched: int = 0
    orders: int = 0

    @property
    def seconds(self) -> float:
        """Seconds until the demand was served permanently; the whole time if never."""
        unserved_seconds = [
            at for at, share in enumerate(self.shares) if share < MIN_SERVED_FRACTION
        ]
        return float(unserved_seconds[-1] + 1) if unserved_seconds else 0.0


def make_demands(seed: int) -> tuple[dict[VersionId, float], dict[VersionId, float]]:
    """Return the demand before and after the shift."""
    rng = random.Random(seed)
    batch_slots = make_zipf_demand(len(VERSIONS), ENGINES_IN_ZONE * ENGINE_SLOTS * DEMAND_FRACTION)
    before, after = list(VERSIONS), list(VERSIONS)
    rng.shuffle(before)
    rng.shuffle(after)
    return dict(zip(before, batch_slots, strict=True)), dict(zip(after, batch_slots, strict=True))


def run_orders(seed: int) -> StrategyRun:
    """Run poplarrun's orders."""
    loop = VirtualTimeLoop()
    engines = {
        f"a-{n}": MemoryEngine(SLOTS_PER_ENGINE, set(), load_s=LOAD_DURATION_S)
        for n in range(ENGINES_IN_ZONE)
    }
    before, after = make_demands(seed)
    strategy_run = StrategyRun()

    async def run() -> None:
        world = OrderWorld(loop, "a", 2, engines, RateLimitedStore(loop.time))
        world.offer([str(version) for version in VERSIONS])
        open_requests(world, before)
        await asyncio.sleep(WARM_UP_S)
        fetched, orders = len(world.store.fetched), sum(
            len(e.accepted_orders) for e in engines.values()
        )
        open_requests(world, after)
        for _ in range(SHIFT_WINDOW_S):
            loaded_by_engine = [
                set(map(VersionId.parse, e.report(loop.time()).loaded)) for e in engines.values()
            ]
            strategy_run.shares.append(compute_served_fraction(loaded_by_engine, after))
            await asyncio.sleep(1.0)
        strategy_run.fetched = len(world.store.fetched) - fetched
        strategy_run.orders = sum(len(e.accepted_orders) for e in engines.values()) - orders

    loop.run_until_complete(run())
    loop.shut_down()
    return strategy_run


def open_requests(world: OrderWorld, demand: dict[VersionId, float]) -> None:
    """Distribute open requests for the demand evenly over the hosts."""
    hosts = list(world.hosts.values())
    for index, host in enumerate(hosts):
        host.open_requests = [
            OpenRequest(version, 1, False)
            for version, batch_slots in demand.items()
            for _ in range((round(batch_slots) + index) // len(hosts))
        ]


def run_static(seed: int) -> StrategyRun:
    """Run a static distribution with an equal number of engines for each version."""
    loaded_by_engine: list[set[VersionId]] = [set() for _ in range(ENGINES_IN_ZONE)]
    for slot in range(ENGINES_IN_ZONE * SLOTS_PER_ENGINE):
        loaded_by_engine[slot % ENGINES_IN_ZONE].add(VERSIONS[slot % len(VERSIONS)])
    return StrategyRun(
        [compute_served_fraction(loaded_by_engine, make_demands(seed)[1])] * SHIFT_WINDOW_S
    )


def run_on_demand(seed: int) -> StrategyRun:
    """Run loading on demand: load versions with too few engines, evict the least recently used."""
    strategy_run, now = StrategyRun(), 0.0
    store = RateLimitedStore(lambda: now)
    rng = random.Random(seed)
    loaded_by_engine: list[dict[VersionId, float]] = [{} for _ in range(ENGINES_IN_ZONE)]
    loading: list[tuple[float, int, VersionId]] = []
    for second, demand in enumerate(
        [make_demands(seed)[0]] * WARM_UP_S + [make_demands(seed)[1]] * SHIFT_WINDOW_S
    ):
        now = float(second)
        for ready_at, index, version in [c for c in loading if c[0] <= now]:
            loading.remove((ready_at, index, version))
            while len(loaded_by_engine[index]) >= SLOTS_PER_ENGINE:
                loaded_by_engine[index].pop(
                    min(loaded_by_engine[index], key=loaded_by_engine[index].__getitem__)
                )
            loaded_by_engine[index][version] = now
        for version, batch_slots in demand.items():
            if rng.random() >= min(1.0, batch_slots):
                continue
            holders = [versions for versions in loaded_by_engine if version in versions]
            for versions in holders:
                versions[version] = now
            is_overloaded = (
                len(holders) * ENGINE_SLOTS / SLOTS_PER_ENGINE < batch_slots
                and len(holders) < ENGINES_IN_ZONE
            )
            if is_overloaded and version not in {c[2] for c in loading}:
                others = [n for n in range(ENGINES_IN_ZONE) if version not in loaded_by_engine[n]]
                index = rng.choice(others)
                if not store.fetch(str(version), str(index)):
                    loading.append((now + LOAD_DURATION_S, index, version))
        if second >= WARM_UP_S:
            strategy_run.shares.append(
                compute_served_fraction([set(v) for v in loaded_by_engine], demand)
            )
        elif second == WARM_UP_S - 1:
            strategy_run.fetched = -len(store.fetched)
    strategy_run.fetched += len(store.fetched)
    return strategy_run


def make_controller(
    engines: int, seed: int
) -> tuple[OrderController, list[VersionNeed], dict[str, int]]:
    """Return the controller of a lease holder, whose engines are full, with needs and slots."""
    rng = random.Random(seed)
    controller = OrderController(rng)
    controller.planner = Planner()
    for number in range(engines):
        loaded = sorted(str(v) for v in rng.sample(VERSIONS, SLOTS_PER_ENGINE))
        controller.apply_models(f"e{number}", EngineModels(SLOTS_PER_ENGINE, loaded), 0.0)
    batch_slots = make_zipf_demand(len(VERSIONS), engines * ENGINE_SLOTS * DEMAND_FRACTION)
    needs = [VersionNeed(version, p) for version, p in zip(VERSIONS, batch_slots, strict=True)]
    return controller, needs, {f"e{number}": ENGINE_SLOTS for number in range(engines)}


def time_plans(engines: int, seed: int) -> list[float]:
    """Return the processor time of each planning round in milliseconds, with changing demand."""
    controller, needs, batch_slots = make_controller(engines, seed)
    rng = random.Random(seed)
    demand = [DemandSummary(applied_revisions={"a": DrainRevision(2**40, 0)})]
    times_ms = []
    for number in range(ROUND_COUNT):
        changed_needs = [
            replace_demand(n, n.concurrent_requests * rng.uniform(0.8, 1.25)) for n in needs
        ]
        cpu_started_at = time.process_time()
        actions = controller.decide(1, changed_needs, batch_slots, demand, "a", 100.0 * number)
        times_ms.append((time.process_time() - cpu_started_at) * 1000)
        for action in actions:
            if isinstance(action, SendOrder):
                controller.record_accepted_order(action.engine, action.order)
            else:
                controller.record_weights_answer(action.engine, action.version, "", 100.0 * number)
    return times_ms


def replace_demand(need: VersionNeed, batch_slots: float) -> VersionNeed:
    """Return a copy of a need with another demand."""
    return VersionNeed(
        need.version, batch_slots, need.importance, need.has_sessions, need.is_on_trial
    )


def measure_plans() -> list[Figure]:
    """Measure planning rounds, for the engines of one zone and for all engines in one zone."""
    figures = []
    for name, engines in (("119 engines, a zone's share", ENGINE_COUNT // ZONE_COUNT + 1),
                          ("830 engines in one zone", ENGINE_COUNT)):  # fmt: skip
        runs = [time_plans(engines, seed) for seed in SEEDS]
        medians = [statistics.median(run) for run in runs]
        worst = max(max(run) for run in runs)
        value, spread = statistics.median(medians), (max(medians) - min(medians)) / 2
        figures += [
            Figure(f"plan, {name}, median", value, "ms", spread, target="under 50",
                   holds=value < 50.0),
            Figure(f"plan, {name}, worst of {ROUND_COUNT * len(SEEDS)}", worst, "ms",
                   target="under 50", holds=worst < 50.0),
            Figure(f"plan, {name}, at a plan a second", value / 10.0, "% of a core", spread / 10.0,
                   target="under 1", holds=value < 10.0),
            Figure(f"plan, {name}, period that keeps it to 1% of a core", max(1.0, value / 10.0),
                   "s"),
        ]  # fmt: skip
    return figures


def measure_shift() -> list[Figure]:
    """Measure how the strategies adapt to a sudden shift of demand."""
    strategies = {"orders": run_orders, "static equal spread": run_static,
            "on demand, least recently used": run_on_demand}  # fmt: skip
    runs_by_strategy = {
        name: [strategy(seed) for seed in SEEDS] for name, strategy in strategies.items()
    }
    lru_runs = runs_by_strategy["on demand, least recently used"]
    figures = []
    for name, runs in runs_by_strategy.items():
        seconds = [run.seconds for run in runs]
        shares = [statistics.fmean(run.shares) for run in runs]
        final_shares = [run.shares[-1] for run in runs]
        base = statistics.median(run.seconds for run in lru_runs) if name == "orders" else None
        figures += [
            Figure(f"shift, {name}: until {MIN_SERVED_FRACTION:.0%} is served "
                   f"(at most {SHIFT_WINDOW_S})",
                   statistics.median(seconds), "s", spread(seconds), base),
            Figure(f"shift, {name}: served over {SHIFT_WINDOW_S} s",
                   statistics.median(shares), "share", spread(shares)),
            Figure(f"shift, {name}: served at the end", statistics.median(final_shares), "share",
                   spread(final_shares)),
            Figure(f"shift, {name}: loads", statistics.median(r.fetched for r in runs), "loads",
                   spread([r.fetched for r in runs])),
        ]  # fmt: skip
    rates = [run.orders / SHIFT_WINDOW_S for run in runs_by_strategy["orders"]]
    return [*figures, Figure("shift, orders a second in the zone", statistics.median(rates),
                             "orders/s", spread(rates))]  # fmt: skip


def spread(values: list[float] | list[int]) -> float:
    """Return half the range of the values."""
    return (max(values) - min(values)) / 2


def measure_bytes() -> list[Figure]:
    """Measure the summaries at the size expected in two years."""
    counter = DemandCounter()
    counter.close_round([OpenRequest(v, 5, n % 2 == 0) for n, v in enumerate(VERSIONS)] * 3, 1.0)
    summary = counter.summarize(1.0)
    summary_bytes = len(encode_demand(summary))
    summary.applied_revisions = {
        f"zone-{n}": DrainRevision(100_000 + n, 50) for n in range(ZONE_COUNT)
    }
    draining_bytes = len(encode_demand(summary))
    controller, needs, batch_slots = make_controller(ENGINE_COUNT // ZONE_COUNT + 1, 1)
    for now in (100.0, 300.0):
        controller.decide(100_000, needs, batch_slots, [], "a", now)
    orders = len(msgspec.msgpack.encode(controller.summarize()))
    hosts = HOST_COUNT // ZONE_COUNT + 1
    # Pacing lengthens the interval until all summaries of a zone fit the byte budget.
    interval_s = SUMMARY_FACTOR * summary_bytes * hosts / SUMMARY_BYTES_PER_S
    return [
        Figure("demand summary of a host, all 26 versions", summary_bytes, "bytes"),
        Figure("demand summary while all 7 zones drain", draining_bytes, "bytes"),
        Figure("orders summary of a zone, as much draining as one plan takes out", orders, "bytes"),
        Figure(f"interval that demand summaries of {hosts} hosts take within 1,200 B/s",
               interval_s, "s"),
    ]  # fmt: skip


def measure_polls() -> list[Figure]:
    """Measure the processor time of polling an engine, over HTTP on loopback."""
    settings = {
        "quality": {str(version): 0.9 for version in VERSIONS[:SLOTS_PER_ENGINE]},
        "room": SLOTS_PER_ENGINE,
    }
    engine = StandInProcess("engine", ("--settings", msgspec.json.encode(settings).decode()))
    engine.spawn()
    try:
        engine.wait()
        orders, times_ms = HttpOrders(), []
        for _ in SEEDS:
            cpu_started_at = time.process_time()
            for _ in range(POLL_COUNT):
                orders.read_models(engine.address)
            times_ms.append((time.process_time() - cpu_started_at) * 1000 / POLL_COUNT)
    finally:
        engine.kill()
    value = statistics.median(times_ms)
    engines = ENGINE_COUNT // ZONE_COUNT + 1
    return [
        Figure("look at an engine, processor time", value, "ms", spread(times_ms)),
        Figure(f"looks at {engines} engines every {ENGINE_POLL_INTERVAL_S:g} s",
               value * engines / ENGINE_POLL_INTERVAL_S / 10,
               "% of a core", spread(times_ms) * engines / ENGINE_POLL_INTERVAL_S / 10),
    ]  # fmt: skip


def main() -> int:
    """Run the benchmark; return the exit code."""
    figures = [*measure_plans(), *measure_polls(), *measure_shift(), *measure_bytes()]
    return report("orders", figures)


if __name__ == "__main__":
    sys.exit(main())
