import asyncio
import fcntl
import socket
import struct
import termios

from behave import given, then, when

from features.steps.relays import open_relay

SMALL_BUFFER_BYTES = 16 * 1024
WAIT_TIMEOUT_S = 20.0


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, WAIT_TIMEOUT_S))


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def socket_of(transport):
    return transport.get_extra_info("socket")


@given("a helper that has opened a connection for a peer that reads slowly")
def step_slow_peer(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)

    async def start():
        await open_relay(context)
        peer = context.tunnel._transport
        # The system shall hold little, so that most of the answer waits in the helper.
        socket_of(peer).setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        helper = socket_of(context.relay.side.transport)
        helper.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        assert context.tunnel.send(b"GET", b"/", [(b"Host", b"x")], b"")
        peer.pause_reading()

    run(context, start())


@when("the endpoint sends an answer of {size:d} bytes that ends with the connection")
def step_send_unframed(context, size):
    async def send():
        context.endpoint.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(size))
        context.endpoint.close()
        await context.endpoint.wait_closed()
        await wait_until(lambda: context.relay.side.other.is_closed)

    run(context, send())


@when("the endpoint sends an answer of {size:d} bytes with their number, and resets the connection")
def step_send_and_reset(context, size):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: " + str(size).encode() + b"\r\n\r\n"

    async def send():
        context.endpoint.write(head + bytes(size))
        transport = context.endpoint.transport
        await wait_until(lambda: not transport.get_write_buffer_size())
        await wait_until(lambda: not count_unacknowledged(socket_of(transport)))
        linger = struct.pack("ii", 1, 0)
        socket_of(transport).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()
        await asyncio.sleep(0.1)

    run(context, send())


def count_unacknowledged(sock):
    """Return the bytes that the other side's system has not taken yet."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]


@then("the helper counts the relay as open, since some of it waits to be sent")
def step_still_open(context):
    assert context.relay.side.transport.get_write_buffer_size() > 0
    assert context.relay.open_relays == 1


@then("the peer gets a whole answer of {size:d} bytes")
def step_whole(context, size):
    async def read():
        context.tunnel._transport.resume_reading()
        await context.tunnel.read_head()
        received = 0
        while (data := await context.tunnel.read_data()) is not None:
            received += len(data)
        return received

    received = run(context, read())
    assert received == size, received


@then("no relay is open")
def step_none_open(context):
    run(context, wait_until(lambda: context.relay.open_relays == 0))
