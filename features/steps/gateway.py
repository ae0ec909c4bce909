import itertools
import json
import re
import socket
import time
import zlib
from pathlib import Path

from behave import given, then, when

from standins.installation import Fault
from standins.installation._installation import API_KEY, HOST_NAME

FLOOD_TIMEOUT_MS = 60_000
# Between two parts of a request that arrive apart.
PART_INTERVAL_S = 0.01
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+) \d+\n\n")


def events_of(answer):
    return [(int(number), model.decode()) for number, model in EVENT.findall(answer.body)]


def wait_for_status(context, path, status, **more):
    def has_status():
        context.answer = context.installation.call(path, method="GET", **more)
        return context.answer.status == status

    context.installation.wait_for(has_status, f"{path} is answered with {status}")


def open_raw(context, path, key=API_KEY, attempt="raw-1", within_ms=4000):
    host, _, port = context.installation.caller_address().rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=10)
    send_raw(connection, path, key, attempt, within_ms)
    return connection


def send_raw(connection, path, key, attempt, within_ms=4000):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {within_ms}\r\nAuthorization: Bearer {key}\r\nX-Model: *\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    connection.sendall(head.encode())


def read_status(connection):
    """Read one complete answer from a persistent connection and return its status."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(re.search(rb"(?i)content-length: (\d+)", head).group(1))
    while len(body) < length:
        body += connection.recv(65536)
    return int(head.split(b" ", 2)[1])


def draft(context, **headers):
    context.answer = context.installation.call("/draft/brief", X_Model="*", **headers)
    return context.answer


@when('a caller looks up "{lookup}" and orders "{order}"')
def step_lookup_and_order(context, lookup, order):
    context.lookup = context.installation.call(lookup, method="GET", X_Attempt_Id="look-1")
    context.order = context.installation.call(order, body=b"one ring", X_Attempt_Id="order-1")


@then("both answers are complete and signed, with status 200")
def step_both(context):
    for answer in (context.lookup, context.order):
        assert answer.status == 200 and answer.is_whole, answer
        assert answer.headers["x-instance-signature"] == "signed-stock-1", answer


@then("the endpoint received the path, the body and the request id unchanged")
def step_unchanged(context):
    look, order = context.installation.endpoints["stock-1"].received_requests
    assert (look.method, look.target) == (b"GET", b"/lookup/ring?size=5"), look
    assert (order.method, order.body) == (b"POST", b"one ring"), order
    assert [s.headers["x-attempt-id"] for s in (look, order)] == ["look-1", "order-1"]
    assert 0 < int(look.headers["x-deadline-ms"]) <= 4000


@then('the endpoint received the account "{account}" and no API key')
def step_account(context, account):
    for request in context.installation.endpoints["stock-1"].received_requests:
        assert request.headers["x-tenant"] == account
        assert "authorization" not in request.headers


@when("a caller requests a draft")
def step_draft(context):
    draft(context)


@when("a caller requests a draft after event {number:d}")
def step_draft_after(context, number):
    draft(context, Last_Event_Id=str(number))


@then('the answer has the events {first:d} to {last:d} of the model "{model}"')
def step_events(context, first, last, model):
    assert context.answer.status == 200 and context.answer.is_whole, context.answer
    expected = [(number, model) for number in range(first, last + 1)]
    assert events_of(context.answer) == expected, events_of(context.answer)


@given('the model "{one}" has confidence {low:d} and the model "{other}" {high:d}')
def step_confidence(context, one, low, other, high):
    for endpoint in context.installation.endpoints.values():
        endpoint.confidence = {one: low, other: high}


@then('a retry for "{reason}" is counted')
def step_counters(context, reason):
    assert (
        f'poplarrun_retries_total{{reason="{reason}"}} 1.0' in context.installation.fetch_metrics()
    )


@when("a caller requests a path without a route, and another one uses an unknown API key")
def step_denied(context):
    call = context.installation.call
    context.answers = [call("/nowhere/x"), call("/lookup/x", key="stolen", method="GET")]


@when("a caller sends a body of {size:d} bytes, and headers of {head:d} bytes")
def step_too_large(context, size, head):
    call = context.installation.call
    context.answers = [call("/order/x", body=b"x" * size), call("/order/x", X_Long="x" * head)]


@then("the answers are {first:d} and {second:d}")
def step_statuses(context, first, second):
    assert [answer.status for answer in context.answers] == [first, second], context.answers


@then("no endpoint received either request")
def step_unseen(context):
    assert not any(
        endpoint.received_requests for endpoint in context.installation.endpoints.values()
    )


@when('the operators add a route for "{path}", and an older configuration is written after it')
def step_new_route(context, path):
    installation = context.installation
    old = json.dumps(installation.config).encode()
    route = {**installation.config["routes"][2], "name": "new", "pathPrefix": path}
    installation.config["routes"].append(route)
    installation.publish()
    installation.append("keyed.op", "config", old)


@given("a caller that has a connection open")
def step_open_connection(context):
    context.connection = open_raw(context, "/lookup/ring")
    assert read_status(context.connection) == 200


@when("the operators allow headers of {size:d} bytes")
def step_allow_headers(context, size):
    context.installation.config["limits"]["maxHeaderBytes"] = size
    context.installation.publish_and_wait()


@then(
    "a request over that connection with a header of {size:d} bytes in {parts:d} parts"
    " gets {status:d}"
)
def step_large_header(context, size, parts, status):
    head = (
        f"GET /lookup/ring HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: raw-2\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Trace: {'t' * size}\r\n\r\n"
    ).encode()
    part_size = -(-len(head) // parts)
    for begin in range(0, len(head), part_size):
        context.connection.sendall(head[begin : begin + part_size])
        time.sleep(PART_INTERVAL_S)
    assert read_status(context.connection) == status
    context.connection.close()


@when("the operators write a configuration without services")
def step_malformed(context):
    config = {**context.installation.config, "version": 99}
    del config["services"]
    context.installation.append("keyed.op", "config", json.dumps(config).encode())
    text = "Ignoring a malformed configuration document."
    context.installation.wait_for(lambda: text in context.installation.read_log(), text)


@then('a call of "{path}" is answered with {status:d}')
def step_call_status(context, path, status):
    wait_for_status(context, path, status)


@when('the API key "{key}" is revoked while its caller keeps a connection open')
def step_revoke(context, key):
    installation = context.installation
    context.connection = open_raw(context, "/order/ring", key)
    assert read_status(context.connection) == 200
    installation.config["tenants"][0]["apiKeys"].remove(key)
    installation.publish_and_wait()
    context.before = len(installation.endpoints["stock-1"].received_requests)
    send_raw(context.connection, "/order/ring", key, "raw-2")


@then("the caller's next request is answered with 401 and reaches no endpoint")
def step_revoked(context):
    assert read_status(context.connection) == 401
    assert len(context.installation.endpoints["stock-1"].received_requests) == context.before
    context.connection.close()


@when("the store is silent for longer than API keys may be trusted")
def step_silent(context):
    context.installation.store.is_silent = True
    wait_for_status(context, "/lookup/ring", 503)


@when("the store is silent for longer than unknown routes may be denied")
def step_silent_short(context):
    context.installation.store.is_silent = True
    wait_for_status(context, "/nowhere/ring", 503)


@then('a call of "{path}" is answered with 503 and a Retry-After header')
def step_retry_after(context, path):
    answer = context.installation.call(path, method="GET")
    assert answer.status == 503, answer
    assert float(answer.headers["retry-after"]) > 0.0, answer


@then('once the store answers again a call of "{path}" is answered with 200')
def step_store_back(context, path):
    context.installation.store.is_silent = False
    wait_for_status(context, path, 200)


@given('a second endpoint "{instance_id}" of "{service}"')
def step_second(context, instance_id, service):
    installation = context.installation
    endpoint = installation.add_endpoint(instance_id, service)
    text = f'"endpoint": "{instance_id}"'
    installation.wait_for(lambda: text in installation.read_log(), f"{instance_id} is known")
    assert endpoint.instance_id == instance_id


@when('the endpoint "{instance_id}" announces that it is leaving')
def step_leaves(context, instance_id):
    installation = context.installation
    endpoint = installation.endpoints[instance_id]
    endpoint.is_draining = True
    installation.publish_endpoint(endpoint)
    text = '"change": "leaving"'
    installation.wait_for(lambda: text in installation.read_log(), f"{instance_id} leaves")
    context.before = len(endpoint.received_requests)
    context.leaving = endpoint


@then('{count:d} more lookups all reach "{instance_id}"')
def step_all_reach(context, count, instance_id):
    step_answered_by(context, count, instance_id)
    assert len(context.leaving.received_requests) == context.before


@when('an unlisted endpoint takes over the address of "{instance_id}"')
def step_taken_over(context, instance_id):
    context.installation.endpoints[instance_id].instance_id = "somebody-else"


@then('{count:d} lookups are answered by "{instance_id}"')
def step_answered_by(context, count, instance_id):
    for _ in range(count):
        answer = context.installation.call("/lookup/ring", method="GET")
        assert answer.status == 200, answer
        assert answer.body == f"answer of {instance_id}".encode(), answer


@given("the endpoints stream slowly")
def step_slow_streams(context):
    for endpoint in context.installation.endpoints.values():
        endpoint.faults.extend([Fault.SLOW] * 9)


@when("a host is asked to stop while a caller's draft is running")
def step_stop(context):
    installation = context.installation
    connection = open_raw(context, "/draft/brief")
    received = connection.recv(65536)
    installation.signal_host(0, "SIGTERM")
    context.statuses = []
    while data := connection.recv(65536):
        received += data
        context.statuses.append(installation.fetch_readiness_status())
    context.received = received
    context.code = installation.processes[0].wait(timeout=15)


@then("the draft is complete and the host exits with code {code:d}")
def step_stopped(context, code):
    assert context.received.endswith(b"0\r\n\r\n"), context.received[-200:]
    assert [int(number) for number, _ in EVENT.findall(_dechunk(context.received))] == [
        1,
        2,
        3,
        4,
        5,
    ]
    assert context.code == code, context.code


def _dechunk(received):
    return re.sub(
        rb"\r\n[0-9a-f]+\r\n", b"", received.partition(b"\r\n\r\n")[2].join([b"\r\n", b""])
    )


@then("the host reported that it was not ready while it stopped")
def step_not_ready(context):
    assert context.statuses and 200 not in context.statuses[1:], context.statuses


@when("the settings file becomes invalid and the host receives SIGHUP")
def step_invalid_settings(context):
    context.installation.write_invalid_settings()
    context.installation.signal_host(0, "SIGHUP")


@when("the settings file becomes invalid without a signal")
def step_invalid_settings_silently(context):
    context.installation.write_invalid_settings()


@then('the log contains "{text}"')
def step_log(context, text):
    context.installation.wait_for(lambda: text in context.installation.read_log(), text)


@given('an endpoint "{instance_id}" of the version "{version}"')
def step_version(context, instance_id, version):
    context.installation.add_endpoint(instance_id, "engines", version=version)
    text = f'"endpoint": "{instance_id}"'
    context.installation.wait_for(lambda: text in context.installation.read_log(), text)


@given('an endpoint "{instance_id}" of the version "{version}" that fails each request')
def step_bad_version(context, instance_id, version):
    step_version(context, instance_id, version)
    context.installation.endpoints[instance_id].faults.extend([Fault.ERROR] * 1000)


@when(
    'the operators order a roll-out of "{version}" within {within:d} s, while callers '
    "request drafts"
)
def step_order_version(context, version, within):
    installation = context.installation
    order = {"service": "engines", "target": version, "durationS": within}
    installation.append("keyed.op", "rollout/engines", json.dumps(order).encode())
    until = time.monotonic() + within + 1.0
    request_ids = generate_spread_ids()
    while time.monotonic() < until and _phase(context) in (None, "active"):
        assert draft(context, X_Attempt_Id=next(request_ids)).status == 200, context.answer


def generate_spread_ids():
    """Yield request ids whose hashes lie in each tenth of the range in turn.

    The trial takes about a tenth of the hashes. With ids of random hashes it sometimes got
    fewer answers than a shift needs, and a good version was rolled back.
    """
    tenths = itertools.cycle(range(10))
    tenth = next(tenths)
    for number in itertools.count():
        request_id = f"draft-{number}"
        if zlib.crc32(request_id.encode()) * 10 // 2**32 == tenth:
            yield request_id
            tenth = next(tenths)


def _phase(context):
    entry = context.installation.store.topic("keyed.status").latest_entries().get("rollout/engines")
    return None if entry is None else json.loads(entry[1])["phase"]


@then('the store records the phase "{phase}" for the service "{service}"')
def step_phase(context, phase, service):
    try:
        context.installation.wait_for(lambda: _phase(context) == phase, f"{service} is {phase}")
    except AssertionError as error:
        lines = context.installation.read_log().splitlines()
        told = [line for line in lines if '"rollouts: ' in line or "opies" in line]
        raise AssertionError("\n".join([f"{error}, recorded: {_phase(context)}", *told])) from error


@then('a draft is answered by "{instance_id}"')
def step_draft_by(context, instance_id):
    draft(context)
    assert context.answer.headers["x-instance-signature"] == f"signed-{instance_id}", context.answer


def memory_mb(context):
    status = Path(f"/proc/{context.installation.processes[0].pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) / 1000.0


@given("the endpoint answers {drafts:d} drafts with {events:d} events of 4 KB without pauses")
def step_flood(context, drafts, events):
    installation = context.installation
    # On a busy machine, the time limits must not be reached before the callers read.
    installation.config["routes"][0]["timeoutMs"] = FLOOD_TIMEOUT_MS
    installation.publish_and_wait()
    endpoint = installation.endpoints["engine-1"]
    endpoint.event_count = events
    endpoint.faults.extend([Fault.FLOOD] * drafts)


@when("{count:d} callers request drafts and read nothing until the endpoint is blocked")
def step_read_nothing(context, count):
    endpoint = context.installation.endpoints["engine-1"]
    context.before_mb = memory_mb(context)
    context.connections = [
        open_raw(context, "/draft/brief", attempt=f"flood-{number}", within_ms=FLOOD_TIMEOUT_MS)
        for number in range(count)
    ]
    context.installation.wait_for(
        lambda: len(endpoint.received_requests) == count, "all drafts run"
    )
    # The endpoint is blocked when it has sent nothing more between two measurements.
    context.installation.wait_for(lambda: is_steady(context), "the endpoint is blocked")


def is_steady(context):
    first = memory_mb(context)
    time.sleep(0.5)
    return abs(memory_mb(context) - first) < 0.2


@then("the memory of the host has grown by less than {bound:d} MB")
def step_grown(context, bound):
    grown = memory_mb(context) - context.before_mb
    assert grown < bound, grown


@then("a caller that starts reading gets the events {first:d} to {last:d}")
def step_reads_at_last(context, first, last):
    received = bytearray()
    while not received.endswith(b"0\r\n\r\n"):
        data = context.connections[0].recv(1 << 20)
        assert data, received[-200:]
        received += data
    found = [int(number) for number in re.findall(rb"\nid: (\d+)\n", bytes(received))]
    assert found == list(range(first, last + 1)), (len(found), found[:3], found[-3:])
    for connection in context.connections:
        connection.close()


@when("a caller's draft is running and {count:d} others connect and send nothing")
def step_idle_callers(context, count):
    connection = open_raw(context, "/draft/brief")
    received = connection.recv(65536)
    host, _, port = context.installation.caller_address().rpartition(":")
    context.idle = []
    for _ in range(count):
        idle = socket.create_connection((host, int(port)), timeout=10)
        context.add_cleanup(idle.close)
        context.idle.append(idle)
    while data := connection.recv(65536):
        received += data
        if received.endswith(b"0\r\n\r\n"):
            break
    context.received = received


@then("the draft is complete and the first idle connection was closed")
def step_idle_closed(context):
    numbers = [int(number) for number, _ in EVENT.findall(_dechunk(context.received))]
    assert numbers == [1, 2, 3, 4, 5], context.received[-200:]
    assert context.idle[0].recv(1) == b""
