"""Admits requests, chooses an endpoint for each attempt and decides on retries.

All state is in memory, the time is passed in, and no network is used.
"""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

from poplarrun.dispatch._config_view import ConfigView
from poplarrun.dispatch._crash_guard import CrashGuard
from poplarrun.dispatch._evidence import EvidenceRecorder
from poplarrun.dispatch._failures import (
    AnswerFailed,
    Attempt,
    CutOffUnread,
    Failure,
    NoConnection,
    SaidNotRun,
    TookTooLong,
    Withheld,
    is_unreached,
    may_have_run,
    was_responsive,
)
from poplarrun.dispatch._hold_offs import HeldOffEndpoint, find_kept_from
from poplarrun.dispatch._refusals import (
    explain_no_endpoint,
    hash_to_unit_interval,
    refuse_held_off,
)
from poplarrun.dispatch._retry_budgets import SharedRetryBudgets
from poplarrun.dispatch._zone_offers import OfferedEndpoint, estimate_offered
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import (
    AlternativeZone,
    EndpointEstimate,
    EndpointFilter,
    EndpointState,
    Placement,
    Reachability,
    find_shared_prefix,
)
from poplarrun.rollouts import AnswerTimes, Rollouts, VersionChoice, VersionReason
from poplarrun.routing import InFlightRequest, RepeatPolicy, Request, Service
from poplarrun.shares import Budget
from poplarrun.sizes import KeepReason, SizeDecision, SizePolicy

# Sends that endpoints rejected without executing don't count as attempts, but each costs
# the caller time: at most this many are made beyond the route's attempt limit.
MAX_REJECTED_SENDS = 2
# Failed connections after which the request is refused and the caller should retry later.
MAX_CONNECT_FAILURES = 4
# Least time that must remain until the deadline for another send, in seconds: a request
# that is cancelled at once would only occupy the endpoint.
MIN_TIME_LEFT_S = 0.03
# Delay in seconds after which a refused caller should retry: about the time in which a
# slot becomes free or the caller reaches another host.
RETRY_DELAY_S = 0.3
# The same while this host waits for a current configuration.
STALE_CONFIG_RETRY_DELAY_S = 0.5
# Fraction of the retry allowance that escalations to a larger model leave for failures.
FAILURE_RESERVE_FRACTION = 0.5
# Load of an endpoint, in requests per slot, from which an answer counts as evidence of its
# version under load: what hosts know of each other's requests is some tenths of a second old.
MIN_EVIDENCE_LOAD = 0.2
# An endpoint of a zone that answered this shortly before another one there failed is still up.
ZONE_ANSWER_WINDOW_S = 0.5
# Fraction of the connections that an endpoint accepts from all hosts together that may be idle. The
# rest is left for requests that need new ones.
IDLE_CONNECTIONS_FRACTION = 0.5
# Urgency that an endpoint is given for the highest rank; each lower rank adds one.
HIGHEST_RANK_URGENCY = 2
ANY_VERSION = VersionChoice(None, None, VersionReason.NO_ROLLOUT)


@dataclass(frozen=True, slots=True)
class SendDecision:
    """The decision to send a request to an endpoint now.

    Attributes
    ----------
    urgency : int
        Priority at the endpoint, from 0, which is served first, to 9.
    reason : VersionReason
        Why the endpoint's version was chosen.
    kept_from : HeldOffEndpoint, optional
        Where the request would have gone if that endpoint had not asked this host to stay away.
    alternative_zone : AlternativeZone, optional
        The zone to ask for a better endpoint before the send.
    versions : VersionChoice
        The versions that may answer.
    is_offered : bool
        Whether a host of another zone named the endpoint.
    """

    estimate: EndpointEstimate
    size: str | None
    urgency: int
    reason: VersionReason = VersionReason.NO_ROLLOUT
    kept_from: HeldOffEndpoint | None = None
    alternative_zone: AlternativeZone | None = None
    versions: VersionChoice = ANY_VERSION
    is_offered: bool = False


def ignore_sent(_: EndpointEstimate, __: int) -> None:
    """Do nothing; for hosts without peers."""


