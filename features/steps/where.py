import contextlib
import dataclasses
import http.client
import json
import random
import re
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when

from features.steps.cli import run_cli_in_process, write_temporary_file
from features.steps.slow_readers import read_events
from poplarrun.gateway import PlannedRequest
from poplarrun.gateway._explanations import _to_request, explain
from poplarrun.routing import PromptPart
from standins._ports import free_port
from standins.installation import Fault
from standins.installation._installation import API_KEY, HOST_NAME

# Metrics that change by themselves, or by their being read.
MOVING = ("poplarrun_peer_bytes", "poplarrun_log_lines", "poplarrun_latency", "poplarrun_events")
PARTS = {"draft": "/draft/brief", "lookup": "/lookup/ring"}


def readiness_address(context):
    return context.installation._addresses[0]["readiness"]


def ask_where(context, path, *more, key=API_KEY, for_people=False):
    key_file = str(write_temporary_file(context, "key", f"{key}\n"))
    arguments = ["where", "--host", readiness_address(context), "--domain", HOST_NAME]
    arguments += ["--path", path, "--key-file", key_file, "--model", "*", *more]
    run_cli_in_process(context, arguments if for_people else [*arguments, "--json"])
    context.explanation = None
    output = context.completed_process.stdout
    if not for_people and output:
        context.explanation = json.loads(output)


def send_parts(context, parts):
    endpoints = context.installation.endpoints.values()
    before = {each.instance_id: len(each.received_requests) for each in endpoints}
    answer = context.installation.call("/draft/brief", X_Model="*", X_Prompt_Prefix=parts)
    assert answer.status == 200, answer
    return next(
        each.instance_id
        for each in endpoints
        if len(each.received_requests) > before[each.instance_id]
    )


@given('a draft with the parts "{parts}" has been answered')
def step_answered(context, parts):
    context.holder = send_parts(context, parts)


@when('the command line asks where a draft with the parts "{parts}" goes')
def step_ask_parts(context, parts):
    context.parts = parts
    options = [option for part in parts.split(",") for option in ("--part", part)]
    ask_where(context, "/draft/brief", *options)


@then("it names the endpoint that holds {tokens:d} tokens, whose cache saves time")
def step_names_holder(context, tokens):
    explanation = context.explanation
    assert explanation["endpoint"] == context.holder, explanation
    chosen = explanation["candidates"][0]
    assert chosen["is_chosen"] and chosen["cached_tokens"] == tokens, chosen
    assert chosen["saved_s"] > 0.0, chosen


@then("the endpoint that it names has the least total of {count:d} endpoints compared")
def step_least(context, count):
    candidates = context.explanation["candidates"]
    assert len(candidates) == count, candidates
    least = min(candidates, key=lambda each: each["total_s"])
    assert least["is_chosen"], candidates
    for each in candidates:
        penalties = each["other_zone_s"] + each["failed_zone_s"] + each["relay_s"]
        assert abs(each["total_s"] - each["expected_s"] - penalties) < 1e-9, each


@then("the same draft, sent, reaches that endpoint")
def step_reaches(context):
    assert send_parts(context, context.parts) == context.explanation["endpoint"]


def read_counts(context):
    lines = context.installation.fetch_metrics().splitlines()
    return [line for line in lines if not line.startswith(("#", *MOVING))]


def count_request_lines(context):
    kinds = ("RequestAdmitted", "RequestSent", "RequestRefused", "RequestCrashed", "SendFailed")
    return sum(len(read_events(context, kind)) for kind in kinds)


@when("the command line asks {count:d} times where drafts, lookups and unknown requests go")
def step_ask_often(context, count):
    context.before = read_counts(context), count_request_lines(context)
    for number in range(count):
        path = ("/draft/brief", "/lookup/ring", "/unknown")[number % 3]
        key = API_KEY if number % 2 else "unknown-key"
        ask_where(context, path, "--part", "secret-part:9000", key=key)
        assert context.explanation is not None, context.completed_process


@then("no endpoint got a request, and the metrics and the log of the host are as before")
def step_nothing_changed(context):
    for endpoint in context.installation.endpoints.values():
        assert not endpoint.received_requests
    after = read_counts(context), count_request_lines(context)
    assert after == context.before, (after, context.before)


@then("the log holds neither the key nor the parts of the prompt")
def step_no_secrets(context):
    log = context.installation.read_log()
    for secret in (API_KEY, "unknown-key", "secret-part"):
        assert secret not in log


@when("the command line asks where a {kind:w} goes")
def step_ask(context, kind):
    ask_where(context, PARTS[kind])


@then(
    'the model "{first}" answers first, and "{larger}" is asked below a confidence from '
    "{low:g} to {high:g}"
)
def step_models(context, first, larger, low, high):
    assert context.explanation["model"] == first, context.explanation
    escalation = context.explanation["escalation"]
    assert escalation["model"] == larger, escalation
    assert low <= escalation["below_confidence"] <= high, escalation
    context.below = escalation["below_confidence"]


