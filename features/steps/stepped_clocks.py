import random
from dataclasses import replace

from behave import given, then, when

from features.steps.gateway_world import make_endpoint_record
from poplarrun.placement import DirectoryEvent, EndpointDirectory, Placement

INSTANCE_ID = "e1"
REMOVAL = "removed"
LEAVING_SUFFIX = "-leaving"
NOW = 10.0


def parse_record(text):
    """Return the record of a start that ``time/number`` stands for."""
    started_ms, number = text.removesuffix(LEAVING_SUFFIX).split("/")
    record = make_endpoint_record(INSTANCE_ID, sequence=int(number), started_ms=int(started_ms))
    return replace(record, is_leaving=text.endswith(LEAVING_SUFFIX))


@given('the records "{records}" of one endpoint, each of a start, at a time in ms, with a number')
def step_records(context, records):
    context.directory = EndpointDirectory()
    context.records = records.split(" ")


@when("they are applied in this order")
def step_apply(context):
    context.events = [
        (
            context.directory.remove(INSTANCE_ID, NOW)
            if text == REMOVAL
            else context.directory.apply(parse_record(text), NOW)
        )
        for text in context.records
    ]


@then('the directory tells "{events}"')
def step_events(context, events):
    assert [event.value for event in context.events] == events.split(", "), context.events


@then("a peer's record {older} of it changes nothing, and {newer} does")
def step_peer_records(context, older, newer):
    directory = context.directory
    before = directory.find(INSTANCE_ID)
    event = directory.apply(parse_record(older), NOW, is_in_order=False)
    assert event is DirectoryEvent.NOTHING and directory.find(INSTANCE_ID) == before, event
    event = directory.apply(parse_record(newer), NOW, is_in_order=False)
    assert event is DirectoryEvent.RESTARTED, event


@when('"{instance_id}" crashes, and starts again with a time of start {step_ms:d} ms earlier')
def step_restart(context, instance_id, step_ms):
    installation = context.installation
    endpoint = installation.endpoints[instance_id]
    installation.end_endpoint(endpoint)
    installation.run(endpoint.start())
    endpoint.started_at_ms, endpoint.sequence = endpoint.started_at_ms - step_ms, 0
    installation.publish_endpoint(endpoint)


def list_start(context, started_ms):
    context.placement.update_endpoints(
        [make_endpoint_record(INSTANCE_ID, started_ms=started_ms)], NOW
    )


@given("a placement that lists the start {started_ms:d} of an endpoint, which says that it leaves")
def step_leaving_start(context, started_ms):
    context.placement = Placement("a", random.Random(3))
    list_start(context, started_ms)
    assert context.placement.leaving.record(INSTANCE_ID, started_ms, NOW)


@when("the start {started_ms:d} is listed in its place")
def step_list_start(context, started_ms):
    list_start(context, started_ms)
    context.started_ms = started_ms


@then("the endpoint may be used, also when a peer tells once more that the start {ended:d} leaves")
def step_usable(context, ended):
    leaving = context.placement.leaving
    assert not leaving.includes(INSTANCE_ID, context.started_ms)
    assert not leaving.record(INSTANCE_ID, ended, NOW)
    assert not leaving.includes(INSTANCE_ID, context.started_ms)


@then("it may not be used once the start {started_ms:d} says that it leaves")
def step_unusable(context, started_ms):
    assert context.placement.leaving.record(INSTANCE_ID, started_ms, NOW)
    assert context.placement.leaving.includes(INSTANCE_ID, started_ms)
