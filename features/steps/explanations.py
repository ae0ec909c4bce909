import io
import json
from contextlib import redirect_stdout

from behave import then, when

from features.steps.gateway_faults import set_faults
from poplarrun.cli._status import Explain
from poplarrun.cli._timeline import build_timeline, read_log_lines

KEYS = ("counter-key", "second-key", "stolen-key")


def explain(context, request_id):
    """Run ``poplarrun explain`` on the host's log file."""
    path = context.installation.log_path(0)

    def is_end_logged():
        return build_timeline(request_id, read_log_lines([str(path)])).final_line is not None

    context.installation.wait_for(is_end_logged, f"the end of {request_id} is logged")
    output = io.StringIO()
    with redirect_stdout(output):
        Explain(request_id, logs=[str(path)], json=True)()
    return json.loads(output.getvalue())


@when('the store is silent until a lookup "{request_id}" is refused')
def step_silent(context, request_id):
    installation = context.installation
    installation.store.is_silent = True

    def is_refused():
        return installation.call("/lookup/ring", method="GET").status == 503

    installation.wait_for(is_refused, "a lookup is refused")
    answer = installation.call("/lookup/ring", method="GET", X_Attempt_Id=request_id)
    assert answer.status == 503, answer


@when('all endpoints of "{service}" break off the draft "{request_id}"')
def step_break_off(context, service, request_id):
    set_faults(context, service, "CUT", 9)
    for endpoint in context.endpoints:
        endpoint.event_count = 20
    context.installation.call("/draft/brief", X_Model="*", X_Attempt_Id=request_id)


@when('the endpoint of the order "{request_id}" loses its response')
def step_lose(context, request_id):
    set_faults(context, "stock", "LOST")
    answer = context.installation.call("/order/ring", X_Attempt_Id=request_id)
    assert answer.status == 502, answer


@then('the timeline of "{request_id}" ends with "{event}" of kind "{kind}"')
def step_ends(context, request_id, event, kind):
    context.timeline = explain(context, request_id)
    end = context.timeline["lines"][-1]
    assert (end["event"], end["kind"]) == (event, kind), end


@then('the timeline of "{request_id}" shows that the host logged "{event}" before')
def step_logged_before(context, request_id, event):
    assert event in {line["event"] for line in context.timeline["context"]}, context.timeline


@then('the timeline of "{request_id}" has {count:d} sends that failed as "{failure}"')
def step_sends(context, request_id, count, failure):
    failed = [line for line in context.timeline["lines"] if line["event"] == "SendFailed"]
    assert [line["failure"] for line in failed] == [failure] * count, failed
    sent = [line for line in context.timeline["lines"] if line["event"] == "RequestSent"]
    assert [line["endpoint"] for line in sent] == [line["endpoint"] for line in failed]


@when('a caller with the body "{body}" orders with a good and an unknown key')
def step_body(context, body):
    context.secrets = (body, *KEYS)
    for key, request_id in (("counter-key", "good-1"), ("stolen-key", "bad-1")):
        context.installation.call("/order/x", key=key, body=body.encode(), X_Attempt_Id=request_id)
    path = context.installation.log_path(0)
    request_ids = ("good-1", "bad-1")
    context.installation.wait_for(
        lambda: all(request_id in path.read_text() for request_id in request_ids),
        "both requests are logged",
    )


@then("no log line contains the body or a key, and each request line has its id")
def step_no_secrets(context):
    text = context.installation.read_log()
    assert not [secret for secret in context.secrets if secret in text], text
    lines = [json.loads(line) for line in text.splitlines()]
    request_lines = [line for line in lines if line["message"].startswith("request: ")]
    assert {line["request"] for line in request_lines} == {"good-1", "bad-1"}, request_lines


@then('the metrics have the latencies "{names}"')
def step_latencies(context, names):
    text = context.installation.fetch_metrics()
    missing = [
        name
        for name in names.split(", ")
        if "latency_seconds{label=" not in text or f'name="{name}"' not in text
    ]
    assert not missing, (missing, text)
