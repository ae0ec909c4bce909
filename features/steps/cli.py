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
    context.completed_process = subprocess.run(
        [sys.executable, "-m", "poplarrun", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
    )


def run_cli_in_process(context, arguments):
    """Run the command line in this process, which is faster than starting another."""
    output, errors = io.StringIO(), io.StringIO()
    argv = mock.patch.object(sys, "argv", ["poplarrun", *arguments])
    with redirect_stdout(output), redirect_stderr(errors), argv:
        try:
            main()
            code = 0
        except SystemExit as end:
            code = end.code or 0
    context.completed_process = subprocess.CompletedProcess(
        arguments, code, output.getvalue(), errors.getvalue()
    )


def all_hosts(context):
    return ",".join(host.address for host in context.fleet.hosts.values())


def write_temporary_file(context, name, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / name
    path.write_text(text)
    return path


@when('the command line runs "{command}"')
def step_run(context, command):
    run_cli_in_process(context, shlex.split(command))


@given('a document file "{name}" with')
def step_document_file(context, name):
    context.document_file = write_temporary_file(context, name, context.text)


@when('the command line checks "{name}"')
def step_check(context, name):
    run_cli(context, "config", "check", str(context.document_file))


@given("a settings file with")
def step_settings_file(context):
    context.settings_file = write_temporary_file(context, "a1.yaml", context.text)


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


@when("the other hosts have detected it, and the status is read")
def step_read_detected(context):
    hosts = all_hosts(context)

    def is_shown():
        run_cli_in_process(context, ["status", "--hosts", hosts])
        return "HOST NOT ALIVE" in context.completed_process.stdout

    wait_until(is_shown, "the status shows a host that is not alive")


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


class TruncatingHandler(BaseHTTPRequestHandler):
    """Responds with a stream that ends before its Content-Length."""

    def do_POST(self):
        self.send_response(200)
        self.send_header("X-Request-Id", "req-1")
        self.send_header("Content-Length", "1000")
        self.end_headers()
        self.wfile.write(b'data: {"choices": [{"delta": {"content": "gold "}}]}\n')

    def log_message(self, *_):
        """Log nothing."""


@given("a host that breaks off each answer")
def step_truncating_host(context):
    server = HTTPServer(("127.0.0.1", 0), TruncatingHandler)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.truncating_host = f"127.0.0.1:{server.server_port}"


@when('the command line asks it for a "{work_class}"')
def step_ask_truncating_host(context, work_class):
    run_cli(context, "ask", work_class, "hello", "--host", context.truncating_host, "--key", "k")


@when('the command line asks host "{name}" for a "{work_class}" as JSON')
def step_ask_json(context, name, work_class):
    options = ("--host", context.fleet.hosts[name].address, "--key", "borough-north-key")
    run_cli(context, "ask", work_class, "hello", *options, "--json")


@then("the JSON answer has a request id, a version and a text")
def step_json_answer(context):
    answer = json.loads(context.completed_process.stdout)
    assert set(answer) == {"request_id", "version", "answer"}, answer
    assert answer["request_id"].startswith("req-") and ":" in answer["version"], answer
    assert answer["answer"], answer


@when('the bill of "{account}" is read as JSON')
def step_json_bill(context, account):
    options = ("--since", "2020-01-01", "--log", context.fleet.log.address)
    run_cli(context, "bill", "--account", account, *options, "--json")


@then("the JSON bill has its account, lines and total")
def step_bill_keys(context):
    assert context.completed_process.returncode == 0, context.completed_process.stderr
    keys = "account first_day lines late ends missing_below total noted"
    assert (
        list(json.loads(context.completed_process.stdout)) == keys.split()
    ), context.completed_process.stdout


@then("the command exits with {code:d}")
def step_code(context, code):
    assert context.completed_process.returncode == code, (
        context.completed_process.stdout,
        context.completed_process.stderr,
    )


@then('the command\'s output says "{text}"')
def step_output(context, text):
    assert text in " ".join(
        context.completed_process.stdout.split()
    ), context.completed_process.stdout


@then('the command\'s error says "{text}"')
def step_error(context, text):
    errors = " ".join(context.completed_process.stderr.split())
    assert text in errors, errors
    assert "Traceback" not in errors, errors


@then("the JSON status has {count:d} zones at one offset")
def step_zones(context, count):
    zones = json.loads(context.completed_process.stdout)["zones"]
    assert len(zones) == count, zones
    assert len({zone["offset"] for zone in zones}) == 1, zones


@then('the request is explained as "{outcome}"')
def step_explained(context, outcome):
    request_id = re.search(r"request (req-\w+)", context.completed_process.stderr).group(1)
    run_cli(context, "explain", request_id, "--hosts", all_hosts(context), "--json")
    assert (
        json.loads(context.completed_process.stdout)["outcome"] == outcome
    ), context.completed_process.stdout
