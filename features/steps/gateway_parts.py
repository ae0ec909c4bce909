import asyncio
import json
import logging
import random
import re
import socket
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from pythonjsonlogger.json import JsonFormatter

from features.steps.gateway_world import make_placement
from poplarrun.dispatch import ConfigView
from poplarrun.gateway._capacity import compute_capacity
from poplarrun.gateway._document_follower import DocumentFollower
from poplarrun.gateway._event_stream import EventParser
from poplarrun.gateway._reading import SharedReader
from poplarrun.links import NngLinks
from poplarrun.logging import (
    EVENTS,
    LineFormatter,
    NonBlockingHandler,
    component_logger,
    events,
    write_event,
)
from poplarrun.metrics import Metrics
from poplarrun.peers import (
    DOCUMENTS,
    Digest,
    PeerTable,
)
from poplarrun.platform import (
    InvalidSettings,
    LatestRecords,
    NoAnswer,
    Records,
    load_node_settings,
)
from poplarrun.rollouts import Rollouts
from poplarrun.transport import (
    CallerServer,
    ConnectFailed,
    ConnectionPool,
    open_connection,
)
from standins._ports import free_port

ROOT = Path(__file__).resolve().parents[2]


@given("an empty peer table")
def step_peer_table(context):
    context.peer_table = PeerTable("10.0.0.1:1", "a")


@when("a digest with facts {age:f} s old arrives at {at:f} and echoes {stamp:f} after {held:f} s")
def step_digest(context, at, stamp, held, age):
    lifetime = context.peer_table.lifetime
    context.digest = Digest(
        "10.0.0.2:1", "b", 5000.0, stamp, held, 3, age, 0.1, echoed_lifetime=lifetime
    )
    assert context.peer_table.apply_digest(context.digest, at)


@when("a digest arrives at {at:f} that echoes the stamp {stamp:f} of the start before")
def step_old_echo(context, at, stamp):
    before = PeerTable("10.0.0.1:1", "a").lifetime
    context.digest = Digest(
        "10.0.0.2:1", "b", 5000.0, stamp, 0.5, 3, 0.2, 0.1, echoed_lifetime=before
    )
    assert context.peer_table.apply_digest(context.digest, at)


@then("it proves nothing")
def step_unproven(context):
    assert context.peer_table.proven_at(context.digest, 0.2) is None


@when(
    "a peer's digest with the stamp {first:f} arrives, and then one of its next start with"
    " {second:f}"
)
def step_restarted_peer(context, first, second):
    context.applied = [
        context.peer_table.apply_digest(
            Digest("10.0.0.2:1", "b", stamp, 0.0, 0.0, 1, 0.0, 0.0, lifetime=lifetime), at
        )
        for lifetime, stamp, at in ((1, first, 100.0), (2, second, 100.5))
    ]


@then("both are applied, and the peer's stamp {stamp:f} is echoed")
def step_echoed(context, stamp):
    peer = context.peer_table.find("10.0.0.2:1")
    assert context.applied == [True, True], context.applied
    assert (peer.last_stamp, peer.lifetime) == (stamp, 2), peer


@then("a digest of the start before with the stamp {stamp:f} is ignored")
def step_late_digest(context, stamp):
    late = Digest("10.0.0.2:1", "b", stamp, 0.0, 0.0, 1, 0.0, 0.0, lifetime=1)
    assert not context.peer_table.apply_digest(late, 100.6)


@then("the facts are proven as of {at:f}")
def step_proven(context, at):
    assert (
        abs(context.peer_table.proven_at(context.digest, context.digest.config_age_s) - at) < 1e-6
    )


@when('the addresses "{one}" and "{two}" are read at {at:f} and "{heard}" is heard at {then_at:f}')
def step_addresses(context, one, two, at, heard, then_at):
    context.addresses = (one, two)
    for address in context.addresses:
        context.peer_table.add_address(address, at)
    assert context.peer_table.apply_digest(Digest(heard, "b", 1.0, 0.0, 0.0, 1, 0.0, 0.0), then_at)


@then('at {at:f} only "{address}" is gone')
def step_gone(context, at, address):
    gone = [known for known in context.addresses if context.peer_table.is_gone(known, at, 120.0)]
    assert gone == [address], gone


@when('the last digests of two hosts of "{zone}" arrived at {first:f} and {second:f}')
def step_heard_last(context, zone, first, second):
    for number, at in enumerate((first, second)):
        digest = Digest(f"10.0.0.{number + 2}:1", zone, at, 0.0, 0.0, 1, 0.0, 0.0)
        assert context.peer_table.apply_digest(digest, at)


@then('"{zone}" is not silent at {before:f}, and silent at {after:f}')
def step_silent(context, zone, before, after):
    assert zone not in context.peer_table.silent_zones(before)
    assert zone in context.peer_table.silent_zones(after)


