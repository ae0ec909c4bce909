import asyncio

from behave import given, then, when

from features.steps.limits import Clock
from poplarrun.contracts import AccountLimitSettings
from poplarrun.limits import STABLE_ROUNDS


@given("account limits of 2 hosts in 2 zones for {rate:d} requests a second")
def step_two_zones(context, rate):
    context.clock = Clock(AccountLimitSettings(requests_per_second=float(rate)), "ab")


@when("host {dies:d} is killed, host {other:d} takes all, and host {again:d} starts again")
def step_killed(context, dies, other, again):
    clock = context.clock
    clock.begin(20)
    clock.network.down.add(f"a{dies}")
    for _ in range(30):
        for _ in range(60):
            clock.admit(other)
        clock.close_round()
    assert clock.parts()[other - 1] > 0.9, clock.parts()
    clock.network.down.discard(f"a{dies}")
    clock.start(again)
    clock.begin(STABLE_ROUNDS + 1)
    assert clock.hosts[again].has_initial_shares


@given("account limits of 2 hosts in one zone for {rate:d} requests a second")
def step_one_zone(context, rate):
    context.clock = Clock(AccountLimitSettings(requests_per_second=float(rate)))


@given("both have begun")
def step_both_begun(context):
    context.clock.begin(STABLE_ROUNDS + 1)
    assert all(host.has_initial_shares for host in context.clock.hosts.values())


@when(
    "host {number:d} hands its parts over and starts anew,"
    " and host {other:d} does not answer it for {rounds:d} rounds"
)
def step_unanswered(context, number, other, rounds):
    asyncio.run(context.clock.hosts[number].hand_over())
    context.clock.network.paused.add(f"a{other}")
    context.clock.start(number)
    context.clock.begin(rounds)


@then("host {number:d} has not begun")
def step_not_begun(context, number):
    assert not context.clock.hosts[number].has_initial_shares, context.clock.parts()


@then("host {number:d} has begun and holds at least {part:f} of the limit")
def step_at_least(context, number, part):
    assert context.clock.hosts[number].has_initial_shares
    assert context.clock.parts()[number - 1] >= part, context.clock.parts()


@when("host {number:d} answers again")
def step_answers(context, number):
    context.clock.network.paused.discard(f"a{number}")
    context.clock.begin(1)


@given("the hosts have run for {rounds:d} rounds when the account is published")
def step_published(context, rounds):
    context.clock.unheard = {1, 2}
    context.clock.begin(rounds)
    assert context.clock.parts() == [0.0, 0.0]
    context.clock.unheard = set()


@given("host {number:d} is dead")
def step_dead(context, number):
    context.clock.network.down.add(f"a{number}")


@when("the hosts start together and wait until they have begun")
def step_start_together(context):
    context.clock.begin(STABLE_ROUNDS + 1)
    assert all(host.has_initial_shares for host in context.clock.hosts.values())


@when("host {number:d} starts alone for {rounds:d} rounds")
def step_start_alone(context, number, rounds):
    context.clock.begin(rounds - 1)
    assert not context.clock.hosts[number].has_initial_shares
    context.clock.begin(1)
    context.clock.admit(number)


@when("host {number:d} hands its parts over and is replaced")
def step_replaced(context, number):
    asyncio.run(context.clock.hosts[number].hand_over())
    context.clock.start(number)
    asyncio.run(context.clock.hosts[number].request_initial_shares([context.clock.account]))


@when(
    "only host {one:d} hears of it and demands it all for {rounds:d} rounds, "
    "then host {late:d} hears"
)
def step_hears_late(context, one, rounds, late):
    context.clock.unheard = {late}
    for _ in range(rounds):
        for _ in range(40):
            context.clock.admit(one)
        context.clock.close_round()
    assert context.clock.parts()[one - 1] > 0.9
    context.clock.unheard = set()
    context.clock.admit(late)


@then("each host holds {part:f} of the limit")
def step_each_part(context, part):
    assert all(abs(p - part) < 1e-6 for p in context.clock.parts()), context.clock.parts()


@then("host {number:d} has begun and holds {part:f} of the limit")
def step_one_part(context, number, part):
    assert context.clock.hosts[number].has_initial_shares
    assert abs(context.clock.parts()[number - 1] - part) < 1e-6, context.clock.parts()


@then("the parts of all hosts together are at most {bound:f}")
def step_sum_of_parts(context, bound):
    for _ in range(20):
        assert sum(context.clock.parts()) <= bound + 1e-4, context.clock.parts()
        context.clock.close_round()
