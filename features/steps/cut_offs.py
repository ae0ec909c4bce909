import time
from pathlib import Path

from behave import given, then, when

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@given("the log is unavailable to all hosts")
def step_log_unavailable(context):
    context.fleet.log.set_faults(down=True)
    context.add_cleanup(lambda: context.fleet.log.set_faults(down=False))


@when("an operator publishes the Thistledown document")
def step_publish(context):
    file = str(EXAMPLES / "thistledown.yaml")
    context.done = context.fleet.run_cli(
        "config", "publish", file, "--log", context.fleet.log.address
    )


@then("the command fails and says that the log did not answer")
def step_publish_failed(context):
    text = context.done.stdout + context.done.stderr
    assert context.done.returncode != 0
    assert "log" in text and "answer" in text, text


@when('host "{name}" is killed and started again')
def step_restart_host(context, name):
    host = context.fleet.hosts[name]
    host.kill()
    host.spawn()


@then('host "{name}" becomes ready with the offset of host "{other}"')
def step_ready_at_offset(context, name, other):
    host = context.fleet.hosts[name]
    host.wait_ready()
    assert host.status()["offset"] == context.fleet.hosts[other].status()["offset"]


@when("{seconds:d} s passes in real time")
def step_wait_seconds(context, seconds):
    time.sleep(seconds)


@then('host "{name}" shows a log age above {seconds:f} s')
def step_log_age(context, name, seconds):
    assert context.fleet.hosts[name].status()["log_age_s"] > seconds
