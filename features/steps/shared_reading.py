import asyncio
import functools
import json
import logging
import zlib
from unittest.mock import patch

from behave import given, then, when

from features.steps.gateway_world import make_placement
from poplarrun.dispatch import ConfigView
from poplarrun.evacuations import ZoneOrder
from poplarrun.gateway import (
    _document_follower,
    _listing_follower,
    _reading,
    _state_exchange,
)
from poplarrun.gateway._document_follower import DocumentFollower, DocumentUpdate
from poplarrun.gateway._listing_follower import ListingFollower
from poplarrun.gateway._reading import SharedReader
from poplarrun.logging import NonBlockingHandler, events
from poplarrun.peers import DOCUMENTS, ENDPOINTS, Digest, DocumentChanges, PeerTable, ReadSchedule
from poplarrun.peers import _messages as messages
from poplarrun.placement import EndpointDirectory, Placement
from poplarrun.platform import Entry, LatestRecords, Records, Refused
from poplarrun.rollouts import Rollouts
from poplarrun.transport import seconds_since_boot
from standins.peer_fleet import PeerFleet

NOW = 100.0
PEER = "10.0.0.9:1"


def make_peer_table(number, count, now):
    """Return the peer table of one host that has just received a digest of each other host."""
    peer_table = PeerTable(f"10.0.0.{number}:1", "a")
    for other in range(count):
        if other != number:
            digest = Digest(f"10.0.0.{other}:1", "a", 1.0, 0.0, 0.0, 1, 0.0, 0.0)
            assert peer_table.apply_digest(digest, now)
    return peer_table


@given("{count:d} hosts of a zone that receive each other's digests")
def step_zone(context, count):
    context.peer_tables = [make_peer_table(number, count, NOW) for number in range(count)]


@given("{count:d} hosts of a zone of which one receives no digests")
def step_alone(context, count):
    context.peer_tables = [PeerTable("10.0.0.0:1", "a")]


def wait_of(peer_table, confirmed_at, topic=ENDPOINTS):
    return ReadSchedule().wait_s(peer_table.reader_rank(topic, NOW), confirmed_at, NOW)


@then('exactly one of them reads "{topic}" now')
def step_one_reads(context, topic):
    waits = [wait_of(peer_table, NOW, topic) for peer_table in context.peer_tables]
    assert waits.count(0.0) == 1, waits


@then("the others wait {least:f} to {most:f} s after the last proof")
def step_others_wait(context, least, most):
    waits = sorted(wait_of(peer_table, NOW) for peer_table in context.peer_tables)
    assert all(least - 1e-6 <= wait_s <= most + 1e-6 for wait_s in waits[1:]), waits
    assert not any(wait_of(peer_table, NOW - most - 1e-6) for peer_table in context.peer_tables)


@then('that host reads "{topic}" now')
def step_that_host(context, topic):
    assert wait_of(context.peer_tables[0], NOW, topic) == 0.0


@when("a peer is ahead of one of the others")
def step_ahead(context):
    peer_table = next(peer_table for peer_table in context.peer_tables if wait_of(peer_table, NOW))
    context.schedule, context.rank = ReadSchedule(is_behind=True), peer_table.reader_rank(
        ENDPOINTS, NOW
    )


@then("that host reads at once, and only once")
def step_at_once(context):
    assert context.schedule.wait_s(context.rank, NOW, NOW) == 0.0
    context.schedule.is_behind = False
    assert context.schedule.wait_s(context.rank, NOW, NOW) > 0.0


class TwoEndpointStore:
    """Store double that lists two endpoints and records the offsets of later reads."""

    def __init__(self):
        self.reads = []

    async def read_latest(self, topic):
        return LatestRecords(make_entries(0, 1), 2, 0.0)

    async def read(self, topic, offset, wait_s=0.0):
        self.reads.append(offset)
        return Records((), offset, 0, seconds_since_boot())


def make_entries(first, last):
    return tuple(
        Entry(
            f"engine-{number}",
            json.dumps(
                {
                    "service": "engines",
                    "address": f"127.0.0.1:{number + 1}",
                    "zone": "a",
                    "version": "v1",
                    "slots": 8,
                    "phase": "ready",
                }
            ).encode(),
            number,
        )
        for number in range(first, last + 1)
    )


