import asyncio

from behave import given, then, when

from bench.load_limits import LimitRun
from features.steps.endpoints import names_of
from poplarrun.contracts import AccountLimitSettings, ClientAccount
from poplarrun.errors import ErrorKind
from poplarrun.hosts import MemoryPeerNetwork, MemoryPeers, Peer
from poplarrun.limits import (
    LOAN_MESSAGE,
    ROUND_INTERVAL_S,
    AccountLimits,
    LimitKind,
    Loan,
    encode_loan,
)


@given("{hosts:d} hosts in {zones:d} zones share a limit")
def step_hosts(context, hosts, zones):
    context.run = LimitRun(hosts, zones, lambda now, host: 0.0)


@when("every host demands the whole limit for {rounds:d} rounds")
def step_all_demand(context, rounds):
    context.run.demand = lambda now, host: 1.0
    context.run.run(rounds)


@when(
    "host {one:d} demands the whole limit for {first:d} rounds, "
    "then host {other:d} for {then:d} rounds"
)
def step_moves(context, one, first, other, then):
    context.run.demand = lambda now, host: float(host == (one if now < first else other))
    context.run.run(first + then)


@when(
    "host {one:d} demands the whole limit for {first:d} rounds and dies, "
    "then host {other:d} for {then:d} rounds"
)
def step_dies(context, one, first, other, then):
    context.run.dies_at = {one: first}
    step_moves(context, one, first, other, then)


@when('the demand rises at {few:d} hosts and zones "{zones}" are cut off {delay:d} rounds later')
def step_cut(context, few, zones, delay):
    run = context.run
    run.demand = lambda now, host: 2.0 if now >= 40 and host < few else 0.0
    run.cut_zones = tuple(int(zone) for zone in names_of(zones))
    run.cut_from, run.cut_until = 40 + delay, 140
    run.run(180)


