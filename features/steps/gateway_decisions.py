import logging
import random
import re
from pathlib import Path

from behave import given, then, when

from poplarrun.dispatch import ConnectionBroke, Dispatch, Knowledge, Send
from poplarrun.errors import NotRun, Refusal, answer_for
from poplarrun.gateway._events import EventCutter
from poplarrun.logs import EVENTS, BoundedHandler
from poplarrun.peers import Digest, PeerBook
from poplarrun.placement import Directory, DirectoryEvent, Listing, Placement, Seat
from poplarrun.rollouts import Evidence, Rollouts, Tally, Times, Verdict
from poplarrun.routing import (
    Account,
    Catalogue,
    Pace,
    PromptPart,
    Repeat,
    Request,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
    Route,
    Service,
    Share,
    Size,
    Work,
)
from poplarrun.sizes import SizePolicy

ROOT = Path(__file__).resolve().parents[2]
PACE = Pace(10.0, 2.0, 1.0)
SIZES = (Size("small", 0.008), Size("large", 0.12))
ENGINES = Service("engines", 100, 8, 400_000, SIZES)


def make_route(prefix="/", repeat=Repeat.STREAM, rank=1, attempts=3, name="draft"):
    shares = (Share("engines", 1.0),)
    sizes = ("small", "large")
    return Route(name, "shop", prefix, repeat, PACE, rank, shares, attempts, False, True, sizes)


def make_catalogue(version=1, routes=None, keys=("key",)):
    routes = routes or (make_route(),)
    ordered = tuple(sorted(routes, key=lambda route: -len(route.prefix)))
    accounts = {key: Account("acme") for key in keys}
    return Catalogue(version, {"shop": ordered}, {"engines": ENGINES}, accounts)


def make_request(path="/x", parts=(), session=None, number=0):
    tokens = sum(part.tokens for part in parts)
    return Request(
        f"req-{number}", b"POST", path.encode(), "shop", (), b"", 10.0, "key", parts,
        tokens or 1000, 100, "*", session,
    )  # fmt: skip


def make_listing(name, version="v1", sequence=1, started_ms=1, zone="a"):
    return Listing(
        name, "engines", "127.0.0.1:1", zone, version, 8, False, 0.0, started_ms, sequence
    )


def make_placement(count):
    placement = Placement("a", random.Random(3))
    placement.update([make_listing(f"engine-{number}") for number in range(count)])
    return placement


def make_dispatch(knowledge, engines=2, earned=0.8, allowance=10.0):
    return Dispatch(knowledge, make_placement(engines), Rollouts(), SizePolicy(), earned, allowance)


def make_work(parts=(), number=0, session=None):
    request = make_request(parts=parts, number=number, session=session)
    return Work(request, make_route(), Account("acme"), "engines", 100.0, 110.0, size=None)


@given("a dispatch whose configuration was confirmed at {at:f} and keys bound by {bound:f} s")
def step_dispatch(context, at, bound):
    context.knowledge = Knowledge(bound)
    context.knowledge.take(make_catalogue())
    context.knowledge.confirm(at)
    context.dispatch = make_dispatch(context.knowledge)


@then("a keyed request is admitted at {at:f}")
def step_admitted(context, at):
    context.work = context.dispatch.admit(make_request(), at)
    assert isinstance(context.work, Work), context.work


@then('a keyed request is refused with "{kind}" at {at:f}')
def step_refused(context, kind, at):
    refusal = context.dispatch.admit(make_request(), at)
    assert isinstance(refusal, Refusal) and refusal.kind.value == kind, refusal
    assert answer_for(refusal.kind).not_run is NotRun.YES and refusal.retry_after_s > 0.0


@then("after a new confirmation at {confirmed:f} a keyed request is admitted at {at:f}")
def step_confirmed(context, confirmed, at):
    context.knowledge.confirm(confirmed)
    step_admitted(context, at)


@when("a keyed request is admitted at {at:f} and its host is suspended until {until:f}")
def step_suspended(context, at, until):
    step_admitted(context, at)
    context.refusal = context.dispatch.recheck(context.work, until)


@when("a keyed request was sent at {at:f} and its endpoint breaks at {broken:f}")
def step_sent_and_broken(context, at, broken):
    step_admitted(context, at)
    dispatch, work = context.dispatch, context.work
    step = dispatch.choose(work, at)
    attempt = dispatch.note_sent(work, step, at)
    failure = ConnectionBroke("reset")
    assert dispatch.note_failure(work, step.seat.member, attempt, failure, broken) is None
    context.broken_at = broken


