"""Shared fixtures: a tag ``@fixture.NAME`` on a feature or scenario asks for one."""

import shutil
import tempfile
from pathlib import Path

from behave import fixture, use_fixture

from poplarrun.server._daemon import Daemon
from poplarrun.settings import HostSettings
from standins import HostListStandIn, LogStandIn
from standins.fleet import EnginePlan, Fleet, ServicePlan, free_address
from standins.installation import Installation

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
CERTIFICATES = Path(__file__).resolve().parent / "certificates"
VERSIONS = {"larch:1": 0.9, "spruce:1": 0.95}


@fixture
def small_fleet(context):
    """Three zones of one host, one engine and one loan-records endpoint each."""
    engines = [EnginePlan(f"engine-{zone}", zone, {"quality": VERSIONS}) for zone in "abc"]
    services = [ServicePlan(f"loan-records-{zone}", zone, "loan-records") for zone in "abc"]
    with Fleet(engines, services, hosts_per_zone=1) as fleet:
        context.fleet = fleet
        yield fleet


def _run_hosts(context, zones, stop):
    engines = [EnginePlan(f"engine-{zone}", zone, {"quality": VERSIONS}) for zone in zones]
    with Fleet(engines, zones=zones, more_settings={"stop": stop}) as fleet:
        context.fleet = fleet
        fleet.wait_in_force(fleet.publish((EXAMPLES / "thistledown.yaml").read_text()))
        fleet.wait_versions("larch:1", "spruce:1")
        yield fleet


@fixture
def narrow_fleet(context):
    """One zone of one host before engines that are soon full."""
    settings = {"quality": {"larch:1": 0.9}, "capacity": 2, "tokens_per_s": 60.0}
    engines = [EnginePlan(f"engine-{number}", "a", settings) for number in (1, 2)]
    engines.append(EnginePlan("engine-3", "a", {**settings, "quality": {"spruce:1": 0.9}}))
    more = {"limits": {"threads": 64}}
    with Fleet(engines, zones=("a",), hosts_per_zone=1, more_settings=more) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def few_threads(context):
    """One host of eight threads before an engine that is slow but has room."""
    settings = {"quality": {"larch:1": 0.9, "spruce:1": 0.95}, "tokens_per_s": 20.0}
    more = {"limits": {"threads": 8}}
    engines = [EnginePlan("engine-a", "a", settings)]
    with Fleet(engines, zones=("a",), hosts_per_zone=1, more_settings=more) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def version_fleet(context):
    """Three zones of one host, engines that hold three versions, quick ratings."""
    quality = {"larch:1": 0.95, "larch:2": 0.2, "larch:3": 0.95}
    settings = {"quality": quality, "tokens_per_s": 2000.0, "answer_tokens": 40}
    engines = [EnginePlan(f"engine-{zone}", zone, settings) for zone in "abc"]
    with Fleet(engines, hosts_per_zone=1) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def six_hosts(context):
    """Three zones of two hosts and one engine each, a document in force."""
    yield from _run_hosts(context, ("a", "b", "c"), {"balancer_time_s": 1.0})


@fixture
def two_hosts(context):
    """One zone of two hosts that wait briefly for open requests."""
    yield from _run_hosts(context, ("a",), {"balancer_time_s": 0.2, "drain_bound_s": 1.0})


@fixture
def tls_host(context):
    """One host whose callers speak TLS, in this process; its files can be replaced."""
    with tempfile.TemporaryDirectory() as folder:
        context.certificate_file = Path(folder) / "host.crt"
        context.key_file = Path(folder) / "host.key"
        for file in (context.certificate_file, context.key_file):
            shutil.copy(CERTIFICATES / f"own-{file.name}", file)
        log, host_list = LogStandIn().start(), HostListStandIn().start()
        context.host_address = free_address()
        daemon = Daemon(
            HostSettings.model_validate(
                {
                    "name": "a1",
                    "zone": "a",
                    "listen": context.host_address,
                    "platform": {"log": log.address, "host_list": host_list.address},
                    "limits": {"threads": 64},
                    "stop": {"balancer_time_s": 0},
                    "tls": {
                        "callers": {
                            "certificate": str(context.certificate_file),
                            "key": str(context.key_file),
                        }
                    },
                }
            )
        )
        daemon.start()
        yield daemon
        daemon.stop()
        log.stop()
        host_list.stop()


@fixture
def keyed_host(context):
    """One host that takes only publications signed by its operators."""
    keys = {"ada": ["ada-signs-with-this"], "system": ["hosts-sign-with-this"]}
    engines = [EnginePlan("engine-a", "a", {"quality": VERSIONS})]
    more = {"operator_keys": keys, "stop": {"balancer_time_s": 0}}
    with Fleet(engines, zones=("a",), hosts_per_zone=1, more_settings=more) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def fatal_fleet(context):
    """Two zones of one host, and eight engines that end on one word."""
    settings = {"quality": VERSIONS, "tokens_per_s": 2000.0, "fatal_word": "fatal"}
    engines = [EnginePlan(f"engine-{number}", "ab"[number % 2], settings) for number in range(8)]
    with Fleet(engines, zones=("a", "b"), hosts_per_zone=1) as fleet:
        context.fleet = fleet
        fleet.wait_in_force(fleet.publish((EXAMPLES / "thistledown.yaml").read_text()))
        fleet.wait_versions("larch:1", "spruce:1")
        yield fleet


