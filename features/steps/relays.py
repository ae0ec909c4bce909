import asyncio
import json
import re
import socket
import struct
import time

from behave import given, then, use_step_matcher, when

from poplarrun.cli._timeline import build_timeline, read_log_lines
from poplarrun.paths import Decline, DeclineReason
from poplarrun.relays import OpenRelay, RelayServer, RelayTarget, open_tunnel
from poplarrun.relays._messages import encode_message
from poplarrun.transport import ConnectionBroken, RequestWithheld
from standins._ports import free_port
from standins.installation import Cut, Fault
from standins.installation._installation import API_KEY, HOST_NAME

HOSTS = 3
PATHS = {"lookup": "/lookup/ring", "order": "/order/ring", "draft": "/draft/ring"}

use_step_matcher("re")


def send(context, kind, host, number=0):
    request_id = f"{kind}-{host}-{number}-{time.monotonic_ns():x}"
    options = {"X_Attempt_Id": request_id}
    if kind == "draft":
        options |= {"X_Model": "*", "X_Token_Usage": "100,20"}
    answer = context.installation.call(PATHS[kind], host, method="POST", **options)
    context.answers.append((request_id, answer))
    return answer


def parse_hosts(text):
    return [int(number) for number in re.findall(r"\d", text)]


@given("callers of all kinds were served by each host")
def step_served(context):
    context.answers = []
    for host in range(HOSTS):
        for kind in PATHS:
            for number in range(4):
                assert send(context, kind, host, number).status == 200, context.answers


@when("(?P<hosts>hosts? .*) loses? (?:its|their) links to all endpoints, and (?P<cut>.*)")
def step_cut(context, hosts, cut):
    for host in parse_hosts(hosts):
        context.installation.cut_host(host, Cut(cut))


@when(r"(?P<seconds>\d+) s have passed")
def step_wait(context, seconds):
    time.sleep(float(seconds))


@then(
    r"of (?P<count>\d+) requests of each kind at each of (?P<hosts>hosts? .*) "
    "all are served at the first attempt"
)
def step_all_served(context, count, hosts):
    context.answers = []
    for host in parse_hosts(hosts):
        for number in range(int(count)):
            for kind in PATHS:
                answer = send(context, kind, host, number)
                assert answer.status == 200 and answer.is_whole, (context.answers[-1], host)


@then("each order ran once")
def step_ran_once(context):
    runs = {}
    for endpoint in context.installation.endpoints.values():
        for request in endpoint.received_requests:
            if request.is_executed:
                request_id = request.headers["x-attempt-id"]
                runs[request_id] = runs.get(request_id, 0) + 1
    orders = [each for each, _ in context.answers if each.startswith("order-")]
    assert orders and all(runs.get(each) == 1 for each in orders), runs


def lose_links(context, hosts, cut, instance_ids=()):
    for host in parse_hosts(hosts):
        context.installation.cut_host(host, Cut(cut), instance_ids)


@when('host 0 loses its links to "(?P<names>.*)"')
def step_cut_some(context, names):
    context.installation.cut_host(0, Cut.RESET, names.split(", "))


@when("host 0 is started again, cut off from all endpoints: (?P<cut>.*)")
def step_start_cut(context, cut):
    installation = context.installation
    installation.processes[0].kill()
    installation.processes[0].wait()
    installation.cut_host(0, Cut(cut))
    installation.start_host(0)
    # The others may still take the host for the one that was killed.
    time.sleep(1.0)


@when(r"(?P<count>\d+) requests of each kind are sent to host 0")
def step_send(context, count):
    context.answers = []
    for number in range(int(count)):
        for kind in PATHS:
            send(context, kind, 0, number)


@when(r"its links are mended and (?P<count>\d+) requests of each kind are sent to host 0")
def step_mend(context, count):
    context.installation.cut_host(0, None)
    step_send(context, count)


def relayed_ids(context, host=0):
    lines = (json.loads(line) for line in context.installation.read_log(host).splitlines())
    return {
        line["request"]: line["helper"]
        for line in lines
        if line["event"] == "RequestSent" and line["helper"]
    }


@then(r"within (?P<seconds>\d+) s no further request at host 0 is relayed")
def step_none_relayed(context, seconds):
    def is_direct():
        step_send(context, 1)
        sent = {request_id for request_id, _ in context.answers}
        text = context.installation.read_log(0)
        return all(each in text for each in sent) and not sent & relayed_ids(context).keys()

    assert relayed_ids(context), "some requests were relayed before"
    deadline = time.monotonic() + float(seconds)
    while not is_direct():
        assert time.monotonic() < deadline


@then(r"a request of each kind at each host is refused as not run within (?P<seconds>[\d.]+) s")
def step_refused(context, seconds):
    for host in range(HOSTS):
        for kind in PATHS:
            started_at = time.monotonic()
            answer = send(context, kind, host)
            took_s = time.monotonic() - started_at
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0.0, answer
            assert took_s < float(seconds), (kind, host, took_s)