@then('it is sent again, and a new request is refused with "{kind}" at {at:f}')
def step_sent_again(context, kind, at):
    assert isinstance(context.dispatch.choose(context.work, context.broken_at), Send)
    step_refused(context, kind, at)


@when("a keyed request is admitted at {at:f} and its key is taken away")
def step_key_gone(context, at):
    step_admitted(context, at)
    context.knowledge.take(make_catalogue(version=2, keys=()))
    context.refusal = context.dispatch.recheck(context.work, at + 0.1)


@then('it may not be sent, and the refusal says "not run"')
def step_not_sent(context):
    assert isinstance(context.refusal, Refusal), context.refusal
    assert answer_for(context.refusal.kind).not_run is NotRun.YES, context.refusal


@when("the versions {first:d}, {second:d} and {third:d} arrive in this order")
def step_versions(context, first, second, third):
    context.taken = [context.knowledge.take(make_catalogue(v)) for v in (first, second, third)]


@then("version {version:d} is in force and {older:d} changed nothing")
def step_in_force(context, version, older):
    assert context.taken == [True, False, False]
    assert context.knowledge.catalogue.version == version


@when('a stream fails at its endpoint with "broken" and no endpoint is left')
def step_broken(context):
    dispatch = context.dispatch
    work = dispatch.admit(make_request(), 100.1)
    step = dispatch.choose(work, 100.1)
    assert isinstance(step, Send)
    attempt = dispatch.note_sent(work, step, 100.1)
    dispatch.note_failure(work, step.seat.member, attempt, ConnectionBroke("reset"), 100.2)
    dispatch.placement.update([])
    context.refusal = dispatch.choose(work, 100.3)


@then('the refusal doesn\'t say "not run"')
def step_not_promised(context):
    assert isinstance(context.refusal, Refusal)
    answer = answer_for(context.refusal.kind)
    assert answer.not_run is not NotRun.YES and answer.status not in (408, 421, 429, 503)


@given(
    "{count:d} dispatches with {ratio:f} second sends for each request and {allowance:d} besides"
)
def step_dispatches(context, count, ratio, allowance):
    from poplarrun.gateway._host import FIRST_HOSTS, RETRY_PART

    context.dispatches = []
    for _ in range(count):
        knowledge = Knowledge(None)
        knowledge.take(make_catalogue())
        knowledge.confirm(100.0)
        share = max(1.0, RETRY_PART * allowance / FIRST_HOSTS)
        context.dispatches.append(make_dispatch(knowledge, 4, RETRY_PART * ratio, share))


@when("each of them gets {count:d} requests that fail at each endpoint")
def step_all_fail(context, count):
    context.sends = context.requests = 0
    for dispatch in context.dispatches:
        for number in range(count):
            context.requests += 1
            context.sends += send_until_refused(dispatch, number)


def send_until_refused(dispatch, number):
    now = 100.0 + number * 0.01
    work = dispatch.admit(make_request(number=number), now)
    while True:
        step = dispatch.choose(work, now)
        if isinstance(step, Refusal):
            return work.sends
        attempt = dispatch.note_sent(work, step, now)
        failure = ConnectionBroke("reset")
        if dispatch.note_failure(work, step.seat.member, attempt, failure, now) is not None:
            return work.sends


@then("all second sends together are at most {ratio:f} times {count:d} and {allowance:d}")
def step_budget(context, ratio, count, allowance):
    assert context.requests == count
    assert context.sends - context.requests <= ratio * count + allowance, context.sends
    # A budget that lets nothing through would pass too.
    assert context.sends > 1.5 * context.requests


@given('a catalogue with the prefixes "{one}", "{two}" and "{three}" of one host')
def step_prefixes(context, one, two, three):
    context.catalogue = make_catalogue(routes=tuple(make_route(p) for p in (one, two, three)))


@then('"{one}" goes to "{first}", "{two}" to "{second}" and "{three}" to "{third}"')
def step_longest(context, one, first, two, second, three, third):
    found = [context.catalogue.find_route("shop", path).prefix for path in (one, two, three)]
    assert found == [first, second, third], found
    assert context.catalogue.find_route("other", one) is None


@then("a request of an account of rank {rank:d} on a route of rank {route:d} has rank {whole:d}")
def step_rank(context, rank, route, whole):
    work = Work(make_request(), make_route(rank=route), Account("a", rank), "engines", 0.0, 1.0)
    assert work.rank == whole


