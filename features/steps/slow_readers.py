import asyncio
import contextlib
import re
import resource
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from features.steps.gateway import FLOOD_TIMEOUT_MS, open_raw
from features.steps.unsent_answers import connect_slowly
from poplarrun.dispatch import Attempt, CutOffUnread, TookTooLong, may_have_run
from poplarrun.gateway._answer_room import AnswerRoom
from poplarrun.gateway._forwarder import _explain_break
from poplarrun.placement import EndpointEstimate
from poplarrun.transport import CallerServer, ConnectionBroken, _server, open_connection
from standins._ports import free_port
from standins.installation import Fault

KB = 1024
REQUEST = b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
SMALL_BUFFER_BYTES = 16 * KB
CHUNK = bytes(range(250)) * 4
WAIT_TIMEOUT_S = 20.0
REFUSED = {429, 502, 503, 504}


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, WAIT_TIMEOUT_S))


async def wait_until(condition, timeout_s=WAIT_TIMEOUT_S):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


async def stop_reading(context):
    context.reading.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await context.reading


class Caller:
    """A connection whose bytes are read only when that is asked for."""

    def __init__(self):
        self.received = bytearray()

    async def connect(self, port, data):
        loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.socket.setblocking(False)
        await loop.sock_connect(self.socket, ("127.0.0.1", port))
        await loop.sock_sendall(self.socket, data)
        return self

    async def read(self, size=64 * KB):
        data = await asyncio.get_running_loop().sock_recv(self.socket, size)
        self.received += data
        return data

    async def read_until(self, end, count=1):
        while self.received.count(end) < count:
            assert await self.read(), len(self.received)

    async def read_slowly(self, size, interval_s):
        with contextlib.suppress(ConnectionError):
            while await self.read(size):
                await asyncio.sleep(interval_s)


class Server:
    """A server for callers with a room for answers; its responses are started by the test."""

    def __init__(self, room_bytes):
        self.room = AnswerRoom(room_bytes)
        self.server = CallerServer(self._serve, self._raise)
        self.server.count_unsent = self.room.change_unsent
        self.server.may_keep_unsent = self.room.may_keep_unsent
        self.room.free_unsent = self.server.free_unsent
        self.server.on_slow_ended = self._count_ended
        self.port = free_port()
        self.ended = 0
        self.answered = []
        self.respond = None

    async def start(self):
        await self.server.listen(f"127.0.0.1:{self.port}")
        listening = self.server._servers[0].sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return self

    async def _serve(self, caller, head, body):
        await self.respond(caller)
        self.answered.append(caller)

    def _count_ended(self):
        self.ended += 1

    @staticmethod
    def _raise(error):
        raise error

    def respond_whole(self, kilobytes):
        async def respond(caller):
            caller.respond(200, [], bytes(KB * kilobytes))

        self.respond = respond

    def respond_stream(self, kilobytes):
        async def respond(caller):
            caller.start_stream(200, [])
            for _ in range(kilobytes):
                await caller.send_chunk(CHUNK)
            await caller.wait_until_sent()
            caller.end_response()

        self.respond = respond

    async def open(self, data=REQUEST):
        """Send a request, and return its caller once its answer has begun to come."""
        caller = await Caller().connect(self.port, data)
        await caller.read(1)
        return caller


def assert_stream(caller, kilobytes):
    received = bytes(caller.received)
    assert received.count(CHUNK) == kilobytes, (received.count(CHUNK), kilobytes)
    assert received.endswith(b"0\r\n\r\n")


@given("a server with a room of {kilobytes:d} KB, whose system keeps little for callers")
def step_server(context, kilobytes):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.server = run(context, Server(KB * kilobytes).start())
    context.room = context.server.room


@when("a caller that reads nothing is sent a stream of {kilobytes:d} KB")
def step_stream(context, kilobytes):
    async def send():
        context.kilobytes = kilobytes
        context.written = 0

        async def respond(caller):
            caller.start_stream(200, [])
            for _ in range(kilobytes):
                await caller.send_chunk(CHUNK)
                context.written += 1
            await caller.wait_until_sent()
            caller.end_response()

        context.server.respond = respond
        context.caller = await context.server.open()
        await wait_until(lambda: context.written == kilobytes, 2.0)

    run(context, send())


@then("all of it is written at once, and counted as unsent by caller and in total")
def step_counted(context):
    total, largest = context.server.server.unsent_bytes
    assert total == largest and total > 600 * KB, (total, largest)
    assert context.room.unsent > 600 * KB, context.room.unsent


@then("the caller that goes on reading gets it in order, and nothing is counted any more")
def step_gets_stream(context):
    run(context, context.caller.read_until(b"\r\n0\r\n\r\n"))
    assert_stream(context.caller, context.kilobytes)
    assert context.room.unsent == 0 and context.server.server.unsent_bytes == (0, 0)


