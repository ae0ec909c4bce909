"""Refuses requests that crash endpoints, and watches which endpoint works on what."""

from poplarrun.crashes import MAX_ENDS_PER_REQUEST, CrashWatch, EndpointStart, SentRequest
from poplarrun.dispatch._failures import (
    AnswerFailed,
    Attempt,
    ConnectionBroke,
    CutOffUnread,
    Failure,
    Garbled,
    TookTooLong,
)
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import EndpointRecord
from poplarrun.routing import InFlightRequest, Request

PART_QUARANTINED = "a part of this prompt crashes endpoints"
REQUEST_QUARANTINED = "endpoints crashed one after the other under this request"


def start_of(record: EndpointRecord) -> EndpointStart:
    """Return the start of an endpoint that its record describes."""
    return EndpointStart(record.instance_id, record.started_ms)


class CrashGuard:
    """The crashes of endpoints in the terms of requests and attempts."""

    def __init__(self) -> None:
        self.watch = CrashWatch()

    def record_sent(self, work: InFlightRequest, attempt: Attempt) -> None:
        """Record that a request was sent to an endpoint."""
        start = start_of(attempt.estimate.endpoint.record)
        sent = SentRequest(work.request.id, work.fingerprint, attempt.sent_at)
        self.watch.record_sent(attempt, start, _prompt_of(work.request), sent)

    def record_begun(self, attempt: Attempt, now: float) -> None:
        """Record that an endpoint has begun to answer."""
        self.watch.record_begun(attempt, now)

    def record_answered(self, work: InFlightRequest, attempt: Attempt, now: float) -> None:
        """Record a whole answer, whatever its status: the endpoint has borne the request."""
        self.watch.record_closed(attempt, False, now)
        self.watch.requests.record_answered(work.fingerprint, now, now)

    def record_failed(
        self, work: InFlightRequest, attempt: Attempt, failure: Failure, now: float
    ) -> None:
        """Record that an attempt failed."""
        match failure:
            case ConnectionBroke() | CutOffUnread():
                self.watch.record_closed(attempt, True, now)
            case TookTooLong() | Garbled():
                self.watch.record_given_up(attempt, now)
            case AnswerFailed():
                self.record_answered(work, attempt, now)
            case _:
                self.watch.record_closed(attempt, False, now)

    def record_given_up(self, attempt: Attempt, now: float) -> None:
        """Record that this host closed an attempt at which its endpoint may still be at work."""
        self.watch.record_given_up(attempt, now)

    def is_suspect(self, work: InFlightRequest, now: float) -> bool:
        """Return whether a request may have crashed an endpoint, so that it isn't sent twice."""
        return self.watch.is_suspect(_prompt_of(work.request), now)

    def is_cleared(self, work: InFlightRequest, now: float) -> bool:
        """Return whether no endpoint is known to have crashed by a request, or by its parts."""
        parts_cleared = self.watch.is_cleared(_prompt_of(work.request), now)
        return parts_cleared and not self.watch.requests.count(work.fingerprint, now)

    def decides_on_retry(self, work: InFlightRequest, attempt: Attempt, now: float) -> bool:
        """Return whether a request may go on only if the endpoint of an attempt is still up."""
        known_ends = self.watch.requests.count(work.fingerprint, now)
        if known_ends + work.failures >= MAX_ENDS_PER_REQUEST - 1:
            return True
        parts_cleared = self.watch.is_cleared(_prompt_of(work.request), now)
        return attempt.first_event_at is None and not parts_cleared

    def refuse(self, work: InFlightRequest, now: float) -> Refusal | None:
        """Refuse a request that crashes endpoints; one that may have run isn't called not run."""
        part = self.watch.find_quarantine(_prompt_of(work.request), now)
        if part is not None:
            kind, text = ErrorKind.PROMPT_QUARANTINED, PART_QUARANTINED
            detail = ", ".join(sorted(part.parts))
        else:
            ended = self.watch.requests.find_refused(work.fingerprint, now)
            if ended is None:
                return None
            kind, text = ErrorKind.REQUEST_QUARANTINED, REQUEST_QUARANTINED
            detail = ended.describe(now)
        if work.may_have_run:
            kind = ErrorKind.ENDPOINT_FAILED
        return Refusal(kind, text, detail=detail)


def _prompt_of(request: Request) -> list[str]:
    return [part.key for part in request.prompt_parts]
