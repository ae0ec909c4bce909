"""Sends copies of requests to an endpoint of a new version, and drops the answers."""

import asyncio
from dataclasses import dataclass

from poplarrun.dispatch import (
    Attempt,
    ConnectionBroke,
    CopyOutcome,
    CopySend,
    Dispatcher,
    SaidNotRun,
)
from poplarrun.gateway._answer_reader import AnswerReader
from poplarrun.gateway._connector import EndpointConnector
from poplarrun.gateway._crash_probe import CrashProbe
from poplarrun.gateway._records import RequestRecorder
from poplarrun.gateway._statements import StatementReader
from poplarrun.metrics import Metrics
from poplarrun.placement import EndpointEstimate
from poplarrun.platform import LOWEST_PRIORITY, decode_answer, encode_request_headers
from poplarrun.transport import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    RequestWithheld,
    seconds_since_boot,
)

SUCCESS_STATUSES = range(200, 300)


class CopySender:
    """Sends copies, and counts each answer that goes well until its copy ends, or fails."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        connector: EndpointConnector,
        recorder: RequestRecorder,
        metrics: Metrics,
        crash_probe: CrashProbe,
    ) -> None:
        self._dispatcher = dispatcher
        self._crash_probe = crash_probe
        self._connector = connector
        self._statements = StatementReader(dispatcher, recorder)
        self._metrics = metrics

    async def send(self, copy: CopySend) -> CopyOutcome:
        """Send one copy, and keep its slot until the test ends or the answer is complete."""
        endpoint = copy.endpoint
        exchange = _Exchange()
        endpoint.in_flight += 1
        try:
            async with asyncio.timeout(max(0.0, copy.ends_at - seconds_since_boot())):
                way = await self._connector.open(endpoint.record, copy.work.request.id)
                exchange.connection = way.connection
                exchange.attempt = self._start(copy, way.connection)
                if exchange.attempt is not None:
                    await self._read(copy, exchange, exchange.attempt)
        except TimeoutError:
            if exchange.attempt is not None and not copy.has_begun:
                exchange.outcome = copy.outcome_of_silence
        except ConnectFailed:
            # Nothing was sent, which tells nothing.
            pass
        finally:
            endpoint.in_flight = max(0, endpoint.in_flight - 1)
            if exchange.connection is not None:
                exchange.connection.abort()
            self._record_closed(copy, exchange)
            self._record_outcome(copy, exchange.outcome)
            self._metrics.count_event(f"copy_{exchange.outcome.value}")
        return exchange.outcome

    def _start(self, copy: CopySend, connection: ClientConnection) -> Attempt | None:
        """Hand the copy to the socket; None if it must not be sent any more."""
        now = seconds_since_boot()
        work, endpoint = copy.work, copy.endpoint
        is_allowed = self._dispatcher.recheck(work, now) is None and self._dispatcher.may_send(
            work, endpoint, now
        )
        if not is_allowed:
            return None
        headers = encode_request_headers(
            work, endpoint.record.instance_id, work.remaining_s(now), LOWEST_PRIORITY
        )
        request = work.request
        if not connection.send(request.method, request.target, headers, request.body):
            return None
        endpoint.record_send(now)
        copy.record_sent()
        attempt = Attempt(EndpointEstimate(endpoint, 0.0, 0.0, 0), work.model_size, now)
        self._dispatcher.crash_guard.record_sent(work, attempt)
        return attempt

    async def _read(self, copy: CopySend, exchange: "_Exchange", attempt: Attempt) -> None:
        assert exchange.connection is not None
        guard = self._dispatcher.crash_guard
        try:
            head = await exchange.connection.read_head()
            answer = decode_answer(head.status, head.headers)
            if answer.request_id != copy.work.request.id:
                return
            self._statements.read(copy.work, attempt, answer)
            if answer.is_not_run:
                self._record_rejected(copy)
                rejected = SaidNotRun(answer.status)
                guard.record_failed(copy.work, attempt, rejected, seconds_since_boot())
                return
            if answer.status not in SUCCESS_STATUSES:
                exchange.outcome = CopyOutcome.FAILED
                return
            reader = AnswerReader(exchange.connection, attempt.sent_at, None, lambda: False)
            while await reader.read() is not None:
                exchange.outcome = CopyOutcome.BEGUN
                copy.has_begun = True
            guard.record_answered(copy.work, attempt, seconds_since_boot())
        except RequestWithheld:
            return
        except ConnectionBroken as error:
            exchange.outcome = CopyOutcome.FAILED
            broke = ConnectionBroke(str(error))
            guard.record_failed(copy.work, attempt, broke, seconds_since_boot())
            self._crash_probe.start(copy.endpoint.record)

    def _record_closed(self, copy: CopySend, exchange: "_Exchange") -> None:
        """Record that a copy has ended, or was cancelled while its endpoint was at work on it."""
        if exchange.attempt is not None:
            self._dispatcher.crash_guard.record_given_up(exchange.attempt, seconds_since_boot())

    def _record_rejected(self, copy: CopySend) -> None:
        now = seconds_since_boot()
        copy.endpoint.record_overloaded(now)
        copy.endpoint.record_rejected(now)

    def _record_outcome(self, copy: CopySend, outcome: CopyOutcome) -> None:
        if outcome is CopyOutcome.UNANSWERED:
            return
        record = copy.endpoint.record
        is_failure = outcome is CopyOutcome.FAILED
        self._dispatcher.evidence.record_copy(record.service, record.version, copy.load, is_failure)


@dataclass(slots=True)
class _Exchange:
    """The connection of a copy, its send, and how it has ended so far."""

    connection: ClientConnection | None = None
    attempt: Attempt | None = None
    outcome: CopyOutcome = CopyOutcome.UNANSWERED
