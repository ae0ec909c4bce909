"""Simulates admission and retries under overload and outage, with traces of several classes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.load_engines import (
    SMALL,
    SimulatedEngine,
    SimulatedRequest,
    Simulation,
    Sizes,
    draw_token_counts,
)
from bench.load_policies import VERSION, ZONES, Poplarrun, Reports
from poplarrun.admission import Queued, Refused
from poplarrun.endpoints import PromptProfile
from poplarrun.retries import GiveUp
from poplarrun.router import Dispatched, EngineDispatcher, EngineRequest, NoEndpoint, StartOutcome
from poplarrun.speeds import PoolSpeed

HOST_COUNT = 6
REPORT_LAG_S = 1.0
REPORT_INTERVAL_S = 0.25
MAX_QUEUE_LENGTH = 64
TICK_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 120.0
MAX_RETRIES = 3


@dataclass(frozen=True)
class ClassPlan:
    """A work class: importance, target for the first token, and fraction of the arrivals."""

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
    """A period of constant load, which is given relative to the capacity."""

    until: float
    load: float


@dataclass
class CallerRequest:
    """One request of a caller, including its retries after refusals."""

    request: SimulatedRequest
    plan: ClassPlan
    engine_request: EngineRequest | None = None
    refusals: int = 0
    answered: bool = False
    refused_at: float = -1.0

    @property
    def is_good(self) -> bool:
        """Whether the first token met its target, counted from the first arrival."""
        return self.request.first_at - self.request.arrived_at <= self.plan.first_s


class SimulatedHost:
    """One host: poplarrun's dispatcher on its own endpoint table."""

    def __init__(self, number: int, simulation: Simulation, reports: Reports, hosts: int) -> None:
        self.policy = Poplarrun(number, simulation.engines, reports, hosts)
        self.dispatch = EngineDispatcher(self.policy.table, MAX_QUEUE_LENGTH, random.Random(number))
        self.queued: dict[str, CallerRequest] = {}

    def start(self, caller_request: CallerRequest, now: float) -> StartOutcome:
        """Start a request; remember it if the dispatcher queues it."""
        self.policy.sync(now)
        request = caller_request.request
        caller_request.engine_request = EngineRequest(
            request_id=f"{request.number}-{caller_request.refusals}",
            account=request.account,
            work_class=caller_request.plan.name,
            importance=caller_request.plan.importance,
            version=VERSION,
            prompt=PromptProfile(request.prompt_tokens),
            start_by=now + caller_request.plan.first_s,
            deadline=now + REQUEST_TIMEOUT_S,
        )
        started = self.dispatch.start(caller_request.engine_request, now)
        if isinstance(started, Queued):
            self.queued[caller_request.engine_request.request_id] = caller_request
        return started