@given('a directory that lists "{name}" with record {sequence:d}')
def step_directory(context, name, sequence):
    context.directory = Directory()
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
    assert context.directory.listings() == []


@then('record {sequence:d} of "{name}" lists it again')
def step_lists_again(context, sequence, name):
    step_record(context, sequence, name)
    assert [listing.lifetime for listing in context.directory.listings()] == [name]


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
    assert context.directory.expire(kept) == [] and context.directory.listings()
    assert context.directory.expire(gone) == ["e1"] and not context.directory.listings()


@given("a placement of {count:d} engines")
def step_placement(context, count):
    context.placement = make_placement(count)


@when("a prompt of {tokens:d} tokens was read at one engine")
def step_read(context, tokens):
    context.parts = (PromptPart("shared", tokens - 1000), PromptPart("own", 1000))
    seat = context.placement.choose(make_work(context.parts), ENGINES, 100.0, "small")
    context.reader = seat.member
    context.reader.remember("small", context.parts, 100.0)


@then("the next prompt with the same beginning goes there")
def step_goes_there(context):
    parts = (context.parts[0], PromptPart("other", 1000))
    seat = context.placement.choose(make_work(parts, 1), ENGINES, 101.0, "small")
    assert seat.member is context.reader and seat.unread_tokens == 1000, seat


@then("with {count:d} prompts waiting there it goes elsewhere")
def step_goes_elsewhere(context, count):
    context.reader.in_flight = count
    context.reader.pending_s = count * 0.5
    seat = context.placement.choose(make_work(context.parts, 2), ENGINES, 101.0, "small")
    assert seat.member is not context.reader


@given('a placement of engines in the zones "{zones}" and a book that heard hosts of "{others}"')
def step_zones(context, zones, others):
    context.placement = Placement("a", random.Random(3))
    context.placement.update([make_listing(f"in-{z}", zone=z) for z in zones.split(", ")])
    context.book = PeerBook("10.0.0.1:1", "a")
    for zone in others.split(", "):
        hear(context, zone, 100.0)


def hear(context, zone, at):
    digest = Digest(f"10.0.0.{zone}:1", zone, at, 0.0, 0.0, 1, 0.0, 0.0)
    assert context.book.take(digest, at)


@when('the hosts of "{silent}" fall silent and those of "{heard}" don\'t')
def step_fall_silent(context, silent, heard):
    hear(context, heard, 105.0)
    context.placement.silent_zones = context.book.silent_zones(105.0)
    assert context.placement.silent_zones == {silent}


@then('{count:d} prompts go to "{one}" and "{two}" only, although these are half full')
def step_in_reach(context, count, one, two):
    for zone in (one, two):
        context.placement.find(f"in-{zone}").in_flight = 4
    for number in range(count):
        seat = context.placement.choose(make_work(number=number), ENGINES, 105.0, "small")
        assert seat.member.listing.zone in (one, two), seat


@when('"{name}" fails')
def step_fails(context, name):
    context.member = context.placement.find(name)
    context.failed_at = 100.0
    context.member.note_failure(context.failed_at)


@then("it gets nothing for {seconds:f} s")
def step_paused(context, seconds):
    for at in (0.0, seconds - 0.01):
        for number in range(20):
            work = make_work(number=number)
            seat = context.placement.choose(work, ENGINES, context.failed_at + at, "small")
            assert seat.member is not context.member
    assert context.member.paused_until <= context.failed_at + seconds


@then("it gets nothing for {seconds:f} s after a second failure")
def step_paused_again(context, seconds):
    context.failed_at = context.member.paused_until + 0.1
    context.member.note_failure(context.failed_at)
    step_paused(context, seconds)


@given("a policy of sizes before empty engines")
def step_policy(context):
    context.queue_s = 0.0


@given("a policy of sizes before engines with {queue:f} s of prompts waiting")
def step_policy_full(context, queue):
    context.queue_s = queue


def is_asked_again(confidence, queue_s):
    work = make_work()
    work.size = "small"
    member = make_placement(1).find("engine-0")
    member.pending_s = queue_s
    seat = Seat(member, 0.1, 0.1 + queue_s, 1000)
    return SizePolicy().is_worth_more(work, confidence, seat, ENGINES, 100.1)


