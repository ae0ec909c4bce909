import statistics

from behave import given, then, when

from poplarrun.contracts import AccountLimitSettings, ClientAccount, VersionId
from poplarrun.log import Entry
from poplarrun.versions import (
    CellKey,
    Granted,
    RolloutTable,
    Settled,
    Snapshot,
    Standing,
    encode_rollout,
    fold_rollout,
)
from standins.version_world import RatingTraits, Traits, VersionWorld

CLASS = "digest"
GOOD, BAD = Traits(0.9), Traits(0.45)
PRICES = {"old:1": 1.0, "new:1": 1.1, "third:1": 1.2}
CLASS_LINE = (
    "classes: {digest: {importance: 5, targets: "
    "{quality: 0.75, first_token_ms: 1000, between_tokens_ms: 50, whole_s: 60}}}"
)
VERSION_LINE = (
    '  {model}: {{versions: {{"{version}": {{stage: offered, '
    "price: {{input_per_mtok: 0.2, output_per_mtok: {price}}}}}}}}}"
)


def account(*patterns):
    return ClientAccount("shop", (), ("*",), patterns, (), AccountLimitSettings())


def offer(context, *names):
    lines = [CLASS_LINE, "models:"]
    for name in names:
        model, _, version = name.partition(":")
        lines.append(VERSION_LINE.format(model=model, version=version, price=PRICES[name]))
    context.world.publish("\n".join(lines))
    context.world.advance(2.0)


def set_traits(context, name, traits):
    context.world.traits[(CLASS, VersionId.parse(name))] = traits


def send(context, count, *patterns, until=None):
    context.world.run(count, [CLASS], account(*(patterns or ("*",))), until)


def is_excluded(context, name):
    version = VersionId.parse(name)
    return all(
        host.configuration.is_withdrawn(version)
        or host.versions.rollouts.find(CellKey(CLASS, version)).rejected
        for host in context.world.hosts.values()
    )


def count_requests(context, name, last=None):
    served = context.world.served[-last:] if last else context.world.served
    return sum(s.version == VersionId.parse(name) for s in served)


def start_world(context, seed):
    context.world = VersionWorld({}, seed=seed, ratings=RatingTraits(delay_s=5.0))
    for name in PRICES:
        set_traits(context, name, GOOD)
    offer(context, "old:1")
    send(context, 200)


@when("a version of quality {quality:g} is offered in worlds with the seeds {low:d} to {high:d}")
def step_offer_in_worlds(context, quality, low, high):
    context.ends = []
    for seed in range(low, high + 1):
        start_world(context, seed)
        set_traits(context, "new:1", Traits(quality))
        offer(context, "old:1", "new:1")
        context.offered_at = context.world.now
        send(context, 8000, until=lambda: is_ended_or_late(context))
        context.ends.append((seed, is_excluded(context, "new:1"), count_requests(context, "new:1")))


def is_ended_or_late(context):
    return context.world.now > context.offered_at + 300.0 or is_excluded(context, "new:1")


@then(
    "it is withdrawn or rejected in each world after 300 simulated seconds"
    " and at most {count:d} requests"
)
def step_excluded_in_worlds(context, count):
    assert all(excluded and 0 < ran <= count for _, excluded, ran in context.ends), context.ends


@given("ratings with a bias of {bias:g}, which the hosts are configured with")
def step_biased(context, bias):
    ratings = RatingTraits(delay_s=5.0, bias=bias, configured_bias=bias)
    context.world = VersionWorld({}, seed=3, ratings=ratings)


@given("a cheap version of quality {quality:g} beside one of {other:g}")
def step_cheap(context, quality, other):
    set_traits(context, "old:1", Traits(quality))
    set_traits(context, "third:1", Traits(other))
    offer(context, "old:1", "third:1")


@then("the last {count:d} simulated answers have a mean quality of at least {min_quality:g}")
def step_quality(context, count, min_quality):
    mean = statistics.fmean(s.quality for s in context.world.served[-count:])
    assert mean >= min_quality, mean


@then("{most} of them come from the cheap version")
def step_cheap_fraction(context, most):
    fraction = count_requests(context, "old:1", last=1000) / 1000
    assert fraction > 0.9 if most == "most" else fraction < 0.9, fraction


@when('half of the answers of "{name}" are late')
def step_late(context, name):
    set_traits(context, name, Traits(0.9, late=0.5))
    send(context, 200)


@when('version "{name}" is offered, of whose answers {late_percent:d} in 100 are late')
def step_offer_late(context, name, late_percent):
    set_traits(context, name, Traits(0.9, late=late_percent / 100))
    offer(context, "old:1", name)


@when('only "{name}" of them is cheap and gives late answers for {seconds:d} seconds')
def step_cheap_and_late(context, name, seconds):
    lines = [CLASS_LINE, "models:"]
    for offered, price in (("old:1", 1.0), (name, 0.4)):
        model, _, version = offered.partition(":")
        lines.append(VERSION_LINE.format(model=model, version=version, price=price))
    context.world.publish("\n".join(lines))
    context.world.advance(2.0)
    context.late_from = len(context.world.served)
    context.world.requests_per_s = 4.0
    set_traits(context, name, Traits(0.9, late=1.0))
    send(context, int(seconds * 4))
    context.late = sum(
        s.version == VersionId.parse(name) for s in context.world.served[context.late_from :]
    )
    set_traits(context, name, GOOD)
    send(context, int((2400 - seconds) * 4))