def open_raw(context, path, request_id):
    """Send a request of a caller at host 0; return the socket."""
    host, _, port = context.installation.caller_address(0).rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=15.0)
    connection.sendall(
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 12000\r\nAuthorization: Bearer {API_KEY}\r\nX-Model: *\r\n"
        "X-Token-Usage: 100,20\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return connection


def find_run(context, request_id):
    for endpoint in context.installation.endpoints.values():
        for request in endpoint.received_requests:
            if request.headers["x-attempt-id"] == request_id and request.is_executed:
                return request
    return None


def begin(context, kind, fault):
    installation = context.installation
    installation.cut_host(0, Cut.RESET)
    context.answers = []
    assert send(context, kind, 0).status == 200, context.answers
    for endpoint in installation.endpoints.values():
        endpoint.faults.append(fault)
    context.request_id = f"{kind}-behind-a-helper"
    context.connection = open_raw(context, PATHS[kind], context.request_id)
    installation.wait_for(lambda: find_run(context, context.request_id), "it runs")
    for endpoint in installation.endpoints.values():
        endpoint.faults.clear()
    installation.wait_for(lambda: context.request_id in relayed_ids(context), "it is logged")
    address = relayed_ids(context)[context.request_id]
    context.helper = int(address.rpartition(":")[0].rpartition(".")[2]) - 1


@given("a draft that host 0 serves through a helper, of long intervals")
def step_begin_draft(context):
    begin(context, "draft", Fault.SLOW)
    # Some events have arrived.
    context.received = context.connection.recv(65536)


@given("an order that host 0 has sent through a helper, which waits for its answer")
def step_begin_order(context):
    begin(context, "order", Fault.MUTE)


@when("its caller disconnects")
def step_disconnect(context):
    context.connection.close()


@then("the endpoint of the draft is disconnected")
def step_disconnected(context):
    context.installation.wait_for(
        lambda: find_run(context, context.request_id).is_disconnected, "the endpoint is left"
    )


@when("its helper is killed")
def step_kill_helper(context):
    context.installation.processes[context.helper].kill()


@when("its helper is stopped as planned")
def step_stop_helper(context):
    context.installation.signal_host(context.helper, "SIGTERM")


def receive_all(context):
    data = getattr(context, "received", b"")
    while not data.endswith(b"0\r\n\r\n"):
        more = context.connection.recv(65536)
        if not more:
            break
        data += more
    return data


@then("the caller gets all events of the draft in order")
def step_all_events(context):
    data = receive_all(context)
    ids = re.findall(rb"id: (\d+)\n", data)
    log = context.installation.read_log(0)[-3000:]
    assert data.endswith(b"0\r\n\r\n"), (data[-200:], log)
    assert ids == [str(number).encode() for number in range(1, 6)], ids


@then("one endpoint ran it")
def step_one_ran(context):
    runs = [
        request
        for endpoint in context.installation.endpoints.values()
        for request in endpoint.received_requests
        if request.headers["x-attempt-id"] == context.request_id
    ]
    assert len(runs) == 1, runs


@then("the helper ends with code 0")
def step_helper_ends(context):
    assert context.installation.processes[context.helper].wait(12.0) == 0


@then("the caller gets 502, and the order ran once")
def step_order_unknown(context):
    data = context.connection.recv(65536)
    assert data.startswith(b"HTTP/1.1 502"), data
    step_one_ran(context)


@then("the caller's answer breaks off, and one endpoint ran it")
def step_broken_off(context):
    try:
        data = receive_all(context)
    except ConnectionResetError:
        data = context.received
    assert data.startswith(b"HTTP/1.1 200") and not data.endswith(b"0\r\n\r\n"), data
    step_one_ran(context)


@then("the timeline of each of them names the helper, and has a line of the helper")
def step_timeline(context):
    installation = context.installation
    paths = [str(installation.log_path(number)) for number in range(HOSTS)]
    for request_id, _ in context.answers:
        installation.wait_for(
            lambda request_id=request_id: {"RequestAnswered", "RelayEnded"}
            <= {line.event for line in build_timeline(request_id, read_log_lines(paths)).lines},
            f"both hosts tell of {request_id}",
        )
        lines = build_timeline(request_id, read_log_lines(paths)).lines
        sent = next(line for line in lines if line.event == "RequestSent")
        ended = next(line for line in lines if line.event == "RelayEnded")
        assert sent.fields["helper"] and sent.host != ended.host, lines


def exchange(context, data, source="127.0.0.2"):
    address, _, port = context.installation.relay_address(0).rpartition(":")
    connection = socket.create_connection((address, int(port)), 5.0, (source, 0))
    connection.settimeout(5.0)
    with connection:
        connection.sendall(data)
        received = b""
        try:
            while more := connection.recv(4096):
                received += more
        except ConnectionResetError:
            pass
    return received


@then("a connection to the relay port of host 0 that (?P<what>.*) gets (?P<answer>closed|an .*)")
def step_stranger(context, what, answer):
    endpoint = context.installation.endpoints["stock-1"]
    known = OpenRelay("127.0.0.2:1", "r", "stock-1", endpoint.started_at_ms, 300)
    match what:
        case "asks for an unknown endpoint":
            received = exchange(context, encode_message(OpenRelay("x", "r", "stock-9", 1, 300)))
        case "asks for another start of an endpoint":
            received = exchange(context, encode_message(OpenRelay("x", "r", "stock-1", 7, 300)))
        case "comes from an address of no host":
            received = exchange(context, encode_message(known), "127.0.0.99")
        case "sends a request of HTTP":
            received = exchange(context, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        case "sends bytes before the reply":
            received = exchange(context, encode_message(known) + b"POST / HTTP/1.1\r\n")
        case "sends a frame of 2 MB":
            received = exchange(context, (2_000_000).to_bytes(4, "big") + bytes(100))
        case "says nothing":
            received = exchange(context, b"")
    expected = b"" if answer == "closed" else answer.split('"')[1].encode()
    assert received.endswith(expected) and bool(received) == bool(expected), received
    assert not endpoint.received_requests


@given("a helper that relays a stream of bytes without a length")
def step_stream_without_length(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(start_relay(context))


class OpenDesk:
    """Relays everything to one address."""

    def __init__(self, address):
        self.address = address
        self.decline = None

    def admit(self, request, peer_ip):
        return RelayTarget(self.address, 0.0)

    def check(self, request):
        return self.decline

    def record_failed(self, request):
        pass

    def record_answer(self, request, head):
        pass

    def record_end(self, end):
        pass


class CapturingRelay(RelayServer):
    """Keeps the connection of the asking host, which dies with the helper."""

    def start(self, side, request):
        self.side = side
        super().start(side, request)


async def open_relay(context):
    loop = asyncio.get_running_loop()
    accepted = loop.create_future()
    server = await asyncio.start_server(
        lambda reader, writer: accepted.set_result((reader, writer)), "127.0.0.1", 0
    )
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    relay_address = f"127.0.0.1:{free_port()}"
    context.relay = CapturingRelay(OpenDesk(address), lambda error: None)
    await context.relay.listen(relay_address)
    request = OpenRelay("127.0.0.1:1", "r", "e", 1, 1000)
    tunnel = await open_tunnel(relay_address, request, address, 2.0)
    context.tunnel = tunnel.connection
    context.endpoint_reader, context.endpoint = await accepted


async def start_relay(context):
    await open_relay(context)
    assert context.tunnel.send(b"GET", b"/", [(b"Host", b"x")], b"")
    context.endpoint.write(b"HTTP/1.1 200 OK\r\n\r\npart one")
    head = await context.tunnel.read_head()
    assert head.status == 200
    assert await context.tunnel.read_data() == b"part one"


@given("a helper that has opened a connection for a peer")
def step_open_relay(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.loop.run_until_complete(open_relay(context))


@when("the endpoint asks the helper to stay away, and the peer sends its request")
def step_withheld(context):
    context.relay.decisions.decline = Decline(DeclineReason.HELD_OFF, 2.0)

    async def run():
        assert context.tunnel.send(b"POST", b"/", [(b"Host", b"x")], b"one ring")
        try:
            await context.tunnel.read_head()
        except RequestWithheld as error:
            return error
        return None

    context.error = context.loop.run_until_complete(run())


@then("the peer learns that no byte of it was passed on")
def step_learns(context):
    assert isinstance(context.error, RequestWithheld), context.error


@then("the endpoint got no byte")
def step_no_byte(context):
    async def read():
        return await asyncio.wait_for(context.endpoint_reader.read(100), 2.0)

    assert context.loop.run_until_complete(read()) == b""


@when("the endpoint closes its side")
def step_endpoint_closes(context):
    context.endpoint.close()


@when("the endpoint resets the connection")
def step_endpoint_resets(context):
    sock = context.endpoint.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    context.endpoint.transport.abort()


@when("the helper dies")
def step_helper_dies(context):
    async def die():
        context.relay.side.transport.abort()

    context.loop.run_until_complete(die())


@then("the asking host sees an answer that is (?P<seen>complete|broken)")
def step_seen(context, seen):
    async def read():
        async with asyncio.timeout(5.0):
            return await context.tunnel.read_data()

    try:
        rest = context.loop.run_until_complete(read())
        assert seen == "complete" and rest is None, rest
    except ConnectionBroken:
        assert seen == "broken"