@then(
    "a connection fails without acknowledgements for {endpoint:d} ms by an endpoint, and "
    "for {caller:d} ms by a caller"
)
def step_user_timeouts(context, endpoint, caller):
    waits = asyncio.run(read_user_timeouts_ms())
    assert waits == (endpoint, caller), waits


async def read_user_timeouts_ms():
    """Return the TCP user timeouts of a connection, at the client's and at the server's side."""
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


class SilentOnceStore:
    """Store double that leaves one read unanswered and has no new records."""

    def __init__(self, silent):
        self.waits = []
        self._silent = silent

    async def read_latest(self, topic):
        return LatestRecords((), 0, 0.0)

    async def read(self, topic, offset, wait_s=0.0):
        self.waits.append(wait_s)
        if len(self.waits) == self._silent:
            return NoAnswer("timeout")
        return Records((), 0, 0, 0.0)


@given("a document follower whose store does not answer the second read")
def step_follower(context):
    context.store = SilentOnceStore(silent=2)
    reader = SharedReader(DOCUMENTS, PeerTable("10.0.0.1:1", "a"))
    context.follower = DocumentFollower(
        context.store, ConfigView(), Rollouts(), lambda: None, reader, make_placement(1)
    )


@when("it reads {count:d} times")
def step_read(context, count):
    async def read():
        # The first step reads the latest records.
        for _ in range(count + 1):
            await context.follower._read_once()

    asyncio.run(read())


@then("the reads may wait for {first:f}, {second:f}, {third:f} and {fourth:f} s")
def step_waits(context, first, second, third, fourth):
    assert context.store.waits == [first, second, third, fourth], context.store.waits


@given("a stream of {count:d} events in chunks of {least:d} to {most:d} bytes")
def step_chunks(context, count, least, most):
    stream = b"".join(f"id: {n}\ndata: text {n}\n\n".encode() for n in range(1, count + 1))
    rng, parser = random.Random(5), EventParser()
    context.events, context.stream = [], stream
    while stream:
        size = rng.randint(least, most)
        context.events += parser.feed(stream[:size])
        stream = stream[size:]
    assert parser.is_at_boundary


@then("the parser returns {count:d} complete events with their ids in order")
def step_parsed(context, count):
    assert [event.id for event in context.events] == list(range(1, count + 1))
    assert b"".join(event.data for event in context.events) == context.stream


@given("a host of {memory:d} MB and {sockets:d} sockets")
def step_size(context, memory, sockets):
    context.capacity = compute_capacity(memory, sockets)
    context.sockets = sockets


@then("it admits about {requests:d} open requests, and {callers:d} connections of callers")
def step_capacity(context, requests, callers):
    assert abs(context.capacity.max_open_requests - requests) <= 10, context.capacity
    assert context.capacity.max_caller_connections == callers, context.capacity


@then(
    "one of {memory:d} MB and {few:d} sockets admits {fewer:d}, and one of {small:d} MB "
    "admits {less:d}"
)
def step_small(context, memory, few, fewer, small, less):
    assert abs(compute_capacity(memory, few).max_open_requests - fewer) <= 10
    assert abs(compute_capacity(small, context.sockets).max_open_requests - less) <= 10


@given("log output whose reader has stopped")
def step_stopped_reader(context):
    # The writing thread blocks in its first write, as at a full pipe.
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


@then("the event loop never blocked, and the dropped lines are counted by event")
def step_dropped(context):
    assert context.handler.dropped_counts["Usual"] > 4000
    assert context.handler.dropped_counts["Notable"] == 0


