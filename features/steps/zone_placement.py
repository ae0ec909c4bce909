import asyncio
import random
import re
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when

from features.steps.gateway_world import ENGINES, make_endpoint_record, make_work
from poplarrun.dispatch import SendDecision
from poplarrun.errors import Refusal
from poplarrun.gateway import _endpoint_offers
from poplarrun.gateway._answer_room import AnswerRoom
from poplarrun.gateway._endpoint_offers import ZoneContacts
from poplarrun.gateway._forwarder import RequestForwarder
from poplarrun.gateway._records import RequestRecorder
from poplarrun.links import LinkFaults
from poplarrun.metrics import Metrics
from poplarrun.peers import EndpointOffer, EndpointQuery
from poplarrun.placement import Placement
from poplarrun.routing import (
    CacheTransfer,
    Catalogue,
    ModelSize,
    PromptPart,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
)
from poplarrun.transport import ConnectFailed
from poplarrun.transport._client import ResponseHead
from standins.rollout_fleet import SERVICE, virtual_clock
from standins.virtual_time import VirtualTimeLoop
from standins.zone_fleet import Wave, ZoneFleet

NOW = 100.0
SEED = 4711
LIGHT = replace(ENGINES, cache_transfer=CacheTransfer(18_432, 22.5e9))
WAVE = Wave(mean=0.75, amplitude=0.55, period_s=11.0)
EXCHANGE_S = 3.0
# Time after which a fault falls into the round trip of a question, which takes 11 ms.
FAULT_DELAY_S = 0.004
# Engines that the code before zones were compared chose for the requests of ``place_recorded``.
RECORDED = (
    "049077948634040294ba3580a97401040657a0404294378701253a3325ba2099822528839953112559a56b5100a9"
    "669b0525168168b1b7671971b980980b8566809b2025200959925b80b66336632232336363363623366236362b36"
    "60bbb66035b63b029598988655865350386983065093389506506b93"
)


@given(
    '{own_count:d} engines in the zone "a" with {own} s of queue, '
    'and {count:d} in the zone "b" with {other} s'
)
def step_queues(context, own_count, own, count, other):
    queues = {}
    for zone, text in (("a", own), ("b", other)):
        values = re.findall(r"[\d.]+", text)
        queues.update({f"{zone}{number}": float(value) for number, value in enumerate(values)})
    assert len(queues) == own_count + count
    context.placement = Placement("a", random.Random(3))
    context.placement.update_endpoints(
        [make_endpoint_record(name, zone=name[0]) for name in queues]
    )
    for name, queue_s in queues.items():
        context.placement.find(name).peer_pending_prefill_s = queue_s


@given('the zone "{zone}" is silent')
def step_zone_silent(context, zone):
    context.placement.silent_zones = frozenset(zone)


@given('notices at {at:f} that each engine of the zone "{zone}" is busy for {seconds:f} s')
def step_busy_notices(context, at, zone, seconds):
    for endpoint in context.placement.endpoints():
        if endpoint.record.zone == zone:
            context.placement.apply_load_notice(endpoint.record.instance_id, seconds, at)


def choose(context, now):
    return context.placement.choose_between_zones(make_work(), LIGHT, now, "small")


@when('a host of the zone "a" chooses an engine of a service with a light cache')
def step_choose(context):
    context.choice = choose(context, NOW)


@then("it stays at the engine with the shortest queue, and asks {asked}")
def step_stays(context, asked):
    chosen = context.choice.estimate.endpoint
    own = [each for each in context.placement.endpoints() if each.record.zone == "a"]
    assert chosen.record.zone == "a" and chosen.queue_s(NOW) == min(e.queue_s(NOW) for e in own)
    alternative = context.choice.alternative
    found = "no zone" if alternative is None else f'zone "{alternative.zone}"'
    assert found == asked, found


@then('it chooses "{name}" at once, and asks no zone')
def step_at_once(context, name):
    assert context.choice.estimate.endpoint.record.instance_id == name
    assert context.choice.alternative is None


@then('a choice at {first:f} names the zone "{zone}", and one at {second:f} none')
def step_at_times(context, first, zone, second):
    assert choose(context, first).alternative.zone == zone
    assert choose(context, second).alternative is None


