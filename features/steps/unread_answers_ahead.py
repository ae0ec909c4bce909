import contextlib
import http.client
import os
import selectors
import socket
import threading
import time
from pathlib import Path

from behave import given, then, when
from cheroot import wsgi

from poplarrun.server._connections import Connection
from standins.installation._installation import API_KEY, HOST_NAME

# Small, so that few answers fill it.
RECEIVE_BUFFER_BYTES = 4096
PIECE_BYTES = 64 * 1024
# A crowd has sent all it can when none of its connections takes more for so long.
BLOCKED_S = 1.0
MAX_SENDING_S = 45.0
# The host has done with what it got when its peak of memory stays the same for so long.
SETTLED_S = 1.0
# A caller whose connection is closed unanswered, or refused, tries again.
MAX_ATTEMPTS = 40
ATTEMPT_INTERVAL_S = 0.25
MAX_OWN_ATTEMPTS = 4
CALL_TIMEOUT_S = 5.0
RESEND_INTERVAL_S = 0.05
TAKEN_S = 1.0
ANSWER_BYTES = 2000
END_TIMEOUT_S = 60.0
HOST = f"Host: {HOST_NAME}\r\n"
PROPER = f"{HOST}X-Deadline-Ms: 4000\r\nAuthorization: Bearer {API_KEY}\r\n"
REQUESTS = {
    "readiness checks": f"GET /readyz HTTP/1.1\r\n{HOST}\r\n",
    "scrapes": f"GET /metrics HTTP/1.1\r\n{HOST}\r\n",
    "head requests": f"HEAD /lookup/x HTTP/1.1\r\n{HOST}\r\n",
    "requests without headers": f"GET /lookup/x HTTP/1.1\r\n{HOST}\r\n",
    "requests without a route": f"GET /nowhere/x HTTP/1.1\r\n{PROPER}\r\n",
    "requests to an unknown name": "GET /lookup/x HTTP/1.1\r\nHost: nobody.example\r\n\r\n",
    "lookups": f"GET /lookup/x HTTP/1.1\r\n{PROPER}X-Attempt-Id: ahead\r\n\r\n",
    "chunks with extensions": (
        f"POST /nowhere/x HTTP/1.1\r\n{PROPER}Transfer-Encoding: chunked\r\n\r\n"
        "1;name=value\r\nx\r\n0\r\n\r\n"
    ),
    "expectations": (
        f"POST /nowhere/x HTTP/1.1\r\n{PROPER}Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"
    ),
    "upgrades": f"GET /nowhere/x HTTP/1.1\r\n{PROPER}Connection: upgrade\r\nUpgrade: other\r\n\r\n",
}
ENDLESS_BODY = f"POST /lookup/x HTTP/1.1\r\n{PROPER}Content-Length: 4000000\r\n\r\n"


def address_of(context, name):
    if name == "callers":
        return context.installation.caller_address()
    return context.installation.address(name)


def connect(address):
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.settimeout(5.0)
    with contextlib.suppress(OSError):
        connection.connect((host, int(port)))
    connection.setblocking(False)
    return connection


def read_what(what, size):
    """Return the bytes that one caller sends."""
    if what == "bodies without end":
        return ENDLESS_BODY.encode() + bytes(size)
    request = REQUESTS[what].encode()
    return request * (size // len(request))


def send_ahead(connections, data):
    """Send the same bytes on all connections, until they are sent, blocked or closed."""
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection, selectors.EVENT_WRITE, [0])
    ends_at = time.monotonic() + MAX_SENDING_S
    while selector.get_map() and time.monotonic() < ends_at:
        ready = selector.select(BLOCKED_S)
        if not ready:
            break
        for key, _ in ready:
            position = key.data
            try:
                sent = key.fileobj.send(data[position[0] : position[0] + PIECE_BYTES])
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(key.fileobj)
                continue
            position[0] += sent
            if position[0] >= len(data):
                selector.unregister(key.fileobj)
    selector.close()


