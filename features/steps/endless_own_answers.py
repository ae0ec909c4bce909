import contextlib
import socket
import threading
import time

from behave import register_type, then, when
from parse import with_pattern

from features.steps.engine_bodies import HEAD, LINES
from poplarrun.clients import (
    EngineCall,
    EngineFailed,
    HttpEngine,
    HttpHostList,
    HttpLog,
    HttpOrders,
    HttpRatings,
    HttpServiceCaller,
    ListUnavailable,
    OrderFailed,
    RatingsUnavailable,
    ServiceCall,
    ServiceOutcomeUnknown,
)
from poplarrun.contracts import VersionId
from poplarrun.log import ReadFailed

# More than a host may take, the longest wait for it to close, and the timeout that callers name.
MAX_SENT_BYTES = 256 * 1024 * 1024
MAX_WAIT_S = 20.0
TIMEOUT_S = 0.5
SLOW_INTERVAL_S = 0.05
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
BEGINNINGS = {
    "begins a huge chunk": HEAD + b"7fffffff\r\n",
    "begins with nothing": HEAD,
    "begins with a chunk": HEAD + b"%x\r\n%s\r\n" % (len(LINES[0]), LINES[0]),
    "ends": HEAD + b"0\r\n",
    "is an error": HEAD.replace(b"200 OK", b"500 Error"),
    "has no length": UNFRAMED_HEAD,
}
BLOCKS = {
    "letters": b"x" * 4096,
    "whole chunks": b"800\r\n" + b"x" * 2048 + b"\r\n",
    "header lines": b"X-More: yes\r\n" * 320,
    "blank lines": b"800\r\n" + b"\n" * 2048 + b"\r\n",
    "slow letters": b"x",
    "slow blank lines": b"1\r\n\n\r\n",
    "slow chunks": b"1\r\nx\r\n",
}


class EndlessServer:
    """Server that answers each request with a beginning, and writes on until it is closed."""

    def __init__(self, beginning, block, interval_s):
        self.sent = 0
        self.closed = threading.Event()
        self._beginning, self._block, self._interval_s = beginning, block, interval_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(self._beginning)
            while self.sent < MAX_SENT_BYTES:
                connection.sendall(self._block)
                self.sent += len(self._block)
                time.sleep(self._interval_s)
        self.closed.set()


def call_engine(address):
    call = EngineCall("request", VersionId("larch", "1"), "one two three", 20, 1)
    events_by_read = HttpEngine().generate(address, call, TIMEOUT_S)
    return [answer for answers in events_by_read for answer in answers][-1]


def call_service(address):
    call = ServiceCall("request", "quote", b"{}", "application/json")
    prepared = HttpServiceCaller().prepare(address, call)
    assert prepared.start_sending()
    outcome = prepared.finish(TIMEOUT_S)
    prepared.close()
    return outcome


CALLS = {
    "an engine's answer": (call_engine, EngineFailed),
    "an engine's load": (lambda address: HttpEngine().fetch_load(address), EngineFailed),
    "an engine's cache": (lambda address: HttpEngine().list_cache_events(address, 0), EngineFailed),
    "an engine's models": (lambda address: HttpOrders().read_models(address), OrderFailed),
    "the host list": (lambda address: HttpHostList(address).read(), ListUnavailable),
    "the log": (lambda address: HttpLog(address).read("claims", 0, 10), ReadFailed),
    "the ratings": (lambda address: HttpRatings(address).collect(["a"]), RatingsUnavailable),
    "a plain service": (call_service, ServiceOutcomeUnknown),
}


@with_pattern("|".join(CALLS))
def parse_what(text):
    return text


register_type(What=parse_what)


@when("{what:What} {beginning}, and then sends {rest} without end")
def step_endless_own(context, what, beginning, rest):
    call, context.failure = CALLS[what]
    interval_s = SLOW_INTERVAL_S if rest.startswith("slow") else 0.0
    server = EndlessServer(BEGINNINGS[beginning], BLOCKS[rest], interval_s)
    context.add_cleanup(server.close)
    context.server, context.outcomes = server, []
    thread = threading.Thread(
        target=lambda: context.outcomes.append(call(server.address)), daemon=True
    )
    thread.start()
    thread.join(MAX_WAIT_S)


@then("the call fails before {kilobytes:d} KB were sent, and its connection is closed")
def step_given_up(context, kilobytes):
    assert context.outcomes, "the call has not ended"
    assert isinstance(context.outcomes[0], context.failure), context.outcomes
    assert context.server.sent <= 1000 * kilobytes, context.server.sent
    assert context.server.closed.wait(MAX_WAIT_S)
