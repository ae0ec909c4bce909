import itertools
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from poplarrun.clients import HttpLog, get_pool_manager
from poplarrun.config import Withdrawal
from poplarrun.config import decode_record as decode_config
from poplarrun.contracts import hash_key
from poplarrun.versions import (
    ROLLOUTS_STREAM,
    Granted,
    RolloutTable,
    Settled,
    decode_rollout,
    fold_rollout,
)
from standins.fleet import wait_until

KEY = "roll-out-key"
DOCUMENT = """
classes:
  note:
    importance: 3
    targets: {{quality: 0.6, first_token_ms: 5000, between_tokens_ms: 500, whole_s: 60}}
models:
  larch:
    versions: {{{versions}}}
accounts:
  shop: {{keys: ["{key}"], classes: ["*"], versions: ["*"]}}
"""
VERSION = '"{name}": {{stage: offered, price: {{input_per_mtok: {price}, output_per_mtok: 1}}}}'
THREADS = 8


def offer(context, *names):
    versions = ", ".join(VERSION.format(name=n, price=1.0 / int(n)) for n in names)
    fleet = context.fleet
    offset = fleet.publish(DOCUMENT.format(versions=versions, key=hash_key(KEY)))
    fleet.wait_in_force(offset)


def read_stream(context, stream):
    return HttpLog(context.fleet.log.address).read(stream, 0, 1000).entries


def rollout_records(context):
    return [decode_rollout(entry.data) for entry in read_stream(context, ROLLOUTS_STREAM)]


def serves(context, version, work_class):
    state = RolloutTable()
    for entry in read_stream(context, ROLLOUTS_STREAM):
        state = fold_rollout(state, entry)
    found = [
        s
        for k, s in state.states.items()
        if (k.class_name, str(k.version)) == (work_class, version)
    ]
    return any(s.serves for s in found)


def is_withdrawn_in_log(context, version):
    records = [decode_config(entry.data) for entry in read_stream(context, "config")]
    return any(isinstance(r, Withdrawal) and r.version == version for r in records)


def send_request(host, work_class):
    body = {"model": work_class, "messages": [{"role": "user", "content": "a note"}]}
    response = get_pool_manager().request(
        "POST",
        f"http://{host.address}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {KEY}"},
    )
    assert response.status == 200, response.data
    return response.headers["X-Poplarrun-Version"]


def live_hosts(context):
    return [h for h in context.fleet.hosts.values() if h.process.poll() is None]


def send_many(context, count, work_class, is_done):
    hosts = itertools.cycle(live_hosts(context))
    with ThreadPoolExecutor(THREADS) as pool:
        for _ in range(0, count, 2 * THREADS):
            batch = [next(hosts) for _ in range(2 * THREADS)]
            context.answered += pool.map(send_request, batch, [work_class] * len(batch))
            if is_done():
                return


@given('version "larch:1" alone is offered and serves class "{work_class}"')
def step_alone(context, work_class):
    context.answered = []
    offer(context, "1")
    context.fleet.wait_versions("larch:1", "larch:2", "larch:3")
    wait_until(lambda: serves(context, "larch:1", work_class), "larch:1 serves")


@when('"larch:{name}" is offered beside it')
def step_offer(context, name):
    offer(context, "1", name)


@when('callers ask for {count:d} "{work_class}" answers, until "{version}" is withdrawn')
def step_until_withdrawn(context, count, work_class, version):
    send_many(context, count, work_class, lambda: is_withdrawn_in_log(context, version))


@when('callers ask for {count:d} "{work_class}" answers, until "{version}" serves class "note"')
def step_until_serves(context, count, work_class, version):
    send_many(context, count, work_class, lambda: serves(context, version, work_class))
    assert serves(context, version, work_class), rollout_records(context)


@when('the log shows a grant for "{version}" in class "{work_class}"')
def step_granted(context, version, work_class):
    def granted():
        return [
            r for r in rollout_records(context) if isinstance(r, Granted) and r.version == version
        ]

    wait_until(lambda: bool(granted()), "a grant")
    context.first_grant = granted()[0]


@when("the host that wrote it is killed")
def step_kill_controller(context):
    context.fleet.hosts[context.first_grant.id.split("/")[0]].kill()


@then('at most {count:d} answers came from "{version}"')
def step_exposed(context, count, version):
    assert 0 < context.answered.count(version) <= count, context.answered.count(version)


@then('"{version}" is withdrawn at every host')
def step_withdrawn(context, version):
    def everywhere():
        return all(
            version in {f"{v['model']}:{v['version']}" for v in host.status()["withdrawn"]}
            for host in live_hosts(context)
        )

    wait_until(everywhere, f"{version} withdrawn everywhere")


@then('the next {count:d} "{work_class}" answers come from "{version}"')
def step_next(context, count, work_class, version):
    hosts = itertools.cycle(live_hosts(context))
    assert {send_request(next(hosts), work_class) for _ in range(count)} == {version}


@then('the grants of "{version}" are numbered without a gap or a repeat')
def step_numbers(context, version):
    records = [r for r in rollout_records(context) if getattr(r, "version", "") == version]
    numbers = []
    for record in records:
        if isinstance(record, Granted) and record.number == len(numbers):
            numbers.append(record.number)
    assert numbers == list(range(len(numbers))) and numbers, records
    assert next(r.serves for r in records if isinstance(r, Settled)), records


def send_in_session(host, **headers):
    body = {"model": "note", "messages": [{"role": "user", "content": "a note"}]}
    response = get_pool_manager().request(
        "POST",
        f"http://{host.address}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {KEY}", **headers},
    )
    return response


@when('a session "{session}" asks host "{host}" for a "note"')
def step_session(context, session, host):
    context.session = session
    response = send_in_session(context.fleet.hosts[host], **{"X-Session-Id": session})
    context.token = response.headers["X-Poplarrun-Session"]
    context.answered.append(response.headers["X-Poplarrun-Version"])


@when('the session asks host "{by_id}" by its id and host "{by_token}" by its token')
def step_session_elsewhere(context, by_id, by_token):
    hosts = context.fleet.hosts
    first = send_in_session(hosts[by_id], **{"X-Session-Id": context.session})
    second = send_in_session(hosts[by_token], **{"X-Poplarrun-Session": context.token})
    context.answered += [r.headers["X-Poplarrun-Version"] for r in (first, second)]


@then('all its answers came from "{version}"')
def step_all_from(context, version):
    assert context.answered == [version] * 3, context.answered


@when('only "larch:{name}" is offered')
def step_only(context, name):
    offer(context, name)


@then('the session gets "{code}", not run, at each host')
def step_session_refused(context, code):
    for host in live_hosts(context):
        for headers in ({"X-Session-Id": context.session}, {"X-Poplarrun-Session": context.token}):
            error = send_in_session(host, **headers).json()["error"]
            assert (error["code"], error["not_run"]) == (code, "yes"), error


@when('the log goes down and host "{name}" restarts')
def step_restart_without_log(context, name):
    host = context.fleet.hosts[name]
    context.fleet.log.set_faults(down=True)
    host.kill()
    host.spawn()
    host.wait_ready()
    context.fleet.wait_versions("larch:1")


@then('{count:d} "{work_class}" answers of host "{name}" come from "{version}"')
def step_answers_of(context, count, work_class, name, version):
    host = context.fleet.hosts[name]
    assert {send_request(host, work_class) for _ in range(count)} == {version}