def read_peak_kb(context):
    process = context.installation.processes[0]
    assert process.poll() is None, context.installation.read_log()[-2000:]
    status = Path(f"/proc/{process.pid}/status").read_text()
    (peak,) = (line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
    return int(peak)


def is_settled(context):
    before = read_peak_kb(context)
    time.sleep(SETTLED_S)
    return read_peak_kb(context) == before


def open_crowd(context, address, count):
    context.crowd = [connect(address) for _ in range(count)]
    context.add_cleanup(close_crowd, context)


def close_crowd(context):
    for connection in context.crowd:
        connection.close()
    context.crowd = []


def try_until_ok(call, attempts=MAX_ATTEMPTS):
    """Return the status of a call, which is repeated if it is refused or its connection closed."""
    status = None
    for _ in range(attempts):
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = call()
            if status == 200:
                break
        time.sleep(ATTEMPT_INTERVAL_S)
    return status


def get_status(address):
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request("GET", "/healthz")
        return connection.getresponse().status


@when("{count:d} callers send {size:d} KB of {what} each to the {name} address, and read nothing")
def step_send_ahead(context, count, size, what, name):
    open_crowd(context, address_of(context, name), count)
    send_ahead(context.crowd, read_what(what, size * 1000))


@when("{count:d} callers connect to the {name} address and send half a request")
def step_half_requests(context, count, name):
    open_crowd(context, address_of(context, name), count)
    send_ahead(context.crowd, f"GET /readyz HTTP/1.1\r\n{HOST}".encode())


@then(
    "the host lives, has taken less than {megabytes:d} MB, and has at most {count:d} descriptors"
    " open"
)
def step_bounded(context, megabytes, count):
    context.installation.wait_for(lambda: is_settled(context), "the host has read what it will")
    peak_kb = read_peak_kb(context)
    assert peak_kb < megabytes * 1000, f"{peak_kb // 1000} MB"
    process = context.installation.processes[0]
    descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
    assert descriptors <= count, descriptors


@then("an ordinary lookup beside them, and one after them, is answered with 200")
def step_lookups(context):
    def look_up():
        return context.installation.call("/lookup/ring", method="GET").status

    assert try_until_ok(look_up) == 200, "beside them"
    close_crowd(context)
    assert try_until_ok(look_up) == 200, "after them"


@then("a readiness check beside them is answered with 200")
def step_readiness(context):
    assert try_until_ok(context.installation.fetch_readiness_status) == 200


@when("the host receives SIGTERM beside the crowd")
def step_stop(context):
    context.installation.signal_host(0, "SIGTERM")


@then("the process has ended by itself with code 0")
def step_ended(context):
    code = context.installation.processes[0].wait(END_TIMEOUT_S)
    assert code == 0, (code, context.installation.read_log()[-2000:])


def keep_sending(connections, address, data, ended):
    """Send on all connections until an event is set, and replace those that are closed."""
    while not ended.wait(RESEND_INTERVAL_S):
        for number, connection in enumerate(connections):
            try:
                while True:
                    connection.send(data)
            except BlockingIOError:
                continue
            except OSError:
                connection.close()
                connections[number] = connect(address)


@when(
    "{count:d} callers send {what} to the own interface without end, read nothing, and come back"
    " when they are closed"
)
def step_send_to_own(context, count, what):
    address = next(iter(context.fleet.hosts.values())).address
    open_crowd(context, address, count)
    ended = threading.Event()
    arguments = (context.crowd, address, read_what(what, PIECE_BYTES), ended)
    thread = threading.Thread(target=keep_sending, args=arguments)
    thread.start()

    def stop_sending():
        ended.set()
        thread.join()

    context.add_cleanup(stop_sending)
    time.sleep(TAKEN_S)


@then("an ordinary call beside them is answered with 200")
def step_own_call(context):
    address = next(iter(context.fleet.hosts.values())).address
    assert try_until_ok(lambda: get_status(address), MAX_OWN_ATTEMPTS) == 200


@given(
    "an HTTP server of the own interface with {threads:d} threads, whose system keeps little for"
    " callers"
)
def step_own_server(context, threads):
    def answer(environment, start_response):
        start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
        return [bytes(ANSWER_BYTES)]

    server = wsgi.Server(("127.0.0.1", 0), answer, numthreads=threads)
    server.ConnectionClass = Connection
    server.prepare()
    # Accepted connections take over the size of the buffer.
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, RECEIVE_BUFFER_BYTES)
    thread = threading.Thread(target=server.serve)
    thread.start()

    def stop():
        server.stop()
        thread.join()

    context.add_cleanup(stop)
    context.own_address = "{}:{}".format(*server.bind_addr)


@when("{count:d} callers send {requests:d} requests ahead and read nothing")
def step_send_requests(context, count, requests):
    open_crowd(context, context.own_address, count)
    send_ahead(context.crowd, REQUESTS["readiness checks"].encode() * requests)
    time.sleep(SETTLED_S)


@then("an ordinary call to that server is answered with 200")
def step_own_server_answers(context):
    assert try_until_ok(lambda: get_status(context.own_address), 1) == 200