def place_recorded(service):
    """Return the engines chosen for requests of one seed, a digit for each."""
    source = random.Random(91)
    placement = Placement("a", random.Random(5))
    placement.update_endpoints(
        [make_endpoint_record(f"engine-{number}", zone="abc"[number % 3]) for number in range(12)]
    )
    chosen = []
    for number in range(len(RECORDED)):
        now = NOW + 0.05 * number
        parts = (
            PromptPart(f"shared-{source.randrange(9)}", 8000),
            PromptPart(f"own-{number}", 2000),
        )
        work = make_work(parts, number)
        work.request = replace(work.request, body=b" " * source.randrange(20000))
        if number % 7 == 0:
            work.tried_endpoints.add(f"engine-{source.randrange(12)}")
        if number % 50 == 0:
            placement.apply_load_notice(f"engine-{source.randrange(12)}", 1.5, now)
            loads = {f"engine-{each}": (source.randrange(6), source.random()) for each in range(12)}
            placement.apply_peer_load("peer", loads)
        if number == 120:
            placement.silent_zones = frozenset("b")
        estimate = placement.choose(work, service, now, "small")
        endpoint = estimate.endpoint
        endpoint.record_prompt("small", parts, now)
        endpoint.in_flight += 1
        endpoint.pending_prefill_s = 0.9 * endpoint.pending_prefill_s + estimate.prefill_s
        chosen.append(f"{int(endpoint.record.instance_id.rpartition('-')[2]):x}")
    return "".join(chosen)


@when(
    "the recorded requests are placed for a service whose cache takes {token_bytes:d} bytes a token"
)
def step_place_recorded(context, token_bytes):
    service = replace(ENGINES, cache_transfer=CacheTransfer(token_bytes, 22.5e9))
    context.chosen = place_recorded(service)


@then("the engines chosen are {same}")
def step_same(context, same):
    assert (context.chosen == RECORDED) == (same == "the recorded"), context.chosen


# A fleet in virtual time


def run(context, coroutine):
    """Run a coroutine in the scenario's virtual time, which continues from step to step."""
    return context.loop.run_until_complete(coroutine)


def start_fleet(context, count, zones, engines, may_ask, seed=SEED):
    async def start():
        fleet = ZoneFleet(seed, count, zones, engines, may_ask)
        fleet.start_peering()
        await asyncio.sleep(EXCHANGE_S)
        return fleet

    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    return run(context, start())


@given(
    '{count:d} hosts in the zones "{zones}" before {engines:d} engines each, '
    "that may ask other zones"
)
def step_zone_fleet(context, count, zones, engines):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.shape = (count, zones, engines)
    context.fleet = start_fleet(context, *context.shape, may_ask=True)


@when("callers come in waves for {seconds:f} s, out of phase between the zones")
def step_waves(context, seconds):
    run(context, context.fleet.play(WAVE, seconds))
    context.seconds = seconds


@then("at least {far:f} of the requests go to another zone, and each of them was offered")
def step_far(context, far):
    totals = context.fleet.totals
    assert totals.far >= far * len(totals.first_event_s), totals.far
    taken = sum(asked.outcome.value == "taken" for asked in totals.asked)
    assert taken == totals.far, (taken, totals.far)


@then("no engine's wait stays {bound:f} s above the mean for more than {seconds:f} s")
def step_excess(context, bound, seconds):
    excess_s = context.fleet.totals.longest_excess_s(bound)
    assert excess_s <= seconds, excess_s


def play_fleet(context, may_ask, seed):
    fleet = start_fleet(context, *context.shape, may_ask=may_ask, seed=seed)
    run(context, fleet.play(WAVE, context.seconds))
    return fleet.totals


@then(
    "over {seeds:d} seeds the mean time to the first event is at most {share:f} of that of hosts "
    "that stay in their zone"
)
def step_sooner(context, seeds, share):
    asking_s = staying_s = 0.0
    for seed in (SEED, *range(1, seeds)):
        asking = context.fleet.totals if seed == SEED else play_fleet(context, True, seed)
        staying = play_fleet(context, False, seed)
        assert staying.far == 0
        asking_s += asking.mean_first_event_s
        staying_s += staying.mean_first_event_s
    assert asking_s <= share * staying_s, (asking_s / seeds, staying_s / seeds)


@then("questions and offers take at most {most:d} bytes per second and host")
def step_question_bytes(context, most):
    fleet = context.fleet
    sent = sum(
        host.peering.sender.bytes_by_kind[kind]
        for host in fleet.hosts
        for kind in ("EndpointQuery", "EndpointOffer")
    )
    per_host = sent / context.seconds / len(fleet.hosts)
    assert 0 < per_host <= most, per_host


