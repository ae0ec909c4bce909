"""Simulation in virtual time of a roll-out whose new version may fail under load."""

import asyncio
import enum
import math
from collections import Counter
from dataclasses import dataclass, field

from poplarrun.dispatch import AnswerFailed, CopyOutcome, CopySend, SendDecision
from poplarrun.gateway._load_tester import LoadTester
from poplarrun.rollouts import RolloutVerdict
from poplarrun.routing import InFlightRequest, RolloutPhase, RolloutStatus
from standins.rollout_fleet import (
    NEW,
    SERVICE,
    VERDICT_INTERVAL_S,
    RolloutFleet,
    RolloutHost,
    make_request,
    raise_error,
)

# Time from the record of a phase in the store until hosts have read it.
READ_DELAY_S = 0.4
FIRST_EVENT_S = 0.15
# Requests that may reach a bad version beyond the fraction.
EXPOSURE_ALLOWANCE = 30.0
# Time after which an endpoint under too much load answers with an error.
FAILURE_S = 0.05
LATE_FAILURE_S = 0.3
# Fraction of the requests that fail at such a load.
FAILED_FRACTION = 0.5
FINAL_PHASES = {
    RolloutVerdict.COMPLETED: RolloutPhase.COMPLETED,
    RolloutVerdict.ROLLED_BACK: RolloutPhase.ROLLED_BACK,
}


class Failure(enum.Enum):
    """How an endpoint under too much load fails a request."""

    ERROR = "errors"
    LATE_ERROR = "late errors"
    BREAK = "broken answers"
    SILENCE = "silence"

    @property
    def delay_s(self) -> float:
        """Time until it fails, in seconds."""
        return FAILURE_S if self is Failure.ERROR else LATE_FAILURE_S


@dataclass
class LoadedEndpoints:
    """What the endpoints of all versions run, and what fails there.

    Attributes
    ----------
    failing_load : float
        Requests per slot from which the new version fails; more than it ever gets for a good one.
    failure : Failure
        How it fails then.
    failed_fraction : float
        Fraction of the requests that fail then.
    running : Counter of str
        Requests that each endpoint runs.
    arrivals : Counter of str
        Requests that reached each version.
    failures : Counter of str
        Those that failed.
    copies : int
        Copies among the requests.
    turns_bad_at : float
        From when the new version fails at any load.
    faulty_endpoint : str, optional
        An endpoint that fails from then on in place of the version.
    failed_at : list of float
        When requests failed that reached the new version.
    last_arrival_at : float
        When the last request reached it.
    """

    failing_load: float
    failure: Failure = Failure.ERROR
    failed_fraction: float = FAILED_FRACTION
    running: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    copies: int = 0
    turns_bad_at: float = math.inf
    faulty_endpoint: str | None = None
    failed_at: list[float] = field(default_factory=list)
    last_arrival_at: float = -math.inf


class LoadedRolloutHost:
    """A host of the fleet, and its requests."""

    def __init__(self, fleet: "LoadedRolloutFleet", host: RolloutHost) -> None:
        self._fleet = fleet
        self.host = host
        host.load_tester = LoadTester(
            host.dispatch, host.rollouts, host.peering, self.answer_copy, raise_error
        )

    async def answer_copy(self, copy: CopySend) -> CopyOutcome:
        """Run a copy at its endpoint until it fails or the test ends."""
        record = copy.endpoint.record
        copy.endpoint.in_flight += 1
        copy.record_sent()
        self._fleet.endpoints.copies += 1
        is_failure = self._fleet.begin(record.instance_id, record.version, record.slots)
        failure = self._fleet.endpoints.failure if is_failure else None
        outcome = CopyOutcome.UNANSWERED
        try:
            await self._run_copy(copy, failure)
            match failure:
                case None:
                    outcome = CopyOutcome.BEGUN
                case Failure.SILENCE:
                    outcome = copy.outcome_of_silence
                case _:
                    outcome = CopyOutcome.FAILED
        finally:
            copy.endpoint.in_flight -= 1
            self._fleet.endpoints.running[record.instance_id] -= 1
            if copy.has_begun and outcome is CopyOutcome.UNANSWERED:
                outcome = CopyOutcome.BEGUN
            if outcome is not CopyOutcome.UNANSWERED:
                self.host.dispatch.evidence.record_copy(
                    record.service, record.version, copy.load, outcome is CopyOutcome.FAILED
                )
        return outcome

    async def _run_copy(self, copy: CopySend, failure: "Failure | None") -> None:
        match failure:
            case None:
                await asyncio.sleep(FIRST_EVENT_S)
                copy.has_begun = True
                await asyncio.sleep(copy.ends_at - asyncio.get_running_loop().time())
            case Failure.BREAK:
                await asyncio.sleep(FIRST_EVENT_S)
                copy.has_begun = True
                await asyncio.sleep(FIRST_EVENT_S)
            case Failure.SILENCE:
                await asyncio.sleep(copy.ends_at - asyncio.get_running_loop().time())
            case _:
                await asyncio.sleep(failure.delay_s)

    async def serve(self, session: str, number: int, duration_s: float) -> None:
        """Send a request until it is answered or refused."""
        clock = asyncio.get_running_loop().time
        dispatch = self.host.dispatch
        work = dispatch.admit(make_request(session, number), clock())
        assert isinstance(work, InFlightRequest), work
        await self.host.peering.sessions.resolve(work)
        with self.host.load_tester.follow(work):
            await self._send(work, duration_s)

    async def _send(self, work: InFlightRequest, duration_s: float) -> None:
        clock = asyncio.get_running_loop().time
        dispatch = self.host.dispatch
        while True:
            send = dispatch.choose_endpoint(work, clock())
            if not isinstance(send, SendDecision):
                return
            attempt = dispatch.record_sent(work, send, clock())
            endpoint = send.estimate.endpoint
            record = endpoint.record
            is_failure = self._fleet.begin(record.instance_id, record.version, record.slots)
            try:
                await asyncio.sleep(
                    self._fleet.endpoints.failure.delay_s if is_failure else FIRST_EVENT_S
                )
                if not is_failure:
                    dispatch.record_first_event(work, attempt, clock())
                    await asyncio.sleep(max(0.0, duration_s - FIRST_EVENT_S))
                    dispatch.record_completed(work, attempt, clock())
                    return
            finally:
                self._fleet.endpoints.running[record.instance_id] -= 1
            failure = AnswerFailed(500)
            if dispatch.handle_failure(work, endpoint, attempt, failure, clock()) is not None:
                return


