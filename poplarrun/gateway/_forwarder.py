"""Forwarding of one request: sends, failures, retries at other endpoints, and the answer."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from poplarrun.dispatch import (
    AnswerFailed,
    Attempt,
    ConnectionBroke,
    CutOffUnread,
    Dispatcher,
    Failure,
    Garbled,
    NoConnection,
    SaidNotRun,
    SendDecision,
    TookTooLong,
    Withheld,
    can_abandon,
    event_gap_timeout_s,
    first_event_timeout_s,
)
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.gateway._answer_reader import AnswerReader, WaitEnded
from poplarrun.gateway._answer_room import AnswerRoom, KeptAnswer
from poplarrun.gateway._connector import EndpointConnector, EndpointWithheld
from poplarrun.gateway._crash_probe import CrashProbe
from poplarrun.gateway._endpoint_offers import EndpointOffers
from poplarrun.gateway._event_stream import Event, EventParser, MalformedStream
from poplarrun.gateway._listing_check import ListingCheck
from poplarrun.gateway._records import RequestRecorder
from poplarrun.gateway._sessions import SessionLookup
from poplarrun.gateway._statements import StatementReader
from poplarrun.platform import (
    NOT_RUN_STATUSES,
    OTHER_INSTANCE_STATUS,
    EndpointAnswer,
    decode_answer,
    encode_request_headers,
)
from poplarrun.relays import EndpointConnection
from poplarrun.routing import InFlightRequest, RepeatPolicy
from poplarrun.transport import (
    CallerConnection,
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectionPool,
    RequestWithheld,
    ResponseHead,
    seconds_since_boot,
)

SUCCESS_STATUSES = range(200, 300)
# How long an answer waits while callers that read slowly take the room, longer than the time after
# which they may lose their answers.
MAX_ROOM_WAIT_S = 1.0
ROOM_POLL_INTERVAL_S = 0.05
# Time that must be left for another run when a host is stopping, as a multiple of the time for
# which the one before was waited for.
RERUN_TIME_FACTOR = 2.0
# Bytes of an answer without an event that continues it, after which it isn't read any more.
MAX_STALE_BYTES = 64 * 1024


class AttemptError(Exception):
    """Raised with the failure of one send while its answer is read."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class RefusedError(Exception):
    """Raised with a refusal in place of sending the request."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass(slots=True)
class _OpenAnswer:
    """A send of which the head of the answer has arrived.

    Attributes
    ----------
    is_framed : bool
        Whether a length or chunks tell the answer's end.
    last_event_id : int, optional
        Id of the last event of this answer.
    stale_bytes : int
        Bytes since then of which no event came that continues the answer.
    """

    attempt: Attempt
    connection: ClientConnection
    answer: EndpointAnswer
    is_framed: bool
    last_event_id: int | None = None
    stale_bytes: int = 0

    def count_progress(self, events: list[Event]) -> int:
        """Return how many of some events continue the answer, and count the other bytes."""
        progress = 0
        for event in events:
            if event.id is not None and (
                self.last_event_id is None or event.id > self.last_event_id
            ):
                self.last_event_id, self.stale_bytes = event.id, 0
                progress += 1
            else:
                self.stale_bytes += len(event.data)
        return progress


@dataclass(frozen=True, slots=True)
class _CompleteAnswer:
    """An answer that was read completely."""

    answer: EndpointAnswer
    body: bytes


class RequestForwarder:
    """Forwards one admitted request.

    Parameters
    ----------
    caller : CallerConnection
        Gets the answer; the forwarding is cancelled when it disconnects.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        connector: EndpointConnector,
        caller: CallerConnection,
        work: InFlightRequest,
        recorder: RequestRecorder,
        sessions: SessionLookup,
        offers: EndpointOffers,
        crash_probe: CrashProbe,
        listing_check: ListingCheck,
        room: AnswerRoom,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._connector = connector
        self._caller = caller
        self._work = work
        self._recorder = recorder
        self._statements = StatementReader(dispatcher, recorder)
        self._sessions = sessions
        self._offers = offers
        self._crash_probe = crash_probe
        self._listing_check = listing_check
        self._room = room
        self._is_started = False
        self._is_caller_slow = False
        self._timeout: asyncio.Timeout | None = None
        self._host_ends_at: float | None = None
        self._error_answer: _CompleteAnswer | None = None
        self._attempt: Attempt | None = None
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Answer the caller with a complete answer, a refusal, or an aborted answer."""
        work = self._work
        try:
            remaining_s = max(0.0, work.remaining_s(seconds_since_boot()))
            async with asyncio.timeout(remaining_s) as self._timeout:
                refusal = await self._try_endpoints()
        except TimeoutError:
            if self._host_ends_at == work.deadline_at:
                refusal = self._stop_refusal()
            elif self._is_caller_slow:
                self._recorder.record_slow_caller()
                refusal = Refusal(ErrorKind.ANSWER_INCOMPLETE, "the caller reads too slowly")
            else:
                self._fail_attempt(TookTooLong(seconds_since_boot() - work.arrived_at))
                refusal = self._timeout_refusal()
        except asyncio.CancelledError:
            self._recorder.record_disconnect(work)
            raise
        finally:
            self._cancel_attempt()
        if refusal is not None:
            self._refuse(refusal)

    def end_by(self, at: float) -> None:
        """Have the caller answered by a time, since this host is stopping.

        Parameters
        ----------
        at : float
            By ``seconds_since_boot``. An earlier deadline of the caller stays.
        """
        if at >= self._work.deadline_at:
            return
        self._host_ends_at = self._work.deadline_at = at
        if self._timeout is not None and not self._timeout.expired():
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time() + at - seconds_since_boot())

    async def _try_endpoints(self) -> Refusal | None:
        """Send until the caller has a complete answer, or no further send is allowed.

        Returns None in the first case and the refusal in the second. The loop repeats after a
        failure that may be retried, and after an answer that is discarded to ask a larger model.
        """
        # During a roll-out's trial, a session that used the old version must stay on it. Only the
        # session's owners may know that it did, so they are queried before the first choice.
        if not await self._sessions.resolve(self._work):
            self._recorder.record_session_unanswered()
        while True:
            decision = await self._choose_endpoint()
            if isinstance(decision, Refusal):
                return decision
            try:
                if await self._send_once(decision):
                    return None
            except RefusedError as error:
                return error.refusal
            except AttemptError as error:
                record = decision.estimate.endpoint.record
                await self._crash_probe.check(self._work, record, self._attempt, error.failure)
                await self._listing_check.check(self._work, self._attempt, error.failure)
                refusal = self._handle_failure(decision, error.failure)
                if refusal is not None:
                    return refusal
                self._caller.unshield()
                if isinstance(error.failure, CutOffUnread):
                    # The next endpoint would cut off its answer as well.
                    await self._wait_for_caller(self._caller.wait_until_sent())

    async def _choose_endpoint(self) -> SendDecision | Refusal:
        """Choose where to send next; another zone may be asked for an endpoint first."""
        now = seconds_since_boot()
        decision = self._dispatcher.choose_endpoint(self._work, now)
        self._recorder.record_choice(self._work, seconds_since_boot() - now)
        if isinstance(decision, Refusal):
            return decision
        return await self._offers.resolve(
            self._work, decision, self._dispatcher, self._recorder.record_asked
        )

    async def _send_once(self, decision: SendDecision) -> bool:
        """Send once; return False if a larger model should be asked instead."""
        is_stream = self._work.route.repeat_policy is RepeatPolicy.STREAM
        open_answer = await self._send_and_read_head(decision)
        answer = open_answer.answer
        if answer.status not in SUCCESS_STATUSES:
            await self._read_error_answer(open_answer)
        elif not is_stream:
            await self._forward_complete(open_answer)
        elif self._escalate(open_answer):
            return False
        else:
            await self._forward_stream(open_answer)
        return True

    def _escalate(self, open_answer: _OpenAnswer) -> bool:
        """Discard an answer of low confidence of which the caller has got nothing yet."""
        confidence = open_answer.answer.confidence
        now = seconds_since_boot()
        if self._is_started or confidence is None:
            return False
        decision = self._dispatcher.try_escalate(self._work, open_answer.attempt, confidence, now)
        if not decision.is_asked:
            self._recorder.record_kept(decision)
            return False
        self._attempt = None
        self._abort_connection()
        self._recorder.record_escalation(self._work, confidence, decision)
        return True

    async def _send_and_read_head(self, decision: SendDecision) -> _OpenAnswer:
        """Connect, send, and wait for the head of the answer."""
        way = await self._connect(decision)
        connection = way.connection
        self._connection = connection
        work = self._work
        # There must be no await between this check and the send: after waiting, or after a
        # suspension of the host, a request could be sent that has to be refused by then.
        now = seconds_since_boot()
        refusal = self._dispatcher.recheck(work, now)
        if refusal is not None:
            raise RefusedError(refusal)
        if not self._dispatcher.may_send(work, decision.estimate.endpoint, now):
            raise AttemptError(Withheld())
        if not self._dispatcher.may_use_version(work, decision, now):
            raise AttemptError(Withheld())
        instance_id = decision.estimate.endpoint.record.instance_id
        is_resumed, work.model_size = work.last_event_id is not None, decision.size
        headers = encode_request_headers(work, instance_id, work.remaining_s(now), decision.urgency)
        request = work.request
        is_sent = connection.send(request.method, request.target, headers, request.body)
        if not is_sent:
            raise AttemptError(NoConnection("connection closed before the send"))
        attempt = self._dispatcher.record_sent(work, decision, now)
        self._attempt = attempt
        self._caller.is_shielded = work.route.outlives_caller
        self._recorder.record_send(work, decision, now, is_resumed, way.helper)
        try:
            head = await self._wait_for_head(connection, attempt)
        except RequestWithheld as error:
            raise AttemptError(Withheld()) from error
        except ConnectionBroken as error:
            raise AttemptError(ConnectionBroke(str(error))) from error
        answer = decode_answer(head.status, head.headers)
        attempt.confidence = answer.confidence
        self._check_answer(answer, connection)
        return _OpenAnswer(attempt, connection, answer, head.is_framed)

    async def _wait_for_head(self, connection: ClientConnection, attempt: Attempt) -> ResponseHead:
        timeout_s = first_event_timeout_s(self._work, attempt.estimate)
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await connection.read_head()
            except TimeoutError as error:
                waited_s = seconds_since_boot() - attempt.sent_at
                if self._can_begin_anew(attempt):
                    raise AttemptError(TookTooLong(waited_s)) from error

    def _can_begin_anew(self, attempt: Attempt) -> bool:
        """Return whether another run may end in time, if the host stops before the deadline.

        It takes longer than this one was waited for.
        """
        if self._host_ends_at is None or attempt.first_event_at is not None:
            return True
        now = seconds_since_boot()
        waited_s = now - attempt.sent_at
        return self._work.remaining_s(now) >= RERUN_TIME_FACTOR * waited_s

    async def _connect(self, decision: SendDecision) -> EndpointConnection:
        record = decision.estimate.endpoint.record
        # A retry gets a new connection: the one before may have failed because the path is lost,
        # and only a new connection tells that.
        if self._work.route.can_reuse_connection and self._work.failures == 0:
            idle = self._connector.acquire_idle(record)
            if idle is not None:
                return idle
        try:
            return await self._connector.open(record, self._work.request.id)
        except EndpointWithheld as error:
            raise AttemptError(Withheld()) from error
        except ConnectFailed as error:
            raise AttemptError(NoConnection(str(error))) from error

    def _check_answer(self, answer: EndpointAnswer, connection: ClientConnection) -> None:
        """Raise unless the endpoint ran the request and the answer surely belongs to it.

        An endpoint's statement that it did not run the request is told apart from bytes that
        answer something else.
        """
        answers_request = answer.request_id == self._work.request.id
        if answer.request_id is not None and not answers_request:
            raise AttemptError(Garbled("answers another request"))
        is_other_instance = answer.status == OTHER_INSTANCE_STATUS
        # Without a request id, only the first answer on a connection surely belongs to this one.
        is_rejection = answer.is_not_run and (answers_request or connection.uses == 1)
        is_trusted = (answers_request or is_rejection) and not is_other_instance
        if self._attempt is not None and is_trusted:
            self._statements.read(self._work, self._attempt, answer)
        if is_rejection:
            raise AttemptError(SaidNotRun(answer.status, is_other_instance))
        if not answer.is_signed or not answers_request:
            raise AttemptError(Garbled("has no signature or no request id"))

    async def _forward_complete(self, open_answer: _OpenAnswer) -> None:
        body = await self._read_body(open_answer)
        now = seconds_since_boot()
        self._dispatcher.record_first_event(self._work, open_answer.attempt, now)
        self._recorder.record_first_event(self._work, open_answer.attempt)
        self._complete(open_answer, now)
        self._is_started = True
        self._caller.respond(open_answer.answer.status, list(open_answer.answer.headers), body)

    async def _read_error_answer(self, open_answer: _OpenAnswer) -> None:
        """Keep an error answer of the endpoint; the caller gets it if no better one follows."""
        body = await self._read_body(open_answer)
        self._release_connection(open_answer)
        self._error_answer = _CompleteAnswer(open_answer.answer, body)
        raise AttemptError(AnswerFailed(open_answer.answer.status))

    async def _read_body(self, open_answer: _OpenAnswer) -> bytes:
        reader = self._create_reader(open_answer, open_answer.attempt.sent_at)
        parts: list[bytes] = []
        size = 0
        with self._room.enter() as kept:
            try:
                while (data := await reader.read()) is not None:
                    parts.append(data)
                    size += len(data)
                    if not await self._try_keep(open_answer, kept, size):
                        raise AttemptError(Garbled("the answer exceeds the size limit"))
            except WaitEnded as error:
                raise AttemptError(TookTooLong(error.waited_s)) from error
            except ConnectionBroken as error:
                raise AttemptError(ConnectionBroke(str(error))) from error
            return b"".join(parts)

    async def _try_keep(self, open_answer: _OpenAnswer, kept: KeptAnswer, size: int) -> bool:
        """Keep bytes of an answer, if need be once callers that don't read have lost theirs."""
        waits_until = seconds_since_boot() + MAX_ROOM_WAIT_S
        while not kept.try_keep(size):
            if self._room.unsent == 0 or seconds_since_boot() > waits_until:
                return False
            open_answer.connection.pause_reading()
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
        return True

    async def _forward_stream(self, open_answer: _OpenAnswer) -> None:
        parser = EventParser()
        reader = self._create_reader(open_answer, seconds_since_boot())
        with self._room.enter() as kept:
            try:
                while (data := await reader.read()) is not None:
                    events = parser.feed(data)
                    if events and await self._forward_events(open_answer, events):
                        reader.wait_anew(event_gap_timeout_s(self._work))
                    if not await self._try_keep(open_answer, kept, parser.incomplete_bytes):
                        raise AttemptError(Garbled("an event exceeds the size limit"))
            except WaitEnded as error:
                raise AttemptError(TookTooLong(error.waited_s)) from error
            except ConnectionBroken as error:
                raise AttemptError(_explain_break(open_answer.attempt, error)) from error
            except MalformedStream as error:
                raise AttemptError(ConnectionBroke(str(error))) from error
        if not parser.is_at_boundary:
            raise AttemptError(ConnectionBroke("ended inside an event"))
        if not open_answer.is_framed and self._is_without_event(open_answer.attempt):
            raise AttemptError(ConnectionBroke("ended before the first event"))
        if not self._is_started:
            self._caller.start_stream(open_answer.answer.status, list(open_answer.answer.headers))
            self._is_started = True
        self._end_attempt(open_answer, seconds_since_boot())
        # The place at the endpoint is free, and the one at this host is until the deadline.
        await self._wait_for_caller(self._caller.wait_until_sent())
        self._recorder.record_answer(self._work, open_answer.answer.status, open_answer.attempt)
        self._caller.end_response()

    def _create_reader(self, open_answer: _OpenAnswer, waits_since: float) -> AnswerReader:
        attempt = open_answer.attempt
        timeout_s = first_event_timeout_s(self._work, attempt.estimate)
        return AnswerReader(
            open_answer.connection, waits_since, timeout_s, lambda: self._can_abandon(attempt)
        )

    def _can_abandon(self, attempt: Attempt) -> bool:
        now = seconds_since_boot()
        budget = self._dispatcher.retry_budgets.budget(self._work.service, now)
        return can_abandon(self._work, budget, now) and self._can_begin_anew(attempt)

    def _is_without_event(self, attempt: Attempt) -> bool:
        """Return whether a stream from its beginning has brought no event; a resumed one may."""
        work = self._work
        is_resumed = work.last_event_id is not None or work.request.resume_after is not None
        return attempt.event_count == 0 and not is_resumed

    async def _forward_events(self, open_answer: _OpenAnswer, events: list[Event]) -> bool:
        """Forward complete events to the caller, each once and in order.

        Returns
        -------
        bool
            Whether any of them continues the answer. Others are passed on, up to a size.
        """
        progress = open_answer.count_progress(events)
        if progress:
            self._record_progress(open_answer.attempt, progress)
        elif open_answer.stale_bytes > MAX_STALE_BYTES:
            raise AttemptError(Garbled(f"no further event in {open_answer.stale_bytes} bytes"))
        await self._pass_on(open_answer, self._select_new_events(events))
        return progress > 0

    def _record_progress(self, attempt: Attempt, events: int) -> None:
        now = seconds_since_boot()
        if attempt.first_event_at is None:
            self._dispatcher.record_first_event(self._work, attempt, now)
            self._recorder.record_first_event(self._work, attempt)
        attempt.record_events(events, now)

    async def _pass_on(self, open_answer: _OpenAnswer, new_events: list[Event]) -> None:
        """Send events to the caller, once it has read enough."""
        if not new_events:
            return
        if not self._is_started:
            self._is_started = True
            self._caller.start_stream(open_answer.answer.status, list(open_answer.answer.headers))
        data = b"".join(event.data for event in new_events)
        if self._caller.has_room:
            await self._caller.send_chunk(data)
            return
        open_answer.connection.pause_reading()
        open_answer.attempt.leave_unread(seconds_since_boot())
        await self._wait_for_caller(self._caller.send_chunk(data))
        open_answer.attempt.read_on(seconds_since_boot())

    async def _wait_for_caller(self, wait: Coroutine[Any, Any, None]) -> None:
        self._is_caller_slow = True
        await wait
        self._is_caller_slow = False

    def _select_new_events(self, events: list[Event]) -> list[Event]:
        """Return the events that follow those that the caller already has."""
        work = self._work
        new_events = []
        for event in events:
            if event.id is None:
                new_events.append(event)
                continue
            last_event_id = work.last_event_id
            if last_event_id is not None and event.id <= last_event_id:
                continue
            if last_event_id is not None and event.id > last_event_id + 1:
                raise AttemptError(Garbled(f"event {event.id} follows {last_event_id}"))
            work.last_event_id = event.id
            new_events.append(event)
        return new_events

    def _end_attempt(self, open_answer: _OpenAnswer, now: float) -> None:
        self._attempt = None
        self._release_connection(open_answer)
        self._dispatcher.record_completed(self._work, open_answer.attempt, now)

    def _complete(self, open_answer: _OpenAnswer, now: float) -> None:
        self._end_attempt(open_answer, now)
        self._recorder.record_answer(self._work, open_answer.answer.status, open_answer.attempt)

    def _release_connection(self, open_answer: _OpenAnswer) -> None:
        self._connection = None
        endpoint = open_answer.attempt.estimate.endpoint
        max_idle = self._dispatcher.max_idle_connections(self._work, endpoint, seconds_since_boot())
        self._pool.release(open_answer.connection, endpoint.record.instance_id, max_idle)

    def _handle_failure(self, decision: SendDecision, failure: Failure) -> Refusal | None:
        """Record a failed send; return a refusal unless it is to be retried."""
        attempt, self._attempt = self._attempt, None
        self._abort_connection()
        refusal = self._dispatcher.handle_failure(
            self._work, decision.estimate.endpoint, attempt, failure, seconds_since_boot()
        )
        self._recorder.record_failure(self._work, decision, failure, refusal is not None)
        return refusal

    def _fail_attempt(self, failure: Failure) -> None:
        if self._attempt is not None:
            endpoint = self._attempt.estimate.endpoint
            attempt, self._attempt = self._attempt, None
            self._dispatcher.handle_failure(
                self._work, endpoint, attempt, failure, seconds_since_boot()
            )

    def _cancel_attempt(self) -> None:
        """Cancel what is still in progress at an endpoint, since nobody waits for it."""
        if self._attempt is not None:
            self._dispatcher.record_cancelled(self._attempt, seconds_since_boot())
            self._attempt = None
        self._abort_connection()

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _timeout_refusal(self) -> Refusal:
        if self._work.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_SILENT, "no answer in time")
        return Refusal(ErrorKind.DEADLINE_UNREACHABLE, "no endpoint in time", retry_after_s=0.0)

    def _stop_refusal(self) -> Refusal:
        """Refuse a request that is not answered before this host ends."""
        if self._attempt is not None or self._work.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_FAILED, "the host stops, the answer is incomplete")
        return Refusal(ErrorKind.STOPPING, "host stops")

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse the request, or abort the answer if it has begun."""
        if self._is_started:
            self._recorder.record_refusal(self._work, refusal, True)
            self._caller.abort_response()
            return
        if self._error_answer is not None:
            answer = self._error_answer.answer
            if self._may_pass_on(answer.status):
                self._recorder.record_answer(self._work, answer.status)
                self._caller.respond(answer.status, list(answer.headers), self._error_answer.body)
                return
            text = f"an endpoint ran it and answered {answer.status}"
            refusal = Refusal(ErrorKind.ENDPOINT_FAILED, text)
        self._recorder.record_refusal(self._work, refusal, False)
        respond_refusal(self._caller, refusal)

    def _may_pass_on(self, status: int) -> bool:
        """Return whether the caller may get an endpoint's error status as it is.

        The caller of a request that may run only once takes some statuses as leave to send it
        again, although the endpoint has run it.
        """
        return self._work.route.can_repeat or status not in NOT_RUN_STATUSES


def _explain_break(attempt: Attempt, error: ConnectionBroken) -> Failure:
    """Return why an answer broke: its endpoint, or its caller who did not read it."""
    if attempt.is_cut_off_unread(seconds_since_boot()):
        return CutOffUnread(attempt.unread_s)
    return ConnectionBroke(str(error))


def respond_refusal(caller: CallerConnection, refusal: Refusal) -> None:
    """Send a refusal to the caller; 429 and 503 promise that the request has not run."""
    answer = response_for(refusal.kind)
    headers = [(b"Content-Type", b"text/plain")]
    retry_s = refusal.retry_after_s if refusal.retry_after_s is not None else answer.retry_after_s
    if retry_s is not None and answer.not_run is NotRun.YES:
        headers.append((b"Retry-After", f"{retry_s:.2f}".encode()))
    caller.respond(answer.status, headers, f"{refusal.kind.value}: {refusal.message}".encode())