@when("all of them are restarted one by one under load")
def step_restarted(context):
    hosts = context.run.hosts
    context.run.demand = lambda now, host: 1.0 / 6.0 if host == 1 else 1.0 / (3.0 * hosts)
    pause = max(1, 48 // hosts)
    context.run.away = {host: (50 + host * pause, 55 + host * pause) for host in range(hosts)}
    context.run.run(150)


@then("the shares in use never exceed {bound:f}")
def step_never(context, bound):
    assert max(context.run.totals) <= bound + 1e-6, max(context.run.totals)


@then("at least {share:f} of the limit is in use")
def step_in_use(context, share):
    assert context.run.used[-1] >= share, context.run.used[-1]


class LimitClock:
    """Simulated time that runs the rounds of all hosts."""

    def __init__(self, limits, zones="aa"):
        self.zones = zones
        self.network = MemoryPeerNetwork()
        self.account = ClientAccount("acme", (), ("*",), ("*",), (), limits)
        self.hosts = {}
        for number in (1, 2):
            self.start(number)
        self.without_account = set()
        self.now = 0.0

    def start(self, number):
        peers = MemoryPeers(self.network, Peer(f"a{number}", self.zones[number - 1], "r", 0))
        self.hosts[number] = AccountLimits(peers)

    def close_round(self):
        self.now += ROUND_INTERVAL_S
        for number, limits in self.hosts.items():
            if f"a{number}" not in self.network.down:
                accounts = [] if number in self.without_account else [self.account]
                limits.close_round(accounts, self.now, self.now)

    def run_startup(self, rounds):
        """Run rounds as a host does that isn't ready yet."""
        for _ in range(rounds):
            for number, limits in self.hosts.items():
                if f"a{number}" not in self.network.down:
                    asyncio.run(limits.request_initial_shares([self.account]))
            self.close_round()

    def list_fractions(self):
        return [h.usable_fraction("acme", LimitKind.REQUESTS) for h in self.hosts.values()]

    def admit(self, number, tokens=1):
        return self.hosts[number].admit(self.account, tokens, self.now)


@given("account limits of 2 hosts for {rate:d} requests a second")
def step_rate(context, rate):
    context.clock = LimitClock(AccountLimitSettings(requests_per_second=float(rate)))


@given("account limits of 2 hosts for {streams:d} concurrent streams")
def step_streams(context, streams):
    context.clock = LimitClock(AccountLimitSettings(concurrent_streams=streams))


@given("account limits of 2 hosts for {amount:f} spent a day")
def step_spend(context, amount):
    context.clock = LimitClock(AccountLimitSettings(spend_per_day=amount))


@then("the first request at each host is admitted")
def step_first_passes(context):
    assert context.clock.admit(1) is None
    assert context.clock.admit(2) is None


@when("{count:d} requests arrive at host {host:d} within 1 s")
def step_burst(context, count, host):
    outcomes = []
    for _ in range(count):
        context.clock.now += 1.0 / count
        outcomes.append(context.clock.admit(host))
    context.passed = outcomes.count(None)
    context.limited = next(outcome for outcome in outcomes if outcome is not None)


@then("at most {count:d} of them are admitted")
def step_at_most(context, count):
    assert 0 < context.passed <= count, context.passed


@then('the refusal is "{kind}" with a retry delay')
def step_refusal(context, kind):
    assert context.limited.kind is ErrorKind(kind)
    assert context.limited.retry_after_s > 0.0


@when("{rate:d} requests a second arrive at each host for {seconds:d} s")
def step_flood(context, rate, seconds):
    context.passed_by_second = []
    for _ in range(seconds):
        passed = 0
        for _ in range(rate):
            passed += sum(context.clock.admit(host) is None for host in (1, 2))
            context.clock.now += ROUND_INTERVAL_S / rate
        context.clock.now -= ROUND_INTERVAL_S
        context.clock.close_round()
        context.passed_by_second.append(passed)


@then(
    "between {low:f} and {high:f} times {rate:d} requests a second were admitted "
    "in the last {seconds:d} s"
)
def step_passed(context, low, high, rate, seconds):
    mean = sum(context.passed_by_second[-seconds:]) / seconds
    assert low * rate <= mean <= high * rate, mean


@when("{count:d} streams begin at each host over {seconds:d} s")
def step_streams_begin(context, count, seconds):
    context.open = {1: 0, 2: 0}
    context.most_open = 0
    for _ in range(seconds):
        for host in (1, 2):
            for _ in range(count if context.clock.now < seconds else 0):
                context.open[host] += context.clock.admit(host) is None
        context.most_open = max(context.most_open, sum(context.open.values()))
        context.clock.close_round()


@then("at most {count:d} streams are open together")
def step_streams_bound(context, count):
    assert 0 < context.most_open <= count, context.most_open


@when("all streams of host {host:d} finish")
def step_streams_end(context, host):
    for _ in range(context.open[host]):
        context.clock.hosts[host].finish(context.clock.account, 1, 1, 0.0)


@then("another stream begins at host {host:d}")
def step_stream_begins(context, host):
    assert context.clock.admit(host) is None


def spend(context, host, amount):
    """Spend in requests of 1.0, with a round after every tenth, until refused or done."""
    spent = 0.0
    for number in range(2000):
        if spent >= amount:
            break
        if context.clock.admit(host) is None:
            context.clock.hosts[host].finish(context.clock.account, 1, 1, 1.0)
            spent += 1.0
        if number % 10 == 0:
            context.clock.close_round()
    return spent


@when("host {host:d} spends {amount:f} over {seconds:d} s and dies")
def step_spends(context, host, amount, seconds):
    assert spend(context, host, amount) == amount
    for _ in range(3):
        context.clock.close_round()
    context.clock.network.down.add(f"a{host}")


@then("host {host:d} spends at most {amount:f} before requests are refused")
def step_rest(context, host, amount):
    spent = spend(context, host, 200.0)
    assert 40.0 <= spent <= amount, spent


def borrow(clock, number):
    wanted = clock.hosts[number].compute_shortfall("acme")
    if wanted is not None:
        asyncio.run(clock.hosts[number].borrow(wanted))


@when("{count:d} streams begin at host {number:d} at once, borrowing like a running host")
def step_borrowed_streams(context, count, number):
    for _ in range(20):
        context.clock.close_round()
    context.opened = 0
    for _ in range(count):
        context.opened += context.clock.admit(number) is None
        borrow(context.clock, number)


@then("all {count:d} streams are open")
def step_all_open(context, count):
    assert context.opened == count, context.opened


@then("both hosts together allow at most {count:d} streams")
def step_allowed_streams(context, count):
    for _ in range(20):
        fractions = [
            h.usable_fraction("acme", LimitKind.STREAMS) for h in context.clock.hosts.values()
        ]
        assert sum(fractions) * count <= count + 1e-6, fractions
        context.clock.close_round()


@when(
    "{rate:d} requests a second arrive at each host for {seconds:d} s, "
    "borrowing like a running host"
)
def step_borrowed_requests(context, rate, seconds):
    context.passed = 0
    context.seconds = seconds
    began = context.clock.now
    for second in range(seconds):
        for turn in range(rate):
            context.clock.now = began + second + turn / rate
            for number in context.clock.hosts:
                context.passed += context.clock.admit(number) is None
                borrow(context.clock, number)
        context.clock.now = began + second
        context.clock.close_round()


@then(
    "at most {times:f} times {rate:d} requests a second were admitted in all, "
    "and a burst of {burst:d}"
)
def step_passed_in_all(context, times, rate, burst):
    assert context.passed <= times * rate * context.seconds + burst, context.passed


@when("the answer to a loan request of host {number:d} is lost")
def step_lost_loan(context, number):
    for _ in range(20):
        context.clock.close_round()
    for _ in range(18):
        context.clock.admit(number)
    lender = context.clock.hosts[2]
    before = lender.usable_fraction("acme", LimitKind.STREAMS)
    payload = encode_loan(context.clock.hosts[number].compute_shortfall("acme"))
    asking = context.clock.network.members[f"a{number}"]
    asyncio.run(asking.ask("a2", LOAN_MESSAGE, payload, 1.0))
    assert lender.usable_fraction("acme", LimitKind.STREAMS) < before


@then("at least {times:f} times {rate:d} requests a second were admitted in all")
def step_passed_at_least(context, times, rate):
    assert context.passed >= times * rate * context.seconds, context.passed


@when("host {number:d} transfers its shares after {rounds:d} rounds")
def step_hand_over(context, number, rounds):
    for _ in range(rounds):
        context.clock.close_round()
    asyncio.run(context.clock.hosts[number].hand_over())


@then("host {number:d} allows at least {share:f} of the {count:d} streams")
def step_allows_at_least(context, number, share, count):
    fraction = context.clock.hosts[number].usable_fraction("acme", LimitKind.STREAMS)
    assert fraction >= share, fraction * count


@when("a peer requests from host 2 a fraction of {fraction:f} of the streams")
def step_negative_loan(context, fraction):
    for _ in range(20):
        context.clock.close_round()
    before = context.clock.hosts[2].usable_fraction("acme", LimitKind.STREAMS)
    payload = encode_loan(Loan("acme", 0.0, 0.0, {LimitKind.STREAMS: fraction}))
    asking = context.clock.network.members["a1"]
    asyncio.run(asking.ask("a2", LOAN_MESSAGE, payload, 1.0))
    assert context.clock.hosts[2].usable_fraction("acme", LimitKind.STREAMS) == before
