import random
from collections import Counter

from behave import given, then, when

from poplarrun.clients import (
    WORDS_PER_BLOCK,
    CacheEvent,
    HostKind,
    HostState,
    ListedHost,
    LoadReport,
)
from poplarrun.contracts import VersionId
from poplarrun.endpoints import EndpointTable, LoadSharing, PromptProfile, assign_endpoints
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer

VERSION = VersionId("larch", "1")


def engine(name, zone, state=HostState.LIVE):
    return ListedHost(name, HostKind.MODEL_ENGINE, zone, f"{name}:1", state)


def names_of(text):
    return [name.strip() for name in text.split(",")]


def report(table, name, requests, at, capacity):
    load = LoadReport([str(VERSION)], requests, 0, capacity, 100.0)
    table.apply_report(name, load, at)


def choices(context, count, at):
    found = [context.endpoint_table.choose_engine(VERSION, at) for _ in range(count)]
    return {choice.endpoint.name: choice.endpoint.zone for choice in found}


def add_engines(context, names, capacity, zone, now):
    context.capacity = capacity
    context.listed += [engine(name, zone) for name in names]
    context.endpoint_table.apply_host_list(tuple(context.listed), now)
    for name in names:
        report(context.endpoint_table, name, 0, now - 0.001, capacity)


@given('an endpoint table with engines "{names}" of {capacity:d} slots in zone "{zone}"')
def step_table(context, names, capacity, zone):
    context.endpoint_table = EndpointTable("a", random.Random(1))
    context.listed = []
    add_engines(context, names_of(names), capacity, zone, -1.0)


@given('additional engines "{names}" of {capacity:d} slots in zone "{zone}"')
def step_further(context, names, capacity, zone):
    context.listed += [engine(name, zone) for name in names_of(names)]
    context.endpoint_table = EndpointTable("a", random.Random(1))
    context.endpoint_table.apply_host_list(tuple(context.listed))
    for listed in context.listed:
        report(context.endpoint_table, listed.name, 0, -1.0, capacity)


@given('a report of "{name}" with {requests:d} requests, measured at {at:f}')
@when('a report of "{name}" with {requests:d} requests, measured at {at:f}')
def step_report(context, name, requests, at):
    report(context.endpoint_table, name, requests, at, context.capacity)


@given("prefills take {seconds:f} s per token")
def step_prefills(context, seconds):
    context.endpoint_table.pool(VERSION).speed.prefill_s_per_token = seconds


@when('{count:d} requests are sent to "{name}" at {at:f}')
def step_sent(context, count, name, at):
    for _ in range(count):
        context.endpoint_table.record_sent(name, at)


@when('the link to zone "{zone}" takes {seconds:f} s')
def step_link(context, zone, seconds):
    context.endpoint_table.observe_link_latency(zone, seconds)


@when('a call to "{name}" fails at {at:f} with "{reason}"')
def step_fails(context, name, at, reason):
    context.endpoint_table.record_failure(name, at, reason)


@when('{count:d} calls to "{name}" fail at {at:f} with "{reason}"')
def step_fail_together(context, count, name, at, reason):
    for _ in range(count):
        context.endpoint_table.record_failure(name, at, reason)


@when('a call to each engine fails at {at:f} with "{reason}"')
def step_all_fail(context, at, reason):
    for endpoint in context.endpoint_table.list_endpoints():
        context.endpoint_table.record_failure(endpoint.name, at, reason)


@when('the host list shows "{name}" as leaving')
def step_leaving(context, name):
    context.endpoint_table.apply_host_list(
        tuple(
            engine(listed.name, listed.zone, HostState.LEAVING) if listed.name == name else listed
            for listed in context.listed
        )
    )


@when('engine "{name}" of {capacity:d} slots appears at {at:f}')
def step_appears(context, name, capacity, at):
    add_engines(context, [name], capacity, "a", at)


@when('a prompt of {blocks:d} blocks was sent to "{name}" at {at:f}')
def step_prompt(context, blocks, name, at):
    context.blocks = tuple(range(100, 100 + blocks))
    context.endpoint_table.record_sent(name, at, VERSION, context.blocks)
    context.endpoint_table.record_finished(name, at)


@when('the cache events of "{name}" reach sequence number {number:d} at {at:f}')
def step_events(context, name, number, at):
    events = [CacheEvent(number, "stored", str(VERSION), 7)]
    context.endpoint_table.apply_cache_events(name, events, at)


@when('{count:d} prompts of {blocks:d} blocks were sent to "{name}"')
def step_prompts(context, count, blocks, name):
    for number in range(count):
        start = number * blocks
        context.endpoint_table.record_sent(name, 1.0, VERSION, tuple(range(start, start + blocks)))


@then('the chosen engine at {at:f} is "{name}"')
def step_chosen(context, at, name):
    assert set(choices(context, 20, at)) == {name}


