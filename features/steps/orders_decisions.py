import asyncio

import msgspec
from behave import given, then, when

from poplarrun.clients import MemoryEngine, ModelsOrder
from poplarrun.contracts import VersionId
from poplarrun.leases import Lease
from poplarrun.orders import OpenRequest, SendOrder
from standins.order_world import OrderWorld
from standins.virtual_time import VirtualTimeLoop

JOB = "orders/a"


def run_for(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def wait(context, condition, what, timeout_s):
    for _ in range(int(timeout_s * 10)):
        if condition():
            return
        run_for(context, 0.1)
    assert condition(), what


def in_zone(context, zone):
    return {n: e for n, e in context.world.engines.items() if n[0] == zone}


def loaded_by_engine(context):
    return {name: set(engine.loaded) for name, engine in context.world.engines.items()}


def drain_revisions(context):
    return [
        holder.tasks.controller.summarize().revision for holder in context.world.lease_holders("a")
    ]


def loads_by_engine(context):
    return {name: list(engine.started_loads) for name, engine in context.world.engines.items()}


@given(
    "{zones:d} zones of {hosts:d} hosts and {count:d} engines with room for {room:d}, "
    '"{versions}" offered'
)
def step_world(context, zones, hosts, count, room, versions):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    letters = "abcdefg"[:zones]
    engines = {f"{z}-engine-{n}": MemoryEngine(room, set(), load_s=2.0)
               for z in letters for n in range(count)}  # fmt: skip

    async def start():
        context.world = OrderWorld(context.loop, letters, hosts, engines)
        context.world.offer(versions.split())

    context.loop.run_until_complete(start())
    context.offered = versions.split()


@given('the engines of zone "{zone}" already hold "{first}" and "{second}"')
def step_already(context, zone, first, second):
    engines = in_zone(context, zone).values()
    for engine, versions in zip(engines, (first, second), strict=True):
        engine.loaded = set(versions.split())


@given('the last engine already holds "{version}"')
def step_last_holds(context, version):
    list(context.world.engines.values())[-1].loaded = {version}


@then("the store gave out no weights")
def step_nothing_handed(context):
    assert context.world.lease_holders("a")
    assert not context.world.store.fetched


@given("the engines ignore fencing numbers")
def step_ignore(context):
    for engine in context.world.engines.values():
        engine.checks_fencing = False


@given("the versions are loaded")
def step_loaded(context):
    for zone in "ab":
        wait(
            context,
            lambda z=zone: set(context.offered) <= context.world.loaded_versions(z),
            "loaded",
            150,
        )
    run_for(context, 5)
    (context.holder,) = context.world.lease_holders("a")
    context.fence = context.holder.leases.find(JOB).fence


@given('"{versions}" are loaded')
def step_these_loaded(context, versions):
    context.offered = versions.split()
    context.world.offer(context.offered)
    step_loaded(context)


@given("loads take {seconds:d} s in memory")
def step_load_time(context, seconds):
    for engine in context.world.engines.values():
        engine.load_s = seconds


def send(context, holder, engine):
    action = SendOrder(engine, context.outdated_order)
    context.loop.create_task(holder.tasks._send(holder.table.find(engine), action))


@when("the holder decides on an order, is paused until another host takes over, and goes on")
def step_paused_before(context):
    context.holder.paused = True
    context.world.network.down.add(context.holder.name)
    wait(context, lambda: context.world.lease_holders("a"), "another holder", 60)
    context.outdated_order = ModelsOrder(context.fence, ["stale:1"])
    send(context, context.holder, next(iter(in_zone(context, "a"))))
    run_for(context, 1)


@then("it does not send the order")
def step_kept_back(context):
    assert context.holder.sum_counters("order_kept_back") == 1
    orders = [order for e in context.world.engines.values() for order in e.accepted_orders]
    assert context.outdated_order not in orders


@when("the holder's order for {what} is stuck while another host takes over")
def step_stuck(context, what):
    holder, world = context.holder, context.world
    holder.orders_blocked = True
    name, context.outdated_engine = next(iter(in_zone(context, "a").items()))
    context.wanted_before = set(context.outdated_engine.wanted)
    kept = context.wanted_before if what == "one version more" else set()
    context.outdated_order = ModelsOrder(context.fence, sorted({*kept, "stale:1"}))

    send(context, holder, name)
    run_for(context, 0.1)
    holder.paused = True
    # A paused process answers no messages, so the others consider it dead.
    world.network.down.add(holder.name)
    wait(context, lambda: world.lease_holders("a"), "another holder", 60)
    run_for(context, 5)


@when("the stuck order is delivered")
def step_through(context):
    context.holder.orders_blocked = False
    run_for(context, 0.1)


@then("what the outdated order began to load is dropped")
def step_late_dropped(context):
    assert "stale:1" not in context.outdated_engine.wanted


@when("the version of the outdated order is loaded")
def step_late_loaded(context):
    engine = context.outdated_engine
    wait(context, lambda: engine.report(context.loop.time()).loaded == ["stale:1"], "loaded", 5)


@then("the engine refused it, which its sender counted")
def step_refused(context):
    assert context.outdated_order not in context.outdated_engine.accepted_orders
    assert context.holder.sum_counters("order_refused_fence") == 1


@then("an engine follows the outdated order")
def step_follows_outdated(context):
    assert context.outdated_engine.wanted == context.outdated_order.versions


@then("within {seconds:d} s the engines follow the new holder")
def step_follow_new(context, seconds):
    (holder,) = context.world.lease_holders("a")
    fence = holder.leases.find(JOB).fence
    assert fence > context.fence

    def follow():
        engines = in_zone(context, "a").values()
        back = context.wanted_before <= set(context.outdated_engine.wanted)
        return back and all(e.fence == fence for e in engines)

    wait(context, follow, "the engines follow the new holder", seconds)
    run_for(context, 30)
    step_holds(context, "a", " ".join(context.offered))


@when('a second host of zone "{zone}" goes on with an old lease for {seconds:d} s')
def step_second(context, zone, seconds):
    hosts = [h for h in context.world.hosts.values() if h.zone == zone]
    second = next(host for host in hosts if host is not context.holder)
    old = Lease(JOB, context.fence - 1, float("inf"))
    second.leases.find = lambda job: old
    context.before = loads_by_engine(context)
    run_for(context, seconds)


@when('the holder of zone "{zone}" dies while a load is under way')
def step_holder_dies(context, zone):
    def under_way():
        return any(e.loading for e in in_zone(context, zone).values())

    wait(context, under_way, "a load", 60)
    (holder,) = context.world.lease_holders(zone)
    context.world.kill(holder.name)


@given("the store refuses requests")
def step_store_refuses(context):
    context.world.store.refusal = "status_429"


@when("the store accepts requests again")
def step_store_again(context):
    context.world.store.refusal = ""


@given("each request to the store takes {seconds:d} s")
def step_store_slow(context, seconds):
    context.world.fetch_s = seconds


@then("the store was asked at most {count:d} times")
def step_asked(context, count):
    asked = sum(h.sum_counters("weights_status_429") for h in context.world.hosts.values())
    assert 0 < asked <= count, asked


@then("no version was fetched twice for an engine")
def step_fetched_once(context):
    fetched = context.world.store.fetched
    assert len(fetched) == len(set(fetched)), fetched


@when('"{version}" is offered too')
def step_offer_more(context, version):
    context.offered = [*context.offered, version]
    context.world.offer(context.offered)


@given('only "{versions}" are offered')
def step_offer_only(context, versions):
    context.offered = versions.split()
    context.world.offer(context.offered)


@when("{seconds:d} s pass for the orders")
def step_pass(context, seconds):
    context.always = {zone: context.world.loaded_versions(zone) for zone in "ab"}
    for _ in range(seconds * 2):
        run_for(context, 0.5)
        for zone in "ab":
            context.always[zone] &= context.world.loaded_versions(zone)


@then('zone "{zone}" holds "{versions}"')
def step_holds(context, zone, versions):
    assert set(versions.split()) <= context.world.loaded_versions(
        zone
    ), context.world.loaded_versions(zone)


@then('zone "{zone}" held "{versions}" all the time')
def step_held_always(context, zone, versions):
    assert set(versions.split()) <= context.always[zone], context.always


@then("no engine in memory started a load twice")
def step_no_doubles(context):
    for name, loaded in loads_by_engine(context).items():
        assert len(loaded) == len(set(loaded)), (name, loaded)


@then('callers are told when "{version}" is expected to be loaded')
def step_told(context, version):
    host = context.world.hosts["a1"]
    assert host.context.expected_load_s[VersionId.parse(version)] > 0


def open_request(version, in_session=False, engine=""):
    return OpenRequest(VersionId.parse(version), 1, in_session, engine)


@given('a session at host "{host}" is pinned to "{versions}"')
@given('sessions at host "{host}" are pinned to "{versions}"')
def step_session(context, host, versions):
    context.world.hosts[host].open_requests = [open_request(v, True) for v in versions.split()]
    run_for(context, 3)


@when('{count:d} requests for "{version}" are open at host "{host}"')
def step_open(context, count, version, host):
    context.world.hosts[host].open_requests = [open_request(version)] * count


@when('{count:d} requests of sessions for "{version}" are open at host "{host}"')
def step_open_sessions(context, count, version, host):
    context.world.hosts[host].open_requests = [open_request(version, True)] * count


@when('host "{host}" has {many:d} requests open for "{one}" and {few:d} for "{other}"')
def step_open_both(context, many, one, few, other, host):
    work = [open_request(one)] * many + [open_request(other)] * few
    context.world.hosts[host].open_requests = work


def engines_with(context, zone, version):
    return [n for n, e in in_zone(context, zone).items() if version in e.loaded]


@given('a stream of "{version}" is open at host "{host}"')
def step_stream(context, version, host):
    (engine,) = engines_with(context, "a", version)
    context.streaming = context.world.hosts[host]
    context.streaming.open_requests = [open_request(version, engine=engine)]


@when('the stream of "{version}" ends')
def step_stream_ends(context, version):
    context.streaming.open_requests = []


@then('no host routes "{version}" to zone "{zone}"')
def step_not_routed(context, version, zone):
    now = context.loop.time()
    for host in context.world.hosts.values():
        choice = host.table.choose_engine(VersionId.parse(version), now)
        assert choice is None or choice.endpoint.zone != zone, (host.name, choice)


@given('zone "{zone}" is cut off from the others')
def step_cut(context, zone):
    names = context.world.hosts
    context.world.network.cut(
        [n for n in names if n[0] == zone], [n for n in names if n[0] != zone]
    )


@when('the engines of zone "{zone}" restart empty')
def step_restart(context, zone):
    for engine in in_zone(context, zone).values():
        engine.restart()


@when('an engine of zone "{zone}" that holds "{version}" stops answering')
def step_silent(context, zone, version):
    (context.silent,) = engines_with(context, zone, version)
    context.world.engines[context.silent].is_silent = True


@then('another engine of zone "{zone}" holds "{version}"')
def step_other_holds(context, zone, version):
    assert set(engines_with(context, zone, version)) - {context.silent}


@when("the log is down for the orders")
def step_log_out(context):
    context.world.log.is_down = True


@when("the log is up for the orders")
def step_log_back(context):
    context.world.log.is_down = False


@then("no order was sent after the lease expired")
def step_no_orders(context):
    orders = [o for e in context.world.engines.values() for o in e.accepted_orders]
    assert all("yew:1" not in msgspec.to_builtins(o)["versions"] for o in orders)


@then('{count:d} engines of zone "{zone}" hold "{version}"')
def step_copies(context, count, zone, version):
    assert len(engines_with(context, zone, version)) == count


@when(
    '{many:d} and {few:d} requests for "{one}" and "{other}" alternate '
    'at host "{host}" for {seconds:d} s'
)
def step_waver(context, many, few, one, other, host, seconds):
    context.before = (loads_by_engine(context), loaded_by_engine(context), drain_revisions(context))
    for number in range(seconds // 20):
        more, less = (one, other) if number % 2 else (other, one)
        step_open_both(context, many, more, few, less, host)
        run_for(context, 20)


@then('the store gave out each version twice for zone "{zone}"')
def step_handed_twice(context, zone):
    fetched = [version for version, engine in context.world.store.fetched if engine[0] == zone]
    assert sorted(fetched) == sorted(2 * context.offered), fetched


@then('every zone has one lease holder and holds "{versions}"')
def step_each_zone(context, versions):
    for zone in {host.zone for host in context.world.hosts.values()}:
        assert len(context.world.lease_holders(zone)) == 1, zone
        step_holds(context, zone, versions)


@then("nothing was loaded or unloaded in that time")
def step_nothing_moved(context):
    assert (
        loads_by_engine(context),
        loaded_by_engine(context),
        drain_revisions(context),
    ) == context.before
