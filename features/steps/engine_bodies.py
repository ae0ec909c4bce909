import contextlib
import re
import socket
import threading

from behave import given, then, when

from poplarrun.clients import Chunk, EngineCall, EngineFailed, HttpEngine, Usage
from poplarrun.contracts import VersionId

WORDS = [f"word-{position} " for position in range(20)]
LINES = [
    *(
        f'{{"type":"chunk","position":{position},"text":"{word}"}}\n'.encode()
        for position, word in enumerate(WORDS)
    ),
    b'{"type":"usage","input_tokens":3,"output_tokens":20}\n',
]
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in LINES) + b"0\r\n\r\n"
FAULTS = {
    "half of a body": BODY[: len(BODY) // 2],
    "no size": b"none\r\n" + BODY,
    "a wrong size": b"3\r\n" + LINES[0] + b"\r\n" + BODY,
    "an endless size": b"1" * 1000,
}


def read_request(connection):
    """Read one request with its body; return False when the connection is closed."""
    data = b""
    while (piece := connection.recv(65_536)) and not is_complete_request(data + piece):
        data += piece
    return bool(piece)


def is_complete_request(data):
    head, _, body = data.partition(b"\r\n\r\n")
    content_length = re.search(rb"(?i)content-length: *(\d+)", head)
    return content_length is not None and len(body) >= int(content_length.group(1))


class RawEngine:
    """Responds to each request with the same bytes, in pieces of a given size."""

    def __init__(self, body, piece_bytes=10_000, closes=False):
        self.connections = 0
        self._response = HEAD + body
        self._piece_bytes = piece_bytes
        self._closes = closes
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        try:
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()
        except OSError:
            return

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The client may close the connection while bytes are being sent.
        with connection, contextlib.suppress(ConnectionError):
            while read_request(connection):
                for at in range(0, len(self._response), self._piece_bytes):
                    connection.sendall(self._response[at : at + self._piece_bytes])
                if self._closes:
                    return


def generate(context):
    call = EngineCall("request", VersionId("larch", "1"), "one two three", 20, 1)
    events_by_read = HttpEngine().generate(context.raw_engine.address, call, 10.0)
    return [answer for answers in events_by_read for answer in answers]


def run_engine(context, *arguments, **options):
    context.raw_engine = RawEngine(*arguments, **options)
    context.add_cleanup(context.raw_engine.close)


@given("an engine that sends its bytes {piece_bytes:d} at a time")
def step_engine_of_pieces(context, piece_bytes):
    run_engine(context, BODY, piece_bytes)


@given("an engine that sends more than a body")
def step_engine_of_more(context):
    run_engine(context, BODY + LINES[0])


@given("an engine that sends {fault}")
def step_engine_of_fault(context, fault):
    run_engine(context, FAULTS[fault], closes=True)


@when("it is asked for two answers")
def step_ask_twice(context):
    context.answers = [generate(context), generate(context)]


@when("it is asked for an answer")
def step_ask(context):
    context.answers = [generate(context)]


@then("both are whole")
def step_whole(context):
    chunks = [Chunk(position, word) for position, word in enumerate(WORDS)]
    for answer in context.answers:
        assert answer == [*chunks, Usage(3, 20)], answer


@then("it is broken")
def step_broken(context):
    assert context.answers[0][-1] == EngineFailed(True, "broken"), context.answers
    assert not any(isinstance(answer, Usage) for answer in context.answers[0])


@then("one connection served both")
def step_one_connection(context):
    assert context.raw_engine.connections == 1


@then("each had a connection of its own")
def step_own_connections(context):
    assert context.raw_engine.connections == 2