@given("a listing follower that has read records 0 to 1")
def step_follower(context):
    # A host that another host of its zone precedes as reader.
    numbers = range(20)
    peer_table = next(
        peer_table
        for peer_table in (make_peer_table(number, 20, seconds_since_boot()) for number in numbers)
        if peer_table.reader_rank(ENDPOINTS, seconds_since_boot()) > 0
    )
    context.store, context.directory = TwoEndpointStore(), EndpointDirectory()
    context.follower = ListingFollower(
        context.store, context.directory, Placement("a", None), SharedReader(ENDPOINTS, peer_table)
    )
    assert asyncio.run(context.follower._read_once())
    context.follower.confirmed_at = 0.0


@when("it receives records {first:d} to {last:d} from a peer")
def step_records(context, first, last):
    context.follower.apply_changes(make_entries(first, last), False)


@when("it receives records {first:d} to {last:d}, then {again:d} to {end:d} from a peer")
def step_records_twice(context, first, last, again, end):
    context.follower.apply_changes(make_entries(first, last), False)
    context.follower.apply_changes(make_entries(again, end), False)


@when("it receives from a peer that record {number:d} removes endpoint {gone:d} after an outage")
def step_expiry(context, number, gone):
    context.follower.apply_changes((Entry(f"engine-{gone}", None, number),), True)


@when(
    "a peer sends that record {number:d} removes endpoint {gone:d}, "
    "and record {again:d} lists its next start"
)
def step_restart(context, number, gone, again):
    (entry,) = make_entries(gone, gone)
    fields = json.loads(entry.value) | {"born": 1}
    listed = Entry(entry.key, json.dumps(fields).encode(), again)
    context.sent = (Entry(entry.key, None, number), listed)
    context.follower.apply_changes(context.sent, False)


@when("a read that began before that brings records {first:d} to {last:d}")
def step_read_late(context, first, last):
    assert [entry.offset for entry in context.sent] == [first, last]

    async def read(topic, offset, wait_s=0.0):
        return Records(context.sent, last + 1, 0, seconds_since_boot())

    context.store.read = read
    assert asyncio.run(context.follower._read_once())


@when("it reads records {first:d} to {last:d} of a log that ends after record {end:d}")
def step_read_part(context, first, last, end):
    async def read(topic, offset, wait_s=0.0):
        return Records(make_entries(first, last), end + 1, 0, seconds_since_boot())

    context.store.read = read
    assert asyncio.run(context.follower._read_once())


@then("its list is current")
def step_is_current(context):
    age_s = context.follower.describe("engine-0", seconds_since_boot()).age_s
    assert 0.0 <= age_s < 1.0, age_s


def need_list(context, count):
    async def refresh_all():
        since = seconds_since_boot()
        return await asyncio.gather(*(context.follower.refresh(since) for _ in range(count)))

    context.refreshed = asyncio.run(refresh_all())


@when("{count:d} requests need a list of now")
def step_need(context, count):
    need_list(context, count)


@when("the store refuses to be read, and {count:d} requests need a list of now")
def step_need_without(context, count):
    async def refuse(topic, offset, wait_s=0.0):
        context.store.reads.append(offset)
        return Refused(429, "too many reads")

    context.store.read = refuse
    need_list(context, count)


@then("the host still counts as one that can read for its zone")
def step_can_read(context):
    assert not context.follower.reader.has_failed


@then("{who} one, after {reads:d} reads")
def step_refreshed(context, who, reads):
    expected = {"all have": True, "none has": False}[who]
    assert set(context.refreshed) == {expected}, context.refreshed
    assert len(context.store.reads) == reads, context.store.reads


@then("it lists the endpoints of records {first:d} to {last:d}, each once")
def step_listed(context, first, last):
    known = [listing.instance_id for listing in context.directory.records()]
    assert sorted(known) == [f"engine-{n}" for n in range(first, last + 1)], known


@when(
    "it reaches the store again after {cut:f} s, and reads that record {number:d} removes "
    "endpoint {gone:d}"
)
def step_cut(context, cut, number, gone):
    now = seconds_since_boot()
    health = context.follower._health
    health.answered_at = now - cut
    context.follower._record_answer(now)
    context.follower._apply_records((Entry(f"engine-{gone}", None, number),), now)


@when("a peer reports that the store has answered it for the last {steady:f} s")
def step_steady(context, steady):
    now = seconds_since_boot()
    context.follower.record_available(now - steady, now)


@when("a peer that has read up to record {last:d} proves its list current at {at:f}")
def step_proves(context, last, at):
    context.follower.record_proof(last + 1, at, PEER)


@then("its list is proven current as of {at:f}")
def step_current(context, at):
    assert context.follower.confirmed_at == at