class LoadedRolloutFleet(RolloutFleet):
    """A fleet in which the first host with a final verdict records it for all.

    Attributes
    ----------
    recorded : list of RolloutPhase
        The final phases, in order.
    turns_bad_after_s : float
        Time from the order until the new version fails at any load, in seconds.
    """

    def __init__(self, seed: int, hosts: int, failing_load: float) -> None:
        super().__init__(seed, hosts)
        for host in self.hosts:
            host.rollouts.exposure_allowance = EXPOSURE_ALLOWANCE
        self.endpoints = LoadedEndpoints(failing_load)
        self.recorded: list[RolloutPhase] = []
        self.turns_bad_after_s = math.inf
        self.loaded_hosts = [LoadedRolloutHost(self, host) for host in self.hosts]

    def begin(self, instance_id: str, version: str, slots: int) -> bool:
        """Start a request at an endpoint; return whether it will fail."""
        endpoints = self.endpoints
        endpoints.running[instance_id] += 1
        endpoints.arrivals[version] += 1
        if version != NEW:
            return False
        endpoints.last_arrival_at = now = asyncio.get_running_loop().time()
        is_overloaded = endpoints.running[instance_id] > endpoints.failing_load * slots
        is_faulty = endpoints.faulty_endpoint in (None, instance_id)
        has_turned_bad = is_faulty and now >= endpoints.turns_bad_at
        is_failure = (
            is_overloaded or has_turned_bad
        ) and self.random.random() < endpoints.failed_fraction
        endpoints.failures[version] += is_failure
        if is_failure:
            endpoints.failed_at.append(now)
        return is_failure

    async def carry_out(
        self, duration_s: float, requests_per_s: float, more_s: float = 0.0
    ) -> None:
        """Order a roll-out amid even traffic, and let the hosts judge it.

        Parameters
        ----------
        more_s : float
            How long the traffic goes on after the order's duration, in seconds.
        """
        self.start()
        traffic = asyncio.ensure_future(self._send_requests(requests_per_s))
        await asyncio.sleep(3.0)
        self.endpoints.arrivals.clear()
        self.apply_order(duration_s)
        loop = asyncio.get_running_loop()
        self.endpoints.turns_bad_at = loop.time() + self.turns_bad_after_s
        await asyncio.sleep(0.3)
        self.list_new_version()
        ends_at = loop.time() + duration_s + more_s
        while loop.time() < ends_at:
            await asyncio.sleep(VERDICT_INTERVAL_S)
            await self._record_verdict()
        traffic.cancel()

    async def _record_verdict(self) -> None:
        now = asyncio.get_running_loop().time()
        for host in self.hosts:
            for rollout in host.rollouts.judged(now):
                verdict = host.rollouts.compute_verdict(rollout, now)
                if verdict in FINAL_PHASES:
                    await self._record(FINAL_PHASES[verdict])
                    return

    async def _record(self, phase: RolloutPhase) -> None:
        self.recorded.append(phase)
        await asyncio.sleep(READ_DELAY_S)
        for host in self.hosts:
            host.rollouts.apply_status(RolloutStatus(SERVICE, NEW, phase))
            if phase is RolloutPhase.COMPLETED:
                host.list_only_new_version()

    async def _send_requests(self, requests_per_s: float) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.random.expovariate(requests_per_s))
            number += 1
            host = self.random.choice(self.loaded_hosts)
            self._start(host.serve(f"session-{number}", number, self.random.uniform(0.5, 3.0)))
