import asyncio
from unittest.mock import patch

import msgspec
from behave import given, then, when

from poplarrun.gateway import _activity, _peering
from poplarrun.logging import events
from poplarrun.peers import (
    ActivityTotals,
    Digest,
    EndpointLoad,
    ReceivedTotals,
    Roster,
    Scope,
    StateRequest,
    TotalsTable,
    encode_message,
    encode_totals,
)
from poplarrun.placement import EndpointRecord
from poplarrun.platform import Entry
from standins.peer_fleet import PeerFleet
from standins.rollout_fleet import SERVICE, virtual_clock
from standins.virtual_time import VirtualTimeLoop

SEED = 4107
MEASURE_WINDOW_S = 2.0
POLL_INTERVAL_S = 0.25
ENDPOINT = "engine-1"
OWN_STAMPS = (1.0, 2.0)
ODD_REGISTRATIONS = {
    "100000 nested lists": b'{"zone":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "a list in place of all": b"[]",
    "bytes that are no text": b"\xff\xfe",
    "nothing": b"",
}


def run(context, coroutine):
    """Run a coroutine in the scenario's virtual time, which continues from step to step."""
    return context.loop.run_until_complete(coroutine)


@given('{count:d} hosts in the zones "{zones}" that each run {requests:d} requests at 2 endpoints')
def step_fleet(context, count, zones, requests):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    context.missing = []

    async def start_exchange():
        context.fleet = PeerFleet(SEED, count, zones)
        context.fleet.set_in_flight(requests, 2)
        context.fleet.start_peering()

    run(context, start_exchange())


@given(
    '{count:d} hosts in the zones "{zones}" before {endpoints:d} endpoints, '
    "{hot:d} of which {busy:d} hosts each run {requests:d} requests at"
)
def step_many_endpoints(context, count, zones, endpoints, hot, busy, requests):
    step_fleet(context, count, zones, 0)
    hosts = context.fleet.hosts
    records = [
        EndpointRecord(
            f"i-{number:010x}", SERVICE, f"e{number}:1", "abc"[number % 3], "v1", 64, False
        )
        for number in range(endpoints)
    ]
    for host in hosts:
        host.placement.update_endpoints(records)
    context.hot = {record.instance_id: busy * requests for record in records[:hot]}
    for number, instance_id in enumerate(context.hot):
        for host in [hosts[(number * busy + each) % count] for each in range(busy)]:
            host.placement.find(instance_id).in_flight = requests
    context.total = hot * busy * requests


@given("every host runs 1 request at each of {others:d} others")
def step_other_loads(context, others):
    for number, host in enumerate(context.fleet.hosts):
        cold = host.placement.endpoints()[len(context.hot) :]
        for each in range(others):
            cold[(number * others + each) % len(cold)].in_flight += 1
            context.total += 1


@then(
    "every host knows the exact load of the {count:d} endpoints, "
    "and the total load within {tolerance:f}"
)
def step_hot_known(context, count, tolerance):
    assert len(context.hot) == count
    for host in context.fleet.hosts:
        endpoints = host.placement.endpoints()
        loads = {
            each.record.instance_id: each.in_flight + each.peer_in_flight for each in endpoints
        }
        wrong = {hot: loads[hot] for hot, load in context.hot.items() if loads[hot] != load}
        assert not wrong, (host.address, wrong)
        total = sum(loads.values())
        assert abs(total - context.total) <= tolerance * context.total, (total, context.total)


@then("a host sends at most {most:d} KB per second on average")
def step_average_bytes(context, most):
    async def measure():
        before = sum(context.fleet.bytes_sent())
        await asyncio.sleep(MEASURE_WINDOW_S)
        return sum(context.fleet.bytes_sent()) - before

    sent = run(context, measure())
    per_host_kb = sent / MEASURE_WINDOW_S / len(context.fleet.hosts) / 1000.0
    assert per_host_kb <= most, per_host_kb


@given("links that lose {share:f} of the messages")
def step_lossy(context, share):
    context.fleet.set_loss(share)


@when("they have exchanged digests for {seconds:f} s")
def step_exchange(context, seconds):
    run(context, asyncio.sleep(seconds))


@then("every host takes all others to be alive, and knows their total load")
def step_known(context):
    async def find_wrong():
        hosts = context.fleet.hosts
        return (
            context.fleet.find_membership_errors(hosts, hosts),
            context.fleet.find_in_flight_errors(),
        )

    wrong, sums = run(context, find_wrong())
    assert not wrong, (len(wrong), wrong[:5])
    assert not sums, (len(sums), sums[:5])


@then("one host of each zone reads each topic, and one host does each job")
def step_readers(context):
    async def count():
        return context.fleet.count_readers(), context.fleet.count_first_ranked()

    readers, on_duty = run(context, count())
    assert set(readers.values()) == {1}, readers
    assert on_duty == 1


