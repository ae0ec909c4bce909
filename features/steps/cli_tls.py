import os
import subprocess
import sys

from behave import then, when

from features.environment import CERTIFICATES


def query_status(context, **variables):
    environment = {k: v for k, v in os.environ.items() if k != "SSL_CERT_FILE"}
    context.shown = subprocess.run(
        [sys.executable, "-m", "poplarrun", "status", "--hosts", f"https://{context.host_address}"],
        env={**environment, **variables},
        capture_output=True,
        text=True,
        timeout=60,
    )


@when("the command line queries the host's status over TLS with the authority's file")
def step_query_with(context):
    query_status(context, SSL_CERT_FILE=str(CERTIFICATES / "own-authority.pem"))


@when("the command line queries the host's status over TLS without the authority's file")
def step_query_without(context):
    query_status(context)


@then("it prints the host")
def step_prints(context):
    assert context.shown.returncode == 0, context.shown
    assert "a1    a" in context.shown.stdout, context.shown.stdout


@then("it reports that the host gave no answer")
def step_no_answer(context):
    assert context.shown.returncode != 0, context.shown
    assert "no answer" in context.shown.stdout + context.shown.stderr, context.shown
