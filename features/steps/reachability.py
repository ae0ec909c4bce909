import asyncio
import random
import statistics
from unittest.mock import patch

from behave import given, then, when

from features.steps.evacuation import check_within, step_hosts_known
from features.steps.gateway_world import (
    ENGINES,
    make_catalogue,
    make_endpoint_record,
    make_request,
    make_work,
)
from poplarrun.dispatch import ConfigView, Dispatcher, NoConnection
from poplarrun.placement import EndpointOutcomes, Placement, Reachability
from poplarrun.rollouts import Rollouts
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy
from standins import rollout_fleet


def record_outcomes(context, zone, hosts, instance_ids, was_reached, skipped=0):
    async def record():
        found = [host for host in context.fleet.hosts if host.zone == zone]
        for host in found[skipped : skipped + hosts]:
            endpoints = host.placement.endpoints()
            ids = instance_ids or [endpoint.record.instance_id for endpoint in endpoints]
            for instance_id in ids:
                reachability = host.dispatch.reachability
                reachability.record_outcome(instance_id, was_reached, context.fleet.now)

    context.loop.run_until_complete(record())


@when('two hosts of the zone "{zone}" fail to reach "{instance_id}"')
def step_two_fail(context, zone, instance_id):
    record_outcomes(context, zone, 2, [instance_id], False)


@when('two hosts of the zone "{zone}" fail to reach "{instance_id}" and five reach it')
def step_two_of_seven_fail(context, zone, instance_id):
    record_outcomes(context, zone, 2, [instance_id], False)
    record_outcomes(context, zone, 5, [instance_id], True, skipped=2)


@when('those hosts reach "{instance_id}" again')
def step_reach_again(context, instance_id):
    record_outcomes(context, "a", 2, [instance_id], True)


@when('one host of the zone "{zone}" fails to reach all endpoints')
def step_one_fails(context, zone):
    record_outcomes(context, zone, 1, [], False)


@when(
    '{cut:d} hosts of the zone "{zone}" fail to reach all endpoints, '
    "which another one reached once {seconds:f} s before"
)
def step_cut_hosts_fail(context, cut, zone, seconds):
    record_outcomes(context, zone, 1, [], True, skipped=cut)
    context.loop.run_until_complete(asyncio.sleep(seconds))
    record_outcomes(context, zone, cut, [], False)


def avoided(host):
    return {
        endpoint.record.instance_id
        for endpoint in host.placement.endpoints()
        if endpoint.is_unreached_by_others
    }


@then('within {seconds:f} s all hosts of the zone "{zone}" avoid "{instance_id}"')
def step_all_avoid(context, seconds, zone, instance_id):
    check_within(
        context,
        seconds,
        lambda hosts: all(avoided(host) == {instance_id} for host in hosts if host.zone == zone),
    )


@then("after {seconds:f} s no host avoids an endpoint")
def step_none_avoided(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert not any(avoided(host) for host in context.fleet.hosts)


@given('a placement of {count:d} engines in each of the zones "{zones}"')
def step_engines_in_zones(context, count, zones):
    context.placement = Placement("a", random.Random(3))
    context.placement.update_endpoints(
        [
            make_endpoint_record(f"{zone}{number}", zone=zone)
            for zone in zones.split(", ")
            for number in range(count)
        ]
    )
    view = ConfigView()
    view.apply_catalogue(make_catalogue())
    view.confirm(100.0)
    context.dispatcher = Dispatcher(
        view, context.placement, Rollouts(), SizePolicy(), 0.8, Budget(10, 10, 10.0)
    )


def fail_first_try(context):
    context.work = context.dispatcher.admit(make_request(), 100.0)
    decision = context.dispatcher.choose_endpoint(context.work, 100.0)
    endpoint = decision.estimate.endpoint
    assert endpoint.record.zone == "a", "the own zone comes first"
    failure = NoConnection("timeout")
    assert context.dispatcher.handle_failure(context.work, endpoint, None, failure, 100.4) is None


@when('the endpoints of "a" stop answering and a request finds one of them dead')
def step_zone_dark(context):
    fail_first_try(context)


@when('the others of "a" keep answering and a request finds one of them dead')
def step_one_dark(context):
    for endpoint in context.placement.endpoints():
        endpoint.last_response_at = 100.2
    fail_first_try(context)


@then("its second try goes to another zone")
def step_other_zone(context):
    decision = context.dispatcher.choose_endpoint(context.work, 100.4)
    assert decision.estimate.endpoint.record.zone != "a", decision


@then('its second try goes to the zone "{zone}"')
def step_same_zone(context, zone):
    decision = context.dispatcher.choose_endpoint(context.work, 100.4)
    assert decision.estimate.endpoint.record.zone == zone, decision
    estimate = context.placement.choose(make_work(), ENGINES, 100.4, "small")
    assert estimate is not None


@given("a host that hears of unreached endpoints")
def step_hearing_host(context):
    context.reachability = Reachability()


@when("{count:d} other hosts report one after the other, each for the last time")
def step_last_reports(context, count):
    for number in range(count):
        now = float(number)
        outcomes = [EndpointOutcomes("engine-1", 1, 0)]
        context.reachability.apply_report(f"host-{number}", outcomes, now)
        context.reachability.apply_verdict("b", f"host-{number}", ["engine-1"], now)


@then("it remembers those of the last seconds only")
def step_remembers_last(context):
    assert len(context.reachability._reports) <= 3, len(context.reachability._reports)
    assert len(context.reachability._verdicts) <= 3, len(context.reachability._verdicts)


@given(
    '{hosts:d} hosts in the zones "{zones}" before {endpoints:d} endpoints with requests at each'
)
def step_hosts_before_endpoints(context, hosts, zones, endpoints):
    patched = patch.object(rollout_fleet, "ENDPOINTS_PER_VERSION", endpoints)
    patched.start()
    context.add_cleanup(patched.stop)
    step_hosts_known(context, hosts, zones)
    context.fleet.set_in_flight(1, endpoints)
    context.loop.run_until_complete(asyncio.sleep(5.0))


@when(
    'the endpoints of the zone "{zone}" are dark, and each host tries one four times a second '
    "for {seconds:f} s"
)
def step_keep_failing(context, zone, seconds):
    fleet = context.fleet

    async def measure(fails):
        sent_before = fleet.bytes_sent()
        for step in range(int(seconds * 4)):
            if fails:
                fail_in_zone(fleet, zone, step)
            await asyncio.sleep(0.25)
        sent = fleet.bytes_sent()
        return [(end - start) / seconds for start, end in zip(sent_before, sent, strict=True)]

    context.calm_bytes_per_s = context.loop.run_until_complete(measure(False))
    context.bytes_per_s = context.loop.run_until_complete(measure(True))


def fail_in_zone(fleet, zone, step):
    for number, host in enumerate(fleet.hosts):
        endpoints = [each for each in host.placement.endpoints() if each.record.zone == zone]
        endpoint = endpoints[(3 * step + number) % len(endpoints)]
        reachability = host.dispatch.reachability
        reachability.record_outcome(endpoint.record.instance_id, False, fleet.now)


@then("the middle host sends at most {most:f} KB a second")
def step_middle_bytes(context, most):
    middle = statistics.median(context.bytes_per_s)
    assert middle <= most * 1000.0, middle


@then("the busiest host sends at most {factor:f} times as much as without failures")
def step_busiest_bytes(context, factor):
    calm, failing = max(context.calm_bytes_per_s), max(context.bytes_per_s)
    assert failing <= factor * calm, (calm, failing)
