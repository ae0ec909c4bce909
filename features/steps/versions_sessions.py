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


def homes_of(context, session):
    return choose_session_replicas(SHOP.name, session, live_peers(context)[0].live())


@given("6 hosts in 3 zones that keep sessions")
def step_hosts(context):
    context.network = MemoryPeerNetwork(delay_s=0.001)
    context.peers = {
        f"h{n}": MemoryPeers(context.network, Peer(f"h{n}", "abc"[n % 3], "r", 1)) for n in range(6)
    }
    context.keepers = {name: SessionRegistry(peers) for name, peers in context.peers.items()}


@when('hosts "{one}" and "{two}" race to open session "{session}", for "{first}" and "{second}"')
def step_race(context, one, two, session, first, second):
    async def race():
        return await asyncio.gather(
            context.keepers[one].open(SHOP.name, session, version(first)),
            context.keepers[two].open(SHOP.name, session, version(second)),
        )

    context.got = asyncio.run(race())


@then("both got the same version")
def step_same(context):
    assert context.got[0] == context.got[1], context.got


@then('every host finds that version for session "{session}"')
def step_finds_that(context, session):
    check_found(context, session, context.got[0])


@then('every host finds "{expected}" for session "{session}"')
def step_finds(context, expected, session):
    check_found(context, session, version(expected))


def check_found(context, session, expected):
    for peers in live_peers(context):
        keeper = context.keepers[peers.me.name]
        assert asyncio.run(keeper.find(SHOP.name, session)) == expected, peers.me


@when('host "{host}" alone opens session "{session}" for "{proposal}"')
def step_open(context, host, session, proposal):
    opened = asyncio.run(context.keepers[host].open(SHOP.name, session, version(proposal)))
    context.token = sign_session_token(SHOP, session, opened)


@when('all homes of session "{session}" but the last die')
def step_homes_die(context, session):
    *first, context.last_home = homes_of(context, session)
    context.network.down |= set(first)


@when("the last home that was left dies too")
def step_last_dies(context):
    context.network.down.add(context.last_home)


@when('the sessions of zone "{zone}" are cut off')
def step_cut(context, zone):
    inside = [name for name, peers in context.peers.items() if peers.me.zone == zone]
    context.network.cut(inside, context.peers.keys() - set(inside))


@then('the token that host "h0" gave names "{expected}" for session "{session}" at any host')
def step_token(context, expected, session):
    assert verify_session_token(SHOP, context.token) == (session, version(expected))


@then("the token with one byte changed is refused")
def step_forged(context):
    changed = context.token[:-6] + ("A" if context.token[-6] != "A" else "B") + context.token[-5:]
    assert verify_session_token(SHOP, changed) is None


@then("the token is refused for another client account")
def step_other(context):
    assert verify_session_token(OTHER, context.token) is None


@when('home {number:d} of session "{session}" is paused')
def step_pause(context, number, session):
    context.network.paused.add(homes_of(context, session)[number - 1])


@then('the other hosts find "{expected}" for session "{session}" within {bound:g} virtual seconds')
def step_finds_soon(context, expected, session, bound):
    async def find(name):
        began = asyncio.get_running_loop().time()
        found = await context.keepers[name].find(SHOP.name, session)
        return found, asyncio.get_running_loop().time() - began

    for name in context.keepers.keys() - context.network.paused:
        found, took_s = run_virtual(find(name))
        assert (found, took_s <= bound) == (version(expected), True), (name, found, took_s)
