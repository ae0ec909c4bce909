import io
import json
import tempfile
from contextlib import redirect_stdout
from pathlib import Path

from behave import given, then, when

from poplarrun.cli._losses import ShowLosses, find_losses
from poplarrun.cli._timeline import read_log_lines

SENT = {"event": "RequestSent", "send": 1}
ANSWERED = {
    "event": "RequestAnswered",
    "status": 200,
    "first_s": 0.5,
    "pause_s": 0.1,
    "target_s": 2.0,
    "most_pause_s": 1.0,
    "confidence": 0.9,
}
REFUSED = {"event": "RequestRefused", "kind": "not_ready", "reason": "keys are old", "status": 503}
KEPT = SENT | {"kept_from": "engine-2"}
BROKEN = {"event": "SendFailed", "failure": "broken"}
LARGER = {"event": "LargerModelAsked", "confidence": 0.1}
EVENTS_BY_OUTCOME = {
    "was refused": [REFUSED],
    "was broken off": [SENT, BROKEN, {"event": "AnswerBroken", "kind": "endpoint_failed"}],
    "was left before any send": [{"event": "CallerLeft"}],
    "failed at its endpoint": [SENT, {"event": "RequestAnswered", "status": 500, "first_s": None}],
    "came late after a larger model": [SENT, LARGER, SENT, ANSWERED | {"first_s": 2.5}],
    "came late kept from an endpoint": [KEPT, ANSWERED | {"first_s": 2.5}],
    "came late kept and after a failed send": [KEPT, BROKEN, SENT, ANSWERED | {"first_s": 2.5}],
    "paused at its first endpoint": [SENT, ANSWERED | {"pause_s": 1.5}],
    "was answered poorly": [SENT, ANSWERED | {"confidence": 0.2}],
    "was answered well": [SENT, ANSWERED],
    "has no end": [SENT],
}


def make_lines(events):
    common = {"asctime": "2026-01-01 10:00:00,000", "message": "host: x", "host": "a1"}
    admitted = {"event": "RequestAdmitted", "route": "draft", "service": "engines"}
    lines = [common | {"event": "HostStarted", "zone": "zone-a"}]
    lines += [common | {"request": "r1", "route": "draft"} | line for line in [admitted, *events]]
    return [json.dumps(line) for line in lines]


@given("the log lines of a request that {outcome}")
def step_lines(context, outcome):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = Path(folder.name) / "host.log"
    context.path.write_text("\n".join(make_lines(EVENTS_BY_OUTCOME[outcome])))


@then('the cause of its loss is "{cause}"')
def step_loss(context, cause):
    report = find_losses(read_log_lines([str(context.path)]))
    assert report.request_counts == {"draft": 1}
    assert [loss.cause for loss in report.losses] == ([] if cause == "none" else [cause])


@when("the losses are printed")
def step_print(context):
    output = io.StringIO()
    with redirect_stdout(output):
        ShowLosses([str(context.path)])()
    context.output = output.getvalue()


@then('the output contains "{text}"')
def step_output_contains(context, text):
    assert text in context.output, context.output