@then('the model "{first}" answers, since "{obstacle}"')
def step_obstacle(context, first, obstacle):
    assert context.explanation["model"] == first, context.explanation
    escalation = context.explanation["escalation"]
    assert escalation["obstacle"] == obstacle, escalation
    assert escalation["below_confidence"] is None, escalation


@then("an answer whose confidence is just below it is replaced, and one just above is not")
def step_threshold(context):
    installation = context.installation
    endpoint = installation.endpoints["engine-1"]
    answered_by = []
    for confidence in (100.0 * context.below - 3.0, 100.0 * context.below + 3.0):
        endpoint.confidence = {"small": round(confidence), "large": 99}
        answer = installation.call("/draft/brief", X_Model="*")
        answered_by.append(re.search(rb"data: (\w+) ", answer.body).group(1))
    assert answered_by == [b"large", b"small"], (answered_by, context.below)


@given('"{instance_id}" {state}')
def step_state(context, instance_id, state):
    installation = context.installation
    endpoint = installation.endpoints[instance_id]
    match state:
        case "says that it is leaving":
            endpoint.announces_leaving = True
        case "asks hosts to stay away":
            endpoint.hold_off = "5"
        case "has failed":
            # A good answer among them would end the pause.
            endpoint.faults.extend([Fault.LOST] * 200)
        case "has used up its named rate":
            endpoint.rate_limit = "1"
        case "is in an evacuated zone":
            endpoint.zone = "c"
            installation.publish_endpoint(endpoint)
            installation.append("keyed.op", "evacuate/c", json.dumps({"zone": "c"}).encode())
            time.sleep(1.0)
            return
        case "has a version on trial":
            endpoint.version = "v2"
            installation.publish_endpoint(endpoint)
            order = {"service": "stock", "target": "v2", "durationS": 60}
            installation.append("keyed.op", "rollout/stock", json.dumps(order).encode())
            time.sleep(1.0)
            return
        case _:
            raise AssertionError(state)
    # Single lookups would all go to the endpoint that answered the first one.
    with ThreadPoolExecutor(8) as pool:
        for _ in range(15):
            list(pool.map(lambda _: installation.call("/lookup/ring", method="GET"), range(8)))
            if endpoint.received_requests and not endpoint.rate_limit:
                return
    assert endpoint.received_requests, f"{instance_id} got no request"


@then('it names "{endpoint}", and "{excluded}" is not compared because of "{reason}"')
def step_excluded(context, endpoint, excluded, reason):
    explanation = context.explanation
    assert explanation["endpoint"] == endpoint, explanation
    reasons = {each["endpoint"]: each["reason"] for each in explanation["excluded"]}
    assert reasons[excluded].startswith(reason), reasons
    assert [each["endpoint"] for each in explanation["candidates"]] == [endpoint]


@when("the command line asks where a lookup with an unknown key goes")
def step_ask_unknown_key(context):
    ask_where(context, "/lookup/ring", key="unknown-key")


@when("the command line asks where a request for an unknown path goes")
def step_ask_unknown_path(context):
    ask_where(context, "/unknown")


@when("the command line asks where a lookup with a body of {size:d} bytes goes")
def step_ask_body(context, size):
    ask_where(context, "/lookup/ring", "--body-bytes", str(size))


@then('it exits with {code:d}, and names the refusal "{kind}"')
def step_refusal(context, code, kind):
    assert context.completed_process.returncode == code, context.completed_process
    assert context.explanation["refused_by"] == kind, context.explanation
    assert not context.explanation["endpoint"] and context.explanation["detail"]


@when("the command line asks where a lookup goes, for people")
def step_ask_people(context):
    ask_where(context, "/lookup/ring", for_people=True)


@then('the table has the lines "{first}" and "{second}" and "{third}" and "{fourth}"')
def step_table(context, first, second, third, fourth):
    lines = context.completed_process.stdout.splitlines()
    for begin in (first, second, third, fourth):
        assert any(line.startswith(begin) for line in lines), (begin, lines)


FILES = {
    "no path": "host: shop.example\n",
    "a path without a slash": "host: shop.example\npath: lookup\n",
    "a word as a number": "host: shop.example\npath: /lookup/\nprompt_tokens: many\n",
    "a negative part": "host: shop.example\npath: /lookup/\nparts: [{key: a, tokens: -1}]\n",
    "an unknown field": "host: shop.example\npath: /lookup/\npromt_tokens: 5\n",
    "a list as its document": "[1, 2]\n",
    "no YAML": "host: [\n",
}


@when("the command line asks where the request in a file goes, which has {fault}")
def step_ask_file(context, fault):
    path = write_temporary_file(context, "request.yaml", FILES[fault])
    arguments = ["where", "--host", readiness_address(context), "--file", str(path)]
    run_cli_in_process(context, arguments)


@then('it exits with {code:d}, and the error names "{text}"')
def step_error(context, code, text):
    process = context.completed_process
    assert process.returncode == code and text in process.stderr, process


BODIES = {"no JSON": b"{", "an empty document": b"{}", "a list": b"[]"}


