"""One request from its arrival to its answer: sends, failures and sends elsewhere."""

import asyncio
from dataclasses import dataclass

from poplarrun.dispatch import (
    Attempt,
    ConnectionLost,
    Dispatcher,
    EndpointErrorResponse,
    Failure,
    Garbled,
    NoConnection,
    NotExecuted,
    ResponseTimeout,
    SendDecision,
    event_gap_timeout_s,
    first_event_timeout_s,
)
from poplarrun.errors import ErrorKind, NotRun, Refusal, response_for
from poplarrun.gateway._event_stream import Event, EventParser, MalformedStream
from poplarrun.gateway._records import RequestRecorder
from poplarrun.gateway._sessions import SessionLookup
from poplarrun.platform import EndpointAnswer, decode_answer, encode_request_headers
from poplarrun.routing import InFlightRequest, RepeatPolicy
from poplarrun.transport import (
    CallerConnection,
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectionPool,
    seconds_since_boot,
)

# Longest wait for a connection, in seconds. Both ways between zones take some 10 ms;
# an opening packet that was dropped is repeated only after a second.
CONNECT_TIMEOUT_S = 0.4
# Largest answer of a plain service that is kept until it is whole, in bytes.
MOST_ANSWER_BYTES = 8 * 1024 * 1024
SUCCESS = range(200, 300)


class AttemptError(Exception):
    """Carries a failure of one send out of the reading of its answer."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class RefusedError(Exception):
    """Carries a refusal out of the step that would have sent the request."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass(slots=True)
class _Open:
    """A send whose answer is awaited."""

    attempt: Attempt
    connection: ClientConnection
    answer: EndpointAnswer


@dataclass(frozen=True, slots=True)
class _Whole:
    """An answer that was read to its end."""

    answer: EndpointAnswer
    body: bytes