@then("an answer of confidence {low:f} is asked again and one of {high:f} is kept")
def step_asked(context, low, high):
    assert is_asked_again(low, context.queue_s) and not is_asked_again(high, context.queue_s)


@then("an answer of confidence {confidence:f} is asked again on empty engines only")
def step_asked_empty(context, confidence):
    assert is_asked_again(confidence, 0.0) and not is_asked_again(confidence, context.queue_s)


def tally(context, version, route, ended, bad):
    if not hasattr(context, "evidence"):
        context.evidence = Evidence()
    context.evidence.own[("engines", version, route)] = Tally(ended, bad)


@given('{good:d} good answers of the new version on "{one}" and {bad:d} bad of {all:d} on "{two}"')
def step_new_answers(context, good, one, bad, all, two):
    tally(context, "v2", one, good, 0)
    tally(context, "v2", two, all, bad)


@given('{good:d} good answers of the old version on "{one}" and {more:d} on "{two}"')
def step_old_answers(context, good, one, more, two):
    tally(context, "v1", one, good, 0)
    tally(context, "v1", two, more, 0)


@given("{bad:d} bad of {ended:d} new answers and {old_bad:d} bad of {old:d} old ones")
def step_like_old(context, bad, ended, old_bad, old):
    tally(context, "v2", "a", ended, bad)
    tally(context, "v1", "a", old, old_bad)


@given("usual answers of {usual:f} s, and {slow:d} of {ended:d} new ones of {long:f} s")
def step_slow(context, usual, slow, ended, long):
    context.evidence = Evidence()
    for _ in range(50):
        context.evidence.note(("engines", "v1", "a"), False, Times(usual), False)
    for number in range(ended):
        times = Times(long if number < slow else usual)
        context.evidence.note(("engines", "v2", "a"), False, times, True)


@given("a dispatch whose endpoints usually begin after {usual:f} s")
def step_usual(context, usual):
    knowledge = Knowledge(None)
    knowledge.take(make_catalogue())
    knowledge.confirm(100.0)
    context.dispatch = make_dispatch(knowledge)
    context.dispatch.placement.update([make_listing("old"), make_listing("new", "v2")])
    for number in range(40):
        send_to(context, "old", number, 100.0, 100.0 + usual)


def send_to(context, name, number, sent_at, first_at=None):
    dispatch = context.dispatch
    work = dispatch.admit(make_request(number=number), sent_at)
    seat = Seat(dispatch.placement.find(name), 0.0, 0.1, 0)
    attempt = dispatch.note_sent(work, Send(seat, "small", 3), sent_at)
    if first_at is not None:
        dispatch.note_first(work, attempt, first_at)
        dispatch.note_end(work, attempt, first_at)


@when("{slow:d} of {count:d} answers of the version on trial have not begun after {late:f} s")
def step_not_begun(context, slow, count, late):
    context.dispatch.rollouts.take_order(RolloutOrder("engines", "v2", 20.0, 7), 101.0)
    for number in range(count):
        first_at = None if number < slow else 102.1
        send_to(context, "new", 100 + number, 102.0, first_at)
    context.dispatch.judge_open(102.0 + late)


@then("the new version is judged bad although none of its answers failed")
def step_judged_open(context):
    evidence = context.dispatch.rollouts.evidence
    assert evidence.of_version("engines", "v2").bad == 0
    assert evidence.is_bad("engines", "v2"), evidence.own


@given("usual answers of {pace:f} s an event")
def step_usual_pace(context, pace):
    context.evidence = Evidence()
    context.pace = pace
    for _ in range(50):
        context.evidence.note(("engines", "v1", "a"), False, Times(0.1, pace), False)


@when("{slow:d} of {count:d} answers of the new version take {pace:f} s an event")
def step_dripping(context, slow, count, pace):
    for number in range(count):
        times = Times(0.1, pace if number < slow else context.pace)
        context.evidence.note(("engines", "v2", "a"), False, times, True)


@when("a request on the new version is asked of a larger model")
def step_cascade(context):
    for number in range(100):
        context.work = make_work(number=number)
        if context.rollouts.pick_version(context.work, 101.0)[0] == {"v2"}:
            break
    context.work.version, context.work.runs = "v2", 1


@then("its next send goes to the new version, and after a failure to the old one")
def step_stays(context):
    assert context.rollouts.pick_version(context.work, 101.0)[0] == {"v2"}
    context.work.failures = 1
    assert context.rollouts.pick_version(context.work, 101.0) == (None, "v2")


