"""Log events and metrics about requests."""

from collections.abc import Callable

import msgspec

from poplarrun.dispatch import (
    ALL_HELD_OFF,
    Attempt,
    Failure,
    SendDecision,
    failure_label,
    may_have_run,
)
from poplarrun.errors import Refusal, response_for
from poplarrun.gateway._endpoint_offers import AskedZone
from poplarrun.gateway._listing_follower import UNKNOWN_LISTING, ListingState
from poplarrun.logging import events, write_event
from poplarrun.metrics import Metrics
from poplarrun.placement import EndpointState
from poplarrun.routing import InFlightRequest, Request
from poplarrun.sizes import SizeDecision
from poplarrun.transport import seconds_since_boot


def _know_nothing(instance_id: str, now: float) -> ListingState:
    return UNKNOWN_LISTING


class RequestRecorder:
    """Logs and counts the decisions about requests.

    Attributes
    ----------
    config_version : int
        Version of the configuration in force; -1 for none.
    config_age_s : float
        How long ago the configuration was surely current.
    describe_listing : callable
        Returns what is known of the list of endpoints and of one in it, given its instance id and
        the time.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self.config_version = -1
        self.config_age_s = 0.0
        self.describe_listing: Callable[[str, float], ListingState] = _know_nothing

    def record_admitted(self, work: InFlightRequest, now: float) -> None:
        """Record that a request was admitted."""
        self._metrics.count_request(work.route.name)
        account = "" if work.account is None else work.account.name
        write_event(
            events.RequestAdmitted(
                work.request.id,
                work.route.name,
                account,
                work.service,
                work.remaining_s(now),
                self.config_version,
                self.config_age_s,
            )
        )

    def record_choice(self, work: InFlightRequest, seconds: float) -> None:
        """Record how long the choice of an endpoint took, also if it ended in a refusal."""
        self._metrics.record_latency("choice", work.service, seconds)

    def record_send(
        self,
        work: InFlightRequest,
        send: SendDecision,
        now: float,
        is_resumed: bool,
        helper: str = "",
    ) -> None:
        """Record a send to an endpoint.

        Parameters
        ----------
        helper : str
            Peer address of the host that relays the connection; empty for none.
        """
        if work.sends > 1:
            self._metrics.count_event("resumed" if is_resumed else "sent_again")
        endpoint = send.estimate.endpoint
        kept_from, asked_s_ago = "", None
        if send.kept_from is not None:
            self._metrics.count_event("moved_by_hold_off")
            kept_from = send.kept_from.instance_id
            asked_s_ago = now - send.kept_from.hold_off.asked_at
        listing = self.describe_listing(endpoint.record.instance_id, now)
        write_event(
            events.RequestSent(
                work.request.id,
                work.sends,
                endpoint.record.instance_id,
                endpoint.record.zone,
                endpoint.record.version,
                send.size or "",
                send.estimate.first_event_s,
                endpoint.load,
                send.estimate.queue_s,
                work.remaining_s(now),
                is_resumed,
                send.reason.value,
                "" if work.request.session_id is None else f"{work.request.session_hash:08x}",
                helper,
                kept_from,
                asked_s_ago,
                listing.age_s,
                listing.proven_by,
                listing.is_lapsed,
            )
        )

    def record_asked(self, work: InFlightRequest, asked: AskedZone) -> None:
        """Record that a host of another zone was asked for an endpoint, and how that ended."""
        self._metrics.count_event(f"zone_asked_{asked.outcome.value}")
        write_event(
            events.EndpointAsked(
                work.request.id,
                asked.zone,
                asked.outcome.value,
                asked.seconds,
                asked.expected_s,
                asked.host,
                asked.endpoint,
            )
        )

    def record_session_unanswered(self) -> None:
        """Record that too few owners of a session answered in time whether it is pinned."""
        self._metrics.count_event("session_unanswered")

    def record_failure(
        self, work: InFlightRequest, send: SendDecision, failure: Failure, is_last: bool
    ) -> None:
        """Record a failed send, which counts as a retry unless the request ends with it."""
        reason = failure_label(failure)
        self._metrics.count_event(f"send_failed_{reason}")
        if not is_last:
            self._metrics.count_retry(reason)
        write_event(
            events.SendFailed(
                work.request.id,
                send.estimate.endpoint.record.instance_id,
                reason,
                repr(failure),
                may_have_run(failure),
            )
        )

    def record_escalation(
        self, work: InFlightRequest, confidence: float, decision: SizeDecision
    ) -> None:
        """Record that an answer is discarded and a larger model asked."""
        self._metrics.count_retry("larger_model")
        write_event(
            events.LargerModelAsked(
                work.request.id,
                confidence,
                work.model_size or "",
                decision.gain,
                decision.queue,
            )
        )

    def record_kept(self, decision: SizeDecision) -> None:
        """Record that no larger model is asked; counted if the answer is of low confidence."""
        if decision.kept is not None and decision.kept.is_low_confidence:
            self._metrics.count_event(f"larger_model_not_asked_{decision.kept.value}")

    def record_first_event(self, work: InFlightRequest, attempt: Attempt) -> None:
        """Record the time to the first event, or to the answer of a plain service."""
        if attempt.first_event_at is not None:
            taken_s = attempt.first_event_at - work.arrived_at
            self._metrics.record_latency("first", work.route.name, taken_s)

    def record_rate_limit(self, attempt: Attempt) -> None:
        """Record that an endpoint has changed its rate limit."""
        endpoint = attempt.estimate.endpoint
        self._metrics.count_event("rate_limit_changed")
        write_event(
            events.EndpointRateLimited(
                endpoint.record.instance_id, endpoint.rate_limit_per_s, "answer"
            )
        )

    def record_hold_off(
        self, work: InFlightRequest, endpoint: EndpointState, seconds: float
    ) -> None:
        """Record that an endpoint wants no request from this host for a while."""
        self._metrics.count_event("hold_off_asked")
        write_event(events.HoldOffAsked(endpoint.record.instance_id, seconds, work.request.id))

    def record_leaving(self, endpoint: EndpointState) -> None:
        """Record that an endpoint's answer says that it is leaving."""
        self._metrics.count_event("leaving_announced")
        write_event(events.LeavingAnnounced(endpoint.record.instance_id, "answer"))

    def record_misread_headers(self, count: int) -> None:
        """Record headers of an endpoint whose values were ignored or bounded."""
        self._metrics.count_event("answer_header_misread", count)

    def record_brittle(self, service: str, tolerated: int | None) -> None:
        """Record that the endpoints of a service fall over when they reject too many requests."""
        self._metrics.count_event("service_brittle")
        write_event(events.ServiceBrittle(service, tolerated, "answer"))

    def record_answer(
        self, work: InFlightRequest, status: int, attempt: Attempt | None = None
    ) -> None:
        """Record an answer to the caller.

        Parameters
        ----------
        attempt : Attempt, optional
            The attempt that was answered completely; None for an error answer of an endpoint.
        """
        took_s = seconds_since_boot() - work.arrived_at
        self._metrics.record_latency("whole", work.route.name, took_s)
        event = events.RequestAnswered(work.request.id, work.route.name, status, work.sends, took_s)
        if attempt is not None and attempt.first_event_at is not None:
            event = msgspec.structs.replace(
                event,
                first_s=attempt.first_event_at - work.arrived_at,
                pause_s=attempt.max_gap_s,
                target_s=work.route.latency.target_s,
                most_pause_s=work.route.latency.event_gap_s,
                model=attempt.size or "",
                confidence=attempt.confidence,
            )
        write_event(event)

    def record_early_refusal(self, request: Request, refusal: Refusal) -> None:
        """Record a refusal before admission."""
        self._write_refusal(request.id, "", refusal, 0, 0.0)

    def record_refusal(self, work: InFlightRequest, refusal: Refusal, is_started: bool) -> None:
        """Record a refusal after admission, or an aborted answer."""
        took_s = seconds_since_boot() - work.arrived_at
        if not is_started:
            self._write_refusal(work.request.id, work.route.name, refusal, work.sends, took_s)
            return
        self._metrics.count_event("broken_off")
        write_event(
            events.AnswerBroken(
                work.request.id,
                work.route.name,
                refusal.kind.value,
                refusal.message,
                work.sends,
                took_s,
                work.last_event_id or 0,
            )
        )

    def record_slow_caller(self) -> None:
        """Record that a stream is ended whose caller has not read it by its deadline."""
        self._metrics.count_event("slow_caller_ended")

    def record_disconnect(self, work: InFlightRequest) -> None:
        """Record that the caller closed its connection."""
        self._metrics.count_event("caller_left")
        took_s = seconds_since_boot() - work.arrived_at
        write_event(events.CallerLeft(work.request.id, work.route.name, work.sends, took_s))

    def _write_refusal(
        self, request_id: str, route: str, refusal: Refusal, sends: int, took_s: float
    ) -> None:
        self._metrics.count_refusal(refusal.kind)
        if refusal.message == ALL_HELD_OFF:
            self._metrics.count_event("refused_by_hold_off")
        answer = response_for(refusal.kind)
        write_event(
            events.RequestRefused(
                request_id,
                route,
                refusal.kind.value,
                refusal.message,
                answer.status,
                answer.not_run.value,
                sends,
                took_s,
                self.config_version,
                self.config_age_s,
                refusal.detail,
            )
        )
