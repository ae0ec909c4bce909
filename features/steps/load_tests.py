from behave import given, then, when

from poplarrun.routing import RolloutPhase
from standins.loaded_rollout import Failure, LoadedRolloutFleet
from standins.rollout_fleet import NEW, run_by_virtual_clock

SEED = 4107
# More than an endpoint ever runs.
NEVER_FAILING_LOAD = 100.0


@given("{hosts:d} hosts before endpoints of a version that fails from {load:f} requests a slot on")
def step_bad(context, hosts, load):
    context.fleet = LoadedRolloutFleet(SEED, hosts, load)


@given("{fraction:f} of its requests fail there, with {failure}")
def step_failure(context, fraction, failure):
    context.fleet.endpoints.failure = Failure(failure)
    context.fleet.endpoints.failed_fraction = fraction


@given("{hosts:d} hosts before endpoints of a good version")
def step_good(context, hosts):
    context.fleet = LoadedRolloutFleet(SEED, hosts, NEVER_FAILING_LOAD)


@when("a roll-out of {seconds:d} s is carried out amid {rate:d} requests a second")
def step_carry_out(context, seconds, rate):
    run_by_virtual_clock(context.fleet.carry_out(float(seconds), float(rate)))


@then('it is recorded as "{phase}"')
def step_recorded(context, phase):
    fleet = context.fleet
    assert fleet.recorded == [RolloutPhase(phase)], (fleet.recorded, fleet.endpoints)


@then("the new version got at most {fraction:f} of all requests and {count:d} more")
def step_exposed(context, fraction, count):
    arrivals = context.fleet.endpoints.arrivals
    bound = fraction * sum(arrivals.values()) + count
    assert arrivals[NEW] <= bound, (arrivals, bound)
