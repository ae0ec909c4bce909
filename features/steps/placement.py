import dataclasses
import random

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_endpoint_record, make_placement, make_work
from poplarrun.peers import Digest, PeerTable
from poplarrun.placement import DirectoryEvent, EndpointDirectory, Placement
from poplarrun.routing import PromptPart


def receive_digest(context, zone, at):
    digest = Digest(f"10.0.0.{zone}:1", zone, at, 0.0, 0.0, 1, 0.0, 0.0)
    assert context.peer_table.apply_digest(digest, at)


@given('a directory that lists "{instance_id}" with record {sequence:d}')
def step_directory(context, instance_id, sequence):
    context.directory = EndpointDirectory()
    context.directory.apply(make_endpoint_record(instance_id, sequence=sequence), 0.0)


@given('a directory that lists "{instance_id}" with record {sequence:d} and then removes it')
def step_directory_removed(context, instance_id, sequence):
    step_directory(context, instance_id, sequence)
    assert context.directory.remove(instance_id, 1.0) is DirectoryEvent.REMOVED


@given('a directory that lists "{instance_id}" with record {sequence:d} of its first start')
def step_directory_start(context, instance_id, sequence):
    step_directory(context, instance_id, sequence)


@when('record {sequence:d} of "{instance_id}" arrives')
def step_record_arrives(context, sequence, instance_id):
    context.event = context.directory.apply(
        make_endpoint_record(instance_id, sequence=sequence), 2.0
    )


@then("the directory lists nothing")
def step_lists_nothing(context):
    assert context.directory.records() == []


@then('record {sequence:d} of "{instance_id}" lists it again')
def step_lists_again(context, sequence, instance_id):
    step_record_arrives(context, sequence, instance_id)
    assert [record.instance_id for record in context.directory.records()] == [instance_id]


@when("record {sequence:d} of its second start arrives")
def step_restart_record(context, sequence):
    record = make_endpoint_record("e1", sequence=sequence, started_ms=2)
    context.event = context.directory.apply(record, 2.0)


@then('the directory reports that "{instance_id}" was restarted')
def step_restarted(context, instance_id):
    assert context.event is DirectoryEvent.RESTARTED
    assert context.directory.find(instance_id).sequence == 1


@when('"{instance_id}" is removed at {at:f} as the store comes back')
def step_store_outage(context, instance_id, at):
    context.directory.remove(instance_id, at, is_lapse=True)


@then("it is still listed at {kept:f} and gone at {gone:f}")
def step_lapsed(context, kept, gone):
    assert context.directory.expire(kept) == [] and context.directory.records()
    assert context.directory.expire(gone) == ["e1"] and not context.directory.records()


@given("a placement of {count:d} engines")
def step_placement(context, count):
    context.placement = make_placement(count)


@when("a prompt of {tokens:d} tokens was read at one engine")
def step_prompt_read(context, tokens):
    context.parts = (PromptPart("shared", tokens - 1000), PromptPart("own", 1000))
    estimate = context.placement.choose(make_work(context.parts), ENGINES, 100.0, "small")
    context.reader = estimate.endpoint
    context.reader.record_prompt("small", context.parts, 100.0)


@then("the next prompt with the same prefix goes there")
def step_goes_there(context):
    parts = (context.parts[0], PromptPart("other", 1000))
    estimate = context.placement.choose(make_work(parts, 1), ENGINES, 101.0, "small")
    assert estimate.endpoint is context.reader and estimate.uncached_tokens == 1000, estimate


@then("with {count:d} prompts waiting there it goes elsewhere")
def step_goes_elsewhere(context, count):
    context.reader.in_flight = count
    context.reader.pending_prefill_s = count * 0.5
    estimate = context.placement.choose(make_work(context.parts, 2), ENGINES, 101.0, "small")
    assert estimate.endpoint is not context.reader


@given(
    'a placement of engines in the zones "{zones}" and a peer table that heard hosts of "{others}"'
)
def step_zones(context, zones, others):
    context.placement = Placement("a", random.Random(3))
    context.placement.update_endpoints(
        [make_endpoint_record(f"in-{z}", zone=z) for z in zones.split(", ")]
    )
    context.peer_table = PeerTable("10.0.0.1:1", "a")
    for zone in others.split(", "):
        receive_digest(context, zone, 100.0)


@when('the hosts of "{silent}" fall silent and those of "{heard}" don\'t')
def step_fall_silent(context, silent, heard):
    receive_digest(context, heard, 105.0)
    context.placement.silent_zones = context.peer_table.silent_zones(105.0)
    assert context.placement.silent_zones == {silent}


@then('{count:d} prompts go to "{one}" and "{two}" only, although these are half full')
def step_reachable_zones(context, count, one, two):
    for zone in (one, two):
        context.placement.find(f"in-{zone}").in_flight = 4
    for number in range(count):
        estimate = context.placement.choose(make_work(number=number), ENGINES, 105.0, "small")
        assert estimate.endpoint.record.zone in (one, two), estimate


@then("{count:d} prompts with one prefix go to one engine, also from another host")
def step_owner(context, count):
    other = Placement("a", random.Random(99))
    other.update_endpoints([endpoint.record for endpoint in context.placement.endpoints()])
    owners = set()
    for number in range(count):
        parts = (PromptPart("beginning", 20_000), PromptPart(f"own-{number}", 500))
        placement = context.placement if number % 2 else other
        estimate = placement.choose(make_work(parts, number), ENGINES, 100.0, "small")
        owners.add(estimate.endpoint.record.instance_id)
    assert len(owners) == 1, owners


@when('prompts that take {seconds:f} s wait in the zone "{zone}"')
def step_prompts_wait(context, seconds, zone):
    context.placement.find(f"in-{zone}").pending_prefill_s = seconds


@then('a body of {long:d} bytes goes to "{near}" and one of {short:d} bytes to "{far}"')
def step_body_sizes(context, long, near, short, far):
    for size, zone in ((long, near), (short, far)):
        work = make_work()
        work.request = dataclasses.replace(work.request, body=b" " * size)
        estimate = context.placement.choose(work, ENGINES, 100.0, "small")
        assert estimate.endpoint.record.zone == zone, (size, estimate)


@when('"{instance_id}" fails')
def step_endpoint_fails(context, instance_id):
    context.endpoint = context.placement.find(instance_id)
    context.failed_at = 100.0
    context.endpoint.record_failure(context.failed_at)


@then("it gets no requests for {seconds:f} s")
def step_backs_off(context, seconds):
    for at in (0.0, seconds - 0.01):
        for number in range(20):
            work = make_work(number=number)
            estimate = context.placement.choose(work, ENGINES, context.failed_at + at, "small")
            assert estimate.endpoint is not context.endpoint
    assert context.endpoint.paused_until <= context.failed_at + seconds


@then("it gets no requests for {seconds:f} s after a second failure")
def step_backs_off_longer(context, seconds):
    context.failed_at = context.endpoint.paused_until + 0.1
    context.endpoint.record_failure(context.failed_at)
    step_backs_off(context, seconds)