@then("the new version is judged {judgement:w}")
def step_judged(context, judgement):
    assert context.evidence.is_bad("engines", "v2") == (judgement == "bad")


@given("a roll-out of {seconds:d} s ordered at {at:f} and {count:d} sessions on the old version")
def step_rollout(context, seconds, at, count):
    context.rollouts = Rollouts(session_s=5.0)
    context.rollouts.take_order(RolloutOrder("engines", "v2", seconds, 7), at)
    context.sessions = [f"session-{number}" for number in range(count)]
    for session in context.sessions:
        context.rollouts.note_end(make_work(session=session), "v1", at)


@then("none of them is sent to the new version until {until:f}")
def step_keep(context, until):
    now = 100.0
    while now < until:
        for session in context.sessions:
            work = make_work(session=session)
            versions, avoided = context.rollouts.pick_version(work, now)
            assert versions is None and avoided == "v2", (session, now)
            context.rollouts.note_end(work, "v1", now)
        now += 1.0


@then("about a tenth of {count:d} new sessions tries the new version")
def step_tenth(context, count):
    works = [make_work(session=f"new-{number}") for number in range(count)]
    tries = sum(context.rollouts.pick_version(work, 101.0)[0] is not None for work in works)
    assert 0.06 * count < tries < 0.14 * count, tries


@when('it is recorded as "{first}" and then as "{second}" by a host that was paused')
def step_recorded(context, first, second):
    for phase in (first, second):
        context.rollouts.take_status(RolloutStatus("engines", "v2", RolloutPhase(phase)))


@then("it is rolled back and no request goes to the new version")
def step_rolled_back(context):
    rollout = context.rollouts.find("engines")
    assert rollout.recorded is RolloutPhase.ROLLED_BACK
    assert context.rollouts.judge(rollout, 130.0, 0) is Verdict.NOTHING
    for number in range(200):
        _, avoided = context.rollouts.pick_version(make_work(number=number), 105.0)
        assert avoided == "v2"


@given("a book of peers")
def step_book(context):
    context.book = PeerBook("10.0.0.1:1", "a")


@when("a digest arrives at {at:f} that echoes {stamp:f} after {held:f} s, facts {age:f} s old")
def step_digest(context, at, stamp, held, age):
    context.digest = Digest("10.0.0.2:1", "b", 5000.0, stamp, held, 3, age, 0.1)
    assert context.book.take(context.digest, at)


@then("the facts are proven true at {at:f}")
def step_proven(context, at):
    assert abs(context.book.proven_at(context.digest) - at) < 1e-6


@given("a stream of {count:d} events in pieces of {least:d} to {most:d} bytes")
def step_pieces(context, count, least, most):
    whole = b"".join(f"id: {n}\ndata: text {n}\n\n".encode() for n in range(1, count + 1))
    source, cutter = random.Random(5), EventCutter()
    context.events, context.whole = [], whole
    while whole:
        size = source.randint(least, most)
        context.events += cutter.feed(whole[:size])
        whole = whole[size:]
    assert cutter.is_between


@then("the cutter gives {count:d} events with the ids in order, and none is torn")
def step_cut(context, count):
    assert [event.id for event in context.events] == list(range(1, count + 1))
    assert b"".join(event.data for event in context.events) == context.whole


@given("a log whose reader has stopped")
def step_stopped_reader(context):
    # The thread that writes stays at its first write, as at a full pipe.
    import threading

    context.reads = threading.Event()
    context.add_cleanup(context.reads.set)
    context.handler = BoundedHandler(lambda _: context.reads.wait(30.0), lambda: 50.0)


@when("{usual:d} usual lines and {notable:d} notable ones are written")
def step_lines(context, usual, notable):
    logger = logging.Logger("test")
    logger.addHandler(context.handler)
    for _ in range(usual):
        logger.info("usual", extra={"event": "Usual", "is_usual": True})
    for _ in range(notable):
        logger.info("notable", extra={"event": "Notable", "is_usual": False})


@then("the loop never waited, and the lines left out are counted by event")
def step_left_out(context):
    assert context.handler.left_out["Usual"] > 4000
    assert context.handler.left_out["Notable"] == 0


@then("docs/OPERATIONS.md explains every event, and no other")
def step_events_page(context):
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    explained = set(re.findall(r"^\| `([A-Z]\w+)` \|", text, re.MULTILINE))
    named = {event.__name__ for event in EVENTS}
    assert explained == named, explained ^ named
