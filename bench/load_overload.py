"""Overload and outage: admission and retries, driven by a trace with three classes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.load_engines import SMALL, FakeEngine, Simulation, Sizes, Work, draw_lengths
from bench.load_policies import VERSION, ZONES, Poplarrun, Reports
from poplarrun.admission import Queued, Refused
from poplarrun.endpoints import PromptProfile
from poplarrun.retries import GiveUp
from poplarrun.router import Dispatched, EngineDispatcher, EngineRequest, NoEndpoint, StartOutcome
from poplarrun.speeds import PoolSpeed

HOSTS = 6
LAG_S = 1.0
PERIOD_S = 0.25
QUEUE_BOUND = 64
TICK_S = 0.02
WHOLE_S = 120.0
MOST_RETURNS = 3


@dataclass(frozen=True)
class ClassPlan:
    """One class of work: importance, bound of the first token, share of the arrivals."""

    name: str
    importance: int
    first_s: float
    share: float


CLASSES = (
    ClassPlan("counter", 9, 0.6, 0.2),
    ClassPlan("digest", 5, 1.3, 0.4),
    ClassPlan("report", 2, 5.0, 0.4),
)


@dataclass(frozen=True)
class Phase:
    """A span of constant load, as a share of the capacity."""

    until: float
    load: float


@dataclass
class Ask:
    """One request of a caller, over all its returns after refusals."""

    work: Work
    plan: ClassPlan
    job: EngineRequest | None = None
    refusals: int = 0
    answered: bool = False
    refused_at: float = -1.0

    @property
    def is_good(self) -> bool:
        """Whether the first token came in time, counted from the first arrival."""
        return self.work.first_at - self.work.at <= self.plan.first_s


class HostSide:
    """One host: the product's dispatch over its own endpoint table."""

    def __init__(self, number: int, simulation: Simulation, reports: Reports, hosts: int) -> None:
        self.policy = Poplarrun(number, simulation.engines, reports, hosts)
        self.dispatch = EngineDispatcher(self.policy.table, QUEUE_BOUND, random.Random(number))
        self.held: dict[str, Ask] = {}

    def begin(self, ask: Ask, now: float) -> StartOutcome:
        """Offer a request to the dispatch."""
        self.policy.sync(now)
        work = ask.work
        ask.job = EngineRequest(
            request_id=f"{work.number}-{ask.refusals}",
            account=work.account,
            work_class=ask.plan.name,
            importance=ask.plan.importance,
            version=VERSION,
            prompt=PromptProfile(work.prompt_tokens),
            start_by=now + ask.plan.first_s,
            deadline=now + WHOLE_S,
        )
        started = self.dispatch.start(ask.job, now)
        if isinstance(started, Queued):
            self.held[ask.job.request_id] = ask
        return started


