import dataclasses
import json
import random

from behave import given, then, when

from poplarrun.dispatch import ConfigView
from poplarrun.gateway._state_exchange import StateExchange
from poplarrun.links._interface import MAX_MESSAGE_BYTES
from poplarrun.peers import PeerTable, StateRequest, decode_message, encode_message
from poplarrun.placement import EndpointDirectory, Placement
from poplarrun.platform import MalformedDocument, decode_catalogue, decode_endpoint_record
from poplarrun.platform._records import MAX_NAME_LENGTH, MAX_WARM_UP_MS
from poplarrun.platform._validation import MAX_WHOLE_NUMBER
from poplarrun.transport import seconds_since_boot

RECORD = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "phase": "ready",
}
INVALID_RECORDS = {
    "whose address ends with a line break": json.dumps(RECORD | {"address": "10.0.0.1:80\n"}),
    "with 100000 nested lists": '{"x":' + "[" * 100_000 + "]" * 100_000 + "}",
    "that is truncated": json.dumps(RECORD)[:-5],
    "whose slots are a string": json.dumps(RECORD | {"slots": "8"}),
    "whose port exceeds 16 bits": json.dumps(RECORD | {"address": "10.0.0.1:65536"}),
    "whose port is 0": json.dumps(RECORD | {"address": "10.0.0.1:0"}),
    "whose address has a number above 255": json.dumps(RECORD | {"address": "10.0.0.256:80"}),
    "with more slots than 64 bits": json.dumps(RECORD | {"slots": 2**64}),
    "with a sequence of 2 to the power of 70": json.dumps(RECORD | {"sequence": 2**70}),
    "with a negative sequence": json.dumps(RECORD | {"sequence": -1}),
    "that was born in 2 to the power of 70 ms": json.dumps(RECORD | {"born": 2**70}),
    "that was born long before all clocks": json.dumps(RECORD | {"born": -(2**70)}),
    "that warms up for 1e308 ms": json.dumps(RECORD | {"coldLeftMs": 1e308}),
    "whose version has a million letters": json.dumps(RECORD | {"version": "v" * 1_000_000}),
    "whose service has a million letters": json.dumps(RECORD | {"service": "s" * 1_000_000}),
    "whose zone has a million letters": json.dumps(RECORD | {"zone": "z" * 1_000_000}),
}
LARGEST_RECORD = RECORD | {
    "service": "s" * MAX_NAME_LENGTH,
    "address": "255.255.255.255:65535",
    "zone": "z" * MAX_NAME_LENGTH,
    "version": "v" * MAX_NAME_LENGTH,
    "slots": MAX_WHOLE_NUMBER,
    "sequence": MAX_WHOLE_NUMBER,
    "born": MAX_WHOLE_NUMBER,
    "coldLeftMs": MAX_WARM_UP_MS,
}
INVALID_KEYS = {
    "whose key has a line break": "engine\n1",
    "whose key is in no Latin script": "двигатель-1",
    "whose key is empty": "",
}


@given("a record of an endpoint {kind}")
def step_record(context, kind):
    assert decode_endpoint_record("engine-1", json.dumps(RECORD).encode()) is not None
    context.key = INVALID_KEYS.get(kind, "engine-1")
    context.record = INVALID_RECORDS.get(kind, json.dumps(RECORD)).encode()


@then("no endpoint is derived from it")
def step_no_endpoint(context):
    assert decode_endpoint_record(context.key, context.record) is None


@when("an operator writes a configuration whose {field} is {value}")
def step_write_config(context, field, value):
    service = {"name": "engines", "engine": {}}
    config = {"version": 1, "routes": [], "services": [service]}
    *path, name = field.split(".")
    place = config
    for part in path:
        place = place[int(part) if part.isdigit() else part]
    place[name] = 0
    marked = json.dumps(config).replace(f'"{name}": 0', f'"{name}": {value}')
    try:
        decode_catalogue(marked.encode())
    except MalformedDocument as error:
        context.problem = str(error)
    else:
        context.problem = ""


@then('it is refused with an error that begins with "{beginning}"')
def step_config_refused(context, beginning):
    assert context.problem.startswith(beginning), context.problem


@given("endpoints whose records hold the largest values that are accepted")
def step_largest_record(context):
    context.record = json.dumps(LARGEST_RECORD).encode()
    assert decode_endpoint_record("engine-1", context.record) is not None


class FollowerStub:
    """What the exchange of state needs of followers that have read nothing."""

    raw_config = b""

    def __init__(self):
        self.listed = []

    def apply_peer_listing(self, records, removed, now):
        self.listed += records


def make_exchange(directory, follower):
    placement = Placement("a", random.Random(1))
    placement.update_endpoints(directory.records(), seconds_since_boot())
    table = PeerTable("10.0.0.1:1", "a")
    return StateExchange(table, None, ConfigView(), follower, follower, directory, placement)


@when("a host that lists {count:d} such endpoints is asked for its list")
def step_ask_list(context, count):
    now = seconds_since_boot()
    directory = EndpointDirectory()
    for number in range(count):
        directory.apply(decode_endpoint_record(f"engine-{number}", context.record), now)
    asked = make_exchange(directory, FollowerStub())
    response = asked.make_response(StateRequest("10.0.0.2:1", False, True))
    data = encode_message(response)
    assert len(data) <= MAX_MESSAGE_BYTES, len(data)
    context.directory, context.asking = directory, FollowerStub()
    asking = make_exchange(EndpointDirectory(), context.asking)
    asking.apply_response(decode_message(data), now)


@then("the asking host lists the same endpoints")
def step_same_endpoints(context):
    told = [dataclasses.replace(each, warm_up_s=0.0) for each in context.asking.listed]
    own = [dataclasses.replace(each, warm_up_s=0.0) for each in context.directory.records()]
    assert told == own and len(own) == 100


@then("the largest address with a port is that of an endpoint")
def step_largest_address(context):
    record = json.dumps(RECORD | {"address": "255.255.255.255:65535"}).encode()
    assert decode_endpoint_record("engine-1", record) is not None
