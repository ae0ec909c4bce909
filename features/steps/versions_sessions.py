import asyncio

from behave import given, then, when

from poplarrun.contracts import AccountLimitSettings, ClientAccount, VersionId, hash_key
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.versions import (
    SessionRegistry,
    choose_session_replicas,
    sign_session_token,
    verify_session_token,
)
from standins.histories import run_virtual

SHOP = ClientAccount(
    "shop", (hash_key("a"), hash_key("b")), ("*",), ("*",), (), AccountLimitSettings()
)
OTHER = ClientAccount("other", (hash_key("c"),), ("*",), ("*",), (), AccountLimitSettings())


def version(text):
    return VersionId.parse(text)


def live_peers(context):
    return [p for p in context.peers.values() if p.me.name not in context.network.down]


def replicas_of(context, session):
    return choose_session_replicas(SHOP.name, session, live_peers(context)[0].live())


@given("6 hosts in 3 zones that store session versions")
def step_hosts(context):
    context.network = MemoryPeerNetwork(delay_s=0.001)
    context.peers = {
        f"h{n}": MemoryPeers(context.network, Peer(f"h{n}", "abc"[n % 3], "r", 1)) for n in range(6)
    }
    context.registries = {name: SessionRegistry(peers) for name, peers in context.peers.items()}


@when('hosts "{one}" and "{two}" race to open session "{session}", for "{first}" and "{second}"')
def step_race(context, one, two, session, first, second):
    async def race():
        return await asyncio.gather(
            context.registries[one].open(SHOP.name, session, version(first)),
            context.registries[two].open(SHOP.name, session, version(second)),
        )

    context.opened_versions = asyncio.run(race())


@then("both got the same version")
def step_same(context):
    assert context.opened_versions[0] == context.opened_versions[1], context.opened_versions


@then('every host finds that version for session "{session}"')
def step_finds_that(context, session):
    check_found(context, session, context.opened_versions[0])


@then('every host finds "{expected}" for session "{session}"')
def step_finds(context, expected, session):
    check_found(context, session, version(expected))


def check_found(context, session, expected):
    for peers in live_peers(context):
        registry = context.registries[peers.me.name]
        assert asyncio.run(registry.find(SHOP.name, session)) == expected, peers.me


@when('host "{host}" alone opens session "{session}" for "{proposal}"')
def step_open(context, host, session, proposal):
    opened = asyncio.run(context.registries[host].open(SHOP.name, session, version(proposal)))
    context.token = sign_session_token(SHOP, session, opened)


@when('all replicas of session "{session}" but the last die')
def step_replicas_die(context, session):
    *first, context.last_replica = replicas_of(context, session)
    context.network.down |= set(first)


@when("the last remaining replica dies too")
def step_last_dies(context):
    context.network.down.add(context.last_replica)


@when('the sessions of zone "{zone}" are partitioned')
def step_partition(context, zone):
    inside = [name for name, peers in context.peers.items() if peers.me.zone == zone]
    context.network.cut(inside, context.peers.keys() - set(inside))


@then('the token that host "h0" issued names "{expected}" for session "{session}" at any host')
def step_token(context, expected, session):
    assert verify_session_token(SHOP, context.token) == (session, version(expected))


@then("the token with one byte changed is refused")
def step_forged(context):
    changed = context.token[:-6] + ("A" if context.token[-6] != "A" else "B") + context.token[-5:]
    assert verify_session_token(SHOP, changed) is None


@then("the token is refused for another client account")
def step_other(context):
    assert verify_session_token(OTHER, context.token) is None


@when('replica {number:d} of session "{session}" is paused')
def step_pause(context, number, session):
    context.network.paused.add(replicas_of(context, session)[number - 1])


@then('the other hosts find "{expected}" for session "{session}" within {bound:g} virtual seconds')
def step_finds_soon(context, expected, session, bound):
    async def find(name):
        started_at = asyncio.get_running_loop().time()
        found = await context.registries[name].find(SHOP.name, session)
        return found, asyncio.get_running_loop().time() - started_at

    for name in context.registries.keys() - context.network.paused:
        found, took_s = run_virtual(find(name))
        assert (found, took_s <= bound) == (version(expected), True), (name, found, took_s)
