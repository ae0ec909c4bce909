import time

from behave import then, when

# The stand-in sets a bound of 5 s on the revocation of keys, of which a host uses 4 s.
PAST_BOUND_S = 5.0


@when("the store rejects host {number:d} for longer than API keys may be trusted")
def step_turned_away(context, number):
    context.installation.reject_store_calls(number)
    time.sleep(PAST_BOUND_S)


@when('the endpoint "{new}" replaces "{old}"')
def step_replaced(context, new, old):
    context.installation.add_endpoint(new, "stock")
    context.installation.remove_endpoint(old)


@when("host {number:d} is killed and API keys may be trusted no longer")
def step_killed(context, number):
    process = context.installation.processes[number]
    process.kill()
    process.wait()
    time.sleep(PAST_BOUND_S)


@then('calls of "{path}" at host {number:d} are answered with {status:d}')
def step_answered(context, path, number, status):
    answers = [context.installation.call(path, number) for _ in range(5)]
    assert [answer.status for answer in answers] == [status] * 5, answers


@then('once the API key "{key}" is revoked it gets 401 at host {number:d}')
def step_key_gone(context, key, number):
    installation = context.installation
    assert installation.call("/lookup/ring", number, key).status == 200
    for account in installation.config["tenants"]:
        account["apiKeys"] = [kept for kept in account["apiKeys"] if kept != key]
    installation.publish()
    installation.wait_for(
        lambda: installation.call("/lookup/ring", number, key).status == 401, "the key is refused"
    )
    assert installation.call("/lookup/ring", number).status == 200


@then('soon all calls of "{path}" at host {number:d} reach "{instance_id}"')
def step_reach(context, path, number, instance_id):
    installation = context.installation
    endpoint = installation.endpoints[instance_id]

    def reach():
        before = len(endpoint.received_requests)
        for _ in range(5):
            installation.call(path, number)
        return len(endpoint.received_requests) == before + 5

    installation.wait_for(reach, f"all calls reach {instance_id}")


@then('a call of "{path}" at host {number:d} is answered with {status:d} and a Retry-After header')
def step_refused(context, path, number, status):
    answer = context.installation.call(path, number)
    assert answer.status == status, answer
    assert float(answer.headers["retry-after"]) > 0.0, answer
