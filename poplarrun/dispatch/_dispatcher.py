"""The decisions about one request, from its arrival to its last send.

All of it is plain state: time and random source are passed in, no network is used.
"""

import zlib
from dataclasses import dataclass

from poplarrun.dispatch._config_view import ConfigView
from poplarrun.dispatch._failures import (
    Attempt,
    ErrorResponse,
    Failure,
    NoConnection,
    NotExecuted,
    ResponseTimeout,
    may_have_run,
)
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import EndpointEstimate, EndpointState, Placement
from poplarrun.retries import WindowedRetryBudget
from poplarrun.rollouts import UNDER_LOAD, AnswerTimes, Rollouts, VersionChoice, VersionReason
from poplarrun.routing import InFlightRequest, RepeatPolicy, Request, Service
from poplarrun.sizes import SizePolicy

# Sends that endpoints refused are no runs, but each costs the caller time: so many
# more than the route's attempts are made at the most.
REFUSED_SENDS = 2
# Connections that may fail before the caller is told to come back.
MOST_CONNECT_FAILURES = 4
# Least time that a send must have left, in seconds: one that is cut at once would
# only occupy the endpoint.
LEAST_TIME_S = 0.03
# When a caller should come back after a refusal, in seconds: about the time in which
# a place becomes free, or another host is found.
RETRY_SOON_S = 0.3
# The same where this host waits for its own knowledge.
RETRY_KNOWLEDGE_S = 0.5
# Part of the allowance of second sends that larger models leave for failures.
KEPT_FOR_FAILURES = 0.5
# Events of an answer under way after which its pace is known well enough.
EVENTS_JUDGED = 6
# Load of an endpoint, in requests for each place, from which an answer proves its version
# under load: what hosts know of each other's requests is some tenths of a second old.
LOADED_FROM = 0.2
# Last part of the wait for a silent answer: an endpoint that answered others in it was up
# when this answer was due.
AWAKE_PART = 2.0 / 3.0
# Urgency at an endpoint of the highest rank; each rank below adds one.
FIRST_URGENCY = 2


@dataclass(frozen=True, slots=True)
class SendDecision:
    """The request goes to an endpoint now.

    Attributes
    ----------
    urgency : int
        Order at the endpoint, 0 to 9, 0 first.
    reason : VersionReason
        Why the endpoint's version was picked.
    """

    estimate: EndpointEstimate
    size: str | None
    urgency: int
    reason: VersionReason = VersionReason.NO_ROLLOUT


