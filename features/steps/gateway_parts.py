import asyncio
import json
import logging
import random
import re
import socket
from pathlib import Path

from behave import given, then, when

from poplarrun.dispatch import Knowledge
from poplarrun.gateway._capacity import find_capacity
from poplarrun.gateway._events import EventCutter
from poplarrun.gateway._followers import DocumentFollower
from poplarrun.gateway._reading import SharedReading
from poplarrun.logging import EVENTS, NonBlockingHandler
from poplarrun.metrics import Metrics
from poplarrun.peers import DOCUMENTS, Digest, PeerBook
from poplarrun.platform import Newest, NoAnswer, Records, decode_listing
from poplarrun.rollouts import Rollouts
from poplarrun.transport import CallerServer, ConnectionPool
from standins._ports import free_port

ROOT = Path(__file__).resolve().parents[2]


@given("a book of peers")
def step_book(context):
    context.book = PeerBook("10.0.0.1:1", "a")


@when("a digest arrives at {at:f} that echoes {stamp:f} after {held:f} s, facts {age:f} s old")
def step_digest(context, at, stamp, held, age):
    context.digest = Digest("10.0.0.2:1", "b", 5000.0, stamp, held, 3, age, 0.1)
    assert context.book.take(context.digest, at)


@then("the facts are proven true at {at:f}")
def step_proven(context, at):
    assert abs(context.book.proven_at(context.digest, context.digest.age_s) - at) < 1e-6


@when('"{one}" and "{two}" are read at {at:f} and "{heard}" is heard at {then_at:f}')
def step_addresses(context, one, two, at, heard, then_at):
    context.addresses = (one, two)
    for address in context.addresses:
        context.book.name(address, at)
    assert context.book.take(Digest(heard, "b", 1.0, 0.0, 0.0, 1, 0.0, 0.0), then_at)


@then('at {at:f} only "{address}" is gone')
def step_gone(context, at, address):
    gone = [known for known in context.addresses if context.book.is_gone(known, at, 120.0)]
    assert gone == [address], gone


@when('two hosts of "{zone}" were heard last at {first:f} and {second:f}')
def step_heard_last(context, zone, first, second):
    for number, at in enumerate((first, second)):
        digest = Digest(f"10.0.0.{number + 2}:1", zone, at, 0.0, 0.0, 1, 0.0, 0.0)
        assert context.book.take(digest, at)


@then('"{zone}" is not silent at {before:f}, and silent at {after:f}')
def step_silent(context, zone, before, after):
    assert zone not in context.book.silent_zones(before)
    assert zone in context.book.silent_zones(after)


@then(
    "bytes to an endpoint wait {endpoint:d} ms for their acknowledgement, "
    "and to a caller {caller:d} ms"
)
def step_unacked(context, endpoint, caller):
    waits = asyncio.run(find_unacked_ms())
    assert waits == (endpoint, caller), waits


async def find_unacked_ms():
    """Return the time for acknowledgements on both sides of a connection."""
    server = CallerServer(lambda *_: None, print)
    address = f"127.0.0.1:{free_port()}"
    await server.listen(address)
    connection = await ConnectionPool().open(address, 5.0)
    while not server.connections:
        await asyncio.sleep(0.01)
    sides = (connection, next(iter(server.connections)))
    waits = tuple(
        side._transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        for side in sides
    )
    connection.abort()
    server.stop_accepting()
    return waits


class SilentOnce:
    """A store that says nothing to one read and has nothing new."""

    def __init__(self, silent):
        self.waits = []
        self._silent = silent

    async def newest(self, topic):
        return Newest((), 0, 0.0)

    async def read(self, topic, offset, wait_s=0.0):
        self.waits.append(wait_s)
        if len(self.waits) == self._silent:
            return NoAnswer("timeout")
        return Records((), 0, 0, 0.0)


@given("a follower of documents whose store says nothing to the second read")
def step_follower(context):
    context.store = SilentOnce(silent=2)
    reading = SharedReading(DOCUMENTS, PeerBook("10.0.0.1:1", "a"))
    context.follower = DocumentFollower(
        context.store, Knowledge(), Rollouts(), lambda: None, reading
    )


@when("it reads {count:d} times")
def step_read(context, count):
    async def read():
        # The first step reads the newest records.
        for _ in range(count + 1):
            await context.follower._step()

    asyncio.run(read())


@then("the reads may wait for {first:f}, {second:f}, {third:f} and {fourth:f} s")
def step_waits(context, first, second, third, fourth):
    assert context.store.waits == [first, second, third, fourth], context.store.waits


