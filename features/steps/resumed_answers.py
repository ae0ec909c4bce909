import json
import threading
import time
from pathlib import Path

import urllib3
from behave import given, then, when

from standins.fleet import wait_until

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
HEADERS = {"Authorization": "Bearer borough-north-key"}
ENGINES = ["engine-a", "engine-b", "engine-c"]
TOKEN_DELAY_S = 0.03


def make_body(work_class, stream):
    words = [{"role": "user", "content": "Tell of lending in the north"}]
    return {"model": work_class, "messages": words, "stream": stream}


def send_chat(context, host, work_class, stream):
    return urllib3.request(
        "POST",
        f"http://{context.fleet.hosts[host].address}/v1/chat/completions",
        json=make_body(work_class, stream),
        headers=HEADERS,
        retries=False,
        timeout=60,
        preload_content=not stream,
    )


def alive_engines(context):
    return [n for n in ENGINES if context.fleet.endpoints[n].process.poll() is None]


def engine_events(context, kind):
    return [(n, e) for n in alive_engines(context) for e in context.fleet.endpoints[n].events(kind)]


def read_statement(context):
    done = context.fleet.run_cli(
        "bill",
        "--account",
        "borough-north",
        "--since",
        "2020-01-01",
        "--log",
        context.fleet.log.address,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def count_bills(context):
    line = next(line for line in read_statement(context).splitlines() if line.startswith("total"))
    return int(line.split()[-2])


def act_on_serving_engine(context, action):
    """Run an action on the engine of the next stream once it has started."""
    started_before = len(engine_events(context, "start"))

    def run():
        wait_until(
            lambda: len(engine_events(context, "start")) > started_before, "a stream started"
        )
        name, _ = max(
            engine_events(context, "start"),
            key=lambda engine_and_event: engine_and_event[1]["at"],
        )
        action(context.fleet.endpoints[name])

    thread = threading.Thread(target=run)
    thread.start()
    return thread


def kill_serving_engine(context, after_s):
    def action(engine):
        time.sleep(after_s)
        engine.kill()

    return act_on_serving_engine(context, action)


@given("answers are slow under the Thistledown document")
def step_slow_answers(context):
    fleet = context.fleet
    if next(iter(fleet.hosts.values())).status()["offset"] < 0:
        fleet.wait_in_force(fleet.publish((EXAMPLES / "thistledown.yaml").read_text()))
    fleet.wait_versions("larch:1", "spruce:1")
    for name in alive_engines(context):
        fleet.endpoints[name].set_faults(
            freeze_s=TOKEN_DELAY_S, die_after_tokens=0, refuse_own_resumes=False
        )
    context.billed_before = count_bills(context)


@when(
    'a slow "{work_class}" is streamed from host "{host}", '
    "and its engine breaks it after {tokens:d} tokens"
)
def step_streamed_broken(context, work_class, host, tokens):
    faults = {"die_after_tokens": tokens, "break_streams": 1, "refuse_own_resumes": True}
    breaking = act_on_serving_engine(context, lambda engine: engine.set_faults(**faults))
    step_streamed(context, work_class, host)
    breaking.join()


@when('a slow "{work_class}" is streamed from host "{host}"')
def step_streamed(context, work_class, host):
    context.streamed = send_chat(context, host, work_class, True).read().decode()


@when(
    'a slow "{work_class}" is streamed from host "{host}", '
    "and its engine is killed {after:g} s later"
)
def step_streamed_killed(context, work_class, host, after):
    killing = kill_serving_engine(context, after)
    step_streamed(context, work_class, host)
    killing.join()


@when(
    'a slow "{work_class}" is requested from host "{host}", '
    "and its engine is killed {after:g} s later"
)
def step_asked_killed(context, work_class, host, after):
    killing = kill_serving_engine(context, after)
    context.answered = send_chat(context, host, work_class, False)
    killing.join()


@when(
    'a slow "{work_class}" is requested from host "{host}", '
    "which is killed right after its answer"
)
def step_asked_then_killed(context, work_class, host):
    context.answered = send_chat(context, host, work_class, False)
    context.fleet.hosts[host].kill()


@when(
    'a slow "{work_class}" is streamed from host "{host}" '
    "and its caller disconnects after {count:d} chunks"
)
def step_caller_disconnects(context, work_class, host, count):
    response = send_chat(context, host, work_class, True)
    read = b""
    while read.count(b"data: ") < count:
        read += response.read1(4096)
    response.close()


def parse_events(streamed):
    lines = [line[6:] for line in streamed.splitlines() if line.startswith("data: ")]
    return [json.loads(line) for line in lines if line != "[DONE]"]


@then("the slow stream has {count:d} words and a clean end")
def step_clean_end(context, count):
    events = parse_events(context.streamed)
    text = "".join(e["choices"][0]["delta"].get("content", "") for e in events)
    assert len(text.split()) == count, context.streamed
    assert "[DONE]" in context.streamed


@then('the slow stream ends with "{code}" and no clean end')
def step_error_end(context, code):
    events = parse_events(context.streamed)
    assert events[-1]["error"]["code"] == code, context.streamed[-500:]
    assert events[-1]["error"]["not_run"] == "no"
    assert len(events) > 1
    assert "[DONE]" not in context.streamed


@then("the slow answer has {count:d} words")
def step_complete_answer(context, count):
    assert context.answered.status == 200, context.answered.data
    text = context.answered.json()["choices"][0]["message"]["content"]
    assert len(text.split()) == count


@then("some engine imported {tokens:d} tokens")
def step_imported(context, tokens):
    imported_tokens = [event["tokens"] for _, event in engine_events(context, "imported")]
    assert imported_tokens == [tokens], imported_tokens


@then("some engine cancelled the stream")
def step_cancelled(context):
    wait_until(lambda: engine_events(context, "cancelled"), "cancelled")
    assert all(event["tokens"] < 40 for _, event in engine_events(context, "cancelled"))


@then('the statement of "borough-north" has {count:d} more bill')
def step_billed(context, count):
    expected = context.billed_before + count
    wait_until(lambda: count_bills(context) >= expected, f"{expected} bills", 15.0)
    time.sleep(1.5)
    assert count_bills(context) == expected, read_statement(context)


@then("the statement is the same a second time")
def step_statement_unchanged(context):
    assert read_statement(context) == read_statement(context)