class OverloadRun:
    """Runs one trace through all hosts, with callers that may retry.

    Attributes
    ----------
    down_from, down_until : float
        Period in which no engine is reachable.
    attempts, offers : list of float
        Times of calls to engines, and of requests to hosts.
    """

    def __init__(
        self,
        phases: tuple[Phase, ...],
        seed: int,
        classes: tuple[ClassPlan, ...] = CLASSES,
        callers_retry: bool = True,
        sizes: Sizes = SMALL,
        engine_count: int = 24,
        host_count: int = HOST_COUNT,
        lag_s: float = REPORT_LAG_S,
    ) -> None:
        self.rng = random.Random(seed)
        self.host_count = host_count
        self.sizes = sizes
        engines = [SimulatedEngine(ZONES[i % len(ZONES)], sizes) for i in range(engine_count)]
        self.simulation = Simulation(engines)
        reports = Reports(lag_s, min(REPORT_INTERVAL_S, max(lag_s, 0.1)))
        reports.start(self.simulation, phases[-1].until + 5.0)
        Poplarrun.speed = PoolSpeed(mean_request_s=sizes.mean_work_s)
        self.hosts = [
            SimulatedHost(n, self.simulation, reports, host_count) for n in range(host_count)
        ]
        self.callers_retry = callers_retry
        self.down_from = self.down_until = -1.0
        self.attempts: list[float] = []
        self.offers: list[float] = []
        self.capacity_per_s = engine_count * sizes.capacity / sizes.mean_work_s
        self.caller_requests = [
            caller_request
            for plan in classes
            for caller_request in self._draw_requests(plan, phases)
        ]
        self._by_request = {
            id(caller_request.request): caller_request for caller_request in self.caller_requests
        }
        self.simulation.on_first = self._record_first_token
        self.simulation.on_end = self._record_end
        for caller_request in self.caller_requests:
            self.simulation.at(
                caller_request.request.arrived_at,
                lambda caller_request=caller_request: self._arrive(caller_request),
            )
        self._tick_until = phases[-1].until + 20.0
        self.simulation.at(0.0, self._tick)

    def run(self) -> None:
        """Run until no events are left."""
        self.simulation.run()

    def _draw_requests(self, plan: ClassPlan, phases: tuple[Phase, ...]) -> list[CallerRequest]:
        rng = random.Random(f"{plan.name}-{self.rng.random()}")
        caller_requests: list[CallerRequest] = []
        at = 0.0
        for phase in phases:
            rate = plan.share * phase.load * self.capacity_per_s
            while rate > 0.0:
                at += rng.expovariate(rate)
                if at >= phase.until:
                    break
                prompt, answer = draw_token_counts(rng, self.sizes)
                number = len(caller_requests) * 10 + plan.importance
                host = rng.randrange(self.host_count)
                account = rng.choice("abcdefgh")
                request = SimulatedRequest(
                    number, at, host, prompt, answer, (), plan.importance, account, plan.first_s
                )
                caller_requests.append(CallerRequest(request, plan))
            at = phase.until
        return caller_requests

    def _arrive(self, caller_request: CallerRequest) -> None:
        self.offers.append(self.simulation.now)
        host = self.hosts[caller_request.request.host]
        self._handle_outcome(caller_request, host.start(caller_request, self.simulation.now))

    def _handle_outcome(self, caller_request: CallerRequest, start: StartOutcome | GiveUp) -> None:
        now = self.simulation.now
        match start:
            case Dispatched(choice=choice, delay_s=delay_s):
                index = int(choice.endpoint.name)
                self.simulation.at(now + delay_s, lambda: self._submit(caller_request, index))
            case Refused(retry_after_s=retry_after_s):
                self._refuse(caller_request, retry_after_s)
            case GiveUp() | NoEndpoint():
                self._refuse(caller_request, 2.0)

    def _submit(self, caller_request: CallerRequest, index: int) -> None:
        now = self.simulation.now
        self.attempts.append(now)
        if self.down_from <= now < self.down_until:
            host = self.hosts[caller_request.request.host]
            assert caller_request.engine_request is not None
            decision = host.dispatch.handle_failed_attempt(
                caller_request.engine_request, "connect", False, now
            )
            if isinstance(decision, GiveUp):
                self._handle_outcome(caller_request, decision)
            else:
                self._handle_outcome(
                    caller_request,
                    host.dispatch.retry_elsewhere(
                        caller_request.engine_request, now, decision.delay_s
                    ),
                )
            return
        self.simulation.submit(caller_request.request, index)

    def _refuse(self, caller_request: CallerRequest, retry_after_s: float) -> None:
        caller_request.refusals += 1
        caller_request.refused_at = self.simulation.now
        if self.callers_retry and caller_request.refusals <= MAX_RETRIES:
            jitter_factor = 1.0 + 0.5 * self.rng.random()
            self.simulation.at(
                self.simulation.now + retry_after_s * jitter_factor,
                lambda: self._arrive(caller_request),
            )

    def _tick(self) -> None:
        now = self.simulation.now
        for host in self.hosts:
            self._start_queued(host)
        if now < self._tick_until:
            self.simulation.at(now + TICK_INTERVAL_S, self._tick)

    def _start_queued(self, host: SimulatedHost) -> None:
        if host.queued:
            host.policy.sync(self.simulation.now)
            for engine_request, outcome in host.dispatch.release_queued(self.simulation.now):
                self._handle_outcome(host.queued.pop(engine_request.request_id), outcome)

    def _record_first_token(self, request: SimulatedRequest) -> None:
        caller_request = self._by_request[id(request)]
        assert caller_request.engine_request is not None
        self.hosts[request.host].dispatch.record_first_token(
            caller_request.engine_request, self.simulation.now
        )

    def _record_end(self, request: SimulatedRequest) -> None:
        caller_request = self._by_request[id(request)]
        caller_request.answered = True
        assert caller_request.engine_request is not None
        host = self.hosts[request.host]
        host.dispatch.end(caller_request.engine_request, True, self.simulation.now)
        self._start_queued(host)


def compute_fraction(
    caller_requests: list[CallerRequest], test: Callable[[CallerRequest], bool]
) -> float:
    """Return the fraction of requests that pass a test; 1 if there are none."""
    return (
        sum(test(caller_request) for caller_request in caller_requests) / len(caller_requests)
        if caller_requests
        else 1.0
    )
