import asyncio

from behave import then, when

from poplarrun.gateway._answer_reader import AnswerReader
from poplarrun.gateway._answer_room import AnswerRoom
from poplarrun.gateway._event_stream import Event, EventParser, MalformedStream
from poplarrun.transport import ConnectionBroken
from poplarrun.transport._client import open_connection

# More than a host may take, and the longest wait for it to close.
MAX_SENT_BYTES = 64 * 1024 * 1024
TIMEOUT_S = 20.0
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE_ANSWER = STATUS_LINE + b"Content-Length: 2\r\n\r\nok"
BEGINNINGS = {
    "nothing": b"",
    "a status line": STATUS_LINE,
    "the head of a chunked one": CHUNKED_HEAD,
    "a chunk": CHUNKED_HEAD + b"2\r\nok\r\n",
    "the last chunk": CHUNKED_HEAD + b"2\r\nok\r\n0\r\n",
}
BLOCKS = {
    "letters": b"x" * 4096,
    "zeros": bytes(4096),
    "digits": b"1" * 4096,
    "interim heads": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 160,
    "header lines": b"X-More: yes\r\n" * 320,
}


class EndlessEndpoint:
    """Endpoint that answers each request with a beginning, and writes on until it is closed."""

    def __init__(self, beginning, block):
        self.sent = 0
        self.closed = asyncio.Event()
        self._beginning = beginning
        self._block = block

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._beginning)
        try:
            while self.sent < MAX_SENT_BYTES:
                writer.write(self._block)
                await writer.drain()
                self.sent += len(self._block)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


async def ask(endpoint, read):
    """Send a request to an endpoint, read the answer, and wait until the connection is closed."""
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    async with server, asyncio.timeout(TIMEOUT_S):
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await open_connection(address, 1.0)
        assert connection.send(b"GET", b"/", [(b"Host", b"x")], b"")
        await read(connection)
        await endpoint.closed.wait()


async def read_broken(connection):
    try:
        await connection.read_head()
        while await connection.read_data() is not None:
            pass
    except ConnectionBroken:
        connection.abort()
        return
    raise AssertionError("the answer was taken for whole")


async def read_whole(connection):
    await connection.read_head()
    while await connection.read_data() is not None:
        pass
    # The connection is kept for other requests, and none comes.


@when("an endpoint answers with {begin}, and then {rest} without end")
def step_endless(context, begin, rest):
    async def run():
        context.endpoint = EndlessEndpoint(BEGINNINGS[begin], BLOCKS[rest])
        await ask(context.endpoint, read_broken)

    asyncio.run(run())


@when("an endpoint has answered whole, and goes on with letters without end")
def step_after_end(context):
    async def run():
        context.endpoint = EndlessEndpoint(WHOLE_ANSWER, BLOCKS["letters"])
        await ask(context.endpoint, read_whole)

    asyncio.run(run())


@then("the answer is broken before the endpoint has sent {kilobytes:d} KB")
@then("the connection is closed before the endpoint has sent {kilobytes:d} KB")
def step_bounded(context, kilobytes):
    assert context.endpoint.closed.is_set()
    assert context.endpoint.sent <= 1000 * kilobytes, context.endpoint.sent


@when("{count:d} answers grow by 4 KB in turn, as far as a room of {kilobytes:d} KB allows")
def step_grow(context, count, kilobytes):
    context.room, context.room_bytes = AnswerRoom(1024 * kilobytes), 1024 * kilobytes
    context.kept = [context.room.enter() for _ in range(count)]
    context.sizes = [0] * count
    growing = set(range(count))
    while growing:
        for number in sorted(growing):
            if context.kept[number].try_keep(context.sizes[number] + 4096):
                context.sizes[number] += 4096
            else:
                growing.discard(number)


@then("each keeps at least {least:d} KB, and they keep at most {most:d} KB together")
def step_parts(context, least, most):
    assert min(context.sizes) >= 1024 * least, min(context.sizes)
    assert sum(context.sizes) <= 1024 * most, sum(context.sizes)


@then("a later answer may keep {later:d} KB, and all that they kept is free after their end")
def step_room_left(context, later):
    with context.room.enter() as answer:
        assert answer.try_keep(1024 * later), context.room.free
    for kept in context.kept:
        with kept:
            pass
    assert context.room.free == context.room_bytes


@when("{count:d} bytes of an event come one by one, after one whole event")
def step_byte_by_byte(context, count):
    parser = EventParser()
    events, is_malformed = parser.feed(b"id: 1\ndata: 1\n\n"), False
    for _ in range(count):
        try:
            events += parser.feed(b"x")
        except MalformedStream:
            is_malformed = True
    context.events, context.is_malformed = events, is_malformed


@then("one event is read, and the rest is no stream")
def step_malformed(context):
    assert context.events == [Event(b"id: 1\ndata: 1\n\n", 1)] and context.is_malformed


@when("3 events come in pieces of {size:d} bytes")
def step_pieces(context, size):
    context.sent = [Event(f"id: {number}\ndata: a\n\n".encode(), number) for number in (1, 2, 3)]
    data = b"".join(event.data for event in context.sent)
    parser = EventParser()
    context.events = []
    for begin in range(0, len(data), size):
        context.events += parser.feed(data[begin : begin + size])
    context.is_whole = parser.is_at_boundary


@then("these 3 events are read in order")
def step_events_read(context):
    assert context.events == context.sent and context.is_whole


class FullConnection:
    """Connection that always has more bytes of an answer."""

    async def read_data(self, timeout_s=None):
        return b"x"


@when("{count:d} reads of an answer never have to wait")
def step_read_all(context, count):
    async def work(turns):
        while True:
            turns.append(1)
            await asyncio.sleep(0)

    async def run():
        turns = []
        other = asyncio.create_task(work(turns))
        reader = AnswerReader(FullConnection(), 0.0, None, lambda: True)
        for _ in range(count):
            await reader.read()
        other.cancel()
        return len(turns)

    context.reads, context.turns = count, asyncio.run(run())


@then("other work has had a turn at least each {reads:d} reads")
def step_turns(context, reads):
    assert reads * context.turns >= context.reads, context.turns