@fixture
def cascade_fleet(context):
    """Three zones of one host, engines that give a confidence, answers good or poor."""
    settings = {
        "quality": {"cheap:1": 0.95, "dear:1": 0.95},
        "tokens_per_s": 2000.0,
        "confidence_noise": 0.02,
        "poor_share": {"cheap:1": 0.5},
    }
    engines = [EnginePlan(f"engine-{zone}", zone, settings) for zone in "abc"]
    with Fleet(engines, hosts_per_zone=1) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def order_fleet(context):
    """Two zones of two hosts and one empty engine each that takes orders."""
    settings = {"quality": {}, "room": 2, "load_s": 8.0}
    engines = [EnginePlan(f"engine-{zone}", zone, settings) for zone in "ab"]
    with Fleet(engines, zones=("a", "b")) as fleet:
        context.fleet = fleet
        yield fleet


@fixture
def small_installation(context):
    """An installation of one host with little memory and few sockets."""
    with Installation(memory_mb=80, max_sockets=300) as installation:
        installation.publish()
        installation.add_endpoint("engine-1", "engines")
        installation.add_endpoint("stock-1", "stock")
        installation.start_host()
        context.installation = installation
        yield installation


@fixture
def installation(context):
    """The users' platform with one host, one model engine and one plain service."""
    with Installation() as installation:
        installation.publish()
        installation.add_endpoint("engine-1", "engines")
        installation.add_endpoint("stock-1", "stock")
        installation.start_host()
        context.installation = installation
        yield installation


@fixture
def host_pair(context):
    """The users' platform with a host in each of two zones."""
    with Installation(hosts=2) as installation:
        installation.publish()
        installation.add_endpoint("engine-1", "engines")
        installation.add_endpoint("stock-1", "stock")
        for number in range(2):
            installation.start_host(number)
        context.installation = installation
        yield installation


@fixture
def zone_trio(context):
    """The users' platform with three hosts in one zone."""
    with Installation(hosts=3, zones="a") as installation:
        installation.publish()
        installation.add_endpoint("engine-1", "engines")
        installation.add_endpoint("stock-0", "stock")
        for number in range(3):
            installation.start_host(number, wait_until_ready=False)
        for number in range(3):
            installation.wait_until_ready(number)
        context.installation = installation
        yield installation


@fixture
def cuttable_hosts(context):
    """Two hosts in zone a and one in zone b, whose links to two endpoints a service can be cut."""
    with Installation(hosts=3, zones="aab", can_be_cut=True) as installation:
        installation.publish()
        for number in (1, 2):
            installation.add_endpoint(f"engine-{number}", "engines", zone="ab"[number - 1])
            installation.add_endpoint(f"stock-{number}", "stock", zone="ab"[number - 1])
        for number in range(3):
            installation.start_host(number, wait_until_ready=False)
        for number in range(3):
            installation.wait_until_ready(number)
            installation.wait_until_known(number)
        context.installation = installation
        yield installation


@fixture
def crash_hosts(context):
    """Three hosts that run and one that does not yet, in three zones, before six engines."""
    with Installation(hosts=4, can_be_cut=True) as installation:
        installation.publish()
        for number in range(6):
            installation.add_endpoint(
                f"engine-{number}",
                "engines",
                zone="abc"[number % 3],
                event_count=20,
                first_event_delay_s=0.15,
            )
        for number in range(4):
            installation.add_endpoint(f"stock-{number}", "stock", zone="abc"[number % 3])
        for number in range(3):
            installation.start_host(number, wait_until_ready=False)
        for number in range(3):
            installation.wait_until_ready(number)
            installation.wait_until_known(number)
        context.installation = installation
        yield installation


@fixture
def endless_engines(context):
    """One host before four engines, and three endpoints of a plain service."""
    with Installation() as installation:
        installation.publish()
        for number in range(4):
            installation.add_endpoint(f"engine-{number}", "engines", slots=64)
        for number in range(3):
            installation.add_endpoint(f"stock-{number}", "stock")
        installation.start_host()
        context.installation = installation
        yield installation


@fixture
def stopping_host(context):
    """One host before three engines and three endpoints of a plain service; routes of 12 s."""
    with Installation() as installation:
        for route in installation.config["routes"]:
            route["timeoutMs"] = 12_000
        installation.publish()
        for number in range(3):
            installation.add_endpoint(f"engine-{number}", "engines")
            installation.add_endpoint(f"stock-{number}", "stock")
        installation.start_host()
        installation.wait_until_settled(0)
        context.installation = installation
        yield installation


FIXTURES = {
    "fixture.crash_hosts": crash_hosts,
    "fixture.endless_engines": endless_engines,
    "fixture.cuttable_hosts": cuttable_hosts,
    "fixture.host_pair": host_pair,
    "fixture.stopping_host": stopping_host,
    "fixture.zone_trio": zone_trio,
    "fixture.order_fleet": order_fleet,
    "fixture.fatal_fleet": fatal_fleet,
    "fixture.few_threads": few_threads,
    "fixture.keyed_host": keyed_host,
    "fixture.tls_host": tls_host,
    "fixture.narrow_fleet": narrow_fleet,
    "fixture.small_fleet": small_fleet,
    "fixture.six_hosts": six_hosts,
    "fixture.two_hosts": two_hosts,
    "fixture.version_fleet": version_fleet,
    "fixture.cascade_fleet": cascade_fleet,
}


def before_tag(context, tag):
    """Set up the fixture that a tag asks for."""
    if tag in FIXTURES:
        use_fixture(FIXTURES[tag], context)


def before_scenario(context, scenario):
    """Set up what each scenario of a feature gets for itself."""
    if "each.installation" in scenario.effective_tags:
        use_fixture(installation, context)
    if "small.installation" in scenario.effective_tags:
        use_fixture(small_installation, context)