@when("a program asks the host where {body} goes")
def step_program(context, body):
    connection = http.client.HTTPConnection(readiness_address(context), timeout=5)
    with contextlib.closing(connection):
        connection.request("POST", "/where", BODIES[body])
        response = connection.getresponse()
        context.status, context.error = response.status, json.loads(response.read())["error"]


@then('it is answered with {status:d}, and the error names "{text}"')
def step_program_answered(context, status, text):
    assert context.status == status and text in context.error, (context.status, context.error)


@when("the command line asks an address without a host where a lookup goes")
def step_no_host(context):
    arguments = ["where", "--host", f"127.0.0.1:{free_port()}"]
    run_cli_in_process(context, [*arguments, "--domain", HOST_NAME, "--path", "/lookup/ring"])


@when('the command line asks where a draft with the part "{part}" goes, without a host')
def step_bad_part(context, part):
    arguments = ["where", "--host", "127.0.0.1:1", "--domain", HOST_NAME]
    run_cli_in_process(context, [*arguments, "--path", "/draft/brief", "--part", part])


def plan(random_source, path="/x"):
    count = random_source.randrange(4)
    parts = [
        {"key": f"part-{random_source.randrange(3)}", "tokens": random_source.randrange(1, 9000)}
        for _ in range(count)
    ]
    planned = {
        "host": "shop" if path == "/x" else "elsewhere",
        "path": path,
        "api_key": "key",
        "model": "*",
        "parts": parts,
        "prompt_tokens": random_source.randrange(20_000),
        "max_tokens": 100,
        "body_bytes": random_source.randrange(10_000),
        "deadline_ms": 10_000,
    }
    return msgspec.convert(planned, PlannedRequest)


def shuffle_state(context, source, now):
    placement = context.placement
    zones = sorted(endpoint.record.zone for endpoint in placement.endpoints())
    placement.update_evacuated(frozenset(source.sample(zones, source.randrange(2))), now)
    for endpoint in placement.endpoints():
        endpoint.in_flight = source.randrange(12)
        endpoint.peer_in_flight = source.random() * 5
        endpoint.pending_prefill_s = source.random()
        endpoint.slowdown = 0.6 + source.random()
        if source.random() < 0.3:
            parts = (PromptPart(f"part-{source.randrange(3)}", 5000), PromptPart("own", 100))
            endpoint.record_prompt("small", parts, now)
        if source.random() < 0.1:
            endpoint.record_failure(now)


@when("endpoints are loaded, paused, evacuated and given prompts at random, {count:d} times")
def step_random_situations(context, count):
    source = random.Random(11)
    context.found = []
    for number in range(count):
        now = 100.0 + 0.001 * number
        shuffle_state(context, source, now)
        planned = plan(source)
        explanation = explain(context.dispatcher, planned, now)
        work = context.dispatcher.admit(_to_request(planned), now)
        decision = context.dispatcher.choose_endpoint(work, now)
        context.found.append((explanation, decision))


@then("each time the endpoint that is named is the one that is chosen next, with the least total")
def step_same_decision(context):
    named = set()
    for explanation, decision in context.found:
        assert not explanation.refused_by, explanation
        chosen = decision.estimate.endpoint.record.instance_id
        assert explanation.endpoint == chosen, (explanation, decision)
        least = min(explanation.candidates, key=lambda each: each.total_s)
        assert least.is_chosen and least.endpoint == chosen, explanation
        assert least.expected_s == decision.estimate.first_event_s, explanation
        assert len(explanation.candidates) + len(explanation.excluded) == 5
        named.add(chosen)
    assert len(named) == 5, named


def describe_state(dispatcher):
    placement = dispatcher.placement
    return (
        placement._random.getstate(),
        {name: list(times) for name, times in placement._short_at.items()},
        repr(dispatcher.sizes._mean_requests),
        repr([vars_of(endpoint) for endpoint in placement.endpoints()]),
        dispatcher.retry_budgets.budget("engines", 100.0).remaining(100.0),
    )


def vars_of(endpoint):
    return {field.name: getattr(endpoint, field.name) for field in dataclasses.fields(endpoint)}


@when('it is asked where requests go, before and after the zones "{zones}" are evacuated')
def step_ask_dispatcher(context, zones):
    source = random.Random(5)
    dispatcher = context.dispatcher
    dispatcher.admit(_to_request(plan(source)), 100.0)
    context.states = []
    for evacuated in (frozenset(), frozenset(zones.split(", "))):
        context.placement.update_evacuated(evacuated, 100.0)
        before = describe_state(dispatcher)
        kinds = set()
        for _ in range(20):
            for path in ("/x", "/unknown"):
                kinds.add(explain(dispatcher, plan(source, path), 100.0).refused_by)
        context.states.append((before, describe_state(dispatcher)))
        assert kinds == ({"no_endpoint"} if evacuated else {""}) | {"route_unknown"}, kinds


@then("its averages, random numbers, shortages and endpoints are as before")
def step_state_kept(context):
    for before, after in context.states:
        assert before == after
