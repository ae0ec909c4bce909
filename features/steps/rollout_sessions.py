import asyncio
from collections import defaultdict

from behave import given, then, when

from poplarrun.gateway._session_handover import SessionHandover
from poplarrun.peers import HostStart, HostStop, PeerTable, PinnedSessions
from poplarrun.rollouts import ComparisonStage, PinnedSession, Rollouts, SessionKey
from poplarrun.routing import RolloutOrder
from standins.rollout_fleet import OLD, SERVICE, RolloutFleet, run_by_virtual_clock

SEED = 2541
# Fraction of the order's duration in which callers send: the old endpoints are stopped soon after.
OBSERVED_FRACTION = 0.93
# From an order until the endpoints of its version are listed.
LISTED_AFTER_S = 0.3


async def run_rollout(fleet, sessions_per_s, order_at, duration_s, listed_after_s):
    """Send requests until all sessions use the new version."""
    until = order_at + OBSERVED_FRACTION * duration_s
    fleet.start()
    calls = asyncio.ensure_future(fleet.run_sessions(sessions_per_s, until))
    await asyncio.sleep(order_at)
    fleet.apply_order(duration_s)
    await asyncio.sleep(listed_after_s)
    fleet.list_new_version()
    await calls
    await asyncio.sleep(3.0)


@given("{hosts:d} hosts in 3 zones, and {sessions:d} sessions a second that ask any of them")
def step_fleet(context, hosts, sessions):
    context.fleet = RolloutFleet(SEED, hosts)
    context.sessions_per_s = sessions


@when(
    "a roll-out of {duration:f} s is ordered after {at:f} s"
    " and its endpoints are listed {listed:f} s later"
)
def step_order(context, duration, at, listed):
    context.order_at, context.middle, context.end = at, at + duration / 2, at + duration
    run_by_virtual_clock(run_rollout(context.fleet, context.sessions_per_s, at, duration, listed))


@when("a roll-out of {duration:f} s is ordered after {at:f} s")
def step_order_later(context, duration, at):
    context.order_at, context.middle = at, at + duration / 2


