"""Measures the overhead of version choices and quality estimates: time, memory and bytes."""

import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench.figures import Figure, Slope
from bench.version_traces import ACCOUNT, THISTLEDOWN, make_trace, run_poplarrun
from poplarrun.versions import ChoiceRequest
from standins.version_world import VersionHost

CHOICE_COUNT = 20_000
VERSION_COUNTS = (5, 10, 26)
TRAINING_REQUESTS = 3000
MAX_MEDIAN_US = 200.0
COMMAND = "python -m bench.versions"


def make_trained_host(version_count: int) -> VersionHost:
    """Return a host whose estimates are trained on requests to ``version_count`` versions."""
    trace = make_trace(1, THISTLEDOWN, version_count)
    return next(iter(run_poplarrun(trace, 1, TRAINING_REQUESTS).hosts.values()))


def measure_call_times_us(call: Callable[[], object], count: int) -> list[float]:
    """Return the duration of each call, in microseconds."""
    times_us = []
    for _ in range(count):
        started_at = time.perf_counter()
        call()
        times_us.append((time.perf_counter() - started_at) * 1e6)
    return times_us


def measure_choice_times_us(host: VersionHost) -> list[float]:
    """Return the duration of each version choice, in microseconds."""
    work_class = host.configuration.document.classes["digest"]
    request = ChoiceRequest(ACCOUNT, work_class, 500, 1000)
    return measure_call_times_us(lambda: host.versions.choose(request), CHOICE_COUNT)


def bench_decisions() -> list[Figure]:
    """Measure choices, evidence exchange and memory at 26 versions."""
    tracemalloc.start()
    host = make_trained_host(26)
    tracemalloc.stop()
    times_us = measure_choice_times_us(host)
    exchange_times_us = measure_call_times_us(
        lambda: host.versions.exchange_evidence(host.peers, 1e6), 100
    )
    median_us = statistics.median(times_us)
    summary_bytes = len(host.versions.estimates.encode_local())
    return [
        Figure("choice at 26 versions, median", median_us, "us", target="under 200 us",
               holds=median_us < MAX_MEDIAN_US),
        Figure("choice at 26 versions, 99 in 100", statistics.quantiles(times_us, n=100)[98], "us"),
        Figure("exchange and refresh a second at 26 versions, 3 classes",
               statistics.median(exchange_times_us), "us"),
        Figure("summary of a host, 26 versions in 3 classes", summary_bytes, "bytes"),
        Figure("memory of a host's estimates", measure_deep_size(host.versions.estimates), "bytes"),
    ]  # fmt: skip


def measure_deep_size(root: object) -> int:
    """Return the size of an object and everything it references, in bytes."""
    seen: set[int] = set()
    pending, total = [root], 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if isinstance(item, dict):
            pending += [*item.keys(), *item.values()]
        elif isinstance(item, (list, tuple, set, frozenset)):
            pending += list(item)
        elif hasattr(item, "__dict__"):
            pending.append(vars(item))
        elif hasattr(item, "__slots__"):
            pending += [getattr(item, name) for name in item.__slots__ if hasattr(item, name)]
    return total


def measure_summaries() -> list[Slope]:
    """Measure the size of summaries and the time of choices by the number of versions."""
    hosts = {count: make_trained_host(count) for count in VERSION_COUNTS}
    sizes = tuple(
        (float(n), float(len(h.versions.estimates.encode_local()))) for n, h in hosts.items()
    )
    times = tuple(
        (float(n), statistics.median(measure_choice_times_us(h))) for n, h in hosts.items()
    )
    return [
        Slope("evidence summary of a host, 3 classes", "versions", "bytes", sizes, COMMAND),
        Slope("choice, median", "versions", "us", times, COMMAND),
    ]
