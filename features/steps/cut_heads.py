import socket
import threading

from behave import then, when

from features.steps.endless_own_answers import CALLS
from poplarrun.clients import HttpEngine

CALL_TIMEOUT_S = 20.0
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
TYPE_LINE = b"Content-Type: application/json\r\n"
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADS = {
    "after its version": b"HTTP/1.1",
    "in its status": b"HTTP/1.1 20",
    "in a status line of no HTTP": b"SSH-2.0-service\r\n\r\n",
    "in its status line": b"HTTP/1.1 200 O",
    "after its status line": STATUS_LINE,
    "in a header": STATUS_LINE + b"Content-Type: applic",
    "before its length": STATUS_LINE + TYPE_LINE + b"Content-Le",
    "before its last empty line": STATUS_LINE + TYPE_LINE,
    "in its last empty line": STATUS_LINE + TYPE_LINE + b"\r",
    "after an interim head": INTERIM_HEAD,
    "in the head after an interim head": INTERIM_HEAD + STATUS_LINE + TYPE_LINE,
}
NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
ANSWER_LISTS = ("an engine's cache", "the ratings")


class OneAnswerServer:
    """Server that sends the same bytes to each request, and closes its connection.

    Attributes
    ----------
    methods : list of str
        The methods of the requests that have arrived.
    """

    def __init__(self, answer):
        self.methods = []
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self.methods.append(connection.recv(65_536).split(b" ", 1)[0].decode())
                connection.sendall(self._answer)


def start_server(context, answer):
    context.server = OneAnswerServer(answer)
    context.add_cleanup(context.server.close)
    return context.server


def call(context, what, answer):
    make_call, context.failure = CALLS[what]
    context.outcome = make_call(start_server(context, answer).address)


@when("{what:What} stops {where}, and closes its connection")
def step_stops(context, what, where):
    call(context, what, HEADS[where])


@when("{what:What} answers with a field of 100000 nested lists")
def step_nested(context, what):
    body = b"[" + NESTED + b"]" if what in ANSWER_LISTS else NESTED + b"\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    call(context, what, STATUS_LINE + TYPE_LINE + length + body)


@when("an engine stops {where} while its cache is moved")
def step_moved(context, where):
    server = start_server(context, HEADS[where])
    assert not HttpEngine().move_cache(server.address, server.address, "request")


@then("the call fails")
def step_fails(context):
    assert isinstance(context.outcome, context.failure), context.outcome


@then("nothing is imported")
def step_nothing_imported(context):
    assert "PUT" not in context.server.methods, context.server.methods