def hosts_of(context, zone):
    return [host for host in context.fleet.hosts if host.zone == zone]


def engines_of(host, zone):
    return [each for each in host.placement.endpoints() if each.record.zone == zone]


@given('{count:d} engines in the zone "{zone}", where no host is')
def step_without_hosts(context, count, zone):
    for host in context.fleet.hosts:
        records = [each.record for each in host.placement.endpoints()]
        records += [
            replace(records[0], instance_id=f"{zone}{number}", zone=zone) for number in range(count)
        ]
        host.placement.update_endpoints(records)


@given('the engines of the zone "{zone}" are busy for {seconds:f} s, those of "{other}" are idle')
def step_busy(context, zone, seconds, other):
    async def tell():
        now = context.fleet.now
        for host in context.fleet.hosts:
            for endpoint in engines_of(host, zone):
                host.placement.apply_load_notice(endpoint.record.instance_id, seconds, now)

    run(context, tell())
    assert engines_of(context.fleet.hosts[0], other)


def withdraw_version(host):
    """Roll back the version of the engines of the zone "b" at a host."""
    records = [
        replace(each.record, version="v2") if each.record.zone == "b" else each.record
        for each in host.placement.endpoints()
    ]
    host.placement.update_endpoints(records)
    host.rollouts.apply_order(RolloutOrder(SERVICE, "v2", 60.0, 3), 0.0)
    host.rollouts.apply_status(RolloutStatus(SERVICE, "v2", RolloutPhase.ROLLED_BACK))


def skip_time(context, seconds):
    """Let the clock of the questions go on without their timers, as a suspension does."""
    clock = patch.object(
        _endpoint_offers, "seconds_since_boot", lambda: context.loop.time() + seconds
    )
    clock.start()
    context.add_cleanup(clock.stop)


def set_fault(context, fault, asking):
    """Cause a fault, at once or while the question is under way."""
    fleet, others = context.fleet, hosts_of(context, "b")
    placement = asking.placement
    now, call_later = fleet.now, asyncio.get_running_loop().call_later

    def replace_engines(change):
        records = [each.record for each in placement.endpoints()]
        placement.update_endpoints(change(records), fleet.now)

    match fault:
        case "nothing fails":
            pass
        case 'the hosts of "b" are dead':
            fleet.kill(others)
        case 'the hosts of "b" are cut off one way':
            fleet._network.cut(["b"], ["a"], one_way=True)
        case "messages between zones take 0.04 s":
            fleet._network.zone_faults = LinkFaults(0.04)
        case 'the hosts of "b" are stopping':
            for host in others:
                host.peering.offers.may_answer = lambda: False
        case 'the hosts of "b" run no service with that name':
            for host in others:
                empty = Catalogue(3, fleet.catalogue.routes, {}, fleet.catalogue.accounts)
                assert host.config_view.apply_catalogue(empty)
        case 'the engines of "b" are busy for their own zone':
            for host in others:
                for endpoint in engines_of(host, "b"):
                    name = endpoint.record.instance_id
                    host.placement.apply_load_notice(name, 3.5, now)
        case 'the engines of "b" become leaving':
            for endpoint in engines_of(asking, "b"):
                record = endpoint.record
                call_later(
                    FAULT_DELAY_S,
                    placement.leaving.record,
                    record.instance_id,
                    record.started_ms,
                    now,
                )
        case 'the zone "b" is evacuated':
            call_later(FAULT_DELAY_S, placement.update_evacuated, frozenset("b"), now)
        case 'the engines of "b" are removed':
            call_later(
                FAULT_DELAY_S,
                replace_engines,
                lambda records: [record for record in records if record.zone != "b"],
            )
        case 'the engines of "b" want no request':
            for endpoint in engines_of(asking, "b"):
                call_later(FAULT_DELAY_S, placement.record_hold_off, endpoint, 5.0, now)
        case 'the version of the engines of "b" is withdrawn':
            call_later(FAULT_DELAY_S, withdraw_version, asking)
        case 'the engines of "b" fail for another request':
            for endpoint in engines_of(asking, "b"):
                call_later(FAULT_DELAY_S, endpoint.record_failure, now)
        case 'it is sent to the engines of "b" meanwhile':
            names = {each.record.instance_id for each in engines_of(asking, "b")}
            call_later(FAULT_DELAY_S, lambda: context.work.tried_endpoints.update(names))
        case "this host is suspended for 2 s":
            call_later(FAULT_DELAY_S, skip_time, context, 2.0)
        case "its key is taken away":
            catalogue = fleet.catalogue
            without = Catalogue(3, catalogue.routes, catalogue.services, {})
            call_later(FAULT_DELAY_S, asking.config_view.apply_catalogue, without)
        case _:
            raise AssertionError(fault)