@then('"{name}" {ends} after 2400 simulated seconds, with at most {most:d} late answers')
def step_ends(context, name, ends, most):
    assert 0 < context.late <= most, context.late
    (
        step_is_excluded(context, name)
        if ends.startswith("is withdrawn")
        else step_is_not_excluded(context, name)
    )


@then('"{name}" is neither withdrawn nor rejected at any simulated host')
def step_is_not_excluded(context, name):
    assert not is_excluded(context, name)


@given('a simulated world of 6 hosts in 3 zones with "old:1" in service for "digest"')
def step_world(context):
    start_world(context, 11)


@when('the {kind} version "{name}" is offered')
def step_offer(context, kind, name):
    set_traits(context, name, GOOD if kind == "good" else BAD)
    offer(context, "old:1", name)


@when('the bad version "{bad}" and the good version "{good}" are offered at once')
def step_offer_two(context, bad, good):
    set_traits(context, bad, BAD)
    offer(context, "old:1", bad, good)


@when("the operator offers only {name}")
def step_only(context, name):
    offer(context, name.strip('"'))


@when('"{name}" is fixed and offered beside it')
def step_fixed(context, name):
    set_traits(context, name, GOOD)
    offer(context, "old:1", name)


@when('simulated zone "{zone}" is partitioned after {count:d} requests')
def step_partition(context, zone, count):
    send(context, count)
    context.world.cut_zone(zone)


@when("the simulated partition ends")
def step_end_partition(context):
    context.world.heal()
    context.world.advance(3.0)


@when("every simulated host restarts after {count:d} requests")
def step_restart(context, count):
    send(context, count)
    for name, host in list(context.world.hosts.items()):
        zone = host.peers.me.zone
        context.world.kill_host(name)
        context.world.add_host(name, zone, 2)
    context.world.advance(2.0)


@when('simulated host "{new}" starts and asks host "{old}" for its evidence')
def step_copy_evidence(context, new, old):
    host = context.world.add_host(new, "a", 1)
    context.world.advance(2.0)
    host.versions.estimates.apply_aged_evidence(
        context.world.hosts[old].versions.estimates.encode_aged_evidence()
    )
    context.world.advance(2.0)


@then('simulated host "{host}" knows "{name}" to be good for "{work_class}"')
def step_knows(context, host, name, work_class):
    key = CellKey(work_class, VersionId.parse(name))
    estimate = context.world.hosts[host].versions.estimates.find(key)
    assert estimate.standing is Standing.GOOD, estimate


@when("{count:d} simulated requests are sent")
def step_send(context, count):
    send(context, count)


@when('{count:d} simulated requests are sent for an account that may use only "{pattern}"')
def step_send_limited(context, count, pattern):
    send(context, count, pattern)


@when('simulated requests are sent until "{name}" is withdrawn or rejected')
def step_send_until(context, name):
    send(context, 4000, until=lambda: is_excluded(context, name))
    assert is_excluded(context, name)


@then('at most {count:d} simulated requests ran on "{name}"')
def step_at_most(context, count, name):
    assert count_requests(context, name) <= count, count_requests(context, name)


@then('none of the last {count:d} simulated requests ran on "{name}"')
def step_none(context, count, name):
    assert count_requests(context, name, last=count) == 0


@then("no simulated request was refused")
def step_no_refusal(context):
    assert all(s.version is not None for s in context.world.served)


@then('"{name}" is withdrawn or rejected at all simulated hosts')
def step_is_excluded(context, name):
    assert is_excluded(context, name)


@then('"{name}" serves "{work_class}" at all simulated hosts')
def step_serves(context, name, work_class):
    key = CellKey(work_class, VersionId.parse(name))
    states = [h.versions.rollouts.find(key) for h in context.world.hosts.values()]
    assert all(state.serves for state in states), states[0]


def rollout_record(kind, offset, state):
    record_id = f"r-{offset}"
    match kind:
        case "grant":
            number = state.find(CellKey(CLASS, VersionId.parse("new:1"))).grants
            return Granted(record_id, CLASS, "new:1", number, 0, {"h0/1": 4, "h1/1": 4})
        case "reject":
            return Settled(record_id, CLASS, "new:1", False, "quality 0.2")
        case "snapshot":
            return state.snapshot(record_id)
        case "overtaken":
            return Snapshot(record_id, state.read_to - 1, [])
    raise ValueError(kind)


@given('roll-out records "{kinds}"')
def step_records(context, kinds):
    context.state, context.entries = RolloutTable(), []
    for offset, kind in enumerate(kinds.split(", ")):
        entry = Entry(offset, encode_rollout(rollout_record(kind, offset, context.state)))
        context.entries.append(entry)
        context.state = fold_rollout(context.state, entry)


@when("one host folds them all and another from record {first:d} on")
def step_fold_late(context, first):
    context.late = RolloutTable().skip_to(first)
    for entry in context.entries[first:]:
        context.late = fold_rollout(context.late, entry)


@then("the second knows the roll-outs: {known}")
def step_known(context, known):
    assert context.late.is_complete == (known == "yes"), context.late


@then("if it does they hold the same roll-outs")
def step_same_rollouts(context):
    assert not context.late.is_complete or context.late.states == context.state.states
