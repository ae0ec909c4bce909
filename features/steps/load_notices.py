from dataclasses import replace

from behave import given, then, when

from bench.gateway_fleet import LOADS, WAYS, measure
from features.steps.evacuation import check_within
from features.steps.gateway_world import ENGINES, make_catalogue, make_placement, make_work
from poplarrun.dispatch import ConfigView, Dispatcher, SendDecision
from poplarrun.peers import NoticeBudget
from poplarrun.placement import EndpointEstimate
from poplarrun.rollouts import Rollouts
from poplarrun.routing import CacheTransfer, PromptPart
from poplarrun.shares import Budget
from poplarrun.sizes import SizePolicy


def queue_of(host, instance_id, now):
    return host.placement.find(instance_id).queue_s(now)


@when('a host of the zone "{zone}" sends a prompt that takes {seconds:f} s to read to "{name}"')
def step_host_sends(context, zone, seconds, name):
    context.sender = next(host for host in context.fleet.hosts if host.zone == zone)

    async def send():
        endpoint = context.sender.placement.find(name)
        estimate = EndpointEstimate(endpoint, seconds, seconds, 1000)
        context.sender.peering.publish_load(estimate)

    context.loop.run_until_complete(send())


@then(
    'within {seconds:f} s the hosts of the zone "{zone}" expect {wait:f} s of waiting at "{name}", '
    "the others none"
)
def step_zone_expects(context, seconds, zone, wait, name):
    def are_told(hosts):
        now = context.fleet.now
        others = [host for host in hosts if host is not context.sender]
        return all(
            (wait - 0.3 < queue_of(host, name, now) <= wait) == (host.zone == zone)
            for host in others
        )

    check_within(context, seconds, are_told)


@then('{seconds:f} s later no host expects a wait at "{name}"')
def step_no_wait(context, seconds, name):
    async def wait():
        await context.fleet.wait_until(lambda: False, seconds)
        now = context.fleet.now
        assert not any(queue_of(host, name, now) for host in context.fleet.hosts)

    context.loop.run_until_complete(wait())


@given(
    "{hosts:d} hosts of a zone that each send {rate:d} prompts a second, one in five of {long:f} s"
)
def step_sending_hosts(context, hosts, rate, long):
    context.hosts = hosts
    context.told = []
    context.long_told = context.long_sent = 0
    for host in range(hosts):
        budget = NoticeBudget()
        for number in range(rate * 10):
            now = number / rate + host / hosts / rate
            prefill_s = long if number % 5 == 0 else 0.1
            is_told = budget.try_spend(prefill_s, hosts, now)
            context.long_sent += prefill_s == long
            if is_told:
                context.told.append((now, host))
                context.long_told += prefill_s == long


@then(
    "each host receives at most {most:d} notices a second over {seconds:d} s, "
    "and what {saved:d} s save up"
)
def step_received(context, most, seconds, saved):
    count = sum(3.0 <= at < 3.0 + seconds and host != 0 for at, host in context.told)
    assert count <= most * (seconds + saved), count


@then("at least {share:f} of the long prompts are told")
def step_long_told(context, share):
    assert context.long_told >= share * context.long_sent, (context.long_told, context.long_sent)


@when('a notice says that "{name}" is busy for {seconds:f} s, and one names "{other}"')
def step_notices(context, name, seconds, other):
    context.placement.apply_load_notice(name, seconds, 100.0)
    context.placement.apply_load_notice(other, 1.0, 100.0)


@then("after {seconds:f} s no engine has a wait")
def step_engines_idle(context, seconds):
    assert context.placement.find("engine-0").queue_s(100.0) > 0.0
    assert not any(each.queue_s(100.0 + seconds) for each in context.placement.endpoints())


@when('the load "{name}" is played with notices and without')
def step_play_load(context, name):
    load = next(load for load in LOADS if load.name == name)
    by_name = {way.policy.name: way for way in WAYS}
    context.late = {}
    for way in ("notices", "sums_only"):
        totals = measure(load, by_name[way], seeds=(1,))
        context.late[way] = 1.0 - totals.in_time_count / totals.request_count


@then("with notices at most {share:f} as many callers are late or get a poor answer")
def step_fewer_late(context, share):
    assert context.late["notices"] <= share * context.late["sums_only"], context.late


@when('the load "{name}" is played with notices')
def step_play_with_notices(context, name):
    load = next(load for load in LOADS if load.name == name)
    way = next(way for way in WAYS if way.policy.name == "notices")
    context.totals = measure(load, way, seeds=(1, 2))


@then("at least {share:f} of the callers get a good answer in time")
def step_good_in_time(context, share):
    totals = context.totals
    assert totals.in_time_count >= share * totals.request_count, totals


@given("the placements of {count:d} hosts before {engines:d} engines with a {weight} cache")
def step_placements(context, count, engines, weight):
    token_bytes = {"light": 18_432, "heavy": 163_840}[weight]
    context.service = replace(ENGINES, cache_transfer=CacheTransfer(token_bytes, 22.5e9))
    context.placements = [make_placement(engines) for _ in range(count)]


@when('one host sends a prompt of {tokens:d} tokens to the engine "{name}" and tells the other')
def step_send_and_tell(context, tokens, name):
    context.parts = (PromptPart("shared", tokens - 1000), PromptPart("own", 1000))
    config = ConfigView()
    catalogue = make_catalogue()
    config.apply_catalogue(replace(catalogue, services={"engines": context.service}))
    budget = Budget(10, 10, 10.0)
    sender = Dispatcher(config, context.placements[0], Rollouts(), SizePolicy(), 0.8, budget)
    sender.on_prompt_sent = lambda _, prefix: setattr(context, "prefix", prefix)
    endpoint = context.placements[0].find(name)
    estimate = EndpointEstimate(endpoint, 0.8, 0.8, tokens)
    sender.record_sent(make_work(context.parts), SendDecision(estimate, "small", 2), 100.0)
    context.placements[1].apply_load_notice(name, 0.8, 100.0, context.prefix)


def count_unread(context, name, size, now):
    placement = context.placements[1]
    work = make_work((context.parts[0], PromptPart("other", 1000)), 1)
    estimates = placement._estimate_engines(
        placement.endpoints(), None, work, context.service, size, now
    )
    return {each.endpoint.record.instance_id: each.uncached_tokens for each in estimates}[name]


@then(
    "the other host expects only {tokens:d} tokens to be read at "
    '"{name}", of the same model only'
)
def step_expects_read(context, tokens, name):
    assert count_unread(context, name, "small", 101.0) == tokens
    assert count_unread(context, name, "large", 101.0) > tokens
    assert count_unread(context, "engine-3", "small", 101.0) > tokens


@then("it expects all {tokens:d} tokens to be read there {seconds:f} s later")
def step_expects_dropped(context, tokens, seconds):
    assert count_unread(context, "engine-7", "small", 100.0 + seconds) == tokens


@then("the notice names no prompt, and the other host expects all tokens to be read")
def step_no_prefix(context):
    assert context.prefix == 0
    assert count_unread(context, "engine-7", "small", 101.0) == 20_000