@when('a request arrives in the zone "{zone}" while {fault}')
def step_request_with_fault(context, zone, fault):
    async def serve():
        asking = context.asking = hosts_of(context, zone)[0]
        set_fault(context, fault, asking)
        context.work = context.fleet.admit(asking)
        context.started_at = context.fleet.now
        context.decision = await context.fleet.choose(asking, context.work)
        context.waited_s = context.fleet.now - context.started_at

    run(context, serve())


def check_destination(context, zone):
    assert isinstance(context.decision, SendDecision), context.decision
    endpoint = context.decision.estimate.endpoint
    assert endpoint.record.zone == zone, endpoint.record
    assert context.asking.dispatch.may_send(context.work, endpoint, context.started_at + 0.06)


@then(
    'the question ends as "{outcome}" after at most {seconds:f} s, and the request {way} "{zone}"'
)
def step_outcome(context, outcome, seconds, way, zone):
    assert way in ("stays in", "goes to")
    (asked,) = context.fleet.totals.asked
    assert asked.outcome.value == outcome, asked
    assert context.waited_s <= seconds, context.waited_s
    check_destination(context, zone)
    assert context.decision.is_offered == (outcome == "taken")


@then('it is refused as "{kind}"')
def step_refused(context, kind):
    assert isinstance(context.decision, Refusal), context.decision
    assert context.decision.kind.value == kind
    assert context.work.sends == 0 and not context.work.may_have_run


@then('the hosts of "{zone}" count it as sent, and each of them was told')
def step_counted(context, zone):
    async def wait():
        await asyncio.sleep(0.01)
        name = context.decision.estimate.endpoint.record.instance_id
        return [
            host.placement.find(name).queue_s(context.fleet.now) for host in hosts_of(context, zone)
        ]

    queues = run(context, wait())
    assert len(queues) == 3 and min(queues) > 0.3, queues


@then('after the version of the engines of "b" is withdrawn, it may not be sent there')
def step_withdrawn_later(context):
    dispatcher, now = context.asking.dispatch, context.started_at + 0.03
    assert dispatcher.may_use_version(context.work, context.decision, now)
    withdraw_version(context.asking)
    assert not dispatcher.may_use_version(context.work, context.decision, now)


@when('a request arrives in the zone "a" and its caller leaves after {seconds:f} s')
def step_caller_leaves(context, seconds):
    async def leave():
        asking = context.asking = hosts_of(context, "a")[0]
        offers = asking.peering.offers
        context.offers = []
        handle = offers.handle_offer

        def record_offer(offer):
            context.offers.append(offer)
            handle(offer)

        offers.handle_offer = record_offer
        context.work = context.fleet.admit(asking)
        request = asyncio.ensure_future(context.fleet.choose(asking, context.work))
        await asyncio.sleep(seconds)
        assert len(offers._pending) == 1
        request.cancel()
        await asyncio.sleep(0.1)
        assert request.cancelled()

    run(context, leave())


@then("no question is open, nothing was sent, and the late offer is dropped")
def step_nothing_left(context):
    assert not context.asking.peering.offers._pending
    assert context.work.sends == 0
    (offer,) = context.offers
    assert isinstance(offer, EndpointOffer) and offer.instance_id
    assert not context.fleet.totals.asked


@when('{count:d} requests arrive within {seconds:f} s at a host of "a" while {fault}')
def step_many_with_fault(context, count, seconds, fault):
    async def serve():
        asking = hosts_of(context, "a")[0]
        set_fault(context, fault, asking)
        for _ in range(count):
            started_at = context.fleet.now
            decision = await context.fleet.choose(asking, context.fleet.admit(asking))
            assert decision.estimate.endpoint.record.zone == "a"
            waited_s = context.fleet.now - started_at
            await asyncio.sleep(max(0.0, seconds / count - waited_s))

    run(context, serve())


@then("{count:d} of them were asked for")
def step_asked_count(context, count):
    assert len(context.fleet.totals.asked) == count, context.fleet.totals.asked


@then('no question was asked, and the request goes to "{zone}"')
def step_unasked(context, zone):
    assert not context.fleet.totals.asked
    check_destination(context, zone)