@then("it reads the store at once from record {number:d}")
def step_reads(context, number):
    async def read():
        async with asyncio.timeout(1.0):
            await context.follower.reader.wait_until_due(lambda: context.follower.confirmed_at)
        await context.follower._read_once()

    context.follower.confirmed_at = seconds_since_boot()
    asyncio.run(read())
    assert context.store.reads == [number], context.store.reads


@when('host {number:d} is killed and "{new}" replaces "{old}"')
def step_kill(context, number, new, old):
    process = context.installation.processes.pop(number)
    process.kill()
    process.wait()
    replace(context.installation, new, old)


@when('host {number:d} is suspended and "{new}" replaces "{old}"')
def step_suspend(context, number, new, old):
    context.installation.signal_host(number, "SIGSTOP")
    replace(context.installation, new, old)


@when('the store rejects host {number:d} and "{new}" replaces "{old}"')
def step_reject(context, number, new, old):
    context.installation.reject_store_calls(number)
    replace(context.installation, new, old)


@when("host {number:d} is resumed")
def step_resume(context, number):
    context.installation.signal_host(number, "SIGCONT")


def replace(installation, new, old):
    installation.add_endpoint(new, "stock")
    installation.remove_endpoint(old)


@then('soon all calls of "{path}" at hosts "{numbers}" reach "{instance_id}"')
def step_hosts_reach(context, path, numbers, instance_id):
    for number in numbers.split(", "):
        context.execute_steps(
            f'Then soon all calls of "{path}" at host {number} reach "{instance_id}"'
        )


@then('a new configuration is soon in force at hosts "{numbers}"')
def step_in_force(context, numbers):
    installation = context.installation
    route = dict(installation.config["routes"][-1], name="added", pathPrefix="/added/")
    installation.config["routes"].append(route)
    installation.publish()
    for number in numbers.split(", "):
        installation.wait_for(
            lambda number=number: installation.call("/added/x", int(number)).status == 200,
            f"the route is served at host {number}",
        )


class DocumentStore:
    """Store double with two roll-out orders, which records the offsets of later reads."""

    def __init__(self):
        self.reads = []

    async def read_latest(self, topic):
        return LatestRecords(make_orders(0, 1), 2, 0.0)

    async def read(self, topic, offset, wait_s=0.0):
        self.reads.append(offset)
        return Records((), offset, 0, seconds_since_boot())


def make_orders(first, last):
    return tuple(
        Entry(
            f"rollout/service-{number}",
            json.dumps({"service": f"service-{number}", "target": "v2", "durationS": 9}).encode(),
            number,
        )
        for number in range(first, last + 1)
    )


@given("a document follower that has read records 0 to 1")
def step_document_follower(context):
    now = seconds_since_boot()
    peer_table = next(
        peer_table
        for peer_table in (make_peer_table(number, 20, now) for number in range(20))
        if peer_table.reader_rank(DOCUMENTS, now) > 0
    )
    context.store = DocumentStore()
    context.config_view, context.rollouts = ConfigView(), Rollouts()
    context.follower = DocumentFollower(
        context.store,
        context.config_view,
        context.rollouts,
        lambda: None,
        SharedReader(DOCUMENTS, peer_table),
        make_placement(1),
    )
    assert asyncio.run(context.follower._read_once()) and context.follower.offset == 2


def send_update(context, first, last):
    update = DocumentUpdate(make_orders(first, last), first, last + 1, False)
    context.last_order = last
    context.follower.apply_peer_update(update, PEER)


@when("a peer that is {count:d} records ahead sends them")
def step_ahead_sends(context, count):
    context.follower.reader.read_unless_sent()
    send_update(context, 2, 1 + count)


@when("the peer's records arrive a second time")
def step_sent_again(context):
    send_update(context, 2, 4)


@when("a peer sends the documents of records {first:d} to {last:d} only")
def step_sends_gap(context, first, last):
    send_update(context, first, last)


@when("a peer is {count:d} records ahead and sends nothing")
def step_sends_nothing(context, count):
    context.follower.reader.read_unless_sent()


@then("it has applied the documents up to record {last:d} and does not read")
def step_applied(context, last):
    assert context.follower.offset == last + 1, context.follower.offset
    assert context.rollouts.find(f"service-{context.last_order}") is not None
    now = seconds_since_boot()
    schedule = context.follower.reader._schedule
    assert schedule.wait_s(1, now, now) > 1.0, schedule