@when("{count:d} callers that read nothing are sent streams of {kilobytes:d} KB")
def step_many_streams(context, count, kilobytes):
    async def send():
        context.kilobytes = kilobytes
        context.server.respond_stream(kilobytes)
        context.callers = [await context.server.open() for _ in range(count)]
        await asyncio.sleep(0.3)

    run(context, send())


@then("at most {kilobytes:d} KB are kept for them, and some streams wait")
def step_bounded(context, kilobytes):
    assert context.room.unsent <= KB * kilobytes, context.room.unsent
    waiting = [each for each in context.server.server.connections if not each.has_room]
    assert waiting and not context.server.answered


@then("a caller that reads gets {kilobytes:d} KB within {seconds:d} s")
def step_not_delayed(context, kilobytes, seconds):
    async def read():
        caller = await context.server.open()
        async with asyncio.timeout(seconds):
            await caller.read_until(b"\r\n0\r\n\r\n")
        assert_stream(caller, kilobytes)

    run(context, read())


@then("all callers that go on reading get their streams in order")
def step_all_get_streams(context):
    async def read():
        await asyncio.gather(*(each.read_until(b"\r\n0\r\n\r\n") for each in context.callers))

    run(context, read())
    for caller in context.callers:
        assert_stream(caller, context.kilobytes)
    assert context.room.unsent == 0, context.room.unsent


@when("callers that read nothing are sent whole answers of {first:d}, {second:d} and {third:d} KB")
def step_whole_answers(context, first, second, third):
    async def send():
        context.callers = []
        for kilobytes in (first, second, third):
            context.server.respond_whole(kilobytes)
            context.callers.append(await context.server.open())

    run(context, send())


@when("an answer of {kilobytes:d} KB is read from an endpoint after {seconds:g} s")
def step_incomplete_answer(context, kilobytes, seconds):
    async def keep():
        await asyncio.sleep(seconds)
        with context.room.enter() as kept:
            context.is_kept = all(
                kept.try_keep(KB * size) for size in range(100, kilobytes + 1, 100)
            )

    run(context, keep())


@then("it has room, and only the answer of {kilobytes:d} KB is ended")
def step_one_ended(context, kilobytes):
    async def read():
        ends = []
        for caller in context.callers:
            with contextlib.suppress(ConnectionError):
                while len(caller.received) < 500 * KB and await caller.read():
                    pass
            ends.append(len(caller.received) >= 500 * KB)
        return ends

    assert context.is_kept and context.server.ended == 1, context.server.ended
    assert run(context, read()) == [True, False, True]


@then("it has no room, and no answer is ended")
def step_none_ended(context):
    assert not context.is_kept and context.server.ended == 0, context.server.ended
    run(context, stop_reading(context))


@when(
    "{idle:d} more callers are idle, no further one may connect, and one does after {seconds:g} s"
)
def step_new_caller(context, idle, seconds):
    async def connect():
        server, port = context.server.server, context.server.port
        context.idle = [await Caller().connect(port, b"") for _ in range(idle)]
        context.most = 3 + idle
        await wait_until(lambda: len(server.connections) == context.most)
        server.max_connections = context.most
        await asyncio.sleep(seconds)
        context.new = await Caller().connect(port, b"")
        await asyncio.sleep(0.1)

    run(context, connect())


