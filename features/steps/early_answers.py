import asyncio
import re
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when

from features.steps.cut_heads import call
from features.steps.gateway import events_of
from poplarrun.clients._answers import fetch
from poplarrun.platform import NoAnswer, StoreClient
from poplarrun.transport import ConnectionBroken, open_connection
from standins.early_answers import EarlyServer, End
from standins.installation import Endpoint

PART = b"x" * 4000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + PART
REFUSAL = b"HTTP/1.1 413 Too Large\r\nContent-Length: 4000\r\n\r\n" + PART
STATUS_000 = b"HTTP/1.1 000 -\r\nContent-Length: 2\r\n\r\n{}"
EARLY = "early-1"
REQUEST_ID = re.compile(rb"(?i)x-attempt-id: *(\S+)")
CALL_TIMEOUT_S = 10.0
# Callers at a time, so that the endpoints share their requests.
CALLERS = 4
MAX_CALLS = 80


def start_server(context, answer, end):
    server = EarlyServer(lambda _: answer, end)
    context.add_cleanup(server.close)
    return server


async def read_answer(address, size):
    """Return the body of an answer; None if it is broken."""
    connection = await open_connection(address, 5.0)
    connection.send(b"POST", b"/", [(b"Host", b"endpoint")], b"b" * size)
    body = b""
    try:
        await connection.read_head()
        while (data := await connection.read_data(CALL_TIMEOUT_S)) is not None:
            body += data
    except ConnectionBroken:
        return None
    finally:
        connection.abort()
    return body


@when(
    "{plays:d} requests of {size:d} bytes get 4000 bytes without a length"
    " from an endpoint that {end}"
)
def step_requests(context, plays, size, end):
    server = start_server(context, UNFRAMED, End(end))

    async def play():
        return [await read_answer(server.address, size) for _ in range(plays)]

    context.bodies = asyncio.run(play())


def read_own_answer(address, size):
    try:
        return fetch("POST", f"http://{address}/", CALL_TIMEOUT_S, body=b"b" * size).data
    except urllib3.exceptions.HTTPError:
        return None


@when("{plays:d} calls of {size:d} bytes get {what} from a server that {end}")
def step_calls(context, plays, size, what, end):
    answer = REFUSAL if what == "a refusal with a length" else UNFRAMED
    server = start_server(context, answer, End(end))
    context.bodies = [read_own_answer(server.address, size) for _ in range(plays)]


@then("{count:d} of them are whole")
def step_whole(context, count):
    whole = [body for body in context.bodies if body is not None]
    assert len(whole) == count, [body and len(body) for body in context.bodies]
    assert set(whole) <= {PART}, {len(body) for body in whole}


@given("bodies of {size:d} bytes are allowed")
def step_allow_bodies(context, size):
    installation = context.installation
    installation.config["limits"]["maxBodyBytes"] = size
    installation.publish_and_wait()


def add_early_endpoint(context, service, make_answer, end):
    """Start an endpoint that answers early, and wait until host 0 knows it."""
    installation = context.installation
    context.early = EarlyServer(make_answer, end)
    context.add_cleanup(context.early.close)
    is_engine = service == "engines"
    endpoint = Endpoint(EARLY, service, context.early.address, is_engine=is_engine)
    installation.endpoints[EARLY] = endpoint
    installation.publish_endpoint(endpoint)
    text = f'"endpoint": "{EARLY}"'
    for number in installation.processes:
        installation.wait_for(
            lambda n=number: text in installation.read_log(n), f"{EARLY} is known"
        )


def sign(head, status, rest, body):
    """Return an answer of the early endpoint to a request."""
    found = REQUEST_ID.search(head)
    request_id = found.group(1) if found else b""
    return b"HTTP/1.1 %s -\r\nX-Attempt-Id: %s\r\nX-Instance-Signature: signed-%s\r\n%s\r\n%s" % (
        status,
        request_id,
        EARLY.encode(),
        rest,
        body,
    )


@given('an endpoint of "{service}" that answers each request early and {end}')
def step_early_endpoint(context, service, end):
    body = b"id: 1\ndata: small 1\n\nid: 2\ndata: small 2\n\n" if service == "engines" else PART
    add_early_endpoint(context, service, lambda head: sign(head, b"200", b"", body), End(end))


@given('an endpoint of "{service}" that answers each request with the status 000')
def step_000_endpoint(context, service):
    length = b"Content-Length: %d\r\n" % len(PART)
    add_early_endpoint(
        context, service, lambda head: sign(head, b"000", length, PART), End.IN_ORDER
    )


@when("callers send {request:w}s of {size:d} bytes until that endpoint has got one")
def step_send(context, request, size):
    def send(_):
        return context.installation.call(f"/{request}/ring", body=b"b" * size, X_Model="*")

    context.answers = []
    with ThreadPoolExecutor(CALLERS) as pool:
        while not context.early.heads:
            assert len(context.answers) < MAX_CALLS, context.answers
            context.answers += pool.map(send, range(CALLERS))


def is_of_early(answer):
    return answer.headers.get("x-instance-signature") == f"signed-{EARLY}"


@then("each gets a whole answer of another endpoint")
def step_other_answers(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.is_whole and not is_of_early(answer), answer


@then("each gets 502, or an answer of another endpoint")
def step_502(context):
    for answer in context.answers:
        assert answer.status in (200, 502) and not is_of_early(answer), answer
    assert any(answer.status == 502 for answer in context.answers), context.answers


@then("each gets all events, or an answer broken off")
def step_all_events(context):
    for answer in context.answers:
        numbers = [number for number, _ in events_of(answer)]
        assert numbers == [1, 2, 3, 4, 5] or not answer.is_whole or answer.status == 502, answer


@when("{what:What} answers with the status 000")
def step_own_000(context, what):
    call(context, what, STATUS_000)


@when("the store answers with the status 000")
def step_store_000(context):
    server = start_server(context, STATUS_000, End.IN_ORDER)

    async def ask():
        store = StoreClient(server.address, lambda *_: None)
        return [
            await store.append("topic", [("key", b"value")]),
            await store.read_latest("topic"),
        ]

    context.outcomes = asyncio.run(ask())


@then("no call of it has got an answer")
def step_no_answer(context):
    assert all(isinstance(outcome, NoAnswer) for outcome in context.outcomes), context.outcomes
