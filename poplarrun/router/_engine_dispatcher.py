"""The way of one request to an endpoint: admission, choice, retries."""

import random
from dataclasses import dataclass, field

from poplarrun.admission import (
    Admission,
    Admissions,
    Admitted,
    CandidateLoad,
    Queued,
    Refused,
    Ticket,
)
from poplarrun.contracts import VersionId
from poplarrun.endpoints import Choice, EndpointTable, Pool, PromptProfile
from poplarrun.retries import (
    MAX_ATTEMPTS,
    MAX_STREAM_ATTEMPTS,
    BudgetKey,
    FailedAttempt,
    GiveUp,
    RetryAfter,
    RetryBudgets,
    decide_retry,
)

# Below this load an endpoint starts a request at once, so that the time to its
# first token shows the prefill alone.
QUIET_LOAD = 0.7
# An endpoint where a request waited longer has a queue: its place is not passed on.
MOST_WAIT_OF_FREED_S = 0.1
# So long a request waits for a place among the host's own engines.
OWN_PLACE_WAIT_S = 0.1
# A pool that was full while requests waited here for this long counts as full for
# some time: reports are late.
BACKLOG_S = 0.05
FULL_FOR_S = 2.0


@dataclass
class EngineRequest:
    """A request on its way to a model engine.

    Attributes
    ----------
    start_by : float
        Latest time of the first token that its class accepts.
    deadline : float
        When the whole answer must be there.
    may_have_started : bool
        Whether any attempt may have begun at an endpoint.
    """

    request_id: str
    account: str
    work_class: str
    importance: int
    version: VersionId
    demand: PromptProfile
    start_by: float
    deadline: float
    attempts: int = 0
    may_have_started: bool = False
    tried: set[str] = field(default_factory=set)
    choice: Choice | None = None
    arrived_at: float = 0.0
    sent_at: float = 0.0
    first_token_at: float = 0.0
    queue_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The request goes to an endpoint, after a pause."""

    choice: Choice
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """Nothing holds the version."""


StartOutcome = Dispatched | Queued | Refused | NoEndpoint


class EngineDispatcher:
    """Admission, endpoint choice and retries of one host; called on the loop only."""

    def __init__(
        self,
        endpoints: EndpointTable,
        max_queued: int,
        source: random.Random,
        budgets: RetryBudgets | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._admissions = Admissions(max_queued)
        self._budgets = budgets or RetryBudgets()
        self._random = source
        self._held: dict[str, EngineRequest] = {}
        self._freed: list[tuple[VersionId, str]] = []
        self._full_until: dict[VersionId, float] = {}

    def start(self, job: EngineRequest, now: float) -> StartOutcome:
        """Start a new request, hold it, or refuse it."""
        job.arrived_at = now
        choice = self._choose(job, now)
        if choice is None:
            return NoEndpoint()
        start_by = job.start_by - choice.prefill_s
        ticket = Ticket(job.request_id, job.account, job.importance, 1.0, start_by)
        verdict = self._admissions.for_version(job.version).offer(
            ticket, self._load(job, choice), now
        )
        match verdict:
            case Admitted():
                self._budgets.budget(_budget_key(job)).record_attempt()
                return self._send(job, choice, now)
            case Queued():
                self._held[job.request_id] = job
        return verdict

    def release_queued(self, now: float) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        """Start the held requests that have a place now, and end those that are late."""
        released = self._pass_on_places(now)
        for _, admission in self._admissions.list_active():
            for ticket, refused in admission.refuse_expired(now):
                released.append((self._held.pop(ticket.request_id), refused))
            released += self._release_from(admission, now)
        return released

    def handle_failed_attempt(
        self,
        job: EngineRequest,
        reason: str,
        may_have_started: bool,
        now: float,
        is_stream: bool = False,
    ) -> RetryAfter | GiveUp:
        """Close a broken attempt and decide whether another may follow."""
        assert job.choice is not None
        name = job.choice.endpoint.name
        self._admissions.for_version(job.version).in_flight -= 1
        self._endpoints.record_finished(name, now)
        self._endpoints.record_failure(name, now, reason)
        job.may_have_started = job.may_have_started or may_have_started
        # Generating twice is harmless: the caller gets one answer and one bill.
        failed = FailedAttempt(
            job.attempts,
            job.may_have_started,
            is_idempotent=True,
            time_left_s=job.deadline - now,
            max_attempts=MAX_STREAM_ATTEMPTS if is_stream else MAX_ATTEMPTS,
        )
        return decide_retry(failed, self._budgets.budget(_budget_key(job)), self._random)

    def retry_elsewhere(
        self, job: EngineRequest, now: float, delay_s: float
    ) -> Dispatched | NoEndpoint:
        """Send a request again, to an endpoint that was not tried if there is one."""
        choice = self._choose(job, now)
        return NoEndpoint() if choice is None else self._send(job, choice, now, delay_s)

    def resend(self, job: EngineRequest, now: float, delay_s: float) -> Dispatched:
        """Send the rest of a broken stream to the same engine."""
        assert job.choice is not None
        return self._send(job, job.choice, now, delay_s)

    def undo_send(self, job: EngineRequest, now: float) -> None:
        """Undo an attempt that was chosen and not sent."""
        assert job.choice is not None
        job.attempts -= 1
        self._admissions.for_version(job.version).in_flight -= 1
        self._endpoints.record_finished(job.choice.endpoint.name, now)

    def record_first_token(self, job: EngineRequest, now: float) -> None:
        """Learn from the time to a first token."""
        choice = job.choice
        if choice is None:
            return
        job.first_token_at = now
        speed = self._pool(job).speed
        taken_s = now - job.sent_at
        if choice.load < QUIET_LOAD:
            speed.record_first_token(choice.uncached_tokens, taken_s)
        wait_s = max(0.0, taken_s - speed.estimate_first_token_s(choice.uncached_tokens))
        job.queue_wait_s = wait_s
        self._admissions.for_version(job.version).record_wait(
            wait_s, now, self._pool(job).mean_load()
        )

    def end(self, job: EngineRequest, is_complete: bool, now: float) -> None:
        """Close a request that its engine answered."""
        if job.choice is None:
            return
        name = job.choice.endpoint.name
        self._admissions.for_version(job.version).in_flight -= 1
        self._endpoints.record_finished(name, now)
        if self._held and job.queue_wait_s <= MOST_WAIT_OF_FREED_S:
            self._freed.append((job.version, name))
        if is_complete:
            self._endpoints.record_success(name)
            # From the first token on: the time in the endpoint's queue is not work.
            self._pool(job).speed.record_request_time(
                now - (job.first_token_at or now) + job.choice.prefill_s
            )

    def _pass_on_places(self, now: float) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        """Give the place of each request that just ended to the next in the queue.

        That a place is free there is known now; a load report tells it a
        second later. Without this, urgent work waits behind reports.
        """
        released: list[tuple[EngineRequest, Dispatched | Refused]] = []
        for version, name in self._freed:
            admission = self._admissions.for_version(version)
            endpoint = self._endpoints.find(name)
            if endpoint is None or not len(admission.queue):
                continue
            job = self._held[admission.queue.peek().request_id]
            choice = self._endpoints.evaluate_engine(version, endpoint, now, job.demand)
            if choice is not None and admission.can_accept(
                self._load(job, choice), job.importance, now
            ):
                released.append(self._start_held(admission, choice, now))
        self._freed.clear()
        return released

    def _start_held(
        self, admission: Admission, choice: Choice, now: float
    ) -> tuple[EngineRequest, Dispatched | Refused]:
        job = self._held.pop(admission.start_next(now).request_id)
        self._budgets.budget(_budget_key(job)).record_attempt()
        return job, self._send(job, choice, now)

    def _release_from(
        self, admission: Admission, now: float
    ) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        released: list[tuple[EngineRequest, Dispatched | Refused]] = []
        while len(admission.queue):
            job = self._held[admission.queue.peek().request_id]
            choice = self._choose(job, now)
            if choice is None or not admission.has_room(
                self._load(job, choice), job.importance, now
            ):
                break
            released.append(self._start_held(admission, choice, now))
        return released

    def _choose(self, job: EngineRequest, now: float) -> Choice | None:
        # Only for a moment: a host that gets more than its engines can do must use
        # the others' places to the full.
        is_new = now - job.arrived_at < OWN_PLACE_WAIT_S
        may_wait = job.attempts == 0 and (is_new or self._is_full(job.version, now))
        return self._endpoints.choose_engine(job.version, now, job.tried, job.demand, may_wait)

    def _is_full(self, version: VersionId, now: float) -> bool:
        """Tell whether requests wait here and nearly no place is free anywhere.

        Hosts that then trust late reports of each other's engines all fill the
        same few, and the most important work waits there behind what runs.
        """
        pool = self._endpoints.pool(version)
        waits = self._admissions.for_version(version).estimate_backlog_s(now) > BACKLOG_S
        if waits and pool.is_saturated_by_others(now):
            self._full_until[version] = now + FULL_FOR_S
        return now < self._full_until.get(version, 0.0)

    def _send(
        self, job: EngineRequest, choice: Choice, now: float, delay_s: float = 0.0
    ) -> Dispatched:
        job.choice = choice
        job.attempts += 1
        job.sent_at = now + delay_s
        job.tried.add(choice.endpoint.name)
        self._admissions.for_version(job.version).in_flight += 1
        self._endpoints.record_sent(choice.endpoint.name, now, job.version, job.demand.blocks)
        return Dispatched(choice, delay_s)

    def _load(self, job: EngineRequest, choice: Choice) -> CandidateLoad:
        return CandidateLoad(choice.load_after, self._pool(job).mean_load())

    def _pool(self, job: EngineRequest) -> Pool:
        return self._endpoints.pool(job.version)


def _budget_key(job: EngineRequest) -> BudgetKey:
    return BudgetKey(job.work_class, str(job.version))