@then(
    "a host sends at most {most:d} messages per second, and zones exchange at most {far:d} "
    "per second"
)
def step_messages(context, most, far):
    fleet = context.fleet
    before = fleet.messages, fleet.cross_zone_messages
    run(context, asyncio.sleep(MEASURE_WINDOW_S))
    per_host = (fleet.messages - before[0]) / MEASURE_WINDOW_S / len(fleet.hosts)
    assert per_host <= most, per_host
    assert (
        fleet.cross_zone_messages - before[1]
    ) / MEASURE_WINDOW_S <= far, fleet.cross_zone_messages


@when('the aggregators of zone "{zone}" are killed')
def step_kill_aggregators(context, zone):
    async def kill():
        aggregators = context.fleet.aggregators(zone)
        assert len(aggregators) == 2
        context.fleet.kill(aggregators)

    run(context, kill())


@when("every second host is killed")
def step_kill_half(context):
    async def kill():
        context.fleet.kill(context.fleet.hosts[::2])

    run(context, kill())


@when('an aggregator of zone "{zone}" is suspended for {seconds:f} s')
def step_suspend(context, zone, seconds):
    async def suspend():
        await context.fleet.suspend(context.fleet.aggregators(zone)[0], seconds)

    run(context, suspend())


@when('the hosts of zone "{zone}" are partitioned from the others')
def step_partition(context, zone):
    context.fleet.cut_zone(zone)


@when('the partition of zone "{zone}" heals')
def step_heal(context, zone):
    context.fleet.heal()


@when('the hosts of zone "{zone}" are partitioned into two halves for {seconds:f} s')
def step_halves(context, zone, seconds):
    fleet = context.fleet
    addresses = [host.address for host in fleet.hosts if host.zone == zone]
    fleet.cut_hosts(addresses[::2], addresses[1::2])
    run(context, asyncio.sleep(seconds))
    parts = {
        len(host.peering.peer_table.zone_peers(context.loop.time())) for host in fleet.hosts[::3]
    }
    assert max(parts) < len(addresses) - 1, parts
    fleet.heal()


def is_settled(context, hosts):
    fleet = context.fleet
    context.missing += fleet.find_missing_peers(hosts, hosts)
    return not fleet.find_membership_errors(hosts, hosts)


@then("within {seconds:f} s the remaining hosts take exactly each other to be alive")
def step_remaining(context, seconds):
    fleet = context.fleet
    found = fleet.wait_until(lambda: is_settled(context, fleet.hosts), seconds)
    assert run(context, found), context.missing[:5]


@then("every living host was taken to be alive all the time")
def step_never_missing(context):
    assert not context.missing, (len(context.missing), context.missing[:5])


@then("every living host is taken to be alive for the next {seconds:f} s")
def step_stays(context, seconds):
    async def watch():
        fleet = context.fleet
        missing = []
        for _ in range(int(seconds / POLL_INTERVAL_S)):
            await asyncio.sleep(POLL_INTERVAL_S)
            missing += fleet.find_missing_peers(fleet.hosts, fleet.hosts)
        return missing

    missing = run(context, watch())
    assert not missing, (len(missing), missing[:5])


@then("within {seconds:f} s every host takes all others to be alive, and knows their total load")
def step_soon_known(context, seconds):
    fleet = context.fleet

    def is_known():
        return (
            not fleet.find_membership_errors(fleet.hosts, fleet.hosts)
            and not fleet.find_in_flight_errors()
        )

    assert run(context, fleet.wait_until(is_known, seconds)), fleet.find_in_flight_errors()[:5]


@then('within {seconds:f} s all hosts of the zones "{zones}" take zone "{silent}" to be silent')
def step_silent(context, seconds, zones, silent):
    fleet = context.fleet
    hosts = [host for host in fleet.hosts if host.zone in zones]

    def is_silent():
        return all(host.placement.silent_zones == {silent} for host in hosts)

    assert run(context, fleet.wait_until(is_silent, seconds))


@then('within {seconds:f} s the hosts of the zones "{zones}" take exactly each other to be alive')
def step_zones_remaining(context, seconds, zones):
    fleet = context.fleet
    hosts = [host for host in fleet.hosts if host.zone in zones]
    assert run(context, fleet.wait_until(lambda: is_settled(context, hosts), seconds))


@given("a host that reported 2 requests at an endpoint, and later 5")
def step_reported(context):
    context.totals_table = TotalsTable()
    for stamp, requests in zip(OWN_STAMPS, (2, 5), strict=True):
        context.totals_table.record_own(make_totals(1, requests), stamp)


def make_totals(hosts, requests):
    return ActivityTotals(hosts, [EndpointLoad(ENDPOINT, requests, 0)])


