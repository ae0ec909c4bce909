"""Which open request is copied to load an endpoint of a new version, and by which hosts."""

import enum
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from poplarrun.dispatch._dispatcher import Dispatcher
from poplarrun.placement import EndpointState
from poplarrun.rollouts import (
    MAX_PREFILL_S,
    Rollout,
    count_needed_copies,
    count_target_copies,
    divide_test,
)
from poplarrun.routing import InFlightRequest

# Fraction of the retries that are left now that copies don't use: callers may need them.
RETRY_RESERVE_FRACTION = 0.25
# Largest body of a request that is told to other hosts.
MAX_BODY_BYTES = 64 * 1024


class CopyOutcome(enum.Enum):
    """How a copy ended."""

    BEGUN = "begun"
    FAILED = "failed"
    UNANSWERED = "unanswered"


@dataclass(eq=False, slots=True)
class CopySend:
    """A copy of a request that is to be sent to an endpoint now.

    Attributes
    ----------
    work : InFlightRequest
        The copy.
    load : float
        Requests per slot that the endpoint runs when it is sent.
    ends_at : float
        When the copy is cancelled.
    original : InFlightRequest, optional
        The caller's request, of which this is the first copy.
    has_begun : bool
        Whether the endpoint has begun to answer.
    """

    work: InFlightRequest
    endpoint: EndpointState
    load: float
    ends_at: float
    original: InFlightRequest | None = None
    has_begun: bool = False

    @property
    def outcome_of_silence(self) -> CopyOutcome:
        """How the copy ends if its answer has not begun in time.

        Copies that load the endpoint say nothing by their silence: they may still be waiting.
        """
        return CopyOutcome.FAILED if self.load > 0.0 else CopyOutcome.UNANSWERED

    def record_sent(self) -> None:
        """Count the first copy of a request as a run of it."""
        if self.original is not None:
            self.original.possible_runs += 1
            self.original.may_have_run = True


@dataclass(frozen=True, slots=True)
class CopyPlan:
    """The copies of one load test.

    Attributes
    ----------
    base : int
        Copies that load the endpoint.
    tests : int
        Copies that are sent while those run, and whose answers prove the version.
    """

    base: int
    tests: int


def divide_copies(copies: int, each: int, hosts: Sequence[str]) -> dict[str, int]:
    """Divide copies among hosts, the first ones first.

    Parameters
    ----------
    each : int
        Copies that one host sends at most, unless the hosts are too few.
    """
    part = max(1, each, math.ceil(copies / len(hosts)))
    firsts = range(0, copies, part)
    return {host: min(part, copies - first) for host, first in zip(hosts, firsts, strict=False)}


class LoadTestPlanner:
    """Chooses the request that is copied, and counts its copies; uses no network."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def find_endpoint(self, rollout: Rollout, now: float) -> EndpointState | None:
        """Return the endpoint that is loaded: the one that other requests reach last."""
        order = rollout.order
        return self._dispatcher.placement.find_last_filled(order.service, order.target, now)

    def find_candidate(
        self, rollout: Rollout, open_requests: Iterable[InFlightRequest], now: float
    ) -> InFlightRequest | None:
        """Return the request to copy in a test that is due; None if there is none.

        It runs on the new version already, so that its session keeps to that.

        Parameters
        ----------
        open_requests : iterable of InFlightRequest
            This host's requests.
        """
        # Copies say nothing of the speed, and a bad version gets as few requests as possible.
        is_due = rollout.is_load_test_due(now) and self._dispatcher.rollouts.is_shown_good(rollout)
        endpoint = self.find_endpoint(rollout, now) if is_due else None
        if endpoint is None:
            return None
        eligible = [
            work for work in open_requests if self._is_eligible(work, rollout, endpoint, now)
        ]
        # Copies end with their request: the one with the longest answer, and without any event yet.
        return min(
            eligible,
            key=lambda work: (
                work.last_event_id is not None,
                -work.request.expected_tokens,
                -work.arrived_at,
            ),
            default=None,
        )

    def plan_copies(self, rollout: Rollout, endpoint: EndpointState, now: float) -> CopyPlan | None:
        """Return how many copies a test takes; None if the exposure's bound forbids it."""
        slots = endpoint.record.slots
        allowed = self._dispatcher.rollouts.count_allowed_copies(rollout, now)
        total = min(allowed, count_target_copies(slots))
        if total < count_needed_copies(slots):
            return None
        base, tests = divide_test(total, slots)
        return CopyPlan(base, tests) if tests else None

    def count_affordable(self, rollout: Rollout, now: float) -> int:
        """Return how many copies this host has retries for."""
        budget = self._dispatcher.retry_budgets.budget(rollout.order.service, now)
        return max(0, int((1.0 - RETRY_RESERVE_FRACTION) * budget.remaining(now)))

    def spend(self, rollout: Rollout, copies: int, now: float) -> int:
        """Spend a retry for each of some copies; return for how many there were any."""
        affordable = min(copies, self.count_affordable(rollout, now))
        budget = self._dispatcher.retry_budgets.budget(rollout.order.service, now)
        for _ in range(affordable):
            budget.try_spend(now)
        return affordable

    def _is_eligible(
        self, work: InFlightRequest, rollout: Rollout, endpoint: EndpointState, now: float
    ) -> bool:
        return (
            work.service == rollout.order.service
            and work.session_version == rollout.order.target
            and work.can_run_again
            and work.sends > 0
            and work.request.resume_after is None
            and len(work.request.body) <= MAX_BODY_BYTES
            and self._dispatcher.recheck(work, now) is None
            and self._dispatcher.crash_guard.is_cleared(work, now)
            and self._dispatcher.may_send(work, endpoint, now)
            and self._prefill_s(work, endpoint, now) <= MAX_PREFILL_S
        )

    def _prefill_s(self, work: InFlightRequest, endpoint: EndpointState, now: float) -> float:
        """Return how long the endpoint needs to read a prompt, in seconds."""
        size = work.model_size or ""
        speed = self._dispatcher.placement.speed(work.service, size)
        cached = endpoint.count_cached_tokens(size, work.request.prompt_parts[:-1], now)
        return (work.request.prompt_tokens - cached) * speed.prefill_s_per_token


def copy_request(work: InFlightRequest) -> InFlightRequest:
    """Return a copy of a request that has not been sent yet; the request itself may have run."""
    return InFlightRequest(
        work.request,
        work.route,
        work.account,
        work.service,
        work.arrived_at,
        work.deadline_at,
        may_have_run=True,
        model_size=work.model_size,
    )
