import asyncio
import contextlib
import dataclasses

from behave import given, then, when

from poplarrun.transport import CallerServer, ServerBounds
from standins._ports import free_port

REQUEST = b"POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
WAIT_TIMEOUT_S = 10.0
LARGE_BYTES = 10_000
PIECE_INTERVAL_S = 0.01
LARGE_HEAD = REQUEST[:-2] + b"X-Trace: " + b"t" * LARGE_BYTES + b"\r\n\r\n"
LARGE_BODY = (
    b"POST / HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"%x\r\n%s\r\n" % (LARGE_BYTES // 2, b"b" * (LARGE_BYTES // 2)) * 2
    + b"0\r\n\r\n"
)
SHORT_S, LONG_S = 0.3, 30.0
TIMES = {
    "the next request": "idle_timeout_s",
    "heads": "header_timeout_s",
    "bodies": "idle_timeout_s",
}
# What a caller sends, and how many parts of two it has sent by then.
SENT_PARTS = {
    "waits": (REQUEST, 0),
    "has sent half of a head": (LARGE_HEAD, 1),
    "has sent half of a body": (LARGE_BODY, 1),
}


class Server:
    """A caller server whose requests are answered when ``may_answer`` is set."""

    def __init__(self, max_connections=None):
        self.may_answer = asyncio.Event()
        self.crashes = []
        self.open_requests = 0
        self.status = 200
        self.server = CallerServer(self._serve, self.crashes.append)
        self.server.max_connections = max_connections
        self.port = free_port()

    async def _serve(self, caller, head, body):
        self.open_requests += 1
        await self.may_answer.wait()
        self.open_requests -= 1
        caller.respond(self.status, [], b"answer")

    async def start(self):
        await self.server.listen(f"127.0.0.1:{self.port}")
        return self

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        return reader, writer


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, WAIT_TIMEOUT_S))


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def start_loop(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)


@given(
    "a server for at most {most:d} connections, {idle:d} of them idle and {busy:d} with an "
    "open request"
)
def step_server(context, most, idle, busy):
    start_loop(context)

    async def start():
        context.server = await Server(most).start()
        context.busy = [await context.server.connect(REQUEST) for _ in range(busy)]
        context.idle = [await context.server.connect() for _ in range(idle)]
        await wait_until(lambda: context.server.open_requests == busy)
        await wait_until(lambda: len(context.server.server.connections) == idle + busy)

    run(context, start())


@when("{count:d} callers connect at the same time")
def step_connect(context, count):
    async def connect():
        context.new = await asyncio.gather(*(context.server.connect() for _ in range(count)))

    run(context, connect())


@then("{count:d} connections are open")
def step_open(context, count):
    async def count_open():
        """Return the connections that the server has not closed, as the callers see it."""
        ends = [
            asyncio.ensure_future(reader.read(1))
            for reader, _ in (*context.busy, *context.idle, *context.new)
        ]
        _, pending = await asyncio.wait(ends, timeout=1.0)
        for each in pending:
            each.cancel()
        await asyncio.gather(*ends, return_exceptions=True)
        return len(pending)

    opened = run(context, count_open())
    assert opened == count, opened


@then("each open request is answered")
def step_answered(context):
    async def read_all():
        context.server.may_answer.set()
        for reader, writer in context.busy:
            assert (await reader.readuntil(b"answer")).startswith(b"HTTP/1.1 200")
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    run(context, read_all())
    assert not context.server.crashes, context.server.crashes


@given("a server that refuses each request with a text")
def step_refusing(context):
    start_loop(context)

    async def start():
        context.server = await Server().start()
        context.server.may_answer.set()
        context.server.status = 404

    run(context, start())


@when("a caller sends HEAD, and then POST over the same connection")
def step_head(context):
    async def ask():
        reader, writer = await context.server.connect(REQUEST.replace(b"POST", b"HEAD"))
        context.head = await reader.readuntil(b"\r\n\r\n")
        writer.write(REQUEST)
        context.whole = await reader.readuntil(b"answer")
        writer.close()

    run(context, ask())


@then("it gets a head with status {one:d}, and then a whole answer with status {other:d}")
def step_head_answered(context, one, other):
    assert context.head.startswith(f"HTTP/1.1 {one}".encode()), context.head
    assert context.whole.startswith(f"HTTP/1.1 {other}".encode()), context.whole
    assert not context.server.crashes, context.server.crashes


def serve_caller(context, **bounds):
    """Start a server with some bounds, and serve a first request of a caller."""
    start_loop(context)

    async def serve():
        context.server = await Server().start()
        context.server.may_answer.set()
        context.server.server.bounds = ServerBounds(**bounds)
        context.reader, context.writer = await context.server.connect(REQUEST)
        await context.reader.readuntil(b"answer")
        # The server prepares for the next request after it has written the answer.
        await asyncio.sleep(PIECE_INTERVAL_S)

    run(context, serve())


def change_bounds(context, **bounds):
    context.server.server.bounds = dataclasses.replace(context.server.server.bounds, **bounds)


def send(context, data, parts=1):
    """Send bytes in several parts, which the server receives one by one."""

    async def write():
        size = -(-len(data) // parts)
        for begin in range(0, len(data), max(1, size)):
            context.writer.write(data[begin : begin + size])
            await context.writer.drain()
            await asyncio.sleep(PIECE_INTERVAL_S)

    run(context, write())


def halve(data):
    return data[: len(data) // 2], data[len(data) // 2 :]


@given("a server that allows heads of {size:d} bytes, and a caller that it has served")
def step_heads(context, size):
    serve_caller(context, header_bytes=size)


@when("heads of {changes} bytes are allowed while that caller {does}")
def step_change_heads(context, changes, does):
    context.unsent = LARGE_HEAD
    if does == "has sent half of one":
        sent, context.unsent = halve(LARGE_HEAD)
        send(context, sent, 4)
    for size in changes.split(", "):
        change_bounds(context, header_bytes=int(size))


@when("it has sent a head of {size:d} bytes in {parts:d} parts")
def step_send_head(context, size, parts):
    send(context, context.unsent, parts if context.unsent is LARGE_HEAD else parts // 2)


@given("a server that allows bodies of {size:d} bytes, and a caller that it has served")
def step_bodies(context, size):
    serve_caller(context, body_bytes=size)


@when("bodies of {size:d} bytes are allowed while half of that caller's body has arrived")
def step_change_bodies(context, size):
    sent, context.unsent = halve(LARGE_BODY)
    send(context, sent)
    change_bounds(context, body_bytes=size)


@when("the rest of it arrives")
def step_send_rest(context):
    send(context, context.unsent)


@given("a server that allows a short time for {what}, and a caller that it has served")
def step_short_time(context, what):
    context.bound = TIMES[what]
    serve_caller(context, **{context.bound: SHORT_S})


@when("a long time is allowed while that caller {does}")
def step_long_time(context, does):
    data, parts = SENT_PARTS[does]
    sent, context.unsent = halve(data) if parts else (b"", data)
    send(context, sent)
    change_bounds(context, **{context.bound: LONG_S})


@when("the short time has passed, and the caller sends what it has left")
def step_after_short_time(context):
    run(context, asyncio.sleep(2.0 * SHORT_S))
    send(context, context.unsent)


@then("it gets the status {status:d}")
def step_status(context, status):
    line = run(context, context.reader.readline())
    assert line.startswith(f"HTTP/1.1 {status} ".encode()), line
    assert not context.server.crashes, context.server.crashes