# The forwarder, with connections that carry nothing


class Connections:
    """Connector and connection double: keeps what is opened and sent.

    The first connections fail, and the first answers are doubtful; the others never come.
    """

    def __init__(self, failing, doubtful):
        self.failing = failing
        self.doubtful = doubtful
        self.opened = []
        self.sent = []
        self.helper = ""
        self.on_open = lambda: None

    connection = property(lambda self: self)

    def acquire_idle(self, record):
        return None

    async def open(self, record, request_id):
        self.opened.append(record)
        self.on_open()
        self.request_id = request_id.encode()
        if len(self.opened) <= self.failing:
            raise ConnectFailed("refused")
        return self

    def send(self, method, target, headers, body):
        self.sent.append(self.opened[-1])
        return True

    async def read_head(self):
        if len(self.sent) > self.doubtful:
            await asyncio.Event().wait()
        headers = (
            (b"X-Attempt-Id", self.request_id),
            (b"X-Instance-Signature", b"signed"),
            (b"X-Confidence", b"5"),
        )
        return ResponseHead(200, headers)

    def abort(self):
        pass


class Caller:
    """Caller double that keeps the status of its answer."""

    def __init__(self):
        self.is_shielded = False
        self.status = None

    def unshield(self):
        self.is_shielded = False

    def respond(self, status, headers, body):
        self.status = status


class NoProbe:
    async def check(self, work, record, attempt, failure):
        pass


class NoListingCheck:
    async def check(self, work, attempt, failure):
        pass


def start_forwarding(context, time_left_s=None, failing=0, doubtful=0):
    """Start to forward a request at a host of the zone "a" whose engines are busy."""
    asking = context.asking = hosts_of(context, "a")[0]
    context.work = context.fleet.admit(asking)
    context.started_at = context.fleet.now
    if time_left_s is not None:
        context.work.deadline_at = context.started_at + time_left_s
    context.metrics, context.caller = Metrics(), Caller()
    context.connections = Connections(failing, doubtful)
    forwarder = RequestForwarder(
        asking.dispatch,
        None,
        context.connections,
        context.caller,
        context.work,
        RequestRecorder(context.metrics),
        asking.peering.sessions,
        asking.peering.offers,
        NoProbe(),
        NoListingCheck(),
        AnswerRoom(1_000_000),
    )
    return asyncio.ensure_future(forwarder.run())


@when("a request is forwarded, and {count:d} connections fail")
def step_forward(context, count):
    async def forward():
        request = start_forwarding(context, failing=count)
        await asyncio.sleep(0.2)
        request.cancel()

    run(context, forward())


@then('it is sent to the zone "{zone}" after {count:d} questions, each counted as "{outcome}"')
def step_sent_to(context, zone, count, outcome):
    (record,) = context.connections.sent
    assert record.zone == zone, record
    assert len(context.connections.opened) == len(
        {r.instance_id for r in context.connections.opened}
    )
    assert context.metrics.event_counts[f"zone_asked_{outcome}"] == count


@when("a request with {seconds:f} s left is forwarded while {fault}")
def step_forward_late(context, seconds, fault):
    async def forward():
        set_fault(context, fault, hosts_of(context, "a")[0])
        await start_forwarding(context, time_left_s=seconds)
        context.waited_s = context.fleet.now - context.started_at

    run(context, forward())


@then("its caller has the status {status:d} within {seconds:f} s, and nothing was sent")
def step_status(context, status, seconds):
    assert context.caller.status == status, context.caller.status
    assert context.waited_s <= seconds, context.waited_s
    assert not context.connections.sent and not context.work.may_have_run


@when("a request is forwarded, and its caller leaves after {seconds:f} s")
def step_forward_leaves(context, seconds):
    async def forward():
        request = start_forwarding(context)
        await asyncio.sleep(seconds)
        assert len(context.asking.peering.offers._pending) == 1
        request.cancel()
        await asyncio.sleep(0.1)
        assert request.cancelled()

    run(context, forward())


@then("no connection was opened, and no question is open")
def step_none_opened(context):
    assert not context.connections.opened
    assert not context.asking.peering.offers._pending


@given("the engines have a small model, and a large one for doubtful answers")
def step_two_models(context):
    async def apply():
        context.fleet.offer_models(3, (ModelSize("small", 0.01), ModelSize("large", 0.1)))

    run(context, apply())


