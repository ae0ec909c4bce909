import dataclasses
import random

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_listing, make_placement, make_work
from poplarrun.peers import Digest, PeerTable
from poplarrun.placement import DirectoryEvent, EndpointDirectory, Placement
from poplarrun.routing import PromptPart


def hear(context, zone, at):
    digest = Digest(f"10.0.0.{zone}:1", zone, at, 0.0, 0.0, 1, 0.0, 0.0)
    assert context.peer_table.apply_digest(digest, at)


@given('a directory that lists "{name}" with record {sequence:d}')
def step_directory(context, name, sequence):
    context.directory = EndpointDirectory()
    context.directory.apply(make_listing(name, sequence=sequence), 0.0)


@given('a directory that lists "{name}" with record {sequence:d} and then removes it')
def step_directory_removed(context, name, sequence):
    step_directory(context, name, sequence)
    assert context.directory.remove(name, 1.0) is DirectoryEvent.REMOVED


@given('a directory that lists "{name}" with record {sequence:d} of its first start')
def step_directory_start(context, name, sequence):
    step_directory(context, name, sequence)


@when('record {sequence:d} of "{name}" arrives')
def step_record(context, sequence, name):
    context.event = context.directory.apply(make_listing(name, sequence=sequence), 2.0)


@then("the directory lists nothing")
def step_lists_nothing(context):
    assert context.directory.records() == []


@then('record {sequence:d} of "{name}" lists it again')
def step_lists_again(context, sequence, name):
    step_record(context, sequence, name)
    assert [listing.instance_id for listing in context.directory.records()] == [name]


@when("record {sequence:d} of its second start arrives")
def step_second_start(context, sequence):
    listing = make_listing("e1", sequence=sequence, started_ms=2)
    context.event = context.directory.apply(listing, 2.0)


@then('the directory tells that "{name}" was restarted')
def step_restarted(context, name):
    assert context.event is DirectoryEvent.RESTARTED
    assert context.directory.find(name).sequence == 1


@when('"{name}" is removed at {at:f} as the store comes back')
def step_lapse(context, name, at):
    context.directory.remove(name, at, is_lapse=True)


@then("it is still listed at {kept:f} and gone at {gone:f}")
def step_lapsed(context, kept, gone):
    assert context.directory.expire(kept) == [] and context.directory.records()
    assert context.directory.expire(gone) == ["e1"] and not context.directory.records()


@given("a placement of {count:d} engines")
def step_placement(context, count):
    context.placement = make_placement(count)


@when("a prompt of {tokens:d} tokens was read at one engine")
def step_read(context, tokens):
    context.parts = (PromptPart("shared", tokens - 1000), PromptPart("own", 1000))
    seat = context.placement.choose(make_work(context.parts), ENGINES, 100.0, "small")
    context.reader = seat.endpoint
    context.reader.record_prompt("small", context.parts, 100.0)


@then("the next prompt with the same beginning goes there")
def step_goes_there(context):
    parts = (context.parts[0], PromptPart("other", 1000))
    seat = context.placement.choose(make_work(parts, 1), ENGINES, 101.0, "small")
    assert seat.endpoint is context.reader and seat.uncached_tokens == 1000, seat


@then("with {count:d} prompts waiting there it goes elsewhere")
def step_goes_elsewhere(context, count):
    context.reader.in_flight = count
    context.reader.pending_prefill_s = count * 0.5
    seat = context.placement.choose(make_work(context.parts, 2), ENGINES, 101.0, "small")
    assert seat.endpoint is not context.reader


@given('a placement of engines in the zones "{zones}" and a book that heard hosts of "{others}"')
def step_zones(context, zones, others):
    context.placement = Placement("a", random.Random(3))
    context.placement.update_endpoints([make_listing(f"in-{z}", zone=z) for z in zones.split(", ")])
    context.peer_table = PeerTable("10.0.0.1:1", "a")
    for zone in others.split(", "):
        hear(context, zone, 100.0)


@when('the hosts of "{silent}" fall silent and those of "{heard}" don\'t')
def step_fall_silent(context, silent, heard):
    hear(context, heard, 105.0)
    context.placement.silent_zones = context.peer_table.silent_zones(105.0)
    assert context.placement.silent_zones == {silent}


@then('{count:d} prompts go to "{one}" and "{two}" only, although these are half full')
def step_in_reach(context, count, one, two):
    for zone in (one, two):
        context.placement.find(f"in-{zone}").in_flight = 4
    for number in range(count):
        seat = context.placement.choose(make_work(number=number), ENGINES, 105.0, "small")
        assert seat.endpoint.record.zone in (one, two), seat


@then("{count:d} prompts with one beginning go to one engine of another host's choice")
def step_home(context, count):
    other = Placement("a", random.Random(99))
    other.update_endpoints([member.record for member in context.placement.endpoints()])
    homes = set()
    for number in range(count):
        parts = (PromptPart("beginning", 20_000), PromptPart(f"own-{number}", 500))
        host = context.placement if number % 2 else other
        seat = host.choose(make_work(parts, number), ENGINES, 100.0, "small")
        homes.add(seat.endpoint.record.instance_id)
    assert len(homes) == 1, homes


@when('prompts that take {seconds:f} s wait in the zone "{zone}"')
def step_wait(context, seconds, zone):
    context.placement.find(f"in-{zone}").pending_prefill_s = seconds


@then('a body of {long:d} bytes goes to "{near}" and one of {short:d} bytes to "{far}"')
def step_bodies(context, long, near, short, far):
    for size, zone in ((long, near), (short, far)):
        work = make_work()
        work.request = dataclasses.replace(work.request, body=b" " * size)
        seat = context.placement.choose(work, ENGINES, 100.0, "small")
        assert seat.endpoint.record.zone == zone, (size, seat)


@when('"{name}" fails')
def step_fails(context, name):
    context.member = context.placement.find(name)
    context.failed_at = 100.0
    context.member.record_failure(context.failed_at)


@then("it gets nothing for {seconds:f} s")
def step_paused(context, seconds):
    for at in (0.0, seconds - 0.01):
        for number in range(20):
            work = make_work(number=number)
            seat = context.placement.choose(work, ENGINES, context.failed_at + at, "small")
            assert seat.endpoint is not context.member
    assert context.member.paused_until <= context.failed_at + seconds


@then("it gets nothing for {seconds:f} s after a second failure")
def step_paused_again(context, seconds):
    context.failed_at = context.member.paused_until + 0.1
    context.member.record_failure(context.failed_at)
    step_paused(context, seconds)
