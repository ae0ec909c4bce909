import asyncio
import dataclasses
import time

from behave import given, then, use_step_matcher, when

from features.steps.gateway_world import (
    make_catalogue,
    make_dispatch,
    make_endpoint_record,
    make_request,
)
from features.steps.relays import send
from poplarrun.dispatch import ConfigView
from poplarrun.platform import decode_answer
from standins.rollout_fleet import ENGINES

use_step_matcher("parse")

TOLD_DELAY_S = 1.0
START_MS = 0
LATER_START_MS = 5
CHOSEN_AT_S = 100.0


@given('another endpoint "{instance_id}" of "{service}" serves as well')
def step_another(context, instance_id, service):
    installation = context.installation
    # Each host prefers the endpoint of its own zone.
    installation.add_endpoint(instance_id, service, zone="b")
    for host in (0, 1):
        installation.wait_for(
            lambda host=host: instance_id in installation.read_log(host),
            f"host {host} knows {instance_id}",
        )


@when(
    '"{instance_id}" says in its answers that it leaves, '
    "and callers at both hosts send {count:d} lookups"
)
def step_leaves(context, instance_id, count):
    send_lookups(context, instance_id, count, (0, 1))


@when(
    '"{instance_id}" says in its answers that it leaves, '
    "and callers at host 0 send {count:d} lookups"
)
def step_leaves_relayed(context, instance_id, count):
    send_lookups(context, instance_id, count, (0,))
    for number in range(count):
        for host in range(3):
            send(context, "lookup", host, number)
            time.sleep(0.05)


def send_lookups(context, instance_id, count, hosts):
    endpoint = context.leaving = context.installation.endpoints[instance_id]
    endpoint.announces_leaving = True
    context.started_at = time.monotonic()
    context.answers = []
    for number in range(count):
        host = hosts[number % len(hosts)]
        send(context, "lookup", host, number)
        time.sleep(0.1)


@then('from 1 s after its first such answer "{instance_id}" gets no request')
def step_no_request(context, instance_id):
    arrivals = [
        request.received_at
        for request in context.leaving.received_requests
        if request.received_at >= context.started_at
    ]
    assert arrivals, f"{instance_id} got no request"
    late = [at - arrivals[0] for at in arrivals if at > arrivals[0] + TOLD_DELAY_S]
    assert not late, late


@then("all lookups were answered")
def step_answered(context):
    assert all(answer.status == 200 for _, answer in context.answers), context.answers


@given('all hosts list another endpoint "{instance_id}" of "{service}"')
def step_list_another(context, instance_id, service):
    installation = context.installation
    installation.add_endpoint(instance_id, service)
    # The two hosts that read first tell the third, and only they log it.
    installation.wait_for(
        lambda: len(find_writers(installation, instance_id)) == 2, f"hosts know {instance_id}"
    )
    time.sleep(TOLD_DELAY_S)
    (context.host,) = installation.processes.keys() - find_writers(installation, instance_id)


def find_writers(installation, instance_id):
    """Return the hosts whose logs tell of an endpoint."""
    return {
        number
        for number in installation.processes
        if any(
            event["endpoint"] == instance_id
            for event in installation.read_events("EndpointChanged", number)
        )
    }


@given("callers at the host that is the last to read for its zone were served")
def step_served(context):
    context.answers = []
    for number in range(16):
        assert send(context, "lookup", context.host, number).status == 200, context.answers


@when("its peers are suspended")
def step_suspend_peers(context):
    for number in set(context.installation.processes) - {context.host}:
        context.installation.signal_host(number, "SIGSTOP")


@when(
    "the one that served last is replaced at its address, the other one says that it leaves, "
    'and "{new}" starts'
)
def step_replace(context, new):
    installation = context.installation
    serving = [each for each in installation.endpoints.values() if each.service == "stock"]
    context.leaving, context.replaced = sorted(
        serving, key=lambda each: max((r.received_at for r in each.received_requests), default=0.0)
    )
    context.replaced.instance_id += "-successor"
    context.leaving.is_draining = True
    installation.publish_endpoint(context.leaving)
    installation.add_endpoint(new, "stock")


@when("callers at that host send {count:d} lookups")
def step_lookups(context, count):
    context.answers = []
    for number in range(count):
        send(context, "lookup", context.host, number)


@then("none of those that were answered 421 came to the leaving endpoint later")
def step_none_later(context):
    sent = {request_id for request_id, _ in context.answers}
    refused_at = find_arrivals(context.replaced, sent)
    arrived_at = find_arrivals(context.leaving, sent)
    assert refused_at, "no request came to the address of the endpoint that was replaced"
    late = [each for each in refused_at.keys() & arrived_at if arrived_at[each] > refused_at[each]]
    assert not late, late


def find_arrivals(endpoint, request_ids):
    """Return when requests came to an endpoint, by request id."""
    arrivals = {
        request.headers["x-attempt-id"]: request.received_at
        for request in endpoint.received_requests
    }
    return {request_id: at for request_id, at in arrivals.items() if request_id in request_ids}


