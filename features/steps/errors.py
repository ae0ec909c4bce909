import json
from pathlib import Path

import urllib3
from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from poplarrun.errors import ERROR_RESPONSES, ErrorKind, NotRun, response_for
from poplarrun.metrics import Metrics
from scripts.error_table import CALLERS_PAGE, render_error_table

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
RETRYABLE_STATUSES = {409, 429, 502, 503}
SECRET_PROMPT = "zyzzyva-prompt"
KNOWN_KEY = "borough-north-key"
WRONG_KEY = "wrong-key-qwertz"


def post(context, host, body, key=KNOWN_KEY, pool=None, **options):
    return (pool or urllib3).request(
        "POST",
        f"http://{context.fleet.hosts[host].address}/v1/chat/completions",
        body=body,
        headers={"Authorization": f"Bearer {key}", "Content-Type": "application/json"},
        retries=False,
        **options,
    )


@then("every error kind has a status, a type and a not_run value")
def step_table(context):
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind in ErrorKind:
        answer = response_for(kind)
        assert 400 <= answer.status <= 599 and answer.type, kind
        assert isinstance(answer.not_run, NotRun), kind


@then("every kind with a retry delay has status 409, 429, 502 or 503")
def step_retry_statuses(context):
    retryable = {kind for kind in ErrorKind if response_for(kind).retry_after_s is not None}
    assert retryable
    assert {response_for(kind).status for kind in retryable} <= RETRYABLE_STATUSES


@then("docs/CALLERS.md contains the table of error kinds")
def step_callers_page(context):
    assert render_error_table() in CALLERS_PAGE.read_text()


@when("one request is refused with each error kind")
def step_refuse_all(context):
    context.metrics = Metrics()
    for kind in ErrorKind:
        context.metrics.count_refusal(kind)


@then("the Prometheus text counts each kind once")
def step_parse_metrics(context):
    families = text_string_to_metric_families(context.metrics.render().decode())
    samples = [sample for family in families for sample in family.samples]
    counts = {
        sample.labels["kind"]: sample.value
        for sample in samples
        if sample.name == "poplarrun_refusals_total"
    }
    assert counts == {kind.value: 1.0 for kind in ErrorKind}, counts


@when('a caller sends these bodies to host "{host}"')
def step_bodies(context, host):
    before = context.fleet.hosts[host].status()["refusals"]
    context.refusals_before = sum(before.values())
    context.refusals_received = 0
    for row in context.table:
        response = post(context, host, row["body"].encode())
        error = json.loads(response.data)["error"]
        assert response.status == int(row["status"]), (row["body"], response.data)
        assert (error["code"], error["not_run"]) == (row["code"], "yes"), error
        assert error["param"] == row["param"], error
        context.refusals_received += 1


@then('the refusal counters of host "{host}" match the refusals that the caller received')
def step_counters_match(context, host):
    counts = sum(context.fleet.hosts[host].status()["refusals"].values())
    assert counts - context.refusals_before == context.refusals_received
    response = urllib3.request("GET", f"http://{context.fleet.hosts[host].address}/metrics")
    assert list(text_string_to_metric_families(response.data.decode()))


@when('a caller sends a secret prompt to host "{host}" and disconnects')
def step_secret_prompt(context, host):
    message = {"role": "user", "content": SECRET_PROMPT}
    for endpoint in ("engine-a", "engine-b", "engine-c"):
        context.fleet.endpoints[endpoint].set_faults(die_after_tokens=3, break_streams=1)
    body = json.dumps({"model": "note", "messages": [message]}).encode()
    context.secret_response = post(context, host, body)
    body = json.dumps({"model": "note", "stream": True, "messages": [message]}).encode()
    response = post(context, host, body, preload_content=False)
    response.read1(1)
    response.close()


@when('a caller sends an unknown key to host "{host}"')
def step_wrong_key(context, host):
    message = {"role": "user", "content": SECRET_PROMPT}
    body = json.dumps({"model": "note", "messages": [message]}).encode()
    assert post(context, host, body, key=WRONG_KEY).status == 401


@then("no log of the hosts contains the keys or the prompt")
def step_no_secrets(context):
    context.log_text = "".join(host.log_file.read_text() for host in context.fleet.hosts.values())
    assert context.log_text
    for secret in (SECRET_PROMPT, KNOWN_KEY, WRONG_KEY):
        assert secret not in context.log_text, secret


@then("each log line about a request has its id")
def step_request_ids(context):
    lines = [json.loads(line) for line in context.log_text.splitlines()]
    request_lines = [
        line for line in lines if line["message"].startswith(("chats:", "operations:"))
    ]
    assert request_lines
    assert all(line["request_id"].startswith("req-") for line in request_lines), request_lines


@given("{count:d} open streams at a host with 8 threads")
def step_open_streams(context, count):
    fleet = context.fleet
    fleet.wait_in_force(fleet.publish((EXAMPLES / "thistledown.yaml").read_text()))
    fleet.wait_versions("larch:1", "spruce:1")
    body = {"model": "note", "stream": True, "messages": [{"role": "user", "content": "Hello"}]}
    pool = urllib3.PoolManager(maxsize=count)
    context.streams = [
        post(context, "a1", json.dumps(body).encode(), pool=pool, preload_content=False)
        for _ in range(count)
    ]
    assert all(response.status == 200 for response in context.streams)


@when('one more caller sends it a "{work_class}" request')
def step_one_more(context, work_class):
    message = {"role": "user", "content": "Hello"}
    body = json.dumps({"model": work_class, "messages": [message]}).encode()
    context.response = post(context, "a1", body, timeout=5)


@then('the caller is refused with "{code}" and not_run "{not_run}"')
def step_refused_with(context, code, not_run):
    error = json.loads(context.response.data)["error"]
    assert (error["code"], error["not_run"]) == (code, not_run), error


@then("the host still reports that it is ready")
def step_still_ready(context):
    assert context.fleet.hosts["a1"].is_ready()


@then("the {count:d} streams complete")
def step_streams_complete(context, count):
    assert len(context.streams) == count
    assert all(response.read().endswith(b"data: [DONE]\n\n") for response in context.streams)
