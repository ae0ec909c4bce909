import time

from behave import then, use_step_matcher, when

from features.steps.relays import HOSTS, PATHS, send
from standins.installation import Cut

use_step_matcher("parse")

# The operators' bound: requests that count against an endpoint's demand, and from when on.
MAX_UNWANTED = 2
GRACE_S = 0.5
KINDS = tuple(PATHS)


@when("no link is cut")
def step_no_cut(context):
    pass


@when("host 0 is cut off from all endpoints")
def step_cut_one(context):
    context.installation.cut_host(0, Cut.RESET)


@when("hosts 0 and 1 are cut off from all endpoints")
def step_cut_two(context):
    for number in (0, 1):
        context.installation.cut_host(number, Cut.RESET)


@when('"{one}" and "{other}" reject all requests and ask for {seconds} s without any')
def step_reject(context, one, other, seconds):
    context.rejecting = [context.installation.endpoints[name] for name in (one, other)]
    for endpoint in context.rejecting:
        endpoint.hold_off = seconds


@when("callers of each host send {rate:d} requests of each kind a second for {seconds:d} s")
def step_load(context, rate, seconds):
    context.answers = []
    started_at = time.monotonic()
    for number in range(rate * seconds):
        time.sleep(max(0.0, started_at + number / rate - time.monotonic()))
        for host in range(HOSTS):
            for kind in KINDS:
                send(context, kind, host, number)


def find_unwanted(endpoint):
    """Return the requests that came in a time for which a host was asked to stay away."""
    return {
        demand: [
            request
            for request in endpoint.received_requests
            if request.peer_ip == demand.peer_ip
            and demand.asked_at + GRACE_S < request.received_at <= demand.asked_at + demand.seconds
        ]
        for demand in endpoint.hold_off_demands
    }


@then("neither of them received more than 2 requests of a host it had asked to stay away")
def step_none_unwanted(context):
    for endpoint in context.rejecting:
        assert endpoint.hold_off_demands, f"{endpoint.instance_id} got no request"
        unwanted = [(len(each), demand) for demand, each in find_unwanted(endpoint).items()]
        worst = max(unwanted, key=lambda item: item[0])
        assert worst[0] <= MAX_UNWANTED, (endpoint.instance_id, worst)


@then("all requests were served")
def step_all_served(context):
    failed = [answer for _, answer in context.answers if answer.status != 200]
    assert not failed, (len(failed), failed[:3])