@given("a stream of {count:d} events in pieces of {least:d} to {most:d} bytes")
def step_pieces(context, count, least, most):
    whole = b"".join(f"id: {n}\ndata: text {n}\n\n".encode() for n in range(1, count + 1))
    source, cutter = random.Random(5), EventCutter()
    context.events, context.whole = [], whole
    while whole:
        size = source.randint(least, most)
        context.events += cutter.feed(whole[:size])
        whole = whole[size:]
    assert cutter.is_between


@then("the cutter gives {count:d} events with the ids in order, and none is torn")
def step_cut(context, count):
    assert [event.id for event in context.events] == list(range(1, count + 1))
    assert b"".join(event.data for event in context.events) == context.whole


@given("a host of {memory:d} MB and {sockets:d} sockets")
def step_size(context, memory, sockets):
    context.capacity = find_capacity(memory, sockets)
    context.sockets = sockets


@then("it has about {requests:d} requests open at the most, of {callers:d} callers")
def step_capacity(context, requests, callers):
    assert abs(context.capacity.requests - requests) <= 10, context.capacity
    assert context.capacity.callers == callers, context.capacity


@then(
    "one of {memory:d} MB and {few:d} sockets has {fewer:d}, and one of {small:d} MB has {less:d}"
)
def step_small(context, memory, few, fewer, small, less):
    assert abs(find_capacity(memory, few).requests - fewer) <= 10
    assert abs(find_capacity(small, context.sockets).requests - less) <= 10


@given("a log whose reader has stopped")
def step_stopped_reader(context):
    # The thread that writes stays at its first write, as at a full pipe.
    import threading

    reads = threading.Event()
    context.add_cleanup(reads.set)
    context.handler = NonBlockingHandler(lambda _: reads.wait(30.0), lambda: 50.0)


@when("{usual:d} usual lines and {notable:d} notable ones are written")
def step_lines(context, usual, notable):
    logger = logging.Logger("test")
    logger.addHandler(context.handler)
    for _ in range(usual):
        logger.info("usual", extra={"event": "Usual", "is_usual": True})
    for _ in range(notable):
        logger.info("notable", extra={"event": "Notable", "is_usual": False})


@then("the loop never waited, and the lines left out are counted by event")
def step_left_out(context):
    assert context.handler.dropped_counts["Usual"] > 4000
    assert context.handler.dropped_counts["Notable"] == 0


@then("docs/OPERATIONS.md explains every event, and no other")
def step_events_page(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    explained = sorted(re.findall(r"^\| `([A-Z]\w+)` \|", text, re.MULTILINE))
    named = sorted(event.__name__ for event in EVENTS)
    assert explained == named, set(explained) ^ set(named)


@then("each event is written somewhere in the product")
def step_events_written(context):
    code = "".join(path.read_text() for path in (ROOT / "poplarrun").rglob("*.py"))
    unwritten = [event for event in EVENTS if f"events.{event.__name__}(" not in code]
    assert not unwritten, unwritten


@then('the metrics tell of {usual:d} "{one}" and {notable:d} "{other}" lines')
def step_counted(context, usual, one, notable, other):
    metrics = Metrics()
    metrics.attach_line_counts(context.handler.line_counts)
    text = metrics.render().decode()
    for event, count in ((one, usual), (other, notable)):
        assert f'poplarrun_log_lines_total{{event="{event}"}} {count}.0' in text, text


@given("a log that keeps what is written at once")
def step_kept_writes(context):
    context.writes = []
    context.handler = NonBlockingHandler(context.writes.append)


@when("{count:d} lines of {least:d} to {most:d} characters are written")
def step_long_lines(context, count, least, most):
    source = random.Random(3)
    context.lines = ["x" * source.randint(least, most) for _ in range(count)]
    for line in context.lines:
        context.handler._queue.append(line)
    context.handler.flush()


@then("each write holds whole lines, and {most:d} characters at the most")
def step_whole_lines(context, most):
    assert "".join(context.writes) == "\n".join(context.lines) + "\n"
    assert all(text.endswith("\n") and len(text) <= most for text in context.writes)
    assert len(context.writes) < len(context.lines)


RECORD = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "phase": "ready",
}
SPOILT_RECORDS = {
    "whose address ends with a line break": json.dumps(RECORD | {"address": "10.0.0.1:80\n"}),
    "with 100000 lists inside each other": '{"x":' + "[" * 100_000 + "]" * 100_000 + "}",
    "that is cut off": json.dumps(RECORD)[:-5],
    "whose places are a text": json.dumps(RECORD | {"slots": "8"}),
}


@given("a record of an endpoint {made}")
def step_record(context, made):
    assert decode_listing("engine-1", json.dumps(RECORD).encode()) is not None
    context.record = SPOILT_RECORDS[made].encode()


@then("it names no endpoint")
def step_no_endpoint(context):
    assert decode_listing("engine-1", context.record) is None