@when('one host gets an answer in which "{instance_id}" says that it leaves')
def step_one_told(context, instance_id):
    fleet = context.fleet

    async def tell():
        fleet.hosts[0].placement.leaving.record(instance_id, START_MS, fleet.now)

    context.loop.run_until_complete(tell())


def find_senders(context, instance_id):
    """Return the hosts that may send to an endpoint."""
    now = context.loop.time()
    found = []
    for host in context.fleet.hosts:
        endpoint = host.placement.find(instance_id)
        if endpoint is not None and host.placement.may_send(endpoint, ENGINES, now):
            found.append(host.address)
    return found


@then('within {seconds:f} s none of them may send to "{instance_id}"')
def step_none_within(context, seconds, instance_id):
    found = context.loop.run_until_complete(
        context.fleet.wait_until(lambda: not find_senders(context, instance_id), seconds)
    )
    assert found, find_senders(context, instance_id)[:5]


@then('none of them may send to "{instance_id}"')
def step_none(context, instance_id):
    assert not find_senders(context, instance_id), find_senders(context, instance_id)[:5]


@then('all of them may send to "{instance_id}"')
def step_all(context, instance_id):
    assert len(find_senders(context, instance_id)) == len(context.fleet.hosts)


@when('a host is killed and started again, with a list on which "{instance_id}" is ready')
def step_restart(context, instance_id):
    async def restart():
        context.fleet.restart(context.fleet.hosts[0])
        assert context.fleet.hosts[-1].placement.find(instance_id) is not None

    context.loop.run_until_complete(restart())


def update_records(context, change):
    async def update():
        for host in context.fleet.hosts:
            records = [endpoint.record for endpoint in host.placement.endpoints()]
            host.placement.update_endpoints(change(records), context.fleet.now)

    context.loop.run_until_complete(update())


@when('the record of "{instance_id}" lapses and returns')
def step_lapse(context, instance_id):
    endpoint = context.fleet.hosts[0].placement.find(instance_id)
    update_records(context, lambda records: [r for r in records if r.instance_id != instance_id])
    context.loop.run_until_complete(asyncio.sleep(1.0))
    returned = dataclasses.replace(endpoint.record, sequence=2)
    update_records(context, lambda records: [*records, returned])


@when('"{instance_id}" starts again')
def step_start_again(context, instance_id):
    def restart(records):
        return [
            dataclasses.replace(r, started_ms=LATER_START_MS) if r.instance_id == instance_id else r
            for r in records
        ]

    update_records(context, restart)


@then('an answer of status {status:d} with "{value}" {says} that it leaves')
def step_decode(context, status, value, says):
    check_answer(status, value, says == "says")


@then('an answer of status {status:d} with "" does not say that it leaves')
def step_decode_empty(context, status):
    check_answer(status, "", False)


def check_answer(status, value, is_leaving):
    answer = decode_answer(status, [(b"Server-Leaving", value.encode())])
    assert answer.is_leaving == is_leaving, answer
    assert bool(answer.misread_headers) != is_leaving, answer


@when("{seconds:d} s pass in the fleet")
def step_pass(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(float(seconds)))
    update_records(context, lambda records: records)


@then("no host remembers a leaving endpoint")
def step_none_remembered(context):
    known = {host.address: host.placement.leaving.known() for host in context.fleet.hosts}
    assert not any(known.values()), known


@given("a request that waits for a connection to the endpoint that was chosen for it")
def step_waits(context):
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(CHOSEN_AT_S)
    context.dispatcher = make_dispatch(view, engines=1)
    context.work = context.dispatcher.admit(make_request(), CHOSEN_AT_S)
    decision = context.dispatcher.choose_endpoint(context.work, CHOSEN_AT_S)
    context.endpoint = decision.estimate.endpoint
    assert context.dispatcher.may_send(context.work, context.endpoint, CHOSEN_AT_S)


@when("the chosen endpoint {change}")
def step_changes(context, change):
    instance_id = context.endpoint.record.instance_id
    restarted = make_endpoint_record(instance_id, started_ms=LATER_START_MS)
    match change:
        case "says in its record so":
            lists = [[dataclasses.replace(context.endpoint.record, is_leaving=True)]]
        case "is removed from the list":
            lists = [[]]
        case "is removed and starts again":
            lists = [[], [restarted]]
        case "starts again under its id":
            lists = [[restarted]]
        case _:
            raise AssertionError(change)
    for records in lists:
        context.dispatcher.placement.update_endpoints(records, CHOSEN_AT_S)


@then("that endpoint does not get the request")
def step_not_sent(context):
    assert not context.dispatcher.may_send(context.work, context.endpoint, CHOSEN_AT_S)


@when("the record of the endpoint says that it leaves")
def step_record_leaves(context):
    record = dataclasses.replace(make_endpoint_record("engine-0", sequence=2), is_leaving=True)
    context.placement.update_endpoints([record], time.monotonic())
