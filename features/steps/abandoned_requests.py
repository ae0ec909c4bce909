from behave import given, then, when

from features.steps.gateway import open_raw, step_second
from features.steps.gateway_faults import executions_of
from features.steps.single_runs import ROUTES, publish_resumability
from standins.installation import Fault

PATHS = {"a lookup": ("/lookup/ring", "stock"), "a draft": ("/draft/brief", "engines")}
# Neither the deadline nor the end of a slow stream of so many events comes while a test waits.
DEADLINE_MS = 60_000
EVENTS = 60
REQUEST_ID = "left-request"


@given("streams are {kind}, and a second endpoint of each service")
def step_endpoints(context, kind):
    step_second(context, "engine-2", "engines")
    step_second(context, "stock-2", "stock")
    for route in context.installation.config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    publish_resumability(context.installation, kind == "resumable")


@when('{request} is answered with the faults "{faults}", and its caller leaves during run {run:d}')
def step_leave(context, request, faults, run):
    path, service = PATHS[request]
    endpoints = context.installation.endpoints.values()
    shared = next(each for each in endpoints if each.service == service).faults
    shared.extend(Fault[name] for name in faults.split(", "))
    for endpoint in endpoints:
        if endpoint.service == service:
            endpoint.faults, endpoint.event_count = shared, EVENTS
    connection = open_raw(context, path, attempt=REQUEST_ID, within_ms=DEADLINE_MS)
    context.installation.wait_for(
        lambda: len(executions_of(context, service)) == run, f"run {run} of {request}"
    )
    if "SLOW" in faults:
        connection.recv(65536)
    connection.close()
    context.run_service = service
    context.run = max(executions_of(context, service), key=lambda each: each.received_at)


@then("the endpoint of that run is disconnected since its caller has left")
def step_disconnected(context):
    installation = context.installation
    installation.wait_for(lambda: context.run.is_disconnected, "the endpoint is left")
    installation.wait_for(lambda: installation.read_events("CallerLeft"), "it is logged")
    (left,) = installation.read_events("CallerLeft")
    assert left["request"] == REQUEST_ID, left
    # A timeout would have begun another run.
    runs = executions_of(context, context.run_service)
    assert context.run.received_at == max(run.received_at for run in runs)


@given("the endpoints answer after {seconds:f} s")
def step_delay(context, seconds):
    for endpoint in context.installation.endpoints.values():
        endpoint.first_event_delay_s = seconds


@when("the caller of an order leaves before the answer")
def step_leave_order(context):
    connection = open_raw(context, "/order/ring", attempt=REQUEST_ID)
    context.installation.wait_for(lambda: executions_of(context, "stock"), "it runs")
    connection.close()


@then("the order is answered with {status:d} all the same")
def step_order_completed(context, status):
    def find_answers():
        answers = context.installation.read_events("RequestAnswered")
        return [each for each in answers if each["request"] == REQUEST_ID]

    context.installation.wait_for(find_answers, "the answer is logged")
    assert find_answers()[0]["status"] == status, find_answers()
    (order,) = executions_of(context, "stock")
    assert not order.is_disconnected


@then(
    "{request} that was sent {ends} when its caller leaves, and it {may} be sent over a "
    "connection that was used before"
)
def step_route(context, request, ends, may):
    route = ROUTES[request]
    assert route.outlives_caller == (ends == "goes on")
    assert route.can_reuse_connection == (may == "may")