class RequestForwarder:
    """One admitted request.

    Parameters
    ----------
    caller : CallerConnection
        Gets the answer; the exchange is cancelled when it leaves.
    """

    def __init__(
        self,
        dispatch: Dispatcher,
        pool: ConnectionPool,
        caller: CallerConnection,
        work: InFlightRequest,
        recorder: RequestRecorder,
        sessions: SessionLookup,
    ) -> None:
        self._dispatch = dispatch
        self._pool = pool
        self._caller = caller
        self._work = work
        self._recorder = recorder
        self._sessions = sessions
        self._is_started = False
        self._failed_answer: _Whole | None = None
        self._attempt: Attempt | None = None
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Answer the caller, by a whole answer, a refusal or a break-off."""
        work = self._work
        try:
            async with asyncio.timeout(max(0.0, work.remaining_s(seconds_since_boot()))):
                refusal = await self._try_endpoints()
        except TimeoutError:
            self._end_attempt(ResponseTimeout(seconds_since_boot() - work.arrived_at))
            refusal = self._out_of_time()
        except asyncio.CancelledError:
            self._recorder.left(work)
            raise
        finally:
            self._drop_attempt()
        if refusal is not None:
            self._refuse(refusal)

    async def _try_endpoints(self) -> Refusal | None:
        """Send until an answer is whole; None when the caller has it."""
        if not await self._sessions.resolve(self._work):
            self._recorder.unanswered()
        while True:
            now = seconds_since_boot()
            step = self._dispatch.choose_endpoint(self._work, now)
            self._recorder.chosen(self._work, seconds_since_boot() - now)
            if isinstance(step, Refusal):
                return step
            try:
                if await self._try_one(step):
                    return None
            except RefusedError as error:
                return error.refusal
            except AttemptError as error:
                refusal = self._learn(step, error.failure)
                if refusal is not None:
                    return refusal

    async def _try_one(self, step: SendDecision) -> bool:
        """Send once; False when a larger model is to be asked instead."""
        is_stream = self._work.route.repeat_policy is RepeatPolicy.STREAM
        opened = await self._open(step)
        answer = opened.answer
        if answer.status not in SUCCESS:
            await self._read_failure(opened)
        elif not is_stream:
            await self._relay_whole(opened)
        elif self._drop_for_larger(opened):
            return False
        else:
            await self._relay_stream(opened)
        return True

    def _drop_for_larger(self, opened: _Open) -> bool:
        """Drop a doubtful answer, of which the caller has seen nothing."""
        confidence = opened.answer.confidence
        now = seconds_since_boot()
        if self._is_started or confidence is None:
            return False
        if not self._dispatch.try_escalate(self._work, opened.attempt, confidence, now):
            return False
        self._attempt = None
        self._abort_connection()
        self._recorder.dropped(self._work, confidence)
        return True

    async def _open(self, step: SendDecision) -> _Open:
        """Connect, send and wait for the head of the answer."""
        connection = await self._connect(step)
        self._connection = connection
        work = self._work
        # Nothing may be awaited between this check and the hand-over: a request that
        # waited, or a host that was suspended, would send what is due to be refused.
        now = seconds_since_boot()
        refusal = self._dispatch.recheck(work, now)
        if refusal is not None:
            raise RefusedError(refusal)
        lifetime = step.estimate.endpoint.record.instance_id
        is_resumed, work.model_size = work.last_event_id is not None, step.size
        headers = encode_request_headers(work, lifetime, work.remaining_s(now), step.urgency)
        request = work.request
        is_sent = connection.send(request.method, request.target, headers, request.body)
        if not is_sent:
            raise AttemptError(NoConnection("closed before the send"))
        attempt = self._dispatch.record_sent(work, step, now)
        self._attempt = attempt
        # What may run only once is left to end although its caller has gone: whether it
        # ran would stay unknown otherwise.
        self._caller.is_shielded = not work.route.can_repeat
        self._recorder.sent(work, step, now, is_resumed)
        patience_s = first_event_timeout_s(work, step.estimate)
        try:
            async with asyncio.timeout(patience_s):
                head = await connection.read_head()
        except TimeoutError as error:
            raise AttemptError(ResponseTimeout(seconds_since_boot() - attempt.sent_at)) from error
        except ConnectionBroken as error:
            raise AttemptError(ConnectionLost(str(error))) from error
        answer = decode_answer(head.status, head.headers)
        attempt.confidence = answer.confidence
        self._check_answer(answer, connection)
        return _Open(attempt, connection, answer)

    async def _connect(self, step: SendDecision) -> ClientConnection:
        listing = step.estimate.endpoint.record
        if self._work.route.can_repeat:
            idle = self._pool.acquire_idle(listing.address, listing.instance_id)
            if idle is not None:
                return idle
        # What may run only once gets a connection of its own: on one that was used
        # before, the endpoint may be closing it, and a late second answer of the
        # request before would be taken for this one's.
        try:
            return await self._pool.open(listing.address, CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise AttemptError(NoConnection(str(error))) from error

    def _check_answer(self, answer: EndpointAnswer, connection: ClientConnection) -> None:
        """Tell apart what the endpoint states, and bytes that answer something else."""
        is_ours = answer.request_id == self._work.request.id
        if answer.request_id is not None and not is_ours:
            raise AttemptError(Garbled("answers another request"))
        # Without an id, only the first answer on a connection is surely this one's.
        if answer.is_not_run and (is_ours or connection.uses == 1):
            raise AttemptError(NotExecuted(answer.status, answer.status == 421))
        if not answer.is_signed or not is_ours:
            raise AttemptError(Garbled("bears no signature"))

    async def _relay_whole(self, opened: _Open) -> None:
        body = await self._read_body(opened)
        now = seconds_since_boot()
        self._dispatch.record_first_event(self._work, opened.attempt, now)
        self._recorder.first(self._work, opened.attempt)
        self._end_well(opened, now)
        self._is_started = True
        self._caller.respond(opened.answer.status, list(opened.answer.headers), body)

    async def _read_failure(self, opened: _Open) -> None:
        """Keep a failure of the endpoint's own; the caller gets it if nothing follows."""
        body = await self._read_body(opened)
        self._give_back(opened)
        self._failed_answer = _Whole(opened.answer, body)
        raise AttemptError(EndpointErrorResponse(opened.answer.status))

    async def _read_body(self, opened: _Open) -> bytes:
        parts: list[bytes] = []
        size = 0
        try:
            while (data := await opened.connection.read_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > MOST_ANSWER_BYTES:
                    raise AttemptError(Garbled("the answer is too large"))
        except ConnectionBroken as error:
            raise AttemptError(ConnectionLost(str(error))) from error
        return b"".join(parts)

    async def _relay_stream(self, opened: _Open) -> None:
        cutter = EventParser()
        patience_s = first_event_timeout_s(self._work, opened.attempt.estimate)
        try:
            while True:
                async with asyncio.timeout(patience_s):
                    data = await opened.connection.read_data()
                if data is None:
                    break
                events = cutter.feed(data)
                if events:
                    await self._pass_on(opened, events)
                    patience_s = event_gap_timeout_s(self._work)
        except TimeoutError as error:
            raise AttemptError(ResponseTimeout(patience_s or 0.0)) from error
        except (ConnectionBroken, MalformedStream) as error:
            raise AttemptError(ConnectionLost(str(error))) from error
        if not cutter.is_at_boundary:
            raise AttemptError(ConnectionLost("ended inside an event"))
        if not self._is_started:
            self._caller.start_stream(opened.answer.status, list(opened.answer.headers))
            self._is_started = True
        self._end_well(opened, seconds_since_boot())
        self._caller.end_response()

    async def _pass_on(self, opened: _Open, events: list[Event]) -> None:
        """Send whole events to the caller, each once and in order."""
        if opened.attempt.first_event_at is None:
            self._dispatch.record_first_event(self._work, opened.attempt, seconds_since_boot())
            self._recorder.first(self._work, opened.attempt)
        opened.attempt.record_events(len(events), seconds_since_boot())
        due = self._due(events)
        if not due:
            return
        if not self._is_started:
            self._is_started = True
            self._caller.start_stream(opened.answer.status, list(opened.answer.headers))
        await self._caller.send_chunk(b"".join(event.data for event in due))

    def _due(self, events: list[Event]) -> list[Event]:
        """Return the events that follow those that the caller has."""
        work = self._work
        due = []
        for event in events:
            if event.id is None:
                due.append(event)
                continue
            before = work.last_event_id
            if before is not None and event.id <= before:
                continue
            if before is not None and event.id > before + 1:
                raise AttemptError(Garbled(f"event {event.id} follows {before}"))
            work.last_event_id = event.id
            due.append(event)
        return due

    def _end_well(self, opened: _Open, now: float) -> None:
        self._attempt = None
        self._give_back(opened)
        self._dispatch.record_completed(self._work, opened.attempt, now)
        self._recorder.answered(self._work, opened.answer.status, opened.attempt)

    def _give_back(self, opened: _Open) -> None:
        self._connection = None
        lifetime = opened.attempt.estimate.endpoint.record.instance_id
        self._pool.release(opened.connection, lifetime)

    def _learn(self, step: SendDecision, failure: Failure) -> Refusal | None:
        """Close a broken send; None where another one follows."""
        attempt, self._attempt = self._attempt, None
        self._abort_connection()
        refusal = self._dispatch.handle_failure(
            self._work, step.estimate.endpoint, attempt, failure, seconds_since_boot()
        )
        self._recorder.failed(self._work, step, failure, refusal is not None)
        return refusal

    def _end_attempt(self, failure: Failure) -> None:
        if self._attempt is not None:
            member = self._attempt.estimate.endpoint
            attempt, self._attempt = self._attempt, None
            self._dispatch.handle_failure(
                self._work, member, attempt, failure, seconds_since_boot()
            )

    def _drop_attempt(self) -> None:
        """Stop what is still under way at an endpoint: nobody waits for it."""
        if self._attempt is not None:
            self._dispatch.record_cancelled(self._attempt)
            self._attempt = None
        self._abort_connection()

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _out_of_time(self) -> Refusal:
        if self._work.may_have_run:
            return Refusal(ErrorKind.ENDPOINT_SILENT, "no answer in time")
        return Refusal(ErrorKind.DEADLINE_UNREACHABLE, "no endpoint in time", retry_after_s=0.0)

    def _refuse(self, refusal: Refusal) -> None:
        """Tell the caller that there is no answer, or break a begun one off."""
        if self._is_started:
            self._recorder.refused(self._work, refusal, True)
            self._caller.abort_response()
            return
        if self._failed_answer is not None:
            answer = self._failed_answer.answer
            self._recorder.answered(self._work, answer.status)
            self._caller.respond(answer.status, list(answer.headers), self._failed_answer.body)
            return
        self._recorder.refused(self._work, refusal, False)
        respond_refusal(self._caller, refusal)


def respond_refusal(caller: CallerConnection, refusal: Refusal) -> None:
    """Answer with a refusal; 429 and 503 promise that the request has not run."""
    answer = response_for(refusal.kind)
    headers = [(b"Content-Type", b"text/plain")]
    retry_s = refusal.retry_after_s if refusal.retry_after_s is not None else answer.retry_after_s
    if retry_s is not None and answer.not_run is NotRun.YES:
        headers.append((b"Retry-After", f"{retry_s:.2f}".encode()))
    caller.respond(answer.status, headers, f"{refusal.kind.value}: {refusal.message}".encode())
