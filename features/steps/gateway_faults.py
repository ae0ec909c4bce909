import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.steps.gateway import draft, open_raw, step_second
from standins.installation import Fault

# For so long an endpoint works on an order, so that orders at a time load it.
ORDER_S = 0.05


def requests_of(context, service):
    endpoints = [r for r in context.installation.endpoints.values() if r.service == service]
    return [request for endpoint in endpoints for request in endpoint.received_requests]


def executions_of(context, service):
    return [request for request in requests_of(context, service) if request.is_executed]


def set_faults(context, service, fault, count=1):
    """Set a fault at all endpoints of a service, since the host chooses among them."""
    context.endpoints = [r for r in context.installation.endpoints.values() if r.service == service]
    if count > 1 or len(context.endpoints) == 1:
        for endpoint in context.endpoints:
            endpoint.faults.extend([Fault[fault]] * count)
        return
    # The endpoints share one fault, which the first one to be sent a request uses.
    shared = context.endpoints[0].faults
    for endpoint in context.endpoints:
        endpoint.faults = shared
    shared.append(Fault[fault])


@when('the endpoints of "{service}" answer the next {count:d} {request} with the fault "{fault}"')
def step_many_faults(context, service, count, request, fault):
    set_faults(context, service, fault, count)
    for endpoint in context.endpoints:
        # More events than all attempts together send before they abort.
        endpoint.event_count = 20
    _send_request(context, request.rstrip("s"))


@when('the endpoints of "{service}" answer the next {request:w} with the fault "{fault:w}"')
def step_one_fault(context, service, request, fault):
    set_faults(context, service, fault)
    _send_request(context, request)


@when('the endpoints of "{service}" answer the next {request:w} with the faults "{faults}"')
def step_several_faults(context, service, request, faults):
    for fault in faults.split(", "):
        set_faults(context, service, fault)
    _send_request(context, request)


def _send_request(context, request):
    if request == "draft":
        draft(context, X_Deadline_Ms=getattr(context, "draft_time_left_ms", "4000"))
        return
    method = "POST" if request == "order" else "GET"
    context.answer = context.installation.call(f"/{request}/ring", method=method)


@given(
    '{count:d} endpoints of "{service}", and drafts that may take {seconds:d} s and be sent '
    "{attempts:d} times"
)
def step_long_drafts(context, count, service, seconds, attempts):
    installation = context.installation
    for number in range(2, count + 1):
        step_second(context, f"{service}-{number}", service)
    context.draft_time_left_ms = str(seconds * 1000)
    route = installation.config["routes"][0]
    route |= {"timeoutMs": seconds * 1000, "maxAttempts": attempts}
    installation.publish_and_wait()


@then('{count:d} runs of "{service}" were needed')
def step_runs(context, count, service):
    assert len(executions_of(context, service)) == count, executions_of(context, service)


@then("the caller's {request:w} gets {status:d}")
def step_answered(context, request, status):
    assert context.answer.status == status, context.answer


@then("exactly one endpoint ran it")
def step_one_ran(context):
    assert len(executions_of(context, "stock")) == 1, executions_of(context, "stock")


@then("no endpoint ran it")
def step_none_ran(context):
    assert not executions_of(context, "stock")


@then('the answer is signed by "{instance_id}"')
def step_signed(context, instance_id):
    assert context.answer.headers["x-instance-signature"] == f"signed-{instance_id}", context.answer


@then("the answer is not signed")
def step_unsigned(context):
    assert "x-instance-signature" not in context.answer.headers, context.answer


@then("the second endpoint was asked to resume after event {number:d}")
def step_resumed(context, number):
    asked = [s.headers.get("last-event-id") for r in context.endpoints for s in r.received_requests]
    assert sorted(asked, key=str) == [str(number), None], asked


@then("its body is the events {first:d} to {last:d} and nothing else")
def step_body(context, first, last):
    events = [f"id: {n}\ndata: small {n}\n\n" for n in range(first, last + 1)]
    assert context.answer.body.decode() == "".join(events), context.answer


@then("the answer is aborted")
def step_aborted(context):
    assert not context.answer.is_whole, context.answer


@when("a caller disconnects in the middle of a draft")
def step_disconnect(context):
    connection = open_raw(context, "/draft/brief")
    connection.recv(65536)
    connection.close()
    context.left_at = time.monotonic()


@when(
    'the endpoints of "{service}" answer the next draft with the fault "MUTE" and its '
    "caller disconnects"
)
def step_disconnect_early(context, service):
    set_faults(context, service, "MUTE")
    connection = open_raw(context, "/draft/brief")
    endpoint = context.installation.endpoints["engine-1"]
    context.installation.wait_for(
        lambda: endpoint.received_requests and endpoint.received_requests[0].is_executed, "it runs"
    )
    connection.close()
    context.left_at = time.monotonic()


@when('an endpoint of "{service}" rejects an order a second after its caller has left')
def step_reject_late(context, service):
    set_faults(context, service, "NOT_RUN_LATE")
    connection = open_raw(context, "/order/ring")
    context.installation.wait_for(lambda: requests_of(context, service), "it arrives")
    connection.close()
    # Long enough for the rejection and a second send.
    time.sleep(2.0)


@then('{count:d} request reached the endpoints of "{service}"')
def step_reached(context, count, service):
    assert len(requests_of(context, service)) == count, requests_of(context, service)


@then("its endpoint is disconnected within half a second")
def step_disconnected(context):
    endpoint = context.installation.endpoints["engine-1"]
    context.installation.wait_for(
        lambda: any(request.is_disconnected for request in endpoint.received_requests),
        "the caller has disconnected",
    )


@when('another writer lists "{key}" of "{service}" at "{address}"')
def step_other_writer(context, key, service, address):
    installation = context.installation
    fields = {"zone": "a", "version": "v1", "slots": 8, "phase": "ready"}
    record = {"service": service, "address": address, **fields}
    installation.append("keyed.servers", key, json.dumps(record).encode())

    def is_read():
        lines = [
            *installation.read_events("RecordIgnored"),
            *installation.read_events("EndpointChanged"),
        ]
        return any(line["endpoint"] == key for line in lines)

    installation.wait_for(is_read, "the record is read")


@then("{count:d} orders of {callers:d} callers at a time are all answered with {status:d}")
def step_orders(context, count, callers, status):
    for endpoint in context.installation.endpoints.values():
        endpoint.first_event_delay_s = ORDER_S
    with ThreadPoolExecutor(callers) as pool:
        answers = list(pool.map(lambda _: context.installation.call("/order/ring"), range(count)))
    assert [answer.status for answer in answers] == [status] * count, answers


@when('all endpoints of "{service}" are removed')
def step_all_removed(context, service):
    installation = context.installation
    for instance_id in [
        r.instance_id for r in installation.endpoints.values() if r.service == service
    ]:
        installation.remove_endpoint(instance_id)
    text = "Endpoints were removed."
    installation.wait_for(lambda: text in installation.read_log(), text)


@then("a lookup is answered with {status:d} within one second")
def step_at_once(context, status):
    # The caller's time limit is 4 s; the answer must arrive long before it, with Retry-After.
    answer = context.installation.call("/lookup/ring", method="GET")
    assert answer.status == status, answer
    assert float(answer.headers["retry-after"]) < 1.0, answer
