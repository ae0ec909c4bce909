import asyncio

from behave import given, then, when

from standins.listing_zone import ListingZone
from standins.rollout_fleet import virtual_clock
from standins.virtual_time import VirtualTimeLoop

SEED = 4907
BOUND_S = 3.0
START_S = 4.0
STEPS = 6
STEP_S = 1.2
# Time until what the crashes and replacements cause is over.
SETTLE_S = 12.0
QUIET_S = 8.0
READ_WINDOW_S = 3.0


def run(context, coroutine):
    """Run a coroutine in the scenario's virtual time, which continues from step to step."""
    return context.loop.run_until_complete(coroutine)


@given(
    "a zone of {hosts:d} hosts before {endpoints:d} endpoints, with links of {link:d} KB a second"
)
def step_zone(context, hosts, endpoints, link):
    clock = virtual_clock()
    clock.__enter__()
    context.add_cleanup(clock.__exit__, None, None, None)
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)

    async def start():
        context.zone = ListingZone(SEED, hosts, endpoints, BOUND_S, 1000.0 * link)
        context.zone.start()
        await asyncio.sleep(START_S)
        context.zone.occupy(requests=5)
        await asyncio.sleep(START_S)

    run(context, start())


@when("its reader is cut off from the store for {seconds:f} s")
def step_cut(context, seconds):
    def count_reads():
        context.reads = {address: store.reads for address, store in context.zone.stores.items()}

    async def cut():
        zone = context.zone
        readers = context.readers = zone.readers()
        zone.cut_from_store(readers, True)
        asyncio.get_running_loop().call_later(seconds - STEP_S - READ_WINDOW_S, count_reads)
        # The replacements begin, and the crashes fall, while the reader is back or comes back.
        await asyncio.sleep(seconds - STEP_S)
        asyncio.get_running_loop().call_later(STEP_S, context.zone.cut_from_store, readers, False)

    run(context, cut())


@when("{count:d} endpoints are replaced each 1.2 s, six times, while {crashed:d} others crash")
def step_replace(context, count, crashed):
    async def replace():
        replacing = asyncio.ensure_future(context.zone.replace(count, STEPS, STEP_S))
        await asyncio.sleep(STEP_S)
        await context.zone.crash(crashed)
        await replacing
        await asyncio.sleep(SETTLE_S)

    run(context, replace())


@then("every host that reaches the store drops each endpoint within {seconds:f} s")
def step_dropped(context, seconds):
    zone = context.zone
    late = [delay for delay in zone.delays if delay > seconds]
    assert not zone.pending and not late, (len(late), len(zone.pending), zone.longest_delay_s())
    assert zone.delays


@then("a host sends at most {kilobytes:f} KB a second on average")
def step_quiet(context, kilobytes):
    before = sum(context.zone.network.sent.values())
    run(context, asyncio.sleep(QUIET_S))
    sent = sum(context.zone.network.sent.values()) - before
    rate = sent / 1000.0 / QUIET_S / len(context.zone.hosts)
    assert rate <= kilobytes, rate


@then("in the last {seconds:f} s of these only one host has read the store")
def step_one_read(context, seconds):
    assert seconds == READ_WINDOW_S
    stores = context.zone.stores
    read = [address for address, before in context.reads.items() if stores[address].reads > before]
    assert len(read) == 1, read


@when("the reader has reached the store again for {seconds:f} s")
def step_back(context, seconds):
    run(context, asyncio.sleep(STEP_S + seconds))


@then("it is the zone's reader")
def step_is_reader(context):
    async def readers():
        return context.zone.readers()

    assert run(context, readers()) == context.readers