class Dispatcher:
    """Decides about requests; called on the loop only, never blocks.

    Parameters
    ----------
    retry_ratio : float
        Part of a second send that each first one earns.
    retry_allowance : float
        Second sends that this host may make beyond that.
    retry_window_s : float
        Time over which the operators count second sends.
    """

    def __init__(
        self,
        config_view: ConfigView,
        placement: Placement,
        rollouts: Rollouts,
        sizes: SizePolicy,
        retry_ratio: float,
        retry_allowance: float,
        retry_window_s: float,
    ) -> None:
        self.config_view = config_view
        self.placement = placement
        self.rollouts = rollouts
        self.sizes = sizes
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.retry_window_s = retry_window_s
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._open: dict[Attempt, InFlightRequest] = {}

    def set_retry_allowance(self, allowance: float) -> None:
        """Take over this host's part of the allowance, as hosts come and go."""
        self.retry_allowance = allowance
        for budget in self._budgets.values():
            budget.allowance = allowance

    def admit(self, request: Request, now: float) -> InFlightRequest | Refusal:
        """Find a new request's route, account and service, or refuse it."""
        catalogue = self.config_view.catalogue
        if catalogue is None:
            return self._refuse(ErrorKind.NOT_READY, "no configuration yet", RETRY_KNOWLEDGE_S)
        may_deny = self.config_view.can_deny(now)
        path = request.target.decode("latin-1").split("?", 1)[0]
        route = catalogue.find_route(request.host, path)
        if route is None:
            if not may_deny:
                return self._refuse(ErrorKind.NOT_READY, "configuration is old", RETRY_KNOWLEDGE_S)
            return Refusal(ErrorKind.ROUTE_UNKNOWN, "no route for this host and path")
        account = None
        if catalogue.accounts is not None and not route.is_public:
            account = catalogue.find_account(request.api_key)
            if account is None:
                if not may_deny:
                    return self._refuse(ErrorKind.NOT_READY, "keys are old", RETRY_KNOWLEDGE_S)
                return Refusal(ErrorKind.UNAUTHENTICATED, "the key is not known")
            if not self.config_view.can_trust_keys(now):
                return self._refuse(ErrorKind.NOT_READY, "keys are old", RETRY_KNOWLEDGE_S)
        service = route.choose_service(_point(request.session_id or request.id))
        time_s = min(request.time_left_s, route.latency.timeout_s)
        work = InFlightRequest(request, route, account, service, now, now + time_s)
        self.sizes.record_request(work)
        return work

    def recheck(self, work: InFlightRequest, now: float) -> Refusal | None:
        """Tell why a request may not be sent any more; asked in the step that sends it.

        A key may be taken away, or the host suspended, while a request waits for a
        connection. Sent all the same, it would run seconds after its refusal was due.
        """
        if work.remaining_s(now) < LEAST_TIME_S:
            return self._give_up(work, ErrorKind.DEADLINE_UNREACHABLE, "no time is left")
        if work.account is None:
            return None
        catalogue = self.config_view.catalogue
        # A request that has begun goes on: its key held when it came, and the bound is
        # on requests that come later. Only a key that is known to be gone ends it.
        is_old = work.sends == 0 and not self.config_view.can_trust_keys(now)
        if catalogue is None or is_old:
            return self._give_up(work, ErrorKind.NOT_READY, "keys are old")
        if catalogue.find_account(work.request.api_key) != work.account:
            return self._give_up(work, ErrorKind.UNAUTHENTICATED, "the key was taken away")
        return None

    def choose_endpoint(self, work: InFlightRequest, now: float) -> SendDecision | Refusal:
        """Choose the endpoint of the next send."""
        refusal = self.recheck(work, now)
        if refusal is not None:
            return refusal
        service = self._service(work)
        if service is None:
            return self._give_up(work, ErrorKind.NO_ENDPOINT, "the service is not configured")
        size = work.model_size or self.sizes.first_size(work)
        versions = self._versions(work, now)
        is_proving = versions.allowed is not None and any(
            self.rollouts.is_in_shift(work.service, version, now) for version in versions.allowed
        )
        seat = self.placement.choose(
            work,
            service,
            now,
            size or "",
            versions.allowed,
            versions.excluded,
            concentrate_load=is_proving,
        )
        reason = versions.reason
        if seat is None and versions.allowed is not None:
            # Without an endpoint of its version the request rather runs on another.
            seat = self.placement.choose(work, service, now, size or "", None, versions.excluded)
            reason = VersionReason.NONE_LEFT
        if seat is None:
            return self._give_up(work, ErrorKind.NO_ENDPOINT, "no endpoint is listed")
        return SendDecision(seat, size, self._urgency(work), reason)

    def record_sent(self, work: InFlightRequest, send: SendDecision, now: float) -> Attempt:
        """Note that the request's bytes went to the socket."""
        member = send.estimate.endpoint
        if work.sends == 0:
            self._budget(work.service).record_attempt(now)
        work.sends += 1
        work.model_size = send.size
        work.tried_endpoints.add(member.record.instance_id)
        work.session_version = member.record.version
        member.in_flight += 1
        member.pending_prefill_s += send.estimate.prefill_s
        if send.size is not None:
            member.record_prompt(send.size, work.request.prompt_parts, now)
        attempt = Attempt(send.estimate, send.size, now)
        is_past = self.rollouts.is_past_trial(work.service, member.record.version, now)
        attempt.is_under_load = is_past and send.estimate.load >= LOADED_FROM
        self._open[attempt] = work
        self.rollouts.record_send(work, member.record.version, now)
        return attempt

    def try_escalate(
        self, work: InFlightRequest, attempt: Attempt, confidence: float, now: float
    ) -> bool:
        """Tell whether a larger model is asked instead; the caller has seen nothing yet.

        The dropped answer counts as a run, and the next send takes from the budget of
        second sends, of which a part is kept for failures.
        """
        largest = self.sizes.escalation_size(work)
        service = self._service(work)
        if largest is None or service is None:
            return False
        if work.possible_runs + 1 >= work.route.max_attempts or work.last_event_id is not None:
            return False
        budget = self._budget(work.service)
        if budget.remaining(now) < 1.0 + KEPT_FOR_FAILURES * budget.allowance:
            return False
        versions = frozenset((attempt.estimate.endpoint.record.version,))
        seat = self.placement.choose(work, service, now, largest, versions, include_tried=True)
        if seat is None:
            return False
        if not self.sizes.should_escalate(work, confidence, seat, service, now):
            return False
        budget.try_spend(now)
        self._leave(attempt)
        attempt.first_event_at = now
        self._note_evidence(work, attempt, False, attempt.compute_times(now))
        work.possible_runs += 1
        work.may_have_run = True
        work.model_size = largest
        work.tried_endpoints.clear()
        return True

    def record_first_event(self, work: InFlightRequest, attempt: Attempt, now: float) -> None:
        """Note that the first event came, or the answer of a plain service."""
        attempt.first_event_at = now
        seat = attempt.estimate
        seat.endpoint.last_response_at = now
        seat.endpoint.pending_prefill_s = max(0.0, seat.endpoint.pending_prefill_s - seat.prefill_s)
        taken_s = now - attempt.sent_at
        seat.endpoint.record_first_event(seat.first_event_s, taken_s, now)
        if seat.uncached_tokens:
            speed = self.placement.speed(work.service, attempt.size or "")
            speed.record_first_token(seat.uncached_tokens, taken_s)

    def record_completed(self, work: InFlightRequest, attempt: Attempt, now: float) -> None:
        """Note that an answer is whole."""
        self._leave(attempt)
        attempt.estimate.endpoint.record_success()
        self._note_evidence(work, attempt, False, attempt.compute_times(now))
        self.rollouts.record_end(work, attempt.estimate.endpoint.record.version, now)

    def record_cancelled(self, attempt: Attempt) -> None:
        """Note that an attempt was ended by this side."""
        self._leave(attempt)

    def handle_failure(
        self,
        work: InFlightRequest,
        member: EndpointState,
        attempt: Attempt | None,
        failure: Failure,
        now: float,
    ) -> Refusal | None:
        """Learn from a failure, and tell whether the request ends with it.

        Parameters
        ----------
        attempt : Attempt, optional
            None where nothing was sent.
        """
        if attempt is not None:
            self._leave(attempt)
        match failure:
            case NotExecuted(is_other_instance=True):
                member.record_failure(now)
            case NotExecuted():
                member.record_overloaded(now)
            case ErrorResponse():
                if attempt is not None:
                    self._note_evidence(work, attempt, True, AnswerTimes())
            case NoConnection():
                work.connect_failures += 1
                work.tried_endpoints.add(member.record.instance_id)
                member.record_failure(now)
            case ResponseTimeout(waited_s) if attempt is not None and _is_awake(
                member, waited_s, now
            ):
                self._note_evidence(work, attempt, True, AnswerTimes())
                member.record_failure(now)
            case _:
                if attempt is not None:
                    self._note_broken(work, attempt)
                member.record_failure(now)
        if may_have_run(failure):
            work.possible_runs += 1
            work.failures += 1
            work.may_have_run = True
        return self._may_go_on(work, failure, now)

    def _may_go_on(self, work: InFlightRequest, failure: Failure, now: float) -> Refusal | None:
        kind = ErrorKind.ENDPOINT_FAILED if work.may_have_run else ErrorKind.NO_ENDPOINT
        if may_have_run(failure) and not work.route.can_repeat:
            return Refusal(kind, "it may have run")
        if work.possible_runs >= work.route.max_attempts:
            return Refusal(kind, f"{work.possible_runs} attempts failed")
        if work.sends >= work.route.max_attempts + REFUSED_SENDS:
            return self._give_up(work, ErrorKind.NO_ENDPOINT, f"{work.sends} sends failed")
        if work.connect_failures >= MOST_CONNECT_FAILURES:
            text = f"{work.connect_failures} connections failed"
            return self._give_up(work, ErrorKind.NO_ENDPOINT, text)
        if work.remaining_s(now) < LEAST_TIME_S:
            return self._give_up(work, ErrorKind.NO_ENDPOINT, "no time is left")
        if work.sends and not self._budget(work.service).try_spend(now):
            return self._give_up(work, ErrorKind.NO_ENDPOINT, "too many second sends")
        return None

    def _service(self, work: InFlightRequest) -> Service | None:
        catalogue = self.config_view.catalogue
        return None if catalogue is None else catalogue.services.get(work.service)

    def _versions(self, work: InFlightRequest, now: float) -> VersionChoice:
        # A stream goes on in the version that it began in.
        if work.session_version is not None and work.last_event_id is not None:
            return VersionChoice(frozenset((work.session_version,)), None, VersionReason.STREAM)
        return self.rollouts.choose_version(work, now)

    def _urgency(self, work: InFlightRequest) -> int:
        match work.route.repeat_policy:
            case RepeatPolicy.STREAM:
                return FIRST_URGENCY + work.priority
            case _:
                return FIRST_URGENCY

    def record_open_evidence(self, now: float) -> None:
        """Count answers under way whose pace is known, or that take much too long already.

        Those that end first are the fast ones. A version that takes eight times as
        long would look good until it has had many more requests than it may.
        """
        for attempt, work in list(self._open.items()):
            if attempt.is_counted:
                continue
            kind = _kind_of(work, attempt)
            times = attempt.compute_times(now, is_ended=False)
            is_slow = self.rollouts.statistics.is_slow(work.service, kind, times)
            if is_slow or attempt.event_count >= EVENTS_JUDGED:
                self._note_evidence(work, attempt, False, times)

    def _note_evidence(
        self, work: InFlightRequest, attempt: Attempt, is_bad: bool, times: AnswerTimes
    ) -> None:
        version = attempt.estimate.endpoint.record.version
        key = (work.service, version, _kind_of(work, attempt))
        if attempt.is_counted:
            if is_bad:
                self.rollouts.statistics.record_failure_of_slow_answer(key)
            return
        attempt.is_counted = True
        if attempt.is_under_load:
            times = AnswerTimes()
        rollout = self.rollouts.find(work.service)
        is_trial = (
            rollout is not None and rollout.is_in_progress and version == rollout.order.target
        )
        self.rollouts.statistics.record_answer(key, is_bad, times, is_trial)

    def _note_broken(self, work: InFlightRequest, attempt: Attempt) -> None:
        listing = attempt.estimate.endpoint.record
        key = (work.service, listing.version, _kind_of(work, attempt))
        self.rollouts.statistics.record_interruption(key, listing.instance_id, attempt.is_counted)
        attempt.is_counted = True

    def _leave(self, attempt: Attempt) -> None:
        self._open.pop(attempt, None)
        member = attempt.estimate.endpoint
        member.in_flight = max(0, member.in_flight - 1)
        if attempt.first_event_at is None:
            member.pending_prefill_s = max(
                0.0, member.pending_prefill_s - attempt.estimate.prefill_s
            )

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self.retry_ratio, self.retry_allowance, self.retry_window_s
            )
            self._budgets[service] = budget
        return budget

    def _give_up(self, work: InFlightRequest, kind: ErrorKind, text: str) -> Refusal:
        """Refuse a request; one that may have run is never said not to have run."""
        if work.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_FAILED, text)
        return self._refuse(kind, text, RETRY_SOON_S)

    @staticmethod
    def _refuse(kind: ErrorKind, text: str, retry_after_s: float) -> Refusal:
        return Refusal(kind, text, retry_after_s=retry_after_s)


def _kind_of(work: InFlightRequest, attempt: Attempt) -> str:
    if attempt.is_under_load:
        return UNDER_LOAD
    return f"{work.route.name}/{attempt.size or ''}"


def _is_awake(member: EndpointState, waited_s: float, now: float) -> bool:
    """Tell whether an endpoint answered others while one of its answers did not come."""
    return now - member.last_response_at < AWAKE_PART * waited_s


def _point(text: str) -> float:
    return zlib.crc32(text.encode()) / 2.0**32
