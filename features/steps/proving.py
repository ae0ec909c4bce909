import random

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_endpoint_record, make_work
from poplarrun.placement import Placement
from poplarrun.rollouts import UNDER_LOAD, AnswerStatistics, Tally

SERVICE = "engines"


@given("{old:d} good answers of the old version and {new:d} of the new one")
def step_answers(context, old, new):
    context.statistics = AnswerStatistics()
    context.statistics.local[(SERVICE, "v1", "draft/small")] = Tally(old)
    context.statistics.local[(SERVICE, "v2", "draft/small")] = Tally(new)


@when("{count:d} answers of the new version come under load, of which {failed:d} fail")
def step_under_load(context, count, failed):
    context.statistics.local[(SERVICE, "v2", UNDER_LOAD)] = Tally(count, failed)


@when('{hosts:d} hosts report that "{endpoint}" broke off answers of the new version')
def step_broken_off(context, hosts, endpoint):
    for number in range(hosts):
        tally = Tally(1, interrupting_endpoints={endpoint})
        context.statistics.apply_host_tallies(
            f"10.0.0.{number}:1", {(SERVICE, "v2", "draft/small"): tally}
        )


@then("the new version is judged bad")
def step_bad(context):
    assert context.statistics.is_bad(SERVICE, "v2")


@then("the new version is judged good")
def step_good(context):
    assert not context.statistics.is_bad(SERVICE, "v2"), context.statistics.merge_tallies(SERVICE)


@then("without its answers under load it is judged good")
def step_good_without(context):
    del context.statistics.local[(SERVICE, "v2", UNDER_LOAD)]
    assert not context.statistics.is_bad(SERVICE, "v2")


@given("{hosts:d} hosts that know the same {count:d} idle endpoints of a version")
def step_hosts(context, hosts, count):
    context.placements = []
    for number in range(hosts):
        placement = Placement("a", random.Random(number))
        placement.update_endpoints(
            [make_endpoint_record(f"engine-{place}") for place in range(count)]
        )
        context.placements.append(placement)


def choose_at_all_hosts(context, concentrate_load):
    work = make_work()
    chosen = [
        placement.choose(work, ENGINES, 100.0, "small", concentrate_load=concentrate_load)
        for placement in context.placements
    ]
    return {estimate.endpoint.record.instance_id for estimate in chosen}


@then("all of them send its load to the same endpoint")
def step_same_endpoint(context):
    instance_ids = choose_at_all_hosts(context, True)
    assert len(instance_ids) == 1, instance_ids
    (context.loaded_endpoint,) = instance_ids


@when("that endpoint is full")
def step_full(context):
    for placement in context.placements:
        placement.find(context.loaded_endpoint).in_flight = ENGINES.slots


@then("none of them chooses that endpoint")
def step_avoid_full(context):
    instance_ids = choose_at_all_hosts(context, True)
    assert context.loaded_endpoint not in instance_ids, instance_ids