@then("{ended:d} answers have ended, and as many connections as before are left")
def step_places_taken(context, ended):
    server = context.server.server
    assert context.server.ended == ended, context.server.ended
    assert len(server.connections) == context.most and not server.closing
    kept = sorted(each.unsent_bytes // 1_000_000 for each in server.connections)
    assert kept == ([0, 2, 4] if ended else [0, 1, 2, 4]), kept
    for caller in context.idle:
        assert run(context, caller.read()) == b""


@when(
    "a caller that reads {size:d} KB each {interval:g} s is sent a whole answer of "
    "{kilobytes:d} KB"
)
def step_slow_whole(context, size, interval, kilobytes):
    async def send():
        context.server.respond_whole(kilobytes)
        context.caller = await context.server.open()
        reading = context.caller.read_slowly(KB * size, interval)
        context.reading = asyncio.get_running_loop().create_task(reading)

    run(context, send())


@when(
    "a caller sends {count:d} requests at once, and reads nothing of the answers of "
    "{kilobytes:d} KB"
)
def step_pipelined(context, count, kilobytes):
    async def send():
        context.server.respond_whole(kilobytes)
        context.kilobytes = kilobytes
        context.caller = await context.server.open(count * REQUEST)
        await asyncio.sleep(0.3)

    run(context, send())


@then("one answer is kept for it")
def step_one_kept(context):
    assert len(context.server.answered) == 1, len(context.server.answered)
    assert context.room.unsent <= KB * (context.kilobytes + 1), context.room.unsent


@then("it gets {count:d} answers once it reads")
def step_gets_answers(context, count):
    async def read():
        while len(context.caller.received) < count * KB * context.kilobytes:
            assert await context.caller.read()

    run(context, read())
    assert len(context.server.answered) == count
    assert context.room.unsent == 0


@given("{seconds:g} s for the rest of an answer")
def step_sending_timeout(context, seconds):
    patch = mock.patch.object(_server, "SENDING_TIMEOUT_S", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@then("its connection is ended within {seconds:d} s, and nothing is counted any more")
def step_ended(context, seconds):
    async def wait():
        await wait_until(lambda: not context.server.server.connections, seconds)
        await stop_reading(context)

    run(context, wait())
    assert context.server.ended == 1 and context.room.unsent == 0


@when("a body of {size:d} bytes is sent to it, and the memory of the process is measured")
def step_large_body(context, size):
    async def send():
        body = bytes(size)
        connection = await open_connection(context.address, 1.0)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert connection.send(b"POST", b"/", [(b"Host", b"x")], body)
        context.turns = 0
        for _ in range(50):
            await asyncio.sleep(0.01)
            context.turns += 1
        context.taken_mb = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / KB
        await connection.read_head()
        return await connection.read_data()

    context.size = size
    context.answer = run(context, send())


@then("the process has taken less than {megabytes:d} MB for it, and other work has had its turn")
def step_not_copied(context, megabytes):
    assert context.taken_mb < megabytes, context.taken_mb
    assert context.turns == 50


@given("an attempt whose events come each {interval:g} s")
def step_attempt(context, interval):
    endpoint = SimpleNamespace(last_response_at=0.0)
    estimate = EndpointEstimate(endpoint, 0.0, 0.0, 0)
    context.attempt = Attempt(estimate, None, 0.0, first_event_at=interval)
    context.interval_s, context.now = interval, 0.0


@when("its answer is not read for {seconds:d} s after {before:d} events, and {after:d} more follow")
def step_not_read(context, seconds, before, after):
    attempt = context.attempt
    for number in range(before + after):
        if number == before:
            attempt.leave_unread(context.now)
            context.now += seconds
            middle = attempt.compute_times(context.now, False).event_interval_s
            assert middle <= context.interval_s + 1e-6, middle
            attempt.read_on(context.now)
            context.read_on_at = context.now
        context.now += context.interval_s
        attempt.record_events(1, context.now)


@then("its interval between events is {interval:g} s, and its longest pause is {pause:g} s")
def step_times(context, interval, pause):
    times = context.attempt.compute_times(context.now)
    assert abs(times.event_interval_s - interval) < 1e-6, times
    assert abs(context.attempt.max_gap_s - pause) < 1e-6, context.attempt.max_gap_s


@then("a break {soon:g} s later is no failure of its endpoint, but one {late:g} s later is")
def step_break(context, soon, late):
    broken = ConnectionBroken("reset")
    kinds = []
    for seconds in (soon, late):
        at = context.read_on_at + seconds
        with mock.patch("poplarrun.gateway._forwarder.seconds_since_boot", return_value=at):
            kinds.append(isinstance(_explain_break(context.attempt, broken), CutOffUnread))
    assert kinds == [True, False], kinds
    assert may_have_run(CutOffUnread(5.0)) and may_have_run(TookTooLong(1.0))


def read_events(context, event, number=0):
    return context.installation.read_events(event, number)


def read_metric(context, name):
    found = re.search(rf"^{re.escape(name)} (\S+)$", context.installation.fetch_metrics(), re.M)
    return float(found.group(1)) if found else None


@when("{count:d} callers request drafts within {milliseconds:d} ms and read nothing")
def step_drafts_unread(context, count, milliseconds):
    context.count = count
    context.connections = [
        open_raw(context, "/draft/brief", attempt=f"slow-{number}", within_ms=milliseconds)
        for number in range(count)
    ]
    for connection in context.connections:
        context.add_cleanup(connection.close)


@then("each stream is ended, the endpoint is told, and no send has failed")
def step_streams_ended(context):
    installation = context.installation
    requests = installation.endpoints["engine-1"].received_requests
    installation.wait_for(
        lambda: sum(each.is_disconnected for each in requests) == context.count,
        "the endpoint is told",
    )
    installation.wait_for(
        lambda: len(read_events(context, "AnswerBroken")) == context.count, "the streams are ended"
    )
    assert not read_events(context, "SendFailed")


@then("the host counts {count:d} ended slow callers and keeps no bytes")
def step_host_counts(context, count):
    ended = read_metric(context, 'poplarrun_events_total{event="slow_caller_ended"}')
    assert ended == count, ended
    for part in ("unsent", "unsent_largest_caller", "incomplete_answers", "request_bodies"):
        size = read_metric(context, f'poplarrun_buffered_bytes{{part="{part}"}}')
        assert size == 0.0, (part, size)


@then("a lookup and a draft are answered with 200")
def step_answered(context):
    context.installation.endpoints["engine-1"].event_count = 5
    for path in ("/lookup/ring", "/draft/brief"):
        answer = context.installation.call(path, X_Model="*")
        assert answer.status == 200 and answer.is_whole, answer


@given(
    "the endpoints cut off a draft of {events:d} events of 4 KB that is unread for {seconds:g} s"
)
def step_cut_off(context, events, seconds):
    installation = context.installation
    installation.config["routes"][0]["timeoutMs"] = FLOOD_TIMEOUT_MS
    installation.publish_and_wait()
    for endpoint in installation.endpoints.values():
        if endpoint.is_engine:
            endpoint.event_count, endpoint.unread_timeout_s = events, seconds
            endpoint.faults.extend([Fault.FLOOD] * 8)


@when("a caller requests a draft, reads nothing for {seconds:d} s, and then all")
def step_read_late(context, seconds):
    connection = open_raw(context, "/draft/brief", within_ms=FLOOD_TIMEOUT_MS)
    with contextlib.closing(connection):
        time.sleep(seconds)
        context.received = bytearray()
        while not context.received.endswith(b"0\r\n\r\n") and (data := connection.recv(1 << 20)):
            context.received += data


@then("it has the events {first:d} to {last:d}")
def step_has_events(context, first, last):
    found = [int(number) for number in re.findall(rb"\nid: (\d+)\n", bytes(context.received))]
    assert found == list(range(first, last + 1)), (len(found), found[:3], found[-3:])


@then("the log tells that an answer was cut off unread")
def step_cut_off_logged(context):
    reasons = {line["failure"] for line in read_events(context, "SendFailed")}
    assert reasons == {"unread"}, reasons


@when(
    "{count:d} callers in turn request a lookup with an answer of {size:d} bytes, and read nothing"
)
def step_lookups_unread(context, count, size):
    context.body = b"0123456789abcdef" * (size // 16)
    context.installation.endpoints["stock-1"].body = context.body
    context.heads = []
    for _ in range(count):
        connection = connect_slowly(context, "/lookup/ring")
        context.add_cleanup(connection.close)
        context.heads.append(connection.recv(16))


@then("each gets the head of an answer")
def step_heads(context):
    assert all(head.startswith(b"HTTP/1.1 200") for head in context.heads), context.heads


@then("a caller that reads gets the whole answer")
def step_whole_read(context):
    answer = context.installation.call("/lookup/ring")
    assert answer.status == 200 and answer.body == context.body, answer.status


@then("no host has taken more than its memory")
def step_memory(context):
    context.answers = [SimpleNamespace(status=200)]
    context.execute_steps(
        "Then each gets a whole answer or a refusal, and no host has taken more than its memory"
    )


@given(
    'requests of {size:d} bytes are allowed, and the endpoint "{instance_id}" reads none of them'
)
def step_reads_none(context, size, instance_id):
    installation = context.installation
    installation.config["limits"]["maxBodyBytes"] = size
    installation.publish_and_wait()
    endpoint = installation.endpoints[instance_id]
    installation.end_endpoint(endpoint)
    host, _, port = endpoint.address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    listener.bind((host, int(port)))
    listener.listen(128)
    context.add_cleanup(listener.close)


@when("{count:d} callers each send a lookup with a body of {size:d} bytes")
def step_large_lookups(context, count, size):
    body = bytes(size)
    context.pool = ThreadPoolExecutor(count)
    context.add_cleanup(context.pool.shutdown)
    started = threading.Barrier(count + 1)

    def send():
        started.wait()
        try:
            return context.installation.call("/lookup/ring", body=body).status
        except BrokenPipeError:
            # The refusal came while the body was sent.
            return 503

    context.calls = [context.pool.submit(send) for _ in range(count)]
    started.wait()


@then("a draft is answered while they wait, and the host counts at most {size:d} bytes of bodies")
def step_draft_meanwhile(context, size):
    most = 0.0
    for _ in range(10):
        time.sleep(0.1)
        kept = read_metric(context, 'poplarrun_buffered_bytes{part="request_bodies"}')
        most = max(most, kept)
    assert not all(call.done() for call in context.calls)
    answer = context.installation.call("/draft/brief", X_Model="*")
    assert answer.status == 200 and answer.is_whole, answer
    assert 0.0 < most <= size, most


@then("each caller is refused, and no host has taken more than its memory")
def step_refused(context):
    statuses = {call.result() for call in context.calls}
    assert statuses <= REFUSED, statuses
    step_memory(context)
