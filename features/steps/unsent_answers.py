import asyncio
import socket
import time

from behave import given, then, when

from features.steps.relay_ends import run
from poplarrun.transport import SendState, decode_send_state, open_connection
from standins.installation._installation import API_KEY, HOST_NAME

RECEIVE_BUFFER_BYTES = 64 * 1024
READ_BYTES = 32 * 1024
READ_INTERVAL_S = 0.05
# The host ends earlier, if it doesn't wait, and its kernel's buffer holds less than the rest.
SLOW_READING_S = 4.0


def connect_slowly(context, path):
    """Send a request over a connection that takes few bytes which aren't read; return it."""
    host, _, port = context.installation.caller_address().rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.settimeout(10.0)
    connection.connect((host, int(port)))
    connection.sendall(
        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: slow-1\r\n"
        f"X-Deadline-Ms: 4000\r\nAuthorization: Bearer {API_KEY}\r\n\r\n".encode()
    )
    return connection


def read_all(connection, slow_s):
    """Read slowly for a time, then as fast as possible, until the connection ends."""
    fast_at = time.monotonic() + slow_s
    received = bytearray()
    while data := connection.recv(READ_BYTES):
        received += data
        if time.monotonic() < fast_at:
            time.sleep(READ_INTERVAL_S)
    return bytes(received)


@given("a caller that reads an answer of {size:d} bytes slowly")
def step_slow_caller(context, size):
    context.body = b"0123456789abcdef" * (size // 16)
    context.installation.endpoints["stock-1"].body = context.body
    context.connection = connect_slowly(context, "/lookup/ring")
    context.add_cleanup(context.connection.close)
    context.head = context.connection.recv(1)


@when("the host is stopped as planned, and its caller goes on reading")
def step_stop(context):
    context.installation.signal_host(0, "SIGTERM")
    context.received = context.head + read_all(context.connection, SLOW_READING_S)


@then("the caller has the whole answer")
def step_whole(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    assert len(body) == len(context.body), (len(body), len(context.body))
    assert body == context.body


@then("the host ends with code 0")
def step_ends(context):
    assert context.installation.processes[0].wait(12.0) == 0


@when("it reads nothing for {seconds:d} s, and then the rest")
def step_pause(context, seconds):
    time.sleep(seconds)
    size = len(context.body)
    received = context.head
    while b"\r\n\r\n" not in received or len(received.partition(b"\r\n\r\n")[2]) < size:
        data = context.connection.recv(1 << 20)
        if not data:
            break
        received += data
    context.received = received


@given("an endpoint that reads nothing for {seconds:d} s")
def step_late_reader(context, seconds):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def serve(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(seconds)
        writer.transport.resume_reading()
        await reader.readuntil(b"\r\n\r\n")
        context.body = await reader.readexactly(context.size)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread")

    async def start():
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        context.late = await asyncio.start_server(serve, sock=listener)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    context.address = run(context, start())


@when("a body of {size:d} bytes is sent to it")
def step_send_body(context, size):
    context.size = size

    async def send():
        connection = await open_connection(context.address, 1.0)
        assert connection.send(b"POST", b"/", [(b"Host", b"x")], bytes(size))
        await connection.read_head()
        return await connection.read_data()

    context.answer = run(context, send())


@then("it has received the whole body, and its answer is read")
def step_body_received(context):
    assert len(context.body) == context.size
    assert context.answer == b"read"


@when(
    "the endpoint sends an answer of {size:d} bytes, and the peer reads nothing for {seconds:d} s"
)
def step_peer_pauses(context, size, seconds):
    async def send():
        assert context.tunnel.send(b"GET", b"/", [(b"Host", b"x")], b"")
        context.tunnel._transport.pause_reading()
        await context.endpoint_reader.readuntil(b"\r\n\r\n")
        context.endpoint.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(size))
        context.endpoint.close()
        await asyncio.sleep(seconds)

    run(context, send())


@given(
    "a connection with {queued:d} bytes queued, {packets:d} packets in flight and {probes:d} "
    "unanswered probes"
)
def step_send_state(context, queued, packets, probes):
    context.send_state = SendState(queued, packets, probes)


@then("its peer counts as {state}")
def step_counts_as(context, state):
    assert context.send_state.is_stalled == (state == "stalled")


@given("{size:d} bytes of information on a connection in the state {state:d}")
def step_information(context, size, state):
    context.send_state = decode_send_state((bytes((state,)) + bytes(103))[:size], 9000)


@then("its send state is {known}")
def step_known(context, known):
    assert (context.send_state is not None) == (known == "known"), context.send_state