@then("docs/OPERATIONS.md documents exactly the events in the code")
def step_events_page(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    explained = sorted(re.findall(r"^\| `([A-Z]\w+)` \|", text, re.MULTILINE))
    named = sorted(event.__name__ for event in EVENTS)
    assert explained == named, set(explained) ^ set(named)


@then("each event is written somewhere in the code")
def step_events_written(context):
    code = "".join(path.read_text() for path in (ROOT / "poplarrun").rglob("*.py"))
    unwritten = [event for event in EVENTS if f"events.{event.__name__}(" not in code]
    assert not unwritten, unwritten


@then('the metrics count {usual:d} "{one}" and {notable:d} "{other}" lines')
def step_counted(context, usual, one, notable, other):
    metrics = Metrics()
    metrics.attach_line_counts(context.handler.line_counts)
    text = metrics.render().decode()
    for event, count in ((one, usual), (other, notable)):
        assert f'poplarrun_log_lines_total{{event="{event}"}} {count}.0' in text, text


@given("log output that records each write")
def step_recorded_writes(context):
    context.writes = []
    context.handler = NonBlockingHandler(context.writes.append)


@when("{count:d} lines of {least:d} to {most:d} characters are written")
def step_long_lines(context, count, least, most):
    rng = random.Random(3)
    context.lines = ["x" * rng.randint(least, most) for _ in range(count)]
    for line in context.lines:
        context.handler._queue.append(line)
    context.handler.flush()


@then("each write contains complete lines, and at most {most:d} characters")
def step_whole_lines(context, most):
    assert "".join(context.writes) == "\n".join(context.lines) + "\n"
    assert all(text.endswith("\n") and len(text) <= most for text in context.writes)
    assert len(context.writes) < len(context.lines)


@given('settings of a host whose address for callers is "{address}"')
def step_settings(context, address):
    settings = {
        "nodeName": "edge-0",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": {"frontend": address, "readiness": "127.0.0.1:81"},
        "platform": {"address": "127.0.0.1:82"},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "host.yaml"
        path.write_text(json.dumps(settings))
        context.settings = load_node_settings(path)


@then('they are refused with "{problem}"')
def step_refused(context, problem):
    assert context.settings == InvalidSettings((problem,)), context.settings


@then('a connection to "{address}" fails')
def step_connection_fails(context, address):
    try:
        asyncio.run(open_connection(address, 1.0))
    except ConnectFailed:
        return
    raise AssertionError(f"connected to {address}")


@given("links that receive the messages of peers")
def step_links(context):
    context.link_address = f"127.0.0.1:{free_port()}"


@when("they are stopped at the moment at which a message arrives")
def step_stop_links(context):
    async def run():
        links, peer = NngLinks(context.link_address), NngLinks(f"127.0.0.1:{free_port()}")
        received = asyncio.Queue()
        tasks = asyncio.all_tasks()
        links.start(received.put_nowait)
        peer.send(context.link_address, b"first")
        assert await received.get() == b"first"
        peer.send(context.link_address, b"last")
        # The message arrives while the loop is held up, and the stop comes before it.
        time.sleep(0.3)
        links.stop()
        await asyncio.sleep(0.1)
        context.received_after_stop = received.qsize()
        # Nothing holds the address any longer.
        links.start(received.put_nowait)
        for each in (links, peer):
            each.stop()
        context.tasks_left = len(asyncio.all_tasks() - tasks)

    asyncio.run(asyncio.wait_for(run(), 5.0))


@then("they have ended, and receive nothing more")
def step_links_ended(context):
    assert context.received_after_stop == 0 and context.tasks_left == 0, context.tasks_left


@when("{count:d} messages wait at once")
def step_messages_wait(context, count):
    async def run():
        links, peer = NngLinks(context.link_address), NngLinks(f"127.0.0.1:{free_port()}")
        received = asyncio.Queue()
        links.start(received.put_nowait)
        peer.send(context.link_address, b"first")
        assert await received.get() == b"first"
        sent = [f"{number}".encode() for number in range(count)]
        for data in sent:
            assert peer.send(context.link_address, data)
        # They arrive while the loop is held up.
        time.sleep(0.3)
        context.received = [await received.get() for _ in sent]
        context.sent = sent
        for each in (links, peer):
            each.stop()

    asyncio.run(asyncio.wait_for(run(), 5.0))


@then("all are received in order")
def step_received_in_order(context):
    assert context.received == context.sent, context.received


@then("the formatter of log lines writes events, other records and exceptions as it does")
def step_same_lines(context):
    usual = JsonFormatter("%(asctime)s %(levelname)s %(message)s", static_fields={"host": "b\xfc1"})
    written = []
    handler = logging.Handler()
    handler.emit = written.append
    logger = logging.getLogger("poplarrun")
    level, propagates = logger.level, logger.propagate
    logger.addHandler(handler)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    try:
        write_event(events.RequestAnswered("r1", "shop", 200, 2, 1.23456789))
        write_event(events.EndpointsGone(["e1", "e\xfc2"], "removed"))
        component_logger("links").warning("Receiving %s.", "failed", extra={"reason": None})
        component_logger("links").error("Failed.", exc_info=ValueError("x"), stack_info=True)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagates
    assert len(written) == 4, written
    formatter = LineFormatter("b\xfc1")
    for record in written:
        for created, msecs in (
            (1764860400.0, 0.0),
            (1764860400.9996, 999.0),
            (1764860401.5, 500.0),
        ):
            record.created, record.msecs = created, msecs
            assert formatter.format(record) == usual.format(record)
    lines = [json.loads(formatter.format(record)) for record in written]
    assert lines[0]["event"] == "RequestAnswered" and lines[0]["host"] == "b\xfc1", lines[0]
    assert "ValueError" in lines[3]["exc_info"], lines[3]