@then("it reads the documents at once from record {number:d}")
@then("it reads the documents within a second from record {number:d}")
def step_reads_documents(context, number):
    async def read():
        async with asyncio.timeout(1.0):
            await context.follower.reader.wait_until_due(seconds_since_boot)
        await context.follower._read_once()

    asyncio.run(read())
    assert context.store.reads == [number], context.store.reads


@given('it knows that the zone "{zone}" is evacuated')
def step_knows_evacuated(context, zone):
    context.follower.apply_evacuation(ZoneOrder(zone, 1, True), "store", NOW)


@when("a peer sends all newest documents up to record {last:d}, without an evacuation")
def step_sends_all(context, last):
    context.last_order = last - 1
    update = DocumentUpdate(make_orders(last - 1, last - 1), 0, last + 1, True)
    context.follower.apply_peer_update(update, PEER)


@then("it knows no evacuated zone")
def step_none_evacuated(context):
    assert not context.follower.evacuations.zones


@given("two connected hosts")
def step_two_hosts(context):
    context.fleet = PeerFleet(3, 2, "a")


@when("one sends the other documents that are {damage}")
def step_damaged(context, damage):
    good = messages.encode_records([messages.OffsetRecord("rollout/x", b"{}", 0)])
    data = {
        "cut short": good[:-3],
        "not compressed": b"records",
        "no records": zlib.compress(b"\xc1"),
        "far too large": zlib.compress(bytes(messages.MAX_RECORDS_BYTES + 1)),
    }[damage]
    sender, receiver = context.fleet.hosts[1], context.fleet.hosts[0].peering
    context.followed = receiver._documents
    context.followed.offset = 0
    written = []
    with patch.object(_state_exchange, "write_event", written.append):
        message = DocumentChanges(sender.address, 0, 1, False, data)
        receiver._receive(messages.encode_message(message))
    context.written = written


@then("nothing is applied, and an unreadable message is logged")
def step_unreadable(context):
    assert context.followed.offset == 0
    (event,) = context.written
    assert isinstance(event, events.MessageUnreadable), event


@when('the peer "{address}" sends an order to evacuate "{zone}" and a roll-out of "{service}"')
def step_peer_sends_orders(context, address, zone, service):
    evacuation = Entry(f"evacuate/{zone}", b"{}", 2)
    update = DocumentUpdate((evacuation, *make_orders(3, 3)), 2, 4, False)
    assert context.rollouts.find(service) is None
    context.written = []
    with patch.object(_document_follower, "write_event", context.written.append):
        context.follower.apply_peer_update(update, address)


@then('both are logged with the source "{source}"')
def step_logged_source(context, source):
    kinds = [type(event) for event in context.written]
    assert kinds == [events.ZoneEvacuated, events.RolloutOrdered], kinds
    assert [event.source for event in context.written] == [source, source]


@when("a peer's documents arrive while this host reads the same ones")
def step_read_and_sent(context):
    follower, context.sent = context.follower, []
    follower.publish_update = context.sent.append

    async def read(topic, offset, wait_s=0.0):
        send_update(context, 2, 4)
        return Records(make_orders(2, 4), 5, 0, seconds_since_boot())

    context.store.read = read
    assert asyncio.run(follower._read_once()) and follower.offset == 5


@then("this host sends them to nobody")
def step_sent_nothing(context):
    assert context.sent == [], context.sent


@when("a peer that has read up to record {last:d} proves its list current {age:f} s ago")
def step_proves_age(context, last, age):
    context.follower.record_proof(last + 1, seconds_since_boot() - age, PEER)


@then("the list is about {age:f} s old, proven by that peer, and endpoint 0 has not lapsed")
def step_list_state(context, age):
    state = context.follower.describe("engine-0", context.follower.confirmed_at + age)
    assert abs(state.age_s - age) < 1e-6 and state.proven_by == PEER, state
    assert not state.is_lapsed


@then("endpoint {number:d} has lapsed")
def step_lapsed(context, number):
    assert context.follower.describe(f"engine-{number}", seconds_since_boot()).is_lapsed


@when("a peer's whole list removes endpoint {number:d}")
def step_peer_list(context, number):
    context.written = []
    with patch.object(_listing_follower, "write_event", context.written.append):
        for _ in range(2):
            context.follower.apply_peer_listing([], [f"engine-{number}"], seconds_since_boot())


@then("the removal of endpoint {number:d} is logged once")
def step_removal_logged(context, number):
    assert context.written == [events.EndpointsGone([f"engine-{number}"], "removed")]


