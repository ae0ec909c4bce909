import random
from dataclasses import replace

from behave import given, then, when

from bench.version_exposure import CLASS, GOOD, NEW, OLD, document
from bench.version_traces import ACCOUNT
from poplarrun.versions import CellKey, Estimate, RatingSampler, Standing
from standins.version_world import RatingTraits, VersionWorld

SEEDS = range(8)
WELL_KNOWN = Estimate(
    standing=Standing.GOOD, rating_weight=500.0, mean_quality=0.9, confidence_radius=0.02
)


def start_world(seed, hosts, per_s, delay):
    traits = {(CLASS, OLD): GOOD, (CLASS, NEW): replace(GOOD, quality=0.95)}
    world = VersionWorld(traits, hosts, 3, seed, RatingTraits(delay_s=delay), per_s)
    world.publish(document("old", "new"))
    world.advance(3.0)
    world.run(1500, [CLASS], ACCOUNT)
    return world


@given(
    "simulated fleets of {hosts:d} hosts with {per_s:d} requests a second "
    "and ratings {delay:d} s late"
)
def step_worlds(context, hosts, per_s, delay):
    context.worlds = [start_world(seed, hosts, per_s, delay) for seed in SEEDS]


def is_withdrawn(world, version):
    return all(host.configuration.is_withdrawn(version) for host in world.hosts.values())


@when("the version in service becomes bad in each")
def step_become_bad(context):
    context.exposed = []
    for world in context.worlds:
        serving = max((OLD, NEW), key=lambda v: sum(s.version == v for s in world.served[-100:]))
        world.traits[(CLASS, serving)] = replace(GOOD, quality=0.2)
        first_index = len(world.served)
        world.run(4000, [CLASS], ACCOUNT, lambda w=world, v=serving: is_withdrawn(w, v))
        bad = sum(served.version == serving for served in world.served[first_index:])
        context.exposed.append((bad, is_withdrawn(world, serving)))


@then("it is withdrawn in each after at most {most:d} bad answers")
def step_withdrawn(context, most):
    assert all(withdrawn and bad <= most for bad, withdrawn in context.exposed), context.exposed


@given("a sampler at one of {hosts:d} hosts")
def step_sampler(context, hosts):
    context.sampler = RatingSampler(random.Random(1))
    context.sampler.host_count = hosts


@when("{per_s:d} answers a second of a well-known version come for {seconds:d} s")
def step_sample(context, per_s, seconds):
    key = CellKey(CLASS, OLD)
    times = (number / per_s for number in range(per_s * seconds))
    context.rated = sum(
        context.sampler.should_rate(key, WELL_KNOWN, "cheapest", at) for at in times
    )


@then("{count:d} of them are rated, give or take a tenth")
def step_rated(context, count):
    assert abs(context.rated - count) <= count / 10, context.rated
