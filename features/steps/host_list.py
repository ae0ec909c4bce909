from behave import given, then

from poplarrun.clients import HostKind, HostState, ListedHost
from poplarrun.hosts import ListedHostTable, ZoneView


def make_entry(name, state):
    return ListedHost(name, HostKind.ENTRY, "a", "127.0.0.1:1", HostState(state))


@given('a host that is "{listed}" in the list and "{observed}" in membership')
def step_host(context, listed, observed):
    context.list_counts = []
    context.listed = ListedHostTable(context.list_counts.append)
    hosts = {"a1": "alive"} | ({} if observed == "never" else {"a2": observed})
    context.view = ZoneView("a", False, 0.0, hosts)
    match listed:
        case "no list":
            lines = []
        case "absent":
            lines = [make_entry("a1", "live")]
        case _:
            lines = [make_entry("a1", "live"), make_entry("a2", listed)]
    for second in range(120):
        context.listed.apply_list(lines, [context.view], float(second))


@then('its status is "{shown}"')
def step_shown(context, shown):
    states = context.listed.describe_zone(context.view)
    assert states["a1"] == "alive"
    assert states.get("a2", "nothing") == shown, states


@then("after 2 minutes it was counted {count:d} times")
def step_counted(context, count):
    assert len(context.list_counts) == count, context.list_counts
