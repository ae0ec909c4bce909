"""Refuses requests that crash endpoints, and watches which endpoint works on what."""

from poplarrun.crashes import CrashWatch, EndpointStart, SentRequest
from poplarrun.dispatch._failures import Attempt, ConnectionBroke, CutOffUnread, Failure
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.placement import EndpointRecord
from poplarrun.routing import InFlightRequest, Request

_QUARANTINED = "a part of this prompt crashes endpoints"


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

    def record_failed(self, attempt: Attempt, failure: Failure, now: float) -> None:
        """Record that an attempt failed."""
        is_broken = isinstance(failure, ConnectionBroke | CutOffUnread)
        self.watch.record_closed(attempt, is_broken, now)

    def record_closed(self, attempt: Attempt) -> None:
        """Record that an attempt has ended otherwise."""
        self.watch.record_closed(attempt, False, 0.0)

    def is_suspect(self, work: InFlightRequest, now: float) -> bool:
        """Return whether a request may have crashed an endpoint, so that it isn't sent twice."""
        return self.watch.is_suspect(_prompt_of(work.request), now)

    def is_cleared(self, work: InFlightRequest, now: float) -> bool:
        """Return whether a request can't be the cause of a crash."""
        return self.watch.is_cleared(_prompt_of(work.request), now)

    def refuse(self, request: Request, now: float) -> Refusal | None:
        """Refuse a request whose prompt crashes endpoints, and which has not been sent."""
        quarantine = self.watch.find_quarantine(_prompt_of(request), now)
        if quarantine is None:
            return None
        detail = ", ".join(sorted(quarantine.parts))
        return Refusal(ErrorKind.PROMPT_QUARANTINED, _QUARANTINED, detail=detail)

    def refuse_in_flight(self, work: InFlightRequest, now: float) -> Refusal | None:
        """Refuse a request whose prompt crashes endpoints, and which may have been sent."""
        refusal = self.refuse(work.request, now)
        if refusal is None or not work.may_have_run:
            return refusal
        return Refusal(ErrorKind.ENDPOINT_FAILED, _QUARANTINED, detail=refusal.detail)


def _prompt_of(request: Request) -> list[str]:
    return [part.key for part in request.prompt_parts]
