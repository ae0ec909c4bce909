import asyncio
from collections import Counter

from behave import given, then, use_step_matcher, when

from features.steps.hold_off_fleets import start
from poplarrun.crashes import MAX_ENDS_PER_REQUEST, MAX_QUARANTINES, MAX_SUSPECTS
from standins.crashing_fleet import CrashingFleet

use_step_matcher("parse")

SEED = 4610
BAD = "bad"
SETTLE_S = 2.0
BEFORE_S = 4.0
# The operators' bounds.
MAX_LATE_SENDS = 3
COUNTED_CRASHES = 5
STABLE_WINDOW_S = 3.0
HALF = 0.5
# Of sound requests, while engines crash for a reason of their own.
MAX_OTHERS_FRACTION = 0.01
MIN_COUNTED = 20


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def sleep_until_done(tasks):
    await asyncio.gather(*tasks)


@given("{hosts:d} hosts before {engines:d} engines, and {sound:f} sound requests a second")
def step_fleet(context, hosts, engines, sound):
    start(context, lambda: CrashingFleet(SEED, hosts, engines))
    context.sound = sound
    context.bad_s = 0.0

    async def begin():
        context.fleet.start_peering()
        await asyncio.sleep(SETTLE_S)
        await context.fleet.run_sound(sound, BEFORE_S)

    run(context, begin())
    context.disturbed_at = context.fleet_now = SETTLE_S + BEFORE_S


async def disturb(context, seconds, *others):
    fleet = context.fleet
    await asyncio.gather(fleet.run_sound(context.sound, seconds), *others)


@when(
    "{rate:f} requests a second with a part that crashes engines come at any host "
    "for {seconds:d} s"
)
def step_bad(context, rate, seconds):
    context.bad_rate, context.bad_s = rate, float(seconds)
    context.is_run = False


@when("no engine crashes otherwise")
def step_no_others(context):
    run_bad(context)


@when("{rate:f} engines a second crash")
def step_plain(context, rate):
    if context.bad_s:
        run_bad(context, rate)
    else:
        run(context, disturb(context, 10.0, context.fleet.run_plain_crashes(rate, 10.0)))


def run_bad(context, plain_rate=0.0):
    fleet = context.fleet

    async def play():
        others = [fleet.run_bad(context.bad_rate, context.bad_s, [BAD])]
        if plain_rate:
            others.append(fleet.run_plain_crashes(plain_rate, context.bad_s))
        await disturb(context, context.bad_s, *others)

    run(context, play())
    context.bad_s = 0.0


@then(
    "at most {most:d} requests with the part reached an engine later than {seconds:d} s after the "
    "fifth crash"
)
def step_late(context, most, seconds):
    crashes = context.fleet.crashes.get(BAD, [])
    assert crashes, "no engine crashed"
    if len(crashes) < COUNTED_CRASHES:
        return
    since = crashes[COUNTED_CRASHES - 1] + seconds
    late = [each for each in context.fleet.arrivals if each.at > since]
    assert len(late) <= most, (len(late), late[:20])


@then(
    "sound requests with each first part begin at least half as often as before, "
    "from {seconds:d} s after it"
)
def step_sound(context, seconds):
    crashes = context.fleet.crashes[BAD]
    since = crashes[min(COUNTED_CRASHES, len(crashes)) - 1] + seconds
    before, after = Counter(), Counter()
    begun_before, begun_after = Counter(), Counter()
    for result in context.fleet.results:
        if result.at < context.disturbed_at:
            before[result.first_part] += 1
            begun_before[result.first_part] += result.has_begun
        elif result.at >= since:
            after[result.first_part] += 1
            begun_after[result.first_part] += result.has_begun
    assert sum(after.values()) >= MIN_COUNTED, after
    for part in before:
        usual = begun_before[part] / before[part]
        assert begun_after[part] >= HALF * usual * after[part], (part, begun_after, after)


def refused_by(host, now):
    return {
        part
        for each in host.dispatch.crash_guard.watch.quarantines.active(now)
        for part in each.parts
    }


@then("no host refuses anything else")
def step_nothing_else(context):
    now = context.loop.time()
    refused = {part for host in context.fleet.hosts for part in refused_by(host, now)}
    assert refused <= {BAD}, refused


@when(
    "{count:d} requests that end engines are repeated each {delay_s:g} s at any host "
    "for {seconds:d} s, and {plain:f} engines a second crash"
)
def step_repeated(context, count, delay_s, seconds, plain):
    fleet = context.fleet
    context.own_parts = [f"own-bad-{number}" for number in range(count)]
    others = [fleet.run_repeated(context.own_parts, delay_s, float(seconds))]
    if plain:
        others.append(fleet.run_plain_crashes(plain, float(seconds)))
    run(context, disturb(context, float(seconds), *others))


