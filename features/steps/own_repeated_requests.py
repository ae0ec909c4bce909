import time

import urllib3
from behave import then, when

KEY = "borough-north-key"
REPEAT_DELAY_S = 0.3


@when("a chat that ends each engine at work on it comes six times at the hosts in turn")
def step_fatal_chats(context):
    hosts = list(context.fleet.hosts.values())
    context.statuses = []
    for number in range(6):
        response = urllib3.request(
            "POST",
            f"http://{hosts[number % len(hosts)].address}/v1/chat/completions",
            json={"model": "note", "messages": [{"role": "user", "content": "fatal"}]},
            headers={"Authorization": f"Bearer {KEY}"},
            retries=False,
            timeout=20,
        )
        context.statuses.append(response.status)
        time.sleep(REPEAT_DELAY_S)


@then("at most {most:d} engines have ended")
def step_engines_ended(context, most):
    ended = [
        name
        for name, engine in context.fleet.endpoints.items()
        if engine.process.poll() is not None
    ]
    print(len(ended), "ended", context.statuses)
    assert ended and len(ended) <= most, (ended, context.statuses)
