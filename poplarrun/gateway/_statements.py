"""What endpoints say of themselves in their answers, whatever the request was."""

from poplarrun.dispatch import Attempt, Dispatcher
from poplarrun.gateway._records import RequestRecorder
from poplarrun.platform import EndpointAnswer
from poplarrun.routing import InFlightRequest
from poplarrun.transport import seconds_since_boot


class StatementReader:
    """Passes on what an endpoint says in an answer that surely belongs to its request.

    The answer must be of the endpoint that was meant, not of another one at its address.
    """

    def __init__(self, dispatcher: Dispatcher, recorder: RequestRecorder) -> None:
        self._dispatcher = dispatcher
        self._recorder = recorder

    def read(self, work: InFlightRequest, attempt: Attempt, answer: EndpointAnswer) -> None:
        """Record all statements of an answer."""
        now = seconds_since_boot()
        self._read_rate_limit(attempt, answer, now)
        self._read_brittle(work, attempt, answer, now)
        self._read_hold_off(work, attempt, answer, now)
        self._read_leaving(attempt, answer, now)
        if answer.misread_headers:
            self._recorder.record_misread_headers(len(answer.misread_headers))

    def _read_rate_limit(self, attempt: Attempt, answer: EndpointAnswer, now: float) -> None:
        """Record the rate that it takes from all hosts together."""
        is_run = answer.is_signed and not answer.is_not_run
        if self._dispatcher.record_rate_limit(attempt, answer.rate_limit_per_s, is_run, now):
            self._recorder.record_rate_limit(attempt)

    def _read_brittle(
        self, work: InFlightRequest, attempt: Attempt, answer: EndpointAnswer, now: float
    ) -> None:
        """Record the rejections that its service bears."""
        tolerated = answer.tolerated_rejections
        if self._dispatcher.record_brittle(attempt, tolerated, now):
            self._recorder.record_brittle(work.service, tolerated)

    def _read_hold_off(
        self, work: InFlightRequest, attempt: Attempt, answer: EndpointAnswer, now: float
    ) -> None:
        """Record for how long it wants no request from this host."""
        if answer.hold_off_s > 0.0:
            self._dispatcher.record_hold_off(attempt, answer.hold_off_s, now)
            self._recorder.record_hold_off(work, attempt.estimate.endpoint, answer.hold_off_s)

    def _read_leaving(self, attempt: Attempt, answer: EndpointAnswer, now: float) -> None:
        """Record that it is about to stop."""
        if answer.is_leaving and self._dispatcher.record_leaving(attempt, now):
            self._recorder.record_leaving(attempt.estimate.endpoint)