@then("none of them reached an engine later than {seconds:g} s after the third end under it")
def step_repeats_late(context, seconds):
    fleet = context.fleet
    for own in context.own_parts:
        ends = fleet.crashes[own]
        # Engines that crash for a reason of their own end under it as well.
        third = ends[:MAX_ENDS_PER_REQUEST][-1]
        late = [each.at - third for each in fleet.arrivals if each.part == own]
        late = [each for each in late if each > seconds]
        print(own, len(ends), "ends,", len(late), "late")
        assert not late, (own, late)


@then("all hosts refuse these requests, and few others, under which three engines ended too")
def step_only_repeats(context):
    fleet, now = context.fleet, context.loop.time()
    refused = [
        {each.fingerprint for each in host.dispatch.crash_guard.watch.requests.refused(now)}
        for host in fleet.hosts
    ]
    assert all(each == refused[0] for each in refused), [len(each) for each in refused]
    ends = [len(fleet.ends_under.get(each, ())) for each in refused[0]]
    assert all(each >= MAX_ENDS_PER_REQUEST for each in ends), ends
    others = len(refused[0]) - len(context.own_parts)
    print(others, "others of", len(fleet.results))
    assert 0 <= others <= MAX_OTHERS_FRACTION * len(fleet.results), others


@when("host 0 starts again with nothing of what it knew, and {seconds:g} s go by")
def step_start_again(context, seconds):
    async def restart():
        context.fleet.restart(context.fleet.hosts[0])
        await asyncio.sleep(seconds)

    run(context, restart())


@when("the links between the hosts are mended, and {seconds:g} s go by")
def step_mend(context, seconds):
    context.fleet.heal()
    run(context, asyncio.sleep(seconds))


@then("all hosts refuse the part, and nothing else")
def step_all_refuse(context):
    now = context.loop.time()
    for host in context.fleet.hosts:
        assert refused_by(host, now) == {BAD}, (host.address, refused_by(host, now))


@when("a third of the engines crash at once")
def step_third(context):
    async def crash():
        context.fleet.crash_engines(context.fleet.engines[::3])

    run(context, crash())


@then("no host refuses anything")
def step_nothing(context):
    now = context.loop.time()
    assert not any(refused_by(host, now) for host in context.fleet.hosts)
    assert not context.fleet.refused, context.fleet.refused[:5]


@when("a host starts again with nothing of what it knew")
def step_restart(context):
    run_bad(context)

    async def restart():
        context.fleet.restart(context.fleet.hosts[0])

    run(context, restart())


@then("it refuses the part as soon as it has heard another host")
def step_start_refuses(context):
    host = context.fleet.hosts[-1]

    async def wait():
        while not host.peering.peer_table.has_heard:
            await asyncio.sleep(0.01)

    run(context, wait())
    assert refused_by(host, context.loop.time()) == {BAD}


@when("host 0 is cut off from the other hosts")
def step_cut(context):
    addresses = [host.address for host in context.fleet.hosts]
    context.fleet.cut_hosts(addresses[:1], addresses[1:])


@when("the links between the hosts are back for {seconds:d} s")
def step_heal(context, seconds):
    run_bad(context)
    context.fleet.heal()
    run(context, asyncio.sleep(seconds))


@when(
    "{rate:f} requests a second come for {seconds:d} s, each with 20 new parts and one of "
    "{count:d} that crash engines"
)
def step_new_parts(context, rate, seconds, count):
    bad = [f"bad-{number}" for number in range(count)]
    run(context, disturb(context, seconds, context.fleet.run_new_parts(rate, seconds, bad)))


@then("all parts that are refused crash engines")
def step_refused_bad(context):
    now = context.loop.time()
    refused = {part for host in context.fleet.hosts for part in refused_by(host, now)}
    assert refused, "nothing is refused"
    assert refused <= context.fleet.bad_parts, refused


@then(
    "no crash has more than {suspects:d} suspects, and no more than {groups:d} groups are refused"
)
def step_bounded(context, suspects, groups):
    assert (suspects, groups) == (MAX_SUSPECTS, MAX_QUARANTINES)
    now = context.loop.time()
    for host in context.fleet.hosts:
        watch = host.dispatch.crash_guard.watch
        for _, crash in watch.evidence.changed_since(0.0):
            assert len(crash.parts) <= suspects, len(crash.parts)
        assert len(watch.quarantines.active(now)) <= groups
