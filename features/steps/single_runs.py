import dataclasses

from behave import given, then

from features.steps.dispatch import hear_each_other
from features.steps.gateway_world import make_catalogue, make_dispatch, make_request, make_route
from features.steps.load_tests import NEVER_FAILING_LOAD, SEED
from poplarrun.dispatch import (
    ConfigView,
    ConnectionBroke,
    can_abandon,
    copy_request,
    event_gap_timeout_s,
    first_event_timeout_s,
)
from poplarrun.errors import NotRun, response_for
from poplarrun.gateway._copied_requests import describe_request, recall_request
from poplarrun.routing import RepeatPolicy
from standins.loaded_rollout import LoadedRolloutFleet
from standins.rollout_fleet import CATALOGUE, ROUTE

ROUTES = {
    "a lookup": make_route(repeat=RepeatPolicy.IDEMPOTENT),
    "an order": make_route(repeat=RepeatPolicy.ONCE),
    "a stream that is resumable": make_route(),
    "a stream that is not resumable": dataclasses.replace(make_route(), is_resumable=False),
}
NOW = 100.0
POOR_CONFIDENCE = 0.05


def publish_resumability(installation, is_resumable):
    """Publish whether drafts may be resumed; wait until all hosts follow that."""
    installation.config["routes"][0]["resumable"] = is_resumable
    installation.publish_and_wait()


@given("drafts may not be resumed")
def step_not_resumable(context):
    publish_resumability(context.installation, False)


@given("{request} that an endpoint runs")
def step_running(context, request):
    config_view = ConfigView(None)
    context.catalogue = make_catalogue(routes=(ROUTES[request],))
    config_view.apply_catalogue(context.catalogue)
    config_view.confirm(NOW)
    context.dispatch = make_dispatch(config_view)
    hear_each_other(context.dispatch.placement.shares, "a1", ["a1"])
    context.work = context.dispatch.admit(make_request(), NOW)
    context.decision = context.dispatch.choose_endpoint(context.work, NOW)
    context.attempt = context.dispatch.record_sent(context.work, context.decision, NOW)


def survives_broken_connection(context):
    endpoint = context.decision.estimate.endpoint
    failure = ConnectionBroke("reset")
    refusal = context.dispatch.handle_failure(context.work, endpoint, context.attempt, failure, NOW)
    return refusal is None


def is_abandoned(context):
    work = context.work
    outcomes = {
        first_event_timeout_s(work, context.decision.estimate) is not None,
        event_gap_timeout_s(work) is not None,
        can_abandon(work, context.dispatch.retry_budgets.budget(work.service, NOW), NOW),
    }
    assert len(outcomes) == 1, outcomes
    return outcomes.pop()


def is_copied(context):
    copied = describe_request(context.work, NOW)
    return recall_request(copied, context.work.service, context.catalogue, NOW) is not None


def is_escalated(context):
    decision = context.dispatch.try_escalate(context.work, context.attempt, POOR_CONFIDENCE, NOW)
    return decision.is_asked


OUTCOMES = {
    "a broken connection": survives_broken_connection,
    "silence": is_abandoned,
    "a peer's copy": is_copied,
    "low confidence": is_escalated,
}


@then("it may run again after {event}")
def step_may_run_again(context, event):
    assert OUTCOMES[event](context)


@then("it may not run again after {event}")
def step_may_not_run_again(context, event):
    assert not OUTCOMES[event](context)


@then("the last check before a send {does:w} it once it may have run")
def step_last_check(context, does):
    assert context.dispatch.recheck(context.work, NOW) is None
    context.work.may_have_run = True
    refusal = context.dispatch.recheck(context.work, NOW)
    assert (refusal is None) == (does == "passes"), refusal
    assert refusal is None or response_for(refusal.kind).not_run is not NotRun.YES, refusal


@then("the last check before a send {does:w} a copy of it")
def step_last_check_of_copy(context, does):
    refusal = context.dispatch.recheck(copy_request(context.work), NOW)
    assert (refusal is None) == (does == "passes"), refusal


@given("{hosts:d} hosts before endpoints of a good version, and streams that are {kind}")
def step_good_version(context, hosts, kind):
    context.fleet = LoadedRolloutFleet(SEED, hosts, NEVER_FAILING_LOAD)
    route = dataclasses.replace(ROUTE, is_resumable=kind == "resumable")
    catalogue = dataclasses.replace(CATALOGUE, version=2, routes={"shop": (route,)})
    for host in context.fleet.hosts:
        host.config_view.apply_catalogue(catalogue)


@then("copies were sent")
def step_copies(context):
    assert context.fleet.endpoints.copies > 0


@then("no copies were sent")
def step_no_copies(context):
    assert context.fleet.endpoints.copies == 0, context.fleet.endpoints
