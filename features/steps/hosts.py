import asyncio
import random

import msgspec
from behave import given, then, when

from poplarrun.hosts import PeerSilent, SummaryTopic
from poplarrun.links import LinkFaults
from standins.virtual_fleet import VirtualFleet
from standins.virtual_time import VirtualTimeLoop

LOAD = SummaryTopic("load", lambda payloads: str(sum(map(int, payloads))).encode())


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def names(text):
    return [name.strip() for name in text.split(",")]


def events(context, host, event):
    text = context.virtual.metrics[host].render().decode()
    lines = [line for line in text.splitlines() if f'event="{event}"' in line]
    return sum(float(line.split()[-1]) for line in lines if "_total" in line)


def wait(context, condition, what, timeout_s):
    return run(context, context.virtual.wait_until(condition, what, timeout_s))


def start_fleet(context, zones, hosts, faults=None):
    context.loop = VirtualTimeLoop()
    context.add_cleanup(context.loop.shut_down)
    context.virtual = VirtualFleet(5, "abcdefg"[:zones], faults)

    async def start():
        context.virtual.start(hosts)

    run(context, start())


@given("{zones:d} zones of {hosts:d} hosts")
def step_fleet(context, zones, hosts):
    start_fleet(context, zones, hosts)


@given("{zones:d} zones of {hosts:d} hosts, links with loss {loss:f} and jitter {jitter:f} s")
def step_lossy_fleet(context, zones, hosts, loss, jitter):
    faults = LinkFaults(jitter_s=jitter, loss_probability=loss)
    start_fleet(context, zones, hosts, faults)
    context.virtual.network.zone_faults = faults


@given("all hosts have discovered each other")
@when("all hosts have discovered each other")
def step_met(context):
    wait(context, context.virtual.is_converged, "the hosts have discovered each other", 30)


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('host "{name}" dies')
@when('hosts "{name}" die')
def step_die(context, name):
    for one in names(name):
        context.virtual.kill_host(one)


@when('host "{name}" starts again')
@when('hosts "{name}" start again')
def step_start_again(context, name):
    async def start():
        for one in names(name):
            context.virtual.start_host(one)

    run(context, start())


@when('host "{name}" leaves')
def step_leave(context, name):
    run(context, context.virtual.peers.pop(name).leave())


@when('all messages from host "{name}" are lost')
def step_one_way(context, name):
    context.virtual.network.cut([name], "abc", one_way=True)


@when('zone "{zone}" is partitioned from the others')
def step_cut_zone(context, zone):
    context.virtual.network.cut(zone, [z for z in context.virtual.zones if z != zone])


@when('zones "{a}" and "{b}" are partitioned from each other')
@when('hosts "{a}" and "{b}" are partitioned from each other')
def step_cut_pair(context, a, b):
    context.virtual.network.cut(names(a), names(b))


@when("the partition heals")
def step_heal(context):
    context.virtual.network.heal()


@when('the clock of host "{name}" jumps by {seconds:d} s')
def step_jump(context, name, seconds):
    peers = context.virtual.peers[name]
    peers.gossip.tick(context.loop.time() + seconds)


@when('host "{name}" announces number {number:d}')
def step_announce(context, name, number):
    async def announce():
        context.virtual.peers[name].announce("topic", number, b"")

    run(context, announce())


@when("every host publishes its number as its load")
def step_publish(context):
    for name, peers in context.virtual.peers.items():
        peers.publish(LOAD, name[1:].encode())


@when('host "{asker}" sends an echo request to "{name}"')
def step_ask(context, asker, name):
    if name in context.virtual.peers:

        async def echo(sender, payload):
            return f"{name} heard {sender}".encode()

        context.virtual.peers[name].serve("echo", echo)
    context.answer = run(context, context.virtual.peers[asker].ask(name, "echo", b"", 1.0))


@when('{count:d} random and mutated messages reach host "{name}"')
def step_fuzz(context, count, name):
    rng = random.Random(11)
    received = []
    links = context.virtual.links[name]
    receive = links.receive
    links.receive = lambda data: (received.append(data), receive(data))
    run(context, asyncio.sleep(5))
    links.receive = receive

    async def send_all():
        for _ in range(count):
            data = bytearray(rng.choice(received))
            # The fields of the sender stay intact: forged incarnations are prevented by the
            # certificates, not by the decoder.
            for _ in range(rng.randint(1, 8)):
                data[rng.randrange(min(3, len(data)))] = rng.randrange(256)
            receive(bytes(data))
            receive(rng.randbytes(rng.randint(0, 300)))

    run(context, send_all())


@then("every host takes exactly the running hosts to be live")
def step_agree(context):
    wait(context, context.virtual.is_converged, "the hosts agree", 10)


@then("within {seconds:d} s every host takes exactly the running hosts to be live")
def step_agree_within(context, seconds):
    wait(context, context.virtual.is_converged, "the hosts agree", seconds)


@then("no host sends more than {limit:d} bytes a second of gossip")
def step_bytes(context, limit):
    before = {name: links.bytes_sent for name, links in context.virtual.links.items()}
    run(context, asyncio.sleep(20))
    for name, links in context.virtual.links.items():
        assert (links.bytes_sent - before[name]) / 20 <= limit, name


@then("at least {count:d} refutation was counted")
def step_refuted(context, count):
    total = sum(events(context, host, "membership_refuted") for host in context.virtual.metrics)
    assert total >= count


def is_live(context, host, other):
    return other in [peer.name for peer in context.virtual.peers[host].live()]


@then('host "{host}" does not take "{other}" to be live')
def step_not_live(context, host, other):
    assert not is_live(context, host, other)


@then('within {seconds:d} s host "{host}" does not take "{other}" to be live')
def step_not_live_within(context, seconds, host, other):
    wait(context, lambda: not is_live(context, host, other), "held dead", seconds)


@then('host "{host}" takes {count:d} hosts to be live')
def step_count_live(context, host, count):
    assert len(context.virtual.peers[host].live()) == count


@then('host "{host}" counted "{event}"')
def step_counted(context, host, event):
    assert events(context, host, event) > 0


def is_silent(context, host, zone):
    return next(v.silent for v in context.virtual.peers[host].zones() if v.zone == zone)


@then('within {seconds:d} s host "{host}" reports zone "{zone}" as silent')
def step_silent(context, seconds, host, zone):
    wait(context, lambda: is_silent(context, host, zone), "silent", seconds)


@then('host "{host}" does not report zone "{zone}" as silent')
def step_not_silent(context, host, zone):
    assert not is_silent(context, host, zone)


@then("within {seconds:d} s every host has received number {number:d}")
def step_received(context, seconds, number):
    peers = context.virtual.peers.values()
    wait(
        context,
        lambda: all(p.highest_announced("topic") == number for p in peers),
        "received",
        seconds,
    )


@then('within {seconds:d} s host "{host}" has host loads "{own}" and zone loads "{others}"')
def step_loads(context, seconds, host, own, others):
    def shown():
        collected = context.virtual.peers[host].collect_summaries(LOAD)
        return (text(collected.own_zone), text(collected.other_zones)) == (own, others)

    def text(payloads):
        return ", ".join(f"{key}={value.decode()}" for key, value in sorted(payloads.items()))

    wait(context, shown, "the summaries", seconds)


@then('the answer is "{text}"')
def step_answer_is(context, text):
    assert context.answer == text.encode(), context.answer


@then('the request fails with "{reason}"')
def step_peer_silent(context, reason):
    assert isinstance(context.answer, PeerSilent)
    assert context.answer.reason == reason, msgspec.to_builtins(context.answer)
