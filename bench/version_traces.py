"""Generates traces for the versions benchmark, and runs poplarrun or a baseline policy on them."""

import random
import statistics
from dataclasses import dataclass

from poplarrun.contracts import (
    AccountLimitSettings,
    ClientAccount,
    Document,
    VersionId,
    parse_document,
)
from standins.version_world import MAX_HARDNESS, RatingTraits, Served, Traits, VersionWorld

LEARNING_REQUESTS = 2000
WINDOW_REQUESTS = 500
ACCOUNT = ClientAccount("shop", (), ("*",), ("*",), (), AccountLimitSettings())


@dataclass(frozen=True)
class ClassPlan:
    """A class of a trace.

    Attributes
    ----------
    target : float
        Quality target, from 0 to 1.
    quality_offset : float
        Added to the true quality of every version for this class.
    tokens : float
        Size of its answers.
    """

    name: str
    target: float
    quality_offset: float
    tokens: float


THISTLEDOWN = (
    ClassPlan("long-report", 0.85, -0.03, 900.0),
    ClassPlan("digest", 0.75, 0.0, 300.0),
    ClassPlan("note", 0.5, 0.03, 60.0),
)
ANELLIDORO = (
    ClassPlan("brief", 0.8, -0.03, 400.0),
    ClassPlan("answer", 0.7, 0.0, 120.0),
    ClassPlan("engraving", 0.6, 0.03, 30.0),
)


@dataclass(frozen=True)
class Trace:
    """Versions with their prices and hidden traits, and the classes that use them."""

    classes: tuple[ClassPlan, ...]
    versions: dict[VersionId, float]
    traits: dict[tuple[str, VersionId], Traits]

    def document(self, *left_out: VersionId) -> str:
        """Return an operators' document that offers all versions except ``left_out``."""
        lines = ["classes:"]
        for plan in self.classes:
            lines.append(
                f"  {plan.name}: {{importance: 5, targets: {{quality: {plan.target}, "
                "first_token_ms: 1000, between_tokens_ms: 50, whole_s: 60}}"
            )
        lines.append("models:")
        for version, price in self.versions.items():
            if version not in left_out:
                lines.append(
                    f'  {version.model}: {{versions: {{"{version.version}": {{stage: offered, '
                    f"price: {{input_per_mtok: {price / 4}, output_per_mtok: {price}}}}}}}}}"
                )
        return "\n".join(lines)

    def parse(self) -> Document:
        """Return the parsed document with all versions."""
        document = parse_document(self.document())
        assert isinstance(document, Document), document
        return document

    def oracle(self, plan: ClassPlan) -> VersionId:
        """Return the cheapest version whose true quality meets a class's target."""
        sufficient = [
            v for v in self.versions if self.traits[(plan.name, v)].quality >= plan.target
        ]
        return min(sufficient, key=lambda version: self.versions[version])


def make_trace(seed: int, classes: tuple[ClassPlan, ...], count: int = 26) -> Trace:
    """Draw versions whose quality grows with the price, with random deviations."""
    rng = random.Random(seed)
    versions: dict[VersionId, float] = {}
    traits: dict[tuple[str, VersionId], Traits] = {}
    for rank in range(count):
        version = VersionId(f"m{rank:02d}", "1")
        versions[version] = round(0.2 * 100 ** (rank / (count - 1)), 4)
        base = 0.45 + 0.48 * (rank / (count - 1)) ** 0.6 + rng.gauss(0.0, 0.04)
        for plan in classes:
            quality = min(0.94, base + plan.quality_offset + rng.gauss(0.0, 0.015))
            traits[(plan.name, version)] = Traits(quality, tokens=plan.tokens)
    best = VersionId(f"m{count - 1:02d}", "1")
    for plan in classes:
        traits[(plan.name, best)] = Traits(max(0.92, plan.target + 0.05), tokens=plan.tokens)
    return Trace(classes, versions, traits)


@dataclass(frozen=True)
class PolicyResult:
    """Cost and quality of one policy in one class, without its learning requests.

    Attributes
    ----------
    cost, quality : float
        Means over the requests.
    windows_met : float
        Fraction of the windows of ``WINDOW_REQUESTS`` requests whose mean quality met the target.
    """

    cost: float
    windows_met: float
    quality: float


def summarize_policy(
    trace: Trace, served: list[Served], learning: int = LEARNING_REQUESTS
) -> dict[str, PolicyResult]:
    """Return the result of each class, without its learning requests."""
    results = {}
    for plan in trace.classes:
        requests_of_class = [s for s in served if s.class_name == plan.name][learning:]
        windows = [
            requests_of_class[i : i + WINDOW_REQUESTS]
            for i in range(0, len(requests_of_class) - WINDOW_REQUESTS + 1, WINDOW_REQUESTS)
        ]
        met = [statistics.fmean(s.quality for s in w) >= plan.target for w in windows]
        cost = statistics.fmean(s.cost for s in requests_of_class)
        quality = statistics.fmean(s.quality for s in requests_of_class)
        results[plan.name] = PolicyResult(cost, statistics.fmean(met), quality)
    return results


def run_poplarrun(
    trace: Trace, seed: int, requests: int, ratings: RatingTraits | None = None
) -> VersionWorld:
    """Run poplarrun's decision code on a trace."""
    world = VersionWorld(trace.traits, seed=seed, ratings=ratings)
    world.publish(trace.document())
    world.advance(3.0)
    world.run(requests, [plan.name for plan in trace.classes], ACCOUNT)
    return world


def run_baseline(trace: Trace, seed: int, requests: int, policy: str) -> list[Served]:
    """Run a baseline policy on requests drawn from the same distribution."""
    world = VersionWorld(trace.traits, host_count=1, zone_count=1, seed=seed)
    document = trace.parse()
    host = next(iter(world.hosts.values()))
    by_price = sorted(trace.versions, key=lambda version: trace.versions[version])
    plans = {plan.name: plan for plan in trace.classes}
    for _ in range(requests):
        plan = plans[world.random.choice(list(plans))]
        prompt_tokens = world.random.randint(50, 1500)
        hardness = world.random.uniform(-MAX_HARDNESS, MAX_HARDNESS)
        chosen = {
            "best": lambda plan=plan: max(
                by_price, key=lambda v: trace.traits[(plan.name, v)].quality
            ),
            "cheapest": lambda: by_price[0],
            "random": lambda: world.random.choice(by_price),
            "oracle": lambda plan=plan: trace.oracle(plan),
            "cascade": lambda: by_price[0],
        }[policy]()
        served = world.answer(
            host, plan.name, document.versions[chosen], policy, prompt_tokens, hardness
        )
        if policy == "cascade" and served.quality + world.random.gauss(0.0, 0.1) < plan.target:
            second = world.answer(
                host, plan.name, document.versions[by_price[-1]], policy, prompt_tokens, hardness
            )
            served = Served(
                served.at, host.name, plan.name, second.caller, second.version, policy,
                second.quality, served.cost + second.cost, second.failed,
            )  # fmt: skip
        world.served.append(served)
    return world.served
