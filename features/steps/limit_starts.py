import asyncio

from behave import given, then, when

from features.steps.limits import LimitClock
from poplarrun.contracts import AccountLimitSettings
from poplarrun.limits import STABLE_ROUNDS


@given("account limits of 2 hosts in 2 zones for {rate:d} requests a second")
def step_two_zones(context, rate):
    context.clock = LimitClock(AccountLimitSettings(requests_per_second=float(rate)), "ab")


@when("host {dies:d} is killed, host {other:d} acquires all, and host {again:d} restarts")
def step_killed(context, dies, other, again):
    clock = context.clock
    clock.run_startup(20)
    clock.network.down.add(f"a{dies}")
    for _ in range(30):
        for _ in range(60):
            clock.admit(other)
        clock.close_round()
    assert clock.list_fractions()[other - 1] > 0.9, clock.list_fractions()
    clock.network.down.discard(f"a{dies}")
    clock.start(again)
    clock.run_startup(STABLE_ROUNDS + 1)
    assert clock.hosts[again].has_initial_shares


@given("account limits of 2 hosts in one zone for {rate:d} requests a second")
def step_one_zone(context, rate):
    context.clock = LimitClock(AccountLimitSettings(requests_per_second=float(rate)))


@given("both have their initial shares")
def step_both_begun(context):
    context.clock.run_startup(STABLE_ROUNDS + 1)
    assert all(host.has_initial_shares for host in context.clock.hosts.values())


@when(
    "host {number:d} transfers its shares and restarts,"
    " and host {other:d} does not answer it for {rounds:d} rounds"
)
def step_unanswered(context, number, other, rounds):
    asyncio.run(context.clock.hosts[number].hand_over())
    context.clock.network.paused.add(f"a{other}")
    context.clock.start(number)
    context.clock.run_startup(rounds)


@then("host {number:d} has no initial shares")
def step_not_begun(context, number):
    assert not context.clock.hosts[number].has_initial_shares, context.clock.list_fractions()


@then("host {number:d} has its initial shares and holds at least {fraction:f} of the limit")
def step_at_least(context, number, fraction):
    assert context.clock.hosts[number].has_initial_shares
    assert context.clock.list_fractions()[number - 1] >= fraction, context.clock.list_fractions()


@when("host {number:d} answers again")
def step_answers(context, number):
    context.clock.network.paused.discard(f"a{number}")
    context.clock.run_startup(1)


@given("the hosts have run for {rounds:d} rounds when the account is published")
def step_published(context, rounds):
    context.clock.without_account = {1, 2}
    context.clock.run_startup(rounds)
    assert context.clock.list_fractions() == [0.0, 0.0]
    context.clock.without_account = set()


@given("host {number:d} is dead")
def step_dead(context, number):
    context.clock.network.down.add(f"a{number}")


@when("the hosts start together and wait for their initial shares")
def step_start_together(context):
    context.clock.run_startup(STABLE_ROUNDS + 1)
    assert all(host.has_initial_shares for host in context.clock.hosts.values())


@when("host {number:d} starts alone for {rounds:d} rounds")
def step_start_alone(context, number, rounds):
    context.clock.run_startup(rounds - 1)
    assert not context.clock.hosts[number].has_initial_shares
    context.clock.run_startup(1)
    context.clock.admit(number)


@when("host {number:d} transfers its shares and is replaced")
def step_replaced(context, number):
    asyncio.run(context.clock.hosts[number].hand_over())
    context.clock.start(number)
    asyncio.run(context.clock.hosts[number].request_initial_shares([context.clock.account]))


@when(
    "only host {one:d} learns of it and demands the whole limit for {rounds:d} rounds, "
    "then host {late:d} learns of it"
)
def step_hears_late(context, one, rounds, late):
    context.clock.without_account = {late}
    for _ in range(rounds):
        for _ in range(40):
            context.clock.admit(one)
        context.clock.close_round()
    assert context.clock.list_fractions()[one - 1] > 0.9
    context.clock.without_account = set()
    context.clock.admit(late)


@then("each host holds {fraction:f} of the limit")
def step_each_part(context, fraction):
    assert all(
        abs(held - fraction) < 1e-6 for held in context.clock.list_fractions()
    ), context.clock.list_fractions()


@then("host {number:d} has its initial shares and holds {fraction:f} of the limit")
def step_one_part(context, number, fraction):
    assert context.clock.hosts[number].has_initial_shares
    assert (
        abs(context.clock.list_fractions()[number - 1] - fraction) < 1e-6
    ), context.clock.list_fractions()


@then("the shares of all hosts together are at most {bound:f}")
def step_sum_of_shares(context, bound):
    for _ in range(20):
        assert sum(context.clock.list_fractions()) <= bound + 1e-4, context.clock.list_fractions()
        context.clock.close_round()