@then('"{name}" is estimated to have {requests:d} requests at {at:f}')
def step_expected(context, name, requests, at):
    background_load = context.endpoint_table.pool(VERSION).background_load
    found = context.endpoint_table.find(name).estimate_requests(at, background_load)
    assert abs(found - requests) < 0.01, found


@then('every choice of {count:d} at {at:f} is in zone "{zone}"')
def step_zone(context, count, at, zone):
    assert set(choices(context, count, at).values()) == {zone}


@then('no choice of {count:d} at {at:f} is "{name}"')
def step_never(context, count, at, name):
    assert name not in choices(context, count, at)


@then('some choice of {count:d} at {at:f} is "{name}"')
def step_some(context, count, at, name):
    assert name in choices(context, count, at)


@then("no engine is chosen at {at:f}")
def step_nothing(context, at):
    assert context.endpoint_table.choose_engine(VERSION, at) is None


@then("the choices of {count:d} at {at:f} fall on exactly {engines:d} engines")
def step_choices_of(context, count, at, engines):
    assert len(choices(context, count, at)) == engines


def choose_for_prompt(context, at):
    prompt = PromptProfile(len(context.blocks) * WORDS_PER_BLOCK, context.blocks)
    return context.endpoint_table.choose_engine(VERSION, at, (), prompt).endpoint.name


@then('the prompt goes to "{name}" at {at:f}')
def step_prompt_goes(context, name, at):
    assert choose_for_prompt(context, at) == name


@then('the prompt does not go to "{name}" at {at:f}')
def step_prompt_elsewhere(context, name, at):
    assert choose_for_prompt(context, at) != name


@then('"{name}" is expected to have cached at least {blocks:d} blocks of the prompt at {at:f}')
def step_holds_more(context, name, blocks, at):
    found = context.endpoint_table.prefixes.match(VERSION, context.blocks, at).cached_blocks[name]
    assert found >= blocks, found


@then('"{name}" is expected to have cached at most {blocks:d} blocks of the prompt at {at:f}')
def step_holds_less(context, name, blocks, at):
    found = context.endpoint_table.prefixes.match(VERSION, context.blocks, at).cached_blocks[name]
    assert found <= blocks, found


@then("the prefix index holds at most {count:d} blocks")
def step_index_bound(context, count):
    assert len(context.endpoint_table.prefixes) <= count


@given('load sharing between hosts "{hosts}" with engines "{engines}" in zone "{zone}"')
def step_sharing(context, hosts, engines, zone):
    network = MemoryPeerNetwork()
    context.engines = names_of(engines)
    context.sharing, context.tables = {}, {}
    for host in names_of(hosts):
        table = EndpointTable(host[0], random.Random(1))
        table.apply_host_list(tuple(engine(name, zone) for name in context.engines))
        peers = MemoryPeers(network, Peer(host, host[0], "r", 0))
        context.tables[host] = table
        context.sharing[host] = LoadSharing(peers, table)


@then('each engine is assigned to one host of zone "{zone}"')
def step_owned(context, zone):
    context.owners = {
        name: [
            host for host, sharing in context.sharing.items() if sharing.is_owner(table.find(name))
        ]
        for name in context.engines
        for table in [context.tables["a1"]]
    }
    assert all(len(hosts) == 1 and hosts[0][0] == zone for hosts in context.owners.values())


@when("the assigned hosts poll their engines and publish the loads")
def step_owners_publish(context):
    for name, hosts in context.owners.items():
        report(context.tables[hosts[0]], name, 5, 1.0, 8)
    for sharing in context.sharing.values():
        sharing.publish(1.2)
    for sharing in context.sharing.values():
        sharing.apply_published(1.3)


@then('host "{one}" and host "{other}" know the load of each engine')
def step_know(context, one, other):
    for host in (one, other):
        for name in context.engines:
            assert context.tables[host].find(name).reported_requests == 5


@then('host "{host}" knows the total load of zone "{zone}"')
def step_knows_sum(context, host, zone):
    load = context.sharing[host].zone_loads[zone][str(VERSION)]
    assert (load.requests, load.capacity) == (15, 24)


@given("{engines:d} engines and {hosts:d} hosts of one zone")
def step_zone_fleet(context, engines, hosts):
    context.engines = [f"e{number}" for number in range(engines)]
    context.zone_hosts = [f"a{number}" for number in range(hosts)]


@then("each host is assigned {count:d} engines")
def step_even(context, count):
    context.owners = assign_endpoints(context.engines, context.zone_hosts)
    counts = Counter(context.owners.values())
    assert set(counts.values()) == {count}, counts
    assert set(counts) == set(context.zone_hosts)


@then("without one host at most {count:d} of the other hosts' engines are reassigned")
def step_stable(context, count):
    gone = context.zone_hosts[0]
    after = assign_endpoints(context.engines, context.zone_hosts[1:])
    moved = [n for n, owner in context.owners.items() if owner not in (gone, after[n])]
    assert len(moved) <= count, moved


@given('engines "{names}" are assigned to this host')
def step_assigned(context, names):
    context.endpoint_table.set_owned_endpoints(frozenset(names_of(names)))