class Dispatcher:
    """Decides about requests; used on the event loop only, never blocks.

    Parameters
    ----------
    retry_ratio : float
        Retries that each first send of this host allows.
    retry_allowance : Budget
        Retries that all hosts together may make beyond that for a service.
    on_prompt_sent : callable
        Called after each send of a prompt to an engine, with the fingerprint of its shared
        beginning, or 0.
    """

    def __init__(
        self,
        config_view: ConfigView,
        placement: Placement,
        rollouts: Rollouts,
        sizes: SizePolicy,
        retry_ratio: float,
        retry_allowance: Budget,
        on_prompt_sent: Callable[[EndpointEstimate, int], None] = ignore_sent,
    ) -> None:
        self.config_view = config_view
        self.placement = placement
        self.rollouts = rollouts
        self.sizes = sizes
        self.on_prompt_sent = on_prompt_sent
        self.retry_budgets = SharedRetryBudgets(placement.shares, retry_ratio, retry_allowance)
        self.reachability = Reachability()
        self.evidence = EvidenceRecorder(rollouts)
        self.crash_guard = CrashGuard()

    def admit(self, request: Request, now: float) -> InFlightRequest | Refusal:
        """Look up a new request's route, account and service, or refuse it."""
        work = self.look_up(request, now)
        if isinstance(work, InFlightRequest):
            self.sizes.record_request(work)
        return work

    def look_up(self, request: Request, now: float) -> InFlightRequest | Refusal:
        """Return what admits a request, or refuses it, and remember nothing of it."""
        catalogue = self.config_view.catalogue
        if catalogue is None:
            return self._refuse(
                ErrorKind.NOT_READY, "no configuration yet", STALE_CONFIG_RETRY_DELAY_S
            )
        can_deny = self.config_view.can_deny(now)
        path = request.target.decode("latin-1").split("?", 1)[0]
        route = catalogue.find_route(request.host, path)
        if route is None:
            if not can_deny:
                return self._refuse(
                    ErrorKind.NOT_READY, "configuration is old", STALE_CONFIG_RETRY_DELAY_S
                )
            return Refusal(ErrorKind.ROUTE_UNKNOWN, "no route for this host and path")
        account = None
        if catalogue.accounts is not None and not route.is_public:
            account = catalogue.find_account(request.api_key)
            if account is None:
                if not can_deny:
                    return self._refuse(
                        ErrorKind.NOT_READY, "keys are old", STALE_CONFIG_RETRY_DELAY_S
                    )
                return Refusal(ErrorKind.UNAUTHENTICATED, "the key is not known")
            if not self.config_view.can_trust_keys(now):
                return self._refuse(ErrorKind.NOT_READY, "keys are old", STALE_CONFIG_RETRY_DELAY_S)
        service = route.choose_service(hash_to_unit_interval(request.session_id or request.id))
        timeout_s = min(request.time_left_s, route.latency.timeout_s)
        work = InFlightRequest(request, route, account, service, now, now + timeout_s)
        return self.crash_guard.refuse(work, now) or work

    def recheck(self, work: InFlightRequest, now: float) -> Refusal | None:
        """Return why a request may no longer be sent; called immediately before the send.

        While a request waits for a connection, its key may be revoked or the host be
        suspended. Sent without this check, it would run seconds after it had to be refused.
        """
        second_run = self._refuse_second_run(work)
        if second_run is not None:
            return second_run
        if work.remaining_s(now) < MIN_TIME_LEFT_S:
            return self._refuse_in_flight(work, ErrorKind.DEADLINE_UNREACHABLE, "no time is left")
        quarantined = self.crash_guard.refuse(work, now)
        if quarantined is not None:
            return quarantined
        if work.account is None:
            return None
        catalogue = self.config_view.catalogue
        # A request that was already sent once continues: its key was valid on arrival, and
        # the revocation limit applies to later requests. Only a revoked key ends it.
        is_config_stale = work.sends == 0 and not self.config_view.can_trust_keys(now)
        if catalogue is None or is_config_stale:
            return self._refuse_in_flight(work, ErrorKind.NOT_READY, "keys are old")
        if catalogue.find_account(work.request.api_key) != work.account:
            return self._refuse_in_flight(work, ErrorKind.UNAUTHENTICATED, "the key was taken away")
        return None

    def find_versions(self, work: InFlightRequest, now: float) -> VersionChoice:
        """Return the versions that may answer a request."""
        return self._choose_versions(work, now)

    def choose_endpoint(self, work: InFlightRequest, now: float) -> SendDecision | Refusal:
        """Choose the endpoint of the next attempt, or refuse the request."""
        refusal = self.recheck(work, now)
        if refusal is not None:
            return refusal
        service = self._find_service(work)
        if service is None:
            return self._refuse_in_flight(
                work, ErrorKind.NO_ENDPOINT, "the service is not configured"
            )
        size = work.model_size or self.sizes.first_size(work)
        versions = self._choose_versions(work, now)
        is_in_shift = versions.allowed is not None and any(
            self.rollouts.is_in_shift(work.service, version, now) for version in versions.allowed
        )
        choice = self.placement.choose_between_zones(
            work,
            service,
            now,
            size or "",
            EndpointFilter(versions.allowed, versions.excluded, concentrate_load=is_in_shift),
        )
        if choice is None and versions.allowed is not None:
            # Without an endpoint of the chosen version, running on another one is better than
            # refusing the request.
            versions = VersionChoice(None, versions.excluded, VersionReason.NONE_LEFT)
            choice = self.placement.choose_between_zones(
                work, service, now, size or "", EndpointFilter(None, versions.excluded)
            )
        if choice is None:
            return self._refuse_without_endpoint(work, service, now)
        return SendDecision(
            choice.estimate,
            size,
            self._compute_urgency(work),
            versions.reason,
            find_kept_from(self.placement, work, size or "", now),
            choice.alternative,
            versions,
        )

    def accept_offer(
        self, work: InFlightRequest, decision: SendDecision, offered: OfferedEndpoint, now: float
    ) -> SendDecision | None:
        """Return the decision to send to an endpoint that a host of another zone offers.

        None if the request may not go there by all that this host knows, or if it would not be
        answered sooner than in the own zone.

        Parameters
        ----------
        decision : SendDecision
            The decision that named the zone to ask.
        """
        service, alternative = self._find_service(work), decision.alternative_zone
        if service is None or alternative is None or self.recheck(work, now) is not None:
            return None
        estimate = estimate_offered(
            self.placement, work, service, alternative, offered, decision.size or "", now
        )
        if estimate is None:
            return None
        accepted = dataclasses.replace(
            decision, estimate=estimate, alternative_zone=None, is_offered=True
        )
        return accepted if self.may_use_version(work, accepted, now) else None

    def may_use_version(self, work: InFlightRequest, decision: SendDecision, now: float) -> bool:
        """Return whether the version of an offered endpoint may still answer a request.

        Other endpoints are chosen in the same step as their version. Called immediately before the
        send, like ``recheck``.
        """
        if not decision.is_offered:
            return True
        version = decision.estimate.endpoint.record.version
        versions = self._choose_versions(work, now)
        if version == versions.excluded:
            return False
        is_any_allowed = decision.reason is VersionReason.NONE_LEFT or versions.allowed is None
        return is_any_allowed or version in (versions.allowed or ())

    def may_send(self, work: InFlightRequest, endpoint: EndpointState, now: float) -> bool:
        """Return whether a chosen endpoint may still get the request.

        Called immediately before the send, like ``recheck``.
        """
        service = self._find_service(work)
        return service is not None and self.placement.may_send(endpoint, service, now)

    def max_idle_connections(
        self, work: InFlightRequest, endpoint: EndpointState, now: float
    ) -> int:
        """Return how many idle connections this host may keep to an endpoint.

        An endpoint resets connections beyond those that it accepts from all hosts together.
        """
        service = self._find_service(work)
        if service is None:
            return 0
        total = int(IDLE_CONNECTIONS_FRACTION * service.max_connections)
        budget = Budget(total, total, 0.0)
        return self.placement.shares.fleet_share(endpoint.record.instance_id, budget, now)

    def record_sent(self, work: InFlightRequest, send: SendDecision, now: float) -> Attempt:
        """Record that the request's bytes were handed to the socket."""
        endpoint = send.estimate.endpoint
        if work.sends == 0:
            self.retry_budgets.budget(work.service, now).record_attempt(now)
        work.sends += 1
        work.model_size = send.size
        work.tried_endpoints.add(endpoint.record.instance_id)
        work.session_version = endpoint.record.version
        endpoint.in_flight += 1
        endpoint.record_send(now)
        endpoint.pending_prefill_s += send.estimate.prefill_s
        service = self._find_service(work)
        if service is not None:
            self.sizes.record_send(work, send.estimate.prefill_s, service, now)
        if send.size is not None:
            endpoint.record_prompt(send.size, work.request.prompt_parts, now)
            self.on_prompt_sent(send.estimate, self._find_shared_prefix(work, send.size))
        attempt = Attempt(send.estimate, send.size, now)
        is_past = self.rollouts.is_past_trial(work.service, endpoint.record.version, now)
        attempt.is_under_load = is_past and send.estimate.load >= MIN_EVIDENCE_LOAD
        self.evidence.record_sent(work, attempt)
        self.crash_guard.record_sent(work, attempt)
        self.rollouts.record_send(work, endpoint.record.version, now)
        return attempt

    def can_spend_on_escalation(self, work: InFlightRequest, now: float) -> bool:
        """Return whether a larger model may use a second send; some are left for failures."""
        budget = self.retry_budgets.budget(work.service, now)
        return budget.remaining(now) >= 1.0 + FAILURE_RESERVE_FRACTION * budget.allowance

    def try_escalate(
        self, work: InFlightRequest, attempt: Attempt, confidence: float, now: float
    ) -> SizeDecision:
        """Try to replace an answer by a larger model's; return whether that is done, and why not.

        Called before the caller has received anything. The discarded answer counts as a
        run, and the next send spends a retry; part of that budget is reserved for failures.
        """
        largest = self.sizes.escalation_size(work)
        service = self._find_service(work)
        if largest is None or service is None or self.crash_guard.is_suspect(work, now):
            return SizeDecision(KeepReason.NOT_ALLOWED)
        if not work.can_run_again or work.last_event_id is not None:
            return SizeDecision(KeepReason.NOT_ALLOWED)
        if not self.can_spend_on_escalation(work, now):
            return self._keep_answer(work, confidence, service, KeepReason.BUDGET)
        versions = frozenset((attempt.estimate.endpoint.record.version,))
        estimate = self.placement.choose(work, service, now, largest, versions, include_tried=True)
        if estimate is None:
            return self._keep_answer(work, confidence, service, KeepReason.NO_ENDPOINT)
        urgent_target_s = self.find_urgent_target_s(work)
        decision = self.sizes.decide(work, confidence, estimate, service, urgent_target_s, now)
        if not decision.is_asked:
            return decision
        self.retry_budgets.budget(work.service, now).try_spend(now)
        self.crash_guard.record_given_up(attempt, now)
        self._close_attempt(attempt)
        attempt.first_event_at = now
        self.evidence.record_answer(work, attempt, False, attempt.compute_times(now))
        work.possible_runs += 1
        work.may_have_run = True
        work.model_size = largest
        work.tried_endpoints.clear()
        return decision

    def _keep_answer(
        self, work: InFlightRequest, confidence: float, service: Service, reason: KeepReason
    ) -> SizeDecision:
        is_doubtful = self.sizes.is_doubtful(work, confidence, service)
        return SizeDecision(reason if is_doubtful else KeepReason.CONFIDENT)

    def find_urgent_target_s(self, work: InFlightRequest) -> float:
        """Return the target of the service's most urgent route in the catalogue in force."""
        catalogue = self.config_view.catalogue
        route = None if catalogue is None else catalogue.find_most_urgent_route(work.service)
        # A request keeps the route that it was admitted by, also if the catalogue lacks it now.
        return (route or work.route).latency.target_s

    def record_rate_limit(
        self, attempt: Attempt, rate_per_s: float | None, is_run: bool, now: float
    ) -> bool:
        """Record the rate limit that an answer names; True if it is new.

        Parameters
        ----------
        is_run : bool
            Whether the endpoint ran the request. A rejection that names no limit says nothing.
        """
        if rate_per_s is None and not is_run:
            return False
        endpoint = attempt.estimate.endpoint
        return endpoint.record_rate_limit(rate_per_s, attempt.sent_at, now)

    def record_brittle(self, attempt: Attempt, tolerated: int | None, now: float) -> bool:
        """Record what an answer says of the rejections that its service bears; True if it is new.

        Parameters
        ----------
        tolerated : int, optional
            Rejections a second that one endpoint bears; None if the answer says nothing.
        """
        if tolerated is None:
            return False
        service = attempt.estimate.endpoint.record.service
        return self.placement.brittle.record(service, tolerated, now, now)

    def record_hold_off(self, attempt: Attempt, seconds: float, now: float) -> None:
        """Record for how long the endpoint that rejected a request wants none from this host."""
        self.placement.record_hold_off(attempt.estimate.endpoint, seconds, now)

    def record_leaving(self, attempt: Attempt, now: float) -> bool:
        """Record that an endpoint says that it is leaving; True if that is new."""
        record = attempt.estimate.endpoint.record
        return self.placement.leaving.record(record.instance_id, record.started_ms, now)

    def record_first_event(self, work: InFlightRequest, attempt: Attempt, now: float) -> None:
        """Record the arrival of the first event, or of a plain service's answer."""
        attempt.first_event_at = now
        self.crash_guard.record_begun(attempt, now)
        estimate = attempt.estimate
        self._record_reached(estimate.endpoint, now)
        estimate.endpoint.record_taken(attempt.sent_at)
        self.evidence.record_begun(work, attempt)
        estimate.endpoint.pending_prefill_s = max(
            0.0, estimate.endpoint.pending_prefill_s - estimate.prefill_s
        )
        first_event_s = now - attempt.sent_at
        estimate.endpoint.record_first_event(estimate.first_event_s, first_event_s, now)
        if estimate.uncached_tokens:
            speed = self.placement.speed(work.service, attempt.size or "")
            speed.record_first_token(estimate.uncached_tokens, first_event_s)

    def record_completed(self, work: InFlightRequest, attempt: Attempt, now: float) -> None:
        """Record that an answer is complete."""
        self.crash_guard.record_answered(work, attempt, now)
        self._close_attempt(attempt)
        attempt.estimate.endpoint.record_success()
        self.evidence.record_answer(work, attempt, False, attempt.compute_times(now))
        self.rollouts.record_end(work, attempt.estimate.endpoint.record.version, now)

    def record_cancelled(self, attempt: Attempt, now: float) -> None:
        """Record that this host cancelled an attempt."""
        self.crash_guard.record_given_up(attempt, now)
        self._close_attempt(attempt)

    def handle_failure(
        self,
        work: InFlightRequest,
        endpoint: EndpointState,
        attempt: Attempt | None,
        failure: Failure,
        now: float,
    ) -> Refusal | None:
        """Record a failure; return a refusal if the request can't be retried.

        Parameters
        ----------
        attempt : Attempt, optional
            None if nothing was sent.
        """
        if attempt is not None:
            self.crash_guard.record_failed(work, attempt, failure, now)
            self._close_attempt(attempt)
        match failure:
            case SaidNotRun(is_other_lifetime=True):
                endpoint.record_failure(now)
            case SaidNotRun():
                self._record_reached(endpoint, now)
                endpoint.record_overloaded(now)
                endpoint.record_rejected(now)
            case Withheld():
                work.connect_failures += 1
            case CutOffUnread():
                pass
            case AnswerFailed():
                if attempt is not None:
                    self.evidence.record_answer(work, attempt, True, AnswerTimes())
            case NoConnection():
                work.connect_failures += 1
                work.tried_endpoints.add(endpoint.record.instance_id)
                self._record_unreached(work, endpoint, now)
                endpoint.record_failure(now)
            case TookTooLong(waited_s) if attempt is not None and was_responsive(
                endpoint, waited_s, now
            ):
                self.evidence.record_answer(work, attempt, True, AnswerTimes())
                endpoint.record_failure(now)
            case _:
                if attempt is not None:
                    self.evidence.record_broken(work, attempt)
                if is_unreached(work, attempt, failure):
                    self._record_unreached(work, endpoint, now)
                endpoint.record_failure(now)
        if may_have_run(failure):
            work.possible_runs += 1
            work.failures += 1
            work.may_have_run = True
        return self._check_retry(work, failure, now)

    def _record_reached(self, endpoint: EndpointState, now: float) -> None:
        endpoint.record_reached(now)
        self.reachability.record_outcome(endpoint.record.instance_id, True, now)

    def _record_unreached(self, work: InFlightRequest, endpoint: EndpointState, now: float) -> None:
        endpoint.record_unreached(now)
        self.reachability.record_outcome(endpoint.record.instance_id, False, now)
        work.failed_zones[endpoint.record.zone] = now - ZONE_ANSWER_WINDOW_S

    def _check_retry(self, work: InFlightRequest, failure: Failure, now: float) -> Refusal | None:
        second_run = self._refuse_second_run(work)
        if second_run is not None:
            return second_run
        kind = ErrorKind.ENDPOINT_FAILED if work.may_have_run else ErrorKind.NO_ENDPOINT
        if may_have_run(failure) and self.crash_guard.is_suspect(work, now):
            return Refusal(kind, "an endpoint crashed that held a prompt with a part of this one")
        if work.possible_runs >= work.route.max_attempts:
            return Refusal(kind, f"{work.possible_runs} attempts failed")
        if work.sends >= work.route.max_attempts + MAX_REJECTED_SENDS:
            return self._refuse_in_flight(work, ErrorKind.NO_ENDPOINT, f"{work.sends} sends failed")
        if work.connect_failures >= MAX_CONNECT_FAILURES:
            text = f"{work.connect_failures} connections failed or came too late"
            return self._refuse_in_flight(work, ErrorKind.NO_ENDPOINT, text)
        if work.remaining_s(now) < MIN_TIME_LEFT_S:
            return self._refuse_in_flight(work, ErrorKind.NO_ENDPOINT, "no time is left")
        # A withheld send has spent its retry already, and the next one takes its place.
        is_retry = work.sends > 0 and not isinstance(failure, Withheld)
        if is_retry and not self.retry_budgets.budget(work.service, now).try_spend(now):
            return self._refuse_in_flight(work, ErrorKind.NO_ENDPOINT, "too many second sends")
        return None

    def _refuse_second_run(self, work: InFlightRequest) -> Refusal | None:
        """Refuse a request that may have run and may not run again."""
        if work.may_have_run and not work.route.can_repeat:
            return Refusal(ErrorKind.ENDPOINT_FAILED, "it may have run")
        return None

    def _refuse_without_endpoint(
        self, work: InFlightRequest, service: Service, now: float
    ) -> Refusal:
        """Refuse a request that no endpoint of its service may get now."""
        held_off = None if work.may_have_run else refuse_held_off(self.placement, work, now)
        if held_off is not None:
            return held_off
        self.placement.record_shortage(service, now)
        text = explain_no_endpoint(self.placement, service.name)
        return self._refuse_in_flight(work, ErrorKind.NO_ENDPOINT, text)

    def _find_shared_prefix(self, work: InFlightRequest, size: str) -> int:
        service = self._find_service(work)
        if service is None or not service.has_light_cache:
            return 0
        return find_shared_prefix(size, work.request.prompt_parts)

    def _find_service(self, work: InFlightRequest) -> Service | None:
        catalogue = self.config_view.catalogue
        return None if catalogue is None else catalogue.services.get(work.service)

    def _choose_versions(self, work: InFlightRequest, now: float) -> VersionChoice:
        version = work.session_version
        rolled_back = self.rollouts.find_rolled_back(work.service)
        if version is None or work.last_event_id is None or version == rolled_back:
            return self.rollouts.choose_version(work, now)
        # A stream is resumed on the version that it began on.
        return VersionChoice(frozenset((version,)), rolled_back, VersionReason.STREAM)

    def _compute_urgency(self, work: InFlightRequest) -> int:
        match work.route.repeat_policy:
            case RepeatPolicy.STREAM:
                return HIGHEST_RANK_URGENCY + work.priority
            case _:
                return HIGHEST_RANK_URGENCY

    def _close_attempt(self, attempt: Attempt) -> None:
        self.evidence.record_closed(attempt)
        endpoint = attempt.estimate.endpoint
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        if attempt.first_event_at is None:
            endpoint.pending_prefill_s = max(
                0.0, endpoint.pending_prefill_s - attempt.estimate.prefill_s
            )

    def _refuse_in_flight(self, work: InFlightRequest, kind: ErrorKind, text: str) -> Refusal:
        """Refuse a request; one that may have run is never reported as not run."""
        if work.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_FAILED, text)
        return self._refuse(kind, text, RETRY_DELAY_S)

    @staticmethod
    def _refuse(kind: ErrorKind, text: str, retry_after_s: float) -> Refusal:
        return Refusal(kind, text, retry_after_s=retry_after_s)