@when("all of them read a new record of an endpoint, and a new document")
def step_all_read(context):
    now = seconds_since_boot()
    context.sent_records, context.sent_documents = [], []
    count = len(context.peer_tables)

    async def read(store, make, topic, offset, wait_s=0.0):
        return Records(make(2, 2), 3, 0, seconds_since_boot())

    for number in range(count):
        peer_table = make_peer_table(number, count, now)
        listings = ListingFollower(
            TwoEndpointStore(),
            EndpointDirectory(),
            Placement("a", None),
            SharedReader(ENDPOINTS, peer_table),
        )
        listings.publish_changes = lambda entries, is_lapse: context.sent_records.append(entries)
        documents = DocumentFollower(
            DocumentStore(),
            ConfigView(),
            Rollouts(),
            lambda: None,
            SharedReader(DOCUMENTS, peer_table),
            make_placement(1),
        )
        documents.publish_update = context.sent_documents.append
        for follower, make in ((listings, make_entries), (documents, make_orders)):
            assert asyncio.run(follower._read_once())
            follower._store.read = functools.partial(read, follower._store, make)
            assert asyncio.run(follower._read_once())


@then("{senders:d} of them send the record, and {again:d} the document")
def step_senders(context, senders, again):
    assert len(context.sent_records) == senders, len(context.sent_records)
    assert len(context.sent_documents) == again, len(context.sent_documents)


@when(
    "a peer that has read up to record {last:d} proves its list current each {pause:f} s "
    "for {seconds:f} s"
)
def step_proves_on(context, last, pause, seconds):
    start = seconds_since_boot()
    for number in range(1, round(seconds / pause) + 1):
        at = start + number * pause
        with patch.object(_listing_follower, "seconds_since_boot", lambda at=at: at):
            context.follower.record_proof(last + 1, at - pause, PEER)


@when("the store answers none of its reads for {seconds:f} s")
def step_unanswered(context, seconds):
    health, now = context.follower._health, seconds_since_boot()
    health.answered_at = now - seconds
    assert health.record_failure(now)


@then("it takes the store for lost")
def step_store_lost(context):
    assert context.follower.available_s(seconds_since_boot()) == 0.0
    assert context.follower._health.is_outage


@then("it takes the store for available again")
def step_store_available(context):
    assert not context.follower._health.is_outage
    assert 0.0 <= context.follower.available_s(seconds_since_boot()) < 1.0


def follow_from_start(number, count, written):
    """Return the log of a host that starts, hears the others, and then learns of a change."""
    peer_table = PeerTable(f"10.0.0.{number}:1", "a")
    reader = SharedReader(ENDPOINTS, peer_table)
    listings = ListingFollower(
        TwoEndpointStore(), EndpointDirectory(), Placement("a", None), reader
    )
    start = seconds_since_boot()
    handler = NonBlockingHandler(written.append)
    logger = logging.getLogger("poplarrun")
    before = logger.handlers, logger.level, logger.propagate
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(logging.INFO)
    try:
        # Until a host hears the others, it is the first of its zone.
        assert asyncio.run(listings._read_once()) and not handler.line_counts
        for other in range(count):
            if other != number:
                digest = Digest(f"10.0.0.{other}:1", "a", 1.0, 0.0, 0.0, 1, 0.0, 0.0)
                assert peer_table.apply_digest(digest, start + 1.0)
        for at, action in (
            (start + 2.5, lambda: listings.record_proof(2, start + 2.4, PEER)),
            (start + 2.6, lambda: listings.apply_changes(make_entries(2, 2), False)),
        ):
            with (
                patch.object(_listing_follower, "seconds_since_boot", lambda at=at: at),
                patch.object(_reading, "seconds_since_boot", lambda at=at: at),
            ):
                action()
    finally:
        handler.flush()
        logger.handlers, level, logger.propagate = before
        logger.setLevel(level)
    return handler.line_counts["EndpointChanged"]


@when("{count:d} hosts of a zone start, list two endpoints, and learn of a third")
def step_all_start(context, count):
    context.written = [[] for _ in range(count)]
    context.counts = [
        follow_from_start(number, count, written) for number, written in enumerate(context.written)
    ]


@then("{writers:d} of them write each of the {changes:d} changes, and all count them")
def step_writers(context, writers, changes):
    lines = ["".join(each).splitlines() for each in context.written]
    assert sorted(len(each) for each in lines if each) == [changes] * writers, lines
    assert context.counts == [changes] * len(lines), context.counts
