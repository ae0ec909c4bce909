"""Decides when and where requests to model engines are sent: admission, choice and retries."""

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

# Load up to which an endpoint starts a request at once, so that the time to the first token
# measures the prefill only.
MAX_UNQUEUED_LOAD = 0.7
# An endpoint where a request waited longer than this, in seconds, has a queue of its own, so
# that a slot that becomes free there is not given to a queued request.
MAX_FREED_SLOT_WAIT_S = 0.1
# Time for which a request waits for a slot at the host's own engines, in seconds.
OWN_ENGINES_TIMEOUT_S = 0.1
# A pool that is full while the queue here takes longer than this, in seconds, counts as full
# for some time, because load reports are late.
MIN_FULL_BACKLOG_S = 0.05
FULL_POOL_TTL_S = 2.0


@dataclass
class EngineRequest:
    """A request to a model engine, and the state of its attempts.

    Attributes
    ----------
    start_by : float
        Latest time of the first token that meets the latency target of its class.
    deadline : float
        Latest time of the complete answer.
    may_have_started : bool
        Whether any attempt may have started at an endpoint.
    queue_wait_s : float
        Estimated time that the latest attempt waited at its endpoint.
    """

    request_id: str
    account: str
    work_class: str
    importance: int
    version: VersionId
    prompt: PromptProfile
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
    """The request is to be sent to an endpoint, after a delay."""

    choice: Choice
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint has the version loaded."""


StartOutcome = Dispatched | Queued | Refused | NoEndpoint


class EngineDispatcher:
    """Admission, endpoint choice and retries of one host; used on the event loop only."""

    def __init__(
        self,
        endpoints: EndpointTable,
        max_queued: int,
        random_source: random.Random,
        budgets: RetryBudgets | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._admissions = Admissions(max_queued)
        self._budgets = budgets or RetryBudgets()
        self._random = random_source
        self._queued: dict[str, EngineRequest] = {}
        self._freed_slots: list[tuple[VersionId, str]] = []
        self._full_until: dict[VersionId, float] = {}

    def start(self, request: EngineRequest, now: float) -> StartOutcome:
        """Start, queue or refuse a new request."""
        request.arrived_at = now
        choice = self._choose(request, now)
        if choice is None:
            return NoEndpoint()
        start_by = request.start_by - choice.prefill_s
        ticket = Ticket(request.request_id, request.account, request.importance, 1.0, start_by)
        verdict = self._admissions.for_version(request.version).offer(
            ticket, self._load(request, choice), now
        )
        match verdict:
            case Admitted():
                self._budgets.budget(_budget_key(request)).record_attempt()
                return self._record_attempt(request, choice, now)
            case Queued():
                self._queued[request.request_id] = request
        return verdict

    def release_queued(self, now: float) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        """Start the queued requests that have a slot now, and refuse those that are late."""
        released = self._reuse_freed_slots(now)
        for _, admission in self._admissions.list_active():
            for ticket, refused in admission.refuse_expired(now):
                released.append((self._queued.pop(ticket.request_id), refused))
            released += self._release_version(admission, now)
        return released

    def handle_failed_attempt(
        self,
        request: EngineRequest,
        reason: str,
        may_have_started: bool,
        now: float,
        is_stream: bool = False,
    ) -> RetryAfter | GiveUp:
        """Close a failed attempt and decide whether to retry."""
        assert request.choice is not None
        name = request.choice.endpoint.name
        self._admissions.for_version(request.version).in_flight -= 1
        self._endpoints.record_finished(name, now)
        self._endpoints.record_failure(name, now, reason)
        request.may_have_started = request.may_have_started or may_have_started
        # Generating twice is harmless, since the caller gets one answer and one bill.
        failed = FailedAttempt(
            request.attempts,
            request.may_have_started,
            is_idempotent=True,
            time_left_s=request.deadline - now,
            max_attempts=MAX_STREAM_ATTEMPTS if is_stream else MAX_ATTEMPTS,
        )
        return decide_retry(failed, self._budgets.budget(_budget_key(request)), self._random)

    def retry_elsewhere(
        self, request: EngineRequest, now: float, delay_s: float
    ) -> Dispatched | NoEndpoint:
        """Record another attempt, preferably at an endpoint that was not tried yet."""
        choice = self._choose(request, now)
        return (
            NoEndpoint() if choice is None else self._record_attempt(request, choice, now, delay_s)
        )

    def resend(self, request: EngineRequest, now: float, delay_s: float) -> Dispatched:
        """Record an attempt to resume a broken stream at the same engine."""
        assert request.choice is not None
        return self._record_attempt(request, request.choice, now, delay_s)

    def undo_attempt(self, request: EngineRequest, now: float) -> None:
        """Undo the record of an attempt that was not sent."""
        assert request.choice is not None
        request.attempts -= 1
        self._admissions.for_version(request.version).in_flight -= 1
        self._endpoints.record_finished(request.choice.endpoint.name, now)

    def record_first_token(self, request: EngineRequest, now: float) -> None:
        """Record the time to the first token."""
        choice = request.choice
        if choice is None:
            return
        request.first_token_at = now
        speed = self._pool(request).speed
        first_token_s = now - request.sent_at
        if choice.load < MAX_UNQUEUED_LOAD:
            speed.record_first_token(choice.uncached_tokens, first_token_s)
        queue_wait_s = max(
            0.0, first_token_s - speed.estimate_first_token_s(choice.uncached_tokens)
        )
        request.queue_wait_s = queue_wait_s
        self._admissions.for_version(request.version).record_wait(
            queue_wait_s, now, self._pool(request).mean_load()
        )

    def end(self, request: EngineRequest, is_complete: bool, now: float) -> None:
        """Close a request whose answer ended."""
        if request.choice is None:
            return
        name = request.choice.endpoint.name
        self._admissions.for_version(request.version).in_flight -= 1
        self._endpoints.record_finished(name, now)
        if self._queued and request.queue_wait_s <= MAX_FREED_SLOT_WAIT_S:
            self._freed_slots.append((request.version, name))
        if is_complete:
            self._endpoints.record_success(name)
            # Measured from the first token, to exclude the time in the endpoint's queue.
            self._pool(request).speed.record_request_time(
                now - (request.first_token_at or now) + request.choice.prefill_s
            )

    def _reuse_freed_slots(self, now: float) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        """Give the slot of each request that just ended to the next queued request.

        The next load report shows the free slot only a second later. Without this, urgent
        requests would wait behind less important ones.
        """
        released: list[tuple[EngineRequest, Dispatched | Refused]] = []
        for version, name in self._freed_slots:
            admission = self._admissions.for_version(version)
            endpoint = self._endpoints.find(name)
            if endpoint is None or not len(admission.queue):
                continue
            request = self._queued[admission.queue.peek().request_id]
            choice = self._endpoints.evaluate_engine(version, endpoint, now, request.prompt)
            if choice is not None and admission.can_accept(
                self._load(request, choice), request.importance, now
            ):
                released.append(self._start_queued(admission, choice, now))
        self._freed_slots.clear()
        return released

    def _start_queued(
        self, admission: Admission, choice: Choice, now: float
    ) -> tuple[EngineRequest, Dispatched | Refused]:
        request = self._queued.pop(admission.start_next(now).request_id)
        self._budgets.budget(_budget_key(request)).record_attempt()
        return request, self._record_attempt(request, choice, now)

    def _release_version(
        self, admission: Admission, now: float
    ) -> list[tuple[EngineRequest, Dispatched | Refused]]:
        released: list[tuple[EngineRequest, Dispatched | Refused]] = []
        while len(admission.queue):
            request = self._queued[admission.queue.peek().request_id]
            choice = self._choose(request, now)
            if choice is None or not admission.has_room(
                self._load(request, choice), request.importance, now
            ):
                break
            released.append(self._start_queued(admission, choice, now))
        return released

    def _choose(self, request: EngineRequest, now: float) -> Choice | None:
        # Only for a moment: a host that gets more requests than its engines have capacity for
        # must use the slots of other hosts' engines.
        is_recent = now - request.arrived_at < OWN_ENGINES_TIMEOUT_S
        may_wait_for_own = request.attempts == 0 and (
            is_recent or self._is_full(request.version, now)
        )
        return self._endpoints.choose_engine(
            request.version, now, request.tried, request.prompt, may_wait_for_own
        )

    def _is_full(self, version: VersionId, now: float) -> bool:
        """Return whether requests are queued here and hardly any slot of the pool is free.

        If hosts then relied on late reports of each other's engines, all would fill the same
        few, and the most important requests would wait there behind those that run.
        """
        pool = self._endpoints.pool(version)
        has_backlog = (
            self._admissions.for_version(version).estimate_backlog_s(now) > MIN_FULL_BACKLOG_S
        )
        if has_backlog and pool.is_saturated_by_others(now):
            self._full_until[version] = now + FULL_POOL_TTL_S
        return now < self._full_until.get(version, 0.0)

    def _record_attempt(
        self, request: EngineRequest, choice: Choice, now: float, delay_s: float = 0.0
    ) -> Dispatched:
        """Record an attempt at an endpoint, which the caller sends after the delay."""
        request.choice = choice
        request.attempts += 1
        request.sent_at = now + delay_s
        request.tried.add(choice.endpoint.name)
        self._admissions.for_version(request.version).in_flight += 1
        self._endpoints.record_sent(
            choice.endpoint.name, now, request.version, request.prompt.blocks
        )
        return Dispatched(choice, delay_s)

    def _load(self, request: EngineRequest, choice: Choice) -> CandidateLoad:
        return CandidateLoad(choice.load_after, self._pool(request).mean_load())

    def _pool(self, request: EngineRequest) -> Pool:
        return self._endpoints.pool(request.version)


def _budget_key(request: EngineRequest) -> BudgetKey:
    return BudgetKey(request.work_class, str(request.version))