@when("an aggregator sends totals of {requests:d} that include the {place:w} of these reports")
def step_totals(context, requests, place):
    stamp = OWN_STAMPS[("first", "second").index(place)]
    received = ReceivedTotals(make_totals(20, requests), 100.0 + stamp)
    context.totals_table.apply_fleet_totals("aggregator", received, stamp)


@when(
    "an aggregator sends totals of {many:d} over {hosts:d} hosts, and a newer one totals of"
    " {few:d} over {fewer:d}"
)
def step_two_totals(context, many, hosts, few, fewer):
    context.totals_table.apply_fleet_totals(
        "aggregator", ReceivedTotals(make_totals(hosts, many), 101.0), 0.0
    )
    context.totals_table.apply_fleet_totals(
        "newer", ReceivedTotals(make_totals(fewer, few), 101.5), 0.0
    )


@then("the other hosts run {requests:d} requests there")
def step_others(context, requests):
    loads = context.totals_table.estimate_others(102.0).loads
    assert loads == [EndpointLoad(ENDPOINT, requests, 0)], loads


@given("a host that exchanges digests with a peer")
def step_pair(context):
    context.execute_steps("""
        Given 2 hosts in the zones "ab" that each run 3 requests at 2 endpoints
        When they have exchanged digests for 3.0 s
        """)


def make_invalid_message(kind, sender, now):
    totals = encode_totals(make_totals(1, 50))
    peer, lifetime = sender.address, sender.peering.peer_table.lifetime
    digest = Digest(
        peer,
        "b",
        now + 1.0,
        0.0,
        0.0,
        9,
        0.0,
        0.0,
        scope=Scope.ZONE,
        totals=totals,
        lifetime=lifetime,
    )
    match kind:
        case "truncated":
            return encode_message(digest)[:-9]
        case "of an unknown tag":
            return msgspec.msgpack.encode([99, peer, "b"])
        case "with damaged totals":
            return encode_message(msgspec.structs.replace(digest, totals=totals[:-3]))
        case "older than the last one":
            return encode_message(msgspec.structs.replace(digest, stamp=0.1))
        case "an unrequested roster":
            return encode_message(Roster(peer, "b", ["b7", "b8"], 0.0))
    raise AssertionError(kind)


@when("it receives a message that is {kind}")
def step_invalid(context, kind):
    host, peer = context.fleet.hosts
    context.written = []

    async def get():
        written = context.written.append
        message = make_invalid_message(kind, peer, context.fleet.now)
        with (
            patch.object(_peering, "write_event", written),
            patch.object(_activity, "write_event", written),
        ):
            host.peering._receive(message)

    run(context, get())


@then("its state is unchanged, and the message is {outcome}")
def step_unchanged(context, outcome):
    async def find_wrong():
        host, peer = context.fleet.hosts
        alive = [each.address for each in host.peering.peer_table.alive_peers(context.fleet.now)]
        return alive == [peer.address], context.fleet.find_in_flight_errors()

    is_same, sums = run(context, find_wrong())
    assert is_same and not sums, sums
    is_unreadable = any(isinstance(event, events.MessageUnreadable) for event in context.written)
    assert is_unreadable == (outcome == "unreadable"), context.written


@given("it lists an endpoint that no message can tell of")
def step_untellable(context):
    async def list_endpoint():
        host = context.fleet.hosts[0]
        record = EndpointRecord("odd", "engines", "10.0.0.1:1", "a", "v1", 8, False, 0.0, 2**70)
        host.peering._directory.apply(record, context.fleet.now)

    run(context, list_endpoint())


@when("the peer asks it for its list, and then sends a digest")
def step_ask_list(context):
    host, peer = context.fleet.hosts
    context.written = []

    async def receive():
        peer_state = host.peering.peer_table.find(peer.address)
        context.heard_before = peer_state.heard_at
        with patch.object(_peering, "write_event", context.written.append):
            host.peering._receive(encode_message(StateRequest(peer.address, False, True)))
            await asyncio.sleep(1.0)
        context.heard_after = peer_state.heard_at

    run(context, receive())


@then('the failure is logged with the kind "{kind}" of the message')
def step_failure_logged(context, kind):
    (event,) = [each for each in context.written if isinstance(each, events.MessageFailed)]
    assert event.kind == kind and "OverflowError" in event.error, event


@then("the digest has been applied")
def step_digest_applied(context):
    assert context.heard_after > context.heard_before


@when('it reads that "{address}" is registered with {kind}')
def step_registered(context, address, kind):
    async def read():
        entry = Entry(address, ODD_REGISTRATIONS[kind], 7)
        await context.fleet.hosts[0].peering._apply_addresses((entry,), context.fleet.now)

    run(context, read())


@then("it still hears the peer")
def step_hears(context):
    async def hear():
        host, peer = context.fleet.hosts
        before = host.peering.peer_table.find(peer.address).heard_at
        await asyncio.sleep(1.0)
        return host.peering.peer_table.find(peer.address).heard_at > before

    assert run(context, hear())
