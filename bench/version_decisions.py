"""The price of a decision and of the estimates: time, memory and bytes."""

import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench.figures import Figure, Slope
from bench.version_traces import ACCOUNT, THISTLEDOWN, make_trace, run_poplarrun
from poplarrun.versions import ChoiceRequest
from standins.version_world import VersionHost

DECISIONS = 20_000
VERSIONS = (5, 10, 26)
REQUESTS = 3000
MEDIAN_BOUND_US = 200.0
COMMAND = "python -m bench.versions"


def learned_host(version_count: int) -> VersionHost:
    """Return a host that has learnt of some versions."""
    trace = make_trace(1, THISTLEDOWN, version_count)
    return next(iter(run_poplarrun(trace, 1, REQUESTS).hosts.values()))


def time_calls(call: Callable[[], object], count: int) -> list[float]:
    """Return what each call took, in microseconds."""
    took = []
    for _ in range(count):
        began = time.perf_counter()
        call()
        took.append((time.perf_counter() - began) * 1e6)
    return took


def time_decisions(host: VersionHost) -> list[float]:
    """Return what decisions take, in microseconds."""
    work_class = host.configuration.document.classes["digest"]
    request = ChoiceRequest(ACCOUNT, work_class, 500, 1000)
    return time_calls(lambda: host.versions.choose(request), DECISIONS)


def bench_decisions() -> list[Figure]:
    """Measure at 26 versions."""
    tracemalloc.start()
    host = learned_host(26)
    tracemalloc.stop()
    took = time_decisions(host)
    tick = time_calls(lambda: host.versions.exchange_evidence(host.peers, 1e6), 100)
    median = statistics.median(took)
    payload = len(host.versions.estimates.encode_local())
    return [
        Figure("choice at 26 versions, median", median, "us", target="under 200 us",
               holds=median < MEDIAN_BOUND_US),
        Figure("choice at 26 versions, 99 in 100", statistics.quantiles(took, n=100)[98], "us"),
        Figure("exchange and refresh a second at 26 versions, 3 classes",
               statistics.median(tick), "us"),
        Figure("summary of a host, 26 versions in 3 classes", payload, "bytes"),
        Figure("memory of a host's estimates", deep_size(host.versions.estimates), "bytes"),
    ]  # fmt: skip


def deep_size(root: object) -> int:
    """Return the bytes of an object and all that it holds."""
    seen: set[int] = set()
    waiting, total = [root], 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen or isinstance(item, type):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if isinstance(item, dict):
            waiting += [*item.keys(), *item.values()]
        elif isinstance(item, (list, tuple, set, frozenset)):
            waiting += list(item)
        elif hasattr(item, "__dict__"):
            waiting.append(vars(item))
        elif hasattr(item, "__slots__"):
            waiting += [getattr(item, name) for name in item.__slots__ if hasattr(item, name)]
    return total


def measure_summaries() -> list[Slope]:
    """Measure bytes and decisions against the number of versions."""
    hosts = {count: learned_host(count) for count in VERSIONS}
    sizes = tuple(
        (float(n), float(len(h.versions.estimates.encode_local()))) for n, h in hosts.items()
    )
    times = tuple((float(n), statistics.median(time_decisions(h))) for n, h in hosts.items())
    return [
        Slope("evidence summary of a host, 3 classes", "versions", "bytes", sizes, COMMAND),
        Slope("choice, median", "versions", "us", times, COMMAND),
    ]