async def restart_in_turn(fleet, gap_s, since, is_killed):
    """Restart all hosts, each some time after the one before."""
    await asyncio.sleep(since)
    restarts = []
    for number in range(len(fleet.hosts)):
        restarts.append(asyncio.ensure_future(fleet.restart_host(number, is_killed)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*restarts)


async def run_with_restarts(context, gap_s, since, is_killed):
    """Send requests through the first half of a roll-out, while all hosts are restarted."""
    fleet = context.fleet
    fleet.start()
    calls = asyncio.ensure_future(fleet.run_sessions(context.sessions_per_s, context.middle))
    restarts = asyncio.ensure_future(restart_in_turn(fleet, gap_s, since, is_killed))
    await asyncio.sleep(context.order_at)
    fleet.apply_order(2.0 * (context.middle - context.order_at))
    await asyncio.sleep(LISTED_AFTER_S)
    fleet.list_new_version()
    await asyncio.gather(calls, restarts)


@when("each host is {how:w}, one every {gap:f} s from {since:f} s on")
def step_restart_in_turn(context, how, gap, since):
    run_by_virtual_clock(run_with_restarts(context, gap, since, how == "killed"))


@then("no session changes its version in the first half of the roll-out")
def step_kept(context):
    changes = context.fleet.version_changes(context.order_at, context.middle)
    assert not changes, (len(changes), changes[:3])


@then(
    "the new version gets {least:f} to {most:f} of the requests in the last {seconds:f} s"
    " of that half"
)
def step_trial(context, least, most, seconds):
    share = context.fleet.new_version_fraction(context.middle - seconds, context.middle)
    assert least <= share <= most, share


@then("no session goes back to the old version")
def step_not_back(context):
    changes = context.fleet.version_changes(context.order_at, context.end)
    back = [pair for pair in changes if pair[1].version == OLD]
    assert not back, (len(back), back[:3])


@then("the new version gets all requests of the last {seconds:f} s")
def step_all(context, seconds):
    until = context.order_at + OBSERVED_FRACTION * (context.end - context.order_at)
    assert context.fleet.new_version_fraction(until - seconds, until) == 1.0


async def restart_host(fleet, sessions_per_s, order_at, duration_s, later_s):
    """Restart a host during a roll-out; return its stage and the other hosts'."""
    loop = asyncio.get_running_loop()
    fleet.start()
    calls = asyncio.ensure_future(fleet.run_sessions(sessions_per_s, order_at + later_s + 1.0))
    await asyncio.sleep(order_at)
    order = fleet.apply_order(duration_s)
    fleet.list_new_version()
    await asyncio.sleep(later_s)
    host = await fleet.start_host_with_order(order)
    stages = [each.rollouts.find(SERVICE).stage(loop.time()) for each in (host, *fleet.hosts)]
    await calls
    return stages


@when(
    "a roll-out of {duration:f} s is ordered after {at:f} s,"
    " and a host is restarted {later:f} s later"
)
def step_restarted(context, duration, at, later):
    restarted = restart_host(context.fleet, context.sessions_per_s, at, duration, later)
    context.stages = run_by_virtual_clock(restarted)


@then("the first session that it serves is in the stage of the roll-out that the others are in")
def step_same_stage(context):
    assert set(context.stages) == {ComparisonStage.SHIFT}, context.stages


class RecordingSender:
    """Keeps the messages to each address."""

    def __init__(self):
        self.sent = defaultdict(list)

    def send(self, address, message):
        self.sent[address].append(message)

    def send_to_all(self, addresses, message):
        for address in addresses:
            self.send(address, message)

    def receivers(self, kind):
        return {each for each, sent in self.sent.items() if any(isinstance(m, kind) for m in sent)}


def make_handover(hosts):
    table = PeerTable("host-0", "a")
    for number in range(1, hosts):
        table.add_address(f"host-{number}", 0.0)
    rollouts = Rollouts()
    rollouts.apply_order(RolloutOrder(SERVICE, "v2", 24.0, 7), 0.0)
    return SessionHandover(table, RecordingSender(), rollouts), table, rollouts


@given("a host among {hosts:d} hosts that keeps {count:d} held sessions")
def step_keeper(context, hosts, count):
    context.hosts, context.held = hosts, range(count)
    context.handover, context.table, rollouts = make_handover(hosts)
    for session_hash in context.held:
        rollouts.sessions.pin(PinnedSession(SessionKey(SERVICE, session_hash), 7))


@when("it stops, and starts again")
def step_stop_and_start(context):
    context.handover.stop(1.0)
    context.started, _, _ = make_handover(context.hosts)
    context.started.start(2.0)
    context.started.ask(2.0)


@then("it has told at most {most:d} hosts of each, and has sent each session to {owners:d} hosts")
def step_bounded(context, most, owners):
    stopped, started = context.handover._sender, context.started._sender
    assert 0 < len(stopped.receivers(HostStop)) <= most, stopped.sent.keys()
    assert 0 < len(started.receivers(HostStart)) <= most, started.sent.keys()
    pins = [m for sent in stopped.sent.values() for m in sent if isinstance(m, PinnedSessions)]
    receivers = [pin for message in pins for pin in message.session_hashes]
    assert sorted(receivers) == sorted(list(context.held) * owners), receivers


@then(
    "all that own a session with it are among those that it asks, also while {count:d} of them stop"
)
def step_neighbours(context, count):
    table = make_handover(context.hosts)[1]
    neighbours = set(table.session_neighbours())
    for stopping in (0, count):
        for address in sorted(neighbours)[:stopping]:
            table.record_stop(address, 0.0)
        for number in range(20_000):
            owners = table.session_owners(f"{SERVICE}/{number}", 0.0)
            if table.address in owners:
                assert set(owners) - {table.address} <= neighbours, owners
