import io
import json
import re
import shlex
import subprocess
import sys
import tempfile
import threading
from contextlib import redirect_stderr, redirect_stdout
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from unittest import mock

from behave import given, then, when

from poplarrun.cli import main
from standins.fleet import wait_until

ROOT = Path(__file__).resolve().parents[2]
THISTLEDOWN = str(ROOT / "examples" / "thistledown.yaml")


def run_cli(context, *arguments):
    context.done = subprocess.run(
        [sys.executable, "-m", "poplarrun", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
    )


def run_cli_here(context, arguments):
    """Run the command line in this process, sparing the start of another."""
    output, errors = io.StringIO(), io.StringIO()
    argv = mock.patch.object(sys, "argv", ["poplarrun", *arguments])
    with redirect_stdout(output), redirect_stderr(errors), argv:
        try:
            main()
            code = 0
        except SystemExit as end:
            code = end.code or 0
    context.done = subprocess.CompletedProcess(
        arguments, code, output.getvalue(), errors.getvalue()
    )


def all_hosts(context):
    return ",".join(host.address for host in context.fleet.hosts.values())


def text_file(context, name, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / name
    path.write_text(text)
    return path


@when('the command line runs "{command}"')
def step_run(context, command):
    run_cli_here(context, shlex.split(command))


@given('a document file "{name}" with')
def step_document_file(context, name):
    context.document_file = text_file(context, name, context.text)


@when('the command line checks "{name}"')
def step_check(context, name):
    run_cli(context, "config", "check", str(context.document_file))


@given("a settings file with")
def step_settings_file(context):
    context.settings_file = text_file(context, "a1.yaml", context.text)


@when("the host is started with it")
def step_serve(context):
    run_cli(context, "serve", "--settings", str(context.settings_file))


@when("the Thistledown document is published with wait at all hosts")
def step_publish_wait(context):
    arguments = ("--log", context.fleet.log.address, "--wait", "--hosts", all_hosts(context))
    run_cli(context, "config", "publish", THISTLEDOWN, *arguments)
    context.fleet.wait_versions("larch:1")


@when('"{operator}" publishes the {firm} document based on {offset:d}')
def step_publish_based_on(context, operator, firm, offset):
    document = str(ROOT / "examples" / f"{firm.lower()}.yaml")
    options = ("--log", context.fleet.log.address, "--operator", operator)
    run_cli(context, "config", "publish", document, *options, "--based-on", str(offset))


@when("the accepted document is shown")
def step_show(context):
    run_cli(context, "config", "show", "--log", context.fleet.log.address)


@when("the status of all hosts is read")
def step_read_status(context):
    run_cli(context, "status", "--hosts", all_hosts(context))


@when("the others have noticed, and the status is read")
def step_read_noticed(context):
    hosts = all_hosts(context)

    def shows():
        run_cli_here(context, ["status", "--hosts", hosts])
        return "HOST NOT ALIVE" in context.done.stdout

    wait_until(shows, "the status shows a host that is not alive")


@when("the status of all hosts is read as JSON")
def step_read_status_json(context):
    run_cli(context, "status", "--hosts", all_hosts(context), "--json")


@when("the history is read as JSON")
def step_history(context):
    run_cli(context, "config", "history", "--log", context.fleet.log.address, "--json")


@when('host "{name}" of the fleet is killed')
def step_kill(context, name):
    context.fleet.hosts[name].kill()


@when('the command line asks host "{name}" for a "{work_class}"')
def step_cli_ask(context, name, work_class):
    address = context.fleet.hosts[name].address
    run_cli(context, "ask", work_class, "hello", "--host", address, "--key", "borough-north-key")


class BreaksOff(BaseHTTPRequestHandler):
    """Answers with a stream that ends before its length."""

    def do_POST(self):
        self.send_response(200)
        self.send_header("X-Request-Id", "req-1")
        self.send_header("Content-Length", "1000")
        self.end_headers()
        self.wfile.write(b'data: {"choices": [{"delta": {"content": "gold "}}]}\n')

    def log_message(self, *_):
        """Write nothing."""


@given("a host that breaks off each answer")
def step_breaking_host(context):
    server = HTTPServer(("127.0.0.1", 0), BreaksOff)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.breaking = f"127.0.0.1:{server.server_port}"


@when('the command line asks it for a "{work_class}"')
def step_ask_breaking(context, work_class):
    run_cli(context, "ask", work_class, "hello", "--host", context.breaking, "--key", "k")


@when('the command line asks host "{name}" for a "{work_class}" as JSON')
def step_ask_json(context, name, work_class):
    where = ("--host", context.fleet.hosts[name].address, "--key", "borough-north-key")
    run_cli(context, "ask", work_class, "hello", *where, "--json")


@then("the JSON answer has a request id, a version and words")
def step_json_answer(context):
    answer = json.loads(context.done.stdout)
    assert set(answer) == {"request_id", "version", "answer"}, answer
    assert answer["request_id"].startswith("req-") and ":" in answer["version"], answer
    assert answer["answer"], answer


@when('the bill of "{account}" is read as JSON')
def step_json_bill(context, account):
    where = ("--since", "2020-01-01", "--log", context.fleet.log.address)
    run_cli(context, "bill", "--account", account, *where, "--json")


@then("the JSON bill names its account, lines and total")
def step_bill_keys(context):
    assert context.done.returncode == 0, context.done.stderr
    keys = "account first_day lines late ends missing_below total noted"
    assert list(json.loads(context.done.stdout)) == keys.split(), context.done.stdout


@then("the command exits with {code:d}")
def step_code(context, code):
    assert context.done.returncode == code, (context.done.stdout, context.done.stderr)


@then('the command\'s output says "{text}"')
def step_output(context, text):
    assert text in " ".join(context.done.stdout.split()), context.done.stdout


@then('the command\'s error says "{text}"')
def step_error(context, text):
    errors = " ".join(context.done.stderr.split())
    assert text in errors, errors
    assert "Traceback" not in errors, errors


@then("the JSON status has {count:d} zones at one offset")
def step_zones(context, count):
    zones = json.loads(context.done.stdout)["zones"]
    assert len(zones) == count, zones
    assert len({zone["offset"] for zone in zones}) == 1, zones


@then('the request is explained as "{outcome}"')
def step_explained(context, outcome):
    request_id = re.search(r"request (req-\w+)", context.done.stderr).group(1)
    run_cli(context, "explain", request_id, "--hosts", all_hosts(context), "--json")
    assert json.loads(context.done.stdout)["outcome"] == outcome, context.done.stdout