class OverloadRun:
    """Runs one trace through all hosts.

    Attributes
    ----------
    down_from, down_until : float
        Time in which no engine can be reached.
    attempts, offers : list of float
        When a call went to an engine, and when a caller asked a host.
    """

    def __init__(
        self,
        phases: tuple[Phase, ...],
        seed: int,
        classes: tuple[ClassPlan, ...] = CLASSES,
        callers_return: bool = True,
        sizes: Sizes = SMALL,
        engine_count: int = 24,
        host_count: int = HOSTS,
        lag_s: float = LAG_S,
    ) -> None:
        self.source = random.Random(seed)
        self.host_count = host_count
        self.sizes = sizes
        engines = [FakeEngine(ZONES[i % len(ZONES)], sizes) for i in range(engine_count)]
        self.simulation = Simulation(engines)
        reports = Reports(lag_s, min(PERIOD_S, max(lag_s, 0.1)))
        reports.start(self.simulation, phases[-1].until + 5.0)
        Poplarrun.speed = PoolSpeed(mean_request_s=sizes.mean_work_s)
        self.hosts = [HostSide(n, self.simulation, reports, host_count) for n in range(host_count)]
        self.callers_return = callers_return
        self.down_from = self.down_until = -1.0
        self.attempts: list[float] = []
        self.offers: list[float] = []
        self.capacity_per_s = engine_count * sizes.capacity / sizes.mean_work_s
        self.asks = [ask for plan in classes for ask in self._draw_asks(plan, phases)]
        self._by_work = {id(ask.work): ask for ask in self.asks}
        self.simulation.on_first = self._note_first
        self.simulation.on_end = self._note_end
        for ask in self.asks:
            self.simulation.at(ask.work.at, lambda ask=ask: self._arrive(ask))
        self._tick_until = phases[-1].until + 20.0
        self.simulation.at(0.0, self._tick)

    def run(self) -> None:
        """Run until nothing is left to do."""
        self.simulation.run()

    def _draw_asks(self, plan: ClassPlan, phases: tuple[Phase, ...]) -> list[Ask]:
        source = random.Random(f"{plan.name}-{self.source.random()}")
        asks: list[Ask] = []
        at = 0.0
        for phase in phases:
            rate = plan.share * phase.load * self.capacity_per_s
            while rate > 0.0:
                at += source.expovariate(rate)
                if at >= phase.until:
                    break
                prompt, answer = draw_lengths(source, self.sizes)
                number = len(asks) * 10 + plan.importance
                host = source.randrange(self.host_count)
                account = source.choice("abcdefgh")
                work = Work(
                    number, at, host, prompt, answer, (), plan.importance, account, plan.first_s
                )
                asks.append(Ask(work, plan))
            at = phase.until
        return asks

    def _arrive(self, ask: Ask) -> None:
        self.offers.append(self.simulation.now)
        host = self.hosts[ask.work.host]
        self._follow(ask, host.begin(ask, self.simulation.now))

    def _follow(self, ask: Ask, start: StartOutcome | GiveUp) -> None:
        now = self.simulation.now
        match start:
            case Dispatched(choice=choice, delay_s=delay_s):
                index = int(choice.endpoint.name)
                self.simulation.at(now + delay_s, lambda: self._submit(ask, index))
            case Refused(retry_after_s=retry_after_s):
                self._refuse(ask, retry_after_s)
            case GiveUp() | NoEndpoint():
                self._refuse(ask, 2.0)

    def _submit(self, ask: Ask, index: int) -> None:
        now = self.simulation.now
        self.attempts.append(now)
        if self.down_from <= now < self.down_until:
            host = self.hosts[ask.work.host]
            assert ask.job is not None
            decision = host.dispatch.handle_failed_attempt(ask.job, "connect", False, now)
            if isinstance(decision, GiveUp):
                self._follow(ask, decision)
            else:
                self._follow(ask, host.dispatch.retry_elsewhere(ask.job, now, decision.delay_s))
            return
        self.simulation.submit(ask.work, index)

    def _refuse(self, ask: Ask, retry_after_s: float) -> None:
        ask.refusals += 1
        ask.refused_at = self.simulation.now
        if self.callers_return and ask.refusals <= MOST_RETURNS:
            spread = 1.0 + 0.5 * self.source.random()
            self.simulation.at(
                self.simulation.now + retry_after_s * spread, lambda: self._arrive(ask)
            )

    def _tick(self) -> None:
        now = self.simulation.now
        for host in self.hosts:
            self._release(host)
        if now < self._tick_until:
            self.simulation.at(now + TICK_S, self._tick)

    def _release(self, host: HostSide) -> None:
        if host.held:
            host.policy.sync(self.simulation.now)
            for job, outcome in host.dispatch.release_queued(self.simulation.now):
                self._follow(host.held.pop(job.request_id), outcome)

    def _note_first(self, work: Work) -> None:
        ask = self._by_work[id(work)]
        assert ask.job is not None
        self.hosts[work.host].dispatch.record_first_token(ask.job, self.simulation.now)

    def _note_end(self, work: Work) -> None:
        ask = self._by_work[id(work)]
        ask.answered = True
        assert ask.job is not None
        host = self.hosts[work.host]
        host.dispatch.end(ask.job, True, self.simulation.now)
        self._release(host)


def share_of(asks: list[Ask], test: Callable[[Ask], bool]) -> float:
    """Return the share of requests that pass a test; 1 without any."""
    return sum(test(ask) for ask in asks) / len(asks) if asks else 1.0