@when("a request is forwarded whose first answer is doubtful")
def step_forward_doubtful(context):
    async def forward():
        # First sends earn the retry that an escalation spends.
        now = context.fleet.now
        budget = hosts_of(context, "a")[0].dispatch.retry_budgets.budget(SERVICE, now)
        for _ in range(3):
            budget.record_attempt(now)
        request = start_forwarding(context, doubtful=1)
        await asyncio.sleep(0.2)
        request.cancel()

    run(context, forward())


@then('it is sent twice, each time to another engine of "{zone}" that was offered')
def step_sent_twice(context, zone):
    first, second = context.connections.sent
    assert first.zone == second.zone == zone
    assert first.instance_id != second.instance_id
    assert context.work.model_size == "large"
    assert context.metrics.event_counts["zone_asked_taken"] == 2


@when('a request is forwarded, and the version of "b" is withdrawn while the connection opens')
def step_withdrawn_at_open(context):
    async def forward():
        request = start_forwarding(context)

        def withdraw():
            context.connections.on_open = lambda: None
            withdraw_version(context.asking)

        context.connections.on_open = withdraw
        await asyncio.sleep(0.2)
        request.cancel()

    run(context, forward())


@given('the engine "{name}" is busy for {seconds:f} s')
def step_engine_busy(context, name, seconds):
    async def tell():
        for host in context.fleet.hosts:
            host.placement.apply_load_notice(name, seconds, context.fleet.now)

    run(context, tell())


@when('a host of "{zone}" is asked with {question}')
def step_ask_host(context, zone, question):
    async def ask():
        host, now = hosts_of(context, zone)[0], context.fleet.now
        placement, first = host.placement, host.placement.find(f"{zone}0")
        fields = {"versions": None, "avoided_version": None, "tried": [], "service": SERVICE}
        fields["max_first_event_ms"] = 3000
        match question:
            case '"b0" tried':
                fields["tried"] = ["b0"]
            case "both engines tried":
                fields["tried"] = ["b0", "b1"]
            case "only version v2 allowed":
                fields["versions"] = ["v2"]
            case "version v1 avoided":
                fields["avoided_version"] = "v1"
            case "a bound of 0.1 s":
                fields["max_first_event_ms"] = 100
            case '"b0" unavailable':
                first.record_failure(now)
            case '"b0" leaving':
                placement.leaving.record("b0", first.record.started_ms, now)
            case "its zone evacuated":
                placement.update_evacuated(frozenset(zone), now)
            case "a service that is not listed":
                fields["service"] = "unknown"
            case "no restriction":
                pass
            case _:
                raise AssertionError(question)
        query = EndpointQuery("a0", 1, model="small", parts=[], prompt_tokens=10_000, **fields)
        received = []
        asking = context.fleet.hosts[0].peering.offers
        with patch.object(asking, "handle_offer", received.append):
            host.peering.offers.handle_query(query, now)
            await asyncio.sleep(0.05)
        (context.offer,) = received

    run(context, ask())


@then('it offers "{name}"')
def step_offers(context, name):
    assert (context.offer.instance_id or "nothing") == name, context.offer


@given("{askers:d} hosts that choose whom to ask among {hosts:d} hosts of a zone")
def step_contacts(context, askers, hosts):
    context.contacts = [ZoneContacts(f"10.1.0.{number}:1") for number in range(askers)]
    context.zone_hosts = [f"10.2.0.{number}:1" for number in range(hosts)]


def choose_contacts(context, hosts):
    return [contacts.choose("b", hosts) for contacts in context.contacts]


@then("each asks the same one again, and no host is asked by more than {most:d}")
def step_same_contact(context, most):
    context.chosen = choose_contacts(context, context.zone_hosts)
    assert choose_contacts(context, context.zone_hosts[::-1]) == context.chosen
    assert max(Counter(context.chosen).values()) <= most, Counter(context.chosen)


@then("after a late answer each asks another one")
def step_next_contact(context):
    for contacts in context.contacts:
        contacts.record_late("b")
    before, context.chosen = context.chosen, choose_contacts(context, context.zone_hosts)
    assert all(old != new for old, new in zip(before, context.chosen, strict=True))


@then("when that one is lost, each asks one that is alive")
def step_lost_contact(context):
    for contacts, chosen in zip(context.contacts, context.chosen, strict=True):
        alive = [host for host in context.zone_hosts if host != chosen]
        assert contacts.choose("b", alive) in alive
